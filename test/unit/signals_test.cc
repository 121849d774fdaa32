// Failures guarded against: a target gets more requests than the limit that it
// names, summed over all gates, also when the leader changes; a target with a
// limit gets none; a limit outlasts its end, or ends too early; a header that
// makes no sense is taken for a limit.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <uv.h>

extern "C" {
#include "base/rng.h"
#include "fleet/fleet_limit.h"
#include "gate/gate_limit.h"
#include "gate/gate_request.h"
#include "hub/hub_signals.h"
}

namespace {

const int64_t kStart = 1000000;
const hub_signal_key_t kTarget = { 7, 1 };
/* Of the platform: what a limit allows in any window of this length. */
const int64_t kWindowMs = 4000;
const double kFactor = 1.5;
const double kSlack = 5;

class HubSignals : public testing::Test {
      protected:
	HubSignals() : limits_(hub_signals_create())
	{
	}
	~HubSignals() override
	{
		hub_signals_destroy(limits_);
	}

	void
	Set(double per_s, int64_t now_ms, const hub_signal_key_t &key = kTarget)
	{
		hub_signals_set_limit(
		    limits_, &key, fleet_limit_encode(per_s), now_ms);
	}

	int
	Acquire(int64_t now_ms, const hub_signal_key_t &key = kTarget)
	{
		if (hub_signals_get_wait_ms(limits_, &key, now_ms) > 0)
			return (0);
		hub_signals_consume(limits_, &key, now_ms);
		return (1);
	}

	hub_signals_t *limits_;
};

size_t
MostInWindow(const std::vector<int64_t> &times)
{
	size_t most = 0;

	for (size_t first = 0, i = 0; i < times.size(); i++) {
		while (times[i] - times[first] >= kWindowMs)
			first++;
		most = std::max(most, i - first + 1);
	}
	return (most);
}

} // namespace

// Bursts of requests, and leaders that follow each other, exceed a limit.
TEST_F(HubSignals, NoWindowHoldsMoreThanTheLimitAllows)
{
	rng_t rng;

	rng_init(&rng, 17);
	for (double per_s : { 0.0, 0.3, 1.0, 5.2, 40.0 }) {
		std::vector<int64_t> granted;

		hub_signals_reset(limits_);
		Set(per_s, kStart);
		for (int64_t now = kStart; now < kStart + 60000;
		     now += (int64_t)rng_below(&rng, 20)) {
			if (rng_below(&rng, 200) == 0) {
				hub_signals_reset(limits_);
				Set(per_s, now);
			}
			while (Acquire(now))
				granted.push_back(now);
			/* Nobody asks for a while. */
			if (rng_below(&rng, 300) == 0)
				now += 3000;
		}
		EXPECT_LE((double)MostInWindow(granted),
		    kFactor * per_s * kWindowMs / 1000 + kSlack)
		    << per_s;
		EXPECT_GT(granted.size(), 0u) << per_s;
	}
}

// A limit wastes what the target can do.
TEST_F(HubSignals, AllThatIsAllowedIsGranted)
{
	int granted = 0;

	Set(5, kStart);
	for (int64_t now = kStart; now <= kStart + 20000; now += 10)
		granted += Acquire(now);
	EXPECT_GE(granted, 99);
	EXPECT_LE(granted, 101);
}

// The wait that a gate is told ends before there is a permit.
TEST_F(HubSignals, AfterTheWaitThereIsAPermit)
{
	int64_t now = kStart;

	for (double per_s : { 0.7, 1.0, 3.0, 9.0 }) {
		Set(per_s, now);
		while (Acquire(now)) {
		}
		int64_t wait_ms =
		    hub_signals_get_wait_ms(limits_, &kTarget, now);
		EXPECT_FALSE(Acquire(now + wait_ms - 2)) << per_s;
		EXPECT_TRUE(Acquire(now + wait_ms)) << per_s;
		now += 10000;
	}
}

