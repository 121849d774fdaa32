#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/error.h"
#include "control/placement_internal.h"

placement_beat_t *
placement_find_beat(const placement_t *placement, node_id_t node)
{
	placement_beat_t *beat = NULL;

	HASH_FIND(hh, placement->beats, &node, sizeof(node), beat);
	return (beat);
}

static int
placement_reserve(placement_t *placement, size_t count)
{
	placement_node_t *nodes;
	placement_least_t *least;

	if (count <= placement->room)
		return (TM_OK);
	nodes = realloc(placement->nodes, count * sizeof(*nodes));
	if (nodes == NULL)
		return (TM_ENOMEM);
	placement->nodes = nodes;
	least = realloc(placement->least, count * sizeof(*least));
	if (least == NULL)
		return (TM_ENOMEM);
	placement->least = least;
	placement->room = count;
	return (TM_OK);
}

/* Index of the data centre of an entry VM; equal names have equal indexes. */
static uint32_t
placement_index_dc(
    placement_view_t *view, const char **names, const config_node_t *node)
{
	uint32_t i;

	if (node->role != CONFIG_ROLE_ENTRY)
		return (UINT32_MAX);
	for (i = 0; i < view->data_centres; i++) {
		if (names[i] != NULL &&
		    strcmp(names[i], node->data_centre) == 0)
			return (i);
	}
	names[view->data_centres++] = node->data_centre;
	return (i);
}

/* Only a node that this leader has heard of gets a new task. */
static int
placement_is_usable(const placement_view_t *view, const config_node_t *node,
    const placement_beat_t *beat)
{
	return (node->role == CONFIG_ROLE_ENTRY && !node->draining &&
	    beat != NULL && beat->incarnation == node->incarnation &&
	    view->now_ms - beat->heard_ms < PLACEMENT_DEAD_MS);
}

static int
placement_fill_nodes(placement_view_t *view, const config_node_t *const *nodes)
{
	const char **names = calloc(view->count + 1, sizeof(*names));
	placement_node_t *node;
	size_t i;

	if (names == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < view->count; i++) {
		node = &view->nodes[i];
		memset(node, 0, sizeof(*node));
		node->config = nodes[i];
		node->beat = placement_find_beat(view->placement, nodes[i]->id);
		node->known =
		    placement_find_known(view->placement, nodes[i]->id);
		node->data_centre = placement_index_dc(view, names, nodes[i]);
		node->usable = placement_is_usable(view, nodes[i], node->beat);
	}
	free(names);
	return (TM_OK);
}

static void
placement_count_held(const placement_view_t *view)
{
	const config_group_t *group;
	placement_node_t *node;
	uint32_t shard;
	int i;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		group = config_state_get_group(view->state, shard);
		for (i = 0; i < CONFIG_HOLDERS; i++) {
			node =
			    placement_find_node(view, group->holders[i].node);
			if (node != NULL)
				node->held++;
		}
	}
}

int
placement_view_open(placement_view_t *view, placement_t *placement,
    const config_state_t *state, int64_t now_ms)
{
	const config_node_t *const *nodes;
	int err;

	memset(view, 0, sizeof(*view));
	view->placement = placement;
	view->state = state;
	view->now_ms = now_ms;
	nodes = config_state_get_nodes(state, &view->count);
	err = placement_reserve(placement, view->count);
	if (err != TM_OK)
		return (err);
	view->nodes = placement->nodes;
	err = placement_fill_nodes(view, nodes);
	if (err == TM_OK)
		placement_count_held(view);
	return (err);
}

placement_node_t *
placement_find_node(const placement_view_t *view, node_id_t node)
{
	size_t low = 0;
	size_t high = view->count;
	size_t at;

	while (low < high) {
		at = low + (high - low) / 2;
		if (view->nodes[at].config->id == node)
			return (&view->nodes[at]);
		if (view->nodes[at].config->id < node)
			low = at + 1;
		else
			high = at;
	}
	return (NULL);
}

int
placement_is_holder(const config_group_t *group, node_id_t node)
{
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (group->holders[i].node == node)
			return (1);
	}
	return (0);
}

int
placement_count_in_dc(const placement_view_t *view, const config_group_t *group,
    int except, uint32_t data_centre)
{
	const placement_node_t *node;
	int found = 0;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (i == except)
			continue;
		node = placement_find_node(view, group->holders[i].node);
		found += node != NULL && node->data_centre == data_centre;
	}
	return (found);
}

int
placement_fits_slot(const placement_view_t *view, const config_group_t *group,
    int slot, uint32_t data_centre)
{
	return (view->data_centres < 3 ||
	    placement_count_in_dc(view, group, slot, data_centre) <
		PLACEMENT_MAX_PER_DC);
}

uint64_t
placement_score(uint32_t shard, node_id_t node)
{
	return (XXH64(&node, sizeof(node), (uint64_t)shard + 1));
}

int
placement_reports_ready(
    const placement_view_t *view, const config_holder_t *holder, uint32_t shard)
{
	const placement_beat_t *beat =
	    placement_find_beat(view->placement, holder->node);

	return (beat != NULL && beat->reports_ready &&
	    beat->incarnation == holder->incarnation && beat->ready[shard]);
}

/* Whether the holders that the last change brought report the state. */
static int
placement_is_new_ready(
    const placement_view_t *view, const config_group_t *group, uint32_t shard)
{
	const placement_shard_t *record = &view->placement->shards[shard];
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (record->slot_ms[i] == record->changed_ms &&
		    !placement_reports_ready(view, &group->holders[i], shard))
			return (0);
	}
	return (1);
}

/*
 * The VM that a move took the place from still serves as a source of the state,
 * but only in this epoch. A repair of another loss that came first would leave
 * too few sources.
 */
static int64_t
placement_get_settle_ms(const placement_view_t *view, uint32_t shard)
{
	const placement_t *placement = view->placement;

	return (placement->shards[shard].is_move &&
		    (placement->test_switches & PLACEMENT_TEST_NO_MOVE_WAIT) ==
			0
		? PLACEMENT_MOVE_WAIT_MS
		: PLACEMENT_SETTLE_MS);
}

int
placement_is_settled(
    const placement_view_t *view, const config_group_t *group, uint32_t shard)
{
	int64_t changed_ms = view->placement->shards[shard].changed_ms;
	int64_t waited_ms = view->now_ms - changed_ms;

	if (changed_ms == 0 ||
	    waited_ms >= placement_get_settle_ms(view, shard))
		return (1);
	/* The assignment may not be applied yet. */
	if (waited_ms < PLACEMENT_APPLY_MS)
		return (0);
	return (placement_is_new_ready(view, group, shard));
}

void
placement_set_slot(const placement_view_t *view, uint32_t shard,
    config_group_t *group, int slot, const placement_node_t *node)
{
	group->holders[slot].node = node->config->id;
	group->holders[slot].incarnation = node->config->incarnation;
	view->placement->shards[shard].slot_ms[slot] = view->now_ms;
}
