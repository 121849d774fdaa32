/**
 * @file
 * What a gate may spend on a workspace while no leader answers. All gates
 * together stay within the rate: each gets its equal share of most of it. A
 * decision module.
 */
#ifndef TM_GATE_GATE_ALLOWANCE_H
#define TM_GATE_GATE_ALLOWANCE_H

#include <stdint.h>

#include "fleet/fleet_config.h"

/** Part of the rate that gates may spend on their own. */
#define GATE_ALLOWANCE_SHARE 0.8
/** Tokens that all gates together may spend at once. */
#define GATE_ALLOWANCE_START 15.0
/** Most tokens that one gate saves. */
#define GATE_ALLOWANCE_MAX 2.0

typedef struct gate_allowance gate_allowance_t;

/** @return NULL if memory is exhausted */
gate_allowance_t *gate_allowance_create(void);

/** Frees everything; NULL is allowed. */
void gate_allowance_destroy(gate_allowance_t *allowance);

/** Forgets the buckets: a leader answers again. */
void gate_allowance_reset(gate_allowance_t *allowance);

/**
 * Takes a token.
 *
 * @param gates  number of gates in the fleet
 * @return       1 if there was one
 */
int gate_allowance_take(gate_allowance_t *allowance,
    const fleet_workspace_t *workspace, uint32_t gates, int64_t now_ms);

#endif
