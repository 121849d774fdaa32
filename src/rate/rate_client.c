#include "rate/rate_client_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "base/log.h"
#include "proto/rate.pb-c.h"
#include "rate/rate_defs.h"

int
rate_client_create(rate_client_t **out, const rate_client_options_t *options)
{
	rate_client_t *client;

	if (options->result == NULL ||
	    (!options->baseline &&
		(options->group == NULL || options->send == NULL)))
		return (TM_EINVAL);
	client = calloc(1, sizeof(*client));
	if (client == NULL)
		return (TM_ENOMEM);
	client->options = *options;
	client->vm_count = 1;
	*out = client;
	return (TM_OK);
}

static rate_local_t *
rate_find_local(const rate_client_t *client, const char *workspace)
{
	rate_local_t *local = NULL;

	HASH_FIND_STR(client->locals, workspace, local);
	return (local);
}

static void
rate_pending_free(rate_local_t *local, rate_pending_t *pending)
{
	DL_DELETE(local->pending, pending);
	local->pending_count--;
	free(pending);
}

static void
rate_activate(rate_client_t *client, rate_local_t *local)
{
	if (local->active)
		return;
	local->active = 1;
	local->demand_per_s = 0;
	DL_APPEND(client->active, local);
}

static void
rate_deactivate(rate_client_t *client, rate_local_t *local)
{
	if (!local->active)
		return;
	local->active = 0;
	DL_DELETE(client->active, local);
}

static void
rate_local_free(rate_client_t *client, rate_local_t *local)
{
	rate_deactivate(client, local);
	HASH_DEL(client->locals, local);
	while (local->batches != NULL)
		rate_local_free_batch(local, local->batches);
	while (local->pending != NULL)
		rate_pending_free(local, local->pending);
	free(local);
}

void
rate_client_destroy(rate_client_t *client)
{
	rate_local_t *local;
	rate_local_t *next;

	if (client == NULL)
		return;
	HASH_ITER(hh, client->locals, local, next)
		rate_local_free(client, local);
	free(client);
}

int
rate_client_set_workspace(rate_client_t *client, const char *workspace,
    double rate_per_s, double burst, int64_t now_ms)
{
	rate_local_t *local;

	if (!node_name_is_valid(workspace) || !(rate_per_s > 0) ||
	    rate_per_s > RATE_PER_S_MAX || !(burst >= 1) ||
	    burst > RATE_BURST_MAX)
		return (TM_EINVAL);
	local = rate_find_local(client, workspace);
	if (local == NULL) {
		local = calloc(1, sizeof(*local));
		if (local == NULL)
			return (TM_ENOMEM);
		memcpy(local->workspace, workspace, strlen(workspace));
		if (client->options.group != NULL)
			local->shard =
			    group_shard_of(client->options.group, workspace);
		local->demand_ms = now_ms;
		local->even_level_ms = now_ms;
		local->even_level = burst;
		HASH_ADD_STR(client->locals, workspace, local);
	}
	local->rate_per_s = rate_per_s;
	local->burst = burst;
	local->empty_until_ms = 0;
	return (TM_OK);
}

static void
rate_finish_pending(rate_client_t *client, rate_local_t *local,
    rate_pending_t *pending, rate_result_t result, int64_t retry_after_ms)
{
	void *request = pending->request;

	rate_pending_free(local, pending);
	client->options.result(
	    client->options.ctx, request, result, retry_after_ms);
}

void
rate_client_remove_workspace(
    rate_client_t *client, const char *workspace, int64_t now_ms)
{
	rate_local_t *local = rate_find_local(client, workspace);

	if (local == NULL)
		return;
	while (local->pending != NULL)
		rate_finish_pending(
		    client, local, local->pending, RATE_UNAVAILABLE, 0);
	rate_local_free(client, local);
}

void
rate_client_set_vm_count(rate_client_t *client, uint32_t count)
{
	client->vm_count = count > 0 ? count : 1;
}

static void
rate_request_tokens(rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	if (local->request_leader == NODE_ID_NONE &&
	    now_ms >= local->next_request_ms)
		rate_local_send_request(
		    client, local, rate_local_get_prefetch(local), now_ms);
}

