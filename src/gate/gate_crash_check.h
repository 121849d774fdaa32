/**
 * @file
 * Reports requests that crash targets to the leading hub, and recognises those
 * that it blocks. When a connection breaks while a request is running, the
 * target has crashed if no process listens at its address any more. If one does,
 * the hub tells a crash by the target's next incarnation.
 */
#ifndef TM_GATE_GATE_CRASH_CHECK_H
#define TM_GATE_GATE_CRASH_CHECK_H

#include "gate/gate_request.h"

/**
 * Starts the check of a target whose connection broke under an unanswered
 * request. The request and the target may end before the check does.
 */
void gate_crash_check_start(
    gate_request_t *request, const gate_target_t *target);

/** Records that a target executed an unanswered request to its end. */
void gate_crash_check_record_answer(gate_request_t *request);

/** @return time for which a request is blocked, in ms; 0: it is not */
int64_t gate_crash_check_get_block_ms(gate_request_t *request);

#endif
