// The leading hub's outlier detection and the gates' tables run together here, on
// a virtual clock, against simulated targets of one service; counts which sound
// targets get requests.
#ifndef TM_TEST_FLOOR_MODEL_H
#define TM_TEST_FLOOR_MODEL_H

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

extern "C" {
#include "fleet/fleet_config.h"
#include "gate/gate_alone.h"
#include "gate/gate_link.h"
#include "gate/gate_probe.h"
#include "gate/gate_table.h"
#include "hub/hub_feed.h"
}

namespace floor_model {

const uint64_t kTerm = 1;
const int64_t kStepMs = 10;
/* Any span of this length is a window; they are checked every kSlideMs. */
const int64_t kWindowMs = 2000;
const int64_t kSlideMs = 100;
/* A target is sound this long after it was slow, and after it failed. */
const int64_t kSoundAfterSlowMs = 6000;
const int64_t kSoundAfterFailureMs = 2000;
/* Share of the sound targets that must get requests in a window. */
const double kUsedShareMin = 0.7;
/* A share says little of fewer sound targets. */
const int kSoundMin = 5;

struct Load {
	int targets;
	int gates;
	double requests_per_s;
	int64_t work_ms;
	double well_ms; /* mean time until a target begins to fail */
	double broken_ms; /* mean time until it is well again */
	/* Share of the gates at which requests hang, whatever the target, in
	 * time of trouble. */
	double hanging_gates;
	/* FLEET_FEATURE_SCARCE_CAPACITY is on at hub and gates. */
	bool is_scarce;
	/* Of each target: more requests than these take longer, and the leader
	 * learns how full the service is. 0: neither. */
	int slots;
};

/* Messages between gates and the leader, in order for each gate. */
struct Net {
	double delay_ms; /* mean; 0: none */
	double loss; /* share that arrives kResendMs later */
	/* Share of the gates that have lost contact to the hubs at any time, and
	 * the mean time for which they have: messages both ways are lost. */
	double cut_share;
	double cut_ms;
	/* Mean time that a full table takes; what follows it waits. */
	double table_ms;
};

/* A partition of the hubs that leaves the leader with a minority. Times since
 * its begin. */
struct Partition {
	int64_t served_ms; /* the old leader serves up to then */
	int64_t elected_ms; /* the next one begins */
	int64_t ended_ms; /* of the partition */
	double minority; /* share of the hubs that know of no leader */
};

const int64_t kHangMs = 2000;
const int64_t kResendMs = 400;
const size_t kZones = 3; /* with slots */
/* The leader puts the list of ejected targets into the log this often. */
const int64_t kLogMs = 1000;
/* Targets close a connection that has been idle for this time. */
const int64_t kKeepAliveMs = 10000;
/* Requests per slot from which on gates refuse some. */
const double kFullLoad = 1.3;
/* Gates report the load of targets, and look for a leader, this often. */
const int64_t kReportMs = 500;
const int64_t kSearchMs = GATE_LEADER_SEARCH_MS;

/* Targets that break most requests for some seconds, and for a time two fifths
 * of them are slow, while a third of the callers leaves early. */
class Fleet {
      public:
	/* Of the targets that became sound within a window, the share of
	 * FloorShare got a request in their first one. */
	void
	ExpectRecoveredTargetsUsed()
	{
		for (size_t first = 0, i = 0; i < recoveries_.size(); i++) {
			int used = 0;

			while (recoveries_[i].sound_from -
				recoveries_[first].sound_from >
			    kWindowMs)
				first++;
			for (size_t j = first; j <= i; j++)
				used += recoveries_[j].is_used;
			int sound = (int)(i - first + 1);
			if (sound < kSoundMin)
				continue;
			worst_ = std::min(worst_, (double)used / sound);
			EXPECT_GE(used, kUsedShareMin * sound)
			    << "of " << sound << " that were sound at "
			    << recoveries_[i].sound_from;
			checked_++;
		}
	}

