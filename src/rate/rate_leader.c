#include "rate/rate_leader_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "base/log.h"
#include "proto/rate.pb-c.h"
#include "rate/rate_bucket.h"

#define RATE_LOG_INTERVAL_MS 10000
#define RATE_KEY_PREFIX	     "rate/"
/* A bucket that was full and unused for this long is removed. */
#define RATE_BUCKET_IDLE_MS 2000

int
rate_leader_create(rate_leader_t **out, const rate_leader_options_t *options)
{
	rate_leader_t *leader;

	if (options->group == NULL || options->send == NULL)
		return (TM_EINVAL);
	leader = calloc(1, sizeof(*leader));
	if (leader == NULL)
		return (TM_ENOMEM);
	leader->options = *options;
	*out = leader;
	return (TM_OK);
}

static void
rate_leader_remove_bucket(rate_leader_t *leader, rate_bucket_t *bucket)
{
	HASH_DEL(leader->buckets, bucket);
	rate_bucket_clear(bucket);
	free(bucket);
}

void
rate_leader_destroy(rate_leader_t *leader)
{
	rate_bucket_t *bucket;
	rate_bucket_t *next;
	rate_config_t *config;
	rate_config_t *next_config;

	if (leader == NULL)
		return;
	HASH_ITER(hh, leader->buckets, bucket, next)
		rate_leader_remove_bucket(leader, bucket);
	HASH_ITER(hh, leader->configs, config, next_config) {
		HASH_DEL(leader->configs, config);
		free(config);
	}
	free(leader);
}

rate_config_t *
rate_find_config(const rate_leader_t *leader, const char *workspace)
{
	rate_config_t *config = NULL;

	HASH_FIND_STR(leader->configs, workspace, config);
	return (config);
}

static rate_bucket_t *
rate_find_bucket_by_key(const rate_leader_t *leader, const char *key)
{
	rate_bucket_t *bucket = NULL;

	HASH_FIND_STR(leader->buckets, key, bucket);
	return (bucket);
}

rate_bucket_t *
rate_find_bucket(const rate_leader_t *leader, const char *workspace)
{
	char key[GROUP_STORE_KEY_MAX_BYTES + 1];

	snprintf(key, sizeof(key), RATE_KEY_PREFIX "%s", workspace);
	return (rate_find_bucket_by_key(leader, key));
}

int
rate_leader_get_info(
    const rate_leader_t *leader, const char *workspace, rate_leader_info_t *out)
{
	const rate_bucket_t *bucket = rate_find_bucket(leader, workspace);
	const rate_waiter_t *waiter;

	if (bucket == NULL)
		return (TM_ENOENT);
	*out = (rate_leader_info_t){
		.level = (double)bucket->level / RATE_UTOKENS,
		.outstanding = (double)(bucket->granted_outstanding +
				   bucket->inherited_outstanding) /
		    RATE_UTOKENS,
		.floor = (double)bucket->floor / RATE_UTOKENS,
	};
	DL_FOREACH(bucket->waiters, waiter)
		out->waiting_vms++;
	return (TM_OK);
}

void
rate_leader_refill(
    const rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	rate_bucket_expire_grants(bucket, now_ms);
	rate_bucket_refill(
	    bucket, now_ms, leader->options.test_skip_outstanding);
}

int
rate_leader_set_workspace(rate_leader_t *leader, const char *workspace,
    double rate_per_s, double burst, int64_t now_ms)
{
	rate_config_t *config;
	rate_bucket_t *bucket;

	if (!node_name_is_valid(workspace) || !(rate_per_s > 0) ||
	    rate_per_s > RATE_PER_S_MAX || !(burst >= 1) ||
	    burst > RATE_BURST_MAX)
		return (TM_EINVAL);
	config = rate_find_config(leader, workspace);
	if (config == NULL) {
		config = calloc(1, sizeof(*config));
		if (config == NULL)
			return (TM_ENOMEM);
		memcpy(config->workspace, workspace, strlen(workspace));
		HASH_ADD_STR(leader->configs, workspace, config);
	}
	config->rate_us = llround(rate_per_s * (double)RATE_UTOKENS);
	if (config->rate_us == 0)
		config->rate_us = 1;
	config->burst = llround(burst * (double)RATE_UTOKENS);
	bucket = rate_find_bucket(leader, workspace);
	if (bucket != NULL) {
		/* Until the change, tokens accrue at the old rate. */
		rate_leader_refill(leader, bucket, now_ms);
		bucket->rate_us = config->rate_us;
		bucket->burst = config->burst;
		if (bucket->level > bucket->burst)
			bucket->level = bucket->burst;
	}
	return (TM_OK);
}

