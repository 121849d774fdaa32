#include "gate/gate_flows.h"

#include <math.h>

/* Time constants of the recent and of the usual requests of a flow, and of the
 * usual ones while the service is full. */
#define RECENT_DECAY_MS 2000.0
#define USUAL_DECAY_MS	20000.0
#define FULL_DECAY_MS	200000.0
/* A flow may ask for so many times its usual requests. */
#define USUAL_FACTOR 1.3
/* A flow counts as at least this old. */
#define AGE_MIN_MS 500.0
/* Small numbers vary by chance: so many standard deviations of the usual number,
 * and so many requests, are allowed beyond. */
#define DEVIATIONS    2.0
#define REQUESTS_FREE 2.0

static gate_flow_t *
get_flow(gate_flows_t *flows, uint64_t key, int64_t now_ms)
{
	gate_flow_t *oldest = &flows->flows[0];
	uint32_t i;

	for (i = 0; i < GATE_FLOWS_MAX; i++) {
		if (flows->flows[i].key == key)
			return (&flows->flows[i]);
		if (flows->flows[i].updated_ms < oldest->updated_ms)
			oldest = &flows->flows[i];
	}
	*oldest = (gate_flow_t){
		.key = key,
		.started_ms = now_ms,
		.updated_ms = now_ms,
	};
	return (oldest);
}

/* @return recent requests, as they would be for a flow that has always been there */
static double
get_recent(const gate_flow_t *flow)
{
	double age_ms =
	    (double)(flow->updated_ms - flow->started_ms) + AGE_MIN_MS;

	return (flow->recent / (1 - exp(-age_ms / RECENT_DECAY_MS)));
}

/* What is usual follows what is recent; of a new flow soon. */
static void
learn(gate_flow_t *flow, double elapsed_ms, int is_full)
{
	double age_ms = (double)(flow->updated_ms - flow->started_ms);
	double decay_ms = fmin(fmax(age_ms, RECENT_DECAY_MS), USUAL_DECAY_MS);

	if (flow->usual <= 0)
		flow->usual = get_recent(flow);
	if (is_full)
		decay_ms = FULL_DECAY_MS;
	flow->usual += (1 - exp(-elapsed_ms / decay_ms)) *
	    (get_recent(flow) - flow->usual);
}

double
gate_flows_record(gate_flows_t *flows, uint64_t key, double amount, int is_full,
    int64_t now_ms)
{
	gate_flow_t *flow = get_flow(flows, key, now_ms);
	double elapsed_ms = (double)(now_ms - flow->updated_ms);
	double recent;
	double allowed;

	flow->recent =
	    flow->recent * exp(-elapsed_ms / RECENT_DECAY_MS) + amount;
	flow->updated_ms = now_ms;
	learn(flow, elapsed_ms, is_full);
	recent = get_recent(flow);
	allowed = USUAL_FACTOR * flow->usual + DEVIATIONS * sqrt(flow->usual) +
	    REQUESTS_FREE;
	return (recent <= allowed ? 1 : allowed / recent);
}
