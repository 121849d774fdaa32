// One service of a fleet under load, on a virtual clock: the leading hub's outlier
// detection and load, and the gates' tables and admission, against targets with
// slots, queues and faults. Messages between gates and the hub take a fixed time.
#ifndef TM_TEST_LOAD_MODEL_H
#define TM_TEST_LOAD_MODEL_H

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "fleet/fleet_config.h"
#include "gate/gate_admission.h"
#include "gate/gate_probe.h"
#include "gate/gate_stall.h"
#include "gate/gate_table.h"
#include "hub/hub_load.h"
#include "hub/hub_outlier.h"
#include "hub/hub_state.h"
}

// How a target fails requests in a bad phase.
enum class Fault { kReset, kHang, kError };

struct LoadPattern {
	int targets = 211;
	int slots = 6;
	int queue = 12;
	int gates = 278;
	int zones = 5;
	double work_ms = 850;
	int64_t soft_deadline_ms = 3000;
	int64_t deadline_ms = 20000;
	double utilization = 0.4; // of all slots, without faults
	double repeatable = 0; // share of the requests
	// Targets have bad phases at any time, in which they fail requests.
	double bad_share = 0.3; // of the targets that have them
	double bad_ms = 4500; // mean length
	double well_ms = 4500; // mean time between, at these targets
	double fails = 0.85; // share of requests in a bad phase
	double fails_well = 0; // share at any other time, by a reset
	Fault fault = Fault::kReset;
	// A burst from one time to another, as a multiple of the load.
	double burst = 1;
	int64_t burst_from_ms = 0;
	int64_t burst_to_ms = 0;
	// Targets that are lost from that time on.
	double lost_share = 0;
	int64_t lost_from_ms = 0;
	// FLEET_FEATURE_SCARCE_CAPACITY is on at hub and gates.
	bool is_scarce = false;
	uint32_t features = 0; // of the gates
	gate_choice_by_t choice = GATE_CHOICE_BY_WORK;
	int64_t keep_alive_ms = 10000; // of the targets' connections
	bool has_speeds = false; // targets of speeds 1 : 2 : 4
	// A fifth of the requests have a route whose cost is a multiple of the
	// others'. From change_ms on it is the cost of the others.
	double heavy_ratio = 1;
	int64_t change_ms = INT64_MAX;
	// A share of the requests costs a multiple; nothing tells them apart.
	double tail_share = 0;
	double tail_ratio = 1;
	double work_spread = 0.5; // of the logarithm of the work
};

struct LoadFigures {
	int asked = 0;
	int in_aim = 0;
	int late = 0;
	int refused = 0; // by admission
	int shed = 0; // by targets that were full
	int failed = 0;
	double in_use = 0; // of the sound targets, sum over the samples
	double healthy = 0; // targets in use, sum over the samples
	double healthy_min = 1e9; // in a second
	int samples = 0;
	int probes_granted = 0;
	int probes_refused = 0;
	int probes_failed = 0;
	int ejections = 0;
	int sent = 0;
	int same_zone = 0; // sent within a zone
	int connected = 0; // sent on new connections
	std::vector<int64_t> latencies_ms; // of the served

	void
	Add(const LoadFigures &other)
	{
		asked += other.asked;
		in_aim += other.in_aim;
		late += other.late;
		refused += other.refused;
		shed += other.shed;
		failed += other.failed;
		in_use += other.in_use;
		healthy += other.healthy;
		healthy_min = std::min(healthy_min, other.healthy_min);
		samples += other.samples;
		probes_granted += other.probes_granted;
		probes_refused += other.probes_refused;
		probes_failed += other.probes_failed;
		ejections += other.ejections;
		sent += other.sent;
		same_zone += other.same_zone;
		connected += other.connected;
		latencies_ms.insert(latencies_ms.end(),
		    other.latencies_ms.begin(), other.latencies_ms.end());
	}

	double
	GetServed() const
	{
		return (Share(in_aim + late));
	}

	double
	GetInUse() const
	{
		return (samples > 0 ? in_use / samples : 0);
	}

	double
	GetHealthy() const
	{
		return (samples > 0 ? healthy / samples : 0);
	}

