#include "rate/rate_leader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "proto/rate.pb-c.h"

/* Requests wait this long for recalled tokens before they are refused. */
#define RATE_RECALL_WAIT_MS 100
/* A recall without an answer is sent again after this time. */
#define RATE_RECALL_RETRY_MS 50
/*
 * A VM whose token request was not repeated for this long is removed from the
 * queue; VMs repeat it within 250 ms. Later tokens would expire on arrival.
 */
#define RATE_WAITER_EXPIRY_MS RATE_REQUESTED_VALID_MS

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
		if (rate_grant_get_recallable(grant) == 0 ||
		    now_ms - grant->recalled_ms < RATE_RECALL_RETRY_MS)
			continue;
		grant->recalled_ms = now_ms;
		leader->options.send(
		    leader->options.ctx, grant->vm, MSG_RATE_RECALL, &msg.base);
	}
}

/*
 * Number of requests that may wait: tokens that accrue within the queue time,
 * tokens that a recall may return, and tokens of earlier leaders.
 */
static int64_t
rate_leader_get_queue_capacity(
    const rate_leader_t *leader, const rate_bucket_t *bucket, int64_t now_ms)
{
	int64_t capacity = bucket->level + bucket->inherited_outstanding;

	if (!leader->options.test_skip_queue)
		capacity += bucket->rate_us / 1000 * RATE_QUEUE_MS +
		    bucket->rate_us % 1000 * RATE_QUEUE_MS / 1000;
	if (!leader->options.test_skip_recall &&
	    now_ms - bucket->queue_since_ms < RATE_RECALL_WAIT_MS)
		capacity += rate_bucket_get_recallable(bucket) * RATE_UTOKENS;
	return (capacity / RATE_UTOKENS);
}

/* Assigns the available tokens to the waiting VMs, max-min fair. */
static void
rate_leader_assign_tokens(rate_bucket_t *bucket)
{
	int64_t tokens = rate_bucket_get_available(bucket);
	uint32_t share = rate_bucket_get_fair_share(bucket, tokens);
	rate_waiter_t *waiter;

	if (tokens == 0)
		return;
	tokens -= rate_bucket_assign_shares(bucket, share);
	DL_FOREACH(bucket->waiters, waiter) {
		if (tokens == 0)
			return;
		if (waiter->waiting > 0) {
			waiter->tokens++;
			waiter->waiting--;
			tokens--;
		}
	}
}

/* Marks requests to refuse: no token, and not admitted. */
static void
rate_leader_refuse_over_rate(rate_bucket_t *bucket)
{
	rate_waiter_t *waiter;

	DL_FOREACH(bucket->waiters, waiter) {
		if (waiter->admitted > waiter->tokens)
			waiter->admitted -= waiter->tokens;
		else
			waiter->admitted = 0;
		if (waiter->waiting > waiter->admitted) {
			waiter->refuse = waiter->waiting - waiter->admitted;
			waiter->waiting = waiter->admitted;
		}
	}
}

/* Marks requests beyond the capacity, of the VMs that have most of them. */
static void
rate_leader_limit_queue(rate_bucket_t *bucket, int64_t capacity)
{
	uint32_t share;
	int64_t remainder;
	rate_waiter_t *waiter;

	if (rate_bucket_get_waiting(bucket) <= capacity)
		return;
	share = rate_bucket_get_fair_share(bucket, capacity);
	remainder = capacity - rate_bucket_sum_shares(bucket, share);
	DL_FOREACH(bucket->waiters, waiter) {
		uint32_t keep = share;

		if (waiter->waiting <= share)
			continue;
		if (remainder > 0) {
			keep++;
			remainder--;
		}
		waiter->refuse += waiter->waiting - keep;
		waiter->waiting = keep;
	}
}

/*
 * Sends a waiting VM its tokens and refusals in one message, so that no refusal
 * overtakes a token.
 *
 * @return 1 if nothing is left to answer
 */
static int
rate_leader_send_decision(rate_leader_t *leader, rate_bucket_t *bucket,
    rate_waiter_t *waiter, int64_t now_ms)
{
	Tm__RateGrant msg = TM__RATE_GRANT__INIT;

	if (waiter->tokens > 0 &&
	    rate_bucket_add_grant(bucket, ++leader->next_grant, waiter->vm,
		waiter->tokens, waiter->tokens, now_ms) == NULL) {
		waiter->waiting += waiter->tokens;
		waiter->tokens = 0;
	}
	if (waiter->tokens == 0 && waiter->refuse == 0 && !waiter->ack_pending)
		return (waiter->waiting == 0);
	msg.tokens = waiter->tokens;
	msg.refuse = waiter->refuse;
	msg.final = waiter->waiting == 0;
	if (msg.tokens > 0)
		msg.grant = leader->next_grant;
	if (msg.refuse > 0)
		msg.retry_after_ms = rate_bucket_get_retry_after_ms(bucket);
	msg.sequence = waiter->sequence;
	msg.sent_ms = waiter->sent_ms;
	waiter->tokens = 0;
	waiter->refuse = 0;
	waiter->ack_pending = 0;
	rate_leader_send_grant(leader, bucket, waiter->vm, waiter->relay, &msg);
	return (msg.final);
}

