/**
 * @file
 * How far forecasts count. A regression of what responses of a service showed on
 * what was forecast for them: if the forecasts are noise, because targets are
 * alike, they explain nothing of it and do not count. Does no I/O and reads no
 * clock. See docs/design/choice-of-target.md.
 */
#ifndef TM_GATE_GATE_COST_FIT_H
#define TM_GATE_GATE_COST_FIT_H

#include <stdint.h>

/** Weighted sums over responses, which decay with their age; starts as zero.
 * Forecasts and outcomes are logarithms of ratios. */
typedef struct gate_cost_fit {
	double weight;
	double forecast;
	double seen;
	double forecast_sq;
	double seen_sq;
	double product;
	int64_t updated_ms;
	/** How far forecasts count, 0 to 1. */
	double share;
} gate_cost_fit_t;

/** A response with its forecast, both as a multiple of the mean. */
typedef struct gate_cost_sample {
	double forecast;
	double seen;
	double weight; /**< 1, or less if it tells less than others */
	int64_t now_ms;
} gate_cost_sample_t;

/** Learns from a response; the forecast must not include it. */
void gate_cost_fit_record(
    gate_cost_fit_t *fit, const gate_cost_sample_t *sample);

/** @return geometric mean of the forecasts; 1 without any */
double gate_cost_fit_get_mean(const gate_cost_fit_t *fit);

/** @return the forecast as far as it counts; between 1 and the forecast */
double gate_cost_fit_apply(const gate_cost_fit_t *fit, double forecast);

/**
 * The same for a forecast that is the mean of some outcomes. One that is far more
 * off than these can be by chance counts also where the others do not differ.
 *
 * @param responses  number of outcomes in it
 */
double gate_cost_fit_apply_mean(
    const gate_cost_fit_t *fit, double forecast, double responses);

#endif
