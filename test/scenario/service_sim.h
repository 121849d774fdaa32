// Virtual-time model of one service: entry VMs with view, balancer, budget
// and queue over fakenet, leaders on the first VMs, and targets with slots and
// scripted faults. What was sent is measured at the targets.
#ifndef TM_TEST_SERVICE_SIM_H
#define TM_TEST_SERVICE_SIM_H

#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/log.h"
#include "base/node_defs.h"
#include "base/rng.h"
#include "queue/fair_queue.h"
#include "route/balancer.h"
#include "route/retry_budget.h"
#include "service/service_leader.h"
#include "service/service_view.h"
}
#include "fakenet.h"

enum class Fault {
	None,
	Slow5,
	Slow20,
	Errors,
	Wrong,
	Stall,
	Flapping,
	Lying,
	ColdSlow,
	Shedding,
	StallHalf
};

const char *faultName(Fault fault);
Fault faultFromName(const std::string &name);

struct SimConfig {
	int vms = 44;
	int dcs = 3;
	int targets = 8;
	uint32_t slots = 4;
	double service_ms = 20;
	double load = 0.6; // offered work / slots
	double base_errors = 0.001;
	int deadline_ms = 1000;
	std::vector<double> weights = std::vector<double>(8, 1.0);
	service_profile_t profile = { SERVICE_NORMAL, 50, 1 };
	bool baseline = false;
	bool hedges = false; // slow attempts get a second one
	bool repeatable = true; // requests may be sent again
	uint32_t leader_off = 0;
	uint32_t view_off = 0;
	uint64_t seed = 1;
};

struct SimVm;
struct SimRequest;

struct SimTarget {
	std::string name;
	uint64_t incarnation = 1;
	uint16_t port = 8000;
	bool up = true;
	bool leaving = false;
	bool renewing = true;
	Fault fault = Fault::None;
	int64_t fault_ms = 0;
	int64_t started_ms = 0;
	uint32_t running = 0;
	std::deque<SimRequest *> waiting;
	std::set<SimRequest *> active;
	int64_t last_new_ms = 0; // last request other than a probe
	uint64_t received = 0;
	uint64_t after_leave = 0; // requests 2 s after it began to leave
	int64_t left_ms = 0;
	int home = 0; // VM at which it announces itself
};

struct SimStats {
	std::vector<uint64_t> offered, in_time;
	uint64_t rejected = 0, retries = 0, crashed = 0;
};

class ServiceSim {
      public:
	explicit ServiceSim(const SimConfig &config);
	~ServiceSim();
	void run(int64_t ms);
	int64_t now() const;
	void setFault(int target, Fault fault);
	void setLeaving(int target);
	void restart(int target, uint64_t incarnation, uint16_t port);
	void announce(int target, uint64_t incarnation, uint16_t port, int vm);
	void setPath(int vm, int target, bool broken);
	void killLeader(int64_t gap_ms);
	void sendCrash(int vm);
	bool allAvoid(int target) const;
	int usableCount(int target) const;
	int usableIn(int vm) const;
	std::string describe(int target) const;
	uint64_t ejections() const;
	uint64_t avoidances() const;
	bool floorHolds() const;
	void resetStats();
	void inject(int vm, uint16_t type, const uint8_t *bytes, size_t len);

	SimConfig cfg;
	SimStats stats;
	std::vector<SimTarget> targets;
	std::vector<double> boost; // factor on the rate of each workspace
	fakenet_t *net;
	std::vector<std::unique_ptr<SimVm>> vms;
	int leader = 0;
	uint64_t term = 1;
	int64_t leader_from_ms = 0;
	uint64_t local_avoidances = 0;
	std::vector<uint8_t> store; // replicated table

      private:
	struct Event {
		int64_t at_ms;
		uint64_t order;
		int kind;
		SimRequest *request;
		uint32_t serial; // of the attempt
		bool
		operator<(const Event &o) const
		{
			return at_ms != o.at_ms ? at_ms > o.at_ms
						: order > o.order;
		}
	};
	void schedule(int64_t at_ms, int kind, SimRequest *request);
	void arrive(double per_ms);
	void dispatchWaiting(SimVm &vm);
	bool dispatch(SimVm &vm, SimRequest *request);
	void reachTarget(SimRequest *request);
	void startNext(SimTarget &target);
	void finishRun(SimRequest *request);
	void answer(SimRequest *request, service_outcome_t outcome);
	void end(SimRequest *request, bool good);
	void hedge(SimRequest *request);
	void cancelRun(SimRequest *request, service_outcome_t outcome);
	bool finishHedged(SimRequest *request, service_outcome_t outcome);
	void crash(SimRequest *request);
	void breakConnections(SimTarget &target);
	void runMillisecond();

	rng_t rng_;
	std::priority_queue<Event> events_;
	uint64_t order_ = 0;
	std::set<std::pair<int, int>> broken_;
};

#endif