// Requests that wait get more permits than there are, or not in the order of
// their coming.
TEST_F(HubSignals, ReservedPermitsComeAtTheRateOfTheLimit)
{
	const hub_signal_key_t other = { 8, 1 };
	int64_t last_ms = -1;
	hub_signal_key_t key;
	const auto any = [](void *, const hub_signal_key_t *) { return (1); };
	const auto second = [](void *, const hub_signal_key_t *candidate) {
		return ((int)(candidate->target == 8));
	};

	Set(2, kStart);
	Set(4, kStart, other);
	for (int i = 0; i < 30; i++) {
		int64_t wait_ms =
		    hub_signals_find_first(limits_, any, nullptr, kStart, &key);

		EXPECT_GE(wait_ms, last_ms);
		last_ms = wait_ms;
		hub_signals_consume(limits_, &key, kStart);
	}
	EXPECT_NEAR(5000, last_ms, 10);
	hub_signals_find_first(limits_, second, nullptr, kStart, &key);
	EXPECT_EQ(8u, key.target);
	Set(-1, kStart, other);
	EXPECT_EQ(
	    -1, hub_signals_find_first(limits_, second, nullptr, kStart, &key));
}

// The limit of an ended incarnation binds the next one, or a late report of it
// sets one.
TEST_F(HubSignals, BelongsToAnIncarnation)
{
	const hub_signal_key_t next = { kTarget.target, 2 };

	Set(1, kStart);
	EXPECT_EQ((uint32_t)FLEET_LIMIT_UNKNOWN,
	    hub_signals_get_limit(limits_, &next));
	EXPECT_EQ(0, hub_signals_get_wait_ms(limits_, &next, kStart));
	Set(-1, kStart, next);
	EXPECT_EQ(
	    (uint32_t)FLEET_LIMIT_NONE, hub_signals_get_limit(limits_, &next));
	EXPECT_TRUE(Acquire(kStart, next));
	EXPECT_FALSE(
	    hub_signals_set_limit(limits_, &next, FLEET_LIMIT_UNKNOWN, kStart));
	EXPECT_FALSE(
	    hub_signals_set_limit(limits_, &next, FLEET_LIMIT_NONE, kStart));
	hub_signals_remove(limits_, next.target);
	EXPECT_EQ((uint32_t)FLEET_LIMIT_UNKNOWN,
	    hub_signals_get_limit(limits_, &next));
}

namespace {

hub_warmup_limit_t
Warmup(double per_s, int64_t until_ms, int64_t debt_ms = 0)
{
	return (hub_warmup_limit_t{
	    fleet_limit_encode(per_s), 2, until_ms, debt_ms });
}

} // namespace

// A cold target without a limit of its own gets any number of requests; or it gets
// permits only after it is warm.
TEST_F(HubSignals, AColdTargetNeedsPermitsUntilItIsWarm)
{
	const hub_warmup_limit_t limit = Warmup(5, kStart + 3000);
	uint32_t left_ms;
	int granted = 0;

	hub_signals_set_warmup(limits_, &kTarget, &limit, kStart);
	EXPECT_EQ(200, hub_signals_get_wait_ms(limits_, &kTarget, kStart));
	for (int64_t now = kStart; now < kStart + 3000; now += 10)
		granted += Acquire(now);
	EXPECT_GE(granted, 14);
	EXPECT_LE(granted, 15);
	EXPECT_EQ(fleet_limit_encode(5),
	    hub_signals_get_warmup(limits_, &kTarget, kStart + 2000, &left_ms));
	EXPECT_EQ(1000u, left_ms);
	EXPECT_DOUBLE_EQ(
	    5, hub_signals_get_rate_per_s(limits_, &kTarget, kStart + 2000));
	for (int i = 0; i < 50; i++)
		EXPECT_TRUE(Acquire(kStart + 3000));
	EXPECT_EQ((uint32_t)FLEET_LIMIT_UNKNOWN,
	    hub_signals_get_warmup(limits_, &kTarget, kStart + 3000, &left_ms));
	EXPECT_LT(
	    hub_signals_get_rate_per_s(limits_, &kTarget, kStart + 3000), 0);
}

