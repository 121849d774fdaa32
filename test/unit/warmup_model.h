// One service with cold targets on a virtual clock: the leading hub's decisions on
// cold targets and its permits, and the gates' tables and limits. Messages take a
// time of their own for each gate.
#ifndef TM_TEST_WARMUP_MODEL_H
#define TM_TEST_WARMUP_MODEL_H

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "fleet/fleet_config.h"
#include "fleet/fleet_limit.h"
#include "gate/gate_table.h"
#include "hub/hub_signals.h"
#include "hub/hub_warmup.h"
}

struct WarmupPattern {
	int gates = 127;
	int targets = 12;
	double per_s = 12; // requests for each target
	double burst = 1; // multiple of that from 2 s on
	uint32_t warm_load = 0; // that the gates know of each warm target
	double lost = 0; // share of the leader's answers
	bool has_permits = true; // the mechanism
	bool has_spacing = true; // that of gates without a leader
	uint64_t seed = 1;
};

class WarmupModel {
      public:
	static constexpr double kPerS = 5.8;
	static constexpr double kOvershoot = 1.5;
	static constexpr double kSlack = 8;
	static constexpr double kBound = kPerS * kOvershoot + kSlack;
	static constexpr int64_t kSoftMs = 2000;
	static constexpr int64_t kWorkMs = 200;

	explicit WarmupModel(const WarmupPattern &pattern)
	    : pattern_(pattern), random_(pattern.seed),
	      targets_((size_t)pattern.targets), gates_((size_t)pattern.gates)
	{
		warmup_ = hub_warmup_create(OnChange, this);
		for (size_t i = 0; i < targets_.size(); i++)
			AddTarget(i);
		for (Gate &gate : gates_) {
			gate_policy_t policy = {};

			policy.gate_count = (uint32_t)pattern.gates;
			gate.table = gate_table_create("z", random_());
			gate_table_set_policy(gate.table, &policy);
			gate.delay_ms = 1 + (int64_t)(Draw() * 20);
			ApplyTable(gate, 0, All());
		}
		At(now_, [this] { Arrive(); });
		if (pattern.warm_load > 0)
			At(now_, [this] { ReportLoads(); });
	}

	WarmupModel(const WarmupModel &) = delete;
	WarmupModel &operator=(const WarmupModel &) = delete;

	~WarmupModel()
	{
		for (auto &entry : running_)
			gate_target_release(entry.second);
		for (Gate &gate : gates_)
			gate_table_destroy(gate.table);
		hub_warmup_destroy(warmup_);
		hub_signals_destroy(signals_);
	}

	void
	Run(int64_t ms)
	{
		int64_t end = now_ + ms;

		while (!events_.empty() && events_.begin()->first <= end) {
			auto event = events_.begin();
			std::function<void()> run = event->second;

			now_ = event->first;
			events_.erase(event);
			run();
		}
		now_ = end;
	}

	// Turns targets cold; their next announcement says so, or the one that
	// they send at once.
	void
	TurnCold(size_t from, size_t to, int64_t ms, bool at_once = true)
	{
		for (size_t i = from; i < to; i++) {
			targets_[i].cold_until_ms = now_ + ms;
			if (at_once)
				Announce(i);
		}
	}

	void
	Suspect()
	{
		hub_warmup_suspect(warmup_, 1, now_);
		for (Target &target : targets_)
			target.learnt_ms = now_ + kLearnMs;
	}

	void
	CutOff(double share, int64_t ms)
	{
		for (size_t i = 0; i < (size_t)(share * pattern_.gates); i++)
			gates_[i].cut_until_ms = now_ + ms;
	}

	// Another hub leads after a time.
	void
	ChangeLeader(int64_t without_ms)
	{
		is_leading_ = false;
		At(now_ + without_ms, [this] { BeginLeading(); });
	}

	// Most requests that a cold target got in a second, from the time at
	// which the gates could know.
	size_t
	MostInASecond(size_t target) const
	{
		return (Most(targets_[target]));
	}

	size_t
	MostInASecond() const
	{
		size_t most = 0;

		for (const Target &target : targets_)
			most = std::max(most, Most(target));
		return (most);
	}

	int served = 0;
	int refused = 0;
	int refused_late = 0; // held for longer than a reservation may take
	int refused_without_time = 0;
	int refused_in_touch = 0;
	int refused_cut_off = 0;
	int room_by_rate = 0; // refused in touch while one got less than kPerS
	int served_by_cold = 0;

      private:
	static constexpr int64_t kLearnMs = 60;
	static constexpr int64_t kAnnounceMs = 1500;

