// Failure guarded against: a service for whose capacity callers compete keeps
// targets out of use that are well, or loses more requests to targets that fail
// than it must.
#include <gtest/gtest.h>

#include "load_model.h"

namespace {

/* Targets in use, of 150. */
const double kInUseCalmMin = 110;
const double kInUseBurstMin = 90;
/* Questions to the leader that find nothing; 200 to 350 a second were seen. */
const double kRefusedPerSecondMax = 2;
const int64_t kCalmMs = 20000;
const int kSeeds = 10;
/* Share of the connections that targets break at any time. With this and three
 * targets in ten that have bad phases, 75 targets are in use in calm without
 * FLEET_FEATURE_SCARCE_CAPACITY, as was seen; with bad phases alone it would be
 * 119. */
const double kBreaksAnyTime = 0.0175;

/* 150 targets, 605 requests/s of 470 ms, none of them repeatable. */
LoadPattern
GetService(bool is_scarce)
{
	LoadPattern pattern;

	pattern.targets = 150;
	pattern.slots = 6;
	pattern.queue = 24;
	pattern.gates = 82;
	pattern.zones = 3;
	pattern.work_ms = 470;
	pattern.soft_deadline_ms = 4000;
	pattern.deadline_ms = 4000;
	pattern.utilization = 0.605 * 470 / (150 * 6);
	pattern.fails_well = kBreaksAnyTime;
	pattern.is_scarce = is_scarce;
	return (pattern);
}

void
Print(const char *phase, const LoadFigures &figures)
{
	printf("%s: asked %d served %d failed %d refused %d shed %d; in use "
	       "%.0f (least %.0f); probes granted %d refused %d failed %d\n",
	    phase, figures.asked, figures.in_aim + figures.late, figures.failed,
	    figures.refused, figures.shed, figures.GetHealthy(),
	    figures.healthy_min, figures.probes_granted, figures.probes_refused,
	    figures.probes_failed);
}

struct Phases {
	LoadFigures calm;
	LoadFigures burst;
};

/* 20 s of calm, then the burst. */
Phases
Play(LoadPattern pattern, double burst, int64_t burst_ms)
{
	Phases phases;

	pattern.burst = burst;
	pattern.burst_from_ms = 5000 + kCalmMs;
	pattern.burst_to_ms = 5000 + kCalmMs + burst_ms;
	for (uint64_t seed = 1; seed <= kSeeds; seed++) {
		LoadModel model(pattern, seed);

		model.Run(5000);
		model.TakeFigures();
		model.Run(kCalmMs);
		phases.calm.Add(model.TakeFigures());
		model.Run(burst_ms);
		phases.burst.Add(model.TakeFigures());
	}
	printf("%s\n", pattern.is_scarce ? "scarce capacity" : "as before");
	Print("calm", phases.calm);
	Print("burst", phases.burst);
	return (phases);
}

void
ExpectTargetsInUse(const Phases &before, const Phases &after)
{
	EXPECT_GT(after.calm.GetHealthy(), kInUseCalmMin);
	EXPECT_GT(after.burst.GetHealthy(), kInUseBurstMin);
	EXPECT_GT(after.burst.healthy_min, kInUseBurstMin);
	EXPECT_GT(after.calm.GetServed(), before.calm.GetServed());
	EXPECT_GT(after.burst.GetServed(), before.burst.GetServed());
	EXPECT_LT(after.calm.probes_refused,
	    kRefusedPerSecondMax * kSeeds * kCalmMs / 1000);
}

} // namespace

// Capacity out of use: a burst finds half of the targets ejected.
TEST(ScarceTargets, MostAreInUseInCalmAndInAShortBurst)
{
	ExpectTargetsInUse(Play(GetService(false), 1.7, 3000),
	    Play(GetService(true), 1.7, 3000));
}

// Capacity out of use: a burst lasts longer than an ejection.
TEST(ScarceTargets, MostAreInUseInCalmAndInALongBurst)
{
	ExpectTargetsInUse(
	    Play(GetService(false), 2, 7000), Play(GetService(true), 2, 7000));
}

// Wasted requests: probes at targets in bad phases cost more than they bring.
TEST(ScarceTargets, BadPhasesAloneCostNoMoreThanBefore)
{
	LoadPattern pattern = GetService(false);
	Phases before;
	Phases after;

	pattern.fails_well = 0;
	before = Play(pattern, 2, 7000);
	pattern.is_scarce = true;
	after = Play(pattern, 2, 7000);
	EXPECT_GT(after.calm.GetHealthy(), kInUseCalmMin);
	EXPECT_GT(after.calm.GetServed(), before.calm.GetServed());
	EXPECT_GT(after.burst.GetServed(), before.burst.GetServed());
}

// Collapse: broken connections eject the targets of an overloaded service faster
// than they come back, until none is in use.
TEST(ScarceTargets, AnOverloadedServiceKeepsHalfInUse)
{
	LoadPattern pattern = GetService(true);
	Phases phases;

	pattern.utilization = 1;
	phases = Play(pattern, 2, 10000);
	EXPECT_GT(phases.calm.healthy_min, pattern.targets / 2);
	EXPECT_GT(phases.burst.healthy_min, pattern.targets / 2);
}
