#include "hub/hub_outlier.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"

/* A target whose failure score reaches this is ejected. */
#define FAILURE_SCORE_LIMIT 1.0
/* Time constant of the exponential decay of the failure score. */
#define FAILURE_SCORE_DECAY_MS 3000.0
/* Each successful response multiplies the failure score by this. */
#define SUCCESS_FACTOR 0.6
/* Repeated connection failures that one gate reports within this time have
 * little weight: the gate may have lost its own path to the target. */
#define SAME_GATE_MS	 2000
#define SAME_GATE_WEIGHT 0.1
/* An ejected target gets no request for this time after its last failure. */
#define PROBE_BACKOFF_MS 1000
/* Then only repeatable requests probe it, as long as the service has any. Other
 * requests may do so once the ejection has lasted this long: most intermittent
 * faults have passed then. */
#define REPEATABLE_ONLY_MS 8000
/* Time from the last failure to a probe by an unrepeatable request. */
#define UNREPEATABLE_BACKOFF_MS 4000
/* The count of ejections restarts if the last failure is this long ago. */
#define EJECTION_COUNT_RESET_MS 10000
/* Share of a service's targets that may get no requests at all, and the time
 * after its last failure at which a target counts as such. */
#define UNUSED_SHARE 0.27
#define UNUSED_MS    1200
/* If more than this share of a service's targets stall or shed requests within
 * the window, the cause is the service's load; such evidence is weighted down.
 */
#define COMMON_SHARE	 0.4
#define COMMON_WINDOW_MS 2000
#define COMMON_WEIGHT	 0.2
/* The right to probe a target expires after this time without a result. */
#define PROBE_TIMEOUT_MS 4000
/* Consecutive successful probes that end an ejection; one is enough while too
 * few targets of the service are healthy. */
#define PROBES_NEEDED 3
/* Share of a service's targets that only broken connections can eject. */
#define MIN_IN_USE_SHARE 0.35
/* A target that has neither announced itself nor answered a request for this
 * long is unreachable, as far as the leader can tell. */
#define TARGET_TIMEOUT_MS 4500
/* Interval of the probes of an unreachable target: gates may still reach it. */
#define UNREACHABLE_BACKOFF_MS 3000

typedef struct outlier_service outlier_service_t;

typedef struct outlier_target {
	uint64_t key;
	outlier_service_t *service;
	uint64_t incarnation_ms;
	fleet_verdict_t verdict;
	double failure_score;
	int64_t decayed_ms; /* time at which failure_score was computed */
	int64_t overloaded_ms; /* last stall or shed request */
	node_id_t last_gate; /* of the last evidence */
	int64_t last_gate_ms;
	int64_t ejected_ms; /* start of the ejection */
	int64_t failed_ms; /* last failure since then */
	uint32_t ejections; /* in close succession */
	uint32_t probe_successes; /* consecutive */
	node_id_t probe_gate; /* NODE_ID_NONE: no probe in flight */
	int64_t probe_ms; /* when the probe was granted */
	int is_draining;
	int is_unreachable; /* unresponsive for TARGET_TIMEOUT_MS */
	int64_t announced_ms;
	int64_t success_ms; /* last successful response */
	int64_t evidence_ms; /* last evidence against it */
	int64_t used_ms; /* last request that a gate reported in any way */
	struct outlier_target *prev; /* of the service */
	struct outlier_target *next;
	UT_hash_handle hh;
} outlier_target_t;

/* A service; kept after its last target is removed. */
struct outlier_service {
	uint64_t id;
	outlier_target_t *targets;
	hub_outlier_counts_t totals; /* only what is counted since the start */
	UT_hash_handle hh;
};

struct hub_outlier {
	outlier_target_t *targets;
	outlier_service_t *services;
	hub_outlier_cb changed;
	void *ctx;
};

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
hub_outlier_create(hub_outlier_cb changed, void *ctx)
{
	hub_outlier_t *detector = calloc(1, sizeof(*detector));

	if (detector != NULL) {
		detector->changed = changed;
		detector->ctx = ctx;
	}
	return (detector);
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

static outlier_target_t *
find(const hub_outlier_t *detector, uint64_t key)
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
	HASH_ADD(hh, detector->services, id, sizeof(service->id), service);
	return (service);
}

