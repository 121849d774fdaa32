#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "group/group_defs.h"

/* A pre-vote counts for this long; a vote must win before its lease ends. */
#define GROUP_CAMPAIGN_MS   600
#define GROUP_VOTE_AGAIN_MS 50
/* Spread of the election timeouts of the holders of a shard. */
#define GROUP_JITTER_MS 150
#define GROUP_MARGIN_MS 10

/* Drops the acknowledgments of peers; they are valid for one epoch only. */
void
group_lease_reset(group_t *group, group_shard_t *shard)
{
	memset(shard->peers, 0, sizeof(shard->peers));
	shard->jitter_ms = (int64_t)rng_below(&group->rng, GROUP_JITTER_MS);
	if (shard->role != GROUP_LEADER)
		shard->role = GROUP_FOLLOWER;
	shard->renewed_ms = 0;
}

static void
group_lease_notify(
    group_t *group, group_shard_t *shard, int leads, int64_t now_ms)
{
	const group_callbacks_t *callbacks = &group->options.callbacks;
	uint32_t index = group_shard_index(group, shard);

	if (leads)
		LOG_EVENT(402, LOG_LEVEL_INFO, "shard lease acquired",
		    LOG_NUM("shard", index), LOG_NUM("term", shard->term));
	else
		LOG_EVENT(403, LOG_LEVEL_INFO, "shard lease ended",
		    LOG_NUM("shard", index), LOG_NUM("term", shard->term));
	if (callbacks->leads != NULL)
		callbacks->leads(callbacks->ctx, index, leads, now_ms);
}

void
group_lease_step_down(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	int was_leader = shard->role == GROUP_LEADER;

	shard->role = GROUP_FOLLOWER;
	shard->jitter_ms = (int64_t)rng_below(&group->rng, GROUP_JITTER_MS);
	if (!was_leader)
		return;
	shard->leader = NODE_ID_NONE;
	shard->lease_until_ms = 0;
	group_lease_notify(group, shard, 0, now_ms);
}

int
group_lease_is_valid(
    const group_t *group, const group_shard_t *shard, int64_t now_ms)
{
	if (shard->role != GROUP_LEADER)
		return (0);
	return (
	    group->options.test.ignore_lease || now_ms < shard->lease_until_ms);
}

/* Sending time that a majority, this holder included, has acknowledged. */
static int64_t
group_lease_acked_ms(const group_shard_t *shard, int64_t now_ms)
{
	uint32_t majority = group_shard_majority(shard);
	uint32_t count = shard->assignment.holder_count;
	int64_t best = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++) {
		int64_t at = (int)i == shard->self_index
		    ? now_ms
		    : shard->peers[i].acked_sent_ms;
		uint32_t reached = 0;

		for (k = 0; k < count; k++) {
			if ((int)k == shard->self_index ||
			    shard->peers[k].acked_sent_ms >= at)
				reached++;
		}
		if (reached >= majority && at > best)
			best = at;
	}
	return (best);
}

static void
group_lease_extend(group_shard_t *shard, int64_t now_ms)
{
	int64_t until = group_lease_acked_ms(shard, now_ms) + GROUP_LEASE_MS;

	if (until > shard->lease_until_ms)
		shard->lease_until_ms = until;
}

static void
group_lease_renew(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	Tm__GroupRenew msg = TM__GROUP_RENEW__INIT;

	msg.shard = group_shard_index(group, shard);
	msg.epoch = shard->assignment.epoch;
	msg.incarnation = group->options.incarnation;
	msg.term = shard->term;
	msg.sent_ms = now_ms;
	shard->renewed_ms = now_ms;
	shard->heard_ms = now_ms;
	group_send_holders(group, shard, MSG_GROUP_RENEW, &msg.base);
	group_lease_extend(shard, now_ms);
}

static uint32_t
group_lease_count_grants(const group_shard_t *shard, int64_t now_ms)
{
	uint32_t count = 1;
	uint32_t i;

	for (i = 0; i < shard->assignment.holder_count; i++) {
		if (shard->peers[i].granted_ms > 0 &&
		    now_ms - shard->peers[i].granted_ms < GROUP_CAMPAIGN_MS)
			count++;
	}
	return (count);
}

static void
group_lease_ask_votes(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	Tm__GroupVote msg = TM__GROUP_VOTE__INIT;

	msg.shard = group_shard_index(group, shard);
	msg.epoch = shard->assignment.epoch;
	msg.incarnation = group->options.incarnation;
	msg.pre = shard->role == GROUP_PRE_CANDIDATE;
	msg.term = shard->term + (msg.pre ? 1 : 0);
	msg.store_term = shard->store_term;
	msg.store_seq = shard->store_seq;
	msg.hand_over_term = shard->resigned_term;
	shard->asked_ms = now_ms;
	group_send_holders(group, shard, MSG_GROUP_VOTE, &msg.base);
}

