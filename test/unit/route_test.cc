// Failures guarded against: traffic to targets that are ejected, shedding or
// full; subsets that together exceed a target's connection cap; retries beyond
// the budget, which multiply the load of a failing service.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

extern "C" {
#include "base/error.h"
#include "route/balancer.h"
#include "route/retry_budget.h"
}

namespace {

struct RouteTest : testing::Test {
	static constexpr uint32_t kCount = 40;
	service_endpoint_t targets[kCount] = {};
	service_endpoint_t *list[kCount];
	balancer_t balancer;

	RouteTest()
	{
		for (uint32_t i = 0; i < kCount; i++) {
			targets[i].id = 1000 + i;
			targets[i].slots = 4;
			targets[i].share = SERVICE_SHARE_FULL;
			targets[i].usable = 1;
			targets[i].connection_cap = 350;
			list[i] = &targets[i];
		}
		balancer_init(&balancer, BALANCER_FLEET, 7, 1);
	}
	service_endpoint_t *
	pick(uint32_t count, int64_t now = 1000)
	{
		return balancer_pick(&balancer, list, count, nullptr, 0, now);
	}
};

} // namespace

TEST_F(RouteTest, PassesOverUnusableTriedAndShedding)
{
	targets[0].usable = 0;
	targets[1].shed_until_ms = 2000;
	const uint64_t tried[] = { 1002 };
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(balancer_pick(&balancer, list, 4, tried, 1, 1000),
		    &targets[3]);
	targets[3].usable = 0;
	EXPECT_EQ(
	    balancer_pick(&balancer, list, 4, tried, 1, 1000), &targets[1]);
	targets[1].usable = 0;
	EXPECT_EQ(balancer_pick(&balancer, list, 4, tried, 1, 1000), nullptr);
}

TEST_F(RouteTest, PrefersFreeSlots)
{
	targets[0].in_flight = 4;
	targets[1].load_others = 4;
	targets[1].load_at_ms = 990;
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(pick(3), &targets[2]);
	// An expired load report is ignored.
	std::set<service_endpoint_t *> seen;
	for (int i = 0; i < 100; i++)
		seen.insert(pick(3, 2000));
	EXPECT_EQ(seen.count(&targets[1]), 1u);
}

TEST_F(RouteTest, ColdTargetGetsItsShare)
{
	std::map<service_endpoint_t *, int> got;

	targets[0].share = 500;
	for (int i = 0; i < 10000; i++)
		got[pick(4)]++;
	EXPECT_NEAR(got[&targets[0]], 10000 / 7.0, 10000 / 7.0 * 0.25);
}

TEST_F(RouteTest, SubsetsStayBelowTheConnectionCapAndAreStable)
{
	const uint32_t vms = 740;
	std::map<uint32_t, uint32_t> connections;

	for (uint32_t vm = 0; vm < vms; vm++) {
		balancer_t b;
		balancer_init(&b, BALANCER_FLEET, vm * 7919 + 1, vm);
		balancer_update_subset(&b, list, kCount, vms, 1, 1);
		std::set<uint32_t> before(b.subset, b.subset + b.subset_size);
		for (uint32_t index : before)
			connections[index]++;
		// Without one target, at most one member of a subset changes.
		balancer_update_subset(&b, list, kCount - 1, vms, 1, 2);
		size_t kept = 0;
		for (uint32_t i = 0; i < b.subset_size; i++)
			kept += before.count(b.subset[i]);
		EXPECT_GE(kept + 1, (size_t)b.subset_size);
	}
	for (auto &entry : connections)
		EXPECT_LT(entry.second, 350u);
}

TEST_F(RouteTest, SmallFleetUsesAllTargets)
{
	balancer_update_subset(&balancer, list, 20, 44, 6, 1);
	EXPECT_EQ(balancer.subset_size, 20u);
}

TEST_F(RouteTest, BaselineEjectsAfterErrorsInARow)
{
	balancer_init(&balancer, BALANCER_BASELINE, 7, 1);
	for (int i = 0; i < 5; i++)
		balancer_record(
		    &balancer, &targets[0], SERVICE_OUTCOME_ERROR, 1000);
	for (int i = 0; i < 9; i++)
		EXPECT_NE(pick(3), &targets[0]);
	std::set<service_endpoint_t *> seen;
	for (int i = 0; i < 9; i++)
		seen.insert(pick(3, 11000));
	EXPECT_EQ(seen.size(), 3u);
}

TEST(RetryBudget, AllowsATenthOfTheRequestsAndSavesTen)
{
	retry_budget_t budget;
	int taken = 0;

	retry_budget_init(&budget);
	while (retry_budget_consume(&budget) == 0)
		taken++;
	EXPECT_EQ(taken, 10);
	for (int i = 0; i < 1000; i++) {
		retry_budget_add_request(&budget);
		taken += retry_budget_consume(&budget) == 0;
	}
	EXPECT_EQ(taken, 110);
	for (int i = 0; i < 1000; i++)
		retry_budget_add_request(&budget);
	for (taken = 0; retry_budget_consume(&budget) == 0;)
		taken++;
	EXPECT_EQ(taken, 10);
}

TEST(RetryBudget, HedgesOnlyWhenItCanHelp)
{
	retry_budget_t budget;

	retry_budget_init(&budget);
	EXPECT_EQ(retry_budget_get_hedge_delay_ms(&budget, 1000), -1);
	for (int i = 0; i < 500; i++)
		retry_budget_record(&budget, 20);
	int64_t delay = retry_budget_get_hedge_delay_ms(&budget, 1000);
	EXPECT_GE(delay, 20);
	EXPECT_LE(delay, 60);
	EXPECT_EQ(retry_budget_get_hedge_delay_ms(&budget, 25), -1);
}

// Guards against more attempts, and so connections, than a target's cap
// allows, and against a request without target while targets outside a small
// subset are healthy.
TEST(Balancer, KeepsTheConnectionLimitAndLeavesAnEjectedSubset)
{
	service_endpoint_t nodes[8] = {};
	service_endpoint_t *list[8];
	balancer_t balancer;

	for (int i = 0; i < 8; i++) {
		nodes[i].id = (uint64_t)i + 1;
		nodes[i].slots = 6;
		nodes[i].share = SERVICE_SHARE_FULL;
		nodes[i].usable = 1;
		nodes[i].connection_cap = 400;
		list[i] = &nodes[i];
	}
	balancer_init(&balancer, BALANCER_FLEET, 1, 7);
	balancer_update_subset(&balancer, list, 8, 740, 4, 1);
	ASSERT_EQ(balancer.subset_size, 2u);
	for (int i = 0; i < 8; i++) {
		service_endpoint_t *pick =
		    balancer_pick(&balancer, list, 8, nullptr, 0, 0);
		ASSERT_NE(pick, nullptr);
		ASSERT_LT(pick->in_flight, 4u);
		pick->in_flight++;
	}
	nodes[balancer.subset[0]].usable = 0;
	nodes[balancer.subset[1]].usable = 0;
	EXPECT_NE(balancer_pick(&balancer, list, 8, nullptr, 0, 0), nullptr);
}
