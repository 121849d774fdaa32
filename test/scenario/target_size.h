/**
 * @file
 * Loads one entry VM with a configuration and service tables of a given size
 * and measures memory and the cost of its timers. Each size is measured in a
 * process of its own, so that the memory of one does not serve the next.
 */
#ifndef TM_TEST_TARGET_SIZE_H
#define TM_TEST_TARGET_SIZE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What to load. */
typedef struct target_size {
	uint32_t nodes;
	uint32_t workspaces; /**< with a key each */
	uint32_t routes;
	uint32_t services;
	uint32_t targets; /**< of all services together */
	uint32_t used_workspaces; /**< that get a request at this VM */
} target_size_t;

/** Resident memory that each step adds, and processor time. */
typedef struct target_size_result {
	double base_bytes; /**< program without configuration */
	double config_bytes; /**< configuration and what follows from it */
	double table_bytes; /**< service tables */
	double used_bytes; /**< workspaces that are in use */
	double hour_bytes; /**< after an hour of Zipf-distributed use */
	double hour_workspaces; /**< that have metrics then */
	double hour_requests; /**< of this hour */
	double hour_counted; /**< of these by the sum of the metrics */
	double tick_us; /**< processor time of one idle tick */
	double leaderless_tick_us; /**< the same while no leader is known */
} target_size_result_t;

/** @return 0, or a negative error number */
int target_size_measure(
    const target_size_t *size, target_size_result_t *result);

#ifdef __cplusplus
}
#endif

#endif
