/**
 * @file
 * Admission to full services, as the leading hub decides it for all gates: which
 * share of the requests of each class of priority may be sent. Gates report what
 * callers ask for, hub_load what targets have in hand. The caller owns the state,
 * which only the leader uses; a new leader starts without. Does no I/O and reads
 * no clock.
 *
 * A service takes what its slots can serve, and what fills its queues to a goal
 * or drains them to it within 1.5 s. The most urgent class comes first; each
 * other one keeps a small share, so that none is starved.
 */
#ifndef TM_HUB_HUB_ADMISSION_H
#define TM_HUB_HUB_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "proto/fleet.pb-c.h"

/** Most services that are listed; further ones are not restricted. */
#define HUB_ADMISSION_LIST_MAX 64

typedef struct hub_admission hub_admission_t;

/** A service as hub_load sees it. */
typedef struct hub_admission_load {
	uint64_t service;
	double slots; /**< of the targets in use; 0: none tells its load */
	double requests; /**< running and queued there */
	double work_ms; /**< mean time of a request without waiting */
} hub_admission_load_t;

/** Decision on a full service. */
typedef struct hub_admission_decision {
	uint64_t service;
	double shares[FLEET_PRIORITY_CLASSES]; /**< 0 to 1 */
	int64_t wait_ms; /**< until there is likely to be room */
	double per_s; /**< requests that the service takes */
	double asked_per_s; /**< requests that callers send */
	double utilization; /**< requests per slot */
	double goal; /**< requests per slot that it should have */
} hub_admission_decision_t;

/** @return NULL if memory is exhausted */
hub_admission_t *hub_admission_create(void);

/** Frees everything; NULL is allowed. */
void hub_admission_destroy(hub_admission_t *admission);

/** Drops what gates reported: this hub begins to lead. */
void hub_admission_reset(hub_admission_t *admission, int64_t now_ms);

/** Records requests that callers sent to a gate. */
void hub_admission_record_demand(
    hub_admission_t *admission, const Tm__Fleet__Demand *demand);

/** Decides anew. Services that are not given are not full. */
void hub_admission_update(hub_admission_t *admission,
    const hub_admission_load_t *loads, size_t count, int64_t now_ms);

/** @return the services that are full; valid until the next update */
const hub_admission_decision_t *hub_admission_list(
    const hub_admission_t *admission, size_t *count);

#endif