	double
	GetConnected() const
	{
		return (sent > 0 ? (double)connected / sent : 0);
	}

	int64_t
	GetLatencyMs(double quantile)
	{
		if (latencies_ms.empty())
			return (0);
		std::sort(latencies_ms.begin(), latencies_ms.end());
		return (latencies_ms[(
		    size_t)(quantile * (double)(latencies_ms.size() - 1))]);
	}

	double
	Share(int count) const
	{
		return (asked > 0 ? (double)count / asked : 0);
	}
};

class LoadModel {
      public:
	LoadModel(const LoadPattern &pattern, uint64_t seed)
	    : pattern_(pattern), random_(seed)
	{
		outlier_ = hub_outlier_create(0.7, OnVerdict, this);
		hub_outlier_set_scarce(outlier_, pattern.is_scarce);
		hub_outlier_set_repeatable(
		    outlier_, service_, pattern.repeatable > 0);
		targets_.resize((size_t)pattern.targets);
		for (size_t i = 0; i < targets_.size(); i++)
			AddTarget(i);
		for (int i = 0; i < pattern.gates; i++)
			gates_.push_back(gate_table_create(
			    ("zone-" + std::to_string(i % pattern.zones))
				.c_str(),
			    seed * 1000 + i));
		for (size_t i = 0; i < gates_.size(); i++) {
			gate_policy_t policy = {};

			policy.features = pattern.features;
			policy.choice = pattern.choice;
			policy.gate = fleet_name_hash(
			    ("gate-" + std::to_string(i)).c_str());
			policy.gate_count = (uint32_t)pattern.gates;
			gate_table_set_policy(gates_[i], &policy);
			costs_.push_back(gate_cost_create());
		}
		SendTable(0);
	}

	LoadModel(const LoadModel &) = delete;
	LoadModel &operator=(const LoadModel &) = delete;

	virtual ~LoadModel()
	{
		events_.clear();
		for (auto &entry : attempts_)
			gate_target_release(entry.second.target);
		for (gate_table_t *gate : gates_)
			gate_table_destroy(gate);
		for (gate_cost_t *cost : costs_)
			gate_cost_destroy(cost);
		hub_load_destroy(load_);
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	void
	Run(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += kStepMs)
			Step();
	}

	// Begins to count anew.
	LoadFigures
	TakeFigures()
	{
		LoadFigures taken = figures_;
		hub_outlier_counts_t counts = {};

		hub_outlier_count_service(outlier_, service_, now_, &counts);
		taken.probes_granted =
		    (int)(counts.probes_granted - taken_.probes_granted);
		taken.probes_refused =
		    (int)(counts.probes_refused - taken_.probes_refused);
		taken.probes_failed =
		    (int)(counts.probes_failed - taken_.probes_failed);
		taken.ejections = (int)(counts.ejections - taken_.ejections);
		taken_ = counts;
		figures_ = LoadFigures();
		return (taken);
	}

      protected:
	static constexpr int64_t kStepMs = 10;
	static constexpr int64_t kOneWayMs = 3;
	static constexpr int64_t kLeaseMs = 500;
	static constexpr int64_t kLoadMs = 200;
	static constexpr int64_t kResetMs = 2;
	static constexpr int kTriesMax = 2;
	static constexpr double kHeavyShare = 0.2;

	struct Target {
		uint64_t key = 0;
		bool has_phases = false;
		bool is_bad = false;
		bool is_lost = false;
		int64_t change_ms = 0;
		int64_t well_since_ms = 0;
		int running = 0;
		double speed = 1;
		std::deque<uint64_t> queue; // attempts
	};
	struct Request {
		int64_t started_ms;
		size_t gate;
		bool may_repeat;
		int tries = 0;
		int asks = 0;
		gate_cost_key_t cost_key = {};
		double excess = 0;
		double cost = 1; // as a multiple of the mean
		std::vector<uint64_t> tried;
	};
	struct Attempt {
		Request request;
		gate_target_t *target;
		size_t index;
		int64_t sent_ms;
		bool is_probe;
		bool is_running;
		bool is_stalled;
	};

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

