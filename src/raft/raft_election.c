#include <stdlib.h>

#include "base/error.h"
#include "base/log.h"
#include "raft/raft_internal.h"

static int
raft_count_votes(const raft_t *raft)
{
	int granted = raft_is_voter(raft);
	int i;

	for (i = 0; i < raft->peer_count; i++) {
		if (raft->peers[i].granted)
			granted++;
	}
	return (granted);
}

static void
raft_become_leader(raft_t *raft)
{
	raft_config_t config = raft->config;
	raft_peer_t *peer;
	int i;

	raft->role = RAFT_LEADER;
	raft->leader = raft->options.self;
	raft->leader_since_ms = raft->now_ms;
	raft->transfer_until_ms = 0;
	for (i = 0; i < raft->peer_count; i++) {
		peer = &raft->peers[i];
		*peer = (raft_peer_t){
			.node = peer->node,
			.next = raft_log_get_last(&raft->log) + 1,
			.probing = 1,
		};
	}
	LOG_EVENT(200, LOG_LEVEL_INFO, "this node is the leader",
	    LOG_NUM("term", raft->term), LOG_NUM("last", raft->persisted));
	/*
	 * Appending the configuration again also overwrites a first
	 * configuration that differs on another member.
	 */
	if (raft_append_config(raft, &config) == TM_OK &&
	    raft_persist(raft) == TM_OK)
		raft_send_to_peers(raft);
	raft_advance_commit(raft);
}

static void
raft_check_votes(raft_t *raft)
{
	if (raft_count_votes(raft) < raft_quorum_size(raft))
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		raft_start_election(raft, 0, 0);
	else if (raft->role == RAFT_CANDIDATE)
		raft_become_leader(raft);
}

void
raft_start_election(raft_t *raft, int pre_vote, int transfer)
{
	Tm__Raft__VoteRequest request = TM__RAFT__VOTE_REQUEST__INIT;
	int i;

	raft_reset_election(raft);
	raft->leader = NODE_ID_NONE;
	for (i = 0; i < raft->peer_count; i++)
		raft->peers[i].granted = 0;
	raft->role = pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
	if (!pre_vote) {
		raft->stats.elections++;
		if (raft_save_vote(raft, raft->term + 1, raft->options.self) !=
		    TM_OK)
			return;
	}
	request.disk_id = raft->options.disk_id;
	request.term = raft->term + (pre_vote ? 1 : 0);
	request.last_index = raft_log_get_last(&raft->log);
	request.last_term = raft_log_get_term(&raft->log, request.last_index);
	request.pre_vote = pre_vote;
	request.transfer = transfer;
	for (i = 0; i < raft->peer_count; i++)
		raft_send(raft, raft->peers[i].node, MSG_RAFT_VOTE_REQUEST,
		    &request.base);
	raft_check_votes(raft);
}

void
raft_tick_election(raft_t *raft)
{
	int no_pre_vote =
	    (raft->options.test_switches & RAFT_TEST_NO_PRE_VOTE) != 0;

	if (raft->now_ms < raft->election_due_ms || !raft_is_voter(raft))
		return;
	raft_start_election(raft, !no_pre_vote, 0);
}

void
raft_step_down(raft_t *raft, const char *reason)
{
	LOG_EVENT(203, LOG_LEVEL_WARN, "this node is no longer the leader",
	    LOG_NUM("term", raft->term), LOG_TEXT("reason", reason));
	raft_become_follower(raft, raft->term, NODE_ID_NONE);
}

static int
raft_compare_ms(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return ((left < right) - (left > right));
}

int64_t
raft_get_quorum_contact_ms(const raft_t *raft)
{
	int64_t last_acked_ms[RAFT_MEMBERS_MAX + 1];
	const raft_peer_t *peer;
	int quorum = raft_quorum_size(raft);
	int count = 0;
	int i;

	if (raft_is_voter(raft))
		last_acked_ms[count++] = INT64_MAX;
	for (i = 0; i < raft->peer_count; i++) {
		peer = &raft->peers[i];
		if (raft_is_voting(raft, peer->node, peer->disk_id))
			last_acked_ms[count++] = peer->last_acked_ms;
	}
	if (count < quorum)
		return (0);
	qsort(last_acked_ms, (size_t)count, sizeof(last_acked_ms[0]),
	    raft_compare_ms);
	return (last_acked_ms[quorum - 1]);
}

/* Returns 1 if an election now would disturb a live leader. */
static int
raft_has_live_leader(const raft_t *raft)
{
	if (raft->role == RAFT_LEADER)
		return (1);
	return (raft->now_ms - raft->leader_last_seen_ms <
	    raft->options.election_ms);
}

static int
raft_is_up_to_date(const raft_t *raft, const Tm__Raft__VoteRequest *request)
{
	uint64_t last = raft_log_get_last(&raft->log);
	uint64_t last_term = raft_log_get_term(&raft->log, last);

	if (request->last_term != last_term)
		return (request->last_term > last_term);
	return (request->last_index >= last);
}

static int
raft_decide_vote(
    raft_t *raft, node_id_t from, const Tm__Raft__VoteRequest *request)
{
	if (raft_has_live_leader(raft) && !request->transfer)
		return (0);
	if (request->pre_vote)
		return (request->term > raft->term &&
		    raft_is_up_to_date(raft, request));
	if (request->term < raft->term)
		return (0);
	/* One write for the term and the vote: with a slow disk, a second one
	 * makes the vote too late for the candidate. */
	if (request->term > raft->term)
		raft_become_voter(raft, request->term,
		    raft_is_up_to_date(raft, request) ? from : NODE_ID_NONE,
		    NODE_ID_NONE);
	if (raft->error != TM_OK || !raft_is_up_to_date(raft, request))
		return (0);
	if (raft->vote != NODE_ID_NONE && raft->vote != from)
		return (0);
	if (raft->vote == NODE_ID_NONE &&
	    raft_save_vote(raft, raft->term, from) != TM_OK)
		return (0);
	raft->role = RAFT_FOLLOWER;
	raft_reset_election(raft);
	return (1);
}

