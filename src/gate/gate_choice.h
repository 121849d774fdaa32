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

/* Preference classes of targets, from 0 (must not be used) on. */
#define GATE_RANK_EJECTED 1
/** Open to probes. */
#define GATE_RANK_PROBE 2
/** Healthy, but avoided by this gate. */
#define GATE_RANK_HEALTHY 3
/** Healthy and not avoided. */
#define GATE_RANK_PREFERABLE 4

/** As gate_table_pick(), for the table's policy and random source. */
gate_choice_t gate_choice_make(gate_service_t *service,
    const gate_policy_t *policy, rng_t *rng,
    const gate_pick_options_t *options);

/** @return 1 if a target of the service waits for a request like this one, so that
 * the leader is to be asked for it */
int gate_service_asks_leader(
    const gate_service_t *service, const gate_pick_options_t *options);

/** @return 1 if a healthy target waits for its limit */
int gate_service_has_waiting(
    const gate_service_t *service, const gate_pick_options_t *options);

/** @return shortest time until a target that wants a pause takes requests again,
 * in ms; 0: there is none */
int64_t gate_service_get_pause_ms(
    const gate_service_t *service, const gate_pick_options_t *options);

/** @return 1 if a healthy target is left that the request has not tried */
int gate_service_has_healthy(
    const gate_service_t *service, const gate_pick_options_t *options);

/** @return preference class (GATE_RANK_...), higher is better; 0: must not be
 * used */
int gate_target_get_rank(
    const gate_target_t *target, const gate_pick_options_t *options);

/** @return 1 if a target is ready and the request has not tried it; it may have
 * to wait for the target's limit */
int gate_target_is_usable(
    const gate_target_t *target, const gate_pick_options_t *options);

/** @return 1 if a target is healthy, not avoided, and takes the request now */
int gate_target_is_preferable(
    const gate_target_t *target, const gate_pick_options_t *options);

/**
 * @param expected_load  load per slot that is assumed where no recent one is
 *                       known
 * @param slowness       of gate_cost_get_slowness()
 * @return               load per slot with bonus and penalty; lower is better
 */
double gate_target_get_score(const gate_target_t *target, double expected_load,
    double slowness, int64_t now_ms);

#endif
