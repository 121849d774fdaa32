#include <math.h>
#include <string.h>

#include "base/log.h"
#include "service/service_leader_internal.h"

#define EJECT_BACKOFF_MS	1000
#define EJECT_BACKOFF_MAX_MS	60000
#define EJECT_COUNT_RESET_MS	600000
#define EJECT_PROBES_TO_RETURN	5
#define EJECT_PROBE_INTERVAL_MS 200
#define EJECT_PERMIT_TIMEOUT_MS 1000
/* After this many unused permits the service seems to have no repeatable
 * requests, and any request may use the next one. */
#define EJECT_UNUSED_PERMITS 3
/* A worse target replaces an ejected one only at this ratio of scores. */
#define EJECT_SWAP_FACTOR 2.0

#define CRASH_WINDOW_MS	       60000
#define CRASH_BLOCK_MS	       600000
#define CRASH_TARGETS_TO_BLOCK 2
/* All connections of a crashed process break within this time. */
#define CRASH_BREAKS_MS 500

uint32_t
leader_count_in_use(const service_leader_t *leader)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		if (leader->targets[i].used &&
		    leader->targets[i].state == SERVICE_TARGET_ACTIVE)
			count++;
	}
	return (count);
}

uint32_t
leader_get_floor(const service_leader_t *leader)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++)
		count += leader->targets[i].used != 0;
	if (leader->opt.test_off & SERVICE_OFF_FLOOR)
		return (0);
	return (service_floor_count(leader->profile.floor_percent, count));
}

static int64_t
eject_get_backoff_ms(
    const service_leader_t *leader, const leader_target_t *target)
{
	uint32_t doublings = target->ejections > 0 ? target->ejections - 1 : 0;
	int64_t wait_ms;

	if (leader->opt.test_off & SERVICE_OFF_BACKOFF)
		return (EJECT_BACKOFF_MS);
	if (doublings > 6)
		doublings = 6;
	wait_ms = (int64_t)EJECT_BACKOFF_MS << doublings;
	return (
	    wait_ms < EJECT_BACKOFF_MAX_MS ? wait_ms : EJECT_BACKOFF_MAX_MS);
}

void
leader_eject(service_leader_t *leader, uint32_t index, double failure_score,
    int64_t now_ms)
{
	leader_target_t *target = &leader->targets[index];

	if (now_ms - target->ejected_ms > EJECT_COUNT_RESET_MS)
		target->ejections = 0;
	target->ejections++;
	target->state = SERVICE_TARGET_EJECTED;
	target->ejected_ms = now_ms;
	target->verdict = target->finding;
	target->verdict.failure_score = failure_score;
	target->state_since_ms = now_ms;
	target->probe_successes = 0;
	target->probe_latency_sum_ms = 0;
	target->permit = 0;
	target->unused_permits = 0;
	target->next_probe_ms = now_ms + eject_get_backoff_ms(leader, target);
	leader->stats.ejections++;
	leader->dirty = 1;
	LOG_EVENT(601, LOG_LEVEL_WARN, "target ejected",
	    LOG_TEXT("service", leader->name),
	    LOG_TEXT("target", target->info.target),
	    LOG_TEXT("evidence",
		service_evidence_get_name(target->verdict.evidence)),
	    LOG_NUM("value_percent", target->verdict.value * 100),
	    LOG_NUM("limit_percent", target->verdict.limit * 100),
	    LOG_NUM("severity_percent", failure_score * 100),
	    LOG_NUM("ejections", target->ejections));
}

void
leader_return(service_leader_t *leader, uint32_t index, int64_t now_ms)
{
	leader_target_t *target = &leader->targets[index];

	target->state = SERVICE_TARGET_ACTIVE;
	target->state_since_ms = now_ms;
	target->cold_started_ms = now_ms;
	target->permit = 0;
	leader_evidence_clear_target(leader, index);
	leader->stats.returns++;
	leader->dirty = 1;
	LOG_EVENT(602, LOG_LEVEL_INFO, "target returned",
	    LOG_TEXT("service", leader->name),
	    LOG_TEXT("target", target->info.target));
}

static int
eject_find_lowest_score(const service_leader_t *leader)
{
	const leader_target_t *target;
	int found = -1;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		target = &leader->targets[i];
		if (!target->used || target->state != SERVICE_TARGET_EJECTED)
			continue;
		if (found < 0 ||
		    target->verdict.failure_score <
			leader->targets[found].verdict.failure_score)
			found = (int)i;
	}
	return (found);
}

