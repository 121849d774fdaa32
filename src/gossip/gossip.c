#include "gossip/gossip.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "gossip/gossip_internal.h"

/* Without a new tick for this time a VM asks twice as often. */
#define GOSSIP_UNEASY_MS 1500

int
gossip_create(gossip_t **out, const gossip_options_t *options, int64_t now_ms)
{
	gossip_t *gossip;

	if (options->state == NULL || options->send == NULL ||
	    options->control_count < 0 ||
	    options->control_count > GOSSIP_CONTROLS_MAX ||
	    !node_name_is_valid(options->self.name))
		return (TM_EINVAL);
	gossip = calloc(1, sizeof(*gossip));
	if (gossip == NULL)
		return (TM_ENOMEM);
	gossip->options = *options;
	gossip->self = node_id_from_name(options->self.name);
	gossip->log = entry_log_create(options->state);
	if (gossip->log == NULL) {
		free(gossip);
		return (TM_ENOMEM);
	}
	rng_init(&gossip->rng, options->seed);
	gossip->start_ms = now_ms;
	gossip->fresh_ms = now_ms - GOSSIP_FRESH_MS - 1;
	gossip->feed_heard_ms = now_ms;
	gossip->last_call_ms = now_ms;
	gossip->next_subscribe_ms = now_ms;
	gossip->last_pull_ms = now_ms - GOSSIP_PULL_MIN_MS;
	/* A random phase spreads the digests of VMs started together. */
	gossip->next_digest_ms =
	    now_ms + (int64_t)rng_below(&gossip->rng, GOSSIP_DIGEST_MS);
	if (options->control_count > 0)
		gossip->control_at = (int)rng_below(
		    &gossip->rng, (uint64_t)options->control_count);
	*out = gossip;
	return (TM_OK);
}

void
gossip_destroy(gossip_t *gossip)
{
	gossip_peer_t *peer;
	gossip_peer_t *next_peer;
	gossip_blob_t *blob;
	gossip_blob_t *next_blob;

	if (gossip == NULL)
		return;
	HASH_ITER(hh, gossip->peers, peer, next_peer) {
		HASH_DEL(gossip->peers, peer);
		free(peer);
	}
	HASH_ITER(hh, gossip->blobs, blob, next_blob) {
		HASH_DEL(gossip->blobs, blob);
		free(blob->bytes);
		free(blob);
	}
	free(gossip->transfer.bytes);
	entry_log_destroy(gossip->log);
	free(gossip);
}

static void
gossip_note_time(gossip_t *gossip, int64_t now_ms)
{
	int64_t gap = now_ms - gossip->last_call_ms;

	gossip->last_call_ms = now_ms;
	if (gap < GOSSIP_FREEZE_MS)
		return;
	gossip->resumed_ms = now_ms;
	gossip->frozen_ms = gap;
}

int64_t
gossip_get_lag(const gossip_t *gossip, int64_t now_ms)
{
	if (gossip->frozen_ms == 0 ||
	    now_ms - gossip->resumed_ms > GOSSIP_CATCH_UP_MS)
		return (0);
	return (gossip->frozen_ms);
}

/* A tick counts once the configuration that it covers is applied. */
static void
gossip_check_tick(gossip_t *gossip)
{
	if (gossip->tick.term > 0 &&
	    gossip->tick.index <=
		config_state_get_index(gossip->options.state) &&
	    gossip->tick.issued_ms > gossip->fresh_ms)
		gossip->fresh_ms = gossip->tick.issued_ms;
}

void
gossip_export_tick(const gossip_t *gossip, int64_t now_ms, Feed__Tick *out)
{
	int64_t age = now_ms - gossip->tick.issued_ms;

	feed__tick__init(out);
	if (age > 2 * GOSSIP_FRESH_MS)
		return;
	out->term = gossip->tick.term;
	out->number = gossip->tick.number;
	out->index = gossip->tick.index;
	out->age_ms = (uint32_t)age;
}

/* Passes a new tick on to one peer, for VMs that can only hear. */
static void
gossip_push_tick(gossip_t *gossip, int64_t now_ms)
{
	Feed__Entries msg = FEED__ENTRIES__INIT;
	Feed__Tick tick;
	node_id_t peer;

	if (gossip_pick_peers(gossip, &peer, 1) == 0)
		return;
	gossip_export_tick(gossip, now_ms, &tick);
	if (tick.term == 0)
		return;
	msg.tick = &tick;
	gossip->options.send(
	    gossip->options.send_ctx, peer, MSG_FEED_ENTRIES, &msg.base);
}