	Fleet(const Load &load, uint64_t seed, const Net &net = {})
	    : load_(load), net_(net), random_(seed), paths_(load.gates)
	{
		CreateHub();
		hub_feed_reset(feed_, kTerm, now_);
		targets_.resize((size_t)load.targets);
		for (size_t i = 0; i < targets_.size(); i++)
			AddTarget(i);
		for (int i = 0; i < load.gates; i++) {
			gates_.push_back(gate_table_create(
			    GetZone((size_t)i).c_str(), seed * 1000 + i));
			SetPolicy((size_t)i);
			paths_[(size_t)i].heard_ms = now_;
			Renew((size_t)i);
		}
	}

	~Fleet()
	{
		for (Attempt &attempt : ended_)
			gate_target_release(attempt.target);
		while (!running_.empty()) {
			gate_target_release(running_.top().target);
			running_.pop();
		}
		for (gate_table_t *gate : gates_)
			gate_table_destroy(gate);
		hub_feed_destroy(feed_);
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	void
	Run(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += kStepMs)
			Step();
	}

	void
	SetTrouble(int is_on)
	{
		in_trouble_ = is_on;
		for (size_t i = 0; i < targets_.size(); i++) {
			if (i % 5 < 2 && targets_[i].is_slow != is_on) {
				targets_[i].is_slow = is_on;
				targets_[i].sound_from =
				    now_ + kSoundAfterSlowMs;
			}
		}
	}

	/* No leader for a time, then another one. */
	void
	LoseLeader(int64_t ms)
	{
		term_++;
		has_leader_ = 0;
		lost_ms_ = now_;
		led_since_ms_ = now_ + ms;
		messages_.emplace(led_since_ms_, [this] {
			has_leader_ = 1;
			ChangeLeader();
		});
	}

	/* The hubs are cut in two; the next leader knows nothing but the log. */
	void
	CutHubs(const Partition &partition)
	{
		partition_ = partition;
		is_cut_ = 1;
		cut_until_ms_ = now_ + partition.ended_ms;
		messages_.emplace(now_ + partition.served_ms, [this] {
			has_leader_ = 0;
			term_++;
			lost_ms_ = now_;
		});
		messages_.emplace(now_ + partition.elected_ms, [this] {
			has_leader_ = 1;
			is_cut_ = 0;
			led_since_ms_ = now_;
			hub_feed_destroy(feed_);
			hub_outlier_destroy(outlier_);
			CreateHub();
			StartLeading(logged_);
		});
	}

	/* A share of the gates loses contact to the hubs for a time. */
	void
	CutGates(int64_t after_ms, double share, int64_t ms)
	{
		messages_.emplace(now_ + after_ms, [this, share, ms] {
			for (Path &path : paths_) {
				if (Draw() >= share)
					continue;
				path.is_cut = 1;
				path.cut_change_ms = now_ + ms;
			}
		});
	}

	/* Breaks a share of the targets for a time, all at once. */
	void
	BreakTargets(double share, int64_t ms)
	{
		for (Target &target : targets_) {
			if (Draw() >= share)
				continue;
			target.is_broken = 1;
			target.change_ms = now_ + ms;
		}
	}

	/* Changes the rate of the requests. */
	void
	SetRate(double factor)
	{
		rate_ = factor;
	}

	/* A change of the leader: the new one knows the ejected targets. */
	void
	ChangeLeader()
	{
		std::vector<uint64_t> ejected = ListEjected();

		hub_outlier_reset(outlier_);
		term_++;
		StartLeading(ejected);
	}

	/* Checks the windows that have ended since the last call. */
	void
	ExpectSoundTargetsUsed()
	{
		for (const Window &window : windows_) {
			double unserved =
			    (double)window.unserved / window.requests;

			/* A fault of all VMs can add to the unserved requests
			 * at any time, so there is no lower bound. */
			if (window.sound < kSoundMin || unserved >= 0.5 ||
			    !window.is_led)
				continue;
			checked_++;
			worst_ = std::min(
			    worst_, (double)window.used / window.sound);
			share_sum_ += (double)window.used / window.sound;
			below_ += window.used < kUsedShareMin * window.sound;
			EXPECT_GE(window.used, kUsedShareMin * window.sound)
			    << window.used << " of " << window.sound
			    << " sound targets used from " << window.start
			    << " ms on, " << window.unserved << " of "
			    << window.requests << " requests not served";
		}
		windows_.clear();
	}

