/**
 * @file
 * Budget of retries and hedged requests of one service on one VM: a token
 * bucket filled by a share of the requests. Also estimates the latency at which
 * a request is hedged. The caller owns the state. Does no I/O, reads no clock.
 */
#ifndef TM_ROUTE_RETRY_BUDGET_H
#define TM_ROUTE_RETRY_BUDGET_H

#include <stdint.h>

/** Retries per 100 requests. */
#define RETRY_BUDGET_PERCENT 10
/** Capacity of the bucket in retries. */
#define RETRY_BUDGET_BURST 10

/** Embedded by the caller. */
typedef struct retry_budget {
	uint32_t hundredths; /**< tokens, in hundredths of a retry */
	double typical_ms; /**< smoothed latency of successes */
	double spread_ms; /**< smoothed absolute deviation */
	uint64_t taken; /**< retries and hedges granted so far */
	uint64_t refused;
} retry_budget_t;

/** Starts with a full bucket. */
void retry_budget_init(retry_budget_t *budget);

/** Counts a first attempt; adds RETRY_BUDGET_PERCENT of a retry. */
void retry_budget_add_request(retry_budget_t *budget);

/**
 * Consumes the token of a retry or a hedged request.
 *
 * @return 0, or TM_EFULL if the budget is used up
 */
int retry_budget_consume(retry_budget_t *budget);

/** Records the latency of a success, for the hedging delay. */
void retry_budget_record(retry_budget_t *budget, int64_t latency_ms);

/**
 * Age at which a repeatable request may be hedged.
 *
 * @param remaining_ms  time to the deadline
 * @return              delay in ms since the start; -1 if hedging is useless
 */
int64_t retry_budget_get_hedge_delay_ms(
    const retry_budget_t *budget, int64_t remaining_ms);

#endif
