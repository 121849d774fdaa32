#include "control/placement.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "base/error.h"

typedef struct placement_beat {
	UT_hash_handle hh;
	node_id_t node;
	uint64_t incarnation;
	int64_t heard_ms;
	int reports_ready;
	uint64_t ready_shards;
} placement_beat_t;

typedef struct placement_shard {
	int64_t changed_ms; /* 0: not by this leader */
	/* When a slot got a new holder from this leader; 0: never. */
	int64_t slot_ms[CONFIG_HOLDERS];
} placement_shard_t;

struct placement {
	placement_beat_t *beats;
	int64_t start_ms;
	uint64_t directory_index; /* as of the last plan */
	int64_t directory_ms; /* when it changed last */
	int64_t first_ms; /* when it was first seen with a node */
	placement_shard_t shards[CONFIG_SHARDS];
};

/* What is constant while one plan is made. */
typedef struct placement_view {
	placement_t *placement;
	const config_state_t *state;
	const config_node_t *const *nodes;
	size_t count;
	size_t data_centres;
	int64_t now_ms;
} placement_view_t;

placement_t *
placement_create(void)
{
	return (calloc(1, sizeof(placement_t)));
}

static void
placement_clear(placement_t *placement)
{
	placement_beat_t *beat;
	placement_beat_t *next;

	HASH_ITER(hh, placement->beats, beat, next) {
		HASH_DEL(placement->beats, beat);
		free(beat);
	}
}

void
placement_destroy(placement_t *placement)
{
	if (placement == NULL)
		return;
	placement_clear(placement);
	free(placement);
}

void
placement_start(placement_t *placement, int64_t now_ms)
{
	placement_clear(placement);
	memset(placement->shards, 0, sizeof(placement->shards));
	placement->start_ms = now_ms;
	placement->directory_index = 0;
	placement->directory_ms = now_ms;
	placement->first_ms = now_ms;
}

static placement_beat_t *
placement_find_beat(const placement_t *placement, node_id_t node)
{
	placement_beat_t *beat = NULL;

	HASH_FIND(hh, placement->beats, &node, sizeof(node), beat);
	return (beat);
}

void
placement_note_heartbeat(placement_t *placement, node_id_t node,
    uint64_t incarnation, int reports_ready, uint64_t ready_shards,
    int64_t heard_ms)
{
	placement_beat_t *beat = placement_find_beat(placement, node);

	if (beat == NULL) {
		beat = calloc(1, sizeof(*beat));
		if (beat == NULL)
			return;
		beat->node = node;
		HASH_ADD(hh, placement->beats, node, sizeof(node), beat);
	}
	if (incarnation < beat->incarnation ||
	    (incarnation == beat->incarnation && heard_ms <= beat->heard_ms))
		return;
	beat->incarnation = incarnation;
	beat->heard_ms = heard_ms;
	beat->reports_ready = reports_ready;
	beat->ready_shards = ready_shards;
}

int64_t
placement_get_silence_ms(
    const placement_t *placement, node_id_t node, int64_t now_ms)
{
	const placement_beat_t *beat = placement_find_beat(placement, node);
	int64_t heard = placement->start_ms;

	if (beat != NULL && beat->heard_ms > heard)
		heard = beat->heard_ms;
	return (now_ms - heard);
}

static size_t
placement_count_data_centres(const placement_view_t *view)
{
	size_t found = 0;
	size_t i;
	size_t k;

	for (i = 0; i < view->count; i++) {
		if (view->nodes[i]->role != CONFIG_ROLE_ENTRY)
			continue;
		for (k = 0; k < i; k++) {
			if (view->nodes[k]->role == CONFIG_ROLE_ENTRY &&
			    strcmp(view->nodes[k]->data_centre,
				view->nodes[i]->data_centre) == 0)
				break;
		}
		if (k == i)
			found++;
	}
	return (found);
}

static int
placement_is_usable(const placement_view_t *view, const config_node_t *node)
{
	const placement_beat_t *beat =
	    placement_find_beat(view->placement, node->id);

	/* Only a node that this leader has heard of gets a new task. */
	return (node->role == CONFIG_ROLE_ENTRY && !node->draining &&
	    beat != NULL && beat->incarnation == node->incarnation &&
	    view->now_ms - beat->heard_ms < PLACEMENT_DEAD_MS);
}

static int
placement_is_holder(const config_group_t *group, node_id_t node)
{
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (group->holders[i].node == node)
			return (1);
	}
	return (0);
}