	int
	GetCheckedWindows() const
	{
		return (checked_);
	}

	double worst_ = 1;
	double share_sum_ = 0; /* of the windows checked */
	int below_ = 0; /* windows with too few targets in use */
	int asks_ = 0; /* for permits to probe */
	int unserved_ = 0;
	int requests_ = 0;

      private:
	struct Target {
		uint64_t key;
		int is_broken = 0;
		int is_slow = 0;
		int64_t change_ms = 0; /* of is_broken */
		int64_t sound_from = 0;
		int64_t used_ms = -1;
		int running = 0;
	};
	struct Attempt {
		int64_t end_ms;
		int64_t sent_ms;
		size_t gate;
		gate_target_t *target;
		fleet_evidence_t kind;
		int is_probe;
		int64_t leave_ms;
	};
	/* Between a gate and the leader. */
	struct Path {
		int64_t heard_ms; /* last lease that arrived */
		int is_searching; /* it knows of no leader */
		int is_cut;
		int64_t cut_change_ms; /* of is_cut */
		int64_t last_due_ms[2]; /* of messages, up and down */
	};
	/* A request that asked the leader for a target. */
	struct Question {
		size_t gate;
		int is_answered;
	};
	struct Later {
		bool
		operator()(const Attempt &a, const Attempt &b) const
		{
			return (a.end_ms > b.end_ms);
		}
	};
	/* A target that is sound again; counted at the end of its first
	 * window. */
	struct Recovery {
		size_t target;
		int64_t sound_from;
		int is_used;
	};
	struct Window {
		int64_t start;
		int is_led; /* a leader was there all the time */
		int sound;
		int used;
		int requests;
		int unserved;
	};
	/* Requests within kSlideMs. */
	struct Slide {
		int requests;
		int unserved;
	};

	/* With scarce capacity gates prefer some of the targets. */
	void
	SetPolicy(size_t i)
	{
		gate_policy_t policy = {};

		if (load_.slots == 0)
			return;
		policy.features = FLEET_FEATURE_SCARCE_CAPACITY;
		policy.choice = GATE_CHOICE_BY_WORK;
		policy.gate =
		    fleet_name_hash(("gate-" + std::to_string(i)).c_str());
		policy.gate_count = (uint32_t)load_.gates;
		gate_table_set_policy(gates_[i], &policy);
	}

	std::string
	GetZone(size_t i) const
	{
		return (
		    "zone-" + std::to_string(load_.slots > 0 ? i % kZones : 1));
	}

	void
	CreateHub()
	{
		hub_feed_options_t options = {};

		outlier_ = hub_outlier_create(0.7, OnVerdict, this);
		hub_outlier_set_scarce(outlier_, load_.is_scarce);
		hub_outlier_set_repeatable(
		    outlier_, service_, !load_.is_scarce);
		options.state = state_;
		options.outlier = outlier_;
		options.send = Send;
		options.send_ctx = this;
		options.window_ms = 5000;
		feed_ = hub_feed_create(&options);
	}

	std::vector<uint64_t>
	ListEjected() const
	{
		std::vector<uint64_t> ejected(targets_.size());

		ejected.resize(hub_outlier_list_ejected(
		    outlier_, ejected.data(), ejected.size()));
		return (ejected);
	}

	void
	StartLeading(const std::vector<uint64_t> &ejected)
	{
		for (const Target &target : targets_)
			hub_outlier_add_target(
			    outlier_, target.key, service_, 1);
		hub_feed_reset(feed_, term_, now_);
		for (uint64_t key : ejected)
			hub_outlier_restore_ejection(outlier_, key, now_);
	}

