#include "rate/rate_bucket.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

/* Whole tokens of an amount, at most limit. */
static uint32_t
rate_whole(int64_t amount, uint32_t limit)
{
	int64_t whole = amount / RATE_UTOKENS;

	return (whole < limit ? (uint32_t)whole : limit);
}

int64_t
rate_bucket_get_spare_max(const rate_bucket_t *bucket)
{
	return (RATE_UTOKENS + bucket->rate_us / 1000 * RATE_DRIFT_MS);
}

static int64_t
rate_bucket_get_slack(const rate_bucket_t *bucket)
{
	return (bucket->rate_us / 1000 * RATE_LATE_MS);
}

/* A level above the burst has been full for so long that it surely admits. */
static int64_t
rate_bucket_get_top(const rate_bucket_t *bucket)
{
	return (bucket->burst + rate_bucket_get_slack(bucket));
}

/* @return level after tokens were taken from it */
static int64_t
rate_bucket_take(const rate_bucket_t *bucket, int64_t level, int64_t amount)
{
	if (level > bucket->burst && level <= rate_bucket_get_top(bucket))
		level = bucket->burst;
	return (level - amount);
}

/* Adds a level that differs enough from those that are followed. */
static void
rate_bucket_add_possible(rate_bucket_t *bucket, int64_t level)
{
	int64_t same = rate_bucket_get_slack(bucket) / 4;
	uint32_t i;

	if (bucket->possible_count == RATE_POSSIBLE_MAX ||
	    llabs(level - bucket->reference) <= same)
		return;
	for (i = 0; i < bucket->possible_count; i++) {
		if (llabs(level - bucket->possible[i]) <= same)
			return;
	}
	bucket->possible[bucket->possible_count++] = level;
}

static void
rate_bucket_refill_possible(rate_bucket_t *bucket, int64_t gain)
{
	int64_t levels[RATE_POSSIBLE_MAX];
	uint32_t count = bucket->possible_count;
	uint32_t i;

	memcpy(levels, bucket->possible, sizeof(levels));
	bucket->possible_count = 0;
	for (i = 0; i < count; i++) {
		int64_t level = levels[i] + gain;
		int64_t top = rate_bucket_get_top(bucket);

		rate_bucket_add_possible(bucket, level < top ? level : top);
	}
}

static void
rate_bucket_refill_reference(rate_bucket_t *bucket, int64_t gain)
{
	/* Above the burst stands the credit for a change of the leader. */
	int64_t top = rate_bucket_get_top(bucket);

	if (bucket->reference < top) {
		bucket->reference += gain;
		if (bucket->reference > top)
			bucket->reference = top;
	}
	if (bucket->reference >= bucket->burst)
		bucket->spare = rate_bucket_get_spare_max(bucket);
}

void
rate_bucket_refill(
    rate_bucket_t *bucket, int64_t now_ms, int ignore_outstanding)
{
	int64_t elapsed_ms = now_ms - bucket->refilled_ms;
	int64_t out = bucket->granted_out + bucket->unknown_out;
	int64_t room = bucket->burst - (ignore_outstanding ? 0 : out);
	int64_t full_ms;
	int64_t gain;

	if (elapsed_ms <= 0)
		return;
	bucket->refilled_ms = now_ms;
	/* Bounds the product for buckets that were idle for long. */
	full_ms = bucket->burst / (bucket->rate_us / 1000 + 1) * 2 + 1000;
	if (elapsed_ms > full_ms)
		elapsed_ms = full_ms;
	gain = bucket->rate_us * elapsed_ms + bucket->refill_rest;
	bucket->refill_rest = gain % 1000;
	bucket->level += gain / 1000;
	rate_bucket_refill_reference(bucket, gain / 1000);
	rate_bucket_refill_possible(bucket, gain / 1000);
	if (bucket->level > room) {
		bucket->level = room > 0 ? room : 0;
		bucket->refill_rest = 0;
	}
}

uint32_t
rate_bucket_get_available(const rate_bucket_t *bucket)
{
	int64_t above = bucket->level - bucket->floor;

	return (above > 0 ? (uint32_t)(above / RATE_UTOKENS) : 0);
}

uint32_t
rate_grant_get_open(const rate_grant_t *grant)
{
	return (grant->tokens - grant->spent - grant->returned);
}

