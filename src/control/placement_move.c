#include <string.h>

#include "control/placement_internal.h"

/* A move that is possible: the holder in a slot gives way to a VM. */
typedef struct placement_move {
	uint32_t gain; /* memberships that the holder has more; 0: none */
	uint64_t score;
	uint32_t shard;
	int slot;
	const placement_node_t *to;
} placement_move_t;

static int
placement_is_heard(const placement_view_t *view, const placement_node_t *node)
{
	return (node != NULL && node->usable &&
	    view->now_ms - node->beat->heard_ms < PLACEMENT_FRESH_MS);
}

static int
placement_is_holder_ready(const placement_view_t *view,
    const config_group_t *group, uint32_t shard, int slot)
{
	const config_holder_t *holder = &group->holders[slot];
	const placement_node_t *node = placement_find_node(view, holder->node);

	return (placement_is_heard(view, node) &&
	    placement_reports_ready(view, holder, shard));
}

/*
 * Notes which VMs hold a shard without being ready. Such a VM gets no more
 * shards: it may answer control and still be unable to read states.
 */
static void
placement_note_behind(const placement_view_t *view)
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
			if (node != NULL &&
			    !placement_reports_ready(
				view, &group->holders[i], shard))
				node->behind = 1;
		}
	}
}

/* A VM that restarts again and again must not take memberships each time. The
 * time counts from the join, which each control VM has in its directory, so that
 * a change of the leader does not begin it again. */
static int
placement_may_receive(
    const placement_view_t *view, const placement_node_t *node)
{
	return (placement_is_heard(view, node) && !node->behind &&
	    node->known != NULL &&
	    view->now_ms - node->known->since_ms >= PLACEMENT_STABLE_MS);
}

static void
placement_add_least(placement_least_t *least, const placement_node_t *node)
{
	uint32_t at = least->count;

	if (at == PLACEMENT_LEAST) {
		if (least->nodes[--at]->held <= node->held)
			return;
	} else {
		least->count++;
	}
	while (at > 0 && least->nodes[at - 1]->held > node->held) {
		least->nodes[at] = least->nodes[at - 1];
		at--;
	}
	least->nodes[at] = node;
}

/* Fills the lists of receivers. @return lowest number of memberships of one;
 * UINT32_MAX if there is none */
static uint32_t
placement_list_least(const placement_view_t *view)
{
	placement_least_t *least = view->placement->least;
	uint32_t lowest = UINT32_MAX;
	size_t i;

	memset(least, 0, view->data_centres * sizeof(*least));
	for (i = 0; i < view->count; i++) {
		if (!placement_may_receive(view, &view->nodes[i]))
			continue;
		placement_add_least(
		    &least[view->nodes[i].data_centre], &view->nodes[i]);
		if (view->nodes[i].held < lowest)
			lowest = view->nodes[i].held;
	}
	return (lowest);
}

static const placement_node_t *
placement_get_receiver(
    const placement_least_t *least, const config_group_t *group)
{
	uint32_t i;

	for (i = 0; i < least->count; i++) {
		if (!placement_is_holder(group, least->nodes[i]->config->id))
			return (least->nodes[i]);
	}
	return (NULL);
}

static void
placement_weigh_slot(const placement_view_t *view, const config_group_t *group,
    uint32_t shard, int slot, placement_move_t *best)
{
	const placement_node_t *from =
	    placement_find_node(view, group->holders[slot].node);
	uint64_t score = placement_score(shard, from->config->id);
	const placement_node_t *to;
	uint32_t gain;
	uint32_t i;

	for (i = 0; i < view->data_centres; i++) {
		to = placement_get_receiver(&view->placement->least[i], group);
		if (to == NULL || to->held + PLACEMENT_MOVE_GAIN > from->held)
			continue;
		gain = from->held - to->held;
		if (gain < best->gain ||
		    (gain == best->gain && score <= best->score) ||
		    !placement_fits_slot(view, group, slot, i))
			continue;
		*best = (placement_move_t){ .gain = gain,
			.score = score,
			.shard = shard,
			.slot = slot,
			.to = to };
	}
}

/* All holders have the state, so that the group has one to spare. */
static int
placement_is_movable(
    const placement_view_t *view, const config_group_t *group, uint32_t shard)
{
	int i;

	if (group->epoch == 0 || !placement_is_settled(view, group, shard))
		return (0);
	if ((view->placement->test_switches & PLACEMENT_TEST_MOVE_UNREADY) != 0)
		return (1);
	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (!placement_is_holder_ready(view, group, shard, i))
			return (0);
	}
	return (1);
}

static void
placement_weigh_shard(const placement_view_t *view, uint32_t shard,
    uint32_t lowest, placement_move_t *best)
{
	const config_group_t *group =
	    config_state_get_group(view->state, shard);
	const placement_node_t *from;
	int movable = -1;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		from = placement_find_node(view, group->holders[i].node);
		if (from == NULL || from->held < lowest + PLACEMENT_MOVE_GAIN ||
		    from->held - lowest < best->gain)
			continue;
		if (movable < 0)
			movable = placement_is_movable(view, group, shard);
		if (movable)
			placement_weigh_slot(view, group, shard, i, best);
	}
}

int
placement_plan_move(const placement_view_t *view, placement_change_t *out)
{
	placement_t *placement = view->placement;
	placement_move_t best = { 0 };
	uint32_t lowest;
	uint32_t shard;

	if (view->now_ms < placement->next_move_ms ||
	    (placement->test_switches & PLACEMENT_TEST_NO_MOVES) != 0)
		return (0);
	placement_note_behind(view);
	lowest = placement_list_least(view);
	if (lowest == UINT32_MAX)
		return (0);
	for (shard = 0; shard < CONFIG_SHARDS; shard++)
		placement_weigh_shard(view, shard, lowest, &best);
	if (best.gain == 0)
		return (0);
	/* Without a move, the next plan tries again: a VM that a heartbeat has
	 * just reported as ready must be chosen before the one after it. */
	placement->next_move_ms = view->now_ms + PLACEMENT_MOVE_MS;
	out->shard = best.shard;
	out->is_move = 1;
	out->group = *config_state_get_group(view->state, best.shard);
	out->group.quarantine = 0;
	placement_set_slot(view, best.shard, &out->group, best.slot, best.to);
	return (1);
}