void
rate_leader_remove_workspace(rate_leader_t *leader, const char *workspace)
{
	rate_config_t *config = rate_find_config(leader, workspace);

	if (config == NULL)
		return;
	/* A config that was found is in a table; the analyzer misses this. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(leader->configs, config);
	free(config);
}

void
rate_leader_remove_unconfigured(
    rate_leader_t *leader, rate_is_configured_cb keep, void *ctx)
{
	rate_config_t *config;
	rate_config_t *next;

	HASH_ITER(hh, leader->configs, config, next) {
		if (!keep(ctx, config->workspace))
			rate_leader_remove_workspace(leader, config->workspace);
	}
}

rate_bucket_t *
rate_leader_add_bucket(
    rate_leader_t *leader, const rate_config_t *config, int64_t now_ms)
{
	rate_bucket_t *bucket = calloc(1, sizeof(*bucket));

	if (bucket == NULL)
		return (NULL);
	snprintf(bucket->key, sizeof(bucket->key), RATE_KEY_PREFIX "%s",
	    config->workspace);
	bucket->workspace = bucket->key + strlen(RATE_KEY_PREFIX);
	bucket->shard =
	    group_shard_of(leader->options.group, config->workspace);
	bucket->rate_us = config->rate_us;
	bucket->burst = config->burst;
	bucket->level = config->burst;
	bucket->admission_level = config->burst;
	bucket->floor = config->burst;
	bucket->floor_pending = -1;
	bucket->refilled_ms = now_ms;
	bucket->used_ms = now_ms;
	/* What was consumed is unknown if the group lost its state. */
	if (group_is_state_lost(leader->options.group, bucket->shard, now_ms))
		bucket->level = 0;
	HASH_ADD_STR(leader->buckets, key, bucket);
	return (bucket);
}

static int64_t
rate_min(int64_t a, int64_t b)
{
	return (a < b ? a : b);
}

/* Restores a bucket from the entry that an earlier leader stored. */
static void
rate_leader_restore_bucket(rate_bucket_t *bucket, uint64_t version,
    const Tm__RateFloor *entry, int64_t now_ms)
{
	int64_t floor = rate_min(entry->floor_utokens, bucket->burst);

	if (floor < 0)
		floor = 0;
	bucket->version = version;
	bucket->stored = 1;
	bucket->floor = entry->floor_utokens;
	bucket->level = floor;
	bucket->inherited_outstanding = entry->exact
	    ? rate_min(entry->outstanding_utokens, bucket->burst - floor)
	    : bucket->burst - floor;
	bucket->inherited_until_ms = now_ms + RATE_TOKEN_RECLAIM_MS;
	bucket->inherited_prefetch_max = rate_bucket_get_prefetch_max(bucket);
	bucket->inherited_requested_until_ms =
	    now_ms + RATE_REQUESTED_RECLAIM_MS;
	bucket->drift_credit = rate_bucket_get_drift_credit_max(bucket);
	bucket->admission_level =
	    bucket->burst + bucket->rate_us / 1000 * RATE_LEADER_CHANGE_MS;
}

typedef struct rate_visit {
	rate_leader_t *leader;
	int64_t now_ms;
} rate_visit_t;

static void
rate_leader_visit_entry(
    void *ctx, const char *key, uint64_t version, const void *data, size_t len)
{
	rate_visit_t *visit = ctx;
	rate_config_t *config;
	rate_bucket_t *bucket;
	Tm__RateFloor *entry;

	if (strncmp(key, RATE_KEY_PREFIX, strlen(RATE_KEY_PREFIX)) != 0)
		return;
	config = rate_find_config(visit->leader, key + strlen(RATE_KEY_PREFIX));
	if (config == NULL ||
	    rate_find_bucket_by_key(visit->leader, key) != NULL)
		return;
	entry = tm__rate_floor__unpack(NULL, len, data);
	if (entry == NULL)
		return;
	bucket = rate_leader_add_bucket(visit->leader, config, visit->now_ms);
	if (bucket != NULL && !visit->leader->options.test_skip_floors)
		rate_leader_restore_bucket(
		    bucket, version, entry, visit->now_ms);
	tm__rate_floor__free_unpacked(entry, NULL);
}

void
rate_leader_set_leading(
    rate_leader_t *leader, uint32_t shard, int leads, int64_t now_ms)
{
	rate_visit_t visit = { leader, now_ms };
	rate_bucket_t *bucket;
	rate_bucket_t *next;

	HASH_ITER(hh, leader->buckets, bucket, next) {
		if (bucket->shard == shard)
			rate_leader_remove_bucket(leader, bucket);
	}
	if (leads)
		group_visit(leader->options.group, shard,
		    rate_leader_visit_entry, &visit);
}

static void
rate_leader_log_put_error(rate_bucket_t *bucket, int err, int64_t now_ms)
{
	if (err == TM_ENOTLEADER ||
	    now_ms - bucket->logged_ms < RATE_LOG_INTERVAL_MS)
		return;
	bucket->logged_ms = now_ms;
	LOG_EVENT(500, LOG_LEVEL_ERROR, "rate floor not stored",
	    LOG_TEXT("workspace", bucket->workspace),
	    LOG_TEXT("error", error_get_text(err)));
}

