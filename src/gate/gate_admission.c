#include "gate/gate_admission.h"

/* An older utilization from the leader is ignored. */
#define UTILIZATION_MAX_AGE_MS 800
/* A service counts as full at the utilization at which the expected time of a
 * response, queueing included, is this fraction of the soft deadline. Between
 * the two ramp points, which are multiples of that utilization, the admitted
 * share of the requests falls linearly from 1 towards 0, but not below
 * ADMIT_SHARE_MIN. */
#define ADMIT_SOFT_DEADLINE_SHARE 0.6
#define ADMIT_RAMP_START	  0.85
#define ADMIT_RAMP_END		  1.45
/* Each priority step below the most urgent lowers the full utilization by this
 * fraction; further steps than the maximum make no difference. */
#define ADMIT_PRIORITY_STEP	 0.1
#define ADMIT_PRIORITY_STEPS_MAX 3
/* Lower bound of the full utilization before the reduction for priority: a soft
 * deadline that hardly any response meets must not limit the load. */
#define ADMIT_UTILIZATION_MIN 1.6
/* Share of requests that is admitted however full a service is. */
#define ADMIT_SHARE_MIN 0.45

double
gate_admission_get_utilization(const gate_service_t *service, int64_t now_ms)
{
	return (now_ms - service->utilization_ms > UTILIZATION_MAX_AGE_MS
		? 0
		: service->utilization);
}

double
gate_admission_get_expected_ms(const gate_service_t *service, int64_t now_ms)
{
	double utilization = gate_admission_get_utilization(service, now_ms);
	double queued_ms =
	    service->work_ms * (utilization > 1 ? utilization : 1);

	return (service->latency.mean_ms > queued_ms ? service->latency.mean_ms
						     : queued_ms);
}

double
gate_admission_get_share(const gate_service_t *service,
    int64_t soft_deadline_ms, int32_t priority, int64_t now_ms)
{
	double utilization = gate_admission_get_utilization(service, now_ms);
	int32_t steps = priority < ADMIT_PRIORITY_STEPS_MAX
	    ? priority
	    : ADMIT_PRIORITY_STEPS_MAX;
	double full;
	double share;

	if (service->work_ms <= 0 || utilization <= 1)
		return (1);
	full = ADMIT_SOFT_DEADLINE_SHARE * (double)soft_deadline_ms /
	    service->work_ms;
	if (full < ADMIT_UTILIZATION_MIN)
		full = ADMIT_UTILIZATION_MIN;
	full *= 1 - ADMIT_PRIORITY_STEP * steps;
	share = (ADMIT_RAMP_END * full - utilization) /
	    ((ADMIT_RAMP_END - ADMIT_RAMP_START) * full);
	return (share > ADMIT_SHARE_MIN ? share : ADMIT_SHARE_MIN);
}
