#include "gate/gate_subset.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "gate/gate_choice.h"
#include "gate/gate_table.h"

/* Idle connections are reused until this margin before the target's keep-alive
 * timeout, or up to the default idle time where the target gives none. */
#define REUSE_DEFAULT_MS 1000
#define REUSE_MARGIN_MS	 1500
/* Time constant of the moving average of the request rate. */
#define RATE_TIME_MS 10000.0
/* Requests that a member gets within the reuse time of its connection: with
 * random arrivals, exp(-3) = 5 % of the gaps are longer. */
#define REQUESTS_PER_REUSE 3.0
/* Fewer members leave no room to avoid a slow one. */
#define MEMBERS_MIN 6
/* Gates that prefer a target, on average: with random subsets exp(-8) = 0.03 %
 * of the targets are in none. */
#define GATES_PER_TARGET_MIN 8
/* The size follows the rate once it differs by more than this fraction, so that
 * noise of the rate leaves the members as they are. */
#define SIZE_TOLERANCE 0.2
/* Share of the members that are of the gate's own zone, as far as it has
 * targets: traffic within a zone is free, and most requests go there while
 * both zones have room. */
#define SAME_ZONE_SHARE 0.5
/* From this load per slot on, targets outside of the subset are considered. */
#define FULL_LOAD 1.6
/* Weight of one report in the mean load of a service, and the time after which
 * the mean no longer says anything. A target without a recent report is assumed to
 * have the mean load: as one without load, a target that failed or has just come
 * back would draw the requests of all gates that prefer it. */
#define MEAN_LOAD_WEIGHT     0.1
#define MEAN_LOAD_MAX_AGE_MS 1500
/* Load per slot that a new connection weighs as much as. In the model of 82 gates
 * and 150 targets at 0.95 of the capacity, new connections are 0.28 of the
 * requests without it and 0.18 with it; from 0.6 on bursts are served worse. */
#define CONNECT_COST 0.5

int64_t
gate_subset_get_reuse_ms(int64_t keep_alive_ms)
{
	if (keep_alive_ms <= REUSE_MARGIN_MS)
		return (REUSE_DEFAULT_MS);
	return (keep_alive_ms - REUSE_MARGIN_MS);
}

void
gate_idle_add(gate_idle_t *idle, int64_t now_ms)
{
	if (idle->count == GATE_IDLE_MAX)
		memmove(&idle->since_ms[0], &idle->since_ms[1],
		    (--idle->count) * sizeof(idle->since_ms[0]));
	idle->since_ms[idle->count++] = now_ms;
}

int
gate_idle_has(const gate_idle_t *idle, int64_t reuse_ms, int64_t now_ms)
{
	return (idle->count > 0 &&
	    now_ms - idle->since_ms[idle->count - 1] <= reuse_ms);
}

int
gate_idle_take(gate_idle_t *idle, int64_t reuse_ms, int64_t now_ms)
{
	if (!gate_idle_has(idle, reuse_ms, now_ms)) {
		idle->count = 0;
		return (0);
	}
	idle->count--;
	return (1);
}

uint32_t
gate_subset_get_size(const gate_subset_demand_t *demand)
{
	double reused = demand->rate_per_s * (double)demand->reuse_ms /
	    (double)MS_PER_SEC / REQUESTS_PER_REUSE;
	double covered = (double)GATES_PER_TARGET_MIN * demand->targets /
	    (demand->gate_count > 0 ? demand->gate_count : 1);
	double size = fmax(fmax(ceil(reused), ceil(covered)), MEMBERS_MIN);

	return (size < demand->targets ? (uint32_t)size : demand->targets);
}

uint64_t
gate_subset_get_preference(uint64_t gate, uint64_t target)
{
	rng_t rng;

	rng_init(&rng, gate ^ (target * 0x9e3779b97f4a7c15ULL));
	return (rng_next(&rng));
}