/* Ejects a target in place of an ejected one with a far lower score. */
static void
eject_swap(service_leader_t *leader, uint32_t index, double failure_score,
    int64_t now_ms)
{
	int least = eject_find_lowest_score(leader);

	leader->stats.floor_kept++;
	if (least < 0)
		return;
	if (failure_score <
	    EJECT_SWAP_FACTOR * leader->targets[least].verdict.failure_score)
		return;
	leader_return(leader, (uint32_t)least, now_ms);
	leader_eject(leader, index, failure_score, now_ms);
}

static int
eject_find_highest_score(
    const service_leader_t *leader, const double *failure_score)
{
	int worst = -1;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		if (failure_score[i] <= 0.0)
			continue;
		if (worst < 0 || failure_score[i] > failure_score[worst])
			worst = (int)i;
	}
	return (worst);
}

void
leader_eject_within_floor(
    service_leader_t *leader, const double *failure_score, int64_t now_ms)
{
	double left[SERVICE_TARGETS_MAX];
	int worst;

	memcpy(left, failure_score, sizeof(left));
	while ((worst = eject_find_highest_score(leader, left)) >= 0) {
		if (leader_count_in_use(leader) > leader_get_floor(leader))
			leader_eject(
			    leader, (uint32_t)worst, left[worst], now_ms);
		else
			eject_swap(
			    leader, (uint32_t)worst, left[worst], now_ms);
		left[worst] = 0.0;
	}
}

void
leader_restore_floor(service_leader_t *leader, int64_t now_ms)
{
	int least;

	while (leader_count_in_use(leader) < leader_get_floor(leader)) {
		least = eject_find_lowest_score(leader);
		if (least < 0)
			return;
		leader_return(leader, (uint32_t)least, now_ms);
	}
}

/* Draws a VM among those with traffic, so that the permit is used soon. */
static const leader_vm_t *
eject_draw_vm(service_leader_t *leader, int64_t now_ms)
{
	const leader_vm_t *found = NULL;
	const leader_vm_t *vm;
	uint64_t seen = 0;

	for (vm = leader->vms; vm != NULL; vm = vm->hh.next) {
		if (vm->traffic_ms == 0 || now_ms - vm->traffic_ms > 1000)
			continue;
		if (rng_below(&leader->rng, ++seen) == 0)
			found = vm;
	}
	return (found);
}

static int
eject_is_open_to_any(
    const service_leader_t *leader, const leader_target_t *target)
{
	return (target->unused_permits >= EJECT_UNUSED_PERMITS &&
	    !(leader->opt.test_off & SERVICE_OFF_ANY_PROBE));
}

static void
eject_send_probe_permit(
    service_leader_t *leader, leader_target_t *target, int64_t now_ms)
{
	ServiceTrial msg = SERVICE_TRIAL__INIT;
	const leader_vm_t *vm = eject_draw_vm(leader, now_ms);

	if (vm == NULL)
		return;
	target->permit = (leader->term << 32) + ++leader->permits;
	target->permit_until_ms = now_ms + EJECT_PERMIT_TIMEOUT_MS;
	msg.service = leader->id;
	msg.target = target->id;
	msg.incarnation = target->info.incarnation;
	msg.permit = target->permit;
	msg.allows_unrepeatable = eject_is_open_to_any(leader, target);
	leader->opt.send(leader->opt.ctx, vm->id, MSG_SERVICE_TRIAL, &msg.base);
}

void
leader_send_probe_permits(service_leader_t *leader, int64_t now_ms)
{
	leader_target_t *target;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		target = &leader->targets[i];
		if (!target->used || target->state != SERVICE_TARGET_EJECTED)
			continue;
		if (target->permit != 0 && now_ms >= target->permit_until_ms) {
			target->permit = 0;
			target->unused_permits++;
		}
		if (target->permit == 0 && now_ms >= target->next_probe_ms)
			eject_send_probe_permit(leader, target, now_ms);
	}
}

/* Successful probes must also have about the mean latency of the peers. */
static int
eject_are_probes_fast(
    const service_leader_t *leader, const leader_target_t *target)
{
	double ratio = service_outlier_get_ratio(leader->profile.sensitivity);
	double limit_ms = fmax(leader->typical_ms, 1.0) * ratio + 3;

	if (leader->typical_ms <= 0.0)
		return (1);
	return (
	    target->probe_latency_sum_ms / target->probe_successes <= limit_ms);
}

