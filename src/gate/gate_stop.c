#include "gate/gate_stop.h"

/* Time after the request to stop for which new connections are accepted: the
 * load balancer checks once a second and needs two failures. */
#define DRAIN_NOTICE_MS 2600
/* Requests are held for this time after the request to stop: most elections and
 * short cuts end within it. */
#define HOLD_MAX_MS 1000
/* Requests that still run get a final answer this long before the process would
 * be killed. */
#define ANSWER_MARGIN_MS 300
/* The process ends this long before it would be killed. */
#define EXIT_MARGIN_MS 100

/* @return time of the last answers */
static int64_t
get_answers_end_ms(const gate_stop_t *stop)
{
	return (stop->requested_ms + stop->within_ms - ANSWER_MARGIN_MS);
}

int
gate_stop_request(gate_stop_t *stop, int64_t now_ms)
{
	if (stop->phase != GATE_RUNNING)
		return (0);
	stop->phase = GATE_LEAVING;
	stop->requested_ms = now_ms;
	return (1);
}

int
gate_stop_advance(gate_stop_t *stop, int64_t now_ms)
{
	gate_phase_t phase = stop->phase;

	if (phase == GATE_LEAVING &&
	    (now_ms - stop->requested_ms >= DRAIN_NOTICE_MS ||
		now_ms >= get_answers_end_ms(stop)))
		stop->phase = GATE_CLOSED;
	else if (phase == GATE_CLOSED && now_ms >= get_answers_end_ms(stop))
		stop->phase = GATE_ENDING;
	return (stop->phase != phase);
}

int
gate_stop_is_requested(const gate_stop_t *stop)
{
	return (stop->phase != GATE_RUNNING);
}

int
gate_stop_is_overdue(const gate_stop_t *stop, int64_t now_ms)
{
	return (gate_stop_is_requested(stop) &&
	    now_ms >= stop->requested_ms + stop->within_ms - EXIT_MARGIN_MS);
}

int
gate_stop_may_hold(const gate_stop_t *stop, int64_t expected_ms, int64_t now_ms)
{
	return (!gate_stop_is_requested(stop) ||
	    (expected_ms >= 0 && now_ms - stop->requested_ms < HOLD_MAX_MS));
}

int
gate_stop_has_time(const gate_stop_t *stop, int64_t deadline_ms,
    int64_t expected_ms, int64_t now_ms)
{
	int64_t end_ms = get_answers_end_ms(stop);

	if (!gate_stop_is_requested(stop) || deadline_ms <= end_ms)
		return (1);
	return (expected_ms >= 0 && now_ms + expected_ms <= end_ms);
}
