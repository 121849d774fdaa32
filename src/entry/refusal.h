/**
 * @file
 * Refusals of tm-entry. Each says whether the request was run.
 */
#ifndef TM_ENTRY_REFUSAL_H
#define TM_ENTRY_REFUSAL_H

#include <stdint.h>

#include <h2o.h>

/** Reasons; the table in refusal.c has status, run and texts. */
typedef enum refusal {
	REFUSAL_MALFORMED,
	REFUSAL_KEY_EXPOSED,
	REFUSAL_KEY_CONFLICT,
	REFUSAL_KEY_MISSING,
	REFUSAL_KEY_UNKNOWN,
	REFUSAL_FORBIDDEN,
	REFUSAL_NO_ROUTE,
	REFUSAL_ID_REUSED,
	REFUSAL_OUTCOME_UNKNOWN,
	REFUSAL_HEADERS_TOO_LARGE,
	REFUSAL_RATE,
	REFUSAL_QUEUE_FULL,
	REFUSAL_TARGET_FAILED,
	REFUSAL_NO_TARGET,
	REFUSAL_ALL_SHED,
	REFUSAL_ISOLATED,
	REFUSAL_DRAINING,
	REFUSAL_OVERLOADED,
	REFUSAL_NO_LEADER,
	REFUSAL_NO_HOLDERS,
	REFUSAL_BLOCKED,
	REFUSAL_DEADLINE_QUEUED,
	REFUSAL_DEADLINE_SENT,
	REFUSAL_COUNT
} refusal_t;

/** What is known about a refusal. */
typedef struct refusal_info {
	int status;
	int is_run_unknown; /**< 0: the request was not run */
	const char *error; /**< stable word for programs */
	const char *reason;
	const char *remedy;
} refusal_info_t;

/** @return table entry of a refusal */
const refusal_info_t *refusal_get_info(refusal_t refusal);

/**
 * Answers a request with a refusal.
 *
 * @param request_id      may be ""
 * @param retry_after_ms  for Retry-After, rounded up to seconds; 0: none
 */
void refusal_send(h2o_req_t *req, refusal_t refusal, const char *request_id,
    int64_t retry_after_ms);

#endif
