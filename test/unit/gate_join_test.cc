// Failures guarded against: a gate that joins another leader gets all targets again,
// or keeps a target that has left; differences are applied to another table than
// they were made for, late, or twice.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "fleet/fleet_limit.h"
#include "fleet/fleet_table.h"
#include "gate/gate_table.h"
#include "hub/hub_feed.h"
}

namespace {

const int64_t kNow = 1000000;
const node_id_t kGate = 7;

using Bytes = std::vector<uint8_t>;

struct Unpacked {
	explicit Unpacked(const Bytes &bytes)
	    : msg(fleet_table_unpack(bytes.data(), bytes.size()))
	{
	}

	~Unpacked()
	{
		tm__fleet__table__free_unpacked(msg, nullptr);
	}

	Tm__Fleet__Table *msg;
};

/* Entries of the log, as all hubs get them. */
Bytes
MakeTarget(int id, int port, uint64_t born_ms, uint64_t sequence = 1,
    fleet_target_state_t state = FLEET_TARGET_READY,
    const char *service = "orders")
{
	dialect_announcement_t as = {};
	size_t len;

	snprintf(
	    as.id, sizeof(as.id), "target-%08x", (unsigned)id * 2654435761U);
	snprintf(as.service, sizeof(as.service), "%s", service);
	snprintf(as.zone, sizeof(as.zone), "zone-%d", id % 3);
	as.ip = 0x0a000001;
	as.port = (uint16_t)port;
	as.slots = 4;
	as.born_ms = born_ms;
	as.sequence = sequence;
	as.state = state;
	uint8_t *bytes = hub_entry_encode_target(&as, &len);
	Bytes entry(bytes, bytes + len);
	free(bytes);
	return (entry);
}

/* A hub that leads in a term, and what it sends to a gate. */
class Leader {
      public:
	Leader(uint64_t term, const std::vector<Bytes> &log)
	{
		hub_feed_options_t options = {};

		options.state = state_;
		options.outlier = outlier_;
		options.signals = signals_;
		options.get_cold_value = [](void *ctx, const char *) {
			return (static_cast<Leader *>(ctx)->cold_value_);
		};
		options.cold_ctx = this;
		options.send = Send;
		options.send_ctx = this;
		options.get_connection = [](void *ctx, node_id_t) {
			return (static_cast<Leader *>(ctx)->connection_);
		};
		options.connection_ctx = this;
		options.window_ms = 5000;
		feed_ = hub_feed_create(&options);
		for (const Bytes &entry : log)
			Apply(entry);
		hub_feed_reset(feed_, term, kNow);
	}

