/**
 * @file
 * Choice of a target of a service for a request, from what the gate's table holds.
 * The state is in the service and its targets. Does no I/O and reads no clock.
 */
#ifndef TM_GATE_GATE_CHOICE_H
#define TM_GATE_GATE_CHOICE_H

#include "base/rng.h"
#include "gate/gate_subset.h"
#include "gate/gate_table.h"

/** As gate_table_pick(), for the table's policy and random source. */
gate_choice_t gate_choice_make(gate_service_t *service,
    const gate_policy_t *policy, rng_t *rng,
    const gate_pick_options_t *options);

#endif
