#include "rate/rate_client_internal.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/error.h"
#include "proto/rate.pb-c.h"
#include "rate/rate_defs.h"

void
rate_space_free_batch(rate_space_t *space, rate_batch_t *batch)
{
	space->stock -= batch->left;
	DL_DELETE(space->batches, batch);
	free(batch);
}

static void
rate_mark_dirty(rate_space_t *space, rate_batch_t *batch, int64_t now_ms)
{
	batch->dirty = 1;
	if (space->dirty_ms == 0)
		space->dirty_ms = now_ms;
}

/* Drops tokens that have expired on this VM's clock. */
void
rate_space_expire(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_batch_t *batch;

	if (client->options.test_skip_expiry)
		return;
	while (space->batches != NULL &&
	    now_ms - space->batches->sent_ms >= RATE_TOKEN_VALID_MS)
		rate_space_free_batch(space, space->batches);
	DL_FOREACH(space->batches, batch) {
		if (batch->left <= batch->extra ||
		    now_ms - batch->sent_ms < RATE_NEED_VALID_MS)
			continue;
		space->stock -= batch->left - batch->extra;
		batch->left = batch->extra;
	}
}

/* Gives unspent tokens of a batch back, but for those to keep. */
void
rate_space_return_batch(
    rate_space_t *space, rate_batch_t *batch, uint32_t keep, int64_t now_ms)
{
	if (batch->left <= keep)
		return;
	space->stock -= batch->left - keep;
	batch->returned += batch->left - keep;
	batch->left = keep;
	rate_mark_dirty(space, batch, now_ms);
}

/* @return batch to spend from: tokens of short validity first */
static rate_batch_t *
rate_pick_batch(rate_space_t *space)
{
	rate_batch_t *batch;
	rate_batch_t *found = NULL;

	if (space->stock == 0)
		return (NULL);
	DL_FOREACH(space->batches, batch) {
		if (batch->left > batch->extra)
			return (batch);
		if (found == NULL && batch->left > 0)
			found = batch;
	}
	return (found);
}

/* Spends one token. @return 1, or 0 if there is none */
int
rate_space_spend(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_space_expire(client, space, now_ms);
	batch = rate_pick_batch(space);
	if (batch == NULL)
		return (0);
	batch->left--;
	batch->spent++;
	space->stock--;
	rate_mark_dirty(space, batch, now_ms);
	return (1);
}

/* Collects changed totals; what does not fit goes with the next message. */
static size_t
rate_fill_reports(rate_space_t *space, node_id_t leader,
    Tm__RateReport *reports, Tm__RateReport **list)
{
	rate_batch_t *batch;
	rate_batch_t *next;
	size_t count = 0;

	DL_FOREACH_SAFE(space->batches, batch, next) {
		if (!batch->dirty)
			continue;
		if (count == RATE_REPORTS_MAX)
			return (count);
		if (batch->leader == leader) {
			tm__rate_report__init(&reports[count]);
			reports[count].grant = batch->grant;
			reports[count].spent = batch->spent;
			reports[count].returned = batch->returned;
			list[count] = &reports[count];
			count++;
		}
		batch->dirty = 0;
		if (batch->left == 0)
			rate_space_free_batch(space, batch);
	}
	space->dirty_ms = 0;
	return (count);
}

int64_t
rate_space_get_report_ms(const rate_space_t *space)
{
	double share_ms =
	    space->burst * RATE_REPORT_SHARE / space->rate_per_s * 1000;

	return (share_ms < RATE_REPORT_MS ? (int64_t)share_ms : RATE_REPORT_MS);
}

uint32_t
rate_space_get_prefetch(const rate_space_t *space)
{
	double wanted = space->demand_per_s * RATE_PREFETCH_MS / 1000 + 0.5;
	uint32_t whole =
	    wanted < RATE_WAITERS_MAX ? (uint32_t)wanted : RATE_WAITERS_MAX;

	return (whole > space->stock ? whole - space->stock : 0);
}