	static void
	OnVerdict(
	    void *ctx, uint64_t target, fleet_verdict_t verdict, const char *)
	{
		Fleet *self = static_cast<Fleet *>(ctx);

		hub_feed_mark_verdict_changed(self->feed_, target, verdict);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Fleet *self = static_cast<Fleet *>(ctx);
		size_t gate = to - 1;

		if (type == MSG_FLEET_TABLE) {
			auto table = Copy((const Tm__Fleet__Table *)msg,
			    tm__fleet__table__get_packed_size,
			    tm__fleet__table__pack, tm__fleet__table__unpack,
			    tm__fleet__table__free_unpacked);

			if (self->net_.table_ms > 0 && table->since == 0)
				self->DelayTable(gate);
			self->SendDown(gate, [self, gate, table] {
				gate_table_apply(self->gates_[gate],
				    table.get(), self->now_);
			});
		}
		if (type == MSG_FLEET_LEASE) {
			auto lease = Copy((const Tm__Fleet__Lease *)msg,
			    tm__fleet__lease__get_packed_size,
			    tm__fleet__lease__pack, tm__fleet__lease__unpack,
			    tm__fleet__lease__free_unpacked);

			self->SendDown(gate, [self, gate, lease] {
				self->paths_[gate].heard_ms = self->now_;
				self->paths_[gate].is_searching = 0;
				gate_table_set_idle(self->gates_[gate],
				    lease->idle_services,
				    lease->n_idle_services, self->now_);
			});
		}
	}

	template <class Message, class Size, class Pack, class Unpack,
	    class Free>
	static std::shared_ptr<Message>
	Copy(const Message *message, Size size, Pack pack, Unpack unpack,
	    Free free_unpacked)
	{
		std::vector<uint8_t> bytes(size(message));

		pack(message, bytes.data());
		return (std::shared_ptr<Message>(
		    unpack(NULL, bytes.size(), bytes.data()),
		    [free_unpacked](
			Message *copy) { free_unpacked(copy, NULL); }));
	}

	void
	Deliver(size_t gate, int is_down, const std::function<void()> &act)
	{
		int64_t &last_ms = paths_[gate].last_due_ms[is_down];

		if (paths_[gate].is_cut)
			return;
		if (net_.delay_ms <= 0) {
			act();
			return;
		}
		last_ms = std::max(last_ms,
		    now_ + DrawMs(net_.delay_ms) +
			(Draw() < net_.loss ? kResendMs : 0));
		messages_.emplace(last_ms, act);
	}

	/* A full table takes up to twice the mean. */
	void
	DelayTable(size_t gate)
	{
		int64_t &last_ms = paths_[gate].last_due_ms[1];

		last_ms = std::max(
		    last_ms, now_ + (int64_t)(2 * net_.table_ms * Draw()));
	}

	/* To the leader of the time when it is sent. */
	void
	SendUp(size_t gate, const std::function<void()> &act)
	{
		uint64_t term = term_;

		/* A gate that knows of no leader drops its reports. */
		if (paths_[gate].is_searching)
			return;
		Deliver(gate, 0, [this, term, act] {
			if (has_leader_ && term == term_)
				act();
		});
	}

	void
	SendDown(size_t gate, const std::function<void()> &act)
	{
		Deliver(gate, 1, act);
	}

	void
	StepMessages()
	{
		while (!messages_.empty() && messages_.begin()->first <= now_) {
			std::function<void()> act = messages_.begin()->second;

			messages_.erase(messages_.begin());
			act();
		}
	}

	double
	Draw()
	{
		return (std::uniform_real_distribution<double>(0, 1)(random_));
	}

	int64_t
	DrawMs(double mean_ms)
	{
		return ((int64_t)std::exponential_distribution<double>(
		    1 / mean_ms)(random_));
	}

	void
	AddTarget(size_t i)
	{
		dialect_announcement_t as = {};
		hub_changed_targets_t changed;
		size_t len;

		snprintf(as.id, sizeof(as.id), "t-%zu", i);
		snprintf(as.service, sizeof(as.service), "ledger");
		snprintf(as.zone, sizeof(as.zone), "%s", GetZone(i).c_str());
		as.ip = 1;
		as.port = (uint16_t)(i + 1);
		as.slots = 6;
		as.born_ms = 1;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		targets_[i].key = changed.target->key;
		targets_[i].change_ms = now_ + DrawMs(load_.well_ms);
		hub_outlier_add_target(outlier_, targets_[i].key, service_, 1);
		hub_feed_mark_target_changed(feed_, targets_[i].key);
	}

	Target *
	Find(const gate_target_t *target)
	{
		return (&targets_[(size_t)ntohs(target->addr.sin_port) - 1]);
	}