/* Decides by an even share of the rate, without a leader. */
static rate_result_t
rate_acquire_divided(rate_client_t *client, rate_local_t *local, int64_t now_ms,
    int64_t *retry_after_ms)
{
	double rate = local->rate_per_s / client->vm_count;
	double cap = local->burst / client->vm_count;

	/* Below one token a VM could never admit anything. */
	if (cap < 1)
		cap = 1;
	local->even_level +=
	    rate * (double)(now_ms - local->even_level_ms) / 1000;
	local->even_level_ms = now_ms;
	if (local->even_level > cap)
		local->even_level = cap;
	if (local->even_level >= 1) {
		local->even_level -= 1;
		return (RATE_GRANTED);
	}
	*retry_after_ms = (int64_t)ceil((1 - local->even_level) / rate * 1000);
	return (RATE_REFUSED);
}

static int
rate_add_pending(
    rate_local_t *local, void *request, int64_t deadline_ms, int64_t now_ms)
{
	rate_pending_t *pending;

	if (local->pending_count >= RATE_PENDING_REQUESTS_MAX)
		return (TM_EFULL);
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL)
		return (TM_ENOMEM);
	pending->request = request;
	pending->since_ms = now_ms;
	pending->deadline_ms = deadline_ms;
	DL_APPEND(local->pending, pending);
	local->pending_count++;
	return (TM_OK);
}

rate_result_t
rate_client_acquire(rate_client_t *client, const char *workspace, void *request,
    int64_t deadline_ms, int64_t now_ms, int64_t *retry_after_ms)
{
	rate_local_t *local = rate_find_local(client, workspace);

	*retry_after_ms = 0;
	if (local == NULL)
		return (RATE_UNAVAILABLE);
	if (client->options.baseline)
		return (rate_acquire_divided(
		    client, local, now_ms, retry_after_ms));
	rate_activate(client, local);
	local->demand_count++;
	if (local->pending == NULL &&
	    rate_local_consume(client, local, now_ms)) {
		local->unreported_arrivals++;
		if (local->held_tokens * 2 < rate_local_get_prefetch(local))
			rate_request_tokens(client, local, now_ms);
		return (RATE_GRANTED);
	}
	if (now_ms < local->empty_until_ms) {
		*retry_after_ms = local->empty_until_ms - now_ms;
		return (RATE_REFUSED);
	}
	if (rate_add_pending(local, request, deadline_ms, now_ms) != TM_OK)
		return (RATE_UNAVAILABLE);
	/* A pending prefetch request must not delay a waiting request. */
	if (local->request_leader != NODE_ID_NONE &&
	    local->requested_count == 0) {
		local->request_leader = NODE_ID_NONE;
		local->next_request_ms = 0;
	}
	rate_request_tokens(client, local, now_ms);
	return (RATE_PENDING);
}

int
rate_client_get_info(const rate_client_t *client, const char *workspace,
    int64_t now_ms, rate_client_info_t *out)
{
	const rate_local_t *local = rate_find_local(client, workspace);

	if (local == NULL)
		return (TM_ENOENT);
	*out = (rate_client_info_t){
		.tokens = local->held_tokens,
		.waiting = local->pending_count,
		.demand_per_s = local->demand_per_s,
	};
	if (local->empty_until_ms > now_ms)
		out->empty_ms = local->empty_until_ms - now_ms;
	return (TM_OK);
}

int
rate_client_cancel(
    rate_client_t *client, const char *workspace, const void *request)
{
	rate_local_t *local = rate_find_local(client, workspace);
	rate_pending_t *pending;

	if (local == NULL)
		return (TM_ENOENT);
	DL_FOREACH(local->pending, pending) {
		if (pending->request == request) {
			rate_pending_free(local, pending);
			return (TM_OK);
		}
	}
	return (TM_ENOENT);
}

static void
rate_grant_pending(rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	while (local->pending != NULL &&
	    rate_local_consume(client, local, now_ms)) {
		if (local->pending->reported_to == NODE_ID_NONE)
			local->unreported_arrivals++;
		rate_finish_pending(
		    client, local, local->pending, RATE_GRANTED, 0);
	}
}