/*
 * Stores a floor. Only one put is pending at a time, so that bucket->floor is
 * the highest floor that any holder has.
 */
static int
rate_leader_put_floor(rate_leader_t *leader, rate_bucket_t *bucket,
    int64_t floor, int exact, int64_t now_ms)
{
	Tm__RateFloor entry = TM__RATE_FLOOR__INIT;
	uint8_t data[64];
	size_t len;
	int err;

	entry.format = 1;
	entry.floor_utokens = floor;
	entry.exact = exact;
	if (exact)
		entry.outstanding_utokens =
		    bucket->granted_outstanding + bucket->inherited_outstanding;
	len = tm__rate_floor__pack(&entry, data);
	err = group_put(leader->options.group, bucket->shard, bucket->key,
	    bucket->version + 1, data, len, now_ms);
	if (err != TM_OK) {
		rate_leader_log_put_error(bucket, err, now_ms);
		return (err);
	}
	bucket->version++;
	bucket->floor_pending = floor;
	if (floor > bucket->floor)
		bucket->floor = floor;
	bucket->put_ms = now_ms;
	bucket->stored = 1;
	return (TM_OK);
}

/*
 * Margin between level and floor, so that the floor need not be stored for each
 * grant. A new leader lacks these tokens, so the margin is small; storing a
 * floor takes one round trip to a majority.
 */
static int64_t
rate_bucket_get_floor_margin(const rate_bucket_t *bucket)
{
	int64_t by_rate = bucket->rate_us / 5;
	int64_t by_burst = bucket->burst / 10;
	int64_t margin = by_rate > by_burst ? by_rate : by_burst;

	return (margin > RATE_UTOKENS ? margin : RATE_UTOKENS);
}

void
rate_leader_update_floor(
    rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	int64_t margin = rate_bucket_get_floor_margin(bucket);
	int64_t target = bucket->level - margin -
	    rate_bucket_get_waiting(bucket) * RATE_UTOKENS;
	int blocked =
	    bucket->floor > 0 && bucket->level - bucket->floor < margin / 2;

	if (bucket->floor_pending >= 0 || leader->stopping)
		return;
	if (target < 0)
		target = 0;
	if (!bucket->stored && bucket->waiters == NULL)
		return;
	if (bucket->stored && !blocked &&
	    llabs(target - bucket->floor) < margin / 4)
		return;
	if (bucket->stored && target == bucket->floor)
		return;
	if (blocked || !bucket->stored ||
	    now_ms - bucket->put_ms >= GROUP_RENEW_MS)
		rate_leader_put_floor(leader, bucket, target, 0, now_ms);
}

void
rate_leader_set_committed(rate_leader_t *leader, uint32_t shard,
    const char *key, uint64_t version, int64_t now_ms)
{
	rate_bucket_t *bucket = rate_find_bucket_by_key(leader, key);

	if (bucket == NULL || bucket->shard != shard ||
	    bucket->version != version || bucket->floor_pending < 0)
		return;
	bucket->floor = bucket->floor_pending;
	bucket->floor_pending = -1;
	rate_leader_serve(leader, bucket, now_ms);
}

void
rate_leader_stop(rate_leader_t *leader, int64_t now_ms)
{
	rate_bucket_t *bucket;
	rate_bucket_t *next;

	leader->stopping = 1;
	HASH_ITER(hh, leader->buckets, bucket, next) {
		rate_leader_refill(leader, bucket, now_ms);
		if (bucket->stored || bucket->granted_outstanding > 0)
			rate_leader_put_floor(
			    leader, bucket, bucket->level, 1, now_ms);
	}
}

/* Removes an idle bucket; without a store entry a bucket starts full. */
static void
rate_leader_remove_idle(
    rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	if (bucket->level < bucket->burst || bucket->waiters != NULL ||
	    bucket->floor_pending >= 0 || leader->stopping ||
	    now_ms - bucket->used_ms < RATE_BUCKET_IDLE_MS)
		return;
	if (bucket->stored &&
	    group_put(leader->options.group, bucket->shard, bucket->key,
		bucket->version + 1, NULL, 0, now_ms) != TM_OK)
		return;
	rate_leader_remove_bucket(leader, bucket);
}

void
rate_leader_tick(rate_leader_t *leader, int64_t now_ms)
{
	rate_bucket_t *bucket;
	rate_bucket_t *next;

	HASH_ITER(hh, leader->buckets, bucket, next) {
		if (!group_is_leader(
			leader->options.group, bucket->shard, now_ms))
			continue;
		rate_leader_serve(leader, bucket, now_ms);
		rate_leader_remove_idle(leader, bucket, now_ms);
	}
}
