/**
 * @file
 * State and functions shared by the files of the raft module. Handlers of
 * messages return TM_EFORMAT for a malformed message, or an error that stopped
 * the node.
 */
#ifndef TM_RAFT_RAFT_INTERNAL_H
#define TM_RAFT_RAFT_INTERNAL_H

#include "base/rng.h"
#include "proto/raft.pb-c.h"
#include "raft/raft.h"
#include "raft/raft_log.h"

/** Message types. */
enum {
	MSG_RAFT_VOTE_REQUEST = 10,
	MSG_RAFT_VOTE_REPLY,
	MSG_RAFT_APPEND,
	MSG_RAFT_APPEND_REPLY,
	MSG_RAFT_SNAPSHOT,
	MSG_RAFT_SNAPSHOT_REPLY,
	MSG_RAFT_TIMEOUT_NOW,
	MSG_RAFT_HELLO,
	MSG_RAFT_FORM
};

/** Entries are added to a message up to this size; a frame holds 1 MiB. */
#define RAFT_APPEND_TARGET_BYTES (256 * 1024)
/** Maximum number of entries in a message. */
#define RAFT_APPEND_ENTRIES_MAX 1024
/** Maximum data of a snapshot message. */
#define RAFT_SNAPSHOT_CHUNK_BYTES (256 * 1024)
/**
 * Maximum number of unacknowledged messages with entries per peer. 6 messages
 * with the longest entry fit into the 4 MiB send queue of a peer.
 */
#define RAFT_INFLIGHT_MAX 6
/** Number of uncommitted entries at which proposals are rejected. */
#define RAFT_UNCOMMITTED_MAX 16384
/** Data of all entries in memory at which proposals are rejected, in bytes. */
#define RAFT_LOG_MAX_BYTES (64 * 1024 * 1024)
/** Interval at which a member without a configuration sends a hello. */
#define RAFT_HELLO_INTERVAL_MS 200
/** Maximum time that a candidate allows voters for their writes. */
#define RAFT_VOTERS_DELAY_MAX_MS 2000
/** Late ticks extend an election timeout until they add up to this time. */
#define RAFT_EXCUSED_MAX_MS 2000

typedef enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
} raft_role_t;

typedef struct raft_config {
	raft_member_t voters[RAFT_MEMBERS_MAX];
	int count;
	uint64_t index; /**< of the entry that holds it; 0 if there is none */
} raft_config_t;

/** State that a leader or candidate keeps about another member. */
typedef struct raft_peer {
	node_id_t node;
	uint64_t disk_id; /**< disk that match and last_acked_ms refer to */
	uint64_t match; /**< highest entry known to be on that disk */
	uint64_t next; /**< next entry to send */
	uint64_t commit_sent;
	int64_t
	    last_acked_ms; /**< when the last acknowledged message was sent */
	int64_t sent_ms;
	int64_t progress_ms; /**< last reply, or first message after one */
	int inflight;
	int probing; /**< next is an estimate: send one message at a time */
	int granted; /**< vote or pre-vote in the current election */
	int data_loss_reported;
	uint64_t snapshot_index; /**< being sent; 0 if none */
	size_t snapshot_offset;
	int64_t snapshot_sent_ms;
	uint64_t catch_up_target; /**< commit index to reach in this round */
	int64_t catch_up_start_ms;
	int64_t hello_ms; /**< last hello during the bootstrap; 0 if none */
	int hello_uninitialized;
	int64_t voter_last_seen_ms; /**< last election message as a voter */
	uint64_t log_end_term; /**< of the last entry that it reported */
	uint64_t log_end_index;
} raft_peer_t;

/** A snapshot that is being received. */
typedef struct raft_incoming_snapshot {
	uint64_t index;
	uint64_t checksum;
	uint8_t *data;
	size_t total;
	size_t received;
} raft_incoming_snapshot_t;

struct raft {
	raft_options_t options;
	rng_t rng;
	int64_t now_ms;
	int64_t ticked_ms; /**< last raft_tick(); 0 if none */
	int64_t held_up_ms; /**< how late that one was */
	int64_t
	    excused_ms; /**< of late ticks, since the election timeout was set */
	raft_role_t role;
	uint64_t term;
	node_id_t vote;
	node_id_t leader;
	int error; /**< that stopped the node; 0 if it is running */

	raft_log_t log;
	uint64_t persisted; /**< last entry on disk */
	uint64_t commit;
	uint64_t applied;
	raft_config_t config; /**< newest one in the log */
	raft_config_t base_config; /**< that applies at the base of the log */
	raft_snapshot_t snapshot; /**< data is owned */
	uint64_t snapshot_checksum;
	raft_incoming_snapshot_t incoming;

	raft_peer_t peers[RAFT_MEMBERS_MAX];
	int peer_count;