	struct Target {
		uint64_t key;
		std::string id;
		uint64_t sequence = 0;
		int64_t cold_until_ms = 0; // in truth
		int64_t learnt_ms = 0; // the leader was told, and rows arrived
		uint32_t replicated_ms = 0;
		std::vector<int64_t> arrivals; // while it was cold and known so
		std::vector<int64_t> all;
	};
	struct Gate {
		gate_table_t *table;
		int64_t delay_ms;
		int64_t cut_until_ms = 0;
		int64_t answered_ms = 0;
	};
	struct Request {
		size_t gate;
		int64_t started_ms;
		int refusals = 0;
		bool is_leader_silent = false;
		bool is_answered = false; // its permit
	};

	double
	Draw()
	{
		return (std::uniform_real_distribution<double>(0, 1)(random_));
	}

	void
	At(int64_t ms, std::function<void()> run)
	{
		events_.emplace(ms, std::move(run));
	}

	static size_t
	Most(const Target &target)
	{
		size_t most = 0;
		size_t first = 0;
		std::vector<int64_t> times = target.arrivals;

		std::sort(times.begin(), times.end());
		for (size_t i = 0; i < times.size(); i++) {
			while (times[i] - times[first] >= 1000)
				first++;
			most = std::max(most, i - first + 1);
		}
		return (most);
	}

	void
	AddTarget(size_t i)
	{
		Target &target = targets_[i];

		target.id = "t-" + std::to_string(i);
		target.key = fleet_name_hash(target.id.c_str());
		indices_[target.key] = i;
		At(now_ + (int64_t)(Draw() * kAnnounceMs),
		    [this, i] { AnnounceAgain(i); });
	}

	void
	AnnounceAgain(size_t i)
	{
		Announce(i);
		At(now_ + kAnnounceMs, [this, i] { AnnounceAgain(i); });
	}

	void
	Announce(size_t i)
	{
		Target &target = targets_[i];
		int64_t left_ms =
		    std::max<int64_t>(target.cold_until_ms - now_, 0);

		if (!is_leading_)
			return;
		target.sequence++;
		if ((left_ms > 0) != (target.replicated_ms > 0))
			target.replicated_ms = (uint32_t)left_ms;
		if (left_ms > 0 && target.learnt_ms < now_ - 10000)
			target.learnt_ms = now_ + kLearnMs;
		const hub_warmup_report_t report =
		    Report(target, (uint32_t)left_ms);
		hub_warmup_record(warmup_, &report, now_);
	}

	hub_warmup_report_t
	Report(const Target &target, uint32_t left_ms) const
	{
		return (hub_warmup_report_t{
		    { target.key, 1 }, 2, 1, target.sequence, left_ms, now_ });
	}

	static void
	OnChange(void *ctx, const hub_warmup_change_t *change, int64_t now_ms)
	{
		auto *model = static_cast<WarmupModel *>(ctx);
		const hub_warmup_limit_t limit = {
			fleet_limit_encode(hub_warmup_get_rate_per_s(
			    kPerS, kOvershoot, kSlack)),
			HUB_WARMUP_BURST, change->until_ms,
			change->source == HUB_WARMUP_REPLICATED
			    ? HUB_WARMUP_RESERVE_MAX_MS
			    : 0
		};

		if (!model->pattern_.has_permits)
			return;
		hub_signals_set_warmup(
		    model->signals_, &change->key, &limit, now_ms);
		model->SendRow(model->indices_[change->key.target]);
	}

	std::vector<size_t>
	All() const
	{
		std::vector<size_t> all;

		for (size_t i = 0; i < targets_.size(); i++)
			all.push_back(i);
		return (all);
	}

	// Rows as the leader has them at this time; they arrive later.
	void
	SendRow(size_t i)
	{
		SendRows({ i });
	}

	void
	SendRows(const std::vector<size_t> &rows)
	{
		uint64_t sequence = ++sequence_;
		std::vector<Tm__Fleet__Target> msgs = MakeRows(rows);

		for (Gate &gate : gates_) {
			if (now_ < gate.cut_until_ms)
				continue;
			At(now_ + gate.delay_ms, [this, &gate, sequence, msgs] {
				Apply(gate, 0, sequence, msgs);
			});
		}
	}

