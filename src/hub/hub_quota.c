#include "hub/hub_quota.h"

#include <stdlib.h>

#include "base/clock.h"

/* A workspace is scarce below the first share of its burst, and plentiful
 * again above the second: what gates spend before they hear of it fits in. */
#define SCARCE_BELOW 0.5
#define SCARCE_UNTIL 0.8

typedef struct workspace_bucket {
	uint64_t id;
	double rate_per_s; /* 0: unlimited */
	double burst;
	double level; /* below 0: granted in advance */
	int64_t filled_ms;
	int is_scarce;
	UT_hash_handle hh;
} workspace_bucket_t;

typedef struct retry_bucket {
	uint64_t id;
	double level;
	UT_hash_handle hh;
} retry_bucket_t;

struct hub_quota {
	hub_quota_options_t options;
	workspace_bucket_t *workspaces;
	retry_bucket_t *retries;
	int is_changed;
};

hub_quota_t *
hub_quota_create(const hub_quota_options_t *options)
{
	hub_quota_t *quota = calloc(1, sizeof(*quota));

	if (quota != NULL)
		quota->options = *options;
	return (quota);
}

void
hub_quota_destroy(hub_quota_t *quota)
{
	workspace_bucket_t *bucket;
	workspace_bucket_t *next;
	retry_bucket_t *retry;
	retry_bucket_t *next_retry;

	if (quota == NULL)
		return;
	HASH_ITER(hh, quota->workspaces, bucket, next) {
		HASH_DELETE(hh, quota->workspaces, bucket);
		free(bucket);
	}
	HASH_ITER(hh, quota->retries, retry, next_retry) {
		HASH_DELETE(hh, quota->retries, retry);
		free(retry);
	}
	free(quota);
}

static void
bucket_set_scarce(hub_quota_t *quota, workspace_bucket_t *bucket)
{
	int is_scarce = bucket->is_scarce;

	if (bucket->rate_per_s <= 0)
		is_scarce = 0;
	else if (bucket->level < SCARCE_BELOW * bucket->burst)
		is_scarce = 1;
	else if (bucket->level > SCARCE_UNTIL * bucket->burst)
		is_scarce = 0;
	if (is_scarce != bucket->is_scarce)
		quota->is_changed = 1;
	bucket->is_scarce = is_scarce;
}

static void
bucket_fill(workspace_bucket_t *bucket, int64_t now_ms)
{
	int64_t passed_ms = now_ms - bucket->filled_ms;

	if (passed_ms <= 0)
		return;
	bucket->filled_ms = now_ms;
	bucket->level +=
	    bucket->rate_per_s * (double)passed_ms / (double)MS_PER_SEC;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
}

void
hub_quota_reset(hub_quota_t *quota, int64_t now_ms)
{
	workspace_bucket_t *bucket;
	workspace_bucket_t *next;
	retry_bucket_t *retry;
	retry_bucket_t *next_retry;

	HASH_ITER(hh, quota->workspaces, bucket, next) {
		bucket->level = 0;
		bucket->filled_ms = now_ms;
		bucket_set_scarce(quota, bucket);
	}
	HASH_ITER(hh, quota->retries, retry, next_retry)
		retry->level = 0;
	quota->is_changed = 1;
}

static workspace_bucket_t *
find_bucket(const hub_quota_t *quota, uint64_t id)
{
	workspace_bucket_t *bucket;

	HASH_FIND(hh, quota->workspaces, &id, sizeof(id), bucket);
	return (bucket);
}

static void
configure_workspace(
    hub_quota_t *quota, const fleet_workspace_t *workspace, int64_t now_ms)
{
	workspace_bucket_t *bucket = find_bucket(quota, workspace->id);

	if (bucket == NULL) {
		bucket = calloc(1, sizeof(*bucket));
		if (bucket == NULL)
			return;
		bucket->id = workspace->id;
		bucket->filled_ms = now_ms;
		bucket->is_scarce = 1;
		quota->is_changed = 1;
		HASH_ADD(hh, quota->workspaces, id, sizeof(bucket->id), bucket);
	}
	bucket_fill(bucket, now_ms);
	bucket->rate_per_s = workspace->rate_per_s;
	/* A bucket below one token would never let a request pass. */
	bucket->burst = workspace->burst > 1 ? workspace->burst : 1;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
	bucket_set_scarce(quota, bucket);
}

