// Failures guarded against: the leader answers all announcements of a large fleet
// itself; a hub acknowledges what the leader has not confirmed, or revives a
// target that has deregistered; a target counts as lost while it announces itself.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "hub/hub_announce.h"
#include "hub/hub_relay.h"
}

namespace {

const int kStepMs = 10;
const int kLatencyMs = 3;
const int kCommitMs = 12;
const int kIntervalMs = 1500;
const int kCallMs = 1000;
const int kIgnored = 1; // outcome of what was passed on
const int kTargetTimeoutMs = 4500; // of hub_outlier.c

std::vector<uint8_t>
Pack(const ProtobufCMessage *msg)
{
	std::vector<uint8_t> bytes(protobuf_c_message_get_packed_size(msg));

	protobuf_c_message_pack(msg, bytes.data());
	return (bytes);
}

struct Target {
	dialect_announcement_t as = {};
	int64_t due_ms = 0;
	int home = -1; // HeartbeatUrl; -1: any hub of its list
	int next = 0; // of its list
	int64_t acked_ms = 0;
	int64_t heard_ms = 0; // by the leader
	int moves = 0;
	int calls = 0; // as each ends once
};

/* Hubs, one of which leads, and targets that announce themselves. Committed state
 * is one hub_state_t, as all leaders have what was committed. */
class Fleet {
      public:
	struct Hub {
		Fleet *fleet;
		int index;
		std::string name;
		node_id_t id;
		hub_relay_t *relay;
		bool is_down = false;
		bool is_cut = false;
		uint64_t calls = 0;
		uint64_t messages = 0;
		uint64_t bytes = 0;
	};
	struct Wait {
		Hub *hub;
		std::function<void(int)> done;
	};

	Fleet(int hubs, int targets, uint32_t switches = 0, bool spreads = true)
	    : spreads_(spreads)
	{
		for (int i = 0; i < hubs; i++) {
			auto hub = std::make_unique<Hub>();
			hub_relay_options_t options = {};

			hub->fleet = this;
			hub->index = i;
			hub->name = "10.0.0." + std::to_string(i + 1);
			hub->id = node_id_from_name(hub->name.c_str());
			options.send = Send;
			options.send_ctx = hub.get();
			options.test_switches = switches;
			hub->relay = hub_relay_create(&options);
			hubs_.push_back(std::move(hub));
		}
		SetLeader(0);
		for (int i = 0; i < targets; i++) {
			Target target;

			target.as = Announce("t" + std::to_string(i), 100, i);
			target.due_ms =
			    now_ + (int64_t)(random_() % kIntervalMs);
			target.next = (int)(random_() % (unsigned)hubs);
			targets_.push_back(target);
		}
	}

	~Fleet()
	{
		for (auto &hub : hubs_)
			hub_relay_destroy(hub->relay);
		hub_state_destroy(state_);
	}

	static dialect_announcement_t
	Announce(const std::string &id, uint64_t born_ms, int address)
	{
		dialect_announcement_t as = {};

		snprintf(as.id, sizeof(as.id), "%s", id.c_str());
		snprintf(as.service, sizeof(as.service), "s1");
		snprintf(as.zone, sizeof(as.zone), "z1");
		as.born_ms = born_ms;
		as.ip = 1 + (uint32_t)address;
		as.port = 80;
		as.slots = 4;
		return (as);
	}

	void
	SetLeader(int index)
	{
		leader_ = index;
		term_++;
		changes_ = {};
		for (hub_target_t *target = state_->targets; target != nullptr;
		     target = (hub_target_t *)target->hh.next)
			target->heard_born_ms = target->heard_sequence = 0;
		for (auto &hub : hubs_)
			hub_relay_set_leader(hub->relay,
			    index < 0 || hub->index == index
				? NODE_ID_NONE
				: hubs_[(size_t)index]->id,
			    now_);
	}

	void
	At(int64_t time_ms, std::function<void()> action)
	{
		events_.emplace(time_ms, std::move(action));
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Hub *from = static_cast<Hub *>(ctx);

		from->fleet->Deliver(from, to, type, Pack(msg));
	}

	void
	Deliver(
	    Hub *from, node_id_t to, uint16_t type, std::vector<uint8_t> bytes)
	{
		for (auto &hub : hubs_) {
			Hub *receiver = hub.get();

			if (receiver->id != to || from->is_down ||
			    from->is_cut || receiver->is_cut ||
			    random_() % 1000 < lost_permille_)
				continue;
			At(now_ + kLatencyMs, [=] {
				if (!receiver->is_down && !receiver->is_cut)
					Receive(receiver, from, type, bytes);
			});
		}
	}

	void
	Receive(Hub *to, Hub *from, uint16_t type,
	    const std::vector<uint8_t> &bytes)
	{
		to->messages++;
		to->bytes += bytes.size();
		if (type == MSG_FLEET_RELAYED)
			hub_relay_handle_answer(to->relay, from->id,
			    bytes.data(), bytes.size(), now_);
		else if (to->index == leader_)
			Decide(to, from, bytes);
	}

