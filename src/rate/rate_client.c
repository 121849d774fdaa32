#include "rate/rate_client.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "base/log.h"
#include "proto/rate.pb-c.h"
#include "rate/rate_defs.h"

/* A need without an answer is sent again after this time. */
#define RATE_AGAIN_MS 250
/* New requests join a need that is still queued after this time. */
#define RATE_UPDATE_MS 20
/* Another leader is tried this soon after "not leader". */
#define RATE_OTHER_MS 10
/* Unspent tokens go back to the leader before they expire. */
#define RATE_RETURN_MS 800
/*
 * Spent tokens are reported at the latest after this time, and before they
 * amount to this share of the burst: until then the bucket cannot refill them.
 */
#define RATE_REPORT_MS	  20
#define RATE_REPORT_SHARE 0.02
/* Weight of the demand measurement per 100 ms. */
#define RATE_DEMAND_MS	   100
#define RATE_DEMAND_WEIGHT 0.1
/* Requests per second below which a workspace counts as idle. */
#define RATE_DEMAND_IDLE 0.01
/* Reports in one message. */
#define RATE_REPORTS_MAX 64

/* Tokens of one grant. */
typedef struct rate_batch {
	uint64_t grant;
	node_id_t leader;
	uint32_t left;
	uint32_t spent;
	uint32_t returned;
	int64_t sent_ms; /* of the request; the tokens' age counts from here */
	int dirty; /* totals changed since the last report */
	struct rate_batch *prev;
	struct rate_batch *next;
} rate_batch_t;

typedef struct rate_pending {
	void *request;
	int64_t since_ms;
	int64_t deadline_ms;
	node_id_t named_to; /* leader that knows the request */
	struct rate_pending *prev;
	struct rate_pending *next;
} rate_pending_t;

typedef struct rate_space {
	char workspace[NAME_MAX_BYTES + 1];
	uint32_t shard;
	double rate_per_s;
	double burst;
	rate_batch_t *batches; /* oldest first */
	uint32_t stock; /* unspent tokens */
	rate_pending_t *pending;
	uint32_t pending_count;
	uint64_t sequence; /* of the last need */
	node_id_t asked; /* leader that owes an answer */
	uint32_t asked_count; /* waiting requests in that need */
	int64_t heard_ms; /* a leader last answered a need for requests */
	int asked_heard; /* the leader has answered that need in part */
	int64_t ask_ms; /* clock of the last need */
	int64_t next_ask_ms;
	int64_t empty_until_ms;
	int64_t dirty_ms; /* oldest unreported change; 0 if none */
	uint32_t used; /* requests that found a token here, unreported */
	uint32_t demand_count; /* requests since demand_ms */
	int64_t demand_ms;
	double demand_per_s;
	double level; /* baseline */
	int64_t level_ms;
	int active; /* in the list of spaces that need ticks */
	struct rate_space *prev;
	struct rate_space *next;
	UT_hash_handle hh;
} rate_space_t;

struct rate_client {
	rate_client_options_t options;
	rate_space_t *spaces;
	rate_space_t *active; /* ticks cost nothing for idle workspaces */
	uint32_t vm_count;
};

int
rate_client_create(rate_client_t **out, const rate_client_options_t *options)
{
	rate_client_t *client;

	if (options->result == NULL ||
	    (!options->baseline &&
		(options->group == NULL || options->send == NULL)))
		return (TM_EINVAL);
	client = calloc(1, sizeof(*client));
	if (client == NULL)
		return (TM_ENOMEM);
	client->options = *options;
	client->vm_count = 1;
	*out = client;
	return (TM_OK);
}

static rate_space_t *
rate_find_space(const rate_client_t *client, const char *workspace)
{
	rate_space_t *space = NULL;

	HASH_FIND_STR(client->spaces, workspace, space);
	return (space);
}

