/**
 * @file
 * Local bucket: tokens and waiting requests of a workspace on this VM. Shared
 * by rate_client.c (requests, answers), rate_local.c (tokens, reports, token
 * requests) and rate_relay.c (delivery). rate_client_t owns the local buckets;
 * nothing here does I/O or reads a clock.
 */
#ifndef TM_RATE_RATE_CLIENT_INTERNAL_H
#define TM_RATE_RATE_CLIENT_INTERNAL_H

#include <uthash.h>

#include "proto/rate.pb-c.h"
#include "rate/rate_client.h"

/* A token request is sent again if no final answer came in this time. */
#define RATE_REQUEST_RETRY_MS 250
/*
 * Without any answer for this long, the next token request goes to another
 * holder, which relays it: the path to or from the leader may be broken.
 */
#define RATE_REQUEST_TIMEOUT_MS 200
/* Later messages to the same leader are relayed for this long. */
#define RATE_RELAY_DURATION_MS 5000
/* A queued token request is updated after this time with new requests. */
#define RATE_REQUEST_UPDATE_MS 20
/* Delay of the next token request without a leader or after "not leader". */
#define RATE_LEADER_RETRY_MS 10
/* Age at which unused tokens go back to the leader, before they expire. */
#define RATE_PREFETCH_RETURN_MS	 800
#define RATE_REQUESTED_RETURN_MS 300
/*
 * Consumed tokens are reported within this time, and before the rate allows
 * more than this share of the burst: the bucket cannot refill them until then.
 */
#define RATE_REPORT_DELAY_MAX_MS 20
#define RATE_REPORT_BURST_SHARE	 0.02
/* Interval of the demand measurement, and weight of one of them. */
#define RATE_DEMAND_INTERVAL_MS 100
#define RATE_DEMAND_WEIGHT	0.1
/* Requests per second below which a workspace counts as idle. */
#define RATE_DEMAND_IDLE_PER_S 0.01
/* Maximum number of reports in one message. */
#define RATE_REPORTS_MAX 64

/* Tokens of one grant. */
typedef struct rate_batch {
	uint64_t grant;
	node_id_t leader;
	uint32_t remaining;
	uint32_t prefetched; /* of remaining; the rest was requested */
	uint32_t consumed;
	uint32_t returned;
	int64_t sent_ms; /* of the token request; start of the tokens' age */
	int unreported; /* totals changed since the last report */
	struct rate_batch *prev;
	struct rate_batch *next;
} rate_batch_t;

typedef struct rate_pending {
	void *request;
	int64_t since_ms;
	int64_t deadline_ms;
	node_id_t reported_to; /* leader that was sent the request */
	struct rate_pending *prev;
	struct rate_pending *next;
} rate_pending_t;

typedef struct rate_local {
	char workspace[NAME_MAX_BYTES + 1];
	uint32_t shard;
	double rate_per_s;
	double burst;
	rate_batch_t *batches; /* oldest first */
	uint32_t held_tokens; /* sum of remaining of all batches */
	rate_pending_t *pending;
	uint32_t pending_count;
	uint64_t sequence; /* of the last token request */
	node_id_t request_leader; /* leader whose final answer is due */
	uint32_t requested_count; /* waiting requests in that token request */
	node_id_t
	    unresponsive_leader; /* did not answer the last token request */
	int64_t relay_until_ms; /* messages to it are relayed */
	uint32_t relay_index; /* index of the first holder tried */
	int64_t last_answer_ms; /* last answer of a leader */
	int request_answered; /* an answer to that request arrived */
	int64_t request_sent_ms; /* of the last token request */
	int64_t next_request_ms;
	int64_t empty_until_ms;
	int64_t unreported_since_ms; /* 0: nothing to report */
	uint32_t unreported_arrivals; /* got a token without a token request */
	uint32_t demand_count; /* requests since demand_ms */
	int64_t demand_ms;
	double demand_per_s;
	double even_level; /* baseline only: even share of the rate */
	int64_t even_level_ms;
	int active; /* in the list of local buckets to tick */
	struct rate_local *prev;
	struct rate_local *next;
	UT_hash_handle hh;
} rate_local_t;

struct rate_client {
	rate_client_options_t options;
	rate_local_t *locals;
	rate_local_t *active; /* ticked; idle ones are left out */
	uint32_t vm_count;
};

/* rate_relay.c */
void rate_local_send(rate_client_t *client, rate_local_t *local,
    node_id_t leader, Tm__RateNeed *msg, int64_t now_ms);
void rate_local_mark_unresponsive(
    rate_client_t *client, rate_local_t *local, int64_t now_ms);
void rate_local_mark_answered(
    rate_local_t *local, node_id_t leader, int relayed, int64_t now_ms);

/* rate_local.c */
void rate_local_free_batch(rate_local_t *local, rate_batch_t *batch);
void rate_local_expire(
    rate_client_t *client, rate_local_t *local, int64_t now_ms);
void rate_local_return_batch(
    rate_local_t *local, rate_batch_t *batch, uint32_t keep, int64_t now_ms);
int rate_local_consume(
    rate_client_t *client, rate_local_t *local, int64_t now_ms);
int64_t rate_local_get_report_delay_ms(const rate_local_t *local);
uint32_t rate_local_get_prefetch(const rate_local_t *local);
void rate_local_send_request(rate_client_t *client, rate_local_t *local,
    uint32_t prefetch, int64_t now_ms);
void rate_local_send_reports(rate_client_t *client, rate_local_t *local,
    node_id_t leader, int64_t now_ms);
void rate_local_add_batch(
    rate_local_t *local, node_id_t leader, const Tm__RateGrant *msg);
void rate_local_measure_demand(rate_local_t *local, int64_t now_ms);
void rate_local_return_expiring(
    rate_client_t *client, rate_local_t *local, int64_t now_ms);

#endif