	std::vector<Tm__Fleet__Target>
	MakeRows(const std::vector<size_t> &rows)
	{
		std::vector<Tm__Fleet__Target> msgs(rows.size());

		for (size_t n = 0; n < rows.size(); n++) {
			Target &target = targets_[rows[n]];
			const hub_signal_key_t key = { target.key, 1 };
			Tm__Fleet__Target *msg = &msgs[n];

			tm__fleet__target__init(msg);
			msg->id = (char *)target.id.c_str();
			msg->service = (char *)"s";
			msg->zone = (char *)"z";
			msg->born_ms = 1;
			msg->slots = 4;
			msg->ip = 1;
			msg->port = 1;
			msg->warmup_limit = hub_signals_get_warmup(
			    signals_, &key, now_, &msg->cold_left_ms);
			if (msg->warmup_limit == FLEET_LIMIT_UNKNOWN &&
			    pattern_.has_spacing)
				msg->warmup_limit = fleet_limit_encode(
				    hub_warmup_get_rate_per_s(
					kPerS, kOvershoot, kSlack));
		}
		return (msgs);
	}

	void
	ApplyTable(Gate &gate, uint64_t since, const std::vector<size_t> &rows)
	{
		Apply(gate, since, sequence_, MakeRows(rows));
	}

	void
	Apply(Gate &gate, uint64_t since, uint64_t sequence,
	    std::vector<Tm__Fleet__Target> msgs)
	{
		Tm__Fleet__Table table = TM__FLEET__TABLE__INIT;
		std::vector<Tm__Fleet__Target *> pointers;

		for (Tm__Fleet__Target &msg : msgs)
			pointers.push_back(&msg);
		table.term = 1;
		table.since = since;
		table.sequence = sequence;
		table.targets = pointers.data();
		table.n_targets = pointers.size();
		/* A change follows on whatever the gate has: all rows of a
		 * gate arrive in order here. */
		if (msgs.size() < targets_.size())
			table.since = gate_table_get_sequence(gate.table);
		gate_table_apply(gate.table, &table, now_);
	}

	void
	BeginLeading()
	{
		hub_signals_reset(signals_);
		hub_warmup_reset(warmup_);
		is_leading_ = true;
		for (Target &target : targets_) {
			const hub_warmup_report_t report =
			    Report(target, target.replicated_ms);

			hub_warmup_restore(warmup_, &report, now_);
		}
		SendRows(All());
	}

	void
	ReportLoads()
	{
		for (Gate &gate : gates_) {
			for (const Target &target : targets_) {
				if (now_ >= target.cold_until_ms)
					gate_table_set_load(gate.table,
					    target.key, pattern_.warm_load,
					    now_);
			}
		}
		At(now_ + 300, [this] { ReportLoads(); });
	}

	void
	Arrive()
	{
		double per_s = pattern_.per_s * pattern_.targets *
		    (now_ >= kBurstMs ? pattern_.burst : 1);
		auto *request = new Request;

		hub_warmup_tick(warmup_, now_);
		requests_.emplace_back(request);
		request->gate = (size_t)(Draw() * pattern_.gates);
		request->started_ms = now_;
		Dispatch(request);
		At(now_ +
			(int64_t)std::exponential_distribution<double>(
			    per_s / 1000)(random_),
		    [this] { Arrive(); });
	}

	gate_pick_options_t
	Options(const Request *request) const
	{
		const Gate &gate = gates_[request->gate];
		gate_pick_options_t options = {};

		options.has_leader = now_ >= gate.cut_until_ms;
		options.skips_limited = request->refusals >= 4;
		options.now_ms = now_;
		return (options);
	}

	// As gate_attempt_dispatch().
	void
	Dispatch(Request *request)
	{
		Gate &gate = gates_[request->gate];
		gate_pick_options_t options = Options(request);
		bool has_leader =
		    options.has_leader && !request->is_leader_silent;
		gate_choice_t choice = gate_table_pick(gate.table,
		    gate_table_find_service(gate.table, "s"), &options);
		gate_target_t *target = choice.target;

		if (choice.must_reserve && has_leader)
			Ask(request, 0);
		else if (target == nullptr)
			Hold(request);
		else if (!gate_limit_needs_permit(&target->limit, now_))
			Send(request, target);
		else if (has_leader)
			Ask(request, target->key);
		else if (gate_limit_take_share(&target->limit,
			     (uint32_t)pattern_.gates, Draw(), now_))
			Send(request, target);
		else {
			request->refusals++;
			Dispatch(request);
		}
	}

	void
	Hold(Request *request)
	{
		request->is_leader_silent = false;
		request->refusals = 0;
		if (now_ + 60 > request->started_ms + kSoftMs * 6 / 10)
			Refuse(request, 400);
		else
			At(now_ + 60, [this, request] { Dispatch(request); });
	}

