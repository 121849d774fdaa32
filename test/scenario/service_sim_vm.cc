#include <cstring>

#include "service_sim_internal.h"

static const char *const kService = "atlas";

static void
simSend(void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	fakenet_send(((SimVm *)ctx)->port, to, type, msg);
}

static void
simProfile(void *ctx, service_profile_t *out)
{
	const SimConfig &cfg = ((SimVm *)ctx)->sim->cfg;

	*out = cfg.profile;
	if (cfg.baseline)
		out->floor_percent = 100;
}

static node_id_t
simLeader(void *ctx)
{
	ServiceSim *sim = ((SimVm *)ctx)->sim;

	if (sim->now() < sim->leader_from_ms)
		return NODE_ID_NONE;
	return sim->vms[sim->leader]->id;
}

static node_id_t
simPeer(void *ctx)
{
	SimVm *vm = (SimVm *)ctx;
	size_t count = vm->sim->vms.size();

	if (count < 2)
		return NODE_ID_NONE;
	size_t skip = 1 + rng_below(&vm->rng, count - 1);
	return vm->sim->vms[(vm->index + skip) % count]->id;
}

static uint64_t
simTerm(void *ctx)
{
	SimVm *vm = (SimVm *)ctx;

	if (vm->sim->leader != vm->index ||
	    vm->sim->now() < vm->sim->leader_from_ms)
		return 0;
	return vm->sim->term;
}

static void
simSave(void *ctx, const uint8_t *table, size_t len)
{
	((SimVm *)ctx)->sim->store.assign(table, table + len);
}

static const uint8_t *
simRestore(void *ctx, size_t *len)
{
	auto *store = &((SimVm *)ctx)->sim->store;

	*len = store->size();
	return store->empty() ? nullptr : store->data();
}

void
simReceive(void *node, node_id_t from, uint16_t type, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	SimVm *vm = (SimVm *)node;

	if (vm->leader != nullptr)
		service_leader_handle(
		    vm->leader, from, type, payload, len, now_ms);
	service_view_handle(vm->view, from, type, payload, len, now_ms);
}

void
simTick(void *node, int64_t now_ms)
{
	SimVm *vm = (SimVm *)node;
	fair_demand_t demand[64];
	service_demand_t copy[64];
	uint32_t n = fair_queue_get_waiting(vm->queue) == 0
	    ? 0
	    : fair_queue_get_demand(vm->queue, demand, 64);

	for (uint32_t i = 0; i < n; i++)
		copy[i] = { demand[i].workspace, demand[i].running,
			demand[i].queued };
	service_view_set_demand(vm->view, copy, n);
	for (uint32_t i = 0; i < n && !vm->sim->cfg.baseline; i++)
		fair_queue_set_share(vm->queue, demand[i].workspace,
		    service_view_get_share(
			vm->view, demand[i].workspace, now_ms),
		    now_ms + 1000);
	if (vm->leader != nullptr)
		service_leader_tick(vm->leader, now_ms);
	service_view_tick(vm->view, now_ms);
	uint32_t avoided = service_view_get_avoided_count(vm->view);
	if (avoided > vm->avoided)
		vm->sim->local_avoidances += avoided - vm->avoided;
	vm->avoided = avoided;
}

// Creates the modules of a VM; the first five VMs can lead.
void
simInit(SimVm &vm)
{
	const SimConfig &cfg = vm.sim->cfg;
	service_view_options_t view = {};
	service_leader_options_t leader = {};

	view.service = kService;
	view.self = vm.id;
	view.data_centre = vm.dc;
	view.ctx = &vm;
	view.send = simSend;
	view.get_leader = simLeader;
	view.get_peer = simPeer;
	view.get_profile = simProfile;
	view.seed = cfg.seed + (uint64_t)vm.index;
	view.test_off = cfg.view_off |
	    (cfg.baseline ? (uint32_t)SERVICE_VIEW_OFF_LOCAL : 0);
	vm.view = service_view_create(&view);
	if (vm.index >= 5)
		return;
	leader.service = kService;
	leader.ctx = &vm;
	leader.send = simSend;
	leader.get_term = simTerm;
	leader.get_profile = simProfile;
	leader.save_table = simSave;
	leader.restore_table = simRestore;
	leader.seed = cfg.seed;
	leader.test_off = cfg.leader_off;
	vm.leader = service_leader_create(&leader);
}

static const service_endpoint_t *
simFind(const SimVm &vm, const std::string &name)
{
	uint32_t count;
	auto *const *list = service_view_get_endpoints(vm.view, &count);

	for (uint32_t i = 0; i < count; i++)
		if (name == list[i]->target)
			return list[i];
	return nullptr;
}

int
ServiceSim::usableCount(int target) const
{
	int count = 0;

	for (auto &vm : vms) {
		auto *endpoint = simFind(*vm, targets[target].name);
		if (!vm->alive || endpoint == nullptr)
			continue;
		count += endpoint->usable &&
		    (!cfg.baseline || now() >= endpoint->baseline_until_ms);
	}
	return count;
}

bool
ServiceSim::allAvoid(int target) const
{
	return usableCount(target) == 0;
}

int
ServiceSim::usableIn(int vm) const
{
	uint32_t count;
	auto *const *list = service_view_get_endpoints(vms[vm]->view, &count);
	int usable = 0;

	for (uint32_t i = 0; i < count; i++)
		usable += list[i]->usable;
	return usable;
}

std::string
ServiceSim::describe(int target) const
{
	auto *endpoint = simFind(*vms[leader], targets[target].name);
	int alive = 0;
	char text[128];

	for (auto &vm : vms)
		alive += vm->alive;
	snprintf(text, sizeof(text), "%s usable at %d of %d VMs, port %d",
	    targets[target].name.c_str(), usableCount(target), alive,
	    endpoint != nullptr ? endpoint->port : 0);
	return text;
}

uint64_t
ServiceSim::ejections() const
{
	uint64_t sum = 0;

	for (auto &vm : vms)
		if (vm->leader != nullptr)
			sum += service_leader_get_stats(vm->leader)->ejections;
	return sum;
}

uint64_t
ServiceSim::avoidances() const
{
	return local_avoidances;
}

bool
ServiceSim::floorHolds() const
{
	uint32_t count;
	int left = 0;

	for (auto &target : targets)
		left += target.leaving;
	for (auto &vm : vms) {
		service_view_get_endpoints(vm->view, &count);
		int floor =
		    ((int)(cfg.profile.floor_percent * count) + 99) / 100;
		if (vm->alive && count > 0 &&
		    usableIn(vm->index) < std::min(floor, (int)count - left))
			return false;
	}
	return true;
}

void
ServiceSim::inject(int vm, uint16_t type, const uint8_t *bytes, size_t len)
{
	simReceive(
	    vms[vm].get(), vms[0]->id, type, bytes, len, fakenet_now_ms(net));
}
