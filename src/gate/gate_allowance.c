#include "gate/gate_allowance.h"

#include <math.h>
#include <stdlib.h>

#include "base/clock.h"

typedef struct allowance_bucket {
	uint64_t id;
	double level;
	double max;
	int64_t filled_ms;
	UT_hash_handle hh;
} allowance_bucket_t;

struct gate_allowance {
	fleet_rate_bounds_t bounds;
	rng_t rng;
	allowance_bucket_t *buckets;
};

gate_allowance_t *
gate_allowance_create(const fleet_rate_bounds_t *bounds, uint64_t seed)
{
	gate_allowance_t *allowance = calloc(1, sizeof(*allowance));

	if (allowance == NULL)
		return (NULL);
	allowance->bounds = *bounds;
	rng_init(&allowance->rng, seed);
	return (allowance);
}

void
gate_allowance_reset(gate_allowance_t *allowance)
{
	allowance_bucket_t *bucket;
	allowance_bucket_t *next;

	HASH_ITER(hh, allowance->buckets, bucket, next) {
		HASH_DELETE(hh, allowance->buckets, bucket);
		free(bucket);
	}
}

void
gate_allowance_destroy(gate_allowance_t *allowance)
{
	if (allowance == NULL)
		return;
	gate_allowance_reset(allowance);
	free(allowance);
}

/*
 * Of many gates each has less than one token. Whole tokens at random add up to
 * the same, and serve requests that parts of tokens would not.
 */
static double
round_at_random(gate_allowance_t *allowance, double tokens)
{
	double whole = floor(tokens);

	return (rng_unit(&allowance->rng) < tokens - whole ? whole + 1 : whole);
}

static allowance_bucket_t *
get_bucket(gate_allowance_t *allowance, const gate_allowance_ask_t *ask)
{
	uint64_t id = ask->workspace->id;
	allowance_bucket_t *bucket;

	HASH_FIND(hh, allowance->buckets, &id, sizeof(id), bucket);
	if (bucket != NULL)
		return (bucket);
	bucket = calloc(1, sizeof(*bucket));
	if (bucket == NULL)
		return (NULL);
	bucket->id = id;
	if (ask->is_plentiful)
		bucket->level = round_at_random(allowance,
		    FLEET_ALLOWANCE_START_SHARE *
			fleet_workspace_get_limit(
			    ask->workspace, &allowance->bounds) /
			ask->gates);
	bucket->max = bucket->level > 1 ? bucket->level : 1;
	bucket->filled_ms = ask->now_ms;
	HASH_ADD(hh, allowance->buckets, id, sizeof(bucket->id), bucket);
	return (bucket);
}

int
gate_allowance_take(
    gate_allowance_t *allowance, const gate_allowance_ask_t *ask)
{
	allowance_bucket_t *bucket = get_bucket(allowance, ask);
	double rate_per_s = FLEET_ALLOWANCE_RATE_SHARE *
	    ask->workspace->rate_per_s / ask->gates;

	if (bucket == NULL)
		return (0);
	bucket->level += rate_per_s *
	    (double)(ask->now_ms - bucket->filled_ms) / (double)MS_PER_SEC;
	bucket->filled_ms = ask->now_ms;
	if (bucket->level > bucket->max)
		bucket->level = bucket->max;
	if (bucket->level < 1)
		return (0);
	bucket->level -= 1;
	return (1);
}