	int64_t
	    leader_last_seen_ms; /**< last message of a leader, or the start */
	int64_t election_due_ms;
	int64_t leader_since_ms;
	int64_t hello_due_ms;
	int64_t transfer_until_ms; /**< 0 if no transfer is in progress */
	node_id_t transfer_to;
	int learner_reported;
	raft_stats_t stats;
};

/* raft.c */
/** Stops the node after a storage error; a leader hands over. */
void raft_fail(raft_t *raft, int err);
/** Draws a new election timeout that starts now. */
void raft_reset_election(raft_t *raft);
int raft_save_vote(raft_t *raft, uint64_t term, node_id_t vote);
void raft_become_follower(raft_t *raft, uint64_t term, node_id_t leader);
/** Becomes a follower; a new term is saved together with the vote in it. */
void raft_become_voter(
    raft_t *raft, uint64_t term, node_id_t vote, node_id_t leader);
void raft_advance_applied(raft_t *raft);
void raft_count_malformed(raft_t *raft, node_id_t from, uint16_t type);
void raft_send(
    raft_t *raft, node_id_t to, uint16_t type, const ProtobufCMessage *message);
/** Appends to the log in memory; raft_flush() makes it durable. */
int raft_append_local(
    raft_t *raft, raft_kind_t kind, const uint8_t *data, size_t len);
/** Writes the entries after raft->persisted. */
int raft_persist(raft_t *raft);
/**
 * Follows the leader that sent a message.
 * @return 0; TM_EFORMAT if the term has another leader; the error that stopped
 *         the node
 */
int raft_follow(raft_t *raft, node_id_t from, uint64_t term);
/** Formats an id in hexadecimal. @return text */
const char *raft_format_id(uint64_t id, char text[17]);

/* raft_election.c */
void raft_tick_election(raft_t *raft);
void raft_start_election(raft_t *raft, int pre_vote, int transfer);
int raft_handle_vote_request(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
int raft_handle_vote_reply(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
int raft_handle_timeout_now(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
void raft_step_down(raft_t *raft, const char *reason);
int64_t raft_get_quorum_contact_ms(const raft_t *raft);
/** @return the reachable voter with the longest log, or NULL */
raft_peer_t *raft_pick_successor(raft_t *raft);
/** Tells a voter to start an election; this node must not lead any more. */
void raft_send_timeout_now(raft_t *raft, const raft_peer_t *successor);

/* raft_recover.c */
/** Records contact to a member if its disk holds a vote. */
void raft_record_voter_contact(raft_t *raft, node_id_t from, uint64_t disk_id);
void raft_record_log_end(
    raft_t *raft, node_id_t from, uint64_t last_term, uint64_t last_index);
/** Stops the node if its log is older than the epoch of a term. */
int raft_check_epoch(raft_t *raft, uint64_t term);

/* raft_replicate.c */
void raft_tick_leader(raft_t *raft);
void raft_send_to_peers(raft_t *raft);
void raft_send_to_peer(raft_t *raft, raft_peer_t *peer);
void raft_advance_commit(raft_t *raft);
/**
 * Checks a reply and records the disk and the time of contact.
 * @return the peer, or NULL if the reply is to be ignored
 */
raft_peer_t *raft_record_reply(raft_t *raft, node_id_t from, uint64_t disk_id,
    uint64_t term, int64_t sent_ms);
int raft_handle_append(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
int raft_handle_append_reply(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);

/* raft_snapshot.c */
void raft_send_snapshot(raft_t *raft, raft_peer_t *peer);
int raft_handle_snapshot(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
int raft_handle_snapshot_reply(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
int raft_set_snapshot(raft_t *raft, const raft_snapshot_t *snapshot);
/** Makes a snapshot, already set, the base of an empty log. */
void raft_start_from_snapshot(raft_t *raft, const raft_snapshot_t *snapshot);

/* raft_member.c */
int raft_quorum_size(const raft_t *raft);
/** @return 1 if votes and acknowledgements of this disk count */
int raft_is_voting(const raft_t *raft, node_id_t node, uint64_t disk_id);
raft_peer_t *raft_find_peer(raft_t *raft, node_id_t node);
/** Applies the newest configuration of the log. */
void raft_reload_config(raft_t *raft);
/** Decodes the members of a configuration. @return 0 or TM_EFORMAT */
int raft_decode_config(const uint8_t *data, size_t len, raft_config_t *config);
int raft_decode_members(
    size_t count, Tm__Raft__Seat *const *seats, raft_config_t *config);
void raft_encode_members(const raft_member_t *voters, int count,
    Tm__Raft__Seat *seats, Tm__Raft__Seat **pointers);
int raft_append_config(raft_t *raft, const raft_config_t *config);
/** Replaces lost disks and makes learners voters, one change at a time. */
void raft_update_members(raft_t *raft);
/** Starts a new log if the options name all disk ids and list this disk. */
int raft_bootstrap_from_options(raft_t *raft);
void raft_tick_bootstrap(raft_t *raft);
int raft_handle_hello(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
int raft_handle_form(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);

#endif
