#include <string.h>

#include "base/log.h"
#include "hub/hub_internal.h"

static void
log_change(const hub_evacuation_t *item)
{
	LOG_EVENT(934, LOG_LEVEL_INFO, "evacuation of a data centre changed",
	    LOG_TEXT("data_centre", item->data_centre),
	    LOG_NUM("is_evacuated", !item->is_ended),
	    LOG_TEXT("requested_by", item->requested_by),
	    LOG_NUM("since_ms", item->since_ms));
}

/* The capacity for admission is that of the other targets at once. */
static void
update_targets(hub_t *hub, int64_t now_ms)
{
	const hub_target_t *target;

	for (target = hub->state->targets; target != NULL;
	     target = target->hh.next)
		hub_outlier_set_evacuated(hub->outlier, target->key,
		    hub_evacuations_has(
			&hub->state->evacuations, target->as.zone),
		    now_ms);
	hub->load_due_ms = now_ms;
	metric_set(hub->metric_evacuated,
	    hub_evacuations_count(&hub->state->evacuations));
}

void
hub_apply_evacuation(hub_t *hub, int64_t now_ms)
{
	const hub_evacuations_t *list = &hub->state->evacuations;
	const hub_evacuation_t *changed = &list->items[list->count - 1];

	log_change(changed);
	update_targets(hub, now_ms);
	hub_feed_mark_evacuations_changed(hub->feed);
	if (changed->is_ended)
		hub_suspect_data_centre(hub, changed->data_centre, now_ms);
}

/* Only hubs that do not lead get snapshots; the feed starts anew when they
 * begin to. A snapshot does not tell when an evacuation ended: it may have been
 * right before this hub leads. */
void
hub_restore_evacuations(
    hub_t *hub, const hub_evacuations_t *before, int64_t now_ms)
{
	const char *names[HUB_ENDED_MAX];
	size_t count =
	    hub_evacuations_list_ended(before, &hub->state->evacuations, names);
	size_t i;

	update_targets(hub, now_ms);
	for (i = 0; i < count; i++)
		hub_suspect_data_centre(hub, names[i], now_ms);
}
