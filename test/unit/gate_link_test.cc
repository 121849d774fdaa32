// Failures guarded against: a gate serves keys although it cannot know that
// they are still valid; it spends freely while nobody counts; it stays with a
// leader that is gone; an ask without an answer blocks a request for ever.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "gate/gate_allowance.h"
#include "gate/gate_link.h"
#include "gate/gate_usage.h"
}

namespace {

const int64_t kKeyLeaseMs = 4000;

class GateLink : public testing::Test {
      protected:
	GateLink()
	{
		const char *seeds[] = { "10.0.0.1", "10.0.0.2" };
		gate_link_options_t options = {};

		options.seeds = seeds;
		options.seed_count = 2;
		options.key_lease_ms = kKeyLeaseMs;
		options.send = Send;
		options.send_ctx = this;
		options.found = [](void *, const char *) {};
		options.reset = [](void *ctx, node_id_t) {
			static_cast<GateLink *>(ctx)->resets_++;
		};
		options.fill_join = [](void *ctx, Tm__Fleet__Join *,
					int wants_usage) {
			static_cast<GateLink *>(ctx)->usage_wanted_ +=
			    wants_usage;
		};
		options.pressure = [](void *, const Tm__Fleet__Pressure *) {};
		options.joined = [](void *) {};
		options.ctx = this;
		link_ = gate_link_create(&options);
	}

	~GateLink() override
	{
		gate_link_destroy(link_);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		GateLink *self = static_cast<GateLink *>(ctx);

		if (type == MSG_FLEET_JOIN)
			self->joins_.emplace_back(
			    to, ((const Tm__Fleet__Join *)msg)->sent_ms);
		if (type == MSG_FLEET_SPENDS)
			self->spends_ +=
			    ((const Tm__Fleet__Spends *)msg)->n_spends;
	}

	void
	Handle(const char *from, uint16_t type, const ProtobufCMessage *msg)
	{
		std::vector<uint8_t> bytes(
		    protobuf_c_message_get_packed_size(msg));

		protobuf_c_message_pack(msg, bytes.data());
		gate_link_handle(link_, node_id_from_name(from), type,
		    bytes.data(), bytes.size(), now_);
	}

	void
	Lease(const char *from, uint64_t term, int64_t sent_ms,
	    uint64_t version = 1)
	{
		Tm__Fleet__Lease lease = TM__FLEET__LEASE__INIT;

		lease.sent_ms = (uint64_t)sent_ms;
		lease.is_leader = 1;
		lease.leader = (char *)from;
		lease.term = term;
		lease.config_version = version;
		lease.gates = 10;
		Handle(from, MSG_FLEET_LEASE, &lease.base);
	}

	void
	Redirect(const char *from, const char *leader)
	{
		Tm__Fleet__Lease lease = TM__FLEET__LEASE__INIT;

		lease.leader = (char *)leader;
		Handle(from, MSG_FLEET_LEASE, &lease.base);
	}

	/* Passes time; the leader answers at once unless it is "". */
	void
	Pass(int64_t ms, const char *leader, uint64_t term)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += 50) {
			size_t before = joins_.size();

			gate_link_tick(link_, now_);
			for (; before < joins_.size(); before++) {
				if (joins_[before].first ==
				    node_id_from_name(leader))
					Lease(leader, term,
					    (int64_t)joins_[before].second);
			}
		}
	}

	static void
	OnPermit(void *ctx, gate_permit_t result, uint32_t wait_ms)
	{
		(void)wait_ms;
		static_cast<GateLink *>(ctx)->permits_.push_back(result);
	}

	gate_link_t *link_;
	int64_t now_ = 1000000;
	int resets_ = 0;
	int usage_wanted_ = 0;
	size_t spends_ = 0;
	std::vector<std::pair<node_id_t, uint64_t>> joins_;
	std::vector<gate_permit_t> permits_;
};

} // namespace

TEST_F(GateLink, FindsTheLeaderThroughAnotherHub)
{
	gate_link_tick(link_, now_);
	ASSERT_EQ(1u, joins_.size());
	Redirect("10.0.0.2", "10.0.0.7");
	ASSERT_EQ(2u, joins_.size());
	EXPECT_EQ(node_id_from_name("10.0.0.7"), joins_[1].first);
	Lease("10.0.0.7", 3, now_);
	EXPECT_TRUE(gate_link_has_leader(link_, now_));
	EXPECT_EQ(10u, gate_link_get_gates(link_));
}

