#include "entry/request.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/test_hooks.h"
#include "entry/trace.h"

/* Interval of the check that a caller still waits. */
#define ABANDON_CHECK_MS 100
#define NS_PER_US	 1000

static void request_attempt_next(entry_request_t *request);

static int
request_is_answered(const entry_request_t *request)
{
	return (request->req == NULL);
}

static int
attempt_is_running(const request_attempt_t *attempt)
{
	return (attempt->call != NULL);
}

static request_attempt_t *
request_find_idle_attempt(entry_request_t *request)
{
	int i;

	for (i = 0; i < REQUEST_ATTEMPTS; i++) {
		if (!attempt_is_running(&request->attempts[i]))
			return (&request->attempts[i]);
	}
	return (NULL);
}

static int
request_has_running_attempt(const entry_request_t *request)
{
	int i;

	for (i = 0; i < REQUEST_ATTEMPTS; i++) {
		if (attempt_is_running(&request->attempts[i]))
			return (1);
	}
	return (0);
}

static void
request_record(
    entry_request_t *request, int status, const char *reason, int unknown)
{
	int64_t now_ns = clock_now_ns();
	int64_t latency_us = (now_ns - request->started_ns) / NS_PER_US;
	trace_record_t record = {
		.reason = reason,
		.status = status,
		.is_run_unknown = unknown,
		.attempts = request->tried_count,
		.ended_ms = now_ns / NS_PER_MS,
		.latency_us = latency_us,
	};

	snprintf(
	    record.request_id, sizeof(record.request_id), "%s", request->id);
	snprintf(record.workspace, sizeof(record.workspace), "%s",
	    request->workspace->name);
	snprintf(record.service, sizeof(record.service), "%s",
	    request->service->name);
	snprintf(
	    record.target, sizeof(record.target), "%s", request->last_target);
	trace_add(request->entry->trace, &record);
	metric_record_us(request->workspace->latency, latency_us);
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

static void
request_cancel_attempt(request_attempt_t *attempt, service_outcome_t outcome)
{
	entry_request_t *request = attempt->request;
	entry_service_t *service = request->service;
	int64_t now_ms = clock_now_ms();

	if (!attempt_is_running(attempt))
		return;
	upstream_call_cancel(attempt->call);
	attempt->call = NULL;
	if (outcome != SERVICE_OUTCOME_CANCELED)
		balancer_record(&service->balancer, attempt->view.endpoint,
		    outcome, now_ms);
	service_view_finish(service->view, &attempt->view, outcome, now_ms);
}

static void
request_cancel_attempts(entry_request_t *request, service_outcome_t outcome)
{
	int i;

	for (i = 0; i < REQUEST_ATTEMPTS; i++)
		request_cancel_attempt(&request->attempts[i], outcome);
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
	request_take_caller(request);
	free(request);
	service->needs_pump = 1;
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

static void
request_count_refusal(
    entry_t *entry, entry_workspace_t *workspace, refusal_t refusal)
{
	metric_add(entry->refusals[refusal], 1);
	if (workspace == NULL)
		return;
	metric_add(refusal == REFUSAL_RATE ? workspace->refused_rate
					   : workspace->refused_other,
	    1);
}

/*
 * Refuses and frees a request. What is said about an earlier attempt goes
 * before the refusal's own "not run".
 */
static void
request_refuse(
    entry_request_t *request, refusal_t refusal, int64_t retry_after_ms)
{
	const refusal_info_t *info;
	h2o_req_t *req;

	if (request->may_have_run && !refusal_get_info(refusal)->is_run_unknown)
		refusal = REFUSAL_TARGET_FAILED;
	info = refusal_get_info(refusal);
	request_end_claim(request, NULL, 0, request->may_have_run);
	request_count_refusal(request->entry, request->workspace, refusal);
	request_record(
	    request, info->status, info->error, info->is_run_unknown);
	if (!request_is_answered(request)) {
		req = request_take_caller(request);
		refusal_send(req, refusal, request->id, retry_after_ms);
	}
	request_destroy(request);
}

void
request_refuse_early(entry_t *entry, h2o_req_t *req, refusal_t refusal,
    const char *id, int64_t started_ns)
{
	(void)started_ns;
	request_count_refusal(entry, NULL, refusal);
	refusal_send(req, refusal, id, 0);
}

static void
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
	request_record(request, response->status, "answered", 1);
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
	request_record(request, 499, "gone", request->may_have_run);
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

static service_endpoint_t *
request_pick(entry_request_t *request, int allow_trial, int *is_trial)
{
	entry_service_t *service = request->service;
	service_endpoint_t *const *endpoints;
	service_endpoint_t *endpoint = NULL;
	int64_t now_ms = clock_now_ms();
	uint32_t count;

	if (allow_trial)
		endpoint = service_view_take_trial(service->view, now_ms);
	*is_trial = endpoint != NULL;
	if (endpoint != NULL)
		return (endpoint);
	endpoints = service_view_get_endpoints(service->view, &count);
	return (balancer_pick(&service->balancer, endpoints, count,
	    request->tried, request->tried_count, now_ms));
}

/* @return 1 if another attempt makes sense after one that was not run */
static int
request_can_try_again(const entry_request_t *request)
{
	return (request->tried_count < REQUEST_TRIES_MAX &&
	    !request_is_answered(request) &&
	    clock_now_ms() < request->deadline_ms);
}

/* @return 1 if the request may be sent again although it may have run */
static int
request_can_repeat(entry_request_t *request)
{
	if (!request->repeat_allowed || !request_can_try_again(request))
		return (0);
	if (retry_budget_take(&request->service->budget) != TM_OK)
		return (0);
	metric_add(request->service->retries, 1);
	return (1);
}

static void
request_fail(entry_request_t *request, refusal_t refusal)
{
	if (request_has_running_attempt(request))
		return;
	request_refuse(request, refusal, 0);
}

static service_outcome_t
response_get_outcome(const upstream_response_t *response)
{
	if (response->status == 503 &&
	    response_has_header(response, "x-tm-shed", "1"))
		return (SERVICE_OUTCOME_SHED);
	if (response->status >= 500)
		return (SERVICE_OUTCOME_ERROR);
	if (response->status >= 400)
		return (SERVICE_OUTCOME_REJECTED);
	return (SERVICE_OUTCOME_OK);
}

static service_outcome_t
result_get_outcome(
    upstream_result_t result, const upstream_response_t *response)
{
	switch (result) {
	case UPSTREAM_COMPLETE:
		return (response_get_outcome(response));
	case UPSTREAM_REFUSED:
		return (SERVICE_OUTCOME_BROKEN);
	case UPSTREAM_BROKEN:
		return (SERVICE_OUTCOME_CANCELED);
	default:
		return (SERVICE_OUTCOME_WRONG);
	}
}

/* Tells the view and the balancer what an attempt showed. */
static void
attempt_report(request_attempt_t *attempt, upstream_result_t result,
    const upstream_response_t *response)
{
	entry_request_t *request = attempt->request;
	entry_service_t *service = request->service;
	service_endpoint_t *endpoint = attempt->view.endpoint;
	service_outcome_t outcome = result_get_outcome(result, response);
	int64_t now_ms = clock_now_ms();
	uint32_t running;
	uint32_t queued;
	uint32_t slots;

	if (response != NULL &&
	    response_read_load(response, &running, &queued, &slots))
		service_view_set_load(endpoint, running, queued, slots, now_ms);
	if (outcome == SERVICE_OUTCOME_OK)
		retry_budget_record(
		    &service->budget, now_ms - attempt->view.started_ms);
	if (result == UPSTREAM_BROKEN)
		service_view_report_crash(
		    service->view, request->fingerprint, endpoint, now_ms);
	balancer_record(&service->balancer, endpoint,
	    result == UPSTREAM_BROKEN ? SERVICE_OUTCOME_BROKEN : outcome,
	    now_ms);
	service_view_finish(service->view, &attempt->view, outcome, now_ms);
}

static void
request_handle_complete(
    entry_request_t *request, const upstream_response_t *response)
{
	switch (response_get_outcome(response)) {
	case SERVICE_OUTCOME_SHED:
		metric_add(request->service->sheds, 1);
		if (request_can_try_again(request) &&
		    !request_has_running_attempt(request))
			request_attempt_next(request);
		else
			request_fail(request, REFUSAL_ALL_SHED);
		return;
	case SERVICE_OUTCOME_ERROR:
		if (request_has_running_attempt(request)) {
			request->may_have_run = 1;
			return;
		}
		if (request_can_repeat(request)) {
			request->may_have_run = 1;
			request_attempt_next(request);
			return;
		}
		break;
	default:
		break;
	}
	request_cancel_attempts(request, SERVICE_OUTCOME_CANCELED);
	request_finish_ok(request, response);
}

static void
request_handle_failure(entry_request_t *request, upstream_result_t result)
{
	if (request_has_running_attempt(request)) {
		request->may_have_run |= result != UPSTREAM_REFUSED;
		return;
	}
	if (result == UPSTREAM_REFUSED) {
		if (request_can_try_again(request))
			request_attempt_next(request);
		else
			request_fail(request, REFUSAL_NO_TARGET);
		return;
	}
	request->may_have_run = 1;
	if (request_can_repeat(request))
		request_attempt_next(request);
	else
		request_fail(request, REFUSAL_TARGET_FAILED);
}

static void
attempt_on_done(
    void *ctx, upstream_result_t result, const upstream_response_t *response)
{
	request_attempt_t *attempt = ctx;
	entry_request_t *request = attempt->request;

	attempt->call = NULL;
	request->target_ns += clock_now_ns() - attempt->started_ns;
	attempt_report(attempt, result, response);
	if (result == UPSTREAM_COMPLETE)
		request_handle_complete(request, response);
	else
		request_handle_failure(request, result);
}

/* Writes the request to a target. @return 0 or a negative error number */
static int
attempt_start(
    request_attempt_t *attempt, service_endpoint_t *endpoint, int is_trial)
{
	entry_request_t *request = attempt->request;
	entry_service_t *service = request->service;
	int64_t now_ms = clock_now_ms();
	buffer_t bytes = { 0 };
	upstream_request_t call = {
		.is_head = request->is_head,
		.is_fresh = !request->repeat_allowed,
		.done = attempt_on_done,
		.ctx = attempt,
	};
	int err;

	err = uv_ip4_addr(endpoint->ip, endpoint->port, &call.to) == 0
	    ? request_encode(request, request->deadline_ms - now_ms, &bytes)
	    : TM_EINVAL;
	call.bytes = bytes.bytes;
	call.len = bytes.len;
	attempt->started_ns = clock_now_ns();
	if (err == TM_OK)
		err = upstream_call_start(
		    request->entry->upstream, &call, &attempt->call);
	buffer_release(&bytes);
	if (err != TM_OK)
		return (err);
	request->tried[request->tried_count++] = endpoint->id;
	memcpy(request->last_target, endpoint->target,
	    sizeof(request->last_target));
	service_view_start(
	    service->view, &attempt->view, endpoint, is_trial, now_ms);
	metric_add(service->attempts, 1);
	request->state = REQUEST_SENT;
	return (TM_OK);
}

/* Sends the request; its token is spent and its claim granted. */
static void
request_dispatch(entry_request_t *request)
{
	entry_t *entry = request->entry;
	request_attempt_t *attempt = request_find_idle_attempt(request);
	service_endpoint_t *endpoint;
	int is_trial;

	/* The request's own attempts may have crashed targets, or it waited
	 * while others like it did. */
	if (service_view_is_blocked(
		request->service->view, request->fingerprint, clock_now_ms())) {
		request_refuse(request, REFUSAL_BLOCKED, 0);
		return;
	}
	endpoint = request_pick(request,
	    request->repeat_allowed && request->tried_count == 0, &is_trial);
	if (endpoint == NULL) {
		request_refuse(request, REFUSAL_NO_TARGET, 0);
		return;
	}
	if (request->claim != 0 &&
	    !claim_client_may_dispatch(
		entry->claims, request->claim, clock_now_ms())) {
		request_refuse(request, REFUSAL_NO_HOLDERS, 0);
		return;
	}
	if (attempt_start(attempt, endpoint, is_trial) != TM_OK)
		request_refuse(request, REFUSAL_OVERLOADED, 0);
}

static void
request_acquire(entry_request_t *request)
{
	int64_t retry_after_ms = 0;
	int64_t now_ms = clock_now_ms();
	rate_result_t result;

	request->state = REQUEST_TOKEN;
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

void
request_on_token(
    void *ctx, void *waiting, rate_result_t result, int64_t retry_after_ms)
{
	entry_request_t *request = waiting;

	(void)ctx;
	switch (result) {
	case RATE_GRANTED:
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

/* Another attempt after one that ended; it needs its own token. */
static void
request_attempt_next(entry_request_t *request)
{
	request_acquire(request);
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
	request_record(request, 200, "answered_before", 1);
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

void
request_expire(entry_request_t *request)
{
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

	request->fingerprint = service_fingerprint(request->workspace->name,
	    options->route, method.base, path.base, options->body_hash);
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
	metric_add(request->workspace->requests, 1);
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

/* Sends a second attempt of a repeatable request that takes unusually long. */
static void
request_hedge(entry_request_t *request, int64_t now_ms)
{
	entry_service_t *service = request->service;
	request_attempt_t *first = &request->attempts[0];
	request_attempt_t *idle = request_find_idle_attempt(request);
	service_endpoint_t *endpoint;
	int64_t delay_ms;
	int64_t retry_after_ms;
	rate_result_t token;
	int is_trial;

	if (request->is_hedged || !request->repeat_allowed || idle == NULL ||
	    first->call == NULL || request->tried_count >= REQUEST_TRIES_MAX)
		return;
	delay_ms = retry_budget_get_hedge_delay_ms(
	    &service->budget, request->deadline_ms - now_ms);
	if (delay_ms < 0 || now_ms - first->view.started_ms < delay_ms)
		return;
	request->is_hedged = 1;
	endpoint = request_pick(request, 0, &is_trial);
	if (endpoint == NULL || retry_budget_take(&service->budget) != TM_OK)
		return;
	token = rate_client_acquire(request->entry->rates,
	    request->workspace->name, idle, now_ms, now_ms, &retry_after_ms);
	if (token == RATE_PENDING)
		rate_client_cancel(
		    request->entry->rates, request->workspace->name, idle);
	if (token != RATE_GRANTED)
		return;
	if (attempt_start(idle, endpoint, 0) == TM_OK)
		metric_add(service->hedges, 1);
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
	}
}