// The larger of two limits counts, or the end of one ends the other.
TEST_F(HubSignals, TheSmallerOfTwoLimitsCounts)
{
	for (double named : { 2.0, 50.0 }) {
		const hub_warmup_limit_t limit = Warmup(5, kStart + 10000);
		int granted = 0;

		hub_signals_reset(limits_);
		Set(named, kStart);
		hub_signals_set_warmup(limits_, &kTarget, &limit, kStart);
		EXPECT_DOUBLE_EQ(std::min(named, 5.0),
		    hub_signals_get_rate_per_s(limits_, &kTarget, kStart));
		for (int64_t now = kStart; now < kStart + 10000; now += 10)
			granted += Acquire(now);
		EXPECT_NEAR(10 * std::min(named, 5.0), granted, 1) << named;
	}
	Set(-1, kStart + 100);
	EXPECT_GT(
	    hub_signals_get_rate_per_s(limits_, &kTarget, kStart + 100), 0);
}

// Each announcement fills the bucket, or empties it.
TEST_F(HubSignals, ALongerTimeKeepsTheBucket)
{
	hub_warmup_limit_t limit = Warmup(5, kStart + 3000);
	int granted = 0;

	for (int64_t now = kStart; now < kStart + 9000; now += 10) {
		if (now % 500 == 0) {
			limit.until_ms = now + 3000;
			hub_signals_set_warmup(limits_, &kTarget, &limit, now);
		}
		granted += Acquire(now);
	}
	EXPECT_NEAR(45, granted, 1);
}

// A new leader grants permits while those that were reserved at the one before are
// still used.
TEST_F(HubSignals, ANewLeaderBeginsWithTheDebtOfTheOneBefore)
{
	const hub_warmup_limit_t limit = Warmup(4, kStart + 9000, 500);

	hub_signals_set_warmup(limits_, &kTarget, &limit, kStart);
	EXPECT_FALSE(Acquire(kStart + 740));
	EXPECT_TRUE(Acquire(kStart + 750));
}

// A request that finds all targets cold gets a permit of none of them.
TEST_F(HubSignals, PermitsOfColdTargetsAreReserved)
{
	const hub_warmup_limit_t limit = Warmup(4, kStart + 9000);
	const auto any = [](void *, const hub_signal_key_t *) { return (1); };
	hub_signal_key_t key = {};

	hub_signals_set_warmup(limits_, &kTarget, &limit, kStart);
	EXPECT_EQ(
	    250, hub_signals_find_first(limits_, any, nullptr, kStart, &key));
	EXPECT_EQ(7u, key.target);
	EXPECT_EQ(-1,
	    hub_signals_find_first(limits_, any, nullptr, kStart + 9000, &key));
}

// A response that was on its way when the limit was named ends it; or the end
// is never noticed.
TEST(GateLimit, EndsWithAResponseToALaterRequest)
{
	gate_limit_t limit = {};
	uint32_t five = fleet_limit_encode(5);

	EXPECT_FALSE(
	    gate_limit_record(&limit, FLEET_LIMIT_NONE, kStart, kStart));
	EXPECT_TRUE(gate_limit_record(&limit, five, kStart, kStart + 10));
	EXPECT_TRUE(gate_limit_is_set(&limit));
	EXPECT_FALSE(gate_limit_record(
	    &limit, FLEET_LIMIT_NONE, kStart + 5, kStart + 20));
	EXPECT_TRUE(gate_limit_is_set(&limit));
	gate_limit_apply(&limit, five, kStart + 30);
	EXPECT_FALSE(gate_limit_record(&limit, five, kStart, kStart + 40));
	EXPECT_TRUE(gate_limit_record(
	    &limit, FLEET_LIMIT_NONE, kStart + 35, kStart + 50));
	EXPECT_FALSE(gate_limit_is_set(&limit));
}

// The same at a gate that has the limit from the leader only.
TEST(GateLimit, ALimitOfTheLeaderEndsWithAResponseToALaterRequest)
{
	gate_limit_t limit = {};

	gate_limit_apply(&limit, fleet_limit_encode(5), kStart);
	EXPECT_FALSE(gate_limit_record(
	    &limit, FLEET_LIMIT_NONE, kStart - 1, kStart + 10));
	EXPECT_TRUE(gate_limit_is_set(&limit));
	EXPECT_TRUE(gate_limit_record(
	    &limit, FLEET_LIMIT_NONE, kStart + 1, kStart + 10));
}

