// A fleet of VMs with the group, claim and rate modules on the in-memory
// network, and the record of a stand-in target.
#ifndef TM_TEST_SHARDS_FLEET_H
#define TM_TEST_SHARDS_FLEET_H

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "base/rng.h"
#include "claim/claim_client.h"
#include "claim/claim_holder.h"
#include "group/group.h"
#include "net/msg_types.h"
#include "rate/rate_client.h"
#include "rate/rate_leader.h"
}
#include "fakenet.h"

// Runs and admissions as a target would record them.
struct Record {
	std::map<std::string, int> runs;
	std::map<std::string, std::vector<int64_t>> admitted;

	int
	most_runs() const
	{
		int most = 0;
		for (auto &run : runs)
			most = std::max(most, run.second);
		return most;
	}

	// Largest excess over burst + rate x window, over all windows; a
	// value of at most 0 keeps the bound.
	double
	excess(const std::string &workspace, double rate, double burst) const
	{
		double worst = -burst;
		double lowest = 1e18;
		int64_t i = 0;
		auto found = admitted.find(workspace);
		if (found == admitted.end())
			return worst;
		for (int64_t at : found->second) {
			double used = rate * (double)at / 1000;
			lowest = std::min(lowest, (double)i - used);
			i++;
			worst =
			    std::max(worst, (double)i - used - lowest - burst);
		}
		return worst;
	}
};

struct Switches {
	group_test_switches_t group = {};
	bool skip_validity = false, skip_quorum = false, fixed_retry = false;
	bool mixed_epochs = false, skip_floors = false, skip_recall = false;
	bool skip_queue = false, skip_outstanding = false, skip_expiry = false,
	     skip_relay = false, baseline = false;
};

struct Fleet;

// A request of a test.
struct Request {
	int vm = 0;
	std::string key; // workspace, or id of a claim
	int64_t work_ms = 0;
	bool manual = false;
	claim_call_t call = 0;
	int64_t started_ms = 0;
};

// A message on a link with lag.
struct Lagged {
	node_id_t to;
	uint16_t type;
	ProtobufCMessage *msg;
};

struct Vm {
	Fleet *fleet = nullptr;
	int index = 0;
	node_id_t id = 0;
	uint64_t incarnation = 0;
	bool alive = false, frozen = false;
	void *net = nullptr;
	group_t *group = nullptr;
	claim_holder_t *holder = nullptr;
	claim_client_t *claims = nullptr;
	rate_leader_t *leader = nullptr;
	rate_client_t *rates = nullptr;
	std::vector<std::pair<int64_t, Request *>> running;
	std::vector<node_id_t> lags;
	std::vector<Lagged> lagged;
};

struct Fleet {
	fakenet_t *net;
	Switches off;
	uint64_t seed;
	uint32_t shards;
	std::vector<std::unique_ptr<Vm>> vms; // vms[0] is not used
	std::deque<Request> requests;
	std::map<uint32_t, group_assignment_t> assigned;
	std::map<std::string, std::pair<double, double>> spaces;
	Record record;
	std::map<int, int> claim_results, rate_results;
	std::map<std::string, uint64_t> committed; // newest versions
	std::function<void(const std::string &)> print = [](auto &) {};
	std::function<void(Request &, rate_result_t, int64_t)> on_rate =
	    [](auto &, auto, auto) {};
	std::function<void(Request &, claim_result_t)> on_claim = [](auto &,
								      auto) {};

	Fleet(int count, uint32_t shard_count, uint64_t run_seed,
	    const Switches &switches = {}, int64_t delay_max_ms = 3)
	    : net(fakenet_create(run_seed, 10, 1, delay_max_ms)), off(switches),
	      seed(run_seed), shards(shard_count)
	{
		vms.resize((size_t)count + 1);
		for (int i = 1; i <= count; i++) {
			vms[(size_t)i] = std::make_unique<Vm>();
			vm(i).fleet = this;
			vm(i).index = i;
			vm(i).id = node_id_from_name(
			    ("vm" + std::to_string(i)).c_str());
			start(i);
		}
	}

	~Fleet()
	{
		for (size_t i = 1; i < vms.size(); i++)
			stop_modules(*vms[i]);
		fakenet_destroy(net);
	}

	Vm &
	vm(int index)
	{
		return *vms[(size_t)index];
	}

	int64_t
	now() const
	{
		return fakenet_now_ms(net);
	}

	void
	run(int64_t duration_ms)
	{
		fakenet_run(net, duration_ms);
	}

	bool
	usable(int index)
	{
		return vm(index).alive && !vm(index).frozen;
	}

	std::string
	name(node_id_t id)
	{
		for (size_t i = 1; i < vms.size(); i++) {
			if (vms[i]->id == id)
				return "vm" + std::to_string(i);
		}
		return "none";
	}

	static void receive(void *node, node_id_t from, uint16_t type,
	    const uint8_t *payload, size_t len, int64_t now_ms);
	static void tick(void *node, int64_t now_ms);
	static void send(void *ctx, node_id_t to, uint16_t type,
	    const ProtobufCMessage *msg);
	static void on_leads(
	    void *ctx, uint32_t shard, int leads, int64_t now_ms);
	static void on_committed(void *ctx, uint32_t shard, const char *key,
	    uint64_t version, int64_t now_ms);
	static void on_claim_result(void *ctx, claim_call_t call, void *request,
	    claim_result_t result, const uint8_t *answer, size_t len);
	static void on_rate_result(void *ctx, void *request,
	    rate_result_t result, int64_t retry_after_ms);

	void start(int index);
	void stop_modules(Vm &vm);
	void kill(int index);
	void deliver(int index);
	void freeze(int index, bool frozen);
	void add_workspace(const std::string &name, double rate, double burst);
	void assign(uint32_t shard, const std::vector<int> &holders,
	    bool quarantine = false, const std::vector<int> &only = {});
	void replace(uint32_t shard, int old_vm, int new_vm,
	    const std::vector<int> &only = {});
	void claim(int index, const std::string &id, uint64_t hash,
	    int64_t work_ms, bool manual, int64_t deadline_ms = 10000);
	void dispatch(Request &request);
	rate_result_t acquire(int index, const std::string &workspace,
	    int64_t deadline_ms = 10000);
	int leader_of(uint32_t shard);
};

#endif
