#include "rate/rate_bucket.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

/* Whole tokens of an amount, at most limit. */
static uint32_t
rate_count_whole_tokens(int64_t amount, uint32_t limit)
{
	int64_t whole = amount / RATE_UTOKENS;

	return (whole < limit ? (uint32_t)whole : limit);
}

int64_t
rate_bucket_get_drift_credit_max(const rate_bucket_t *bucket)
{
	return (RATE_UTOKENS + bucket->rate_us / 1000 * RATE_DRIFT_CREDIT_MS);
}

static int64_t
rate_bucket_get_tolerance(const rate_bucket_t *bucket)
{
	return (bucket->rate_us / 1000 * RATE_ARRIVAL_TOLERANCE_MS);
}

/*
 * The admission level may exceed the burst by the tolerance. At that level the
 * bucket was full at every time at which the arrival may have occurred.
 */
static int64_t
rate_bucket_get_level_max(const rate_bucket_t *bucket)
{
	return (bucket->burst + rate_bucket_get_tolerance(bucket));
}

/* @return level after consuming amount; a level between burst
 * and level_max counts as burst */
static int64_t
rate_bucket_deduct(const rate_bucket_t *bucket, int64_t level, int64_t amount)
{
	if (level > bucket->burst && level <= rate_bucket_get_level_max(bucket))
		level = bucket->burst;
	return (level - amount);
}

/* Tracks a level unless the list is full or a tracked one is within a quarter
 * of the tolerance. */
static void
rate_bucket_add_alternative(rate_bucket_t *bucket, int64_t level)
{
	int64_t resolution = rate_bucket_get_tolerance(bucket) / 4;
	uint32_t i;

	if (bucket->alternative_count == RATE_ALTERNATIVES_MAX ||
	    llabs(level - bucket->admission_level) <= resolution)
		return;
	for (i = 0; i < bucket->alternative_count; i++) {
		if (llabs(level - bucket->alternatives[i]) <= resolution)
			return;
	}
	bucket->alternatives[bucket->alternative_count++] = level;
}

static void
rate_bucket_refill_alternatives(rate_bucket_t *bucket, int64_t gain)
{
	int64_t levels[RATE_ALTERNATIVES_MAX];
	uint32_t count = bucket->alternative_count;
	uint32_t i;

	memcpy(levels, bucket->alternatives, sizeof(levels));
	bucket->alternative_count = 0;
	for (i = 0; i < count; i++) {
		int64_t level = levels[i] + gain;
		int64_t level_max = rate_bucket_get_level_max(bucket);

		rate_bucket_add_alternative(
		    bucket, level < level_max ? level : level_max);
	}
}

static void
rate_bucket_refill_admission(rate_bucket_t *bucket, int64_t gain)
{
	/* A new leader starts above level_max: such a level is not refilled. */
	int64_t level_max = rate_bucket_get_level_max(bucket);

	if (bucket->admission_level < level_max) {
		bucket->admission_level += gain;
		if (bucket->admission_level > level_max)
			bucket->admission_level = level_max;
	}
	if (bucket->admission_level >= bucket->burst)
		bucket->drift_credit = rate_bucket_get_drift_credit_max(bucket);
}

void
rate_bucket_refill(
    rate_bucket_t *bucket, int64_t now_ms, int ignore_outstanding)
{
	int64_t elapsed_ms = now_ms - bucket->refilled_ms;
	int64_t outstanding =
	    bucket->granted_outstanding + bucket->inherited_outstanding;
	int64_t capacity =
	    bucket->burst - (ignore_outstanding ? 0 : outstanding);
	int64_t full_ms;
	int64_t gain;

	if (elapsed_ms <= 0)
		return;
	bucket->refilled_ms = now_ms;
	/* Prevents an overflow for buckets that were idle for long. */
	full_ms = bucket->burst / (bucket->rate_us / 1000 + 1) * 2 + 1000;
	if (elapsed_ms > full_ms)
		elapsed_ms = full_ms;
	gain = bucket->rate_us * elapsed_ms + bucket->refill_remainder;
	bucket->refill_remainder = gain % 1000;
	bucket->level += gain / 1000;
	rate_bucket_refill_admission(bucket, gain / 1000);
	rate_bucket_refill_alternatives(bucket, gain / 1000);
	if (bucket->level > capacity) {
		bucket->level = capacity > 0 ? capacity : 0;
		bucket->refill_remainder = 0;
	}
}

