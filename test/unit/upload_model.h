// Uploads to targets that crash above a memory that nobody states: 38 gates, 28
// targets, 86 uploads a second of some 60 kB, on a virtual clock, with the decision
// modules of hub and gates. Messages are lost, the leader changes in a burst, a gate
// dies, a target is slow.
#ifndef TM_TEST_UPLOAD_MODEL_H
#define TM_TEST_UPLOAD_MODEL_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "base/rng.h"
#include "gate/gate_upload.h"
#include "hub/hub_upload.h"
}

struct UploadOptions {
	bool has_permits = true; // the mechanism under test
	bool has_share = true; // without a leader
	bool has_gate_death = true;
	uint32_t gates = 38;
	uint32_t targets = 28;
	double per_s = 86;
	double burst_factor = 8;
	int64_t burst_from_ms = 40000;
	int64_t burst_until_ms = 49000;
	int64_t leader_lost_ms = 45000; // in the burst
	int64_t leader_back_ms = 45800;
	int64_t gate_dies_ms = 46500;
	int64_t slow_from_ms = 10000; // target 0 hardly works
	int64_t slow_until_ms = 38000;
	int64_t end_ms = 70000;
	double memory_bytes = 2e6;
	double lost_share = 0.02; // of the reports of ends
	uint64_t seed = 1;
};

struct UploadOutcome {
	uint32_t sent = 0;
	uint32_t served = 0;
	uint32_t broken = 0; // in crashes
	uint32_t refused = 0; // at once
	uint32_t late = 0;
	uint32_t crashes = 0;
	uint32_t crashes_slow = 0; // of these, of the slow target
	double most_held = 0; // by a target
	double most_held_alone = 0; // while no leader answered
	int64_t last_counted = 0; // bytes that the leader counts at the end
};

class UploadModel {
      public:
	explicit UploadModel(const UploadOptions &options) : options_(options)
	{
		rng_init(&rng_, options.seed);
		hub_ = hub_upload_create(0);
		for (uint32_t i = 0; i < options.gates; i++)
			gates_.push_back({ gate_upload_create(), i + 1 });
		targets_.resize(options.targets);
	}
	~UploadModel()
	{
		hub_upload_destroy(hub_);
		for (auto &gate : gates_)
			gate_upload_destroy(gate.upload);
	}
	UploadModel(const UploadModel &) = delete;
	UploadModel &operator=(const UploadModel &) = delete;

	UploadOutcome
	Run()
	{
		for (now_ = 0; now_ < options_.end_ms; now_ += kStepMs)
			Step();
		out_.last_counted = (int64_t)hub_upload_count_bytes(hub_);
		return (out_);
	}

	uint64_t
	Bound()
	{
		return (hub_upload_get_bound(hub_, kService));
	}

      private:
	static const int64_t kStepMs = 10;
	static const int64_t kWorkMs = 250;
	static const int64_t kDeadlineMs = 20000;
	static const int64_t kRestartMs = 4000;
	static const int64_t kRenewalMs = 500;
	static const uint32_t kSlots = 4;
	static const uint64_t kService = 5;

	struct Request {
		uint32_t gate;
		uint32_t id; // in the gate's module; 0: none
		double bytes;
		int64_t deadline_ms;
		double left_ms; // of work
	};
	struct Target {
		uint64_t incarnation = 1;
		int64_t down_until_ms = 0;
		double held = 0;
		std::deque<Request> requests; // the first kSlots run
	};
	struct Gate {
		gate_upload_t *upload;
		uint64_t incarnation;
		int64_t down_until_ms = 0;
		std::vector<uint32_t> in_flight = {};
	};

	bool
	HasLeader() const
	{
		return (now_ < options_.leader_lost_ms ||
		    now_ >= options_.leader_back_ms);
	}

	// Two random targets, the one with fewer requests of this gate.
	uint32_t
	Prefer(Gate &gate)
	{
		uint32_t a = Random();
		uint32_t b = Random();

		gate.in_flight.resize(options_.targets);
		return (gate.in_flight[a] <= gate.in_flight[b] ? a : b);
	}
	// @return a target that runs, if there is any
	uint32_t
	Random()
	{
		uint32_t t = 0;

		for (int tries = 0; tries < 100; tries++) {
			t = (uint32_t)rng_below(&rng_, options_.targets);
			if (now_ >= targets_[t].down_until_ms)
				break;
		}
		return (t);
	}

