#include "hub/hub_warmup.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "fleet/fleet_warmup.h"

typedef struct warmup_target {
	uint64_t target; /* key */
	uint64_t incarnation_ms;
	uint64_t service;
	uint64_t data_centre;
	uint64_t sequence; /* of its last announcement */
	int64_t cold_until_ms; /* 0: warm */
	int is_suspected; /* cold until it announces itself */
	int64_t suspected_ms;
	UT_hash_handle hh;
} warmup_target_t;

typedef struct suspicion {
	uint64_t data_centre;
	int64_t since_ms;
} suspicion_t;

struct hub_warmup {
	warmup_target_t *targets;
	suspicion_t suspicions[HUB_WARMUP_SUSPECTS_MAX];
	size_t suspicion_count;
	hub_warmup_cb changed;
	void *ctx;
};

hub_warmup_t *
hub_warmup_create(hub_warmup_cb changed, void *ctx)
{
	hub_warmup_t *warmup = calloc(1, sizeof(*warmup));

	if (warmup == NULL)
		return (NULL);
	warmup->changed = changed;
	warmup->ctx = ctx;
	return (warmup);
}

static void
remove_target(hub_warmup_t *warmup, warmup_target_t *target)
{
	HASH_DELETE(hh, warmup->targets, target);
	free(target);
}

void
hub_warmup_reset(hub_warmup_t *warmup)
{
	warmup_target_t *target;
	warmup_target_t *next;

	HASH_ITER(hh, warmup->targets, target, next)
		remove_target(warmup, target);
}

void
hub_warmup_destroy(hub_warmup_t *warmup)
{
	if (warmup == NULL)
		return;
	hub_warmup_reset(warmup);
	free(warmup);
}

static warmup_target_t *
find(const hub_warmup_t *warmup, uint64_t key)
{
	warmup_target_t *target;

	HASH_FIND(hh, warmup->targets, &key, sizeof(key), target);
	return (target);
}

static int
is_cold(const warmup_target_t *target, int64_t now_ms)
{
	return (now_ms < target->cold_until_ms);
}

static void
report_change(const hub_warmup_t *warmup, const warmup_target_t *target,
    int was_cold, hub_warmup_source_t source, int64_t now_ms)
{
	const hub_warmup_change_t change = {
		.key = { target->target, target->incarnation_ms },
		.service = target->service,
		.until_ms = target->cold_until_ms,
		.was_cold = was_cold,
		.source = source,
	};

	warmup->changed(warmup->ctx, &change, now_ms);
}

/* @return 1 if an end is covered by the one that gates know, and not much earlier */
static int
is_covered(const warmup_target_t *target, int64_t until_ms)
{
	int64_t early_ms = target->cold_until_ms - until_ms;

	return (early_ms >= -FLEET_WARMUP_MARGIN_MS &&
	    early_ms <= FLEET_WARMUP_MARGIN_MS);
}

/* Moves the end of the time for which a target is cold. Gates end it themselves
 * at the time that they know, so that small moves need not be told.
 * @param until_ms  with the margin; in the past: warm */
static void
set_until(const hub_warmup_t *warmup, warmup_target_t *target, int64_t until_ms,
    hub_warmup_source_t source, int64_t now_ms)
{
	int was_cold = is_cold(target, now_ms);

	if (until_ms <= now_ms)
		until_ms = 0;
	if (until_ms == 0 && !was_cold) {
		target->cold_until_ms = 0;
		return;
	}
	if (until_ms != 0 && was_cold && is_covered(target, until_ms))
		return;
	target->cold_until_ms = until_ms;
	report_change(warmup, target, was_cold, source, now_ms);
}

/* @return a target in this incarnation; NULL if it is older than the one that is
 * known, or if memory is exhausted */
static warmup_target_t *
get(hub_warmup_t *warmup, const hub_warmup_report_t *report)
{
	warmup_target_t *target = find(warmup, report->key.target);

	if (target != NULL &&
	    report->key.incarnation_ms < target->incarnation_ms)
		return (NULL);
	if (target != NULL &&
	    report->key.incarnation_ms > target->incarnation_ms) {
		remove_target(warmup, target);
		target = NULL;
	}
	if (target == NULL) {
		target = calloc(1, sizeof(*target));
		if (target == NULL)
			return (NULL);
		target->target = report->key.target;
		target->incarnation_ms = report->key.incarnation_ms;
		HASH_ADD(hh, warmup->targets, target, sizeof(target->target),
		    target);
	}
	target->service = report->service;
	target->data_centre = report->data_centre;
	return (target);
}

/* @return end of a time that a target names, with the margin */
static int64_t
get_end_ms(uint32_t left_ms, int64_t now_ms)
{
	if (left_ms == 0)
		return (now_ms);
	return (now_ms + FLEET_WARMUP_MARGIN_MS +
	    (left_ms < FLEET_WARMUP_MAX_MS ? left_ms : FLEET_WARMUP_MAX_MS));
}

void
hub_warmup_record(
    hub_warmup_t *warmup, const hub_warmup_report_t *report, int64_t now_ms)
{
	warmup_target_t *target = get(warmup, report);
	int64_t until_ms = get_end_ms(report->left_ms, now_ms);

	if (target == NULL ||
	    (target->incarnation_ms != 0 && target->sequence != 0 &&
		report->sequence <= target->sequence))
		return;
	/* The target may have turned cold after it said this. */
	if (target->is_suspected && report->said_ms < target->suspected_ms) {
		if (until_ms > target->cold_until_ms)
			set_until(warmup, target, until_ms,
			    HUB_WARMUP_ANNOUNCED, now_ms);
		return;
	}
	target->sequence = report->sequence;
	target->is_suspected = 0;
	set_until(warmup, target, until_ms, HUB_WARMUP_ANNOUNCED, now_ms);
}

