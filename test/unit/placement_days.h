// Days of restarts on a virtual clock: the decisions of control with a model of
// the groups. A holder is complete under the rule of docs/shards.md, after a
// transfer from a majority of the group before; the leader is any complete one.
#ifndef TM_TEST_PLACEMENT_DAYS_H
#define TM_TEST_PLACEMENT_DAYS_H

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "base/rng.h"
#include "control/placement.h"
}
#include "../scenario/gossip_world.h"

struct Days {
	static constexpr int64_t kBeatMs = 1000;
	static constexpr int64_t kPlanMs = 500;

	struct Vm {
		std::string name, data_centre;
		node_id_t id = 0;
		uint64_t incarnation = 1;
		bool alive = true, draining = false;
		int64_t back_ms = 0; // 0: does not come back
		int64_t stop_ms = 0; // end of a planned stop
	};

	struct Holder {
		size_t vm;
		uint64_t incarnation;
		bool complete;
		int64_t due_ms; // end of the transfer
	};

	struct Shard {
		uint64_t epoch = 0;
		std::vector<Holder> holders, previous;
		size_t leader = SIZE_MAX;
		int64_t unready_since_ms = 0;

		bool
		IsFull() const
		{
			for (const Holder &holder : holders) {
				if (!holder.complete)
					return false;
			}
			return true;
		}
	};

	Days(int count, int data_centres, uint64_t seed, uint32_t switches = 0)
	    : state(config_state_create()), placement(placement_create()),
	      follower(placement_create())
	{
		rng_init(&rng, seed);
		placement_set_test_switches(placement, switches);
		placement_set_test_switches(follower, switches);
		placement_start(placement, now);
		for (int i = 0; i < count; i++)
			Add("dc-" + std::to_string(i % data_centres));
		Run(3 * PLACEMENT_STABLE_MS);
	}

	~Days()
	{
		placement_destroy(placement);
		placement_destroy(follower);
		config_state_destroy(state);
	}

	// Another control VM leads; heartbeats went to the leader before only.
	void
	ChangeLeader()
	{
		std::swap(placement, follower);
		placement_start(placement, now);
	}

	// The control VM that does not lead starts again.
	void
	RestartFollower()
	{
		placement_destroy(follower);
		follower = placement_create();
	}

	void
	Add(const std::string &data_centre)
	{
		Vm vm;

		vm.name = "n" + std::to_string(vms.size());
		vm.id = node_id_from_name(vm.name.c_str());
		vm.data_centre = data_centre;
		places[vm.id] = vms.size();
		vms.push_back(vm);
		Join(vms.back());
	}

	void
	Apply(std::vector<uint8_t> bytes)
	{
		config_state_apply(
		    state, ++index, bytes.data(), bytes.size(), nullptr);
	}

	void
	Join(const Vm &vm)
	{
		Announce(vm, &Feed__Entry::join);
	}

	void
	Leave(const Vm &vm)
	{
		Announce(vm, &Feed__Entry::leave);
	}

	void
	Announce(const Vm &vm, Feed__Node *Feed__Entry::*kind)
	{
		Feed__Node node = FEED__NODE__INIT;
		Feed__Entry entry = FEED__ENTRY__INIT;

		node.name = (char *)vm.name.c_str();
		node.incarnation = vm.incarnation;
		node.peer_ip = (char *)"127.0.0.1";
		node.peer_port = 1;
		node.data_centre = (char *)vm.data_centre.c_str();
		node.draining = vm.draining;
		entry.*kind = &node;
		Apply(EntryBuilder::Encode(entry));
	}

	void
	Kill(Vm &vm, int64_t back_in_ms)
	{
		vm.alive = false;
		vm.stop_ms = 0;
		vm.back_ms = back_in_ms > 0 ? now + back_in_ms : 0;
	}

	// A planned stop: the shards are given up first.
	void
	Drain(Vm &vm, int64_t back_in_ms)
	{
		vm.draining = true;
		vm.stop_ms = now + 5000;
		vm.back_ms = now + 5000 + back_in_ms;
		Join(vm);
	}

