/**
 * @file
 * Attempts of a request at targets: choice, sending, evidence, retries within
 * the retry budget, and probes of ejected targets. The state is in the request.
 * Never repeats a request that may have been executed unless its route allows
 * that.
 */
#ifndef TM_GATE_GATE_ATTEMPT_H
#define TM_GATE_GATE_ATTEMPT_H

#include "gate/gate_request.h"

/** Chooses a target and sends the request. */
void gate_attempt_dispatch(gate_request_t *request);

/** Sends the request to a target. */
void gate_attempt_send(
    gate_request_t *request, gate_target_t *target, int is_probe);

/** @return the request's constraints on the choice of its next target */
gate_pick_options_t gate_attempt_get_pick_options(
    const gate_request_t *request);

/** Cancels the attempt, if one runs; once it was sent, the request counts as
 * possibly executed. */
void gate_attempt_cancel(gate_request_t *request);

/** Ends an attempt and its request at the deadline. */
void gate_attempt_time_out(gate_request_t *request);

/** Checks a running attempt for a connect timeout or a stall. */
void gate_attempt_tick(gate_request_t *request, int64_t now_ms);

/* gate_request.c: used by gate_attempt.c */

/** @return 1 if the caller is gone or has its answer */
int gate_request_is_answered(const gate_request_t *request);

/**
 * Refuses and frees a request. After an attempt that may have been executed, a
 * refusal that says "not run" is replaced by GATE_REFUSAL_TARGET_FAILED.
 *
 * @param retry_after_ms  for Retry-After; 0: the default
 */
void gate_request_refuse(
    gate_request_t *request, gate_refusal_t refusal, int64_t retry_after_ms);

/** Sends a target's response and frees the request. */
void gate_request_finish(
    gate_request_t *request, const upstream_response_t *response);

/**
 * Delays a request before it is sent; refuses it once its time for delays is
 * over.
 *
 * @param reason  of that refusal
 */
void gate_request_delay(gate_request_t *request, gate_refusal_t reason);

/** Has a request wait for the time of a permit that it has got; then it is sent.
 * @param reason  of the wait */
void gate_request_schedule(
    gate_request_t *request, gate_refusal_t reason, int64_t wait_ms);

/**
 * @param wait_ms  from now until the request is sent
 * @return         0 if the gate stops before it is likely to have the answer
 */
int gate_request_has_time(const gate_request_t *request, int64_t wait_ms);

/** Sends a request that has its token; delays it while its key is uncertain. */
void gate_request_proceed(gate_request_t *request);

#endif
