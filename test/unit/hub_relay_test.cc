// Failures guarded against: the leader answers all announcements of a large fleet
// itself; a hub acknowledges what the leader has not confirmed, or revives a
// target that has deregistered; a target counts as lost while it announces itself.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "hub_relay_model.h"

/* A fleet after it has registered all targets and has settled. */
static void
Settle(Fleet *fleet)
{
	fleet->Run(9000);
	fleet->ResetCounts();
}

class RelaySizes : public testing::TestWithParam<std::pair<int, int>> {};

// The leader answered 2,000 calls/s of 3,000 targets, while all other hubs idled.
TEST_P(RelaySizes, LeaderIsSparedAndTargetsAreSpreadEvenly)
{
	const int hubs = GetParam().first;
	const int targets = GetParam().second;
	const double mean = (double)targets / (hubs - 1);
	Fleet fleet(hubs, targets);

	Settle(&fleet);
	fleet.Run(9000);
	std::vector<int> counts = fleet.CountByHub();
	const Fleet::Hub &leader = *fleet.hubs_[0];
	printf("%2d hubs, %4d targets: leader %.1f calls/s, %.0f messages/s, "
	       "%.0f bytes/s; targets of a hub %d to %d; silent %lld ms\n",
	    hubs, targets, (double)leader.calls / 9,
	    (double)leader.messages / 9, (double)leader.bytes / 9,
	    *std::min_element(counts.begin() + 1, counts.end()),
	    *std::max_element(counts.begin() + 1, counts.end()),
	    (long long)fleet.silent_ms_);
	EXPECT_EQ(0U, leader.calls);
	EXPECT_EQ(0, counts[0]);
	/* One batch of each hub in 250 ms. */
	EXPECT_LE(leader.messages, 9U * 4 * (unsigned)hubs);
	for (int i = 1; i < hubs; i++)
		EXPECT_NEAR(mean, counts[(size_t)i], 4 * std::sqrt(mean) + 1);
	EXPECT_LT(fleet.silent_ms_, kTargetTimeoutMs / 2);
}

INSTANTIATE_TEST_SUITE_P(Fleets, RelaySizes,
    testing::Values(std::make_pair(5, 300), std::make_pair(15, 1000),
	std::make_pair(15, 3000), std::make_pair(40, 3000)));

// Shows what the model measures with the targets at the leader, as before.
TEST(HubRelay, WithoutSpreadingTheLeaderGetsAllCalls)
{
	Fleet fleet(15, 3000, 0, false);

	Settle(&fleet);
	fleet.Run(9000);
	EXPECT_NEAR(2000, (double)fleet.hubs_[0]->calls / 9, 20);
}

// All targets moved, or a target counted as lost, when one hub was lost.
TEST(HubRelay, OnlyTargetsOfALostHubMove)
{
	Fleet fleet(15, 1000);

	Settle(&fleet);
	int lost = fleet.CountByHub()[4];
	fleet.hubs_[4]->is_down = true;
	fleet.Run(6000);
	int moved =
	    (int)std::count_if(fleet.targets_.begin(), fleet.targets_.end(),
		[](const Target &t) { return (t.moves > 0); });
	EXPECT_GT(lost, 0);
	EXPECT_EQ(lost, moved);
	EXPECT_LT(fleet.silent_ms_, kTargetTimeoutMs);
}

// Lost messages made targets count as lost.
TEST(HubRelay, LostBatchesLoseNoTarget)
{
	Fleet fleet(15, 1000);

	fleet.lost_permille_ = 100;
	Settle(&fleet);
	fleet.Run(20000);
	printf("one message in ten lost: silent %lld ms\n",
	    (long long)fleet.silent_ms_);
	EXPECT_LT(fleet.silent_ms_, kTargetTimeoutMs);
}

