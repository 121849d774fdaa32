#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/error.h"
#include "base/log.h"
#include "raft/raft_internal.h"

int
raft_set_snapshot(raft_t *raft, const raft_snapshot_t *snapshot)
{
	uint8_t *data = malloc(snapshot->len + 1);

	if (data == NULL)
		return (TM_ENOMEM);
	if (snapshot->len > 0)
		memcpy(data, snapshot->data, snapshot->len);
	free((void *)raft->snapshot.data);
	raft->snapshot = *snapshot;
	raft->snapshot.data = data;
	raft->snapshot_checksum = XXH64(data, snapshot->len, 0);
	return (TM_OK);
}

/* Sends the next chunk. Only one chunk per peer is in flight. */
void
raft_send_snapshot(raft_t *raft, raft_peer_t *peer)
{
	Tm__Raft__SnapshotChunk chunk = TM__RAFT__SNAPSHOT_CHUNK__INIT;
	Tm__Raft__Seat seats[RAFT_MEMBERS_MAX];
	Tm__Raft__Seat *pointers[RAFT_MEMBERS_MAX];
	const raft_snapshot_t *snapshot = &raft->snapshot;

	if (peer->snapshot_index != snapshot->index) {
		peer->snapshot_index = snapshot->index;
		peer->snapshot_offset = 0;
		peer->snapshot_sent_ms = 0;
		raft->stats.snapshots_sent++;
	}
	if (peer->snapshot_sent_ms != 0 &&
	    raft->now_ms - peer->snapshot_sent_ms <
		raft->options.election_ms / 2)
		return;
	raft_encode_members(
	    snapshot->voters, snapshot->voter_count, seats, pointers);
	chunk.disk_id = raft->options.disk_id;
	chunk.term = raft->term;
	chunk.sent_ms = raft->now_ms;
	chunk.index = snapshot->index;
	chunk.index_term = snapshot->term;
	chunk.n_seats = (size_t)snapshot->voter_count;
	chunk.seats = pointers;
	chunk.total_bytes = snapshot->len;
	chunk.offset = peer->snapshot_offset;
	chunk.checksum = raft->snapshot_checksum;
	chunk.data.data = (uint8_t *)snapshot->data + peer->snapshot_offset;
	chunk.data.len = snapshot->len - peer->snapshot_offset;
	if (chunk.data.len > RAFT_SNAPSHOT_CHUNK_BYTES)
		chunk.data.len = RAFT_SNAPSHOT_CHUNK_BYTES;
	peer->snapshot_sent_ms = raft->now_ms;
	peer->sent_ms = raft->now_ms;
	raft_send(raft, peer->node, MSG_RAFT_SNAPSHOT, &chunk.base);
}

static void
raft_discard_incoming(raft_t *raft)
{
	free(raft->incoming.data);
	raft->incoming = (raft_incoming_snapshot_t){ .index = 0 };
}

static int
raft_check_chunk(const Tm__Raft__SnapshotChunk *chunk)
{
	raft_config_t config;

	if (chunk->disk_id == RAFT_DISK_NONE || chunk->term == 0 ||
	    chunk->term == UINT64_MAX || chunk->index == 0 ||
	    chunk->index > UINT64_MAX / 2)
		return (TM_EFORMAT);
	if (chunk->index_term == 0 || chunk->index_term > chunk->term)
		return (TM_EFORMAT);
	if (chunk->total_bytes > RAFT_SNAPSHOT_MAX_BYTES ||
	    chunk->offset > chunk->total_bytes ||
	    chunk->data.len > chunk->total_bytes - chunk->offset)
		return (TM_EFORMAT);
	return (raft_decode_members(chunk->n_seats, chunk->seats, &config));
}

/*
 * Appends a chunk to the incoming snapshot. A chunk at another offset is
 * ignored.
 * @return 0; TM_EFORMAT if the complete snapshot fails its checksum; TM_ENOMEM
 */
