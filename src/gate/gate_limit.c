#include "gate/gate_limit.h"

#include <math.h>

#include "base/clock.h"
#include "fleet/fleet_limit.h"
#include "fleet/fleet_warmup.h"

/* A limit that changes by a smaller fraction stays as it is. */
#define CHANGE_MIN_SHARE 0.1
/* A share that is older starts anew: a leader has answered meanwhile, or there
 * were no requests, which earn nothing. */
#define SHARE_MAX_AGE_MS 5000
/* The permits of many gates come at random; this share of the limit leaves room
 * for those that come close together. */
#define SHARE_OF_LIMIT 0.5
/* Time constant of the rate of a gate's requests to a target, and the time after
 * which it is known. A gate that sends 1.1 requests per second to the service has
 * 34 in that time, so that chance does not make it look like one with half of it. */
#define SENT_TIME_MS	30000.0
#define SENT_AGE_MIN_MS 10000
/* Without a permit the target is left out for this time. */
#define SHARE_WAIT_MS 100

static void
set_value(gate_limit_t *limit, uint32_t value, int64_t now_ms)
{
	limit->value = value;
	limit->set_ms = now_ms;
	limit->wait_until_ms = 0;
}

void
gate_limit_apply(gate_limit_t *limit, uint32_t fleet_value, int64_t now_ms)
{
	limit->fleet_value = fleet_value;
	/* A new leader does not know the limits yet. */
	if (fleet_value != FLEET_LIMIT_UNKNOWN && fleet_value != limit->value)
		set_value(limit, fleet_value, now_ms);
}

/* @return 1 if a limit hardly differs: each change goes to all gates */
static int
is_close(const gate_limit_t *limit, uint32_t value)
{
	double old_per_s = fleet_limit_decode(limit->value);
	double per_s = fleet_limit_decode(value);

	return (old_per_s >= 0 && per_s >= 0 &&
	    fabs(per_s - old_per_s) <= CHANGE_MIN_SHARE * old_per_s);
}

int
gate_limit_record(
    gate_limit_t *limit, uint32_t value, int64_t sent_ms, int64_t now_ms)
{
	int has_ended =
	    value == FLEET_LIMIT_NONE && limit->value != FLEET_LIMIT_NONE;

	if (value == FLEET_LIMIT_NONE && limit->value == FLEET_LIMIT_UNKNOWN)
		return (0);
	if (is_close(limit, value))
		value = limit->value;
	if (has_ended && sent_ms < limit->set_ms)
		return (0);
	if (value != limit->value)
		set_value(limit, value, now_ms);
	return (value != limit->fleet_value);
}

void
gate_limit_apply_warmup(
    gate_limit_t *limit, uint32_t value, uint32_t left_ms, int64_t now_ms)
{
	limit->cold_value = value;
	if (limit->listed_ms == 0 && value > FLEET_LIMIT_NONE)
		limit->listed_ms = now_ms;
	if (value <= FLEET_LIMIT_NONE || left_ms == 0) {
		/* Told to be warm, it may turn cold again at any time. */
		if (gate_limit_is_cold(limit, now_ms))
			limit->cold_until_ms = 0;
		limit->warmup = FLEET_LIMIT_UNKNOWN;
		limit->warmup_until_ms = 0;
		return;
	}
	limit->warmup = value;
	limit->warmup_until_ms = now_ms + left_ms;
	limit->cold_until_ms = limit->warmup_until_ms;
}

double
gate_limit_get_light_per_s(const gate_limit_t *limit, uint32_t gates)
{
	if (limit->cold_value <= FLEET_LIMIT_NONE)
		return (-1);
	return (FLEET_WARMUP_LIGHT_SHARE *
	    fleet_limit_decode(limit->cold_value) / (gates > 0 ? gates : 1));
}

void
gate_limit_begin_spacing(gate_limit_t *limit, uint32_t gates, int is_light,
    double phase, int64_t now_ms)
{
	double per_s = gate_limit_get_light_per_s(limit, gates);

	if (per_s <= 0)
		return;
	if (!is_light)
		per_s *= FLEET_WARMUP_UNKNOWN_SHARE / FLEET_WARMUP_LIGHT_SHARE;
	limit->spacing_ms = (int64_t)ceil((double)MS_PER_SEC / per_s);
	limit->spaced_from_ms = now_ms;
	if (!is_light)
		limit->spaced_from_ms +=
		    (int64_t)(phase * (double)limit->spacing_ms);
}