/* Holders in a data centre, without the one in a slot (-1: all). */
static int
placement_count_in_dc(const placement_view_t *view, const config_group_t *group,
    int except, const char *data_centre)
{
	const config_node_t *node;
	int found = 0;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (i == except || group->holders[i].node == NODE_ID_NONE)
			continue;
		node =
		    config_state_find_node(view->state, group->holders[i].node);
		if (node != NULL && strcmp(node->data_centre, data_centre) == 0)
			found++;
	}
	return (found);
}

/* Rendezvous hashing: the order of the nodes for a shard stays the same when
 * other nodes come and go. */
static uint64_t
placement_score(uint32_t shard, node_id_t node)
{
	return (XXH64(&node, sizeof(node), (uint64_t)shard + 1));
}

static const config_node_t *
placement_choose(const placement_view_t *view, uint32_t shard,
    const config_group_t *group, int slot)
{
	const config_node_t *best = NULL;
	uint64_t best_score = 0;
	const config_node_t *node;
	uint64_t score;
	size_t i;

	for (i = 0; i < view->count; i++) {
		node = view->nodes[i];
		if (!placement_is_usable(view, node) ||
		    placement_is_holder(group, node->id))
			continue;
		if (view->data_centres >= 3 &&
		    placement_count_in_dc(view, group, slot,
			node->data_centre) >= PLACEMENT_MAX_PER_DC)
			continue;
		score = placement_score(shard, node->id);
		if (best == NULL || score > best_score) {
			best = node;
			best_score = score;
		}
	}
	return (best);
}

static int
placement_set_slot(const placement_view_t *view, uint32_t shard,
    config_group_t *group, int slot, const config_node_t *node)
{
	if (node == NULL)
		return (0);
	group->holders[slot].node = node->id;
	group->holders[slot].incarnation = node->incarnation;
	view->placement->shards[shard].slot_ms[slot] = view->now_ms;
	return (1);
}

/* Fills all slots of a new group. @return number of holders */
static int
placement_fill(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	const config_node_t *node;
	int found = 0;
	int slot;

	memset(group->holders, 0, sizeof(group->holders));
	for (slot = 0; slot < CONFIG_HOLDERS; slot++) {
		node = placement_choose(view, shard, group, slot);
		found += placement_set_slot(view, shard, group, slot, node);
	}
	return (found);
}

static int
placement_plan_first(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	int64_t waited = view->now_ms - view->placement->first_ms;
	int64_t quiet = view->now_ms - view->placement->directory_ms;
	int found;

	if (quiet < PLACEMENT_QUIET_MS && waited < PLACEMENT_FIRST_WAIT_MS)
		return (0);
	found = placement_fill(view, shard, group);
	return (found == CONFIG_HOLDERS ||
	    (found >= PLACEMENT_MIN_HOLDERS &&
		waited >= PLACEMENT_FIRST_WAIT_MS));
}

static int
placement_is_gone(const placement_view_t *view, const config_holder_t *holder)
{
	const config_node_t *node =
	    config_state_find_node(view->state, holder->node);

	return (holder->node != NODE_ID_NONE && node != NULL &&
	    node->incarnation > holder->incarnation);
}

static int
placement_reports_ready(
    const placement_view_t *view, const config_holder_t *holder, uint32_t shard)
{
	const placement_beat_t *beat =
	    placement_find_beat(view->placement, holder->node);

	return (beat != NULL && beat->reports_ready &&
	    beat->incarnation == holder->incarnation &&
	    (beat->ready_shards & (UINT64_C(1) << shard)) != 0);
}

/* A holder that took over just now may not have read the state yet. */
static int
placement_is_unready(const placement_view_t *view, const config_group_t *group,
    uint32_t shard, int slot)
{
	int64_t set_ms = view->placement->shards[shard].slot_ms[slot];

	return (group->epoch > 1 && set_ms != 0 &&
	    view->now_ms - set_ms < PLACEMENT_UNREADY_MS &&
	    !placement_reports_ready(view, &group->holders[slot], shard));
}

/* 3 or more holders lost their state, proven by newer incarnations. Holders of
 * a group that has only just started with a quarantine have none to lose. */
static int
placement_is_lost(
    const placement_view_t *view, const config_group_t *group, uint32_t shard)
{
	int gone = 0;
	int lost = 0;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (placement_is_gone(view, &group->holders[i])) {
			gone++;
			lost++;
		} else if (!group->quarantine &&
		    placement_is_unready(view, group, shard, i)) {
			lost++;
		}
	}
	return (gone > 0 && lost >= 3);
}

