/**
 * @file
 * How full the services are, at the leading hub: gates report the loads that
 * targets tell them, and learn the load of the whole service. A decision
 * module.
 */
#ifndef TM_HUB_HUB_LOAD_H
#define TM_HUB_HUB_LOAD_H

#include <stddef.h>
#include <stdint.h>

#include "hub/hub_outlier.h"
#include "hub/hub_state.h"

typedef struct hub_load hub_load_t;

/** A service as of the last hub_load_update(). */
typedef struct hub_utilization {
	uint64_t service;
	double load; /**< requests per slot of the targets in use */
	double work_ms; /**< mean time of a request without waiting */
} hub_utilization_t;

/** @return NULL if memory is exhausted */
hub_load_t *hub_load_create(void);

/** Frees everything; NULL is allowed. */
void hub_load_destroy(hub_load_t *load);

/** A target told a gate how many requests it runs and holds. */
void hub_load_record(
    hub_load_t *load, uint64_t key, uint32_t requests, int64_t now_ms);

/** Counts good responses. @param latency_sum_ms  over all of them */
void hub_load_record_successes(
    hub_load_t *load, uint64_t id, uint32_t count, uint32_t latency_sum_ms);

/** Computes the services anew. */
void hub_load_update(hub_load_t *load, const hub_state_t *state,
    const hub_judge_t *judge, int64_t now_ms);

/** @return the services; valid until the next update */
const hub_utilization_t *hub_load_list(const hub_load_t *load, size_t *count);

#endif
