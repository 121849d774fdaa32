/**
 * @file
 * A probe whose grant came too late for its request is kept for the next request
 * of the service. A leader that answers late would otherwise grant probes that
 * are never made. Decides only.
 */
#ifndef TM_GATE_GATE_PROBE_H
#define TM_GATE_GATE_PROBE_H

#include "gate/gate_table.h"

/** Keeps a probe of a target. @return 0: the service keeps one already */
int gate_probe_keep(gate_service_t *service, uint64_t target, int64_t now_ms);

/** @return target of the kept probe that the request may make, or NULL */
gate_target_t *gate_probe_find(
    const gate_service_t *service, const gate_pick_options_t *options);

/** Takes the kept probe. @return NULL: there is none that the request may make */
gate_target_t *gate_probe_take(
    gate_service_t *service, const gate_pick_options_t *options);

/** Drops a kept probe that no request has made in time.
 * @return its target; 0: there is none */
uint64_t gate_probe_drop(gate_service_t *service, int64_t now_ms);

/** Records that a request asks for the target that the leader has offered to this
 * gate: others do not. */
void gate_probe_use_offer(gate_service_t *service);

#endif
