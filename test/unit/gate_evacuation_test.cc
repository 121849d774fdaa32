// Failures guarded against: a request, a probe or a reserved permit reaches a
// target of an evacuated data centre, also without a leader; requests to a service
// that is evacuated as a whole are held, or refused although a target is left.
#include <gtest/gtest.h>

#include <cstring>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "fleet/fleet_config.h"
#include "fleet/fleet_limit.h"
#include "gate/gate_refusal.h"
#include "gate/gate_choice.h"
#include "gate/gate_table.h"
}

namespace {

struct Row {
	std::string id;
	std::string zone;
	uint32_t verdict = FLEET_VERDICT_HEALTHY;
	uint32_t state = FLEET_TARGET_READY;
	uint32_t limit = 0;
};

class GateEvacuation : public testing::Test {
      protected:
	~GateEvacuation() override
	{
		gate_table_destroy(table_);
	}

	// A full table.
	void
	Apply(std::vector<Row> rows, std::vector<std::string> evacuated)
	{
		Tm__Fleet__Table msg = TM__FLEET__TABLE__INIT;
		std::vector<Tm__Fleet__Target> targets(rows.size());
		std::vector<Tm__Fleet__Target *> pointers;
		std::vector<char *> names;
		char service[] = "s1";

		for (size_t i = 0; i < rows.size(); i++) {
			tm__fleet__target__init(&targets[i]);
			targets[i].id = (char *)rows[i].id.c_str();
			targets[i].zone = (char *)rows[i].zone.c_str();
			targets[i].service = service;
			targets[i].port = 80;
			targets[i].slots = 4;
			targets[i].born_ms = 1;
			targets[i].state = rows[i].state;
			targets[i].verdict = rows[i].verdict;
			targets[i].limit = rows[i].limit;
			pointers.push_back(&targets[i]);
		}
		for (auto &name : evacuated)
			names.push_back((char *)name.c_str());
		msg.term = 1;
		msg.sequence = ++sequence_;
		msg.targets = pointers.data();
		msg.n_targets = pointers.size();
		msg.evacuated = names.data();
		msg.n_evacuated = names.size();
		ASSERT_TRUE(gate_table_apply(table_, &msg, now_));
	}

	gate_choice_t
	Pick()
	{
		return (gate_table_pick(
		    table_, gate_table_find_service(table_, "s1"), &options_));
	}

	// @return ids of the targets chosen in some seconds
	std::set<std::string>
	PickOften()
	{
		std::set<std::string> ids;

		for (int i = 0; i < 300; i++) {
			options_.now_ms = now_ += 50;
			gate_choice_t choice = Pick();

			ids.insert(choice.target != nullptr ? choice.target->id
				: choice.must_ask_leader    ? "leader"
							    : "none");
		}
		return (ids);
	}

	gate_table_t *table_ = gate_table_create("dc1", 1);
	gate_pick_options_t options_ = {};
	int64_t now_ = 1000000;
	uint64_t sequence_ = 0;
};

const std::set<std::string> kOnlyB = { "b" };

} // namespace

// Requests of a gate in the evacuated data centre prefer its targets.
TEST_F(GateEvacuation, RequestsGoElsewhere)
{
	Apply({ { "a", "dc1" }, { "b", "dc2" } }, { "dc1" });
	EXPECT_EQ(kOnlyB, PickOften());
	Apply({ { "a", "dc1" }, { "b", "dc2" } }, { "dc1", "dc3" });
	EXPECT_EQ(kOnlyB, PickOften());
	Apply({ { "a", "dc1" }, { "b", "dc2" } }, { "dc3" });
	EXPECT_EQ((std::set<std::string>{ "a" }), PickOften());
}

// A target that joined after the order was used.
TEST_F(GateEvacuation, TargetsThatJoinAreLeftOut)
{
	Apply({ { "b", "dc2" } }, { "dc1" });
	Apply({ { "a", "dc1" }, { "b", "dc2" } }, { "dc1" });
	EXPECT_EQ(kOnlyB, PickOften());
}

