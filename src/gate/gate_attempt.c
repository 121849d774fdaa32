#include "gate/gate_attempt.h"

#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "entry/forward.h"
#include "gate/gate_admission.h"
#include "gate/gate_choice.h"
#include "gate/gate_crash_check.h"
#include "gate/gate_evidence.h"
#include "gate/gate_limit_permit.h"
#include "gate/gate_metrics.h"
#include "gate/gate_probe.h"
#include "gate/gate_stall.h"
#include "gate/gate_upload_permit.h"

/* Connect timeout; nothing was sent by then. */
#define CONNECT_MAX_MS 300
/* Callers come back after this time at the latest: other targets may have come. */
#define PAUSED_RETRY_MAX_MS 60000
/* With less time left, a retry is not worth an attempt. */
#define RETRY_REMAINING_MIN_MS 20
/* A 504 this long before the deadline that the target was given still counts
 * as caused by that deadline. */
#define DEADLINE_SLACK_MS 50

/* Detaches the target of the attempt that has ended. A permit that would have
 * ended it early is of no use any more. */
static gate_target_t *
end_attempt(gate_request_t *request)
{
	gate_target_t *target = request->target;

	if (request->permit_id != 0)
		gate_link_cancel_permit(
		    request->gate->link, request->permit_id);
	request->permit_id = 0;
	gate_upload_permit_finish(request, GATE_UPLOAD_UNANSWERED);
	target->excess -= request->excess;
	request->excess = 0;
	request->target = NULL;
	request->call = NULL;
	return (target);
}

void
gate_attempt_cancel(gate_request_t *request)
{
	gate_target_t *target;

	if (request->call == NULL)
		return;
	request->may_have_executed |= upstream_call_is_sent(request->call);
	upstream_call_cancel(request->call);
	target = end_attempt(request);
	if (request->is_probe)
		gate_evidence_report(
		    request, target, FLEET_EVIDENCE_PROBE_UNUSED, 1);
	gate_target_release(target);
}

static int
can_retry(const gate_request_t *request)
{
	return (request->attempts_sent < request->attempts_max &&
	    request->tried_count < GATE_TRIED_MAX &&
	    !gate_request_is_answered(request) &&
	    clock_now_ms() + RETRY_REMAINING_MIN_MS < request->deadline_ms);
}

/* gate_permit_cb */
static void
on_retry_permit(void *ctx, const gate_permit_reply_t *reply)
{
	gate_request_t *request = ctx;

	request->permit_id = 0;
	if (reply->result == GATE_PERMIT_GRANTED)
		gate_request_proceed(request);
	else
		gate_request_refuse(request, request->pending_refusal, 0);
}

/* Asks for a permit from the service's retry budget. @return its id, or 0 */
static uint32_t
ask_for_retry(gate_request_t *request, gate_permit_cb done)
{
	Tm__Fleet__Spend msg = TM__FLEET__SPEND__INIT;

	msg.kind = FLEET_SPEND_RETRY;
	msg.service = fleet_name_hash(request->service);
	return (gate_link_request_permit(
	    request->gate->link, &msg, done, request, clock_now_ms()));
}

/* Repeats a request whose attempt has ended, once there is a permit. */
static void
request_retry_permit(gate_request_t *request, gate_refusal_t pending_refusal)
{
	request->pending_refusal = pending_refusal;
	request->state = GATE_STATE_RETRY_PERMIT;
	request->permit_id = ask_for_retry(request, on_retry_permit);
	if (request->permit_id == 0)
		gate_request_refuse(request, pending_refusal, 0);
}

