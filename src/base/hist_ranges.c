#include "base/hist_ranges.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

/* @return number of used ranges below this one */
static uint32_t
ranges_find_place(const hist_ranges_t *hist, uint32_t range)
{
	uint64_t below = hist->used & ((UINT64_C(1) << range) - 1);

	return ((uint32_t)__builtin_popcountll(below));
}

/* @return counts of a range, made if needed; NULL if memory is exhausted */
static uint32_t *
ranges_get(hist_ranges_t *hist, uint32_t range)
{
	uint32_t count = (uint32_t)__builtin_popcountll(hist->used);
	uint32_t place = ranges_find_place(hist, range);
	uint32_t(*grown)[HIST_SUB];

	if (hist->used & (UINT64_C(1) << range))
		return (hist->ranges[place]);
	grown = realloc(hist->ranges, (count + 1) * sizeof(*grown));
	if (grown == NULL)
		return (NULL);
	memmove(
	    grown[place + 1], grown[place], (count - place) * sizeof(*grown));
	memset(grown[place], 0, sizeof(*grown));
	hist->ranges = grown;
	hist->used |= UINT64_C(1) << range;
	return (grown[place]);
}

int
hist_ranges_record(hist_ranges_t *hist, int64_t value_us)
{
	uint64_t value = value_us < 0 ? 0 : (uint64_t)value_us;
	uint32_t bucket = hist_find_bucket(value);
	uint32_t *counts = ranges_get(hist, bucket / HIST_SUB);

	if (counts == NULL)
		return (TM_ENOMEM);
	counts[bucket % HIST_SUB]++;
	hist->count++;
	hist->sum_us += value;
	if (value > hist->max_us)
		hist->max_us = value;
	return (TM_OK);
}

static void
ranges_add(uint32_t *into, const uint32_t *from)
{
	uint32_t i;

	for (i = 0; i < HIST_SUB; i++)
		into[i] += from[i];
}

void
hist_ranges_add_to(const hist_ranges_t *hist, hist_t *into)
{
	uint64_t left = hist->used;
	uint32_t place = 0;

	for (; left != 0; left &= left - 1)
		ranges_add(into->bucket + __builtin_ctzll(left) * HIST_SUB,
		    hist->ranges[place++]);
	into->count += hist->count;
	into->sum_us += hist->sum_us;
	if (hist->max_us > into->max_us)
		into->max_us = hist->max_us;
}

int
hist_ranges_merge(hist_ranges_t *into, const hist_ranges_t *from)
{
	uint64_t left;
	uint32_t place = 0;

	for (left = from->used; left != 0; left &= left - 1) {
		if (ranges_get(into, (uint32_t)__builtin_ctzll(left)) == NULL)
			return (TM_ENOMEM);
	}
	for (left = from->used; left != 0; left &= left - 1)
		ranges_add(ranges_get(into, (uint32_t)__builtin_ctzll(left)),
		    from->ranges[place++]);
	into->count += from->count;
	into->sum_us += from->sum_us;
	if (from->max_us > into->max_us)
		into->max_us = from->max_us;
	return (TM_OK);
}

void
hist_ranges_clear(hist_ranges_t *hist)
{
	free(hist->ranges);
	*hist = (hist_ranges_t){ 0 };
}
