#include "gate/gate_request.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "fleet/fleet_config.h"
#include "gate/gate_attempt.h"
#include "gate/gate_crash_check.h"
#include "gate/gate_metrics.h"
#include "gate/gate_upload_permit.h"

/* Interval of the check that the caller's connection is still open. */
#define ABANDON_CHECK_INTERVAL_MS 100
/* A request is delayed for want of a leader or a target up to this fraction of
 * its time; the remainder suffices for most responses. */
#define DELAY_MAX_SHARE 0.7
/* Once no leader has answered for longer than an election takes, a request is
 * delayed up to this fraction of its soft deadline only, so that the caller is
 * refused early. */
#define NO_LEADER_DELAY_SHARE 0.6
/* Interval at which a held request tries again. */
#define DELAY_STEP_MS 60
/* One of this many requests is logged with all its steps. */
#define LOG_SAMPLE_DIVISOR 64
/* Retry-After of refusals without a known better time. */
#define RETRY_AFTER_DEFAULT_MS 400
/* Retry-After while this VM drains: another one can take the request now. */
#define RETRY_AFTER_DRAINING_MS 20
/* Retry-After while all targets of a service are evacuated: evacuations last
 * longer than a caller waits, and a caller should miss little of their end. */
#define RETRY_AFTER_EVACUATED_MS 2000

int
gate_request_is_answered(const gate_request_t *request)
{
	return (request->req == NULL);
}

/* Detaches h2o's request, which the answer is about to end. */
static h2o_req_t *
detach_caller(gate_request_t *request)
{
	h2o_req_t *req = request->req;

	request->req = NULL;
	if (request->link != NULL)
		request->link->request = NULL;
	request->link = NULL;
	/* Closes the connection: the next request goes to another VM. */
	if (gate_stop_is_requested(&request->gate->stop) && req != NULL)
		req->http1_is_persistent = 0;
	return (req);
}

static void
destroy(gate_request_t *request)
{
	gate_t *gate = request->gate;

	if (request->permit_id != 0)
		gate_link_cancel_permit(gate->link, request->permit_id);
	gate_upload_permit_finish(request, GATE_UPLOAD_UNANSWERED);
	DL_DELETE(gate->requests, request);
	gate->in_flight--;
	detach_caller(request);
	free(request);
}

static void
log_answer(const gate_request_t *request, int status, const char *reason)
{
	int64_t total_ms = clock_now_ms() - request->started_ms;

	gate_metrics_count_answer(
	    request->gate, request->workspace, status, reason, total_ms);
	LOG_EVENT(960,
	    status < 400 && !request->is_sampled ? LOG_LEVEL_DEBUG
						 : LOG_LEVEL_INFO,
	    "request ended", LOG_TEXT("request_id", request->id),
	    LOG_TEXT("service", request->service),
	    LOG_TEXT("workspace", request->workspace),
	    LOG_NUM("status", status), LOG_TEXT("reason", reason),
	    LOG_NUM("tries", request->tried_count),
	    LOG_NUM("may_have_run", request->may_have_executed),
	    LOG_NUM("total_ms", total_ms));
}

/* @return time for Retry-After where no better one is known */
static int64_t
get_default_retry_ms(gate_refusal_t refusal)
{
	switch (refusal) {
	case GATE_REFUSAL_DRAINING:
		return (RETRY_AFTER_DRAINING_MS);
	case GATE_REFUSAL_EVACUATED:
		return (RETRY_AFTER_EVACUATED_MS);
	default:
		return (RETRY_AFTER_DEFAULT_MS);
	}
}

void
gate_request_refuse(
    gate_request_t *request, gate_refusal_t refusal, int64_t retry_after_ms)
{
	const gate_refusal_info_t *info;
	h2o_req_t *req;

	if (request->may_have_executed &&
	    !gate_refusal_get_info(refusal)->is_execution_unknown)
		refusal = GATE_REFUSAL_TARGET_FAILED;
	info = gate_refusal_get_info(refusal);
	if (info->status != 503 && info->status != 429)
		retry_after_ms = 0;
	else if (retry_after_ms == 0)
		retry_after_ms = get_default_retry_ms(refusal);
	log_answer(request, info->status, info->error);
	if (!gate_request_is_answered(request)) {
		req = detach_caller(request);
		gate_refusal_send(req, refusal, retry_after_ms);
	}
	destroy(request);
}

