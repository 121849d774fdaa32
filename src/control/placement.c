#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "control/placement_internal.h"
#include "gossip/shard_list.h"

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
	placement_free_known(placement);
	free(placement->nodes);
	free(placement->least);
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
	placement->next_move_ms = now_ms + PLACEMENT_FRESH_MS;
}

void
placement_set_test_switches(placement_t *placement, uint32_t switches)
{
	placement->test_switches = switches;
}

static void
placement_set_ready(placement_beat_t *beat, const uint8_t *list, size_t len)
{
	uint32_t shard;
	size_t i;

	memset(beat->ready, 0, sizeof(beat->ready));
	for (i = 0; i < shard_list_count(len); i++) {
		shard = shard_list_get(list, i);
		if (shard < CONFIG_SHARDS)
			beat->ready[shard] = 1;
	}
}

void
placement_note_heartbeat(placement_t *placement, node_id_t node,
    uint64_t incarnation, int reports_ready, const uint8_t *ready,
    size_t ready_len, int64_t heard_ms)
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
	placement_set_ready(beat, ready, ready_len);
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

/* VM with the fewest memberships that may take a slot. */
static const placement_node_t *
placement_choose(const placement_view_t *view, uint32_t shard,
    const config_group_t *group, int slot)
{
	const placement_node_t *best = NULL;
	uint64_t best_score = 0;
	const placement_node_t *node;
	uint64_t score;
	size_t i;

	for (i = 0; i < view->count; i++) {
		node = &view->nodes[i];
		if (!node->usable || (best != NULL && node->held > best->held))
			continue;
		score = placement_score(shard, node->config->id);
		if (best != NULL && node->held == best->held &&
		    score <= best_score)
			continue;
		if (placement_is_holder(group, node->config->id) ||
		    !placement_fits_slot(view, group, slot, node->data_centre))
			continue;
		best = node;
		best_score = score;
	}
	return (best);
}

/* Gives a slot to the best VM. @return 1 if there is one */
static int
placement_replace(const placement_view_t *view, uint32_t shard,
    config_group_t *group, int slot)
{
	const placement_node_t *node =
	    placement_choose(view, shard, group, slot);

	if (node == NULL)
		return (0);
	placement_set_slot(view, shard, group, slot, node);
	return (1);
}

/* Fills all slots of a new group. @return number of holders */
static int
placement_fill(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	int found = 0;
	int slot;

	memset(group->holders, 0, sizeof(group->holders));
	for (slot = 0; slot < CONFIG_HOLDERS; slot++)
		found += placement_replace(view, shard, group, slot);
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
	const placement_node_t *node = placement_find_node(view, holder->node);

	return (
	    node != NULL && node->config->incarnation > holder->incarnation);
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
	const placement_node_t *node;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (!placement_is_gone(view, &group->holders[i]))
			continue;
		node = placement_find_node(view, group->holders[i].node);
		if (!node->config->draining) {
			placement_set_slot(view, shard, group, i, node);
			return (1);
		}
		if (placement_replace(view, shard, group, i))
			return (1);
	}
	return (0);
}

static int
placement_must_leave(
    const placement_view_t *view, const config_holder_t *holder)
{
	const placement_node_t *node = placement_find_node(view, holder->node);

	return (node == NULL || node->config->draining ||
	    placement_get_silence_ms(view->placement, holder->node,
		view->now_ms) >= PLACEMENT_DEAD_MS);
}

static int
placement_plan_leave(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (placement_must_leave(view, &group->holders[i]) &&
		    placement_replace(view, shard, group, i))
			return (1);
	}
	return (0);
}

/* Spreads a group that was made before there were three data centres. */
static int
placement_plan_spread(
    const placement_view_t *view, uint32_t shard, config_group_t *group)
{
	const placement_node_t *node;
	int i;

	for (i = 0; view->data_centres >= 3 && i < CONFIG_HOLDERS; i++) {
		node = placement_find_node(view, group->holders[i].node);
		if (node != NULL &&
		    placement_count_in_dc(view, group, -1, node->data_centre) >
			PLACEMENT_MAX_PER_DC &&
		    placement_replace(view, shard, group, i))
			return (1);
	}
	return (0);
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
placement_note_joins(
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

/* Counts the memberships that a change takes and gives. */
static void
placement_count_change(const placement_view_t *view,
    const config_group_t *before, const config_group_t *after)
{
	placement_node_t *node;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		node = placement_find_node(view, before->holders[i].node);
		if (node != NULL)
			node->held--;
		node = placement_find_node(view, after->holders[i].node);
		if (node != NULL)
			node->held++;
	}
}

/* Makes the changes that groups need to tolerate losses. */
static size_t
placement_plan_repairs(const placement_view_t *view, placement_change_t *out)
{
	placement_t *placement = view->placement;
	const config_group_t *known;
	placement_shard_t before;
	config_group_t group;
	uint32_t shard;
	size_t n = 0;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		known = config_state_get_group(view->state, shard);
		group = *known;
		before = placement->shards[shard];
		if (!placement_plan_shard(view, shard, &group)) {
			placement->shards[shard] = before;
			continue;
		}
		placement_count_change(view, known, &group);
		out[n].shard = shard;
		out[n].is_move = 0;
		out[n++].group = group;
	}
	return (n);
}

size_t
placement_plan(placement_t *placement, const config_state_t *state,
    int64_t now_ms, placement_change_t *out)
{
	placement_view_t view;
	size_t count;
	size_t i;

	placement_note_directory(placement, state, now_ms);
	placement_note_joins(placement, state, now_ms);
	if (placement_view_open(&view, placement, state, now_ms) != TM_OK)
		return (0);
	count = placement_plan_repairs(&view, out);
	/* Repairs have the log and the links to themselves. */
	if (count == 0)
		count = (size_t)placement_plan_move(&view, out);
	for (i = 0; i < count; i++) {
		placement->shards[out[i].shard].changed_ms = now_ms;
		placement->shards[out[i].shard].is_move = out[i].is_move;
		out[i].group.epoch++;
	}
	return (count);
}
