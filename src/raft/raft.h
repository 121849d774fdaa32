/**
 * @file
 * Replicated log of the control VMs and hubs (Raft): elections with pre-vote
 * and check-quorum, log replication, snapshots, changes of members, and
 * recovery after a majority was lost. A raft_t owns its state and is used by
 * one thread. It reads no clock and opens no socket or file; it blocks only in
 * the callbacks of its storage.
 *
 * A member is a voter if its disk holds a vote and a learner otherwise. A vote
 * belongs to a disk id, not to a node, so that a node whose disk was replaced
 * cannot vote twice in a term.
 *
 * An epoch counts the recoveries from a lost majority, see raft_recover(). A
 * node whose log belongs to an older epoch stops.
 */
#ifndef TM_RAFT_RAFT_H
#define TM_RAFT_RAFT_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"

/** Maximum number of members. */
#define RAFT_MEMBERS_MAX 7
/** Maximum data of an entry in bytes; it must fit into one frame. */
#define RAFT_ENTRY_MAX_BYTES (512 * 1024)
/** Maximum size of a snapshot in bytes. */
#define RAFT_SNAPSHOT_MAX_BYTES (256 * 1024 * 1024)
/** Default interval between heartbeats. */
#define RAFT_HEARTBEAT_MS 100
/**
 * Default minimum election timeout. A timeout is drawn at random between this
 * and twice this.
 */
#define RAFT_ELECTION_MS 600

/** Disk id of a learner, and of a member whose disk id is not yet known. */
#define RAFT_DISK_NONE UINT64_C(0)

/** Flags that disable one mechanism each, for tests only. */
#define RAFT_TEST_IGNORE_DISK_ID  1u
#define RAFT_TEST_NO_CHECK_QUORUM 2u
#define RAFT_TEST_NO_PRE_VOTE	  4u
#define RAFT_TEST_NO_EPOCH	  8u

/**
 * Terms and indexes of a recovered log start at epoch << RAFT_EPOCH_SHIFT, so
 * that they are above those of all earlier epochs.
 */
#define RAFT_EPOCH_SHIFT 32
/**
 * A recovery is refused if a leader, or a majority of the voters, was in
 * contact within this time.
 */
#define RAFT_RECOVERY_TIMEOUT_MS 10000

typedef struct raft raft_t;

/**
 * A member of the log and the disk that holds its vote. With a disk id of
 * RAFT_DISK_NONE it is a learner; the leader makes it a voter once it has
 * caught up.
 */
typedef struct raft_member {
	node_id_t node;
	uint64_t disk_id;
} raft_member_t;

/** Kind of an entry. */
typedef enum raft_kind {
	RAFT_KIND_DATA = 1, /**< data of the caller, passed to apply */
	RAFT_KIND_CONFIG = 2 /**< list of members; not passed to apply */
} raft_kind_t;

/** One entry of the log. */
typedef struct raft_entry {
	uint64_t index; /**< the first entry has index 1 */
	uint64_t term;
	raft_kind_t kind;
	const uint8_t *data;
	size_t len; /**< bytes */
} raft_entry_t;

/** State of the caller after the entry at index. */
typedef struct raft_snapshot {
	uint64_t index; /**< 0 means no snapshot */
	uint64_t term;
	raft_member_t voters[RAFT_MEMBERS_MAX];
	int voter_count;
	const uint8_t *data;
	size_t len; /**< bytes */
} raft_snapshot_t;

/**
 * Durable storage. Each callback returns 0 only once the data is on disk. After
 * any error the node stops: it ignores messages and rejects proposals until it
 * is created again.
 */
typedef struct raft_storage {
	/** Appends entries with consecutive indexes. */
	int (*append)(void *ctx, const raft_entry_t *entries, size_t count);
	/** Removes all entries with index >= from. */
	int (*truncate)(void *ctx, uint64_t from);
	/** Replaces the term and the vote; NODE_ID_NONE stands for no vote. */
	int (*save_vote)(void *ctx, uint64_t term, node_id_t vote);
	/**
	 * Replaces the snapshot; entries with index <= snapshot->index may be
	 * removed. If the log ends before snapshot->index, the next append
	 * starts at snapshot->index + 1.
	 */
	int (*save_snapshot)(void *ctx, const raft_snapshot_t *snapshot);
	void *ctx; /**< passed to these callbacks */
} raft_storage_t;

/** Content of the storage at the start; all zero if it was empty. */
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
 * @param data  allocated with malloc(); freed by the raft module
 * @param len   length of data in bytes
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

/** Options of a node; raft_create() copies them and the restored data. */
typedef struct raft_options {
	node_id_t self;
	uint64_t disk_id; /**< never RAFT_DISK_NONE */
	/**
	 * Members of a new log, used only while the log is empty. If disk ids
	 * are RAFT_DISK_NONE, the member with the lowest node id collects the
	 * disk ids of all members, which must be reachable, and bootstraps the
	 * log.
	 */
	raft_member_t voters[RAFT_MEMBERS_MAX];
	int voter_count;
	int heartbeat_ms; /**< 0 means RAFT_HEARTBEAT_MS */
	int election_ms; /**< 0 means RAFT_ELECTION_MS */
	uint64_t seed; /**< for the random election timeouts */
	uint32_t test_switches; /**< RAFT_TEST_*; 0 outside tests */
	raft_restore_t restore;
	raft_storage_t storage;
	node_send_cb send;
	void *send_ctx;
	raft_apply_cb apply;
	raft_take_snapshot_cb take_snapshot;
	raft_install_snapshot_cb install_snapshot;
	void *ctx; /**< passed to the apply and snapshot callbacks */
} raft_options_t;

