/**
 * @file
 * State shared by the files of the raft module.
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

/** Entries are added to a message up to this size; frames are at most 1 MiB. */
#define RAFT_APPEND_BYTES (256 * 1024)
/** Most entries of a message. */
#define RAFT_APPEND_ENTRIES 1024
/** Data of a snapshot message. */
#define RAFT_CHUNK_BYTES (256 * 1024)
/**
 * Unacknowledged messages with entries per peer. 6 messages of the longest
 * entry stay below the 4 MiB queue of a peer.
 */
#define RAFT_INFLIGHT_MAX 6
/** Entries that may wait for a commit before proposals are rejected. */
#define RAFT_UNCOMMITTED_MAX 16384
/** Bytes of all entries in memory from which on proposals are rejected. */
#define RAFT_LOG_MAX_BYTES (64 * 1024 * 1024)
/** Interval at which a member without a configuration announces itself. */
#define RAFT_HELLO_MS 200

typedef enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
} raft_role_t;

typedef struct raft_config {
	raft_voter_t voters[RAFT_VOTERS_MAX];
	int count;
	uint64_t index; /**< entry that holds it; 0 if there is none */
} raft_config_t;

/** What a leader or candidate knows of another member. */
typedef struct raft_peer {
	node_id_t node;
	uint64_t disk_id; /**< disk that match and acked_ms refer to */
	uint64_t match; /**< highest entry known to be on that disk */
	uint64_t next; /**< next entry to send */
	uint64_t commit_sent;
	int64_t acked_ms; /**< when the last acknowledged message was sent */
	int64_t sent_ms;
	int64_t progress_ms; /**< last reply, or first send after one */
	int inflight;
	int probing; /**< next is a guess: one message at a time */
	int granted; /**< vote or pre-vote in the current election */
	int lost_reported;
	uint64_t snapshot_index; /**< being sent; 0 if none */
	size_t snapshot_offset;
	int64_t snapshot_sent_ms;
	uint64_t round_target; /**< commit index to catch up with */
	int64_t round_ms; /**< start of this round */
	int64_t hello_ms; /**< while forming; 0 if never */
	int hello_fresh;
	int64_t voter_ms; /**< last message of a voter about elections */
	uint64_t seen_term; /**< end of its log as far as known */
	uint64_t seen_index;
} raft_peer_t;

/** A snapshot that is being received. */
typedef struct raft_incoming {
	uint64_t index;
	uint64_t checksum;
	uint8_t *data;
	size_t total;
	size_t received;
} raft_incoming_t;

struct raft {
	raft_options_t options;
	rng_t rng;
	int64_t now_ms;
	raft_role_t role;
	uint64_t term;
	node_id_t vote;
	node_id_t leader;
	int error; /**< storage error after which nothing is done */

	raft_log_t log;
	uint64_t persisted; /**< last entry on disk */
	uint64_t commit;
	uint64_t applied;
	raft_config_t config; /**< newest in the log */
	raft_config_t base_config; /**< at the base of the log */
	raft_snapshot_t snapshot; /**< data is owned */
	uint64_t snapshot_checksum;
	raft_incoming_t incoming;

	raft_peer_t peers[RAFT_VOTERS_MAX];
	int peer_count;

	int64_t heard_ms; /**< last message of a leader */
	int64_t election_due_ms;
	int64_t leader_since_ms;
	int64_t hello_due_ms;
	int64_t transfer_until_ms; /**< 0 if no transfer is going on */
	node_id_t transfer_to;
	int learner_reported;
	raft_stats_t stats;
};

/* raft.c */
void raft_fail(raft_t *raft, int err);
void raft_reset_election(raft_t *raft);
int raft_save_vote(raft_t *raft, uint64_t term, node_id_t vote);
void raft_become_follower(raft_t *raft, uint64_t term, node_id_t leader);
void raft_advance_applied(raft_t *raft);
void raft_count_malformed(raft_t *raft, node_id_t from, uint16_t type);
void raft_send(
    raft_t *raft, node_id_t to, uint16_t type, const ProtobufCMessage *message);
/** Appends to the log in memory; raft_flush() makes it durable. */
int raft_append_local(
    raft_t *raft, raft_kind_t kind, const uint8_t *data, size_t len);
/** Writes the entries after raft->persisted. */
int raft_persist(raft_t *raft);
/** Checks the term of a message of a leader and follows it. */
int raft_follow(raft_t *raft, node_id_t from, uint64_t term);
/** Hexadecimal text of an id for log lines. */
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
int64_t raft_get_quorum_ack_ms(const raft_t *raft);

/* raft_recover.c */
/** Notes a sign of life of a disk that holds a vote. */
void raft_note_voter(raft_t *raft, node_id_t from, uint64_t disk_id);
void raft_note_log(
    raft_t *raft, node_id_t from, uint64_t last_term, uint64_t last_index);
/** Ends the part of a node whose log is older than the epoch of a term. */
int raft_check_epoch(raft_t *raft, uint64_t term);

/* raft_replicate.c */
void raft_tick_leader(raft_t *raft);
void raft_send_to_peers(raft_t *raft);
void raft_send_to_peer(raft_t *raft, raft_peer_t *peer);
void raft_advance_commit(raft_t *raft);
/** Checks a reply and records which disk answered. NULL if it is ignored. */
raft_peer_t *raft_take_reply(raft_t *raft, node_id_t from, uint64_t disk_id,
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
/* Makes a snapshot, already set, the start of an empty log. */
void raft_start_from_snapshot(raft_t *raft, const raft_snapshot_t *snapshot);

/* raft_member.c */
int raft_quorum_size(const raft_t *raft);
/** Tells whether a vote or acknowledgement of this disk counts. */
int raft_is_voting(const raft_t *raft, node_id_t node, uint64_t disk_id);
raft_peer_t *raft_find_peer(raft_t *raft, node_id_t node);
/** Takes the newest configuration of the log into use. */
void raft_reload_config(raft_t *raft);
/** Decodes seats. @return 0 or TM_EFORMAT */
int raft_decode_config(const uint8_t *data, size_t len, raft_config_t *config);
int raft_decode_seats(
    size_t count, Tm__Raft__Seat *const *seats, raft_config_t *config);
void raft_fill_seats(const raft_voter_t *voters, int count,
    Tm__Raft__Seat *seats, Tm__Raft__Seat **pointers);
int raft_append_config(raft_t *raft, const raft_config_t *config);
/** Gives the vote of a lost disk to its replacement, one step at a time. */
void raft_step_members(raft_t *raft);
/** Starts a new log if this node can know its first configuration. */
int raft_bootstrap(raft_t *raft);
void raft_tick_forming(raft_t *raft);
int raft_handle_hello(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);
int raft_handle_form(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len);

#endif
