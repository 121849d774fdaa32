// Failures guarded against: the explanation of a route names a target, a share or
// a refusal that a real request would not get; asking for it changes what later
// requests get.
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "fleet/fleet_limit.h"
#include "gate/gate_explain.h"
}

namespace {

struct Row {
	std::string id;
	std::string service = "s1";
	std::string zone = "z1";
	uint32_t verdict = FLEET_VERDICT_HEALTHY;
	uint32_t cold_left_ms = 0;
	uint32_t warmup_limit = FLEET_LIMIT_UNKNOWN;
};

class GateExplain : public testing::Test {
      protected:
	GateExplain()
	{
		char problem[FLEET_CONFIG_PROBLEM_BYTES];
		fleet_route_t *route = fleet_config_add_route(config_);
		fleet_workspace_t *workspace;

		route->name = strdup("r1");
		route->host = strdup("a.example");
		route->prefix = strdup("/x/");
		route->prefix_len = 3;
		route->timeout_ms = 5000;
		route->soft_deadline_ms = 1000;
		route->priority = 2;
		fleet_route_add_part(route, "s1", 3);
		fleet_route_add_part(route, "s2", 1);
		fleet_config_add_service(config_, "s1");
		fleet_config_add_service(config_, "s2");
		workspace = fleet_config_add_workspace(config_, "w1");
		workspace->rate_per_s = 100;
		fleet_config_add_key(config_, workspace, "key-one");
		config_->needs_keys = 1;
		EXPECT_EQ(TM_OK, fleet_config_finish(config_, problem));
		query_.config = config_;
		query_.table = table_;
		query_.cost = cost_;
		query_.features = FLEET_FEATURE_SCARCE_CAPACITY;
		query_.host = "a.example";
		query_.path = "/x/1";
		query_.method = "POST";
		query_.key = "key-one";
		query_.has_leader = 1;
		query_.lease_ms = query_.now_ms = now_;
		UsePolicy(FLEET_FEATURE_SCARCE_CAPACITY);
	}

	~GateExplain() override
	{
		gate_table_destroy(table_);
		gate_cost_destroy(cost_);
		fleet_config_destroy(config_);
	}

	void
	UsePolicy(uint32_t features)
	{
		gate_policy_t policy = {};

		policy.features = query_.features = features;
		policy.gate = 7;
		policy.gate_count = 10;
		gate_table_set_policy(table_, &policy);
	}

