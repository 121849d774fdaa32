// Failures guarded against: a broken target stays in use; a target that works
// is ejected for one error; ejections leave too little of a service; a dead
// target comes back because others are worse.
#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "base/error.h"
#include "hub/hub_judge.h"
}

namespace {

const uint64_t kService = 1;

class HubJudge : public testing::Test {
      protected:
	HubJudge() : judge_(hub_judge_create(OnVerdict, this))
	{
	}

	~HubJudge() override
	{
		hub_judge_destroy(judge_);
	}

	static void
	OnVerdict(void *ctx, uint64_t target, fleet_verdict_t verdict,
	    const char *reason)
	{
		(void)verdict;
		static_cast<HubJudge *>(ctx)->reasons_[target] = reason;
	}

	void
	AddTargets(uint64_t count)
	{
		for (uint64_t key = 1; key <= count; key++)
			hub_judge_add(judge_, key, kService, 1);
		AnnounceAll(count);
	}

	void
	AnnounceAll(uint64_t count)
	{
		for (uint64_t key = 1; key <= count; key++)
			hub_judge_note_announced(judge_, key, now_);
	}

	void
	Note(uint64_t target, fleet_evidence_t kind, node_id_t gate = 1,
	    int is_trial = 0)
	{
		hub_evidence_t evidence = {};

		evidence.target = target;
		evidence.gate = gate;
		evidence.kind = kind;
		evidence.is_trial = is_trial;
		hub_judge_note(judge_, &evidence, now_);
	}

	/* Passes time in which all targets announce themselves. */
	void
	Pass(int64_t ms, uint64_t count)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += 100) {
			AnnounceAll(count);
			hub_judge_tick(judge_, now_);
		}
	}

	fleet_verdict_t
	Get(uint64_t target) const
	{
		return (hub_judge_get(judge_, target));
	}

	uint64_t
	CountGood(uint64_t count) const
	{
		uint64_t good = 0;

		for (uint64_t key = 1; key <= count; key++)
			good += Get(key) == FLEET_VERDICT_GOOD;
		return (good);
	}

	hub_judge_t *judge_;
	int64_t now_ = 1000000;
	std::map<uint64_t, std::string> reasons_;
};

} // namespace

TEST_F(HubJudge, EjectsOnTheFirstBrokenConnection)
{
	AddTargets(8);
	Note(3, FLEET_EVIDENCE_BROKEN);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
	EXPECT_EQ("connection broken", reasons_[3]);
	EXPECT_EQ(7u, CountGood(8));
}

TEST_F(HubJudge, OneErrorIsNoReason)
{
	AddTargets(8);
	for (int i = 0; i < 20; i++) {
		Note(3, FLEET_EVIDENCE_ERROR);
		hub_judge_note_good(judge_, 3, 4, now_);
		now_ += 1000;
	}
	EXPECT_EQ(FLEET_VERDICT_GOOD, Get(3));
	Note(3, FLEET_EVIDENCE_ERROR);
	Note(3, FLEET_EVIDENCE_ERROR);
	Note(3, FLEET_EVIDENCE_ERROR);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
}

TEST_F(HubJudge, UnreachableFromOneGateIsThatGatesMatter)
{
	AddTargets(8);
	for (int i = 0; i < 5; i++) {
		Note(3, FLEET_EVIDENCE_UNREACHABLE, 9);
		now_ += 100;
	}
	EXPECT_EQ(FLEET_VERDICT_GOOD, Get(3));
	Note(3, FLEET_EVIDENCE_UNREACHABLE, 10);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
}

// Repeatable requests try an ejected target after a second; others wait until
// most faults have passed.
TEST_F(HubJudge, TrialsStartWithRepeatableRequests)
{
	AddTargets(8);
	Note(3, FLEET_EVIDENCE_BROKEN);
	Pass(900, 8);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
	Pass(300, 8);
	EXPECT_EQ(FLEET_VERDICT_TRIAL_SAFE, Get(3));
	EXPECT_TRUE(hub_judge_ask_trial(judge_, 3, 9, now_));
	EXPECT_FALSE(hub_judge_ask_trial(judge_, 3, 10, now_));
	Note(3, FLEET_EVIDENCE_BROKEN, 9, 1);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
	Pass(8000, 8);
	EXPECT_EQ(FLEET_VERDICT_TRIAL, Get(3));
	/* A target that breaks most requests lets one pass now and then. */
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(FLEET_VERDICT_TRIAL, Get(3));
		EXPECT_TRUE(hub_judge_ask_trial(judge_, 3, 9, now_));
		Note(3, FLEET_EVIDENCE_GOOD, 9, 1);
	}
	EXPECT_EQ(FLEET_VERDICT_GOOD, Get(3));
}

TEST_F(HubJudge, AGateThatWasNotGrantedATrialDecidesNothing)
{
	AddTargets(8);
	Note(3, FLEET_EVIDENCE_BROKEN);
	Pass(1200, 8);
	ASSERT_TRUE(hub_judge_ask_trial(judge_, 3, 9, now_));
	Note(3, FLEET_EVIDENCE_GOOD, 10, 1);
	EXPECT_EQ(FLEET_VERDICT_TRIAL_SAFE, Get(3));
}

TEST_F(HubJudge, ATrialWithoutAResultIsGivenToAnother)
{
	AddTargets(8);
	Note(3, FLEET_EVIDENCE_BROKEN);
	Pass(1200, 8);
	ASSERT_TRUE(hub_judge_ask_trial(judge_, 3, 9, now_));
	Pass(4200, 8);
	EXPECT_TRUE(hub_judge_ask_trial(judge_, 3, 10, now_));
}

