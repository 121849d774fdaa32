/**
 * @file
 * What attempts show of targets: records it in the gate's table and reports it to
 * the leader.
 */
#ifndef TM_GATE_GATE_EVIDENCE_H
#define TM_GATE_GATE_EVIDENCE_H

#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "gate/gate_request.h"
#include "http/upstream.h"

/** Sends evidence to the leader. @param is_probe  of a probe */
void gate_evidence_report(const gate_request_t *request,
    const gate_target_t *target, fleet_evidence_t kind, int is_probe);

/** Logs and counts an attempt that failed. @param status  0: no response */
void gate_evidence_log(const gate_request_t *request,
    const gate_target_t *target, fleet_evidence_t kind, int status,
    int64_t latency_ms);

/** Records the outcome of an attempt in the table and reports it.
 * @param status  0: no response */
void gate_evidence_record(gate_request_t *request, gate_target_t *target,
    fleet_evidence_t kind, int status);

/** Learns from a successful response, after the load in it was recorded.
 * @param received_ms  when it was complete */
void gate_evidence_record_cost(
    const gate_request_t *request, gate_target_t *target, int64_t received_ms);

/** Records what a target says of itself, and tells the leader what is new. */
void gate_evidence_record_signals(const gate_request_t *request,
    gate_target_t *target, const upstream_response_t *response);

#endif