	/* A gate without a leader asks one hub after the other; some know of
	 * none. It reports nothing before it has a lease. */
	void
	Search(size_t i)
	{
		if (!has_leader_ ||
		    (now_ < cut_until_ms_ && Draw() < partition_.minority))
			return;
		Deliver(i, 0, [this, i] {
			if (has_leader_)
				AnswerRenewal(i, {},
				    gate_table_get_term(gates_[i]),
				    gate_table_get_sequence(gates_[i]));
		});
	}

	void
	Renew(size_t i)
	{
		size_t count;

		/* The old leader answers that it leads no more. */
		if (now_ < cut_until_ms_ && !has_leader_)
			paths_[i].is_searching = 1;
		if (paths_[i].is_searching)
			return;
		Tm__Fleet__Outcome *collected =
		    gate_table_collect_outcomes(gates_[i], &count);
		std::vector<Tm__Fleet__Outcome> outcomes(
		    collected, collected + count);
		uint64_t table_term = gate_table_get_term(gates_[i]);
		uint64_t sequence = gate_table_get_sequence(gates_[i]);

		free(collected);
		SendUp(i, [this, i, outcomes, table_term, sequence] {
			AnswerRenewal(i, outcomes, table_term, sequence);
		});
	}

	void
	AnswerRenewal(size_t i, const std::vector<Tm__Fleet__Outcome> &outcomes,
	    uint64_t table_term, uint64_t sequence)
	{
		Tm__Fleet__Join join = TM__FLEET__JOIN__INIT;
		hub_feed_lease_t lease = {};

		for (const Tm__Fleet__Outcome &outcome : outcomes) {
			if (outcome.sent > 0)
				hub_outlier_record_sent(
				    outlier_, outcome.target, now_);
			hub_outlier_record_successes(
			    outlier_, outcome.target, outcome.good, now_);
		}
		lease.term = term_;
		lease.leader = "10.0.0.1";
		lease.idle_services = &service_;
		lease.idle_service_count = load_.is_scarce
		    ? (size_t)hub_outlier_offer(outlier_, service_, i + 1, now_)
		    : (size_t)has_idle_;
		join.table_term = table_term;
		join.table_sequence = sequence;
		hub_feed_renew_lease(feed_, i + 1, &join, &lease, now_);
	}

	void
	Report(const Attempt &attempt, fleet_evidence_t kind, int is_probe)
	{
		hub_evidence_t evidence = {};

		evidence.target = attempt.target->key;
		evidence.gate = attempt.gate + 1;
		evidence.kind = kind;
		evidence.is_probe = is_probe;
		gate_alone_record(attempt.target, kind, now_);
		SendUp(attempt.gate, [this, evidence] {
			hub_outlier_record_evidence(outlier_, &evidence, now_);
		});
	}

	gate_choice_t
	Pick(size_t gate, int may_ask)
	{
		gate_pick_options_t options = {};
		int64_t silent_ms = now_ - paths_[gate].heard_ms;

		options.now_ms = now_;
		options.has_leader = may_ask && !paths_[gate].is_searching &&
		    silent_ms <= GATE_LEADER_TIMEOUT_MS;
		options.is_alone = silent_ms > GATE_ELECTION_MAX_MS;
		return (
		    gate_table_pick(gates_[gate], GetService(gate), &options));
	}

	gate_service_t *
	GetService(size_t gate)
	{
		return (gate_table_find_service(gates_[gate], "ledger"));
	}

	void
	Ask(size_t gate)
	{
		auto question = std::make_shared<Question>(Question{ gate, 0 });

		asks_++;
		if (load_.is_scarce)
			gate_probe_use_offer(GetService(gate));
		SendUp(gate, [this, question] {
			hub_assignment_t assignment = hub_outlier_assign_target(
			    outlier_, service_, question->gate + 1, 0, now_);

			SendDown(question->gate, [this, question, assignment] {
				OnAnswer(question.get(), assignment);
			});
		});
		if (net_.delay_ms > 0)
			messages_.emplace(now_ + GATE_PERMIT_TIMEOUT_MS,
			    [this, question] { OnAnswer(question.get(), {}); });
	}

