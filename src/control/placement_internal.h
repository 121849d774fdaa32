/**
 * @file
 * Layout of the placement module, shared by its files.
 */
#ifndef TM_CONTROL_PLACEMENT_INTERNAL_H
#define TM_CONTROL_PLACEMENT_INTERNAL_H

#include <uthash.h>

#include "control/placement.h"

/** Least loaded VMs of a data centre; one of them is outside any group. */
#define PLACEMENT_LEAST (CONFIG_HOLDERS + 1)

typedef struct placement_beat {
	UT_hash_handle hh;
	node_id_t node;
	uint64_t incarnation;
	int64_t heard_ms;
	int reports_ready;
	uint8_t ready[CONFIG_SHARDS]; /**< 1: ready holder of the shard */
} placement_beat_t;

/** Since when this control VM has had an incarnation in its directory. */
typedef struct placement_known {
	UT_hash_handle hh;
	node_id_t node;
	uint64_t incarnation;
	int64_t since_ms;
	uint64_t directory_index; /**< newest directory that lists the VM */
} placement_known_t;

typedef struct placement_shard {
	int64_t changed_ms; /**< 0: not by this leader */
	/** When a slot got a new holder from this leader; 0: never. */
	int64_t slot_ms[CONFIG_HOLDERS];
	int is_move; /**< the change was a move */
} placement_shard_t;

/** A VM of the directory while one plan is made. */
typedef struct placement_node {
	const config_node_t *config;
	const placement_beat_t *beat; /**< NULL: none */
	const placement_known_t *known; /**< NULL: without memory for it */
	uint32_t data_centre; /**< index; UINT32_MAX if it is no entry VM */
	uint32_t held; /**< memberships */
	int usable; /**< may become a holder */
	int behind; /**< holds a shard without being ready */
} placement_node_t;

/** Least loaded VMs of a data centre that may take a membership over. */
typedef struct placement_least {
	uint32_t count;
	const placement_node_t *nodes[PLACEMENT_LEAST]; /**< ascending */
} placement_least_t;

struct placement {
	placement_beat_t *beats;
	placement_known_t *known; /**< kept while another VM leads */
	uint64_t known_index; /**< directory that known is from */
	int64_t start_ms;
	uint64_t directory_index; /**< as of the last plan */
	int64_t directory_ms; /**< when it changed last */
	int64_t first_ms; /**< when it was first seen with a node */
	int64_t next_move_ms;
	uint32_t test_switches;
	size_t room; /**< of nodes and least */
	placement_node_t *nodes;
	placement_least_t *least;
	placement_shard_t shards[CONFIG_SHARDS];
};

/** What is constant while one plan is made. */
typedef struct placement_view {
	placement_t *placement;
	const config_state_t *state;
	placement_node_t *nodes; /**< ascending node ids */
	size_t count;
	uint32_t data_centres; /**< with entry VMs */
	int64_t now_ms;
} placement_view_t;

/* placement_view.c */
/** Fills the view. @return 0, TM_ENOMEM */
int placement_view_open(placement_view_t *view, placement_t *placement,
    const config_state_t *state, int64_t now_ms);
placement_beat_t *placement_find_beat(
    const placement_t *placement, node_id_t node);
/** @return NULL if the directory lacks the node */
placement_node_t *placement_find_node(
    const placement_view_t *view, node_id_t node);
int placement_is_holder(const config_group_t *group, node_id_t node);
/** Holders in a data centre, without the one in a slot (-1: all). */
int placement_count_in_dc(const placement_view_t *view,
    const config_group_t *group, int except, uint32_t data_centre);
/** Whether the spread over data centres lets a node take a slot. */
int placement_fits_slot(const placement_view_t *view,
    const config_group_t *group, int slot, uint32_t data_centre);
/** Rendezvous hashing: the order for a shard does not depend on other nodes. */
uint64_t placement_score(uint32_t shard, node_id_t node);
/** Whether a holder says that it has the state of a shard. */
int placement_reports_ready(const placement_view_t *view,
    const config_holder_t *holder, uint32_t shard);
/** Whether the last change of a group by this leader is complete. */
int placement_is_settled(
    const placement_view_t *view, const config_group_t *group, uint32_t shard);
void placement_set_slot(const placement_view_t *view, uint32_t shard,
    config_group_t *group, int slot, const placement_node_t *node);

/* placement_known.c */
/** @return NULL if the directory lacks the node */
const placement_known_t *placement_find_known(
    const placement_t *placement, node_id_t node);
void placement_free_known(placement_t *placement);

/* placement_move.c */
/** Finds the next move. @return 1 if out is set */
int placement_plan_move(const placement_view_t *view, placement_change_t *out);

#endif