// Targets were lost, or hubs went on by themselves, when the leader was lost.
TEST(HubRelay, NewLeaderConfirmsAllTargets)
{
	Fleet fleet(15, 1000);

	Settle(&fleet);
	fleet.hubs_[0]->is_down = true;
	fleet.Run(300);
	fleet.SetLeader(-1);
	uint64_t answered = 0;
	for (auto &hub : fleet.hubs_)
		answered += hub_relay_get_stats(hub->relay)->answered;
	fleet.Run(700);
	for (auto &hub : fleet.hubs_)
		answered -= hub_relay_get_stats(hub->relay)->answered;
	EXPECT_EQ(0U, answered);
	fleet.SetLeader(1);
	fleet.ResetCounts();
	fleet.Run(4000);
	printf("leader lost: %llu messages at the new one in 4 s\n",
	    (unsigned long long)fleet.hubs_[1]->messages);
	EXPECT_LT(fleet.silent_ms_, kTargetTimeoutMs);
	for (const Target &target : fleet.targets_)
		EXPECT_LT(fleet.now_ - target.acked_ms, 2 * kIntervalMs);
}

/* Draining of a target at another hub than its own. @return 1 if it is committed
 * when that hub, which acknowledges it, dies at once */
static int
DrainAtDyingHub(uint32_t switches)
{
	Fleet fleet(5, 300, switches);
	int is_acked = 0;
	fleet_target_state_t state = FLEET_TARGET_READY;

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	target.due_ms = INT64_MAX;
	int at = 1 + target.home % 4;
	target.as.state = FLEET_TARGET_DRAINING;
	target.as.sequence++;
	fleet.Call(at, target.as, false, [&](int err) {
		is_acked = err == TM_OK;
		state = fleet.GetState("t7");
		fleet.hubs_[(size_t)at]->is_down = true;
	});
	fleet.Run(2000);
	EXPECT_EQ(1, is_acked);
	return (state == FLEET_TARGET_DRAINING);
}

// A hub acknowledged draining, died, and nobody knew of it.
TEST(HubRelay, AcknowledgedDrainingOutlivesItsHub)
{
	EXPECT_EQ(1, DrainAtDyingHub(0));
	EXPECT_EQ(0, DrainAtDyingHub(HUB_RELAY_TEST_PASS_NONE));
}

// Draining was acknowledged although the leader was lost before it was committed;
// or the target could not repeat it at the next leader.
TEST(HubRelay, LeaderChangesHalfway)
{
	Fleet fleet(5, 300);
	int first = TM_OK;
	int second = TM_ETIMEDOUT;

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	target.due_ms = INT64_MAX;
	target.as.state = FLEET_TARGET_DRAINING;
	target.as.sequence++;
	fleet.Call(2, target.as, false, [&](int outcome) { first = outcome; });
	/* The leader has it, but does not commit it any more. */
	fleet.Run(20);
	fleet.hubs_[0]->is_down = true;
	fleet.SetLeader(1);
	EXPECT_EQ(TM_ENOTLEADER, first);
	EXPECT_EQ(FLEET_TARGET_READY, fleet.GetState("t7"));
	fleet.Run(1000);
	target.as.sequence++;
	fleet.Call(3, target.as, false, [&](int outcome) { second = outcome; });
	fleet.Run(1000);
	EXPECT_EQ(TM_OK, second);
	EXPECT_EQ(FLEET_TARGET_DRAINING, fleet.GetState("t7"));
}

// A deregistration whose answer was lost could not be repeated, or revived.
TEST(HubRelay, DecisionIsLostOnItsWayBack)
{
	Fleet fleet(5, 300);
	int first = TM_OK;
	int second = TM_ETIMEDOUT;

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	dialect_announcement_t late = target.as;
	target.due_ms = INT64_MAX;
	fleet.Call(2, target.as, true, [&](int outcome) { first = outcome; });
	fleet.Run(20);
	fleet.hubs_[2]->is_cut = true;
	fleet.Run(1500);
	EXPECT_EQ(TM_ETIMEDOUT, first);
	EXPECT_EQ(FLEET_TARGET_DEREGISTERED, fleet.GetState("t7"));
	fleet.Call(3, target.as, true, [&](int outcome) { second = outcome; });
	late.sequence++;
	fleet.Call(4, late, false, [](int) {});
	fleet.Run(1000);
	EXPECT_EQ(TM_OK, second);
	EXPECT_EQ(FLEET_TARGET_DEREGISTERED, fleet.GetState("t7"));
}