static int
compare_preference(const void *a, const void *b)
{
	const gate_target_t *first = *(gate_target_t *const *)a;
	const gate_target_t *second = *(gate_target_t *const *)b;

	if (first->preference != second->preference)
		return (first->preference > second->preference ? -1 : 1);
	return (first->key < second->key ? -1 : 1);
}

static int
reserve(gate_subset_t *subset, uint32_t count)
{
	size_t bytes = count * sizeof(gate_target_t *);
	gate_target_t **ordered;
	gate_target_t **members;

	if (count <= subset->capacity)
		return (1);
	ordered = realloc(subset->ordered, bytes);
	if (ordered == NULL)
		return (0);
	subset->ordered = ordered;
	members = realloc(subset->members, bytes);
	if (members == NULL)
		return (0);
	subset->members = members;
	subset->capacity = count;
	return (1);
}

static int
order(gate_service_t *service, const gate_policy_t *policy)
{
	gate_subset_t *subset = &service->subset;
	uint32_t i;

	if (subset->is_ordered)
		return (1);
	if (!reserve(subset, service->capacity))
		return (0);
	for (i = 0; i < service->count; i++) {
		subset->ordered[i] = service->targets[i];
		subset->ordered[i]->preference = gate_subset_get_preference(
		    policy->gate, service->targets[i]->key);
	}
	qsort(subset->ordered, service->count, sizeof(gate_target_t *),
	    compare_preference);
	subset->is_ordered = 1;
	return (1);
}

static void
record_request(gate_subset_t *subset, int64_t now_ms)
{
	double age_ms = (double)(now_ms - subset->rate_ms);

	if (subset->rate_ms != 0)
		subset->rate_per_s *= exp(-age_ms / RATE_TIME_MS);
	subset->rate_per_s += (double)MS_PER_SEC / RATE_TIME_MS;
	subset->rate_ms = now_ms;
}

/* Usable targets of the highest rank, and the longest keep-alive timeout that
 * one of them gave. */
typedef struct usable {
	uint32_t same_zone;
	uint32_t others;
	int64_t keep_alive_ms;
} usable_t;

static usable_t
count_usable(const gate_service_t *service, const gate_pick_options_t *options)
{
	usable_t usable = { .same_zone = 0 };
	const gate_target_t *target;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		target = service->targets[i];
		if (!gate_target_is_preferable(target, options))
			continue;
		if (target->is_same_zone)
			usable.same_zone++;
		else
			usable.others++;
		if (target->idle_max_ms > usable.keep_alive_ms)
			usable.keep_alive_ms = target->idle_max_ms;
	}
	return (usable);
}

static void
update_size(
    gate_subset_t *subset, const usable_t *usable, const gate_policy_t *policy)
{
	gate_subset_demand_t demand = {
		.rate_per_s = subset->rate_per_s,
		.reuse_ms = gate_subset_get_reuse_ms(usable->keep_alive_ms),
		.targets = usable->same_zone + usable->others,
		.gate_count = policy->gate_count,
	};
	uint32_t wanted = gate_subset_get_size(&demand);

	if (fabs((double)wanted - subset->size) >
		SIZE_TOLERANCE * subset->size ||
	    subset->size > demand.targets)
		subset->size = wanted;
}

/* @return members that are of the gate's own zone */
static uint32_t
get_same_zone_quota(uint32_t size, const usable_t *usable)
{
	double proportional = (double)size * usable->same_zone /
	    (usable->same_zone + usable->others);
	double wanted = ceil(fmax(proportional, SAME_ZONE_SHARE * size));
	uint32_t quota =
	    wanted < usable->same_zone ? (uint32_t)wanted : usable->same_zone;

	/* The other zones may have fewer targets than their part. */
	if (size - quota > usable->others)
		quota = size - usable->others;
	return (quota);
}

/* Lists the members, those of the gate's own zone first. @return how many of
 * these there are */