// Error responses may come from the requests: a share of the service stays in
// use.
TEST_F(HubJudge, ErrorsLeaveAShareOfTheService)
{
	AddTargets(10);
	for (uint64_t key = 1; key <= 10; key++) {
		for (int i = 0; i < 3; i++)
			Note(key, FLEET_EVIDENCE_ERROR);
		now_ += 10;
	}
	EXPECT_EQ(4u, CountGood(10));
}

// mwamba-gw, inc-6dcd: four of six targets broke their connections. To keep a
// third in use each one that was ejected brought another one back at once: 165
// requests were lost, most of them within half a second after a return.
TEST_F(HubJudge, ABrokenTargetDoesNotBringAnotherOneBack)
{
	AddTargets(6);
	for (int round = 0; round < 20; round++) {
		for (uint64_t key = 1; key <= 4; key++) {
			if (Get(key) == FLEET_VERDICT_GOOD)
				Note(key, FLEET_EVIDENCE_BROKEN);
			ASSERT_NE(FLEET_VERDICT_GOOD, Get(key)) << round;
		}
		Pass(50, 6);
	}
	EXPECT_EQ(2u, CountGood(6));
	/* They are tried all the same, after a rest. */
	Pass(1500, 6);
	EXPECT_EQ(FLEET_VERDICT_TRIAL, Get(1));
}

TEST_F(HubJudge, OneTrialIsEnoughWhileTooFewAreGood)
{
	AddTargets(6);
	for (uint64_t key = 1; key <= 5; key++)
		Note(key, FLEET_EVIDENCE_BROKEN);
	Pass(1500, 6);
	ASSERT_TRUE(hub_judge_ask_trial(judge_, 1, 7, now_));
	Note(1, FLEET_EVIDENCE_GOOD, 7, 1);
	EXPECT_EQ(FLEET_VERDICT_GOOD, Get(1));
}

// mwamba-gw, scale-1: the target out for longest was dead.
TEST_F(HubJudge, ADeadTargetMakesNoRoomAndDoesNotComeBack)
{
	AddTargets(5);
	for (int i = 0; i < 60; i++) {
		AnnounceAll(4);
		hub_judge_tick(judge_, now_);
		now_ += 100;
	}
	EXPECT_NE(FLEET_VERDICT_GOOD, Get(5));
	for (uint64_t key = 1; key <= 4; key++) {
		for (int i = 0; i < 3; i++)
			Note(key, FLEET_EVIDENCE_ERROR);
	}
	EXPECT_NE(FLEET_VERDICT_GOOD, Get(5));
	EXPECT_GE(CountGood(4), 2u);
}

// Cut off from the hubs, but not from the gates.
TEST_F(HubJudge, ASilentTargetThatAnswersStaysInUse)
{
	AddTargets(4);
	for (int i = 0; i < 100; i++) {
		AnnounceAll(3);
		hub_judge_note_good(judge_, 4, 1, now_);
		hub_judge_tick(judge_, now_);
		now_ += 100;
	}
	EXPECT_EQ(FLEET_VERDICT_GOOD, Get(4));
}

TEST_F(HubJudge, StallsOfManyTargetsAreTheLoad)
{
	AddTargets(10);
	for (int round = 0; round < 5; round++) {
		for (uint64_t key = 1; key <= 10; key++)
			Note(key, FLEET_EVIDENCE_STALL, key);
		now_ += 500;
	}
	EXPECT_GE(CountGood(10), 6u);
	hub_judge_reset(judge_);
	AddTargets(10);
	Note(3, FLEET_EVIDENCE_STALL, 1);
	Note(3, FLEET_EVIDENCE_STALL, 2);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
}

// mwamba-gw-grown, trouble-1: 7 of 16 targets of a service got nothing for 2 s
// while a tenth of it was not served. Those that rested longest are tried.
TEST_F(HubJudge, NoLargePartOfAServiceStaysUnused)
{
	AddTargets(10);
	for (uint64_t key = 1; key <= 5; key++) {
		Note(key, FLEET_EVIDENCE_BROKEN);
		now_ += 10;
	}
	Pass(1500, 10);
	for (uint64_t key = 1; key <= 5; key++)
		EXPECT_EQ(
		    key <= 3 ? FLEET_VERDICT_TRIAL : FLEET_VERDICT_TRIAL_SAFE,
		    Get(key))
		    << key;
}

// A new leader without the verdicts lost a request at each bad target.
TEST_F(HubJudge, EjectionsOutliveTheLeader)
{
	uint64_t ejected[8];

	AddTargets(8);
	Note(3, FLEET_EVIDENCE_BROKEN);
	ASSERT_EQ(1u, hub_judge_list_ejected(judge_, ejected, 8));
	hub_judge_reset(judge_);
	AddTargets(8);
	EXPECT_EQ(FLEET_VERDICT_GOOD, Get(3));
	hub_judge_restore(judge_, ejected[0], now_);
	hub_judge_restore(judge_, 99, now_);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
	Pass(1200, 8);
	EXPECT_EQ(FLEET_VERDICT_TRIAL_SAFE, Get(3));
}

TEST_F(HubJudge, ANewIncarnationStartsAfresh)
{
	AddTargets(8);
	Note(3, FLEET_EVIDENCE_BROKEN);
	hub_judge_add(judge_, 3, kService, 1);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, Get(3));
	hub_judge_add(judge_, 3, kService, 2);
	EXPECT_EQ(FLEET_VERDICT_GOOD, Get(3));
}
