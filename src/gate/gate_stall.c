#include "gate/gate_stall.h"

/* An attempt that takes this many times the mean latency, and at least the
 * minimum, is stalled; never while the mean is unknown. */
#define STALL_RATIO 2.5
/* A request is sent again after this share of its soft deadline, as routes of
 * one service may differ in their latency. */
#define REPEAT_SOFT_DEADLINE_SHARE 0.8
/* From this utilization on, requests wait for slots. */
#define FULL_UTILIZATION 1.0

int
gate_stall_is_evidence(const gate_stall_t *stall)
{
	return (stall->mean_ms > 0 && stall->age_ms >= GATE_STALL_MIN_MS &&
	    (double)stall->age_ms >= STALL_RATIO * stall->mean_ms);
}

int
gate_stall_should_repeat(const gate_stall_t *stall)
{
	return (stall->mean_ms > 0 && !stall->is_stopping &&
	    stall->utilization <= FULL_UTILIZATION &&
	    (double)stall->age_ms >= STALL_RATIO * stall->mean_ms &&
	    (double)stall->age_ms >=
		REPEAT_SOFT_DEADLINE_SHARE * (double)stall->soft_deadline_ms &&
	    (!stall->has_uneven_costs || stall->left_ms >= stall->age_ms) &&
	    (double)stall->left_ms >= stall->mean_ms);
}