static uint32_t
list_members(gate_service_t *service, const gate_pick_options_t *options,
    const usable_t *usable)
{
	gate_subset_t *subset = &service->subset;
	uint32_t quota = get_same_zone_quota(subset->size, usable);
	uint32_t next[2] = { quota, 0 }; /* others, same zone */
	uint32_t end[2] = { subset->size, quota };
	gate_target_t *target;
	int is_same;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		target = subset->ordered[i];
		is_same = target->is_same_zone != 0;
		if (next[is_same] < end[is_same] &&
		    gate_target_is_preferable(target, options))
			subset->members[next[is_same]++] = target;
		if (next[0] == end[0] && next[1] == end[1])
			break;
	}
	subset->member_count = subset->size;
	return (quota);
}

void
gate_subset_record_load(gate_subset_t *subset, double load, int64_t now_ms)
{
	if (now_ms - subset->mean_load_ms > MEAN_LOAD_MAX_AGE_MS)
		subset->mean_load = load;
	subset->mean_load += MEAN_LOAD_WEIGHT * (load - subset->mean_load);
	subset->mean_load_ms = now_ms;
}

static double
get_score(
    const gate_target_t *target, const gate_policy_t *policy, int64_t now_ms)
{
	double slowness = policy->choice == GATE_CHOICE_BY_WORK
	    ? gate_cost_get_slowness(
		  &target->service->costs, &target->speed, now_ms)
	    : 1;
	const gate_subset_t *subset = &target->service->subset;
	double expected = now_ms - subset->mean_load_ms <= MEAN_LOAD_MAX_AGE_MS
	    ? subset->mean_load
	    : 0;

	return (gate_target_get_score(target, expected, slowness, now_ms));
}

static double
get_cost(
    const gate_target_t *target, const gate_policy_t *policy, int64_t now_ms)
{
	int64_t reuse_ms = gate_subset_get_reuse_ms(target->idle_max_ms);
	double cost = get_score(target, policy, now_ms);

	if (!gate_idle_has(&target->idle, reuse_ms, now_ms))
		cost += CONNECT_COST;
	return (cost);
}

static gate_target_t *
get_better(gate_target_t *a, gate_target_t *b, const gate_policy_t *policy,
    int64_t now_ms)
{
	return (
	    get_cost(a, policy, now_ms) <= get_cost(b, policy, now_ms) ? a : b);
}

/* Power of two choices; one of them is in the gate's own zone if there is any.
 */
static gate_target_t *
pick_member(const gate_subset_t *subset, uint32_t same_zone,
    const gate_policy_t *policy, int64_t now_ms, rng_t *rng)
{
	uint32_t first = (uint32_t)rng_below(
	    rng, same_zone > 0 ? same_zone : subset->member_count);
	uint32_t second;

	if (subset->member_count == 1)
		return (subset->members[0]);
	second = (uint32_t)rng_below(rng, subset->member_count - 1);
	if (second >= first)
		second++;
	return (get_better(
	    subset->members[first], subset->members[second], policy, now_ms));
}

/* @return a random target that the gate need not prefer, or NULL */
static gate_target_t *
pick_other(const gate_service_t *service, const gate_pick_options_t *options,
    rng_t *rng)
{
	gate_target_t *target =
	    service->targets[rng_below(rng, service->count)];

	return (gate_target_is_preferable(target, options) ? target : NULL);
}

gate_target_t *
gate_subset_pick(gate_service_t *service, const gate_policy_t *policy,
    const gate_pick_options_t *options, rng_t *rng)
{
	int64_t now_ms = options->now_ms;
	usable_t usable = count_usable(service, options);
	gate_target_t *member;
	gate_target_t *other;
	uint32_t same_zone;

	if (options->tried_count == 0)
		record_request(&service->subset, now_ms);
	if (usable.same_zone + usable.others == 0 || !order(service, policy))
		return (NULL);
	update_size(&service->subset, &usable, policy);
	same_zone = list_members(service, options, &usable);
	member = pick_member(&service->subset, same_zone, policy, now_ms, rng);
	if (get_score(member, policy, now_ms) < FULL_LOAD)
		return (member);
	other = pick_other(service, options, rng);
	return (
	    other != NULL ? get_better(member, other, policy, now_ms) : member);
}

