// Runs of the model of a service under load that compare the choice by work with
// that by requests.
#ifndef TM_TEST_GATE_COST_MODEL_H
#define TM_TEST_GATE_COST_MODEL_H

#include "load_model.h"

// Difference of the choice by work and that by requests in the share of requests
// that are late, refused or shed; the mean over seeds and its standard error.
struct Comparison {
	double work = 0;
	double requests = 0;
	double mean = 0;
	double error = 0;
};

// The service with 31 targets runs shorter requests than that with 150.
inline LoadPattern
AlikeTargets(int gates, int targets, double utilization, double spread)
{
	LoadPattern pattern;

	pattern.gates = gates;
	pattern.targets = targets;
	pattern.zones = 2;
	pattern.work_ms = targets < 100 ? 320 : 470;
	pattern.soft_deadline_ms = (int64_t)(4 * pattern.work_ms);
	pattern.bad_share = 0;
	pattern.utilization = utilization;
	pattern.work_spread = spread;
	pattern.features = FLEET_FEATURE_SCARCE_CAPACITY;
	return (pattern);
}

inline double
GetMissed(const LoadFigures &figures)
{
	return (1 - figures.Share(figures.in_aim));
}

inline double
PlayMissed(const LoadPattern &pattern, gate_choice_by_t choice, uint64_t seed)
{
	LoadPattern played = pattern;

	played.choice = choice;
	LoadModel model(played, seed);
	model.Run(20000);
	model.TakeFigures();
	model.Run(20000);
	return (GetMissed(model.TakeFigures()));
}

inline Comparison
Compare(const LoadPattern &pattern, int seeds)
{
	Comparison result;
	double squares = 0;

	for (uint64_t seed = 1; seed <= (uint64_t)seeds; seed++) {
		double work = PlayMissed(pattern, GATE_CHOICE_BY_WORK, seed);
		double requests =
		    PlayMissed(pattern, GATE_CHOICE_BY_REQUESTS, seed);

		result.work += work / seeds;
		result.requests += requests / seeds;
		squares += (work - requests) * (work - requests) / seeds;
	}
	result.mean = result.work - result.requests;
	result.error = std::sqrt(
	    std::max(0.0, squares - result.mean * result.mean) / (seeds - 1));
	printf(
	    "%d gates, %d targets%s at %.2f, spread %.1f, costs 1 : %.0f, %d "
	    "seeds: not in time by work %.4f, by requests %.4f, difference "
	    "%.4f (standard error %.4f)\n",
	    pattern.gates, pattern.targets,
	    pattern.has_speeds ? " of speeds 1 : 2 : 4" : "",
	    pattern.utilization, pattern.work_spread, pattern.heavy_ratio,
	    seeds, result.work, result.requests, result.mean, result.error);
	return (result);
}

#endif
