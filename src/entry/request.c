#include "entry/request_attempt.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/test_hooks.h"
#include "route/request_fingerprint.h"

/* Interval of the check that a caller still waits. */
#define ABANDON_CHECK_MS 100
/* A request keeps its place in the queue for this long without a token. */
#define TOKEN_PLACE_MS 20
#define NS_PER_US      1000

int
request_is_answered(const entry_request_t *request)
{
	return (request->req == NULL);
}

/* Cuts the tie to h2o's request, which the answer is about to end. */
static h2o_req_t *
request_take_caller(entry_request_t *request)
{
	h2o_req_t *req = request->req;

	request->req = NULL;
	if (request->link != NULL)
		request->link->request = NULL;
	request->link = NULL;
	return (req);
}

/*
 * Frees a request whose caller is answered or gone. The next waiting request
 * is released by the loop, not here, because this runs within iterations over
 * requests.
 */
static void
request_destroy(entry_request_t *request)
{
	entry_t *entry = request->entry;
	entry_service_t *service = request->service;

	if (request->item.workspace != NULL) {
		if (request->is_released)
			fair_queue_finish(service->queue, &request->item);
		else
			fair_queue_remove(service->queue, &request->item);
	}
	DL_DELETE(entry->requests, request);
	entry->in_flight--;
	entry_workspace_release(entry, request->workspace);
	request_take_caller(request);
	free(request);
	entry_service_need_pump(service);
}

static void
request_end_claim(
    entry_request_t *request, const uint8_t *answer, size_t len, int is_run)
{
	entry_t *entry = request->entry;
	int64_t now_ms = clock_now_ms();

	if (request->claim == 0)
		return;
	if (is_run)
		claim_client_finish(
		    entry->claims, request->claim, answer, len, now_ms);
	else
		claim_client_release(entry->claims, request->claim, now_ms);
	request->claim = 0;
}

/*
 * Refuses and frees a request. What is said about an earlier attempt goes
 * before the refusal's own "not run".
 */
void
request_refuse(
    entry_request_t *request, refusal_t refusal, int64_t retry_after_ms)
{
	h2o_req_t *req;

	if (request->may_have_run && !refusal_get_info(refusal)->is_run_unknown)
		refusal = REFUSAL_TARGET_FAILED;
	request_end_claim(request, NULL, 0, request->may_have_run);
	request_record_refusal(request, refusal, retry_after_ms);
	if (!request_is_answered(request)) {
		req = request_take_caller(request);
		refusal_send(req, refusal, request->id, retry_after_ms);
	}
	request_destroy(request);
}

void
request_finish_ok(entry_request_t *request, const upstream_response_t *response)
{
	uint8_t *answer = NULL;
	size_t len = 0;
	int64_t total_ns;

	if (request->claim != 0)
		answer = request_encode_answer(response, &len);
	request_end_claim(request, answer, len, 1);
	free(answer);
	total_ns = clock_now_ns() - request->started_ns;
	metric_record_us(request->entry->added_latency,
	    (total_ns - request->target_ns) / NS_PER_US);
	request_record_answer(request, response->status, "answered");
	if (!request_is_answered(request))
		request_reply(request, request_take_caller(request), response);
	request_destroy(request);
}

/* The caller's connection ended before the answer. */
static void
request_on_gone(entry_request_t *request)
{
	entry_t *entry = request->entry;

	request->req = NULL;
	request->link = NULL;
	switch (request->state) {
	case REQUEST_CLAIMING:
		return; /* the result of the claim ends it */
	case REQUEST_TOKEN:
		rate_client_cancel(
		    entry->rates, request->workspace->name, request);
		break;
	case REQUEST_SENT:
		/* The answer of a claimed request is kept for the caller's
		 * next sending. */
		if (request->claim != 0 && request_has_running_attempt(request))
			return;
		request->may_have_run = 1;
		break;
	default:
		break;
	}
	request_cancel_attempts(request, SERVICE_OUTCOME_CANCELED);
	request_end_claim(request, NULL, 0, request->may_have_run);
	request_record_gone(request);
	request_destroy(request);
}

/*
 * The caller closed its side while the request was running. h2o keeps the
 * connection until a response is sent, so one is sent although nobody reads.
 */
static void
request_abandon(entry_request_t *request)
{
	h2o_req_t *req = request_take_caller(request);

	/* What it may have sent after this request is not run, either. */
	req->http1_is_persistent = 0;
	request_on_gone(request);
	refusal_send(req, REFUSAL_OUTCOME_UNKNOWN, "", 0);
}

static void
request_on_link_disposed(void *memory)
{
	request_link_t *link = memory;

	if (link->request != NULL)
		request_on_gone(link->request);
}

