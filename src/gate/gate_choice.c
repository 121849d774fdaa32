#include "gate/gate_choice.h"

#include <math.h>

#include "gate/gate_alone.h"
#include "gate/gate_limit.h"
#include "gate/gate_probe.h"

/* A load that a target reported is weighted down linearly with its age, to
 * nothing at this age. */
#define LOAD_MAX_AGE_MS 1500.0
/* Subtracted from the load per slot of a target in the gate's own zone: it is
 * preferred until its slots are fuller than those of others by this fraction.
 */
#define SAME_ZONE_BONUS 0.35
/* Added to the load per slot of a target that is still warming up. */
#define COLD_PENALTY 0.5
/* A service that the leader named longer ago no longer counts as having idle
 * targets. Longer than the interval of the leases. */
#define IDLE_MAX_AGE_MS 700

static int
is_excluded(const gate_pick_options_t *options, const gate_target_t *target)
{
	uint32_t i;

	for (i = 0; i < options->tried_count; i++) {
		if (options->tried[i] == target->key)
			return (1);
	}
	return (0);
}

/* Estimates the concurrent requests at a target: the larger of the aged report
 * and this gate's own requests. The report gives way to what is expected of an
 * unknown target. */
static double
estimate_load(const gate_target_t *target, double expected, int64_t now_ms)
{
	double age_ms = (double)(now_ms - target->load_ms);
	double reported = expected;

	if (target->load_ms != 0 && age_ms < LOAD_MAX_AGE_MS)
		reported +=
		    (target->load - expected) * (1 - age_ms / LOAD_MAX_AGE_MS);
	return (reported > target->in_flight ? reported : target->in_flight);
}

double
gate_target_get_score(const gate_target_t *target, double expected_load,
    double slowness, int64_t now_ms)
{
	double requests =
	    estimate_load(target, expected_load * target->slots, now_ms);
	double load = fmax(0, requests + target->excess) / target->slots;
	/* The request itself takes a slot's time, too. */
	double score = load + (load + 1) * (slowness - 1);

	if (now_ms < target->cold_until_ms)
		score += COLD_PENALTY;
	if (target->is_same_zone)
		score -= SAME_ZONE_BONUS;
	return (score);
}

int
gate_target_is_usable(
    const gate_target_t *target, const gate_pick_options_t *options)
{
	return (target->state == FLEET_TARGET_READY && !target->is_leaving &&
	    !target->is_evacuated &&
	    options->now_ms >= target->paused_until_ms &&
	    !is_excluded(options, target));
}

/* @return 1 if a target has no permit for the request now */
static int
must_wait(const gate_target_t *target, const gate_pick_options_t *options)
{
	if (!options->has_leader &&
	    gate_limit_is_spaced(&target->limit, options->now_ms))
		return (1);
	return (gate_limit_needs_permit(&target->limit, options->now_ms) &&
	    (options->skips_limited ||
		gate_limit_get_wait_ms(&target->limit, options->now_ms) > 0));
}

int
gate_target_get_rank(
    const gate_target_t *target, const gate_pick_options_t *options)
{
	if (!gate_target_is_usable(target, options) ||
	    must_wait(target, options))
		return (0);
	if (!gate_alone_is_recovered(target)) {
		if (target->verdict == FLEET_VERDICT_EJECTED)
			return (GATE_RANK_EJECTED);
		if (target->verdict != FLEET_VERDICT_HEALTHY)
			return (GATE_RANK_PROBE);
	}
	return (options->now_ms < target->avoid_until_ms
		? GATE_RANK_HEALTHY
		: GATE_RANK_PREFERABLE);
}

int
gate_target_is_preferable(
    const gate_target_t *target, const gate_pick_options_t *options)
{
	return (gate_target_get_rank(target, options) == GATE_RANK_PREFERABLE);
}

static gate_target_t *
pick_better(rng_t *rng, gate_target_t *a, gate_target_t *b, int64_t now_ms)
{
	double score_a = gate_target_get_score(a, 0, 1, now_ms);
	double score_b = gate_target_get_score(b, 0, 1, now_ms);

	if (score_a == score_b)
		return (rng_below(rng, 2) == 0 ? a : b);
	return (score_a < score_b ? a : b);
}

