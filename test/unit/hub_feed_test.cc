// Failures guarded against: a gate misses a verdict or a new target; each
// change of a verdict sends the whole target to all gates.
#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <vector>

extern "C" {
#include "gate/gate_table.h"
#include "fleet/fleet_limit.h"
#include "hub/hub_feed.h"
}

namespace {

const uint64_t kTerm = 3;

class HubFeed : public testing::Test {
      protected:
	HubFeed()
	{
		hub_feed_options_t options = {};

		outlier_ = hub_outlier_create(0.7, OnVerdict, this);
		options.state = state_;
		options.outlier = outlier_;
		options.send = Send;
		options.send_ctx = this;
		options.get_connection = [](void *ctx, node_id_t) {
			return (static_cast<HubFeed *>(ctx)->connection_);
		};
		options.connection_ctx = this;
		options.window_ms = 5000;
		options.signals = signals_;
		options.get_cold_value = GetColdValue;
		options.cold_ctx = this;
		feed_ = hub_feed_create(&options);
		hub_feed_reset(feed_, kTerm, now_);
	}

	~HubFeed() override
	{
		for (auto &gate : gates_)
			gate_table_destroy(gate.second);
		hub_feed_destroy(feed_);
		hub_signals_destroy(signals_);
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	static uint32_t
	GetColdValue(void *ctx, const char *service)
	{
		EXPECT_STREQ(service, "orders");
		return (static_cast<HubFeed *>(ctx)->cold_value_);
	}

	static void
	OnVerdict(
	    void *ctx, uint64_t target, fleet_verdict_t verdict, const char *)
	{
		HubFeed *self = static_cast<HubFeed *>(ctx);

		hub_feed_mark_verdict_changed(self->feed_, target, verdict);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		HubFeed *self = static_cast<HubFeed *>(ctx);

		if (type != MSG_FLEET_TABLE)
			return;
		self->tables_++;
		if (self->is_slow_)
			return;
		self->bytes_ += protobuf_c_message_get_packed_size(msg);
		gate_table_apply(self->gates_[to],
		    (const Tm__Fleet__Table *)msg, self->now_);
	}

	uint64_t
	AddTarget(const char *id, uint16_t port)
	{
		dialect_announcement_t as = {};
		hub_changed_targets_t changed;
		size_t len;

		snprintf(as.id, sizeof(as.id), "%s", id);
		snprintf(as.service, sizeof(as.service), "orders");
		snprintf(as.zone, sizeof(as.zone), "zone-1");
		as.ip = 1;
		as.port = port;
		as.slots = 4;
		as.born_ms = 1;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		hub_outlier_add_target(outlier_, changed.target->key, 1, 1);
		hub_feed_mark_target_changed(feed_, changed.target->key);
		return (changed.target->key);
	}

	void
	Join(node_id_t id)
	{
		Tm__Fleet__Join join = TM__FLEET__JOIN__INIT;
		hub_feed_lease_t lease = {};

		if (gates_.count(id) == 0)
			gates_[id] = gate_table_create("zone-1", 1);
		lease.leader = "10.0.0.1";
		join.up_ms = (uint64_t)now_;
		join.table_term = gate_table_get_term(gates_[id]);
		join.table_sequence = gate_table_get_sequence(gates_[id]);
		hub_feed_renew_lease(feed_, id, &join, &lease, now_);
	}

	void
	Break(uint64_t target)
	{
		hub_evidence_t evidence = {};

		evidence.target = target;
		evidence.gate = 1;
		evidence.kind = FLEET_EVIDENCE_BROKEN;
		hub_outlier_record_evidence(outlier_, &evidence, now_);
	}

	fleet_verdict_t
	GetVerdict(node_id_t gate, uint64_t target)
	{
		return (gate_table_find_target(gates_[gate], target)->verdict);
	}

	/* Waits until probes are due, without a flush. */
	void
	WaitForProbes()
	{
		now_ += 1100;
		hub_outlier_tick(outlier_, now_);
	}

	int64_t now_ = 1000000;
	hub_state_t *state_ = hub_state_create();
	hub_outlier_t *outlier_;
	hub_feed_t *feed_;
	hub_signals_t *signals_ = hub_signals_create();
	uint32_t cold_value_ = FLEET_LIMIT_UNKNOWN;
	std::map<node_id_t, gate_table_t *> gates_;
	size_t bytes_ = 0;
	int tables_ = 0; // sent
	bool is_slow_ = false; // tables that are sent do not arrive yet
	uint64_t connection_ = 1;
};

} // namespace

// gmpco-veg-grown: 200 verdicts a second to 83 gates were most of the traffic
// between zones.
TEST_F(HubFeed, VerdictIsSentWithoutTheTarget)
{
	uint64_t targets[] = { AddTarget("a", 1), AddTarget("b", 2),
		AddTarget("c", 3) };

	Join(1);
	bytes_ = 0;
	Break(targets[0]);
	hub_feed_flush(feed_, now_);
	EXPECT_EQ(FLEET_VERDICT_EJECTED, GetVerdict(1, targets[0]));
	EXPECT_EQ(FLEET_VERDICT_HEALTHY, GetVerdict(1, targets[1]));
	EXPECT_LE(bytes_, 24u);
}

// A gate learns what cold targets tolerate only once one is cold: after it was cut
// off it never does. Targets count as cold by it.
TEST_F(HubFeed, GatesKnowWhatWarmTargetsTolerateWhenCold)
{
	uint64_t target = AddTarget("a", 1);
	const gate_limit_t *limit;

	Join(1);
	limit = &gate_table_find_target(gates_[1], target)->limit;
	EXPECT_EQ(FLEET_LIMIT_UNKNOWN, (int)limit->cold_value);
	cold_value_ = fleet_limit_encode(5);
	hub_feed_mark_target_changed(feed_, target);
	hub_feed_flush(feed_, now_);
	EXPECT_EQ(cold_value_, limit->cold_value);
	EXPECT_FALSE(gate_limit_is_cold(limit, now_));
	cold_value_ = FLEET_LIMIT_UNKNOWN;
	hub_feed_mark_target_changed(feed_, target);
	hub_feed_flush(feed_, now_);
	EXPECT_EQ(FLEET_LIMIT_UNKNOWN, (int)limit->cold_value);
}

// The gate missed the announcement and the verdict that followed it.
TEST_F(HubFeed, AGateThatMissedTheTargetGetsAllOfIt)
{
	AddTarget("a", 1);
	Join(1);
	now_ += HUB_GATE_TIMEOUT_MS + 1;
	uint64_t late = AddTarget("b", 2);
	AddTarget("c", 3);
	AddTarget("d", 4);
	hub_feed_flush(feed_, now_);
	Break(late);
	hub_feed_flush(feed_, now_);
	ASSERT_EQ(nullptr, gate_table_find_target(gates_[1], late));
	Join(1);
	ASSERT_NE(nullptr, gate_table_find_target(gates_[1], late));
	EXPECT_EQ(FLEET_VERDICT_EJECTED, GetVerdict(1, late));
}

TEST_F(HubFeed, ProbeVerdictsAreBatched)
{
	uint64_t targets[] = { AddTarget("a", 1), AddTarget("b", 2),
		AddTarget("c", 3), AddTarget("d", 4) };

	Join(1);
	Break(targets[0]);
	hub_feed_flush(feed_, now_);
	WaitForProbes();
	hub_feed_flush(feed_, now_);
	ASSERT_EQ(FLEET_VERDICT_PROBE_REPEATABLE, GetVerdict(1, targets[0]));
	Break(targets[1]);
	hub_feed_flush(feed_, now_);
	WaitForProbes();
	Break(targets[2]);
	/* Sent together with the ejection, which is urgent. */
	hub_feed_flush(feed_, now_);
	EXPECT_EQ(FLEET_VERDICT_PROBE_REPEATABLE, GetVerdict(1, targets[1]));
	EXPECT_EQ(FLEET_VERDICT_EJECTED, GetVerdict(1, targets[2]));
}

// A gate that renewed its lease while changes were pending missed the next ones
// until its next renewal.
TEST_F(HubFeed, RenewalBeforeAFlushMissesNothing)
{
	uint64_t targets[] = { AddTarget("a", 1), AddTarget("b", 2),
		AddTarget("c", 3), AddTarget("d", 4) };

	Join(1);
	Join(2);
	Break(targets[0]);
	hub_feed_flush(feed_, now_);
	WaitForProbes();
	/* The probe is pending; one gate does not have it, one is new. */
	Join(2);
	Join(3);
	Break(targets[1]);
	hub_feed_flush(feed_, now_);
	for (node_id_t gate = 1; gate <= 3; gate++) {
		EXPECT_EQ(FLEET_VERDICT_PROBE_REPEATABLE,
		    GetVerdict(gate, targets[0]))
		    << gate;
		EXPECT_EQ(FLEET_VERDICT_EJECTED, GetVerdict(gate, targets[1]))
		    << gate;
	}
}

// A gate with a slow link renews its lease while its first table is on its way, and
// was sent another one each 0.7 s, which delayed its lease further.
TEST_F(HubFeed, ATableThatIsOnItsWayIsNotSentAgain)
{
	AddTarget("a", 1);
	is_slow_ = true;
	for (int i = 0; i < 10; i++) {
		Join(1);
		now_ += 500;
	}
	EXPECT_EQ(1, tables_);
	/* It may be lost on the connection if too much waited there. */
	now_ += HUB_UNDER_WAY_MAX_MS;
	Join(1);
	EXPECT_EQ(2, tables_);
}

// A table is lost with its connection: the gate would wait for seconds.
TEST_F(HubFeed, ATableIsSentAgainOnANewConnection)
{
	AddTarget("a", 1);
	is_slow_ = true;
	Join(1);
	now_ += 100;
	connection_++;
	Join(1);
	EXPECT_EQ(2, tables_);
	/* Without a number, as when the connection was closed at the time. */
	connection_ = 0;
	Join(1);
	EXPECT_EQ(3, tables_);
	now_ += HUB_RESEND_MS - 100;
	Join(1);
	EXPECT_EQ(3, tables_);
	now_ += 100;
	Join(1);
	EXPECT_EQ(4, tables_);
}
