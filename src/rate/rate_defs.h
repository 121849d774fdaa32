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
/** The leader counts tokens as outstanding for this long. */
#define RATE_TOKEN_RECLAIM_MS 1200
/** Most requests in one need. */
#define RATE_NEED_MAX 4096
/** A VM prefetches what it needs in this time. */
#define RATE_PREFETCH_MS 500
/**
 * A request waits at the leader in place of a refusal while the tokens ahead of
 * it accrue in this time. A waiting request occupies a place of its service's
 * queue, so the time is short.
 */
#define RATE_QUEUE_MS 100
/**
 * A change of the leader loses about 1 s of refill, which a workspace close to
 * its rate makes up for slowly; until then the queue is longer.
 */
#define RATE_CATCH_UP_QUEUE_MS 1000
#define RATE_CATCH_UP_MS       60000

#endif