void
gate_request_finish(
    gate_request_t *request, const upstream_response_t *response)
{
	log_answer(request, response->status, "answered");
	if (!gate_request_is_answered(request))
		gate_wire_reply(request, detach_caller(request), response);
	destroy(request);
}

/* The caller's connection ended before the answer. */
static void
on_caller_closed(gate_request_t *request)
{
	request->req = NULL;
	request->link = NULL;
	gate_attempt_cancel(request);
	log_answer(request, 0, "the caller left");
	destroy(request);
}

/*
 * The caller closed its side while the request was running. h2o keeps the
 * connection until a response is sent, so one is sent although nobody reads.
 */
static void
abandon(gate_request_t *request)
{
	h2o_req_t *req = detach_caller(request);

	/* What it may have sent after this request is not run, either. */
	req->http1_is_persistent = 0;
	on_caller_closed(request);
	gate_refusal_send(req, GATE_REFUSAL_TARGET_FAILED, 0);
}

static void
on_link_disposed(void *memory)
{
	gate_request_link_t *link = memory;

	if (link->request != NULL)
		on_caller_closed(link->request);
}

/* @return time until which a request may be delayed before it is sent */
static int64_t
get_delay_end_ms(const gate_request_t *request)
{
	int64_t delay_ms = (int64_t)(DELAY_MAX_SHARE *
	    (double)(request->deadline_ms - request->started_ms));

	if (gate_link_get_answer_age_ms(request->gate->link, clock_now_ms()) >
	    GATE_ELECTION_MAX_MS)
		delay_ms = (int64_t)(NO_LEADER_DELAY_SHARE *
		    (double)request->soft_deadline_ms);
	return (request->started_ms + delay_ms);
}

/* @return bound of the latency of the request's service; -1: unknown */
static int64_t
get_expected_ms(const gate_request_t *request)
{
	const gate_service_t *service =
	    gate_table_find_service(request->gate->table, request->service);

	return (service != NULL ? latency_get_tail_ms(&service->latency) : -1);
}

int
gate_request_has_time(const gate_request_t *request, int64_t wait_ms)
{
	const gate_stop_t *stop = &request->gate->stop;

	return (!gate_stop_is_requested(stop) ||
	    gate_stop_has_time(stop, request->deadline_ms,
		get_expected_ms(request), clock_now_ms() + wait_ms));
}

static int
may_hold(const gate_request_t *request, int64_t now_ms)
{
	const gate_stop_t *stop = &request->gate->stop;

	return (!gate_stop_is_requested(stop) ||
	    gate_stop_may_hold(stop, get_expected_ms(request), now_ms));
}

static void
sleep_until(gate_request_t *request, gate_refusal_t reason, int64_t wake_ms)
{
	request->state = GATE_STATE_DELAYED;
	request->pending_refusal = reason;
	request->wake_ms = wake_ms;
}

void
gate_request_schedule(
    gate_request_t *request, gate_refusal_t reason, int64_t wait_ms)
{
	if (!gate_request_has_time(request, wait_ms)) {
		gate_request_refuse(request, GATE_REFUSAL_DRAINING, 0);
		return;
	}
	sleep_until(request, reason, clock_now_ms() + wait_ms);
}

void
gate_request_delay(gate_request_t *request, gate_refusal_t reason)
{
	int64_t now_ms = clock_now_ms();

	/* Another VM can wait as well, and has the time for it. */
	if (!may_hold(request, now_ms) || !gate_request_has_time(request, 0)) {
		gate_request_refuse(request, GATE_REFUSAL_DRAINING, 0);
		return;
	}
	if (now_ms + DELAY_STEP_MS > get_delay_end_ms(request) ||
	    now_ms + DELAY_STEP_MS > request->deadline_ms) {
		gate_request_refuse(request, reason, 0);
		return;
	}
	sleep_until(request, reason, now_ms + DELAY_STEP_MS);
}