/* Random candidates among the targets of the best rank so far. */
typedef struct pick_sample {
	gate_target_t *any[2];
	uint32_t seen;
	gate_target_t *same_zone;
	uint32_t same_zone_seen;
} pick_sample_t;

/* Reservoir sampling: keeps two of all targets without replacement, and one of
 * the gate's own zone. */
static void
sample_add(rng_t *rng, pick_sample_t *sample, gate_target_t *target)
{
	sample->seen++;
	if (sample->seen <= 2)
		sample->any[sample->seen - 1] = target;
	else if (rng_below(rng, sample->seen) < 2)
		sample->any[rng_below(rng, 2)] = target;
	if (!target->is_same_zone)
		return;
	sample->same_zone_seen++;
	if (rng_below(rng, sample->same_zone_seen) == 0)
		sample->same_zone = target;
}

/* Power of two choices among the targets of the best rank; one of them is in
 * the gate's own zone if there is any. */
static gate_target_t *
pick_ranked(rng_t *rng, const gate_service_t *service,
    const gate_pick_options_t *options, int *rank)
{
	pick_sample_t sample = { .seen = 0 };
	uint32_t i;
	int target_rank;

	*rank = 0;
	for (i = 0; i < service->count; i++) {
		target_rank =
		    gate_target_get_rank(service->targets[i], options);
		if (target_rank == 0 || target_rank < *rank)
			continue;
		if (target_rank > *rank) {
			*rank = target_rank;
			sample = (pick_sample_t){ .seen = 0 };
		}
		sample_add(rng, &sample, service->targets[i]);
	}
	if (sample.any[1] == NULL)
		return (sample.any[0]);
	/* The places of the sample depend on the order of the list. */
	if (sample.same_zone != NULL && sample.same_zone != sample.any[0] &&
	    sample.same_zone != sample.any[1])
		sample.any[rng_below(rng, 2)] = sample.same_zone;
	return (
	    pick_better(rng, sample.any[0], sample.any[1], options->now_ms));
}

/* Chooses among the targets that this gate prefers, and among all if none of
 * these is healthy and not avoided. */
static gate_target_t *
pick_preferred(gate_service_t *service, const gate_policy_t *policy, rng_t *rng,
    const gate_pick_options_t *options, int *rank)
{
	gate_target_t *target = NULL;

	if ((policy->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0)
		target = gate_subset_pick(service, policy, options, rng);
	if (target == NULL)
		return (pick_ranked(rng, service, options, rank));
	*rank = GATE_RANK_PREFERABLE;
	return (target);
}

static int
allows_probe(const gate_target_t *target, const gate_pick_options_t *options)
{
	return (target->verdict == FLEET_VERDICT_PROBE ||
	    (target->verdict == FLEET_VERDICT_PROBE_REPEATABLE &&
		options->may_repeat));
}

static int
has_open_target(
    const gate_service_t *service, const gate_pick_options_t *options)
{
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		if (allows_probe(service->targets[i], options) &&
		    gate_target_is_usable(service->targets[i], options))
			return (1);
	}
	return (0);
}

int
gate_service_asks_leader(
    const gate_service_t *service, const gate_pick_options_t *options)
{
	int64_t idle_age_ms = options->now_ms - service->idle_ms;

	return (options->has_leader &&
	    options->now_ms >= service->next_ask_ms &&
	    ((service->idle_ms != 0 && idle_age_ms <= IDLE_MAX_AGE_MS) ||
		has_open_target(service, options)));
}

int
gate_service_has_waiting(
    const gate_service_t *service, const gate_pick_options_t *options)
{
	const gate_target_t *target;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		target = service->targets[i];
		if (target->verdict == FLEET_VERDICT_HEALTHY &&
		    gate_target_is_usable(target, options) &&
		    must_wait(target, options))
			return (1);
	}
	return (0);
}

int64_t
gate_service_get_pause_ms(
    const gate_service_t *service, const gate_pick_options_t *options)
{
	const gate_target_t *target;
	int64_t shortest_ms = 0;
	int64_t pause_ms;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		target = service->targets[i];
		pause_ms = target->paused_until_ms - options->now_ms;
		if (pause_ms > 0 && target->state == FLEET_TARGET_READY &&
		    !target->is_leaving && !target->is_evacuated &&
		    (shortest_ms == 0 || pause_ms < shortest_ms))
			shortest_ms = pause_ms;
	}
	return (shortest_ms);
}

