/**
 * @file
 * Replicated log of the control VMs: elections with pre-vote, check-quorum,
 * log replication, snapshots and replacement of members. A decision module:
 * it reads no clock and blocks only inside its storage callbacks.
 */
#ifndef TM_RAFT_RAFT_H
#define TM_RAFT_RAFT_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"

/** Most members of the log. */
#define RAFT_VOTERS_MAX 7
/** Longest data of one entry in bytes; it must fit into one frame. */
#define RAFT_ENTRY_MAX_BYTES (512 * 1024)
/** Longest snapshot in bytes. */
#define RAFT_SNAPSHOT_MAX_BYTES (256 * 1024 * 1024)
/** Default interval of heartbeats. */
#define RAFT_HEARTBEAT_MS 100
/** Default shortest election timeout; the longest is twice as long. */
#define RAFT_ELECTION_MS 600

/** Disk id of a seat without a voter, and of one not yet known. */
#define RAFT_DISK_NONE UINT64_C(0)

/** Switches one mechanism off. For tests only. */
#define RAFT_TEST_IGNORE_DISK_ID  1u
#define RAFT_TEST_NO_CHECK_QUORUM 2u
#define RAFT_TEST_NO_PRE_VOTE	  4u
#define RAFT_TEST_NO_EPOCH	  8u

/**
 * Terms and indexes of a recovered log start at epoch << RAFT_EPOCH_SHIFT, so
 * that all of them are above those of the log before.
 */
#define RAFT_EPOCH_SHIFT 32
/** A recovery needs this silence of leaders and of a majority. */
#define RAFT_RECOVER_SILENCE_MS 10000

typedef struct raft raft_t;

/**
 * A seat: a member node and the disk whose vote counts. A seat whose disk is
 * RAFT_DISK_NONE has no vote until the leader has brought the node up to date.
 */
typedef struct raft_voter {
	node_id_t node;
	uint64_t disk_id;
} raft_voter_t;

/** Kind of an entry. */
typedef enum raft_kind {
	RAFT_KIND_DATA = 1, /**< data of the caller */
	RAFT_KIND_CONFIG = 2 /**< seats; not passed to apply */
} raft_kind_t;

/** One entry of the log. */
typedef struct raft_entry {
	uint64_t index; /**< from 1 */
	uint64_t term;
	raft_kind_t kind;
	const uint8_t *data;
	size_t len; /**< bytes */
} raft_entry_t;

/** State of the caller after the entry at index. */
typedef struct raft_snapshot {
	uint64_t index; /**< 0 means no snapshot */
	uint64_t term;
	raft_voter_t voters[RAFT_VOTERS_MAX];
	int voter_count;
	const uint8_t *data;
	size_t len; /**< bytes */
} raft_snapshot_t;

/**
 * Durable storage. Each call returns 0 only once the data is on disk; after
 * any error the node takes no further part until it is created again.
 */
typedef struct raft_storage {
	/** Appends entries with consecutive indexes. */
	int (*append)(void *ctx, const raft_entry_t *entries, size_t count);
	/** Removes all entries with index >= from. */
	int (*truncate)(void *ctx, uint64_t from);
	/** Replaces the term and the vote (NODE_ID_NONE for none). */
	int (*save_vote)(void *ctx, uint64_t term, node_id_t vote);
	/**
	 * Replaces the snapshot; entries with index <= snapshot->index may be
	 * removed. If the log ends before snapshot->index, the next append
	 * starts at snapshot->index + 1.
	 */
	int (*save_snapshot)(void *ctx, const raft_snapshot_t *snapshot);
	void *ctx; /**< of these callbacks */
} raft_storage_t;

/** What the storage held at the start; all zero for an empty folder. */
typedef struct raft_restore {
	uint64_t term;
	node_id_t vote;
	raft_snapshot_t snapshot;
	const raft_entry_t *entries; /**< consecutive; copied */
	size_t entry_count;
} raft_restore_t;

/**
 * Applies a committed entry of kind RAFT_KIND_DATA, in order. It must not call
 * raft_compact().
 */
typedef void (*raft_apply_cb)(
    void *ctx, uint64_t index, const uint8_t *data, size_t len);

/**
 * Encodes the state after the last applied entry.
 *
 * @param data  bytes from malloc(); raft frees them
 * @return      0 or a negative error number
 */
typedef int (*raft_take_snapshot_cb)(void *ctx, uint8_t **data, size_t *len);

