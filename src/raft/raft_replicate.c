#include <stdlib.h>

#include "base/error.h"
#include "base/log.h"
#include "raft/raft_internal.h"

static size_t
raft_encode_entries(
    raft_t *raft, uint64_t from, Tm__Raft__Entry *out, Tm__Raft__Entry **list)
{
	const raft_entry_t *entry;
	size_t bytes = 0;
	size_t count = 0;

	while (count < RAFT_APPEND_ENTRIES_MAX && from <= raft->persisted) {
		entry = raft_log_get(&raft->log, from++);
		if (entry == NULL ||
		    (count > 0 &&
			bytes + entry->len > RAFT_APPEND_TARGET_BYTES))
			break;
		tm__raft__entry__init(&out[count]);
		out[count].term = entry->term;
		out[count].kind = entry->kind;
		out[count].data.data = (uint8_t *)entry->data;
		out[count].data.len = entry->len;
		list[count] = &out[count];
		bytes += entry->len;
		count++;
	}
	return (count);
}

/* Sends entries from peer->next on, or a heartbeat if there are none. */
static void
raft_send_append(raft_t *raft, raft_peer_t *peer)
{
	static _Thread_local Tm__Raft__Entry entries[RAFT_APPEND_ENTRIES_MAX];
	static _Thread_local Tm__Raft__Entry *list[RAFT_APPEND_ENTRIES_MAX];
	Tm__Raft__Append message = TM__RAFT__APPEND__INIT;

	message.disk_id = raft->options.disk_id;
	message.term = raft->term;
	message.prev_index = peer->next - 1;
	message.prev_term = raft_log_get_term(&raft->log, peer->next - 1);
	message.commit = raft->commit;
	message.sent_ms = raft->now_ms;
	if (peer->inflight < RAFT_INFLIGHT_MAX)
		message.n_entries =
		    raft_encode_entries(raft, peer->next, entries, list);
	message.entries = list;
	if (message.n_entries > 0) {
		if (peer->inflight++ == 0)
			peer->progress_ms = raft->now_ms;
		if (!peer->probing)
			peer->next += message.n_entries;
	}
	peer->sent_ms = raft->now_ms;
	peer->commit_sent = raft->commit;
	raft_send(raft, peer->node, MSG_RAFT_APPEND, &message.base);
}

/* After lost replies, resumes from the last entry that is known to match. */
static void
raft_reset_stalled_peer(raft_t *raft, raft_peer_t *peer)
{
	if (peer->inflight == 0 ||
	    raft->now_ms - peer->progress_ms < raft->options.election_ms / 2)
		return;
	peer->inflight = 0;
	peer->probing = 1;
	if (peer->match > 0)
		peer->next = peer->match + 1;
}

void
raft_send_to_peer(raft_t *raft, raft_peer_t *peer)
{
	int due = raft->now_ms - peer->sent_ms >= raft->options.heartbeat_ms;

	raft_reset_stalled_peer(raft, peer);
	if (peer->next <= raft->log.base_index) {
		raft_send_snapshot(raft, peer);
		return;
	}
	if (peer->probing) {
		if (peer->inflight == 0 || due)
			raft_send_append(raft, peer);
		return;
	}
	while (
	    peer->next <= raft->persisted && peer->inflight < RAFT_INFLIGHT_MAX)
		raft_send_append(raft, peer);
	if (peer->commit_sent < raft->commit ||
	    raft->now_ms - peer->sent_ms >= raft->options.heartbeat_ms)
		raft_send_append(raft, peer);
}

void
raft_send_to_peers(raft_t *raft)
{
	int i;

	for (i = 0; i < raft->peer_count && raft->role == RAFT_LEADER; i++)
		raft_send_to_peer(raft, &raft->peers[i]);
}

static void
raft_tick_transfer(raft_t *raft)
{
	const raft_peer_t *peer;

	if (raft->transfer_until_ms == 0)
		return;
	peer = raft_find_peer(raft, raft->transfer_to);
	if (peer == NULL || raft->now_ms >= raft->transfer_until_ms) {
		raft->transfer_until_ms = 0;
		return;
	}
	if (peer->match < raft_log_get_last(&raft->log))
		return;
	raft_send_timeout_now(raft, peer);
	/*
	 * The successor may start its election at any later time, so this node
	 * can no longer rely on the others not to vote.
	 */
	raft_step_down(raft, "leadership is transferred");
}

static int
raft_has_lost_quorum(const raft_t *raft)
{
	int64_t since_ms = raft_get_quorum_contact_ms(raft);

	if (raft->options.test_switches & RAFT_TEST_NO_CHECK_QUORUM)
		return (0);
	if (since_ms < raft->leader_since_ms)
		since_ms = raft->leader_since_ms;
	/* The replies that came while this node was held up are not read yet.
	 * Whether it may still serve is up to raft_has_quorum_contact(). */
	return (raft->now_ms - raft->held_up_ms - since_ms >
	    raft->options.election_ms);
}

