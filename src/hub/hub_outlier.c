#include "hub/hub_outlier_internal.h"

#include <math.h>
#include <stdlib.h>

#include <utlist.h>

#include "base/error.h"
#include "hub/hub_outlier_scarce.h"

/* A target whose failure score reaches this is ejected. */
#define FAILURE_SCORE_LIMIT 1.0
/* Time constant of the exponential decay of the failure score. */
#define FAILURE_SCORE_DECAY_MS 3000.0
/* Time constant of the failed share of a service's attempts. */
#define FAILED_SHARE_DECAY_MS 2000.0
/* Each successful response multiplies the failure score by this. */
#define SUCCESS_FACTOR 0.6
/* Repeated connection failures that one gate reports within this time have
 * little weight: the gate may have lost its own path to the target. */
#define SAME_GATE_MS	 2000
#define SAME_GATE_WEIGHT 0.1
/* The count of ejections restarts if the last failure is this long ago. */
#define EJECTION_COUNT_RESET_MS 10000
/* If more than this share of a service's targets stall or shed requests within
 * the window, the cause is the service's load; such evidence is weighted down.
 */
#define COMMON_SHARE	 0.4
#define COMMON_WINDOW_MS 2000
#define COMMON_WEIGHT	 0.2
/* While its service is full, a target that breaks one connection now and then is
 * of more use than none, so that a second one soon after ejects it. */
#define BROKEN_WEIGHT_FULL 0.65
/* Share of a service's targets that only broken connections can eject. */
#define MIN_IN_USE_SHARE 0.35
/* A target that has neither announced itself nor answered a request for this
 * long is unreachable, as far as the leader can tell. */
#define TARGET_TIMEOUT_MS 4500

/* Fraction of the targets that need no requests that is left unused. */
#define UNUSED_SHARE_MARGIN 0.9

static const struct {
	const char *name;
	double weight;
} evidence_info[] = {
	[FLEET_EVIDENCE_SUCCESS] = { "good", 0 },
	[FLEET_EVIDENCE_UNREACHABLE] = { "unreachable", 0.5 },
	[FLEET_EVIDENCE_BROKEN] = { "connection broken", 1.0 },
	[FLEET_EVIDENCE_WRONG] = { "wrong response", 0.7 },
	[FLEET_EVIDENCE_ERROR] = { "error response", 0.45 },
	[FLEET_EVIDENCE_SHED] = { "request shed", 0.34 },
	[FLEET_EVIDENCE_STALL] = { "stall", 0.55 },
	[FLEET_EVIDENCE_WRONG_TARGET] = { "response from another target", 1.0 },
	[FLEET_EVIDENCE_PROBE_UNUSED] = { "probe not sent", 0 },
};

hub_outlier_t *
hub_outlier_create(double used_share_min, hub_outlier_cb changed, void *ctx)
{
	hub_outlier_t *detector = calloc(1, sizeof(*detector));

	if (detector == NULL)
		return (NULL);
	detector->unused_share_max = UNUSED_SHARE_MARGIN * (1 - used_share_min);
	detector->changed = changed;
	detector->ctx = ctx;
	return (detector);
}

void
hub_outlier_set_filter(hub_outlier_t *detector, hub_outlier_filter_cb filter)
{
	detector->filter = filter;
}

static void
remove_target(hub_outlier_t *detector, outlier_target_t *target)
{
	HASH_DELETE(hh, detector->targets, target);
	DL_DELETE(target->service->targets, target);
	free(target);
}

void
hub_outlier_reset(hub_outlier_t *detector)
{
	outlier_target_t *target;
	outlier_target_t *next;

	HASH_ITER(hh, detector->targets, target, next)
		remove_target(detector, target);
}

void
hub_outlier_destroy(hub_outlier_t *detector)
{
	outlier_service_t *service;
	outlier_service_t *next;

	if (detector == NULL)
		return;
	hub_outlier_reset(detector);
	HASH_ITER(hh, detector->services, service, next) {
		HASH_DELETE(hh, detector->services, service);
		free(service);
	}
	free(detector);
}

outlier_target_t *
outlier_find(const hub_outlier_t *detector, uint64_t key)
{
	outlier_target_t *target;

	HASH_FIND(hh, detector->targets, &key, sizeof(key), target);
	return (target);
}

static outlier_service_t *
get_service(hub_outlier_t *detector, uint64_t id)
{
	outlier_service_t *service;

	HASH_FIND(hh, detector->services, &id, sizeof(id), service);
	if (service != NULL)
		return (service);
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return (NULL);
	service->id = id;
	service->has_repeatable = 1;
	outlier_scarce_init_service(service);
	HASH_ADD(hh, detector->services, id, sizeof(service->id), service);
	return (service);
}

void
hub_outlier_set_scarce(hub_outlier_t *detector, int is_scarce)
{
	detector->is_scarce = is_scarce;
}