static void
rate_batch_free(rate_space_t *space, rate_batch_t *batch)
{
	space->stock -= batch->left;
	DL_DELETE(space->batches, batch);
	free(batch);
}

static void
rate_pending_free(rate_space_t *space, rate_pending_t *pending)
{
	DL_DELETE(space->pending, pending);
	space->pending_count--;
	free(pending);
}

static void
rate_activate(rate_client_t *client, rate_space_t *space)
{
	if (space->active)
		return;
	space->active = 1;
	space->demand_per_s = 0;
	DL_APPEND(client->active, space);
}

static void
rate_deactivate(rate_client_t *client, rate_space_t *space)
{
	if (!space->active)
		return;
	space->active = 0;
	DL_DELETE(client->active, space);
}

static void
rate_space_free(rate_client_t *client, rate_space_t *space)
{
	rate_deactivate(client, space);
	HASH_DEL(client->spaces, space);
	while (space->batches != NULL)
		rate_batch_free(space, space->batches);
	while (space->pending != NULL)
		rate_pending_free(space, space->pending);
	free(space);
}

void
rate_client_destroy(rate_client_t *client)
{
	rate_space_t *space;
	rate_space_t *next;

	if (client == NULL)
		return;
	HASH_ITER(hh, client->spaces, space, next)
		rate_space_free(client, space);
	free(client);
}

int
rate_client_set_workspace(rate_client_t *client, const char *workspace,
    double rate_per_s, double burst, int64_t now_ms)
{
	rate_space_t *space;

	if (!node_name_is_valid(workspace) || !(rate_per_s > 0) ||
	    rate_per_s > RATE_PER_S_MAX || !(burst >= 1) ||
	    burst > RATE_BURST_MAX)
		return (TM_EINVAL);
	space = rate_find_space(client, workspace);
	if (space == NULL) {
		space = calloc(1, sizeof(*space));
		if (space == NULL)
			return (TM_ENOMEM);
		memcpy(space->workspace, workspace, strlen(workspace));
		if (client->options.group != NULL)
			space->shard =
			    group_shard_of(client->options.group, workspace);
		space->demand_ms = now_ms;
		space->level_ms = now_ms;
		space->level = burst;
		HASH_ADD_STR(client->spaces, workspace, space);
	}
	space->rate_per_s = rate_per_s;
	space->burst = burst;
	space->empty_until_ms = 0;
	return (TM_OK);
}

static void
rate_decide(rate_client_t *client, rate_space_t *space, rate_pending_t *pending,
    rate_result_t result, int64_t retry_after_ms)
{
	void *request = pending->request;

	rate_pending_free(space, pending);
	client->options.result(
	    client->options.ctx, request, result, retry_after_ms);
}

void
rate_client_remove_workspace(
    rate_client_t *client, const char *workspace, int64_t now_ms)
{
	rate_space_t *space = rate_find_space(client, workspace);

	if (space == NULL)
		return;
	while (space->pending != NULL)
		rate_decide(client, space, space->pending, RATE_UNAVAILABLE, 0);
	rate_space_free(client, space);
}

void
rate_client_set_vm_count(rate_client_t *client, uint32_t count)
{
	client->vm_count = count > 0 ? count : 1;
}

static void
rate_mark_dirty(rate_space_t *space, rate_batch_t *batch, int64_t now_ms)
{
	batch->dirty = 1;
	if (space->dirty_ms == 0)
		space->dirty_ms = now_ms;
}

/* Drops tokens that have expired on this VM's clock. */
static void
rate_expire(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	if (client->options.test_skip_expiry)
		return;
	while (space->batches != NULL &&
	    now_ms - space->batches->sent_ms >= RATE_TOKEN_VALID_MS)
		rate_batch_free(space, space->batches);
}

/* Gives unspent tokens of a batch back. */
static void
rate_return_batch(rate_space_t *space, rate_batch_t *batch, int64_t now_ms)
{
	if (batch->left == 0)
		return;
	space->stock -= batch->left;
	batch->returned += batch->left;
	batch->left = 0;
	rate_mark_dirty(space, batch, now_ms);
}

