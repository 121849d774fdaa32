// Failures guarded against: memberships that gather on few VMs after days of
// restarts, moves that never end, and moves that lower what a group tolerates.
#include <gtest/gtest.h>

#include <time.h>

#include "placement_days.h"

namespace {

// An election or a transfer; see "When a shard refuses" in docs/shards.md.
constexpr int64_t kUnreadyMs = 2000;

void
Print(const char *name, int vms, Days &days)
{
	auto held = days.Range(false);
	auto led = days.Range(true);

	printf("%s_%d_vms: memberships %d to %d, leases %d to %d, moves %d, "
	       "elections %d, unready %lld ms, quarantines %d\n",
	    name, vms, held.first, held.second, led.first, led.second,
	    days.moves, days.elections, (long long)days.longest_unready_ms,
	    days.quarantines);
}

TEST(PlacementDays, RestartsKeepMembershipsEven)
{
	const struct {
		int vms, dcs, events, per_day;
	} sizes[] = { { 44, 3, 63, 21 }, { 44, 4, 63, 21 },
		{ 740, 7, 50, 350 } };

	for (auto &size : sizes) {
		Days days(size.vms, size.dcs, 20261204);

		days.moves = days.elections = 0;
		days.RunDays(size.events, size.per_day);
		days.RunQuiet(2 * 3600000);
		days.Run(600000);
		auto held = days.Range(false);
		Print("days", size.vms, days);
		EXPECT_LE(held.second - held.first, 1);
		EXPECT_LE(days.longest_unready_ms, kUnreadyMs);
		EXPECT_EQ(days.quarantines, 0);
		// Nothing is left to do, so nothing moves.
		int moves = days.moves;
		days.Run(60000);
		EXPECT_EQ(days.moves, moves);
	}
}

TEST(PlacementDays, WithoutMovesMembershipsGather)
{
	Days days(44, 3, 20261204, PLACEMENT_TEST_NO_MOVES);

	days.RunDays(63, 21);
	days.RunQuiet(2 * 3600000);
	auto held = days.Range(false);
	Print("without_moves", 44, days);
	EXPECT_GT(held.second - held.first, 1);
}

TEST(PlacementDays, AddedVmsGetMembershipsAtTheBoundedRate)
{
	Days days(40, 4, 1);

	for (int i = 0; i < 4; i++)
		days.Add("dc-" + std::to_string(i));
	days.moves = 0;
	days.Run(PLACEMENT_STABLE_MS - Days::kBeatMs);
	EXPECT_EQ(days.moves, 0);
	days.Run(10000);
	EXPECT_GT(days.moves, 0);
	EXPECT_LE(days.moves, 11000 / PLACEMENT_MOVE_MS + 1);
	days.Run(60000);
	auto held = days.Range(false);
	EXPECT_LE(held.second - held.first, 1);
}

// Memberships of a VM that comes back, 50 s after it may get some. Control plans
// this long after it heard heartbeats, first.
int
HeldAfterReturn(int64_t phase_ms)
{
	Days days(7, 3, 1);

	days.plan_ms = 100;
	days.transfer_ms = 800;
	days.Kill(days.vms[2], 15000);
	days.Run(20000);
	days.beat_ms += phase_ms;
	days.Run(PLACEMENT_STABLE_MS + 50000);
	return days.CountHeld(2);
}

// Guards against moves at half the rate: the VM has read its last shard between two
// heartbeats, and the next attempt to move one is long after the heartbeat.
TEST(PlacementDays, ReturnedVmGetsAMembershipWithEachHeartbeat)
{
	for (int64_t phase_ms = 0; phase_ms < Days::kBeatMs; phase_ms += 100)
		EXPECT_GE(HeldAfterReturn(phase_ms), 40) << phase_ms;
}

// A VM comes back 15 s after it was killed.
void
LoseAndReturn(Days &days)
{
	days.plan_ms = 100;
	days.transfer_ms = 800;
	days.Kill(days.vms[2], 15000);
	days.Run(15000 + days.plan_ms);
	ASSERT_TRUE(days.vms[2].alive);
	ASSERT_EQ(days.CountHeld(2), 0);
}

// Guards against a VM that gets no memberships while control leaders change: each
// new one counted the time of a VM from its own start.
TEST(PlacementDays, NewLeadersCountAVmFromItsJoin)
{
	Days days(7, 3, 1);
	int64_t back_ms;

	LoseAndReturn(days);
	back_ms = days.now;
	while (days.now - back_ms < PLACEMENT_STABLE_MS - 10000) {
		days.Run(9000);
		days.ChangeLeader();
		EXPECT_EQ(days.CountHeld(2), 0) << days.now - back_ms;
	}
	// The last change was after 27 s; the bound is that of functional rebalance.
	days.Run(back_ms + 80000 - days.now);
	EXPECT_GE(days.CountHeld(2), 40);
	EXPECT_LE(days.longest_unready_ms, kUnreadyMs);
	EXPECT_EQ(days.quarantines, 0);
}

// Guards against moves to a VM that has only just restarted: for the new leader
// its earlier incarnation is old enough.
TEST(PlacementDays, NewLeaderTakesARestartedVmForNew)
{
	Days days(7, 3, 1);

	days.ChangeLeader();
	LoseAndReturn(days);
	days.ChangeLeader();
	days.moves = 0;
	days.Run(PLACEMENT_STABLE_MS - Days::kBeatMs);
	EXPECT_EQ(days.moves, 0);
	EXPECT_EQ(days.CountHeld(2), 0);
	days.Run(10000);
	EXPECT_GT(days.CountHeld(2), 0);
}

// Guards against moves by a leader whose process cannot know since when the
// directory lists a VM, as it started later.
TEST(PlacementDays, LeaderThatStartedLateCountsFromItsStart)
{
	Days days(7, 3, 1);

	LoseAndReturn(days);
	days.Run(20000);
	days.RestartFollower();
	days.Run(5000);
	days.ChangeLeader();
	days.moves = 0;
	days.Run(PLACEMENT_STABLE_MS - 5000 - Days::kBeatMs);
	EXPECT_EQ(days.moves, 0);
	days.Run(10000);
	EXPECT_GT(days.CountHeld(2), 0);
}

// Guards against a VM that left the directory, came back with the same incarnation
// and counts as one that was there all the time.
TEST(PlacementDays, VmThatLeftTheDirectoryCountsFromItsNextJoin)
{
	Days days(7, 3, 1);
	Days::Vm &vm = days.vms[2];

	days.Kill(vm, 0);
	days.Run(20000);
	ASSERT_EQ(days.CountHeld(2), 0);
	days.Leave(vm);
	days.Run(1000);
	vm.alive = true;
	days.Join(vm);
	days.ChangeLeader();
	days.moves = 0;
	days.Run(PLACEMENT_STABLE_MS - Days::kBeatMs);
	EXPECT_EQ(days.moves, 0);
	days.Run(10000);
	EXPECT_GT(days.CountHeld(2), 0);
}

// A rack of 20 VMs, then a data centre, are lost while moves are under way.
void
LoseDuringMoves(Days &days, int vms, int dcs)
{
	for (int i = 0; i < vms / 10; i++)
		days.Add("dc-" + std::to_string(i % dcs));
	days.Run(PLACEMENT_STABLE_MS + 2050);
	// With fewer memberships than VMs there is nothing to move.
	EXPECT_TRUE(days.moves > 0 || vms >= CONFIG_SHARDS * CONFIG_HOLDERS);
	for (int i = 0; i < vms / 10; i += dcs)
		days.Kill(days.vms[(size_t)i], 600000);
	days.Run(60000);
	for (auto &vm : days.vms) {
		if (vm.alive && vm.data_centre == "dc-1")
			days.Kill(vm, 300000);
	}
	days.Run(1200000);
}

TEST(PlacementDays, RackAndDataCentreLostDuringMoves)
{
	const struct {
		int vms, dcs;
	} sizes[] = { { 44, 4 }, { 740, 7 } };

	for (auto &size : sizes) {
		Days days(size.vms, size.dcs, 7);

		days.moves = 0;
		LoseDuringMoves(days, size.vms, size.dcs);
		auto held = days.Range(false);
		Print("losses", size.vms, days);
		EXPECT_LE(held.second - held.first, 1);
		EXPECT_LE(days.longest_unready_ms, kUnreadyMs);
		EXPECT_EQ(days.quarantines, 0);
	}
}

// Two holders restart right after a move, before the new holder has the state.
int
LoseTwoAfterAMove(int64_t transfer_ms, Days &days)
{
	days.transfer_ms = transfer_ms;
	days.Add("dc-0");
	int moves = days.moves;
	while (days.moves == moves)
		days.Step();
	for (auto &shard : days.shards) {
		if (shard.IsFull())
			continue;
		int lost = 0;
		for (auto &holder : shard.holders) {
			if (holder.complete && lost < 2) {
				days.Kill(days.vms[holder.vm], 500);
				lost++;
			}
		}
		EXPECT_EQ(lost, 2);
	}
	days.Run(30000);
	return days.quarantines;
}

TEST(PlacementDays, TwoLossesRightAfterAMoveAreTolerated)
{
	Days days(12, 3, 3);

	EXPECT_EQ(LoseTwoAfterAMove(4000, days), 0);
	Print("two_after_move", 12, days);
	EXPECT_LE(days.longest_unready_ms, 4000 + kUnreadyMs);
}

TEST(PlacementDays, WithoutTheWaitTwoLossesRightAfterAMoveStopAShard)
{
	Days days(12, 3, 3, PLACEMENT_TEST_NO_MOVE_WAIT);
	int quarantines = LoseTwoAfterAMove(4000, days);

	Print("without_wait", 12, days);
	EXPECT_TRUE(
	    quarantines > 0 || days.longest_unready_ms > 4000 + kUnreadyMs);
}

// A group with a member that has not read the state has none to spare.
int
MovesWithAnUnreadyMember(uint32_t switches)
{
	Days days(12, 3, 3, switches);

	days.transfer_ms = INT64_MAX / 2;
	days.Kill(days.vms[0], 500);
	days.Run(20000);
	std::map<Days::Shard *, uint64_t> epochs;
	for (auto &shard : days.shards) {
		if (!shard.IsFull())
			epochs[&shard] = shard.epoch;
	}
	EXPECT_FALSE(epochs.empty());
	days.transfer_ms = 300;
	days.Add("dc-0");
	days.Run(PLACEMENT_STABLE_MS + 30000);
	int changed = 0;
	for (auto &item : epochs)
		changed += item.first->epoch != item.second;
	return changed;
}

TEST(PlacementDays, GroupWithAnUnreadyMemberDoesNotMove)
{
	EXPECT_EQ(MovesWithAnUnreadyMember(0), 0);
	EXPECT_GT(MovesWithAnUnreadyMember(PLACEMENT_TEST_MOVE_UNREADY), 0);
}

// Prints the cost of a plan; control makes 10 a second.
TEST(PlacementDays, CostOfAPlan)
{
	for (int vms : { 44, 740 }) {
		static placement_change_t changes[CONFIG_SHARDS];
		Days days(vms, 7, 1);
		const int rounds = 200;

		clock_t spent = 0;
		for (int i = 0; i < rounds; i++) {
			days.now += 100;
			days.Beat();
			clock_t start = clock();
			EXPECT_EQ(placement_plan(days.placement, days.state,
				      days.now, changes),
			    0u);
			spent += clock() - start;
		}
		printf("plan_%d_vms_%d_shards %.0f us\n", vms, CONFIG_SHARDS,
		    1e6 * (double)spent / CLOCKS_PER_SEC / rounds);
	}
}

} // namespace
