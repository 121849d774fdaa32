/**
 * @file
 * Shard groups: up to five holders per shard, epochs, state transfer, leader
 * lease and a small replicated store of the leader. One group_t serves all
 * shards of a VM, holder or not. The rules are in docs/shards.md.
 *
 * The send callback is never called with the VM itself as the receiver.
 */
#ifndef TM_GROUP_GROUP_H
#define TM_GROUP_GROUP_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"

#define GROUP_HOLDERS_MAX 5
#define GROUP_SHARDS_MAX  1024
/** A leader renews its lease at this interval. */
#define GROUP_RENEW_MS 250
/** A lease counts from the sending of the renewal. */
#define GROUP_LEASE_MS 1000
/** A holder that heard a renewal votes for no other leader for this long. */
#define GROUP_VOTE_WAIT_MS 1200
/** Claims are remembered, and a lost group is quarantined, for this long. */
#define GROUP_RETENTION_MS (15 * 60 * 1000)
/** Bounds of the store of one shard. */
#define GROUP_STORE_ENTRIES_MAX	    4096
#define GROUP_STORE_VALUE_MAX_BYTES (256 * 1024)
#define GROUP_STORE_MAX_BYTES	    (4 * 1024 * 1024)
#define GROUP_STORE_KEY_MAX_BYTES   95

/** A holder; a node with another incarnation is another holder. */
typedef struct group_holder {
	node_id_t node;
	uint64_t incarnation;
	/**
	 * Epoch since which this holder has been in the group without a
	 * break; 0 if unknown. With 0, a holder that missed an epoch has to
	 * read the state again.
	 */
	uint64_t since_epoch;
} group_holder_t;

/** Assignment of a shard, from the configuration. */
typedef struct group_assignment {
	uint32_t shard;
	uint64_t epoch; /**< 1 is the first ever */
	int quarantine; /**< the previous group is lost, with its state */
	uint32_t holder_count;
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t previous_count; /**< group of the epoch before */
	group_holder_t previous[GROUP_HOLDERS_MAX];
} group_assignment_t;

/** State of another module that is transferred to a new holder. */
typedef struct group_state_ops {
	void *ctx;
	/**
	 * Writes the next part of a shard's state.
	 *
	 * @param cursor  0 at first; position after the part on return; set
	 *                to UINT64_MAX when nothing is left
	 * @return        bytes written
	 */
	size_t (*write_part)(void *ctx, uint32_t shard, uint64_t *cursor,
	    uint8_t *out, size_t size, int64_t now_ms);
	/** Merges a part as a union. @return 0, TM_EFORMAT, TM_EFULL */
	int (*merge_part)(void *ctx, uint32_t shard, const uint8_t *data,
	    size_t len, int64_t now_ms);
	/** Forgets the state of a shard that this VM no longer holds. */
	void (*drop)(void *ctx, uint32_t shard);
} group_state_ops_t;

/** Notifications; each may be NULL. */
typedef struct group_callbacks {
	void *ctx;
	node_send_cb send;
	/** A peer has a newer epoch: fetch the configuration. */
	void (*fetch_config)(void *ctx, uint32_t shard, uint64_t epoch);
	/** This VM became the leader of a shard (leads != 0), or ceased. */
	void (*leads)(void *ctx, uint32_t shard, int leads, int64_t now_ms);
	/**
	 * A put of this leader is at a majority of the ready holders. May put
	 * the same key again, but no other.
	 */
	void (*committed)(void *ctx, uint32_t shard, const char *key,
	    uint64_t version, int64_t now_ms);
} group_callbacks_t;

/** Switches that turn one mechanism off, for proofs only. */
typedef struct group_test_switches {
	int ignore_incarnation; /**< count a holder that lost its memory */
	int skip_transfer; /**< new holders are ready at once */
	int skip_quarantine; /**< holders of a lost group are ready at once */
	int ignore_lease; /**< a leader does not check its lease */
	int vote_early; /**< voters do not wait for the old lease */
	int skip_store; /**< puts count as committed at once, unreplicated */
} group_test_switches_t;

typedef struct group_options {
	node_id_t self;
	uint64_t incarnation;
	uint32_t shard_count; /**< 1 to GROUP_SHARDS_MAX */
	uint64_t seed;
	group_callbacks_t callbacks;
	group_test_switches_t test;
} group_options_t;

/** Counts since the start of the process. */
typedef struct group_stats {
	uint64_t stale_epochs; /**< messages of an older epoch refused */
	uint64_t stale_incarnations; /**< messages of another incarnation */
	uint64_t malformed;
	uint64_t elections_won;
	uint64_t leases_lost;
	uint64_t transfers_done;
} group_stats_t;

