/**
 * @file
 * Tokens that this VM holds, and requests that wait for one. Acquires tokens
 * from the shard leader of each workspace, reports consumed and returned ones,
 * and drops expired ones. Owns the pending requests until it decides them.
 * Sends through a callback and reads no clock. The rules are in docs/rates.md.
 */
#ifndef TM_RATE_RATE_CLIENT_H
#define TM_RATE_RATE_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"
#include "group/group.h"
#include "rate/rate_defs.h"

/** A request waits at most this long without an answer from a leader. */
#define RATE_WAIT_MAX_MS 1500
/** Maximum number of waiting requests of one workspace on this VM. */
#define RATE_PENDING_REQUESTS_MAX RATE_REQUESTED_MAX

/** Decision on a request. */
typedef enum rate_result {
	RATE_GRANTED, /**< one token is consumed: dispatch now */
	RATE_PENDING, /**< the callback will follow */
	RATE_REFUSED, /**< 429 with retry_after_ms */
	RATE_UNAVAILABLE /**< no decision: 503, not executed */
} rate_result_t;

typedef struct rate_client rate_client_t;

/**
 * Reports the decision on a pending request, once; never called from within
 * rate_client_acquire(). For RATE_GRANTED the token is already consumed:
 * dispatch within the callback. Must not remove a workspace.
 */
typedef void (*rate_result_cb)(
    void *ctx, void *request, rate_result_t result, int64_t retry_after_ms);

typedef struct rate_client_options {
	node_id_t self;
	uint64_t incarnation;
	group_t *group;
	void *ctx;
	node_send_cb send; /**< the receiver may be this VM */
	rate_result_cb result;
	/** Divide each rate evenly over the live VMs, without a leader. */
	int baseline;
	int test_skip_relay; /**< tests only: no relay by other holders */
	int test_skip_expiry; /**< tests only: tokens never expire */
} rate_client_options_t;

/** @return 0, TM_EINVAL, TM_ENOMEM */
int rate_client_create(
    rate_client_t **out, const rate_client_options_t *options);
void rate_client_destroy(rate_client_t *client);

/** Sets or changes a workspace. @return 0, TM_EINVAL, TM_ENOMEM */
int rate_client_set_workspace(rate_client_t *client, const char *workspace,
    double rate_per_s, double burst, int64_t now_ms);

/** Removes a workspace; its waiting requests become RATE_UNAVAILABLE. */
void rate_client_remove_workspace(
    rate_client_t *client, const char *workspace, int64_t now_ms);

/** Sets the number of live VMs; used by the baseline only. */
void rate_client_set_vm_count(rate_client_t *client, uint32_t count);

/**
 * Acquires a token for one dispatch. Call right before the dispatch; each
 * retry and each hedged request needs its own.
 *
 * @param request         passed to the callback; not NULL
 * @param deadline_ms     end of waiting, on the clock of now_ms
 * @param now_ms          clock read for this call
 * @param retry_after_ms  set for RATE_REFUSED
 * @return                decision; RATE_UNAVAILABLE for an unknown workspace
 */
rate_result_t rate_client_acquire(rate_client_t *client, const char *workspace,
    void *request, int64_t deadline_ms, int64_t now_ms,
    int64_t *retry_after_ms);

/**
 * Removes a pending request whose caller disconnected; no callback follows.
 *
 * @return 0, TM_ENOENT if it is not pending
 */
int rate_client_cancel(
    rate_client_t *client, const char *workspace, const void *request);

/** Tokens and requests of a workspace on this VM. */
typedef struct rate_client_info {
	uint32_t tokens; /**< held by this VM */
	uint32_t waiting; /**< requests that wait for a token */
	double demand_per_s; /**< measured on this VM */
	int64_t
	    empty_ms; /**< requests without a token here are refused; or 0 */
} rate_client_info_t;

/** @return 0, TM_ENOENT for an unknown workspace */
int rate_client_get_info(const rate_client_t *client, const char *workspace,
    int64_t now_ms, rate_client_info_t *out);

/** Drives timers; call every 10 ms. */
void rate_client_tick(rate_client_t *client, int64_t now_ms);

/** Handles MSG_RATE_GRANT and MSG_RATE_RECALL. @return 0; TM_EFORMAT for
 * another type, a malformed payload, or without a leader (baseline) */
int rate_client_handle(rate_client_t *client, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

#endif