/* Sends decisions and moves the VMs that got tokens to the queue's end. */
static void
rate_leader_send_decisions(
    rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	rate_waiter_t *waiters = bucket->waiters;
	rate_waiter_t *granted_waiters = NULL;
	rate_waiter_t *waiter;
	rate_waiter_t *next;

	DL_FOREACH_SAFE(waiters, waiter, next) {
		int granted = waiter->tokens > 0;

		if (rate_leader_send_decision(leader, bucket, waiter, now_ms) ||
		    now_ms - waiter->received_ms >= RATE_WAITER_EXPIRY_MS) {
			rate_leader_drop_waiter(bucket, waiter);
		} else if (granted) {
			DL_DELETE(bucket->waiters, waiter);
			DL_APPEND(granted_waiters, waiter);
		}
	}
	DL_CONCAT(bucket->waiters, granted_waiters);
}

void
rate_leader_serve(rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms)
{
	if (leader->stopping ||
	    !group_is_leader(leader->options.group, bucket->shard, now_ms))
		return;
	rate_leader_refill(leader, bucket, now_ms);
	if (bucket->waiters == NULL)
		bucket->queue_since_ms = 0;
	else if (bucket->queue_since_ms == 0)
		bucket->queue_since_ms = now_ms;
	rate_leader_assign_tokens(bucket);
	rate_leader_refuse_over_rate(bucket);
	rate_leader_limit_queue(bucket,
	    rate_leader_get_queue_capacity(leader, bucket, now_ms) -
		rate_bucket_get_assigned(bucket));
	rate_leader_send_decisions(leader, bucket, now_ms);
	if (bucket->waiters != NULL && bucket->level < RATE_UTOKENS &&
	    !leader->options.test_skip_recall)
		rate_leader_recall(leader, bucket, now_ms);
	rate_leader_update_floor(leader, bucket, now_ms);
}

/* @return tokens that may be granted as prefetch */
static uint32_t
rate_leader_get_prefetch(
    const rate_bucket_t *bucket, uint32_t requested, uint32_t wanted)
{
	int64_t inherited =
	    (bucket->inherited_outstanding + RATE_UTOKENS - 1) / RATE_UTOKENS;
	int64_t allowance =
	    rate_bucket_get_prefetch_max(bucket) / RATE_UTOKENS -
	    rate_bucket_get_recallable(bucket) - inherited;
	uint32_t available = rate_bucket_get_available(bucket);

	if (bucket->waiters != NULL || allowance <= 0 || available <= requested)
		return (0);
	if (wanted > available - requested)
		wanted = available - requested;
	return (wanted > allowance ? (uint32_t)allowance : wanted);
}