/* A target deregisters at one hub; its announcement of before comes late to the
 * hub that knows it. @return 1 if that hub answers by itself */
static int
AnswersLateAnnouncement(uint32_t switches)
{
	Fleet fleet(5, 300, switches);
	dialect_announcement_t late;
	int home;

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	target.due_ms = INT64_MAX;
	home = target.home;
	late = target.as;
	late.sequence++;
	int is_acked = 0;
	fleet.Call(1 + home % 4, target.as, true,
	    [&](int err) { is_acked = err == TM_OK; });
	fleet.Run(1000);
	EXPECT_EQ(1, is_acked);
	EXPECT_EQ(FLEET_TARGET_DEREGISTERED, fleet.GetState("t7"));
	int is_answered = hub_relay_decide(fleet.hubs_[(size_t)home]->relay,
			      &late, fleet.now_) == HUB_RELAY_ANSWER;
	for (int at = 0; at < 5; at++) {
		for (int repeat = 0; repeat < 2; repeat++)
			fleet.Call(at, late, false, [](int) {});
	}
	fleet.Run(2000);
	EXPECT_EQ(FLEET_TARGET_DEREGISTERED, fleet.GetState("t7"));
	return (is_answered);
}

// A hub went on to acknowledge a target that had deregistered at another one, or a
// late announcement revived it.
TEST(HubRelay, DeregisteredTargetIsNotRevived)
{
	EXPECT_EQ(0, AnswersLateAnnouncement(0));
	EXPECT_EQ(1, AnswersLateAnnouncement(HUB_RELAY_TEST_NO_CHANGES));
}

// An announcement that was held up, and is older than one answered by another hub,
// changed the state of its target.
TEST(HubRelay, OlderAnnouncementChangesNothing)
{
	Fleet fleet(5, 300);

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	dialect_announcement_t late = target.as;
	late.state = FLEET_TARGET_DRAINING;
	late.sequence = ++target.as.sequence;
	target.as.sequence++;
	EXPECT_EQ(HUB_RELAY_ANSWER,
	    hub_relay_decide(fleet.hubs_[(size_t)target.home]->relay,
		&target.as, fleet.now_));
	fleet.Run(HUB_RELAY_BATCH_MS + 50);
	for (int at = 0; at < 5; at++)
		fleet.Call(at, late, false, [](int) {});
	fleet.Run(1000);
	EXPECT_EQ(FLEET_TARGET_READY, fleet.GetState("t7"));
}

// A target went back to ready at one hub; another one took its draining for a
// repetition.
TEST(HubRelay, DrainingIsNeverAnsweredFromMemory)
{
	Fleet fleet(5, 300);

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	target.due_ms = INT64_MAX;
	target.as.state = FLEET_TARGET_DRAINING;
	for (int at : { 1, 2, 1, 2 }) {
		target.as.sequence++;
		EXPECT_EQ(HUB_RELAY_PASS,
		    hub_relay_decide(fleet.hubs_[(size_t)at]->relay, &target.as,
			fleet.now_));
		fleet.Call(at, target.as, false, [](int) {});
		fleet.Run(200);
		EXPECT_EQ(FLEET_TARGET_DRAINING, fleet.GetState("t7"));
	}
}

