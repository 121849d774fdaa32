// Failures guarded against: a gate serves keys although it cannot know that
// they are still valid; it consumes tokens without permits while no leader
// counts them; it stays with an unreachable leader; a permit request without an
// answer blocks its request for ever.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
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
		options.hub_found = [](void *, const char *) {};
		options.hub_dropped = [](void *ctx, node_id_t hub) {
			static_cast<GateLink *>(ctx)->dropped_.push_back(hub);
		};
		options.reset_hub = [](void *ctx, node_id_t hub) {
			static_cast<GateLink *>(ctx)->resets_[hub]++;
		};
		options.get_received_ms = [](void *ctx, node_id_t hub) {
			return (static_cast<GateLink *>(ctx)->received_[hub]);
		};
		options.late_probe = [](void *ctx, uint64_t target) {
			gate_link_return_probe(
			    static_cast<GateLink *>(ctx)->link_, target);
		};
		options.fill_renewal = [](void *ctx, Tm__Fleet__Join *,
					   int needs_usage) {
			static_cast<GateLink *>(ctx)->usage_requests_ +=
			    needs_usage;
		};
		options.set_full = [](void *, uint64_t, uint32_t, int64_t) {};
		options.set_idle = [](void *, const uint64_t *, size_t) {};
		options.set_utilization = [](void *,
					      const Tm__Fleet__Pressure *) {};
		options.renewal_sent = [](void *) {};
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
			self->renewals_.emplace_back(
			    to, ((const Tm__Fleet__Join *)msg)->sent_ms);
		if (type == MSG_FLEET_SPENDS)
			self->spends_ +=
			    ((const Tm__Fleet__Spends *)msg)->n_spends;
		if (type == MSG_FLEET_EVIDENCE &&
		    ((const Tm__Fleet__Evidence *)msg)->kind ==
			FLEET_EVIDENCE_PROBE_UNUSED)
			self->returned_probes_.push_back(
			    ((const Tm__Fleet__Evidence *)msg)->target);
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

	/* Advances the time; the leader answers at once unless it is "". */
	void
	AdvanceTime(int64_t ms, const char *leader, uint64_t term)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += 50) {
			size_t before = renewals_.size();

			gate_link_tick(link_, now_);
			for (; before < renewals_.size(); before++) {
				if (renewals_[before].first ==
				    node_id_from_name(leader))
					Lease(leader, term,
					    (int64_t)renewals_[before].second);
			}
		}
	}

	static void
	OnPermit(void *ctx, const gate_permit_reply_t *reply)
	{
		static_cast<GateLink *>(ctx)->permits_.push_back(reply->result);
	}

	gate_link_t *link_;
	int64_t now_ = 1000000;
	std::map<node_id_t, int> resets_;
	std::map<node_id_t, int64_t> received_; // bytes last arrived from a hub
	int usage_requests_ = 0;
	size_t spends_ = 0;
	std::vector<uint64_t> returned_probes_;
	std::vector<node_id_t> dropped_; // hubs
	std::vector<std::pair<node_id_t, uint64_t>> renewals_;
	std::vector<gate_permit_t> permits_;
};

} // namespace

TEST_F(GateLink, FindsTheLeaderThroughAnotherHub)
{
	gate_link_tick(link_, now_);
	ASSERT_EQ(1u, renewals_.size());
	Redirect("10.0.0.2", "10.0.0.7");
	ASSERT_EQ(2u, renewals_.size());
	EXPECT_EQ(node_id_from_name("10.0.0.7"), renewals_[1].first);
	Lease("10.0.0.7", 3, now_);
	EXPECT_TRUE(gate_link_has_leader(link_, now_));
	EXPECT_EQ(10u, gate_link_get_gate_count(link_));
}

