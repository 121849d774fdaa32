/**
 * @file
 * Permits that a gate requests from the leading hub, for requests, retries, probes,
 * targets with a limit and large bodies, and its reports of tokens that it consumed
 * without one; and the workspaces that need a permit for each request. Part of the
 * gate's link to the hubs, which owns it and does the sending. Does no I/O and
 * reads no clock.
 */
#ifndef TM_GATE_GATE_PERMITS_H
#define TM_GATE_GATE_PERMITS_H

#include <stddef.h>
#include <stdint.h>

#include "proto/fleet.pb-c.h"

/** A permit request without an answer expires after this time. */
#define GATE_PERMIT_TIMEOUT_MS 250
/** Reports and requests that are not yet sent to a leader; the oldest is dropped.
 */
#define GATE_PERMITS_QUEUE_MAX 2048

/** Result of a permit request. */
typedef enum gate_permit {
	GATE_PERMIT_GRANTED,
	GATE_PERMIT_REFUSED,
	GATE_PERMIT_UNKNOWN /**< no leader answered */
} gate_permit_t;

/** Answer to a permit request. */
typedef struct gate_permit_reply {
	gate_permit_t result;
	/** Granted: delay before the permit may be used; refused: delay before
	 * another request makes sense. */
	uint32_t wait_ms;
	uint64_t
	    target; /**< key of the target that the leader chose; 0: none */
	int is_probe; /**< that target is not healthy */
} gate_permit_reply_t;

/** Reports the answer to a permit request, once, never from within
 * gate_permits_request(). */
typedef void (*gate_permit_cb)(void *ctx, const gate_permit_reply_t *reply);

typedef struct gate_permits gate_permits_t;

/** @return NULL if memory is exhausted */
gate_permits_t *gate_permits_create(void);

/** Frees everything; pending requests get no answer. NULL is allowed. */
void gate_permits_destroy(gate_permits_t *permits);

/** Queues the report of a token that was consumed without a permit. */
void gate_permits_report_consumed(gate_permits_t *permits, uint64_t workspace,
    uint64_t service, int64_t now_ms);

/**
 * Requests a permit.
 *
 * @param request   copied; the id of the copy is set here
 * @param is_queued 0: there is no leader to send it to, it expires at its deadline
 * @return          id for gate_permits_cancel(); 0 if memory is exhausted
 */
uint32_t gate_permits_request(gate_permits_t *permits,
    const Tm__Fleet__Spend *request, int is_queued, gate_permit_cb done,
    void *ctx, int64_t now_ms);

/** Cancels a request; its callback is not called. */
void gate_permits_cancel(gate_permits_t *permits, uint32_t id);

/** Answers the requests that have expired. */
void gate_permits_expire(gate_permits_t *permits, int64_t now_ms);

/** Drops queued reports of consumed tokens; requests stay, as callers wait for
 * their answers. */
void gate_permits_drop_reports(gate_permits_t *permits);

/**
 * Takes what is queued.
 *
 * @param out  refers to the queue until the next call of this module
 * @return     0 if nothing is queued
 */
int gate_permits_take(
    gate_permits_t *permits, Tm__Fleet__Spends *out, int64_t now_ms);

/**
 * Applies answers of a leader and its list of workspaces near their limits.
 *
 * @param late_probe  called for the target of a probe that was granted after its
 *                    request had stopped waiting
 */
void gate_permits_handle(gate_permits_t *permits, const uint8_t *payload,
    size_t len, void (*late_probe)(void *ctx, uint64_t target), void *ctx);

/** Says in a join which list of workspaces near their limits is known. */
void gate_permits_fill_join(
    const gate_permits_t *permits, Tm__Fleet__Join *join);

/** @param term  of the leader; 0: none so far
 * @return 1 if a workspace is near its limit, also while the leader of this term
 *         has not sent its list */
int gate_permits_is_near_limit(
    const gate_permits_t *permits, uint64_t term, uint64_t workspace);

#endif
