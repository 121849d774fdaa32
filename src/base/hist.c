#include "base/hist.h"

#include <string.h>

uint32_t
hist_find_bucket(uint64_t value)
{
	uint32_t exponent;
	uint32_t index;

	if (value < HIST_SUB)
		return ((uint32_t)value);
	exponent = 63 - (uint32_t)__builtin_clzll(value);
	index = (exponent - HIST_SUB_BITS + 1) * HIST_SUB;
	index += (uint32_t)(value >> (exponent - HIST_SUB_BITS)) - HIST_SUB;
	return (index < HIST_BUCKETS ? index : HIST_BUCKETS - 1);
}

void
hist_reset(hist_t *hist)
{
	memset(hist, 0, sizeof(*hist));
}

void
hist_record(hist_t *hist, int64_t value_us)
{
	uint64_t value = value_us < 0 ? 0 : (uint64_t)value_us;

	hist->bucket[hist_find_bucket(value)]++;
	hist->count++;
	hist->sum_us += value;
	if (value > hist->max_us)
		hist->max_us = value;
}

void
hist_merge(hist_t *into, const hist_t *from)
{
	uint32_t i;

	for (i = 0; i < HIST_BUCKETS; i++)
		into->bucket[i] += from->bucket[i];
	into->count += from->count;
	into->sum_us += from->sum_us;
	if (from->max_us > into->max_us)
		into->max_us = from->max_us;
}

uint64_t
hist_get_bucket_edge_us(uint32_t index)
{
	uint32_t shift;

	if (index < HIST_SUB)
		return (index);
	shift = index / HIST_SUB - 1;
	return (((uint64_t)(index % HIST_SUB + HIST_SUB + 1) << shift) - 1);
}

uint64_t
hist_get_quantile_us(const hist_t *hist, double q)
{
	uint64_t rank;
	uint64_t seen = 0;
	uint32_t i;

	if (hist->count == 0)
		return (0);
	rank = (uint64_t)(q * (double)hist->count);
	if (rank >= hist->count)
		rank = hist->count - 1;
	for (i = 0; i < HIST_BUCKETS; i++) {
		seen += hist->bucket[i];
		if (seen > rank)
			break;
	}
	if (hist_get_bucket_edge_us(i) > hist->max_us)
		return (hist->max_us);
	return (hist_get_bucket_edge_us(i));
}
