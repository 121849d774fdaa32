// Failures guarded against: an accepted order is lost or refused when it is sent
// again; a gate goes on using the targets of an evacuated data centre; these
// targets count as capacity, or get probes.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "gate/gate_table.h"
#include "hub/hub_feed.h"
#include "hub/hub_load.h"
#include "hub/hub_settings.h"
}

namespace {

const uint64_t kTerm = 3;
const uint64_t kOrderMs = 1700000000000;

class HubEvacuation : public testing::Test {
      protected:
	HubEvacuation()
	{
		hub_feed_options_t options = {};

		outlier_ = hub_outlier_create(
		    0.7, [](void *, uint64_t, fleet_verdict_t, const char *) {},
		    nullptr);
		options.state = state_;
		options.outlier = outlier_;
		options.send = Send;
		options.send_ctx = this;
		options.window_ms = 5000;
		feed_ = hub_feed_create(&options);
		hub_feed_reset(feed_, kTerm, now_);
	}

	~HubEvacuation() override
	{
		for (auto &gate : gates_)
			gate_table_destroy(gate.second);
		hub_feed_destroy(feed_);
		hub_load_destroy(load_);
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		HubEvacuation *self = static_cast<HubEvacuation *>(ctx);

		if (type == MSG_FLEET_TABLE && self->lost_.count(to) == 0)
			gate_table_apply(self->gates_[to],
			    (const Tm__Fleet__Table *)msg, self->now_);
	}

	static hub_evacuation_t
	MakeOrder(const std::string &zone, bool is_end)
	{
		hub_evacuation_t order = {};

		snprintf(order.data_centre, sizeof(order.data_centre), "%s",
		    zone.c_str());
		snprintf(order.requested_by, sizeof(order.requested_by),
		    "10.0.0.%d", is_end ? 2 : 1);
		order.is_ended = is_end;
		order.since_ms = kOrderMs + is_end;
		return (order);
	}

	// As a hub does with a committed order.
	hub_change_t
	Order(const std::string &zone, bool is_end = false)
	{
		hub_evacuation_t order = MakeOrder(zone, is_end);
		hub_changed_targets_t changed;
		size_t len;
		uint8_t *bytes = hub_evacuation_encode(&order, &len);
		hub_change_t change =
		    hub_state_apply(state_, bytes, len, &changed);

		free(bytes);
		if (change != HUB_CHANGE_EVACUATIONS)
			return (change);
		for (hub_target_t *target = state_->targets; target != nullptr;
		     target = static_cast<hub_target_t *>(target->hh.next))
			hub_outlier_set_evacuated(outlier_, target->key,
			    hub_evacuations_has(
				&state_->evacuations, target->as.zone),
			    now_);
		hub_feed_mark_evacuations_changed(feed_);
		return (change);
	}

	hub_evacuation_answer_t
	Check(const std::string &zone, bool is_end = false)
	{
		hub_evacuation_t order = MakeOrder(zone, is_end);

		return (hub_evacuation_check(state_, &settings_, &order));
	}

	uint64_t
	AddTarget(const char *id, const char *zone,
	    fleet_target_state_t state = FLEET_TARGET_READY)
	{
		dialect_announcement_t as = {};
		hub_changed_targets_t changed;
		size_t len;

		snprintf(as.id, sizeof(as.id), "%s", id);
		snprintf(as.service, sizeof(as.service), "s1");
		snprintf(as.zone, sizeof(as.zone), "%s", zone);
		as.ip = 1;
		as.port = ++port_;
		as.slots = 4;
		as.born_ms = 1;
		as.state = state;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		hub_outlier_add_target(
		    outlier_, changed.target->key, fleet_name_hash("s1"), 1);
		hub_outlier_set_evacuated(outlier_, changed.target->key,
		    hub_evacuations_has(&state_->evacuations, zone), now_);
		hub_feed_mark_target_changed(feed_, changed.target->key);
		return (changed.target->key);
	}

	void
	AddTwoZones()
	{
		for (int i = 0; i < 4; i++) {
			std::string id(1, (char)('a' + i));

			AddTarget(id.c_str(), i < 2 ? "dc1" : "dc2");
		}
	}

	void
	Join(node_id_t id)
	{
		Tm__Fleet__Join join = TM__FLEET__JOIN__INIT;
		hub_feed_lease_t lease = {};

		if (gates_.count(id) == 0)
			gates_[id] = gate_table_create("dc9", 1);
		lease.leader = "10.0.0.1";
		join.table_term = gate_table_get_term(gates_[id]);
		join.table_sequence = gate_table_get_sequence(gates_[id]);
		hub_feed_renew_lease(feed_, id, &join, &lease, now_);
	}