static int
raft_append_chunk(raft_t *raft, const Tm__Raft__SnapshotChunk *chunk)
{
	raft_incoming_snapshot_t *incoming = &raft->incoming;

	if (incoming->index != chunk->index ||
	    incoming->checksum != chunk->checksum ||
	    incoming->total != chunk->total_bytes) {
		raft_discard_incoming(raft);
		incoming->data = malloc(chunk->total_bytes + 1);
		if (incoming->data == NULL)
			return (TM_ENOMEM);
		incoming->index = chunk->index;
		incoming->checksum = chunk->checksum;
		incoming->total = chunk->total_bytes;
	}
	if (chunk->offset != incoming->received)
		return (TM_OK);
	if (chunk->data.len > 0)
		memcpy(incoming->data + incoming->received, chunk->data.data,
		    chunk->data.len);
	incoming->received += chunk->data.len;
	if (incoming->received < incoming->total)
		return (TM_OK);
	if (XXH64(incoming->data, incoming->total, 0) == incoming->checksum)
		return (TM_OK);
	raft_discard_incoming(raft);
	return (TM_EFORMAT);
}

/*
 * Entries after the snapshot are kept only if the log agrees with it.
 * Conflicting entries are removed first, so that a crash between the two writes
 * never leaves a snapshot that is followed by entries of another history.
 */
static int
raft_save_installed(raft_t *raft, const raft_snapshot_t *snapshot)
{
	const raft_storage_t *storage = &raft->options.storage;
	uint64_t term = raft_log_get_term(&raft->log, snapshot->index);
	int err = TM_OK;

	if (raft_log_get_last(&raft->log) >= snapshot->index &&
	    term != snapshot->term)
		err = storage->truncate(storage->ctx, snapshot->index);
	if (err == TM_OK)
		err = storage->save_snapshot(storage->ctx, snapshot);
	if (err == TM_OK)
		err = raft_set_snapshot(raft, snapshot);
	if (err != TM_OK) {
		raft_fail(raft, err);
		return (err);
	}
	if (term == snapshot->term)
		raft_log_compact(&raft->log, snapshot->index);
	else
		raft_log_reset(&raft->log, snapshot->index, snapshot->term);
	return (TM_OK);
}

static int
raft_install(raft_t *raft, const Tm__Raft__SnapshotChunk *chunk)
{
	raft_incoming_snapshot_t *incoming = &raft->incoming;
	raft_snapshot_t snapshot = {
		.index = chunk->index,
		.term = chunk->index_term,
		.data = incoming->data,
		.len = incoming->total,
	};
	raft_config_t config;
	int err;

	raft_decode_members(chunk->n_seats, chunk->seats, &config);
	memcpy(snapshot.voters, config.voters, sizeof(config.voters));
	snapshot.voter_count = config.count;
	err = raft->options.install_snapshot(
	    raft->options.ctx, snapshot.index, snapshot.data, snapshot.len);
	if (err != TM_OK)
		return (TM_EFORMAT);
	err = raft_save_installed(raft, &snapshot);
	if (err != TM_OK)
		return (err);
	config.index = snapshot.index;
	raft->base_config = config;
	raft->persisted = raft_log_get_last(&raft->log);
	raft->commit = snapshot.index;
	raft->applied = snapshot.index;
	raft->stats.snapshots_installed++;
	raft_reload_config(raft);
	LOG_EVENT(208, LOG_LEVEL_INFO, "a snapshot is installed",
	    LOG_NUM("index", snapshot.index), LOG_NUM("bytes", snapshot.len));
	return (TM_OK);
}

static int
raft_receive_chunk(raft_t *raft, const Tm__Raft__SnapshotChunk *chunk,
    Tm__Raft__SnapshotReply *reply)
{
	int err;

	if (chunk->index <= raft->commit) {
		reply->installed = 1;
		return (TM_OK);
	}
	err = raft_append_chunk(raft, chunk);
	if (err != TM_OK)
		return (err);
	reply->offset = raft->incoming.received;
	if (raft->incoming.received < raft->incoming.total)
		return (TM_OK);
	err = raft_install(raft, chunk);
	raft_discard_incoming(raft);
	reply->installed = err == TM_OK;
	return (err);
}