void
hub_outlier_add_target(hub_outlier_t *detector, uint64_t key, uint64_t service,
    uint64_t incarnation_ms)
{
	outlier_target_t *target = find(detector, key);

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
	outlier_target_t *target = find(detector, key);

	if (target != NULL)
		target->is_draining = 1;
}

void
hub_outlier_remove_target(hub_outlier_t *detector, uint64_t key)
{
	outlier_target_t *target = find(detector, key);

	if (target != NULL)
		remove_target(detector, target);
}

static void
set_verdict(hub_outlier_t *detector, outlier_target_t *target,
    fleet_verdict_t verdict, const char *reason)
{
	if (target->verdict == verdict)
		return;
	target->verdict = verdict;
	target->probe_gate = NODE_ID_NONE;
	target->probe_successes = 0;
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

/* Counts the targets of a service that are not unreachable. */
static uint32_t
count_targets(const outlier_service_t *service)
{
	const outlier_target_t *target;
	uint32_t total = 0;

	for (target = service->targets; target != NULL; target = target->next)
		total += !target->is_unreachable;
	return (total);
}

/* @return number of targets that must stay in use, broken ones excepted */
static uint32_t
get_min_in_use(const outlier_service_t *service)
{
	return ((uint32_t)ceil(MIN_IN_USE_SHARE * count_targets(service)));
}

static uint32_t
count_healthy(const outlier_service_t *service)
{
	const outlier_target_t *target;
	uint32_t healthy = 0;

	for (target = service->targets; target != NULL; target = target->next)
		healthy += !target->is_unreachable &&
		    target->verdict == FLEET_VERDICT_HEALTHY;
	return (healthy);
}

/* Broken connections always eject a target; weaker evidence must leave
 * MIN_IN_USE_SHARE of the service in use. */
static int
may_eject(const outlier_target_t *target, fleet_evidence_t kind)
{
	return (target->is_unreachable || kind == FLEET_EVIDENCE_BROKEN ||
	    target->verdict != FLEET_VERDICT_HEALTHY ||
	    count_healthy(target->service) > get_min_in_use(target->service));
}

static void
eject(hub_outlier_t *detector, outlier_target_t *target, fleet_evidence_t kind,
    int64_t now_ms)
{
	const char *reason = evidence_info[kind].name;

	if (!may_eject(target, kind))
		return;
	if (target->verdict == FLEET_VERDICT_HEALTHY) {
		if (now_ms - target->failed_ms >= EJECTION_COUNT_RESET_MS)
			target->ejections = 0;
		target->ejections++;
		target->ejected_ms = now_ms;
		target->service->totals.ejections++;
	}
	target->failed_ms = now_ms;
	target->failure_score = 0;
	set_verdict(detector, target, FLEET_VERDICT_EJECTED, reason);
}

void
hub_outlier_record_announcement(
    hub_outlier_t *detector, uint64_t key, int64_t now_ms)
{
	outlier_target_t *target = find(detector, key);

	if (target != NULL)
		target->announced_ms = now_ms;
}

void
hub_outlier_record_successes(
    hub_outlier_t *detector, uint64_t key, uint32_t count, int64_t now_ms)
{
	outlier_target_t *target = find(detector, key);

	if (target == NULL || count == 0)
		return;
	decay_failure_score(target, now_ms);
	target->failure_score *= pow(SUCCESS_FACTOR, count);
	target->success_ms = now_ms;
	target->used_ms = now_ms;
}

void
hub_outlier_record_sent(hub_outlier_t *detector, uint64_t key, int64_t now_ms)
{
	outlier_target_t *target = find(detector, key);

	if (target != NULL)
		target->used_ms = now_ms;
}

/* @return number of successful probes that end an ejection */
static uint32_t
get_probes_needed(const outlier_service_t *service)
{
	return (count_healthy(service) < get_min_in_use(service)
		? 1
		: PROBES_NEEDED);
}

static void
record_probe(hub_outlier_t *detector, outlier_target_t *target,
    const hub_evidence_t *evidence, int64_t now_ms)
{
	if (target->probe_gate != evidence->gate)
		return;
	target->probe_gate = NODE_ID_NONE;
	switch (evidence->kind) {
	case FLEET_EVIDENCE_PROBE_UNUSED:
		return;
	case FLEET_EVIDENCE_SUCCESS:
		target->success_ms = now_ms;
		target->service->totals.probes_succeeded++;
		if (++target->probe_successes >=
		    get_probes_needed(target->service))
			set_verdict(detector, target, FLEET_VERDICT_HEALTHY,
			    "probes succeeded");
		return;
	default:
		target->service->totals.probes_failed++;
		eject(detector, target, evidence->kind, now_ms);
	}
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
		overloaded += !other->is_unreachable &&
		    other->overloaded_ms != 0 &&
		    now_ms - other->overloaded_ms <= COMMON_WINDOW_MS;
	return (
	    (double)overloaded > COMMON_SHARE * count_targets(target->service));
}

void
hub_outlier_record_evidence(
    hub_outlier_t *detector, const hub_evidence_t *evidence, int64_t now_ms)
{
	outlier_target_t *target = find(detector, evidence->target);
	double weight;

	if (target == NULL || evidence->kind > FLEET_EVIDENCE_PROBE_UNUSED)
		return;
	if (evidence->kind != FLEET_EVIDENCE_PROBE_UNUSED)
		target->used_ms = now_ms;
	if (evidence->kind != FLEET_EVIDENCE_PROBE_UNUSED &&
	    evidence->kind != FLEET_EVIDENCE_SUCCESS)
		target->evidence_ms = now_ms;
	if (evidence->is_probe) {
		record_probe(detector, target, evidence, now_ms);
		return;
	}
	if (target->verdict != FLEET_VERDICT_HEALTHY)
		return;
	weight = evidence_info[evidence->kind].weight;
	if (evidence->kind == FLEET_EVIDENCE_UNREACHABLE &&
	    evidence->gate == target->last_gate &&
	    now_ms - target->last_gate_ms < SAME_GATE_MS)
		weight *= SAME_GATE_WEIGHT;
	if ((evidence->kind == FLEET_EVIDENCE_STALL ||
		evidence->kind == FLEET_EVIDENCE_SHED) &&
	    is_common(target, now_ms))
		weight *= COMMON_WEIGHT;
	target->last_gate = evidence->gate;
	target->last_gate_ms = now_ms;
	decay_failure_score(target, now_ms);
	target->failure_score += weight;
	if (target->failure_score >= FAILURE_SCORE_LIMIT)
		eject(detector, target, evidence->kind, now_ms);
}

static int
is_probing(const outlier_target_t *target)
{
	return (target->verdict == FLEET_VERDICT_PROBE ||
	    target->verdict == FLEET_VERDICT_PROBE_REPEATABLE);
}

void
hub_outlier_restore_ejection(
    hub_outlier_t *detector, uint64_t key, int64_t now_ms)
{
	outlier_target_t *target = find(detector, key);

	if (target == NULL)
		return;
	target->ejected_ms = now_ms;
	target->failed_ms = now_ms;
	set_verdict(detector, target, FLEET_VERDICT_EJECTED,
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
	outlier_target_t *target = find(detector, key);

	if (target == NULL)
		return (0);
	if (!is_probing(target) || target->probe_gate != NODE_ID_NONE) {
		target->service->totals.probes_refused++;
		return (0);
	}
	grant_probe(target, gate, now_ms);
	return (1);
}

/* @return 1 if a healthy target gets too few requests. One that failed or
 * stalled last is left to the ordinary choice. */
static int
is_idle(const outlier_target_t *target, int64_t now_ms)
{
	return (target->verdict == FLEET_VERDICT_HEALTHY &&
	    !target->is_unreachable && !target->is_draining &&
	    target->evidence_ms <= target->success_ms &&
	    now_ms - target->used_ms > HUB_OUTLIER_IDLE_MS);
}

static int
is_open_to(const outlier_target_t *target, int may_repeat)
{
	return (target->probe_gate == NODE_ID_NONE && !target->is_draining &&
	    (target->verdict == FLEET_VERDICT_PROBE ||
		(may_repeat &&
		    target->verdict == FLEET_VERDICT_PROBE_REPEATABLE)));
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
		if ((is_idle(target, now_ms) ||
			is_open_to(target, may_repeat)) &&
		    (chosen == NULL || target->used_ms < chosen->used_ms))
			chosen = target;
	}
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

/* @return 1 if requests that must not be repeated may probe a target: most
 * faults have passed, or no repeatable request has come to probe it */
static int
is_open_to_any(const outlier_target_t *target, int64_t now_ms)
{
	int has_repeatable = target->probe_ms > target->failed_ms;

	return (now_ms - target->failed_ms >= UNREPEATABLE_BACKOFF_MS &&
	    (!has_repeatable ||
		now_ms - target->ejected_ms >= REPEATABLE_ONLY_MS));
}

static void
offer_probe(hub_outlier_t *detector, outlier_target_t *target, int64_t now_ms)
{
	int64_t idle_ms = now_ms - target->failed_ms;

	if (target->probe_gate != NODE_ID_NONE)
		return;
	if (target->is_unreachable) {
		if (idle_ms >= UNREACHABLE_BACKOFF_MS)
			set_verdict(detector, target, FLEET_VERDICT_PROBE,
			    "unreachable for the leader, probed through the gates");
		return;
	}
	if (is_open_to_any(target, now_ms))
		set_verdict(detector, target, FLEET_VERDICT_PROBE,
		    "any request may probe it");
	else if (target->verdict == FLEET_VERDICT_EJECTED &&
	    idle_ms >= PROBE_BACKOFF_MS)
		set_verdict(detector, target, FLEET_VERDICT_PROBE_REPEATABLE,
		    "repeatable requests may probe it");
}

/* @return 1 if a target gets no requests at all: not healthy, and not open to
 * probes by any request */
static int
is_unused(const outlier_target_t *target, int64_t now_ms)
{
	return (!target->is_unreachable &&
	    target->verdict != FLEET_VERDICT_HEALTHY &&
	    target->verdict != FLEET_VERDICT_PROBE &&
	    now_ms - target->failed_ms > UNUSED_MS);
}

/* Counts the targets of a service that get no requests at all. */
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

/* Opens unused targets to probes by any request until at most UNUSED_SHARE of
 * the service's targets is unused. */
static void
limit_unused(
    hub_outlier_t *detector, const outlier_service_t *service, int64_t now_ms)
{
	outlier_target_t *target;
	uint32_t unused = count_unused(service, now_ms);
	uint32_t allowed = (uint32_t)(UNUSED_SHARE * count_targets(service));

	for (; unused > allowed; unused--) {
		target = find_longest_idle(service, now_ms);
		if (target == NULL)
			return;
		set_verdict(detector, target, FLEET_VERDICT_PROBE,
		    "too many targets of the service are unused");
	}
}

void
hub_outlier_tick(hub_outlier_t *detector, int64_t now_ms)
{
	outlier_service_t *service;
	outlier_service_t *next_service;
	outlier_target_t *target;
	outlier_target_t *next;

	HASH_ITER(hh, detector->services, service, next_service)
		limit_unused(detector, service, now_ms);
	HASH_ITER(hh, detector->targets, target, next) {
		if (target->probe_gate != NODE_ID_NONE &&
		    now_ms - target->probe_ms > PROBE_TIMEOUT_MS)
			target->probe_gate = NODE_ID_NONE;
		target->is_unreachable = is_unresponsive(target, now_ms);
		if (target->verdict != FLEET_VERDICT_HEALTHY)
			offer_probe(detector, target, now_ms);
		else if (target->is_unreachable)
			eject(detector, target, FLEET_EVIDENCE_UNREACHABLE,
			    now_ms);
	}
}

fleet_verdict_t
hub_outlier_get_verdict(const hub_outlier_t *detector, uint64_t key)
{
	const outlier_target_t *target = find(detector, key);

	return (target != NULL ? target->verdict : FLEET_VERDICT_HEALTHY);
}

int
hub_outlier_get_info(
    const hub_outlier_t *detector, uint64_t key, hub_outlier_info_t *info)
{
	const outlier_target_t *target = find(detector, key);

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
count_target(const outlier_target_t *target, int64_t now_ms,
    hub_outlier_counts_t *counts)
{
	counts->unreachable += target->is_unreachable;
	switch (target->verdict) {
	case FLEET_VERDICT_HEALTHY:
		counts->healthy++;
		counts->idle += now_ms - target->used_ms > HUB_OUTLIER_IDLE_MS;
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
	for (target = service->targets; target != NULL; target = target->next)
		count_target(target, now_ms, counts);
	return (TM_OK);
}