static int
raft_check_vote_request(const Tm__Raft__VoteRequest *request)
{
	if (request == NULL || request->disk_id == RAFT_DISK_NONE)
		return (TM_EFORMAT);
	if (request->term == 0 || request->term == UINT64_MAX)
		return (TM_EFORMAT);
	if (request->last_term > request->term)
		return (TM_EFORMAT);
	return (TM_OK);
}

int
raft_handle_vote_request(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__VoteRequest *request =
	    tm__raft__vote_request__unpack(NULL, len, payload);
	Tm__Raft__VoteReply reply = TM__RAFT__VOTE_REPLY__INIT;
	int err = raft_check_vote_request(request);

	/*
	 * A node whose disk has no vote doesn't answer: the disk may have
	 * replaced one that voted earlier.
	 */
	if (err == TM_OK) {
		raft_record_voter_contact(raft, from, request->disk_id);
		raft_record_log_end(
		    raft, from, request->last_term, request->last_index);
	}
	if (err == TM_OK && raft_is_voter(raft)) {
		reply.granted = raft_decide_vote(raft, from, request);
		reply.pre_vote = request->pre_vote;
		reply.disk_id = raft->options.disk_id;
		reply.term = raft->term;
		if (request->pre_vote && reply.granted)
			reply.term = request->term;
		if (raft->error == TM_OK)
			raft_send(raft, from, MSG_RAFT_VOTE_REPLY, &reply.base);
	}
	if (request != NULL)
		tm__raft__vote_request__free_unpacked(request, NULL);
	return (err);
}

static void
raft_apply_vote_reply(
    raft_t *raft, node_id_t from, const Tm__Raft__VoteReply *reply)
{
	raft_peer_t *peer = raft_find_peer(raft, from);
	raft_role_t role =
	    reply->pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
	uint64_t term = raft->term + (reply->pre_vote ? 1 : 0);

	if (!reply->granted && reply->term > raft->term) {
		raft_become_follower(raft, reply->term, NODE_ID_NONE);
		return;
	}
	if (!reply->granted || raft->role != role || reply->term != term)
		return;
	if (peer == NULL || !raft_is_voting(raft, from, reply->disk_id))
		return;
	peer->granted = 1;
	raft_check_votes(raft);
}

int
raft_handle_vote_reply(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__VoteReply *reply =
	    tm__raft__vote_reply__unpack(NULL, len, payload);
	int err = TM_OK;

	if (reply == NULL)
		return (TM_EFORMAT);
	if (reply->disk_id == RAFT_DISK_NONE || reply->term == UINT64_MAX)
		err = TM_EFORMAT;
	else {
		raft_record_voter_contact(raft, from, reply->disk_id);
		raft_apply_vote_reply(raft, from, reply);
	}
	tm__raft__vote_reply__free_unpacked(reply, NULL);
	return (err);
}

int
raft_handle_timeout_now(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__TimeoutNow *message =
	    tm__raft__timeout_now__unpack(NULL, len, payload);
	uint64_t term;

	if (message == NULL)
		return (TM_EFORMAT);
	term = message->term;
	tm__raft__timeout_now__free_unpacked(message, NULL);
	if (term == raft->term && raft->role == RAFT_FOLLOWER &&
	    raft->leader == from && raft_is_voter(raft))
		raft_start_election(raft, 0, 1);
	return (TM_OK);
}

raft_peer_t *
raft_pick_successor(raft_t *raft)
{
	raft_peer_t *best = NULL;
	raft_peer_t *peer;
	int i;

	for (i = 0; i < raft->peer_count; i++) {
		peer = &raft->peers[i];
		if (!raft_is_voting(raft, peer->node, peer->disk_id) ||
		    raft->now_ms - peer->last_acked_ms >=
			raft->options.election_ms)
			continue;
		if (best == NULL || peer->match > best->match)
			best = peer;
	}
	return (best);
}

void
raft_send_timeout_now(raft_t *raft, const raft_peer_t *successor)
{
	Tm__Raft__TimeoutNow message = TM__RAFT__TIMEOUT_NOW__INIT;

	message.disk_id = raft->options.disk_id;
	message.term = raft->term;
	raft_send(raft, successor->node, MSG_RAFT_TIMEOUT_NOW, &message.base);
}

int
raft_transfer_leadership(raft_t *raft, int64_t now_ms)
{
	const raft_peer_t *peer;

	raft->now_ms = now_ms;
	if (raft->role != RAFT_LEADER)
		return (TM_ENOTLEADER);
	peer = raft_pick_successor(raft);
	if (peer == NULL)
		return (TM_EUNAVAIL);
	raft->transfer_to = peer->node;
	raft->transfer_until_ms = now_ms + raft->options.election_ms;
	raft_flush(raft, now_ms);
	return (TM_OK);
}

int
raft_has_quorum_contact(const raft_t *raft, int64_t now_ms)
{
	if (raft->role != RAFT_LEADER || raft->error != TM_OK)
		return (0);
	return (raft_get_quorum_contact_ms(raft) >
	    now_ms - raft->options.election_ms);
}