/* Spends one token. @return 1, or 0 if there is none */
static int
rate_spend(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_expire(client, space, now_ms);
	DL_FOREACH(space->batches, batch) {
		if (batch->left == 0)
			continue;
		batch->left--;
		batch->spent++;
		space->stock--;
		rate_mark_dirty(space, batch, now_ms);
		return (1);
	}
	return (0);
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
			rate_batch_free(space, batch);
	}
	space->dirty_ms = 0;
	return (count);
}

static int64_t
rate_get_report_ms(const rate_space_t *space)
{
	double share_ms =
	    space->burst * RATE_REPORT_SHARE / space->rate_per_s * 1000;

	return (share_ms < RATE_REPORT_MS ? (int64_t)share_ms : RATE_REPORT_MS);
}

static uint32_t
rate_get_prefetch(const rate_space_t *space)
{
	double wanted = space->demand_per_s * RATE_PREFETCH_MS / 1000 + 0.5;
	uint32_t whole =
	    wanted < RATE_WAITERS_MAX ? (uint32_t)wanted : RATE_WAITERS_MAX;

	return (whole > space->stock ? whole - space->stock : 0);
}

/* Counts the requests that the leader does not know yet, and marks them. */
static uint32_t
rate_name_pending(rate_space_t *space, node_id_t leader)
{
	rate_pending_t *pending;
	uint32_t fresh = 0;

	DL_FOREACH(space->pending, pending) {
		if (pending->named_to != leader)
			fresh++;
		pending->named_to = leader;
	}
	return (fresh);
}

/* Sends waiting requests, wanted prefetch and reports to the leader. */
static void
rate_send_need(rate_client_t *client, rate_space_t *space, uint32_t prefetch,
    int64_t now_ms)
{
	Tm__RateReport reports[RATE_REPORTS_MAX];
	Tm__RateReport *list[RATE_REPORTS_MAX];
	Tm__RateNeed msg = TM__RATE_NEED__INIT;
	node_id_t leader =
	    group_get_leader(client->options.group, space->shard, now_ms);

	space->next_ask_ms = now_ms + RATE_OTHER_MS;
	if (leader == NODE_ID_NONE)
		return;
	msg.workspace = space->workspace;
	msg.incarnation = client->options.incarnation;
	msg.sequence = ++space->sequence;
	msg.sent_ms = now_ms;
	msg.need = space->pending_count;
	msg.used = space->used;
	space->used = 0;
	msg.fresh = rate_name_pending(space, leader);
	msg.prefetch = prefetch;
	msg.n_reports = rate_fill_reports(space, leader, reports, list);
	msg.reports = list;
	if (msg.need > 0 || msg.prefetch > 0) {
		space->asked = leader;
		space->asked_count = msg.need;
		space->asked_heard = 0;
		space->ask_ms = now_ms;
		space->next_ask_ms = now_ms + RATE_AGAIN_MS;
	}
	client->options.send(
	    client->options.ctx, leader, MSG_RATE_NEED, &msg.base);
}

/* Sends reports alone; an answer that is due stays due. */
static void
rate_send_reports(rate_client_t *client, rate_space_t *space, node_id_t leader,
    int64_t now_ms)
{
	Tm__RateReport reports[RATE_REPORTS_MAX];
	Tm__RateReport *list[RATE_REPORTS_MAX];
	Tm__RateNeed msg = TM__RATE_NEED__INIT;

	msg.workspace = space->workspace;
	msg.incarnation = client->options.incarnation;
	msg.sent_ms = now_ms;
	msg.used = space->used;
	space->used = 0;
	msg.n_reports = rate_fill_reports(space, leader, reports, list);
	msg.reports = list;
	client->options.send(
	    client->options.ctx, leader, MSG_RATE_NEED, &msg.base);
}

