#include "raft/raft.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "net/msg_types.h"
#include "raft/raft_internal.h"

_Static_assert(MSG_RAFT_VOTE_REQUEST == MSG_RAFT_BASE,
    "the first type of the range differs");

const char *
raft_format_id(uint64_t id, char text[17])
{
	snprintf(text, 17, "%016llx", (unsigned long long)id);
	return (text);
}

void
raft_fail(raft_t *raft, int err)
{
	const raft_peer_t *successor = NULL;

	if (raft->error != TM_OK)
		return;
	if (raft->role == RAFT_LEADER)
		successor = raft_pick_successor(raft);
	raft->error = err;
	raft->role = RAFT_FOLLOWER;
	raft->leader = NODE_ID_NONE;
	LOG_EVENT(210, LOG_LEVEL_ERROR,
	    "storage failed; this node no longer participates: restart it",
	    LOG_TEXT("error", error_get_text(err)));
	/* Without it the others would wait for an election timeout. */
	if (successor != NULL)
		raft_send_timeout_now(raft, successor);
}

void
raft_reset_election(raft_t *raft)
{
	int64_t base_ms = raft->options.election_ms;

	raft->election_due_ms = raft->now_ms + base_ms +
	    (int64_t)rng_below(&raft->rng, (uint64_t)base_ms);
	raft->excused_ms = 0;
}

int
raft_save_vote(raft_t *raft, uint64_t term, node_id_t vote)
{
	int err;

	if (raft->error != TM_OK)
		return (raft->error);
	err = raft->options.storage.save_vote(
	    raft->options.storage.ctx, term, vote);
	if (err != TM_OK) {
		raft_fail(raft, err);
		return (err);
	}
	raft->term = term;
	raft->vote = vote;
	return (TM_OK);
}

void
raft_become_follower(raft_t *raft, uint64_t term, node_id_t leader)
{
	raft_become_voter(raft, term, NODE_ID_NONE, leader);
}

void
raft_become_voter(raft_t *raft, uint64_t term, node_id_t vote, node_id_t leader)
{
	int was_leader = raft->role == RAFT_LEADER;

	if (raft_check_epoch(raft, term) != TM_OK)
		return;
	if (term > raft->term && raft_save_vote(raft, term, vote) != TM_OK)
		return;
	if (leader != raft->leader && leader != NODE_ID_NONE) {
		char id[17];

		LOG_EVENT(202, LOG_LEVEL_INFO, "follows a leader",
		    LOG_NUM("term", term),
		    LOG_TEXT("leader", raft_format_id(leader, id)));
	}
	raft->role = RAFT_FOLLOWER;
	raft->leader = leader;
	raft->transfer_until_ms = 0;
	if (was_leader) {
		/* Discards proposals that were not yet written to disk. */
		raft_log_truncate(&raft->log, raft->persisted + 1);
		raft_reload_config(raft);
		raft_reset_election(raft);
	}
}

void
raft_send(
    raft_t *raft, node_id_t to, uint16_t type, const ProtobufCMessage *message)
{
	raft->options.send(raft->options.send_ctx, to, type, message);
}

int
raft_append_local(
    raft_t *raft, raft_kind_t kind, const uint8_t *data, size_t len)
{
	return (raft_log_append(&raft->log, raft->term, kind, data, len));
}

int
raft_persist(raft_t *raft)
{
	uint64_t last = raft_log_get_last(&raft->log);
	int err;

	if (raft->error != TM_OK)
		return (raft->error);
	if (last <= raft->persisted)
		return (TM_OK);
	err = raft->options.storage.append(raft->options.storage.ctx,
	    raft_log_get(&raft->log, raft->persisted + 1),
	    (size_t)(last - raft->persisted));
	if (err != TM_OK) {
		raft_fail(raft, err);
		return (err);
	}
	raft->persisted = last;
	return (TM_OK);
}