/** Numbers of shards by the role of this VM. */
typedef struct group_roles {
	uint32_t holder_of;
	uint32_t ready_for;
	uint32_t leader_of;
} group_roles_t;

typedef struct group group_t;

/** @return 0, TM_EINVAL, TM_ENOMEM */
int group_create(group_t **out, const group_options_t *options);
void group_destroy(group_t *group);

/** Registers a module whose state follows the shards. At most four. */
int group_add_state(group_t *group, const group_state_ops_t *ops);

/** @return number of shards */
uint32_t group_get_shard_count(const group_t *group);

/** @return shard of a key, such as a workspace or a service name */
uint32_t group_shard_of(const group_t *group, const char *key);

/**
 * Applies an assignment; one with an epoch not above the known is ignored.
 *
 * @return 0, TM_EINVAL for a bad shard or count, TM_EEPOCH if it is not newer
 */
int group_set_assignment(
    group_t *group, const group_assignment_t *assignment, int64_t now_ms);

/** Fetches the configuration if a peer's epoch is above the known one. */
void group_note_epoch(group_t *group, uint32_t shard, uint64_t epoch);

/** @return known epoch of a shard; 0 without an assignment */
uint64_t group_get_epoch(const group_t *group, uint32_t shard);

/** @return number of holders written to out (GROUP_HOLDERS_MAX places) */
uint32_t group_get_holders(
    const group_t *group, uint32_t shard, group_holder_t *out);

/** @return place of a holder in the current epoch; -1 for any other */
int group_get_place(
    const group_t *group, uint32_t shard, node_id_t node, uint64_t incarnation);

/** @return holders that make a majority of the group; 0 if unassigned */
uint32_t group_get_majority(const group_t *group, uint32_t shard);

/** @return 1 if this VM is a holder, ready or not */
int group_is_holder(const group_t *group, uint32_t shard);

/** @return 1 if this VM is a holder that may answer for the shard */
int group_is_ready(const group_t *group, uint32_t shard);

/** @return 1 if this VM holds the lease of the shard now */
int group_is_leader(const group_t *group, uint32_t shard, int64_t now_ms);

/** @return 1 while the store of the shard may lack what a lost group knew */
int group_is_state_lost(const group_t *group, uint32_t shard, int64_t now_ms);

/** @return term of the last known leader */
uint64_t group_get_term(const group_t *group, uint32_t shard);

/**
 * Leader of a shard as far as known. A VM that is no holder asks a holder in
 * the background and keeps the answer for 2 s.
 *
 * @return NODE_ID_NONE if unknown; ask again later
 */
node_id_t group_get_leader(group_t *group, uint32_t shard, int64_t now_ms);

/** Drops a cached leader that did not answer. */
void group_forget_leader(group_t *group, uint32_t shard, node_id_t leader);

/**
 * Writes an entry of the replicated store; leader only. A later put replaces
 * the entry. len 0 removes it once it is at every ready holder.
 *
 * @return 0, TM_ENOTLEADER, TM_ETOOBIG, TM_EFULL, TM_EINVAL, TM_ENOMEM
 */
int group_put(group_t *group, uint32_t shard, const char *key, uint64_t version,
    const void *data, size_t len, int64_t now_ms);

/**
 * Reads an entry of the local copy of the store.
 *
 * @return the bytes, valid until the next call that changes the group; NULL
 *         if there is none
 */
const void *group_get(const group_t *group, uint32_t shard, const char *key,
    uint64_t *version, size_t *len);

/** Calls visit for each entry of the local copy of the store. */
void group_visit(const group_t *group, uint32_t shard,
    void (*visit)(void *ctx, const char *key, uint64_t version,
	const void *data, size_t len),
    void *ctx);

/**
 * Hands over all leases of this VM before a planned stop. Write the final
 * entries with group_put() first and call again until it returns 0.
 *
 * @return leases still held because entries are not yet at a successor
 */
int group_hand_over(group_t *group, int64_t now_ms);

/** Drives timers; call every 10 to 50 ms. */
void group_tick(group_t *group, int64_t now_ms);

/**
 * Handles a message of types 50 to 69.
 *
 * @return 0, TM_EFORMAT, TM_EEPOCH, TM_ESTALE
 */
int group_handle(group_t *group, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

const group_stats_t *group_get_stats(const group_t *group);

/** Counts the shards that this VM holds, is ready for and leads. */
group_roles_t group_count_roles(const group_t *group, int64_t now_ms);

#endif