	// Log-normal, with the mean of the pattern.
	int64_t
	DrawWorkMs()
	{
		double spread = pattern_.work_spread;

		return ((int64_t)(pattern_.work_ms *
		    std::lognormal_distribution<double>(
			-spread * spread / 2, spread)(random_)));
	}

	// Draws the route of a request and its cost, as a multiple of the mean.
	void
	DrawCost(Request *request)
	{
		bool is_heavy =
		    pattern_.heavy_ratio > 1 && Draw() < kHeavyShare;
		bool has_changed = now_ - start_ms_ >= pattern_.change_ms;
		double heavy_share =
		    has_changed ? 1 - kHeavyShare : kHeavyShare;

		request->cost_key.class_id = is_heavy ? 2 : 1;
		request->cost =
		    is_heavy != has_changed ? pattern_.heavy_ratio : 1;
		request->cost /= 1 + heavy_share * (pattern_.heavy_ratio - 1);
		if (pattern_.tail_share > 0 && Draw() < pattern_.tail_share)
			request->cost *= pattern_.tail_ratio;
		request->cost /=
		    1 + pattern_.tail_share * (pattern_.tail_ratio - 1);
	}

	// For trials: tells a gate more than it learns.
	virtual void
	PreparePick(size_t)
	{
	}

	// Work of an attempt that starts, at a target of speed 1.
	virtual double
	GetWorkMs(uint64_t id)
	{
		return ((double)DrawWorkMs() * attempts_[id].request.cost);
	}

	static void
	OnVerdict(
	    void *ctx, uint64_t target, fleet_verdict_t verdict, const char *)
	{
		static_cast<LoadModel *>(ctx)->changed_[target] = verdict;
	}

	void
	AddTarget(size_t i)
	{
		dialect_announcement_t as = {};
		hub_changed_targets_t changed;
		Target &target = targets_[i];
		size_t len;

		snprintf(as.id, sizeof(as.id), "t-%zu", i);
		snprintf(as.service, sizeof(as.service), "ledger");
		snprintf(as.zone, sizeof(as.zone), "zone-%zu",
		    i % (size_t)pattern_.zones);
		as.ip = 1;
		as.port = (uint16_t)(i + 1);
		as.slots = (uint32_t)pattern_.slots;
		as.born_ms = 1;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		target.key = changed.target->key;
		// Spread evenly, so that small services have their share, too.
		target.has_phases = (double)((i * 7) % targets_.size()) <
		    pattern_.bad_share * (double)targets_.size();
		target.change_ms = now_ + DrawMs(pattern_.well_ms);
		if (pattern_.has_speeds)
			target.speed = (1 << (i / 2 % 3)) * 3.0 / 7;
		hub_outlier_add_target(outlier_, target.key, service_, 1);
		indices_[target.key] = i;
	}

	// Sends the whole table or the verdicts that have changed.
	void
	SendTable(uint64_t since)
	{
		Tm__Fleet__Table table = TM__FLEET__TABLE__INIT;
		std::vector<Tm__Fleet__Target> rows;
		std::vector<Tm__Fleet__Target *> pointers;
		std::vector<uint64_t> judged;
		std::vector<uint32_t> verdicts;
		hub_target_t *target;

		table.term = 1;
		table.since = since;
		table.sequence = ++sequence_;
		rows.resize(targets_.size());
		for (target = state_->targets; since == 0 && target != nullptr;
		     target = (hub_target_t *)target->hh.next) {
			Tm__Fleet__Target *row = &rows[pointers.size()];

			tm__fleet__target__init(row);
			hub_target_to_message(row, &target->as);
			pointers.push_back(row);
		}
		for (auto &entry : changed_) {
			judged.push_back(entry.first);
			verdicts.push_back(entry.second);
		}
		changed_.clear();
		table.targets = pointers.data();
		table.n_targets = pointers.size();
		table.judged = judged.data();
		table.n_judged = judged.size();
		table.verdicts = verdicts.data();
		table.n_verdicts = verdicts.size();
		for (gate_table_t *gate : gates_)
			gate_table_apply(gate, &table, now_);
	}

	void
	After(int64_t ms, const std::function<void()> &act)
	{
		events_.emplace(now_ + ms, act);
	}

