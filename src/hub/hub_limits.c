#include "hub/hub_limits.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "fleet/fleet_limit.h"

typedef struct target_limit {
	uint64_t target;
	uint64_t incarnation_ms;
	uint32_t value; /* as of fleet_limit.h */
	double level; /* permits in the bucket at level_ms */
	int64_t level_ms;
	UT_hash_handle hh;
} target_limit_t;

struct hub_limits {
	target_limit_t *targets;
};

hub_limits_t *
hub_limits_create(void)
{
	return (calloc(1, sizeof(hub_limits_t)));
}

static void
remove_limit(hub_limits_t *limits, target_limit_t *limit)
{
	HASH_DELETE(hh, limits->targets, limit);
	free(limit);
}

void
hub_limits_reset(hub_limits_t *limits)
{
	target_limit_t *limit;
	target_limit_t *next;

	HASH_ITER(hh, limits->targets, limit, next)
		remove_limit(limits, limit);
}

void
hub_limits_destroy(hub_limits_t *limits)
{
	if (limits == NULL)
		return;
	hub_limits_reset(limits);
	free(limits);
}

static target_limit_t *
find(const hub_limits_t *limits, uint64_t target)
{
	target_limit_t *limit;

	HASH_FIND(hh, limits->targets, &target, sizeof(target), limit);
	return (limit);
}

static double
get_rate_per_s(const target_limit_t *limit)
{
	return (fmax(fleet_limit_decode(limit->value), HUB_LIMIT_MIN_PER_S));
}

static void
fill_bucket(target_limit_t *limit, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - limit->level_ms) / MS_PER_SEC;

	limit->level = fmin(
	    limit->level + elapsed_s * get_rate_per_s(limit), HUB_LIMIT_BURST);
	limit->level_ms = now_ms;
}

int
hub_limits_set(hub_limits_t *limits, const hub_limit_key_t *key, uint32_t value,
    int64_t now_ms)
{
	target_limit_t *limit = find(limits, key->target);

	if (value == FLEET_LIMIT_UNKNOWN)
		return (0);
	if (limit != NULL && limit->incarnation_ms == key->incarnation_ms) {
		if (limit->value == value)
			return (0);
		/* What was earned so far counts by the limit before. */
		fill_bucket(limit, now_ms);
		limit->value = value;
		return (1);
	}
	if (limit == NULL) {
		limit = calloc(1, sizeof(*limit));
		if (limit == NULL)
			return (0);
		limit->target = key->target;
		HASH_ADD(
		    hh, limits->targets, target, sizeof(limit->target), limit);
	}
	limit->incarnation_ms = key->incarnation_ms;
	limit->value = value;
	limit->level = 0;
	limit->level_ms = now_ms;
	return (1);
}

void
hub_limits_remove(hub_limits_t *limits, uint64_t target)
{
	target_limit_t *limit = find(limits, target);

	if (limit != NULL)
		remove_limit(limits, limit);
}

uint32_t
hub_limits_get(const hub_limits_t *limits, const hub_limit_key_t *key)
{
	const target_limit_t *limit = find(limits, key->target);

	return (limit != NULL && limit->incarnation_ms == key->incarnation_ms
		? limit->value
		: FLEET_LIMIT_UNKNOWN);
}

/* @return the limit of a target; NULL if it has none */
static target_limit_t *
find_limited(const hub_limits_t *limits, const hub_limit_key_t *key)
{
	return (hub_limits_get(limits, key) > FLEET_LIMIT_NONE
		? find(limits, key->target)
		: NULL);
}

int64_t
hub_limits_get_wait_ms(
    hub_limits_t *limits, const hub_limit_key_t *key, int64_t now_ms)
{
	target_limit_t *limit = find_limited(limits, key);

	if (limit == NULL)
		return (0);
	fill_bucket(limit, now_ms);
	if (limit->level >= 1)
		return (0);
	return ((int64_t)ceil(
	    (1 - limit->level) * MS_PER_SEC / get_rate_per_s(limit)));
}

void
hub_limits_consume(
    hub_limits_t *limits, const hub_limit_key_t *key, int64_t now_ms)
{
	target_limit_t *limit = find_limited(limits, key);

	if (limit == NULL)
		return;
	fill_bucket(limit, now_ms);
	limit->level -= 1;
}

int64_t
hub_limits_find_first(hub_limits_t *limits, hub_limit_filter_cb filter,
    void *ctx, int64_t now_ms, hub_limit_key_t *out)
{
	const target_limit_t *limit;
	int64_t first_ms = -1;
	hub_limit_key_t key;
	int64_t wait_ms;

	for (limit = limits->targets; limit != NULL; limit = limit->hh.next) {
		key = (hub_limit_key_t){ limit->target, limit->incarnation_ms };
		if (limit->value <= FLEET_LIMIT_NONE || !filter(ctx, &key))
			continue;
		wait_ms = hub_limits_get_wait_ms(limits, &key, now_ms);
		if (first_ms >= 0 && wait_ms >= first_ms)
			continue;
		first_ms = wait_ms;
		*out = key;
	}
	return (first_ms);
}