void
hub_outlier_set_repeatable(
    hub_outlier_t *detector, uint64_t id, int has_repeatable)
{
	outlier_service_t *service = get_service(detector, id);

	if (service != NULL)
		service->has_repeatable = has_repeatable;
}

void
hub_outlier_add_target(hub_outlier_t *detector, uint64_t key, uint64_t service,
    uint64_t incarnation_ms)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target != NULL && target->incarnation_ms == incarnation_ms)
		return;
	if (target != NULL)
		remove_target(detector, target);
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return;
	target->service = get_service(detector, service);
	if (target->service == NULL) {
		free(target);
		return;
	}
	target->key = key;
	target->incarnation_ms = incarnation_ms;
	HASH_ADD(hh, detector->targets, key, sizeof(target->key), target);
	DL_APPEND(target->service->targets, target);
}

void
hub_outlier_set_draining(hub_outlier_t *detector, uint64_t key)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target != NULL)
		target->is_draining = 1;
}

void
hub_outlier_set_evacuated(
    hub_outlier_t *detector, uint64_t key, int is_evacuated, int64_t now_ms)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target == NULL || target->is_evacuated == is_evacuated)
		return;
	target->is_evacuated = is_evacuated;
	/* The span in which it is to get a request begins with the end. */
	if (!is_evacuated)
		target->used_ms = now_ms;
	else
		target->is_open = 0;
}

void
hub_outlier_remove_target(hub_outlier_t *detector, uint64_t key)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target != NULL)
		remove_target(detector, target);
}

void
outlier_set_verdict(hub_outlier_t *detector, outlier_target_t *target,
    fleet_verdict_t verdict, const char *reason)
{
	target->is_open = 0;
	if (target->verdict == verdict)
		return;
	target->verdict = verdict;
	target->probe_gate = NODE_ID_NONE;
	target->late_gate = NODE_ID_NONE;
	if (verdict == FLEET_VERDICT_EJECTED)
		target->doubted_gate = NODE_ID_NONE;
	detector->changed(detector->ctx, target->key, verdict, reason);
}

static void
decay_failure_score(outlier_target_t *target, int64_t now_ms)
{
	if (now_ms > target->decayed_ms)
		target->failure_score *=
		    exp((double)(target->decayed_ms - now_ms) /
			FAILURE_SCORE_DECAY_MS);
	target->decayed_ms = now_ms;
}

int
outlier_is_present(const outlier_target_t *target)
{
	return (!target->is_unreachable && !target->is_evacuated);
}

/* Counts the targets of a service that are present. */
uint32_t
outlier_count_targets(const outlier_service_t *service)
{
	const outlier_target_t *target;
	uint32_t total = 0;

	for (target = service->targets; target != NULL; target = target->next)
		total += outlier_is_present(target);
	return (total);
}

uint32_t
outlier_get_min_in_use(const outlier_service_t *service)
{
	return (
	    (uint32_t)ceil(MIN_IN_USE_SHARE * outlier_count_targets(service)));
}

uint32_t
outlier_count_healthy(const outlier_service_t *service)
{
	const outlier_target_t *target;
	uint32_t healthy = 0;

	for (target = service->targets; target != NULL; target = target->next)
		healthy += outlier_is_present(target) &&
		    target->verdict == FLEET_VERDICT_HEALTHY;
	return (healthy);
}

/* Broken connections always eject a target; weaker evidence must leave
 * MIN_IN_USE_SHARE of the service in use. */
static int
may_eject(const outlier_target_t *target, fleet_evidence_t kind)
{
	return (!outlier_is_present(target) || kind == FLEET_EVIDENCE_BROKEN ||
	    target->verdict != FLEET_VERDICT_HEALTHY ||
	    outlier_count_healthy(target->service) >
		outlier_get_min_in_use(target->service));
}

void
outlier_eject(hub_outlier_t *detector, outlier_target_t *target,
    fleet_evidence_t kind, int64_t now_ms)
{
	const char *reason = evidence_info[kind].name;

	if (!may_eject(target, kind))
		return;
	if (target->verdict == FLEET_VERDICT_HEALTHY) {
		if (now_ms - target->failed_ms >= EJECTION_COUNT_RESET_MS)
			target->ejections = 0;
		target->ejections++;
		target->service->totals.ejections++;
	}
	if (detector->is_scarce)
		outlier_scarce_estimate_failure(target, now_ms);
	else
		outlier_estimate_failure(target, now_ms);
	target->failed_ms = now_ms;
	target->failure_score = 0;
	outlier_set_verdict(detector, target, FLEET_VERDICT_EJECTED, reason);
}

void
hub_outlier_set_utilization(
    hub_outlier_t *detector, uint64_t id, double utilization)
{
	outlier_service_t *service;

	HASH_FIND(hh, detector->services, &id, sizeof(id), service);
	if (service != NULL)
		service->utilization = utilization;
}