	// @return target, or -1: refused; as hub_upload_permit_acquire()
	int
	AskLeader(uint32_t gate, const gate_upload_item_t &item, uint32_t id)
	{
		int best = -1;

		for (uint32_t t = 0; t < options_.targets; t++) {
			if (now_ < targets_[t].down_until_ms ||
			    !hub_upload_has_room(hub_, t + 1,
				targets_[t].incarnation, kService, item.bytes))
				continue;
			if (t + 1 == item.target) {
				best = (int)t;
				break;
			}
			if (best < 0 || Counted(t) < Counted((uint32_t)best))
				best = (int)t;
		}
		if (best < 0)
			return (-1);
		const hub_upload_permit_t permit = { gate + 1, id,
			(uint64_t)best + 1, targets_[best].incarnation,
			kService, item.bytes, item.deadline_ms };
		hub_upload_add(hub_, &permit, now_);
		return (best);
	}
	uint64_t
	Counted(uint32_t t) const
	{
		return (
		    hub_upload_get_bytes(hub_, t + 1, targets_[t].incarnation));
	}

	void
	Send(uint32_t g)
	{
		Gate &gate = gates_[g];
		double bytes =
		    std::min(17e3 - 43e3 * log(1 - rng_unit(&rng_)), 360e3);
		uint32_t t = Prefer(gate);
		gate_upload_item_t item = { t + 1, targets_[t].incarnation,
			kService, (uint32_t)bytes, now_ + kDeadlineMs };
		const gate_upload_fleet_t fleet = { options_.gates,
			options_.targets };
		uint32_t id = 0;
		int chosen = (int)t;

		out_.sent++;
		if (options_.has_permits) {
			if (HasLeader() && hub_upload_is_settled(hub_, now_)) {
				id = gate_upload_begin(gate.upload, &item);
				chosen = AskLeader(g, item, id);
			} else if (!options_.has_share ||
			    gate_upload_has_share(gate.upload, &item, &fleet)) {
				id = gate_upload_begin(gate.upload, &item);
			} else {
				chosen = -1;
			}
		}
		// Nothing runs.
		if (chosen >= 0 && now_ < targets_[chosen].down_until_ms)
			chosen = -1;
		if (chosen < 0) {
			gate_upload_finish(
			    gate.upload, id, GATE_UPLOAD_UNANSWERED);
			out_.refused++;
			return;
		}
		t = (uint32_t)chosen;
		gate_upload_set_target(
		    gate.upload, id, t + 1, targets_[t].incarnation);
		gate.in_flight[t]++;
		targets_[t].held += bytes;
		targets_[t].requests.push_back(
		    { g, id, bytes, now_ + kDeadlineMs, (double)kWorkMs });
		out_.most_held = std::max(out_.most_held, targets_[t].held);
		if (now_ >= options_.leader_lost_ms &&
		    now_ < options_.leader_back_ms + HUB_UPLOAD_SETTLE_MS)
			out_.most_held_alone =
			    std::max(out_.most_held_alone, targets_[t].held);
		if (targets_[t].held > options_.memory_bytes)
			Crash(t);
	}

	void
	End(uint32_t t, const Request &request, gate_upload_end_t how)
	{
		Gate &gate = gates_[request.gate];

		targets_[t].held -= request.bytes;
		if (gate.in_flight.size() > t && gate.in_flight[t] > 0)
			gate.in_flight[t]--;
		gate_upload_finish(gate.upload, request.id, how);
	}

	void
	Crash(uint32_t t)
	{
		Target &target = targets_[t];
		hub_upload_crash_t crash;

		out_.crashes++;
		out_.crashes_slow += t == 0;
		out_.broken += (uint32_t)target.requests.size();
		for (const auto &request : target.requests)
			End(t, request, GATE_UPLOAD_BROKEN);
		target.requests.clear();
		target.held = 0;
		// Ends and crash reach the leader in any order.
		Report(false);
		if (HasLeader())
			hub_upload_record_crash(
			    hub_, t + 1, target.incarnation, now_, &crash);
		target.incarnation++;
		target.down_until_ms = now_ + kRestartMs;
	}

	void
	Work(uint32_t t)
	{
		Target &target = targets_[t];
		double speed = t == 0 && now_ >= options_.slow_from_ms &&
			now_ < options_.slow_until_ms
		    ? 0.01
		    : 1;

		for (size_t i = 0; i < target.requests.size();) {
			Request &request = target.requests[i];
			if (i < kSlots)
				request.left_ms -= speed * kStepMs;
			if (request.left_ms > 0 && now_ < request.deadline_ms) {
				i++;
				continue;
			}
			bool is_served = request.left_ms <= 0;
			(is_served ? out_.served : out_.late)++;
			End(t, request,
			    is_served ? GATE_UPLOAD_ANSWERED
				      : GATE_UPLOAD_UNANSWERED);
			target.requests.erase(
			    target.requests.begin() + (ptrdiff_t)i);
		}
	}

