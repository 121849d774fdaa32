/**
 * @file
 * Ranges of message types. Each protocol has its own .proto file and its own
 * range; the first type of a range is BASE.
 */
#ifndef TM_NET_MSG_TYPES_H
#define TM_NET_MSG_TYPES_H

#define MSG_NET_BASE	 1
#define MSG_RAFT_BASE	 10
#define MSG_FEED_BASE	 30
#define MSG_GROUP_BASE	 50
#define MSG_CLAIM_BASE	 70
#define MSG_RATE_BASE	 80
#define MSG_SERVICE_BASE 90
#define MSG_FLEET_BASE	 120
#define MSG_TYPE_LIMIT	 140

#endif