void
request_acquire(entry_request_t *request)
{
	int64_t retry_after_ms = 0;
	int64_t now_ms = clock_now_ms();
	rate_result_t result;

	request->state = REQUEST_TOKEN;
	request->token_since_ms = now_ms;
	if (test_hooks_is_off("rate")) {
		request_dispatch(request);
		return;
	}
	result =
	    rate_client_acquire(request->entry->rates, request->workspace->name,
		request, request->deadline_ms, now_ms, &retry_after_ms);
	if (result != RATE_PENDING)
		request_on_token(
		    request->entry, request, result, retry_after_ms);
}

/*
 * A request that waits long for a token gives its place in the queue back, so
 * that a workspace above its rate does not hold the places of the others.
 */
static void
request_suspend(entry_request_t *request, int64_t now_ms)
{
	if (!request->is_released ||
	    now_ms - request->token_since_ms < TOKEN_PLACE_MS)
		return;
	fair_queue_finish(request->service->queue, &request->item);
	request->is_released = 0;
	entry_service_need_pump(request->service);
}

/* The token is spent, so the request runs even above the limit. */
static void
request_resume(entry_request_t *request)
{
	if (request->is_released)
		return;
	request->is_released =
	    fair_queue_resume(request->service->queue, &request->item,
		request->workspace->id) == TM_OK;
}

void
request_on_token(
    void *ctx, void *waiting, rate_result_t result, int64_t retry_after_ms)
{
	entry_request_t *request = waiting;

	(void)ctx;
	switch (result) {
	case RATE_GRANTED:
		request_resume(request);
		request_dispatch(request);
		break;
	case RATE_REFUSED:
		request_refuse(request, REFUSAL_RATE,
		    retry_after_ms > 0 ? retry_after_ms : 1);
		break;
	default:
		request_refuse(request, REFUSAL_NO_LEADER, 0);
		break;
	}
}

static void
request_claim(entry_request_t *request)
{
	int err;

	request->state = REQUEST_CLAIMING;
	err = claim_client_start(request->entry->claims,
	    request->workspace->name, request->id, request->hash,
	    request->deadline_ms, request, clock_now_ms(), &request->claim);
	if (err != TM_OK)
		request_refuse(request, REFUSAL_NO_HOLDERS, 0);
}

static void
request_reply_claimed(
    entry_request_t *request, const uint8_t *answer, size_t len)
{
	request->claim = 0;
	if (request_is_answered(request)) {
		request_destroy(request);
		return;
	}
	if (!request_is_valid_answer(answer, len)) {
		request_refuse(request, REFUSAL_OUTCOME_UNKNOWN, 0);
		return;
	}
	request_record_answer(request, 200, "answered_before");
	request_reply_stored(
	    request, request_take_caller(request), answer, len);
	request_destroy(request);
}

void
request_on_claim(void *ctx, claim_call_t call, void *waiting,
    claim_result_t result, const uint8_t *answer, size_t len)
{
	entry_request_t *request = waiting;

	(void)ctx;
	(void)call;
	metric_record_us(request->entry->claim_latency,
	    (clock_now_ns() - request->started_ns) / NS_PER_US);
	switch (result) {
	case CLAIM_GRANTED:
		if (request_is_answered(request)) {
			request_end_claim(request, NULL, 0, 0);
			request_destroy(request);
			return;
		}
		request_acquire(request);
		return;
	case CLAIM_ANSWERED:
		request_reply_claimed(request, answer, len);
		return;
	case CLAIM_UNKNOWN:
		request->claim = 0;
		request_refuse(request, REFUSAL_OUTCOME_UNKNOWN, 0);
		return;
	case CLAIM_REUSED:
		request->claim = 0;
		request_refuse(request, REFUSAL_ID_REUSED, 0);
		return;
	default:
		request->claim = 0;
		request_refuse(request, REFUSAL_NO_HOLDERS, 0);
		return;
	}
}

void
request_release(entry_request_t *request)
{
	request->is_released = 1;
	if (!request->repeat_allowed && request->has_own_id &&
	    !test_hooks_is_off("claim"))
		request_claim(request);
	else
		request_acquire(request);
}

/* @return time to the next token of the workspace; 0 if it has some */
static int64_t
request_get_token_delay_ms(const entry_request_t *request)
{
	rate_client_info_t info = { 0 };

	if (rate_client_get_info(request->entry->rates,
		request->workspace->name, clock_now_ms(), &info) != TM_OK)
		return (0);
	if (info.tokens > 0 || (info.waiting == 0 && info.empty_ms <= 0))
		return (0);
	return (info.empty_ms > 0 ? info.empty_ms : MS_PER_SEC);
}

