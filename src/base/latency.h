/**
 * @file
 * Latency of the successes of one service at one gate: moving mean and mean
 * distance from it.
 */
#ifndef TM_GATE_GATE_LATENCY_H
#define TM_GATE_GATE_LATENCY_H

#include <stdint.h>

typedef struct gate_latency {
	double mean_ms; /**< 0: unknown */
	double spread_ms; /**< mean distance from the mean */
	uint32_t count; /**< of successes, up to those that weigh in */
} gate_latency_t;

/** Adds a success. @param latency_ms  from its sending on */
void gate_latency_record(gate_latency_t *latency, int64_t latency_ms);

/** @return latency that few successes exceed, in ms; -1: unknown */
int64_t gate_latency_get_tail_ms(const gate_latency_t *latency);

#endif