	/* As hub_announcements.c does. */
	void
	Decide(Hub *leader, Hub *from, const std::vector<uint8_t> &bytes)
	{
		Tm__Fleet__Relay *msg = tm__fleet__relay__unpack(
		    nullptr, bytes.size(), bytes.data());
		bool is_late = hub_announce_is_late(msg, term_, now_);
		uint64_t since =
		    msg->term == term_ ? msg->revision : UINT64_MAX;

		for (size_t i = 0; i < msg->n_announced && !is_late; i++)
			Record(msg->announced[i]->target,
			    msg->announced[i]->born_ms,
			    msg->announced[i]->sequence);
		Answer(leader, from, msg->sent_ms, since, 0, 0);
		for (size_t i = 0; i < msg->n_passed; i++) {
			dialect_announcement_t as = {};
			uint32_t id = msg->passed[i]->id;
			uint64_t term = term_;

			/* Only the id counts of one that leaves. */
			if (!hub_target_from_message(
				msg->passed[i]->target, &as))
				snprintf(as.id, sizeof(as.id), "%s",
				    msg->passed[i]->target->id);
			if (is_late) {
				Answer(leader, from, 0, since, id, TM_ESTALE);
				continue;
			}
			bool is_leave = msg->passed[i]->is_leave;

			DecideOne(as, is_leave, [=](int err) {
				if (term != term_)
					return;
				if (err == TM_OK && !is_leave &&
				    hub_announce_judge(state_, &as) !=
					HUB_ANNOUNCE_REPEATED)
					err = kIgnored;
				Answer(leader, from, 0, since, id, err);
			});
		}
		tm__fleet__relay__free_unpacked(msg, nullptr);
	}

	void
	Record(uint64_t key, uint64_t born_ms, uint64_t sequence)
	{
		if (!hub_announce_record(state_, key, born_ms, sequence))
			return;
		auto found = by_key_.find(key);
		if (found != by_key_.end())
			targets_[found->second].heard_ms = now_;
	}

	void
	DecideOne(const dialect_announcement_t &as, bool is_leave,
	    std::function<void(int)> done)
	{
		dialect_announcement_t entry = as;
		hub_target_t *known =
		    hub_state_find_target(state_, fleet_name_hash(as.id));

		if (is_leave) {
			if (known == nullptr) {
				done(TM_OK);
				return;
			}
			entry = known->as;
			entry.state = FLEET_TARGET_DEREGISTERED;
		} else {
			hub_announce_effect_t effect =
			    hub_announce_judge(state_, &as);

			if (effect != HUB_ANNOUNCE_OUTDATED)
				Record(fleet_name_hash(as.id), as.born_ms,
				    as.sequence);
			if (effect != HUB_ANNOUNCE_CHANGED) {
				done(TM_OK);
				return;
			}
		}
		uint64_t term = term_;
		At(now_ + kCommitMs, [=] {
			if (term != term_ || leader_ < 0)
				return;
			Commit(entry);
			Record(fleet_name_hash(entry.id), entry.born_ms,
			    entry.sequence);
			done(TM_OK);
		});
	}

	void
	Commit(const dialect_announcement_t &as)
	{
		hub_changed_targets_t changed;
		size_t len;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		bool is_known = hub_state_find_target(
				    state_, fleet_name_hash(as.id)) != nullptr;

		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		if (is_known)
			hub_changes_add(&changes_, fleet_name_hash(as.id));
		if (changed.replaced != nullptr)
			hub_changes_add(&changes_, changed.replaced->key);
	}

	void
	Answer(Hub *leader, Hub *to, uint64_t sent_ms, uint64_t since,
	    uint32_t id, int err)
	{
		Tm__Fleet__Relayed msg = TM__FLEET__RELAYED__INIT;
		std::vector<uint64_t> changed(HUB_CHANGES_MAX);

		msg.sent_ms = sent_ms;
		msg.leader_ms = (uint64_t)now_;
		msg.term = term_;
		msg.since = since;
		msg.n_changed =
		    hub_changes_list(&changes_, &msg.since, changed.data());
		msg.changed = changed.data();
		msg.revision = changes_.revision;
		msg.targets = (uint32_t)HASH_COUNT(state_->targets);
		if (id != 0 && err == TM_OK) {
			msg.confirmed = &id;
			msg.n_confirmed = 1;
		} else if (id != 0 && err > 0) {
			msg.ignored = &id;
			msg.n_ignored = 1;
		} else if (id != 0) {
			msg.refused = &id;
			msg.n_refused = 1;
		}
		Deliver(leader, to->id, MSG_FLEET_RELAYED, Pack(&msg.base));
	}