int
raft_handle_snapshot(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__SnapshotChunk *chunk =
	    tm__raft__snapshot_chunk__unpack(NULL, len, payload);
	Tm__Raft__SnapshotReply reply = TM__RAFT__SNAPSHOT_REPLY__INIT;
	int err;

	if (chunk == NULL)
		return (TM_EFORMAT);
	err = raft_check_chunk(chunk);
	if (err == TM_OK && chunk->term >= raft->term) {
		err = raft_follow(raft, from, chunk->term);
		if (err == TM_OK)
			err = raft_receive_chunk(raft, chunk, &reply);
	}
	if (err == TM_OK) {
		reply.disk_id = raft->options.disk_id;
		reply.term = raft->term;
		reply.sent_ms = chunk->sent_ms;
		reply.index = chunk->index;
		raft_send(raft, from, MSG_RAFT_SNAPSHOT_REPLY, &reply.base);
	}
	tm__raft__snapshot_chunk__free_unpacked(chunk, NULL);
	return (err);
}

static void
raft_record_snapshot_progress(
    raft_t *raft, raft_peer_t *peer, const Tm__Raft__SnapshotReply *reply)
{
	if (reply->index != peer->snapshot_index)
		return;
	if (!reply->installed) {
		peer->snapshot_offset = reply->offset;
		peer->snapshot_sent_ms = 0;
		return;
	}
	peer->snapshot_index = 0;
	if (reply->index > peer->match)
		peer->match = reply->index;
	peer->next = peer->match + 1;
	peer->inflight = 0;
	peer->probing = 1;
	raft_advance_commit(raft);
}

int
raft_handle_snapshot_reply(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__SnapshotReply *reply =
	    tm__raft__snapshot_reply__unpack(NULL, len, payload);
	raft_peer_t *peer = NULL;
	int err = TM_OK;

	if (reply == NULL)
		return (TM_EFORMAT);
	if (reply->disk_id == RAFT_DISK_NONE || reply->term == UINT64_MAX ||
	    (reply->index == raft->snapshot.index &&
		reply->offset > raft->snapshot.len))
		err = TM_EFORMAT;
	else
		peer = raft_record_reply(
		    raft, from, reply->disk_id, reply->term, reply->sent_ms);
	if (peer != NULL) {
		raft_record_snapshot_progress(raft, peer, reply);
		raft_send_to_peers(raft);
	}
	tm__raft__snapshot_reply__free_unpacked(reply, NULL);
	return (err);
}

/* Finds the configuration that applies at an index. */
static void
raft_get_config_at(const raft_t *raft, uint64_t index, raft_config_t *config)
{
	const raft_entry_t *entry;

	*config = raft->base_config;
	for (; (entry = raft_log_get(&raft->log, index)) != NULL; index--) {
		if (entry->kind != RAFT_KIND_CONFIG)
			continue;
		raft_decode_config(entry->data, entry->len, config);
		config->index = index;
		return;
	}
}

static void
raft_drop_entries(raft_t *raft, uint64_t keep)
{
	uint64_t to = raft->snapshot.index;

	to = to > keep ? to - keep : 0;
	if (to <= raft->log.base_index)
		return;
	raft_get_config_at(raft, to, &raft->base_config);
	raft_log_compact(&raft->log, to);
}

int
raft_compact(raft_t *raft, uint64_t keep)
{
	raft_snapshot_t snapshot = { .index = raft->applied };
	raft_config_t config;
	uint8_t *data = NULL;
	int err;

	if (raft->error != TM_OK)
		return (raft->error);
	if (raft->applied <= raft->snapshot.index)
		return (TM_OK);
	err = raft->options.take_snapshot(
	    raft->options.ctx, &data, &snapshot.len);
	if (err != TM_OK)
		return (err);
	if (snapshot.len > RAFT_SNAPSHOT_MAX_BYTES) {
		free(data);
		return (TM_ETOOBIG);
	}
	raft_get_config_at(raft, snapshot.index, &config);
	snapshot.term = raft_log_get_term(&raft->log, snapshot.index);
	snapshot.voter_count = config.count;
	memcpy(snapshot.voters, config.voters, sizeof(config.voters));
	snapshot.data = data;
	err = raft->options.storage.save_snapshot(
	    raft->options.storage.ctx, &snapshot);
	if (err != TM_OK)
		raft_fail(raft, err);
	else
		err = raft_set_snapshot(raft, &snapshot);
	free(data);
	if (err != TM_OK)
		return (err);
	raft_drop_entries(raft, keep);
	LOG_EVENT(209, LOG_LEVEL_INFO, "the log is compacted",
	    LOG_NUM("index", snapshot.index), LOG_NUM("bytes", snapshot.len));
	return (TM_OK);
}
