/**
 * @file
 * State of the tokens of a workspace on this VM, shared by rate_client.c
 * (requests and answers) and rate_space.c (tokens, reports, needs).
 */
#ifndef TM_RATE_RATE_CLIENT_INTERNAL_H
#define TM_RATE_RATE_CLIENT_INTERNAL_H

#include <uthash.h>

#include "proto/rate.pb-c.h"
#include "rate/rate_client.h"

/* A need without an answer is sent again after this time. */
#define RATE_AGAIN_MS 250
/*
 * A need of which nothing was heard after this time goes to another holder,
 * which passes it on: the way to or from the leader may be cut.
 */
#define RATE_SILENT_MS 200
/* After such a need was answered, others go the same way for this long. */
#define RATE_RELAY_MS 5000
/* New requests join a need that is still queued after this time. */
#define RATE_UPDATE_MS 20
/* Another leader is tried this soon after "not leader". */
#define RATE_OTHER_MS 10
/* Unspent tokens go back to the leader before they expire. */
#define RATE_RETURN_MS	    800
#define RATE_NEED_RETURN_MS 300
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
	uint32_t extra; /* prefetch; what is left above it was for requests */
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
	node_id_t silent; /* leader that left the last need unanswered */
	int64_t relay_until_ms; /* messages to it go through a holder */
	uint32_t relay_place; /* of that holder in the group */
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

/* rate_relay.c */
void rate_space_post(rate_client_t *client, rate_space_t *space,
    node_id_t leader, Tm__RateNeed *msg, int64_t now_ms);
void rate_space_set_silent(
    rate_client_t *client, rate_space_t *space, int64_t now_ms);
void rate_space_set_heard(
    rate_space_t *space, node_id_t leader, int relayed, int64_t now_ms);

/* rate_space.c */
void rate_space_free_batch(rate_space_t *space, rate_batch_t *batch);
void rate_space_expire(
    rate_client_t *client, rate_space_t *space, int64_t now_ms);
void rate_space_return_batch(
    rate_space_t *space, rate_batch_t *batch, uint32_t keep, int64_t now_ms);
int rate_space_spend(
    rate_client_t *client, rate_space_t *space, int64_t now_ms);
int64_t rate_space_get_report_ms(const rate_space_t *space);
uint32_t rate_space_get_prefetch(const rate_space_t *space);
void rate_space_send_need(rate_client_t *client, rate_space_t *space,
    uint32_t prefetch, int64_t now_ms);
void rate_space_send_reports(rate_client_t *client, rate_space_t *space,
    node_id_t leader, int64_t now_ms);
void rate_space_add_batch(
    rate_space_t *space, node_id_t leader, const Tm__RateGrant *msg);
void rate_space_measure_demand(rate_space_t *space, int64_t now_ms);
void rate_space_return_old(
    rate_client_t *client, rate_space_t *space, int64_t now_ms);

#endif
