/**
 * @file
 * Why a connection to a target is opened: remembers how the last connections to
 * it ended, and takes each new one for the replacement of one of these where that
 * could have been reused. Reads no clock.
 */
#ifndef TM_HTTP_UPSTREAM_ORIGIN_H
#define TM_HTTP_UPSTREAM_ORIGIN_H

#include <stdint.h>

/** Ends of connections to a target that are remembered. */
#define UPSTREAM_ENDS_MAX 8
/** An end is forgotten after this time: what was kept until then would have been
 * idle for too long. */
#define UPSTREAM_END_KEPT_MS 60000

/** Where the connection of a call comes from. */
typedef enum upstream_origin {
	UPSTREAM_ORIGIN_REUSED, /**< it was idle */
	UPSTREAM_ORIGIN_FIRST, /**< opened: none is remembered */
	UPSTREAM_ORIGIN_BUSY, /**< opened: the others run requests */
	UPSTREAM_ORIGIN_IDLE, /**< opened: one was idle for too long */
	/** Opened: one was idle for longer than the target seems to keep them,
	 * see upstream_idle.h. */
	UPSTREAM_ORIGIN_IDLE_LEARNED,
	UPSTREAM_ORIGIN_CLOSED_IDLE, /**< opened: the target closed an idle one */
	/** Opened: the target announced the close of one in its response. */
	UPSTREAM_ORIGIN_CLOSED_LAST,
	UPSTREAM_ORIGIN_FAILED, /**< opened: one was lost with its call */
	UPSTREAM_ORIGIN_CANCELLED, /**< opened: the call on one was cancelled */
	/** Opened: this process closed one that was not clean (bytes after a
	 * response, a request that was not read to its end), or one too many. */
	UPSTREAM_ORIGIN_DROPPED,
	UPSTREAM_ORIGIN_ID, /**< opened: the request's id forbids reuse */
	UPSTREAM_ORIGINS
} upstream_origin_t;

/** End of a connection that is not replaced yet. */
typedef struct upstream_end {
	upstream_origin_t cause;
	int64_t ended_ms;
} upstream_end_t;

/** Ends of connections to a target; starts as zero. */
typedef struct upstream_ends {
	upstream_end_t list[UPSTREAM_ENDS_MAX]; /**< the oldest first */
	uint32_t count;
} upstream_ends_t;

/** What is known when a connection is opened. */
typedef struct upstream_opening {
	int is_first; /**< no connection to the target is remembered */
	int is_barred; /**< the request's id forbids an idle connection */
	/** UPSTREAM_ORIGIN_IDLE or _IDLE_LEARNED if an idle connection is left
	 * that is not replaced yet, else UPSTREAM_ORIGIN_REUSED. */
	upstream_origin_t idle;
	uint32_t busy; /**< connections with a call */
	int64_t max_ms; /**< longest idle time of a reused connection */
} upstream_opening_t;

/** Records that a connection ended. */
void upstream_ends_add(
    upstream_ends_t *ends, upstream_origin_t cause, int64_t now_ms);

/**
 * Decides why a connection is opened. Of several causes the first one counts: no
 * connection before; the id of the request; the latest end that is not replaced
 * and no older than max_ms; an idle connection that is left; an older end, which
 * counts as UPSTREAM_ORIGIN_IDLE; the others are busy. An end is used once.
 *
 * @param replaces_idle  receives 1 if the idle connection that is left is the
 *                       cause
 */
upstream_origin_t upstream_origin_decide(upstream_ends_t *ends,
    const upstream_opening_t *opening, int64_t now_ms, int *replaces_idle);

#endif
