#include "gossip/gossip.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "gossip/gossip_internal.h"

/* Without a new tick for this time, a VM may send two digests per interval. */
#define GOSSIP_TICK_OVERDUE_MS 1500

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
	gossip->current_ms = now_ms - GOSSIP_CONTACT_TIMEOUT_MS - 1;
	gossip->control_last_seen_ms = now_ms;
	gossip->last_call_ms = now_ms;
	gossip->next_subscribe_ms = now_ms;
	gossip->last_pull_ms = now_ms - GOSSIP_PULL_MIN_MS;
	/* A random phase spreads the digests of VMs started together. */
	gossip->next_digest_ms =
	    now_ms + (int64_t)rng_below(&gossip->rng, GOSSIP_DIGEST_MS);
	if (options->control_count > 0)
		gossip->control_index = (int)rng_below(
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
gossip_detect_freeze(gossip_t *gossip, int64_t now_ms)
{
	int64_t gap = now_ms - gossip->last_call_ms;

	gossip->last_call_ms = now_ms;
	if (gap < GOSSIP_FREEZE_MIN_MS)
		return;
	gossip->resumed_ms = now_ms;
	gossip->frozen_ms = gap;
}

int64_t
gossip_get_freeze_lag_ms(const gossip_t *gossip, int64_t now_ms)
{
	if (gossip->frozen_ms == 0 ||
	    now_ms - gossip->resumed_ms > GOSSIP_FREEZE_CATCH_UP_MS)
		return (0);
	return (gossip->frozen_ms);
}

/* A tick counts once the configuration up to its index is applied. */
static void
gossip_update_current(gossip_t *gossip)
{
	if (gossip->tick.term > 0 &&
	    gossip->tick.index <=
		config_state_get_index(gossip->options.state) &&
	    gossip->tick.issued_ms > gossip->current_ms)
		gossip->current_ms = gossip->tick.issued_ms;
}

void
gossip_export_tick(const gossip_t *gossip, int64_t now_ms, Feed__Tick *out)
{
	int64_t age = now_ms - gossip->tick.issued_ms;

	feed__tick__init(out);
	if (age > 2 * GOSSIP_CONTACT_TIMEOUT_MS)
		return;
	out->term = gossip->tick.term;
	out->number = gossip->tick.number;
	out->index = gossip->tick.index;
	out->age_ms = (uint32_t)age;
}

/* Forwards a new tick to one peer, for VMs that can receive but not send. */
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
gossip_merge_tick(gossip_t *gossip, const Feed__Tick *tick, int64_t now_ms)
{
	gossip_known_tick_t *known = &gossip->tick;
	int64_t issued = now_ms - (int64_t)tick->age_ms -
	    gossip_get_freeze_lag_ms(gossip, now_ms);

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
	gossip_update_current(gossip);
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
 * Entries of an older epoch than that of control are not applied: the new epoch
 * may continue from an earlier entry, and this VM could not follow it then.
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
gossip_apply_entries(gossip_t *gossip, node_id_t from,
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
	gossip_update_current(gossip);
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
	gossip_apply_entries(
	    gossip, from, msg->entries, msg->n_entries, now_ms);
	if (msg->tick != NULL) {
		gossip_merge_tick(gossip, msg->tick, now_ms);
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
 * Installing the snapshot of the newer epoch would silently undo an accepted
 * change. This VM keeps its configuration, but does not serve with it while
 * control issues ticks of that epoch.
 */
static void
gossip_report_diverged(gossip_t *gossip, uint64_t index)
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
gossip_install_snapshot(gossip_t *gossip, int64_t now_ms)
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
		gossip_update_current(gossip);
		gossip_prune_peers(gossip);
		gossip_pull(gossip, from, now_ms);
	} else if (err == TM_EEPOCH) {
		gossip_report_diverged(gossip, index);
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
	    now_ms - transfer->last_ms < GOSSIP_SNAPSHOT_TIMEOUT_MS &&
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
gossip_append_chunk(gossip_t *gossip, node_id_t from,
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
		gossip_install_snapshot(gossip, now_ms);
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
	gossip_append_chunk(gossip, from, msg, now_ms);
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
	return (gossip->options.controls[gossip->control_index]);
}

void
gossip_handle(gossip_t *gossip, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	gossip_detect_freeze(gossip, now_ms);
	gossip_record_direct_contact(gossip, from, now_ms);
	if (from == gossip_get_control(gossip))
		gossip->control_last_seen_ms = now_ms;
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
gossip_switch_control(gossip_t *gossip, int64_t now_ms)
{
	if (gossip->options.control_count == 0)
		return;
	gossip->control_index =
	    (gossip->control_index + 1) % gossip->options.control_count;
	gossip->control_last_seen_ms = now_ms;
	gossip->next_subscribe_ms = now_ms;
	LOG_EVENT(321, LOG_LEVEL_DEBUG, "switching to another control VM",
	    LOG_NUM("position", gossip->control_index));
}

/* Logs when this VM starts or stops to serve. */
static void
gossip_report_serving(gossip_t *gossip, int64_t now_ms)
{
	int is_serving = gossip_is_serving(gossip, now_ms);
	gossip_status_t status;

	if (is_serving == gossip->was_serving)
		return;
	gossip->was_serving = is_serving;
	gossip_get_status(gossip, now_ms, &status);
	if (is_serving)
		LOG_EVENT(323, LOG_LEVEL_INFO,
		    "the configuration is current; this VM serves",
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

/*
 * Half of the digests go to a VM with recent direct contact, so that a VM that
 * can reach only a few others keeps reaching them; the other half go to a
 * random VM, so that every VM that can be reached gets digests.
 */
static void
gossip_send_periodic_digests(gossip_t *gossip, int64_t now_ms)
{
	int is_tick_overdue =
	    now_ms - gossip->current_ms > GOSSIP_TICK_OVERDUE_MS;
	node_id_t recent = gossip_pick_recent_peer(gossip, now_ms);
	node_id_t random = NODE_ID_NONE;

	gossip->next_digest_ms = now_ms + GOSSIP_DIGEST_MS;
	(void)gossip_pick_peers(gossip, &random, 1);
	if (is_tick_overdue && recent != NODE_ID_NONE && recent != random)
		gossip_send_digest(gossip, recent, 0, now_ms);
	else if (recent != NODE_ID_NONE && rng_below(&gossip->rng, 2) == 0)
		random = recent;
	if (random != NODE_ID_NONE)
		gossip_send_digest(gossip, random, 0, now_ms);
}

void
gossip_tick(gossip_t *gossip, int64_t now_ms)
{
	gossip_detect_freeze(gossip, now_ms);
	entry_log_tick(gossip->log, now_ms);
	if (gossip->transfer.index != 0 &&
	    now_ms - gossip->transfer.last_ms > GOSSIP_SNAPSHOT_TIMEOUT_MS)
		gossip_end_transfer(gossip);
	if (now_ms - gossip->control_last_seen_ms > GOSSIP_CONTROL_TIMEOUT_MS)
		gossip_switch_control(gossip, now_ms);
	if (now_ms >= gossip->next_subscribe_ms)
		gossip_subscribe(gossip, now_ms);
	if (now_ms >= gossip->next_digest_ms) {
		gossip_send_periodic_digests(gossip, now_ms);
		gossip_report_serving(gossip, now_ms);
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
	uint32_t alive;

	if (now_ms - gossip->current_ms <= GOSSIP_CONTACT_TIMEOUT_MS)
		return (1);
	/*
	 * Control is alive, but this VM lacks configuration that it accepted.
	 */
	if (gossip->tick.term > 0 &&
	    now_ms - gossip->tick.issued_ms <= GOSSIP_CONTACT_TIMEOUT_MS)
		return (0);
	gossip_count_alive(gossip, now_ms, &nodes, &alive);
	return (nodes > 0 && 2 * alive >= nodes);
}

void
gossip_get_status(
    const gossip_t *gossip, int64_t now_ms, gossip_status_t *status)
{
	*status = gossip->status;
	status->index = config_state_get_index(gossip->options.state);
	status->tick_age_ms =
	    gossip->tick.term > 0 ? now_ms - gossip->tick.issued_ms : -1;
	gossip_count_alive(
	    gossip, now_ms, &status->nodes, &status->nodes_heard);
	status->control = gossip_get_control(gossip);
}