void
raft_advance_applied(raft_t *raft)
{
	const raft_entry_t *entry;

	while (raft->applied < raft->commit) {
		entry = raft_log_get(&raft->log, raft->applied + 1);
		if (entry == NULL)
			return;
		raft->applied++;
		if (entry->kind == RAFT_KIND_DATA)
			raft->options.apply(raft->options.ctx, entry->index,
			    entry->data, entry->len);
	}
}

void
raft_count_malformed(raft_t *raft, node_id_t from, uint16_t type)
{
	char id[17];

	raft->stats.malformed++;
	LOG_EVENT(204, LOG_LEVEL_DEBUG, "malformed message",
	    LOG_TEXT("from", raft_format_id(from, id)), LOG_NUM("type", type));
}

int
raft_follow(raft_t *raft, node_id_t from, uint64_t term)
{
	if (term == raft->term && raft->role == RAFT_LEADER)
		return (TM_EFORMAT);
	if (term == raft->term && raft->leader != NODE_ID_NONE &&
	    raft->leader != from)
		return (TM_EFORMAT);
	raft_become_follower(raft, term, from);
	raft->leader_last_seen_ms = raft->now_ms;
	raft_reset_election(raft);
	return (raft->error);
}

static int
raft_check_options(const raft_options_t *options)
{
	const raft_storage_t *storage = &options->storage;

	if (options->self == NODE_ID_NONE || options->disk_id == RAFT_DISK_NONE)
		return (TM_EINVAL);
	if (options->voter_count < 0 || options->voter_count > RAFT_MEMBERS_MAX)
		return (TM_EINVAL);
	if (storage->append == NULL || storage->truncate == NULL ||
	    storage->save_vote == NULL || storage->save_snapshot == NULL)
		return (TM_EINVAL);
	if (options->send == NULL || options->apply == NULL ||
	    options->take_snapshot == NULL || options->install_snapshot == NULL)
		return (TM_EINVAL);
	return (TM_OK);
}

void
raft_start_from_snapshot(raft_t *raft, const raft_snapshot_t *snapshot)
{
	raft_log_reset(&raft->log, snapshot->index, snapshot->term);
	raft->base_config.count = snapshot->voter_count;
	memcpy(raft->base_config.voters, snapshot->voters,
	    sizeof(snapshot->voters));
	raft->base_config.index = snapshot->index;
	raft->commit = snapshot->index;
	raft->applied = snapshot->index;
}

static int
raft_restore_snapshot(raft_t *raft, const raft_snapshot_t *snapshot)
{
	int err;

	if (snapshot->index == 0)
		return (TM_OK);
	if (snapshot->voter_count <= 0 ||
	    snapshot->voter_count > RAFT_MEMBERS_MAX)
		return (TM_ECORRUPT);
	err = raft_set_snapshot(raft, snapshot);
	if (err != TM_OK)
		return (err);
	raft_start_from_snapshot(raft, snapshot);
	return (raft->options.install_snapshot(
	    raft->options.ctx, snapshot->index, snapshot->data, snapshot->len));
}

static int
raft_restore_entries(raft_t *raft, const raft_restore_t *restore)
{
	const raft_entry_t *entry;
	size_t i;
	int err;

	for (i = 0; i < restore->entry_count; i++) {
		entry = &restore->entries[i];
		if (entry->index <= raft->log.base_index)
			continue;
		if (entry->index != raft_log_get_last(&raft->log) + 1)
			return (TM_ECORRUPT);
		if (entry->term > restore->term)
			return (TM_ECORRUPT);
		err = raft_log_append(&raft->log, entry->term, entry->kind,
		    entry->data, entry->len);
		if (err != TM_OK)
			return (err);
	}
	raft->persisted = raft_log_get_last(&raft->log);
	return (TM_OK);
}

