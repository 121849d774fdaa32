#include "gate/gate_cost_fit.h"

#include <math.h>

/* Time constant of the decay of the sums: twice that of the forecasts, so that
 * targets that stop to differ, or begin to, are known within a minute. */
#define DECAY_MS 60000.0
/* Forecasts count from this many standard errors of the slope on. Of gates whose
 * targets are alike, 0.6 % are above it by chance at any time; with 4, a gate with
 * 4 requests/s needs so long that half of the gain from speeds 1 : 2 : 4 is lost. */
#define ERRORS_MIN 2.5
/* A single forecast counts from this many of its own standard errors on: 0.3 % of
 * those of equal targets are above it by chance. */
#define OWN_ERRORS_MIN 3.0
/* Responses that tell nothing yet of the standard error itself. */
#define RESPONSES_MIN 8.0

static void
decay(gate_cost_fit_t *fit, int64_t now_ms)
{
	double factor = exp(-(double)(now_ms - fit->updated_ms) / DECAY_MS);

	fit->weight *= factor;
	fit->forecast *= factor;
	fit->seen *= factor;
	fit->forecast_sq *= factor;
	fit->seen_sq *= factor;
	fit->product *= factor;
	fit->updated_ms = now_ms;
}

/* The slope of the regression, less what chance alone may have given it
 * (non-negative garrote): nearly all of it where it is many standard errors. */
static double
get_share(const gate_cost_fit_t *fit)
{
	double forecast_var;
	double seen_var;
	double covariance;
	double error_sq;
	double slope;

	if (fit->weight <= RESPONSES_MIN)
		return (0);
	forecast_var =
	    fit->forecast_sq - fit->forecast * fit->forecast / fit->weight;
	seen_var = fit->seen_sq - fit->seen * fit->seen / fit->weight;
	covariance = fit->product - fit->forecast * fit->seen / fit->weight;
	if (forecast_var <= 0 || covariance <= 0)
		return (0);
	slope = covariance / forecast_var;
	error_sq = fmax(seen_var - slope * covariance, 0) /
	    ((fit->weight - RESPONSES_MIN) * forecast_var);
	slope -= ERRORS_MIN * ERRORS_MIN * error_sq / slope;
	return (fmin(fmax(slope, 0), 1));
}

void
gate_cost_fit_record(gate_cost_fit_t *fit, const gate_cost_sample_t *sample)
{
	double forecast = log(sample->forecast);
	double seen = log(sample->seen);

	decay(fit, sample->now_ms);
	fit->weight += sample->weight;
	fit->forecast += sample->weight * forecast;
	fit->seen += sample->weight * seen;
	fit->forecast_sq += sample->weight * forecast * forecast;
	fit->seen_sq += sample->weight * seen * seen;
	fit->product += sample->weight * forecast * seen;
	fit->share = get_share(fit);
}

double
gate_cost_fit_get_mean(const gate_cost_fit_t *fit)
{
	return (fit->weight > 0 ? exp(fit->forecast / fit->weight) : 1);
}

double
gate_cost_fit_apply(const gate_cost_fit_t *fit, double forecast)
{
	return (fit->share > 0 ? pow(forecast, fit->share) : 1);
}

/* How far a forecast counts by its own outcomes, whatever the others say: the part
 * of its square that chance does not explain (positive-part shrinkage). */
static double
get_own_share(const gate_cost_fit_t *fit, double forecast, double responses)
{
	double log_sq = log(forecast) * log(forecast);
	double variance;

	if (fit->weight <= RESPONSES_MIN || responses <= 0 || log_sq <= 0)
		return (0);
	variance = (fit->seen_sq - fit->seen * fit->seen / fit->weight) /
	    (fit->weight - 1);
	return (1 -
	    OWN_ERRORS_MIN * OWN_ERRORS_MIN * variance / (responses * log_sq));
}

double
gate_cost_fit_apply_mean(
    const gate_cost_fit_t *fit, double forecast, double responses)
{
	double own = get_own_share(fit, forecast, responses);

	return (pow(forecast, fmax(fit->share, own)));
}