uint32_t
rate_bucket_get_available(const rate_bucket_t *bucket)
{
	int64_t grantable = bucket->level - bucket->floor;

	return (grantable > 0 ? (uint32_t)(grantable / RATE_UTOKENS) : 0);
}

uint32_t
rate_grant_get_outstanding(const rate_grant_t *grant)
{
	return (grant->tokens - grant->consumed - grant->returned);
}

uint32_t
rate_grant_get_recallable(const rate_grant_t *grant)
{
	uint32_t used = grant->consumed + grant->returned;

	/* The tokens of a grant go to its waiting requests first. */
	if (used < grant->requested)
		used = grant->requested;
	return (used < grant->tokens ? grant->tokens - used : 0);
}

rate_grant_t *
rate_bucket_add_grant(rate_bucket_t *bucket, uint64_t id, node_id_t vm,
    uint32_t tokens, uint32_t requested, int64_t now_ms)
{
	rate_grant_t *grant = calloc(1, sizeof(*grant));

	if (grant == NULL)
		return (NULL);
	grant->id = id;
	grant->vm = vm;
	grant->tokens = tokens;
	grant->requested = requested;
	grant->reclaim_ms = now_ms + RATE_TOKEN_RECLAIM_MS;
	DL_APPEND(bucket->grants, grant);
	bucket->level -= tokens * RATE_UTOKENS;
	bucket->granted_outstanding += tokens * RATE_UTOKENS;
	bucket->used_ms = now_ms;
	return (grant);
}

static void
rate_grant_free(rate_bucket_t *bucket, rate_grant_t *grant)
{
	bucket->granted_outstanding -=
	    rate_grant_get_outstanding(grant) * RATE_UTOKENS;
	DL_DELETE(bucket->grants, grant);
	free(grant);
}

static rate_grant_t *
rate_bucket_find_grant(rate_bucket_t *bucket, node_id_t vm, uint64_t id)
{
	rate_grant_t *grant = bucket->grants;

	while (grant != NULL && (grant->id != id || grant->vm != vm))
		grant = grant->next;
	return (grant);
}

void
rate_bucket_apply_report(rate_bucket_t *bucket, node_id_t vm, uint64_t id,
    uint32_t consumed, uint32_t returned)
{
	rate_grant_t *grant = rate_bucket_find_grant(bucket, vm, id);
	uint32_t back;

	if (grant == NULL || consumed < grant->consumed ||
	    returned < grant->returned || consumed > grant->tokens ||
	    returned > grant->tokens - consumed)
		return;
	back = returned - grant->returned;
	bucket->granted_outstanding -=
	    (consumed - grant->consumed + back) * RATE_UTOKENS;
	bucket->level += back * RATE_UTOKENS;
	grant->consumed = consumed;
	grant->returned = returned;
	if (rate_grant_get_outstanding(grant) == 0)
		rate_grant_free(bucket, grant);
}

int64_t
rate_bucket_get_prefetch_max(const rate_bucket_t *bucket)
{
	return (bucket->burst / RATE_PREFETCH_DIVISOR);
}

void
rate_bucket_expire_grants(rate_bucket_t *bucket, int64_t now_ms)
{
	if (now_ms >= bucket->inherited_requested_until_ms &&
	    bucket->inherited_outstanding > bucket->inherited_prefetch_max)
		bucket->inherited_outstanding = bucket->inherited_prefetch_max;
	if (now_ms >= bucket->inherited_until_ms)
		bucket->inherited_outstanding = 0;
	/* Grants are in the order of reclaim_ms. */
	while (bucket->grants != NULL && bucket->grants->reclaim_ms <= now_ms)
		rate_grant_free(bucket, bucket->grants);
}

int64_t
rate_bucket_get_recallable(const rate_bucket_t *bucket)
{
	const rate_grant_t *grant;
	int64_t idle = 0;

	DL_FOREACH(bucket->grants, grant)
		idle += rate_grant_get_recallable(grant);
	return (idle);
}

