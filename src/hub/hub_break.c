#include "hub/hub_break.h"

#include "fleet/fleet_defs.h"

void
hub_breaks_reset(hub_breaks_t *breaks)
{
	*breaks = (hub_breaks_t){ .next = 0 };
}

hub_break_t
hub_break_make(const hub_crash_report_t *report, const hub_target_t *target)
{
	return ((hub_break_t){
	    .report = *report,
	    .ip = target->as.ip,
	    .port = target->as.port,
	    .service = fleet_name_hash(target->as.service),
	});
}

int
hub_break_has_successor(const hub_break_t *item, const hub_target_t *target)
{
	return (target->as.state != FLEET_TARGET_DEREGISTERED &&
	    target->as.ip == item->ip && target->as.port == item->port &&
	    (target->key != item->report.target ||
		target->as.born_ms != item->report.incarnation_ms) &&
	    fleet_name_hash(target->as.service) == item->service);
}

void
hub_breaks_add(hub_breaks_t *breaks, const hub_break_t *item)
{
	breaks->breaks[breaks->next] = *item;
	breaks->next = (breaks->next + 1) % HUB_BREAKS_MAX;
}

void
hub_breaks_clear(hub_breaks_t *breaks, uint64_t fingerprint)
{
	size_t i;

	for (i = 0; i < HUB_BREAKS_MAX; i++) {
		if (breaks->breaks[i].report.fingerprint == fingerprint)
			breaks->breaks[i].report.broken_ms = 0;
	}
}

static int
is_crash(const hub_break_t *item, const hub_target_t *target, int64_t now_ms)
{
	return (item->report.broken_ms != 0 &&
	    now_ms - item->report.broken_ms < HUB_BREAK_KEPT_MS &&
	    hub_break_has_successor(item, target));
}

size_t
hub_breaks_take(hub_breaks_t *breaks, const hub_target_t *target,
    int64_t now_ms, hub_crash_report_t *out)
{
	hub_break_t *item;
	size_t count = 0;
	size_t i;

	for (i = 0; i < HUB_BREAKS_MAX; i++) {
		item = &breaks->breaks[(breaks->next + i) % HUB_BREAKS_MAX];
		if (!is_crash(item, target, now_ms))
			continue;
		out[count++] = item->report;
		item->report.broken_ms = 0;
	}
	return (count);
}
