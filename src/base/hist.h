/**
 * @file
 * Log-linear histogram of durations: 16 linear buckets per power of two, so
 * a quantile is off by at most 1/16 of its value.
 */
#ifndef TM_BASE_HIST_H
#define TM_BASE_HIST_H

#include <stdint.h>

#define HIST_SUB_BITS 4
#define HIST_SUB      (1 << HIST_SUB_BITS)
#define HIST_BUCKETS  (HIST_SUB * 33)

/** Counts of recorded values in microseconds, from 0 to 2^36. */
typedef struct hist {
	uint32_t bucket[HIST_BUCKETS];
	uint64_t count;
	uint64_t sum_us;
	uint64_t max_us;
} hist_t;

/** Empties a histogram. */
void hist_reset(hist_t *hist);

/** Records one value; negative values count as 0. @param value_us in us */
void hist_record(hist_t *hist, int64_t value_us);

/** Adds the counts of another histogram. */
void hist_merge(hist_t *into, const hist_t *from);

/**
 * Quantile estimate.
 *
 * @param q  in [0, 1]
 * @return   upper edge of the bucket in microseconds; 0 if empty
 */
uint64_t hist_get_quantile_us(const hist_t *hist, double q);

/** @return index of the bucket of a value in microseconds */
uint32_t hist_find_bucket(uint64_t value_us);

/** @return upper edge in microseconds of a bucket */
uint64_t hist_get_bucket_edge_us(uint32_t index);

#endif
