/**
 * @file
 * Counters and histograms of tm-gate.
 */
#ifndef TM_GATE_GATE_METRICS_H
#define TM_GATE_GATE_METRICS_H

#include "gate/gate_defs.h"

/** Registers what is always there. @return 0 or TM_ENOMEM */
int gate_metrics_create(gate_t *gate);

/**
 * Counts an answer and its duration.
 *
 * @param workspace  "" on open routes
 * @param reason     word of the refusal, or "answered"
 */
void gate_metrics_count_answer(gate_t *gate, const char *workspace, int status,
    const char *reason, int64_t duration_ms);

/** Counts what a failed attempt showed. @param kind  its word */
void gate_metrics_count_evidence(gate_t *gate, const char *kind);

/** Sets the gauges that are read from the modules. */
void gate_metrics_update(gate_t *gate);

#endif