	void
	Report(const Attempt &attempt, fleet_evidence_t kind, bool is_probe)
	{
		hub_evidence_t evidence = {};

		evidence.target = targets_[attempt.index].key;
		evidence.gate = attempt.request.gate + 1;
		evidence.kind = kind;
		evidence.is_probe = is_probe;
		After(kOneWayMs, [this, evidence] {
			hub_outlier_record_evidence(outlier_, &evidence, now_);
		});
	}

	void
	Finish(int LoadFigures::*outcome)
	{
		figures_.asked++;
		(figures_.*outcome)++;
	}

	gate_service_t *
	GetService(size_t gate)
	{
		return (gate_table_find_service(gates_[gate], "ledger"));
	}

	gate_pick_options_t
	GetOptions(const Request &request)
	{
		gate_pick_options_t options = {};

		options.tried = request.tried.data();
		options.tried_count = (uint32_t)request.tried.size();
		options.may_repeat = request.may_repeat;
		options.has_leader = request.asks == 0;
		options.now_ms = now_;
		return (options);
	}

	void
	Arrive()
	{
		Request request = {};

		request.started_ms = now_;
		request.gate = random_() % gates_.size();
		request.may_repeat = Draw() < pattern_.repeatable;
		DrawCost(&request);
		if (!gate_table_admits(gates_[request.gate],
			GetService(request.gate), pattern_.soft_deadline_ms, 1,
			now_)) {
			Finish(&LoadFigures::refused);
			return;
		}
		Dispatch(request);
	}

	void
	Dispatch(Request request)
	{
		PreparePick(request.gate);
		gate_pick_options_t options = GetOptions(request);
		gate_choice_t choice = gate_table_pick(
		    gates_[request.gate], GetService(request.gate), &options);

		if (choice.must_ask_leader) {
			request.asks++;
			if (pattern_.is_scarce)
				gate_probe_use_offer(GetService(request.gate));
			After(kOneWayMs, [this, request] { Assign(request); });
		} else if (choice.target == nullptr) {
			Finish(&LoadFigures::shed);
		} else {
			Send(request, choice.target, choice.is_probe);
		}
	}

	void
	Assign(const Request &request)
	{
		hub_assignment_t assignment =
		    hub_outlier_assign_target(outlier_, service_,
			request.gate + 1, request.may_repeat, now_);

		After(kOneWayMs, [this, request, assignment] {
			gate_target_t *target = assignment.target != 0
			    ? gate_table_find_target(
				  gates_[request.gate], assignment.target)
			    : nullptr;

			if (target != nullptr) {
				Send(request, target, assignment.is_probe);
				return;
			}
			gate_service_delay_asking(
			    GetService(request.gate), now_);
			Dispatch(request);
		});
	}

	void
	Send(Request request, gate_target_t *target, bool is_probe)
	{
		uint64_t id = ++last_id_;

		request.tries++;
		if (pattern_.features != 0 &&
		    pattern_.choice == GATE_CHOICE_BY_WORK)
			request.excess =
			    gate_cost_get_weight(costs_[request.gate],
				&request.cost_key, &target->service->costs,
				now_) -
			    1;
		target->excess += request.excess;
		request.tried.push_back(target->key);
		gate_target_acquire(target);
		figures_.sent++;
		figures_.same_zone += target->is_same_zone;
		figures_.connected += !gate_idle_take(&target->idle,
		    gate_subset_get_reuse_ms(target->idle_max_ms), now_);
		attempts_[id] = Attempt{ request, target, indices_[target->key],
			now_, is_probe, false, false };
		After(1, [this, id] { Reach(id); });
		if (request.started_ms + pattern_.deadline_ms > now_)
			events_.emplace(
			    request.started_ms + pattern_.deadline_ms,
			    [this, id] { Expire(id); });
	}