	// As hub_upload_permit_receive() handles it.
	void
	Deliver(uint32_t g, const Tm__Fleet__Uploads &msg)
	{
		hub_upload_hear(hub_, g + 1, gates_[g].incarnation, now_);
		for (size_t i = 0; i < msg.n_bounds; i++) {
			const hub_upload_bound_t bound = {
				msg.bounds[i]->service, msg.bounds[i]->bytes
			};
			hub_upload_restore_bound(hub_, &bound, now_);
		}
		for (size_t i = 0; i < msg.n_running; i++) {
			const Tm__Fleet__Upload *item = msg.running[i];
			const hub_upload_permit_t permit = { g + 1, item->id,
				item->target, item->born_ms, item->service,
				item->bytes, now_ + item->left_ms };
			if (item->born_ms ==
			    targets_[item->target - 1].incarnation)
				hub_upload_add(hub_, &permit, now_);
		}
		Finish(g, msg.answered, msg.n_answered, HUB_UPLOAD_ANSWERED);
		Finish(
		    g, msg.unanswered, msg.n_unanswered, HUB_UPLOAD_UNANSWERED);
		Finish(g, msg.broken, msg.n_broken, HUB_UPLOAD_BROKEN);
	}
	void
	Finish(
	    uint32_t g, const uint32_t *ids, size_t count, hub_upload_end_t how)
	{
		for (size_t i = 0; i < count; i++)
			hub_upload_finish(hub_, g + 1, ids[i], how, now_);
	}

	void
	Report(bool is_full)
	{
		Tm__Fleet__Uploads msg;

		if (!HasLeader())
			return;
		for (uint32_t g = 0; g < options_.gates; g++) {
			gate_upload_t *upload = gates_[g].upload;
			if (now_ < gates_[g].down_until_ms ||
			    !gate_upload_fill(upload, is_full, now_, &msg))
				continue;
			if (is_full || rng_unit(&rng_) >= options_.lost_share)
				Deliver(g, msg);
			gate_upload_clear_report(upload);
		}
	}

	// The leases of the leader.
	void
	Renew()
	{
		hub_upload_bound_t known[HUB_UPLOAD_BOUNDS_MAX];
		size_t count = hub_upload_list_bounds(hub_, known);
		Tm__Fleet__UploadBound bound = TM__FLEET__UPLOAD_BOUND__INIT;
		Tm__Fleet__UploadBound *bounds[] = { &bound };

		Report(true);
		if (count == 0 || !HasLeader())
			return;
		bound.service = known[0].service;
		bound.bytes = known[0].bytes;
		for (auto &gate : gates_)
			gate_upload_set_bounds(gate.upload, bounds, 1);
	}

	void
	KillGate(uint32_t g)
	{
		for (uint32_t t = 0; t < options_.targets; t++) {
			auto &requests = targets_[t].requests;
			for (size_t i = 0; i < requests.size();) {
				if (requests[i].gate != g) {
					i++;
					continue;
				}
				targets_[t].held -= requests[i].bytes;
				requests.erase(requests.begin() + (ptrdiff_t)i);
			}
		}
		gate_upload_destroy(gates_[g].upload);
		gates_[g] = { gate_upload_create(), gates_[g].incarnation + 100,
			now_ + 3000 };
	}

	void
	Step()
	{
		double rate = options_.per_s *
		    (now_ >= options_.burst_from_ms &&
				now_ < options_.burst_until_ms
			    ? options_.burst_factor
			    : 1);

		if (now_ == options_.leader_back_ms)
			hub_upload_reset(hub_, now_);
		if (now_ == options_.gate_dies_ms && options_.has_gate_death)
			KillGate(7);
		// A new leader is told at once, then with each renewal.
		if (now_ % kRenewalMs == 0 ||
		    now_ == options_.leader_back_ms + 100)
			Renew();
		for (uint32_t t = 0; t < options_.targets; t++)
			Work(t);
		Report(false);
		if (HasLeader())
			hub_upload_tick(hub_, now_);
		for (due_ += rate * kStepMs / 1000; due_ >= 1; due_--) {
			uint32_t g = (uint32_t)rng_below(&rng_, options_.gates);
			if (now_ >= gates_[g].down_until_ms)
				Send(g);
		}
	}

	UploadOptions options_;
	rng_t rng_;
	hub_upload_t *hub_;
	std::vector<Gate> gates_;
	std::vector<Target> targets_;
	UploadOutcome out_;
	int64_t now_ = 0;
	double due_ = 0;
};

#endif
