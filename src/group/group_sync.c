#include "base/error.h"
#include "base/log.h"
#include "group/group_defs.h"

/* The leader's own store is authoritative for its term. */
void
group_sync_start_term(group_t *group, group_shard_t *shard)
{
	uint32_t i;

	shard->base_seq = shard->store_seq;
	shard->store_term = shard->term;
	shard->committed_seq = 0;
	shard->sync_term = shard->term;
	shard->sync_seq = shard->store_seq;
	for (i = 0; i < GROUP_HOLDERS_MAX; i++) {
		shard->peers[i].store_acked = 0;
		shard->peers[i].store_sent = 0;
		shard->peers[i].store_sent_ms = 0;
	}
}

int
group_sync_is_complete(const group_shard_t *shard, int peer)
{
	return (shard->peers[peer].store_sent_ms > 0 &&
	    shard->peers[peer].store_acked == shard->store_seq);
}

/* Lowest sequence number that every holder has. */
static uint64_t
group_sync_get_purge_seq(const group_shard_t *shard)
{
	uint64_t seq = shard->store_seq;
	uint32_t i;

	for (i = 0; i < shard->assignment.holder_count; i++) {
		if ((int)i != shard->self_index &&
		    shard->peers[i].store_acked < seq)
			seq = shard->peers[i].store_acked;
	}
	return (seq < shard->base_seq ? 0 : seq);
}

static void
group_sync_send(
    group_t *group, group_shard_t *shard, uint32_t peer, int64_t now_ms)
{
	group_peer_t *state = &shard->peers[peer];
	Tm__GroupStoreSync msg = TM__GROUP_STORE_SYNC__INIT;
	group_store_part_t part;

	if (group_store_part_create(&shard->store, state->store_sent,
		GROUP_PART_BYTES, &part) != TM_OK)
		return;
	msg.shard = group_shard_index(group, shard);
	msg.epoch = shard->assignment.epoch;
	msg.incarnation = group->options.incarnation;
	msg.term = shard->term;
	msg.from_seq = state->store_sent;
	msg.base_seq = shard->base_seq;
	msg.purge_seq = group_sync_get_purge_seq(shard);
	msg.entries = part.entries;
	msg.n_entries = part.count;
	if (group_store_after(&shard->store, part.last_seq) == NULL)
		part.last_seq = shard->store_seq;
	msg.to_seq = part.last_seq;
	group_send(group, shard->assignment.holders[peer].node,
	    MSG_GROUP_STORE_SYNC, &msg.base);
	state->store_sent = part.last_seq;
	state->store_sent_ms = now_ms;
	group_store_part_free(&part);
}

static void
group_sync_tick_peer(
    group_t *group, group_shard_t *shard, uint32_t peer, int64_t now_ms)
{
	group_peer_t *state = &shard->peers[peer];

	if (state->store_sent_ms > 0 && state->store_acked == shard->store_seq)
		return;
	if (now_ms - state->store_sent_ms >= GROUP_RESEND_MS)
		state->store_sent = state->store_acked;
	else if (state->store_sent == shard->store_seq)
		return;
	group_sync_send(group, shard, peer, now_ms);
}

/* Sequence number that a majority of ready holders has. */
static uint64_t
group_sync_get_majority_seq(const group_shard_t *shard)
{
	uint32_t count = shard->assignment.holder_count;
	uint64_t best = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++) {
		uint64_t seq = (int)i == shard->self_index
		    ? shard->store_seq
		    : shard->peers[i].store_acked;
		uint32_t reached = 0;

		for (k = 0; k < count; k++) {
			if ((int)k == shard->self_index ||
			    shard->peers[k].store_acked >= seq)
				reached++;
		}
		if (reached >= group_shard_majority(shard) && seq > best)
			best = seq;
	}
	return (best < shard->base_seq ? 0 : best);
}

