/**
 * @file
 * Message types, units and limits of rate limiting. Tokens are counted in
 * millionths (utokens), so fractional rates lose nothing to rounding. A VM
 * acquires tokens with a token request (message RateNeed). It gets requested
 * tokens, for requests that already wait, and prefetched tokens, for requests
 * to come.
 */
#ifndef TM_RATE_RATE_DEFS_H
#define TM_RATE_RATE_DEFS_H

#include "net/msg_types.h"

#define MSG_RATE_NEED	(MSG_RATE_BASE + 0)
#define MSG_RATE_GRANT	(MSG_RATE_BASE + 5)
#define MSG_RATE_RECALL (MSG_RATE_BASE + 6)

/** Utokens in one token. */
#define RATE_UTOKENS INT64_C(1000000)
/** Largest configured rate, in tokens per second. */
#define RATE_PER_S_MAX 1e9
/** Largest configured burst, in tokens. */
#define RATE_BURST_MAX 1e9
/** Validity of prefetched tokens, from when the VM sent its token request. */
#define RATE_TOKEN_VALID_MS 1000
/**
 * Validity of requested tokens. The VM consumes them on arrival, so they expire
 * earlier than prefetched tokens. At the start of a new leader those that are
 * still valid are at most this old, and it counts them for a shorter time.
 */
#define RATE_REQUESTED_VALID_MS 400
/**
 * A new leader counts the requested tokens of earlier leaders as outstanding
 * for this long, and after that only the prefetched ones.
 */
#define RATE_REQUESTED_RECLAIM_MS 500
/** All prefetched tokens together are at most the burst divided by this. */
#define RATE_PREFETCH_DIVISOR 4
/** The leader counts granted tokens as outstanding for this long. */
#define RATE_TOKEN_RECLAIM_MS 1200
/** Maximum number of tokens in one token request. */
#define RATE_REQUESTED_MAX 4096
/** A VM prefetches its demand for this time. */
#define RATE_PREFETCH_MS 500
/**
 * Length of the leader's queue: a request that the admission bucket admits may
 * wait for tokens that accrue within this time. It is above the 1.2 s of refill
 * that a change of the leader loses.
 */
#define RATE_QUEUE_MS 2000
/**
 * Arrivals are reported to the leader late and out of order, so its admission
 * bucket drifts from an exact one until both are full. To make up for it, the
 * tokens that accrue in this time admit further arrivals (the drift credit).
 * The credit is restored whenever the admission bucket is full.
 */
#define RATE_DRIFT_CREDIT_MS 500
/**
 * Arrivals are reported late and out of order, so an arrival may belong to a
 * level of the admission bucket from up to this much earlier or later. Where
 * this changes the decision, the bucket tracks the outcome of both decisions.
 */
#define RATE_ARRIVAL_TOLERANCE_MS 15
/**
 * A VM reports an arrival as late if it held it for this long: above the 1 to 2 ms
 * of a message within a data centre, arrivals at other VMs after it are known first.
 */
#define RATE_LATE_MIN_MS 3
/** Maximum number of levels tracked besides the admission level. */
#define RATE_ALTERNATIVES_MAX 8
/** Time of a leader change whose arrivals the admission bucket is credited. */
#define RATE_LEADER_CHANGE_MS 1500

#endif