void
raft_tick_leader(raft_t *raft)
{
	if (raft_has_lost_quorum(raft)) {
		raft->stats.step_downs++;
		raft_step_down(raft, "no contact to a majority");
		return;
	}
	raft_update_members(raft);
	if (raft_flush(raft, raft->now_ms) == TM_OK)
		raft_tick_transfer(raft);
}

static int
raft_compare_index(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return ((left < right) - (left > right));
}

void
raft_advance_commit(raft_t *raft)
{
	uint64_t match[RAFT_MEMBERS_MAX + 1];
	const raft_peer_t *peer;
	int quorum = raft_quorum_size(raft);
	int count = 0;
	uint64_t index;
	int i;

	if (raft->role != RAFT_LEADER)
		return;
	if (raft_is_voter(raft))
		match[count++] = raft->persisted;
	for (i = 0; i < raft->peer_count; i++) {
		peer = &raft->peers[i];
		if (raft_is_voting(raft, peer->node, peer->disk_id))
			match[count++] = peer->match;
	}
	if (count < quorum)
		return;
	qsort(match, (size_t)count, sizeof(match[0]), raft_compare_index);
	index = match[quorum - 1];
	/* An entry of an older term may still be replaced by a new leader. */
	if (index <= raft->commit ||
	    raft_log_get_term(&raft->log, index) != raft->term)
		return;
	raft->commit = index;
	raft_advance_applied(raft);
}

/*
 * Highest index at which the logs may match. Skips all entries of a term that
 * differs, so that the leader need not probe them one by one.
 */
static uint64_t
raft_find_hint(const raft_t *raft, uint64_t prev_index)
{
	uint64_t last = raft_log_get_last(&raft->log);
	uint64_t hint = prev_index;
	uint64_t term;

	if (prev_index > last)
		return (last);
	term = raft_log_get_term(&raft->log, hint);
	while (
	    hint > raft->commit && raft_log_get_term(&raft->log, hint) == term)
		hint--;
	return (hint);
}

static int
raft_check_append(const Tm__Raft__Append *message)
{
	uint64_t term = message->prev_term;
	const Tm__Raft__Entry *entry;
	raft_config_t config;
	size_t i;

	if (message->disk_id == RAFT_DISK_NONE || message->term == 0 ||
	    message->term == UINT64_MAX)
		return (TM_EFORMAT);
	if (message->prev_index > UINT64_MAX / 2 ||
	    (message->prev_index == 0) != (message->prev_term == 0))
		return (TM_EFORMAT);
	for (i = 0; i < message->n_entries; i++) {
		entry = message->entries[i];
		if (entry->term < term || entry->term == 0 ||
		    entry->data.len > RAFT_ENTRY_MAX_BYTES)
			return (TM_EFORMAT);
		if (entry->kind != RAFT_KIND_DATA &&
		    entry->kind != RAFT_KIND_CONFIG)
			return (TM_EFORMAT);
		if (entry->kind == RAFT_KIND_CONFIG &&
		    raft_decode_config(
			entry->data.data, entry->data.len, &config) != TM_OK)
			return (TM_EFORMAT);
		term = entry->term;
	}
	return (term > message->term ? TM_EFORMAT : TM_OK);
}

static int
raft_truncate(raft_t *raft, uint64_t from)
{
	int err;

	/* Committed entries are never removed, not even by a leader. */
	if (from <= raft->commit)
		return (TM_EFORMAT);
	err = raft->options.storage.truncate(raft->options.storage.ctx, from);
	if (err != TM_OK) {
		raft_fail(raft, err);
		return (err);
	}
	raft_log_truncate(&raft->log, from);
	raft->persisted = raft_log_get_last(&raft->log);
	return (TM_OK);
}

/*
 * Removes conflicting entries, then appends and persists the missing ones.
 * @return 0; TM_EFORMAT; TM_ENOMEM; an error of the storage
 */
static int
raft_store_entries(raft_t *raft, const Tm__Raft__Append *message)
{
	uint64_t index = message->prev_index;
	const Tm__Raft__Entry *entry;
	int reload = 0;
	int err = TM_OK;
	size_t i;

	for (i = 0; i < message->n_entries && err == TM_OK; i++) {
		entry = message->entries[i];
		index++;
		if (index <= raft->log.base_index ||
		    raft_log_get_term(&raft->log, index) == entry->term)
			continue;
		if (entry->kind == RAFT_KIND_CONFIG)
			reload = 1;
		if (index <= raft_log_get_last(&raft->log)) {
			err = raft_truncate(raft, index);
			reload = 1;
		}
		if (err == TM_OK)
			err = raft_log_append(&raft->log, entry->term,
			    (raft_kind_t)entry->kind, entry->data.data,
			    entry->data.len);
	}
	if (reload)
		raft_reload_config(raft);
	if (err == TM_ENOMEM)
		raft_fail(raft, err);
	return (err == TM_OK ? raft_persist(raft) : err);
}

static int
raft_matches_prev(const raft_t *raft, const Tm__Raft__Append *message)
{
	if (message->prev_index < raft->log.base_index)
		return (1);
	return (message->prev_index <= raft_log_get_last(&raft->log) &&
	    raft_log_get_term(&raft->log, message->prev_index) ==
		message->prev_term);
}