void
request_expire(entry_request_t *request)
{
	int64_t delay_ms = request_get_token_delay_ms(request);

	if (delay_ms > 0)
		request_refuse(request, REFUSAL_RATE, delay_ms);
	else
		request_refuse(request, REFUSAL_DEADLINE_QUEUED, 0);
}

static entry_request_t *
request_create(entry_t *entry, h2o_req_t *req, const request_options_t *options)
{
	entry_request_t *request = calloc(1, sizeof(*request));
	int i;

	if (request == NULL)
		return (NULL);
	request->entry = entry;
	request->req = req;
	request->service = options->service;
	request->workspace = options->workspace;
	request->repeat_allowed = options->repeat_allowed;
	request->key = options->key;
	request->hash = options->hash;
	request->deadline_ms = options->deadline_ms;
	request->started_ns = options->started_ns;
	request->checked_ms = clock_now_ms();
	request->item.data = request;
	request->is_head =
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD"));
	for (i = 0; i < REQUEST_ATTEMPTS; i++)
		request->attempts[i].request = request;
	request->link = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*request->link), request_on_link_disposed);
	request->link->request = request;
	DL_APPEND(entry->requests, request);
	entry->in_flight++;
	entry_workspace_hold(entry, request->workspace);
	return (request);
}

static void
request_set_id(entry_request_t *request, const char *id)
{
	request->has_own_id = id != NULL;
	if (id != NULL)
		snprintf(request->id, sizeof(request->id), "%s", id);
	else
		snprintf(request->id, sizeof(request->id), "%016llx%016llx",
		    (unsigned long long)rng_next(&request->entry->rng),
		    (unsigned long long)rng_next(&request->entry->rng));
}

static void
request_set_fingerprint(
    entry_request_t *request, const request_options_t *options)
{
	h2o_req_t *req = request->req;
	h2o_iovec_t method =
	    h2o_strdup(&req->pool, req->method.base, req->method.len);
	h2o_iovec_t path =
	    h2o_strdup(&req->pool, req->input.path.base, req->input.path.len);

	request->fingerprint = request_fingerprint_get(
	    &(request_fingerprint_parts_t){
		.workspace = request->workspace->name,
		.scope = options->route,
		.method = method.base,
		.path = path.base,
	    },
	    options->body_hash);
}

void
request_start(entry_t *entry, h2o_req_t *req, const request_options_t *options)
{
	entry_service_t *service = options->service;
	entry_request_t *request = request_create(entry, req, options);
	int64_t now_ms = clock_now_ms();
	int err;

	if (request == NULL) {
		request_refuse_early(
		    entry, req, REFUSAL_OVERLOADED, "", options->started_ns);
		return;
	}
	request_set_id(request, options->id);
	request_set_fingerprint(request, options);
	metric_add(&request->workspace->requests, 1);
	metric_add(service->requests, 1);
	if (service_view_is_blocked(
		service->view, request->fingerprint, now_ms)) {
		request_refuse(request, REFUSAL_BLOCKED, 0);
		return;
	}
	retry_budget_add_request(&service->budget);
	err = fair_queue_push(service->queue, &request->item,
	    request->workspace->id, request->deadline_ms, now_ms);
	if (err == TM_OK)
		entry_service_pump(service, now_ms);
	else if (err == TM_ETIMEDOUT)
		request_refuse(request, REFUSAL_DEADLINE_QUEUED, 0);
	else
		request_refuse(request, REFUSAL_QUEUE_FULL, MS_PER_SEC);
}

static void
request_time_out(entry_request_t *request)
{
	request_cancel_attempts(request, SERVICE_OUTCOME_TIMEOUT);
	request->may_have_run = 1;
	request_refuse(request, REFUSAL_DEADLINE_SENT, 0);
}

static int
request_is_abandoned(entry_request_t *request, int64_t now_ms)
{
	if (request->req == NULL ||
	    now_ms - request->checked_ms < ABANDON_CHECK_MS)
		return (0);
	request->checked_ms = now_ms;
	return (http_request_is_abandoned(request->req));
}

void
request_tick_all(entry_t *entry, int64_t now_ms)
{
	entry_request_t *request;
	entry_request_t *next;

	for (request = entry->requests; request != NULL; request = next) {
		next = request->next;
		if (request->state == REQUEST_SENT &&
		    now_ms >= request->deadline_ms)
			request_time_out(request);
		else if (request_is_abandoned(request, now_ms))
			request_abandon(request);
		else if (request->state == REQUEST_SENT)
			request_hedge(request, now_ms);
		else if (request->state == REQUEST_TOKEN)
			request_suspend(request, now_ms);
	}
}