uint32_t
rate_grant_get_idle(const rate_grant_t *grant)
{
	uint32_t used = grant->spent + grant->returned;

	/* Waiting requests take the tokens of their grant first. */
	if (used < grant->need)
		used = grant->need;
	return (used < grant->tokens ? grant->tokens - used : 0);
}

rate_grant_t *
rate_bucket_grant(rate_bucket_t *bucket, uint64_t id, node_id_t vm,
    uint32_t tokens, uint32_t need, int64_t now_ms)
{
	rate_grant_t *grant = calloc(1, sizeof(*grant));

	if (grant == NULL)
		return (NULL);
	grant->id = id;
	grant->vm = vm;
	grant->tokens = tokens;
	grant->need = need;
	grant->reclaim_ms = now_ms + RATE_TOKEN_RECLAIM_MS;
	DL_APPEND(bucket->grants, grant);
	bucket->level -= tokens * RATE_UTOKENS;
	bucket->granted_out += tokens * RATE_UTOKENS;
	bucket->used_ms = now_ms;
	return (grant);
}

static void
rate_grant_free(rate_bucket_t *bucket, rate_grant_t *grant)
{
	bucket->granted_out -= rate_grant_get_open(grant) * RATE_UTOKENS;
	DL_DELETE(bucket->grants, grant);
	free(grant);
}

static rate_grant_t *
rate_bucket_find(rate_bucket_t *bucket, node_id_t vm, uint64_t id)
{
	rate_grant_t *grant = bucket->grants;

	while (grant != NULL && (grant->id != id || grant->vm != vm))
		grant = grant->next;
	return (grant);
}

void
rate_bucket_report(rate_bucket_t *bucket, node_id_t vm, uint64_t id,
    uint32_t spent, uint32_t returned)
{
	rate_grant_t *grant = rate_bucket_find(bucket, vm, id);
	uint32_t back;

	if (grant == NULL || spent < grant->spent ||
	    returned < grant->returned || spent > grant->tokens ||
	    returned > grant->tokens - spent)
		return;
	back = returned - grant->returned;
	bucket->granted_out -= (spent - grant->spent + back) * RATE_UTOKENS;
	bucket->level += back * RATE_UTOKENS;
	grant->spent = spent;
	grant->returned = returned;
	if (rate_grant_get_open(grant) == 0)
		rate_grant_free(bucket, grant);
}

int64_t
rate_bucket_get_prefetch_max(const rate_bucket_t *bucket)
{
	return (bucket->burst / RATE_PREFETCH_PART);
}

void
rate_bucket_reclaim(rate_bucket_t *bucket, int64_t now_ms)
{
	if (now_ms >= bucket->unknown_need_ms &&
	    bucket->unknown_out > bucket->unknown_extra)
		bucket->unknown_out = bucket->unknown_extra;
	if (now_ms >= bucket->unknown_until_ms)
		bucket->unknown_out = 0;
	/* Grants are in the order of reclaim_ms. */
	while (bucket->grants != NULL && bucket->grants->reclaim_ms <= now_ms)
		rate_grant_free(bucket, bucket->grants);
}

int64_t
rate_bucket_get_idle(const rate_bucket_t *bucket)
{
	const rate_grant_t *grant;
	int64_t idle = 0;

	DL_FOREACH(bucket->grants, grant)
		idle += rate_grant_get_idle(grant);
	return (idle);
}

int64_t
rate_bucket_get_waiting(const rate_bucket_t *bucket)
{
	const rate_waiter_t *waiter;
	int64_t waiting = 0;

	DL_FOREACH(bucket->waiters, waiter)
		waiting += waiter->need;
	return (waiting);
}

/* Lets one arrival drain a level that may have been any within the slack. */
static int
rate_bucket_step_possible(rate_bucket_t *bucket, int64_t level, int both)
{
	int64_t slack = rate_bucket_get_slack(bucket);
	int admits = level >= RATE_UTOKENS - slack;

	if (both && admits)
		rate_bucket_add_possible(
		    bucket, rate_bucket_take(bucket, level, RATE_UTOKENS));
	if (level < RATE_UTOKENS + slack)
		rate_bucket_add_possible(bucket, level);
	return (admits);
}

/*
 * Counts one arrival.
 *
 * @return 1 if the reference admits it, 2 if only a possible level does, else 0
 */
