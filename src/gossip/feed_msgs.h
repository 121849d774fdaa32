/**
 * @file
 * Message types of the feed (configuration from control VMs to entry VMs) and
 * of the gossip between entry VMs, see src/proto/feed.proto.
 */
#ifndef TM_GOSSIP_FEED_MSGS_H
#define TM_GOSSIP_FEED_MSGS_H

#include "net/msg_types.h"

#define MSG_FEED_SUBSCRIBE   (MSG_FEED_BASE + 0)
#define MSG_FEED_ENTRIES     (MSG_FEED_BASE + 1)
#define MSG_FEED_CHUNK	     (MSG_FEED_BASE + 2)
#define MSG_GOSSIP_DIGEST    (MSG_FEED_BASE + 3)
#define MSG_FEED_PULL	     (MSG_FEED_BASE + 4)
#define MSG_GOSSIP_BLOB	     (MSG_FEED_BASE + 5)
#define MSG_FEED_HEARTBEATS  (MSG_FEED_BASE + 6)
#define MSG_FEED_LEADER_TICK (MSG_FEED_BASE + 7)
#define MSG_FEED_LIMIT	     (MSG_FEED_BASE + 20)

#endif
