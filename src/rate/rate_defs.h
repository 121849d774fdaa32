/**
 * @file
 * Message types and units of rates. Tokens are counted in millionths, so
 * fractional rates lose nothing to rounding.
 */
#ifndef TM_RATE_RATE_DEFS_H
#define TM_RATE_RATE_DEFS_H

#include "net/msg_types.h"

#define MSG_RATE_NEED	(MSG_RATE_BASE + 0)
#define MSG_RATE_GRANT	(MSG_RATE_BASE + 5)
#define MSG_RATE_RECALL (MSG_RATE_BASE + 6)

#define RATE_UTOKENS INT64_C(1000000)
/** Bounds of the configured values. */
#define RATE_PER_S_MAX 1e9
#define RATE_BURST_MAX 1e9
/** Tokens are valid for this long after the VM sent its request. */
#define RATE_TOKEN_VALID_MS 1000
/**
 * Tokens for waiting requests are spent on arrival. They are valid for a
 * shorter time than prefetch, so that a new leader need not count them for as
 * long: at its start they are at most this old.
 */
#define RATE_NEED_VALID_MS 400
/**
 * A new leader counts them as outstanding for this long, and after that only
 * the prefetch.
 */
#define RATE_NEED_RECLAIM_MS 500
/** All prefetch together is at most the burst divided by this. */
#define RATE_PREFETCH_PART 4
/** The leader counts tokens as outstanding for this long. */
#define RATE_TOKEN_RECLAIM_MS 1200
/** Most requests in one need. */
#define RATE_NEED_MAX 4096
/** A VM prefetches what it needs in this time. */
#define RATE_PREFETCH_MS 500
/**
 * A request that the reference bucket admits waits at the leader while the
 * tokens ahead of it accrue in this time. A change of the leader loses about
 * 1.2 s of refill.
 */
#define RATE_QUEUE_MS 2000
/**
 * The leader learns of arrivals late and in another order, so its reference
 * bucket drifts from the true one until both are full. Since it was last full,
 * the tokens of this time admit arrivals beyond it.
 */
#define RATE_DRIFT_MS 500
/**
 * An arrival may have found the level of up to this much earlier or later: it is
 * reported late and out of order. Within it the reference follows both decisions.
 */
#define RATE_LATE_MS 15
/** Most levels that it follows besides its own. */
#define RATE_POSSIBLE_MAX 8
/** Arrivals during a change of the leader, credited to the reference bucket. */
#define RATE_CHANGE_MS 1500

#endif