void
hub_quota_configure(
    hub_quota_t *quota, const fleet_config_t *config, int64_t now_ms)
{
	const fleet_workspace_t *workspace;
	workspace_bucket_t *bucket;
	workspace_bucket_t *next;

	HASH_ITER(hh, quota->workspaces, bucket, next) {
		if (fleet_config_find_workspace(config, bucket->id) != NULL)
			continue;
		HASH_DELETE(hh, quota->workspaces, bucket);
		free(bucket);
		quota->is_changed = 1;
	}
	for (workspace = config->workspaces; workspace != NULL;
	     workspace = workspace->hh.next)
		configure_workspace(quota, workspace, now_ms);
}

static retry_bucket_t *
get_retry(hub_quota_t *quota, uint64_t service)
{
	retry_bucket_t *retry;

	HASH_FIND(hh, quota->retries, &service, sizeof(service), retry);
	if (retry != NULL)
		return (retry);
	retry = calloc(1, sizeof(*retry));
	if (retry == NULL)
		return (NULL);
	retry->id = service;
	HASH_ADD(hh, quota->retries, id, sizeof(retry->id), retry);
	return (retry);
}

static void
count_request(hub_quota_t *quota, uint64_t service)
{
	retry_bucket_t *retry = get_retry(quota, service);

	if (retry == NULL)
		return;
	retry->level += quota->options.retry_ratio;
	if (retry->level > quota->options.retry_burst)
		retry->level = quota->options.retry_burst;
}

void
hub_quota_spend(
    hub_quota_t *quota, uint64_t workspace, uint64_t service, int64_t now_ms)
{
	workspace_bucket_t *bucket = find_bucket(quota, workspace);

	count_request(quota, service);
	if (bucket == NULL)
		return;
	bucket_fill(bucket, now_ms);
	bucket->level -= 1;
	bucket_set_scarce(quota, bucket);
}

hub_permit_t
hub_quota_ask(
    hub_quota_t *quota, uint64_t workspace, uint64_t service, int64_t now_ms)
{
	workspace_bucket_t *bucket = find_bucket(quota, workspace);
	hub_permit_t permit = { .is_granted = 1 };
	double wait_ms;

	if (bucket == NULL || bucket->rate_per_s <= 0) {
		count_request(quota, service);
		return (permit);
	}
	bucket_fill(bucket, now_ms);
	wait_ms = (1 - bucket->level) / bucket->rate_per_s * (double)MS_PER_SEC;
	if (wait_ms > 0)
		permit.wait_ms = (uint32_t)wait_ms + 1;
	if (wait_ms > HUB_QUOTA_WAIT_MAX_MS) {
		permit.is_granted = 0;
		return (permit);
	}
	bucket->level -= 1;
	bucket_set_scarce(quota, bucket);
	count_request(quota, service);
	return (permit);
}

hub_permit_t
hub_quota_ask_retry(hub_quota_t *quota, uint64_t service, int64_t now_ms)
{
	retry_bucket_t *retry = get_retry(quota, service);
	hub_permit_t permit = { .is_granted = 0 };

	(void)now_ms;
	if (retry == NULL || retry->level < 1)
		return (permit);
	retry->level -= 1;
	permit.is_granted = 1;
	return (permit);
}

size_t
hub_quota_list_scarce(const hub_quota_t *quota, uint64_t *ids, size_t max)
{
	const workspace_bucket_t *bucket;
	size_t count = 0;

	for (bucket = quota->workspaces; bucket != NULL && count < max;
	     bucket = bucket->hh.next) {
		if (bucket->is_scarce)
			ids[count++] = bucket->id;
	}
	return (count);
}

int
hub_quota_tick(hub_quota_t *quota, int64_t now_ms)
{
	workspace_bucket_t *bucket;
	workspace_bucket_t *next;
	int is_changed;

	HASH_ITER(hh, quota->workspaces, bucket, next) {
		bucket_fill(bucket, now_ms);
		bucket_set_scarce(quota, bucket);
	}
	is_changed = quota->is_changed;
	quota->is_changed = 0;
	return (is_changed);
}