int64_t
rate_bucket_get_waiting(const rate_bucket_t *bucket)
{
	const rate_waiter_t *waiter;
	int64_t waiting = 0;

	DL_FOREACH(bucket->waiters, waiter)
		waiting += waiter->waiting;
	return (waiting);
}

/* Counts one arrival at a level that is known only within the tolerance. */
static int
rate_bucket_count_arrival_at(
    rate_bucket_t *bucket, int64_t level, int uncertain)
{
	int64_t tolerance = rate_bucket_get_tolerance(bucket);
	int admits = level >= RATE_UTOKENS - tolerance;

	if (uncertain && admits)
		rate_bucket_add_alternative(
		    bucket, rate_bucket_deduct(bucket, level, RATE_UTOKENS));
	if (level < RATE_UTOKENS + tolerance)
		rate_bucket_add_alternative(bucket, level);
	return (admits);
}

/*
 * Counts one arrival.
 *
 * @return 1 if the admission level admits it, 2 if only an alternative level
 *         does, else 0
 */
static int
rate_bucket_count_arrival(rate_bucket_t *bucket)
{
	int64_t levels[RATE_ALTERNATIVES_MAX];
	uint32_t count = bucket->alternative_count;
	int64_t level = bucket->admission_level;
	int admits = level >= RATE_UTOKENS;
	int possible;
	uint32_t i;

	memcpy(levels, bucket->alternatives, sizeof(levels));
	bucket->alternative_count = 0;
	if (admits)
		bucket->admission_level =
		    rate_bucket_deduct(bucket, level, RATE_UTOKENS);
	possible = rate_bucket_count_arrival_at(bucket, level, !admits);
	for (i = 0; i < count; i++)
		possible |= rate_bucket_count_arrival_at(bucket, levels[i], 1);
	if (admits)
		return (1);
	return (possible ? 2 : 0);
}

/* Admits by the admission level alone and drops the alternative levels: the
 * drift credit is used up. */
static uint32_t
rate_bucket_admit_up_to_level(rate_bucket_t *bucket, uint32_t arrivals)
{
	uint32_t admitted =
	    rate_count_whole_tokens(bucket->admission_level, arrivals);

	if (arrivals == 0)
		return (0);
	bucket->alternative_count = 0;
	bucket->admission_level = rate_bucket_deduct(
	    bucket, bucket->admission_level, admitted * RATE_UTOKENS);
	return (admitted);
}

/* @return 1 if all levels were high enough and all arrivals were deducted */
static int
rate_bucket_admit_all(rate_bucket_t *bucket, uint32_t arrivals)
{
	int64_t amount = arrivals * RATE_UTOKENS;
	int64_t least = amount + rate_bucket_get_tolerance(bucket);
	uint32_t i;

	if (arrivals == 0)
		return (1);
	if (bucket->admission_level < least)
		return (0);
	for (i = 0; i < bucket->alternative_count; i++) {
		if (bucket->alternatives[i] < least)
			return (0);
	}
	bucket->admission_level =
	    rate_bucket_deduct(bucket, bucket->admission_level, amount);
	for (i = 0; i < bucket->alternative_count; i++)
		bucket->alternatives[i] =
		    rate_bucket_deduct(bucket, bucket->alternatives[i], amount);
	return (1);
}

void
rate_bucket_count_arrivals(rate_bucket_t *bucket, uint32_t arrivals)
{
	if (rate_bucket_admit_all(bucket, arrivals))
		return;
	for (; arrivals > 0 && bucket->drift_credit >= RATE_UTOKENS; arrivals--)
		rate_bucket_count_arrival(bucket);
	rate_bucket_admit_up_to_level(bucket, arrivals);
}

uint32_t
rate_bucket_admit_arrivals(rate_bucket_t *bucket, uint32_t arrivals)
{
	uint32_t admitted = 0;

	if (rate_bucket_admit_all(bucket, arrivals))
		return (arrivals);
	for (; arrivals > 0 && bucket->drift_credit >= RATE_UTOKENS;
	     arrivals--) {
		int result = rate_bucket_count_arrival(bucket);

		if (result == 2)
			bucket->drift_credit -= RATE_UTOKENS;
		admitted += result != 0;
	}
	return (admitted + rate_bucket_admit_up_to_level(bucket, arrivals));
}