/**
 * Replaces the whole state. Also called by raft_create() if the storage held a
 * snapshot.
 *
 * @return 0, or a negative error number if the bytes are not a valid state
 */
typedef int (*raft_install_snapshot_cb)(
    void *ctx, uint64_t index, const uint8_t *data, size_t len);

/** What a node needs; the structure and the restored data are copied. */
typedef struct raft_options {
	node_id_t self;
	uint64_t disk_id; /**< never RAFT_DISK_NONE */
	/**
	 * Members of a new log, used only while the log is empty. With disk ids
	 * of RAFT_DISK_NONE the member with the lowest node id collects the
	 * disk ids once all members are reachable and forms the log.
	 */
	raft_voter_t voters[RAFT_VOTERS_MAX];
	int voter_count;
	int heartbeat_ms; /**< 0 means RAFT_HEARTBEAT_MS */
	int election_ms; /**< 0 means RAFT_ELECTION_MS */
	uint64_t seed; /**< of the random timeouts */
	uint32_t test_switches; /**< RAFT_TEST_*; 0 outside tests */
	raft_restore_t restore;
	raft_storage_t storage;
	node_send_cb send;
	void *send_ctx;
	raft_apply_cb apply;
	raft_take_snapshot_cb take_snapshot;
	raft_install_snapshot_cb install_snapshot;
	void *ctx; /**< of the apply and snapshot callbacks */
} raft_options_t;

/** Counts since the node was created. */
typedef struct raft_stats {
	uint64_t malformed; /**< messages rejected as malformed */
	uint64_t elections; /**< elections this node started */
	uint64_t snapshots_sent;
	uint64_t snapshots_installed;
	uint64_t step_downs; /**< leader without contact to a majority */
} raft_stats_t;

/**
 * Creates a node from what its storage holds.
 *
 * @param now_ms  boot-time clock
 * @return 0; TM_EINVAL for bad options; TM_ECORRUPT if the restored data is
 *         inconsistent; TM_ENOMEM; the error of a callback
 */
int raft_create(raft_t **out, const raft_options_t *options, int64_t now_ms);

/** Frees a node; raft may be NULL. */
void raft_destroy(raft_t *raft);

/**
 * Runs the timers and flushes proposals; call it every 10 to 50 ms.
 *
 * @param now_ms  boot-time clock
 */
void raft_tick(raft_t *raft, int64_t now_ms);

/**
 * Handles a message of type MSG_RAFT_BASE to MSG_RAFT_BASE + 19 from an
 * authenticated node. Malformed messages are counted and dropped.
 */