	void
	Reach(uint64_t id)
	{
		auto found = attempts_.find(id);

		if (found == attempts_.end())
			return;
		Target &target = targets_[found->second.index];

		if (target.is_lost ||
		    (target.is_bad && Draw() < pattern_.fails)) {
			FailAt(target, id);
			return;
		}
		if (pattern_.fails_well > 0 && Draw() < pattern_.fails_well) {
			After(kResetMs, [this, id] {
				End(id, FLEET_EVIDENCE_BROKEN, true);
			});
			return;
		}
		if (target.running < pattern_.slots) {
			Start(target, id);
		} else if ((int)target.queue.size() < pattern_.queue) {
			target.queue.push_back(id);
		} else {
			After(1, [this, id] {
				End(id, FLEET_EVIDENCE_SHED, false);
			});
		}
	}

	void
	FailAt(Target &target, uint64_t id)
	{
		if (target.is_lost || pattern_.fault == Fault::kReset) {
			After(kResetMs, [this, id] {
				End(id, FLEET_EVIDENCE_BROKEN, true);
			});
			return;
		}
		if (pattern_.fault == Fault::kError) {
			After(DrawWorkMs() / 2, [this, id] {
				End(id, FLEET_EVIDENCE_ERROR, true);
			});
			return;
		}
		target.running++;
		attempts_[id].is_running = true;
	}

	void
	Start(Target &target, uint64_t id)
	{
		target.running++;
		attempts_[id].is_running = true;
		After((int64_t)(GetWorkMs(id) / target.speed),
		    [this, id] { End(id, FLEET_EVIDENCE_SUCCESS, true); });
	}

	void
	FreeSlot(size_t index)
	{
		Target &target = targets_[index];

		target.running--;
		while (
		    !target.queue.empty() && target.running < pattern_.slots) {
			uint64_t id = target.queue.front();

			target.queue.pop_front();
			if (attempts_.count(id) > 0)
				Start(target, id);
		}
	}

	// Takes an attempt out; its slot is free again.
	bool
	Take(uint64_t id, Attempt *attempt)
	{
		auto found = attempts_.find(id);

		if (found == attempts_.end())
			return (false);
		*attempt = found->second;
		attempts_.erase(found);
		attempt->target->excess -= attempt->request.excess;
		if (attempt->is_running)
			FreeSlot(attempt->index);
		return (true);
	}

	void
	End(uint64_t id, fleet_evidence_t kind, bool has_run)
	{
		Attempt attempt = {};

		if (!Take(id, &attempt))
			return;
		if (kind == FLEET_EVIDENCE_SUCCESS)
			gate_target_record_success(
			    attempt.target, now_ - attempt.sent_ms);
		if (kind == FLEET_EVIDENCE_SHED)
			gate_target_avoid(
			    attempt.target, now_ + GATE_AVOID_SHED_MS);
		if (kind == FLEET_EVIDENCE_SUCCESS ||
		    kind == FLEET_EVIDENCE_SHED) {
			const Target &target = targets_[attempt.index];

			gate_target_set_load(attempt.target,
			    (uint32_t)(target.running + target.queue.size()),
			    now_);
			attempt.target->idle_max_ms = pattern_.keep_alive_ms;
			gate_idle_add(&attempt.target->idle, now_);
		}
		if (kind == FLEET_EVIDENCE_SUCCESS && pattern_.features != 0) {
			gate_cost_outcome_t outcome = {};

			outcome.latency_ms = (double)(now_ - attempt.sent_ms);
			outcome.load = (double)(attempt.target->load + 1) /
			    attempt.target->slots;
			outcome.now_ms = now_;
			gate_cost_record(costs_[attempt.request.gate],
			    &attempt.request.cost_key, &attempt.target->speed,
			    &attempt.target->service->costs, &outcome);
		}
		if (kind != FLEET_EVIDENCE_SUCCESS || attempt.is_probe)
			Report(attempt, kind, attempt.is_probe);
		gate_target_release(attempt.target);
		if (kind == FLEET_EVIDENCE_SUCCESS)
			figures_.latencies_ms.push_back(
			    now_ - attempt.request.started_ms);
		if (kind == FLEET_EVIDENCE_SUCCESS)
			Finish(now_ - attempt.request.started_ms <=
				    pattern_.soft_deadline_ms
				? &LoadFigures::in_aim
				: &LoadFigures::late);
		else if ((!has_run || attempt.request.may_repeat) &&
		    attempt.request.tries < kTriesMax)
			Dispatch(attempt.request);
		else
			Finish(has_run ? &LoadFigures::failed
				       : &LoadFigures::shed);
	}

