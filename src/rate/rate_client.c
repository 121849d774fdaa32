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

static rate_space_t *
rate_find_space(const rate_client_t *client, const char *workspace)
{
	rate_space_t *space = NULL;

	HASH_FIND_STR(client->spaces, workspace, space);
	return (space);
}

static void
rate_pending_free(rate_space_t *space, rate_pending_t *pending)
{
	DL_DELETE(space->pending, pending);
	space->pending_count--;
	free(pending);
}

static void
rate_activate(rate_client_t *client, rate_space_t *space)
{
	if (space->active)
		return;
	space->active = 1;
	space->demand_per_s = 0;
	DL_APPEND(client->active, space);
}

static void
rate_deactivate(rate_client_t *client, rate_space_t *space)
{
	if (!space->active)
		return;
	space->active = 0;
	DL_DELETE(client->active, space);
}

static void
rate_space_free(rate_client_t *client, rate_space_t *space)
{
	rate_deactivate(client, space);
	HASH_DEL(client->spaces, space);
	while (space->batches != NULL)
		rate_space_free_batch(space, space->batches);
	while (space->pending != NULL)
		rate_pending_free(space, space->pending);
	free(space);
}

void
rate_client_destroy(rate_client_t *client)
{
	rate_space_t *space;
	rate_space_t *next;

	if (client == NULL)
		return;
	HASH_ITER(hh, client->spaces, space, next)
		rate_space_free(client, space);
	free(client);
}

int
rate_client_set_workspace(rate_client_t *client, const char *workspace,
    double rate_per_s, double burst, int64_t now_ms)
{
	rate_space_t *space;

	if (!node_name_is_valid(workspace) || !(rate_per_s > 0) ||
	    rate_per_s > RATE_PER_S_MAX || !(burst >= 1) ||
	    burst > RATE_BURST_MAX)
		return (TM_EINVAL);
	space = rate_find_space(client, workspace);
	if (space == NULL) {
		space = calloc(1, sizeof(*space));
		if (space == NULL)
			return (TM_ENOMEM);
		memcpy(space->workspace, workspace, strlen(workspace));
		if (client->options.group != NULL)
			space->shard =
			    group_shard_of(client->options.group, workspace);
		space->demand_ms = now_ms;
		space->level_ms = now_ms;
		space->level = burst;
		HASH_ADD_STR(client->spaces, workspace, space);
	}
	space->rate_per_s = rate_per_s;
	space->burst = burst;
	space->empty_until_ms = 0;
	return (TM_OK);
}

static void
rate_decide(rate_client_t *client, rate_space_t *space, rate_pending_t *pending,
    rate_result_t result, int64_t retry_after_ms)
{
	void *request = pending->request;

	rate_pending_free(space, pending);
	client->options.result(
	    client->options.ctx, request, result, retry_after_ms);
}

void
rate_client_remove_workspace(
    rate_client_t *client, const char *workspace, int64_t now_ms)
{
	rate_space_t *space = rate_find_space(client, workspace);

	if (space == NULL)
		return;
	while (space->pending != NULL)
		rate_decide(client, space, space->pending, RATE_UNAVAILABLE, 0);
	rate_space_free(client, space);
}

void
rate_client_set_vm_count(rate_client_t *client, uint32_t count)
{
	client->vm_count = count > 0 ? count : 1;
}

static void
rate_ask(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	if (space->asked == NODE_ID_NONE && now_ms >= space->next_ask_ms)
		rate_space_send_need(
		    client, space, rate_space_get_prefetch(space), now_ms);
}

/* Even share of the rate, without a leader. */
static rate_result_t
rate_acquire_divided(rate_client_t *client, rate_space_t *space, int64_t now_ms,
    int64_t *retry_after_ms)
{
	double rate = space->rate_per_s / client->vm_count;
	double cap = space->burst / client->vm_count;

	/* Below one token a VM could never admit anything. */
	if (cap < 1)
		cap = 1;
	space->level += rate * (double)(now_ms - space->level_ms) / 1000;
	space->level_ms = now_ms;
	if (space->level > cap)
		space->level = cap;
	if (space->level >= 1) {
		space->level -= 1;
		return (RATE_GRANTED);
	}
	*retry_after_ms = (int64_t)ceil((1 - space->level) / rate * 1000);
	return (RATE_REFUSED);
}

static int
rate_add_pending(
    rate_space_t *space, void *request, int64_t deadline_ms, int64_t now_ms)
{
	rate_pending_t *pending;

	if (space->pending_count >= RATE_WAITERS_MAX)
		return (TM_EFULL);
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL)
		return (TM_ENOMEM);
	pending->request = request;
	pending->since_ms = now_ms;
	pending->deadline_ms = deadline_ms;
	DL_APPEND(space->pending, pending);
	space->pending_count++;
	return (TM_OK);
}

