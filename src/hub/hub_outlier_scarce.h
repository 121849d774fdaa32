/**
 * @file
 * Outlier detection where callers compete for too little capacity: when a target
 * that is out of use is probed, when it returns, and which gates ask for it. The
 * request lost at a target that still fails is weighed against the requests
 * refused for want of the target. Part of the outlier detector.
 */
#ifndef TM_HUB_HUB_OUTLIER_SCARCE_H
#define TM_HUB_HUB_OUTLIER_SCARCE_H

#include "hub/hub_outlier_internal.h"

/** @param is_shared  1 if many targets of the service stall or shed requests
 * @return weight of evidence against a target in use: none for a stall or a
 * shed request that comes from overload */
double outlier_scarce_get_weight(outlier_target_t *target,
    fleet_evidence_t kind, double weight, int is_shared, int64_t now_ms);

/** Sets the estimates of a new service. */
void outlier_scarce_init_service(outlier_service_t *service);

/** Records a failure of a target that is, or becomes, ejected. */
void outlier_scarce_estimate_failure(outlier_target_t *target, int64_t now_ms);

/** Records a successful probe of a target. */
void outlier_scarce_estimate_success(outlier_target_t *target, int64_t now_ms);

/** @return highest estimate at which a target is used again */
double outlier_scarce_get_estimate_max(const outlier_service_t *service);

/** Opens a target that is not healthy to probes by any request once the expected
 * loss is worth it, or to repeatable ones before. */
void outlier_scarce_offer_probe(
    hub_outlier_t *detector, outlier_target_t *target, int64_t now_ms);

/** Opens targets that may be sound until few of the sound ones go without
 * requests, returns targets in doubt to a full service that is short of them,
 * and counts those that wait for a request. */
void outlier_scarce_update_service(
    hub_outlier_t *detector, outlier_service_t *service, int64_t now_ms);

/** Records that a gate has asked for a target: its offer is used. */
void outlier_scarce_end_offer(
    outlier_service_t *service, node_id_t gate, int is_granted);

#endif