/* Grants a token request in full, with prefetch. */
static void
rate_leader_grant_request(rate_leader_t *leader, rate_bucket_t *bucket,
    node_id_t vm, node_id_t relay, const Tm__RateNeed *request, int64_t now_ms)
{
	Tm__RateGrant msg = TM__RATE_GRANT__INIT;
	uint32_t extra =
	    rate_leader_get_prefetch(bucket, request->need, request->prefetch);
	uint32_t tokens = request->need + extra;

	if (tokens > 0) {
		msg.grant = ++leader->next_grant;
		if (rate_bucket_add_grant(bucket, msg.grant, vm, tokens,
			request->need, now_ms) == NULL)
			return;
	}
	msg.sequence = request->sequence;
	msg.sent_ms = request->sent_ms;
	msg.tokens = request->need;
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

/* Queues a token request; a repeated one keeps its place in the queue. */
static void
rate_leader_queue_request(rate_leader_t *leader, rate_bucket_t *bucket,
    node_id_t vm, node_id_t relay, const Tm__RateNeed *request, int64_t now_ms)
{
	rate_waiter_t *waiter = rate_leader_find_waiter(bucket, vm);
	uint32_t admitted;

	if (waiter == NULL) {
		waiter = calloc(1, sizeof(*waiter));
		if (waiter == NULL)
			return;
		waiter->vm = vm;
		DL_APPEND(bucket->waiters, waiter);
	} else if (request->sequence <= waiter->sequence) {
		return;
	}
	waiter->relay = relay;
	waiter->received_ms = now_ms;
	waiter->sequence = request->sequence;
	waiter->sent_ms = request->sent_ms;
	waiter->waiting = request->need;
	admitted =
	    rate_bucket_admit_delayed(bucket, request->fresh, request->late_ms);
	if (request->late_ms > 0)
		admitted += rate_bucket_admit_late_arrivals(
		    bucket, request->fresh - admitted);
	waiter->admitted = request->need - request->fresh + admitted;
	waiter->ack_pending = 1;
	rate_leader_serve(leader, bucket, now_ms);
}

static void
rate_leader_handle_request(rate_leader_t *leader, rate_bucket_t *bucket,
    node_id_t from, const Tm__RateNeed *request, int64_t now_ms)
{
	int relayed =
	    request->origin != NODE_ID_NONE && request->origin != from;
	node_id_t vm = relayed ? request->origin : from;
	node_id_t relay = relayed ? from : NODE_ID_NONE;
	size_t i;

	rate_leader_refill(leader, bucket, now_ms);
	for (i = 0; i < request->n_reports; i++)
		rate_bucket_apply_report(bucket, vm, request->reports[i]->grant,
		    request->reports[i]->spent, request->reports[i]->returned);
	rate_bucket_count_arrivals(bucket, request->used);
	if (leader->stopping)
		return;
	if (request->need == 0 && request->prefetch == 0) {
		rate_leader_serve(leader, bucket, now_ms);
		return;
	}
	if (request->need == 0 ||
	    (bucket->waiters == NULL &&
		request->need <= rate_bucket_get_available(bucket))) {
		rate_bucket_count_delayed(
		    bucket, request->fresh, request->late_ms);
		rate_leader_grant_request(
		    leader, bucket, vm, relay, request, now_ms);
		rate_leader_serve(leader, bucket, now_ms);
		return;
	}
	rate_leader_queue_request(leader, bucket, vm, relay, request, now_ms);
}

static void
rate_leader_send_not_leader(
    rate_leader_t *leader, node_id_t vm, const Tm__RateNeed *request)
{
	Tm__RateGrant msg = TM__RATE_GRANT__INIT;

	msg.workspace = request->workspace;
	msg.sequence = request->sequence;
	msg.sent_ms = request->sent_ms;
	msg.final = 1;
	msg.not_leader = 1;
	leader->options.send(
	    leader->options.ctx, vm, MSG_RATE_GRANT, &msg.base);
}

/*
 * Relays a token request of a VM that cannot reach the leader. One that another
 * holder relayed is dropped, so that messages do not loop.
 */
static void
rate_leader_relay_request(rate_leader_t *leader, node_id_t from, uint32_t shard,
    const Tm__RateNeed *request, int64_t now_ms)
{
	node_id_t to = group_get_leader(leader->options.group, shard, now_ms);

	if (request->origin != from || to == NODE_ID_NONE || to == from ||
	    to == leader->options.self)
		return;
	leader->options.send(
	    leader->options.ctx, to, MSG_RATE_NEED, &request->base);
}

static void
rate_leader_route_request(rate_leader_t *leader, node_id_t from,
    const Tm__RateNeed *request, int64_t now_ms)
{
	rate_config_t *config = rate_find_config(leader, request->workspace);
	rate_bucket_t *bucket;
	uint32_t shard;

	shard = group_shard_of(leader->options.group, request->workspace);
	if (config == NULL ||
	    !group_is_leader(leader->options.group, shard, now_ms)) {
		if (request->origin != NODE_ID_NONE)
			rate_leader_relay_request(
			    leader, from, shard, request, now_ms);
		else
			rate_leader_send_not_leader(leader, from, request);
		return;
	}
	bucket = rate_find_bucket(leader, request->workspace);
	if (bucket == NULL)
		bucket = rate_leader_add_bucket(leader, config, now_ms);
	if (bucket != NULL)
		rate_leader_handle_request(
		    leader, bucket, from, request, now_ms);
}

int
rate_leader_handle(rate_leader_t *leader, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__RateNeed *request;
	int err = TM_EFORMAT;

	if (type != MSG_RATE_NEED)
		return (TM_EFORMAT);
	request = tm__rate_need__unpack(NULL, len, payload);
	if (request == NULL)
		return (TM_EFORMAT);
	if (node_name_is_valid(request->workspace) &&
	    request->need <= RATE_REQUESTED_MAX &&
	    request->fresh <= request->need &&
	    request->prefetch <= RATE_REQUESTED_MAX) {
		rate_leader_route_request(leader, from, request, now_ms);
		err = TM_OK;
	}
	tm__rate_need__free_unpacked(request, NULL);
	return (err);
}