// Replaced hubs fill the list: a gate that is cut off meanwhile, or that loses its
// leader, never finds the hubs that there are now.
TEST_F(GateLink, FindsTheLeaderAfterManyHubsWereReplaced)
{
	std::vector<std::string> names;

	for (int i = 0; i < 2 * FLEET_HUBS_MAX; i++) {
		Tm__Fleet__Lease lease = TM__FLEET__LEASE__INIT;
		std::vector<char *> hubs;

		names.push_back("10.0.1." + std::to_string(i));
		for (size_t j = names.size() < 3 ? 0 : names.size() - 3;
		     j < names.size(); j++)
			hubs.push_back((char *)names[j].c_str());
		lease.hubs = hubs.data();
		lease.n_hubs = hubs.size();
		lease.leader = (char *)names.back().c_str();
		now_ += 1000;
		Handle("10.0.0.1", MSG_FLEET_LEASE, &lease.base);
		ASSERT_FALSE(renewals_.empty());
		ASSERT_EQ(
		    node_id_from_name(lease.leader), renewals_.back().first);
	}
	EXPECT_EQ(names.size() + 2 - FLEET_HUBS_MAX, dropped_.size());
	EXPECT_EQ(node_id_from_name("10.0.0.1"), dropped_[0]);
}

// One message names more hubs than there are entries for; those that were named
// just now are not dropped.
TEST_F(GateLink, AMessageWithTooManyHubsDropsNoneOfThem)
{
	Tm__Fleet__Lease lease = TM__FLEET__LEASE__INIT;
	std::vector<std::string> names;
	std::vector<char *> hubs;

	for (int i = 0; i < FLEET_HUBS_MAX + 8; i++)
		names.push_back("10.0.1." + std::to_string(i));
	for (std::string &name : names)
		hubs.push_back((char *)name.c_str());
	lease.hubs = hubs.data();
	lease.n_hubs = hubs.size();
	lease.leader = (char *)"";
	Handle(hubs[0], MSG_FLEET_LEASE, &lease.base);
	EXPECT_EQ(2u, dropped_.size());
}

TEST_F(GateLink, DropsAnUnresponsiveLeader)
{
	AdvanceTime(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_has_leader(link_, now_));
	AdvanceTime(GATE_LEADER_TIMEOUT_MS + 200, "", 0);
	EXPECT_FALSE(gate_link_has_leader(link_, now_));
	EXPECT_EQ(1, resets_[node_id_from_name("10.0.0.1")]);
	AdvanceTime(1000, "10.0.0.2", 4);
	EXPECT_TRUE(gate_link_has_leader(link_, now_));
	EXPECT_EQ(4u, gate_link_get_term(link_));
}

// A gate does not know of a key that was withdrawn after its request.
TEST_F(GateLink, KeyLeaseCountsFromTheRequest)
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

// After a cut of 14 s a gate waited up to 7 s before it tried to connect to a hub
// again.
TEST_F(GateLink, ConnectionsToHubsThatDoNotAnswerAreOpenedAnew)
{
	AdvanceTime(10000, "", 0);
	for (const char *hub : { "10.0.0.1", "10.0.0.2" }) {
		EXPECT_GE(resets_[node_id_from_name(hub)], 5) << hub;
		EXPECT_LE(resets_[node_id_from_name(hub)], 8) << hub;
	}
	AdvanceTime(10000, "10.0.0.2", 4);
	resets_.clear();
	AdvanceTime(10000, "10.0.0.2", 4);
	EXPECT_TRUE(resets_.empty());
}

// The table of 300 VMs takes 1 s at 2 Mbit/s, and the lease follows it: a gate lost
// the table each time, as it took the leader for silent and reset the connection.
TEST_F(GateLink, AConnectionOnWhichBytesArriveIsKept)
{
	const node_id_t leader = node_id_from_name("10.0.0.1");

	AdvanceTime(1000, "10.0.0.1", 3);
	for (int64_t end = now_ + 4500; now_ < end;) {
		received_[leader] = now_;
		AdvanceTime(100, "", 0);
	}
	EXPECT_EQ(0, resets_[leader]);
	/* Nothing but a lease shows that the leader answers. */
	EXPECT_FALSE(gate_link_has_leader(link_, now_));
	AdvanceTime(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_has_leader(link_, now_));
	EXPECT_EQ(0, resets_[leader]);
}

