// Failures guarded against: a cold target gets more requests in a second than its
// bound, from all gates together; gates hold or refuse requests that cold targets
// could take.
#include <gtest/gtest.h>

#include "warmup_model.h"

namespace {

const uint64_t kSeeds = 5;

// Sums over runs with different seeds.
struct Figures {
	size_t most = 0;
	int served_by_cold = 0;
	int refused = 0;
	int refused_in_touch = 0;
	int room_by_rate = 0;

	void
	Add(const WarmupModel &model)
	{
		most = std::max(most, model.MostInASecond());
		served_by_cold += model.served_by_cold;
		refused += model.refused;
		refused_in_touch += model.refused_in_touch;
		room_by_rate += model.room_by_rate;
	}

	void
	Print(const char *what, int gates) const
	{
		printf(
		    "%-18s %3d gates: at most %2zu of %.1f in a second; %d by "
		    "cold targets; %d refused, %d by gates in touch, %d of "
		    "these while a cold target got less than it tolerates\n",
		    what, gates, most, WarmupModel::kBound, served_by_cold,
		    refused, refused_in_touch, room_by_rate);
	}
};

// Runs a scenario with two sizes of the fleet and some seeds.
template <typename Scenario>
void
ForEach(const char *what, const WarmupPattern &base, Scenario scenario)
{
	for (int gates : { 127, 278 }) {
		Figures figures;

		for (uint64_t seed = 1; seed <= kSeeds; seed++) {
			WarmupPattern pattern = base;

			pattern.gates = gates;
			pattern.seed = seed;
			WarmupModel model(pattern);
			scenario(model);
			figures.Add(model);
			EXPECT_LE(
			    (double)model.MostInASecond(), WarmupModel::kBound)
			    << what << ", " << gates << " gates, seed " << seed;
		}
		figures.Print(what, gates);
	}
}

} // namespace

// A model whose load does not exceed the bound proves nothing.
TEST(WarmupModel, WithoutPermitsTheBoundIsExceeded)
{
	WarmupPattern pattern;

	pattern.burst = 2;
	pattern.warm_load = 6;
	pattern.has_permits = false;
	WarmupModel model(pattern);
	model.Run(3000);
	model.TurnCold(0, 1, 3000);
	model.Run(3000);
	EXPECT_GT((double)model.MostInASecond(), WarmupModel::kBound);
}

// A target that turns cold in the middle of a burst goes on getting its requests.
TEST(WarmupModel, ATargetThatTurnsColdInABurstStaysWithinTheBound)
{
	WarmupPattern base;

	base.burst = 2;
	base.warm_load = 6;
	ForEach("cold in a burst", base, [](WarmupModel &model) {
		model.Run(3000);
		model.TurnCold(0, 1, 3000);
		model.Run(4000);
		EXPECT_EQ(0, model.refused);
		EXPECT_GT(model.served_by_cold, 12);
	});
}

// The requests that warm targets must take over make cold ones exceed it.
TEST(WarmupModel, AThirdOfTheTargetsColdAtOnceStayWithinTheBound)
{
	WarmupPattern base;

	base.warm_load = 6;
	ForEach("a third cold", base, [](WarmupModel &model) {
		model.Run(2000);
		model.TurnCold(0, 4, 3000);
		model.Run(4000);
		EXPECT_EQ(0, model.refused);
	});
}

// A service whose targets are all cold is not served, or held to its deadline.
TEST(WarmupModel, AServiceOfColdTargetsIsServedUpToTheRate)
{
	ForEach("all cold", {}, [](WarmupModel &model) {
		int before;

		model.Run(2000);
		before = model.served_by_cold;
		model.TurnCold(0, 12, 6000);
		model.Suspect();
		model.Run(6000);
		EXPECT_GT(model.served_by_cold - before,
		    0.85 * 12 * WarmupModel::kPerS * 6);
		EXPECT_EQ(0, model.refused_without_time);
		EXPECT_EQ(0, model.refused_late);
	});
}

// Gates without a leader, which know nothing of each other, exceed it together
// with those in touch.
TEST(WarmupModel, GatesThatAreCutOffStayWithinTheBound)
{
	for (double share : { 0.5, 0.9, 1.0 }) {
		ForEach("gates cut off", {}, [share](WarmupModel &model) {
			model.Run(1000);
			model.TurnCold(0, 12, 8000);
			model.Run(500);
			model.CutOff(share, 6000);
			model.Run(6000);
		});
	}
}

