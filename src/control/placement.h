/**
 * @file
 * Choice of the holders of the shard groups, made by the control leader.
 * Decision module: it reads the configuration and the heartbeats and returns
 * new assignments; the caller puts them through the log.
 */
#ifndef TM_CONTROL_PLACEMENT_H
#define TM_CONTROL_PLACEMENT_H

#include <stddef.h>
#include <stdint.h>

#include "config/config_state.h"

/** A holder without a heartbeat for this time is replaced. */
#define PLACEMENT_DEAD_MS 10000
/**
 * Time between two changes of one group, so that a new holder can read the
 * state from the others; shorter if it reports that it is ready.
 */
#define PLACEMENT_SETTLE_MS 2000
/** Time that an assignment is given to pass through the log. */
#define PLACEMENT_APPLY_MS 300
/** A holder replaced within this time counts as not ready unless it says so. */
#define PLACEMENT_UNREADY_MS 5000
/**
 * The first groups are made once no node joined for this time, so that they
 * are spread over the whole fleet and not over the nodes that started first.
 */
#define PLACEMENT_QUIET_MS 1000
/** A first group is made with fewer than CONFIG_HOLDERS nodes after this. */
#define PLACEMENT_FIRST_WAIT_MS 5000
/** Fewest holders of a first group, so that it has a quorum. */
#define PLACEMENT_MIN_HOLDERS 3
/** Most holders of a group in one of three or more data centres. */
#define PLACEMENT_MAX_PER_DC 2
/** A holder counts as heard for a move within this time: three heartbeats. */
#define PLACEMENT_FRESH_MS 3000
/**
 * A VM gets memberships by moves once its incarnation has been in the directory
 * of the control leader for this time.
 */
#define PLACEMENT_STABLE_MS 30000
/**
 * After a move the group is changed again once the new holder reports that it
 * is ready, at the latest after this time.
 */
#define PLACEMENT_MOVE_WAIT_MS 10000
/**
 * Time between two moves in the whole fleet. Each is an entry that all VMs
 * apply; a data centre of 106 VMs that comes back takes 740 moves, 6 min.
 */
#define PLACEMENT_MOVE_MS 500
/** A move needs a difference of this many memberships. */
#define PLACEMENT_MOVE_GAIN 2

/** Mechanisms that proofs switch off. */
#define PLACEMENT_TEST_NO_MOVES	    0x1
#define PLACEMENT_TEST_MOVE_UNREADY 0x2
#define PLACEMENT_TEST_NO_MOVE_WAIT 0x4

typedef struct placement placement_t;

/** A new assignment of one shard. */
typedef struct placement_change {
	uint32_t shard;
	int is_move; /**< made for evenness, not as a repair */
	config_group_t group;
} placement_change_t;

/** Creates a module without heartbeats. @return NULL if memory is exhausted */
placement_t *placement_create(void);

/** Frees a module; NULL is allowed. */
void placement_destroy(placement_t *placement);

/**
 * Starts over when this node becomes leader: all nodes count as alive now,
 * because their heartbeats went to another leader. The directory notes stay. The
 * first move waits for PLACEMENT_FRESH_MS: until then VMs that were not heard yet
 * would be passed over.
 */
void placement_start(placement_t *placement, int64_t now_ms);

/**
 * Notes since when each incarnation has been in the directory, by the clock of
 * this node. To be called while another node leads, too. What was in the directory
 * before this process had it counts as new: a move may come too late, but never
 * too early.
 */
void placement_note_directory(
    placement_t *placement, const config_state_t *state, int64_t now_ms);

/** Sets PLACEMENT_TEST_* switches, for proofs only. */
void placement_set_test_switches(placement_t *placement, uint32_t switches);

/**
 * Notes a heartbeat.
 *
 * @param reports_ready  0 if the node does not tell in which groups it is ready
 * @param ready          shard list: the node is a ready holder of these
 * @param ready_len      bytes of ready
 * @param heard_ms       when it was received by a control VM
 */
void placement_note_heartbeat(placement_t *placement, node_id_t node,
    uint64_t incarnation, int reports_ready, const uint8_t *ready,
    size_t ready_len, int64_t heard_ms);

/** @return time since the last heartbeat or the start of this leader */
int64_t placement_get_silence_ms(
    const placement_t *placement, node_id_t node, int64_t now_ms);

/**
 * Computes the assignments that have to change now. Each shard is returned at
 * most once until PLACEMENT_SETTLE_MS have passed. When no group needs a repair,
 * one membership at a time moves to the VMs with the fewest.
 *
 * @param out  room for CONFIG_SHARDS changes
 * @return     number of changes
 */
size_t placement_plan(placement_t *placement, const config_state_t *state,
    int64_t now_ms, placement_change_t *out);

#endif
