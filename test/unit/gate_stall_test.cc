// Failures guarded against: a request that may be executed twice waits at a target
// that hangs until its caller gives up; requests that only wait in queues are sent
// again and add to the load that delays them.
#include <gtest/gtest.h>

extern "C" {
#include "gate/gate_stall.h"
}

namespace {

/* Lookups of 210 ms with a soft deadline of 600 ms and 2 s in all, sent some
 * time ago to a service with free slots. */
gate_stall_t
LookupOfAge(int64_t age_ms)
{
	gate_stall_t stall = {};

	stall.age_ms = age_ms;
	stall.left_ms = 2000 - age_ms;
	stall.soft_deadline_ms = 600;
	stall.mean_ms = 210;
	stall.utilization = 0.5;
	return (stall);
}

} // namespace

// Gray failure: a target hangs while its health checks succeed.
TEST(GateStall, AHangingLookupIsSentAgainWhileItCanBeServed)
{
	gate_stall_t stall = LookupOfAge(530);

	EXPECT_TRUE(gate_stall_should_repeat(&stall));
	stall = LookupOfAge(300);
	EXPECT_FALSE(gate_stall_should_repeat(&stall));
}

// An answer could not come before the caller gives up.
TEST(GateStall, NothingIsSentAgainWithoutTimeForIt)
{
	gate_stall_t stall = LookupOfAge(1800);

	EXPECT_FALSE(gate_stall_should_repeat(&stall));
}

// Overload: all targets of a service are slow, and repeats would make it worse.
TEST(GateStall, NothingIsSentAgainWhileRequestsWaitForSlots)
{
	gate_stall_t stall = LookupOfAge(700);

	stall.utilization = 1.5;
	EXPECT_FALSE(gate_stall_should_repeat(&stall));
	EXPECT_TRUE(gate_stall_is_evidence(&stall));
}

// mwamba-gw-grown, scale-2: a gate that was stopping ended a request at which its
// target was at work, had no time for another one, and answered 502.
TEST(GateStall, AStoppingGateEndsNoAttempt)
{
	gate_stall_t stall = LookupOfAge(700);

	EXPECT_TRUE(gate_stall_should_repeat(&stall));
	stall.is_stopping = 1;
	EXPECT_FALSE(gate_stall_should_repeat(&stall));
}

// Routes of one service differ: reports that take 650 ms and thumbnails of 130 ms.
TEST(GateStall, SlowRoutesOfAFastServiceAreNotSentAgain)
{
	gate_stall_t stall = LookupOfAge(700);

	stall.soft_deadline_ms = 1500;
	stall.left_ms = 5300;
	stall.mean_ms = 250;
	EXPECT_FALSE(gate_stall_should_repeat(&stall));
	stall.age_ms = 1250;
	EXPECT_TRUE(gate_stall_should_repeat(&stall));
}

// A gate that has seen no response yet cannot tell slow from stalled.
TEST(GateStall, NothingIsJudgedWithoutALatency)
{
	gate_stall_t stall = LookupOfAge(1500);

	stall.mean_ms = 0;
	EXPECT_FALSE(gate_stall_should_repeat(&stall));
	EXPECT_FALSE(gate_stall_is_evidence(&stall));
}

// iblea-gw-grown, a calm day: 188 lookups were sent to a second target after 1.6 of
// 3 s, 161 of them failed. Most were costly, and their targets did not hang.
TEST(GateStall, ACostlyRequestIsNotSentAgainTooLateToEnd)
{
	gate_stall_t stall = {};

	stall.age_ms = 1610;
	stall.left_ms = 1390;
	stall.soft_deadline_ms = 2000;
	stall.mean_ms = 610;
	stall.utilization = 0.4;
	stall.has_uneven_costs = 1;
	EXPECT_FALSE(gate_stall_should_repeat(&stall));
	EXPECT_TRUE(gate_stall_is_evidence(&stall));
	stall.left_ms = 1610;
	EXPECT_TRUE(gate_stall_should_repeat(&stall));
}

// psipark-hq: targets hang for seconds, forms have 3 s, and none that hung was sent
// to another target any more.
TEST(GateStall, WithEvenCostsAHangingRequestIsSentAgainWhileTheMeanIsLeft)
{
	gate_stall_t stall = {};

	stall.age_ms = 1630;
	stall.left_ms = 1370;
	stall.soft_deadline_ms = 1500;
	stall.mean_ms = 650;
	stall.utilization = 0.4;
	EXPECT_TRUE(gate_stall_should_repeat(&stall));
	stall.left_ms = 600;
	EXPECT_FALSE(gate_stall_should_repeat(&stall));
}
