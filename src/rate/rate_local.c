#include "rate/rate_client_internal.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/error.h"
#include "proto/rate.pb-c.h"
#include "rate/rate_defs.h"

void
rate_local_free_batch(rate_local_t *local, rate_batch_t *batch)
{
	local->held_tokens -= batch->remaining;
	DL_DELETE(local->batches, batch);
	free(batch);
}

static void
rate_mark_unreported(rate_local_t *local, rate_batch_t *batch, int64_t now_ms)
{
	batch->unreported = 1;
	if (local->unreported_since_ms == 0)
		local->unreported_since_ms = now_ms;
}

/* Drops tokens that have expired on this VM's clock. */
void
rate_local_expire(rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	rate_batch_t *batch;

	if (client->options.test_skip_expiry)
		return;
	while (local->batches != NULL &&
	    now_ms - local->batches->sent_ms >= RATE_TOKEN_VALID_MS)
		rate_local_free_batch(local, local->batches);
	DL_FOREACH(local->batches, batch) {
		if (batch->remaining <= batch->prefetched ||
		    now_ms - batch->sent_ms < RATE_REQUESTED_VALID_MS)
			continue;
		local->held_tokens -= batch->remaining - batch->prefetched;
		batch->remaining = batch->prefetched;
	}
}

/* Returns the remaining tokens of a batch except for keep of them. */
void
rate_local_return_batch(
    rate_local_t *local, rate_batch_t *batch, uint32_t keep, int64_t now_ms)
{
	if (batch->remaining <= keep)
		return;
	local->held_tokens -= batch->remaining - keep;
	batch->returned += batch->remaining - keep;
	batch->remaining = keep;
	rate_mark_unreported(local, batch, now_ms);
}

/* @return batch to consume from: tokens of short validity first */
static rate_batch_t *
rate_pick_batch(rate_local_t *local)
{
	rate_batch_t *batch;
	rate_batch_t *found = NULL;

	if (local->held_tokens == 0)
		return (NULL);
	DL_FOREACH(local->batches, batch) {
		if (batch->remaining > batch->prefetched)
			return (batch);
		if (found == NULL && batch->remaining > 0)
			found = batch;
	}
	return (found);
}

/* Consumes one token. @return 1, or 0 if there is none */
int
rate_local_consume(rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_local_expire(client, local, now_ms);
	batch = rate_pick_batch(local);
	if (batch == NULL)
		return (0);
	batch->remaining--;
	batch->consumed++;
	local->held_tokens--;
	rate_mark_unreported(local, batch, now_ms);
	return (1);
}

/* Collects changed totals; those that do not fit go with the next message. */
static size_t
rate_fill_reports(rate_local_t *local, node_id_t leader,
    Tm__RateReport *reports, Tm__RateReport **list)
{
	rate_batch_t *batch;
	rate_batch_t *next;
	size_t count = 0;

	DL_FOREACH_SAFE(local->batches, batch, next) {
		if (!batch->unreported)
			continue;
		if (count == RATE_REPORTS_MAX)
			return (count);
		if (batch->leader == leader) {
			tm__rate_report__init(&reports[count]);
			reports[count].grant = batch->grant;
			reports[count].spent = batch->consumed;
			reports[count].returned = batch->returned;
			list[count] = &reports[count];
			count++;
		}
		batch->unreported = 0;
		if (batch->remaining == 0)
			rate_local_free_batch(local, batch);
	}
	local->unreported_since_ms = 0;
	return (count);
}

int64_t
rate_local_get_report_delay_ms(const rate_local_t *local)
{
	double share_ms =
	    local->burst * RATE_REPORT_BURST_SHARE / local->rate_per_s * 1000;

	return (share_ms < RATE_REPORT_DELAY_MAX_MS ? (int64_t)share_ms
						    : RATE_REPORT_DELAY_MAX_MS);
}

uint32_t
rate_local_get_prefetch(const rate_local_t *local)
{
	double wanted = local->demand_per_s * RATE_PREFETCH_MS / 1000 + 0.5;
	uint32_t whole = wanted < RATE_PENDING_REQUESTS_MAX
	    ? (uint32_t)wanted
	    : RATE_PENDING_REQUESTS_MAX;

	return (whole > local->held_tokens ? whole - local->held_tokens : 0);
}