/* Counts the requests that the leader does not know yet, and marks them. */
static void
rate_name_pending(
    rate_space_t *space, node_id_t leader, Tm__RateNeed *msg, int64_t now_ms)
{
	rate_pending_t *pending;

	DL_FOREACH(space->pending, pending) {
		if (pending->named_to == leader)
			continue;
		pending->named_to = leader;
		msg->fresh++;
		/* The oldest comes first. */
		if (msg->fresh == 1 &&
		    now_ms - pending->since_ms >= RATE_LATE_MS / 2)
			msg->late_ms = (uint32_t)(now_ms - pending->since_ms);
	}
}

/* Fills what each message to the leader carries; msg->reports has room. */
static void
rate_start_need(const rate_client_t *client, rate_space_t *space,
    node_id_t leader, Tm__RateReport *reports, Tm__RateNeed *msg)
{
	msg->workspace = space->workspace;
	msg->incarnation = client->options.incarnation;
	msg->used = space->used;
	space->used = 0;
	msg->n_reports =
	    rate_fill_reports(space, leader, reports, msg->reports);
}

/* Sends waiting requests, wanted prefetch and reports to the leader. */
void
rate_space_send_need(rate_client_t *client, rate_space_t *space,
    uint32_t prefetch, int64_t now_ms)
{
	Tm__RateReport reports[RATE_REPORTS_MAX];
	Tm__RateReport *list[RATE_REPORTS_MAX];
	Tm__RateNeed msg = TM__RATE_NEED__INIT;
	node_id_t leader =
	    group_get_leader(client->options.group, space->shard, now_ms);

	space->next_ask_ms = now_ms + RATE_OTHER_MS;
	if (leader == NODE_ID_NONE)
		return;
	msg.reports = list;
	rate_start_need(client, space, leader, reports, &msg);
	msg.need = space->pending_count;
	rate_name_pending(space, leader, &msg, now_ms);
	msg.prefetch = prefetch;
	/* Reports alone get no answer. */
	if (msg.need > 0 || msg.prefetch > 0) {
		msg.sequence = ++space->sequence;
		msg.sent_ms = now_ms;
		space->asked = leader;
		space->asked_count = msg.need;
		space->asked_heard = 0;
		space->ask_ms = now_ms;
		space->next_ask_ms = now_ms + RATE_AGAIN_MS;
	}
	rate_space_post(client, space, leader, &msg, now_ms);
}

/* Sends reports alone; an answer that is due stays due. */
void
rate_space_send_reports(rate_client_t *client, rate_space_t *space,
    node_id_t leader, int64_t now_ms)
{
	Tm__RateReport reports[RATE_REPORTS_MAX];
	Tm__RateReport *list[RATE_REPORTS_MAX];
	Tm__RateNeed msg = TM__RATE_NEED__INIT;

	msg.reports = list;
	rate_start_need(client, space, leader, reports, &msg);
	rate_space_post(client, space, leader, &msg, now_ms);
}

void
rate_space_add_batch(
    rate_space_t *space, node_id_t leader, const Tm__RateGrant *msg)
{
	rate_batch_t *batch;

	if (msg->tokens == 0 && msg->extra == 0)
		return;
	batch = calloc(1, sizeof(*batch));
	if (batch == NULL)
		return;
	batch->grant = msg->grant;
	batch->leader = leader;
	batch->left = msg->tokens + msg->extra;
	batch->extra = msg->extra;
	batch->sent_ms = msg->sent_ms;
	DL_APPEND(space->batches, batch);
	space->stock += batch->left;
}

void
rate_space_measure_demand(rate_space_t *space, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - space->demand_ms;
	double per_s;

	if (elapsed_ms < RATE_DEMAND_MS)
		return;
	per_s = (double)space->demand_count * 1000 / (double)elapsed_ms;
	space->demand_per_s +=
	    (per_s - space->demand_per_s) * RATE_DEMAND_WEIGHT;
	space->demand_count = 0;
	space->demand_ms = now_ms;
}

/* Tokens close to their expiry go back while the leader still knows them. */
void
rate_space_return_old(
    rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_space_expire(client, space, now_ms);
	DL_FOREACH(space->batches, batch) {
		if (now_ms - batch->sent_ms >= RATE_RETURN_MS)
			rate_space_return_batch(space, batch, 0, now_ms);
		else if (now_ms - batch->sent_ms >= RATE_NEED_RETURN_MS)
			rate_space_return_batch(
			    space, batch, batch->extra, now_ms);
	}
}
