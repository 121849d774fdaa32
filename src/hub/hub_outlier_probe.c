#include "hub/hub_outlier_internal.h"

#include <math.h>

#include "hub/hub_outlier_scarce.h"

/* An ejected target gets no request for this time after its last failure, then
 * probes by repeatable requests. */
#define PROBE_BACKOFF_MS 1000
/* Share of a service's requests that may fail while sound targets are unused. */
#define FAILURES_TOLERATED 0.1
/* From this failed share of the attempts at targets in use on, a service needs
 * its ejected targets: unrepeatable requests probe them early if no repeatable
 * one does. The rest of what is tolerated is for probes that fail. */
#define FAILED_SHARE_MAX (FAILURES_TOLERATED / 2)
/* Share of a service's requests that may be probes while it needs targets. */
#define PROBE_SHARE_MAX 0.1
/* The right to probe a target expires after this time without a result. */
#define PROBE_TIMEOUT_MS 4000
/* Probability that a target fails requests: right after the failure that ejected
 * it, after a failed probe, and without any news of it. */
#define ESTIMATE_EJECTED      0.7
#define ESTIMATE_PROBE_FAILED 0.95
#define ESTIMATE_REST	      0.15
/* Time constant of the approach to ESTIMATE_REST: targets fail for seconds. */
#define ESTIMATE_DECAY_MS 4500.0
/* Ratio of the probabilities of a success at a target that fails most requests,
 * and at one that is well. */
#define SUCCESS_RATIO 0.2
/* A target is used again once its estimate is at most this: the loss of a
 * request at a target that still fails is weighed against the requests that are
 * refused for want of it. */
#define ESTIMATE_MAX_IDLE 0.1
#define ESTIMATE_MAX_FULL 0.25
/* From this utilization on the limit rises, until the service is full. */
#define UTILIZATION_IDLE 0.5
/* Interval of the probes of an unreachable target: gates may still reach it. */
#define UNREACHABLE_BACKOFF_MS 3000

/* @return highest estimate at which a target of the service is used */
static double
get_estimate_max(
    const hub_outlier_t *detector, const outlier_service_t *service)
{
	double fullness = (service->utilization - UTILIZATION_IDLE) /
	    (OUTLIER_UTILIZATION_FULL - UTILIZATION_IDLE);

	if (outlier_count_healthy(service) < outlier_get_min_in_use(service))
		return (1);
	if (detector->is_scarce)
		return (outlier_scarce_get_estimate_max(service));
	return (ESTIMATE_MAX_IDLE +
	    fmin(fmax(fullness, 0), 1) *
		(ESTIMATE_MAX_FULL - ESTIMATE_MAX_IDLE));
}

/* @return probability that a target still fails */
static double
get_estimate(const outlier_target_t *target, int64_t now_ms)
{
	return (ESTIMATE_REST +
	    (target->estimate - ESTIMATE_REST) *
		exp((double)(target->estimate_ms - now_ms) /
		    ESTIMATE_DECAY_MS));
}

void
outlier_estimate_failure(outlier_target_t *target, int64_t now_ms)
{
	target->estimate = target->verdict == FLEET_VERDICT_HEALTHY
	    ? ESTIMATE_EJECTED
	    : ESTIMATE_PROBE_FAILED;
	target->estimate_ms = now_ms;
}

static void
estimate_success(outlier_target_t *target, int64_t now_ms)
{
	double estimate = get_estimate(target, now_ms);
	double odds = SUCCESS_RATIO * estimate / (1 - estimate);

	target->estimate = odds / (1 + odds);
	target->estimate_ms = now_ms;
}

/* @return 1 if the gate or its path may be the cause of a failed probe: no other
 * gate has found the target hanging */
static int
is_inconclusive(const outlier_target_t *target, const hub_evidence_t *evidence)
{
	return ((evidence->kind == FLEET_EVIDENCE_STALL ||
		    evidence->kind == FLEET_EVIDENCE_UNREACHABLE) &&
	    target->doubted_gate == NODE_ID_NONE && !target->is_unreachable);
}

/* With scarce capacity the failure counts from when the probe was sent: a target
 * may have recovered before the hang was noticed. */
static void
fail_probe(hub_outlier_t *detector, outlier_target_t *target,
    fleet_evidence_t kind, int64_t sent_ms, int64_t now_ms)
{
	outlier_eject(detector, target, kind, now_ms);
	if (!detector->is_scarce)
		return;
	target->failed_ms = sent_ms;
	target->estimate_ms = sent_ms;
}

/* Takes the probe in flight that a gate reports on.
 * @param sent_ms  receives when it was granted
 * @return         0: the gate has none */
static int
end_probe(outlier_target_t *target, node_id_t gate, int64_t *sent_ms)
{
	if (target->probe_gate == gate) {
		target->probe_gate = NODE_ID_NONE;
		*sent_ms = target->probe_ms;
		return (1);
	}
	if (target->late_gate == gate) {
		target->late_gate = NODE_ID_NONE;
		*sent_ms = target->late_ms;
		return (1);
	}
	return (0);
}