	// @return ids of the targets that a gate chooses
	std::string
	PickAll(node_id_t gate)
	{
		gate_pick_options_t options = {};
		std::map<std::string, int> counts;
		std::string ids;

		options.may_repeat = 1;
		options.now_ms = now_;
		for (int i = 0; i < 200; i++) {
			gate_target_t *target = gate_table_pick(gates_[gate],
			    gate_table_find_service(gates_[gate], "s1"),
			    &options)
						    .target;
			counts[target != nullptr ? target->id : "none"]++;
		}
		for (auto &count : counts)
			ids += count.first;
		return (ids);
	}

	void
	Record(uint64_t target, fleet_evidence_t kind)
	{
		hub_evidence_t evidence = {};

		evidence.target = target;
		evidence.gate = 1;
		evidence.kind = kind;
		hub_outlier_record_evidence(outlier_, &evidence, now_);
	}

	// Passes time in which all targets announce themselves.
	void
	Pass(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += 100) {
			for (hub_target_t *target = state_->targets;
			     target != nullptr;
			     target =
				 static_cast<hub_target_t *>(target->hh.next))
				hub_outlier_record_announcement(
				    outlier_, target->key, now_);
			hub_outlier_tick(outlier_, now_);
		}
	}

	hub_outlier_counts_t
	Count()
	{
		hub_outlier_counts_t counts = {};

		hub_outlier_count_service(
		    outlier_, fleet_name_hash("s1"), now_, &counts);
		return (counts);
	}

	uint64_t
	Assign()
	{
		return (hub_outlier_assign_target(
		    outlier_, fleet_name_hash("s1"), 1, 1, now_)
			    .target);
	}

	int64_t now_ = 1000000;
	uint16_t port_ = 0;
	hub_settings_t settings_ = {};
	hub_state_t *state_ = hub_state_create();
	hub_load_t *load_ = hub_load_create();
	hub_outlier_t *outlier_;
	hub_feed_t *feed_;
	std::map<node_id_t, gate_table_t *> gates_;
	std::map<node_id_t, int> lost_; // messages to these are lost
};

} // namespace

// A second start hid who had asked first, or an end without a start was kept.
TEST_F(HubEvacuation, RepeatedOrdersChangeNothing)
{
	EXPECT_EQ(HUB_CHANGE_NONE, Order("dc1", true));
	EXPECT_EQ(HUB_CHANGE_EVACUATIONS, Order("dc1"));
	state_->evacuations.items[0].requested_by[0] = '9';
	EXPECT_EQ(HUB_CHANGE_NONE, Order("dc1"));
	EXPECT_EQ('9', state_->evacuations.items[0].requested_by[0]);
	EXPECT_TRUE(hub_evacuations_has(&state_->evacuations, "dc1"));
	EXPECT_EQ(HUB_CHANGE_EVACUATIONS, Order("dc1", true));
	EXPECT_EQ(HUB_CHANGE_NONE, Order("dc1", true));
	EXPECT_FALSE(hub_evacuations_has(&state_->evacuations, "dc1"));
	EXPECT_EQ(HUB_CHANGE_EVACUATIONS, Order("dc1"));
	EXPECT_TRUE(hub_evacuations_has(&state_->evacuations, "dc1"));
}

// A name with a typing error was accepted; a caller whose acknowledgement was lost
// got a 4xx because the targets had left meanwhile.
TEST_F(HubEvacuation, KnownDataCentresOnly)
{
	settings_.data_centre_count = 1;
	snprintf(settings_.data_centres[0], sizeof(settings_.data_centres[0]),
	    "dc9");
	AddTarget("a", "dc1");
	AddTarget("b", "dc2", FLEET_TARGET_DEREGISTERED);
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc9"));
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc1"));
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc1", true));
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc2"));
	EXPECT_EQ(HUB_EVACUATION_UNKNOWN, Check("dc"));
	EXPECT_EQ(HUB_EVACUATION_UNKNOWN, Check("dc11", true));
	EXPECT_EQ(HUB_EVACUATION_UNKNOWN, Check(""));
	Order("dc3");
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc3"));
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc3", true));
	Order("dc3", true);
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc3", true));
}