static void
rate_ask(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	if (space->asked == NODE_ID_NONE && now_ms >= space->next_ask_ms)
		rate_send_need(client, space, rate_get_prefetch(space), now_ms);
}

/* Even share of the rate, without a leader. */
static rate_result_t
rate_acquire_divided(rate_client_t *client, rate_space_t *space, int64_t now_ms,
    int64_t *retry_after_ms)
{
	double rate = space->rate_per_s / client->vm_count;
	double cap = space->burst / client->vm_count;

	/* Below one token a VM could never admit anything. */
	if (cap < 1)
		cap = 1;
	space->level += rate * (double)(now_ms - space->level_ms) / 1000;
	space->level_ms = now_ms;
	if (space->level > cap)
		space->level = cap;
	if (space->level >= 1) {
		space->level -= 1;
		return (RATE_GRANTED);
	}
	*retry_after_ms = (int64_t)ceil((1 - space->level) / rate * 1000);
	return (RATE_REFUSED);
}

static int
rate_add_pending(
    rate_space_t *space, void *request, int64_t deadline_ms, int64_t now_ms)
{
	rate_pending_t *pending;

	if (space->pending_count >= RATE_WAITERS_MAX)
		return (TM_EFULL);
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL)
		return (TM_ENOMEM);
	pending->request = request;
	pending->since_ms = now_ms;
	pending->deadline_ms = deadline_ms;
	DL_APPEND(space->pending, pending);
	space->pending_count++;
	return (TM_OK);
}

rate_result_t
rate_client_acquire(rate_client_t *client, const char *workspace, void *request,
    int64_t deadline_ms, int64_t now_ms, int64_t *retry_after_ms)
{
	rate_space_t *space = rate_find_space(client, workspace);

	*retry_after_ms = 0;
	if (space == NULL)
		return (RATE_UNAVAILABLE);
	if (client->options.baseline)
		return (rate_acquire_divided(
		    client, space, now_ms, retry_after_ms));
	rate_activate(client, space);
	space->demand_count++;
	if (space->pending == NULL && rate_spend(client, space, now_ms)) {
		space->used++;
		if (space->stock * 2 < rate_get_prefetch(space))
			rate_ask(client, space, now_ms);
		return (RATE_GRANTED);
	}
	if (now_ms < space->empty_until_ms) {
		*retry_after_ms = space->empty_until_ms - now_ms;
		return (RATE_REFUSED);
	}
	if (rate_add_pending(space, request, deadline_ms, now_ms) != TM_OK)
		return (RATE_UNAVAILABLE);
	/* An answer on prefetch alone must not delay a waiting request. */
	if (space->asked != NODE_ID_NONE && space->asked_count == 0) {
		space->asked = NODE_ID_NONE;
		space->next_ask_ms = 0;
	}
	rate_ask(client, space, now_ms);
	return (RATE_PENDING);
}

int
rate_client_get_info(const rate_client_t *client, const char *workspace,
    int64_t now_ms, rate_client_info_t *out)
{
	const rate_space_t *space = rate_find_space(client, workspace);

	if (space == NULL)
		return (TM_ENOENT);
	*out = (rate_client_info_t){
		.tokens = space->stock,
		.waiting = space->pending_count,
		.demand_per_s = space->demand_per_s,
	};
	if (space->empty_until_ms > now_ms)
		out->empty_ms = space->empty_until_ms - now_ms;
	return (TM_OK);
}

int
rate_client_cancel(
    rate_client_t *client, const char *workspace, const void *request)
{
	rate_space_t *space = rate_find_space(client, workspace);
	rate_pending_t *pending;

	if (space == NULL)
		return (TM_ENOENT);
	DL_FOREACH(space->pending, pending) {
		if (pending->request == request) {
			rate_pending_free(space, pending);
			return (TM_OK);
		}
	}
	return (TM_ENOENT);
}

