/**
 * @file
 * Life of one caller's request: queue, claim, token, attempts, answer.
 */
#ifndef TM_ENTRY_REQUEST_H
#define TM_ENTRY_REQUEST_H

#include "entry/entry_defs.h"
#include "entry/keyguard.h"
#include "entry/refusal.h"

#define REQUEST_ID_MAX_BYTES 63
/** Targets that one request tries at most. */
#define REQUEST_TRIES_MAX 4
/** A first attempt and a hedged one. */
#define REQUEST_ATTEMPTS 2

typedef enum request_state {
	REQUEST_QUEUED,
	REQUEST_CLAIMING,
	REQUEST_TOKEN,
	REQUEST_SENT
} request_state_t;

/** An attempt at a target; idle while call is NULL. */
typedef struct request_attempt {
	entry_request_t *request;
	service_attempt_t view;
	upstream_call_t *call;
	int64_t started_ns;
} request_attempt_t;

/** Ties a request to the memory of h2o's request. */
typedef struct request_link {
	entry_request_t *request;
} request_link_t;

struct entry_request {
	entry_t *entry;
	h2o_req_t *req; /**< NULL once the caller is gone or answered */
	request_link_t *link;
	entry_service_t *service;
	entry_workspace_t *workspace;
	char id[REQUEST_ID_MAX_BYTES + 1];
	int has_own_id; /**< the caller sent the id */
	int repeat_allowed;
	int is_head;
	keyguard_key_t key;
	uint64_t hash; /**< of method, path and body */
	uint64_t fingerprint;
	int64_t started_ns;
	int64_t deadline_ms;
	int64_t checked_ms; /**< last check that the caller is there */
	request_state_t state;
	fair_item_t item;
	int is_released; /**< counts as running in the queue */
	int64_t token_since_ms; /**< start of the wait for a token */
	claim_call_t claim; /**< 0: none */
	request_attempt_t attempts[REQUEST_ATTEMPTS];
	uint64_t tried[REQUEST_TRIES_MAX];
	uint32_t tried_count;
	int is_hedged;
	int may_have_run; /**< an attempt ended with an unknown outcome */
	int64_t target_ns; /**< time spent at targets */
	char last_target[NAME_MAX_BYTES + 1];
	entry_request_t *prev;
	entry_request_t *next;
};

/** What the front end found out about a request. */
typedef struct request_options {
	entry_service_t *service;
	entry_workspace_t *workspace;
	const char *route;
	const char *id; /**< the caller's; NULL if it sent none */
	keyguard_key_t key;
	uint64_t hash;
	uint64_t body_hash;
	int64_t deadline_ms; /**< boot time */
	int repeat_allowed;
	int64_t started_ns;
} request_options_t;

/** Takes over a request; it is answered or refused from here. */
void request_start(
    entry_t *entry, h2o_req_t *req, const request_options_t *options);

/** The queue released the request. */
void request_release(entry_request_t *request);

/** The deadline passed while the request was waiting. */
void request_expire(entry_request_t *request);

/** claim_result_cb; ctx is the entry_t. */
void request_on_claim(void *ctx, claim_call_t call, void *waiting,
    claim_result_t result, const uint8_t *answer, size_t len);

/** rate_result_cb; ctx is the entry_t. */
void request_on_token(
    void *ctx, void *waiting, rate_result_t result, int64_t retry_after_ms);

/** Checks deadlines, hedging delays and callers that went away. */
void request_tick_all(entry_t *entry, int64_t now_ms);

/** Refuses a request before request_start(), and counts it. */
void request_refuse_early(entry_t *entry, h2o_req_t *req, refusal_t refusal,
    const char *id, int64_t started_ns);

/* request_record.c: trace, counters and latencies */

/** @param reason  "answered", or "answered_before" from a claim's record */
void request_record_answer(
    entry_request_t *request, int status, const char *reason);

/** The caller closed the connection before the answer. */
void request_record_gone(entry_request_t *request);

/** @param retry_after_ms  as sent to the caller; 0: none */
void request_record_refusal(
    entry_request_t *request, refusal_t refusal, int64_t retry_after_ms);

/* request_wire.c: conversion of requests and responses */

/**
 * Encodes the request for a target.
 *
 * @return 0 or TM_ENOMEM; the caller releases out
 */
int request_encode(
    const entry_request_t *request, int64_t remaining_ms, buffer_t *out);

/** Sends a target's response to the caller. */
void request_reply(const entry_request_t *request, h2o_req_t *req,
    const upstream_response_t *response);

/** @return 1 if request_reply_stored() can send an answer */
int request_is_valid_answer(const uint8_t *answer, size_t len);

/** Sends a valid stored answer. */
void request_reply_stored(const entry_request_t *request, h2o_req_t *req,
    const uint8_t *answer, size_t len);

/**
 * Encodes a response for the claim holders.
 *
 * @return bytes that the caller frees; NULL if it is too long to be kept
 */
uint8_t *request_encode_answer(
    const upstream_response_t *response, size_t *len);

/** @return 1 if a header of the response has this value */
int response_has_header(
    const upstream_response_t *response, const char *name, const char *value);

/** Reads X-Tm-Load. @return 1 if present and valid */
int response_read_load(const upstream_response_t *response, uint32_t *running,
    uint32_t *queued, uint32_t *slots);

#endif