// An announcement that turns a target cold, or changes its address, was answered
// without the leader.
TEST(HubRelay, OnlyRepetitionsAreAnswered)
{
	Fleet fleet(5, 300);

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	hub_relay_t *relay = fleet.hubs_[(size_t)target.home]->relay;
	target.as.sequence++;
	EXPECT_EQ(
	    HUB_RELAY_ANSWER, hub_relay_decide(relay, &target.as, fleet.now_));
	dialect_announcement_t other = target.as;
	other.cold_left_ms = 3000;
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &other, fleet.now_));
	other = target.as;
	other.port++;
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &other, fleet.now_));
	other = target.as;
	other.slots++;
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &other, fleet.now_));
	other = target.as;
	other.born_ms++;
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &other, fleet.now_));
	snprintf(other.service, sizeof(other.service), "s2");
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &other, fleet.now_));
}

// Another writer had announced the id before, with a later start and a service that
// the document does not name: the hub answered the target without the leader.
TEST(HubRelay, WhichServiceHasAnIdIsForTheLeader)
{
	Fleet fleet(5, 300);

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	hub_relay_t *relay = fleet.hubs_[(size_t)target.home]->relay;
	dialect_announcement_t other = target.as;
	snprintf(other.service, sizeof(other.service), "s2");
	other.born_ms--;
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &other, fleet.now_));
	other = target.as;
	other.born_ms--;
	EXPECT_EQ(
	    HUB_RELAY_ANSWER, hub_relay_decide(relay, &other, fleet.now_));
}

// The leader took an announcement that it was told of late for a newer one.
TEST(HubRelay, LeaderIsNotToldALaterTimeOfAnAnnouncement)
{
	Fleet fleet(5, 300);

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	Fleet::Hub *hub = fleet.hubs_[(size_t)target.home].get();
	uint64_t key = fleet_name_hash(target.as.id);
	target.due_ms = INT64_MAX;
	dialect_announcement_t other = fleet.targets_[8].as;
	fleet.targets_[8].due_ms = INT64_MAX;
	for (int offset_ms = 0; offset_ms < 100; offset_ms += 5) {
		/* Its confirmation brings a later time of the leader. */
		other.sequence++;
		other.slots++;
		fleet.Call(target.home, other, false, [](int) {});
		fleet.Run(offset_ms);
		int64_t said_ms = fleet.now_;
		target.as.sequence++;
		ASSERT_EQ(HUB_RELAY_ANSWER,
		    hub_relay_decide(hub->relay, &target.as, fleet.now_));
		fleet.Run(2 * HUB_RELAY_BATCH_MS);
		EXPECT_LE(fleet.said_ms_[key], said_ms);
		EXPECT_GT(fleet.said_ms_[key], said_ms - kIntervalMs);
	}
}

// A target without a start time restarted with lower sequences, and its draining
// was acknowledged without the leader.
TEST(HubRelay, WithoutAStartTimeALowerSequenceIsPassedOn)
{
	Fleet fleet(5, 300);

	Settle(&fleet);
	hub_relay_t *relay = fleet.hubs_[1]->relay;
	dialect_announcement_t as = fleet.targets_[7].as;
	snprintf(as.id, sizeof(as.id), "restarted");
	as.born_ms = 0;
	as.port++;
	as.sequence = 50;
	fleet.Call(1, as, false, [](int) {});
	fleet.Run(200);
	as.sequence = 51;
	EXPECT_EQ(HUB_RELAY_ANSWER, hub_relay_decide(relay, &as, fleet.now_));
	as.sequence = 1;
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &as, fleet.now_));
	as.state = FLEET_TARGET_DRAINING;
	EXPECT_EQ(HUB_RELAY_PASS, hub_relay_decide(relay, &as, fleet.now_));
}

/* @return 1 if a hub that is cut off from the leader for 2 s answers */
static int
AnswersWhenCutOff(uint32_t switches)
{
	Fleet fleet(5, 300, switches);

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	Fleet::Hub *hub = fleet.hubs_[(size_t)target.home].get();
	target.due_ms = INT64_MAX;
	target.as.sequence++;
	hub->is_cut = true;
	fleet.Run(2000);
	return (hub_relay_decide(hub->relay, &target.as, fleet.now_) ==
	    HUB_RELAY_ANSWER);
}

