/**
 * @file
 * Feed from a control VM to the entry VMs that subscribed to it: entries or a
 * snapshot, and the ticks of the leader. Decision module.
 */
#ifndef TM_CONTROL_FEED_H
#define TM_CONTROL_FEED_H

#include <stddef.h>
#include <stdint.h>

#include "config/config_state.h"

/** Interval at which the leader issues ticks. */
#define FEED_TICK_MS 500
/** A subscription ends when it was not repeated for this time. */
#define FEED_SUBSCRIPTION_MS 3000
/** A follower passes on ticks of the leader up to this age. */
#define FEED_TICK_MAX_AGE_MS 2000

typedef struct feed feed_t;

/**
 * Creates a feed.
 *
 * @param state  the replicated state; outlives the feed
 * @return       NULL if memory is exhausted
 */
feed_t *feed_create(
    const config_state_t *state, node_send_cb send, void *send_ctx);

/** Frees a feed; NULL is allowed. */
void feed_destroy(feed_t *feed);

/**
 * Takes an entry that was just applied to the state.
 *
 * @param prev  index of the state before
 */
void feed_add_entry(feed_t *feed, uint64_t index, uint64_t prev,
    const uint8_t *bytes, size_t len, int64_t now_ms);

/** The state was replaced by a snapshot. */
void feed_reset(feed_t *feed);

/** An entry VM subscribed, or repeated its subscription. */
void feed_subscribe(
    feed_t *feed, node_id_t node, uint64_t index, int64_t now_ms);

/** An entry VM asked for entries or a part of a snapshot. */
void feed_pull(
    feed_t *feed, node_id_t node, const Feed__Pull *pull, int64_t now_ms);

/** Passes a new tick to all subscribers. */
void feed_set_tick(feed_t *feed, const Feed__Tick *tick, int64_t now_ms);

/** Sends new entries to the subscribers; call it every 10 to 50 ms. */
void feed_tick(feed_t *feed, int64_t now_ms);

/** @return version that the newest tick of a leader covers; 0 if none */
uint64_t feed_get_tick_index(const feed_t *feed);

/** @return number of subscribers */
size_t feed_get_subscriber_count(const feed_t *feed);

#endif
