/**
 * @file
 * Utilization of the services, computed by the leading hub from the loads that
 * targets report through the gates; leases carry it to all gates ("pressure" on
 * the wire). The caller owns the state. Does no I/O and reads no clock.
 */
#ifndef TM_HUB_HUB_LOAD_H
#define TM_HUB_HUB_LOAD_H

#include <stddef.h>
#include <stdint.h>

#include "hub/hub_outlier.h"
#include "hub/hub_signals.h"
#include "hub/hub_state.h"

typedef struct hub_load hub_load_t;

/** A service as of the last hub_load_update(). */
typedef struct hub_utilization {
	uint64_t service;
	double load; /**< requests per slot of the targets in use */
	double work_ms; /**< mean time of a request without waiting */
	double slots; /**< of all targets in use, with a current load or not */
} hub_utilization_t;

/** Most services that are listed; further ones are left out. */
#define HUB_LOAD_SERVICES_MAX 256

/** Most full targets that are listed; further ones are left out. */
#define HUB_LOAD_FULL_MAX 256

/** Targets in use without a free slot, as of the last hub_load_update(). */
typedef struct hub_full_targets {
	size_t count;
	uint64_t keys[HUB_LOAD_FULL_MAX];
	uint32_t requests[HUB_LOAD_FULL_MAX]; /**< running and queued */
	int64_t reported_ms[HUB_LOAD_FULL_MAX]; /**< when they said so */
} hub_full_targets_t;

/** @return NULL if memory is exhausted */
hub_load_t *hub_load_create(void);

/** Frees everything; NULL is allowed. */
void hub_load_destroy(hub_load_t *load);

/** Sets where the limits of targets are; without it all their slots count.
 * @param signals  must outlive load */
void hub_load_set_signals(hub_load_t *load, const hub_signals_t *signals);

/** Records the number of running and queued requests that a target reported. */
void hub_load_record(
    hub_load_t *load, uint64_t key, uint32_t requests, int64_t now_ms);

/** Records successful responses of a service. @param latency_sum_ms  sum over
 * all of them */
void hub_load_record_successes(
    hub_load_t *load, uint64_t id, uint32_t count, uint32_t latency_sum_ms);

/** Recomputes the utilization of all services. */
void hub_load_update(hub_load_t *load, const hub_state_t *state,
    const hub_outlier_t *outlier, int64_t now_ms);

/** @return full targets of services whose requests take long enough for the
 *          reports to be of use at the gates; valid until the next update */
const hub_full_targets_t *hub_load_get_full(const hub_load_t *load);

/** @return the services; valid until the next update */
const hub_utilization_t *hub_load_list(const hub_load_t *load, size_t *count);

#endif