void
gossip_take_tick(gossip_t *gossip, const Feed__Tick *tick, int64_t now_ms)
{
	gossip_known_tick_t *known = &gossip->tick;
	int64_t issued =
	    now_ms - (int64_t)tick->age_ms - gossip_get_lag(gossip, now_ms);

	if (tick->term == 0 || tick->term < known->term ||
	    (tick->term == known->term && tick->number < known->number))
		return;
	if (tick->term == known->term && tick->number == known->number) {
		/* The path with the least delay gives the best estimate. */
		if (issued < known->issued_ms)
			known->issued_ms = issued;
		return;
	}
	known->term = tick->term;
	known->number = tick->number;
	known->index = tick->index;
	known->issued_ms = issued;
	gossip_check_tick(gossip);
	gossip_push_tick(gossip, now_ms);
}

static void
gossip_push_entries(
    gossip_t *gossip, uint64_t after, node_id_t except, int64_t now_ms)
{
	node_id_t peers[GOSSIP_PUSH_PEERS];
	Feed__Tick tick;
	size_t count = gossip_pick_peers(gossip, peers, GOSSIP_PUSH_PEERS);
	size_t i;

	gossip_export_tick(gossip, now_ms, &tick);
	for (i = 0; i < count; i++) {
		if (peers[i] == except)
			continue;
		entry_log_send_after(gossip->log, after, peers[i],
		    tick.term > 0 ? &tick : NULL, gossip->options.send,
		    gossip->options.send_ctx, now_ms);
	}
}

void
gossip_pull(gossip_t *gossip, node_id_t from, int64_t now_ms)
{
	Feed__Pull msg = FEED__PULL__INIT;

	if (now_ms - gossip->last_pull_ms < GOSSIP_PULL_MIN_MS ||
	    gossip->transfer.index != 0)
		return;
	gossip->last_pull_ms = now_ms;
	msg.index = config_state_get_index(gossip->options.state);
	gossip->options.send(
	    gossip->options.send_ctx, from, MSG_FEED_PULL, &msg.base);
}

/*
 * Entries of an older epoch than that of control are not taken: the epoch may
 * continue from before them, and this VM could not go on from there.
 */
static int
gossip_is_old_epoch(const gossip_t *gossip, uint64_t index)
{
	return (index >> CONFIG_EPOCH_SHIFT < gossip->tick.term >>
	    CONFIG_EPOCH_SHIFT);
}

static int
gossip_apply_entry(
    gossip_t *gossip, const Feed__LogEntry *entry, int64_t now_ms)
{
	config_state_t *state = gossip->options.state;

	if (config_state_apply(state, entry->index, entry->data.data,
		entry->data.len, NULL) != TM_OK)
		return (TM_ESTALE);
	gossip->status.entries_applied++;
	return (entry_log_add(gossip->log, entry->index, entry->prev_index,
	    entry->data.data, entry->data.len, now_ms));
}

void
gossip_take_entries(gossip_t *gossip, node_id_t from,
    Feed__LogEntry *const *entries, size_t count, int64_t now_ms)
{
	config_state_t *state = gossip->options.state;
	uint64_t before = config_state_get_index(state);
	size_t i;

	for (i = 0; i < count; i++) {
		if (entries[i]->index <= config_state_get_index(state) ||
		    gossip_is_old_epoch(gossip, entries[i]->index))
			continue;
		if (entries[i]->prev_index != config_state_get_index(state)) {
			gossip_pull(gossip, from, now_ms);
			break;
		}
		(void)gossip_apply_entry(gossip, entries[i], now_ms);
	}
	if (config_state_get_index(state) == before)
		return;
	gossip_check_tick(gossip);
	gossip_prune_peers(gossip);
	gossip_push_entries(gossip, before, from, now_ms);
}

static void
gossip_handle_entries(gossip_t *gossip, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	Feed__Entries *msg = feed__entries__unpack(NULL, len, payload);

	if (msg == NULL) {
		gossip->status.malformed++;
		return;
	}
	gossip_take_entries(gossip, from, msg->entries, msg->n_entries, now_ms);
	if (msg->tick != NULL) {
		gossip_take_tick(gossip, msg->tick, now_ms);
		if (msg->tick->index >
		    config_state_get_index(gossip->options.state))
			gossip_pull(gossip, from, now_ms);
	}
	feed__entries__free_unpacked(msg, NULL);
}