	void
	OnAnswer(Question *question, const hub_assignment_t &assignment)
	{
		gate_target_t *target = assignment.target != 0
		    ? gate_table_find_target(
			  gates_[question->gate], assignment.target)
		    : NULL;
		gate_choice_t choice;

		if (question->is_answered) {
			if (assignment.is_probe &&
			    !gate_table_keep_probe(gates_[question->gate],
				assignment.target, now_))
				ReturnProbe(question->gate, assignment.target);
			return;
		}
		question->is_answered = 1;
		if (target != NULL) {
			SendTo(question->gate, target, assignment.is_probe);
			return;
		}
		gate_service_delay_asking(GetService(question->gate), now_);
		choice = Pick(question->gate, 0);
		SendTo(question->gate, choice.target, choice.is_probe);
	}

	void
	ReturnProbe(size_t gate, uint64_t target)
	{
		hub_evidence_t evidence = {};

		evidence.target = target;
		evidence.gate = gate + 1;
		evidence.kind = FLEET_EVIDENCE_PROBE_UNUSED;
		evidence.is_probe = 1;
		SendUp(gate, [this, evidence] {
			hub_outlier_record_evidence(outlier_, &evidence, now_);
		});
	}

	/* As gate_attempt.c dispatches a request that must not be repeated. */
	void
	SendRequest()
	{
		size_t gate;
		gate_choice_t choice;

		gate = (size_t)(Draw() * (double)gates_.size());
		/* Not ready before its first table. */
		if (GetService(gate) == NULL)
			return;
		requests_++;
		slide_.requests++;
		/* The service is full. */
		if (admitted_ < 1 && Draw() >= admitted_) {
			unserved_++;
			slide_.unserved++;
			return;
		}
		choice = Pick(gate, 1);
		if (choice.must_ask_leader)
			Ask(gate);
		else
			SendTo(gate, choice.target, choice.is_probe);
	}

	void
	SendTo(size_t gate, gate_target_t *chosen, int is_probe)
	{
		Attempt attempt = {};
		Target *target;
		double work_ms;

		ASSERT_NE(nullptr, chosen);
		attempt.gate = gate;
		attempt.target = chosen;
		attempt.is_probe = is_probe;
		gate_target_acquire(attempt.target);
		target = Find(attempt.target);
		target->used_ms = now_;
		attempt.sent_ms = now_;
		gate_idle_take(&chosen->idle,
		    gate_subset_get_reuse_ms(chosen->idle_max_ms), now_);
		work_ms = (double)load_.work_ms * (0.5 + Draw());
		if (Draw() < 0.08)
			work_ms *= 4;
		if (target->is_slow)
			work_ms *= 12;
		target->running++;
		if (load_.slots > 0 && target->running > load_.slots)
			work_ms *= (double)target->running / load_.slots;
		attempt.kind = FLEET_EVIDENCE_SUCCESS;
		if (target->is_broken && Draw() < 0.8) {
			attempt.kind = FLEET_EVIDENCE_BROKEN;
			work_ms = 5;
		}
		if (in_trouble_ &&
		    (double)attempt.gate <
			load_.hanging_gates * (double)gates_.size()) {
			attempt.kind = FLEET_EVIDENCE_PROBE_UNUSED;
			work_ms = kHangMs;
		}
		attempt.end_ms = now_ + (int64_t)work_ms;
		attempt.leave_ms = in_trouble_ && Draw() < 0.3
		    ? now_ + 1500
		    : now_ + 20 * load_.work_ms;
		if (attempt.leave_ms < attempt.end_ms) {
			attempt.end_ms = attempt.leave_ms;
			attempt.kind = FLEET_EVIDENCE_PROBE_UNUSED;
		}
		if (attempt.kind != FLEET_EVIDENCE_SUCCESS) {
			unserved_++;
			slide_.unserved++;
		}
		running_.push(attempt);
		stalls_.push_back(attempt);
	}

	void
	RecordResponse(gate_target_t *target)
	{
		if (load_.slots == 0)
			return;
		gate_target_set_load(
		    target, (uint32_t)Find(target)->running, now_);
		target->idle_max_ms = kKeepAliveMs;
		gate_idle_add(&target->idle, now_);
	}