static fleet_evidence_t
response_get_evidence(const gate_request_t *request,
    const upstream_response_t *response, int *is_not_executed)
{
	const dialect_headers_t *names =
	    &gate_get_dialect(request->gate)->headers;

	*is_not_executed =
	    forward_find_header(response, names->not_run) != NULL ||
	    response->status == 421;
	if (response->status == 421)
		return (FLEET_EVIDENCE_WRONG_TARGET);
	if (*is_not_executed)
		return (FLEET_EVIDENCE_SHED);
	if (response->status < 300 &&
	    forward_find_header(response, names->signature) == NULL)
		return (FLEET_EVIDENCE_WRONG);
	return (response->status >= 500 ? FLEET_EVIDENCE_ERROR
					: FLEET_EVIDENCE_SUCCESS);
}

/* @return 1 if the target stopped at the deadline that it was given, which is
 *         no failure of the target */
static int
stopped_at_deadline(
    const gate_request_t *request, const upstream_response_t *response)
{
	return (response->status == 504 && !request->is_probe &&
	    clock_now_ms() - request->sent_ms + DEADLINE_SLACK_MS >=
		request->attempt_timeout_ms);
}

/* The target reported that it did not execute the request. */
static void
handle_not_executed(gate_request_t *request)
{
	request->attempts_sent++;
	if (can_retry(request))
		request_retry_permit(request, GATE_REFUSAL_ALL_SHED);
	else
		gate_request_refuse(request, GATE_REFUSAL_ALL_SHED, 0);
}

static void
handle_failure(gate_request_t *request, fleet_evidence_t kind,
    const upstream_response_t *response)
{
	request->attempts_sent++;
	request->may_have_executed = 1;
	if (request->repeat_allowed && can_retry(request))
		request_retry_permit(request, GATE_REFUSAL_TARGET_FAILED);
	else if (kind == FLEET_EVIDENCE_ERROR)
		gate_request_finish(request, response);
	else
		gate_request_refuse(request, GATE_REFUSAL_TARGET_FAILED, 0);
}

static void
handle_response(gate_request_t *request, gate_target_t *target,
    const upstream_response_t *response)
{
	int64_t received_ms = clock_now_ms();
	fleet_evidence_t kind;
	int is_not_executed;

	kind = response_get_evidence(request, response, &is_not_executed);
	/* Another target says nothing of this one. */
	if (response->status != 421)
		gate_evidence_record_signals(request, target, response);
	if (kind == FLEET_EVIDENCE_SUCCESS)
		gate_evidence_record_cost(request, target, received_ms);
	if (!stopped_at_deadline(request, response))
		gate_evidence_record(request, target, kind, response->status);
	gate_idle_add(&target->idle, clock_now_ms());
	gate_target_release(target);
	if (!is_not_executed && !gate_request_is_answered(request))
		gate_crash_check_record_answer(request);
	if (is_not_executed)
		handle_not_executed(request);
	else if (kind == FLEET_EVIDENCE_SUCCESS)
		gate_request_finish(request, response);
	else
		handle_failure(request, kind, response);
}

/* Nothing was sent, so another target may get the request without a permit. */
static void
handle_unreachable(gate_request_t *request, gate_target_t *target)
{
	gate_evidence_record(request, target, FLEET_EVIDENCE_UNREACHABLE, 0);
	gate_target_release(target);
	if (gate_request_is_answered(request) ||
	    request->tried_count >= GATE_TRIED_MAX)
		gate_request_refuse(request, GATE_REFUSAL_NO_TARGET, 0);
	else
		gate_request_proceed(request);
}

static gate_upload_end_t
get_upload_end(upstream_result_t result)
{
	switch (result) {
	case UPSTREAM_COMPLETE:
		return (GATE_UPLOAD_ANSWERED);
	case UPSTREAM_BROKEN:
	case UPSTREAM_TRUNCATED:
		return (GATE_UPLOAD_BROKEN);
	default:
		return (GATE_UPLOAD_UNANSWERED);
	}
}