static void
gossip_end_transfer(gossip_t *gossip)
{
	free(gossip->transfer.bytes);
	memset(&gossip->transfer, 0, sizeof(gossip->transfer));
}

/*
 * Control lives in a newer epoch, so this VM does not serve with what it has.
 * Installing the snapshot would silently undo an accepted change.
 */
static void
gossip_note_diverged(gossip_t *gossip, uint64_t index)
{
	if (gossip->diverged_epoch == index >> CONFIG_EPOCH_SHIFT)
		return;
	gossip->diverged_epoch = index >> CONFIG_EPOCH_SHIFT;
	LOG_EVENT(324, LOG_LEVEL_ERROR,
	    "this VM holds accepted changes that the recovered configuration "
	    "lacks",
	    LOG_NUM("index", config_state_get_index(gossip->options.state)),
	    LOG_NUM("recovered_index", index));
}

static void
gossip_install(gossip_t *gossip, int64_t now_ms)
{
	gossip_transfer_t *transfer = &gossip->transfer;
	node_id_t from = transfer->from;
	uint64_t index = transfer->index;
	int err = config_snapshot_install(
	    gossip->options.state, transfer->bytes, transfer->len);

	gossip_end_transfer(gossip);
	if (err == TM_OK) {
		entry_log_clear(gossip->log);
		gossip->status.snapshots_installed++;
		gossip_check_tick(gossip);
		gossip_prune_peers(gossip);
		gossip_pull(gossip, from, now_ms);
	} else if (err == TM_EEPOCH) {
		gossip_note_diverged(gossip, index);
	} else if (err != TM_ESTALE) {
		LOG_EVENT(320, LOG_LEVEL_ERROR, "snapshot rejected",
		    LOG_NUM("err", err), LOG_TEXT("why", error_get_text(err)));
	}
}

static int
gossip_begin_transfer(gossip_t *gossip, node_id_t from,
    const Feed__SnapshotChunk *msg, int64_t now_ms)
{
	gossip_transfer_t *transfer = &gossip->transfer;

	if (transfer->index != 0 &&
	    now_ms - transfer->last_ms < GOSSIP_SNAPSHOT_STALL_MS &&
	    (from != transfer->from || msg->index == transfer->index))
		return (TM_EFULL);
	gossip_end_transfer(gossip);
	if (msg->index <= config_state_get_index(gossip->options.state) ||
	    gossip_is_old_epoch(gossip, msg->index) ||
	    msg->total_bytes > GOSSIP_SNAPSHOT_MAX_BYTES)
		return (TM_ESTALE);
	transfer->bytes = malloc((size_t)msg->total_bytes + 1);
	if (transfer->bytes == NULL)
		return (TM_ENOMEM);
	transfer->index = msg->index;
	transfer->from = from;
	transfer->total = (size_t)msg->total_bytes;
	return (TM_OK);
}

static void
gossip_take_chunk(gossip_t *gossip, node_id_t from,
    const Feed__SnapshotChunk *msg, int64_t now_ms)
{
	gossip_transfer_t *transfer = &gossip->transfer;
	Feed__Pull pull = FEED__PULL__INIT;

	if (msg->offset == 0 &&
	    gossip_begin_transfer(gossip, from, msg, now_ms) != TM_OK)
		return;
	if (from != transfer->from || msg->index != transfer->index ||
	    msg->offset != transfer->len || msg->data.len == 0 ||
	    msg->data.len > transfer->total - transfer->len)
		return;
	memcpy(transfer->bytes + transfer->len, msg->data.data, msg->data.len);
	transfer->len += msg->data.len;
	transfer->last_ms = now_ms;
	if (transfer->len == transfer->total) {
		gossip_install(gossip, now_ms);
		return;
	}
	pull.snapshot_index = transfer->index;
	pull.offset = transfer->len;
	gossip->options.send(
	    gossip->options.send_ctx, from, MSG_FEED_PULL, &pull.base);
}

