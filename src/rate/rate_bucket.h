/**
 * @file
 * Token bucket of one workspace at its shard leader: level, grants outstanding
 * at VMs, queue of VMs that wait for tokens, and the floor, the stored level
 * that a new leader starts from. The leader of rates (rate_leader.h) owns the
 * buckets. Does no I/O and reads no clock.
 */
#ifndef TM_RATE_RATE_BUCKET_H
#define TM_RATE_RATE_BUCKET_H

#include <stdint.h>

#include <uthash.h>

#include "base/node_defs.h"
#include "rate/rate_defs.h"
#include "rate/rate_leader.h"

/** Configured rate (utokens per second) and burst (utokens) of a workspace. */
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
	uint32_t requested; /**< of these, for waiting requests */
	uint32_t consumed; /**< total that the VM reported */
	uint32_t returned;
	int64_t reclaim_ms;
	int64_t recalled_ms; /**< 0: not recalled */
	struct rate_grant *prev;
	struct rate_grant *next;
} rate_grant_t;

/** A VM whose token request has not been granted in full yet. */
typedef struct rate_waiter {
	node_id_t vm;
	node_id_t relay; /**< holder that relays answers; or none */
	uint64_t sequence;
	int64_t sent_ms; /**< clock of the VM */
	int64_t received_ms;
	uint32_t waiting; /**< requests that wait for a token */
	uint32_t admitted; /**< of these, admitted by the admission bucket */
	uint32_t tokens; /**< to grant in the next message */
	uint32_t refuse; /**< requests to refuse in it */
	int ack_pending; /**< the VM has no answer to this sequence yet */
	struct rate_waiter *prev;
	struct rate_waiter *next;
} rate_waiter_t;

/** Token bucket of a workspace; amounts in utokens. */
typedef struct rate_bucket {
	char key[GROUP_STORE_KEY_MAX_BYTES + 1]; /**< in the replicated store */
	const char *workspace; /**< points into key */
	uint32_t shard;
	int64_t rate_us; /**< utokens per second */
	int64_t burst;
	int64_t level;
	/**
	 * Level of the admission bucket: same rate and burst, but each reported
	 * arrival consumes a token at once, however many tokens are granted or
	 * outstanding. It decides which requests may wait for a token and never
	 * grants one.
	 */
	int64_t admission_level;
	/** Other possible admission levels: an arrival within the tolerance of
	 * the limit may have been decided the other way. */
	int64_t alternatives[RATE_ALTERNATIVES_MAX];
	uint32_t alternative_count;
	int64_t drift_credit; /**< utokens, see RATE_DRIFT_CREDIT_MS */
	int64_t refill_remainder; /**< thousandths of a utoken */
	int64_t refilled_ms;
	rate_grant_t *grants;
	int64_t granted_outstanding; /**< outstanding in grants */
	int64_t inherited_outstanding; /**< granted by earlier leaders */
	int64_t inherited_until_ms;
	int64_t inherited_prefetch_max; /**< bound of its prefetch */
	int64_t inherited_requested_until_ms; /**< then at most the prefetch */
	rate_waiter_t *waiters;
	int64_t queue_since_ms; /**< 0 while nothing waits */
	int64_t floor; /**< bound of what a new leader may read */
	int64_t floor_pending; /**< put, uncommitted; -1 if none */
	uint64_t version; /**< of the last put */
	int64_t put_ms;
	int64_t logged_ms;
	int64_t used_ms;
	int stored; /**< the store has an entry */
	UT_hash_handle hh;
} rate_bucket_t;

/**
 * Adds the tokens accrued up to now. The level is at most the burst less the
 * outstanding tokens, or the burst with ignore_outstanding; the admission
 * levels are at most the burst and the tolerance.
 */
void rate_bucket_refill(
    rate_bucket_t *bucket, int64_t now_ms, int ignore_outstanding);

/** @return whole tokens that may be granted now */
uint32_t rate_bucket_get_available(const rate_bucket_t *bucket);