// A hub that is cut off from the leader went on to acknowledge.
TEST(HubRelay, HubThatIsCutOffRefuses)
{
	EXPECT_EQ(0, AnswersWhenCutOff(0));
	EXPECT_EQ(1, AnswersWhenCutOff(HUB_RELAY_TEST_NO_LEASE));
}

/* A hub is frozen for so long that the leader no longer knows a target that has
 * deregistered meanwhile. An announcement of before is read there right after the
 * hub's first answer of the leader. @return 1 if the target is registered again */
static int
RevivesAfterFreeze(uint32_t switches)
{
	Fleet fleet(5, 300, switches);
	size_t len;

	Settle(&fleet);
	Target &target = fleet.targets_[7];
	Fleet::Hub *hub = fleet.hubs_[(size_t)target.home].get();
	dialect_announcement_t late = target.as;
	late.sequence++;
	target.due_ms = INT64_MAX;
	hub->is_down = true;
	fleet.Call(target.home == 1 ? 2 : 1, target.as, true, [](int) {});
	fleet.Run(70000);
	uint8_t *bytes = hub_entry_encode_expired_target(&late, &len);
	hub_changed_targets_t changed;
	hub_state_apply(fleet.state_, bytes, len, &changed);
	free(bytes);
	EXPECT_EQ(nullptr,
	    hub_state_find_target(fleet.state_, fleet_name_hash("t7")));
	hub->is_down = false;
	fleet.Call(hub->index, late, false, [](int) {});
	fleet.Run(50);
	fleet.Call(hub->index, late, false, [](int) {});
	fleet.Run(2000);
	return (fleet.GetState("t7") == FLEET_TARGET_READY);
}

// A hub that had been frozen passed on an old announcement, which revived a target
// that had deregistered.
TEST(HubRelay, FrozenHubRevivesNoTarget)
{
	EXPECT_EQ(0, RevivesAfterFreeze(0));
	EXPECT_EQ(1, RevivesAfterFreeze(HUB_RELAY_TEST_NO_SETTLING));
}

// A message that was held up for long passed on an announcement of a target that
// the leader had forgotten.
TEST(HubRelay, LeaderRefusesWhatWasHeldUp)
{
	Tm__Fleet__Relay msg = TM__FLEET__RELAY__INIT;

	msg.term = 5;
	msg.leader_ms = 1000;
	EXPECT_FALSE(hub_announce_is_late(&msg, 5, 1500));
	EXPECT_TRUE(
	    hub_announce_is_late(&msg, 5, 1001 + HUB_PASSED_MAX_AGE_MS));
	EXPECT_TRUE(hub_announce_is_late(&msg, 6, 1500));
}

// A decision for an earlier process of a hub acknowledged another announcement; a
// slow leader held callers for longer than they wait.
TEST(HubRelay, PassedAnnouncementEndsInTime)
{
	Fleet fleet(3, 0);
	int err = TM_OK;
	int64_t ended_ms = 0;

	fleet.Run(1500);
	fleet.hubs_[0]->is_cut = true;
	int64_t start_ms = fleet.now_;
	fleet.Call(1, Fleet::Announce("a", 100, 1), false, [&](int outcome) {
		err = outcome;
		ended_ms = fleet.now_;
	});
	fleet.Run(1500);
	EXPECT_EQ(TM_ETIMEDOUT, err);
	EXPECT_LE(ended_ms - start_ms, HUB_RELAY_PASS_MAX_MS + kStepMs);
	EXPECT_EQ(1U, hub_relay_get_stats(fleet.hubs_[1]->relay)->unanswered);
}

