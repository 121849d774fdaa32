#include "gate/gate_permits.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "fleet/fleet_defs.h"

typedef struct permit_request {
	uint32_t id;
	gate_permit_cb done;
	void *ctx;
	int64_t deadline_ms;
	UT_hash_handle hh;
} permit_request_t;

typedef struct pending_spend {
	Tm__Fleet__Spend msg;
	int64_t consumed_ms;
} pending_spend_t;

struct gate_permits {
	pending_spend_t queue[GATE_PERMITS_QUEUE_MAX];
	Tm__Fleet__Spend *pointers[GATE_PERMITS_QUEUE_MAX]; /* as taken */
	size_t queued;
	permit_request_t *requests;
	uint32_t last_request_id;
	uint64_t near_limit_term; /* whose leader sent the list; 0: none */
	uint64_t near_limit_sequence;
	uint64_t *near_limit; /* sorted as sent */
	size_t near_limit_count;
};

gate_permits_t *
gate_permits_create(void)
{
	return (calloc(1, sizeof(gate_permits_t)));
}

void
gate_permits_destroy(gate_permits_t *permits)
{
	permit_request_t *request;
	permit_request_t *next;

	if (permits == NULL)
		return;
	HASH_ITER(hh, permits->requests, request, next) {
		HASH_DELETE(hh, permits->requests, request);
		free(request);
	}
	free(permits->near_limit);
	free(permits);
}

void
gate_permits_drop_reports(gate_permits_t *permits)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < permits->queued; i++) {
		if (permits->queue[i].msg.id != 0)
			permits->queue[kept++] = permits->queue[i];
	}
	permits->queued = kept;
}

/* Drops a request for a permit that was not sent: it points to the memory of the
 * caller's request, which may end now. */
static void
drop_request(gate_permits_t *permits, uint32_t id)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < permits->queued; i++) {
		if (permits->queue[i].msg.id != id)
			permits->queue[kept++] = permits->queue[i];
	}
	permits->queued = kept;
}

void
gate_permits_expire(gate_permits_t *permits, int64_t now_ms)
{
	const gate_permit_reply_t unknown = { .result = GATE_PERMIT_UNKNOWN };
	permit_request_t *request;
	permit_request_t *next;

	HASH_ITER(hh, permits->requests, request, next) {
		if (now_ms < request->deadline_ms)
			continue;
		HASH_DELETE(hh, permits->requests, request);
		drop_request(permits, request->id);
		request->done(request->ctx, &unknown);
		free(request);
	}
}

int
gate_permits_take(
    gate_permits_t *permits, Tm__Fleet__Spends *out, int64_t now_ms)
{
	pending_spend_t *spend;
	size_t i;

	if (permits->queued == 0)
		return (0);
	for (i = 0; i < permits->queued; i++) {
		spend = &permits->queue[i];
		spend->msg.age_ms = (uint32_t)(now_ms - spend->consumed_ms);
		permits->pointers[i] = &spend->msg;
	}
	out->spends = permits->pointers;
	out->n_spends = permits->queued;
	permits->queued = 0;
	return (1);
}

static void
apply_near_limit(gate_permits_t *permits, const Tm__Fleet__Permits *msg)
{
	uint64_t *copy = calloc(msg->n_scarce + 1, sizeof(*copy));

	if (copy == NULL)
		return;
	if (msg->n_scarce > 0)
		memcpy(copy, msg->scarce, msg->n_scarce * sizeof(*copy));
	free(permits->near_limit);
	permits->near_limit = copy;
	permits->near_limit_count = msg->n_scarce;
	permits->near_limit_sequence = msg->scarce_sequence;
	permits->near_limit_term = msg->term;
}

