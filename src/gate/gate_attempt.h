/**
 * @file
 * Attempts of a request at targets.
 */
#ifndef TM_GATE_GATE_ATTEMPT_H
#define TM_GATE_GATE_ATTEMPT_H

#include "gate/gate_request.h"

/** Chooses a target and sends the request. */
void gate_attempt_dispatch(gate_request_t *request);

/** Ends a running attempt without a result. */
void gate_attempt_cancel(gate_request_t *request);

/** The deadline passed while an attempt was running. */
void gate_attempt_time_out(gate_request_t *request);

/** Checks a running attempt. */
void gate_attempt_tick(gate_request_t *request, int64_t now_ms);

/** Gives back the right to try a target. */
void gate_attempt_release_probe(gate_request_t *request);

/* gate_request.c: what attempts pick_options of a request */

/** @return 1 if the caller is gone or has its answer */
int gate_request_is_answered(const gate_request_t *request);

/**
 * Refuses and frees a request. What is said about an earlier attempt goes
 * before the refusal's own "not run".
 */
void gate_request_refuse(
    gate_request_t *request, gate_refusal_t refusal, int64_t retry_after_ms);

/** Sends a target's response and frees the request. */
void gate_request_finish(
    gate_request_t *request, const upstream_response_t *response);

/**
 * Lets a request wait before it is sent; refuses it once it has waited for too
 * long.
 */
void gate_request_delay(gate_request_t *request, gate_refusal_t reason);

/** Sends a request that has its token. */
void gate_request_proceed(gate_request_t *request);

#endif