	/* A call at a hub. @param done  0 or an error; not called by a hub that is
	 * down */
	void
	Call(int index, const dialect_announcement_t &as, bool is_leave,
	    std::function<void(int)> done)
	{
		Hub *hub = hubs_[(size_t)index].get();

		if (hub->is_down)
			return;
		hub->calls++;
		if (index == leader_) {
			if (hub->is_cut)
				done(TM_EUNAVAIL);
			else
				DecideOne(as, is_leave, done);
			return;
		}
		hub_relay_decision_t decision = HUB_RELAY_PASS;
		if (!is_leave)
			decision = hub_relay_decide(hub->relay, &as, now_);
		if (decision == HUB_RELAY_ANSWER) {
			done(TM_OK);
			return;
		}
		waits_.push_back({ hub, done });
		if (decision == HUB_RELAY_REFUSE ||
		    hub_relay_pass(hub->relay, &as, is_leave, OnDecided,
			&waits_.back(), now_) != TM_OK)
			done(TM_EUNAVAIL);
	}

	static void
	OnDecided(void *ctx, int err)
	{
		Wait *wait = static_cast<Wait *>(ctx);

		if (!wait->hub->is_down)
			wait->done(err);
	}

	int
	Choose(const Target &target) const
	{
		std::vector<const char *> names;
		const char *leader = leader_ >= 0
		    ? hubs_[(size_t)leader_]->name.c_str()
		    : nullptr;

		for (auto &hub : hubs_) {
			if (!hub->is_down)
				names.push_back(hub->name.c_str());
		}
		if (!spreads_)
			return (leader_);
		const char *name = hub_announce_choose(names.data(),
		    names.size(), leader, fleet_name_hash(target.as.id));
		for (auto &hub : hubs_) {
			if (hub->name == name)
				return (hub->index);
		}
		return (-1);
	}

	void
	AnnounceNow(size_t i)
	{
		Target &target = targets_[i];
		int at = target.home >= 0 ? target.home
					  : target.next++ % (int)hubs_.size();
		int call = ++target.calls;

		target.as.sequence++;
		target.due_ms = now_ + kIntervalMs;
		Call(at, target.as, false,
		    [=](int err) { EndCall(i, call, err); });
		At(now_ + kCallMs, [=] { EndCall(i, call, TM_ETIMEDOUT); });
	}

	void
	EndCall(size_t i, int call, int err)
	{
		Target &target = targets_[i];

		if (target.calls != call)
			return;
		target.calls++;
		if (err != TM_OK) {
			target.home = -1;
			target.due_ms = now_;
			return;
		}
		int home = Choose(target);
		target.moves += target.home != home;
		target.home = home;
		target.acked_ms = now_;
	}

	void
	Run(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += kStepMs) {
			while (!events_.empty() &&
			    events_.begin()->first <= now_) {
				auto action = events_.begin()->second;

				events_.erase(events_.begin());
				action();
			}
			for (auto &hub : hubs_) {
				if (!hub->is_down)
					hub_relay_tick(hub->relay, now_);
			}
			for (size_t i = 0; i < targets_.size(); i++) {
				by_key_[fleet_name_hash(targets_[i].as.id)] = i;
				if (now_ >= targets_[i].due_ms)
					AnnounceNow(i);
			}
			if (leader_ >= 0)
				Watch();
		}
	}

	/* The longest time for which the leader did not hear a target. */
	void
	Watch()
	{
		for (const Target &target : targets_) {
			if (target.heard_ms != 0)
				silent_ms_ = std::max(
				    silent_ms_, now_ - target.heard_ms);
		}
	}

	void
	ResetCounts()
	{
		silent_ms_ = 0;
		for (auto &hub : hubs_)
			hub->calls = hub->messages = hub->bytes = 0;
		for (Target &target : targets_)
			target.moves = 0;
	}

	std::vector<int>
	CountByHub() const
	{
		std::vector<int> counts(hubs_.size());

		for (const Target &target : targets_) {
			if (target.home >= 0)
				counts[(size_t)target.home]++;
		}
		return (counts);
	}

	fleet_target_state_t
	GetState(const char *id) const
	{
		const hub_target_t *target =
		    hub_state_find_target(state_, fleet_name_hash(id));

		return (target != nullptr ? target->as.state
					  : FLEET_TARGET_DEREGISTERED);
	}

	int64_t now_ = 100000;
	int leader_ = 0;
	uint64_t term_ = 1;
	bool spreads_;
	unsigned lost_permille_ = 0;
	int64_t silent_ms_ = 0;
	hub_state_t *state_ = hub_state_create();
	hub_changes_t changes_ = {};
	std::vector<std::unique_ptr<Hub>> hubs_;
	std::vector<Target> targets_;
	std::list<Wait> waits_; // contexts of OnDecided(), also of ended calls
	std::map<uint64_t, size_t> by_key_;
	std::multimap<int64_t, std::function<void()>> events_;
	std::mt19937 random_{ 7 };
};

} // namespace

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
