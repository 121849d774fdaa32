// Failures guarded against: a target that turned cold counts as warm, or a warm one
// as cold; a late announcement, or one that comes twice, decides; gates are told
// what they know; the permits of a cold target exceed the bound.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "fleet/fleet_warmup.h"
#include "hub/hub_warmup.h"
}

namespace {

const int64_t kStart = 1000000;
const hub_signal_key_t kTarget = { 7, 100 };
const int64_t kMargin = FLEET_WARMUP_MARGIN_MS;
const uint64_t kHere = 1;
const uint64_t kThere = 2;

class HubWarmup : public testing::Test {
      protected:
	HubWarmup() : warmup_(hub_warmup_create(OnChange, this))
	{
	}
	~HubWarmup() override
	{
		hub_warmup_destroy(warmup_);
	}

	static void
	OnChange(void *ctx, const hub_warmup_change_t *change, int64_t)
	{
		static_cast<HubWarmup *>(ctx)->changes_.push_back(*change);
	}

	void
	Announce(uint64_t sequence, uint32_t left_ms, int64_t now_ms,
	    const hub_signal_key_t &key = kTarget, uint64_t data_centre = kHere,
	    int64_t said_ms = INT64_MAX)
	{
		const hub_warmup_report_t report = { key, 5, data_centre,
			sequence, left_ms, said_ms };

		hub_warmup_record(warmup_, &report, now_ms);
	}

	int64_t
	Left(int64_t now_ms, const hub_signal_key_t &key = kTarget)
	{
		return (hub_warmup_get_left_ms(warmup_, &key, now_ms));
	}

	hub_warmup_t *warmup_;
	std::vector<hub_warmup_change_t> changes_;
};

} // namespace

// A target that turns cold again while nothing else changes is not noticed.
TEST_F(HubWarmup, ATargetIsColdUpToTheTimeThatItAnnounces)
{
	Announce(1, 0, kStart);
	EXPECT_EQ(0u, changes_.size());
	Announce(2, 3000, kStart + 1500);
	EXPECT_EQ(3000 + kMargin, Left(kStart + 1500));
	EXPECT_EQ(1, Left(kStart + 4499 + kMargin));
	EXPECT_EQ(0, Left(kStart + 4500 + kMargin));
	ASSERT_EQ(1u, changes_.size());
	EXPECT_FALSE(changes_[0].was_cold);
	EXPECT_EQ(kStart + 4500 + kMargin, changes_[0].until_ms);
	EXPECT_EQ(5u, changes_[0].service);
}

// Each announcement of a cold target has all gates told again.
TEST_F(HubWarmup, GatesAreToldOnlyWhatTheyDoNotKnow)
{
	Announce(1, 3000, kStart);
	Announce(2, 1480, kStart + 1500);
	Announce(3, 250, kStart + 2900);
	/* By now all gates have ended it themselves. */
	Announce(4, 0, kStart + 4400);
	EXPECT_EQ(1u, changes_.size());
}

// The end that is kept is before the one that the target announced last.
TEST_F(HubWarmup, ATargetIsNeverWarmTooEarly)
{
	for (int32_t moved_ms : { -400, -200, -100, 0, 100, 140, 160, 300 }) {
		hub_warmup_reset(warmup_);
		Announce(1, 3000, kStart);
		Announce(2, (uint32_t)(2000 + moved_ms), kStart + 1000);
		EXPECT_GE(Left(kStart + 1000), 2000 + moved_ms) << moved_ms;
	}
}

// A target that stays cold for longer, or becomes warm sooner, is treated by what
// it said first.
TEST_F(HubWarmup, ALaterAnnouncementProlongsAndEnds)
{
	Announce(1, 3000, kStart);
	Announce(2, 3000, kStart + 1500);
	EXPECT_EQ(3000 + kMargin, Left(kStart + 1500));
	Announce(3, 0, kStart + 1600);
	EXPECT_EQ(0, Left(kStart + 1600));
	ASSERT_EQ(3u, changes_.size());
	EXPECT_TRUE(changes_[1].was_cold);
	EXPECT_EQ(0, changes_[2].until_ms);
}

// An announcement that comes late, or twice, makes a target warm or cold.
TEST_F(HubWarmup, AnnouncementsThatComeLateOrTwiceAreIgnored)
{
	Announce(4, 0, kStart);
	Announce(5, 3000, kStart + 1500);
	Announce(4, 0, kStart + 1600);
	EXPECT_EQ(2900 + kMargin, Left(kStart + 1600));
	Announce(5, 3000, kStart + 4700);
	EXPECT_EQ(0, Left(kStart + 4700));
	Announce(6, 3000, kStart + 4700, { 7, 99 });
	EXPECT_EQ(0, Left(kStart + 4700));
}

