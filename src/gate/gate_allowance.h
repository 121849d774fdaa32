/**
 * @file
 * What a gate may spend on a workspace without asking, from one answer of the
 * leader to the next, or while none answers: in each window as much as it used
 * in the one before or, if the leader last told that there was plenty, up to a
 * fair_level at which all gates together stay within the rate. A decision module.
 */
#ifndef TM_GATE_GATE_ALLOWANCE_H
#define TM_GATE_GATE_ALLOWANCE_H

#include <stdint.h>

#include "base/rng.h"
#include "fleet/fleet_config.h"

typedef struct gate_allowance gate_allowance_t;

/** Who asks for a token. */
typedef struct gate_allowance_query {
	const fleet_workspace_t *workspace;
	uint32_t used; /**< by this gate in the window that ends now */
	uint32_t future; /**< granted to it for later */
	int has_headroom; /**< as the last leader told */
	uint32_t gates; /**< in the fleet */
} gate_allowance_query_t;

/** @return NULL if memory is exhausted */
gate_allowance_t *gate_allowance_create(
    const fleet_rate_bounds_t *bounds, uint64_t seed);

/** Frees everything; NULL is allowed. */
void gate_allowance_destroy(gate_allowance_t *allowance);

/** Sets all allowances anew: the leader knows what was spent. */
void gate_allowance_reset(gate_allowance_t *allowance);

/** @return 1 if the gate may spend a token, which it then counts as used */
int gate_allowance_admits(
    gate_allowance_t *allowance, const gate_allowance_query_t *query);

#endif
