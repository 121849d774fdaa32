// Failure guarded against: targets that have been well for seconds get no
// requests while others of their service fail. It comes about where no request
// may be repeated, as ejected targets wait for repeatable ones, and where a
// service has few requests for each target. The leading hub and the gates run
// together here, on a virtual clock, against simulated targets.
#include <gtest/gtest.h>

#include "floor_model.h"

using namespace floor_model;

namespace {

/* 20 s as usual, 10 s of trouble, 10 s as usual. */
void
Play(const Load &load, int seeds)
{
	int unserved = 0;
	int requests = 0;
	int checked = 0;
	double worst = 1;

	for (int seed = 1; seed <= seeds; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Fleet fleet(load, (uint64_t)seed);

		fleet.Run(20000);
		fleet.SetTrouble(1);
		fleet.Run(10000);
		fleet.SetTrouble(0);
		fleet.Run(10000);
		fleet.ExpectSoundTargetsUsed();
		unserved += fleet.unserved_;
		requests += fleet.requests_;
		checked += fleet.GetCheckedWindows();
		worst = std::min(worst, fleet.worst_);
	}
	EXPECT_GT(checked, 0);
	printf("used of sound: worst %.2f\n", worst);
	printf("%d windows checked, %d of %d requests not served\n", checked,
	    unserved, requests);
}

} // namespace

TEST(HubFloor, SoundTargetsOfABusyServiceGetRequests)
{
	Play({ 190, 83, 700, 330, 6000, 3000 }, 8);
}

TEST(HubFloor, SoundTargetsOfAServiceWithFewRequestsGetRequests)
{
	Play({ 75, 127, 50, 440, 14000, 6000 }, 20);
}

// gmpco-veg-grown, scale-2: a seventh of the VMs was slow, and probes that one of
// them sent hung. Each kept other requests from the target for 3 to 5 s; 19 of 58
// sound targets of a service got nothing for 2 s.
TEST(HubFloor, SoundTargetsGetRequestsWhileSomeGatesHang)
{
	Play({ 198, 95, 635, 330, 6300, 2700, 0.3 }, 8);
}

// gmpco-veg-grown, trouble-3: gates asked for a permit for one open target after
// the other, 1,500 times a second for 50 probes, and the first targets of the
// list got most of them.
TEST(HubFloor, ARequestAsksOnceForAProbe)
{
	Fleet fleet({ 75, 127, 50, 440, 14000, 6000 }, 1);

	fleet.SetTrouble(1);
	fleet.Run(20000);
	EXPECT_LE(fleet.asks_, fleet.requests_);
}

// gmpco-veg-grown, scale-2: a new leader took 16 ejected targets over, and 5 of
// 11 sound targets of a service got nothing for 2 s.
TEST(HubFloor, SoundTargetsGetRequestsAfterAChangeOfLeader)
{
	for (int seed = 1; seed <= 8; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Fleet fleet({ 54, 83, 300, 230, 9000, 4000 }, (uint64_t)seed);

		fleet.Run(20000);
		fleet.ChangeLeader();
		fleet.SetTrouble(1);
		fleet.Run(8000);
		fleet.ExpectSoundTargetsUsed();
	}
}

// mwamba-gw-grown, trouble-3: while a service lost few requests, targets that had
// recovered waited for a repeatable request up to 8 s; then a final fault cut so
// many requests that the floor counted, and 4 of 11 sound targets had got none
// for 2 s.
TEST(HubFloor, RecoveredTargetsGetRequestsThoughFewFail)
{
	int checked = 0;
	double worst = 1;

	for (int seed = 1; seed <= 8; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Fleet fleet({ 190, 83, 700, 330, 12000, 3000 }, (uint64_t)seed);

		fleet.Run(40000);
		fleet.ExpectRecoveredTargetsUsed();
		checked += fleet.GetCheckedWindows();
		worst = std::min(worst, fleet.worst_);
	}
	EXPECT_GT(checked, 0);
	printf("used of recovered: worst %.2f in %d windows\n", worst, checked);
}

namespace {

/* 20 s as usual, no leader for a time, 10 s of trouble. */
void
PlayOverNet(const Net &net, int64_t leaderless_ms)
{
	int checked = 0;
	double worst = 1;

	for (int seed = 1; seed <= 8; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Fleet fleet(
		    { 54, 83, 300, 230, 9000, 4000 }, (uint64_t)seed, net);

		fleet.Run(20000);
		if (leaderless_ms > 0)
			fleet.LoseLeader(leaderless_ms);
		fleet.SetTrouble(1);
		fleet.Run(10000);
		fleet.ExpectSoundTargetsUsed();
		checked += fleet.GetCheckedWindows();
		worst = std::min(worst, fleet.worst_);
	}
	EXPECT_GT(checked, 0);
	printf("used of sound: worst %.2f in %d windows\n", worst, checked);
}

} // namespace

// A leader on a busy machine answered later than requests wait, so that each of
// its probes was given back, and most ejected targets never got one.
TEST(HubFloor, SoundTargetsGetRequestsWhileTheLeaderAnswersLate)
{
	PlayOverNet({ 150, 0.05 }, 0);
}

// A leader is lost and the next one hears late what happened meanwhile.
TEST(HubFloor, SoundTargetsGetRequestsFromANewLeaderOverASlowNet)
{
	PlayOverNet({ 80, 0.05 }, 1400);
}
