/**
 * @file
 * What a gate spent on each workspace lately: for a leader that is new and has
 * not seen it, and for the gate's own allowance. A decision module.
 */
#ifndef TM_GATE_GATE_USAGE_H
#define TM_GATE_GATE_USAGE_H

#include <stddef.h>
#include <stdint.h>

#include "proto/fleet.pb-c.h"

/** Length of a part. */
#define GATE_USAGE_INTERVAL_MS 250
/** Parts of one window of rates, the current one included, and one more that
 * the window cuts. */
#define GATE_USAGE_PAST_INTERVALS 21
/** Parts that lie future: a permit may be for up to a second later. */
#define GATE_USAGE_FUTURE_INTERVALS 4
#define GATE_USAGE_INTERVALS (GATE_USAGE_FUTURE_INTERVALS + GATE_USAGE_PAST_INTERVALS)

typedef struct gate_usage gate_usage_t;

/** @return NULL if memory is exhausted */
gate_usage_t *gate_usage_create(void);

/** Frees everything; NULL is allowed. */
void gate_usage_destroy(gate_usage_t *usage);

/**
 * Counts a request.
 *
 * @param due_ms  when it may be sent, now or a bit later
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
 * Lists the workspaces with requests in the window. The first
 * GATE_USAGE_FUTURE_INTERVALS intervals of a workspace lie future, the next one is current.
 *
 * @param list  messages that stay valid until the next call
 * @return      their number
 */
size_t gate_usage_list(
    gate_usage_t *usage, Tm__Fleet__Usage ***list, int64_t now_ms);

#endif
