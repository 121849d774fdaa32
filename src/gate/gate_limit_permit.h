/**
 * @file
 * Permits of requests for targets that name a limit: from the leading hub, or
 * from this gate's share of the limit while no hub leads. The state is in the
 * request and in the target's gate_limit_t. A request without a permit goes
 * back to gate_attempt_dispatch().
 */
#ifndef TM_GATE_GATE_LIMIT_PERMIT_H
#define TM_GATE_GATE_LIMIT_PERMIT_H

#include "gate/gate_request.h"

/** Requests a permit for a target, then sends the request to it. */
void gate_limit_permit_request(
    gate_request_t *request, const gate_target_t *target);

/** Sends the request to a target within this gate's share of its limit. */
void gate_limit_permit_use_share(
    gate_request_t *request, gate_target_t *target);

/** Reserves the next permit of any target of the service with a limit; refuses
 * the request if that comes too late for it. */
void gate_limit_permit_reserve(gate_request_t *request);

/** Has the request wait for a leader, or for this gate's share of a limit. */
void gate_limit_permit_wait(gate_request_t *request);

/** @return 1 if the request was sent to the target that it had a permit reserved
 *         of */
int gate_limit_permit_use_reserved(gate_request_t *request);

/** @return 1 if so many targets had no permit that the request should pass over
 * those with a limit */
int gate_limit_permit_is_exhausted(const gate_request_t *request);

#endif
