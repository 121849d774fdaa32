#include "shards_fleet.h"

#include <algorithm>

void
Fleet::receive(void *node, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Vm *vm = (Vm *)node;

	if (type < MSG_CLAIM_BASE)
		group_handle(vm->group, from, type, payload, len, now_ms);
	else if (type < MSG_CLAIM_BASE + 5)
		claim_holder_handle(
		    vm->holder, from, type, payload, len, now_ms);
	else if (type < MSG_RATE_BASE)
		claim_client_handle(
		    vm->claims, from, type, payload, len, now_ms);
	else if (type < MSG_RATE_BASE + 5)
		rate_leader_handle(
		    vm->leader, from, type, payload, len, now_ms);
	else
		rate_client_handle(vm->rates, from, type, payload, len, now_ms);
}

void
Fleet::send(void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	Vm *vm = (Vm *)ctx;

	if (std::find(vm->lags.begin(), vm->lags.end(), to) == vm->lags.end()) {
		fakenet_send(vm->net, to, type, msg);
		return;
	}
	std::vector<uint8_t> bytes(protobuf_c_message_get_packed_size(msg));
	protobuf_c_message_pack(msg, bytes.data());
	vm->lagged.push_back({ to, type,
	    protobuf_c_message_unpack(
		msg->descriptor, nullptr, bytes.size(), bytes.data()) });
}

void
Fleet::tick(void *node, int64_t now_ms)
{
	Vm *vm = (Vm *)node;

	for (Lagged &lagged : vm->lagged) {
		fakenet_send(vm->net, lagged.to, lagged.type, lagged.msg);
		protobuf_c_message_free_unpacked(lagged.msg, nullptr);
	}
	vm->lagged.clear();

	group_tick(vm->group, now_ms);
	claim_holder_tick(vm->holder, now_ms);
	claim_client_tick(vm->claims, now_ms);
	rate_leader_tick(vm->leader, now_ms);
	rate_client_tick(vm->rates, now_ms);
	for (size_t i = 0; i < vm->running.size();) {
		Request *request = vm->running[i].second;
		if (vm->running[i].first > now_ms) {
			i++;
			continue;
		}
		vm->running.erase(vm->running.begin() + (long)i);
		std::string answer = "answer of vm" + std::to_string(vm->index);
		claim_client_finish(vm->claims, request->call,
		    (const uint8_t *)answer.data(), answer.size(), now_ms);
	}
}

void
Fleet::on_leads(void *ctx, uint32_t shard, int leads, int64_t now_ms)
{
	rate_leader_set_leading(((Vm *)ctx)->leader, shard, leads, now_ms);
}

void
Fleet::on_committed(void *ctx, uint32_t shard, const char *key,
    uint64_t version, int64_t now_ms)
{
	uint64_t &newest = ((Vm *)ctx)->fleet->committed[key];

	newest = std::max(newest, version);
	rate_leader_set_committed(
	    ((Vm *)ctx)->leader, shard, key, version, now_ms);
}

void
Fleet::dispatch(Request &request)
{
	Vm &owner = vm(request.vm);

	if (!claim_client_may_dispatch(owner.claims, request.call, now())) {
		print("vm" + std::to_string(request.vm) + " " + request.key +
		    " too old, dropped");
		claim_client_release(owner.claims, request.call, now());
		return;
	}
	record.runs[request.key]++;
	print("vm" + std::to_string(request.vm) + " " + request.key + " runs");
	owner.running.emplace_back(now() + request.work_ms, &request);
}

void
Fleet::on_claim_result(void *ctx, claim_call_t call, void *request_ptr,
    claim_result_t result, const uint8_t *answer, size_t len)
{
	static const char *const names[] = { "granted", "answered", "unknown",
		"reused", "unavailable" };
	Vm *vm = (Vm *)ctx;
	Request *request = (Request *)request_ptr;
	std::string line = "vm" + std::to_string(vm->index) + " " +
	    request->key + " " + names[result];

	if (answer != nullptr)
		line += " \"" + std::string((const char *)answer, len) + "\"";
	vm->fleet->print(line);
	vm->fleet->claim_results[result]++;
	request->call = call;
	vm->fleet->on_claim(*request, result);
	if (result == CLAIM_GRANTED && !request->manual)
		vm->fleet->dispatch(*request);
}