	void
	Expire(uint64_t id)
	{
		Attempt attempt = {};

		if (!Take(id, &attempt))
			return;
		Report(attempt, FLEET_EVIDENCE_STALL, attempt.is_probe);
		gate_target_release(attempt.target);
		Finish(&LoadFigures::failed);
	}

	// Stalled attempts are reported, and repeated where they may be.
	void
	CheckStalls()
	{
		std::vector<uint64_t> repeated;

		for (auto &entry : attempts_) {
			Attempt &attempt = entry.second;
			const gate_service_t *service = attempt.target->service;
			gate_stall_t stall = {};

			stall.age_ms = now_ - attempt.sent_ms;
			stall.left_ms = attempt.request.started_ms +
			    pattern_.deadline_ms - now_;
			stall.soft_deadline_ms = pattern_.soft_deadline_ms;
			stall.mean_ms =
			    gate_admission_get_expected_ms(service, now_);
			stall.utilization =
			    gate_admission_get_utilization(service, now_);
			if (!attempt.is_stalled &&
			    gate_stall_is_evidence(&stall)) {
				attempt.is_stalled = true;
				if (!attempt.is_probe)
					Report(attempt, FLEET_EVIDENCE_STALL,
					    false);
			}
			if (attempt.request.may_repeat &&
			    attempt.request.tries < kTriesMax &&
			    gate_stall_should_repeat(&stall))
				repeated.push_back(entry.first);
		}
		for (uint64_t id : repeated) {
			Attempt attempt = {};

			if (!Take(id, &attempt))
				continue;
			if (attempt.is_probe)
				Report(attempt, FLEET_EVIDENCE_STALL, true);
			gate_target_release(attempt.target);
			Dispatch(attempt.request);
		}
	}

	void
	StepTargets()
	{
		int64_t elapsed_ms = now_ - start_ms_;

		for (size_t i = 0; i < targets_.size(); i++) {
			Target &target = targets_[i];

			target.is_lost = pattern_.lost_share > 0 &&
			    elapsed_ms >= pattern_.lost_from_ms &&
			    (double)((i * 11) % targets_.size()) <
				pattern_.lost_share * (double)targets_.size();
			if (!target.has_phases || now_ < target.change_ms)
				continue;
			target.is_bad = !target.is_bad;
			target.change_ms = now_ +
			    DrawMs(target.is_bad ? pattern_.bad_ms
						 : pattern_.well_ms);
			if (!target.is_bad)
				target.well_since_ms = now_;
		}
	}

	// Leases of the gates; they fall due at different times.
	void
	StepLeases()
	{
		const hub_utilization_t *list;
		size_t count;

		for (size_t i = 0; i < gates_.size(); i++) {
			if ((now_ / kStepMs + (int64_t)i) %
				(kLeaseMs / kStepMs) !=
			    0)
				continue;
			Renew(i);
			list = hub_load_list(load_, &count);
			for (size_t k = 0; k < count; k++) {
				if (list[k].load >= 1)
					gate_table_set_utilization(gates_[i],
					    list[k].service, list[k].load,
					    list[k].work_ms, now_);
			}
			const hub_full_targets_t *full =
			    hub_load_get_full(load_);

			for (size_t k = 0; k < full->count; k++)
				gate_table_set_load(gates_[i], full->keys[k],
				    full->requests[k], full->reported_ms[k]);
			if (pattern_.is_scarce)
				has_idle_ = (size_t)hub_outlier_offer(
				    outlier_, service_, i + 1, now_);
			gate_table_set_idle(
			    gates_[i], &service_, has_idle_, now_);
		}
	}

	void
	Renew(size_t gate)
	{
		size_t count;
		Tm__Fleet__Outcome *outcomes =
		    gate_table_collect_outcomes(gates_[gate], &count);

		for (size_t i = 0; i < count; i++) {
			if (outcomes[i].sent > 0)
				hub_outlier_record_sent(
				    outlier_, outcomes[i].target, now_);
			hub_outlier_record_successes(outlier_,
			    outcomes[i].target, outcomes[i].good, now_);
			hub_load_record_successes(load_, service_,
			    outcomes[i].good, outcomes[i].latency_sum_ms);
			if (outcomes[i].load > 0)
				hub_load_record(load_, outcomes[i].target,
				    outcomes[i].load - 1, now_);
		}
		free(outcomes);
	}