// A target that names another limit with each response has all gates told each
// time.
TEST(GateLimit, SmallChangesAreNotReported)
{
	gate_limit_t limit = {};

	EXPECT_TRUE(
	    gate_limit_record(&limit, fleet_limit_encode(10), kStart, kStart));
	gate_limit_apply(&limit, fleet_limit_encode(10), kStart);
	for (double per_s : { 9.1, 10.9, 10.0 })
		EXPECT_FALSE(gate_limit_record(
		    &limit, fleet_limit_encode(per_s), kStart, kStart));
	EXPECT_TRUE(
	    gate_limit_record(&limit, fleet_limit_encode(8.9), kStart, kStart));
	EXPECT_DOUBLE_EQ(8.9, fleet_limit_decode(limit.value));
}

// A new leader, which knows no limits, lifts all of them.
TEST(GateLimit, ALeaderWithoutKnowledgeChangesNothing)
{
	gate_limit_t limit = {};
	uint32_t five = fleet_limit_encode(5);

	gate_limit_record(&limit, five, kStart, kStart);
	gate_limit_apply(&limit, FLEET_LIMIT_UNKNOWN, kStart + 10);
	EXPECT_TRUE(gate_limit_is_set(&limit));
	EXPECT_TRUE(gate_limit_record(&limit, five, kStart + 5, kStart + 20));
	gate_limit_apply(&limit, FLEET_LIMIT_NONE, kStart + 30);
	EXPECT_FALSE(gate_limit_is_set(&limit));
}

// Without a leader the gates exceed a limit together: at once, or when requests
// come again after a pause.
TEST(GateLimit, SharesOfAllGatesStayWithinTheLimit)
{
	for (uint32_t gates : { 1u, 3u, 40u, 127u }) {
		std::vector<gate_limit_t> limits(gates);
		std::vector<int64_t> sent;
		rng_t rng;

		rng_init(&rng, gates);
		for (gate_limit_t &limit : limits)
			gate_limit_record(
			    &limit, fleet_limit_encode(5), kStart, kStart);
		for (int64_t now = kStart; now < kStart + 300000; now += 5) {
			gate_limit_t *limit = &limits[rng_below(&rng, gates)];

			if (rng_below(&rng, 3000) == 0)
				now += (int64_t)rng_below(&rng, 30000);
			if (gate_limit_get_wait_ms(limit, now) == 0 &&
			    gate_limit_take_share(
				limit, gates, rng_unit(&rng), now))
				sent.push_back(now);
		}
		EXPECT_LE((double)MostInWindow(sent),
		    kFactor * 5 * kWindowMs / 1000 + kSlack)
		    << gates;
		EXPECT_GT(sent.size(), 300u) << gates;
	}
}

// A response without a limit ends the one of a cold target, or it never ends.
TEST(GateLimit, TheLimitOfAColdTargetEndsByItself)
{
	gate_limit_t limit = {};

	gate_limit_apply_warmup(&limit, fleet_limit_encode(5), 3000, kStart);
	EXPECT_TRUE(gate_limit_needs_permit(&limit, kStart));
	EXPECT_FALSE(gate_limit_is_set(&limit));
	EXPECT_FALSE(gate_limit_record(
	    &limit, FLEET_LIMIT_NONE, kStart + 10, kStart + 20));
	gate_limit_apply(&limit, FLEET_LIMIT_NONE, kStart + 30);
	EXPECT_TRUE(gate_limit_needs_permit(&limit, kStart + 2999));
	gate_limit_wait(&limit, 5000, kStart + 2000);
	EXPECT_EQ(4001, gate_limit_get_wait_ms(&limit, kStart + 2999));
	EXPECT_FALSE(gate_limit_needs_permit(&limit, kStart + 3000));
	EXPECT_EQ(0, gate_limit_get_wait_ms(&limit, kStart + 3000));
}

