#include "gossip/entry_log.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "gossip/feed_msgs.h"

typedef struct entry_log_item {
	uint64_t index;
	uint64_t prev;
	int64_t added_ms;
	uint8_t *bytes;
	size_t len;
} entry_log_item_t;

struct entry_log {
	const config_state_t *state;
	entry_log_item_t items[ENTRY_LOG_MAX]; /* ring */
	uint64_t first;
	uint64_t end;
	size_t bytes;
	uint8_t *snapshot;
	size_t snapshot_len;
	uint64_t snapshot_index;
	int64_t snapshot_used_ms;
};

entry_log_t *
entry_log_create(const config_state_t *state)
{
	entry_log_t *log = calloc(1, sizeof(*log));

	if (log != NULL)
		log->state = state;
	return (log);
}

static entry_log_item_t *
entry_log_get(const entry_log_t *log, uint64_t at)
{
	return ((entry_log_item_t *)&log->items[at % ENTRY_LOG_MAX]);
}

static void
entry_log_drop_first(entry_log_t *log)
{
	entry_log_item_t *item = entry_log_get(log, log->first);

	log->bytes -= item->len;
	free(item->bytes);
	item->bytes = NULL;
	log->first++;
}

void
entry_log_clear(entry_log_t *log)
{
	while (log->first < log->end)
		entry_log_drop_first(log);
}

void
entry_log_destroy(entry_log_t *log)
{
	if (log == NULL)
		return;
	entry_log_clear(log);
	free(log->snapshot);
	free(log);
}

int
entry_log_add(entry_log_t *log, uint64_t index, uint64_t prev,
    const uint8_t *bytes, size_t len, int64_t now_ms)
{
	entry_log_item_t *item;
	uint8_t *copy = malloc(len + 1);

	if (copy == NULL) {
		entry_log_clear(log);
		return (TM_ENOMEM);
	}
	if (len > 0)
		memcpy(copy, bytes, len);
	while (log->first < log->end &&
	    (log->end - log->first == ENTRY_LOG_MAX ||
		log->bytes + len > ENTRY_LOG_MAX_BYTES))
		entry_log_drop_first(log);
	item = entry_log_get(log, log->end++);
	*item = (entry_log_item_t){ .index = index,
		.prev = prev,
		.added_ms = now_ms,
		.bytes = copy,
		.len = len };
	log->bytes += len;
	return (TM_OK);
}

static void
entry_log_export(const entry_log_item_t *item, Feed__LogEntry *out)
{
	feed__log_entry__init(out);
	out->index = item->index;
	out->prev_index = item->prev;
	out->data.data = item->bytes;
	out->data.len = item->len;
}

/* Returns the position of the entry that follows an index; end if none does. */
static uint64_t
entry_log_find_after(const entry_log_t *log, uint64_t index)
{
	uint64_t at = log->first;

	while (at < log->end && entry_log_get(log, at)->prev != index)
		at++;
	return (at);
}

static void
entry_log_send_entries(entry_log_t *log, uint64_t at, node_id_t to,
    const Feed__Tick *tick, node_send_cb send, void *ctx)
{
	static Feed__LogEntry entries[ENTRY_LOG_MAX];
	static Feed__LogEntry *refs[ENTRY_LOG_MAX];
	Feed__Entries msg = FEED__ENTRIES__INIT;
	size_t bytes = 0;
	size_t n = 0;

	for (; at < log->end; at++) {
		entry_log_export(entry_log_get(log, at), &entries[n]);
		refs[n] = &entries[n];
		bytes += entries[n++].data.len + 32;
		if (bytes < ENTRY_LOG_CHUNK_BYTES && at + 1 < log->end)
			continue;
		msg.entries = refs;
		msg.n_entries = n;
		msg.tick = (Feed__Tick *)tick;
		send(ctx, to, MSG_FEED_ENTRIES, &msg.base);
		bytes = 0;
		n = 0;
	}
}

void
entry_log_send_after(entry_log_t *log, uint64_t index, node_id_t to,
    const Feed__Tick *tick, node_send_cb send, void *ctx, int64_t now_ms)
{
	uint64_t at;

	if (index >= config_state_get_index(log->state))
		return;
	at = entry_log_find_after(log, index);
	if (at < log->end)
		entry_log_send_entries(log, at, to, tick, send, ctx);
	else
		entry_log_send_chunk(log, 0, 0, to, send, ctx, now_ms);
}

/* Returns 1 if the kept snapshot and the entries yield the current state. */
static int
entry_log_has_usable_snapshot(const entry_log_t *log)
{
	if (log->snapshot == NULL)
		return (0);
	if (log->snapshot_index == config_state_get_index(log->state))
		return (1);
	return (entry_log_find_after(log, log->snapshot_index) < log->end);
}

static int
entry_log_refresh_snapshot(entry_log_t *log, uint64_t wanted, uint64_t *offset)
{
	if (log->snapshot != NULL && log->snapshot_index == wanted &&
	    *offset <= log->snapshot_len)
		return (TM_OK);
	*offset = 0;
	if (entry_log_has_usable_snapshot(log))
		return (TM_OK);
	free(log->snapshot);
	log->snapshot = config_snapshot_encode(log->state, &log->snapshot_len);
	log->snapshot_index = config_state_get_index(log->state);
	return (log->snapshot != NULL ? TM_OK : TM_ENOMEM);
}

void
entry_log_send_chunk(entry_log_t *log, uint64_t snapshot_index, uint64_t offset,
    node_id_t to, node_send_cb send, void *ctx, int64_t now_ms)
{
	Feed__SnapshotChunk msg = FEED__SNAPSHOT_CHUNK__INIT;
	size_t len;

	if (entry_log_refresh_snapshot(log, snapshot_index, &offset) != TM_OK)
		return;
	log->snapshot_used_ms = now_ms;
	len = log->snapshot_len - (size_t)offset;
	if (len > ENTRY_LOG_CHUNK_BYTES)
		len = ENTRY_LOG_CHUNK_BYTES;
	msg.index = log->snapshot_index;
	msg.total_bytes = log->snapshot_len;
	msg.offset = offset;
	msg.data.data = log->snapshot + offset;
	msg.data.len = len;
	send(ctx, to, MSG_FEED_CHUNK, &msg.base);
}

size_t
entry_log_get_recent(const entry_log_t *log, int64_t since_ms,
    Feed__LogEntry *out, size_t max, size_t max_bytes)
{
	uint64_t at = log->end;
	size_t bytes = 0;
	size_t n = 0;
	size_t i;

	while (at > log->first && log->end - at < max) {
		bytes += entry_log_get(log, at - 1)->len;
		if (entry_log_get(log, at - 1)->added_ms < since_ms ||
		    bytes > max_bytes)
			break;
		at--;
	}
	n = (size_t)(log->end - at);
	for (i = 0; i < n; i++)
		entry_log_export(entry_log_get(log, at + i), &out[i]);
	return (n);
}

void
entry_log_tick(entry_log_t *log, int64_t now_ms)
{
	if (log->snapshot == NULL ||
	    now_ms - log->snapshot_used_ms < ENTRY_LOG_SNAPSHOT_KEEP_MS)
		return;
	free(log->snapshot);
	log->snapshot = NULL;
}