	bool
	IsAlive(const Holder &holder)
	{
		const Vm &vm = vms[holder.vm];

		return vm.alive && vm.incarnation == holder.incarnation;
	}

	void
	StepVms()
	{
		for (Vm &vm : vms) {
			if (vm.stop_ms != 0 && now >= vm.stop_ms) {
				vm.alive = false;
				vm.stop_ms = 0;
			}
			if (!vm.alive && vm.back_ms != 0 && now >= vm.back_ms) {
				vm.alive = true;
				vm.draining = false;
				vm.back_ms = 0;
				vm.incarnation++;
				Join(vm);
			}
		}
	}

	// Members of the group before that still have the state.
	int
	CountSources(const Shard &shard)
	{
		int sources = 0;

		for (const Holder &source : shard.previous)
			sources += source.complete && IsAlive(source);
		return sources;
	}

	void
	StepShard(Shard &shard)
	{
		int sources = shard.IsFull() ? 0 : CountSources(shard);
		int ready = 0;

		for (Holder &holder : shard.holders) {
			if (!holder.complete && sources >= 3 &&
			    now >= holder.due_ms && IsAlive(holder))
				holder.complete = true;
			ready += holder.complete && IsAlive(holder);
		}
		if (ready >= 3 || shard.epoch == 0)
			shard.unready_since_ms = now;
		longest_unready_ms =
		    std::max(longest_unready_ms, now - shard.unready_since_ms);
		Elect(shard);
	}

	void
	Elect(Shard &shard)
	{
		std::vector<size_t> able;

		for (const Holder &holder : shard.holders) {
			if (!holder.complete || !IsAlive(holder))
				continue;
			if (holder.vm == shard.leader)
				return;
			able.push_back(holder.vm);
		}
		elections++;
		shard.leader = able.empty()
		    ? SIZE_MAX
		    : able[rng_below(&rng, able.size())];
	}

	void
	Beat()
	{
		std::vector<std::vector<uint8_t>> ready(vms.size());

		beat_ms = now;
		for (uint32_t i = 0; i < CONFIG_SHARDS; i++) {
			for (const Holder &holder : shards[i].holders) {
				if (holder.complete && IsAlive(holder))
					ready[holder.vm].insert(
					    ready[holder.vm].end(),
					    { (uint8_t)(i >> 8), (uint8_t)i });
			}
		}
		for (size_t i = 0; i < vms.size(); i++) {
			if (vms[i].alive)
				placement_note_heartbeat(placement, vms[i].id,
				    vms[i].incarnation, 1, ready[i].data(),
				    ready[i].size(), now);
		}
	}

	void
	Assign(const placement_change_t &change)
	{
		Feed__Holder holders[CONFIG_HOLDERS];
		Feed__Holder *refs[CONFIG_HOLDERS];
		Feed__Group group = FEED__GROUP__INIT;
		Feed__Group *groups[] = { &group };
		Feed__Entry entry = FEED__ENTRY__INIT;
		Shard &shard = shards[change.shard];
		std::vector<Holder> next;

		for (int i = 0; i < CONFIG_HOLDERS; i++) {
			feed__holder__init(&holders[i]);
			holders[i].node = change.group.holders[i].node;
			holders[i].incarnation =
			    change.group.holders[i].incarnation;
			refs[i] = &holders[i];
			if (holders[i].node != NODE_ID_NONE)
				next.push_back({ places[holders[i].node],
				    holders[i].incarnation, false, 0 });
		}
		group.shard = change.shard;
		group.epoch = change.group.epoch;
		group.quarantine = change.group.quarantine;
		group.holders = refs;
		group.n_holders = CONFIG_HOLDERS;
		entry.groups = groups;
		entry.n_groups = 1;
		Apply(EntryBuilder::Encode(entry));
		moves += change.is_move;
		quarantines += change.group.quarantine;
		ChangeShard(shard, next, change.group.epoch,
		    change.group.quarantine != 0);
	}