TEST_F(GateLink, LeavesASilentLeader)
{
	Pass(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_has_leader(link_, now_));
	Pass(GATE_LEADER_SILENT_MS + 200, "", 0);
	EXPECT_FALSE(gate_link_has_leader(link_, now_));
	EXPECT_EQ(1, resets_);
	Pass(1000, "10.0.0.2", 4);
	EXPECT_TRUE(gate_link_has_leader(link_, now_));
	EXPECT_EQ(4u, gate_link_get_term(link_));
}

// A key that was withdrawn after the asking is unknown to this gate.
TEST_F(GateLink, KeyLeaseCountsFromTheAsking)
{
	gate_link_set_version(link_, 1);
	Lease("10.0.0.1", 3, now_ - 1000);
	EXPECT_TRUE(gate_link_has_key_lease(link_, now_));
	EXPECT_TRUE(gate_link_has_key_lease(link_, now_ + kKeyLeaseMs - 1001));
	EXPECT_FALSE(gate_link_has_key_lease(link_, now_ + kKeyLeaseMs - 1000));
}

TEST_F(GateLink, KeyLeaseNeedsTheNewestVersion)
{
	gate_link_set_version(link_, 1);
	Lease("10.0.0.1", 3, now_, 2);
	EXPECT_FALSE(gate_link_has_key_lease(link_, now_));
	gate_link_set_version(link_, 2);
	EXPECT_TRUE(gate_link_has_key_lease(link_, now_));
}

TEST_F(GateLink, AnOlderTermGivesNoLease)
{
	gate_link_set_version(link_, 1);
	Lease("10.0.0.2", 4, now_);
	now_ += kKeyLeaseMs;
	Lease("10.0.0.1", 3, now_);
	EXPECT_FALSE(gate_link_has_key_lease(link_, now_));
	EXPECT_EQ(4u, gate_link_get_term(link_));
}

// gmpco-veg, trouble-1: a frozen leader counted nothing for 1.3 s.
TEST_F(GateLink, FreeSpendingEndsSoonAfterTheLeaderFellSilent)
{
	Pass(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_is_current(link_, now_));
	now_ += GATE_CURRENT_MS + 1;
	EXPECT_FALSE(gate_link_is_current(link_, now_));
}

TEST_F(GateLink, ANewLeaderIsToldOnceWhatWasSpent)
{
	Pass(2000, "10.0.0.1", 3);
	EXPECT_EQ(1, usage_wanted_);
	gate_link_spend(link_, 5, 6);
	gate_link_spend(link_, 5, 6);
	gate_link_flush(link_);
	EXPECT_EQ(2u, spends_);
	Pass(GATE_LEADER_SILENT_MS + 200, "", 0);
	gate_link_spend(link_, 5, 6);
	Pass(2000, "10.0.0.2", 4);
	gate_link_flush(link_);
	EXPECT_EQ(2, usage_wanted_);
	/* The usage covers what could not be told before. */
	EXPECT_EQ(2u, spends_);
}

TEST_F(GateLink, UntilTheLeaderTellsAllIsScarce)
{
	Tm__Fleet__Permits permits = TM__FLEET__PERMITS__INIT;
	uint64_t scarce[] = { 5 };

	Pass(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_is_scarce(link_, 6));
	permits.term = 3;
	permits.has_scarce = 1;
	permits.scarce = scarce;
	permits.n_scarce = 1;
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	EXPECT_TRUE(gate_link_is_scarce(link_, 5));
	EXPECT_FALSE(gate_link_is_scarce(link_, 6));
	/* Another term knows nothing of this one. */
	Lease("10.0.0.2", 4, now_);
	EXPECT_TRUE(gate_link_is_scarce(link_, 6));
}

TEST_F(GateLink, AsksAreAnsweredOnceOrGivenUp)
{
	Tm__Fleet__Spend ask = TM__FLEET__SPEND__INIT;
	Tm__Fleet__Permits permits = TM__FLEET__PERMITS__INIT;
	Tm__Fleet__Permit permit = TM__FLEET__PERMIT__INIT;
	Tm__Fleet__Permit *list[] = { &permit };

	Pass(1000, "10.0.0.1", 3);
	permit.id = gate_link_ask(link_, &ask, OnPermit, this, now_);
	permit.is_granted = 1;
	permits.permits = list;
	permits.n_permits = 1;
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	EXPECT_EQ(
	    std::vector<gate_permit_t>({ GATE_PERMIT_GRANTED }), permits_);
	gate_link_ask(link_, &ask, OnPermit, this, now_);
	gate_link_cancel(
	    link_, gate_link_ask(link_, &ask, OnPermit, this, now_));
	Pass(GATE_ASK_MAX_MS + 100, "", 0);
	EXPECT_EQ(std::vector<gate_permit_t>(
		      { GATE_PERMIT_GRANTED, GATE_PERMIT_UNKNOWN }),
	    permits_);
}

