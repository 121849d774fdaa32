/**
 * @file
 * Connects the choice of targets with the state of the gate: sets the policy
 * of the table, and reports the subsets in the log and as metrics.
 */
#ifndef TM_GATE_GATE_POLICY_H
#define TM_GATE_GATE_POLICY_H

#include "gate/gate_defs.h"

/** Sets the policy from the features and the number of gates, and logs subsets
 * whose size has changed. */
void gate_policy_tick(gate_t *gate, int64_t now_ms);

/** Updates the gauges; call before the metrics are formatted. */
void gate_policy_update_metrics(gate_t *gate);

#endif
