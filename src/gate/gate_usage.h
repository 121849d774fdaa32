/**
 * @file
 * Counts the tokens of each workspace that this gate consumed in the last
 * window, by intervals: reported to a new leader, which has not seen them, and
 * used for the gate's own allowance. The gate owns the state. Does no I/O and
 * reads no clock.
 */
#ifndef TM_GATE_GATE_USAGE_H
#define TM_GATE_GATE_USAGE_H

#include <stddef.h>
#include <stdint.h>

#include "proto/fleet.pb-c.h"

/** Length of an interval. */
#define GATE_USAGE_INTERVAL_MS 250
/** Intervals of one rate window with the current one, plus one because the
 * window may begin within an interval. */
#define GATE_USAGE_PAST_INTERVALS 21
/** Future intervals: a permit may be valid up to a second later. */
#define GATE_USAGE_FUTURE_INTERVALS 4
#define GATE_USAGE_INTERVALS \
	(GATE_USAGE_FUTURE_INTERVALS + GATE_USAGE_PAST_INTERVALS)

typedef struct gate_usage gate_usage_t;

/** @return NULL if memory is exhausted */
gate_usage_t *gate_usage_create(void);

/** Frees everything; NULL is allowed. */
void gate_usage_destroy(gate_usage_t *usage);

/**
 * Counts a request; dropped if memory is exhausted.
 *
 * @param due_ms  time at which it may be sent, now or within a second
 */
void gate_usage_count(
    gate_usage_t *usage, uint64_t workspace, int64_t now_ms, int64_t due_ms);

/**
 * @param future  receives the requests that are due later
 * @return       requests of a workspace in the window that ends now
 */
uint32_t gate_usage_get(
    gate_usage_t *usage, uint64_t workspace, int64_t now_ms, uint32_t *future);

/**
 * Lists the workspaces with requests in the window. Intervals come newest
 * first: GATE_USAGE_FUTURE_INTERVALS future ones, then the current one.
 *
 * @param list  messages that stay valid until the next call
 * @return      their number
 */
size_t gate_usage_list(
    gate_usage_t *usage, Tm__Fleet__Usage ***list, int64_t now_ms);

#endif