// The list overflowed, or kept ended evacuations in place of new ones.
TEST_F(HubEvacuation, ListIsBounded)
{
	for (int i = 0; i < FLEET_EVACUATIONS_MAX; i++)
		EXPECT_EQ(
		    HUB_CHANGE_EVACUATIONS, Order("dc" + std::to_string(i)));
	AddTarget("a", "more");
	EXPECT_EQ(HUB_EVACUATION_FULL, Check("more"));
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc5"));
	EXPECT_EQ(HUB_CHANGE_NONE, Order("more"));
	Order("dc5", true);
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("more"));
	EXPECT_EQ(HUB_CHANGE_EVACUATIONS, Order("more"));
	EXPECT_EQ(FLEET_EVACUATIONS_MAX,
	    (int)hub_evacuations_count(&state_->evacuations));
	EXPECT_EQ(HUB_CHANGE_NONE, Order(std::string(NAME_MAX_BYTES + 1, 'x')));
}

// A hub that got a snapshot, or started from one, forgot an evacuation or revived
// one that had ended.
TEST_F(HubEvacuation, SnapshotKeepsAll)
{
	hub_state_t *copy = hub_state_create();
	size_t len;

	Order("dc1");
	Order("dc2");
	Order("dc3");
	Order("dc2", true);
	uint8_t *bytes = hub_state_encode(state_, &len);
	Order("dc4");
	ASSERT_EQ(TM_OK, hub_state_restore(copy, bytes, len));
	std::swap(copy, state_);
	EXPECT_TRUE(hub_evacuations_has(&state_->evacuations, "dc1"));
	EXPECT_FALSE(hub_evacuations_has(&state_->evacuations, "dc2"));
	EXPECT_TRUE(hub_evacuations_has(&state_->evacuations, "dc3"));
	EXPECT_EQ(2u, hub_evacuations_count(&state_->evacuations));
	EXPECT_EQ(HUB_EVACUATION_ACCEPTED, Check("dc2", true));
	EXPECT_STREQ("10.0.0.1", state_->evacuations.items[0].requested_by);
	EXPECT_EQ(kOrderMs, state_->evacuations.items[0].since_ms);
	/* It replaces what the hub had. */
	ASSERT_EQ(TM_OK, hub_state_restore(copy, bytes, len));
	EXPECT_FALSE(hub_evacuations_has(&copy->evacuations, "dc4"));
	free(bytes);
	hub_state_destroy(copy);
}

// A hub that had not seen the end of an evacuation, as it started from a snapshot,
// took the targets that had turned cold meanwhile for warm.
TEST_F(HubEvacuation, EndsThatASnapshotBringsAreListed)
{
	const hub_evacuations_t none = {};
	const char *names[HUB_ENDED_MAX];

	Order("dc1");
	Order("dc2");
	const hub_evacuations_t before = state_->evacuations;
	Order("dc2", true);
	ASSERT_EQ(
	    1u, hub_evacuations_list_ended(&none, &state_->evacuations, names));
	EXPECT_STREQ("dc2", names[0]);
	ASSERT_EQ(1u,
	    hub_evacuations_list_ended(&before, &state_->evacuations, names));
	EXPECT_STREQ("dc2", names[0]);
	EXPECT_EQ(2u, hub_evacuations_list_ended(&before, &none, names));
}

// Operators did not see who had asked, and since when.
TEST_F(HubEvacuation, ListNamesCallerAndTime)
{
	Order("dc1");
	Order("dc2");
	Order("dc2", true);
	std::unique_ptr<char, decltype(&free)> text(
	    hub_evacuations_format(&state_->evacuations), free);
	EXPECT_STREQ("[{\"name\":\"dc1\",\"since\":\"2023-11-14T22:13:20Z\","
		     "\"requested_by\":\"10.0.0.1\"}]",
	    text.get());
}

// The gates learned of an order with the next batch of changes, or not at all.
TEST_F(HubEvacuation, GatesGetItAtOnce)
{
	AddTwoZones();
	Join(1);
	EXPECT_EQ("abcd", PickAll(1));
	Order("dc1");
	hub_feed_flush(feed_, now_);
	EXPECT_EQ("cd", PickAll(1));
	Order("dc1", true);
	hub_feed_flush(feed_, now_);
	EXPECT_EQ("abcd", PickAll(1));
}