static int
placement_plan_quarantine(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	if (placement_fill(view, shard, group) < PLACEMENT_MIN_HOLDERS)
		return (0);
	group->quarantine = 1;
	return (1);
}

/* A new incarnation of a holder takes the slot of the old one. */
static int
placement_plan_restart(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	const config_node_t *node;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (!placement_is_gone(view, &group->holders[i]))
			continue;
		node =
		    config_state_find_node(view->state, group->holders[i].node);
		if (node->draining)
			node = placement_choose(view, shard, group, i);
		if (placement_set_slot(view, shard, group, i, node))
			return (1);
	}
	return (0);
}

static int
placement_must_leave(
    const placement_view_t *view, const config_holder_t *holder)
{
	const config_node_t *node =
	    config_state_find_node(view->state, holder->node);

	return (holder->node == NODE_ID_NONE || node == NULL ||
	    node->draining ||
	    placement_get_silence_ms(view->placement, holder->node,
		view->now_ms) >= PLACEMENT_DEAD_MS);
}

static int
placement_plan_leave(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	const config_node_t *node;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (!placement_must_leave(view, &group->holders[i]))
			continue;
		node = placement_choose(view, shard, group, i);
		if (placement_set_slot(view, shard, group, i, node))
			return (1);
	}
	return (0);
}

/* Spreads a group that was made before there were three data centres. */
static int
placement_plan_spread(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	const config_node_t *node;
	int i;

	for (i = 0; view->data_centres >= 3 && i < CONFIG_HOLDERS; i++) {
		node =
		    config_state_find_node(view->state, group->holders[i].node);
		if (node == NULL ||
		    placement_count_in_dc(view, group, -1, node->data_centre) <=
			PLACEMENT_MAX_PER_DC)
			continue;
		node = placement_choose(view, shard, group, i);
		if (placement_set_slot(view, shard, group, i, node))
			return (1);
	}
	return (0);
}

/* All holders that this leader replaced lately have read the state. */
static int
placement_is_settled(
    const placement_view_t *view, const config_group_t *group, uint32_t shard)
{
	const placement_shard_t *record = &view->placement->shards[shard];
	int i;

	if (record->changed_ms == 0 ||
	    view->now_ms - record->changed_ms >= PLACEMENT_SETTLE_MS)
		return (1);
	/* The assignment may not be applied yet. */
	if (view->now_ms - record->changed_ms < PLACEMENT_APPLY_MS)
		return (0);
	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (record->slot_ms[i] == record->changed_ms &&
		    !placement_reports_ready(view, &group->holders[i], shard))
			return (0);
	}
	return (1);
}

static int
placement_plan_shard(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	if (!placement_is_settled(view, group, shard))
		return (0);
	if (group->epoch == 0)
		return (placement_plan_first(view, shard, group));
	if (placement_is_lost(view, group, shard))
		return (placement_plan_quarantine(view, shard, group));
	group->quarantine = 0;
	return (placement_plan_restart(view, shard, group) ||
	    placement_plan_leave(view, shard, group) ||
	    placement_plan_spread(view, shard, group));
}

static void
placement_note_directory(
    placement_t *placement, const config_state_t *state, int64_t now_ms)
{
	uint64_t index = config_state_get_directory_index(state);

	if (index == placement->directory_index)
		return;
	if (placement->directory_index == 0)
		placement->first_ms = now_ms;
	placement->directory_index = index;
	placement->directory_ms = now_ms;
}

size_t
placement_plan(placement_t *placement, const config_state_t *state,
    int64_t now_ms, placement_change_t *out)
{
	placement_view_t view = {
		.placement = placement, .state = state, .now_ms = now_ms
	};
	placement_shard_t before;
	config_group_t group;
	uint32_t shard;
	size_t n = 0;

	placement_note_directory(placement, state, now_ms);
	view.nodes = config_state_get_nodes(state, &view.count);
	view.data_centres = placement_count_data_centres(&view);
	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		group = *config_state_get_group(state, shard);
		before = placement->shards[shard];
		if (!placement_plan_shard(&view, shard, &group)) {
			placement->shards[shard] = before;
			continue;
		}
		placement->shards[shard].changed_ms = now_ms;
		group.epoch++;
		out[n].shard = shard;
		out[n++].group = group;
	}
	return (n);
}
