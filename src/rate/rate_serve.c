#include "rate/rate_leader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "proto/rate.pb-c.h"

/* A need waits this long for recalled tokens before the answer "empty". */
#define RATE_RECALL_WAIT_MS 100
/* A VM that does not answer a recall is asked again after this time. */
#define RATE_RECALL_AGAIN_MS 50
/*
 * Silence after which a VM's need is forgotten; it repeats within 250 ms. Later
 * tokens would expire on arrival.
 */
#define RATE_WAITER_MS RATE_NEED_VALID_MS

static void
rate_leader_send_grant(rate_leader_t *leader, const rate_bucket_t *bucket,
    node_id_t vm, node_id_t relay, Tm__RateGrant *msg)
{
	node_id_t to = vm;

	msg->workspace = (char *)bucket->workspace;
	if (relay != NODE_ID_NONE) {
		msg->vm = vm;
		to = relay;
	}
	leader->options.send(
	    leader->options.ctx, to, MSG_RATE_GRANT, &msg->base);
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
	rate_leader_send_grant(leader, bucket, waiter->vm, waiter->relay, &msg);
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

void
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

/* Tokens that may still be given out ahead of need. */
static uint32_t
rate_leader_get_prefetch(
    const rate_bucket_t *bucket, uint32_t need, uint32_t wanted)
{
	int64_t unknown =
	    (bucket->unknown_out + RATE_UTOKENS - 1) / RATE_UTOKENS;
	int64_t room = rate_bucket_get_prefetch_max(bucket) / RATE_UTOKENS -
	    rate_bucket_get_idle(bucket) - unknown;
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
    node_id_t relay, const Tm__RateNeed *need, int64_t now_ms)
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
	msg.tokens = need->need;
	msg.extra = extra;
	msg.final = 1;
	rate_leader_send_grant(leader, bucket, vm, relay, &msg);
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
    node_id_t relay, const Tm__RateNeed *need, int64_t now_ms)
{
	rate_waiter_t *waiter = rate_leader_find_waiter(bucket, vm);
	uint32_t admitted;

	if (waiter == NULL) {
		waiter = calloc(1, sizeof(*waiter));
		if (waiter == NULL)
			return;
		waiter->vm = vm;
		DL_APPEND(bucket->waiters, waiter);
	} else if (need->sequence <= waiter->sequence) {
		return;
	}
	waiter->relay = relay;
	waiter->since_ms = now_ms;
	waiter->sequence = need->sequence;
	waiter->sent_ms = need->sent_ms;
	waiter->need = need->need;
	admitted = rate_bucket_admit(bucket, need->fresh);
	if (need->late_ms > 0)
		admitted +=
		    rate_bucket_admit_late(bucket, need->fresh - admitted);
	waiter->allowed = need->need - need->fresh + admitted;
	waiter->ack = 1;
	rate_leader_serve(leader, bucket, now_ms);
}

static void
rate_leader_need(rate_leader_t *leader, rate_bucket_t *bucket, node_id_t from,
    const Tm__RateNeed *need, int64_t now_ms)
{
	int relayed = need->origin != NODE_ID_NONE && need->origin != from;
	node_id_t vm = relayed ? need->origin : from;
	node_id_t relay = relayed ? from : NODE_ID_NONE;
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
		rate_leader_answer(leader, bucket, vm, relay, need, now_ms);
		rate_leader_serve(leader, bucket, now_ms);
		return;
	}
	rate_leader_queue(leader, bucket, vm, relay, need, now_ms);
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

/*
 * Passes a need on that a VM could not bring to the leader. One that another
 * holder passed on goes no further, so that messages do not circle.
 */
static void
rate_leader_relay(rate_leader_t *leader, node_id_t from, uint32_t shard,
    const Tm__RateNeed *need, int64_t now_ms)
{
	node_id_t to = group_get_leader(leader->options.group, shard, now_ms);

	if (need->origin != from || to == NODE_ID_NONE || to == from ||
	    to == leader->options.self)
		return;
	leader->options.send(
	    leader->options.ctx, to, MSG_RATE_NEED, &need->base);
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
		if (need->origin != NODE_ID_NONE)
			rate_leader_relay(leader, from, shard, need, now_ms);
		else
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
