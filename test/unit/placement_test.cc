// Failures guarded against: too many holders in one data centre, two holders
// of a group replaced at once, a dead holder that is kept, a group that stays
// without a majority, a quarantine without proof.
#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "control/placement.h"
#include "gossip/shard_list.h"
}

#include "../scenario/gossip_world.h"

namespace {

struct Fleet {
	explicit Fleet(int nodes, int data_centres)
	    : state(config_state_create()), placement(placement_create())
	{
		placement_start(placement, now);
		for (int i = 0; i < nodes; i++)
			Join("n" + std::to_string(i), 1,
			    "dc-" + std::to_string(i % data_centres));
		EXPECT_EQ(Plan(), 0u);
		Advance(PLACEMENT_QUIET_MS);
		Plan();
	}

	~Fleet()
	{
		placement_destroy(placement);
		config_state_destroy(state);
	}

	void
	Join(const std::string &name, uint64_t incarnation,
	    const std::string &data_centre)
	{
		auto bytes = EntryBuilder::Join(name, incarnation, data_centre);

		config_state_apply(
		    state, ++index, bytes.data(), bytes.size(), nullptr);
		names[node_id_from_name(name.c_str())] = name;
		Beat(name, incarnation);
	}

	void
	Beat(const std::string &name, uint64_t incarnation)
	{
		alive[name] = incarnation;
		uint8_t all[CONFIG_SHARDS * SHARD_LIST_ITEM_BYTES];
		size_t len = 0;
		for (uint32_t shard = 0; shard < CONFIG_SHARDS; shard++)
			shard_list_add(all, &len, shard);
		placement_note_heartbeat(placement,
		    node_id_from_name(name.c_str()), incarnation, reports_ready,
		    all, len, now);
	}

	// Advances the clock; all live nodes send heartbeats.
	void
	Advance(int64_t ms)
	{
		now += ms;
		for (auto &node : alive)
			Beat(node.first, node.second);
	}

	// Plans and applies. Returns the number of changed groups.
	size_t
	Plan()
	{
		placement_change_t changes[CONFIG_SHARDS];
		size_t n = placement_plan(placement, state, now, changes);

		for (size_t i = 0; i < n; i++)
			Apply(changes[i]);
		return n;
	}

	void
	Apply(const placement_change_t &change)
	{
		const config_group_t *before =
		    config_state_get_group(state, change.shard);
		Feed__Holder holders[CONFIG_HOLDERS];
		Feed__Holder *refs[CONFIG_HOLDERS];
		Feed__Group group = FEED__GROUP__INIT;
		Feed__Group *groups[] = { &group };
		Feed__Entry entry = FEED__ENTRY__INIT;
		int changed = 0;

		for (int i = 0; i < CONFIG_HOLDERS; i++) {
			feed__holder__init(&holders[i]);
			holders[i].node = change.group.holders[i].node;
			holders[i].incarnation =
			    change.group.holders[i].incarnation;
			refs[i] = &holders[i];
			changed += holders[i].node != before->holders[i].node ||
			    holders[i].incarnation !=
				before->holders[i].incarnation;
		}
		if (before->epoch > 0 && !change.group.quarantine) {
			EXPECT_EQ(changed, 1) << "shard " << change.shard;
		}
		quarantines += change.group.quarantine;
		group.shard = change.shard;
		group.epoch = change.group.epoch;
		group.quarantine = change.group.quarantine;
		group.holders = refs;
		group.n_holders = CONFIG_HOLDERS;
		entry.groups = groups;
		entry.n_groups = 1;
		auto bytes = EntryBuilder::Encode(entry);
		config_state_apply(
		    state, ++index, bytes.data(), bytes.size(), nullptr);
	}

	bool
	Holds(uint32_t shard, const std::string &name)
	{
		const config_group_t *group =
		    config_state_get_group(state, shard);

		for (const config_holder_t &holder : group->holders) {
			if (holder.node == node_id_from_name(name.c_str()))
				return true;
		}
		return false;
	}