// A list that does not reach back far enough left out changes.
TEST(HubAnnounce, ListOfChangesSaysWhereItBegins)
{
	hub_changes_t changes = {};
	std::vector<uint64_t> keys(HUB_CHANGES_MAX);
	uint64_t since = 0;

	for (uint64_t i = 1; i <= HUB_CHANGES_MAX; i++)
		hub_changes_add(&changes, i);
	EXPECT_EQ((size_t)HUB_CHANGES_MAX,
	    hub_changes_list(&changes, &since, keys.data()));
	EXPECT_EQ(0U, since);
	EXPECT_EQ(1U, keys[0]);
	hub_changes_add(&changes, 7);
	EXPECT_EQ(0U, hub_changes_list(&changes, &since, keys.data()));
	EXPECT_EQ((uint64_t)HUB_CHANGES_MAX + 1, since);
	since = HUB_CHANGES_MAX;
	EXPECT_EQ(1U, hub_changes_list(&changes, &since, keys.data()));
	EXPECT_EQ(7U, keys[0]);
	since = UINT64_MAX;
	EXPECT_EQ(0U, hub_changes_list(&changes, &since, keys.data()));
	EXPECT_EQ((uint64_t)HUB_CHANGES_MAX + 1, since);
}

// Targets were sent back and forth at the number from which they are spread; in a
// fleet of two hubs nobody took them.
TEST(HubAnnounce, SpreadingBeginsWithManyTargets)
{
	const char *hubs[] = { "10.0.0.1", "10.0.0.2" };

	EXPECT_FALSE(hub_announce_is_spread(0, HUB_SPREAD_MIN - 1));
	EXPECT_TRUE(hub_announce_is_spread(0, HUB_SPREAD_MIN));
	EXPECT_TRUE(hub_announce_is_spread(1, HUB_SPREAD_MIN - 1));
	EXPECT_FALSE(hub_announce_is_spread(1, HUB_SPREAD_END - 1));
	std::set<std::string> chosen;
	for (uint64_t key = 0; key < 50; key++)
		chosen.insert(hub_announce_choose(hubs, 2, "10.0.0.1", key));
	EXPECT_EQ(2U, chosen.size());
	EXPECT_EQ(nullptr, hub_announce_choose(hubs, 0, nullptr, 1));
}

// A target that does not say when it started was ignored after its next start.
TEST(HubAnnounce, SequenceCountsWithinAnIncarnation)
{
	hub_state_t *state = hub_state_create();
	hub_changed_targets_t changed;
	uint64_t key = fleet_name_hash("a");

	for (uint64_t born_ms : { UINT64_C(0), UINT64_C(100) }) {
		dialect_announcement_t as = Fleet::Announce("a", born_ms, 1);
		size_t len;

		as.sequence = 1;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		hub_state_apply(state, bytes, len, &changed);
		free(bytes);
		EXPECT_EQ(1, hub_announce_record(state, key, born_ms, 9));
		as.sequence = 5;
		EXPECT_EQ(born_ms == 0 ? HUB_ANNOUNCE_REPEATED
				       : HUB_ANNOUNCE_OUTDATED,
		    hub_announce_judge(state, &as));
		EXPECT_EQ(
		    born_ms == 0, hub_announce_record(state, key, born_ms, 5));
		EXPECT_EQ(0, hub_announce_record(state, key, born_ms + 1, 99));
	}
	hub_state_destroy(state);
}

namespace {

/* A hub alone; counts messages, and keeps outcomes. */
struct LoneRelay {
	LoneRelay()
	{
		hub_relay_options_t options = {};

		options.send = [](void *ctx, node_id_t, uint16_t,
				   const ProtobufCMessage *msg) {
			auto *self = static_cast<LoneRelay *>(ctx);

			self->passed +=
			    ((const Tm__Fleet__Relay *)msg)->n_passed;
			self->batches++;
		};
		options.send_ctx = this;
		relay = hub_relay_create(&options);
	}

	~LoneRelay()
	{
		hub_relay_destroy(relay);
	}

	int
	Announce(int64_t now_ms)
	{
		dialect_announcement_t as = Fleet::Announce("t1", 100, 1);

		if (hub_relay_decide(relay, &as, now_ms) != HUB_RELAY_PASS)
			return (TM_EUNAVAIL);
		return (hub_relay_pass(
		    relay, &as, 0,
		    [](void *ctx, int err) {
			    static_cast<LoneRelay *>(ctx)->outcomes.push_back(
				err);
		    },
		    this, now_ms));
	}

