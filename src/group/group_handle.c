/* Decoding and checking of the messages of the group module. */
#include "base/error.h"
#include "group/group_defs.h"

int
group_check_epoch(
    group_t *group, group_shard_t *shard, node_id_t from, uint64_t epoch)
{
	Tm__GroupNewerEpoch msg = TM__GROUP_NEWER_EPOCH__INIT;

	if (epoch == shard->assignment.epoch && epoch > 0)
		return (TM_OK);
	if (epoch > shard->assignment.epoch) {
		group_note_epoch(group, group_shard_index(group, shard), epoch);
		return (TM_EEPOCH);
	}
	group->stats.stale_epochs++;
	msg.shard = group_shard_index(group, shard);
	msg.epoch = shard->assignment.epoch;
	group_send(group, from, MSG_GROUP_NEWER_EPOCH, &msg.base);
	return (TM_EEPOCH);
}

/* Fields that all messages between holders share. */
typedef struct group_header {
	uint32_t shard;
	uint64_t epoch;
	uint64_t incarnation;
} group_header_t;

/* Finds the shard and the sender; peer is -1 for a former holder. */
static int
group_open(group_t *group, node_id_t from, group_header_t header,
    group_shard_t **shard, int *peer)
{
	int err;

	if (header.shard >= group->options.shard_count) {
		group->stats.malformed++;
		return (TM_EFORMAT);
	}
	*shard = &group->shards[header.shard];
	err = group_check_epoch(group, *shard, from, header.epoch);
	if (err != TM_OK)
		return (err);
	*peer = group_find_holder(group, (*shard)->assignment.holders,
	    (*shard)->assignment.holder_count, from, header.incarnation);
	return (TM_OK);
}

static int
group_open_holder(group_t *group, node_id_t from, group_header_t header,
    group_shard_t **shard, int *peer)
{
	int err = group_open(group, from, header, shard, peer);

	if (err == TM_OK && (*peer < 0 || (*shard)->self_index < 0)) {
		group->stats.stale_incarnations++;
		return (TM_ESTALE);
	}
	return (err);
}

static int
group_answer_who_leads(group_t *group, node_id_t from,
    const Tm__GroupWhoLeads *msg, int64_t now_ms)
{
	Tm__GroupLeaderIs reply = TM__GROUP_LEADER_IS__INIT;
	group_shard_t *shard;

	if (msg->shard >= group->options.shard_count)
		return (TM_EFORMAT);
	shard = &group->shards[msg->shard];
	if (!group_shard_can_lead(shard, now_ms))
		return (TM_OK);
	reply.shard = msg->shard;
	reply.epoch = shard->assignment.epoch;
	reply.leader = group_get_leader(group, msg->shard, now_ms);
	group_send(group, from, MSG_GROUP_LEADER_IS, &reply.base);
	return (TM_OK);
}

static int
group_learn_leader(group_t *group, const Tm__GroupLeaderIs *msg, int64_t now_ms)
{
	group_shard_t *shard;

	if (msg->shard >= group->options.shard_count)
		return (TM_EFORMAT);
	shard = &group->shards[msg->shard];
	if (msg->leader == NODE_ID_NONE || msg->epoch < shard->assignment.epoch)
		return (TM_OK);
	shard->cached_leader = msg->leader;
	shard->cached_until_ms = now_ms + GROUP_CACHE_MS;
	return (TM_OK);
}

/*
 * Decodes a message as NAME, runs the given statements with msg set and frees
 * it. The statements set err.
 */
#define GROUP_DECODE(NAME, TYPE, ...)                                 \
	do {                                                          \
		TYPE *msg = tm__##NAME##__unpack(NULL, len, payload); \
		if (msg == NULL) {                                    \
			group->stats.malformed++;                     \
			return (TM_EFORMAT);                          \
		}                                                     \
		__VA_ARGS__;                                          \
		tm__##NAME##__free_unpacked(msg, NULL);               \
	} while (0)

/* Decodes a message between holders and calls HANDLER if it is current. */
#define GROUP_DECODE_HOLDER(NAME, TYPE, HANDLER)                             \
	GROUP_DECODE(NAME, TYPE, {                                           \
		group_header_t header = { msg->shard, msg->epoch,            \
			msg->incarnation };                                  \
		err = group_open_holder(group, from, header, &shard, &peer); \
		if (err == TM_OK)                                            \
			HANDLER(group, shard, peer, msg, now_ms);            \
	})

/* The same for state transfer, where the sender may be a former holder. */
#define GROUP_DECODE_MEMBER(NAME, TYPE, HANDLER)                      \
	GROUP_DECODE(NAME, TYPE, {                                    \
		group_header_t header = { msg->shard, msg->epoch,     \
			msg->incarnation };                           \
		err = group_open(group, from, header, &shard, &peer); \
		if (err == TM_OK)                                     \
			HANDLER(group, shard, from, msg, now_ms);     \
	})

int
group_handle(group_t *group, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	group_shard_t *shard = NULL;
	int peer = -1;
	int err = TM_OK;

	switch (type) {
	case MSG_GROUP_RENEW:
		GROUP_DECODE_HOLDER(
		    group_renew, Tm__GroupRenew, group_handle_renew);
		break;
	case MSG_GROUP_RENEW_ACK:
		GROUP_DECODE_HOLDER(
		    group_renew_ack, Tm__GroupRenewAck, group_handle_renew_ack);
		break;
	case MSG_GROUP_VOTE:
		GROUP_DECODE_HOLDER(
		    group_vote, Tm__GroupVote, group_handle_vote);
		break;
	case MSG_GROUP_VOTE_REPLY:
		GROUP_DECODE_HOLDER(group_vote_reply, Tm__GroupVoteReply,
		    group_handle_vote_reply);
		break;
	case MSG_GROUP_STORE_SYNC:
		GROUP_DECODE_HOLDER(group_store_sync, Tm__GroupStoreSync,
		    group_handle_store_sync);
		break;
	case MSG_GROUP_STORE_ACK:
		GROUP_DECODE_HOLDER(
		    group_store_ack, Tm__GroupStoreAck, group_handle_store_ack);
		break;
	case MSG_GROUP_HAND_OVER:
		GROUP_DECODE_HOLDER(
		    group_hand_over, Tm__GroupHandOver, group_handle_hand_over);
		break;
	case MSG_GROUP_FETCH:
		GROUP_DECODE_MEMBER(
		    group_fetch, Tm__GroupFetch, group_handle_fetch);
		break;
	case MSG_GROUP_STATE:
		GROUP_DECODE_MEMBER(
		    group_state, Tm__GroupState, group_handle_state);
		break;
	case MSG_GROUP_WHO_LEADS:
		GROUP_DECODE(group_who_leads, Tm__GroupWhoLeads,
		    err = group_answer_who_leads(group, from, msg, now_ms));
		break;
	case MSG_GROUP_LEADER_IS:
		GROUP_DECODE(group_leader_is, Tm__GroupLeaderIs,
		    err = group_learn_leader(group, msg, now_ms));
		break;
	case MSG_GROUP_NEWER_EPOCH:
		GROUP_DECODE(group_newer_epoch, Tm__GroupNewerEpoch,
		    group_note_epoch(group, msg->shard, msg->epoch));
		break;
	default:
		group->stats.malformed++;
		return (TM_EFORMAT);
	}
	return (err);
}