static void
group_lease_clear_grants(group_shard_t *shard)
{
	uint32_t i;

	for (i = 0; i < GROUP_HOLDERS_MAX; i++)
		shard->peers[i].granted_ms = 0;
}

static void
group_lease_win(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	shard->role = GROUP_LEADER;
	shard->leader = group->options.self;
	shard->resigned_term = 0;
	shard->lease_until_ms = shard->campaign_ms + GROUP_LEASE_MS;
	group->stats.elections_won++;
	group_sync_start_term(group, shard);
	group_lease_notify(group, shard, 1, now_ms);
	group_lease_renew(group, shard, now_ms);
}

/* Continues an election: pre-vote first, then the vote in a new term. */
static void
group_lease_campaign(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	uint32_t majority = group_shard_majority(shard);

	if (group_lease_count_grants(shard, now_ms) < majority) {
		if (now_ms - shard->asked_ms >= GROUP_VOTE_AGAIN_MS)
			group_lease_ask_votes(group, shard, now_ms);
		return;
	}
	if (shard->role == GROUP_CANDIDATE) {
		group_lease_win(group, shard, now_ms);
		return;
	}
	shard->role = GROUP_CANDIDATE;
	shard->term++;
	shard->voted_for = group->options.self;
	shard->leader = NODE_ID_NONE;
	shard->heard_ms = now_ms;
	shard->campaign_ms = now_ms;
	group_lease_clear_grants(shard);
	if (majority == 1)
		group_lease_win(group, shard, now_ms);
	else
		group_lease_ask_votes(group, shard, now_ms);
}

static void
group_lease_start_campaign(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	shard->role = GROUP_PRE_CANDIDATE;
	shard->campaign_ms = now_ms;
	shard->asked_ms = 0;
	group_lease_clear_grants(shard);
	group_lease_campaign(group, shard, now_ms);
}

static void
group_lease_tick_leader(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	if (!group_lease_is_valid(group, shard, now_ms)) {
		group->stats.leases_lost++;
		group_lease_step_down(group, shard, now_ms);
		return;
	}
	if (now_ms - shard->renewed_ms >= GROUP_RENEW_MS)
		group_lease_renew(group, shard, now_ms);
}

void
group_lease_tick(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	int64_t due_ms = shard->heard_ms + GROUP_VOTE_WAIT_MS + GROUP_MARGIN_MS;

	if (shard->role == GROUP_LEADER) {
		group_lease_tick_leader(group, shard, now_ms);
		return;
	}
	if (group->resigning || !group_shard_can_lead(shard, now_ms))
		return;
	if (shard->role != GROUP_FOLLOWER) {
		if (now_ms - shard->campaign_ms >= GROUP_CAMPAIGN_MS)
			group_lease_step_down(group, shard, now_ms);
		else
			group_lease_campaign(group, shard, now_ms);
		return;
	}
	if (now_ms >= due_ms + shard->jitter_ms)
		group_lease_start_campaign(group, shard, now_ms);
}

static void
group_lease_ack_renew(
    group_t *group, group_shard_t *shard, int peer, const Tm__GroupRenew *renew)
{
	Tm__GroupRenewAck msg = TM__GROUP_RENEW_ACK__INIT;

	msg.shard = renew->shard;
	msg.epoch = shard->assignment.epoch;
	msg.incarnation = group->options.incarnation;
	msg.term = shard->term;
	msg.sent_ms = renew->sent_ms;
	group_send(group, shard->assignment.holders[peer].node,
	    MSG_GROUP_RENEW_ACK, &msg.base);
}

void
group_handle_renew(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupRenew *msg, int64_t now_ms)
{
	node_id_t from = shard->assignment.holders[peer].node;

	if (!group_shard_can_lead(shard, now_ms))
		return;
	if (msg->term >= shard->term) {
		if (shard->role == GROUP_LEADER && msg->term == shard->term)
			return;
		group_lease_step_down(group, shard, now_ms);
		shard->term = msg->term;
		shard->voted_for = from;
		shard->leader = from;
		shard->heard_ms = now_ms;
	}
	group_lease_ack_renew(group, shard, peer, msg);
}

void
group_handle_renew_ack(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupRenewAck *msg, int64_t now_ms)
{
	group_peer_t *state = &shard->peers[peer];

	if (shard->role != GROUP_LEADER)
		return;
	if (msg->term > shard->term) {
		group_lease_step_down(group, shard, now_ms);
		return;
	}
	if (msg->term != shard->term || msg->sent_ms > now_ms)
		return;
	/* A late acknowledgment does not revive an expired lease. */
	if (!group_lease_is_valid(group, shard, now_ms))
		return;
	if (msg->sent_ms > state->acked_sent_ms)
		state->acked_sent_ms = msg->sent_ms;
	group_lease_extend(shard, now_ms);
}