	void
	StepHub()
	{
		hub_outlier_counts_t counts;
		const hub_utilization_t *list;
		size_t count;

		for (Target &target : targets_)
			hub_outlier_record_announcement(
			    outlier_, target.key, now_);
		hub_outlier_tick(outlier_, now_);
		hub_load_update(load_, state_, outlier_, now_);
		list = hub_load_list(load_, &count);
		if (count > 0)
			hub_outlier_set_utilization(
			    outlier_, service_, list[0].load);
		has_idle_ = hub_outlier_count_service(
				outlier_, service_, now_, &counts) == 0 &&
			counts.idle > 0 && (count == 0 || list[0].load < 1)
		    ? 1
		    : 0;
	}

	void
	CountInUse()
	{
		int sound = 0;
		int in_use = 0;
		int healthy = 0;

		for (const Target &target : targets_) {
			healthy += hub_outlier_get_verdict(outlier_,
				       target.key) == FLEET_VERDICT_HEALTHY;
			if (target.is_bad || target.is_lost ||
			    now_ - target.well_since_ms <
				HUB_OUTLIER_SOUND_AFTER_MS)
				continue;
			sound++;
			in_use += hub_outlier_get_verdict(outlier_,
				      target.key) == FLEET_VERDICT_HEALTHY;
		}
		if (sound == 0)
			return;
		figures_.in_use += (double)in_use / sound;
		figures_.samples++;
		figures_.healthy += healthy;
		healthy_sum_ += healthy;
		if (now_ % 1000 != 0)
			return;
		figures_.healthy_min =
		    std::min(figures_.healthy_min, healthy_sum_ / 10);
		healthy_sum_ = 0;
	}

	double
	GetRequestsPerMs() const
	{
		int64_t elapsed_ms = now_ - start_ms_;
		double rate = pattern_.utilization * pattern_.targets *
		    pattern_.slots / pattern_.work_ms;

		return (elapsed_ms >= pattern_.burst_from_ms &&
			    elapsed_ms < pattern_.burst_to_ms
			? rate * pattern_.burst
			: rate);
	}

	void
	Step()
	{
		StepTargets();
		while (!events_.empty() && events_.begin()->first <= now_) {
			std::function<void()> act = events_.begin()->second;

			events_.erase(events_.begin());
			act();
		}
		for (credit_ += GetRequestsPerMs() * kStepMs; credit_ > 0;
		     credit_ -=
		     std::exponential_distribution<double>(1)(random_))
			Arrive();
		if (now_ % 50 == 0) {
			hub_outlier_tick(outlier_, now_);
			CheckStalls();
		}
		if (now_ % kLoadMs == 0)
			StepHub();
		StepLeases();
		if (!changed_.empty())
			SendTable(sequence_);
		if (now_ % 100 == 0)
			CountInUse();
	}

	LoadPattern pattern_;
	std::mt19937_64 random_;
	int64_t now_ = 1000000;
	int64_t start_ms_ = 1000000;
	uint64_t service_ = fleet_name_hash("ledger");
	hub_state_t *state_ = hub_state_create();
	hub_outlier_t *outlier_;
	hub_load_t *load_ = hub_load_create();
	std::vector<Target> targets_;
	std::map<uint64_t, size_t> indices_;
	std::vector<gate_table_t *> gates_;
	std::vector<gate_cost_t *> costs_;
	std::map<uint64_t, fleet_verdict_t> changed_;
	std::multimap<int64_t, std::function<void()>> events_;
	std::map<uint64_t, Attempt> attempts_;
	uint64_t last_id_ = 0;
	uint64_t sequence_ = 0;
	size_t has_idle_ = 0;
	double credit_ = 0;
	LoadFigures figures_;
	double healthy_sum_ = 0;
	hub_outlier_counts_t taken_ = {};
};

#endif