// A later row does not prolong it, or one of a warm target does not end it.
TEST(GateLimit, ALaterRowProlongsAndEndsTheLimitOfAColdTarget)
{
	gate_limit_t limit = {};

	gate_limit_apply_warmup(&limit, fleet_limit_encode(5), 1000, kStart);
	gate_limit_apply_warmup(
	    &limit, fleet_limit_encode(5), 3000, kStart + 500);
	EXPECT_TRUE(gate_limit_is_cold(&limit, kStart + 3400));
	gate_limit_apply_warmup(&limit, FLEET_LIMIT_UNKNOWN, 0, kStart + 600);
	EXPECT_FALSE(gate_limit_is_cold(&limit, kStart + 600));
}

// The limit that a target names ends with its warming up.
TEST(GateLimit, ANamedLimitOutlastsTheWarmup)
{
	gate_limit_t limit = {};

	gate_limit_record(&limit, fleet_limit_encode(9), kStart, kStart);
	gate_limit_apply_warmup(&limit, fleet_limit_encode(5), 1000, kStart);
	EXPECT_TRUE(gate_limit_needs_permit(&limit, kStart + 2000));
}

// A target that may be cold gets requests at once after another without a leader, or
// none for ever; one without a bound, or a gate with a leader, is held back.
TEST(GateLimit, RequestsAreSpacedWithoutALeader)
{
	const uint32_t five = fleet_limit_encode(5);
	gate_limit_t limit = {};
	gate_limit_t unbounded = {};

	gate_limit_begin_spacing(&unbounded, 10, 0, 1, kStart);
	gate_limit_record_sent(&unbounded, kStart);
	EXPECT_FALSE(gate_limit_is_spaced(&unbounded, kStart));
	gate_limit_apply_warmup(&limit, five, 0, kStart);
	EXPECT_FALSE(gate_limit_is_cold(&limit, kStart));
	EXPECT_FALSE(gate_limit_needs_permit(&limit, kStart));
	gate_limit_record_sent(&limit, kStart);
	EXPECT_FALSE(gate_limit_is_spaced(&limit, kStart));
	/* 10 gates: a request every 2.9 s from each, 2 s from a light one. */
	gate_limit_begin_spacing(&limit, 10, 0, 0.2, kStart + 100);
	EXPECT_TRUE(gate_limit_is_spaced(&limit, kStart + 670));
	EXPECT_FALSE(gate_limit_is_spaced(&limit, kStart + 673));
	gate_limit_record_sent(&limit, kStart + 700);
	EXPECT_TRUE(gate_limit_is_spaced(&limit, kStart + 3555));
	EXPECT_FALSE(gate_limit_is_spaced(&limit, kStart + 3560));
	gate_limit_begin_spacing(&limit, 10, 1, 0.2, kStart + 3600);
	EXPECT_FALSE(gate_limit_is_spaced(&limit, kStart + 3600));
	gate_limit_record_sent(&limit, kStart + 3600);
	EXPECT_TRUE(gate_limit_is_spaced(&limit, kStart + 5599));
	EXPECT_FALSE(gate_limit_is_spaced(&limit, kStart + 5600));
	gate_limit_record_sent(&limit, kStart + 5600);
	gate_limit_end_spacing(&limit);
	EXPECT_FALSE(gate_limit_is_spaced(&limit, kStart + 5601));
}

// A gate without a leader that hears of a cold target from the target itself goes on
// as if it only might be cold; or a known one is held back twice.
TEST(GateLimit, ResponsesTellColdTargetsWithoutALeader)
{
	gate_limit_t limit = {};

	gate_limit_apply_warmup(&limit, fleet_limit_encode(5), 0, kStart);
	EXPECT_TRUE(gate_limit_record_cold(&limit, 1000, kStart));
	EXPECT_FALSE(gate_limit_is_cold(&limit, kStart + 1));
	gate_limit_begin_spacing(&limit, 10, 0, 1, kStart + 10);
	EXPECT_TRUE(gate_limit_is_spaced(&limit, kStart + 20));
	EXPECT_TRUE(gate_limit_record_cold(&limit, 3000, kStart + 20));
	EXPECT_TRUE(gate_limit_is_cold(&limit, kStart + 3019));
	EXPECT_TRUE(gate_limit_needs_permit(&limit, kStart + 3019));
	EXPECT_FALSE(gate_limit_is_spaced(&limit, kStart + 30));
	EXPECT_FALSE(gate_limit_is_cold(&limit, kStart + 3200));
}