	void
	Answer(uint32_t targets, int64_t now_ms, uint64_t term = 1)
	{
		Tm__Fleet__Relayed msg = TM__FLEET__RELAYED__INIT;

		msg.sent_ms = msg.leader_ms = (uint64_t)now_ms;
		msg.term = term;
		msg.targets = targets;
		std::vector<uint8_t> bytes = Pack(&msg.base);
		hub_relay_handle_answer(
		    relay, 7, bytes.data(), bytes.size(), now_ms);
	}

	hub_relay_t *relay;
	size_t passed = 0;
	int batches = 0;
	std::vector<int> outcomes;
};

} // namespace

// Each target of a large fleet called hub after hub while there was no leader.
TEST(HubRelay, AnnouncementsWaitForALeader)
{
	LoneRelay hub;

	hub_relay_tick(hub.relay, 1000);
	EXPECT_EQ(TM_OK, hub.Announce(1000));
	hub_relay_tick(hub.relay, 1300);
	EXPECT_EQ(0, hub.batches);
	/* A leader whose term is not known yet would refuse it. */
	hub_relay_set_leader(hub.relay, 7, 1350);
	hub_relay_tick(hub.relay, 1350);
	EXPECT_EQ(1, hub.batches);
	EXPECT_EQ(0U, hub.passed);
	EXPECT_TRUE(hub.outcomes.empty());
	hub.Answer(1000, 1360);
	hub_relay_flush(hub.relay, 1380);
	EXPECT_EQ(1U, hub.passed);
	EXPECT_TRUE(hub.outcomes.empty());
	/* The next leader may not have what was sent. */
	hub_relay_set_leader(hub.relay, 8, 1390);
	EXPECT_EQ(std::vector<int>{ TM_ENOTLEADER }, hub.outcomes);
}

// A target waits for 1 s; what waited for longer must not be passed on.
TEST(HubRelay, WaitingEndsInTime)
{
	LoneRelay hub;

	EXPECT_EQ(TM_OK, hub.Announce(1000));
	hub_relay_tick(hub.relay, 1000 + HUB_RELAY_PASS_MAX_MS);
	EXPECT_EQ(std::vector<int>{ TM_ETIMEDOUT }, hub.outcomes);
	hub_relay_set_leader(hub.relay, 7, 1950);
	hub.Answer(1000, 1950);
	hub_relay_tick(hub.relay, 2000);
	EXPECT_EQ(0U, hub.passed);
}

// A hub that led kept announcements until their end, as it passes nothing on.
TEST(HubRelay, WaitingEndsAtAHubThatLeads)
{
	LoneRelay hub;

	EXPECT_EQ(TM_OK, hub.Announce(1000));
	hub_relay_end_waiting(hub.relay);
	EXPECT_EQ(std::vector<int>{ TM_ENOTLEADER }, hub.outcomes);
}

// Targets of a small fleet are redirected to the leader at once, as before.
TEST(HubRelay, NothingWaitsInASmallFleet)
{
	LoneRelay hub;

	hub_relay_set_leader(hub.relay, 7, 1000);
	hub.Answer(HUB_SPREAD_MIN - 1, 1000);
	hub_relay_tick(hub.relay, 1900);
	EXPECT_EQ(TM_EUNAVAIL, hub.Announce(1000 + HUB_RELAY_LEASE_MS + 1));
	EXPECT_EQ(1U, hub_relay_get_stats(hub.relay)->refused);
}

// What is read after a pause of the hub may be old, and must not wait for a leader
// that would take it for new.
TEST(HubRelay, NothingWaitsAfterAPause)
{
	LoneRelay hub;

	hub_relay_tick(hub.relay, 1000);
	EXPECT_EQ(TM_EUNAVAIL, hub.Announce(1000 + HUB_RELAY_FROZEN_MS + 1));
}