static int
rate_bucket_step(rate_bucket_t *bucket)
{
	int64_t levels[RATE_POSSIBLE_MAX];
	uint32_t count = bucket->possible_count;
	int64_t level = bucket->reference;
	int admits = level >= RATE_UTOKENS;
	int possible;
	uint32_t i;

	memcpy(levels, bucket->possible, sizeof(levels));
	bucket->possible_count = 0;
	if (admits)
		bucket->reference =
		    rate_bucket_take(bucket, level, RATE_UTOKENS);
	possible = rate_bucket_step_possible(bucket, level, !admits);
	for (i = 0; i < count; i++)
		possible |= rate_bucket_step_possible(bucket, levels[i], 1);
	if (admits)
		return (1);
	return (possible ? 2 : 0);
}

/* Without spare arrivals the possible levels admit nothing. */
static uint32_t
rate_bucket_drain(rate_bucket_t *bucket, uint32_t arrivals)
{
	uint32_t admitted = rate_whole(bucket->reference, arrivals);

	if (arrivals == 0)
		return (0);
	bucket->possible_count = 0;
	bucket->reference = rate_bucket_take(
	    bucket, bucket->reference, admitted * RATE_UTOKENS);
	return (admitted);
}

/* @return 1 if every level is far above the arrivals, which drain them all */
static int
rate_bucket_drain_all(rate_bucket_t *bucket, uint32_t arrivals)
{
	int64_t amount = arrivals * RATE_UTOKENS;
	int64_t least = amount + rate_bucket_get_slack(bucket);
	uint32_t i;

	if (arrivals == 0)
		return (1);
	if (bucket->reference < least)
		return (0);
	for (i = 0; i < bucket->possible_count; i++) {
		if (bucket->possible[i] < least)
			return (0);
	}
	bucket->reference = rate_bucket_take(bucket, bucket->reference, amount);
	for (i = 0; i < bucket->possible_count; i++)
		bucket->possible[i] =
		    rate_bucket_take(bucket, bucket->possible[i], amount);
	return (1);
}

void
rate_bucket_count(rate_bucket_t *bucket, uint32_t arrivals)
{
	if (rate_bucket_drain_all(bucket, arrivals))
		return;
	for (; arrivals > 0 && bucket->spare >= RATE_UTOKENS; arrivals--)
		rate_bucket_step(bucket);
	rate_bucket_drain(bucket, arrivals);
}

uint32_t
rate_bucket_admit(rate_bucket_t *bucket, uint32_t arrivals)
{
	uint32_t admitted = 0;

	if (rate_bucket_drain_all(bucket, arrivals))
		return (arrivals);
	for (; arrivals > 0 && bucket->spare >= RATE_UTOKENS; arrivals--) {
		int result = rate_bucket_step(bucket);

		if (result == 2)
			bucket->spare -= RATE_UTOKENS;
		admitted += result != 0;
	}
	return (admitted + rate_bucket_drain(bucket, arrivals));
}

uint32_t
rate_bucket_admit_late(rate_bucket_t *bucket, uint32_t arrivals)
{
	uint32_t admitted = rate_whole(bucket->spare, arrivals);

	bucket->spare -= admitted * RATE_UTOKENS;
	return (admitted);
}

int64_t
rate_bucket_get_next_ms(const rate_bucket_t *bucket)
{
	int64_t highest = bucket->reference;
	int64_t missing;
	int64_t wait_ms;
	uint32_t i;

	for (i = 0; i < bucket->possible_count; i++) {
		if (bucket->possible[i] > highest)
			highest = bucket->possible[i];
	}
	missing = RATE_UTOKENS - rate_bucket_get_slack(bucket) - highest;

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
		sum += waiter->need < share ? waiter->need : share;
	return (sum);
}

uint32_t
rate_bucket_get_share(const rate_bucket_t *bucket, int64_t total)
{
	uint32_t low = 0;
	uint32_t high = RATE_NEED_MAX;

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
rate_bucket_take_shares(rate_bucket_t *bucket, uint32_t share)
{
	rate_waiter_t *waiter;
	int64_t taken = 0;

	DL_FOREACH(bucket->waiters, waiter) {
		uint32_t tokens = waiter->need;

		if (tokens > share)
			tokens = share;
		waiter->tokens = tokens;
		waiter->need -= tokens;
		taken += tokens;
	}
	return (taken);
}

int64_t
rate_bucket_get_divided(const rate_bucket_t *bucket)
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
