/**
 * @file
 * How long a connection to a target may be idle before it is reused, as far as
 * the target has shown by closing connections without a word.
 */
#ifndef TM_HTTP_UPSTREAM_IDLE_H
#define TM_HTTP_UPSTREAM_IDLE_H

#include <stdint.h>

/** Idle connections that a target closed; starts as zero. */
typedef struct upstream_idle {
	int64_t shortest_ms; /**< shortest wait after which it closed one */
	int64_t closed_at_ms; /**< when; 0: it has closed none */
} upstream_idle_t;

/**
 * Records that a target closed a connection, idle or with a request just sent.
 *
 * @param idle_ms  how long the connection was idle
 */
void upstream_idle_record_close(
    upstream_idle_t *idle, int64_t idle_ms, int64_t now_ms);

/**
 * @param max_ms  longest wait for other reasons
 * @return        longest wait after which a connection may be reused; -1: none
 *                may, however short it was idle
 */
int64_t upstream_idle_get_max_ms(
    const upstream_idle_t *idle, int64_t max_ms, int64_t now_ms);

#endif
