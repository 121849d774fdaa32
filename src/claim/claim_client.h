/**
 * @file
 * At-most-once claims, the side of the VM that received the request. The
 * promises are in docs/claims.md.
 *
 * The send callback may be called with the VM itself as the receiver; the
 * program delivers such a message locally, after the call has returned.
 */
#ifndef TM_CLAIM_CLAIM_CLIENT_H
#define TM_CLAIM_CLAIM_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"
#include "group/group.h"

/** A granted claim allows the dispatch for this long after the first ask. */
#define CLAIM_VALID_MS	   5000
#define CLAIM_ID_MAX_BYTES 255
/** Longest answer that is kept; a longer one is remembered without it. */
#define CLAIM_ANSWER_MAX_BYTES (8 * 1024)
#define CLAIM_CALLS_MAX	       4096

/** Result of a claim. */
typedef enum claim_result {
	CLAIM_GRANTED, /**< dispatch, after claim_client_may_dispatch() */
	CLAIM_ANSWERED, /**< the request ran before; here is its answer */
	CLAIM_UNKNOWN, /**< it runs or ran, the answer is not known: 409 */
	CLAIM_REUSED, /**< the id belongs to a different request: 409 */
	CLAIM_UNAVAILABLE /**< no majority of holders answered: 503, run no */
} claim_result_t;

typedef struct claim_client claim_client_t;

/** Names a call; 0 is no call. */
typedef uint64_t claim_call_t;

/**
 * Reports the result of a claim, once. Never called from within
 * claim_client_start().
 *
 * @param answer  stored answer for CLAIM_ANSWERED, else NULL; valid only
 *                during the call
 */
typedef void (*claim_result_cb)(void *ctx, claim_call_t call, void *request,
    claim_result_t result, const uint8_t *answer, size_t len);

typedef struct claim_client_options {
	node_id_t self;
	uint64_t incarnation;
	uint64_t seed;
	group_t *group;
	void *ctx; /**< of the two callbacks */
	node_send_cb send;
	claim_result_cb result;
	int test_skip_validity; /**< proofs only: no check of the 5 s */
	int test_skip_quorum; /**< proofs only: one grant is enough */
	int test_fixed_retry; /**< proofs only: no random retry delay */
	int test_mixed_epochs; /**< proofs only: count grants of any epoch */
} claim_client_options_t;

/** @return 0, TM_EINVAL, TM_ENOMEM */
int claim_client_create(
    claim_client_t **out, const claim_client_options_t *options);
void claim_client_destroy(claim_client_t *client);

/**
 * Starts a claim.
 *
 * @param workspace     workspace name
 * @param id            request id from the caller
 * @param hash          64-bit hash of method, path and body
 * @param deadline_ms   end of waiting, on the clock of now_ms
 * @param request       passed to the result callback
 * @param out           name of the call
 * @return 0, TM_EINVAL for an empty or long id, TM_EFULL, TM_ENOMEM
 */
int claim_client_start(claim_client_t *client, const char *workspace,
    const char *id, uint64_t hash, int64_t deadline_ms, void *request,
    int64_t now_ms, claim_call_t *out);

/**
 * Checks a granted claim right before the write to the target.
 *
 * @param name    call from claim_client_start()
 * @param now_ms  clock read for this check, not the loop's cached time
 * @return 1 if the request may be written; 0 if the claim is too old, then
 *         call claim_client_release() and answer 503, run "no"
 */
int claim_client_may_dispatch(
    const claim_client_t *client, claim_call_t name, int64_t now_ms);

/**
 * Reports the outcome of a dispatched request and ends the call.
 *
 * @param answer  encoded answer; NULL if the outcome is unknown
 * @return 0, TM_ENOENT
 */
int claim_client_finish(claim_client_t *client, claim_call_t name,
    const uint8_t *answer, size_t len, int64_t now_ms);

/**
 * Ends a call that did not write a byte to a target and gives the id free.
 *
 * @return 0, TM_ENOENT
 */
int claim_client_release(
    claim_client_t *client, claim_call_t name, int64_t now_ms);

/** Drives timers; call every 10 to 50 ms. */
void claim_client_tick(claim_client_t *client, int64_t now_ms);

/** Handles a message of types 75 to 79. @return 0, TM_EFORMAT */
int claim_client_handle(claim_client_t *client, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

#endif
