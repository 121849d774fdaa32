#include "route/retry_budget.h"

#include <math.h>

#include "base/error.h"

#define BUDGET_UNITS_PER_RETRY 100
/* Smooths the latency over about 50 responses. */
#define BUDGET_LATENCY_WEIGHT	  0.02
#define BUDGET_HEDGE_DELAY_MIN_MS 5.0
#define BUDGET_HEDGE_DEVIATIONS	  4.0

void
retry_budget_init(retry_budget_t *budget)
{
	*budget = (retry_budget_t){
		.hundredths = RETRY_BUDGET_BURST * BUDGET_UNITS_PER_RETRY,
	};
}

void
retry_budget_add_request(retry_budget_t *budget)
{
	budget->hundredths += RETRY_BUDGET_PERCENT;
	if (budget->hundredths > RETRY_BUDGET_BURST * BUDGET_UNITS_PER_RETRY)
		budget->hundredths =
		    RETRY_BUDGET_BURST * BUDGET_UNITS_PER_RETRY;
}

int
retry_budget_consume(retry_budget_t *budget)
{
	if (budget->hundredths < BUDGET_UNITS_PER_RETRY) {
		budget->refused++;
		return (TM_EFULL);
	}
	budget->hundredths -= BUDGET_UNITS_PER_RETRY;
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
	budget->spread_ms += BUDGET_LATENCY_WEIGHT *
	    (fabs(value - budget->typical_ms) - budget->spread_ms);
	budget->typical_ms +=
	    BUDGET_LATENCY_WEIGHT * (value - budget->typical_ms);
}

int64_t
retry_budget_get_hedge_delay_ms(
    const retry_budget_t *budget, int64_t remaining_ms)
{
	double delay_ms =
	    budget->typical_ms + BUDGET_HEDGE_DEVIATIONS * budget->spread_ms;

	if (budget->typical_ms <= 0.0)
		return (-1);
	if (delay_ms < BUDGET_HEDGE_DELAY_MIN_MS)
		delay_ms = BUDGET_HEDGE_DELAY_MIN_MS;
	/* A second attempt needs about a typical latency to be in time. */
	if (delay_ms + budget->typical_ms > (double)remaining_ms)
		return (-1);
	return ((int64_t)delay_ms);
}
