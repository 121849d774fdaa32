/**
 * @file
 * Trials of ejected targets by a gate that has had no leader for longer than an
 * election takes. Only a leader opens ejected targets to probes, so that such a
 * gate would leave out what was ejected when it lost the leader, however long.
 * The leader's verdicts are kept for its return. Decides only.
 */
#ifndef TM_GATE_GATE_ALONE_H
#define TM_GATE_GATE_ALONE_H

#include "gate/gate_table.h"

/**
 * Records whether a gate is alone; a service forgets earlier trials when that
 * begins.
 *
 * @param is_scarce  FLEET_FEATURE_SCARCE_CAPACITY is on: trials begin sooner
 */
void gate_alone_set(gate_service_t *service, int is_alone, int is_scarce,
    rng_t *rng, int64_t now_ms);

/**
 * Chooses the ejected target that has waited longest for a trial, at most for a
 * tenth of the requests of a service.
 *
 * @return NULL: the request is no trial
 */
gate_target_t *gate_alone_pick(
    gate_service_t *service, const gate_pick_options_t *options);

/**
 * Records the outcome of a request to a target. What load alone may cause says
 * nothing of it.
 *
 * @return 1 if an ejected target is used from now on, or no longer
 */
int gate_alone_record(
    gate_target_t *target, fleet_evidence_t kind, int64_t now_ms);

/** @return 1 if a target is to be used, although the leader has ejected it */
int gate_alone_is_recovered(const gate_target_t *target);

#endif
