#include "hub/hub_outlier_scarce.h"

#include <math.h>

/* A target is not probed sooner after a failure: gates still report failures of
 * the requests that they sent before the ejection. */
#define PROBE_INTERVAL_MIN_MS 250
/* Repeatable requests cost nothing where they fail, and probe from this time
 * after a failure on. */
#define REPEATABLE_BACKOFF_MS 1000
/* Interval of the probes of an unreachable target: gates may still reach it. */
#define UNREACHABLE_BACKOFF_MS 3000
/* Estimates up to which a target is probed by any request, and returns after a
 * successful probe: with room to spare, and in a full service, where a request
 * at a target in doubt is worth more than a refusal. */
#define PROBE_ESTIMATE_CALM	      0.5
#define PROBE_ESTIMATE_FULL	      0.8
#define CONFIRMED_PROBE_ESTIMATE_CALM 0.35
#define CONFIRMED_PROBE_ESTIMATE_FULL 0.6
#define RETURN_ESTIMATE_CALM	      0.15
#define RETURN_ESTIMATE_FULL	      0.6
/* The limits rise from the first utilization to the second one. */
#define UTILIZATION_CALM 0.7
#define UTILIZATION_FULL 1.2
/* Share of a full service's targets that must be in use; below it the better of
 * the targets in doubt return without a probe. */
#define IN_USE_FULL_SHARE 0.6
/* A target with a success this recently has stalled or shed requests because it
 * is overloaded. Gates report successes every 500 ms. */
#define ALIVE_MS 2000
/* A target that may be sound counts as unused after this time; the rest of the
 * window is for a request to come. */
#define UNUSED_MS 1400
/* From this failed share on any target that is out of use may be a sound one. */
#define FAILED_SHARE_TROUBLE 0.05
/* A new leader takes each service for one in trouble for this time, until it knows
 * the failed share and the utilization. Gates report every 500 ms, and may need
 * more than 1 s to find the leader. */
#define NEW_LEADER_MS 4000
/* A gate that does not ask within this time probably has no request for the
 * service, and another one is told. */
#define OFFER_TIMEOUT_MS 300
/* Weight of one offer in the share of the gates that ask, and its lower bound. */
#define ASKING_WEIGHT	 0.05
#define ASKING_SHARE_MIN 0.05

/* Estimates of a new service right after an ejection and in the end, and the
 * time constant of the decay. */
#define EJECTED_ESTIMATE 0.5
#define REST_ESTIMATE	 0.05
#define RECOVERY_MS	 4500.0
/* After a failed probe. */
#define CONFIRMED_ESTIMATE 0.95
/* Both are corrected by this fraction of what a probe's result differs from the
 * estimate, within bounds: a service may change, and a few results may mislead. */
#define CORRECTION	     0.1
#define EJECTED_ESTIMATE_MIN 0.2
#define EJECTED_ESTIMATE_MAX 0.95
#define RECOVERY_MIN_MS	     1000.0
#define RECOVERY_MAX_MS	     10000.0
/* Up to these estimates right after an ejection, a target is kept that breaks one
 * connection. A second one within the time ejects it; its score then tells it
 * from one without a failure. */
#define KEEP_ESTIMATE_CALM 0.4
#define KEEP_ESTIMATE_FULL 0.7
#define KEEP_MS		   400
#define KEPT_ESTIMATE	   0.85 /* after the second one */
#define BROKEN_WEIGHT_KEPT 0.4
#define FAILED_LATELY_MS   20000
/* Ratio of the probabilities of a success at a target that fails most requests,
 * and at one that is well. */
#define SUCCESS_RATIO 0.2

/* @return 0 with room to spare to 1 in a full service */
static double
get_fullness(const outlier_service_t *service)
{
	double fullness = (service->utilization - UTILIZATION_CALM) /
	    (UTILIZATION_FULL - UTILIZATION_CALM);

	return (fmin(fmax(fullness, 0), 1));
}

static int
is_full(const outlier_service_t *service)
{
	return (service->utilization >= OUTLIER_UTILIZATION_FULL);
}

static double
interpolate(const outlier_service_t *service, double calm, double full)
{
	return (calm + get_fullness(service) * (full - calm));
}

void
outlier_scarce_init_service(outlier_service_t *service)
{
	service->ejected_estimate = EJECTED_ESTIMATE;
	service->recovery_ms = RECOVERY_MS;
	service->asking_share = 1;
}

