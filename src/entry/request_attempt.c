#include "entry/request_attempt.h"

#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/test_hooks.h"
#include "entry/verify.h"

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

int
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

void
request_cancel_attempts(entry_request_t *request, service_outcome_t outcome)
{
	int i;

	for (i = 0; i < REQUEST_ATTEMPTS; i++)
		request_cancel_attempt(&request->attempts[i], outcome);
}

static service_endpoint_t *
request_pick(entry_request_t *request, int allow_probe, int *is_trial)
{
	entry_service_t *service = request->service;
	service_endpoint_t *const *endpoints;
	service_endpoint_t *endpoint = NULL;
	int64_t now_ms = clock_now_ms();
	uint32_t count;

	if (allow_probe)
		endpoint = service_view_take_probe(
		    service->view, request->repeat_allowed, now_ms);
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
	if (retry_budget_consume(&request->service->budget) != TM_OK)
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
	if (response != NULL)
		return (response_get_outcome(response));
	switch (result) {
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
			request_acquire(request);
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
			request_acquire(request);
			return;
		}
		break;
	default:
		break;
	}
	request_cancel_attempts(request, SERVICE_OUTCOME_SUPERSEDED);
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
			request_acquire(request);
		else
			request_fail(request, REFUSAL_NO_TARGET);
		return;
	}
	request->may_have_run = 1;
	if (request_can_repeat(request))
		request_acquire(request);
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
	if (response != NULL &&
	    verify_response(response, request->id, request->is_head) !=
		VERIFY_OK) {
		result = UPSTREAM_MALFORMED;
		response = NULL;
	}
	if (result == UPSTREAM_MALFORMED)
		metric_add(request->service->wrong, 1);
	attempt_report(attempt, result, response);
	if (response != NULL)
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
	if (is_trial)
		LOG_EVENT(710, LOG_LEVEL_DEBUG, "trial request sent",
		    LOG_TEXT("service", service->name),
		    LOG_TEXT("target", endpoint->target),
		    LOG_TEXT("request_id", request->id));
	request->state = REQUEST_SENT;
	return (TM_OK);
}

/* Sends the request; its token is spent and its claim granted. */
void
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
	endpoint = request_pick(request, request->tried_count == 0, &is_trial);
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

/* Sends a second attempt of a repeatable request that takes unusually long. */
void
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
	if (endpoint == NULL || retry_budget_consume(&service->budget) != TM_OK)
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