/* upstream_cb */
static void
on_done(
    void *ctx, upstream_result_t result, const upstream_response_t *response)
{
	gate_request_t *request = ctx;
	gate_target_t *target;
	fleet_evidence_t kind = FLEET_EVIDENCE_WRONG;

	gate_upload_permit_finish(request, get_upload_end(result));
	target = end_attempt(request);
	switch (result) {
	case UPSTREAM_COMPLETE:
		handle_response(request, target, response);
		return;
	case UPSTREAM_REFUSED:
		handle_unreachable(request, target);
		return;
	case UPSTREAM_BROKEN:
	case UPSTREAM_TRUNCATED:
		kind = FLEET_EVIDENCE_BROKEN;
		break;
	default:
		break;
	}
	gate_evidence_record(request, target, kind, 0);
	if (kind == FLEET_EVIDENCE_BROKEN && !gate_request_is_answered(request))
		gate_crash_check_start(request, target);
	gate_target_release(target);
	handle_failure(request, kind, NULL);
}

/*
 * upstream_relate_cb. A response without the id of its request may be a repeated
 * one of an earlier request if there was any on its connection. So a connection
 * with such a response is used no more.
 */
static upstream_relation_t
relate(void *ctx, const upstream_response_t *response)
{
	const gate_request_t *request = ctx;
	const upstream_header_t *header = forward_find_header(
	    response, gate_get_dialect(request->gate)->headers.request_id);

	if (request->id[0] == '\0')
		return (UPSTREAM_OWN_LAST);
	if (header == NULL || header->value_len == 0)
		return (
		    response->is_reused ? UPSTREAM_FOREIGN : UPSTREAM_OWN_LAST);
	return (header->value_len == strlen(request->id) &&
		    memcmp(header->value, request->id, header->value_len) == 0
		? UPSTREAM_OWN
		: UPSTREAM_FOREIGN);
}