/* @return probability that a target still fails */
static double
get_estimate(const outlier_target_t *target, int64_t now_ms)
{
	return (REST_ESTIMATE +
	    (target->estimate - REST_ESTIMATE) *
		exp((double)(target->estimate_ms - now_ms) /
		    target->service->recovery_ms));
}

static void
correct_ejected_estimate(outlier_service_t *service, double error)
{
	service->ejected_estimate =
	    fmin(fmax(service->ejected_estimate + CORRECTION * error,
		     EJECTED_ESTIMATE_MIN),
		EJECTED_ESTIMATE_MAX);
}

/* Corrects what the estimates of the service start from by the result of a
 * probe: how many of the ejected targets fail for long, and for how long. */
static void
correct(const outlier_target_t *target, int has_failed, int64_t now_ms)
{
	outlier_service_t *service = target->service;
	double error = has_failed - get_estimate(target, now_ms);

	if (target->is_confirmed)
		service->recovery_ms =
		    fmin(fmax(service->recovery_ms * exp(CORRECTION * error),
			     RECOVERY_MIN_MS),
			RECOVERY_MAX_MS);
	else
		correct_ejected_estimate(service, error);
}

/* @return 1 if a target was ejected not long ago; it probably fails again, as
 * the ones that have bad phases do */
static int
has_failed_lately(const outlier_target_t *target, int64_t now_ms)
{
	return (target->confirmed_ms != 0 &&
	    now_ms - target->confirmed_ms < FAILED_LATELY_MS);
}

void
outlier_scarce_estimate_failure(outlier_target_t *target, int64_t now_ms)
{
	outlier_service_t *service = target->service;

	if (target->verdict == FLEET_VERDICT_HEALTHY &&
	    has_failed_lately(target, now_ms)) {
		target->estimate = KEPT_ESTIMATE;
		target->is_confirmed = 1;
	} else if (target->verdict == FLEET_VERDICT_HEALTHY &&
	    target->broken_ms != 0) {
		correct_ejected_estimate(
		    service, 1 - service->ejected_estimate);
		target->estimate = KEPT_ESTIMATE;
		target->is_confirmed = 1;
	} else if (target->verdict == FLEET_VERDICT_HEALTHY) {
		target->estimate = service->ejected_estimate;
		target->is_confirmed = 0;
	} else {
		correct(target, 1, now_ms);
		target->estimate = CONFIRMED_ESTIMATE;
		target->confirmed_ms = now_ms;
		target->is_confirmed = 1;
	}
	target->broken_ms = 0;
	target->estimate_ms = now_ms;
}

void
outlier_scarce_estimate_success(outlier_target_t *target, int64_t now_ms)
{
	double estimate = get_estimate(target, now_ms);
	double odds = SUCCESS_RATIO * estimate / (1 - estimate);

	correct(target, 0, now_ms);
	target->estimate = odds / (1 + odds);
	target->estimate_ms = now_ms;
}

double
outlier_scarce_get_estimate_max(const outlier_service_t *service)
{
	return (
	    interpolate(service, RETURN_ESTIMATE_CALM, RETURN_ESTIMATE_FULL));
}

static uint32_t
get_wanted_if_full(const outlier_service_t *service)
{
	return ((uint32_t)(IN_USE_FULL_SHARE * outlier_count_targets(service)));
}

/* @return 1 if a full service has too few targets in use */
static int
is_short(const outlier_service_t *service)
{
	return (is_full(service) &&
	    outlier_count_healthy(service) <= get_wanted_if_full(service));
}

/* A target that breaks one connection may be kept: if it fails, the next request
 * is lost there, as a probe would be, and if it does not, its capacity is not
 * missed meanwhile. */
static double
weigh_broken(outlier_target_t *target, int64_t now_ms)
{
	const outlier_service_t *service = target->service;

	if (target->broken_ms != 0)
		return (1);
	if (!is_short(service) &&
	    (has_failed_lately(target, now_ms) ||
		service->ejected_estimate > interpolate(service,
						KEEP_ESTIMATE_CALM,
						KEEP_ESTIMATE_FULL)))
		return (1);
	target->broken_ms = now_ms;
	return (BROKEN_WEIGHT_KEPT);
}

double
outlier_scarce_get_weight(outlier_target_t *target, fleet_evidence_t kind,
    double weight, int is_shared, int64_t now_ms)
{
	if (kind == FLEET_EVIDENCE_BROKEN)
		return (weigh_broken(target, now_ms));
	if (kind != FLEET_EVIDENCE_STALL && kind != FLEET_EVIDENCE_SHED)
		return (weight);
	if (kind == FLEET_EVIDENCE_SHED && target->broken_ms != now_ms)
		target->broken_ms = 0;
	if (now_ms - target->success_ms > ALIVE_MS)
		return (weight);
	if (kind == FLEET_EVIDENCE_STALL && !is_shared)
		return (weight);
	return (0);
}

