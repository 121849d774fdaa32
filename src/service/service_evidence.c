#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "service/service_leader_internal.h"

/* Fewer attempts of the other VMs say nothing about the target. */
#define EVIDENCE_OTHERS_MIN	 3.0
#define EVIDENCE_AVOID_EXPIRY_MS 10000
/* Weight of each evaluation, every 100 ms, in past_ms: about a minute. */
#define EVIDENCE_PAST_WEIGHT 0.0015

/* Windows of one target by data centre, with the worst single VM of each. */
typedef struct evidence_sums {
	service_window_t dc[LEADER_DATA_CENTRES_MAX];
	service_window_t dc_worst[LEADER_DATA_CENTRES_MAX];
	service_window_t worst;
} evidence_sums_t;

void
leader_evidence_clear(service_leader_t *leader)
{
	leader_vm_t *vm;
	leader_vm_t *tmp;

	HASH_ITER(hh, leader->vms, vm, tmp) {
		HASH_DEL(leader->vms, vm);
		free(vm->target_windows);
		free(vm->demand);
		free(vm);
	}
	memset(leader->totals, 0, sizeof(leader->totals));
	leader->dc_count = 0;
	free(leader->last_seconds);
	leader->last_seconds = NULL;
}

/* If memory is exhausted, only the decaying windows are evaluated. */
void
leader_evidence_init(service_leader_t *leader)
{
	leader->last_seconds =
	    calloc(SERVICE_TARGETS_MAX, sizeof(leader_last_second_t));
	leader->interval_index = 0;
}

void
leader_evidence_clear_target(service_leader_t *leader, uint32_t index)
{
	leader_vm_t *vm;

	for (vm = leader->vms; vm != NULL; vm = vm->hh.next) {
		if (index < vm->window_count)
			memset(&vm->target_windows[index], 0,
			    sizeof(vm->target_windows[index]));
	}
	memset(&leader->totals[index], 0, sizeof(leader->totals[index]));
	if (leader->last_seconds != NULL)
		memset(&leader->last_seconds[index], 0,
		    sizeof(leader->last_seconds[index]));
}

leader_vm_t *
leader_vm_find(const service_leader_t *leader, node_id_t id)
{
	leader_vm_t *vm;

	HASH_FIND(hh, leader->vms, &id, sizeof(id), vm);
	return (vm);
}

leader_vm_t *
leader_vm_get(service_leader_t *leader, node_id_t id, uint32_t data_centre)
{
	leader_vm_t *vm;

	HASH_FIND(hh, leader->vms, &id, sizeof(id), vm);
	if (vm == NULL) {
		vm = calloc(1, sizeof(*vm));
		if (vm == NULL)
			return (NULL);
		vm->id = id;
		HASH_ADD(hh, leader->vms, id, sizeof(vm->id), vm);
	}
	vm->data_centre = data_centre;
	return (vm);
}

void
leader_vm_add_sample(
    leader_vm_t *vm, uint32_t index, const service_sample_t *sample)
{
	uint32_t count = index + 8;
	service_window_t *target_windows;

	if (index >= vm->window_count) {
		target_windows = realloc(
		    vm->target_windows, count * sizeof(target_windows[0]));
		if (target_windows == NULL)
			return;
		memset(target_windows + vm->window_count, 0,
		    (count - vm->window_count) * sizeof(target_windows[0]));
		vm->target_windows = target_windows;
		vm->window_count = count;
	}
	service_window_add(&vm->target_windows[index], sample);
}

static uint32_t
evidence_get_dc_index(service_leader_t *leader, uint32_t data_centre)
{
	uint32_t i;

	for (i = 0; i < leader->dc_count; i++) {
		if (leader->dcs[i] == data_centre)
			return (i);
	}
	if (i == LEADER_DATA_CENTRES_MAX)
		return (i - 1);
	leader->dcs[leader->dc_count++] = data_centre;
	return (i);
}