/* Writes the request to a target. @return 0 or a negative error number */
static int
start(gate_request_t *request, gate_target_t *target)
{
	int64_t now_ms = clock_now_ms();
	buffer_t bytes = { 0 };
	upstream_request_t call = {
		.to = target->addr,
		.is_head = request->is_head,
		.idle_max_ms = gate_subset_get_reuse_ms(target->idle_max_ms),
		.is_lenient = 1,
		.relate = relate,
		.id_hash = fleet_name_hash(request->id),
		.is_new = request->id[0] == '\0',
		.done = on_done,
		.ctx = request,
	};
	int err;

	/* If the target closed it, connections would be reused after less than
	 * half of the time that the target keeps them. */
	if ((request->gate->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0 &&
	    target->idle_max_ms > 0)
		call.idle_close_ms = call.idle_max_ms;
	request->attempt_timeout_ms = request->deadline_ms - now_ms;
	err = gate_wire_encode(
	    request, target, request->attempt_timeout_ms, &bytes);

	call.bytes = bytes.bytes;
	call.len = bytes.len;
	/* The request goes when its caller does, and cancels the call first. */
	call.body = request->req->entity.base;
	call.body_len = request->req->entity.len;
	if (err == TM_OK)
		err = upstream_call_start(
		    request->gate->upstream, &call, &request->call);
	buffer_release(&bytes);
	return (err);
}

/* Counts the expected work of a request at its target. */
static void
add_excess(gate_request_t *request, gate_target_t *target)
{
	const gate_t *gate = request->gate;

	if ((gate->features & FLEET_FEATURE_SCARCE_CAPACITY) == 0 ||
	    gate->settings.choice != GATE_CHOICE_BY_WORK)
		return;
	request->excess = gate_cost_get_weight(gate->cost, &request->cost_key,
			      &target->service->costs, clock_now_ms()) -
	    1;
	target->excess += request->excess;
}

static void
count_connection(gate_request_t *request, gate_target_t *target, int is_probe)
{
	gate_attempt_origin_t attempt = {
		.is_probe = is_probe,
		.is_assigned = request->is_assigned,
		.is_retry = request->tried_count > 0,
	};
	int is_expected = gate_idle_take(&target->idle,
	    gate_subset_get_reuse_ms(target->idle_max_ms), clock_now_ms());

	request->is_assigned = 0;
	gate_metrics_count_connection(request, target, &attempt, is_expected);
}

void
gate_attempt_send(gate_request_t *request, gate_target_t *target, int is_probe)
{
	gate_t *gate = request->gate;

	if (start(request, target) != TM_OK) {
		if (is_probe)
			gate_evidence_report(
			    request, target, FLEET_EVIDENCE_PROBE_UNUSED, 1);
		gate_request_refuse(request, GATE_REFUSAL_OVERLOADED, 0);
		return;
	}
	gate_target_acquire(target);
	gate_upload_permit_begin(request, target);
	gate_limit_record_sent(&target->limit, clock_now_ms());
	count_connection(request, target, is_probe);
	add_excess(request, target);
	request->target = target;
	request->is_probe = is_probe;
	request->is_stall_reported = 0;
	request->is_repeat_asked = 0;
	request->sent_ms = clock_now_ms();
	request->tried[request->tried_count++] = target->key;
	request->state = GATE_STATE_SENT;
	metric_add(gate->metric_attempts, 1);
	LOG_EVENT(963, request->is_sampled ? LOG_LEVEL_INFO : LOG_LEVEL_DEBUG,
	    "attempt started", LOG_TEXT("request_id", request->id),
	    LOG_TEXT("target", target->id), LOG_NUM("verdict", target->verdict),
	    LOG_NUM("is_trial", is_probe),
	    LOG_NUM("in_flight", target->in_flight),
	    LOG_NUM("load", target->load),
	    LOG_NUM("load_age_ms", request->sent_ms - target->load_ms));
}

gate_pick_options_t
gate_attempt_get_pick_options(const gate_request_t *request)
{
	int64_t now_ms = clock_now_ms();

	return ((gate_pick_options_t){
	    .tried = request->tried,
	    .tried_count = request->tried_count,
	    .may_repeat = request->repeat_allowed,
	    .is_retry = request->attempts_sent > 0,
	    .has_leader = gate_link_has_leader(request->gate->link, now_ms),
	    .is_alone = gate_link_get_answer_age_ms(
			    request->gate->link, now_ms) > GATE_ELECTION_MAX_MS,
	    .now_ms = now_ms,
	});
}

/* gate_permit_cb */
static void
on_assigned(void *ctx, const gate_permit_reply_t *reply)
{
	gate_request_t *request = ctx;
	gate_table_t *table = request->gate->table;
	gate_pick_options_t pick_options =
	    gate_attempt_get_pick_options(request);
	gate_service_t *service =
	    gate_table_find_service(table, request->service);
	gate_target_t *target = NULL;

	request->permit_id = 0;
	if (reply->result == GATE_PERMIT_GRANTED)
		target = gate_table_find_target(table, reply->target);
	if (target != NULL && gate_target_is_usable(target, &pick_options)) {
		request->is_assigned = 1;
		gate_attempt_send(request, target, reply->is_probe);
		return;
	}
	if (reply->result == GATE_PERMIT_GRANTED && reply->is_probe)
		gate_link_return_probe(request->gate->link, reply->target);
	if (service != NULL)
		gate_service_delay_asking(service, pick_options.now_ms);
	gate_attempt_dispatch(request);
}

static void
ask_for_target(gate_request_t *request, gate_service_t *service)
{
	Tm__Fleet__Spend msg = TM__FLEET__SPEND__INIT;
	gate_t *gate = request->gate;

	/* The leader offers a target that waits to one request. */
	if ((gate->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0)
		gate_probe_use_offer(service);
	msg.kind = FLEET_SPEND_PROBE;
	msg.service = fleet_name_hash(request->service);
	msg.may_repeat = request->repeat_allowed;
	request->state = GATE_STATE_PROBE_PERMIT;
	request->permit_id = gate_link_request_permit(
	    gate->link, &msg, on_assigned, request, clock_now_ms());
	if (request->permit_id == 0)
		gate_request_refuse(request, GATE_REFUSAL_OVERLOADED, 0);
}

void
gate_attempt_dispatch(gate_request_t *request)
{
	gate_t *gate = request->gate;
	gate_pick_options_t pick_options =
	    gate_attempt_get_pick_options(request);
	gate_service_t *service =
	    gate_table_find_service(gate->table, request->service);
	gate_choice_t choice = { .target = NULL };
	int has_leader = pick_options.has_leader && !request->is_leader_silent;

	if (!gate_request_has_time(request, 0)) {
		gate_request_refuse(request, GATE_REFUSAL_DRAINING, 0);
		return;
	}
	if (gate_limit_permit_use_reserved(request))
		return;
	pick_options.skips_limited = gate_limit_permit_is_exhausted(request);
	if (service != NULL)
		choice = gate_table_pick(gate->table, service, &pick_options);
	if (choice.is_evacuated)
		gate_request_refuse(request, GATE_REFUSAL_EVACUATED, 0);
	else if (choice.is_probe)
		gate_attempt_send(request, choice.target, 1);
	else if (choice.must_ask_leader)
		ask_for_target(request, service);
	else if ((choice.target != NULL || choice.must_reserve) &&
	    gate_upload_permit_is_needed(request))
		gate_upload_permit_acquire(request, choice.target, has_leader);
	else if (choice.must_reserve && has_leader)
		gate_limit_permit_reserve(request);
	else if (choice.must_reserve)
		gate_limit_permit_wait(request);
	else if (choice.pause_ms > 0)
		gate_request_refuse(request, GATE_REFUSAL_PAUSED,
		    choice.pause_ms < PAUSED_RETRY_MAX_MS
			? choice.pause_ms
			: PAUSED_RETRY_MAX_MS);
	else if (choice.target == NULL)
		gate_request_delay(request, GATE_REFUSAL_NO_TARGET);
	else if (gate_limit_needs_permit(
		     &choice.target->limit, pick_options.now_ms) &&
	    has_leader)
		gate_limit_permit_request(request, choice.target);
	else if (gate_limit_needs_permit(
		     &choice.target->limit, pick_options.now_ms))
		gate_limit_permit_use_share(request, choice.target);
	else
		gate_attempt_send(request, choice.target, 0);
}

/* @return 1 if the target of a large request still reads it, or responds */
static int
is_progressing(const gate_request_t *request, int64_t now_ms)
{
	int64_t progress_ms;

	if (!gate_upload_permit_is_needed(request))
		return (0);
	progress_ms = upstream_call_get_progress_ms(request->call, now_ms);
	return (progress_ms > request->sent_ms &&
	    now_ms - progress_ms < GATE_STALL_MIN_MS);
}

/* Records an attempt that had no response by the deadline. A target that reads
 * slowly has not failed; its probe counts as not made. */
static void
record_time_out(
    gate_request_t *request, gate_target_t *target, int is_sent, int is_slow)
{
	if (is_slow && request->is_probe)
		gate_evidence_report(
		    request, target, FLEET_EVIDENCE_PROBE_UNUSED, 1);
	else if (!is_slow)
		gate_evidence_record(request, target,
		    is_sent ? FLEET_EVIDENCE_STALL : FLEET_EVIDENCE_UNREACHABLE,
		    0);
}

void
gate_attempt_time_out(gate_request_t *request)
{
	gate_target_t *target;
	int is_sent = upstream_call_is_sent(request->call);
	int is_slow = is_sent && is_progressing(request, clock_now_ms());

	upstream_call_cancel(request->call);
	target = end_attempt(request);
	record_time_out(request, target, is_sent, is_slow);
	gate_target_release(target);
	request->may_have_executed |= is_sent;
	gate_request_refuse(request,
	    is_sent ? GATE_REFUSAL_DEADLINE_SENT
		    : GATE_REFUSAL_DEADLINE_WAITING,
	    0);
}

static int
has_other_target(const gate_request_t *request)
{
	gate_pick_options_t options = gate_attempt_get_pick_options(request);

	return (gate_service_has_healthy(request->target->service, &options));
}

static gate_stall_t
describe_stall(const gate_request_t *request, int64_t now_ms)
{
	const gate_service_t *service = request->target->service;
	int64_t progress_ms =
	    upstream_call_get_progress_ms(request->call, now_ms);

	/* A large request may take long to be read, and a large response to
	 * arrive. */
	return ((gate_stall_t){
	    .age_ms = now_ms -
		(progress_ms > request->sent_ms ? progress_ms
						: request->sent_ms),
	    .left_ms = request->deadline_ms - now_ms,
	    .soft_deadline_ms = request->soft_deadline_ms,
	    .mean_ms = gate_admission_get_expected_ms(service, now_ms),
	    .utilization = gate_admission_get_utilization(service, now_ms),
	    .is_stopping = gate_stop_is_requested(&request->gate->stop),
	    .has_uneven_costs =
		(request->gate->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0,
	});
}

static void
report_stall(gate_request_t *request, int64_t age_ms)
{
	request->is_stall_reported = 1;
	gate_evidence_log(
	    request, request->target, FLEET_EVIDENCE_STALL, 0, age_ms);
	if (!request->is_probe)
		gate_evidence_report(
		    request, request->target, FLEET_EVIDENCE_STALL, 0);
}

/* Ends an attempt that may hang; its stall was reported, unless it is a probe. */
static void
end_stalled(gate_request_t *request)
{
	gate_target_t *target;

	upstream_call_cancel(request->call);
	target = end_attempt(request);
	if (request->is_probe)
		gate_evidence_record(request, target, FLEET_EVIDENCE_STALL, 0);
	gate_target_release(target);
	request->may_have_executed = 1;
	request->attempts_sent++;
}

/* gate_permit_cb */
static void
on_repeat_permit(void *ctx, const gate_permit_reply_t *reply)
{
	gate_request_t *request = ctx;

	request->permit_id = 0;
	if (reply->result != GATE_PERMIT_GRANTED ||
	    gate_stop_is_requested(&request->gate->stop) ||
	    !has_other_target(request))
		return;
	LOG_EVENT(970, LOG_LEVEL_INFO, "sent to another target",
	    LOG_TEXT("request_id", request->id),
	    LOG_TEXT("stalled_target", request->target->id),
	    LOG_NUM("waited_ms", clock_now_ms() - request->sent_ms),
	    LOG_NUM("left_ms", request->deadline_ms - clock_now_ms()));
	end_stalled(request);
	gate_request_proceed(request);
}

/* Sends a request to another target while it waits for one that may hang; the
 * attempt goes on until there is a permit. */
static void
repeat_stalled(gate_request_t *request)
{
	/* The permit of a large request ends with its attempt, and there may be
	 * none for another one. */
	if (gate_upload_permit_is_needed(request))
		return;
	if (request->is_repeat_asked || !request->repeat_allowed ||
	    request->attempts_sent + 1 >= request->attempts_max ||
	    request->tried_count >= GATE_TRIED_MAX ||
	    gate_request_is_answered(request) || !has_other_target(request))
		return;
	request->is_repeat_asked = 1;
	request->permit_id = ask_for_retry(request, on_repeat_permit);
}

static void
check_stall(gate_request_t *request, int64_t now_ms)
{
	gate_stall_t stall = describe_stall(request, now_ms);

	if (!request->is_stall_reported && gate_stall_is_evidence(&stall))
		report_stall(request, stall.age_ms);
	if (gate_stall_should_repeat(&stall))
		repeat_stalled(request);
}

void
gate_attempt_tick(gate_request_t *request, int64_t now_ms)
{
	gate_target_t *target;

	if (upstream_call_is_sent(request->call)) {
		check_stall(request, now_ms);
		return;
	}
	if (now_ms - request->sent_ms < CONNECT_MAX_MS)
		return;
	upstream_call_cancel(request->call);
	target = end_attempt(request);
	handle_unreachable(request, target);
}
