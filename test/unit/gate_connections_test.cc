// Failures guarded against: a connection is counted under a reason or a kind of
// attempt that does not apply, a report repeats what an earlier one has counted,
// reports of many services exceed the bound of the log.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "base/log.h"
#include "fleet/fleet_config.h"
#include "gate/gate_table.h"
}

namespace {

const int64_t kNow = 100000;

class GateConnections : public testing::Test {
      protected:
	// A service s0, s1, ... with one target t0, t1, ... each.
	void
	AddServices(int count)
	{
		Tm__Fleet__Table msg = TM__FLEET__TABLE__INIT;
		std::vector<Tm__Fleet__Target> rows((size_t)count);
		std::vector<Tm__Fleet__Target *> pointers;
		std::vector<std::string> ids, services;
		char zone[] = "z1";

		for (int i = 0; i < count; i++) {
			ids.push_back("t" + std::to_string(i));
			services.push_back("s" + std::to_string(i));
		}
		for (size_t i = 0; i < rows.size(); i++) {
			tm__fleet__target__init(&rows[i]);
			rows[i].id = (char *)ids[i].c_str();
			rows[i].service = (char *)services[i].c_str();
			rows[i].zone = zone;
			rows[i].born_ms = 1;
			pointers.push_back(&rows[i]);
		}
		msg.term = 1;
		msg.sequence = 1;
		msg.targets = pointers.data();
		msg.n_targets = pointers.size();
		ASSERT_EQ(gate_table_apply(table_, &msg, kNow), 1);
	}

	~GateConnections() override
	{
		gate_table_destroy(table_);
	}

	gate_target_t *
	Target(int i)
	{
		return (gate_table_find_target(table_,
		    fleet_name_hash(("t" + std::to_string(i)).c_str())));
	}

	// @return lines that reports write in a time, with a tick every 20 ms
	std::vector<std::string>
	Tick(int64_t from_ms, int64_t until_ms)
	{
		std::vector<std::string> lines;
		FILE *out = tmpfile();
		char line[4096];

		log_configure(out, LOG_LEVEL_INFO, "test");
		for (int64_t t = from_ms; t < until_ms; t += 20)
			gate_connections_tick(table_, t);
		log_configure(stderr, LOG_LEVEL_INFO, "test");
		rewind(out);
		while (fgets(line, sizeof(line), out) != nullptr)
			lines.push_back(line);
		fclose(out);
		return (lines);
	}

	gate_table_t *table_ = gate_table_create("z1", 1);
};

} // namespace

TEST_F(GateConnections, ClassifiesAttempts)
{
	gate_attempt_origin_t attempt = { 1, 1, 1 };
	gate_target_t *target;
	gate_target_t *member;

	AddServices(2);
	target = Target(0);
	member = Target(1);
	EXPECT_EQ(
	    gate_connections_classify(target, &attempt), GATE_ATTEMPT_PROBE);
	attempt.is_probe = 0;
	EXPECT_EQ(
	    gate_connections_classify(target, &attempt), GATE_ATTEMPT_ASSIGNED);
	attempt.is_assigned = 0;
	EXPECT_EQ(
	    gate_connections_classify(target, &attempt), GATE_ATTEMPT_RETRY);
	attempt.is_retry = 0;
	EXPECT_EQ(
	    gate_connections_classify(target, &attempt), GATE_ATTEMPT_MEMBER);
	target->service->subset.members = &member;
	target->service->subset.member_count = 1;
	EXPECT_EQ(
	    gate_connections_classify(target, &attempt), GATE_ATTEMPT_OUTSIDE);
	member = target;
	EXPECT_EQ(
	    gate_connections_classify(target, &attempt), GATE_ATTEMPT_MEMBER);
	target->service->subset.members = nullptr;
}

// The pool goes by address: it forgets a target after a minute, and remembers the
// one that had the address before.
TEST_F(GateConnections, CountsTheFirstConnectionOfATargetOnce)
{
	AddServices(1);
	EXPECT_EQ(gate_connections_record(Target(0), GATE_ATTEMPT_MEMBER,
		      UPSTREAM_ORIGIN_FAILED, 0),
	    UPSTREAM_ORIGIN_FIRST);
	EXPECT_EQ(gate_connections_record(
		      Target(0), GATE_ATTEMPT_MEMBER, UPSTREAM_ORIGIN_FIRST, 0),
	    UPSTREAM_ORIGIN_IDLE);
	EXPECT_EQ(gate_connections_record(
		      Target(0), GATE_ATTEMPT_MEMBER, UPSTREAM_ORIGIN_BUSY, 1),
	    UPSTREAM_ORIGIN_BUSY);
	EXPECT_EQ(gate_connections_record(Target(0), GATE_ATTEMPT_MEMBER,
		      UPSTREAM_ORIGIN_REUSED, 1),
	    UPSTREAM_ORIGIN_REUSED);
	EXPECT_EQ(
	    Target(0)->service->connections.unexpected[GATE_ATTEMPT_MEMBER],
	    1u);
}

TEST_F(GateConnections, ReportsEachConnectionOnce)
{
	const int64_t due = kNow + GATE_CONNECTIONS_INTERVAL_MS;
	std::vector<std::string> lines;

	AddServices(1);
	EXPECT_TRUE(Tick(kNow, kNow + 100).empty());
	gate_connections_record(
	    Target(0), GATE_ATTEMPT_MEMBER, UPSTREAM_ORIGIN_FIRST, 0);
	gate_connections_record(
	    Target(0), GATE_ATTEMPT_MEMBER, UPSTREAM_ORIGIN_REUSED, 0);
	gate_connections_record(
	    Target(0), GATE_ATTEMPT_PROBE, UPSTREAM_ORIGIN_CLOSED_IDLE, 1);
	EXPECT_TRUE(Tick(kNow + 100, due).empty());
	lines = Tick(due, due + 1000);
	ASSERT_EQ(lines.size(), 2u);
	EXPECT_NE(lines[0].find("\"service\":\"s0\",\"attempt\":\"member\","
				"\"period_ms\":30000,\"attempts\":2,"
				"\"opened\":1,\"first\":1,\"busy\":0,"),
	    std::string::npos)
	    << lines[0];
	EXPECT_NE(lines[1].find("\"attempt\":\"probe\""), std::string::npos);
	EXPECT_NE(lines[1].find("\"attempts\":1,\"opened\":1,\"first\":0,"
				"\"busy\":0,\"idle\":0,\"idle_learned\":0,"
				"\"closed_idle\":1,"),
	    std::string::npos)
	    << lines[1];
	EXPECT_NE(lines[1].find("\"unexpected\":1}"), std::string::npos);
	EXPECT_TRUE(Tick(due + 1000, due + 61000).empty());
}

TEST_F(GateConnections, BoundsTheLinesOfManyServices)
{
	const int64_t due = kNow + GATE_CONNECTIONS_INTERVAL_MS;
	const int services = 40;
	size_t all = 0;

	AddServices(services);
	Tick(kNow, kNow + 20);
	for (int i = 0; i < services; i++)
		for (int kind = 0; kind < GATE_ATTEMPT_KINDS; kind++)
			gate_connections_record(Target(i),
			    (gate_attempt_kind_t)kind, UPSTREAM_ORIGIN_BUSY, 0);
	for (int64_t t = due; t < due + 10000; t += 1000) {
		size_t lines = Tick(t, t + 1000).size();

		EXPECT_LE(lines, (size_t)LOG_LINES_PER_S);
		all += lines;
	}
	EXPECT_EQ(all, (size_t)services * GATE_ATTEMPT_KINDS);
}