static void
group_sync_commit(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	const group_callbacks_t *callbacks = &group->options.callbacks;
	uint64_t from = shard->committed_seq;
	uint64_t to = group->options.test.skip_store
	    ? shard->store_seq
	    : group_sync_get_majority_seq(shard);
	const group_entry_t *entry;

	if (to <= from)
		return;
	shard->committed_seq = to;
	entry = group_store_after(&shard->store, from);
	while (entry != NULL && entry->seq <= to) {
		const group_entry_t *next = entry->hh.next;

		if (callbacks->committed != NULL)
			callbacks->committed(callbacks->ctx,
			    group_shard_index(group, shard), entry->key,
			    entry->version, now_ms);
		entry = next;
	}
}

void
group_sync_tick(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	uint32_t i;

	if (!group_lease_is_valid(group, shard, now_ms))
		return;
	group_sync_commit(group, shard, now_ms);
	if (group->options.test.skip_store)
		return;
	for (i = 0; i < shard->assignment.holder_count; i++) {
		if ((int)i != shard->self_index)
			group_sync_tick_peer(group, shard, i, now_ms);
	}
	group_store_purge(&shard->store, group_sync_get_purge_seq(shard));
}

static void
group_sync_ack(group_t *group, group_shard_t *shard, int peer)
{
	Tm__GroupStoreAck msg = TM__GROUP_STORE_ACK__INIT;

	msg.shard = group_shard_index(group, shard);
	msg.epoch = shard->assignment.epoch;
	msg.incarnation = group->options.incarnation;
	msg.term = shard->sync_term;
	msg.seq = shard->sync_seq;
	group_send(group, shard->assignment.holders[peer].node,
	    MSG_GROUP_STORE_ACK, &msg.base);
}

/*
 * The first entries of a term go to a staging store that replaces the old one
 * when it is complete. Until then the old store decides votes, so a holder
 * with an incomplete store cannot become leader over one with all of it.
 */
static int
group_sync_apply(group_shard_t *shard, const Tm__GroupStoreSync *msg)
{
	int adopted = shard->store_term == msg->term;
	group_store_t *store = adopted ? &shard->store : &shard->staging;
	int err = group_store_apply(store, msg->entries, msg->n_entries);

	if (err != TM_OK)
		return (err);
	shard->sync_seq = msg->to_seq;
	if (!adopted && shard->sync_seq >= msg->base_seq) {
		group_store_move(&shard->store, &shard->staging);
		shard->store_term = msg->term;
		adopted = 1;
	}
	if (adopted) {
		shard->store_seq = shard->sync_seq;
		group_store_purge(&shard->store, msg->purge_seq);
	}
	return (TM_OK);
}

void
group_handle_store_sync(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupStoreSync *msg, int64_t now_ms)
{
	node_id_t from = shard->assignment.holders[peer].node;
	int err = TM_OK;

	if (!group_shard_can_lead(shard, now_ms) || msg->term < shard->term ||
	    msg->to_seq < msg->from_seq)
		return;
	if (msg->term > shard->term) {
		group_lease_step_down(group, shard, now_ms);
		shard->term = msg->term;
		shard->voted_for = from;
	}
	if (shard->role == GROUP_LEADER)
		return;
	if (shard->sync_term != msg->term) {
		group_store_clear(&shard->staging);
		shard->sync_term = msg->term;
		shard->sync_seq = 0;
	}
	if (msg->from_seq == shard->sync_seq)
		err = group_sync_apply(shard, msg);
	if (err != TM_OK)
		LOG_EVENT(406, LOG_LEVEL_ERROR, "shard store write failed",
		    LOG_NUM("shard", msg->shard),
		    LOG_TEXT("error", error_get_text(err)));
	group_sync_ack(group, shard, peer);
}

void
group_handle_store_ack(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupStoreAck *msg, int64_t now_ms)
{
	group_peer_t *state = &shard->peers[peer];

	if (shard->role != GROUP_LEADER || msg->term != shard->term ||
	    msg->seq > shard->store_seq)
		return;
	if (msg->seq > state->store_acked)
		state->store_acked = msg->seq;
	else if (msg->seq < state->store_sent)
		/* The holder expects an earlier entry: resend from there. */
		state->store_sent = state->store_acked;
	if (state->store_sent < state->store_acked)
		state->store_sent = state->store_acked;
	group_sync_commit(group, shard, now_ms);
}
