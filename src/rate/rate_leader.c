#include "rate/rate_leader.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "base/log.h"
#include "proto/rate.pb-c.h"
#include "rate/rate_bucket.h"

/* A need waits this long for recalled tokens before the answer "empty". */
#define RATE_RECALL_WAIT_MS 100
/* A VM that does not answer a recall is asked again after this time. */
#define RATE_RECALL_AGAIN_MS 50
/* Silence after which a VM's need is forgotten; it repeats within 250 ms. */
#define RATE_WAITER_MS	2000
#define RATE_LOG_MS	10000
#define RATE_KEY_PREFIX "rate/"
/* A bucket that is full and unused for this long leaves the store. */
#define RATE_IDLE_MS 2000

struct rate_leader {
	rate_leader_options_t options;
	rate_config_t *configs;
	rate_bucket_t *buckets; /* of the shards that this VM leads */
	uint64_t next_grant;
	int stopping;
};

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
rate_leader_drop(rate_leader_t *leader, rate_bucket_t *bucket)
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
		rate_leader_drop(leader, bucket);
	HASH_ITER(hh, leader->configs, config, next_config) {
		HASH_DEL(leader->configs, config);
		free(config);
	}
	free(leader);
}

static rate_config_t *
rate_find_config(const rate_leader_t *leader, const char *workspace)
{
	rate_config_t *config = NULL;

	HASH_FIND_STR(leader->configs, workspace, config);
	return (config);
}

static rate_bucket_t *
rate_find_key(const rate_leader_t *leader, const char *key)
{
	rate_bucket_t *bucket = NULL;

	HASH_FIND_STR(leader->buckets, key, bucket);
	return (bucket);
}

static rate_bucket_t *
rate_find_bucket(const rate_leader_t *leader, const char *workspace)
{
	char key[GROUP_STORE_KEY_MAX_BYTES + 1];

	snprintf(key, sizeof(key), RATE_KEY_PREFIX "%s", workspace);
	return (rate_find_key(leader, key));
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
		.outstanding =
		    (double)(bucket->granted_out + bucket->unknown_out) /
		    RATE_UTOKENS,
		.floor = (double)bucket->floor / RATE_UTOKENS,
	};
	DL_FOREACH(bucket->waiters, waiter)
		out->waiting_vms++;
	return (TM_OK);
}

static void
rate_leader_refill(
    const rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	rate_bucket_reclaim(bucket, now_ms);
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
		/* The time before the change accrues at the old rate. */
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
	/* A config that was found has a table, which the analyzer forgets. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(leader->configs, config);
	free(config);
}

void
rate_leader_keep(rate_leader_t *leader, rate_keep_cb keep, void *ctx)
{
	rate_config_t *config;
	rate_config_t *next;

	HASH_ITER(hh, leader->configs, config, next) {
		if (!keep(ctx, config->workspace))
			rate_leader_remove_workspace(leader, config->workspace);
	}
}

static rate_bucket_t *
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
	bucket->reference = config->burst;
	bucket->floor = config->burst;
	bucket->floor_pending = -1;
	bucket->refilled_ms = now_ms;
	bucket->used_ms = now_ms;
	/* After a lost group nobody knows what was spent. */
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

/* Starts a bucket from the entry that an earlier leader left. */
static void
rate_leader_take_over(rate_bucket_t *bucket, uint64_t version,
    const Tm__RateFloor *entry, int64_t now_ms)
{
	int64_t floor = rate_min(entry->floor_utokens, bucket->burst);

	if (floor < 0)
		floor = 0;
	bucket->version = version;
	bucket->stored = 1;
	bucket->floor = entry->floor_utokens;
	bucket->level = floor;
	bucket->unknown_out = entry->exact
	    ? rate_min(entry->outstanding_utokens, bucket->burst - floor)
	    : bucket->burst - floor;
	bucket->unknown_until_ms = now_ms + RATE_TOKEN_RECLAIM_MS;
	bucket->spare = rate_bucket_get_spare_max(bucket);
	bucket->reference =
	    bucket->burst + bucket->rate_us / 1000 * RATE_CHANGE_MS;
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
	if (config == NULL || rate_find_key(visit->leader, key) != NULL)
		return;
	entry = tm__rate_floor__unpack(NULL, len, data);
	if (entry == NULL)
		return;
	bucket = rate_leader_add_bucket(visit->leader, config, visit->now_ms);
	if (bucket != NULL && !visit->leader->options.test_skip_floors)
		rate_leader_take_over(bucket, version, entry, visit->now_ms);
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
			rate_leader_drop(leader, bucket);
	}
	if (leads)
		group_visit(leader->options.group, shard,
		    rate_leader_visit_entry, &visit);
}

