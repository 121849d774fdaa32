#include "base/latency.h"

#include <math.h>

/* The spread is a plain mean over this many times, then a moving one. */
#define SPREAD_COUNT 20
/* The first time alone says little of the others. */
#define FIRST_SPREAD_SHARE 0.5
/* A time this many spreads above the mean is rare. */
#define TAIL_SPREADS 4
/* For a time that rounds to 0 ms, as a mean of 0 says that nothing is known. */
#define TIME_MIN_MS 0.5

void
latency_record(latency_t *latency, int64_t value_ms, double weight)
{
	double value = value_ms > 0 ? (double)value_ms : TIME_MIN_MS;

	if (latency->count < SPREAD_COUNT)
		latency->count++;
	if (latency->mean_ms <= 0) {
		latency->mean_ms = value;
		latency->spread_ms = FIRST_SPREAD_SHARE * value;
		return;
	}
	latency->spread_ms +=
	    (fabs(value - latency->mean_ms) - latency->spread_ms) /
	    latency->count;
	latency->mean_ms += weight * (value - latency->mean_ms);
}

int64_t
latency_get_tail_ms(const latency_t *latency)
{
	if (latency->mean_ms <= 0)
		return (-1);
	return (
	    (int64_t)(latency->mean_ms + TAIL_SPREADS * latency->spread_ms));
}