/* @return 1 if the request is blocked, and so has been refused and freed */
static int
refuse_blocked(gate_request_t *request)
{
	int64_t block_ms = gate_crash_check_get_block_ms(request);

	if (block_ms == 0)
		return (0);
	gate_request_refuse(request, GATE_REFUSAL_BLOCKED, block_ms);
	return (1);
}

/* Sends a request that has its token, once its key is known to be valid. */
void
gate_request_proceed(gate_request_t *request)
{
	gate_t *gate = request->gate;
	gate_refusal_t refusal;

	if (refuse_blocked(request))
		return;
	if (request->config_version != gate->config->version &&
	    !gate_request_is_answered(request)) {
		if (!gate_front_is_allowed(request, &refusal)) {
			gate_request_refuse(request, refusal, 0);
			return;
		}
		request->config_version = gate->config->version;
	}
	if (request->workspace_id != 0 &&
	    !gate_link_has_key_lease(gate->link, clock_now_ms())) {
		gate_request_delay(request, GATE_REFUSAL_KEYS_UNSURE);
		return;
	}
	gate_attempt_dispatch(request);
}

/* Counts a token as consumed, now or at the end of its delay. */
static void
record_token(gate_request_t *request, uint32_t wait_ms)
{
	int64_t now_ms = clock_now_ms();

	request->has_token = 1;
	if (request->has_rate)
		gate_usage_count(request->gate->usage, request->workspace_id,
		    now_ms, now_ms + wait_ms);
}

/* @return 1 if the gate's allowance has a token */
static int
may_consume_locally(gate_request_t *request)
{
	gate_t *gate = request->gate;
	const fleet_workspace_t *workspace =
	    fleet_config_find_workspace(gate->config, request->workspace_id);
	gate_allowance_query_t query = {
		.workspace = workspace,
		.has_headroom =
		    !gate_link_is_near_limit(gate->link, request->workspace_id),
		.gates = gate_link_get_gate_count(gate->link),
	};

	query.used = gate_usage_get(
	    gate->usage, request->workspace_id, clock_now_ms(), &query.future);
	return (workspace != NULL &&
	    gate_allowance_admits(gate->allowance, &query));
}

/* Consumes a token, reports it to the leader and sends the request. */
static void
consume_token(gate_request_t *request)
{
	record_token(request, 0);
	gate_link_report_consumed(request->gate->link, request->workspace_id,
	    fleet_name_hash(request->service), clock_now_ms());
	gate_request_proceed(request);
}

/* A request over the rate of its workspace asks nothing of its service. */
static void
uncount(const gate_request_t *request)
{
	gate_service_t *service =
	    gate_table_find_service(request->gate->table, request->service);

	if (service != NULL)
		gate_share_uncount(&service->share, request->priority,
		    request->soft_deadline_ms);
}

/* gate_permit_cb */
static void
on_token(void *ctx, const gate_permit_reply_t *reply)
{
	gate_request_t *request = ctx;
	uint32_t wait_ms = reply->wait_ms;

	request->permit_id = 0;
	switch (reply->result) {
	case GATE_PERMIT_GRANTED:
		record_token(request, wait_ms);
		if (wait_ms > 0) {
			gate_request_schedule(
			    request, GATE_REFUSAL_RATE, wait_ms);
			return;
		}
		gate_request_proceed(request);
		return;
	case GATE_PERMIT_REFUSED:
		uncount(request);
		gate_request_refuse(request, GATE_REFUSAL_RATE, wait_ms);
		return;
	default:
		break;
	}
	if (may_consume_locally(request))
		consume_token(request);
	else
		gate_request_delay(request, GATE_REFUSAL_NO_LEADER);
}

static void
request_token(gate_request_t *request)
{
	Tm__Fleet__Spend msg = TM__FLEET__SPEND__INIT;
	gate_t *gate = request->gate;

	msg.kind = FLEET_SPEND_REQUEST;
	msg.workspace = request->workspace_id;
	msg.service = fleet_name_hash(request->service);
	request->state = GATE_STATE_TOKEN_PERMIT;
	request->permit_id = gate_link_request_permit(
	    gate->link, &msg, on_token, request, clock_now_ms());
	if (request->permit_id == 0)
		gate_request_refuse(request, GATE_REFUSAL_OVERLOADED, 0);
}