void
hub_outlier_record_announcement(
    hub_outlier_t *detector, uint64_t key, int64_t now_ms)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target != NULL)
		target->announced_ms = now_ms;
}

static void
count_attempts(outlier_service_t *service, uint32_t attempts, double failures,
    int64_t now_ms)
{
	double factor = 1;

	if (now_ms > service->decayed_ms)
		factor = exp((double)(service->decayed_ms - now_ms) /
		    FAILED_SHARE_DECAY_MS);
	service->decayed_ms = now_ms;
	service->attempts = service->attempts * factor + attempts;
	service->failures = service->failures * factor + failures;
}

double
outlier_get_failed_share(const outlier_service_t *service)
{
	return (
	    service->attempts > 0 ? service->failures / service->attempts : 0);
}

double
outlier_get_attempts_per_ms(const outlier_service_t *service)
{
	return (service->attempts / FAILED_SHARE_DECAY_MS);
}

void
hub_outlier_record_successes(
    hub_outlier_t *detector, uint64_t key, uint32_t count, int64_t now_ms)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target == NULL || count == 0)
		return;
	count_attempts(target->service, count, 0, now_ms);
	decay_failure_score(target, now_ms);
	target->failure_score *= pow(SUCCESS_FACTOR, count);
	target->success_ms = now_ms;
	target->used_ms = now_ms;
}

void
hub_outlier_record_sent(hub_outlier_t *detector, uint64_t key, int64_t now_ms)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target != NULL)
		target->used_ms = now_ms;
}

/* @return 1 if more than COMMON_SHARE of the service's targets are overloaded
 */
static int
is_common(outlier_target_t *target, int64_t now_ms)
{
	const outlier_target_t *other;
	uint32_t overloaded = 0;

	target->overloaded_ms = now_ms;
	for (other = target->service->targets; other != NULL;
	     other = other->next)
		overloaded += outlier_is_present(other) &&
		    other->overloaded_ms != 0 &&
		    now_ms - other->overloaded_ms <= COMMON_WINDOW_MS;
	return ((double)overloaded >
	    COMMON_SHARE * outlier_count_targets(target->service));
}

static void
record_use(
    outlier_target_t *target, const hub_evidence_t *evidence, int64_t now_ms)
{
	int is_failure = evidence->kind != FLEET_EVIDENCE_SUCCESS;

	if (evidence->kind == FLEET_EVIDENCE_PROBE_UNUSED)
		return;
	target->used_ms = now_ms;
	if (is_failure)
		target->evidence_ms = now_ms;
	/* Probes are left out: more of them would cause more again. */
	if (!evidence->is_probe)
		count_attempts(target->service, 1,
		    evidence_info[evidence->kind].weight, now_ms);
}

/* @return how much evidence against a target in use adds to its failure score */
static double
get_weight(const hub_outlier_t *detector, outlier_target_t *target,
    const hub_evidence_t *evidence, int64_t now_ms)
{
	double weight = evidence_info[evidence->kind].weight;
	int is_shared = (evidence->kind == FLEET_EVIDENCE_STALL ||
			    evidence->kind == FLEET_EVIDENCE_SHED) &&
	    is_common(target, now_ms);

	if (evidence->kind == FLEET_EVIDENCE_UNREACHABLE &&
	    evidence->gate == target->last_gate &&
	    now_ms - target->last_gate_ms < SAME_GATE_MS)
		weight *= SAME_GATE_WEIGHT;
	if (is_shared)
		weight *= COMMON_WEIGHT;
	if (detector->is_scarce)
		return (outlier_scarce_get_weight(
		    target, evidence->kind, weight, is_shared, now_ms));
	if (evidence->kind == FLEET_EVIDENCE_BROKEN &&
	    target->service->utilization >= OUTLIER_UTILIZATION_FULL)
		weight = BROKEN_WEIGHT_FULL;
	return (weight);
}

void
hub_outlier_record_evidence(
    hub_outlier_t *detector, const hub_evidence_t *evidence, int64_t now_ms)
{
	outlier_target_t *target = outlier_find(detector, evidence->target);
	double weight;

	if (target == NULL || evidence->kind > FLEET_EVIDENCE_PROBE_UNUSED)
		return;
	record_use(target, evidence, now_ms);
	if (evidence->is_probe) {
		outlier_record_probe(detector, target, evidence, now_ms);
		return;
	}
	if (target->verdict != FLEET_VERDICT_HEALTHY)
		return;
	weight = get_weight(detector, target, evidence, now_ms);
	target->last_gate = evidence->gate;
	target->last_gate_ms = now_ms;
	decay_failure_score(target, now_ms);
	target->failure_score += weight;
	if (target->failure_score >= FAILURE_SCORE_LIMIT)
		outlier_eject(detector, target, evidence->kind, now_ms);
}