/*
 * Refuses the newest of the requests that the token request counted. Requests
 * that arrived later follow them in the list, so the search starts at its end.
 */
static void
rate_refuse_requested(rate_client_t *client, rate_local_t *local,
    uint32_t requested, uint32_t refuse, int64_t retry_after_ms)
{
	while (refuse > 0 && requested > 0 && local->pending != NULL) {
		rate_pending_t *pending = local->pending->prev;
		uint32_t place = local->pending_count;

		for (; place > requested; place--)
			pending = pending->prev;
		rate_finish_pending(
		    client, local, pending, RATE_REFUSED, retry_after_ms);
		requested--;
		refuse--;
	}
}

static void
rate_client_apply_grant(rate_client_t *client, rate_local_t *local,
    node_id_t from, const Tm__RateGrant *msg, int64_t now_ms)
{
	int relayed = msg->leader != NODE_ID_NONE;
	int current = msg->sequence == local->sequence &&
	    (local->request_leader == from ||
		(relayed && local->request_leader != NODE_ID_NONE));
	uint32_t requested = local->requested_count;
	uint32_t before = local->pending_count;

	rate_activate(client, local);
	rate_local_add_batch(local, from, msg);
	rate_grant_pending(client, local, now_ms);
	if (local->unreported_since_ms != 0 &&
	    rate_local_get_report_delay_ms(local) <
		RATE_REPORT_DELAY_MAX_MS / 2)
		rate_local_send_reports(client, local, from, now_ms);
	if (!current)
		return;
	before -= local->pending_count < before ? local->pending_count : before;
	requested -= before < requested ? before : requested;
	local->requested_count = requested;
	local->request_answered = 1;
	if (!msg->not_leader) {
		local->last_answer_ms = now_ms;
		rate_local_mark_answered(local, from, relayed, now_ms);
	}
	if (msg->refuse > 0) {
		local->empty_until_ms =
		    local->request_sent_ms + msg->retry_after_ms;
		rate_refuse_requested(
		    client, local, requested, msg->refuse, msg->retry_after_ms);
		local->requested_count -=
		    msg->refuse < requested ? msg->refuse : requested;
	}
	if (!msg->final)
		return;
	local->request_leader = NODE_ID_NONE;
	local->next_request_ms = 0;
	if (msg->not_leader) {
		group_forget_leader(client->options.group, local->shard, from);
		local->next_request_ms = now_ms + RATE_LEADER_RETRY_MS;
		return;
	}
	if (local->pending != NULL)
		rate_request_tokens(client, local, now_ms);
}

static void
rate_client_apply_recall(
    rate_client_t *client, rate_local_t *local, node_id_t from, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_local_expire(client, local, now_ms);
	DL_FOREACH(local->batches, batch) {
		if (batch->leader == from)
			rate_local_return_batch(local, batch, 0, now_ms);
	}
	if (local->unreported_since_ms != 0 && local->pending == NULL)
		rate_local_send_request(client, local, 0, now_ms);
}

/*
 * A request expires at its deadline, or RATE_WAIT_MAX_MS after the later of its
 * arrival and the leader's last answer for this workspace: a leader that has
 * queued the request and still answers extends the wait.
 */
static int
rate_pending_is_expired(
    const rate_local_t *local, const rate_pending_t *pending, int64_t now_ms)
{
	int64_t since_ms = pending->since_ms > local->last_answer_ms
	    ? pending->since_ms
	    : local->last_answer_ms;

	return (now_ms >= pending->deadline_ms ||
	    now_ms - since_ms >= RATE_WAIT_MAX_MS);
}

static void
rate_expire_pending(rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	rate_pending_t *pending = local->pending;

	while (pending != NULL) {
		void *request = pending->request;
		rate_pending_t *next = pending->next;

		if (rate_pending_is_expired(local, pending, now_ms)) {
			rate_pending_free(local, pending);
			client->options.result(
			    client->options.ctx, request, RATE_UNAVAILABLE, 0);
			/* The callback may have changed the list. */
			next = local->pending;
		}
		pending = next;
	}
}