/* @return 1 if the leader's decision on a full service, or the gate's own without
 * a leader, admits the request */
static int
share_admits(
    const gate_request_t *request, gate_service_t *service, int64_t now_ms)
{
	gate_t *gate = request->gate;
	const gate_share_query_t query = {
		.priority = request->priority,
		.soft_deadline_ms = request->soft_deadline_ms,
		.workspace = request->workspace_id,
		.route = request->route_id,
		.lease_ms = gate->lease_ms,
		.now_ms = now_ms,
	};
	double admitted = gate_share_get(&service->share, &query);

	return (admitted >= 1 || rng_unit(&gate->rng) < admitted);
}

/* Admission by utilization is decided once, when the request arrives. */
static int
service_admits(
    const gate_request_t *request, gate_service_t *service, int64_t now_ms)
{
	if (request->state != GATE_STATE_NEW || service == NULL)
		return (1);
	if ((request->gate->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0)
		return (share_admits(request, service, now_ms));
	return (gate_table_admits(request->gate->table, service,
	    request->soft_deadline_ms, request->priority, now_ms));
}

/* @return time until the caller of a request that a full service does not admit
 * should return; 0: the default */
static int64_t
get_return_ms(
    const gate_request_t *request, gate_service_t *service, int64_t now_ms)
{
	if ((request->gate->features & FLEET_FEATURE_SCARCE_CAPACITY) == 0)
		return (0);
	return (gate_share_take_return_ms(&service->share, now_ms));
}

/* Obtains a token for the request, then sends it. */
static void
admit(gate_request_t *request)
{
	gate_t *gate = request->gate;
	int64_t now_ms = clock_now_ms();
	gate_service_t *service;

	if (request->has_token) {
		gate_request_proceed(request);
		return;
	}
	/* Consumes no token. */
	if (refuse_blocked(request))
		return;
	if (!gate_request_has_time(request, 0)) {
		gate_request_refuse(request, GATE_REFUSAL_DRAINING, 0);
		return;
	}
	service = gate_table_find_service(gate->table, request->service);
	if (service != NULL && gate_service_is_evacuated(service)) {
		gate_request_refuse(request, GATE_REFUSAL_EVACUATED, 0);
		return;
	}
	if (!service_admits(request, service, now_ms)) {
		gate_request_refuse(request, GATE_REFUSAL_SERVICE_FULL,
		    get_return_ms(request, service, now_ms));
		return;
	}
	if (request->has_rate && !gate_link_is_current(gate->link, now_ms)) {
		if (!may_consume_locally(request)) {
			gate_request_delay(request, GATE_REFUSAL_NO_LEADER);
			return;
		}
	} else if (request->has_rate &&
	    (gate_link_is_near_limit(gate->link, request->workspace_id) ||
		!may_consume_locally(request))) {
		request_token(request);
		return;
	}
	consume_token(request);
}

static gate_request_t *
create(gate_t *gate, h2o_req_t *req, const gate_request_options_t *options)
{
	gate_request_t *request = calloc(1, sizeof(*request));
	const fleet_workspace_t *workspace = options->workspace;

	if (request == NULL)
		return (NULL);
	request->gate = gate;
	request->req = req;
	if (options->id.len <= GATE_REQUEST_ID_MAX_BYTES)
		memcpy(request->id, options->id.base, options->id.len);
	snprintf(
	    request->service, sizeof(request->service), "%s", options->service);
	if (workspace != NULL) {
		snprintf(request->workspace, sizeof(request->workspace), "%s",
		    workspace->name);
		request->workspace_id = workspace->id;
		request->has_rate = workspace->rate_per_s > 0;
	}
	request->config_version = gate->config->version;
	request->route_id = fleet_name_hash(options->route->name);
	request->repeat_allowed = options->route->repeat_allowed;
	request->attempts_max = options->route->attempts_max;
	request->priority = fleet_route_get_priority(options->route, workspace);
	request->soft_deadline_ms = options->route->soft_deadline_ms > 0
	    ? options->route->soft_deadline_ms
	    : options->deadline_ms - options->started_ms;
	request->cost_key = (gate_cost_key_t){
		.class_id = gate_cost_get_class(options->route->name,
		    req->method.base, req->method.len, req->entity.len),
		.workspace = request->workspace_id,
	};
	request->started_ms = options->started_ms;
	request->deadline_ms = options->deadline_ms;
	request->checked_ms = options->started_ms;
	request->is_head =
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD"));
	request->is_sampled =
	    fleet_name_hash(request->id) % LOG_SAMPLE_DIVISOR == 0;
	request->link = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*request->link), on_link_disposed);
	request->link->request = request;
	DL_APPEND(gate->requests, request);
	gate->in_flight++;
	return (request);
}