void
hub_outlier_restore_ejection(
    hub_outlier_t *detector, uint64_t key, int64_t now_ms)
{
	outlier_target_t *target = outlier_find(detector, key);

	if (target == NULL)
		return;
	detector->restored_ms = now_ms;
	/* The time is not known; half of the backoff has passed on average. */
	target->failed_ms = now_ms - OUTLIER_UNREPEATABLE_BACKOFF_MS / 2;
	outlier_estimate_failure(target, target->failed_ms);
	outlier_set_verdict(detector, target, FLEET_VERDICT_EJECTED,
	    "ejected by the previous leader");
}

size_t
hub_outlier_list_ejected(
    const hub_outlier_t *detector, uint64_t *targets, size_t max)
{
	const outlier_target_t *target;
	size_t count = 0;

	for (target = detector->targets; target != NULL && count < max;
	     target = target->hh.next) {
		if (target->verdict != FLEET_VERDICT_HEALTHY)
			targets[count++] = target->key;
	}
	return (count);
}

static int64_t
get_last_seen_ms(const outlier_target_t *target)
{
	return (target->announced_ms > target->success_ms ? target->announced_ms
							  : target->success_ms);
}

static int
is_unresponsive(const outlier_target_t *target, int64_t now_ms)
{
	int64_t last_seen_ms = get_last_seen_ms(target);

	return (last_seen_ms != 0 && now_ms - last_seen_ms > TARGET_TIMEOUT_MS);
}

void
hub_outlier_tick(hub_outlier_t *detector, int64_t now_ms)
{
	outlier_service_t *service;
	outlier_service_t *next_service;
	outlier_target_t *target;
	outlier_target_t *next;

	HASH_ITER(hh, detector->services, service, next_service) {
		if (detector->is_scarce)
			continue;
		outlier_update_backoff(service);
		outlier_limit_unused(detector, service, now_ms);
	}
	HASH_ITER(hh, detector->targets, target, next) {
		target->is_unreachable = is_unresponsive(target, now_ms);
		if (target->verdict != FLEET_VERDICT_HEALTHY)
			outlier_offer_probe(detector, target, now_ms);
		else if (target->is_unreachable)
			outlier_eject(detector, target,
			    FLEET_EVIDENCE_UNREACHABLE, now_ms);
	}
	if (!detector->is_scarce)
		return;
	HASH_ITER(hh, detector->services, service, next_service)
		outlier_scarce_update_service(detector, service, now_ms);
}

fleet_verdict_t
hub_outlier_get_verdict(const hub_outlier_t *detector, uint64_t key)
{
	const outlier_target_t *target = outlier_find(detector, key);

	return (target != NULL ? target->verdict : FLEET_VERDICT_HEALTHY);
}

int
hub_outlier_get_info(
    const hub_outlier_t *detector, uint64_t key, hub_outlier_info_t *info)
{
	const outlier_target_t *target = outlier_find(detector, key);

	if (target == NULL)
		return (TM_ENOENT);
	*info = (hub_outlier_info_t){
		.verdict = target->verdict,
		.failure_score = target->failure_score,
		.ejections = target->ejections,
		.failed_ms = target->failed_ms,
		.last_seen_ms = get_last_seen_ms(target),
	};
	return (TM_OK);
}

static void
count_target(const hub_outlier_t *detector, const outlier_target_t *target,
    int64_t now_ms, hub_outlier_counts_t *counts)
{
	if (target->is_evacuated) {
		counts->evacuated++;
		return;
	}
	counts->unreachable += target->is_unreachable;
	if (target->is_open) {
		counts->probe++;
		return;
	}
	switch (target->verdict) {
	case FLEET_VERDICT_HEALTHY:
		counts->healthy++;
		counts->idle +=
		    now_ms - target->used_ms > HUB_OUTLIER_IDLE_MS &&
		    outlier_may_assign(detector, target, now_ms);
		break;
	case FLEET_VERDICT_PROBE_REPEATABLE:
		counts->probe_repeatable++;
		break;
	case FLEET_VERDICT_PROBE:
		counts->probe++;
		break;
	default:
		counts->ejected++;
	}
}

int
hub_outlier_count_service(const hub_outlier_t *detector, uint64_t id,
    int64_t now_ms, hub_outlier_counts_t *counts)
{
	const outlier_service_t *service;
	const outlier_target_t *target;

	HASH_FIND(hh, detector->services, &id, sizeof(id), service);
	if (service == NULL)
		return (TM_ENOENT);
	*counts = service->totals;
	counts->failed_share = outlier_get_failed_share(service);
	counts->utilization = service->utilization;
	for (target = service->targets; target != NULL; target = target->next)
		count_target(detector, target, now_ms, counts);
	return (TM_OK);
}
