/* Hubs, one of which leads, and targets that announce themselves at them, on a
 * virtual clock: the model of hub_relay_test.cc. */
#ifndef TM_TEST_HUB_RELAY_MODEL_H
#define TM_TEST_HUB_RELAY_MODEL_H

#include <algorithm>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
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
const int kRedirected = 2; // to the leader
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
	int connected = -1; // hub of its connection
	int next = 0; // of its list
	int64_t acked_ms = 0;
	int64_t heard_ms = 0; // by the leader
	int moves = 0;
	int calls = 0; // as each ends once
};

/* Committed state is one hub_state_t, as all leaders have what was committed. */
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
		int starts = 0;
		double busy_ms = 0; // until then
		bool has_tick = false; // waits for its time
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

	virtual ~Fleet()
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

	/* A hub does one thing after the other; what takes no time in the model is
	 * done at once. */
	void
	Work(Hub *hub, double cost_ms, std::function<void()> action)
	{
		int starts = hub->starts;

		if (message_ms_ <= 0) {
			action();
			return;
		}
		hub->busy_ms = std::max(hub->busy_ms, (double)now_) + cost_ms;
		At((int64_t)hub->busy_ms, [=] {
			if (!hub->is_down && hub->starts == starts)
				action();
		});
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
		from->busy_ms =
		    std::max(from->busy_ms, (double)now_) + message_ms_;
		for (auto &hub : hubs_) {
			Hub *receiver = hub.get();

			if (receiver->id != to || from->is_down ||
			    from->is_cut || receiver->is_cut ||
			    random_() % 1000 < lost_permille_)
				continue;
			At(now_ + kLatencyMs, [=] {
				if (receiver->is_down || receiver->is_cut)
					return;
				Work(receiver, message_ms_, [=] {
					Receive(receiver, from, type, bytes);
				});
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

		for (size_t i = 0; i < msg->n_announced && !is_late; i++) {
			said_ms_[msg->announced[i]->target] =
			    (int64_t)msg->leader_ms - msg->announced[i]->age_ms;
			Record(msg->announced[i]->target,
			    msg->announced[i]->born_ms,
			    msg->announced[i]->sequence);
		}
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

	/* An answer to a batch is sent at once, decisions together. */
	void
	Answer(Hub *leader, Hub *to, uint64_t sent_ms, uint64_t since,
	    uint32_t id, int err)
	{
		if (id == 0) {
			SendAnswer(leader, to, sent_ms, since, {});
			return;
		}
		answers_[{ leader->index, to->index }].push_back(
		    { id, err, since, changes_.revision, term_ });
	}

	struct Decision {
		uint32_t id;
		int err;
		uint64_t since;
		uint64_t revision;
		uint64_t term;
	};

	void
	FlushAnswers()
	{
		auto answers = std::move(answers_);

		answers_.clear();
		for (auto &item : answers) {
			uint64_t since = UINT64_MAX;

			if (item.second[0].term != term_)
				continue;
			for (const Decision &decision : item.second)
				since = std::min(since, decision.since);
			SendAnswer(hubs_[(size_t)item.first.first].get(),
			    hubs_[(size_t)item.first.second].get(), 0, since,
			    item.second);
		}
	}

	void
	SendAnswer(Hub *leader, Hub *to, uint64_t sent_ms, uint64_t since,
	    const std::vector<Decision> &decisions)
	{
		Tm__Fleet__Relayed msg = TM__FLEET__RELAYED__INIT;
		std::vector<uint64_t> changed(HUB_CHANGES_MAX);
		std::vector<uint32_t> confirmed, ignored, refused;

		for (const Decision &decision : decisions) {
			if (decision.err < 0)
				refused.push_back(decision.id);
			else if (decision.err > 0 ||
			    decision.revision != changes_.revision)
				ignored.push_back(decision.id);
			else
				confirmed.push_back(decision.id);
		}
		msg.sent_ms = sent_ms;
		msg.leader_ms = (uint64_t)now_;
		msg.term = term_;
		msg.since = since;
		msg.n_changed =
		    hub_changes_list(&changes_, &msg.since, changed.data());
		msg.changed = changed.data();
		msg.revision = changes_.revision;
		msg.targets = (uint32_t)HASH_COUNT(state_->targets);
		msg.confirmed = confirmed.data();
		msg.n_confirmed = confirmed.size();
		msg.ignored = ignored.data();
		msg.n_ignored = ignored.size();
		msg.refused = refused.data();
		msg.n_refused = refused.size();
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
		if (decision == HUB_RELAY_REFUSE && redirects_ &&
		    leader_ >= 0 &&
		    hub_relay_get_target_count(hub->relay) < HUB_SPREAD_MIN) {
			done(kRedirected);
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
		double cost_ms =
		    target.connected == at ? kept_call_ms_ : new_call_ms_;
		dialect_announcement_t as = target.as;
		target.connected = at;
		Hub *hub = hubs_[(size_t)at].get();
		if (!hub->is_down)
			Work(hub, cost_ms, [=] {
				Call(at, as, false,
				    [=](int err) { EndCall(i, call, err); });
			});
		At(now_ + kCallMs, [=] { EndCall(i, call, TM_ETIMEDOUT); });
	}

	void
	EndCall(size_t i, int call, int err)
	{
		Target &target = targets_[i];

		if (target.calls != call)
			return;
		target.calls++;
		if (err == kRedirected && leader_ >= 0) {
			target.home = leader_;
			target.due_ms = now_;
			return;
		}
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
			FlushAnswers();
			for (auto &hub : hubs_)
				Tick(hub.get());
			for (size_t i = 0; i < targets_.size(); i++) {
				by_key_[fleet_name_hash(targets_[i].as.id)] = i;
				if (now_ >= targets_[i].due_ms)
					AnnounceNow(i);
			}
			if (leader_ >= 0)
				Watch();
			Step();
		}
	}

	/* What a derived model does in each step. */
	virtual void
	Step()
	{
	}

	void
	Tick(Hub *hub)
	{
		if (hub->is_down || hub->has_tick)
			return;
		hub->has_tick = true;
		Work(hub, 0, [=] {
			hub->has_tick = false;
			hub_relay_tick(hub->relay, now_);
		});
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
	bool redirects_ = false; // as hub_api.c in fleets that seem small
	double message_ms_ = 0; // time of a hub for each message
	double kept_call_ms_ = 0; // for each call, and on a new connection
	double new_call_ms_ = 0;
	std::map<uint64_t, int64_t> said_ms_; // as the leader was told
	int64_t silent_ms_ = 0;
	hub_state_t *state_ = hub_state_create();
	hub_changes_t changes_ = {};
	std::vector<std::unique_ptr<Hub>> hubs_;
	std::vector<Target> targets_;
	std::list<Wait> waits_; // contexts of OnDecided(), also of ended calls
	std::map<std::pair<int, int>, std::vector<Decision>> answers_;
	std::map<uint64_t, size_t> by_key_;
	std::multimap<int64_t, std::function<void()>> events_;
	std::mt19937 random_{ 7 };
};

} // namespace

#endif