void raft_handle(raft_t *raft, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/**
 * Queues an entry. It is written and sent by the next raft_flush() or
 * raft_tick(), and is accepted once apply is called with its index and the
 * term is still the same; a new leader may replace it before.
 *
 * @param index  index of the entry
 * @return 0; TM_ENOTLEADER; TM_ETOOBIG above RAFT_ENTRY_MAX_BYTES; TM_EFULL
 *         while 16,384 entries wait for a commit or the log needs
 *         raft_compact() (64 MiB); TM_EUNAVAIL during a transfer; TM_EIO after
 *         a storage error; TM_ENOMEM
 */
int raft_propose(
    raft_t *raft, const uint8_t *data, size_t len, uint64_t *index);

/**
 * Writes all queued entries with one storage call and sends them. Calling it
 * once per loop iteration batches the proposals of that iteration.
 *
 * @return 0, or TM_EIO after a storage error
 */
int raft_flush(raft_t *raft, int64_t now_ms);

/** @return 1 if this node is the leader of its term as far as it knows */
int raft_is_leader(const raft_t *raft);

/** @return the leader of the current term, NODE_ID_NONE if unknown */
node_id_t raft_get_leader(const raft_t *raft);

/**
 * Tells whether this node leads and a majority acknowledged a message that was
 * sent within the last election timeout. Required for reads and ticks. No
 * other node can have become leader while it returns 1.
 */
int raft_has_quorum_contact(const raft_t *raft, int64_t now_ms);

/** @return current term */
uint64_t raft_get_term(const raft_t *raft);

/** @return index of the last committed entry; 0 if none */
uint64_t raft_get_commit(const raft_t *raft);

/** @return index of the last applied entry of any kind; 0 if none */
uint64_t raft_get_applied(const raft_t *raft);

/** @return index of the last entry, queued ones included; 0 if none */
uint64_t raft_get_last(const raft_t *raft);

/** @return index of the first entry still in the log */
uint64_t raft_get_first(const raft_t *raft);

/**
 * Term of an entry, to see whether a proposal was replaced.
 *
 * @return term; 0 if the entry is compacted or not yet known
 */
uint64_t raft_get_entry_term(const raft_t *raft, uint64_t index);

/** @return entry that is in memory, or NULL; valid until the next call */
const raft_entry_t *raft_get_entry(const raft_t *raft, uint64_t index);

/** @return 0, or the storage error after which the node takes no part */
int raft_get_error(const raft_t *raft);

/**
 * Seats of the newest configuration in the log, committed or not.
 *
 * @param voters  room for RAFT_VOTERS_MAX
 * @return        number of seats
 */
int raft_get_voters(const raft_t *raft, raft_voter_t *voters);

/** @return 1 if this node takes part and its disk holds a vote */
int raft_is_voter(const raft_t *raft);

/** Copies the counts. */
void raft_get_stats(const raft_t *raft, raft_stats_t *stats);

/**
 * Takes a snapshot of the applied state, saves it and removes older entries.
 *
 * @param keep  number of applied entries that stay in the log, so that a node
 *              that is only a little behind needs no snapshot
 * @return 0 (also if there is nothing to do); TM_ETOOBIG; the error of a
 *         callback
 */
int raft_compact(raft_t *raft, uint64_t keep);

/**
 * Adds a seat for a node. The leader replicates to it, and gives it the vote
 * by itself once it is up to date. Replacing a lost disk needs no call.
 *
 * @return 0; TM_ENOTLEADER; TM_EEXIST; TM_EFULL with RAFT_VOTERS_MAX seats;
 *         TM_EUNAVAIL while another change is not yet committed
 */
int raft_add_node(raft_t *raft, node_id_t node);

/**
 * Removes the seat of a node.
 *
 * @return 0; TM_ENOTLEADER; TM_ENOENT; TM_EINVAL for the leader itself or the
 *         last voter; TM_EUNAVAIL while another change is not yet committed
 */
int raft_remove_node(raft_t *raft, node_id_t node);

/**
 * Hands leadership to the voter that is most up to date, before a planned
 * stop. Proposals are rejected from now on. It is finished once
 * raft_is_leader() returns 0; it is given up if no voter catches up within an
 * election timeout, and may then be called again.
 *
 * @return 0; TM_ENOTLEADER; TM_EUNAVAIL if no other voter is reachable
 */
int raft_transfer(raft_t *raft, int64_t now_ms);

/** What a recovery would start from. */
typedef struct raft_recovery {
	uint64_t last_index; /**< last entry on this disk */
	uint64_t last_term;
	uint64_t commit; /**< entries after it may not have been accepted */
	uint64_t epoch; /**< of the recovered log */
	int voters;
	int voters_heard; /**< lately, with this node */
	node_id_t ahead; /**< a voter with a more advanced log, if heard */
	int64_t
	    leader_silence_ms; /**< since a leader was heard, or the start */
} raft_recovery_t;

/** @return epoch of a term or of an index; 0 before any recovery */
uint64_t raft_epoch_of(uint64_t term_or_index);

/**
 * Describes a recovery and checks whether it is allowed.
 *
 * @return 0; TM_EINUSE while a leader or a majority of the voters was heard
 *         within RAFT_RECOVER_SILENCE_MS; TM_ESTALE if a voter was heard that
 *         has a more advanced log; TM_EINVAL if this disk holds no vote;
 *         TM_EEPOCH if a newer epoch exists; TM_EIO after a storage error
 */
int raft_plan_recovery(raft_t *raft, raft_recovery_t *out, int64_t now_ms);

/**
 * Reports that the state continues in a new epoch at an index.
 */
typedef void (*raft_epoch_cb)(void *ctx, uint64_t epoch, uint64_t index);

/**
 * Starts a new epoch after a majority was lost for good: this disk is its
 * only voter, other members become learners once their folders are empty.
 * Members with an older log take no further part once they hear of it.
 *
 * @param keep_tail  1 if entries after the commit index are applied
 * @param begin      called with options.ctx before the snapshot is taken
 * @return           as raft_plan_recovery(), or the error of a callback
 */
int raft_recover(
    raft_t *raft, int keep_tail, raft_epoch_cb begin, int64_t now_ms);

#endif