void
outlier_record_probe(hub_outlier_t *detector, outlier_target_t *target,
    const hub_evidence_t *evidence, int64_t now_ms)
{
	int64_t sent_ms;

	if (!end_probe(target, evidence->gate, &sent_ms))
		return;
	switch (evidence->kind) {
	case FLEET_EVIDENCE_PROBE_UNUSED:
		return;
	case FLEET_EVIDENCE_SUCCESS:
		target->success_ms = now_ms;
		target->doubted_gate = NODE_ID_NONE;
		target->service->totals.probes_succeeded++;
		if (detector->is_scarce)
			outlier_scarce_estimate_success(target, now_ms);
		else
			estimate_success(target, now_ms);
		if (target->estimate <=
		    get_estimate_max(detector, target->service))
			outlier_set_verdict(detector, target,
			    FLEET_VERDICT_HEALTHY, "probes succeeded");
		return;
	default:
		target->service->totals.probes_failed++;
		if (is_inconclusive(target, evidence))
			target->doubted_gate = evidence->gate;
		else
			fail_probe(
			    detector, target, evidence->kind, sent_ms, now_ms);
	}
}

static int
is_probing(const outlier_target_t *target)
{
	return (target->is_open || target->verdict == FLEET_VERDICT_PROBE ||
	    target->verdict == FLEET_VERDICT_PROBE_REPEATABLE);
}

static void
grant_probe(outlier_target_t *target, node_id_t gate, int64_t now_ms)
{
	target->probe_gate = gate;
	target->probe_ms = now_ms;
	target->service->totals.probes_granted++;
}

int
hub_outlier_acquire_probe(
    hub_outlier_t *detector, uint64_t key, node_id_t gate, int64_t now_ms)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target == NULL)
		return (0);
	if (!is_probing(target) || target->is_evacuated ||
	    target->probe_gate != NODE_ID_NONE) {
		target->service->totals.probes_refused++;
		return (0);
	}
	grant_probe(target, gate, now_ms);
	return (1);
}

int
outlier_is_idle(const outlier_target_t *target, int64_t now_ms)
{
	return (target->verdict == FLEET_VERDICT_HEALTHY &&
	    outlier_is_present(target) && !target->is_draining &&
	    target->evidence_ms <= target->success_ms &&
	    now_ms - target->used_ms > HUB_OUTLIER_IDLE_MS);
}

static int
is_open_to(const outlier_target_t *target, node_id_t gate, int may_repeat)
{
	return (target->probe_gate == NODE_ID_NONE && !target->is_draining &&
	    !target->is_evacuated && target->doubted_gate != gate &&
	    target->late_gate != gate &&
	    (target->is_open || target->verdict == FLEET_VERDICT_PROBE ||
		(may_repeat &&
		    target->verdict == FLEET_VERDICT_PROBE_REPEATABLE)));
}

int
outlier_is_waiting(const outlier_target_t *target, int64_t now_ms)
{
	return (outlier_is_idle(target, now_ms) ||
	    (target->is_open && target->probe_gate == NODE_ID_NONE &&
		!target->is_draining && !target->is_evacuated));
}

int
outlier_may_assign(const hub_outlier_t *detector,
    const outlier_target_t *target, int64_t now_ms)
{
	return (detector->filter == NULL ||
	    detector->filter(detector->ctx, target->key, now_ms));
}

hub_assignment_t
hub_outlier_assign_target(hub_outlier_t *detector, uint64_t id, node_id_t gate,
    int may_repeat, int64_t now_ms)
{
	hub_assignment_t assignment = { .target = 0 };
	outlier_service_t *service;
	outlier_target_t *chosen = NULL;
	outlier_target_t *target;

	HASH_FIND(hh, detector->services, &id, sizeof(id), service);
	if (service == NULL)
		return (assignment);
	for (target = service->targets; target != NULL; target = target->next) {
		if ((outlier_is_idle(target, now_ms) ||
			is_open_to(target, gate, may_repeat)) &&
		    (chosen == NULL || target->used_ms < chosen->used_ms) &&
		    outlier_may_assign(detector, target, now_ms))
			chosen = target;
	}
	outlier_scarce_end_offer(service, gate, chosen != NULL);
	if (chosen == NULL) {
		service->totals.probes_refused++;
		return (assignment);
	}
	assignment.target = chosen->key;
	assignment.is_probe = chosen->verdict != FLEET_VERDICT_HEALTHY;
	if (assignment.is_probe)
		grant_probe(chosen, gate, now_ms);
	chosen->used_ms = now_ms;
	return (assignment);
}