/* @return 1 if a probe by any request is worth its expected loss */
static int
is_worth_probe(const outlier_target_t *target, int64_t now_ms)
{
	const outlier_service_t *service = target->service;
	double estimate_max;

	if (now_ms - target->failed_ms < PROBE_INTERVAL_MIN_MS)
		return (0);
	if (service->has_repeatable &&
	    now_ms - target->used_ms < HUB_OUTLIER_IDLE_MS)
		return (0);
	estimate_max = target->is_confirmed
	    ? interpolate(service, CONFIRMED_PROBE_ESTIMATE_CALM,
		  CONFIRMED_PROBE_ESTIMATE_FULL)
	    : interpolate(service, PROBE_ESTIMATE_CALM, PROBE_ESTIMATE_FULL);
	return (get_estimate(target, now_ms) <= estimate_max);
}

void
outlier_scarce_offer_probe(
    hub_outlier_t *detector, outlier_target_t *target, int64_t now_ms)
{
	int64_t idle_ms = now_ms - target->failed_ms;

	if (target->is_unreachable) {
		target->is_open = idle_ms >= UNREACHABLE_BACKOFF_MS;
		return;
	}
	if (is_worth_probe(target, now_ms))
		target->is_open = 1;
	if (target->service->has_repeatable &&
	    target->verdict == FLEET_VERDICT_EJECTED &&
	    idle_ms >= REPEATABLE_BACKOFF_MS)
		outlier_set_verdict(detector, target,
		    FLEET_VERDICT_PROBE_REPEATABLE,
		    "repeatable requests may probe it");
}

/* @return 1 if a target that may be sound has had no request lately and waits
 * for none. A probe without a result by then may never have been sent: its grant
 * is lost if the gate has lost contact. */
static int
is_unused(const outlier_target_t *target, int64_t now_ms)
{
	int is_waiting = target->is_open && target->probe_gate == NODE_ID_NONE;

	return (target->verdict != FLEET_VERDICT_HEALTHY &&
	    outlier_is_present(target) && !target->is_draining && !is_waiting &&
	    now_ms - target->failed_ms >= UNUSED_MS &&
	    now_ms - target->probe_ms >= UNUSED_MS);
}

/* @return 1 if so many requests may be lost that the share of the sound targets
 * counts. A new leader does not know yet. */
static int
is_in_trouble(const hub_outlier_t *detector, const outlier_service_t *service,
    int64_t now_ms)
{
	return (is_full(service) ||
	    outlier_get_failed_share(service) >= FAILED_SHARE_TROUBLE ||
	    (detector->restored_ms != 0 &&
		now_ms - detector->restored_ms < NEW_LEADER_MS));
}

/* @return targets in use that have not failed for a time. Others may be in use as
 * well: a full service keeps targets that fail now and then, and slow ones. */
static uint32_t
count_sound_in_use(const outlier_service_t *service, int64_t now_ms)
{
	const outlier_target_t *target;
	uint32_t sound = 0;

	for (target = service->targets; target != NULL; target = target->next)
		sound += outlier_is_present(target) &&
		    target->verdict == FLEET_VERDICT_HEALTHY &&
		    (target->evidence_ms == 0 ||
			now_ms - target->evidence_ms >=
			    HUB_OUTLIER_SOUND_AFTER_MS);
	return (sound);
}

static outlier_target_t *
find_longest_unused(const outlier_service_t *service, int is_in_trouble,
    int64_t now_ms, double *sound)
{
	outlier_target_t *longest = NULL;
	outlier_target_t *target;

	*sound = 0;
	for (target = service->targets; target != NULL; target = target->next) {
		if (!is_unused(target, now_ms))
			continue;
		*sound += is_in_trouble ? 1 : 1 - get_estimate(target, now_ms);
		if (longest == NULL || target->failed_ms < longest->failed_ms)
			longest = target;
	}
	return (longest);
}

/* Opens a target to any request; a probe without a result still counts. */
static void
open_target(outlier_target_t *target)
{
	target->is_open = 1;
	if (target->probe_gate == NODE_ID_NONE)
		return;
	target->late_gate = target->probe_gate;
	target->late_ms = target->probe_ms;
	target->probe_gate = NODE_ID_NONE;
}

/* The share is one of the sound targets; those that certainly are, are in use.
 * In trouble any of the others may have recovered right after its last failure;
 * otherwise each counts by the probability of that, as probes that fail would be
 * most of the loss. */
