/**
 * @file
 * State of a shard on this VM, shared by the files of the group module.
 */
#ifndef TM_GROUP_GROUP_DEFS_H
#define TM_GROUP_GROUP_DEFS_H

#include "base/rng.h"
#include "group/group.h"
#include "group/group_store.h"
#include "net/msg_types.h"

#define MSG_GROUP_RENEW	      (MSG_GROUP_BASE + 0)
#define MSG_GROUP_RENEW_ACK   (MSG_GROUP_BASE + 1)
#define MSG_GROUP_VOTE	      (MSG_GROUP_BASE + 2)
#define MSG_GROUP_VOTE_REPLY  (MSG_GROUP_BASE + 3)
#define MSG_GROUP_STORE_SYNC  (MSG_GROUP_BASE + 4)
#define MSG_GROUP_STORE_ACK   (MSG_GROUP_BASE + 5)
#define MSG_GROUP_FETCH	      (MSG_GROUP_BASE + 6)
#define MSG_GROUP_STATE	      (MSG_GROUP_BASE + 7)
#define MSG_GROUP_WHO_LEADS   (MSG_GROUP_BASE + 8)
#define MSG_GROUP_LEADER_IS   (MSG_GROUP_BASE + 9)
#define MSG_GROUP_HAND_OVER   (MSG_GROUP_BASE + 10)
#define MSG_GROUP_NEWER_EPOCH (MSG_GROUP_BASE + 11)

#define GROUP_MODULES_MAX 4
/** Bytes of state in one message, well below the frame limit. */
#define GROUP_PART_BYTES (128 * 1024)
/** Messages without an answer are repeated after this time. */
#define GROUP_RESEND_MS 300
/** Answers of holders about the leader are kept for this long. */
#define GROUP_CACHE_MS 2000
/**
 * An older answer is still used for this long while a holder is asked again,
 * so that a rare request does not wait for the lookup. A former leader answers
 * that it is none.
 */
#define GROUP_CACHE_STALE_MS 10000
/** A lost group's leases and tokens have run out after this time. */
#define GROUP_LOST_LEAD_MS 5000

typedef enum group_role {
	GROUP_FOLLOWER,
	GROUP_PRE_CANDIDATE,
	GROUP_CANDIDATE,
	GROUP_LEADER
} group_role_t;

/** What this VM knows of another holder of the current epoch. */
typedef struct group_peer {
	int64_t acked_sent_ms; /**< sending time of the last acked renewal */
	int64_t granted_ms; /**< time of its vote or pre-vote; 0 if none */
	uint64_t store_acked;
	uint64_t store_sent;
	int64_t store_sent_ms;
} group_peer_t;

/** Reading of the state from one member of the previous group. */
typedef struct group_source {
	int done;
	uint32_t module;
	uint64_t cursor;
	int64_t asked_ms;
	uint64_t term;
	uint64_t store_term;
	uint64_t store_seq;
	int64_t lost_until_ms;
	group_store_t store;
} group_source_t;

typedef struct group_shard {
	group_assignment_t assignment; /**< epoch 0: none */
	int self_index; /**< place in holders; -1 if not a holder */
	int complete; /**< has the whole state of the shard */
	int quarantined; /**< complete, but may not answer for claims yet */
	uint64_t complete_through; /**< last epoch known with complete state */
	int64_t quarantine_since_ms;
	int64_t lost_until_ms; /**< until then the store may lack entries */
	int64_t drop_at_ms; /**< a former holder drops its state; 0: not */
	group_source_t sources[GROUP_HOLDERS_MAX];

	group_role_t role;
	uint64_t term;
	node_id_t voted_for; /**< in term */
	node_id_t leader; /**< of term; NODE_ID_NONE if unknown */
	int64_t heard_ms; /**< last renewal received or vote given */
	int64_t jitter_ms; /**< added to the election timeout */
	int64_t yielded_ms; /**< last pre-vote given up for another's */
	int64_t campaign_ms; /**< start of the pre-vote or vote */
	int64_t asked_ms; /**< last sending of vote requests */
	uint64_t resigned_term; /**< the leader of this term handed over */
	int64_t lease_until_ms; /**< as the leader */
	int64_t renewed_ms;
	group_peer_t peers[GROUP_HOLDERS_MAX];

	group_store_t store;
	uint64_t store_term; /**< the store is that of this term's leader */
	uint64_t store_seq;
	uint64_t base_seq; /**< leader: store_seq at the start of its term */
	uint64_t committed_seq;
	uint64_t sync_term; /**< follower: term that is being read */
	uint64_t sync_seq;
	group_store_t staging; /**< follower: store of a new term */

	node_id_t cached_leader; /**< not a holder: answer of a holder */
	int64_t cached_until_ms;
	int64_t who_asked_ms;
	uint32_t who_next;
} group_shard_t;

struct group {
	group_options_t options;
	rng_t rng;
	int resigning;
	group_state_ops_t modules[GROUP_MODULES_MAX];
	uint32_t module_count;
	group_stats_t stats;
	group_shard_t shards[];
};

/* group.c */
uint32_t group_shard_index(const group_t *group, const group_shard_t *shard);
int group_shard_can_lead(const group_shard_t *shard, int64_t now_ms);
int group_shard_is_ready(const group_shard_t *shard);
uint32_t group_shard_majority(const group_shard_t *shard);
int group_find_holder(const group_t *group, const group_holder_t *holders,
    uint32_t count, node_id_t node, uint64_t incarnation);
void group_send(
    group_t *group, node_id_t to, uint16_t type, const ProtobufCMessage *msg);
void group_send_holders(group_t *group, const group_shard_t *shard,
    uint16_t type, const ProtobufCMessage *msg);
/** Answers a message of an older epoch and fetches a newer one. */
int group_check_epoch(
    group_t *group, group_shard_t *shard, node_id_t from, uint64_t epoch);

/* group_lease.c */
void group_lease_reset(group_t *group, group_shard_t *shard);
void group_lease_step_down(
    group_t *group, group_shard_t *shard, int64_t now_ms);
void group_lease_tick(group_t *group, group_shard_t *shard, int64_t now_ms);
int group_lease_is_valid(
    const group_t *group, const group_shard_t *shard, int64_t now_ms);
void group_lease_hand_over(
    group_t *group, group_shard_t *shard, int64_t now_ms);
void group_handle_renew(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupRenew *msg, int64_t now_ms);
void group_handle_renew_ack(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupRenewAck *msg, int64_t now_ms);
void group_handle_vote(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupVote *msg, int64_t now_ms);
void group_handle_vote_reply(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupVoteReply *msg, int64_t now_ms);
void group_handle_hand_over(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupHandOver *msg, int64_t now_ms);

/* group_sync.c */
void group_sync_start_term(group_t *group, group_shard_t *shard);
void group_sync_tick(group_t *group, group_shard_t *shard, int64_t now_ms);
int group_sync_is_complete(const group_shard_t *shard, int peer);
void group_handle_store_sync(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupStoreSync *msg, int64_t now_ms);
void group_handle_store_ack(group_t *group, group_shard_t *shard, int peer,
    const Tm__GroupStoreAck *msg, int64_t now_ms);

/* group_transfer.c */
void group_transfer_reset(group_shard_t *shard);
void group_transfer_tick(group_t *group, group_shard_t *shard, int64_t now_ms);
void group_handle_fetch(group_t *group, group_shard_t *shard, node_id_t from,
    const Tm__GroupFetch *msg, int64_t now_ms);
void group_handle_state(group_t *group, group_shard_t *shard, node_id_t from,
    const Tm__GroupState *msg, int64_t now_ms);

#endif
