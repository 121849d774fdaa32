#include "hub/hub_signals.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "fleet/fleet_limit.h"

/* The permits of one limit. */
typedef struct bucket {
	double level; /* permits at level_ms */
	int64_t level_ms;
} bucket_t;

typedef struct target_signals {
	uint64_t target;
	uint64_t incarnation_ms;
	uint32_t limit; /* as of fleet_limit.h */
	bucket_t bucket;
	hub_warmup_limit_t warmup; /* zero: none yet */
	bucket_t warmup_bucket;
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
	target->bucket.level_ms = now_ms;
	HASH_ADD(hh, signals->targets, target, sizeof(target->target), target);
	return (target);
}

static double
get_rate_per_s(uint32_t limit)
{
	return (fmax(fleet_limit_decode(limit), HUB_LIMIT_MIN_PER_S));
}

static void
bucket_fill(bucket_t *bucket, uint32_t limit, double burst, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - bucket->level_ms) / MS_PER_SEC;

	bucket->level =
	    fmin(bucket->level + elapsed_s * get_rate_per_s(limit), burst);
	bucket->level_ms = now_ms;
}

/* @return time until a bucket that was filled has a permit, in ms */
static int64_t
bucket_get_wait_ms(const bucket_t *bucket, uint32_t limit)
{
	if (bucket->level >= 1)
		return (0);
	return ((int64_t)ceil(
	    (1 - bucket->level) * MS_PER_SEC / get_rate_per_s(limit)));
}

static int
is_limited(const target_signals_t *target)
{
	return (target->limit > FLEET_LIMIT_NONE);
}

static int
is_cold(const target_signals_t *target, int64_t now_ms)
{
	return (target->warmup.value > FLEET_LIMIT_NONE &&
	    now_ms < target->warmup.until_ms);
}

/* Fills the buckets of the limits that are in force. */
static void
fill_buckets(target_signals_t *target, int64_t now_ms)
{
	if (is_limited(target))
		bucket_fill(
		    &target->bucket, target->limit, HUB_LIMIT_BURST, now_ms);
	if (is_cold(target, now_ms))
		bucket_fill(&target->warmup_bucket, target->warmup.value,
		    target->warmup.burst, now_ms);
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
		target->bucket.level_ms = now_ms;
	else
		bucket_fill(
		    &target->bucket, target->limit, HUB_LIMIT_BURST, now_ms);
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

void
hub_signals_set_warmup(hub_signals_t *signals, const hub_signal_key_t *key,
    const hub_warmup_limit_t *limit, int64_t now_ms)
{
	target_signals_t *target = get(signals, key, now_ms);

	if (target == NULL)
		return;
	if (is_cold(target, now_ms)) {
		fill_buckets(target, now_ms);
	} else {
		target->warmup_bucket.level = -get_rate_per_s(limit->value) *
		    (double)limit->debt_ms / MS_PER_SEC;
		target->warmup_bucket.level_ms = now_ms;
	}
	target->warmup = *limit;
}

uint32_t
hub_signals_get_warmup(const hub_signals_t *signals,
    const hub_signal_key_t *key, int64_t now_ms, uint32_t *left_ms)
{
	const target_signals_t *target = find_incarnation(signals, key);

	*left_ms = 0;
	if (target == NULL || !is_cold(target, now_ms))
		return (FLEET_LIMIT_UNKNOWN);
	*left_ms = (uint32_t)(target->warmup.until_ms - now_ms);
	return (target->warmup.value);
}

double
hub_signals_get_rate_per_s(
    const hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms)
{
	const target_signals_t *target = find_incarnation(signals, key);
	double named_per_s = -1;
	double cold_per_s = -1;

	if (target != NULL)
		named_per_s = fleet_limit_decode(target->limit);
	if (target != NULL && is_cold(target, now_ms))
		cold_per_s = fleet_limit_decode(target->warmup.value);
	if (named_per_s < 0 || cold_per_s < 0)
		return (fmax(named_per_s, cold_per_s));
	return (fmin(named_per_s, cold_per_s));
}

int64_t
hub_signals_get_wait_ms(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms)
{
	target_signals_t *target = find_incarnation(signals, key);
	int64_t named_ms = 0;
	int64_t cold_ms = 0;

	if (target == NULL)
		return (0);
	fill_buckets(target, now_ms);
	if (is_limited(target))
		named_ms = bucket_get_wait_ms(&target->bucket, target->limit);
	if (is_cold(target, now_ms))
		cold_ms = bucket_get_wait_ms(
		    &target->warmup_bucket, target->warmup.value);
	return (named_ms > cold_ms ? named_ms : cold_ms);
}

void
hub_signals_consume(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms)
{
	target_signals_t *target = find_incarnation(signals, key);

	if (target == NULL)
		return;
	fill_buckets(target, now_ms);
	if (is_limited(target))
		target->bucket.level -= 1;
	if (is_cold(target, now_ms))
		target->warmup_bucket.level -= 1;
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
		if ((!is_limited(target) && !is_cold(target, now_ms)) ||
		    !filter(ctx, &key))
			continue;
		wait_ms = hub_signals_get_wait_ms(signals, &key, now_ms);
		if (first_ms >= 0 && wait_ms >= first_ms)
			continue;
		first_ms = wait_ms;
		*out = key;
	}
	return (first_ms);
}