	~Leader()
	{
		hub_feed_destroy(feed_);
		hub_signals_destroy(signals_);
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	void
	Apply(const Bytes &entry)
	{
		hub_changed_targets_t changed;

		if (hub_state_apply(state_, entry.data(), entry.size(),
			&changed) != HUB_CHANGE_TARGET)
			return;
		for (hub_target_t *target :
		    { changed.target, changed.replaced }) {
			if (target == nullptr)
				continue;
			if (target->as.state == FLEET_TARGET_DEREGISTERED)
				hub_outlier_remove_target(
				    outlier_, target->key);
			else
				hub_outlier_add_target(outlier_, target->key, 1,
				    target->as.born_ms);
			hub_feed_mark_target_changed(feed_, target->key);
		}
	}

	void
	Eject(uint64_t target)
	{
		hub_outlier_restore_ejection(outlier_, target, kNow);
		hub_feed_mark_verdict_changed(
		    feed_, target, FLEET_VERDICT_EJECTED);
	}

	/* Sends what a gate with this table lacks. */
	void
	Answer(gate_table_t *table, int has_leader = 0, int is_old = 0,
	    node_id_t gate = kGate)
	{
		Tm__Fleet__Join join = TM__FLEET__JOIN__INIT;
		hub_feed_lease_t lease = {};

		gate_table_fill_join(table, has_leader, &join);
		if (is_old) {
			join.table_digest = 0;
			join.n_table_buckets = 0;
			join.reads_zipped = 0;
		}
		join.up_ms = 100000;
		join_bytes_ = protobuf_c_message_get_packed_size(&join.base);
		lease.leader = "10.0.0.1";
		hub_feed_renew_lease(feed_, gate, &join, &lease, now_);
	}

	/* @return tables that were sent to a gate since the last call */
	std::vector<Bytes>
	Take(node_id_t gate = kGate)
	{
		std::vector<Bytes> sent;

		sent.swap(sent_[gate]);
		return (sent);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Leader *self = static_cast<Leader *>(ctx);
		Bytes bytes(protobuf_c_message_get_packed_size(msg));

		protobuf_c_message_pack(msg, bytes.data());
		if (type == MSG_FLEET_TABLE)
			self->sent_[to].push_back(bytes);
	}

	hub_state_t *state_ = hub_state_create();
	hub_signals_t *signals_ = hub_signals_create();
	hub_outlier_t *outlier_ = hub_outlier_create(
	    0.7, [](void *, uint64_t, fleet_verdict_t, const char *) {},
	    nullptr);
	uint32_t cold_value_ = FLEET_LIMIT_UNKNOWN;
	uint64_t connection_ = 1;
	int64_t now_ = kNow;
	size_t join_bytes_ = 0;
	hub_feed_t *feed_;

      private:
	std::map<node_id_t, std::vector<Bytes>> sent_;
};

int
Apply(gate_table_t *table, const Bytes &bytes)
{
	return (gate_table_apply(table, Unpacked(bytes).msg, kNow));
}

bool
IsDifferences(const Bytes &bytes)
{
	return (Unpacked(bytes).msg->base_digest != 0);
}

/* Joins a leader and applies what it sends. @return its bytes */
size_t
Join(Leader *leader, gate_table_t *table, node_id_t gate = kGate)
{
	size_t bytes = 0;

	leader->Answer(table, 0, 0, gate);
	for (const Bytes &sent : leader->Take(gate)) {
		Apply(table, sent);
		bytes += sent.size();
	}
	return (bytes);
}

/* All that a leader says of targets, in one text. */
std::string
Describe(gate_table_t *table)
{
	std::map<std::string, std::string> rows;
	std::string text;
	char row[512];

	for (gate_service_t *service = gate_table_get_services(table);
	     service != nullptr; service = (gate_service_t *)service->hh.next) {
		for (uint32_t i = 0; i < service->count; i++) {
			const gate_target_t *target = service->targets[i];

			snprintf(row, sizeof(row),
			    "%s %s %lu %x:%u %lx %u %d %d %d limit %u cold %u "
			    "%ld %ld\n",
			    target->id, service->name, target->incarnation_ms,
			    target->addr.sin_addr.s_addr, target->addr.sin_port,
			    target->data_centre, target->slots, target->state,
			    target->verdict, target->is_evacuated,
			    target->limit.fleet_value, target->limit.cold_value,
			    target->limit.warmup_until_ms,
			    target->limit.warmup_until_ms != 0
				? target->cold_until_ms
				: 0);
			rows[target->id] = row;
		}
	}
	for (auto &pair : rows)
		text += pair.second;
	return (text + std::to_string(gate_table_count(table)));
}

class GateJoin : public testing::Test {
      protected:
	GateJoin()
	{
		for (int i = 0; i < 400; i++)
			log_.push_back(MakeTarget(i, 1000 + i, 1000));
		old_ = std::make_unique<Leader>(3, log_);
		Join(old_.get(), gate_);
	}

	~GateJoin() override
	{
		gate_table_destroy(gate_);
	}

	/* The gate misses it, the next leader has it. */
	void
	Miss(const Bytes &entry)
	{
		log_.push_back(entry);
	}

	std::unique_ptr<Leader>
	MakeNew(uint64_t term = 4)
	{
		return (std::make_unique<Leader>(term, log_));
	}