void
Fleet::on_rate_result(
    void *ctx, void *request_ptr, rate_result_t result, int64_t retry_after_ms)
{
	Vm *vm = (Vm *)ctx;
	Request *request = (Request *)request_ptr;

	vm->fleet->rate_results[result]++;
	if (result == RATE_GRANTED)
		vm->fleet->record.admitted[request->key].push_back(
		    vm->fleet->now());
	vm->fleet->on_rate(*request, result, retry_after_ms);
}

void
Fleet::start(int index)
{
	Vm &v = vm(index);

	v.incarnation = (uint64_t)now() + 1;
	v.alive = true;
	v.frozen = false;
	v.net = fakenet_add(net, v.id, &v, receive, tick);
	group_options_t group = {};
	group.self = v.id;
	group.incarnation = v.incarnation;
	group.shard_count = shards;
	group.seed = seed * 1000 + (uint64_t)index;
	group.callbacks.ctx = &v;
	group.callbacks.leads = on_leads;
	group.callbacks.committed = on_committed;
	group.callbacks.send = send;
	group.test = off.group;
	claim_holder_options_t holder = {};
	holder.self = v.id;
	holder.incarnation = v.incarnation;
	holder.ctx = v.net;
	holder.send = fakenet_send;
	claim_client_options_t claims = {};
	claims.self = v.id;
	claims.incarnation = v.incarnation;
	claims.seed = group.seed + 1;
	claims.ctx = &v;
	claims.send = send;
	claims.result = on_claim_result;
	claims.test_skip_validity = off.skip_validity;
	claims.test_skip_quorum = off.skip_quorum;
	claims.test_fixed_retry = off.fixed_retry;
	claims.test_mixed_epochs = off.mixed_epochs;
	rate_leader_options_t leader = {};
	leader.self = v.id;
	leader.incarnation = v.incarnation;
	leader.ctx = v.net;
	leader.send = fakenet_send;
	leader.test_skip_floors = off.skip_floors;
	leader.test_skip_recall = off.skip_recall;
	leader.test_skip_queue = off.skip_queue;
	leader.test_skip_outstanding = off.skip_outstanding;
	rate_client_options_t rates = {};
	rates.self = v.id;
	rates.incarnation = v.incarnation;
	rates.ctx = &v;
	rates.send = send;
	rates.result = on_rate_result;
	rates.baseline = off.baseline;
	rates.test_skip_relay = off.skip_relay;
	rates.test_skip_expiry = off.skip_expiry;
	int err = group_create(&v.group, &group);
	holder.group = claims.group = leader.group = rates.group = v.group;
	err |= claim_holder_create(&v.holder, &holder);
	err |= claim_client_create(&v.claims, &claims);
	err |= rate_leader_create(&v.leader, &leader);
	err |= rate_client_create(&v.rates, &rates);
	if (err != 0)
		abort();
	rate_client_set_vm_count(v.rates, (uint32_t)vms.size() - 1);
	for (auto &space : spaces)
		rate_client_set_workspace(v.rates, space.first.c_str(),
		    space.second.first, space.second.second, now());
	for (auto &space : spaces)
		rate_leader_set_workspace(v.leader, space.first.c_str(),
		    space.second.first, space.second.second, now());
	deliver(index);
}

void
Fleet::stop_modules(Vm &v)
{
	if (v.group == nullptr)
		return;
	claim_client_destroy(v.claims);
	claim_holder_destroy(v.holder);
	rate_client_destroy(v.rates);
	rate_leader_destroy(v.leader);
	group_destroy(v.group);
	v.group = nullptr;
	v.running.clear();
	for (Lagged &lagged : v.lagged)
		protobuf_c_message_free_unpacked(lagged.msg, nullptr);
	v.lagged.clear();
}

