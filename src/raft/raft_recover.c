#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/error.h"
#include "base/log.h"
#include "raft/raft_internal.h"

/** Number of tie-break values in an epoch, see raft_get_next_epoch(). */
#define RAFT_EPOCH_TIE_BREAKS 2048

uint64_t
raft_epoch_of(uint64_t term_or_index)
{
	return (term_or_index >> RAFT_EPOCH_SHIFT);
}

/*
 * Two surviving nodes without contact to each other may both be recovered. A
 * tie-break derived from the disk id makes one of the two epochs higher, so
 * that the other group stops once they are connected again.
 */
static uint64_t
raft_get_next_epoch(const raft_t *raft)
{
	uint64_t number = raft_epoch_of(raft->term) / RAFT_EPOCH_TIE_BREAKS + 1;
	uint64_t id = raft->options.disk_id;

	return (number * RAFT_EPOCH_TIE_BREAKS +
	    XXH64(&id, sizeof(id), 0) % RAFT_EPOCH_TIE_BREAKS);
}

void
raft_record_voter_contact(raft_t *raft, node_id_t from, uint64_t disk_id)
{
	raft_peer_t *peer = raft_find_peer(raft, from);

	if (peer != NULL && raft_is_voting(raft, from, disk_id))
		peer->voter_last_seen_ms = raft->now_ms;
}

void
raft_record_log_end(
    raft_t *raft, node_id_t from, uint64_t last_term, uint64_t last_index)
{
	raft_peer_t *peer = raft_find_peer(raft, from);

	if (peer == NULL)
		return;
	peer->log_end_term = last_term;
	peer->log_end_index = last_index;
}

static int
raft_is_peer_more_advanced(const raft_t *raft, const raft_peer_t *peer)
{
	uint64_t last = raft_log_get_last(&raft->log);
	uint64_t term = raft_log_get_term(&raft->log, last);

	if (peer->log_end_term != term)
		return (peer->log_end_term > term);
	return (peer->log_end_index > last);
}

static void
raft_count_voters(const raft_t *raft, raft_recovery_t *out)
{
	const raft_peer_t *peer;
	int i;

	for (i = 0; i < raft->config.count; i++)
		out->voters += raft->config.voters[i].disk_id != RAFT_DISK_NONE;
	out->voters_heard = raft_is_voter(raft);
	for (i = 0; i < raft->peer_count; i++) {
		peer = &raft->peers[i];
		if (peer->voter_last_seen_ms == 0 ||
		    raft->now_ms - peer->voter_last_seen_ms >=
			RAFT_RECOVERY_TIMEOUT_MS)
			continue;
		out->voters_heard++;
		if (raft_is_peer_more_advanced(raft, peer))
			out->more_advanced = peer->node;
	}
}

static int
raft_check_recovery(const raft_t *raft, const raft_recovery_t *plan)
{
	if (raft->error != TM_OK)
		return (raft->error);
	if (!raft_is_voter(raft))
		return (TM_EINVAL);
	if (raft->role == RAFT_LEADER ||
	    plan->leader_silence_ms < RAFT_RECOVERY_TIMEOUT_MS ||
	    plan->voters_heard >= raft_quorum_size(raft))
		return (TM_EINUSE);
	return (plan->more_advanced != NODE_ID_NONE ? TM_ESTALE : TM_OK);
}

int
raft_plan_recovery(raft_t *raft, raft_recovery_t *out, int64_t now_ms)
{
	raft->now_ms = now_ms;
	*out = (raft_recovery_t){
		.last_index = raft_log_get_last(&raft->log),
		.commit = raft->commit,
		.epoch = raft_get_next_epoch(raft),
		.leader_silence_ms = now_ms - raft->leader_last_seen_ms,
	};
	out->last_term = raft_log_get_term(&raft->log, out->last_index);
	raft_count_voters(raft, out);
	return (raft_check_recovery(raft, out));
}