static void
gossip_handle_chunk(gossip_t *gossip, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	Feed__SnapshotChunk *msg =
	    feed__snapshot_chunk__unpack(NULL, len, payload);

	if (msg == NULL) {
		gossip->status.malformed++;
		return;
	}
	gossip_take_chunk(gossip, from, msg, now_ms);
	feed__snapshot_chunk__free_unpacked(msg, NULL);
}

static void
gossip_handle_pull(gossip_t *gossip, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	Feed__Pull *msg = feed__pull__unpack(NULL, len, payload);
	const gossip_blob_t *blob;
	Feed__Tick tick;
	size_t bytes = 0;
	size_t i;

	if (msg == NULL) {
		gossip->status.malformed++;
		return;
	}
	gossip_export_tick(gossip, now_ms, &tick);
	for (i = 0; i < msg->n_blobs && bytes <= GOSSIP_BLOB_REPLY_BYTES; i++) {
		blob = gossip_find_blob(gossip, msg->blobs[i]);
		if (blob == NULL)
			continue;
		bytes += blob->len;
		gossip_send_blob(gossip, from, blob);
	}
	if (msg->snapshot_index != 0)
		entry_log_send_chunk(gossip->log, msg->snapshot_index,
		    msg->offset, from, gossip->options.send,
		    gossip->options.send_ctx, now_ms);
	else if (msg->n_blobs == 0)
		entry_log_send_after(gossip->log, msg->index, from,
		    tick.term > 0 ? &tick : NULL, gossip->options.send,
		    gossip->options.send_ctx, now_ms);
	feed__pull__free_unpacked(msg, NULL);
}

static node_id_t
gossip_get_control(const gossip_t *gossip)
{
	if (gossip->options.control_count == 0)
		return (NODE_ID_NONE);
	return (gossip->options.controls[gossip->control_at]);
}

void
gossip_handle(gossip_t *gossip, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	gossip_note_time(gossip, now_ms);
	gossip_note_direct(gossip, from, now_ms);
	if (from == gossip_get_control(gossip))
		gossip->feed_heard_ms = now_ms;
	switch (type) {
	case MSG_FEED_ENTRIES:
		gossip_handle_entries(gossip, from, payload, len, now_ms);
		break;
	case MSG_FEED_CHUNK:
		gossip_handle_chunk(gossip, from, payload, len, now_ms);
		break;
	case MSG_GOSSIP_DIGEST:
		gossip_handle_digest(gossip, from, payload, len, now_ms);
		break;
	case MSG_FEED_PULL:
		gossip_handle_pull(gossip, from, payload, len, now_ms);
		break;
	case MSG_GOSSIP_BLOB:
		gossip_handle_blob(gossip, from, payload, len);
		break;
	default:
		gossip->status.malformed++;
		break;
	}
}

static void
gossip_subscribe(gossip_t *gossip, int64_t now_ms)
{
	const config_node_t *self = &gossip->options.self;
	Feed__Subscribe msg = FEED__SUBSCRIBE__INIT;
	Feed__Node node = FEED__NODE__INIT;

	gossip->next_subscribe_ms = now_ms + GOSSIP_SUBSCRIBE_MS;
	if (gossip->options.control_count == 0)
		return;
	node.name = (char *)self->name;
	node.incarnation = self->incarnation;
	node.peer_ip = (char *)self->peer_ip;
	node.peer_port = self->peer_port;
	node.ops_ip = (char *)self->ops_ip;
	node.ops_port = self->ops_port;
	node.data_centre = (char *)self->data_centre;
	node.role = CONFIG_ROLE_ENTRY;
	node.draining = self->draining;
	msg.index = config_state_get_index(gossip->options.state);
	msg.node = &node;
	msg.reports_ready = gossip->reports_ready;
	msg.shards.data = gossip->ready_shards;
	msg.shards.len = gossip->ready_len;
	gossip->options.send(gossip->options.send_ctx,
	    gossip_get_control(gossip), MSG_FEED_SUBSCRIBE, &msg.base);
}

static void
gossip_change_control(gossip_t *gossip, int64_t now_ms)
{
	if (gossip->options.control_count == 0)
		return;
	gossip->control_at =
	    (gossip->control_at + 1) % gossip->options.control_count;
	gossip->feed_heard_ms = now_ms;
	gossip->next_subscribe_ms = now_ms;
	LOG_EVENT(321, LOG_LEVEL_DEBUG, "another control VM is tried",
	    LOG_NUM("position", gossip->control_at));
}