void
gate_limit_end_spacing(gate_limit_t *limit)
{
	limit->spacing_ms = 0;
}

/* @return the rate of requests as of now */
static double
get_sent_rate(const gate_limit_t *limit, int64_t now_ms)
{
	return (limit->sent_rate *
	    exp(-(double)(now_ms - limit->sent_ms) / SENT_TIME_MS));
}

double
gate_limit_get_sent_per_s(const gate_limit_t *limit, int64_t now_ms)
{
	int64_t age_ms = now_ms - limit->listed_ms;

	if (limit->listed_ms == 0 || age_ms < SENT_AGE_MIN_MS)
		return (-1);
	return (get_sent_rate(limit, now_ms) /
	    (1 - exp(-(double)age_ms / SENT_TIME_MS)));
}

void
gate_limit_record_sent(gate_limit_t *limit, int64_t now_ms)
{
	limit->sent_rate =
	    get_sent_rate(limit, now_ms) + (double)MS_PER_SEC / SENT_TIME_MS;
	limit->sent_ms = now_ms;
	if (limit->spaced_from_ms < now_ms + limit->spacing_ms)
		limit->spaced_from_ms = now_ms + limit->spacing_ms;
}

int
gate_limit_is_spaced(const gate_limit_t *limit, int64_t now_ms)
{
	/* The share of a target that is known to be cold is smaller. */
	return (limit->spacing_ms > 0 && !gate_limit_is_cold(limit, now_ms) &&
	    now_ms < limit->spaced_from_ms);
}

int
gate_limit_record_cold(gate_limit_t *limit, uint32_t left_ms, int64_t now_ms)
{
	int64_t until_ms = now_ms + left_ms;

	if (left_ms == 0 || until_ms <= limit->cold_until_ms)
		return (0);
	limit->cold_until_ms = until_ms + FLEET_WARMUP_MARGIN_MS;
	/* No leader will say so. */
	if (limit->spacing_ms > 0) {
		limit->warmup = limit->cold_value;
		limit->warmup_until_ms = limit->cold_until_ms;
	}
	return (1);
}

int
gate_limit_is_set(const gate_limit_t *limit)
{
	return (limit->value > FLEET_LIMIT_NONE);
}

int
gate_limit_is_cold(const gate_limit_t *limit, int64_t now_ms)
{
	return (limit->warmup > FLEET_LIMIT_NONE &&
	    now_ms < limit->warmup_until_ms);
}

int
gate_limit_needs_permit(const gate_limit_t *limit, int64_t now_ms)
{
	return (gate_limit_is_set(limit) || gate_limit_is_cold(limit, now_ms));
}

void
gate_limit_wait(gate_limit_t *limit, int64_t wait_ms, int64_t now_ms)
{
	limit->wait_until_ms = now_ms + (wait_ms > 0 ? wait_ms : 1);
}

int64_t
gate_limit_get_wait_ms(const gate_limit_t *limit, int64_t now_ms)
{
	return (gate_limit_needs_permit(limit, now_ms) &&
		    now_ms < limit->wait_until_ms
		? limit->wait_until_ms - now_ms
		: 0);
}

/* @return requests per second that all gates without a leader may send together */
static double
get_alone_per_s(const gate_limit_t *limit, int64_t now_ms)
{
	double named = SHARE_OF_LIMIT * fleet_limit_decode(limit->value);
	double cold =
	    FLEET_WARMUP_ALONE_SHARE * fleet_limit_decode(limit->warmup);

	if (!gate_limit_is_cold(limit, now_ms))
		return (named);
	return (gate_limit_is_set(limit) ? fmin(named, cold) : cold);
}

int
gate_limit_take_share(
    gate_limit_t *limit, uint32_t gates, double phase, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - limit->share_ms;
	double per_ms =
	    get_alone_per_s(limit, now_ms) / (double)MS_PER_SEC / gates;

	if (limit->share_ms == 0 || elapsed_ms > SHARE_MAX_AGE_MS)
		limit->share = phase;
	else
		limit->share += per_ms * (double)elapsed_ms;
	limit->share_ms = now_ms;
	if (limit->share >= 1) {
		limit->share -= 1;
		return (1);
	}
	gate_limit_wait(limit, SHARE_WAIT_MS, now_ms);
	return (0);
}