void
leader_handle_probe_result(
    service_leader_t *leader, const ServiceTrialResult *msg, int64_t now_ms)
{
	int index = leader_find_index(leader, msg->target);
	leader_target_t *target;

	if (index < 0)
		return;
	target = &leader->targets[index];
	if (target->permit == 0 || target->permit != msg->permit ||
	    target->state != SERVICE_TARGET_EJECTED)
		return;
	target->permit = 0;
	if (!eject_is_open_to_any(leader, target))
		target->unused_permits = 0;
	target->next_probe_ms = now_ms + EJECT_PROBE_INTERVAL_MS;
	target->probe_latency_sum_ms += msg->latency_ms;
	target->probe_successes++;
	if (!msg->good ||
	    (target->probe_successes == EJECT_PROBES_TO_RETURN &&
		!eject_are_probes_fast(leader, target))) {
		target->probe_successes = 0;
		target->probe_latency_sum_ms = 0;
		target->next_probe_ms =
		    now_ms + eject_get_backoff_ms(leader, target);
		return;
	}
	if (target->probe_successes >= EJECT_PROBES_TO_RETURN)
		leader_return(leader, (uint32_t)index, now_ms);
}

static void
crash_block(service_leader_t *leader, uint64_t fingerprint, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < leader->blocked_count; i++) {
		if (leader->blocked[i].fingerprint == fingerprint)
			return;
	}
	if (leader->opt.test_off & SERVICE_OFF_CRASH_BLOCK)
		return;
	if (i == SERVICE_BLOCKED_MAX) {
		memmove(leader->blocked, leader->blocked + 1,
		    (i - 1) * sizeof(leader->blocked[0]));
		i--;
	}
	leader->blocked[i] = (leader_blocked_t){
		.fingerprint = fingerprint,
		.until_ms = now_ms + CRASH_BLOCK_MS,
	};
	leader->blocked_count = i + 1;
	leader->stats.blocked++;
	leader->dirty = 1;
	LOG_EVENT(603, LOG_LEVEL_WARN, "request blocked: it crashed targets",
	    LOG_TEXT("service", leader->name),
	    LOG_NUM("fingerprint", fingerprint));
}

static uint32_t
crash_count_targets(
    const service_leader_t *leader, uint64_t fingerprint, int64_t now_ms)
{
	uint64_t first = 0;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < LEADER_CRASHES_MAX; i++) {
		if (leader->crashes[i].fingerprint != fingerprint ||
		    leader->crashes[i].at_ms == 0 ||
		    now_ms - leader->crashes[i].at_ms > CRASH_WINDOW_MS)
			continue;
		if (count == 0 || leader->crashes[i].target != first)
			count++;
		first = leader->crashes[i].target;
	}
	return (count);
}

static int
crash_is_known(
    const service_leader_t *leader, const ServiceCrash *msg, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < LEADER_CRASHES_MAX; i++) {
		if (leader->crashes[i].at_ms != 0 &&
		    now_ms - leader->crashes[i].at_ms < CRASH_WINDOW_MS &&
		    leader->crashes[i].fingerprint == msg->fingerprint &&
		    leader->crashes[i].target == msg->target)
			return (1);
	}
	return (0);
}

/*
 * A crashed process breaks all its connections at once and restarts with a
 * higher incarnation. Breaks that continue in the same incarnation are
 * failures of the target itself.
 */
static void
crash_add_evidence(service_leader_t *leader, node_id_t from,
    const ServiceCrash *msg, int64_t now_ms)
{
	const service_sample_t sample = { .count = 1, .failures = 1 };
	int index = leader_find_index(leader, msg->target);
	leader_target_t *target;
	leader_vm_t *vm;

	if (index < 0)
		return;
	target = &leader->targets[index];
	if (msg->incarnation != target->info.incarnation)
		return;
	if (target->first_break_ms == 0 ||
	    now_ms - target->first_break_ms > CRASH_WINDOW_MS)
		target->first_break_ms = now_ms;
	if (now_ms - target->first_break_ms <= CRASH_BREAKS_MS)
		return;
	HASH_FIND(hh, leader->vms, &from, sizeof(from), vm);
	if (vm != NULL)
		leader_evidence_add(leader, vm, (uint32_t)index, &sample);
}

void
leader_handle_crash(service_leader_t *leader, node_id_t from,
    const ServiceCrash *msg, int64_t now_ms)
{
	if (crash_is_known(leader, msg, now_ms))
		return;
	leader->crashes[leader->crash_next++ % LEADER_CRASHES_MAX] =
	    (leader_crash_t){
		    .fingerprint = msg->fingerprint,
		    .target = msg->target,
		    .at_ms = now_ms,
	    };
	if (crash_count_targets(leader, msg->fingerprint, now_ms) >=
	    CRASH_TARGETS_TO_BLOCK)
		crash_block(leader, msg->fingerprint, now_ms);
	else
		crash_add_evidence(leader, from, msg, now_ms);
}