/* Logs when this VM stops or starts to serve. */
static void
gossip_note_serving(gossip_t *gossip, int64_t now_ms)
{
	int is_serving = gossip_is_serving(gossip, now_ms);
	gossip_status_t status;

	if (is_serving == gossip->was_serving)
		return;
	gossip->was_serving = is_serving;
	gossip_get_status(gossip, now_ms, &status);
	if (is_serving)
		LOG_EVENT(323, LOG_LEVEL_INFO, "configuration is fresh",
		    LOG_NUM("index", status.index),
		    LOG_NUM("tick_age_ms", status.tick_age_ms),
		    LOG_NUM("nodes", status.nodes),
		    LOG_NUM("nodes_heard", status.nodes_heard));
	else
		LOG_EVENT(322, LOG_LEVEL_WARN, "isolated",
		    LOG_NUM("index", status.index),
		    LOG_NUM("tick_age_ms", status.tick_age_ms),
		    LOG_NUM("nodes", status.nodes),
		    LOG_NUM("nodes_heard", status.nodes_heard));
}

/* Half of the digests go to a VM that was heard lately: a VM that can reach
 * only a few others finds them again, and one that all can reach is not
 * missed. */
static void
gossip_run_digest(gossip_t *gossip, int64_t now_ms)
{
	int is_uneasy = now_ms - gossip->fresh_ms > GOSSIP_UNEASY_MS;
	node_id_t recent = gossip_pick_recent(gossip, now_ms);
	node_id_t random = NODE_ID_NONE;

	gossip->next_digest_ms = now_ms + GOSSIP_DIGEST_MS;
	(void)gossip_pick_peers(gossip, &random, 1);
	if (is_uneasy && recent != NODE_ID_NONE && recent != random)
		gossip_send_digest(gossip, recent, 0, now_ms);
	else if (recent != NODE_ID_NONE && rng_below(&gossip->rng, 2) == 0)
		random = recent;
	if (random != NODE_ID_NONE)
		gossip_send_digest(gossip, random, 0, now_ms);
}

void
gossip_tick(gossip_t *gossip, int64_t now_ms)
{
	gossip_note_time(gossip, now_ms);
	entry_log_tick(gossip->log, now_ms);
	if (gossip->transfer.index != 0 &&
	    now_ms - gossip->transfer.last_ms > GOSSIP_SNAPSHOT_STALL_MS)
		gossip_end_transfer(gossip);
	if (now_ms - gossip->feed_heard_ms > GOSSIP_FEED_SILENCE_MS)
		gossip_change_control(gossip, now_ms);
	if (now_ms >= gossip->next_subscribe_ms)
		gossip_subscribe(gossip, now_ms);
	if (now_ms >= gossip->next_digest_ms) {
		gossip_run_digest(gossip, now_ms);
		gossip_note_serving(gossip, now_ms);
	}
}

void
gossip_set_draining(gossip_t *gossip, int64_t now_ms)
{
	gossip->options.self.draining = 1;
	gossip_subscribe(gossip, now_ms);
}

void
gossip_set_ready_shards(gossip_t *gossip, const uint8_t *list, size_t len)
{
	if (len > sizeof(gossip->ready_shards))
		return;
	gossip->reports_ready = 1;
	memcpy(gossip->ready_shards, list, len);
	gossip->ready_len = len;
}

int
gossip_is_serving(const gossip_t *gossip, int64_t now_ms)
{
	uint32_t nodes;
	uint32_t heard;

	if (now_ms - gossip->fresh_ms <= GOSSIP_FRESH_MS)
		return (1);
	/* Control lives, but this VM lacks the configuration it accepted. */
	if (gossip->tick.term > 0 &&
	    now_ms - gossip->tick.issued_ms <= GOSSIP_FRESH_MS)
		return (0);
	gossip_count_heard(gossip, now_ms, &nodes, &heard);
	return (nodes > 0 && 2 * heard >= nodes);
}

void
gossip_get_status(
    const gossip_t *gossip, int64_t now_ms, gossip_status_t *status)
{
	*status = gossip->status;
	status->index = config_state_get_index(gossip->options.state);
	status->tick_age_ms =
	    gossip->tick.term > 0 ? now_ms - gossip->tick.issued_ms : -1;
	gossip_count_heard(
	    gossip, now_ms, &status->nodes, &status->nodes_heard);
	status->control = gossip_get_control(gossip);
}