/* Tracks the level after delayed arrivals that came when the bucket was full: the
 * tokens that accrued since then are missing in the admission level. */
static void
rate_bucket_track_delay(rate_bucket_t *bucket, int64_t late_ms)
{
	int64_t per_ms = bucket->rate_us / 1000;
	int64_t level = bucket->burst;

	if (late_ms <= bucket->burst / (per_ms + 1))
		level = bucket->admission_level + per_ms * late_ms;
	rate_bucket_add_alternative(
	    bucket, level < bucket->burst ? level : bucket->burst);
}

void
rate_bucket_count_delayed(
    rate_bucket_t *bucket, uint32_t arrivals, int64_t late_ms)
{
	int was_full = bucket->admission_level >= bucket->burst;

	rate_bucket_count_arrivals(bucket, arrivals);
	if (was_full && late_ms > 0)
		rate_bucket_track_delay(bucket, late_ms);
}

uint32_t
rate_bucket_admit_delayed(
    rate_bucket_t *bucket, uint32_t arrivals, int64_t late_ms)
{
	int was_full = bucket->admission_level >= bucket->burst;
	uint32_t admitted = rate_bucket_admit_arrivals(bucket, arrivals);

	if (was_full && late_ms > 0)
		rate_bucket_track_delay(bucket, late_ms);
	return (admitted);
}

uint32_t
rate_bucket_admit_late_arrivals(rate_bucket_t *bucket, uint32_t arrivals)
{
	uint32_t admitted =
	    rate_count_whole_tokens(bucket->drift_credit, arrivals);

	bucket->drift_credit -= admitted * RATE_UTOKENS;
	return (admitted);
}

int64_t
rate_bucket_get_retry_after_ms(const rate_bucket_t *bucket)
{
	int64_t highest = bucket->admission_level;
	int64_t missing;
	int64_t wait_ms;
	uint32_t i;

	for (i = 0; i < bucket->alternative_count; i++) {
		if (bucket->alternatives[i] > highest)
			highest = bucket->alternatives[i];
	}
	missing = RATE_UTOKENS - rate_bucket_get_tolerance(bucket) - highest;

	if (missing <= 0)
		return (1);
	wait_ms = (missing * 1000 + bucket->rate_us - 1) / bucket->rate_us;
	return (wait_ms > 0 ? wait_ms : 1);
}

int64_t
rate_bucket_sum_shares(const rate_bucket_t *bucket, uint32_t share)
{
	const rate_waiter_t *waiter;
	int64_t sum = 0;

	DL_FOREACH(bucket->waiters, waiter)
		sum += waiter->waiting < share ? waiter->waiting : share;
	return (sum);
}

uint32_t
rate_bucket_get_fair_share(const rate_bucket_t *bucket, int64_t total)
{
	uint32_t low = 0;
	uint32_t high = RATE_REQUESTED_MAX;

	while (low < high) {
		uint32_t middle = low + (high - low + 1) / 2;

		if (rate_bucket_sum_shares(bucket, middle) <= total)
			low = middle;
		else
			high = middle - 1;
	}
	return (low);
}

int64_t
rate_bucket_assign_shares(rate_bucket_t *bucket, uint32_t share)
{
	rate_waiter_t *waiter;
	int64_t taken = 0;

	DL_FOREACH(bucket->waiters, waiter) {
		uint32_t tokens = waiter->waiting;

		if (tokens > share)
			tokens = share;
		waiter->tokens = tokens;
		waiter->waiting -= tokens;
		taken += tokens;
	}
	return (taken);
}

int64_t
rate_bucket_get_assigned(const rate_bucket_t *bucket)
{
	const rate_waiter_t *waiter;
	int64_t divided = 0;

	DL_FOREACH(bucket->waiters, waiter)
		divided += waiter->tokens;
	return (divided);
}

void
rate_bucket_clear(rate_bucket_t *bucket)
{
	rate_waiter_t *waiter;
	rate_waiter_t *next;

	while (bucket->grants != NULL)
		rate_grant_free(bucket, bucket->grants);
	DL_FOREACH_SAFE(bucket->waiters, waiter, next) {
		DL_DELETE(bucket->waiters, waiter);
		free(waiter);
	}
}