// A target without a start time restarted cold with a lower sequence, and counted as
// warm.
TEST_F(HubWarmup, WithoutAStartTimeALowerSequenceCounts)
{
	const hub_signal_key_t key = { 7, 0 };

	Announce(50, 0, kStart, key);
	Announce(1, 3000, kStart + 1500, key);
	EXPECT_EQ(3000 + kMargin, Left(kStart + 1500, key));
}

// What an earlier incarnation said holds for the next one.
TEST_F(HubWarmup, ANewIncarnationStartsAnew)
{
	const hub_signal_key_t next = { 7, 101 };

	Announce(9, 60000, kStart);
	Announce(1, 0, kStart + 10, next);
	EXPECT_EQ(0, Left(kStart + 10, next));
	EXPECT_EQ(0, Left(kStart + 10));
	hub_warmup_remove(warmup_, 7);
	hub_warmup_remove(warmup_, 8);
	Announce(2, 1000, kStart + 20, next);
	EXPECT_EQ(1000 + kMargin, Left(kStart + 20, next));
}

// A response ends the time, or one of another incarnation sets it.
TEST_F(HubWarmup, AResponseOnlyProlongs)
{
	hub_warmup_record_response(warmup_, &kTarget, 2000, kStart);
	EXPECT_EQ(0, Left(kStart));
	Announce(1, 0, kStart);
	hub_warmup_record_response(warmup_, &kTarget, 2000, kStart);
	EXPECT_EQ(2000 + kMargin, Left(kStart));
	hub_warmup_record_response(warmup_, &kTarget, 500, kStart);
	EXPECT_EQ(2000 + kMargin, Left(kStart));
	const hub_signal_key_t before = { 7, 99 };
	hub_warmup_record_response(warmup_, &before, 9000, kStart);
	EXPECT_EQ(2000 + kMargin, Left(kStart));
	ASSERT_EQ(1u, changes_.size());
	EXPECT_EQ(HUB_WARMUP_RESPONSE, changes_[0].source);
}

// A time that makes no sense keeps a target cold for ever.
TEST_F(HubWarmup, ATimeIsAnHourAtMost)
{
	Announce(1, UINT32_MAX, kStart);
	EXPECT_EQ(FLEET_WARMUP_MAX_MS + kMargin, Left(kStart));
}

// A new leader takes cold targets for warm ones, or an older state for news.
TEST_F(HubWarmup, ANewLeaderTakesTheTimeOfTheLog)
{
	const hub_warmup_report_t cold = { kTarget, 5, kHere, 4, 3000, 0 };
	const hub_warmup_report_t late = { kTarget, 5, kHere, 2, 9000, 0 };

	hub_warmup_restore(warmup_, &cold, kStart);
	hub_warmup_restore(warmup_, &late, kStart);
	EXPECT_EQ(3000 + kMargin, Left(kStart));
	ASSERT_EQ(1u, changes_.size());
	EXPECT_EQ(HUB_WARMUP_REPLICATED, changes_[0].source);
	/* What the leader before had heard. */
	Announce(4, 0, kStart + 100);
	EXPECT_EQ(2900 + kMargin, Left(kStart + 100));
	Announce(5, 0, kStart + 200);
	EXPECT_EQ(0, Left(kStart + 200));
	hub_warmup_reset(warmup_);
	Announce(1, 0, kStart + 300);
	EXPECT_EQ(0, Left(kStart + 300));
}

// The targets of a data centre that comes back get all requests at once; or they
// stay cold although they said that they are warm.
TEST_F(HubWarmup, ASuspectedDataCentreIsColdUntilItsTargetsAnnounceThemselves)
{
	const hub_signal_key_t other = { 8, 1 };
	const hub_signal_key_t there = { 9, 1 };

	Announce(1, 0, kStart);
	Announce(1, 0, kStart, other);
	Announce(1, 0, kStart, there, kThere);
	EXPECT_EQ(2u, hub_warmup_suspect(warmup_, kHere, kStart));
	EXPECT_GT(Left(kStart), 0);
	EXPECT_EQ(0, Left(kStart, there));
	/* Said before, received later. */
	Announce(1, 0, kStart + 10);
	EXPECT_GT(Left(kStart + 10), 0);
	Announce(2, 0, kStart + 20);
	EXPECT_EQ(0, Left(kStart + 20));
	for (int64_t now = kStart + 20; now < kStart + 20000; now += 50) {
		EXPECT_EQ(1u, hub_warmup_tick(warmup_, now));
		EXPECT_GT(Left(now, other), 0);
	}
	/* The gates know each prolongation before their time is over. */
	for (size_t i = 3; i < changes_.size(); i++)
		EXPECT_TRUE(changes_[i].was_cold);
	Announce(2, 2000, kStart + 20000, other);
	EXPECT_EQ(2000 + kMargin, Left(kStart + 20000, other));
	EXPECT_EQ(0u, hub_warmup_tick(warmup_, kStart + 22000 + kMargin));
}