static int
raft_restore(raft_t *raft)
{
	const raft_restore_t *restore = &raft->options.restore;
	uint64_t restore_term = restore->term;
	int err;

	raft->term = restore->term;
	raft->vote = restore->vote;
	err = raft_restore_snapshot(raft, &restore->snapshot);
	if (err == TM_OK)
		err = raft_restore_entries(raft, restore);
	/* The caller owns the restored data and may free it after this call. */
	raft->options.restore = (raft_restore_t){ .term = 0 };
	if (err != TM_OK)
		return (err);
	raft_reload_config(raft);
	if (restore_term < raft->snapshot.term &&
	    raft_save_vote(raft, raft->snapshot.term, NODE_ID_NONE) != TM_OK)
		return (raft->error);
	if (raft_check_epoch(raft, raft->term) != TM_OK)
		return (TM_OK);
	return (raft_bootstrap_from_options(raft));
}

int
raft_create(raft_t **out, const raft_options_t *options, int64_t now_ms)
{
	raft_t *raft;
	int err = raft_check_options(options);

	if (err != TM_OK)
		return (err);
	raft = calloc(1, sizeof(*raft));
	if (raft == NULL)
		return (TM_ENOMEM);
	raft->options = *options;
	if (raft->options.heartbeat_ms <= 0)
		raft->options.heartbeat_ms = RAFT_HEARTBEAT_MS;
	if (raft->options.election_ms <= 0)
		raft->options.election_ms = RAFT_ELECTION_MS;
	rng_init(&raft->rng, options->seed);
	raft->now_ms = now_ms;
	/*
	 * This node may have acknowledged a leader just before the restart.
	 * That leader relies on it not to vote for an election timeout.
	 */
	raft->leader_last_seen_ms = now_ms;
	raft_reset_election(raft);
	err = raft_restore(raft);
	if (err != TM_OK) {
		raft_destroy(raft);
		return (err);
	}
	*out = raft;
	return (TM_OK);
}

void
raft_destroy(raft_t *raft)
{
	if (raft == NULL)
		return;
	raft_log_free(&raft->log);
	free((void *)raft->snapshot.data);
	free(raft->incoming.data);
	free(raft);
}

/*
 * A node that wrote to a slow disk, or did not run, has not read yet what the
 * others sent meanwhile: that time does not count against them. A candidate also
 * allows the voters the time that it needed itself to save its vote. Otherwise,
 * with writes about as long as the election timeout, each candidate starts
 * another election before the votes arrive, and no node is ever elected. The
 * delays count up to a maximum for each timeout: a node whose ticks are all late
 * must not wait ever longer.
 */
static void
raft_excuse_delay(raft_t *raft)
{
	int64_t last_ms = raft->ticked_ms;
	int64_t late_ms = raft->now_ms - last_ms - raft->options.heartbeat_ms;
	int64_t latest_ms = raft->now_ms + 2 * raft->options.election_ms;

	raft->ticked_ms = raft->now_ms;
	raft->held_up_ms = last_ms != 0 && late_ms > 0 ? late_ms : 0;
	if (raft->held_up_ms == 0 || raft->excused_ms >= RAFT_EXCUSED_MAX_MS)
		return;
	raft->excused_ms += late_ms;
	raft->election_due_ms += late_ms;
	/* It may have been set after the delay. */
	if (raft->election_due_ms > latest_ms)
		raft->election_due_ms = latest_ms;
	if (raft->role == RAFT_CANDIDATE)
		raft->election_due_ms += late_ms < RAFT_VOTERS_DELAY_MAX_MS
		    ? late_ms
		    : RAFT_VOTERS_DELAY_MAX_MS;
}

void
raft_tick(raft_t *raft, int64_t now_ms)
{
	raft->now_ms = now_ms;
	if (raft->error != TM_OK)
		return;
	raft_excuse_delay(raft);
	raft_tick_bootstrap(raft);
	if (raft->role == RAFT_LEADER)
		raft_tick_leader(raft);
	else
		raft_tick_election(raft);
}

