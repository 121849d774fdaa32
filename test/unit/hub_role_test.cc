// Failures guarded against: gates keep an old table of targets after the leader
// lost and regained its majority within a term; what gates report meanwhile is
// lost; a new leader goes on with the state of an earlier term.
#include <gtest/gtest.h>

#include "../scenario/raft_cluster.h"

extern "C" {
#include "base/log.h"
#include "gate/gate_crash.h"
#include "gate/gate_table.h"
#include "hub/hub_feed.h"
#include "hub/hub_role.h"
}

namespace {

const node_id_t kGate = 7;
/* Longer than an election timeout of the cluster, so that the contact counts as
 * lost. */
const int64_t kStallMs = 60000;

class HubRole : public testing::Test {
      protected:
	void
	SetUp() override
	{
		log_configure(stderr, LOG_LEVEL_ERROR, "test");
		cluster_.run(3000);
		leader_ = cluster_.leader();
		ASSERT_NE(nullptr, leader_);
	}

	int64_t
	Now()
	{
		return (fakenet_now_ms(cluster_.net));
	}

	hub_role_change_t
	Update(int64_t late_ms = 0)
	{
		return (
		    hub_role_update(&role_, leader_->raft, Now() + late_ms));
	}

	RaftCluster cluster_{ { "a", "b", "c" }, 1, 0 };
	RaftNode *leader_ = nullptr;
	hub_role_t role_ = {};
};

/* A feed with one gate, which applies what it is sent. */
class Feed {
      public:
	explicit Feed(uint64_t term)
	{
		hub_feed_options_t options = {};

		outlier_ = hub_outlier_create(0.7, OnVerdict, this);
		options.state = state_;
		options.outlier = outlier_;
		options.send = Send;
		options.send_ctx = this;
		options.window_ms = 5000;
		feed = hub_feed_create(&options);
		hub_feed_reset(feed, term, 0);
	}

	~Feed()
	{
		gate_table_destroy(table);
		hub_feed_destroy(feed);
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	static void
	OnVerdict(void *, uint64_t, fleet_verdict_t, const char *)
	{
	}

	static void
	Send(void *ctx, node_id_t, uint16_t type, const ProtobufCMessage *msg)
	{
		if (type == MSG_FLEET_TABLE)
			gate_table_apply(static_cast<Feed *>(ctx)->table,
			    (const Tm__Fleet__Table *)msg, 1);
	}

	uint64_t
	AddTarget(uint16_t port)
	{
		dialect_announcement_t as = {};
		hub_changed_targets_t changed;
		size_t len;

		snprintf(as.id, sizeof(as.id), "t-%u", port);
		snprintf(as.service, sizeof(as.service), "orders");
		snprintf(as.zone, sizeof(as.zone), "zone-1");
		as.ip = 1;
		as.port = port;
		as.slots = 4;
		as.born_ms = 1;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		hub_feed_mark_target_changed(feed, changed.target->key);
		return (changed.target->key);
	}

	void
	Renew(int64_t now_ms)
	{
		Tm__Fleet__Join join = TM__FLEET__JOIN__INIT;
		hub_feed_lease_t lease = {};

		lease.leader = "10.0.0.1";
		join.table_term = gate_table_get_term(table);
		join.table_sequence = gate_table_get_sequence(table);
		hub_feed_renew_lease(feed, kGate, &join, &lease, now_ms);
	}

	gate_table_t *table = gate_table_create("zone-1", 1);
	hub_feed_t *feed;

      private:
	hub_state_t *state_ = hub_state_create();
	hub_outlier_t *outlier_;
};

} // namespace

// Targets that drained got requests on, as the leader numbered its table anew in
// the same term and gates took each change for an old one.
TEST_F(HubRole, GateFollowsALeaderThatRegainsItsMajorityInATerm)
{
	ASSERT_EQ(HUB_ROLE_STARTED, Update());
	Feed feed(role_.term);

	for (uint16_t port = 1; port <= 5; port++)
		feed.AddTarget(port);
	feed.Renew(Now());
	ASSERT_EQ(HUB_ROLE_PAUSED, Update(kStallMs));
	hub_role_change_t change = Update();
	ASSERT_TRUE(role_.is_serving);
	if (change == HUB_ROLE_STARTED)
		hub_feed_reset(feed.feed, role_.term, Now());
	feed.Renew(Now());
	uint64_t late = feed.AddTarget(6);
	hub_feed_flush(feed.feed, Now() + HUB_FLUSH_MS);
	EXPECT_NE(nullptr, gate_table_find_target(feed.table, late));
	EXPECT_EQ(HUB_ROLE_RESUMED, change);
}

// A report that came while the leader had no majority was dropped, and neither
// its usage nor its crash counted afterwards.
TEST_F(HubRole, StateTakesReportsUntilTheTermIsGivenUp)
{
	EXPECT_FALSE(hub_role_has_state(&role_, leader_->raft));
	Update();
	EXPECT_TRUE(hub_role_has_state(&role_, leader_->raft));
	Update(kStallMs);
	EXPECT_FALSE(role_.is_serving);
	EXPECT_TRUE(hub_role_has_state(&role_, leader_->raft));
	cluster_.isolate(leader_, true);
	cluster_.run(5000);
	EXPECT_FALSE(hub_role_has_state(&role_, leader_->raft));
}

// The state of an earlier term lacks what another leader has done since.
TEST_F(HubRole, StateStartsAnewInANewTerm)
{
	Update();
	uint64_t term = role_.term;

	for (int i = 0; i < 50 && raft_get_term(leader_->raft) == term; i++) {
		cluster_.isolate(leader_, true);
		cluster_.run(5000);
		EXPECT_FALSE(hub_role_may_serve(leader_->raft, Now()));
		cluster_.isolate(leader_, false);
		cluster_.run(3000);
	}
	Update();
	/* Until the same hub is elected again. */
	for (int i = 0; i < 50 && !role_.is_serving; i++) {
		RaftNode *other = cluster_.leader();

		if (other != nullptr && other != leader_) {
			cluster_.isolate(other, true);
			cluster_.run(5000);
			cluster_.isolate(other, false);
		}
		cluster_.run(1000);
		if (hub_role_may_serve(leader_->raft, Now())) {
			EXPECT_EQ(HUB_ROLE_STARTED, Update());
		}
	}
	EXPECT_TRUE(role_.is_serving);
	EXPECT_GT(role_.term, term);
}