// All gates together, without a leader, in the 5 s after it fell silent, when
// every gate wants as much as it can get; what was used before lies in the same
// window.
TEST(GateAllowance, AllGatesTogetherStayWithinTheRate)
{
	const fleet_rate_bounds_t bounds = { 5000, 0.1, 20 };

	for (int gate_count : { 3, 44, 127, 700 }) {
		for (double rate : { 3.0, 40.0, 400.0 }) {
			std::vector<gate_allowance_t *> gates;
			fleet_workspace_t workspace = {};
			gate_allowance_ask_t ask = {};
			double allowed;
			double limit;
			int spent = 0;

			workspace.id = 1;
			workspace.rate_per_s = rate;
			workspace.burst = rate;
			allowed = (rate * 5 + rate) * 1.1 + 20;
			limit = fleet_workspace_get_limit(&workspace, &bounds);
			ask.workspace = &workspace;
			ask.is_plentiful = 1;
			ask.gates = (uint32_t)gate_count;
			for (int i = 0; i < gate_count; i++)
				gates.push_back(gate_allowance_create(
				    &bounds, (uint64_t)i + 1));
			for (int64_t now = 1000; now < 6000; now += 10) {
				ask.now_ms = now;
				for (gate_allowance_t *gate : gates)
					spent +=
					    gate_allowance_take(gate, &ask);
				/* The hub calls it scarce if more was used. */
				EXPECT_LE(spent +
					0.65 * limit * (6000.0 - (double)now) /
					    5000,
				    allowed)
				    << gate_count << " gates, rate " << rate
				    << ", after " << now - 1000 << " ms";
			}
			for (gate_allowance_t *gate : gates)
				gate_allowance_destroy(gate);
		}
	}
}

TEST(GateAllowance, AScarceWorkspaceStartsWithNothing)
{
	const fleet_rate_bounds_t bounds = { 5000, 0.1, 20 };
	gate_allowance_t *gate = gate_allowance_create(&bounds, 1);
	fleet_workspace_t workspace = {};
	gate_allowance_ask_t ask = {};

	workspace.id = 1;
	workspace.rate_per_s = 40;
	workspace.burst = 40;
	ask.workspace = &workspace;
	ask.gates = 10;
	ask.now_ms = 1000;
	EXPECT_FALSE(gate_allowance_take(gate, &ask));
	/* One token of its share of the rate. */
	ask.now_ms += (int64_t)(1000 * 10 /
			  (FLEET_ALLOWANCE_RATE_SHARE * workspace.rate_per_s)) +
	    1;
	EXPECT_TRUE(gate_allowance_take(gate, &ask));
	EXPECT_FALSE(gate_allowance_take(gate, &ask));
	gate_allowance_destroy(gate);
}

TEST(GateUsage, ListsTheLastWindow)
{
	gate_usage_t *usage = gate_usage_create();
	Tm__Fleet__Usage **list;

	gate_usage_count(usage, 7, 100000, 100000);
	gate_usage_count(usage, 7, 100100, 100100);
	gate_usage_count(usage, 7, 101000, 101000);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 101000));
	ASSERT_EQ((size_t)GATE_USAGE_PARTS, list[0]->n_parts);
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_AHEAD]);
	EXPECT_EQ(2u, list[0]->parts[GATE_USAGE_AHEAD + 4]);
	EXPECT_EQ(0u, gate_usage_list(usage, &list, 110000));
	gate_usage_count(usage, 7, 110000, 110000);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 110000));
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_AHEAD]);
	EXPECT_EQ(0u, list[0]->parts[GATE_USAGE_AHEAD + 1]);
	gate_usage_destroy(usage);
}

// A permit for a later time was told as of when it was given: it left the
// window of the next leader too early.
TEST(GateUsage, ListsWhatIsSentLater)
{
	gate_usage_t *usage = gate_usage_create();
	Tm__Fleet__Usage **list;

	gate_usage_count(usage, 7, 100000, 100750);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 100000));
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_AHEAD - 3]);
	EXPECT_EQ(0u, list[0]->parts[GATE_USAGE_AHEAD]);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 101000));
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_AHEAD + 1]);
	gate_usage_destroy(usage);
}
