/**
 * @file
 * What a gate spent on each workspace lately, for a leader that is new and has
 * not seen it. A decision module.
 */
#ifndef TM_GATE_GATE_USAGE_H
#define TM_GATE_GATE_USAGE_H

#include <stddef.h>
#include <stdint.h>

#include "proto/fleet.pb-c.h"

/** Length of a part, and number of parts: one window of rates. */
#define GATE_USAGE_PART_MS 250
#define GATE_USAGE_PARTS   20

typedef struct gate_usage gate_usage_t;

/** @return NULL if memory is exhausted */
gate_usage_t *gate_usage_create(void);

/** Frees everything; NULL is allowed. */
void gate_usage_destroy(gate_usage_t *usage);

/** Counts a request. */
void gate_usage_count(gate_usage_t *usage, uint64_t workspace, int64_t now_ms);

/**
 * Lists the workspaces with requests in the window.
 *
 * @param list  messages that stay valid until the next call
 * @return      their number
 */
size_t gate_usage_list(
    gate_usage_t *usage, Tm__Fleet__Usage ***list, int64_t now_ms);

#endif
