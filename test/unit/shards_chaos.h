// Random cuts, freezes, kills and restarts, and a control that replaces
// holders by the rules of the design.
#ifndef TM_TEST_SHARDS_CHAOS_H
#define TM_TEST_SHARDS_CHAOS_H

#include "../scenario/shards_fleet.h"

struct Chaos {
	Fleet &fleet;
	rng_t rng;
	std::vector<int64_t> lost_ms; // since when a VM is down; 0 if it is up
	int events = 0;

	Chaos(Fleet &f, uint64_t seed) : fleet(f), lost_ms(f.vms.size())
	{
		rng_init(&rng, seed ^ 0xc4a05u);
	}

	int
	pick()
	{
		return 1 + (int)rng_below(&rng, fleet.vms.size() - 1);
	}

	int
	count_down()
	{
		int down = 0;
		for (int i = 1; i < (int)fleet.vms.size(); i++)
			down += !fleet.usable(i);
		return down;
	}

	// One random fault; at most two VMs are down at a time.
	void
	fault()
	{
		int vm = pick(), other = pick();

		events++;
		switch (rng_below(&rng, 6)) {
		case 0:
			if (count_down() < 2 && fleet.usable(vm)) {
				fleet.kill(vm);
				lost_ms[(size_t)vm] = fleet.now();
			}
			break;
		case 1:
			if (count_down() < 2 && fleet.usable(vm)) {
				fleet.freeze(vm, true);
				lost_ms[(size_t)vm] = fleet.now();
			}
			break;
		case 2:
		case 3:
			if (vm != other)
				fakenet_set_cut(fleet.net, fleet.vm(vm).id,
				    fleet.vm(other).id, 1);
			break;
		default:
			for (int i = 1; i < (int)fleet.vms.size(); i++)
				repair(i);
		}
	}

	void
	repair(int vm)
	{
		for (int i = 1; i < (int)fleet.vms.size(); i++)
			fakenet_set_cut(
			    fleet.net, fleet.vm(vm).id, fleet.vm(i).id, 0);
		if (!fleet.vm(vm).alive)
			fleet.start(vm);
		else if (fleet.vm(vm).frozen)
			fleet.freeze(vm, false);
		lost_ms[(size_t)vm] = 0;
	}

	// Replaces one holder at a time: at once for a new incarnation, after
	// 10 s otherwise; a random part of the VMs hears of it later.
	void
	control()
	{
		const group_assignment_t a = fleet.assigned[0];
		std::vector<int> holders, spare;
		int gone = -1, restarted = 0;

		for (int i = 1; i < (int)fleet.vms.size(); i++) {
			bool held = false;
			for (uint32_t k = 0; k < a.holder_count; k++)
				held =
				    held || a.holders[k].node == fleet.vm(i).id;
			if (!held && fleet.usable(i))
				spare.push_back(i);
		}
		for (uint32_t k = 0; k < a.holder_count; k++) {
			for (int i = 1; i < (int)fleet.vms.size(); i++) {
				if (fleet.vm(i).id == a.holders[k].node)
					holders.push_back(i);
			}
			int vm = holders.back();
			bool is_new = fleet.vm(vm).incarnation !=
			    a.holders[k].incarnation;
			restarted += is_new;
			if (is_new ||
			    (lost_ms[(size_t)vm] > 0 &&
				fleet.now() - lost_ms[(size_t)vm] > 10000))
				gone = (int)k;
		}
		if (restarted >= 3) {
			fleet.assign(0, holders, true);
		} else if (gone >= 0) {
			int vm = holders[(size_t)gone];
			if (!fleet.vm(vm).alive && !spare.empty())
				holders[(size_t)gone] =
				    spare[rng_below(&rng, spare.size())];
			if (holders[(size_t)gone] != vm || fleet.vm(vm).alive)
				fleet.assign(
				    0, holders, false, { pick(), pick() });
		}
	}

	// A few VMs catch up with the configuration.
	void
	spread()
	{
		int vm = pick();
		if (fleet.usable(vm))
			fleet.deliver(vm);
	}

	int
	count_leases()
	{
		int count = 0;
		for (int i = 1; i < (int)fleet.vms.size(); i++)
			count += fleet.usable(i) &&
			    group_is_leader(fleet.vm(i).group, 0, fleet.now());
		return count;
	}
};

#endif