void
leader_evidence_add(service_leader_t *leader, leader_vm_t *vm, uint32_t index,
    const service_sample_t *sample)
{
	uint32_t dc = evidence_get_dc_index(leader, vm->data_centre);
	leader_interval_t *interval;

	leader_vm_add_sample(vm, index, sample);
	if (leader->last_seconds == NULL)
		return;
	interval =
	    &leader->last_seconds[index].intervals[leader->interval_index][dc];
	interval->count += (uint32_t)sample->count;
	interval->failures += (uint32_t)sample->failures;
	interval->late += (uint32_t)service_sample_get_late(sample);
}

/* Sum of the last second over all data centres but the one with index skip. */
static void
evidence_sum_last_second(const service_leader_t *leader, uint32_t index,
    uint32_t skip, service_sample_t *sum)
{
	const leader_interval_t *interval;
	uint32_t dc;
	uint32_t i;

	*sum = (service_sample_t){ 0 };
	if (leader->last_seconds == NULL ||
	    (leader->opt.test_off & SERVICE_OFF_LAST_SECOND))
		return;
	for (i = 0; i < LEADER_SECOND_INTERVALS; i++) {
		for (dc = 0; dc < leader->dc_count; dc++) {
			interval =
			    &leader->last_seconds[index].intervals[i][dc];
			if (dc == skip)
				continue;
			sum->count += interval->count;
			sum->failures += interval->failures;
			sum->successes += (double)interval->count -
			    interval->failures - interval->late;
		}
	}
}

/* Clears the oldest interval of all targets and starts to fill it. */
static void
evidence_advance_interval(service_leader_t *leader)
{
	uint32_t i;

	if (leader->last_seconds == NULL)
		return;
	leader->interval_index =
	    (leader->interval_index + 1) % LEADER_SECOND_INTERVALS;
	for (i = 0; i < leader->target_count; i++)
		memset(
		    leader->last_seconds[i].intervals[leader->interval_index],
		    0, sizeof(leader->last_seconds[i].intervals[0]));
}

/* Failed and rejected attempts, plus excess latency in typical latencies. */
static double
evidence_get_excess(const service_window_t *window, double typical_ms)
{
	const service_sample_t *slow = &window->slow;
	double excess = slow->failures + slow->rejected;

	if (typical_ms > 0.0)
		excess +=
		    fmax(0.0, slow->latency_ms / typical_ms - slow->successes);
	return (excess);
}

static void
evidence_keep_worst(
    service_window_t *worst, const service_window_t *window, double typical_ms)
{
	double a = evidence_get_excess(window, typical_ms);

	if (a > evidence_get_excess(worst, typical_ms))
		*worst = *window;
}

static void
evidence_drop_unresponsive(service_leader_t *leader, int64_t now_ms)
{
	leader_vm_t *vm;
	leader_vm_t *tmp;

	HASH_ITER(hh, leader->vms, vm, tmp) {
		if (now_ms - vm->reported_ms <= LEADER_VM_TIMEOUT_MS)
			continue;
		HASH_DEL(leader->vms, vm);
		free(vm->target_windows);
		free(vm->demand);
		free(vm);
	}
}

static void
evidence_sum(service_leader_t *leader, evidence_sums_t *sums, int64_t now_ms)
{
	const service_window_t *cell;
	leader_vm_t *vm;
	double fast;
	double slow;
	uint32_t dc;
	uint32_t i;

	service_window_get_decay(now_ms - leader->decayed_ms, &fast, &slow);
	leader->decayed_ms = now_ms;
	memset(leader->totals, 0, sizeof(leader->totals));
	for (vm = leader->vms; vm != NULL; vm = vm->hh.next) {
		dc = evidence_get_dc_index(leader, vm->data_centre);
		for (i = 0; i < vm->window_count; i++) {
			if (i >= leader->target_count)
				break;
			service_window_scale(
			    &vm->target_windows[i], fast, slow);
			cell = &vm->target_windows[i];
			service_window_merge(&leader->totals[i], cell);
			service_window_merge(&sums[i].dc[dc], cell);
			evidence_keep_worst(
			    &sums[i].dc_worst[dc], cell, leader->typical_ms);
			evidence_keep_worst(
			    &sums[i].worst, cell, leader->typical_ms);
		}
	}
}

