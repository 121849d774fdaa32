#include "gate/gate_evidence.h"

#include "base/clock.h"
#include "base/log.h"
#include "gate/gate_alone.h"
#include "gate/gate_metrics.h"

void
gate_evidence_report(const gate_request_t *request, const gate_target_t *target,
    fleet_evidence_t kind, int is_probe)
{
	Tm__Fleet__Evidence evidence = TM__FLEET__EVIDENCE__INIT;

	evidence.target = target->key;
	evidence.born_ms = target->incarnation_ms;
	evidence.kind = kind;
	evidence.is_trial = is_probe;
	gate_link_report(request->gate->link, &evidence);
}

static const char *
evidence_get_name(fleet_evidence_t kind)
{
	static const char *const names[] = { "good", "unreachable", "broken",
		"wrong", "error", "shed", "stall", "other target", "unused" };

	return (names[kind]);
}

void
gate_evidence_log(const gate_request_t *request, const gate_target_t *target,
    fleet_evidence_t kind, int status, int64_t latency_ms)
{
	gate_metrics_count_evidence(request->gate, evidence_get_name(kind));
	LOG_EVENT(962, LOG_LEVEL_INFO, "attempt failed",
	    LOG_TEXT("request_id", request->id), LOG_TEXT("target", target->id),
	    LOG_NUM("verdict", target->verdict),
	    LOG_NUM("term", gate_table_get_term(request->gate->table)),
	    LOG_NUM("table", gate_table_get_sequence(request->gate->table)),
	    LOG_TEXT("evidence", evidence_get_name(kind)),
	    LOG_NUM("status", status), LOG_NUM("is_trial", request->is_probe),
	    LOG_NUM("latency_ms", latency_ms));
}

/* Judges an ejected target by an attempt without a leader. */
static void
record_alone(const gate_request_t *request, gate_target_t *target,
    fleet_evidence_t kind, int64_t now_ms)
{
	if (!gate_alone_record(target, kind, now_ms))
		return;
	LOG_EVENT(969, LOG_LEVEL_INFO, "ejected target judged without a leader",
	    LOG_TEXT("request_id", request->id), LOG_TEXT("target", target->id),
	    LOG_TEXT("evidence", evidence_get_name(kind)),
	    LOG_NUM("is_used", gate_alone_is_recovered(target)),
	    LOG_NUM("silence_ms",
		gate_link_get_answer_age_ms(request->gate->link, now_ms)));
}

void
gate_evidence_record(gate_request_t *request, gate_target_t *target,
    fleet_evidence_t kind, int status)
{
	int64_t now_ms = clock_now_ms();
	int64_t latency_ms = now_ms - request->sent_ms;

	if (kind == FLEET_EVIDENCE_SUCCESS)
		gate_target_record_success(target, latency_ms);
	else
		gate_evidence_log(request, target, kind, status, latency_ms);
	gate_share_record_attempt(
	    &target->service->share, kind == FLEET_EVIDENCE_SHED);
	record_alone(request, target, kind, now_ms);
	if (kind == FLEET_EVIDENCE_UNREACHABLE ||
	    kind == FLEET_EVIDENCE_WRONG_TARGET)
		gate_target_avoid(target, now_ms + GATE_AVOID_UNREACHABLE_MS);
	else if (kind == FLEET_EVIDENCE_SHED)
		gate_target_avoid(target, now_ms + GATE_AVOID_SHED_MS);
	else if (kind == FLEET_EVIDENCE_BROKEN)
		gate_target_avoid(target, now_ms + GATE_AVOID_SHED_MS);
	if (kind != FLEET_EVIDENCE_SUCCESS || request->is_probe)
		gate_evidence_report(request, target, kind, request->is_probe);
}

void
gate_evidence_record_cost(
    const gate_request_t *request, gate_target_t *target, int64_t received_ms)
{
	int64_t now_ms = clock_now_ms();
	gate_cost_outcome_t outcome = {
		.latency_ms = (double)(now_ms - request->sent_ms),
		.now_ms = now_ms,
	};

	if ((request->gate->features & FLEET_FEATURE_SCARCE_CAPACITY) == 0)
		return;
	if (target->load_ms >= received_ms)
		outcome.load = (double)(target->load + 1) / target->slots;
	gate_cost_record(request->gate->cost, &request->cost_key,
	    &target->speed, &target->service->costs, &outcome);
}

void
gate_evidence_record_signals(const gate_request_t *request,
    gate_target_t *target, const upstream_response_t *response)
{
	Tm__Fleet__Signals msg = TM__FLEET__SIGNALS__INIT;
	gate_signals_t signals;
	int64_t now_ms = clock_now_ms();
	int is_new = 0;

	gate_wire_read_signals(
	    gate_get_dialect(request->gate), response, &signals);
	if (signals.has_load)
		gate_target_set_load(target, signals.load, now_ms);
	target->idle_max_ms = signals.keep_ms;
	if (gate_limit_record(
		&target->limit, signals.limit, request->sent_ms, now_ms)) {
		msg.limit = signals.limit;
		is_new = 1;
	}
	if (gate_limit_record_cold(
		&target->limit, signals.cold_left_ms, now_ms)) {
		msg.cold_left_ms = signals.cold_left_ms;
		target->cold_until_ms = now_ms + signals.cold_left_ms;
		is_new = 1;
	}
	if (signals.is_leaving && gate_target_set_leaving(target)) {
		msg.is_leaving = 1;
		is_new = 1;
	}
	if (signals.pause_ms > 0)
		gate_target_pause(target, signals.pause_ms, now_ms);
	if (signals.pause_ms > 0 || msg.is_leaving)
		LOG_EVENT(966, LOG_LEVEL_INFO, "a target wants no requests",
		    LOG_TEXT("request_id", request->id),
		    LOG_TEXT("target", target->id),
		    LOG_NUM("is_leaving", signals.is_leaving),
		    LOG_NUM("pause_ms", signals.pause_ms));
	if (!is_new)
		return;
	msg.target = target->key;
	msg.born_ms = target->incarnation_ms;
	gate_link_report_signals(request->gate->link, &msg);
}