/* Only this disk is a voter; the other members become voters when caught up. */
static void
raft_fill_recovery_snapshot(
    const raft_t *raft, uint64_t epoch, raft_snapshot_t *out)
{
	int i;

	out->voter_count = raft->config.count;
	for (i = 0; i < raft->config.count; i++) {
		out->voters[i].node = raft->config.voters[i].node;
		if (out->voters[i].node == raft->options.self)
			out->voters[i].disk_id = raft->options.disk_id;
	}
	out->index = epoch << RAFT_EPOCH_SHIFT;
	out->term = epoch << RAFT_EPOCH_SHIFT;
	if ((raft->options.test_switches & RAFT_TEST_NO_EPOCH) == 0)
		return;
	out->index = raft_log_get_last(&raft->log) + 1;
	out->term = raft->term + 1;
}

/*
 * Writes the snapshot before the term. After a crash between the two,
 * raft_create() raises the term to that of the snapshot.
 */
static int
raft_save_recovery_snapshot(raft_t *raft, const raft_snapshot_t *snapshot)
{
	int err = raft->options.storage.save_snapshot(
	    raft->options.storage.ctx, snapshot);

	if (err == TM_OK)
		err = raft_set_snapshot(raft, snapshot);
	if (err != TM_OK) {
		raft_fail(raft, err);
		return (err);
	}
	raft_start_from_snapshot(raft, snapshot);
	raft->persisted = snapshot->index;
	raft->role = RAFT_FOLLOWER;
	raft_reload_config(raft);
	return (raft_save_vote(raft, snapshot->term, NODE_ID_NONE));
}

int
raft_recover(raft_t *raft, int keep_tail, raft_epoch_cb begin, int64_t now_ms)
{
	raft_snapshot_t snapshot = { .index = 0 };
	raft_recovery_t plan;
	uint8_t *data = NULL;
	int err = raft_plan_recovery(raft, &plan, now_ms);

	if (err != TM_OK)
		return (err);
	if (keep_tail) {
		raft->commit = plan.last_index;
		raft_advance_applied(raft);
	}
	raft_fill_recovery_snapshot(raft, plan.epoch, &snapshot);
	begin(raft->options.ctx, plan.epoch, snapshot.index);
	err = raft->options.take_snapshot(
	    raft->options.ctx, &data, &snapshot.len);
	if (err != TM_OK) {
		raft_fail(raft, err);
		return (err);
	}
	snapshot.data = data;
	err = raft_save_recovery_snapshot(raft, &snapshot);
	free(data);
	if (err != TM_OK)
		return (err);
	LOG_EVENT(214, LOG_LEVEL_WARN, "a new configuration epoch is started",
	    LOG_NUM("epoch", plan.epoch), LOG_NUM("last", plan.last_index),
	    LOG_NUM("last_term", plan.last_term));
	raft_start_election(raft, 0, 0);
	return (raft->error);
}

static int
raft_is_epoch_outdated(const raft_t *raft, uint64_t term)
{
	uint64_t last = raft_log_get_last(&raft->log);

	if (last == 0 || (raft->options.test_switches & RAFT_TEST_NO_EPOCH))
		return (0);
	return (raft_epoch_of(term) >
	    raft_epoch_of(raft_log_get_term(&raft->log, last)));
}

int
raft_check_epoch(raft_t *raft, uint64_t term)
{
	if (!raft_is_epoch_outdated(raft, term))
		return (TM_OK);
	if (raft->error != TM_OK)
		return (raft->error);
	LOG_EVENT(213, LOG_LEVEL_ERROR,
	    "a newer configuration epoch exists; this node no longer "
	    "participates: empty its data folder and start it again",
	    LOG_NUM("epoch", raft_epoch_of(term)),
	    LOG_NUM("last", raft_log_get_last(&raft->log)));
	/*
	 * With this term on disk, the node also stays stopped after a restart.
	 */
	if (term > raft->term)
		(void)raft_save_vote(raft, term, NODE_ID_NONE);
	raft->error = TM_EEPOCH;
	raft->role = RAFT_FOLLOWER;
	raft->leader = NODE_ID_NONE;
	return (TM_EEPOCH);
}
