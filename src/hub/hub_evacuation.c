#include "hub/hub_evacuation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/test_hooks.h"
#include "hub/hub_settings.h"
#include "hub/hub_state.h"

#define TIME_TEXT_BYTES 32

/* @return index of a data centre, also of an ended evacuation; -1: none */
static int
find(const hub_evacuations_t *list, const char *data_centre)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (strcmp(list->items[i].data_centre, data_centre) == 0)
			return ((int)i);
	}
	return (-1);
}

static int
is_known(const hub_state_t *state, const hub_settings_t *settings,
    const char *data_centre)
{
	const hub_target_t *target;
	int i;

	if (find(&state->evacuations, data_centre) >= 0)
		return (1);
	for (i = 0; i < settings->data_centre_count; i++) {
		if (strcmp(settings->data_centres[i], data_centre) == 0)
			return (1);
	}
	for (target = state->targets; target != NULL;
	     target = target->hh.next) {
		if (strcmp(target->as.zone, data_centre) == 0)
			return (1);
	}
	return (0);
}

hub_evacuation_answer_t
hub_evacuation_check(const hub_state_t *state, const hub_settings_t *settings,
    const hub_evacuation_t *order)
{
	if (order->data_centre[0] == '\0' ||
	    !is_known(state, settings, order->data_centre))
		return (HUB_EVACUATION_UNKNOWN);
	if (!order->is_ended &&
	    !hub_evacuations_has(&state->evacuations, order->data_centre) &&
	    hub_evacuations_count(&state->evacuations) == FLEET_EVACUATIONS_MAX)
		return (HUB_EVACUATION_FULL);
	return (HUB_EVACUATION_ACCEPTED);
}

static void
remove_at(hub_evacuations_t *list, uint32_t at)
{
	list->count--;
	memmove(&list->items[at], &list->items[at + 1],
	    (list->count - at) * sizeof(list->items[0]));
}

/* Removes the ended evacuation that began first, if the list is full. @return 0
 * if there is no room */
static int
make_room(hub_evacuations_t *list)
{
	uint32_t i;

	if (list->count < FLEET_EVACUATIONS_MAX)
		return (1);
	for (i = 0; i < list->count; i++) {
		if (!list->items[i].is_ended)
			continue;
		remove_at(list, i);
		return (1);
	}
	return (0);
}

int
hub_evacuations_apply(
    hub_evacuations_t *list, const Tm__Fleet__Evacuation *order)
{
	int at = find(list, order->data_centre);
	int is_evacuated = at >= 0 && !list->items[at].is_ended;
	hub_evacuation_t *item;

	if (order->data_centre[0] == '\0' ||
	    strlen(order->data_centre) > NAME_MAX_BYTES ||
	    is_evacuated == !order->is_ended)
		return (0);
	if (at >= 0)
		remove_at(list, (uint32_t)at);
	else if (!make_room(list))
		return (0);
	item = &list->items[list->count++];
	*item = (hub_evacuation_t){ .is_ended = order->is_ended,
		.since_ms = order->since_ms };
	snprintf(item->data_centre, sizeof(item->data_centre), "%s",
	    order->data_centre);
	snprintf(item->requested_by, sizeof(item->requested_by), "%s",
	    order->requested_by);
	return (1);
}

int
hub_evacuations_has(const hub_evacuations_t *list, const char *data_centre)
{
	int at = find(list, data_centre);

	return (at >= 0 && !list->items[at].is_ended &&
	    !test_hooks_is_off("evacuation"));
}

uint32_t
hub_evacuations_count(const hub_evacuations_t *list)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < list->count; i++)
		count += !list->items[i].is_ended;
	return (count);
}

size_t
hub_evacuations_list(
    const hub_evacuations_t *list, char *names[FLEET_EVACUATIONS_MAX])
{
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (!list->items[i].is_ended)
			names[count++] = (char *)list->items[i].data_centre;
	}
	return (count);
}

size_t
hub_evacuations_list_ended(const hub_evacuations_t *before,
    const hub_evacuations_t *after, const char *names[HUB_ENDED_MAX])
{
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < after->count; i++) {
		if (after->items[i].is_ended)
			names[count++] = after->items[i].data_centre;
	}
	/* Those that have made room for others. */
	for (i = 0; i < before->count; i++) {
		if (!before->items[i].is_ended &&
		    find(after, before->items[i].data_centre) < 0)
			names[count++] = before->items[i].data_centre;
	}
	return (count);
}

void
hub_evacuation_to_message(
    Tm__Fleet__Evacuation *msg, const hub_evacuation_t *order)
{
	tm__fleet__evacuation__init(msg);
	msg->data_centre = (char *)order->data_centre;
	msg->is_ended = order->is_ended;
	msg->since_ms = order->since_ms;
	msg->requested_by = (char *)order->requested_by;
}

uint8_t *
hub_evacuation_encode(const hub_evacuation_t *order, size_t *len)
{
	Tm__Fleet__Entry entry = TM__FLEET__ENTRY__INIT;
	Tm__Fleet__Evacuation msg;
	uint8_t *bytes;

	hub_evacuation_to_message(&msg, order);
	entry.evacuation = &msg;
	*len = tm__fleet__entry__get_packed_size(&entry);
	bytes = malloc(*len + 1);
	if (bytes != NULL)
		tm__fleet__entry__pack(&entry, bytes);
	return (bytes);
}

static void
format_time(uint64_t wall_ms, char text[TIME_TEXT_BYTES])
{
	time_t seconds = (time_t)(wall_ms / MS_PER_SEC);
	struct tm parts;

	text[0] = '\0';
	if (gmtime_r(&seconds, &parts) != NULL)
		strftime(text, TIME_TEXT_BYTES, "%Y-%m-%dT%H:%M:%SZ", &parts);
}

char *
hub_evacuations_format(const hub_evacuations_t *list)
{
	json_t *rows = json_array();
	char since[TIME_TEXT_BYTES];
	char *text;
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (list->items[i].is_ended)
			continue;
		format_time(list->items[i].since_ms, since);
		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:s}", "name",
			list->items[i].data_centre, "since", since,
			"requested_by", list->items[i].requested_by));
	}
	text = json_dumps(rows, JSON_COMPACT);
	json_decref(rows);
	return (text);
}