/* Counts and marks the requests that are not yet reported to the leader. */
static void
rate_report_pending(
    rate_local_t *local, node_id_t leader, Tm__RateNeed *msg, int64_t now_ms)
{
	rate_pending_t *pending;

	DL_FOREACH(local->pending, pending) {
		if (pending->reported_to == leader)
			continue;
		pending->reported_to = leader;
		msg->fresh++;
		/* The list is ordered by age, oldest first. */
		if (msg->fresh == 1 &&
		    now_ms - pending->since_ms >= RATE_LATE_MIN_MS)
			msg->late_ms = (uint32_t)(now_ms - pending->since_ms);
	}
}

/* Fills the common fields; msg->reports has RATE_REPORTS_MAX entries. */
static void
rate_fill_request(const rate_client_t *client, rate_local_t *local,
    node_id_t leader, Tm__RateReport *reports, Tm__RateNeed *msg)
{
	msg->workspace = local->workspace;
	msg->incarnation = client->options.incarnation;
	msg->used = local->unreported_arrivals;
	local->unreported_arrivals = 0;
	msg->n_reports =
	    rate_fill_reports(local, leader, reports, msg->reports);
}

/* Sends a token request with the wanted prefetch and pending reports. */
void
rate_local_send_request(rate_client_t *client, rate_local_t *local,
    uint32_t prefetch, int64_t now_ms)
{
	Tm__RateReport reports[RATE_REPORTS_MAX];
	Tm__RateReport *list[RATE_REPORTS_MAX];
	Tm__RateNeed msg = TM__RATE_NEED__INIT;
	node_id_t leader =
	    group_get_leader(client->options.group, local->shard, now_ms);

	local->next_request_ms = now_ms + RATE_LEADER_RETRY_MS;
	if (leader == NODE_ID_NONE)
		return;
	msg.reports = list;
	rate_fill_request(client, local, leader, reports, &msg);
	msg.need = local->pending_count;
	rate_report_pending(local, leader, &msg, now_ms);
	msg.prefetch = prefetch;
	/* A message with reports alone is not answered. */
	if (msg.need > 0 || msg.prefetch > 0) {
		msg.sequence = ++local->sequence;
		msg.sent_ms = now_ms;
		local->request_leader = leader;
		local->requested_count = msg.need;
		local->request_answered = 0;
		local->request_sent_ms = now_ms;
		local->next_request_ms = now_ms + RATE_REQUEST_RETRY_MS;
	}
	rate_local_send(client, local, leader, &msg, now_ms);
}

/* Sends reports alone; the state of a token request does not change. */
void
rate_local_send_reports(rate_client_t *client, rate_local_t *local,
    node_id_t leader, int64_t now_ms)
{
	Tm__RateReport reports[RATE_REPORTS_MAX];
	Tm__RateReport *list[RATE_REPORTS_MAX];
	Tm__RateNeed msg = TM__RATE_NEED__INIT;

	msg.reports = list;
	rate_fill_request(client, local, leader, reports, &msg);
	rate_local_send(client, local, leader, &msg, now_ms);
}

void
rate_local_add_batch(
    rate_local_t *local, node_id_t leader, const Tm__RateGrant *msg)
{
	rate_batch_t *batch;

	if (msg->tokens == 0 && msg->extra == 0)
		return;
	batch = calloc(1, sizeof(*batch));
	if (batch == NULL)
		return;
	batch->grant = msg->grant;
	batch->leader = leader;
	batch->remaining = msg->tokens + msg->extra;
	batch->prefetched = msg->extra;
	batch->sent_ms = msg->sent_ms;
	DL_APPEND(local->batches, batch);
	local->held_tokens += batch->remaining;
}

void
rate_local_measure_demand(rate_local_t *local, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - local->demand_ms;
	double per_s;

	if (elapsed_ms < RATE_DEMAND_INTERVAL_MS)
		return;
	per_s = (double)local->demand_count * 1000 / (double)elapsed_ms;
	local->demand_per_s +=
	    (per_s - local->demand_per_s) * RATE_DEMAND_WEIGHT;
	local->demand_count = 0;
	local->demand_ms = now_ms;
}

/* Returns tokens close to expiry while the leader still has their grant. */
void
rate_local_return_expiring(
    rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_local_expire(client, local, now_ms);
	DL_FOREACH(local->batches, batch) {
		if (now_ms - batch->sent_ms >= RATE_PREFETCH_RETURN_MS)
			rate_local_return_batch(local, batch, 0, now_ms);
		else if (now_ms - batch->sent_ms >= RATE_REQUESTED_RETURN_MS)
			rate_local_return_batch(
			    local, batch, batch->prefetched, now_ms);
	}
}
