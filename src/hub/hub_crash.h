/**
 * @file
 * Requests that crash targets, as the leading hub counts them: a request, known
 * by its fingerprint, that was running when several targets crashed one after
 * the other is blocked at all gates for a time. The caller owns the state. Does
 * no I/O and reads no clock.
 *
 * A target that crashes takes other requests with it. These are not blocked:
 * crashes at the same time count once, and one that a target answers is
 * harmless.
 */
#ifndef TM_HUB_HUB_CRASH_H
#define TM_HUB_HUB_CRASH_H

#include <stddef.h>
#include <stdint.h>

/** Crashes that block a request. */
#define HUB_CRASHES_TO_BLOCK 3
/** Length of the first block; each further one is twice as long, up to the
 * maximum. After a block a single crash starts the next one. */
#define HUB_BLOCK_MS	 300000
#define HUB_BLOCK_MAX_MS 3600000
/** A request without a crash for this long is forgotten. */
#define HUB_CRASH_EXPIRY_MS 7200000
/** Most requests that are remembered; the one whose last crash is the longest
 * ago makes room. */
#define HUB_CRASH_REQUESTS_MAX 1024

typedef struct hub_crash hub_crash_t;

/** A target crashed while a request was running on it. */
typedef struct hub_crash_report {
	uint64_t fingerprint; /**< of the request */
	uint64_t target; /**< key */
	uint64_t incarnation_ms; /**< of the target */
	int64_t sent_ms; /**< when the request was sent to it */
	int64_t broken_ms; /**< when its connection broke */
} hub_crash_report_t;

/** A blocked request. */
typedef struct hub_block {
	uint64_t fingerprint;
	int64_t left_ms; /**< until the block ends */
} hub_block_t;

/** @return NULL if memory is exhausted */
hub_crash_t *hub_crash_create(void);

/** Frees everything; NULL is allowed. */
void hub_crash_destroy(hub_crash_t *crash);

/** Forgets all requests: this hub begins to lead. */
void hub_crash_reset(hub_crash_t *crash);

/** Blocks a request that the previous leader had blocked, for HUB_BLOCK_MS. */
void hub_crash_restore(
    hub_crash_t *crash, uint64_t fingerprint, int64_t now_ms);

/**
 * Records a crash.
 *
 * @return crashes that count against the request; HUB_CRASHES_TO_BLOCK or more
 *         once it is blocked
 */
uint32_t hub_crash_record(
    hub_crash_t *crash, const hub_crash_report_t *report, int64_t now_ms);

/** Forgets a request that a target has answered. */
void hub_crash_clear(hub_crash_t *crash, uint64_t fingerprint);

/** Ends blocks and forgets old crashes. */
void hub_crash_tick(hub_crash_t *crash, int64_t now_ms);

/**
 * Lists the blocked requests.
 *
 * @param blocks  receives at most max of them
 * @return        their number
 */
size_t hub_crash_list_blocks(
    const hub_crash_t *crash, hub_block_t *blocks, size_t max, int64_t now_ms);

/** Lists the requests that one more crash blocks. */
size_t hub_crash_list_suspects(
    const hub_crash_t *crash, uint64_t *fingerprints, size_t max);

/** @return version of the two lists, from 1 on */
uint64_t hub_crash_get_sequence(const hub_crash_t *crash);

#endif
