// Failures guarded against: a crash whose target keeps its port open is not seen;
// a broken connection of a target that runs on, a late restart, or a restart of
// another target counts as a crash.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "hub/hub_break.h"
}

namespace {

const int64_t kStart = 1000000;
const uint64_t kRequest = 11;
const uint32_t kIp = 0x0100007f;
const uint16_t kPort = 8080;

hub_target_t
Target(const char *id, uint64_t born_ms, const char *service = "s1",
    uint16_t port = kPort)
{
	hub_target_t target = {};

	target.key = fleet_name_hash(id);
	target.as.born_ms = born_ms;
	target.as.ip = kIp;
	target.as.port = port;
	target.as.state = FLEET_TARGET_READY;
	snprintf(target.as.service, sizeof(target.as.service), "%s", service);
	return (target);
}

class HubBreak : public testing::Test {
      protected:
	hub_crash_report_t
	Report(const hub_target_t &target, int64_t broken_ms)
	{
		return (hub_crash_report_t{ kRequest, target.key,
		    target.as.born_ms, broken_ms - 5, broken_ms });
	}

	void
	Add(const hub_target_t &target, int64_t broken_ms)
	{
		hub_crash_report_t report = Report(target, broken_ms);
		hub_break_t item = hub_break_make(&report, &target);

		hub_breaks_add(&breaks_, &item);
	}

	size_t
	Take(const hub_target_t &target, int64_t now_ms)
	{
		return (hub_breaks_take(&breaks_, &target, now_ms, taken_));
	}

	hub_breaks_t breaks_ = {};
	hub_crash_report_t taken_[HUB_BREAKS_MAX];
};

} // namespace

TEST_F(HubBreak, ANewIncarnationShowsACrashOnce)
{
	hub_target_t first = Target("a", 1);

	Add(first, kStart);
	EXPECT_EQ(1u, Take(Target("b", 2), kStart + 2000));
	EXPECT_EQ(kRequest, taken_[0].fingerprint);
	EXPECT_EQ(first.key, taken_[0].target);
	EXPECT_EQ(kStart, taken_[0].broken_ms);
	EXPECT_EQ(0u, Take(Target("b", 2), kStart + 2500));
	EXPECT_EQ(0u, Take(Target("c", 3), kStart + 3000));
}

TEST_F(HubBreak, ANewIncarnationMayKeepItsId)
{
	Add(Target("a", 1), kStart);
	EXPECT_EQ(1u, Take(Target("a", 2), kStart + 2000));
}

TEST_F(HubBreak, ATargetThatRunsOnHasNotCrashed)
{
	hub_target_t target = Target("a", 1);

	Add(target, kStart);
	EXPECT_EQ(0u, Take(target, kStart + 500));
	target.as.state = FLEET_TARGET_DRAINING;
	EXPECT_EQ(0u, Take(target, kStart + 1000));
	target.as.state = FLEET_TARGET_DEREGISTERED;
	EXPECT_EQ(0u, Take(target, kStart + 1500));
}

TEST_F(HubBreak, ALateIncarnationShowsNoCrash)
{
	Add(Target("a", 1), kStart);
	EXPECT_EQ(0u, Take(Target("b", 2), kStart + HUB_BREAK_KEPT_MS));
}

TEST_F(HubBreak, AnotherAddressOrServiceShowsNoCrash)
{
	Add(Target("a", 1), kStart);
	EXPECT_EQ(0u, Take(Target("b", 2, "s1", kPort + 1), kStart + 2000));
	EXPECT_EQ(0u, Take(Target("b", 2, "s2"), kStart + 2000));
	EXPECT_EQ(1u, Take(Target("b", 2), kStart + 2000));
}

TEST_F(HubBreak, TheOldestOfTooManyMakesRoom)
{
	for (int i = 0; i < HUB_BREAKS_MAX + 3; i++)
		Add(Target("a", 1), kStart + i);
	EXPECT_EQ((size_t)HUB_BREAKS_MAX, Take(Target("b", 2), kStart + 2000));
	EXPECT_EQ(kStart + 3, taken_[0].broken_ms);
	EXPECT_EQ(
	    kStart + HUB_BREAKS_MAX + 2, taken_[HUB_BREAKS_MAX - 1].broken_ms);
}

TEST_F(HubBreak, AnAnsweredRequestHasCrashedNone)
{
	Add(Target("a", 1), kStart);
	hub_breaks_clear(&breaks_, kRequest + 1);
	hub_breaks_clear(&breaks_, kRequest);
	EXPECT_EQ(0u, Take(Target("b", 2), kStart + 2000));
}

TEST_F(HubBreak, ANewLeaderKnowsNone)
{
	Add(Target("a", 1), kStart);
	hub_breaks_reset(&breaks_);
	EXPECT_EQ(0u, Take(Target("b", 2), kStart + 2000));
}