	// Requests a permit of a target, or reserves one of any target.
	void
	Ask(Request *request, uint64_t key)
	{
		int64_t delay_ms = gates_[request->gate].delay_ms;
		auto answered = std::make_shared<bool>(false);

		At(now_ + delay_ms, [this, request, key, answered, delay_ms] {
			if (is_leading_)
				Answer(request, key, answered, delay_ms);
		});
		At(now_ + 250, [this, request, answered] {
			if (*answered)
				return;
			*answered = true;
			request->is_leader_silent = true;
			Dispatch(request);
		});
	}

	// As acquire_limited() and reserve_limited() of the hub.
	void
	Answer(Request *request, uint64_t key,
	    const std::shared_ptr<bool> &answered, int64_t delay_ms)
	{
		hub_signal_key_t found = { key, 1 };
		int64_t wait_max_ms = key != 0
		    ? 0
		    : std::min<int64_t>(kSoftMs / 4, HUB_WARMUP_RESERVE_MAX_MS);
		int64_t wait_ms = key != 0
		    ? hub_signals_get_wait_ms(signals_, &found, now_)
		    : hub_signals_find_first(
			  signals_,
			  [](void *, const hub_signal_key_t *) { return (1); },
			  nullptr, now_, &found);
		bool is_granted = wait_ms >= 0 && wait_ms <= wait_max_ms;

		if (is_granted)
			hub_signals_consume(signals_, &found, now_);
		if (Draw() < pattern_.lost)
			return;
		At(now_ + delay_ms,
		    [this, request, key, found, wait_ms, is_granted, answered] {
			    if (*answered)
				    return;
			    *answered = true;
			    OnPermit(request, key, found, wait_ms, is_granted);
		    });
	}

	void
	OnPermit(Request *request, uint64_t key, const hub_signal_key_t &found,
	    int64_t wait_ms, bool is_granted)
	{
		Gate &gate = gates_[request->gate];

		if (is_granted) {
			At(now_ + wait_ms, [this, request, found, &gate] {
				Send(request,
				    gate_table_find_target(
					gate.table, found.target));
			});
		} else if (key != 0) {
			gate_limit_wait(
			    &gate_table_find_target(gate.table, key)->limit,
			    wait_ms, now_);
			request->refusals++;
			Dispatch(request);
		} else if (wait_ms < 0) {
			Hold(request);
		} else {
			Refuse(request, wait_ms);
		}
	}

	void
	Refuse(const Request *request, int64_t retry_after_ms)
	{
		bool is_in_touch = now_ >= gates_[request->gate].cut_until_ms;

		refused++;
		refused_late += now_ - request->started_ms > 1000;
		refused_without_time += retry_after_ms <= 0;
		refused_in_touch += is_in_touch;
		refused_cut_off += !is_in_touch;
		if (!is_in_touch)
			return;
		for (const Target &target : targets_) {
			auto recent = std::count_if(target.all.begin(),
			    target.all.end(),
			    [this](int64_t t) { return (t > now_ - 1000); });

			if (now_ < target.cold_until_ms && recent < kPerS - 1) {
				room_by_rate++;
				return;
			}
		}
	}

	void
	Send(Request *request, gate_target_t *target)
	{
		/* A new connection takes longer. */
		int64_t delay_ms =
		    1 + (int64_t)(Draw() * (Draw() < 0.2 ? 40 : 3));
		size_t i = indices_[target->key];
		uint64_t id = ++sent_;

		(void)request;
		gate_target_acquire(target);
		gate_limit_record_sent(&target->limit, now_);
		running_[id] = target;
		served++;
		At(now_ + delay_ms, [this, i] { Reach(i); });
		At(now_ + delay_ms + kWorkMs, [this, id] {
			gate_target_release(running_[id]);
			running_.erase(id);
		});
	}

	void
	Reach(size_t i)
	{
		Target &target = targets_[i];

		target.all.push_back(now_);
		if (now_ >= target.cold_until_ms)
			return;
		served_by_cold++;
		if (target.learnt_ms != 0 && now_ >= target.learnt_ms)
			target.arrivals.push_back(now_);
	}

	static constexpr int64_t kStart = 1000000;
	static constexpr int64_t kBurstMs = kStart + 2000;
	const WarmupPattern pattern_;
	std::mt19937_64 random_;
	int64_t now_ = kStart;
	std::vector<Target> targets_;
	std::vector<Gate> gates_;
	std::map<uint64_t, size_t> indices_;
	std::multimap<int64_t, std::function<void()>> events_;
	std::vector<std::unique_ptr<Request>> requests_;
	std::map<uint64_t, gate_target_t *> running_;
	uint64_t sent_ = 0;
	hub_signals_t *signals_ = hub_signals_create();
	hub_warmup_t *warmup_;
	bool is_leading_ = true;
	uint64_t sequence_ = 1;
};

#endif