// Requests asked the leader for a probe of an evacuated target; a probe that was
// granted before the order was sent after it.
TEST_F(GateEvacuation, ProbesAreNotSent)
{
	std::vector<Row> rows = { { "a", "dc1", FLEET_VERDICT_PROBE },
		{ "b", "dc2" } };

	options_.may_repeat = 1;
	options_.has_leader = 1;
	Apply(rows, {});
	EXPECT_EQ((std::set<std::string>{ "leader" }), PickOften());
	gate_table_keep_probe(table_, fleet_name_hash("a"), now_);
	Apply(rows, { "dc1" });
	EXPECT_EQ(kOnlyB, PickOften());
	/* The permits of a probe and of a limit are used only for such targets. */
	EXPECT_FALSE(gate_target_is_usable(
	    gate_table_find_target(table_, fleet_name_hash("a")), &options_));
	EXPECT_EQ(fleet_name_hash("a"), gate_table_drop_probe(table_, now_));
}

// Without a leader a gate tried ejected targets of the evacuated data centre.
TEST_F(GateEvacuation, HoldsWithoutALeader)
{
	Apply({ { "a", "dc1", FLEET_VERDICT_EJECTED }, { "b", "dc2" },
		  { "c", "dc1" } },
	    { "dc1" });
	options_.may_repeat = 1;
	options_.is_alone = 1;
	EXPECT_EQ(kOnlyB, PickOften());
}

// Requests waited for the limits and the pauses of evacuated targets.
TEST_F(GateEvacuation, NothingWaitsForThem)
{
	Apply({ { "a", "dc1", FLEET_VERDICT_HEALTHY, FLEET_TARGET_READY,
		    fleet_limit_encode(1) },
		  { "b", "dc2", FLEET_VERDICT_EJECTED }, { "c", "dc1" } },
	    { "dc1" });
	gate_target_pause(
	    gate_table_find_target(table_, fleet_name_hash("c")), 60000, now_);
	options_.now_ms = now_;
	options_.skips_limited = 1;
	gate_choice_t choice = Pick();
	EXPECT_FALSE(choice.must_reserve);
	EXPECT_EQ(0, choice.pause_ms);
	EXPECT_FALSE(choice.is_evacuated);
}

// A service without any other target held its requests until their deadlines.
TEST_F(GateEvacuation, AWholeServiceIsRefusedAtOnce)
{
	std::vector<Row> rows = { { "a", "dc1" },
		{ "b", "dc2", FLEET_VERDICT_PROBE } };

	options_.has_leader = 1;
	options_.may_repeat = 1;
	options_.now_ms = now_;
	Apply(rows, { "dc1", "dc2" });
	EXPECT_TRUE(Pick().is_evacuated);
	EXPECT_EQ(nullptr, Pick().target);
	EXPECT_FALSE(Pick().must_ask_leader);
	/* One that leaves takes no requests, either. */
	rows.push_back(
	    { "c", "dc3", FLEET_VERDICT_HEALTHY, FLEET_TARGET_DRAINING });
	Apply(rows, { "dc1", "dc2" });
	EXPECT_TRUE(Pick().is_evacuated);
	/* An ejected one may come back. */
	rows[2] = { "c", "dc3", FLEET_VERDICT_EJECTED };
	Apply(rows, { "dc1", "dc2" });
	EXPECT_FALSE(Pick().is_evacuated);
	Apply({ { "a", "dc1" }, { "b", "dc2" } }, {});
	EXPECT_FALSE(Pick().is_evacuated);
	const gate_refusal_info_t *info =
	    gate_refusal_get_info(GATE_REFUSAL_EVACUATED);
	EXPECT_EQ(503, info->status);
	EXPECT_FALSE(info->is_execution_unknown);
	EXPECT_STREQ("service_evacuated", info->error);
}