void
hub_warmup_record_response(hub_warmup_t *warmup, const hub_signal_key_t *key,
    uint32_t left_ms, int64_t now_ms)
{
	warmup_target_t *target = find(warmup, key->target);
	int64_t until_ms = get_end_ms(left_ms, now_ms);

	if (target == NULL || target->incarnation_ms != key->incarnation_ms ||
	    until_ms <= target->cold_until_ms)
		return;
	set_until(warmup, target, until_ms, HUB_WARMUP_RESPONSE, now_ms);
}

static void
suspect(hub_warmup_t *warmup, warmup_target_t *target,
    hub_warmup_source_t source, int64_t now_ms)
{
	int64_t until_ms = now_ms + HUB_WARMUP_SUSPECT_MS;

	target->is_suspected = 1;
	if (until_ms > target->cold_until_ms)
		set_until(warmup, target, until_ms, source, now_ms);
}

/* Replaces the suspicion before of the same data centre, or the oldest. */
static void
keep_suspicion(hub_warmup_t *warmup, uint64_t data_centre, int64_t now_ms)
{
	suspicion_t *oldest = &warmup->suspicions[0];
	suspicion_t *at;
	size_t i;

	for (i = 0; i < warmup->suspicion_count; i++) {
		at = &warmup->suspicions[i];
		if (at->data_centre == data_centre) {
			oldest = at;
			break;
		}
		if (at->since_ms < oldest->since_ms)
			oldest = at;
	}
	if (i == warmup->suspicion_count &&
	    warmup->suspicion_count < HUB_WARMUP_SUSPECTS_MAX)
		oldest = &warmup->suspicions[warmup->suspicion_count++];
	*oldest = (suspicion_t){ data_centre, now_ms };
}

/* @return when a data centre was suspected; 0: not lately */
static int64_t
get_suspected_ms(
    const hub_warmup_t *warmup, uint64_t data_centre, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < warmup->suspicion_count; i++) {
		if (warmup->suspicions[i].data_centre == data_centre &&
		    now_ms - warmup->suspicions[i].since_ms <
			HUB_WARMUP_SUSPECT_KEEP_MS)
			return (warmup->suspicions[i].since_ms);
	}
	return (0);
}

void
hub_warmup_restore(
    hub_warmup_t *warmup, const hub_warmup_report_t *report, int64_t now_ms)
{
	warmup_target_t *target = find(warmup, report->key.target);

	if (target != NULL &&
	    target->incarnation_ms >= report->key.incarnation_ms)
		return;
	target = get(warmup, report);
	if (target == NULL)
		return;
	target->sequence = report->sequence;
	set_until(warmup, target, get_end_ms(report->left_ms, now_ms),
	    HUB_WARMUP_REPLICATED, now_ms);
	target->suspected_ms =
	    get_suspected_ms(warmup, target->data_centre, now_ms);
	if (target->suspected_ms != 0)
		suspect(warmup, target, HUB_WARMUP_REPLICATED, now_ms);
}

uint32_t
hub_warmup_suspect(hub_warmup_t *warmup, uint64_t data_centre, int64_t now_ms)
{
	warmup_target_t *target;
	uint32_t count = 0;

	keep_suspicion(warmup, data_centre, now_ms);
	for (target = warmup->targets; target != NULL;
	     target = target->hh.next) {
		if (target->data_centre != data_centre)
			continue;
		count++;
		target->suspected_ms = now_ms;
		suspect(warmup, target, HUB_WARMUP_SUSPECTED, now_ms);
	}
	return (count);
}

uint32_t
hub_warmup_tick(hub_warmup_t *warmup, int64_t now_ms)
{
	warmup_target_t *target;
	uint32_t count = 0;

	for (target = warmup->targets; target != NULL;
	     target = target->hh.next) {
		if (target->is_suspected &&
		    target->cold_until_ms - now_ms < HUB_WARMUP_PROLONG_MS)
			suspect(warmup, target, HUB_WARMUP_SUSPECTED, now_ms);
		count += (uint32_t)is_cold(target, now_ms);
	}
	return (count);
}

void
hub_warmup_report_cold(hub_warmup_t *warmup, int64_t now_ms)
{
	warmup_target_t *target;

	for (target = warmup->targets; target != NULL;
	     target = target->hh.next) {
		if (is_cold(target, now_ms))
			report_change(
			    warmup, target, 1, HUB_WARMUP_REPLICATED, now_ms);
	}
}

void
hub_warmup_remove(hub_warmup_t *warmup, uint64_t key)
{
	warmup_target_t *target = find(warmup, key);

	if (target != NULL)
		remove_target(warmup, target);
}

int64_t
hub_warmup_get_left_ms(
    const hub_warmup_t *warmup, const hub_signal_key_t *key, int64_t now_ms)
{
	const warmup_target_t *target = find(warmup, key->target);

	return (target != NULL &&
		    target->incarnation_ms == key->incarnation_ms &&
		    is_cold(target, now_ms)
		? target->cold_until_ms - now_ms
		: 0);
}

double
hub_warmup_get_rate_per_s(double per_s, double overshoot, double slack)
{
	const double use_s = (double)HUB_WARMUP_USE_MS / MS_PER_SEC;
	double room;

	if (per_s <= 0 || overshoot <= 0)
		return (-1);
	room = per_s * overshoot + slack - HUB_WARMUP_BURST -
	    HUB_WARMUP_ALONE_BURST;
	return (fmax(fmin(per_s, room / (1 + use_s + FLEET_WARMUP_ALONE_SHARE)),
	    HUB_LIMIT_MIN_PER_S));
}