	/* @return the first row in which the gate differs from one that starts;
	 * empty: it has the same table */
	std::string
	Compare(Leader *leader)
	{
		gate_table_t *table = gate_table_create("zone-1", 1);
		std::istringstream has(Describe(gate_));

		Join(leader, table, ++other_);
		std::istringstream wanted(Describe(table));
		gate_table_destroy(table);
		for (;;) {
			std::string row;
			std::string wanted_row;

			std::getline(has, row);
			std::getline(wanted, wanted_row);
			if (row != wanted_row)
				return (row + " in place of " + wanted_row);
			if (!has && !wanted)
				return ("");
		}
	}

	node_id_t other_ = 1000;
	std::vector<Bytes> log_;
	gate_table_t *gate_ = gate_table_create("zone-1", 1);
	std::unique_ptr<Leader> old_;
};

} // namespace

// At 300 VMs each gate got 164 kB after each change of leader, 0.7 s of its link.
TEST(GateJoinSizes, GatesThatHaveTheTableGetHardlyAnything)
{
	for (int targets : { 100, 1000, 3000 }) {
		std::vector<Bytes> log;
		gate_table_t *gate = gate_table_create("zone-1", 1);

		for (int i = 0; i < targets; i++)
			log.push_back(MakeTarget(i, 1000 + i, 1700000000000));
		Leader first(1, log);
		first.Answer(gate, 0, 1, 1);
		size_t whole = first.Take(1).at(0).size();
		Join(&first, gate);
		Leader second(2, log);
		size_t same = Join(&second, gate);
		/* Ten targets start anew, ten leave, while nobody leads. */
		for (int i = 0; i < 10; i++) {
			log.push_back(
			    MakeTarget(7 * i, 1000 + 7 * i, 1700000001000));
			log.push_back(MakeTarget(7 * i + 1, 1001 + 7 * i,
			    1700000000000, 2, FLEET_TARGET_DEREGISTERED));
		}
		Leader third(3, log);
		size_t changed = Join(&third, gate);
		printf("%d targets: whole %zu B, the same %zu B, 20 changes "
		       "%zu B, join %zu B\n",
		    targets, whole, same, changed, third.join_bytes_);
		EXPECT_LT(same, 100U);
		if (targets >= 1000) {
			EXPECT_LT(changed, whole / 4);
		}
		EXPECT_LT(third.join_bytes_, 1200U);
		gate_table_destroy(gate);
	}
}

// A gate in touch with its leader renews its lease twice a second.
TEST_F(GateJoin, RenewalsWithALeaderStaySmall)
{
	old_->Answer(gate_, 1);
	EXPECT_LT(old_->join_bytes_, 40U);
	EXPECT_EQ(0U, old_->Take().size());
}

TEST_F(GateJoin, MissedChangesArriveAndWhatHasLeftIsGone)
{
	uint64_t gone = fleet_name_hash("target-00000000");

	ASSERT_NE(nullptr, gate_table_find_target(gate_, gone));
	Miss(MakeTarget(0, 1000, 1000, 2, FLEET_TARGET_DEREGISTERED));
	/* Its address belongs to another service. */
	Miss(MakeTarget(900, 1000, 5000, 1, FLEET_TARGET_READY, "ledger"));
	Miss(MakeTarget(1, 1001, 1000, 2, FLEET_TARGET_DRAINING));
	Miss(MakeTarget(2, 1002, 6000));
	auto leader = MakeNew();
	leader->Answer(gate_);
	std::vector<Bytes> sent = leader->Take();
	ASSERT_EQ(1U, sent.size());
	EXPECT_TRUE(IsDifferences(sent[0]));
	EXPECT_LT(sent[0].size(), 1500U);
	EXPECT_TRUE(Apply(gate_, sent[0]));
	EXPECT_EQ(nullptr, gate_table_find_target(gate_, gone));
	EXPECT_EQ("", Compare(leader.get()));
}

// What the digest leaves out: verdicts, limits, targets that are cold.
TEST_F(GateJoin, VerdictsAndLimitsAreThoseOfTheNewLeader)
{
	uint64_t keys[6];
	int i = 0;

	for (hub_target_t *target = old_->state_->targets; i < 6;
	     target = (hub_target_t *)target->hh.next)
		keys[i++] = target->key;
	old_->cold_value_ = fleet_limit_encode(5);
	for (const Bytes &entry : log_)
		old_->Apply(entry);
	old_->Eject(keys[0]);
	old_->Eject(keys[1]);
	hub_signal_key_t limited = { keys[2], 1000 };
	hub_signal_key_t cold = { keys[3], 1000 };
	hub_signals_set_limit(
	    old_->signals_, &limited, fleet_limit_encode(20), kNow);
	hub_feed_mark_target_changed(old_->feed_, keys[2]);
	hub_feed_flush(old_->feed_, kNow);
	Join(old_.get(), gate_);
	ASSERT_EQ("", Compare(old_.get()));
	gate_table_find_target(gate_, keys[0])->avoid_until_ms = 77;
	gate_table_find_target(gate_, keys[1])->avoid_until_ms = 77;

	auto leader = MakeNew();
	leader->cold_value_ = fleet_limit_encode(5);
	leader->Eject(keys[1]);
	leader->Eject(keys[4]);
	hub_warmup_limit_t warmup = {};
	warmup.value = fleet_limit_encode(5);
	warmup.burst = 1;
	warmup.until_ms = kNow + 2000;
	hub_signals_set_warmup(leader->signals_, &cold, &warmup, kNow);
	hub_signal_key_t other = { keys[5], 1000 };
	hub_signals_set_limit(
	    leader->signals_, &other, fleet_limit_encode(9), kNow);
	leader->Answer(gate_);
	std::vector<Bytes> sent = leader->Take();
	ASSERT_EQ(1U, sent.size());
	ASSERT_TRUE(IsDifferences(sent[0]));
	EXPECT_LT(sent[0].size(), 300U);
	ASSERT_TRUE(Apply(gate_, sent[0]));
	EXPECT_EQ("", Compare(leader.get()));
	EXPECT_EQ(FLEET_VERDICT_HEALTHY,
	    gate_table_find_target(gate_, keys[0])->verdict);
	EXPECT_EQ(0, gate_table_find_target(gate_, keys[0])->avoid_until_ms);
	EXPECT_EQ(77, gate_table_find_target(gate_, keys[1])->avoid_until_ms);
	EXPECT_TRUE(gate_limit_is_cold(
	    &gate_table_find_target(gate_, keys[3])->limit, kNow));
	/* This gate knows the limit until it hears otherwise. */
	EXPECT_EQ(fleet_limit_encode(20),
	    gate_table_find_target(gate_, keys[2])->limit.value);
	EXPECT_EQ(FLEET_LIMIT_UNKNOWN,
	    (int)gate_table_find_target(gate_, keys[2])->limit.fleet_value);
}

// Any changes that a gate misses end in the table that the leader has.
TEST_F(GateJoin, RandomChangesEndInTheTableOfTheLeader)
{
	std::mt19937 random(1);
	uint64_t term = 4;

	for (int round = 0; round < 60; round++) {
		int changes = (int)(random() % 40);

		for (int i = 0; i < changes; i++) {
			int id = (int)(random() % 500);
			uint64_t born_ms = 1000 * (1 + random() % 20);
			fleet_target_state_t state =
			    (fleet_target_state_t)(random() % 3);

			/* Addresses pass from one to another. */
			Miss(MakeTarget(id, 1000 + (int)(random() % 500),
			    born_ms, 2 + random() % 50, state,
			    id % 5 == 0 ? "ledger" : "orders"));
		}
		auto leader = MakeNew(++term);
		for (int i = 0; i < 10; i++) {
			const hub_target_t *target = leader->state_->targets;

			for (unsigned skip = random() % 300; skip > 0; skip--)
				target = (hub_target_t *)target->hh.next;
			if (target->as.state != FLEET_TARGET_DEREGISTERED)
				leader->Eject(target->key);
		}
		Join(leader.get(), gate_);
		ASSERT_EQ("", Compare(leader.get()));
		/* Changes of the term follow. */
		Bytes entry =
		    MakeTarget((int)(random() % 400), 9000 + round, 50000);
		Miss(entry);
		leader->Apply(entry);
		hub_feed_flush(leader->feed_, kNow);
		for (const Bytes &sent : leader->Take())
			EXPECT_TRUE(Apply(gate_, sent));
		ASSERT_EQ("", Compare(leader.get()));
	}
}

TEST_F(GateJoin, AnUnknownStateGetsTheWholeTable)
{
	log_.clear();
	for (int i = 0; i < 400; i++)
		log_.push_back(MakeTarget(i + 5000, 1000 + i, 1000));
	auto leader = MakeNew();
	leader->Answer(gate_);
	std::vector<Bytes> sent = leader->Take();
	ASSERT_EQ(1U, sent.size());
	EXPECT_FALSE(IsDifferences(sent[0]));
	EXPECT_TRUE(Apply(gate_, sent[0]));
	EXPECT_EQ("", Compare(leader.get()));
}

TEST_F(GateJoin, AGateThatRestartedGetsTheWholeTable)
{
	auto leader = MakeNew();

	leader->Answer(gate_);
	Bytes late = leader->Take().at(0);
	gate_table_destroy(gate_);
	gate_ = gate_table_create("zone-1", 2);
	/* Differences for the process before. */
	EXPECT_FALSE(Apply(gate_, late));
	EXPECT_EQ(0U, gate_table_count(gate_));
	leader->Answer(gate_);
	std::vector<Bytes> sent = leader->Take();
	ASSERT_EQ(1U, sent.size());
	EXPECT_FALSE(IsDifferences(sent[0]));
	EXPECT_TRUE(Apply(gate_, sent[0]));
	EXPECT_EQ("", Compare(leader.get()));
}

// Lost with the connection: sent again once the gate has another one.
TEST_F(GateJoin, LostDifferencesAreSentAgain)
{
	Miss(MakeTarget(0, 1000, 1000, 2, FLEET_TARGET_DEREGISTERED));
	auto leader = MakeNew();

	leader->Answer(gate_);
	ASSERT_EQ(1U, leader->Take().size());
	leader->now_ += 500;
	leader->Answer(gate_);
	EXPECT_EQ(0U, leader->Take().size());
	leader->connection_++;
	leader->Answer(gate_);
	std::vector<Bytes> sent = leader->Take();
	ASSERT_EQ(1U, sent.size());
	EXPECT_TRUE(Apply(gate_, sent[0]));
	EXPECT_EQ("", Compare(leader.get()));
}

// The target that left meanwhile would be back.
TEST_F(GateJoin, DuplicateAndLateDifferencesAreDropped)
{
	Miss(MakeTarget(0, 1000, 1000, 3, FLEET_TARGET_DRAINING));
	auto leader = MakeNew();
	leader->Answer(gate_);
	Bytes first = leader->Take().at(0);
	ASSERT_TRUE(Apply(gate_, first));
	EXPECT_FALSE(Apply(gate_, first));
	/* The gate is back at the row that the differences changed. */
	leader->Apply(MakeTarget(0, 1000, 1000, 4));
	hub_feed_flush(leader->feed_, kNow);
	for (const Bytes &sent : leader->Take())
		ASSERT_TRUE(Apply(gate_, sent));
	std::string before = Describe(gate_);
	EXPECT_FALSE(Apply(gate_, first));
	EXPECT_TRUE(before == Describe(gate_));
	/* Of a leader that has been replaced. */
	Miss(MakeTarget(0, 1000, 1000, 5, FLEET_TARGET_DEREGISTERED));
	auto next = MakeNew(5);
	Join(next.get(), gate_);
	before = Describe(gate_);
	EXPECT_FALSE(Apply(gate_, first));
	EXPECT_TRUE(before == Describe(gate_));
	EXPECT_EQ(nullptr,
	    gate_table_find_target(gate_, fleet_name_hash("target-00000000")));
}

// A whole table that another connection has overtaken.
TEST_F(GateJoin, AnOlderWholeTableOfTheTermIsDropped)
{
	gate_table_t *other = gate_table_create("zone-1", 1);
	old_->connection_++;
	old_->Answer(other, 0, 1);
	Bytes whole = old_->Take().at(0);
	gate_table_destroy(other);
	old_->Apply(MakeTarget(0, 1000, 1000, 3, FLEET_TARGET_DEREGISTERED));
	hub_feed_flush(old_->feed_, kNow);
	for (const Bytes &sent : old_->Take())
		EXPECT_TRUE(Apply(gate_, sent));
	ASSERT_EQ(399U, gate_table_count(gate_));
	std::string before = Describe(gate_);
	EXPECT_FALSE(Apply(gate_, whole));
	EXPECT_TRUE(before == Describe(gate_));
}

// The old leader's last change came between the join and its answer.
TEST_F(GateJoin, DifferencesFromAnotherBaseAreDroppedAndAWholeTableFollows)
{
	Miss(MakeTarget(0, 1000, 1000, 3, FLEET_TARGET_DEREGISTERED));
	auto leader = MakeNew();
	leader->Answer(gate_);
	Bytes differences = leader->Take().at(0);
	old_->Apply(MakeTarget(1, 1001, 1000, 2, FLEET_TARGET_DRAINING));
	hub_feed_flush(old_->feed_, kNow);
	for (const Bytes &sent : old_->Take())
		ASSERT_TRUE(Apply(gate_, sent));
	std::string before = Describe(gate_);
	EXPECT_FALSE(Apply(gate_, differences));
	EXPECT_TRUE(before == Describe(gate_));
	/* Changes that follow the differences are no help. */
	leader->Apply(MakeTarget(2, 1002, 7000));
	hub_feed_flush(leader->feed_, kNow);
	for (const Bytes &sent : leader->Take())
		EXPECT_FALSE(Apply(gate_, sent));
	EXPECT_TRUE(before == Describe(gate_));
	leader->Answer(gate_);
	std::vector<Bytes> sent = leader->Take();
	ASSERT_EQ(1U, sent.size());
	EXPECT_FALSE(IsDifferences(sent[0]));
	EXPECT_TRUE(Apply(gate_, sent[0]));
	EXPECT_EQ("", Compare(leader.get()));
}

// Differences for another table, or that do not lead to what the leader has, as by
// an error in one of the two programs.
TEST_F(GateJoin, DifferencesWithAnotherBaseOrResultAreDropped)
{
	Miss(MakeTarget(0, 1000, 1000, 3, FLEET_TARGET_DRAINING));
	auto leader = MakeNew();
	leader->Answer(gate_);
	Bytes bytes = leader->Take().at(0);
	std::string before = Describe(gate_);
	uint32_t beyond = FLEET_TABLE_BUCKETS;

	for (int i = 0; i < 5; i++) {
		Unpacked table(bytes);
		size_t targets = table.msg->n_targets;
		uint32_t first = table.msg->replaced[0];

		if (i == 0)
			table.msg->digest++;
		if (i == 1)
			table.msg->replaced[0] = (first + 1) % beyond;
		if (i == 2)
			table.msg->n_targets--;
		if (i == 3)
			table.msg->replaced[0] = beyond;
		if (i == 4)
			table.msg->base_digest++;
		EXPECT_FALSE(gate_table_apply(gate_, table.msg, kNow)) << i;
		table.msg->n_targets = targets;
		table.msg->replaced[0] = first;
	}
	EXPECT_TRUE(before == Describe(gate_));
	Join(leader.get(), gate_);
	EXPECT_EQ("", Compare(leader.get()));
}

// After a power loss all gates get the whole table.
TEST(GateJoinSizes, WholeTablesAreCompressed)
{
	std::mt19937_64 random(1);
	std::vector<Bytes> log;
	gate_table_t *gate = gate_table_create("zone-1", 1);

	for (int i = 0; i < 3000; i++)
		log.push_back(MakeTarget(i, 1024 + (int)(random() % 60000),
		    1700000000000 + random() % 1000000000, random() % 10000));
	Leader leader(1, log);
	leader.Answer(gate, 0, 1, 1);
	Bytes whole = leader.Take(1).at(0);
	size_t plain = whole.size();
	size_t rows = Unpacked(whole).msg->n_targets;
	size_t zipped = Join(&leader, gate, 2);
	printf("3000 targets: %zu B, compressed %zu B\n", plain, zipped);
	EXPECT_LT(zipped, plain * 6 / 10);
	EXPECT_EQ(gate_table_count(gate), rows);
	gate_table_destroy(gate);
}

// The compressed table is that of some time ago: what changed since would be missing,
// and targets would stay cold for too long, or count as warm too early.
TEST_F(GateJoin, ACompressedTableIsUpToDate)
{
	const uint64_t key = fleet_name_hash("target-00000000");
	const uint64_t other = fleet_name_hash("target-9e3779b1");
	hub_signal_key_t cold = { key, 1000 };
	hub_warmup_limit_t warmup = {};
	auto leader = MakeNew();

	warmup.value = leader->cold_value_ = fleet_limit_encode(5);
	warmup.burst = 1;
	warmup.until_ms = kNow + 2000;
	hub_signals_set_warmup(leader->signals_, &cold, &warmup, kNow);
	gate_table_t *first = gate_table_create("zone-1", 1);
	Join(leader.get(), first, 1);
	leader->now_ += 400;
	leader->Apply(MakeTarget(1, 1001, 1000, 9, FLEET_TARGET_DEREGISTERED));
	gate_table_t *second = gate_table_create("zone-1", 1);
	leader->Answer(second, 0, 0, 2);
	std::vector<Bytes> sent = leader->Take(2);
	ASSERT_EQ(2U, sent.size());
	for (const Bytes &bytes : sent)
		EXPECT_TRUE(Apply(second, bytes));
	EXPECT_NE(nullptr, gate_table_find_target(first, other));
	EXPECT_EQ(nullptr, gate_table_find_target(second, other));
	EXPECT_EQ(kNow + 2000,
	    gate_table_find_target(first, key)->limit.warmup_until_ms);
	/* Its clock stands at kNow. */
	EXPECT_EQ(kNow + 1600,
	    gate_table_find_target(second, key)->limit.warmup_until_ms);
	EXPECT_EQ(gate_table_get_sequence(second),
	    hub_feed_get_sequence(leader->feed_));
	gate_table_destroy(first);
	gate_table_destroy(second);
}

TEST_F(GateJoin, AMalformedCompressedTableIsDropped)
{
	auto leader = MakeNew();
	gate_table_t *gate = gate_table_create("zone-1", 1);

	leader->Answer(gate, 0, 0, 1);
	Bytes bytes = leader->Take(1).at(0);
	gate_table_destroy(gate);
	EXPECT_NE(nullptr, Unpacked(bytes).msg);
	bytes[bytes.size() / 2] ^= 0x55;
	EXPECT_EQ(nullptr, fleet_table_unpack(bytes.data(), bytes.size()));
	bytes.resize(bytes.size() / 2);
	EXPECT_EQ(nullptr, fleet_table_unpack(bytes.data(), bytes.size()));
}

// Gates and hubs are updated one after the other.
TEST_F(GateJoin, OlderGatesAndHubsGetAndSendWholeTables)
{
	auto leader = MakeNew();

	leader->Answer(gate_);
	Bytes differences = leader->Take().at(0);
	Unpacked table(differences);
	/* What a gate reads that knows none of the new fields. */
	table.msg->base_digest = 0;
	EXPECT_FALSE(gate_table_apply(gate_, table.msg, kNow));
	leader->Answer(gate_, 0, 1);
	std::vector<Bytes> sent = leader->Take();
	ASSERT_EQ(1U, sent.size());
	EXPECT_FALSE(IsDifferences(sent[0]));
	/* As from an older hub; the digest is the gate's own. */
	EXPECT_TRUE(Apply(gate_, sent[0]));
	Miss(MakeTarget(0, 1000, 1000, 3, FLEET_TARGET_DRAINING));
	auto next = MakeNew(5);
	next->Answer(gate_);
	sent = next->Take();
	ASSERT_EQ(1U, sent.size());
	EXPECT_TRUE(IsDifferences(sent[0]));
	EXPECT_TRUE(Apply(gate_, sent[0]));
	EXPECT_EQ("", Compare(next.get()));
}
