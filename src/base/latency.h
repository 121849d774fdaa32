/**
 * @file
 * Moving mean of times, and of their distances from it.
 */
#ifndef TM_BASE_LATENCY_H
#define TM_BASE_LATENCY_H

#include <stdint.h>

/** All zeros: nothing is known. */
typedef struct latency {
	double mean_ms; /**< 0: unknown */
	double spread_ms; /**< mean distance from the mean */
	uint32_t count; /**< of times, up to those that weigh in the spread */
} latency_t;

/**
 * Adds a time.
 *
 * @param value_ms  time in ms
 * @param weight    of this time in the mean, over 0 to 1
 */
void latency_record(latency_t *latency, int64_t value_ms, double weight);

/** @return time that few exceed, in ms; -1: unknown */
int64_t latency_get_tail_ms(const latency_t *latency);

#endif
