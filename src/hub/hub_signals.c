#include "hub/hub_signals.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "fleet/fleet_limit.h"

typedef struct target_signals {
	uint64_t target;
	uint64_t incarnation_ms;
	uint32_t limit; /* as of fleet_limit.h */
	double level; /* permits in the bucket at level_ms */
	int64_t level_ms;
	int is_leaving;
	UT_hash_handle hh;
} target_signals_t;

struct hub_signals {
	target_signals_t *targets;
};

hub_signals_t *
hub_signals_create(void)
{
	return (calloc(1, sizeof(hub_signals_t)));
}

static void
remove_target(hub_signals_t *signals, target_signals_t *target)
{
	HASH_DELETE(hh, signals->targets, target);
	free(target);
}

void
hub_signals_reset(hub_signals_t *signals)
{
	target_signals_t *target;
	target_signals_t *next;

	HASH_ITER(hh, signals->targets, target, next)
		remove_target(signals, target);
}

void
hub_signals_destroy(hub_signals_t *signals)
{
	if (signals == NULL)
		return;
	hub_signals_reset(signals);
	free(signals);
}

static target_signals_t *
find(const hub_signals_t *signals, uint64_t key)
{
	target_signals_t *target;

	HASH_FIND(hh, signals->targets, &key, sizeof(key), target);
	return (target);
}

/* @return a target in this incarnation, or NULL */
static target_signals_t *
find_incarnation(const hub_signals_t *signals, const hub_signal_key_t *key)
{
	target_signals_t *target = find(signals, key->target);

	return (target != NULL && target->incarnation_ms == key->incarnation_ms
		? target
		: NULL);
}

/* @return a target in this incarnation; NULL if memory is exhausted */
static target_signals_t *
get(hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms)
{
	target_signals_t *target = find_incarnation(signals, key);

	if (target != NULL)
		return (target);
	hub_signals_remove(signals, key->target);
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return (NULL);
	target->target = key->target;
	target->incarnation_ms = key->incarnation_ms;
	target->level_ms = now_ms;
	HASH_ADD(hh, signals->targets, target, sizeof(target->target), target);
	return (target);
}

static double
get_rate_per_s(const target_signals_t *target)
{
	return (fmax(fleet_limit_decode(target->limit), HUB_LIMIT_MIN_PER_S));
}

static void
fill_bucket(target_signals_t *target, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - target->level_ms) / MS_PER_SEC;

	target->level = fmin(target->level + elapsed_s * get_rate_per_s(target),
	    HUB_LIMIT_BURST);
	target->level_ms = now_ms;
}

int
hub_signals_set_limit(hub_signals_t *signals, const hub_signal_key_t *key,
    uint32_t value, int64_t now_ms)
{
	target_signals_t *target;

	if (value == FLEET_LIMIT_UNKNOWN ||
	    value == hub_signals_get_limit(signals, key))
		return (0);
	target = get(signals, key, now_ms);
	if (target == NULL)
		return (0);
	/* What was earned so far counts by the limit before. */
	if (target->limit == FLEET_LIMIT_UNKNOWN)
		target->level_ms = now_ms;
	else
		fill_bucket(target, now_ms);
	target->limit = value;
	return (1);
}

int
hub_signals_set_leaving(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms)
{
	target_signals_t *target = get(signals, key, now_ms);

	if (target == NULL || target->is_leaving)
		return (0);
	target->is_leaving = 1;
	return (1);
}

int
hub_signals_is_leaving(
    const hub_signals_t *signals, const hub_signal_key_t *key)
{
	const target_signals_t *target = find_incarnation(signals, key);

	return (target != NULL && target->is_leaving);
}

void
hub_signals_remove(hub_signals_t *signals, uint64_t key)
{
	target_signals_t *target = find(signals, key);

	if (target != NULL)
		remove_target(signals, target);
}

uint32_t
hub_signals_get_limit(const hub_signals_t *signals, const hub_signal_key_t *key)
{
	const target_signals_t *target = find_incarnation(signals, key);

	return (target != NULL ? target->limit : FLEET_LIMIT_UNKNOWN);
}

/* @return a target with a limit; NULL if it has none */
static target_signals_t *
find_limited(const hub_signals_t *signals, const hub_signal_key_t *key)
{
	return (hub_signals_get_limit(signals, key) > FLEET_LIMIT_NONE
		? find(signals, key->target)
		: NULL);
}

int64_t
hub_signals_get_wait_ms(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms)
{
	target_signals_t *target = find_limited(signals, key);

	if (target == NULL)
		return (0);
	fill_bucket(target, now_ms);
	if (target->level >= 1)
		return (0);
	return ((int64_t)ceil(
	    (1 - target->level) * MS_PER_SEC / get_rate_per_s(target)));
}

void
hub_signals_consume(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms)
{
	target_signals_t *target = find_limited(signals, key);

	if (target == NULL)
		return;
	fill_bucket(target, now_ms);
	target->level -= 1;
}

int64_t
hub_signals_find_first(hub_signals_t *signals, hub_signal_filter_cb filter,
    void *ctx, int64_t now_ms, hub_signal_key_t *out)
{
	const target_signals_t *target;
	int64_t first_ms = -1;
	hub_signal_key_t key;
	int64_t wait_ms;

	for (target = signals->targets; target != NULL;
	     target = target->hh.next) {
		key = (hub_signal_key_t){ target->target,
			target->incarnation_ms };
		if (target->limit <= FLEET_LIMIT_NONE || !filter(ctx, &key))
			continue;
		wait_ms = hub_signals_get_wait_ms(signals, &key, now_ms);
		if (first_ms >= 0 && wait_ms >= first_ms)
			continue;
		first_ms = wait_ms;
		*out = key;
	}
	return (first_ms);
}