int
gate_service_has_healthy(
    const gate_service_t *service, const gate_pick_options_t *options)
{
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		if (gate_target_get_rank(service->targets[i], options) >=
		    GATE_RANK_HEALTHY)
			return (1);
	}
	return (0);
}

/* Leaves the choice to a probe, to the leader or to a trial without a leader. A
 * request that has failed once takes none of these chances while a healthy target
 * is left: few requests have more attempts than two.
 *
 * @return 1 if the choice is made */
static int
choose_probe(gate_service_t *service, const gate_pick_options_t *options,
    gate_choice_t *choice)
{
	if (options->is_retry && gate_service_has_healthy(service, options))
		return (0);
	choice->target = gate_probe_take(service, options);
	choice->is_probe = choice->target != NULL;
	if (choice->is_probe)
		return (1);
	choice->must_ask_leader = gate_service_asks_leader(service, options);
	if (choice->must_ask_leader)
		return (1);
	choice->target = gate_alone_pick(service, options);
	return (choice->target != NULL);
}

/* @return 1 if the gate sends the service less than its share. Where all do, the
 * service's requests stay within the bound by themselves. */
static int
is_below_share(
    const gate_service_t *service, const gate_policy_t *policy, int64_t now_ms)
{
	double sent_per_s = 0;
	double share_per_s = 0;
	const gate_limit_t *limit;
	double per_s;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		limit = &service->targets[i]->limit;
		per_s = gate_limit_get_sent_per_s(limit, now_ms);
		if (per_s < 0)
			return (0);
		sent_per_s += per_s;
		share_per_s +=
		    gate_limit_get_light_per_s(limit, policy->gate_count);
	}
	return (sent_per_s < share_per_s);
}

/* @return 1 if a target that may be cold is not spaced: it is new in the table */
static int
has_unspaced(const gate_service_t *service, const gate_policy_t *policy)
{
	const gate_limit_t *limit;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		limit = &service->targets[i]->limit;
		if (limit->spacing_ms == 0 &&
		    gate_limit_get_light_per_s(limit, policy->gate_count) > 0)
			return (1);
	}
	return (0);
}

/* Begins or ends the spacing of requests to targets that may be cold. */
static void
set_spacing(gate_service_t *service, const gate_policy_t *policy, rng_t *rng,
    const gate_pick_options_t *options)
{
	gate_limit_t *limit;
	int is_light;
	uint32_t i;

	if (service->is_spaced == !options->has_leader &&
	    (options->has_leader || !has_unspaced(service, policy)))
		return;
	service->is_spaced = !options->has_leader;
	is_light = is_below_share(service, policy, options->now_ms);
	for (i = 0; i < service->count; i++) {
		limit = &service->targets[i]->limit;
		if (!service->is_spaced)
			gate_limit_end_spacing(limit);
		else if (limit->spacing_ms == 0 &&
		    gate_limit_get_light_per_s(limit, policy->gate_count) > 0)
			gate_limit_begin_spacing(limit, policy->gate_count,
			    is_light, rng_unit(rng), options->now_ms);
	}
}

gate_choice_t
gate_choice_make(gate_service_t *service, const gate_policy_t *policy,
    rng_t *rng, const gate_pick_options_t *options)
{
	gate_choice_t choice = { .target = NULL };
	int rank;

	choice.is_evacuated = gate_service_is_evacuated(service);
	if (choice.is_evacuated)
		return (choice);
	set_spacing(service, policy, rng, options);
	gate_alone_set(service, options->is_alone,
	    (policy->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0, rng,
	    options->now_ms);
	if (choose_probe(service, options, &choice))
		return (choice);
	choice.target = pick_preferred(service, policy, rng, options, &rank);
	if (rank >= GATE_RANK_HEALTHY || (rank > 0 && options->may_repeat))
		return (choice);
	/* What may not be repeated is better sent to a healthy target soon than
	 * to an ejected one now. */
	choice.must_reserve = gate_service_has_waiting(service, options);
	if (choice.must_reserve)
		choice.target = NULL;
	else if (choice.target == NULL)
		choice.pause_ms = gate_service_get_pause_ms(service, options);
	return (choice);
}
