#include "route/retry_budget.h"

#include <math.h>

#include "base/error.h"

#define BUDGET_UNIT 100
/* Smoothing of the latency over about 50 responses. */
#define BUDGET_WEIGHT	  0.02
#define BUDGET_MIN_MS	  5.0
#define BUDGET_DEVIATIONS 4.0

void
retry_budget_init(retry_budget_t *budget)
{
	*budget = (retry_budget_t){
		.hundredths = RETRY_BUDGET_SAVED_MAX * BUDGET_UNIT,
	};
}

void
retry_budget_add_request(retry_budget_t *budget)
{
	budget->hundredths += RETRY_BUDGET_PERCENT;
	if (budget->hundredths > RETRY_BUDGET_SAVED_MAX * BUDGET_UNIT)
		budget->hundredths = RETRY_BUDGET_SAVED_MAX * BUDGET_UNIT;
}

int
retry_budget_take(retry_budget_t *budget)
{
	if (budget->hundredths < BUDGET_UNIT) {
		budget->refused++;
		return (TM_EFULL);
	}
	budget->hundredths -= BUDGET_UNIT;
	budget->taken++;
	return (TM_OK);
}

void
retry_budget_record(retry_budget_t *budget, int64_t latency_ms)
{
	double value = (double)latency_ms;

	if (budget->typical_ms <= 0.0) {
		budget->typical_ms = value;
		budget->spread_ms = value / 2;
		return;
	}
	budget->spread_ms += BUDGET_WEIGHT *
	    (fabs(value - budget->typical_ms) - budget->spread_ms);
	budget->typical_ms += BUDGET_WEIGHT * (value - budget->typical_ms);
}

int64_t
retry_budget_get_hedge_delay_ms(
    const retry_budget_t *budget, int64_t remaining_ms)
{
	double delay_ms =
	    budget->typical_ms + BUDGET_DEVIATIONS * budget->spread_ms;

	if (budget->typical_ms <= 0.0)
		return (-1);
	if (delay_ms < BUDGET_MIN_MS)
		delay_ms = BUDGET_MIN_MS;
	/* A second attempt needs about a typical latency to be in time. */
	if (delay_ms + budget->typical_ms > (double)remaining_ms)
		return (-1);
	return ((int64_t)delay_ms);
}