// A hub told late what a target had said before the suspicion, and the target, which
// was cold by then, counted as warm.
TEST_F(HubWarmup, OnlyWhatATargetSaysAfterTheSuspicionEndsIt)
{
	Announce(1, 0, kStart);
	hub_warmup_suspect(warmup_, kHere, kStart + 100);
	Announce(2, 0, kStart + 200, kTarget, kHere, kStart + 99);
	Announce(2, 200, kStart + 200, kTarget, kHere, kStart + 99);
	EXPECT_GT(Left(kStart + 2000), 0);
	/* Prolonging it makes no suspicion newer. */
	hub_warmup_tick(warmup_, kStart + 3500);
	EXPECT_GT(Left(kStart + 3500), HUB_WARMUP_PROLONG_MS);
	Announce(2, 0, kStart + 3600, kTarget, kHere, kStart + 100);
	EXPECT_EQ(0, Left(kStart + 3600));
}

// The hub that leads next takes the targets of a suspected data centre for warm; or
// it suspects them for ever.
TEST_F(HubWarmup, ANewLeaderSuspectsTheSameDataCentres)
{
	const hub_warmup_report_t here = { kTarget, 5, kHere, 4, 0, 0 };
	const hub_warmup_report_t there = { { 9, 1 }, 5, kThere, 4, 0, 0 };

	/* A follower has no targets. */
	for (uint64_t i = 100; i < 300; i++)
		hub_warmup_suspect(warmup_, i, kStart - 1000);
	EXPECT_EQ(0u, hub_warmup_suspect(warmup_, kHere, kStart));
	EXPECT_EQ(0u, hub_warmup_suspect(warmup_, kHere, kStart + 1));
	hub_warmup_reset(warmup_);
	hub_warmup_restore(warmup_, &here, kStart + 2000);
	hub_warmup_restore(warmup_, &there, kStart + 2000);
	EXPECT_GT(Left(kStart + 2000), 0);
	EXPECT_EQ(0, Left(kStart + 2000, there.key));
	/* The permits of the leader before may still be used. */
	ASSERT_EQ(1u, changes_.size());
	EXPECT_EQ(HUB_WARMUP_REPLICATED, changes_[0].source);
	Announce(5, 0, kStart + 2100);
	EXPECT_EQ(0, Left(kStart + 2100));
	hub_warmup_reset(warmup_);
	hub_warmup_restore(
	    warmup_, &here, kStart + 1 + HUB_WARMUP_SUSPECT_KEEP_MS);
	EXPECT_EQ(0, Left(kStart + 1 + HUB_WARMUP_SUSPECT_KEEP_MS));
}

// What a service tolerates changes, and its cold targets keep their permits.
TEST_F(HubWarmup, ColdTargetsAreReportedAgain)
{
	Announce(1, 3000, kStart);
	Announce(1, 0, kStart, { 8, 1 });
	changes_.clear();
	hub_warmup_report_cold(warmup_, kStart + 10);
	ASSERT_EQ(1u, changes_.size());
	EXPECT_TRUE(changes_[0].was_cold);
	EXPECT_EQ(kStart + 3000 + kMargin, changes_[0].until_ms);
}

// The permits of a second, those used late and the gates without a leader exceed
// the bound together; or a target gets more than it tolerates.
TEST(HubWarmupRate, AllPartsTogetherStayWithinTheBound)
{
	for (double per_s : { 0.5, 2.0, 5.8, 20.0, 300.0 }) {
		for (double overshoot : { 1.0, 1.5, 2.0 }) {
			for (double slack : { 0.0, 8.0, 20.0 }) {
				double bound = per_s * overshoot + slack;
				double rate = hub_warmup_get_rate_per_s(
				    per_s, overshoot, slack);

				EXPECT_GE(rate, HUB_LIMIT_MIN_PER_S);
				EXPECT_LE(rate, per_s);
				if (bound < 10)
					continue;
				EXPECT_LE(HUB_WARMUP_BURST +
					HUB_WARMUP_ALONE_BURST +
					rate *
					    (1.25 + FLEET_WARMUP_ALONE_SHARE),
				    bound + 1e-9)
				    << per_s << " " << overshoot << " "
				    << slack;
			}
		}
	}
	EXPECT_DOUBLE_EQ(5.8, hub_warmup_get_rate_per_s(5.8, 1.5, 8));
	EXPECT_LT(hub_warmup_get_rate_per_s(0, 1.5, 8), 0);
	EXPECT_LT(hub_warmup_get_rate_per_s(5.8, 0, 8), 0);
}
