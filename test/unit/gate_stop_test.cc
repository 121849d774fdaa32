// Failures guarded against: a gate that stops sends a request to a target that
// cannot answer before the gate ends; it ends before it has answered; it refuses
// what it has the time for.
#include <gtest/gtest.h>

extern "C" {
#include "gate/gate_stop.h"
}

namespace {

const int64_t kWithinMs = 6000;
const int64_t kStopMs = 1000000;
/* Longer than any request lasts. */
const int64_t kLateMs = kStopMs + 60000;

gate_stop_t
Stopping()
{
	gate_stop_t stop = {};

	stop.within_ms = kWithinMs;
	gate_stop_request(&stop, kStopMs);
	return (stop);
}

} // namespace

TEST(GateStop, RunningGateHasTimeForAll)
{
	gate_stop_t stop = {};

	stop.within_ms = kWithinMs;
	EXPECT_TRUE(gate_stop_has_time(&stop, kLateMs, -1, kStopMs));
	EXPECT_FALSE(gate_stop_advance(&stop, kLateMs));
	EXPECT_FALSE(gate_stop_is_overdue(&stop, kLateMs));
}

// Work of 4 s that came 2 s after the stop was cut off 3.7 s later.
TEST(GateStop, TakesOnlyWhatFitsBeforeItsEnd)
{
	gate_stop_t stop = Stopping();
	int64_t now_ms = kStopMs + 2000;

	EXPECT_FALSE(gate_stop_has_time(&stop, kLateMs, 4000, now_ms));
	EXPECT_TRUE(gate_stop_has_time(&stop, kLateMs, 1000, now_ms));
	EXPECT_FALSE(gate_stop_has_time(&stop, kLateMs, 1000, now_ms + 3000));
}

// An answer at the deadline comes before the end, whatever the target does.
TEST(GateStop, TakesWhatHasItsFinalAnswerBeforeItsEnd)
{
	gate_stop_t stop = Stopping();
	int64_t now_ms = kStopMs + 2000;

	EXPECT_TRUE(gate_stop_has_time(&stop, now_ms + 3000, -1, now_ms));
	EXPECT_FALSE(gate_stop_has_time(&stop, now_ms + 3900, -1, now_ms));
}

TEST(GateStop, AnswersBeforeItWouldBeKilled)
{
	gate_stop_t stop = Stopping();
	int64_t closed_ms = -1, ending_ms = -1, overdue_ms = -1;

	for (int64_t ms = 0; ms < kWithinMs + 1000; ms += 10) {
		while (gate_stop_advance(&stop, kStopMs + ms)) {
			if (stop.phase == GATE_CLOSED)
				closed_ms = ms;
			else
				ending_ms = ms;
		}
		if (overdue_ms < 0 && gate_stop_is_overdue(&stop, kStopMs + ms))
			overdue_ms = ms;
	}
	/* Two checks of the load balancer, one a second. */
	EXPECT_GT(closed_ms, 2000);
	EXPECT_GT(ending_ms, closed_ms);
	EXPECT_GT(overdue_ms, ending_ms);
	EXPECT_LT(overdue_ms, kWithinMs);
	EXPECT_FALSE(gate_stop_request(&stop, kStopMs));
}

// A request that waited for a leader which was just elected was refused at the
// signal; held for long, it has less time elsewhere.
TEST(GateStop, HoldsRequestsForAShortTimeOnly)
{
	gate_stop_t stop = {};

	EXPECT_TRUE(gate_stop_may_hold(&stop, -1, kLateMs));
	stop = Stopping();
	EXPECT_TRUE(gate_stop_may_hold(&stop, 300, kStopMs + 500));
	EXPECT_FALSE(gate_stop_may_hold(&stop, 300, kStopMs + 1500));
	EXPECT_FALSE(gate_stop_may_hold(&stop, -1, kStopMs + 500));
}

// With less time than the load balancer needs, requests get their answers all the
// same.
TEST(GateStop, AnswersWithinAShortTime)
{
	gate_stop_t stop = {};

	stop.within_ms = 1000;
	gate_stop_request(&stop, kStopMs);
	EXPECT_FALSE(gate_stop_advance(&stop, kStopMs + 600));
	while (gate_stop_advance(&stop, kStopMs + 750))
		EXPECT_FALSE(gate_stop_is_overdue(&stop, kStopMs + 750));
	EXPECT_EQ(stop.phase, GATE_ENDING);
}

// A gate that was frozen through its stop passes through all phases at once.
TEST(GateStop, CatchesUpAfterAFreeze)
{
	gate_stop_t stop = Stopping();
	int changes = 0;

	while (gate_stop_advance(&stop, kLateMs))
		changes++;
	EXPECT_EQ(changes, 2);
	EXPECT_EQ(stop.phase, GATE_ENDING);
}