// A hub that stops in the middle of a message holds a gate for no longer than one
// that stops between two.
TEST_F(GateLink, AConnectionThatBecomesSilentIsResetAsBefore)
{
	const node_id_t leader = node_id_from_name("10.0.0.1");

	AdvanceTime(1000, "10.0.0.1", 3);
	for (int64_t end = now_ + 3000; now_ < end;) {
		received_[leader] = now_;
		AdvanceTime(100, "", 0);
	}
	AdvanceTime(GATE_LEADER_TIMEOUT_MS - 150, "", 0);
	EXPECT_EQ(0, resets_[leader]);
	AdvanceTime(200, "", 0);
	EXPECT_EQ(1, resets_[leader]);
}

// A connection that trickles, or a hub that sends all but leases, would hold a gate
// without a leader for ever.
TEST_F(GateLink, AConnectionThatTricklesIsResetInTheEnd)
{
	const node_id_t leader = node_id_from_name("10.0.0.1");
	int64_t silent_ms;

	AdvanceTime(1000, "10.0.0.1", 3);
	silent_ms = now_;
	while (resets_[leader] == 0 && now_ < silent_ms + 10000) {
		received_[leader] = now_;
		AdvanceTime(100, "", 0);
	}
	EXPECT_GE(now_ - silent_ms, GATE_RECEIVING_MAX_MS - 600);
	EXPECT_LE(now_ - silent_ms, GATE_RECEIVING_MAX_MS + 100);
}

// A gate that starts knows no leader until the first lease, which follows the table.
TEST_F(GateLink, AHubThatSendsTheFirstTableIsKept)
{
	const node_id_t hub = node_id_from_name("10.0.0.1");

	for (int64_t end = now_ + 4500; now_ < end;) {
		received_[hub] = now_;
		AdvanceTime(100, "", 0);
	}
	EXPECT_EQ(0, resets_[hub]);
	EXPECT_GE(resets_[node_id_from_name("10.0.0.2")], 2);
	for (int64_t end = now_ + 4500; now_ < end;) {
		received_[hub] = now_;
		AdvanceTime(100, "", 0);
	}
	EXPECT_EQ(1, resets_[hub]);
}

// 210 gates that started asked a busy leader again with each hub that named it, every
// 150 ms: 2,600 renewals waited there, each for an answer.
TEST_F(GateLink, ALeaderThatDoesNotAnswerYetIsAskedNoMoreOften)
{
	const node_id_t leader = node_id_from_name("10.0.0.7");
	size_t asked = 0; // because a hub named it
	long total;

	for (int64_t end = now_ + 4000; now_ < end;) {
		size_t before = renewals_.size();

		received_[leader] = now_;
		AdvanceTime(50, "", 0);
		if (renewals_.size() == before ||
		    renewals_.back().first == leader)
			continue;
		before = renewals_.size();
		Redirect("10.0.0.1", "10.0.0.7");
		asked += renewals_.size() - before;
	}
	total = std::count_if(renewals_.begin(), renewals_.end(),
	    [&](const auto &renewal) { return (renewal.first == leader); });
	EXPECT_GE(total, 4000 / (2 * GATE_LEASE_RENEWAL_MS));
	EXPECT_LE(asked, 4000u / GATE_LEASE_RENEWAL_MS + 1);
}