	int
	CountHeld(const std::string &name)
	{
		int n = 0;

		for (uint32_t shard = 0; shard < CONFIG_SHARDS; shard++)
			n += Holds(shard, name);
		return n;
	}

	void
	ExpectSpread()
	{
		for (uint32_t shard = 0; shard < CONFIG_SHARDS; shard++) {
			const config_group_t *group =
			    config_state_get_group(state, shard);
			std::map<std::string, int> per_dc;
			for (const config_holder_t &holder : group->holders) {
				const config_node_t *node =
				    config_state_find_node(state, holder.node);
				ASSERT_NE(node, nullptr);
				per_dc[node->data_centre]++;
			}
			for (auto &dc : per_dc)
				EXPECT_LE(dc.second, 2) << "shard " << shard;
		}
	}

	int64_t now = 1000000;
	uint64_t index = 0;
	int quarantines = 0;
	int reports_ready = 0;
	config_state_t *state;
	placement_t *placement;
	std::map<node_id_t, std::string> names;
	std::map<std::string, uint64_t> alive;
};

TEST(Placement, FirstGroupsAreCompleteAndSpread)
{
	for (int data_centres : { 3, 4, 7 }) {
		Fleet fleet(42, data_centres);

		for (uint32_t i = 0; i < CONFIG_SHARDS; i++)
			EXPECT_EQ(
			    config_state_get_group(fleet.state, i)->epoch, 1u);
		fleet.ExpectSpread();
		EXPECT_EQ(fleet.Plan(), 0u);
	}
}

TEST(Placement, SmallFleetGetsGroupsAfterAWait)
{
	Fleet fleet(3, 3);

	EXPECT_EQ(config_state_get_group(fleet.state, 0)->epoch, 0u);
	fleet.Advance(PLACEMENT_FIRST_WAIT_MS);
	EXPECT_EQ(fleet.Plan(), (size_t)CONFIG_SHARDS);
	fleet.Join("n3", 1, "dc-0");
	fleet.Advance(PLACEMENT_SETTLE_MS);
	EXPECT_EQ(fleet.Plan(), (size_t)CONFIG_SHARDS);
	EXPECT_TRUE(fleet.Holds(0, "n3"));
}

TEST(Placement, DeadHolderIsReplacedAfter10s)
{
	Fleet fleet(12, 3);
	int held = fleet.CountHeld("n4");

	ASSERT_GT(held, 0);
	fleet.alive.erase("n4");
	fleet.Advance(PLACEMENT_DEAD_MS - 1);
	EXPECT_EQ(fleet.Plan(), 0u);
	fleet.Advance(1);
	EXPECT_EQ(fleet.Plan(), (size_t)held);
	EXPECT_EQ(fleet.CountHeld("n4"), 0);
	fleet.ExpectSpread();
}

TEST(Placement, TwoDeadHoldersAreReplacedOneAtATime)
{
	Fleet fleet(12, 3);

	fleet.alive.erase("n4");
	fleet.alive.erase("n5");
	fleet.Advance(PLACEMENT_DEAD_MS);
	fleet.Plan();
	fleet.Advance(PLACEMENT_SETTLE_MS - 1);
	EXPECT_EQ(fleet.Plan(), 0u);
	fleet.Advance(1);
	fleet.Plan();
	EXPECT_EQ(fleet.CountHeld("n4") + fleet.CountHeld("n5"), 0);
	fleet.ExpectSpread();
}

TEST(Placement, NewIncarnationTakesTheSlotAtOnce)
{
	Fleet fleet(12, 3);
	int held = fleet.CountHeld("n2");

	fleet.Advance(PLACEMENT_SETTLE_MS);
	fleet.Join("n2", 2, "dc-2");
	EXPECT_EQ(fleet.Plan(), (size_t)held);
	EXPECT_EQ(fleet.CountHeld("n2"), held);
	EXPECT_EQ(fleet.quarantines, 0);
}

TEST(Placement, ReadyReportShortensTheWait)
{
	Fleet fleet(12, 3);

	fleet.reports_ready = 1;
	fleet.Advance(PLACEMENT_SETTLE_MS);
	fleet.Join("n2", 2, "dc-2");
	fleet.Join("n5", 2, "dc-2");
	fleet.Plan();
	fleet.Advance(PLACEMENT_APPLY_MS);
	fleet.Plan();
	fleet.Advance(PLACEMENT_APPLY_MS);
	EXPECT_EQ(fleet.Plan(), 0u);
	EXPECT_EQ(fleet.quarantines, 0);
}

TEST(Placement, ThreeNewIncarnationsStartAQuarantine)
{
	Fleet fleet(5, 5);

	fleet.Advance(PLACEMENT_SETTLE_MS);
	fleet.Join("n0", 2, "dc-0");
	fleet.Join("n1", 2, "dc-1");
	fleet.Join("n2", 2, "dc-2");
	EXPECT_EQ(fleet.Plan(), (size_t)CONFIG_SHARDS);
	EXPECT_EQ(fleet.quarantines, CONFIG_SHARDS);
	fleet.Advance(PLACEMENT_SETTLE_MS);
	EXPECT_EQ(fleet.Plan(), 0u);
}

// Without this a restart right after a repair leaves 2 ready holders and a
// new one that can never read the state from 3.
TEST(Placement, RestartsDuringARepairStartAQuarantine)
{
	Fleet fleet(5, 5);

	fleet.Advance(PLACEMENT_UNREADY_MS);
	fleet.Join("n0", 2, "dc-0");
	fleet.Plan();
	EXPECT_EQ(fleet.quarantines, 0);
	fleet.Join("n1", 2, "dc-1");
	fleet.Join("n2", 2, "dc-2");
	fleet.Advance(PLACEMENT_SETTLE_MS);
	fleet.Plan();
	EXPECT_EQ(fleet.quarantines, CONFIG_SHARDS);
}

TEST(Placement, SilentMajorityIsNoProof)
{
	Fleet fleet(5, 5);

	fleet.alive.erase("n0");
	fleet.alive.erase("n1");
	fleet.alive.erase("n2");
	fleet.Advance(10 * PLACEMENT_DEAD_MS);
	EXPECT_EQ(fleet.Plan(), 0u);
	EXPECT_EQ(fleet.quarantines, 0);
}

TEST(Placement, NewLeaderWaitsForHeartbeats)
{
	Fleet fleet(12, 3);

	fleet.now += 10 * PLACEMENT_DEAD_MS;
	placement_start(fleet.placement, fleet.now);
	EXPECT_EQ(fleet.Plan(), 0u);
	fleet.Advance(PLACEMENT_DEAD_MS);
	EXPECT_EQ(fleet.Plan(), 0u);
}

TEST(Placement, LossOfADataCentreKeepsTheSpread)
{
	Fleet fleet(16, 4);

	for (int i = 0; i < 16; i += 4)
		fleet.alive.erase("n" + std::to_string(i));
	for (int i = 0; i < 20; i++) {
		fleet.Advance(PLACEMENT_SETTLE_MS);
		fleet.Plan();
	}
	fleet.ExpectSpread();
	for (int i = 0; i < 16; i += 4)
		EXPECT_EQ(fleet.CountHeld("n" + std::to_string(i)), 0);
	EXPECT_EQ(fleet.quarantines, 0);
}

// A list from another VM may end within an item or name an unknown shard.
TEST(Placement, ReadyListIsChecked)
{
	const uint8_t list[] = { 0, 3, 1, 2, 0xff, 0xff, 7 };

	EXPECT_EQ(shard_list_count(sizeof(list)), 3u);
	EXPECT_TRUE(shard_list_has(list, sizeof(list), 3));
	EXPECT_TRUE(shard_list_has(list, sizeof(list), 258));
	EXPECT_FALSE(shard_list_has(list, sizeof(list), 7));
	Fleet fleet(5, 5);
	placement_note_heartbeat(fleet.placement, node_id_from_name("n0"), 2, 1,
	    list, sizeof(list), fleet.now);
}

} // namespace
