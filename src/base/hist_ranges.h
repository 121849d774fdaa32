/**
 * @file
 * Histogram of durations with the buckets of base/hist.h that takes memory
 * only for the powers of two in use: 64 bytes for each of 33 instead of 2.1 KB
 * for all.
 */
#ifndef TM_BASE_HIST_RANGES_H
#define TM_BASE_HIST_RANGES_H

#include "base/hist.h"

/** Empty when all bytes are 0. */
typedef struct hist_ranges {
	uint64_t used; /**< bit per range */
	uint32_t (*ranges)[HIST_SUB]; /**< of the set bits, in their order */
	uint64_t count;
	uint64_t sum_us;
	uint64_t max_us;
} hist_ranges_t;

/** Records one value. @return 0, TM_ENOMEM; then the value is not counted */
int hist_ranges_record(hist_ranges_t *hist, int64_t value_us);

/** Adds to the counts of a plain histogram. */
void hist_ranges_add_to(const hist_ranges_t *hist, hist_t *into);

/** Adds the counts of another histogram. @return 0, TM_ENOMEM */
int hist_ranges_merge(hist_ranges_t *into, const hist_ranges_t *from);

/** Frees the memory of the ranges and empties the histogram. */
void hist_ranges_clear(hist_ranges_t *hist);

#endif
