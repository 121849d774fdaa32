#include "gate/gate_latency.h"

#include <math.h>

/* Weight of a new latency in the mean. */
#define WEIGHT 0.05
/* The spread is a plain mean over this many latencies, then a moving one. */
#define SPREAD_COUNT 20
/* The first latency alone says little of the others. */
#define FIRST_SPREAD_SHARE 0.5
/* A latency this many spreads above the mean is rare. */
#define TAIL_SPREADS 4

void
gate_latency_record(gate_latency_t *latency, int64_t latency_ms)
{
	double value_ms = (double)latency_ms;

	if (latency->count < SPREAD_COUNT)
		latency->count++;
	if (latency->mean_ms <= 0) {
		latency->mean_ms = value_ms;
		latency->spread_ms = FIRST_SPREAD_SHARE * value_ms;
		return;
	}
	latency->spread_ms +=
	    (fabs(value_ms - latency->mean_ms) - latency->spread_ms) /
	    latency->count;
	latency->mean_ms += WEIGHT * (value_ms - latency->mean_ms);
}

int64_t
gate_latency_get_tail_ms(const gate_latency_t *latency)
{
	if (latency->mean_ms <= 0)
		return (-1);
	return (
	    (int64_t)(latency->mean_ms + TAIL_SPREADS * latency->spread_ms));
}