/* Ends a token request that has to be updated or was not answered in time. */
static void
rate_check_request(rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	if (local->request_leader == NODE_ID_NONE)
		return;
	if (local->request_answered &&
	    local->pending_count > local->requested_count &&
	    now_ms - local->request_sent_ms >= RATE_REQUEST_UPDATE_MS)
		local->next_request_ms = now_ms;
	if (!local->request_answered &&
	    now_ms - local->request_sent_ms >= RATE_REQUEST_TIMEOUT_MS)
		local->next_request_ms = now_ms;
	if (now_ms < local->next_request_ms)
		return;
	if (!local->request_answered) {
		rate_local_mark_unresponsive(client, local, now_ms);
		group_forget_leader(
		    client->options.group, local->shard, local->request_leader);
	}
	local->request_leader = NODE_ID_NONE;
}

static void
rate_tick_local(rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	rate_local_measure_demand(local, now_ms);
	if (client->options.baseline)
		return;
	rate_local_return_expiring(client, local, now_ms);
	rate_expire_pending(client, local, now_ms);
	rate_check_request(client, local, now_ms);
	if (local->pending != NULL)
		rate_request_tokens(client, local, now_ms);
	if (local->unreported_since_ms == 0 ||
	    now_ms - local->unreported_since_ms <
		rate_local_get_report_delay_ms(local))
		return;
	/* While a token request is outstanding, reports go separately. */
	if (local->request_leader != NODE_ID_NONE)
		rate_local_send_reports(
		    client, local, local->request_leader, now_ms);
	else
		rate_local_send_request(client, local, 0, now_ms);
}

static int
rate_local_is_idle(const rate_local_t *local)
{
	return (local->batches == NULL && local->pending == NULL &&
	    local->request_leader == NODE_ID_NONE && local->demand_count == 0 &&
	    local->demand_per_s < RATE_DEMAND_IDLE_PER_S);
}

void
rate_client_tick(rate_client_t *client, int64_t now_ms)
{
	rate_local_t *local;
	rate_local_t *next;

	DL_FOREACH_SAFE(client->active, local, next) {
		rate_tick_local(client, local, now_ms);
		if (rate_local_is_idle(local))
			rate_deactivate(client, local);
	}
}

/* Relays a grant to a VM that the leader cannot reach. */
static void
rate_client_relay_grant(
    rate_client_t *client, node_id_t from, Tm__RateGrant *msg)
{
	node_id_t vm = msg->vm;

	msg->vm = NODE_ID_NONE;
	msg->leader = from;
	client->options.send(
	    client->options.ctx, vm, MSG_RATE_GRANT, &msg->base);
}

static int
rate_client_handle_grant(rate_client_t *client, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__RateGrant *msg = tm__rate_grant__unpack(NULL, len, payload);
	rate_local_t *local;

	if (msg == NULL)
		return (TM_EFORMAT);
	if (msg->vm != NODE_ID_NONE) {
		rate_client_relay_grant(client, from, msg);
		tm__rate_grant__free_unpacked(msg, NULL);
		return (TM_OK);
	}
	if (msg->leader != NODE_ID_NONE)
		from = msg->leader;
	local = rate_find_local(client, msg->workspace);
	if (local != NULL)
		rate_client_apply_grant(client, local, from, msg, now_ms);
	tm__rate_grant__free_unpacked(msg, NULL);
	return (TM_OK);
}

static int
rate_client_handle_recall(rate_client_t *client, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__RateRecall *msg = tm__rate_recall__unpack(NULL, len, payload);
	rate_local_t *local;

	if (msg == NULL)
		return (TM_EFORMAT);
	local = rate_find_local(client, msg->workspace);
	if (local != NULL)
		rate_client_apply_recall(client, local, from, now_ms);
	tm__rate_recall__free_unpacked(msg, NULL);
	return (TM_OK);
}

int
rate_client_handle(rate_client_t *client, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	if (client->options.baseline)
		return (TM_EFORMAT);
	if (type == MSG_RATE_GRANT)
		return (rate_client_handle_grant(
		    client, from, payload, len, now_ms));
	if (type == MSG_RATE_RECALL)
		return (rate_client_handle_recall(
		    client, from, payload, len, now_ms));
	return (TM_EFORMAT);
}