// A gate that has just learned of a target takes itself for one that sends little.
TEST(GateLimit, TheRateOfAGateIsKnownAfterATime)
{
	gate_limit_t limit = {};
	int64_t now = kStart;

	EXPECT_LT(gate_limit_get_sent_per_s(&limit, now), 0);
	gate_limit_apply_warmup(&limit, fleet_limit_encode(5), 0, now);
	for (; now < kStart + 9000; now += 500)
		gate_limit_record_sent(&limit, now);
	EXPECT_LT(gate_limit_get_sent_per_s(&limit, now), 0);
	for (; now < kStart + 12000; now += 500)
		gate_limit_record_sent(&limit, now);
	EXPECT_NEAR(gate_limit_get_sent_per_s(&limit, now), 2, 0.2);
	for (; now < kStart + 120000; now += 500)
		gate_limit_record_sent(&limit, now);
	EXPECT_NEAR(gate_limit_get_sent_per_s(&limit, now), 2, 0.2);
}

// Each response of a cold target is reported.
TEST(GateLimit, OnlyALongerTimeIsReported)
{
	gate_limit_t limit = {};

	EXPECT_FALSE(gate_limit_record_cold(&limit, 0, kStart));
	EXPECT_TRUE(gate_limit_record_cold(&limit, 3000, kStart));
	EXPECT_FALSE(gate_limit_record_cold(&limit, 2500, kStart + 500));
	EXPECT_FALSE(gate_limit_record_cold(&limit, 2540, kStart + 600));
	EXPECT_TRUE(gate_limit_record_cold(&limit, 3000, kStart + 1000));
	gate_limit_apply_warmup(
	    &limit, fleet_limit_encode(5), 3000, kStart + 5000);
	EXPECT_FALSE(gate_limit_record_cold(&limit, 2950, kStart + 5020));
	/* The leader heard that it is warm; it turned cold again. */
	gate_limit_apply_warmup(&limit, FLEET_LIMIT_UNKNOWN, 0, kStart + 5500);
	EXPECT_TRUE(gate_limit_record_cold(&limit, 2000, kStart + 5600));
}

// Without a leader the gates send a cold target more than their share together.
TEST(GateLimit, SharesOfAColdTargetStayWithinAQuarter)
{
	for (uint32_t gates : { 6u, 127u }) {
		std::vector<gate_limit_t> limits(gates);
		const int64_t end = kStart + 200000;
		rng_t rng;
		int sent = 0;

		rng_init(&rng, gates);
		for (gate_limit_t &limit : limits)
			gate_limit_apply_warmup(
			    &limit, fleet_limit_encode(6), 200000, kStart);
		for (int64_t now = kStart; now < end; now += 1) {
			gate_limit_t *limit = &limits[rng_below(&rng, gates)];

			if (gate_limit_get_wait_ms(limit, now) == 0)
				sent += gate_limit_take_share(
				    limit, gates, rng_unit(&rng), now);
		}
		EXPECT_LE(sent, 1.05 * 200 * 6 / 4 + gates);
		EXPECT_GE(sent, 0.9 * 200 * 6 / 4 - gates);
	}
}

namespace {

gate_signals_t
ReadSignals(
    const std::string &name, std::vector<std::string> values, int status = 200)
{
	dialect_t dialect = {};
	upstream_response_t response = {};
	std::vector<upstream_header_t> headers;
	gate_signals_t signals = {};

	dialect.headers.limit = "server-limit";
	dialect.headers.leaving = "server-leaving";
	dialect.headers.load = "server-load";
	dialect.headers.warmup_left = "server-warmup-ms";
	for (const std::string &value : values)
		headers.push_back(
		    { name.data(), name.size(), value.data(), value.size() });
	response.status = status;
	response.headers = headers.data();
	response.header_count = headers.size();
	gate_wire_read_signals(&dialect, &response, &signals);
	return (signals);
}

uint32_t
ReadLimit(std::vector<std::string> values)
{
	return (ReadSignals("Server-Limit", values).limit);
}

int64_t
ReadPauseMs(std::vector<std::string> values, int status = 503)
{
	return (ReadSignals("Retry-After", values, status).pause_ms);
}

} // namespace