static void
rate_leader_log_put(rate_bucket_t *bucket, int err, int64_t now_ms)
{
	if (err == TM_ENOTLEADER || now_ms - bucket->logged_ms < RATE_LOG_MS)
		return;
	bucket->logged_ms = now_ms;
	LOG_EVENT(500, LOG_LEVEL_ERROR, "rate floor not stored",
	    LOG_TEXT("workspace", bucket->workspace),
	    LOG_TEXT("error", error_get_text(err)));
}

/* Writes a floor; one put at a time, so that floor covers all copies. */
static int
rate_leader_put(rate_leader_t *leader, rate_bucket_t *bucket, int64_t floor,
    int exact, int64_t now_ms)
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
		    bucket->granted_out + bucket->unknown_out;
	len = tm__rate_floor__pack(&entry, data);
	err = group_put(leader->options.group, bucket->shard, bucket->key,
	    bucket->version + 1, data, len, now_ms);
	if (err != TM_OK) {
		rate_leader_log_put(bucket, err, now_ms);
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
 * Room between level and floor, so that the floor need not move for each
 * grant. A new leader lacks these tokens, so the room is small; moving the
 * floor takes one round trip to a majority.
 */
static int64_t
rate_bucket_get_headroom(const rate_bucket_t *bucket)
{
	int64_t by_rate = bucket->rate_us / 5;
	int64_t by_burst = bucket->burst / 10;
	int64_t room = by_rate > by_burst ? by_rate : by_burst;

	return (room > RATE_UTOKENS ? room : RATE_UTOKENS);
}

static void
rate_leader_move_floor(
    rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	int64_t headroom = rate_bucket_get_headroom(bucket);
	int64_t target = bucket->level - headroom -
	    rate_bucket_get_waiting(bucket) * RATE_UTOKENS;
	int blocked =
	    bucket->floor > 0 && bucket->level - bucket->floor < headroom / 2;

	if (bucket->floor_pending >= 0 || leader->stopping)
		return;
	if (target < 0)
		target = 0;
	if (!bucket->stored && bucket->waiters == NULL)
		return;
	if (bucket->stored && !blocked &&
	    llabs(target - bucket->floor) < headroom / 4)
		return;
	if (bucket->stored && target == bucket->floor)
		return;
	if (blocked || !bucket->stored ||
	    now_ms - bucket->put_ms >= GROUP_RENEW_MS)
		rate_leader_put(leader, bucket, target, 0, now_ms);
}

static void
rate_leader_send_grant(rate_leader_t *leader, const rate_bucket_t *bucket,
    node_id_t vm, Tm__RateGrant *msg)
{
	msg->workspace = (char *)bucket->workspace;
	leader->options.send(
	    leader->options.ctx, vm, MSG_RATE_GRANT, &msg->base);
}

static void
rate_leader_drop_waiter(rate_bucket_t *bucket, rate_waiter_t *waiter)
{
	DL_DELETE(bucket->waiters, waiter);
	free(waiter);
}

static void
rate_leader_recall(rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	Tm__RateRecall msg = TM__RATE_RECALL__INIT;
	rate_grant_t *grant;

	msg.workspace = (char *)bucket->workspace;
	DL_FOREACH(bucket->grants, grant) {
		if (rate_grant_get_idle(grant) == 0 ||
		    now_ms - grant->recalled_ms < RATE_RECALL_AGAIN_MS)
			continue;
		grant->recalled_ms = now_ms;
		leader->options.send(
		    leader->options.ctx, grant->vm, MSG_RATE_RECALL, &msg.base);
	}
}

/*
 * Requests that may wait: those that tokens accrue for within the queue time,
 * and those that recalled tokens or tokens of an earlier leader may still serve.
 */
static int64_t
rate_leader_get_capacity(
    const rate_leader_t *leader, const rate_bucket_t *bucket, int64_t now_ms)
{
	int64_t capacity = bucket->level + bucket->unknown_out;

	if (!leader->options.test_skip_queue)
		capacity += bucket->rate_us / 1000 * RATE_QUEUE_MS +
		    bucket->rate_us % 1000 * RATE_QUEUE_MS / 1000;
	if (!leader->options.test_skip_recall &&
	    now_ms - bucket->short_ms < RATE_RECALL_WAIT_MS)
		capacity += rate_bucket_get_idle(bucket) * RATE_UTOKENS;
	return (capacity / RATE_UTOKENS);
}

/* Divides the tokens that are there among the waiting VMs, max-min. */
static void
rate_leader_divide(rate_bucket_t *bucket)
{
	int64_t tokens = rate_bucket_get_available(bucket);
	uint32_t share = rate_bucket_get_share(bucket, tokens);
	rate_waiter_t *waiter;

	if (tokens == 0)
		return;
	tokens -= rate_bucket_take_shares(bucket, share);
	DL_FOREACH(bucket->waiters, waiter) {
		if (tokens == 0)
			return;
		if (waiter->need > 0) {
			waiter->tokens++;
			waiter->need--;
			tokens--;
		}
	}
}

/* Marks requests that neither a token nor the reference bucket admits. */
static void
rate_leader_refuse(rate_bucket_t *bucket)
{
	rate_waiter_t *waiter;

	DL_FOREACH(bucket->waiters, waiter) {
		if (waiter->allowed > waiter->tokens)
			waiter->allowed -= waiter->tokens;
		else
			waiter->allowed = 0;
		if (waiter->need > waiter->allowed) {
			waiter->refuse = waiter->need - waiter->allowed;
			waiter->need = waiter->allowed;
		}
	}
}

/* Marks requests beyond the capacity; the VMs with the most lose them. */
static void
rate_leader_limit(rate_bucket_t *bucket, int64_t capacity)
{
	uint32_t share;
	int64_t spare;
	rate_waiter_t *waiter;

	if (rate_bucket_get_waiting(bucket) <= capacity)
		return;
	share = rate_bucket_get_share(bucket, capacity);
	spare = capacity - rate_bucket_sum_shares(bucket, share);
	DL_FOREACH(bucket->waiters, waiter) {
		uint32_t keep = share;

		if (waiter->need <= share)
			continue;
		if (spare > 0) {
			keep++;
			spare--;
		}
		waiter->refuse += waiter->need - keep;
		waiter->need = keep;
	}
}

/*
 * Tells a waiting VM what was decided. Tokens and refusals go in one message,
 * so that no refusal overtakes a token.
 *
 * @return 1 if nothing is left to answer
 */
static int
rate_leader_tell_waiter(rate_leader_t *leader, rate_bucket_t *bucket,
    rate_waiter_t *waiter, int64_t now_ms)
{
	Tm__RateGrant msg = TM__RATE_GRANT__INIT;

	if (waiter->tokens > 0 &&
	    rate_bucket_grant(bucket, ++leader->next_grant, waiter->vm,
		waiter->tokens, waiter->tokens, now_ms) == NULL) {
		waiter->need += waiter->tokens;
		waiter->tokens = 0;
	}
	if (waiter->tokens == 0 && waiter->refuse == 0 && !waiter->ack)
		return (waiter->need == 0);
	msg.tokens = waiter->tokens;
	msg.refuse = waiter->refuse;
	msg.final = waiter->need == 0;
	if (msg.tokens > 0)
		msg.grant = leader->next_grant;
	if (msg.refuse > 0)
		msg.retry_after_ms = rate_bucket_get_next_ms(bucket);
	msg.sequence = waiter->sequence;
	msg.sent_ms = waiter->sent_ms;
	waiter->tokens = 0;
	waiter->refuse = 0;
	waiter->ack = 0;
	rate_leader_send_grant(leader, bucket, waiter->vm, &msg);
	return (msg.final);
}

/* Puts the VMs that got tokens behind the others. */
static void
rate_leader_tell(rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	rate_waiter_t *waiters = bucket->waiters;
	rate_waiter_t *served = NULL;
	rate_waiter_t *waiter;
	rate_waiter_t *next;

	DL_FOREACH_SAFE(waiters, waiter, next) {
		int got = waiter->tokens > 0;

		if (rate_leader_tell_waiter(leader, bucket, waiter, now_ms) ||
		    now_ms - waiter->since_ms >= RATE_WAITER_MS) {
			rate_leader_drop_waiter(bucket, waiter);
		} else if (got) {
			DL_DELETE(bucket->waiters, waiter);
			DL_APPEND(served, waiter);
		}
	}
	DL_CONCAT(bucket->waiters, served);
}

static void
rate_leader_serve(rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	if (leader->stopping ||
	    !group_is_leader(leader->options.group, bucket->shard, now_ms))
		return;
	rate_leader_refill(leader, bucket, now_ms);
	if (bucket->waiters == NULL)
		bucket->short_ms = 0;
	else if (bucket->short_ms == 0)
		bucket->short_ms = now_ms;
	rate_leader_divide(bucket);
	rate_leader_refuse(bucket);
	rate_leader_limit(bucket,
	    rate_leader_get_capacity(leader, bucket, now_ms) -
		rate_bucket_get_divided(bucket));
	rate_leader_tell(leader, bucket, now_ms);
	if (bucket->waiters != NULL && bucket->level < RATE_UTOKENS &&
	    !leader->options.test_skip_recall)
		rate_leader_recall(leader, bucket, now_ms);
	rate_leader_move_floor(leader, bucket, now_ms);
}

void
rate_leader_set_committed(rate_leader_t *leader, uint32_t shard,
    const char *key, uint64_t version, int64_t now_ms)
{
	rate_bucket_t *bucket = rate_find_key(leader, key);

	if (bucket == NULL || bucket->shard != shard ||
	    bucket->version != version || bucket->floor_pending < 0)
		return;
	bucket->floor = bucket->floor_pending;
	bucket->floor_pending = -1;
	rate_leader_serve(leader, bucket, now_ms);
}

/* Tokens that may still be given out ahead of need. */
static uint32_t
rate_leader_get_prefetch(
    const rate_bucket_t *bucket, uint32_t need, uint32_t wanted)
{
	int64_t room =
	    bucket->burst / 4 / RATE_UTOKENS - rate_bucket_get_idle(bucket);
	uint32_t available = rate_bucket_get_available(bucket);

	if (bucket->waiters != NULL || room <= 0 || available <= need)
		return (0);
	if (wanted > available - need)
		wanted = available - need;
	return (wanted > room ? (uint32_t)room : wanted);
}

/* Answers a VM that has no request waiting, or whose need is met. */
static void
rate_leader_answer(rate_leader_t *leader, rate_bucket_t *bucket, node_id_t vm,
    const Tm__RateNeed *need, int64_t now_ms)
{
	Tm__RateGrant msg = TM__RATE_GRANT__INIT;
	uint32_t extra =
	    rate_leader_get_prefetch(bucket, need->need, need->prefetch);
	uint32_t tokens = need->need + extra;

	if (tokens > 0) {
		msg.grant = ++leader->next_grant;
		if (rate_bucket_grant(bucket, msg.grant, vm, tokens, need->need,
			now_ms) == NULL)
			return;
	}
	msg.sequence = need->sequence;
	msg.sent_ms = need->sent_ms;
	msg.tokens = tokens;
	msg.final = 1;
	rate_leader_send_grant(leader, bucket, vm, &msg);
}

static rate_waiter_t *
rate_leader_find_waiter(rate_bucket_t *bucket, node_id_t vm)
{
	rate_waiter_t *waiter;

	DL_FOREACH(bucket->waiters, waiter) {
		if (waiter->vm == vm)
			return (waiter);
	}
	return (NULL);
}

/* Queues a need; a repeated one keeps its place in the queue. */
static void
rate_leader_queue(rate_leader_t *leader, rate_bucket_t *bucket, node_id_t vm,
    const Tm__RateNeed *need, int64_t now_ms)
{
	rate_waiter_t *waiter = rate_leader_find_waiter(bucket, vm);

	if (waiter == NULL) {
		waiter = calloc(1, sizeof(*waiter));
		if (waiter == NULL)
			return;
		waiter->vm = vm;
		DL_APPEND(bucket->waiters, waiter);
	} else if (need->sequence <= waiter->sequence) {
		return;
	}
	waiter->since_ms = now_ms;
	waiter->sequence = need->sequence;
	waiter->sent_ms = need->sent_ms;
	waiter->need = need->need;
	waiter->allowed =
	    need->need - need->fresh + rate_bucket_admit(bucket, need->fresh);
	waiter->ack = 1;
	rate_leader_serve(leader, bucket, now_ms);
}

static void
rate_leader_need(rate_leader_t *leader, rate_bucket_t *bucket, node_id_t vm,
    const Tm__RateNeed *need, int64_t now_ms)
{
	size_t i;

	rate_leader_refill(leader, bucket, now_ms);
	for (i = 0; i < need->n_reports; i++)
		rate_bucket_report(bucket, vm, need->reports[i]->grant,
		    need->reports[i]->spent, need->reports[i]->returned);
	rate_bucket_count(bucket, need->used);
	if (leader->stopping)
		return;
	if (need->need == 0 && need->prefetch == 0) {
		rate_leader_serve(leader, bucket, now_ms);
		return;
	}
	if (need->need == 0 ||
	    (bucket->waiters == NULL &&
		need->need <= rate_bucket_get_available(bucket))) {
		rate_bucket_count(bucket, need->fresh);
		rate_leader_answer(leader, bucket, vm, need, now_ms);
		rate_leader_serve(leader, bucket, now_ms);
		return;
	}
	rate_leader_queue(leader, bucket, vm, need, now_ms);
}

static void
rate_leader_deny(rate_leader_t *leader, node_id_t vm, const Tm__RateNeed *need)
{
	Tm__RateGrant msg = TM__RATE_GRANT__INIT;

	msg.workspace = need->workspace;
	msg.sequence = need->sequence;
	msg.sent_ms = need->sent_ms;
	msg.final = 1;
	msg.not_leader = 1;
	leader->options.send(
	    leader->options.ctx, vm, MSG_RATE_GRANT, &msg.base);
}

static void
rate_leader_dispatch(rate_leader_t *leader, node_id_t from,
    const Tm__RateNeed *need, int64_t now_ms)
{
	rate_config_t *config = rate_find_config(leader, need->workspace);
	rate_bucket_t *bucket;
	uint32_t shard;

	shard = group_shard_of(leader->options.group, need->workspace);
	if (config == NULL ||
	    !group_is_leader(leader->options.group, shard, now_ms)) {
		rate_leader_deny(leader, from, need);
		return;
	}
	bucket = rate_find_bucket(leader, need->workspace);
	if (bucket == NULL)
		bucket = rate_leader_add_bucket(leader, config, now_ms);
	if (bucket != NULL)
		rate_leader_need(leader, bucket, from, need, now_ms);
}

int
rate_leader_handle(rate_leader_t *leader, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__RateNeed *need;
	int err = TM_EFORMAT;

	if (type != MSG_RATE_NEED)
		return (TM_EFORMAT);
	need = tm__rate_need__unpack(NULL, len, payload);
	if (need == NULL)
		return (TM_EFORMAT);
	if (node_name_is_valid(need->workspace) &&
	    need->need <= RATE_NEED_MAX && need->fresh <= need->need &&
	    need->prefetch <= RATE_NEED_MAX) {
		rate_leader_dispatch(leader, from, need, now_ms);
		err = TM_OK;
	}
	tm__rate_need__free_unpacked(need, NULL);
	return (err);
}

void
rate_leader_stop(rate_leader_t *leader, int64_t now_ms)
{
	rate_bucket_t *bucket;
	rate_bucket_t *next;

	leader->stopping = 1;
	HASH_ITER(hh, leader->buckets, bucket, next) {
		rate_leader_refill(leader, bucket, now_ms);
		if (bucket->stored || bucket->granted_out > 0)
			rate_leader_put(
			    leader, bucket, bucket->level, 1, now_ms);
	}
}

/* Removes the entry of a full bucket; without an entry it starts full. */
static void
rate_leader_retire(rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	if (bucket->level < bucket->burst || bucket->waiters != NULL ||
	    bucket->floor_pending >= 0 || leader->stopping ||
	    now_ms - bucket->used_ms < RATE_IDLE_MS)
		return;
	if (bucket->stored &&
	    group_put(leader->options.group, bucket->shard, bucket->key,
		bucket->version + 1, NULL, 0, now_ms) != TM_OK)
		return;
	rate_leader_drop(leader, bucket);
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
		rate_leader_retire(leader, bucket, now_ms);
	}
}