static void
rate_serve_pending(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	while (space->pending != NULL && rate_spend(client, space, now_ms)) {
		if (space->pending->named_to == NODE_ID_NONE)
			space->used++;
		rate_decide(client, space, space->pending, RATE_GRANTED, 0);
	}
}

static void
rate_add_batch(rate_space_t *space, node_id_t leader, const Tm__RateGrant *msg)
{
	rate_batch_t *batch;

	if (msg->tokens == 0)
		return;
	batch = calloc(1, sizeof(*batch));
	if (batch == NULL)
		return;
	batch->grant = msg->grant;
	batch->leader = leader;
	batch->left = msg->tokens;
	batch->sent_ms = msg->sent_ms;
	DL_APPEND(space->batches, batch);
	space->stock += msg->tokens;
}

/*
 * Refuses the newest of the requests that the need named. Later ones follow
 * them in the list, so the search starts at its end.
 */
static void
rate_refuse_asked(rate_client_t *client, rate_space_t *space, uint32_t asked,
    uint32_t refuse, int64_t retry_after_ms)
{
	while (refuse > 0 && asked > 0 && space->pending != NULL) {
		rate_pending_t *pending = space->pending->prev;
		uint32_t place = space->pending_count;

		for (; place > asked; place--)
			pending = pending->prev;
		rate_decide(
		    client, space, pending, RATE_REFUSED, retry_after_ms);
		asked--;
		refuse--;
	}
}

static void
rate_client_grant(rate_client_t *client, rate_space_t *space, node_id_t from,
    const Tm__RateGrant *msg, int64_t now_ms)
{
	int current = msg->sequence == space->sequence && space->asked == from;
	uint32_t asked = space->asked_count;
	uint32_t before = space->pending_count;

	rate_activate(client, space);
	rate_add_batch(space, from, msg);
	rate_serve_pending(client, space, now_ms);
	if (space->dirty_ms != 0 &&
	    rate_get_report_ms(space) < RATE_REPORT_MS / 2)
		rate_send_reports(client, space, from, now_ms);
	if (!current)
		return;
	before -= space->pending_count < before ? space->pending_count : before;
	asked -= before < asked ? before : asked;
	space->asked_count = asked;
	space->asked_heard = 1;
	if (!msg->not_leader)
		space->heard_ms = now_ms;
	if (msg->refuse > 0) {
		space->empty_until_ms = space->ask_ms + msg->retry_after_ms;
		rate_refuse_asked(
		    client, space, asked, msg->refuse, msg->retry_after_ms);
		space->asked_count -= msg->refuse < asked ? msg->refuse : asked;
	}
	if (!msg->final)
		return;
	space->asked = NODE_ID_NONE;
	space->next_ask_ms = 0;
	if (msg->not_leader) {
		group_forget_leader(client->options.group, space->shard, from);
		space->next_ask_ms = now_ms + RATE_OTHER_MS;
		return;
	}
	if (space->pending != NULL)
		rate_ask(client, space, now_ms);
}

static void
rate_client_recall(
    rate_client_t *client, rate_space_t *space, node_id_t from, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_expire(client, space, now_ms);
	DL_FOREACH(space->batches, batch) {
		if (batch->leader == from)
			rate_return_batch(space, batch, now_ms);
	}
	if (space->dirty_ms != 0 && space->pending == NULL)
		rate_send_need(client, space, 0, now_ms);
}

static void
rate_measure_demand(rate_space_t *space, int64_t now_ms)
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
static void
rate_return_old(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_batch_t *batch;

	rate_expire(client, space, now_ms);
	DL_FOREACH(space->batches, batch) {
		if (now_ms - batch->sent_ms >= RATE_RETURN_MS)
			rate_return_batch(space, batch, now_ms);
	}
}