void
gate_request_refuse_early(gate_t *gate, h2o_req_t *req, gate_refusal_t refusal)
{
	const gate_refusal_info_t *info = gate_refusal_get_info(refusal);
	h2o_iovec_t id = http_request_get_header(
	    req, gate_get_dialect(gate)->headers.request_id);
	char text[GATE_REQUEST_ID_MAX_BYTES + 1] = "";

	if (id.len <= GATE_REQUEST_ID_MAX_BYTES && id.len > 0)
		memcpy(text, id.base, id.len);
	LOG_EVENT(961, LOG_LEVEL_INFO, "request refused",
	    LOG_TEXT("request_id", &text[0]), LOG_NUM("status", info->status),
	    LOG_TEXT("reason", info->error),
	    LOG_NUM(
		"version", gate->config != NULL ? gate->config->version : 0));
	gate_metrics_count_answer(gate, "", info->status, info->error, 0);
	if (gate_stop_is_requested(&gate->stop))
		req->http1_is_persistent = 0;
	gate_refusal_send(req, refusal,
	    info->status == 503 ? get_default_retry_ms(refusal) : 0);
}

void
gate_request_start(
    gate_t *gate, h2o_req_t *req, const gate_request_options_t *options)
{
	gate_request_t *request = NULL;

	if (gate->in_flight < GATE_IN_FLIGHT_MAX)
		request = create(gate, req, options);
	if (request == NULL) {
		gate_request_refuse_early(gate, req, GATE_REFUSAL_OVERLOADED);
		return;
	}
	metric_add(gate->metric_requests, 1);
	admit(request);
}

static int
is_abandoned(gate_request_t *request, int64_t now_ms)
{
	if (request->req == NULL ||
	    now_ms - request->checked_ms < ABANDON_CHECK_INTERVAL_MS)
		return (0);
	request->checked_ms = now_ms;
	return (http_request_is_abandoned(request->req));
}

static void
expire(gate_request_t *request)
{
	if (request->state == GATE_STATE_SENT) {
		gate_attempt_time_out(request);
		return;
	}
	gate_request_refuse(request, GATE_REFUSAL_DEADLINE_WAITING, 0);
}

void
gate_request_tick_all(gate_t *gate, int64_t now_ms)
{
	gate_request_t *request;
	gate_request_t *next;

	for (request = gate->requests; request != NULL; request = next) {
		next = request->next;
		if (now_ms >= request->deadline_ms)
			expire(request);
		else if (is_abandoned(request, now_ms))
			abandon(request);
		else if (request->state == GATE_STATE_SENT)
			gate_attempt_tick(request, now_ms);
		else if (request->state == GATE_STATE_DELAYED &&
		    now_ms >= request->wake_ms)
			admit(request);
	}
}

void
gate_request_end_all(gate_t *gate)
{
	gate_request_t *request;
	gate_request_t *next;

	DL_FOREACH_SAFE(gate->requests, request, next) {
		gate_attempt_cancel(request);
		gate_request_refuse(request,
		    request->may_have_executed ? GATE_REFUSAL_STOPPED
					       : GATE_REFUSAL_DRAINING,
		    0);
	}
}
