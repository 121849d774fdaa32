#include "control/feed.h"

#include <stdlib.h>

#include <uthash.h>

#include "gossip/entry_log.h"
#include "gossip/feed_msgs.h"

typedef struct feed_subscriber {
	UT_hash_handle hh;
	node_id_t node;
	uint64_t sent_index;
	int64_t seen_ms;
} feed_subscriber_t;

struct feed {
	const config_state_t *state;
	entry_log_t *log;
	feed_subscriber_t *subscribers;
	node_send_cb send;
	void *send_ctx;
	Feed__Tick tick; /* term 0: none */
	int64_t tick_ms; /* when it was taken */
};

feed_t *
feed_create(const config_state_t *state, node_send_cb send, void *send_ctx)
{
	feed_t *feed = calloc(1, sizeof(*feed));

	if (feed == NULL)
		return (NULL);
	feed->state = state;
	feed->send = send;
	feed->send_ctx = send_ctx;
	feed__tick__init(&feed->tick);
	feed->log = entry_log_create(state);
	if (feed->log != NULL)
		return (feed);
	free(feed);
	return (NULL);
}

static void
feed_remove(feed_t *feed, feed_subscriber_t *subscriber)
{
	HASH_DEL(feed->subscribers, subscriber);
	free(subscriber);
}

void
feed_destroy(feed_t *feed)
{
	feed_subscriber_t *subscriber;
	feed_subscriber_t *next;

	if (feed == NULL)
		return;
	HASH_ITER(hh, feed->subscribers, subscriber, next)
		feed_remove(feed, subscriber);
	entry_log_destroy(feed->log);
	free(feed);
}

void
feed_add_entry(feed_t *feed, uint64_t index, uint64_t prev,
    const uint8_t *bytes, size_t len, int64_t now_ms)
{
	(void)entry_log_add(feed->log, index, prev, bytes, len, now_ms);
}

void
feed_reset(feed_t *feed)
{
	entry_log_clear(feed->log);
}

/* The tick with its present age, or NULL if it is too old to be passed on. */
static const Feed__Tick *
feed_get_tick(const feed_t *feed, int64_t now_ms, Feed__Tick *out)
{
	int64_t age = now_ms - feed->tick_ms + feed->tick.age_ms;

	if (feed->tick.term == 0 || age > FEED_TICK_MAX_AGE_MS)
		return (NULL);
	*out = feed->tick;
	out->age_ms = (uint32_t)age;
	return (out);
}

static void
feed_send_tick(feed_t *feed, node_id_t node, int64_t now_ms)
{
	Feed__Entries msg = FEED__ENTRIES__INIT;
	Feed__Tick tick;

	msg.tick = (Feed__Tick *)feed_get_tick(feed, now_ms, &tick);
	if (msg.tick != NULL)
		feed->send(feed->send_ctx, node, MSG_FEED_ENTRIES, &msg.base);
}

static void
feed_send_after(feed_t *feed, node_id_t node, uint64_t index, int64_t now_ms)
{
	Feed__Tick tick;

	entry_log_send_after(feed->log, index, node,
	    feed_get_tick(feed, now_ms, &tick), feed->send, feed->send_ctx,
	    now_ms);
}

void
feed_subscribe(feed_t *feed, node_id_t node, uint64_t index, int64_t now_ms)
{
	feed_subscriber_t *subscriber = NULL;

	HASH_FIND(hh, feed->subscribers, &node, sizeof(node), subscriber);
	if (subscriber == NULL) {
		subscriber = calloc(1, sizeof(*subscriber));
		if (subscriber == NULL)
			return;
		subscriber->node = node;
		HASH_ADD(hh, feed->subscribers, node, sizeof(node), subscriber);
		feed_send_tick(feed, node, now_ms);
	}
	subscriber->seen_ms = now_ms;
	subscriber->sent_index = config_state_get_index(feed->state);
	feed_send_after(feed, node, index, now_ms);
}

void
feed_pull(feed_t *feed, node_id_t node, const Feed__Pull *pull, int64_t now_ms)
{
	if (pull->snapshot_index != 0)
		entry_log_send_chunk(feed->log, pull->snapshot_index,
		    pull->offset, node, feed->send, feed->send_ctx, now_ms);
	else
		feed_send_after(feed, node, pull->index, now_ms);
}

void
feed_set_tick(feed_t *feed, const Feed__Tick *tick, int64_t now_ms)
{
	feed_subscriber_t *subscriber;

	feed->tick = *tick;
	feed->tick_ms = now_ms;
	/* Entries first: the tick counts only once its index is applied. */
	feed_tick(feed, now_ms);
	for (subscriber = feed->subscribers; subscriber != NULL;
	     subscriber = subscriber->hh.next)
		feed_send_tick(feed, subscriber->node, now_ms);
}

void
feed_tick(feed_t *feed, int64_t now_ms)
{
	uint64_t index = config_state_get_index(feed->state);
	feed_subscriber_t *subscriber;
	feed_subscriber_t *next;

	entry_log_tick(feed->log, now_ms);
	HASH_ITER(hh, feed->subscribers, subscriber, next) {
		if (now_ms - subscriber->seen_ms > FEED_SUBSCRIPTION_MS) {
			feed_remove(feed, subscriber);
			continue;
		}
		if (subscriber->sent_index >= index)
			continue;
		feed_send_after(
		    feed, subscriber->node, subscriber->sent_index, now_ms);
		subscriber->sent_index = index;
	}
}

size_t
feed_get_subscriber_count(const feed_t *feed)
{
	return (HASH_COUNT(feed->subscribers));
}

uint64_t
feed_get_tick_index(const feed_t *feed)
{
	return (feed->tick.term != 0 ? feed->tick.index : 0);
}