/* A leader that queued the request is still bringing tokens. */
static int
rate_is_over(
    const rate_space_t *space, const rate_pending_t *pending, int64_t now_ms)
{
	int64_t since_ms = pending->since_ms > space->heard_ms
	    ? pending->since_ms
	    : space->heard_ms;

	return (now_ms >= pending->deadline_ms ||
	    now_ms - since_ms >= RATE_WAIT_MAX_MS);
}

static void
rate_expire_pending(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_pending_t *pending = space->pending;

	while (pending != NULL) {
		void *request = pending->request;
		rate_pending_t *next = pending->next;

		if (rate_is_over(space, pending, now_ms)) {
			rate_pending_free(space, pending);
			client->options.result(
			    client->options.ctx, request, RATE_UNAVAILABLE, 0);
			next = space->pending;
		}
		pending = next;
	}
}

/* Asks again for requests that came since, or where no answer came. */
static void
rate_check_asked(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	if (space->asked == NODE_ID_NONE)
		return;
	if (space->asked_heard && space->pending_count > space->asked_count &&
	    now_ms - space->ask_ms >= RATE_UPDATE_MS)
		space->next_ask_ms = now_ms;
	if (now_ms < space->next_ask_ms)
		return;
	if (!space->asked_heard)
		group_forget_leader(
		    client->options.group, space->shard, space->asked);
	space->asked = NODE_ID_NONE;
}

static void
rate_tick_space(rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	rate_measure_demand(space, now_ms);
	if (client->options.baseline)
		return;
	rate_return_old(client, space, now_ms);
	rate_expire_pending(client, space, now_ms);
	rate_check_asked(client, space, now_ms);
	if (space->pending != NULL)
		rate_ask(client, space, now_ms);
	if (space->dirty_ms == 0 ||
	    now_ms - space->dirty_ms < rate_get_report_ms(space))
		return;
	/* A need that is queued for long must not hold up the reports. */
	if (space->asked != NODE_ID_NONE)
		rate_send_reports(client, space, space->asked, now_ms);
	else
		rate_send_need(client, space, 0, now_ms);
}

static int
rate_is_idle(const rate_space_t *space)
{
	return (space->batches == NULL && space->pending == NULL &&
	    space->asked == NODE_ID_NONE && space->demand_count == 0 &&
	    space->demand_per_s < RATE_DEMAND_IDLE);
}

void
rate_client_tick(rate_client_t *client, int64_t now_ms)
{
	rate_space_t *space;
	rate_space_t *next;

	DL_FOREACH_SAFE(client->active, space, next) {
		rate_tick_space(client, space, now_ms);
		if (rate_is_idle(space))
			rate_deactivate(client, space);
	}
}

static int
rate_client_handle_grant(rate_client_t *client, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__RateGrant *msg = tm__rate_grant__unpack(NULL, len, payload);
	rate_space_t *space;

	if (msg == NULL)
		return (TM_EFORMAT);
	space = rate_find_space(client, msg->workspace);
	if (space != NULL)
		rate_client_grant(client, space, from, msg, now_ms);
	tm__rate_grant__free_unpacked(msg, NULL);
	return (TM_OK);
}

static int
rate_client_handle_recall(rate_client_t *client, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__RateRecall *msg = tm__rate_recall__unpack(NULL, len, payload);
	rate_space_t *space;

	if (msg == NULL)
		return (TM_EFORMAT);
	space = rate_find_space(client, msg->workspace);
	if (space != NULL)
		rate_client_recall(client, space, from, now_ms);
	tm__rate_recall__free_unpacked(msg, NULL);
	return (TM_OK);
}

int
rate_client_handle(rate_client_t *client, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	if (client->options.baseline)
		return (TM_EFORMAT);
	if (type == MSG_RATE_GRANT)
		return (rate_client_handle_grant(
		    client, from, payload, len, now_ms));
	if (type == MSG_RATE_RECALL)
		return (rate_client_handle_recall(
		    client, from, payload, len, now_ms));
	return (TM_EFORMAT);
}