void
outlier_update_backoff(outlier_service_t *service)
{
	double failed_share = outlier_get_failed_share(service);
	double waiting = (double)outlier_count_targets(service) -
	    outlier_count_healthy(service);
	double backoff_ms;
	double budget_ms;

	service->early_backoff_ms = 0;
	if (failed_share < FAILED_SHARE_MAX)
		return;
	backoff_ms =
	    OUTLIER_UNREPEATABLE_BACKOFF_MS * FAILED_SHARE_MAX / failed_share;
	budget_ms =
	    waiting / (PROBE_SHARE_MAX * outlier_get_attempts_per_ms(service));
	backoff_ms = fmax(backoff_ms, budget_ms);
	backoff_ms = fmax(backoff_ms, HUB_OUTLIER_SOUND_AFTER_MS);
	service->early_backoff_ms =
	    (int64_t)fmin(backoff_ms, OUTLIER_UNREPEATABLE_BACKOFF_MS);
}

/* @return 1 if requests that must not be repeated may probe a target: it may be
 * sound by now, and no repeatable request has come to probe it lately */
static int
is_open_to_any(const outlier_target_t *target, int64_t now_ms)
{
	int64_t backoff_ms = target->service->early_backoff_ms > 0
	    ? target->service->early_backoff_ms
	    : OUTLIER_UNREPEATABLE_BACKOFF_MS;

	return (now_ms - target->failed_ms >= backoff_ms &&
	    now_ms - target->used_ms >= HUB_OUTLIER_IDLE_MS);
}

void
outlier_offer_probe(
    hub_outlier_t *detector, outlier_target_t *target, int64_t now_ms)
{
	int64_t idle_ms = now_ms - target->failed_ms;

	if (target->probe_gate != NODE_ID_NONE &&
	    now_ms - target->probe_ms > PROBE_TIMEOUT_MS)
		target->probe_gate = NODE_ID_NONE;
	if (target->late_gate != NODE_ID_NONE &&
	    now_ms - target->late_ms > PROBE_TIMEOUT_MS)
		target->late_gate = NODE_ID_NONE;
	if (target->probe_gate != NODE_ID_NONE || target->is_evacuated)
		return;
	/* Without a second gate the result of the first one stands. */
	if (target->doubted_gate != NODE_ID_NONE &&
	    now_ms - target->used_ms > PROBE_BACKOFF_MS) {
		fail_probe(detector, target, FLEET_EVIDENCE_STALL,
		    target->probe_ms, now_ms);
		return;
	}
	if (target->is_unreachable && !detector->is_scarce) {
		if (idle_ms >= UNREACHABLE_BACKOFF_MS)
			outlier_set_verdict(detector, target,
			    FLEET_VERDICT_PROBE,
			    "unreachable for the leader, probed through the gates");
		return;
	}
	if (detector->is_scarce) {
		outlier_scarce_offer_probe(detector, target, now_ms);
		return;
	}
	if (is_open_to_any(target, now_ms))
		outlier_set_verdict(detector, target, FLEET_VERDICT_PROBE,
		    "any request may probe it");
	else if (target->verdict == FLEET_VERDICT_EJECTED &&
	    idle_ms >= PROBE_BACKOFF_MS)
		outlier_set_verdict(detector, target,
		    FLEET_VERDICT_PROBE_REPEATABLE,
		    "repeatable requests may probe it");
}

/* @return 1 if a target that may be sound gets no requests: it is not healthy,
 * and not open to probes by any request */
static int
is_unused(const outlier_target_t *target, int64_t now_ms)
{
	return (outlier_is_present(target) &&
	    target->verdict != FLEET_VERDICT_HEALTHY &&
	    target->verdict != FLEET_VERDICT_PROBE &&
	    now_ms - target->failed_ms > HUB_OUTLIER_SOUND_AFTER_MS);
}

static uint32_t
count_unused(const outlier_service_t *service, int64_t now_ms)
{
	const outlier_target_t *target;
	uint32_t unused = 0;

	for (target = service->targets; target != NULL; target = target->next)
		unused += is_unused(target, now_ms);
	return (unused);
}

/* Finds the unused target whose last failure is the longest ago. */
static outlier_target_t *
find_longest_idle(const outlier_service_t *service, int64_t now_ms)
{
	outlier_target_t *longest_idle = NULL;
	outlier_target_t *target;

	for (target = service->targets; target != NULL; target = target->next) {
		if (is_unused(target, now_ms) &&
		    target->probe_gate == NODE_ID_NONE &&
		    (longest_idle == NULL ||
			target->failed_ms < longest_idle->failed_ms))
			longest_idle = target;
	}
	return (longest_idle);
}

void
outlier_limit_unused(
    hub_outlier_t *detector, const outlier_service_t *service, int64_t now_ms)
{
	outlier_target_t *target;
	uint32_t unused = count_unused(service, now_ms);
	uint32_t allowed = (uint32_t)(detector->unused_share_max *
	    outlier_count_targets(service));

	for (; unused > allowed; unused--) {
		target = find_longest_idle(service, now_ms);
		if (target == NULL)
			return;
		outlier_set_verdict(detector, target, FLEET_VERDICT_PROBE,
		    "too many targets of the service are unused");
	}
}
