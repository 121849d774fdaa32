/**
 * @file
 * Token bucket of one workspace at its leader: level, tokens outstanding at
 * VMs, and the floor that a new leader would start from.
 */
#ifndef TM_RATE_RATE_BUCKET_H
#define TM_RATE_RATE_BUCKET_H

#include <stdint.h>

#include <uthash.h>

#include "base/node_defs.h"
#include "rate/rate_defs.h"
#include "rate/rate_leader.h"

/** A configured workspace, in millionths of a token. */
typedef struct rate_config {
	char workspace[NAME_MAX_BYTES + 1];
	int64_t rate_us;
	int64_t burst;
	UT_hash_handle hh;
} rate_config_t;

/** Tokens granted to one VM in one message. */
typedef struct rate_grant {
	uint64_t id;
	node_id_t vm;
	uint32_t tokens;
	uint32_t need; /**< of these, for requests that waited */
	uint32_t spent; /**< reported totals */
	uint32_t returned;
	int64_t reclaim_ms;
	int64_t recalled_ms; /**< 0: not recalled */
	struct rate_grant *prev;
	struct rate_grant *next;
} rate_grant_t;

/** A VM whose need could not be met yet. */
typedef struct rate_waiter {
	node_id_t vm;
	node_id_t relay; /**< holder that passes answers on; or none */
	uint64_t sequence;
	int64_t sent_ms; /**< clock of the VM */
	int64_t since_ms;
	uint32_t need; /**< requests that still wait */
	uint32_t allowed; /**< of these, admitted by the reference bucket */
	uint32_t tokens; /**< for the next message */
	uint32_t refuse; /**< for the next message */
	int ack; /**< the VM has no answer to this sequence yet */
	struct rate_waiter *prev;
	struct rate_waiter *next;
} rate_waiter_t;

/** Bucket; amounts in utokens. */
typedef struct rate_bucket {
	char key[GROUP_STORE_KEY_MAX_BYTES + 1]; /**< of the store */
	const char *workspace; /**< within key */
	uint32_t shard;
	int64_t rate_us; /**< utokens per second */
	int64_t burst;
	int64_t level;
	/**
	 * Level of a bucket with the same rate and burst that arrivals drain
	 * without delay and that nothing holds up. It decides which requests
	 * may wait for a token; it never grants one.
	 */
	int64_t reference;
	/** Levels it would have if it had decided close cases otherwise. */
	int64_t possible[RATE_POSSIBLE_MAX];
	uint32_t possible_count;
	int64_t spare; /**< arrivals admitted for the lag of the reference */
	int64_t refill_rest; /**< below one utoken, in thousandths */
	int64_t refilled_ms;
	rate_grant_t *grants;
	int64_t granted_out; /**< sum of what grants have outstanding */
	int64_t unknown_out; /**< tokens of an earlier leader */
	int64_t unknown_until_ms;
	int64_t unknown_extra; /**< prefetch, the most of unknown_out */
	int64_t unknown_need_ms; /**< when only prefetch is left of it */
	rate_waiter_t *waiters;
	int64_t short_ms; /**< start of the present queue; 0 without one */
	int64_t floor; /**< highest floor that a new leader may find */
	int64_t floor_pending; /**< put, not committed; -1 if none */
	uint64_t version; /**< of the last put */
	int64_t put_ms;
	int64_t logged_ms;
	int64_t used_ms;
	int stored; /**< the store has an entry */
	UT_hash_handle hh;
} rate_bucket_t;

/** Adds the tokens accrued up to now, within the burst. */
void rate_bucket_refill(
    rate_bucket_t *bucket, int64_t now_ms, int ignore_outstanding);

/** @return whole tokens that may be granted now */
uint32_t rate_bucket_get_available(const rate_bucket_t *bucket);

/** @return outstanding tokens of a grant */
uint32_t rate_grant_get_open(const rate_grant_t *grant);

/** @return tokens of a grant that a VM holds without a waiting request */
uint32_t rate_grant_get_idle(const rate_grant_t *grant);

/** Takes tokens from the level. @return the grant, NULL without memory */
rate_grant_t *rate_bucket_grant(rate_bucket_t *bucket, uint64_t id,
    node_id_t vm, uint32_t tokens, uint32_t need, int64_t now_ms);

/** Applies totals that a VM reported for a grant. */
void rate_bucket_report(rate_bucket_t *bucket, node_id_t vm, uint64_t id,
    uint32_t spent, uint32_t returned);

/** @return most utokens of prefetch that all VMs may hold */
int64_t rate_bucket_get_prefetch_max(const rate_bucket_t *bucket);

/** Drops grants whose tokens have expired everywhere. */
void rate_bucket_reclaim(rate_bucket_t *bucket, int64_t now_ms);

/** @return tokens of all grants that could be recalled */
int64_t rate_bucket_get_idle(const rate_bucket_t *bucket);

/** @return requests that wait at all VMs */
int64_t rate_bucket_get_waiting(const rate_bucket_t *bucket);

/** @return most utokens that make up for the drift of the reference */
int64_t rate_bucket_get_spare_max(const rate_bucket_t *bucket);

/** Counts arrivals that were served without waiting. */
void rate_bucket_count(rate_bucket_t *bucket, uint32_t arrivals);

/**
 * Counts arrivals in the reference bucket.
 *
 * @return arrivals that the rate and the burst allow
 */
uint32_t rate_bucket_admit(rate_bucket_t *bucket, uint32_t arrivals);

/**
 * Admits arrivals that were reported so late that others may have taken their
 * tokens in the reference bucket; only from the spare ones.
 *
 * @return admitted arrivals
 */
uint32_t rate_bucket_admit_late(rate_bucket_t *bucket, uint32_t arrivals);

/** @return ms until the rate allows another request, at least 1 */
int64_t rate_bucket_get_next_ms(const rate_bucket_t *bucket);

/**
 * Max-min share: the largest count per VM for which the waiting requests up to
 * that count add up to no more than total.
 */
uint32_t rate_bucket_get_share(const rate_bucket_t *bucket, int64_t total);

/** @return waiting requests, counting at most share for each VM */
int64_t rate_bucket_sum_shares(const rate_bucket_t *bucket, uint32_t share);

/**
 * Moves up to share requests of each VM from need to tokens.
 *
 * @return tokens promised
 */
int64_t rate_bucket_take_shares(rate_bucket_t *bucket, uint32_t share);

/** @return tokens promised to waiting VMs and not yet granted */
int64_t rate_bucket_get_divided(const rate_bucket_t *bucket);

/** Frees grants and waiters. */
void rate_bucket_clear(rate_bucket_t *bucket);

#endif
