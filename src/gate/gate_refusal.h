/**
 * @file
 * Responses that a gate makes itself instead of a target. Each tells the caller
 * whether the request was executed ("run": "no" or "unknown"). Keeps no state;
 * the texts are part of the interface to callers.
 */
#ifndef TM_GATE_GATE_REFUSAL_H
#define TM_GATE_GATE_REFUSAL_H

#include <stdint.h>

#include <uv.h>

#include <h2o.h>

/** Reasons; gate_refusal.c has the status and texts of each. */
typedef enum gate_refusal {
	GATE_REFUSAL_MALFORMED,
	GATE_REFUSAL_KEY_UNKNOWN,
	GATE_REFUSAL_NO_ROUTE,
	GATE_REFUSAL_HEADERS_TOO_LARGE,
	GATE_REFUSAL_BODY_TOO_LARGE,
	GATE_REFUSAL_NO_CONFIG,
	GATE_REFUSAL_CONFIG_UNSURE,
	GATE_REFUSAL_OVERLOADED,
	GATE_REFUSAL_DRAINING,
	GATE_REFUSAL_KEYS_UNSURE,
	GATE_REFUSAL_RATE,
	GATE_REFUSAL_NO_LEADER,
	GATE_REFUSAL_NO_TARGET,
	GATE_REFUSAL_ALL_SHED,
	GATE_REFUSAL_SERVICE_FULL,
	GATE_REFUSAL_LIMITED,
	GATE_REFUSAL_UPLOADS_FULL,
	GATE_REFUSAL_PAUSED,
	GATE_REFUSAL_EVACUATED,
	GATE_REFUSAL_BLOCKED,
	GATE_REFUSAL_DEADLINE_WAITING,
	GATE_REFUSAL_DEADLINE_SENT,
	GATE_REFUSAL_TARGET_FAILED,
	GATE_REFUSAL_STOPPED,
	GATE_REFUSAL_COUNT
} gate_refusal_t;

/** Status and texts of a refusal. */
typedef struct gate_refusal_info {
	int status;
	int is_execution_unknown; /**< 0: not executed, and never will be */
	const char
	    *error; /**< stable word for programs; also a label of metrics */
	const char *reason;
	const char *remedy;
} gate_refusal_info_t;

/** @return table entry of a refusal */
const gate_refusal_info_t *gate_refusal_get_info(gate_refusal_t refusal);

/**
 * Sends a refusal as the response.
 *
 * @param retry_after_ms  for Retry-After; 0: none
 */
void gate_refusal_send(
    h2o_req_t *req, gate_refusal_t refusal, int64_t retry_after_ms);

#endif