static double
evidence_evaluate_window(service_leader_t *leader, uint32_t index,
    const service_window_t *window, const service_peers_t *peers,
    int64_t now_ms, service_finding_t *out)
{
	const leader_target_t *target = &leader->targets[index];
	int cold = now_ms - target->cold_started_ms < LEADER_COLD_MS;

	service_outlier_evaluate(window, peers, leader->profile.sensitivity,
	    target->past_ms, cold, out);
	return (out->failure_score);
}

/*
 * Whether the VMs outside the subset support the finding. Without attempts
 * there, nothing indicates a path fault, so the subset alone decides.
 */
static int
evidence_are_others_suspect(service_leader_t *leader, uint32_t index,
    const service_window_t *subset, const service_peers_t *peers)
{
	service_window_t others = leader->totals[index];

	if (leader->opt.test_off & SERVICE_OFF_PATH)
		return (1);
	service_window_subtract(&others, subset);
	if (others.slow.count < EVIDENCE_OTHERS_MIN)
		return (1);
	return (service_outlier_is_suspect(&others, peers,
	    leader->profile.sensitivity, leader->targets[index].past_ms));
}

/* The same for the last second, where no older attempts hide a fault. */
static int
evidence_is_last_second_suspect(const service_leader_t *leader, uint32_t index,
    uint32_t dc, const service_peers_t *peers)
{
	service_sample_t others;

	evidence_sum_last_second(leader, index, dc, &others);
	return (service_outlier_are_shares_suspect(
	    &others, &peers->slow, leader->profile.sensitivity));
}

static uint32_t
evidence_find_worst_dc(
    const service_leader_t *leader, const evidence_sums_t *sums)
{
	uint32_t worst = 0;
	uint32_t i;

	for (i = 1; i < leader->dc_count; i++) {
		if (evidence_get_excess(&sums->dc[i], leader->typical_ms) >
		    evidence_get_excess(&sums->dc[worst], leader->typical_ms))
			worst = i;
	}
	return (worst);
}

static void
evidence_avoid(
    service_leader_t *leader, uint32_t index, uint32_t dc, int64_t now_ms)
{
	leader_target_t *target = &leader->targets[index];
	uint32_t i;

	for (i = 0; i < target->avoid_count; i++) {
		if (target->avoid[i].data_centre == leader->dcs[dc])
			return;
	}
	if (i == SERVICE_AVOID_MAX)
		return;
	target->avoid[target->avoid_count++] = (leader_avoid_t){
		.data_centre = leader->dcs[dc],
		.until_ms = now_ms + EVIDENCE_AVOID_EXPIRY_MS,
	};
	leader->stats.path_faults++;
	leader->dirty = 1;
}

/* A data centre has a path fault if it is an outlier without its worst VM. */
static void
evidence_check_dcs(service_leader_t *leader, uint32_t index,
    const evidence_sums_t *sums, const service_peers_t *peers, int64_t now_ms)
{
	service_finding_t verdict;
	service_window_t subset;
	uint32_t i;

	if (leader->dc_count < 2 || (leader->opt.test_off & SERVICE_OFF_PATH))
		return;
	for (i = 0; i < leader->dc_count; i++) {
		subset = sums->dc[i];
		service_window_subtract(&subset, &sums->dc_worst[i]);
		if (evidence_evaluate_window(
			leader, index, &subset, peers, now_ms, &verdict) > 0.0)
			evidence_avoid(leader, index, i, now_ms);
	}
}

static void
evidence_expire_avoid(service_leader_t *leader, int64_t now_ms)
{
	leader_target_t *target;
	uint32_t index;
	uint32_t i;

	for (index = 0; index < leader->target_count; index++) {
		target = &leader->targets[index];
		for (i = 0; i < target->avoid_count;) {
			if (target->avoid[i].until_ms > now_ms) {
				i++;
				continue;
			}
			target->avoid[i] = target->avoid[--target->avoid_count];
			leader->dirty = 1;
		}
	}
}