static int
group_lease_is_behind(const group_shard_t *shard, const Tm__GroupVote *msg)
{
	if (msg->store_term != shard->store_term)
		return (msg->store_term < shard->store_term);
	return (msg->store_seq < shard->store_seq);
}

/* Whether a vote may be given without breaking an earlier promise. */
static int
group_lease_may_vote(const group_t *group, const group_shard_t *shard,
    node_id_t from, const Tm__GroupVote *msg, int64_t now_ms)
{
	int resigned =
	    msg->hand_over_term > 0 && msg->hand_over_term == shard->term;

	if (msg->term < shard->term || group_lease_is_behind(shard, msg))
		return (0);
	if (msg->term == shard->term)
		return (!msg->pre && shard->voted_for == from);
	if (resigned && shard->role != GROUP_LEADER)
		return (1);
	if (group_lease_is_valid(group, shard, now_ms))
		return (0);
	if (group->options.test.vote_early)
		return (1);
	return (now_ms >= shard->heard_ms + GROUP_VOTE_WAIT_MS);
}

/*
 * If two holders request pre-votes at once, the one with the higher id gives
 * up, so that they do not split the votes. It does so once per timeout: the
 * other one may not receive the replies.
 */
static void
group_lease_yield(
    group_t *group, group_shard_t *shard, node_id_t from, int64_t now_ms)
{
	if (shard->role != GROUP_PRE_CANDIDATE || from > group->options.self ||
	    now_ms - shard->yielded_ms < GROUP_VOTE_WAIT_MS)
		return;
	group_lease_step_down(group, shard, now_ms);
	shard->yielded_ms = now_ms;
	shard->jitter_ms =
	    now_ms - shard->heard_ms - GROUP_VOTE_WAIT_MS + GROUP_JITTER_MS;
}

void
group_handle_vote(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupVote *msg, int64_t now_ms)
{
	node_id_t from = shard->assignment.holders[peer].node;
	Tm__GroupVoteReply reply = TM__GROUP_VOTE_REPLY__INIT;

	if (!group_shard_can_lead(shard, now_ms))
		return;
	reply.granted = group_lease_may_vote(group, shard, from, msg, now_ms);
	if (reply.granted && !msg->pre && msg->term > shard->term) {
		group_lease_step_down(group, shard, now_ms);
		shard->term = msg->term;
		shard->voted_for = from;
		shard->leader = NODE_ID_NONE;
		shard->heard_ms = now_ms;
	}
	if (reply.granted && msg->pre)
		group_lease_yield(group, shard, from, now_ms);
	reply.shard = msg->shard;
	reply.epoch = shard->assignment.epoch;
	reply.incarnation = group->options.incarnation;
	reply.term = msg->term;
	reply.pre = msg->pre;
	group_send(group, from, MSG_GROUP_VOTE_REPLY, &reply.base);
}

void
group_handle_vote_reply(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupVoteReply *msg, int64_t now_ms)
{
	uint64_t term = shard->term + (msg->pre ? 1 : 0);
	group_role_t role = msg->pre ? GROUP_PRE_CANDIDATE : GROUP_CANDIDATE;

	if (shard->role != role || msg->term != term || !msg->granted)
		return;
	shard->peers[peer].granted_ms = now_ms;
	if (now_ms - shard->campaign_ms < GROUP_CAMPAIGN_MS)
		group_lease_campaign(group, shard, now_ms);
}

/* Offers the lease to a holder that has every entry of the store. */
void
group_lease_hand_over(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	Tm__GroupHandOver msg = TM__GROUP_HAND_OVER__INIT;
	uint32_t i;

	for (i = 0; i < shard->assignment.holder_count; i++) {
		if ((int)i == shard->self_index ||
		    !group_sync_is_complete(shard, (int)i) ||
		    now_ms - shard->peers[i].acked_sent_ms > GROUP_LEASE_MS)
			continue;
		msg.shard = group_shard_index(group, shard);
		msg.epoch = shard->assignment.epoch;
		msg.incarnation = group->options.incarnation;
		msg.term = shard->term;
		group_lease_step_down(group, shard, now_ms);
		group_send(group, shard->assignment.holders[i].node,
		    MSG_GROUP_HAND_OVER, &msg.base);
		return;
	}
}

void
group_handle_hand_over(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupHandOver *msg, int64_t now_ms)
{
	if (msg->term != shard->term || shard->role == GROUP_LEADER ||
	    shard->leader != shard->assignment.holders[peer].node ||
	    group->resigning || !group_shard_can_lead(shard, now_ms))
		return;
	shard->resigned_term = msg->term;
	group_lease_start_campaign(group, shard, now_ms);
}
