/**
 * @file
 * What a lease says of services and targets, as a message. Keeps no state.
 */
#ifndef TM_HUB_HUB_FEED_LEASE_H
#define TM_HUB_HUB_FEED_LEASE_H

#include "hub/hub_feed.h"

/** Most loaded services in a lease. */
#define HUB_FEED_LOADED_MAX 64

/** Memory to which the message refers. */
typedef struct hub_feed_lease_parts {
	Tm__Fleet__Pressure utilizations[HUB_FEED_LOADED_MAX];
	Tm__Fleet__Pressure *utilization_pointers[HUB_FEED_LOADED_MAX];
	uint32_t ages_ms[HUB_LOAD_FULL_MAX];
	Tm__Fleet__Admission admissions[HUB_ADMISSION_LIST_MAX];
	Tm__Fleet__Admission *admission_pointers[HUB_ADMISSION_LIST_MAX];
	uint32_t shares[HUB_ADMISSION_LIST_MAX][FLEET_PRIORITY_CLASSES];
	Tm__Fleet__UploadBound bounds[HUB_UPLOAD_BOUNDS_MAX];
	Tm__Fleet__UploadBound *bound_pointers[HUB_UPLOAD_BOUNDS_MAX];
} hub_feed_lease_parts_t;

/** Fills a message with the utilization of services, idle services, full targets
 * and decisions on admission. */
void hub_feed_lease_fill(const hub_feed_lease_t *lease,
    hub_feed_lease_parts_t *parts, Tm__Fleet__Lease *msg, int64_t now_ms);

#endif
