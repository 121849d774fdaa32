/**
 * @file
 * Finds out whether a target has crashed when a connection to it broke while a
 * request was running: then no process listens at its address. A target that
 * only breaks connections still accepts new ones.
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

#endif
