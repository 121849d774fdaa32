/**
 * @file
 * Attempts of a request at targets, and what the two parts of a request's
 * life share. Internal to src/entry.
 */
#ifndef TM_ENTRY_REQUEST_ATTEMPT_H
#define TM_ENTRY_REQUEST_ATTEMPT_H

#include "entry/request.h"

/* request_attempt.c */

/** @return 1 while an attempt runs at a target */
int request_has_running_attempt(const entry_request_t *request);

/** Ends all running attempts with an outcome for the view. */
void request_cancel_attempts(
    entry_request_t *request, service_outcome_t outcome);

/** Sends the request; its token is spent and its claim granted. */
void request_dispatch(entry_request_t *request);

/** Sends a second attempt of a repeatable request that takes long. */
void request_hedge(entry_request_t *request, int64_t now_ms);

/* request.c */

/** @return 1 if the caller is answered or gone */
int request_is_answered(const entry_request_t *request);

/**
 * Refuses and frees a request.
 *
 * @param retry_after_ms  for Retry-After; 0: none
 */
void request_refuse(
    entry_request_t *request, refusal_t refusal, int64_t retry_after_ms);

/** Answers with a target's response and frees the request. */
void request_finish_ok(
    entry_request_t *request, const upstream_response_t *response);

/** Asks for the token of the next attempt, which then follows. */
void request_acquire(entry_request_t *request);

#endif