	void
	ChangeShard(
	    Shard &shard, std::vector<Holder> next, uint64_t epoch, bool is_new)
	{
		for (Holder &holder : next) {
			holder.complete = epoch == 1 || is_new;
			holder.due_ms = now + transfer_ms;
			for (const Holder &known : shard.holders) {
				if (known.vm == holder.vm &&
				    known.incarnation == holder.incarnation)
					holder.complete |= known.complete;
			}
		}
		shard.previous = shard.holders;
		shard.holders = next;
		shard.epoch = epoch;
	}

	void
	Step()
	{
		static placement_change_t changes[CONFIG_SHARDS];
		size_t n;

		now += plan_ms;
		StepVms();
		for (Shard &shard : shards)
			StepShard(shard);
		if (now - beat_ms >= kBeatMs)
			Beat();
		placement_note_directory(follower, state, now);
		n = placement_plan(placement, state, now, changes);
		changed = n > 0;
		for (size_t i = 0; i < n; i++)
			Assign(changes[i]);
	}

	void
	Run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end;)
			Step();
	}

	// Jumps over time in which nothing changes.
	void
	RunQuiet(int64_t ms)
	{
		int64_t end = now + ms;
		int64_t quiet_ms = now;

		while (
		    now < end && now - quiet_ms < PLACEMENT_STABLE_MS + 5000) {
			Step();
			if (changed)
				quiet_ms = now;
			for (const Vm &vm : vms) {
				if (vm.back_ms != 0 || vm.stop_ms != 0)
					quiet_ms = now;
			}
		}
		for (Shard &shard : shards)
			shard.unready_since_ms +=
			    std::max<int64_t>(0, end - now);
		now = std::max(now, end);
		Beat();
	}

	// Losses and restarts, spread over days with per_day of them: one in
	// 50 for an hour, one in 5 without notice, the others planned.
	void
	RunDays(int events, int per_day)
	{
		for (int i = 0; i < events; i++) {
			Vm &vm = vms[rng_below(&rng, vms.size())];
			int64_t away_ms =
			    5000 + (int64_t)rng_below(&rng, 60000);

			if (vm.alive && !vm.draining && i % 50 == 49)
				Kill(vm, 3600000);
			else if (vm.alive && !vm.draining && i % 5 == 4)
				Kill(vm, away_ms);
			else if (vm.alive && !vm.draining)
				Drain(vm, away_ms);
			RunQuiet(86400000 / per_day);
		}
	}

	// Memberships (or leases) of the VMs with the fewest and the most.
	std::pair<int, int>
	Range(bool leaders)
	{
		std::vector<int> held(vms.size());
		int low = 1 << 30;
		int high = 0;

		for (const Shard &shard : shards) {
			if (leaders && shard.leader != SIZE_MAX)
				held[shard.leader]++;
			for (const Holder &holder : shard.holders)
				held[holder.vm] += !leaders;
		}
		for (size_t i = 0; i < vms.size(); i++) {
			if (!vms[i].alive)
				continue;
			low = std::min(low, held[i]);
			high = std::max(high, held[i]);
		}
		return { low, high };
	}

	int
	CountHeld(size_t vm)
	{
		int held = 0;

		for (const Shard &shard : shards) {
			for (const Holder &holder : shard.holders)
				held += holder.vm == vm;
		}
		return held;
	}

	int64_t now = 1000000;
	int64_t beat_ms = 0;
	int64_t plan_ms = kPlanMs;
	int64_t transfer_ms = 300;
	uint64_t index = 0;
	int64_t longest_unready_ms = 0;
	int moves = 0, quarantines = 0, elections = 0;
	bool changed = false;
	rng_t rng;
	config_state_t *state;
	placement_t *placement;
	placement_t *follower;
	std::vector<Vm> vms;
	std::map<node_id_t, size_t> places;
	Shard shards[CONFIG_SHARDS];
};

#endif