static int
raft_dispatch(raft_t *raft, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len)
{
	switch (type) {
	case MSG_RAFT_VOTE_REQUEST:
		return (raft_handle_vote_request(raft, from, payload, len));
	case MSG_RAFT_VOTE_REPLY:
		return (raft_handle_vote_reply(raft, from, payload, len));
	case MSG_RAFT_APPEND:
		return (raft_handle_append(raft, from, payload, len));
	case MSG_RAFT_APPEND_REPLY:
		return (raft_handle_append_reply(raft, from, payload, len));
	case MSG_RAFT_SNAPSHOT:
		return (raft_handle_snapshot(raft, from, payload, len));
	case MSG_RAFT_SNAPSHOT_REPLY:
		return (raft_handle_snapshot_reply(raft, from, payload, len));
	case MSG_RAFT_TIMEOUT_NOW:
		return (raft_handle_timeout_now(raft, from, payload, len));
	case MSG_RAFT_HELLO:
		return (raft_handle_hello(raft, from, payload, len));
	case MSG_RAFT_FORM:
		return (raft_handle_form(raft, from, payload, len));
	default:
		return (TM_EFORMAT);
	}
}

void
raft_handle(raft_t *raft, node_id_t from, uint16_t type, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	raft->now_ms = now_ms;
	if (raft->error != TM_OK)
		return;
	if (from == NODE_ID_NONE || from == raft->options.self ||
	    raft_dispatch(raft, from, type, payload, len) == TM_EFORMAT)
		raft_count_malformed(raft, from, type);
}

int
raft_propose(raft_t *raft, const uint8_t *data, size_t len, uint64_t *index)
{
	int err;

	if (raft->error != TM_OK)
		return (TM_EIO);
	if (raft->role != RAFT_LEADER)
		return (TM_ENOTLEADER);
	if (len > RAFT_ENTRY_MAX_BYTES)
		return (TM_ETOOBIG);
	if (raft->transfer_until_ms != 0)
		return (TM_EUNAVAIL);
	if (raft_log_get_last(&raft->log) - raft->commit >=
		RAFT_UNCOMMITTED_MAX ||
	    raft->log.bytes >= RAFT_LOG_MAX_BYTES)
		return (TM_EFULL);
	err = raft_append_local(raft, RAFT_KIND_DATA, data, len);
	if (err == TM_OK)
		*index = raft_log_get_last(&raft->log);
	return (err);
}

int
raft_flush(raft_t *raft, int64_t now_ms)
{
	raft->now_ms = now_ms;
	if (raft->error != TM_OK)
		return (TM_EIO);
	if (raft->role != RAFT_LEADER)
		return (TM_OK);
	if (raft_persist(raft) != TM_OK)
		return (TM_EIO);
	raft_advance_commit(raft);
	raft_send_to_peers(raft);
	return (TM_OK);
}

int
raft_is_leader(const raft_t *raft)
{
	return (raft->role == RAFT_LEADER);
}

node_id_t
raft_get_leader(const raft_t *raft)
{
	return (raft->leader);
}

uint64_t
raft_get_term(const raft_t *raft)
{
	return (raft->term);
}

uint64_t
raft_get_commit(const raft_t *raft)
{
	return (raft->commit);
}

uint64_t
raft_get_applied(const raft_t *raft)
{
	return (raft->applied);
}

uint64_t
raft_get_last(const raft_t *raft)
{
	return (raft_log_get_last(&raft->log));
}

uint64_t
raft_get_first(const raft_t *raft)
{
	return (raft->log.base_index + 1);
}

uint64_t
raft_get_entry_term(const raft_t *raft, uint64_t index)
{
	return (raft_log_get_term(&raft->log, index));
}

const raft_entry_t *
raft_get_entry(const raft_t *raft, uint64_t index)
{
	return (raft_log_get(&raft->log, index));
}

int
raft_get_error(const raft_t *raft)
{
	return (raft->error);
}

int
raft_get_members(const raft_t *raft, raft_member_t *voters)
{
	memcpy(voters, raft->config.voters,
	    sizeof(voters[0]) * (size_t)raft->config.count);
	return (raft->config.count);
}

void
raft_get_stats(const raft_t *raft, raft_stats_t *stats)
{
	*stats = raft->stats;
}