static void
complete_request(gate_permits_t *permits, const Tm__Fleet__Permit *permit,
    void (*late_probe)(void *ctx, uint64_t target), void *ctx)
{
	const gate_permit_reply_t reply = {
		.result = permit->is_granted ? GATE_PERMIT_GRANTED
					     : GATE_PERMIT_REFUSED,
		.wait_ms = permit->retry_after_ms,
		.target = permit->target,
		.is_probe = permit->is_trial,
	};
	permit_request_t *request;

	HASH_FIND(
	    hh, permits->requests, &permit->id, sizeof(permit->id), request);
	if (request == NULL) {
		if (reply.result == GATE_PERMIT_GRANTED && reply.is_probe)
			late_probe(ctx, reply.target);
		return;
	}
	HASH_DELETE(hh, permits->requests, request);
	request->done(request->ctx, &reply);
	free(request);
}

void
gate_permits_handle(gate_permits_t *permits, const uint8_t *payload, size_t len,
    void (*late_probe)(void *ctx, uint64_t target), void *ctx)
{
	Tm__Fleet__Permits *msg =
	    tm__fleet__permits__unpack(NULL, len, payload);
	size_t i;

	if (msg == NULL)
		return;
	/* The list may arrive before the lease that names its leader. */
	if (msg->has_scarce && msg->term >= permits->near_limit_term)
		apply_near_limit(permits, msg);
	for (i = 0; i < msg->n_permits; i++)
		complete_request(permits, msg->permits[i], late_probe, ctx);
	tm__fleet__permits__free_unpacked(msg, NULL);
}

void
gate_permits_fill_join(const gate_permits_t *permits, Tm__Fleet__Join *join)
{
	join->scarce_term = permits->near_limit_term;
	join->scarce_sequence = permits->near_limit_sequence;
}

int
gate_permits_is_near_limit(
    const gate_permits_t *permits, uint64_t term, uint64_t workspace)
{
	size_t i;

	if (term == 0 || permits->near_limit_term != term)
		return (1);
	for (i = 0; i < permits->near_limit_count; i++) {
		if (permits->near_limit[i] == workspace)
			return (1);
	}
	return (0);
}

static Tm__Fleet__Spend *
queue_spend(gate_permits_t *permits, int64_t now_ms)
{
	pending_spend_t *spend;

	if (permits->queued == GATE_PERMITS_QUEUE_MAX) {
		memmove(&permits->queue[0], &permits->queue[1],
		    sizeof(permits->queue[0]) * (GATE_PERMITS_QUEUE_MAX - 1));
		permits->queued--;
	}
	spend = &permits->queue[permits->queued++];
	spend->consumed_ms = now_ms;
	tm__fleet__spend__init(&spend->msg);
	return (&spend->msg);
}

void
gate_permits_report_consumed(gate_permits_t *permits, uint64_t workspace,
    uint64_t service, int64_t now_ms)
{
	Tm__Fleet__Spend *spend = queue_spend(permits, now_ms);

	spend->kind = FLEET_SPEND_REQUEST;
	spend->workspace = workspace;
	spend->service = service;
}

uint32_t
gate_permits_request(gate_permits_t *permits, const Tm__Fleet__Spend *request,
    int is_queued, gate_permit_cb done, void *ctx, int64_t now_ms)
{
	permit_request_t *pending = calloc(1, sizeof(*pending));
	Tm__Fleet__Spend *spend;

	if (pending == NULL)
		return (0);
	if (++permits->last_request_id == 0)
		permits->last_request_id = 1;
	pending->id = permits->last_request_id;
	pending->done = done;
	pending->ctx = ctx;
	pending->deadline_ms = now_ms + GATE_PERMIT_TIMEOUT_MS;
	HASH_ADD(hh, permits->requests, id, sizeof(pending->id), pending);
	if (is_queued) {
		spend = queue_spend(permits, now_ms);
		*spend = *request;
		spend->id = pending->id;
	}
	return (pending->id);
}

void
gate_permits_cancel(gate_permits_t *permits, uint32_t id)
{
	permit_request_t *request;

	HASH_FIND(hh, permits->requests, &id, sizeof(id), request);
	if (request == NULL)
		return;
	HASH_DELETE(hh, permits->requests, request);
	drop_request(permits, id);
	free(request);
}
