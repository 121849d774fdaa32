/**
 * @file
 * Counters, gauges and histograms of tm-gate. The gate owns them; the module
 * only updates values; it has no HTTP endpoint.
 */
#ifndef TM_GATE_GATE_METRICS_H
#define TM_GATE_GATE_METRICS_H

#include "gate/gate_defs.h"

/** Registers the metrics without variable labels. @return 0 or TM_ENOMEM */
int gate_metrics_create(gate_t *gate);

/**
 * Counts a response to a caller and its duration in ms.
 *
 * @param workspace  "" on open routes
 * @param reason     name of the refusal, or "answered"
 */
void gate_metrics_count_answer(gate_t *gate, const char *workspace, int status,
    const char *reason, int64_t duration_ms);

/** Counts the evidence of a failed attempt. @param kind  its label value */
void gate_metrics_count_evidence(gate_t *gate, const char *kind);

/**
 * Counts the connection of the attempt that was started for a request.
 *
 * @param is_expected  the choice assumed an idle connection
 */
void gate_metrics_count_connection(const gate_request_t *request,
    gate_target_t *target, const gate_attempt_origin_t *attempt,
    int is_expected);

/** Updates the gauges; call before the metrics are formatted. */
void gate_metrics_update(gate_t *gate);

#endif