rate_result_t
rate_client_acquire(rate_client_t *client, const char *workspace, void *request,
    int64_t deadline_ms, int64_t now_ms, int64_t *retry_after_ms)
{
	rate_space_t *space = rate_find_space(client, workspace);

	*retry_after_ms = 0;
	if (space == NULL)
		return (RATE_UNAVAILABLE);
	if (client->options.baseline)
		return (rate_acquire_divided(
		    client, space, now_ms, retry_after_ms));
	rate_activate(client, space);
	space->demand_count++;
	if (space->pending == NULL && rate_space_spend(client, space, now_ms)) {
		space->used++;
		if (space->stock * 2 < rate_space_get_prefetch(space))
			rate_ask(client, space, now_ms);
		return (RATE_GRANTED);
	}
	if (now_ms < space->empty_until_ms) {
		*retry_after_ms = space->empty_until_ms - now_ms;
		return (RATE_REFUSED);
	}
	if (rate_add_pending(space, request, deadline_ms, now_ms) != TM_OK)
		return (RATE_UNAVAILABLE);
	/* An answer on prefetch alone must not delay a waiting request. */
	if (space->asked != NODE_ID_NONE && space->asked_count == 0) {
		space->asked = NODE_ID_NONE;
		space->next_ask_ms = 0;
	}
	rate_ask(client, space, now_ms);
	return (RATE_PENDING);
}

int
rate_client_get_info(const rate_client_t *client, const char *workspace,
    int64_t now_ms, rate_client_info_t *out)
{
	const rate_space_t *space = rate_find_space(client, workspace);

	if (space == NULL)
		return (TM_ENOENT);
	*out = (rate_client_info_t){
		.tokens = space->stock,
		.waiting = space->pending_count,
		.demand_per_s = space->demand_per_s,
	};
	if (space->empty_until_ms > now_ms)
		out->empty_ms = space->empty_until_ms - now_ms;
	return (TM_OK);
}

int
rate_client_cancel(
    rate_client_t *client, const char *workspace, const void *request)
{
	rate_space_t *space = rate_find_space(client, workspace);
	rate_pending_t *pending;

	if (space == NULL)
		return (TM_ENOENT);
	DL_FOREACH(space->pending, pending) {
		if (pending->request == request) {
			rate_pending_free(space, pending);
			return (TM_OK);
		}
	}
	return (TM_ENOENT);
}

static void
rate_serve_pending(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	while (
	    space->pending != NULL && rate_space_spend(client, space, now_ms)) {
		if (space->pending->named_to == NODE_ID_NONE)
			space->used++;
		rate_decide(client, space, space->pending, RATE_GRANTED, 0);
	}
}

/*
 * Refuses the newest of the requests that the need named. Later ones follow
 * them in the list, so the search starts at its end.
 */
static void
rate_refuse_asked(rate_client_t *client, rate_space_t *space, uint32_t asked,
    uint32_t refuse, int64_t retry_after_ms)
{
	while (refuse > 0 && asked > 0 && space->pending != NULL) {
		rate_pending_t *pending = space->pending->prev;
		uint32_t place = space->pending_count;

		for (; place > asked; place--)
			pending = pending->prev;
		rate_decide(
		    client, space, pending, RATE_REFUSED, retry_after_ms);
		asked--;
		refuse--;
	}
}

static void
rate_client_grant(rate_client_t *client, rate_space_t *space, node_id_t from,
    const Tm__RateGrant *msg, int64_t now_ms)
{
	int relayed = msg->leader != NODE_ID_NONE;
	int current = msg->sequence == space->sequence &&
	    (space->asked == from || (relayed && space->asked != NODE_ID_NONE));
	uint32_t asked = space->asked_count;
	uint32_t before = space->pending_count;

	rate_activate(client, space);
	rate_space_add_batch(space, from, msg);
	rate_serve_pending(client, space, now_ms);
	if (space->dirty_ms != 0 &&
	    rate_space_get_report_ms(space) < RATE_REPORT_MS / 2)
		rate_space_send_reports(client, space, from, now_ms);
	if (!current)
		return;
	before -= space->pending_count < before ? space->pending_count : before;
	asked -= before < asked ? before : asked;
	space->asked_count = asked;
	space->asked_heard = 1;
	if (!msg->not_leader) {
		space->heard_ms = now_ms;
		rate_space_set_heard(space, from, relayed, now_ms);
	}
	if (msg->refuse > 0) {
		space->empty_until_ms = space->ask_ms + msg->retry_after_ms;
		rate_refuse_asked(
		    client, space, asked, msg->refuse, msg->retry_after_ms);
		space->asked_count -= msg->refuse < asked ? msg->refuse : asked;
	}
	if (!msg->final)
		return;
	space->asked = NODE_ID_NONE;
	space->next_ask_ms = 0;
	if (msg->not_leader) {
		group_forget_leader(client->options.group, space->shard, from);
		space->next_ask_ms = now_ms + RATE_OTHER_MS;
		return;
	}
	if (space->pending != NULL)
		rate_ask(client, space, now_ms);
}