void
Fleet::kill(int index)
{
	vm(index).alive = false;
	fakenet_kill(net, vm(index).id);
	stop_modules(vm(index));
}

// Gives a VM the newest configuration.
void
Fleet::deliver(int index)
{
	for (auto &assignment : assigned)
		group_set_assignment(
		    vm(index).group, &assignment.second, now());
}

void
Fleet::freeze(int index, bool frozen)
{
	vm(index).frozen = frozen;
	fakenet_set_frozen(net, vm(index).id, frozen);
	if (!frozen)
		deliver(index);
}

void
Fleet::add_workspace(const std::string &name, double rate, double burst)
{
	spaces[name] = { rate, burst };
	for (size_t i = 1; i < vms.size(); i++) {
		if (!vms[i]->alive)
			continue;
		rate_leader_set_workspace(
		    vms[i]->leader, name.c_str(), rate, burst, now());
		rate_client_set_workspace(
		    vms[i]->rates, name.c_str(), rate, burst, now());
	}
}

void
Fleet::assign(uint32_t shard, const std::vector<int> &holders, bool quarantine,
    const std::vector<int> &only)
{
	group_assignment_t next = {};
	const group_assignment_t &old = assigned[shard];

	next.shard = shard;
	next.epoch = old.epoch + 1;
	next.quarantine = quarantine;
	next.previous_count = old.holder_count;
	memcpy(next.previous, old.holders, sizeof(old.holders));
	next.holder_count = (uint32_t)holders.size();
	for (size_t i = 0; i < holders.size(); i++) {
		group_holder_t &holder = next.holders[i];
		holder.node = vm(holders[i]).id;
		holder.incarnation = vm(holders[i]).incarnation;
		holder.since_epoch = next.epoch;
		for (uint32_t k = 0; k < old.holder_count; k++) {
			if (old.holders[k].node == holder.node &&
			    old.holders[k].incarnation == holder.incarnation &&
			    !quarantine)
				holder.since_epoch = old.holders[k].since_epoch;
		}
	}
	assigned[shard] = next;
	for (size_t i = 1; i < vms.size(); i++) {
		bool wanted = only.empty();
		for (int index : only)
			wanted = wanted || index == (int)i;
		if (usable((int)i) && wanted)
			deliver((int)i);
	}
}

void
Fleet::replace(
    uint32_t shard, int old_vm, int new_vm, const std::vector<int> &only)
{
	std::vector<int> holders;
	const group_assignment_t &old = assigned[shard];

	for (uint32_t k = 0; k < old.holder_count; k++) {
		for (int i = 1; i < (int)vms.size(); i++) {
			if (vm(i).id == old.holders[k].node)
				holders.push_back(i == old_vm ? new_vm : i);
		}
	}
	assign(shard, holders, false, only);
}

void
Fleet::claim(int index, const std::string &id, uint64_t hash, int64_t work_ms,
    bool manual, int64_t deadline_ms)
{
	requests.emplace_back();
	Request &request = requests.back();
	request.vm = index;
	request.key = id;
	request.work_ms = work_ms;
	request.manual = manual;
	request.started_ms = now();
	if (claim_client_start(vm(index).claims, "ws", id.c_str(), hash,
		now() + deadline_ms, &request, now(), &request.call) != TM_OK)
		print("claim refused");
}

rate_result_t
Fleet::acquire(int index, const std::string &workspace, int64_t deadline_ms)
{
	int64_t retry_after_ms = 0;

	requests.emplace_back();
	Request &request = requests.back();
	request.vm = index;
	request.key = workspace;
	request.started_ms = now();
	rate_result_t result =
	    rate_client_acquire(vm(index).rates, workspace.c_str(), &request,
		now() + deadline_ms, now(), &retry_after_ms);
	if (result != RATE_PENDING)
		on_rate_result(&vm(index), &request, result, retry_after_ms);
	return result;
}

int
Fleet::leader_of(uint32_t shard)
{
	for (int i = 1; i < (int)vms.size(); i++) {
		if (vm(i).alive && group_is_leader(vm(i).group, shard, now()))
			return i;
	}
	return 0;
}