// A VM back from a long cut answered 404 for a route that had been added
// meanwhile, and the caller gave up.
TEST_F(GateLink, OnlyAConfirmedVersionTellsWhatDoesNotExist)
{
	EXPECT_FALSE(gate_link_is_confirmed(link_, now_));
	gate_link_set_version(link_, 1);
	AdvanceTime(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_is_confirmed(link_, now_));
	AdvanceTime(GATE_CONFIRMATION_MAX_AGE_MS + 100, "", 0);
	EXPECT_FALSE(gate_link_is_confirmed(link_, now_));
	Lease("10.0.0.1", 3, now_, 2);
	EXPECT_FALSE(gate_link_is_confirmed(link_, now_));
	gate_link_set_version(link_, 2);
	EXPECT_TRUE(gate_link_is_confirmed(link_, now_));
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

// A leader that stopped answering counted no tokens for 1.3 s, while gates went
// on without permits: they must stop doing so soon.
TEST_F(GateLink, LocalTokensEndSoonAfterTheLeaderStopsAnswering)
{
	AdvanceTime(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_is_current(link_, now_));
	now_ += GATE_LEADER_CURRENT_MS + 1;
	EXPECT_FALSE(gate_link_is_current(link_, now_));
}

TEST_F(GateLink, ANewLeaderGetsTheUsageOnce)
{
	AdvanceTime(2000, "10.0.0.1", 3);
	EXPECT_EQ(1, usage_requests_);
	gate_link_report_consumed(link_, 5, 6, now_);
	gate_link_report_consumed(link_, 5, 6, now_);
	gate_link_flush(link_, now_);
	EXPECT_EQ(2u, spends_);
	AdvanceTime(GATE_LEADER_TIMEOUT_MS + 200, "", 0);
	gate_link_report_consumed(link_, 5, 6, now_);
	AdvanceTime(2000, "10.0.0.2", 4);
	gate_link_flush(link_, now_);
	EXPECT_EQ(2, usage_requests_);
	/* The usage includes the token that could not be reported. */
	EXPECT_EQ(2u, spends_);
}

TEST_F(GateLink, AllWorkspacesAreNearLimitUntilTheLeaderReports)
{
	Tm__Fleet__Permits permits = TM__FLEET__PERMITS__INIT;
	uint64_t scarce[] = { 5 };

	AdvanceTime(1000, "10.0.0.1", 3);
	EXPECT_TRUE(gate_link_is_near_limit(link_, 6));
	permits.term = 3;
	permits.has_scarce = 1;
	permits.scarce = scarce;
	permits.n_scarce = 1;
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	EXPECT_TRUE(gate_link_is_near_limit(link_, 5));
	EXPECT_FALSE(gate_link_is_near_limit(link_, 6));
	/* The list of one term does not hold for another. */
	Lease("10.0.0.2", 4, now_);
	EXPECT_TRUE(gate_link_is_near_limit(link_, 6));
}

TEST_F(GateLink, PermitRequestsAreAnsweredOnceOrExpire)
{
	Tm__Fleet__Spend request = TM__FLEET__SPEND__INIT;
	Tm__Fleet__Permits permits = TM__FLEET__PERMITS__INIT;
	Tm__Fleet__Permit permit = TM__FLEET__PERMIT__INIT;
	Tm__Fleet__Permit *list[] = { &permit };

	AdvanceTime(1000, "10.0.0.1", 3);
	permit.id =
	    gate_link_request_permit(link_, &request, OnPermit, this, now_);
	permit.is_granted = 1;
	permits.permits = list;
	permits.n_permits = 1;
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	EXPECT_EQ(
	    std::vector<gate_permit_t>({ GATE_PERMIT_GRANTED }), permits_);
	gate_link_request_permit(link_, &request, OnPermit, this, now_);
	gate_link_cancel_permit(link_,
	    gate_link_request_permit(link_, &request, OnPermit, this, now_));
	AdvanceTime(GATE_PERMIT_TIMEOUT_MS + 100, "", 0);
	EXPECT_EQ(std::vector<gate_permit_t>(
		      { GATE_PERMIT_GRANTED, GATE_PERMIT_UNKNOWN }),
	    permits_);
}

// mwamba-gw-grown, trouble-3: 115 gates came back to a leader that then answered
// late; probes that no request waited for any more kept all others from their
// targets for 4 s, and 12 of 25 sound targets got nothing for 2 s.
TEST_F(GateLink, AProbeThatComesTooLateIsGivenBack)
{
	Tm__Fleet__Spend request = TM__FLEET__SPEND__INIT;
	Tm__Fleet__Permits permits = TM__FLEET__PERMITS__INIT;
	Tm__Fleet__Permit permit = TM__FLEET__PERMIT__INIT;
	Tm__Fleet__Permit *list[] = { &permit };

	AdvanceTime(1000, "10.0.0.1", 3);
	permits.permits = list;
	permits.n_permits = 1;
	permit.is_granted = 1;
	permit.target = 77;
	permit.is_trial = 1;
	permit.id =
	    gate_link_request_permit(link_, &request, OnPermit, this, now_);
	AdvanceTime(GATE_PERMIT_TIMEOUT_MS + 100, "10.0.0.1", 3);
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	EXPECT_EQ(std::vector<uint64_t>({ 77 }), returned_probes_);
	permit.id =
	    gate_link_request_permit(link_, &request, OnPermit, this, now_);
	gate_link_cancel_permit(link_, permit.id);
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	EXPECT_EQ(std::vector<uint64_t>({ 77, 77 }), returned_probes_);
	/* Neither refusals nor idle targets are probes. */
	permit.is_granted = 0;
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	permit.is_granted = 1;
	permit.is_trial = 0;
	Handle("10.0.0.1", MSG_FLEET_PERMITS, &permits.base);
	EXPECT_EQ(2u, returned_probes_.size());
}

// The tests below add up what all gates use without a leader in the 5 s after
// it stopped answering, when each consumes as much as it may; the tokens used
// before count in the same window.
namespace {

/* A gate without a leader that consumes what its allowance admits. */
class LeaderlessGate {
      public:
	LeaderlessGate(const fleet_workspace_t *workspace, uint32_t gates,
	    uint64_t seed, int has_headroom)
	    : allowance_(gate_allowance_create(&kBounds, seed)),
	      usage_(gate_usage_create())
	{
		query_.workspace = workspace;
		query_.gates = gates;
		query_.has_headroom = has_headroom;
	}

	~LeaderlessGate()
	{
		gate_allowance_destroy(allowance_);
		gate_usage_destroy(usage_);
	}

	void
	RecordUse(int64_t now_ms)
	{
		gate_usage_count(usage_, query_.workspace->id, now_ms, now_ms);
	}

	int
	TryConsume(int64_t now_ms)
	{
		query_.used = gate_usage_get(
		    usage_, query_.workspace->id, now_ms, &query_.future);
		if (!gate_allowance_admits(allowance_, &query_))
			return (0);
		RecordUse(now_ms);
		return (1);
	}

	static constexpr fleet_rate_bounds_t kBounds = { 5000, 0.1, 20 };
	gate_allowance_query_t query_ = {};

      private:
	gate_allowance_t *allowance_;
	gate_usage_t *usage_;
};

constexpr fleet_rate_bounds_t LeaderlessGate::kBounds;

} // namespace

// The leader becomes unreachable while a workspace that had headroom floods all
// gates.
TEST(GateAllowance, AllGatesTogetherStayWithinTheRate)
{
	for (int gate_count : { 3, 44, 127, 700 }) {
		for (double rate : { 3.0, 40.0, 400.0 }) {
			std::vector<std::unique_ptr<LeaderlessGate>> gates;
			std::vector<int64_t> used;
			fleet_workspace_t workspace = {};
			double allowed = (rate * 5 + rate) * 1.1 + 20;
			double before;
			rng_t rng;

			rng_init(&rng, 1);
			workspace.id = 1;
			workspace.rate_per_s = rate;
			workspace.burst = rate;
			/* With more use the hub reports it as near its limit.
			 */
			before = 0.65 *
			    fleet_workspace_get_limit(
				&workspace, &LeaderlessGate::kBounds);
			for (int i = 0; i < gate_count; i++)
				gates.push_back(
				    std::make_unique<LeaderlessGate>(&workspace,
					(uint32_t)gate_count, (uint64_t)i + 1,
					1));
			for (int i = 0; i < (int)before; i++) {
				int64_t at =
				    1000 + (int64_t)(4900 * i / before);

				used.push_back(at);
				gates[rng_below(&rng, gates.size())]->RecordUse(
				    at);
			}
			for (int64_t now = 6000; now < 16000; now += 10) {
				for (auto &gate : gates) {
					if (gate->TryConsume(now))
						used.push_back(now);
				}
			}
			for (size_t i = 0; i < used.size(); i++) {
				size_t count =
				    (size_t)(std::lower_bound(used.begin(),
						 used.end(), used[i] + 5000) -
					used.begin());

				EXPECT_LE((double)(count - i), allowed)
				    << gate_count << " gates, rate " << rate
				    << ", from " << used[i];
			}
		}
	}
}

TEST(GateAllowance, AWorkspaceNearItsLimitKeepsItsUse)
{
	fleet_workspace_t workspace = {};

	workspace.id = 1;
	workspace.rate_per_s = 40;
	workspace.burst = 40;
	LeaderlessGate gate(&workspace, 10, 1, 0);
	EXPECT_FALSE(gate.TryConsume(1000));
	LeaderlessGate user(&workspace, 10, 1, 0);
	user.RecordUse(1000);
	user.RecordUse(2000);
	EXPECT_FALSE(user.TryConsume(3000));
	EXPECT_TRUE(user.TryConsume(6500));
	EXPECT_FALSE(user.TryConsume(6600));
	EXPECT_TRUE(user.TryConsume(7500));
}

// It had headroom when its allowance was set; the leader alone grants the
// remainder.
TEST(GateAllowance, AWorkspaceThatReachesItsLimitGetsNoMore)
{
	fleet_workspace_t workspace = {};

	workspace.id = 1;
	workspace.rate_per_s = 40;
	workspace.burst = 40;
	LeaderlessGate gate(&workspace, 10, 1, 1);
	EXPECT_TRUE(gate.TryConsume(1000));
	gate.query_.has_headroom = 0;
	EXPECT_FALSE(gate.TryConsume(1100));
}

TEST(GateUsage, ListsTheLastWindow)
{
	gate_usage_t *usage = gate_usage_create();
	Tm__Fleet__Usage **list;

	gate_usage_count(usage, 7, 100000, 100000);
	gate_usage_count(usage, 7, 100100, 100100);
	gate_usage_count(usage, 7, 101000, 101000);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 101000));
	ASSERT_EQ((size_t)GATE_USAGE_INTERVALS, list[0]->n_parts);
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_FUTURE_INTERVALS]);
	EXPECT_EQ(2u, list[0]->parts[GATE_USAGE_FUTURE_INTERVALS + 4]);
	EXPECT_EQ(0u, gate_usage_list(usage, &list, 110000));
	gate_usage_count(usage, 7, 110000, 110000);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 110000));
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_FUTURE_INTERVALS]);
	EXPECT_EQ(0u, list[0]->parts[GATE_USAGE_FUTURE_INTERVALS + 1]);
	gate_usage_destroy(usage);
}

// A request with a delayed permit counts at its send time. Counted at the
// grant, it would leave the window of the next leader too early.
TEST(GateUsage, ListsRequestsThatAreDueLater)
{
	gate_usage_t *usage = gate_usage_create();
	Tm__Fleet__Usage **list;

	gate_usage_count(usage, 7, 100000, 100750);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 100000));
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_FUTURE_INTERVALS - 3]);
	EXPECT_EQ(0u, list[0]->parts[GATE_USAGE_FUTURE_INTERVALS]);
	ASSERT_EQ(1u, gate_usage_list(usage, &list, 101000));
	EXPECT_EQ(1u, list[0]->parts[GATE_USAGE_FUTURE_INTERVALS + 1]);
	gate_usage_destroy(usage);
}
