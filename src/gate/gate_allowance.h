/**
 * @file
 * What a gate may spend on a workspace without asking, from one answer of the
 * leader to the next, or while none answers. All gates together stay within the
 * rate: each has its share of what was left when the leader last told that there
 * was plenty, and of a part of the rate. A decision module.
 */
#ifndef TM_GATE_GATE_ALLOWANCE_H
#define TM_GATE_GATE_ALLOWANCE_H

#include <stdint.h>

#include "base/rng.h"
#include "fleet/fleet_config.h"

typedef struct gate_allowance gate_allowance_t;

/** Who asks for a token. */
typedef struct gate_allowance_ask {
	const fleet_workspace_t *workspace;
	int is_plentiful; /**< as the last leader told */
	uint32_t gates; /**< in the fleet */
	int64_t now_ms;
} gate_allowance_ask_t;

/** @return NULL if memory is exhausted */
gate_allowance_t *gate_allowance_create(
    const fleet_rate_bounds_t *bounds, uint64_t seed);

/** Frees everything; NULL is allowed. */
void gate_allowance_destroy(gate_allowance_t *allowance);

/** Forgets what was spent: the leader knows of it. */
void gate_allowance_reset(gate_allowance_t *allowance);

/** Takes a token. @return 1 if there was one */
int gate_allowance_take(
    gate_allowance_t *allowance, const gate_allowance_ask_t *ask);

#endif
