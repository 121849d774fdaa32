/**
 * @file
 * Planned stop of a gate: its phases, and which requests still have the time to
 * be served here. Decides only; gate.c carries it out.
 */
#ifndef TM_GATE_GATE_STOP_H
#define TM_GATE_GATE_STOP_H

#include <stdint.h>

/** Phases of a planned stop. */
typedef enum gate_phase {
	GATE_RUNNING,
	GATE_LEAVING, /**< not ready; new connections are still accepted */
	GATE_CLOSED, /**< no new connections; running requests are finished */
	GATE_ENDING /**< each request has its answer; the last are written */
} gate_phase_t;

typedef struct gate_stop {
	gate_phase_t phase;
	int64_t within_ms; /**< from the request to stop to the kill */
	int64_t requested_ms;
} gate_stop_t;

/** Starts a planned stop. @return 0 if there is one already */
int gate_stop_request(gate_stop_t *stop, int64_t now_ms);

/**
 * Advances the phase.
 *
 * @return 1 if it has changed; a change may lead to the next phase at once, so
 *         that this is to be repeated
 */
int gate_stop_advance(gate_stop_t *stop, int64_t now_ms);

/** @return 1 if a planned stop was requested */
int gate_stop_is_requested(const gate_stop_t *stop);

/** @return 1 if the process must end, whatever still runs */
int gate_stop_is_overdue(const gate_stop_t *stop, int64_t now_ms);

/**
 * Tells whether a request may still wait for what may come, such as a leader; for
 * longer it is better held elsewhere.
 *
 * @param expected_ms  as for gate_stop_has_time(); a service that has not served
 *                     here yet may have no target at all
 */
int gate_stop_may_hold(
    const gate_stop_t *stop, int64_t expected_ms, int64_t now_ms);

/**
 * Tells whether a request that is sent to a target now gets its answer before
 * the gate ends.
 *
 * @param deadline_ms  time of its final answer at the latest
 * @param expected_ms  bound of the latency of nearly all requests of its
 *                     service; negative: unknown, it may take all its time
 */
int gate_stop_has_time(const gate_stop_t *stop, int64_t deadline_ms,
    int64_t expected_ms, int64_t now_ms);

#endif
