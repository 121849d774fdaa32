#include "gate/gate_allowance.h"

#include <stdlib.h>

#include "base/clock.h"

typedef struct allowance_bucket {
	uint64_t id;
	double level;
	int64_t filled_ms;
	UT_hash_handle hh;
} allowance_bucket_t;

struct gate_allowance {
	allowance_bucket_t *buckets;
};

gate_allowance_t *
gate_allowance_create(void)
{
	return (calloc(1, sizeof(gate_allowance_t)));
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

static allowance_bucket_t *
get_bucket(
    gate_allowance_t *allowance, uint64_t id, uint32_t gates, int64_t now_ms)
{
	allowance_bucket_t *bucket;

	HASH_FIND(hh, allowance->buckets, &id, sizeof(id), bucket);
	if (bucket != NULL)
		return (bucket);
	bucket = calloc(1, sizeof(*bucket));
	if (bucket == NULL)
		return (NULL);
	bucket->id = id;
	bucket->level = GATE_ALLOWANCE_START / gates;
	bucket->filled_ms = now_ms;
	HASH_ADD(hh, allowance->buckets, id, sizeof(bucket->id), bucket);
	return (bucket);
}

int
gate_allowance_take(gate_allowance_t *allowance,
    const fleet_workspace_t *workspace, uint32_t gates, int64_t now_ms)
{
	allowance_bucket_t *bucket =
	    get_bucket(allowance, workspace->id, gates, now_ms);
	double rate_per_s =
	    GATE_ALLOWANCE_SHARE * workspace->rate_per_s / gates;

	if (bucket == NULL)
		return (0);
	bucket->level += rate_per_s * (double)(now_ms - bucket->filled_ms) /
	    (double)MS_PER_SEC;
	bucket->filled_ms = now_ms;
	if (bucket->level > GATE_ALLOWANCE_MAX)
		bucket->level = GATE_ALLOWANCE_MAX;
	if (bucket->level < 1)
		return (0);
	bucket->level -= 1;
	return (1);
}