	void
	End(const Attempt &attempt)
	{
		Find(attempt.target)->running--;
		if (load_.slots > 0 && attempt.kind == FLEET_EVIDENCE_BROKEN)
			gate_target_avoid(
			    attempt.target, now_ + GATE_AVOID_SHED_MS);
		if (attempt.kind == FLEET_EVIDENCE_SUCCESS) {
			gate_target_record_success(
			    attempt.target, now_ - attempt.sent_ms);
			gate_alone_record(attempt.target, attempt.kind, now_);
			RecordResponse(attempt.target);
		}
		if (attempt.is_probe || attempt.kind == FLEET_EVIDENCE_BROKEN)
			Report(attempt, attempt.kind, attempt.is_probe);
		ended_.push_back(attempt);
	}

	void
	StepAttempts()
	{
		int64_t stall_ms = 5 * load_.work_ms / 2;

		while (!running_.empty() && running_.top().end_ms <= now_) {
			End(running_.top());
			running_.pop();
		}
		while (!stalls_.empty() &&
		    stalls_.front().sent_ms + stall_ms <= now_) {
			const Attempt &attempt = stalls_.front();

			if (attempt.end_ms > now_)
				Report(attempt, FLEET_EVIDENCE_STALL,
				    attempt.is_probe);
			stalls_.pop_front();
		}
		/* Released late, as stalls_ refers to the targets. */
		while (!ended_.empty() &&
		    ended_.front().end_ms + 2 * stall_ms <= now_) {
			gate_target_release(ended_.front().target);
			ended_.pop_front();
		}
	}

	void
	StepTargets()
	{
		for (Target &target : targets_) {
			if (has_leader_)
				hub_outlier_record_announcement(
				    outlier_, target.key, now_);
			if (now_ < target.change_ms)
				continue;
			target.is_broken = !target.is_broken;
			target.sound_from = std::max(
			    target.sound_from, now_ + kSoundAfterFailureMs);
			target.change_ms = now_ +
			    DrawMs(target.is_broken ? load_.broken_ms
						    : load_.well_ms);
			if (!target.is_broken)
				waiting_.push_back(
				    { (size_t)(&target - targets_.data()),
					target.sound_from, 0 });
		}
		CountRecoveries();
	}

	/* Those that fail again before their first window ends do not count. */
	void
	CountRecoveries()
	{
		while (!waiting_.empty() &&
		    waiting_.front().sound_from + kWindowMs <= now_) {
			Recovery recovery = waiting_.front();
			const Target &target = targets_[recovery.target];

			waiting_.pop_front();
			if (target.is_broken ||
			    target.sound_from != recovery.sound_from)
				continue;
			recovery.is_used =
			    target.used_ms >= recovery.sound_from;
			recoveries_.push_back(recovery);
		}
	}

	/* Sound targets that became unsound within the window do not count. */
	void
	CountTargets(Window *window)
	{
		for (const Target &target : targets_) {
			if (target.is_broken || target.is_slow ||
			    target.sound_from > window->start)
				continue;
			window->sound++;
			window->used += target.used_ms >= window->start;
		}
	}

	/* Adds the window that ends now, if a whole one has passed. */
	void
	SlideWindow()
	{
		Window window = {};

		slides_.push_back(slide_);
		slide_ = {};
		if (slides_.size() < (size_t)(kWindowMs / kSlideMs))
			return;
		window.start = now_ - kWindowMs;
		window.is_led =
		    now_ <= lost_ms_ || window.start >= led_since_ms_;
		for (const Slide &slide : slides_) {
			window.requests += slide.requests;
			window.unserved += slide.unserved;
		}
		CountTargets(&window);
		windows_.push_back(window);
		slides_.pop_front();
	}

	/* A new leader has no reports yet. */
	void
	UpdateUtilization()
	{
		int requests = 0;
		int slots = 0;

		if (load_.slots == 0 || now_ - led_since_ms_ < kReportMs)
			return;
		for (const Target &target : targets_) {
			if (hub_outlier_get_verdict(outlier_, target.key) !=
			    FLEET_VERDICT_HEALTHY)
				continue;
			requests += target.running;
			slots += load_.slots;
		}
		hub_outlier_set_utilization(outlier_, service_,
		    slots > 0 ? (double)requests / slots : 0);
		if (requests > 0)
			UpdateAdmission(kFullLoad * slots / requests);
	}

