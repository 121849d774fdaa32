/**
 * @file
 * Allowance: tokens of a workspace that a gate may consume without a permit,
 * from one answer of the leader to the next, or while none answers. In each
 * window it is what the gate used in the window before or, if the last leader
 * reported headroom, a level at which all gates together stay within the rate.
 * The gate owns the state. Does no I/O and reads no clock.
 */
#ifndef TM_GATE_GATE_ALLOWANCE_H
#define TM_GATE_GATE_ALLOWANCE_H

#include <stdint.h>

#include "base/rng.h"
#include "fleet/fleet_config.h"

typedef struct gate_allowance gate_allowance_t;

/** State of a workspace at this gate when a token is wanted. */
typedef struct gate_allowance_query {
	const fleet_workspace_t *workspace;
	uint32_t used; /**< by this gate in the window that ends now */
	uint32_t future; /**< granted for later times */
	int has_headroom; /**< by the last leader */
	uint32_t gates; /**< in the fleet */
} gate_allowance_query_t;

/** @return NULL if memory is exhausted */
gate_allowance_t *gate_allowance_create(
    const fleet_rate_bounds_t *bounds, uint64_t seed);

/** Frees everything; NULL is allowed. */
void gate_allowance_destroy(gate_allowance_t *allowance);

/** Drops all allowances once the leader knows the consumed tokens; each is set
 * anew at its next query. */
void gate_allowance_reset(gate_allowance_t *allowance);

/** @return 1 if the gate may consume a token, which the caller then counts as
 * used; 0 also if memory is exhausted */
int gate_allowance_admits(
    gate_allowance_t *allowance, const gate_allowance_query_t *query);

#endif