/** Counters since the node was created. */
typedef struct raft_stats {
	uint64_t malformed; /**< messages rejected as malformed */
	uint64_t elections; /**< elections this node started */
	uint64_t snapshots_sent;
	uint64_t snapshots_installed;
	uint64_t step_downs; /**< as a leader without contact to a majority */
} raft_stats_t;

/**
 * Creates a node from the restored content of its storage.
 *
 * @param now_ms  boot-time clock
 * @return 0; TM_EINVAL for bad options; TM_ECORRUPT if the restored data is
 *         inconsistent; TM_ENOMEM; the error of a callback
 */
int raft_create(raft_t **out, const raft_options_t *options, int64_t now_ms);

/** Frees a node. @param raft  may be NULL */
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
 * Queues an entry. The next raft_flush() or raft_tick() writes and sends it. It
 * is accepted once apply is called with its index while the term is still the
 * same; until then a new leader may replace it.
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
 * Returns 1 if this node is the leader and a majority acknowledged a message
 * that was sent within the last election timeout. Required before it answers
 * reads or issues ticks: no other node can have become leader meanwhile.
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

/**
 * @return 0, or the error that stopped the node; TM_EEPOCH if a newer epoch
 * exists
 */
int raft_get_error(const raft_t *raft);

/**
 * Copies the members of the newest configuration in the log, committed or not.
 *
 * @param voters  array of RAFT_MEMBERS_MAX elements
 * @return        number of members
 */
int raft_get_members(const raft_t *raft, raft_member_t *voters);

/** @return 1 if this node has not stopped and its disk holds a vote */
int raft_is_voter(const raft_t *raft);

/** Copies the counters. */
void raft_get_stats(const raft_t *raft, raft_stats_t *stats);

/**
 * Takes a snapshot of the applied state, saves it and removes older entries.
 *
 * @param keep  number of applied entries that stay in the log, so that a member
 *              that is only slightly behind needs no snapshot
 * @return 0 (also if there is nothing to do); TM_ETOOBIG; the error of a
 *         callback
 */
int raft_compact(raft_t *raft, uint64_t keep);

/**
 * Adds a node as a learner. The leader replicates to it and makes it a voter
 * once it has caught up. The replacement of a lost disk needs no call.
 *
 * @return 0; TM_ENOTLEADER; TM_EEXIST; TM_EFULL with RAFT_MEMBERS_MAX members;
 *         TM_EUNAVAIL while another change is not yet committed
 */
int raft_add_node(raft_t *raft, node_id_t node);

/**
 * Removes a member.
 *
 * @return 0; TM_ENOTLEADER; TM_ENOENT; TM_EINVAL for the leader itself or the
 *         last voter; TM_EUNAVAIL while another change is not yet committed
 */
int raft_remove_node(raft_t *raft, node_id_t node);

/**
 * Starts to transfer leadership to the reachable voter with the longest log,
 * before a planned stop. Proposals are rejected meanwhile. The transfer is
 * complete once raft_is_leader() returns 0. It is abandoned if that voter does
 * not catch up within an election timeout; it may then be called again.
 *
 * @return 0; TM_ENOTLEADER; TM_EUNAVAIL if no other voter is reachable
 */
int raft_transfer_leadership(raft_t *raft, int64_t now_ms);

/** State from which a recovery would start. */
typedef struct raft_recovery {
	uint64_t last_index; /**< last entry on this disk */
	uint64_t last_term;
	uint64_t commit; /**< later entries may not have been accepted */
	uint64_t epoch; /**< of the recovered log */
	int voters;
	int voters_heard; /**< in contact recently, including this node */
	node_id_t more_advanced; /**< voter with a more advanced log, if any */
	int64_t leader_silence_ms; /**< since the last contact of a leader, or
				      since the start */
} raft_recovery_t;

/** @return epoch of a term or of an index; 0 before any recovery */
uint64_t raft_epoch_of(uint64_t term_or_index);

/**
 * Describes a recovery and checks whether it is allowed.
 *
 * @return 0; TM_EINUSE while a leader or a majority of the voters was in
 *         contact within RAFT_RECOVERY_TIMEOUT_MS; TM_ESTALE if a voter in
 *         contact has a more advanced log; TM_EINVAL if this disk holds no
 *         vote; TM_EEPOCH if a newer epoch exists; TM_EIO after a storage error
 */
int raft_plan_recovery(raft_t *raft, raft_recovery_t *out, int64_t now_ms);

/** Reports that the state continues in a new epoch at an index. */
typedef void (*raft_epoch_cb)(void *ctx, uint64_t epoch, uint64_t index);

/**
 * Starts a new epoch after a majority was lost for good. This disk is its only
 * voter; the other members join as learners once their data folders are
 * emptied. Members with a log of an older epoch stop when they receive a
 * message of the new one.
 *
 * @param keep_tail  1 if entries after the commit index are applied
 * @param begin      called with options.ctx before the snapshot is taken
 * @return           as raft_plan_recovery(), or the error of a callback
 */
int raft_recover(
    raft_t *raft, int keep_tail, raft_epoch_cb begin, int64_t now_ms);

#endif
