#include "gate/gate_alone.h"

#include "gate/gate_choice.h"

/* Share of a service's requests that may be trials. */
#define TRIAL_SHARE 0.1
/* The first trials of the gates of a fleet are spread over this time; with scarce
 * capacity over half of the 2 s in which a sound target is to get a request. */
#define FIRST_TRIAL_MAX_MS	  2000
#define FIRST_TRIAL_SCARCE_MAX_MS 1000
/* Time from a trial to the next one, if it failed or has no outcome. */
#define TRIAL_INTERVAL_MS 4000
/* Repeatable requests are waited for this long, as a failed trial loses others
 * for good. */
#define REPEATABLE_WAIT_MS 2000
/* With scarce capacity, a service that had no repeatable request at this gate for
 * this long waits for none. */
#define REPEATABLE_MAX_AGE_MS 10000

void
gate_alone_set(gate_service_t *service, int is_alone, int is_scarce, rng_t *rng,
    int64_t now_ms)
{
	int64_t spread_ms =
	    is_scarce ? FIRST_TRIAL_SCARCE_MAX_MS : FIRST_TRIAL_MAX_MS;
	gate_target_t *target;
	uint32_t i;

	if (service->is_alone == is_alone)
		return;
	service->is_alone = is_alone;
	service->is_scarce = is_scarce;
	service->trial_credit = rng_unit(rng);
	for (i = 0; i < service->count; i++) {
		target = service->targets[i];
		target->is_recovered = 0;
		target->trial_due_ms =
		    now_ms + (int64_t)rng_below(rng, (uint64_t)spread_ms);
	}
}

static int
expects_repeatable(const gate_service_t *service, int64_t now_ms)
{
	return (!service->is_scarce ||
	    (service->repeatable_ms != 0 &&
		now_ms - service->repeatable_ms <= REPEATABLE_MAX_AGE_MS));
}

/* @return time at which a target may be tried by a request like this one */
static int64_t
get_due_ms(const gate_target_t *target, const gate_pick_options_t *options)
{
	int waits = !options->may_repeat &&
	    expects_repeatable(target->service, options->now_ms);

	return (target->trial_due_ms + (waits ? REPEATABLE_WAIT_MS : 0));
}

gate_target_t *
gate_alone_pick(gate_service_t *service, const gate_pick_options_t *options)
{
	gate_target_t *chosen = NULL;
	gate_target_t *target;
	uint32_t i;

	if (options->may_repeat)
		service->repeatable_ms = options->now_ms;
	if (!service->is_alone)
		return (NULL);
	if (service->trial_credit < 1)
		service->trial_credit += TRIAL_SHARE;
	if (service->trial_credit < 1)
		return (NULL);
	for (i = 0; i < service->count; i++) {
		target = service->targets[i];
		if (target->verdict != FLEET_VERDICT_HEALTHY &&
		    !target->is_recovered &&
		    gate_target_is_usable(target, options) &&
		    !gate_limit_is_spaced(&target->limit, options->now_ms) &&
		    options->now_ms >= get_due_ms(target, options) &&
		    (chosen == NULL ||
			target->trial_due_ms < chosen->trial_due_ms))
			chosen = target;
	}
	if (chosen == NULL)
		return (NULL);
	service->trial_credit -= 1;
	chosen->trial_due_ms = options->now_ms + TRIAL_INTERVAL_MS;
	return (chosen);
}

int
gate_alone_record(gate_target_t *target, fleet_evidence_t kind, int64_t now_ms)
{
	int was_recovered = target->is_recovered;

	if (!target->service->is_alone || kind == FLEET_EVIDENCE_SHED ||
	    kind == FLEET_EVIDENCE_STALL)
		return (0);
	target->is_recovered = kind == FLEET_EVIDENCE_SUCCESS;
	if (!target->is_recovered)
		target->trial_due_ms = now_ms + TRIAL_INTERVAL_MS;
	return (target->is_recovered != was_recovered &&
	    target->verdict != FLEET_VERDICT_HEALTHY);
}

int
gate_alone_is_recovered(const gate_target_t *target)
{
	return (target->service->is_alone && target->is_recovered);
}