/*
 * Cold targets are no peers, unless too few targets are warm, as after the
 * start of the whole service.
 */
static void
evidence_mark_peers(
    const service_leader_t *leader, uint8_t *use, int64_t now_ms)
{
	const leader_target_t *target;
	uint32_t warm = 0;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		target = &leader->targets[i];
		use[i] = target->used &&
		    target->state == SERVICE_TARGET_ACTIVE &&
		    now_ms - target->cold_started_ms >= LEADER_COLD_MS;
		warm += use[i];
	}
	for (i = 0; warm < 2 && i < leader->target_count; i++)
		use[i] = leader->targets[i].used &&
		    leader->targets[i].state == SERVICE_TARGET_ACTIVE;
}

static double
evidence_check_target(service_leader_t *leader, uint32_t index,
    const evidence_sums_t *sums, const service_peers_t *peers, int64_t now_ms)
{
	leader_target_t *target = &leader->targets[index];
	const service_window_t *total = &leader->totals[index];
	service_sample_t last_second;
	uint32_t worst_dc;
	double failure_score;
	double mean_ms;

	evidence_evaluate_window(
	    leader, index, total, peers, now_ms, &target->finding);
	evidence_sum_last_second(leader, index, UINT32_MAX, &last_second);
	service_outlier_evaluate_shares(&last_second, &peers->slow,
	    leader->profile.sensitivity,
	    now_ms - target->cold_started_ms < LEADER_COLD_MS,
	    &target->finding);
	failure_score = target->finding.failure_score;
	worst_dc = evidence_find_worst_dc(leader, sums);
	if (failure_score > 0.0 &&
	    evidence_are_others_suspect(leader, index, &sums->worst, peers) &&
	    (evidence_are_others_suspect(
		 leader, index, &sums->dc[worst_dc], peers) ||
		evidence_is_last_second_suspect(
		    leader, index, worst_dc, peers)))
		return (failure_score);
	evidence_check_dcs(leader, index, sums, peers, now_ms);
	mean_ms = service_sample_get_mean_ms(&total->slow);
	if (target->past_ms <= 0.0 && total->slow.successes > 20)
		target->past_ms = mean_ms;
	else if (failure_score <= 0.0 && total->slow.successes >= 1.0)
		target->past_ms +=
		    EVIDENCE_PAST_WEIGHT * (mean_ms - target->past_ms);
	return (0.0);
}

void
leader_evidence_evaluate(service_leader_t *leader, int64_t now_ms)
{
	double failure_score[SERVICE_TARGETS_MAX] = { 0 };
	uint8_t use[SERVICE_TARGETS_MAX] = { 0 };
	service_peers_t peers;
	evidence_sums_t *sums;
	uint32_t i;

	sums = calloc(leader->target_count + 1, sizeof(*sums));
	if (sums == NULL)
		return;
	evidence_drop_unresponsive(leader, now_ms);
	evidence_sum(leader, sums, now_ms);
	evidence_mark_peers(leader, use, now_ms);
	service_peers_compute(&peers, leader->totals, use, leader->target_count,
	    SERVICE_TARGETS_MAX);
	if (peers.slow.count > 0)
		leader->typical_ms = peers.slow.median_ms;
	for (i = 0; i < leader->target_count; i++) {
		if (!leader->targets[i].used ||
		    leader->targets[i].state != SERVICE_TARGET_ACTIVE)
			continue;
		service_peers_compute(
		    &peers, leader->totals, use, leader->target_count, i);
		failure_score[i] =
		    evidence_check_target(leader, i, &sums[i], &peers, now_ms);
	}
	free(sums);
	evidence_advance_interval(leader);
	evidence_expire_avoid(leader, now_ms);
	leader_eject_within_floor(leader, failure_score, now_ms);
}