	// A full table.
	void
	Apply(std::vector<Row> rows, std::vector<std::string> evacuated = {})
	{
		Tm__Fleet__Table msg = TM__FLEET__TABLE__INIT;
		std::vector<Tm__Fleet__Target> targets(rows.size());
		std::vector<Tm__Fleet__Target *> pointers;
		std::vector<char *> names;

		for (size_t i = 0; i < rows.size(); i++) {
			tm__fleet__target__init(&targets[i]);
			targets[i].id = (char *)rows[i].id.c_str();
			targets[i].zone = (char *)rows[i].zone.c_str();
			targets[i].service = (char *)rows[i].service.c_str();
			targets[i].port = 80;
			targets[i].slots = 4;
			targets[i].born_ms = 1;
			targets[i].verdict = rows[i].verdict;
			targets[i].cold_left_ms = rows[i].cold_left_ms;
			targets[i].warmup_limit = rows[i].warmup_limit;
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

	// Everything but pointers to lists, byte by byte.
	std::vector<std::string>
	Snapshot()
	{
		std::vector<std::string> out;
		gate_service_t *service = gate_table_get_services(table_);

		for (; service != nullptr;
		     service = (gate_service_t *)service->hh.next) {
			out.emplace_back((char *)service, sizeof(*service));
			for (uint32_t i = 0; i < service->count; i++)
				out.emplace_back((char *)service->targets[i],
				    sizeof(gate_target_t));
		}
		return (out);
	}

	// Explains; fails if anything in the table changed.
	const gate_explain_t &
	Explain()
	{
		std::vector<std::string> before = Snapshot();

		EXPECT_EQ(TM_OK, gate_explain_request(&query_, &result_));
		EXPECT_TRUE(before == Snapshot());
		return (result_);
	}

	const gate_explain_part_t &
	First()
	{
		return (Explain().parts[0]);
	}

	gate_share_t *
	Share()
	{
		return (&gate_table_find_service(table_, "s1")->share);
	}

	gate_table_t *table_ = gate_table_create("z1", 1);
	gate_cost_t *cost_ = gate_cost_create();
	fleet_config_t *config_ = fleet_config_create(7);
	gate_explain_query_t query_ = {};
	gate_explain_t result_ = {};
	int64_t now_ = 1000000;
	uint64_t sequence_ = 0;
};

} // namespace

// The route, the workspace's part in it or the weights are not those in force.
TEST_F(GateExplain, NamesRouteWorkspaceAndSplit)
{
	Apply({ { "a" }, { "b" }, { "c", "s2" } });
	const gate_explain_t &result = Explain();

	EXPECT_EQ(GATE_EXPLAIN_OK, result.problem);
	EXPECT_STREQ("r1", result.route->name);
	ASSERT_EQ(GATE_EXPLAIN_KEY_KNOWN, result.key);
	EXPECT_STREQ("w1", result.workspace->name);
	EXPECT_EQ(2, result.priority);
	EXPECT_EQ(5000, result.timeout_ms);
	ASSERT_EQ(2u, result.part_count);
	EXPECT_DOUBLE_EQ(0.75, result.parts[0].share);
	EXPECT_EQ(2u, result.parts[0].candidate_total);
	EXPECT_EQ(GATE_EXPLAIN_TARGET, result.parts[1].outcome);
	EXPECT_STREQ("c", result.parts[1].target);
	EXPECT_DOUBLE_EQ(1, result.parts[1].candidates[0].chance);
	query_.key = "key-two";
	EXPECT_EQ(GATE_EXPLAIN_KEY_UNKNOWN, Explain().key);
	query_.key = nullptr;
	EXPECT_EQ(GATE_EXPLAIN_KEY_MISSING, Explain().key);
}

// What the gate does not know is explained as something else, or crashes it.
TEST_F(GateExplain, SaysWhatIsNotKnown)
{
	Apply({ { "a" } });
	EXPECT_EQ(GATE_EXPLAIN_NO_SERVICE, Explain().parts[1].outcome);
	query_.path = "/y";
	EXPECT_EQ(GATE_EXPLAIN_NO_ROUTE, Explain().problem);
	query_.config = nullptr;
	EXPECT_EQ(GATE_EXPLAIN_NO_CONFIG, Explain().problem);
}

// A full service looks as if it admitted all, or the leader's decision is used
// after it has grown old.
TEST_F(GateExplain, FullServiceAdmitsAShare)
{
	Tm__Fleet__Admission decision = TM__FLEET__ADMISSION__INIT;
	uint32_t shares[] = { 1000, 900, 400, 100 };

	Apply({ { "a" } });
	EXPECT_EQ(GATE_EXPLAIN_NOT_FULL, First().admission);
	decision.n_shares = 4;
	decision.shares = shares;
	gate_share_apply(Share(), &decision, 10, now_);
	EXPECT_EQ(GATE_EXPLAIN_BY_LEADER, First().admission);
	EXPECT_EQ(2u, First().priority_class);
	EXPECT_DOUBLE_EQ(0.4, First().class_share);
	EXPECT_DOUBLE_EQ(0.4, First().admitted);
	query_.now_ms = now_ + 1000;
	EXPECT_EQ(GATE_EXPLAIN_NOT_FULL, First().admission);
	for (int i = 0; i < 10; i++)
		gate_share_record_attempt(Share(), 1);
	EXPECT_EQ(GATE_EXPLAIN_BY_GATE, First().admission);
	EXPECT_GT(0.9, First().admitted);
}

// An evacuated target is a candidate, or an evacuated service is not said to be
// refused.
TEST_F(GateExplain, EvacuatedService)
{
	std::vector<Row> rows = { { "a", "s1", "z1" }, { "b", "s1", "z2" } };

	Apply(rows, { "z1" });
	EXPECT_EQ(GATE_EXPLAIN_TARGET, First().outcome);
	EXPECT_STREQ("b", First().target);
	EXPECT_EQ(1u, First().counts.evacuated);
	Apply(rows, { "z1", "z2" });
	EXPECT_EQ(GATE_EXPLAIN_EVACUATED, First().outcome);
	EXPECT_EQ(0u, First().candidate_count);
}

// The limit of a cold target, or the need for a permit, is not shown.
TEST_F(GateExplain, ColdTarget)
{
	Apply({ { "a", "s1", "z1", FLEET_VERDICT_HEALTHY, 2000,
	    fleet_limit_encode(16.7) } });
	const gate_explain_part_t &part = First();

	EXPECT_EQ(GATE_EXPLAIN_TARGET, part.outcome);
	EXPECT_TRUE(part.needs_permit);
	ASSERT_EQ(1u, part.candidate_count);
	EXPECT_EQ(2000, part.candidates[0].cold_left_ms);
	EXPECT_NEAR(16.7, part.candidates[0].warmup_per_s, 0.01);
	EXPECT_GT(0, part.candidates[0].limit_per_s);
}

// Ejected targets are candidates beside healthy ones, or a probe that the leader
// must grant looks like a choice of the gate.
TEST_F(GateExplain, EjectedTargets)
{
	Apply({ { "a", "s1", "z1", FLEET_VERDICT_EJECTED }, { "b" },
	    { "c", "s1", "z1", FLEET_VERDICT_PROBE_REPEATABLE } });
	EXPECT_STREQ("b", First().target);
	EXPECT_EQ(1u, First().candidate_total);
	EXPECT_EQ(2u, First().counts.ejected);
	Apply({ { "b" }, { "c", "s1", "z1", FLEET_VERDICT_PROBE } });
	EXPECT_EQ(GATE_EXPLAIN_ASK_LEADER, First().outcome);
	query_.has_leader = 0;
	EXPECT_EQ(GATE_EXPLAIN_TARGET, First().outcome);
	gate_table_keep_probe(table_, fleet_name_hash("c"), now_);
	EXPECT_EQ(GATE_EXPLAIN_KEPT_PROBE, First().outcome);
	EXPECT_STREQ("c", First().target);
}

// The stated chances are not those of the choice that requests get, with the
// gate's own zone and loads taken into account.
TEST_F(GateExplain, ChancesMatchTheChoice)
{
	const int kRequests = 20000;
	gate_service_t *service;
	gate_pick_options_t options = {};

	for (uint32_t features : { 0u, 1u }) {
		std::map<std::string, int> chosen;

		UsePolicy(features);
		Apply({ { "a" }, { "b" }, { "c" }, { "d", "s1", "z2" },
		    { "e", "s1", "z2" } });
		for (const char *id : { "a", "b", "c", "d", "e" })
			gate_target_set_load(
			    gate_table_find_target(table_, fleet_name_hash(id)),
			    (uint32_t)(id[0] - 'a'), now_);
		const gate_explain_part_t &part = First();

		ASSERT_EQ(5u, part.candidate_count);
		EXPECT_STREQ("a", part.target);
		EXPECT_EQ(features != 0, part.has_subset != 0);
		service = gate_table_find_service(table_, "s1");
		options.now_ms = now_;
		for (int i = 0; i < kRequests; i++)
			chosen[gate_table_pick(table_, service, &options)
				   .target->id]++;
		for (uint32_t i = 0; i < part.candidate_count; i++)
			EXPECT_NEAR(part.candidates[i].chance,
			    (double)chosen[part.candidates[i].id] / kRequests,
			    0.02)
			    << part.candidates[i].id << " " << features;
	}
}

// The part of a large service that the gate is said to prefer is not the one that
// its requests get.
TEST_F(GateExplain, PreferredPart)
{
	std::vector<Row> rows;
	gate_pick_options_t options = {};
	gate_service_t *service;

	for (int i = 0; i < 60; i++)
		rows.push_back({ "t" + std::to_string(i) });
	Apply(rows);
	const gate_explain_part_t part = First();

	options.now_ms = now_;
	service = gate_table_find_service(table_, "s1");
	gate_table_pick(table_, service, &options);
	EXPECT_EQ(60u, part.counts.usable);
	EXPECT_LT(part.candidate_total, 60u);
	ASSERT_EQ(service->subset.member_count, part.candidate_total);
	for (uint32_t i = 0; i < part.candidate_count; i++) {
		bool is_member = false;

		for (uint32_t k = 0; k < service->subset.member_count; k++)
			is_member |= strcmp(service->subset.members[k]->id,
					 part.candidates[i].id) == 0;
		EXPECT_TRUE(is_member) << part.candidates[i].id;
	}
}

// An explanation uses up a random number, so that it changes the choices of later
// requests.
TEST_F(GateExplain, LaterChoicesStay)
{
	std::vector<std::string> ids[2];

	for (auto &list : ids) {
		gate_table_destroy(table_);
		query_.table = table_ = gate_table_create("z1", 1);
		UsePolicy(FLEET_FEATURE_SCARCE_CAPACITY);
		Apply({ { "a" }, { "b" }, { "c" }, { "d" }, { "e" } });
		for (int i = 0; i < 100; i++) {
			gate_pick_options_t options = {};

			options.now_ms = now_;
			if (&list == &ids[1])
				Explain();
			list.push_back(gate_table_pick(table_,
			    gate_table_find_service(table_, "s1"), &options)
					   .target->id);
		}
	}
	EXPECT_TRUE(ids[0] == ids[1]);
}