// A gate that had missed the order used the targets until the next change of a
// target; changes that are no orders emptied the list.
TEST_F(HubEvacuation, AGateThatWasCutOffGetsIt)
{
	AddTwoZones();
	Join(1);
	Join(2);
	now_ += HUB_GATE_TIMEOUT_MS + 1;
	Join(2);
	Order("dc1");
	hub_feed_flush(feed_, now_);
	EXPECT_EQ("abcd", PickAll(1));
	EXPECT_EQ("cd", PickAll(2));
	Join(1);
	EXPECT_EQ("cd", PickAll(1));
	AddTarget("e", "dc1");
	AddTarget("f", "dc2");
	hub_feed_flush(feed_, now_);
	EXPECT_EQ("cdf", PickAll(1));
	/* The message is lost; the next renewal shows that. */
	lost_[1] = 1;
	Order("dc2");
	Order("dc1", true);
	hub_feed_flush(feed_, now_);
	lost_.clear();
	EXPECT_EQ("cdf", PickAll(1));
	now_ += 500;
	Join(1);
	EXPECT_EQ("abe", PickAll(1));
}

// A gate with a new leader, or one that had just started, used the targets.
TEST_F(HubEvacuation, ANewLeaderAndANewGateHaveIt)
{
	AddTwoZones();
	Join(1);
	Order("dc1");
	hub_feed_reset(feed_, kTerm + 1, now_);
	Join(1);
	EXPECT_EQ("cd", PickAll(1));
	Join(7);
	EXPECT_EQ("cd", PickAll(7));
	/* An older leader that has not heard of it changes nothing. */
	hub_feed_reset(feed_, kTerm, now_);
	Order("dc1", true);
	Join(1);
	EXPECT_EQ("cd", PickAll(1));
}

// Targets without requests by order were taken for idle or unused ones: the leader
// gave them requests, and opened ejected ones to probes.
TEST_F(HubEvacuation, OutlierDetectionLeavesThemOut)
{
	AddTwoZones();
	AddTarget("e", "dc2");
	uint64_t broken = fleet_name_hash("a");

	Pass(1100);
	EXPECT_EQ(5u, Count().idle);
	Record(broken, FLEET_EVIDENCE_BROKEN);
	Order("dc1");
	Pass(10000);
	EXPECT_EQ(3u, Count().healthy);
	EXPECT_EQ(3u, Count().idle);
	EXPECT_EQ(2u, Count().evacuated);
	EXPECT_EQ(0u, Count().probe + Count().probe_repeatable);
	EXPECT_EQ(
	    FLEET_VERDICT_EJECTED, hub_outlier_get_verdict(outlier_, broken));
	EXPECT_EQ(0, hub_outlier_acquire_probe(outlier_, broken, 1, now_));
	for (int i = 0; i < 3; i++)
		EXPECT_GE(Assign(), 1u);
	EXPECT_EQ(0u, Assign());
	/* At the end it gets a probe, and the others get requests. */
	Order("dc1", true);
	Pass(1200);
	EXPECT_EQ(0u, Count().evacuated);
	EXPECT_EQ(1u, Count().probe);
	EXPECT_EQ(4u, Count().idle);
}

// The share of targets that must stay in use was taken of all targets: with most
// of a service evacuated, errors could eject all that were left.
TEST_F(HubEvacuation, ShareInUseIsOfTheOthers)
{
	for (int i = 0; i < 10; i++)
		AddTarget(
		    ("x" + std::to_string(i)).c_str(), i < 7 ? "dc1" : "dc2");
	Order("dc1");
	Pass(100);
	for (int i = 7; i < 10; i++)
		for (int k = 0; k < 5; k++)
			Record(
			    fleet_name_hash(("x" + std::to_string(i)).c_str()),
			    FLEET_EVIDENCE_ERROR);
	/* 0.35 of three targets. */
	EXPECT_EQ(2u, Count().healthy);
	EXPECT_EQ(1u, Count().ejected);
}

// Admission counted on the slots of evacuated targets: the others were flooded.
TEST_F(HubEvacuation, UtilizationIsThatOfTheOthers)
{
	size_t count;

	AddTwoZones();
	for (const char *id : { "a", "b" })
		hub_load_record(load_, fleet_name_hash(id), 0, now_);
	for (const char *id : { "c", "d" })
		hub_load_record(load_, fleet_name_hash(id), 6, now_);
	hub_load_update(load_, state_, outlier_, now_);
	EXPECT_DOUBLE_EQ(12.0 / 16, hub_load_list(load_, &count)[0].load);
	Order("dc1");
	hub_load_update(load_, state_, outlier_, now_);
	EXPECT_DOUBLE_EQ(12.0 / 8, hub_load_list(load_, &count)[0].load);
}