/** @return outstanding tokens of a grant */
uint32_t rate_grant_get_outstanding(const rate_grant_t *grant);

/** @return tokens of a grant that a VM holds without a waiting request */
uint32_t rate_grant_get_recallable(const rate_grant_t *grant);

/** Moves tokens from the level to a grant. @return NULL if out of memory */
rate_grant_t *rate_bucket_add_grant(rate_bucket_t *bucket, uint64_t id,
    node_id_t vm, uint32_t tokens, uint32_t requested, int64_t now_ms);

/**
 * Applies the totals that a VM reported for a grant. Ignores totals that are
 * lower than before or exceed the grant, and unknown grants.
 */
void rate_bucket_apply_report(rate_bucket_t *bucket, node_id_t vm, uint64_t id,
    uint32_t consumed, uint32_t returned);

/** @return utokens that all VMs together may hold as prefetch */
int64_t rate_bucket_get_prefetch_max(const rate_bucket_t *bucket);

/** Drops grants whose tokens have expired everywhere. */
void rate_bucket_expire_grants(rate_bucket_t *bucket, int64_t now_ms);

/** @return tokens of all grants that could be recalled */
int64_t rate_bucket_get_recallable(const rate_bucket_t *bucket);

/** @return number of waiting requests of all VMs */
int64_t rate_bucket_get_waiting(const rate_bucket_t *bucket);

/** @return utokens of the full drift credit */
int64_t rate_bucket_get_drift_credit_max(const rate_bucket_t *bucket);

/** Deducts arrivals that got a token without waiting from the admission bucket.
 */
void rate_bucket_count_arrivals(rate_bucket_t *bucket, uint32_t arrivals);

/**
 * Deducts arrivals from the admission bucket.
 *
 * @return number of arrivals that the rate and the burst admit
 */
uint32_t rate_bucket_admit_arrivals(rate_bucket_t *bucket, uint32_t arrivals);

/**
 * As rate_bucket_count_arrivals(), for arrivals that the VM reported with a delay.
 * If the admission bucket was full, the tokens that accrued since the oldest of
 * them arrived are not in its level: they are in a further alternative level.
 *
 * @param late_ms  age of the oldest arrival; 0: not delayed
 */
void rate_bucket_count_delayed(
    rate_bucket_t *bucket, uint32_t arrivals, int64_t late_ms);

/** The same for rate_bucket_admit_arrivals(). */
uint32_t rate_bucket_admit_delayed(
    rate_bucket_t *bucket, uint32_t arrivals, int64_t late_ms);

/**
 * Admits delayed arrivals, whose tokens in the admission bucket may have been
 * deducted for arrivals after them. Uses the drift credit only.
 *
 * @return number of admitted arrivals
 */
uint32_t rate_bucket_admit_late_arrivals(
    rate_bucket_t *bucket, uint32_t arrivals);

/** @return ms until the rate allows another request, at least 1 */
int64_t rate_bucket_get_retry_after_ms(const rate_bucket_t *bucket);

/**
 * Max-min fair share: the largest number of tokens per VM for which the VMs,
 * each given at most its waiting requests, get no more than total.
 *
 * @return tokens per VM
 */
uint32_t rate_bucket_get_fair_share(const rate_bucket_t *bucket, int64_t total);

/** @return sum of the waiting requests, at most share for each VM */
int64_t rate_bucket_sum_shares(const rate_bucket_t *bucket, uint32_t share);

/**
 * Assigns tokens to up to share waiting requests of each VM.
 *
 * @return tokens assigned
 */
int64_t rate_bucket_assign_shares(rate_bucket_t *bucket, uint32_t share);

/** @return tokens assigned to waiting VMs and not yet granted */
int64_t rate_bucket_get_assigned(const rate_bucket_t *bucket);

/** Frees grants and waiters. */
void rate_bucket_clear(rate_bucket_t *bucket);

#endif