// A header that makes no sense stops all requests to a target, or lets any pass.
TEST(GateSignals, OnlyOneDecimalNumberIsALimit)
{
	EXPECT_EQ(fleet_limit_encode(2.5), ReadLimit({ "2.5" }));
	EXPECT_EQ(fleet_limit_encode(0), ReadLimit({ "0" }));
	EXPECT_EQ(fleet_limit_encode(0.125), ReadLimit({ ".125" }));
	EXPECT_DOUBLE_EQ(5.2, fleet_limit_decode(ReadLimit({ "5.2" })));
	EXPECT_EQ((uint32_t)FLEET_LIMIT_NONE, ReadLimit({}));
	for (const char *text : { "", "-1", "1e3", "0x10", "nan", "inf", "1,5",
		 "5 5", "1.2.3", "99999999999", "1000000000000000000000000000",
		 "Sat, 05 Dec 2026 08:00:00 GMT" })
		EXPECT_EQ((uint32_t)FLEET_LIMIT_NONE, ReadLimit({ text }))
		    << text;
	EXPECT_EQ((uint32_t)FLEET_LIMIT_NONE, ReadLimit({ "5", "5" }));
}

// The same of a pause; a 200 or 429 is taken for one.
TEST(GateSignals, OnlyOneDecimalNumberOfA503IsAPause)
{
	EXPECT_EQ(3000, ReadPauseMs({ "3" }));
	EXPECT_EQ(250, ReadPauseMs({ "0.25" }));
	EXPECT_EQ(0, ReadPauseMs({ "3" }, 200));
	EXPECT_EQ(0, ReadPauseMs({ "3" }, 429));
	for (const char *text : { "", "0", "-3", "1e3", "nan", "3, 3",
		 "Sat, 05 Dec 2026 08:00:00 GMT" })
		EXPECT_EQ(0, ReadPauseMs({ text })) << text;
	EXPECT_EQ(0, ReadPauseMs({ "3", "4" }));
}

// A target that wants a long pause gets requests all the time.
TEST(GateSignals, ALongPauseCounts)
{
	const int64_t month_ms = int64_t{ 30 } * 24 * 3600 * 1000;

	EXPECT_EQ(3601000, ReadPauseMs({ "3601" }));
	EXPECT_EQ(7200000, ReadPauseMs({ "7200" }));
	EXPECT_EQ(month_ms, ReadPauseMs({ "2592000" }));
	EXPECT_EQ(month_ms, ReadPauseMs({ "2592001" }));
	EXPECT_EQ(month_ms, ReadPauseMs({ "999999999999999999999999" }));
}

// A header that makes no sense makes a target cold; or a cold one counts as warm.
TEST(GateSignals, OnlyWholeMillisecondsAreATimeOfWarmingUp)
{
	const std::string name = "Server-Warmup-Ms";

	EXPECT_EQ(2990u, ReadSignals(name, { "2990" }).cold_left_ms);
	EXPECT_EQ(3600000u, ReadSignals(name, { "3600000" }).cold_left_ms);
	EXPECT_EQ(0u, ReadSignals(name, { "0" }).cold_left_ms);
	EXPECT_EQ(0u, ReadSignals(name, {}).cold_left_ms);
	for (const char *text : { "", "-1", "1.5", "1e3", "0x10", "3600001",
		 "5 5", "2990ms", "99999999999999999999999999" })
		EXPECT_EQ(0u, ReadSignals(name, { text }).cold_left_ms) << text;
	EXPECT_EQ(0u, ReadSignals(name, { "5", "5" }).cold_left_ms);
}

// A target that says something else is taken out of use.
TEST(GateSignals, OnlyAOneSaysThatATargetLeaves)
{
	EXPECT_TRUE(ReadSignals("Server-Leaving", { "1" }).is_leaving);
	for (const char *text : { "", "0", "11", "no", "1 " })
		EXPECT_FALSE(ReadSignals("Server-Leaving", { text }).is_leaving)
		    << text;
	EXPECT_FALSE(ReadSignals("X-Other", { "1" }).is_leaving);
}
