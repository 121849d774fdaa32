/**
 * @file
 * Load balancing: chooses the target of one attempt by power of two choices
 * over the subset of this VM, or, as the baseline, by round robin with local
 * ejection. The caller owns balancer and endpoints. Does no I/O, reads no
 * clock.
 */
#ifndef TM_ROUTE_BALANCER_H
#define TM_ROUTE_BALANCER_H

#include "base/rng.h"
#include "service/service_defs.h"

/** Most targets one request can have tried. */
#define BALANCER_TRIED_MAX 8

/** How targets are chosen. */
typedef enum balancer_mode {
	BALANCER_FLEET,
	BALANCER_BASELINE
} balancer_mode_t;

/** State of a balancer; one per service and VM, embedded by the caller. */
typedef struct balancer {
	balancer_mode_t mode;
	node_id_t self;
	rng_t rng;
	uint32_t next; /**< round robin position */
	uint32_t vm_count; /**< VMs that use the service */
	uint32_t connections_each; /**< connections per VM and target */
	uint64_t generation; /**< of the endpoints in the subset */
	uint32_t subset_size;
	uint16_t subset[SERVICE_TARGETS_MAX]; /**< indices of endpoints */
} balancer_t;

/** Initialises a balancer. */
void balancer_init(
    balancer_t *balancer, balancer_mode_t mode, node_id_t self, uint64_t seed);

/**
 * Sizes the subset so that the VMs together stay below 80 % of a target's
 * connection cap, and draws it by rendezvous hashing. Does nothing if nothing
 * changed.
 *
 * @param vm_count          VMs that use the service
 * @param connections_each  connections that a VM opens to one target
 * @param generation        service_view_get_generation()
 */
void balancer_update_subset(balancer_t *balancer,
    service_endpoint_t *const *endpoints, uint32_t count, uint32_t vm_count,
    uint32_t connections_each, uint64_t generation);

/**
 * Chooses a target. Targets with as many attempts of this VM in flight as it
 * may open connections are left out.
 *
 * @param tried  ids of targets that this request has tried already
 * @return       endpoint; NULL if no untried target is usable
 */
service_endpoint_t *balancer_pick(balancer_t *balancer,
    service_endpoint_t *const *endpoints, uint32_t count, const uint64_t *tried,
    uint32_t tried_count, int64_t now_ms);

/** Updates the local ejection of the baseline after an attempt. */
void balancer_record(balancer_t *balancer, service_endpoint_t *endpoint,
    service_outcome_t outcome, int64_t now_ms);

/** @return 1 if some usable target of the subset has a free slot */
int balancer_has_free_slot(const balancer_t *balancer,
    service_endpoint_t *const *endpoints, uint32_t count, int64_t now_ms);

#endif