static void
rate_client_recall(
    rate_client_t *client, rate_space_t *space, node_id_t from, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_space_expire(client, space, now_ms);
	DL_FOREACH(space->batches, batch) {
		if (batch->leader == from)
			rate_space_return_batch(space, batch, 0, now_ms);
	}
	if (space->dirty_ms != 0 && space->pending == NULL)
		rate_space_send_need(client, space, 0, now_ms);
}

/* A leader that queued the request is still bringing tokens. */
static int
rate_is_over(
    const rate_space_t *space, const rate_pending_t *pending, int64_t now_ms)
{
	int64_t since_ms = pending->since_ms > space->heard_ms
	    ? pending->since_ms
	    : space->heard_ms;

	return (now_ms >= pending->deadline_ms ||
	    now_ms - since_ms >= RATE_WAIT_MAX_MS);
}

static void
rate_expire_pending(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_pending_t *pending = space->pending;

	while (pending != NULL) {
		void *request = pending->request;
		rate_pending_t *next = pending->next;

		if (rate_is_over(space, pending, now_ms)) {
			rate_pending_free(space, pending);
			client->options.result(
			    client->options.ctx, request, RATE_UNAVAILABLE, 0);
			next = space->pending;
		}
		pending = next;
	}
}

/* Asks again for requests that came since, or where no answer came. */
static void
rate_check_asked(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	if (space->asked == NODE_ID_NONE)
		return;
	if (space->asked_heard && space->pending_count > space->asked_count &&
	    now_ms - space->ask_ms >= RATE_UPDATE_MS)
		space->next_ask_ms = now_ms;
	if (!space->asked_heard && now_ms - space->ask_ms >= RATE_SILENT_MS)
		space->next_ask_ms = now_ms;
	if (now_ms < space->next_ask_ms)
		return;
	if (!space->asked_heard) {
		rate_space_set_silent(client, space, now_ms);
		group_forget_leader(
		    client->options.group, space->shard, space->asked);
	}
	space->asked = NODE_ID_NONE;
}

static void
rate_tick_space(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_space_measure_demand(space, now_ms);
	if (client->options.baseline)
		return;
	rate_space_return_old(client, space, now_ms);
	rate_expire_pending(client, space, now_ms);
	rate_check_asked(client, space, now_ms);
	if (space->pending != NULL)
		rate_ask(client, space, now_ms);
	if (space->dirty_ms == 0 ||
	    now_ms - space->dirty_ms < rate_space_get_report_ms(space))
		return;
	/* A need that is queued for long must not hold up the reports. */
	if (space->asked != NODE_ID_NONE)
		rate_space_send_reports(client, space, space->asked, now_ms);
	else
		rate_space_send_need(client, space, 0, now_ms);
}

static int
rate_is_idle(const rate_space_t *space)
{
	return (space->batches == NULL && space->pending == NULL &&
	    space->asked == NODE_ID_NONE && space->demand_count == 0 &&
	    space->demand_per_s < RATE_DEMAND_IDLE);
}

void
rate_client_tick(rate_client_t *client, int64_t now_ms)
{
	rate_space_t *space;
	rate_space_t *next;

	DL_FOREACH_SAFE(client->active, space, next) {
		rate_tick_space(client, space, now_ms);
		if (rate_is_idle(space))
			rate_deactivate(client, space);
	}
}

/* Passes a grant on to a VM that the leader does not reach. */
static void
rate_client_relay(rate_client_t *client, node_id_t from, Tm__RateGrant *msg)
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
	rate_space_t *space;

	if (msg == NULL)
		return (TM_EFORMAT);
	if (msg->vm != NODE_ID_NONE) {
		rate_client_relay(client, from, msg);
		tm__rate_grant__free_unpacked(msg, NULL);
		return (TM_OK);
	}
	if (msg->leader != NODE_ID_NONE)
		from = msg->leader;
	space = rate_find_space(client, msg->workspace);
	if (space != NULL)
		rate_client_grant(client, space, from, msg, now_ms);
	tm__rate_grant__free_unpacked(msg, NULL);
	return (TM_OK);
}

static int
rate_client_handle_recall(rate_client_t *client, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__RateRecall *msg = tm__rate_recall__unpack(NULL, len, payload);
	rate_space_t *space;

	if (msg == NULL)
		return (TM_EFORMAT);
	space = rate_find_space(client, msg->workspace);
	if (space != NULL)
		rate_client_recall(client, space, from, now_ms);
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
