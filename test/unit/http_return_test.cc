// Failures guarded against: refused callers return before there is room for them
// and are refused again; they return long after there is.
#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <utility>

extern "C" {
#include "base/rng.h"
#include "http/http_return.h"
}

namespace {

const size_t kMb = 1000000;
const size_t kLimit = 64 * kMb;
const int kCallers = 40;
const int kSendingsMax = 2; // of each caller, on average
const int64_t kHoldMs = 350;
const uint64_t kLateMaxMs = 50;
const uint64_t kSeeds = 50;

struct Outcome {
	int sendings = 0;
	int64_t last_ms = 0; // when the last caller was served
	int64_t least_ms = 0; // for which all requests together need the room
};

// A memory that callers share. Each request is held for kHoldMs, give or take a
// share of it.
class Memory {
      public:
	Memory(uint64_t seed, size_t bytes, double spread, bool is_known)
	    : bytes_(bytes), spread_(spread)
	{
		rng_init(&rng_, seed);
		for (int i = 0; is_known && i < 20; i++)
			http_return_record_hold(&returns_, kHoldMs);
	}

	// All callers send at 0; each returns as told, a little late, until it
	// is served.
	Outcome
	Play()
	{
		std::multiset<int64_t> arrivals;

		for (int i = 0; i < kCallers; i++)
			arrivals.insert(0);
		while (!arrivals.empty()) {
			int64_t now_ms = *arrivals.begin();

			arrivals.erase(arrivals.begin());
			outcome_.sendings++;
			if (!TryHold(now_ms))
				arrivals.insert(now_ms + ReturnMs(now_ms));
		}
		outcome_.least_ms /= (int64_t)(kLimit / bytes_);
		return (outcome_);
	}

      private:
	bool
	TryHold(int64_t now_ms)
	{
		while (!held_.empty() && held_.begin()->first <= now_ms) {
			http_return_record_hold(
			    &returns_, held_.begin()->second);
			held_.erase(held_.begin());
		}
		if ((held_.size() + 1) * bytes_ > kLimit)
			return (false);
		int64_t hold_ms = (int64_t)((double)kHoldMs *
		    (1 + spread_ * (2 * rng_unit(&rng_) - 1)));
		held_.insert({ now_ms + hold_ms, hold_ms });
		outcome_.least_ms += hold_ms;
		outcome_.last_ms = now_ms + hold_ms;
		return (true);
	}

	int64_t
	ReturnMs(int64_t now_ms)
	{
		return ((int64_t)rng_below(&rng_, kLateMaxMs) +
		    http_return_take_ms(&returns_, now_ms, bytes_, kLimit));
	}

	rng_t rng_;
	http_return_t returns_ = {};
	size_t bytes_;
	double spread_;
	std::multiset<std::pair<int64_t, int64_t>> held_; // end, time of hold
	Outcome outcome_;
};

} // namespace

TEST(HttpReturn, CallersFindRoomOverSeeds)
{
	struct {
		size_t bytes;
		double spread;
		bool is_known;
	} cases[] = {
		{ 10 * kMb, 0, true },
		{ 10 * kMb, 0.2, true },
		{ 10 * kMb, 0.5, true },
		{ 10 * kMb, 0.2, false },
		{ 3 * kMb, 0.5, true },
		{ 30 * kMb, 0, true },
	};

	for (const auto &x : cases)
		for (uint64_t seed = 1; seed <= kSeeds; seed++) {
			Outcome outcome =
			    Memory(seed, x.bytes, x.spread, x.is_known).Play();

			SCOPED_TRACE(testing::Message()
			    << x.bytes / kMb << " MB, spread " << x.spread
			    << ", seed " << seed);
			EXPECT_LE(outcome.sendings, kSendingsMax * kCallers);
			if (x.is_known) {
				EXPECT_LE(outcome.last_ms,
				    2 * outcome.least_ms + kHoldMs);
			}
		}
}

// The wait of one caller, and those of many, stay within bounds.
TEST(HttpReturn, WaitIsBounded)
{
	http_return_t returns = {};
	int64_t last_ms = 0;

	for (int i = 0; i < 1000; i++) {
		int64_t wait_ms =
		    http_return_take_ms(&returns, 0, 2 * kLimit, kLimit);

		EXPECT_GE(wait_ms, last_ms);
		last_ms = wait_ms;
	}
	EXPECT_EQ(last_ms, 30000);
	returns = {};
	http_return_record_hold(&returns, 1);
	EXPECT_EQ(http_return_take_ms(&returns, 0, kMb, kLimit), 200);
}