	/* Gates refuse what would overload the targets in use. */
	void
	UpdateAdmission(double room)
	{
		admitted_ = std::min(
		    1.0, admitted_ * std::min(std::max(room, 0.7), 1.2));
	}

	/* Cuts gates off from the hubs, and ends that. */
	void
	StepCuts()
	{
		if (net_.cut_share <= 0)
			return;
		for (Path &path : paths_) {
			if (now_ < path.cut_change_ms)
				continue;
			if (path.cut_change_ms != 0)
				path.is_cut = !path.is_cut;
			path.cut_change_ms = now_ + DrawCutMs(path.is_cut);
		}
	}

	int64_t
	DrawCutMs(int is_cut)
	{
		double in_touch = (1 - net_.cut_share) / net_.cut_share;

		return (DrawMs(is_cut ? net_.cut_ms : net_.cut_ms * in_touch));
	}

	void
	StepGates()
	{
		for (size_t i = 0; i < gates_.size(); i++) {
			int64_t turn_ms = now_ + (int64_t)i * kStepMs;

			if (turn_ms % 500 == 0)
				Renew(i);
			if (paths_[i].is_searching && turn_ms % kSearchMs == 0)
				Search(i);
		}
	}

	void
	UpdateIdle()
	{
		hub_outlier_counts_t counts;

		hub_outlier_count_service(outlier_, service_, now_, &counts);
		has_idle_ = counts.idle > 0;
	}

	void
	Step()
	{
		double expected =
		    rate_ * load_.requests_per_s * kStepMs / 1000.0;
		int count = std::poisson_distribution<int>(expected)(random_);

		StepCuts();
		StepMessages();
		StepTargets();
		StepAttempts();
		for (int i = 0; i < count; i++)
			SendRequest();
		if (has_leader_)
			StepLeader();
		StepGates();
		for (size_t i = 0; i < gates_.size(); i++) {
			uint64_t target =
			    gate_table_drop_probe(gates_[i], now_);

			if (target != 0)
				ReturnProbe(i, target);
		}
		if (now_ % kSlideMs == 0)
			SlideWindow();
	}

	void
	StepLeader()
	{
		if (now_ % 50 == 0)
			hub_outlier_tick(outlier_, now_);
		if (now_ % 200 == 0) {
			UpdateIdle();
			UpdateUtilization();
		}
		if (now_ % kLogMs == 0 && !is_cut_)
			logged_ = ListEjected();
		hub_feed_flush(feed_, now_);
	}

	Load load_;
	Net net_;
	std::mt19937_64 random_;
	std::vector<Path> paths_;
	std::multimap<int64_t, std::function<void()>> messages_; /* by due */
	int has_leader_ = 1;
	int64_t lost_ms_ = INT64_MAX; /* when the last leader went */
	int64_t led_since_ms_ = 0;
	Partition partition_ = {};
	int is_cut_ = 0; /* the hubs, and nothing can be logged */
	int64_t cut_until_ms_ = 0;
	std::vector<uint64_t> logged_; /* ejected targets */
	double rate_ = 1;
	double admitted_ = 1; /* share of the requests */
	int64_t now_ = 1000000;
	uint64_t term_ = kTerm;
	hub_state_t *state_ = hub_state_create();
	hub_outlier_t *outlier_;
	hub_feed_t *feed_;
	uint64_t service_ = fleet_name_hash("ledger");
	int has_idle_ = 0;
	std::vector<gate_table_t *> gates_;
	std::vector<Target> targets_;
	std::priority_queue<Attempt, std::vector<Attempt>, Later> running_;
	std::deque<Attempt> stalls_;
	std::deque<Attempt> ended_;
	int in_trouble_ = 0;
	std::deque<Recovery> waiting_; /* by sound_from */
	std::vector<Recovery> recoveries_;
	Slide slide_ = {};
	std::deque<Slide> slides_; /* of the window that ends now */
	std::vector<Window> windows_;
	int checked_ = 0;
};

} // namespace floor_model

#endif