static int
raft_apply_append(
    raft_t *raft, const Tm__Raft__Append *message, Tm__Raft__AppendReply *reply)
{
	uint64_t last = message->prev_index + message->n_entries;
	int err;

	if (!raft_matches_prev(raft, message)) {
		reply->index = raft_find_hint(raft, message->prev_index);
		return (TM_OK);
	}
	err = raft_store_entries(raft, message);
	if (err != TM_OK)
		return (err);
	reply->accepted = 1;
	reply->index =
	    last > raft->log.base_index ? last : raft->log.base_index;
	if (message->commit > raft->commit && last > raft->commit) {
		raft->commit = message->commit < last ? message->commit : last;
		raft_advance_applied(raft);
	}
	return (TM_OK);
}

int
raft_handle_append(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__Append *message =
	    tm__raft__append__unpack(NULL, len, payload);
	Tm__Raft__AppendReply reply = TM__RAFT__APPEND_REPLY__INIT;
	int err;

	if (message == NULL)
		return (TM_EFORMAT);
	err = raft_check_append(message);
	if (err == TM_OK && message->term >= raft->term) {
		err = raft_follow(raft, from, message->term);
		if (err == TM_OK)
			err = raft_apply_append(raft, message, &reply);
	}
	if (err == TM_OK) {
		reply.disk_id = raft->options.disk_id;
		reply.term = raft->term;
		reply.sent_ms = message->sent_ms;
		reply.prev_index = message->prev_index;
		raft_send(raft, from, MSG_RAFT_APPEND_REPLY, &reply.base);
	}
	tm__raft__append__free_unpacked(message, NULL);
	return (err);
}

raft_peer_t *
raft_record_reply(raft_t *raft, node_id_t from, uint64_t disk_id, uint64_t term,
    int64_t sent_ms)
{
	int ignore_disk =
	    (raft->options.test_switches & RAFT_TEST_IGNORE_DISK_ID) != 0;
	raft_peer_t *peer;

	if (term > raft->term) {
		raft_become_follower(raft, term, NODE_ID_NONE);
		return (NULL);
	}
	if (raft->role != RAFT_LEADER || term < raft->term)
		return (NULL);
	peer = raft_find_peer(raft, from);
	if (peer == NULL || sent_ms > raft->now_ms)
		return (NULL);
	if (peer->disk_id != disk_id && !ignore_disk) {
		*peer = (raft_peer_t){
			.node = from,
			.disk_id = disk_id,
			.next = raft->persisted + 1,
			.probing = 1,
		};
	}
	if (sent_ms > peer->last_acked_ms)
		peer->last_acked_ms = sent_ms;
	peer->progress_ms = raft->now_ms;
	return (peer);
}

static void
raft_apply_accept(
    raft_t *raft, raft_peer_t *peer, const Tm__Raft__AppendReply *reply)
{
	peer->probing = 0;
	if (peer->inflight > 0)
		peer->inflight--;
	if (reply->index > peer->match) {
		peer->match = reply->index;
		raft_advance_commit(raft);
	}
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
}

static void
raft_apply_reject(
    raft_t *raft, raft_peer_t *peer, const Tm__Raft__AppendReply *reply)
{
	uint64_t next = reply->index + 1;
	char id[17];

	if (reply->prev_index <= peer->match) {
		/*
		 * A delayed reply, unless the follower lost entries that it
		 * acknowledged.
		 */
		if (reply->index < peer->match && !peer->data_loss_reported &&
		    reply->prev_index == peer->match) {
			peer->data_loss_reported = 1;
			LOG_EVENT(211, LOG_LEVEL_WARN,
			    "a member rejects entries that it acknowledged",
			    LOG_TEXT("member", raft_format_id(peer->node, id)));
		}
		return;
	}
	if (reply->prev_index >= peer->next)
		return;
	if (next > reply->prev_index)
		next = reply->prev_index;
	if (next <= peer->match)
		next = peer->match + 1;
	peer->next = next;
	peer->inflight = 0;
	peer->probing = 1;
}

int
raft_handle_append_reply(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__AppendReply *reply =
	    tm__raft__append_reply__unpack(NULL, len, payload);
	raft_peer_t *peer = NULL;
	int err = TM_OK;

	if (reply == NULL)
		return (TM_EFORMAT);
	if (reply->disk_id == RAFT_DISK_NONE || reply->term == UINT64_MAX ||
	    (reply->accepted && reply->term == raft->term &&
		raft->role == RAFT_LEADER && reply->index > raft->persisted))
		err = TM_EFORMAT;
	else
		peer = raft_record_reply(
		    raft, from, reply->disk_id, reply->term, reply->sent_ms);
	if (peer != NULL) {
		if (reply->accepted)
			raft_apply_accept(raft, peer, reply);
		else
			raft_apply_reject(raft, peer, reply);
		raft_send_to_peers(raft);
	}
	tm__raft__append_reply__free_unpacked(reply, NULL);
	return (err);
}