/* Orders copies of the targets, so that those of the table stay as they are. */
static void
copy_targets(const gate_service_t *service, gate_service_t *copy,
    gate_target_t *targets, gate_target_t **pointers)
{
	uint32_t i;

	*copy = *service;
	copy->targets = pointers;
	copy->subset.is_ordered = 0;
	copy->subset.ordered = pointers + service->count;
	copy->subset.members = pointers + 2 * (size_t)service->count;
	copy->subset.capacity = service->count;
	copy->capacity = service->count;
	for (i = 0; i < service->count; i++) {
		targets[i] = *service->targets[i];
		targets[i].service = copy;
		pointers[i] = &targets[i];
	}
}

/* @return the target of the table that a copy stands for */
static const gate_target_t *
find_original(const gate_service_t *service, const gate_target_t *copies,
    const gate_target_t *copy)
{
	return (service->targets[copy - copies]);
}

uint32_t
gate_subset_preview(const gate_service_t *service, const gate_policy_t *policy,
    const gate_pick_options_t *options, gate_candidate_t *candidates)
{
	gate_target_t *copies = calloc(service->count + 1, sizeof(*copies));
	gate_target_t **pointers =
	    calloc(3 * (size_t)service->count + 1, sizeof(gate_target_t *));
	gate_service_t *copy = calloc(1, sizeof(*copy));
	usable_t usable;
	uint32_t count = 0;
	uint32_t i;

	if (copies != NULL && pointers != NULL && copy != NULL &&
	    service->count > 0) {
		copy_targets(service, copy, copies, pointers);
		usable = count_usable(copy, options);
		if (usable.same_zone + usable.others > 0 &&
		    order(copy, policy)) {
			record_request(&copy->subset, options->now_ms);
			update_size(&copy->subset, &usable, policy);
			list_members(copy, options, &usable);
			count = copy->subset.member_count;
		}
	}
	for (i = 0; i < count; i++)
		candidates[i] = (gate_candidate_t){
			.target = find_original(
			    service, copies, copy->subset.members[i]),
			.score = get_cost(
			    copy->subset.members[i], policy, options->now_ms),
		};
	free(copies);
	free(pointers);
	free(copy);
	return (count);
}

static int
compare_score(const void *a, const void *b)
{
	const gate_candidate_t *first = a;
	const gate_candidate_t *second = b;

	if (first->score != second->score)
		return (first->score < second->score ? -1 : 1);
	return (strcmp(first->target->id, second->target->id));
}

/* The first of the two is one of the own zone, if there is any, the second one
 * any other; the one with the lower score is taken. */
void
gate_subset_set_chances(gate_candidate_t *candidates, uint32_t count)
{
	uint32_t same_zone = 0;
	uint32_t first_count;
	uint32_t worse_first = 0;
	int is_first;
	uint32_t i;

	qsort(candidates, count, sizeof(*candidates), compare_score);
	for (i = 0; i < count; i++)
		same_zone += candidates[i].target->is_same_zone != 0;
	first_count = same_zone > 0 ? same_zone : count;
	if (count == 1)
		candidates[0].chance = 1;
	for (i = count; count > 1 && i-- > 0;) {
		is_first =
		    same_zone == 0 || candidates[i].target->is_same_zone != 0;
		candidates[i].chance =
		    ((double)(is_first ? count - 1 - i : 0) + worse_first) /
		    ((double)first_count * (count - 1));
		worse_first += (uint32_t)is_first;
	}
}

int
gate_subset_has(const gate_subset_t *subset, const gate_target_t *target)
{
	uint32_t i;

	for (i = 0; i < subset->member_count; i++) {
		if (subset->members[i] == target)
			return (1);
	}
	return (subset->member_count == 0);
}

void
gate_subset_release(gate_subset_t *subset)
{
	free(subset->ordered);
	free(subset->members);
	*subset = (gate_subset_t){ .size = 0 };
}