static void
limit_unused(
    hub_outlier_t *detector, outlier_service_t *service, int64_t now_ms)
{
	int in_trouble = is_in_trouble(detector, service, now_ms);
	double allowed =
	    detector->unused_share_max * count_sound_in_use(service, now_ms);
	outlier_target_t *target;
	double sound;

	target = find_longest_unused(service, in_trouble, now_ms, &sound);
	while (target != NULL && sound > allowed) {
		open_target(target);
		target =
		    find_longest_unused(service, in_trouble, now_ms, &sound);
	}
}

static outlier_target_t *
find_least_doubtful(const outlier_service_t *service, int64_t now_ms)
{
	outlier_target_t *best = NULL;
	outlier_target_t *target;

	for (target = service->targets; target != NULL; target = target->next) {
		if (target->verdict == FLEET_VERDICT_HEALTHY ||
		    !outlier_is_present(target) || target->is_draining ||
		    now_ms - target->failed_ms < PROBE_INTERVAL_MIN_MS)
			continue;
		if (best == NULL ||
		    get_estimate(target, now_ms) < get_estimate(best, now_ms))
			best = target;
	}
	return (best);
}

static void
fill_up(hub_outlier_t *detector, outlier_service_t *service, int64_t now_ms)
{
	uint32_t wanted = get_wanted_if_full(service);
	uint32_t healthy = outlier_count_healthy(service);
	outlier_target_t *target;

	if (!is_full(service))
		return;
	for (; healthy < wanted; healthy++) {
		target = find_least_doubtful(service, now_ms);
		if (target == NULL ||
		    get_estimate(target, now_ms) > RETURN_ESTIMATE_FULL)
			return;
		outlier_set_verdict(detector, target, FLEET_VERDICT_HEALTHY,
		    "the full service needs it");
	}
}

static void
drop_offer(outlier_service_t *service, uint32_t i, int has_asked)
{
	service->asking_share +=
	    ASKING_WEIGHT * (has_asked - service->asking_share);
	service->offers[i] = service->offers[--service->offer_count];
}

static void
expire_offers(outlier_service_t *service, int64_t now_ms)
{
	uint32_t i = 0;

	while (i < service->offer_count) {
		if (now_ms - service->offers[i].made_ms > OFFER_TIMEOUT_MS)
			drop_offer(service, i, 0);
		else
			i++;
	}
}

/* A target that has broken no second connection in time is well. */
static void
clear_broken(outlier_target_t *target, int64_t now_ms)
{
	if (target->broken_ms == 0 || now_ms - target->broken_ms < KEEP_MS)
		return;
	target->broken_ms = 0;
	correct_ejected_estimate(
	    target->service, -target->service->ejected_estimate);
}

void
outlier_scarce_update_service(
    hub_outlier_t *detector, outlier_service_t *service, int64_t now_ms)
{
	outlier_target_t *target;

	limit_unused(detector, service, now_ms);
	fill_up(detector, service, now_ms);
	expire_offers(service, now_ms);
	service->waiting = 0;
	for (target = service->targets; target != NULL; target = target->next) {
		clear_broken(target, now_ms);
		service->waiting += outlier_is_waiting(target, now_ms) &&
		    outlier_may_assign(detector, target, now_ms);
	}
}

void
outlier_scarce_end_offer(
    outlier_service_t *service, node_id_t gate, int is_granted)
{
	uint32_t i;

	if (is_granted && service->waiting > 0)
		service->waiting--;
	for (i = 0; i < service->offer_count; i++) {
		if (service->offers[i].gate == gate) {
			drop_offer(service, i, 1);
			return;
		}
	}
}

/* More gates are told than targets wait if most gates have no request in time. */
static uint32_t
get_offers_max(const outlier_service_t *service)
{
	double share = fmax(service->asking_share, ASKING_SHARE_MIN);

	return ((uint32_t)fmin(service->waiting / share, OUTLIER_OFFERS_MAX));
}

int
hub_outlier_offer(
    hub_outlier_t *detector, uint64_t id, node_id_t gate, int64_t now_ms)
{
	outlier_service_t *service;

	HASH_FIND(hh, detector->services, &id, sizeof(id), service);
	if (service == NULL)
		return (0);
	expire_offers(service, now_ms);
	if (service->offer_count >= get_offers_max(service))
		return (0);
	service->offers[service->offer_count++] =
	    (outlier_offer_t){ .gate = gate, .made_ms = now_ms };
	return (1);
}