// The permits of two leaders are used in the same second.
TEST(WarmupModel, ALeaderThatChangesKeepsTheBound)
{
	for (int64_t without_ms : { 0, 400, 900 }) {
		ForEach("leader changes", {}, [without_ms](WarmupModel &model) {
			model.Run(1000);
			model.TurnCold(0, 12, 6000);
			model.Run(1500);
			model.ChangeLeader(without_ms);
			model.Run(without_ms + 300);
			model.ChangeLeader(without_ms);
			model.Run(2500);
		});
	}
}

// Requests whose permit was lost are sent beside those with one.
TEST(WarmupModel, LostPermitsKeepTheBound)
{
	WarmupPattern base;

	base.lost = 0.4;
	ForEach("lost permits", base, [](WarmupModel &model) {
		model.Run(1000);
		model.TurnCold(0, 12, 6000);
		model.Run(6000);
	});
}

// The bound holds without the mechanism, so that the tests below prove nothing.
TEST(WarmupModel, WithoutSpacingGatesCutOffExceedTheBound)
{
	for (int gates : { 127, 278 }) {
		WarmupPattern pattern;
		Figures figures;

		pattern.has_spacing = false;
		pattern.gates = gates;
		for (pattern.seed = 1; pattern.seed <= kSeeds; pattern.seed++) {
			WarmupModel model(pattern);
			model.Run(1000);
			model.CutOff(0.9, 6000);
			model.Run(500);
			model.TurnCold(0, 4, 3000);
			model.Run(4000);
			figures.Add(model);
		}
		figures.Print("without spacing", gates);
		EXPECT_GT((double)figures.most, WarmupModel::kBound);
	}
}

// Gates that were cut off before a target turned cold can't know it: soon after the
// fleet has started, and later, when they know what they usually send.
TEST(WarmupModel, GatesCutOffBeforeATargetTurnsColdStayWithinTheBound)
{
	for (double per_s : { 4.0, 12.0 }) {
		for (double share : { 0.5, 0.9, 1.0 }) {
			WarmupPattern base;

			base.per_s = per_s;
			printf(
			    "%.0f requests/s for each target, %.1f cut off\n",
			    per_s, share);
			ForEach("cold after the cut", base,
			    [share](WarmupModel &model) {
				    model.Run(1000);
				    model.CutOff(share, 6000);
				    model.Run(500);
				    model.TurnCold(0, 4, 3000);
				    model.Run(4000);
			    });
			ForEach(
			    "cold later", base, [share](WarmupModel &model) {
				    model.Run(60000);
				    model.CutOff(share, 60000);
				    model.Run(500);
				    model.TurnCold(0, 4, 3000);
				    model.Run(5000);
				    model.TurnCold(4, 8, 3000);
				    model.Run(20000);
				    model.TurnCold(8, 12, 8000);
				    model.Run(20000);
			    });
		}
	}
}

// Gates that are cut off refuse requests although no target is cold and the
// service sends each target less than it tolerates.
TEST(WarmupModel, GatesCutOffServeWhatColdTargetsWouldTolerate)
{
	for (double per_s : { 4.0, 12.0 }) {
		for (int gates : { 127, 278 }) {
			int refused = 0;
			int asked = 0;
			WarmupPattern pattern;

			pattern.per_s = per_s;
			pattern.gates = gates;
			for (pattern.seed = 1; pattern.seed <= kSeeds;
			     pattern.seed++) {
				WarmupModel model(pattern);
				model.Run(30000);
				EXPECT_EQ(0, model.refused);
				asked -= model.served;
				model.CutOff(0.9, 20000);
				model.Run(20000);
				asked += model.served + model.refused;
				refused += model.refused;
				EXPECT_EQ(0, model.refused_in_touch);
			}
			printf("%.0f requests/s for each target, %d gates, 0.9 "
			       "cut off, none cold: %d of %d refused\n",
			    per_s, gates, refused, asked);
			if (per_s < WarmupModel::kPerS)
				EXPECT_LE(refused, 0.05 * asked);
			else // what is above the bound of the gates cut off
				EXPECT_LE(refused,
				    (1 - 0.6 * WarmupModel::kPerS / per_s) *
					asked);
		}
	}
}

// Gates space requests although they have a leader, or their leader has no bound.
TEST(WarmupModel, GatesInTouchRefuseNothing)
{
	WarmupPattern pattern;

	WarmupModel in_touch(pattern);
	in_touch.Run(20000);
	EXPECT_EQ(0, in_touch.refused);
	pattern.has_spacing = false;
	WarmupModel unbounded(pattern);
	unbounded.Run(10000);
	unbounded.CutOff(1, 10000);
	unbounded.Run(10000);
	EXPECT_EQ(0, unbounded.refused);
}
