// Failures guarded against: malformed messages of a peer that abort the node or
// change its state; committed entries lost or replaced under random message
// loss, kills, freezes and replaced disks; a new leader elected too late after
// a kill.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "../scenario/raft_cluster.h"

extern "C" {
#include "base/error.h"
#include "base/log.h"
#include "raft/raft_internal.h"
}

#define PROPERTY_SEED 20261204u
#ifndef PROPERTY_SCHEDULES
#define PROPERTY_SCHEDULES 400
#endif

class Raft : public testing::Test {
      protected:
	void
	SetUp() override
	{
		log_configure(stderr, LOG_LEVEL_ERROR, "test");
	}
};

static raft_stats_t
get_stats(RaftNode *node)
{
	raft_stats_t stats;

	raft_get_stats(node->raft, &stats);
	return (stats);
}

static void
handle(RaftCluster &cluster, RaftNode *node, uint16_t type,
    const ProtobufCMessage *message)
{
	std::string bytes(protobuf_c_message_get_packed_size(message), '\0');

	protobuf_c_message_pack(message, (uint8_t *)&bytes[0]);
	raft_handle(node->raft, cluster.nodes[1]->id, type,
	    (const uint8_t *)bytes.data(), bytes.size(),
	    fakenet_now_ms(cluster.net));
}

TEST_F(Raft, SingleNodeCommitsWithoutPeers)
{
	RaftCluster cluster({ "a" }, 1, 0);

	cluster.run(2000);
	ASSERT_NE(nullptr, cluster.leader());
	EXPECT_EQ(TM_OK, cluster.propose(cluster.leader(), "x"));
	EXPECT_EQ(TM_ETOOBIG,
	    cluster.propose(
		cluster.leader(), std::string(RAFT_ENTRY_MAX_BYTES + 1, 'x')));
	cluster.run(20);
	EXPECT_EQ(1u, cluster.committed.size());
}

/* The disk of each node takes sync_ms for a sync. @return time until
 * an entry of the first leader after a kill is committed; -1: none is */
static int64_t
elect_with_slow_disks(uint64_t seed, int64_t sync_ms)
{
	RaftCluster cluster({ "a", "b", "c" }, seed, 0);
	size_t count;

	cluster.run(5000);
	if (cluster.leader() == nullptr)
		return (-1);
	cluster.kill(cluster.leader());
	for (auto &node : cluster.nodes)
		node->sync_ms = sync_ms;
	count = cluster.committed.size();
	for (int64_t ms = 0; ms < 30000; ms += 50) {
		cluster.run(50);
		if (cluster.leader() != nullptr)
			cluster.propose(cluster.leader(), "x");
		if (cluster.committed.size() > count)
			return (ms);
	}
	return (-1);
}

/* Guards against elections that end before votes have been written. */
TEST_F(Raft, LeaderIsElectedWithSlowDisks)
{
	int64_t worst_ms;
	int64_t took_ms;
	int none;

	for (int64_t sync_ms : { 100, 150, 200, 250, 300 }) {
		worst_ms = 0;
		none = 0;
		for (uint64_t seed = 1; seed <= 20; seed++) {
			took_ms = elect_with_slow_disks(seed, sync_ms);
			none += took_ms < 0;
			worst_ms = std::max(worst_ms, took_ms);
		}
		printf("syncs of %lld ms: a leader after at most %lld ms, "
		       "none in %d of 20\n",
		    (long long)sync_ms, (long long)worst_ms, none);
		EXPECT_EQ(0, none);
		EXPECT_LE(worst_ms, 15000);
	}
}

TEST_F(Raft, RandomBytesAreRejected)
{
	RaftCluster cluster({ "a", "b", "c" }, 1, 0);
	rng_t rng;

	rng_init(&rng, PROPERTY_SEED);
	cluster.run(3000);
	for (int i = 0; i < 50000; i++) {
		uint8_t bytes[64];
		size_t len = rng_below(&rng, sizeof(bytes) + 1);
		for (size_t k = 0; k < len; k++)
			bytes[k] = (uint8_t)rng_next(&rng);
		raft_handle(cluster.nodes[0]->raft, cluster.nodes[1]->id,
		    (uint16_t)(10 + rng_below(&rng, 20)), bytes, len,
		    fakenet_now_ms(cluster.net));
	}
	EXPECT_GT(get_stats(cluster.nodes[0].get()).malformed, 40000u);
}

// Messages that decode but hold invalid values must not change the state.
TEST_F(Raft, ImpossibleValuesAreRejected)
{
	RaftCluster cluster({ "a", "b", "c" }, 1, 0);
	RaftNode *node = cluster.find("a");
	Tm__Raft__Append append = TM__RAFT__APPEND__INIT;
	Tm__Raft__Entry entry = TM__RAFT__ENTRY__INIT;
	Tm__Raft__Entry *list[] = { &entry };
	Tm__Raft__SnapshotChunk chunk = TM__RAFT__SNAPSHOT_CHUNK__INIT;
	Tm__Raft__VoteRequest vote = TM__RAFT__VOTE_REQUEST__INIT;

	cluster.run(3000);
	cluster.propose(cluster.leader(), "x");
	cluster.run(1000);
	uint64_t term = raft_get_term(node->raft);
	uint64_t last = raft_get_last(node->raft);
	uint64_t malformed = get_stats(node).malformed;

	append.disk_id = 9;
	append.term = UINT64_MAX;
	handle(cluster, node, MSG_RAFT_APPEND, &append.base);
	append.term = term + 1;
	append.prev_index = 1;
	handle(cluster, node, MSG_RAFT_APPEND, &append.base);
	append.prev_term = 1;
	append.n_entries = 1;
	append.entries = list;
	entry.term = term + 5;
	entry.kind = RAFT_KIND_DATA;
	handle(cluster, node, MSG_RAFT_APPEND, &append.base);
	entry.term = term + 1;
	entry.kind = 7;
	handle(cluster, node, MSG_RAFT_APPEND, &append.base);
	entry.kind = RAFT_KIND_CONFIG;
	handle(cluster, node, MSG_RAFT_APPEND, &append.base);
	chunk.disk_id = 9;
	chunk.term = term + 1;
	chunk.index = 100;
	chunk.index_term = 1;
	chunk.total_bytes = UINT64_MAX;
	handle(cluster, node, MSG_RAFT_SNAPSHOT, &chunk.base);
	vote.disk_id = 0;
	vote.term = term + 1;
	handle(cluster, node, MSG_RAFT_VOTE_REQUEST, &vote.base);
	EXPECT_EQ(malformed + 7, get_stats(node).malformed);
	EXPECT_EQ(term, raft_get_term(node->raft));
	EXPECT_EQ(last, raft_get_last(node->raft));
}

// A message of a leader must not remove committed entries.
TEST_F(Raft, CommittedEntriesAreNeverTruncated)
{
	RaftCluster cluster({ "a", "b", "c" }, 1, 0);
	RaftNode *node = cluster.find("a");
	Tm__Raft__Append append = TM__RAFT__APPEND__INIT;
	Tm__Raft__Entry entry = TM__RAFT__ENTRY__INIT;
	Tm__Raft__Entry *list[] = { &entry };

	cluster.run(3000);
	cluster.propose(cluster.leader(), "x");
	cluster.run(1000);
	uint64_t last = raft_get_last(node->raft);
	append.disk_id = 2;
	append.term = raft_get_term(node->raft) + 1;
	append.prev_index = 1;
	append.prev_term = 1;
	append.n_entries = 1;
	append.entries = list;
	entry.term = append.term;
	entry.kind = RAFT_KIND_DATA;
	handle(cluster, node, MSG_RAFT_APPEND, &append.base);
	EXPECT_EQ(last, raft_get_last(node->raft));
}

// A follower may have acknowledged the leader just before its restart. If it
// voted at once, two nodes could rely on a majority at the same time.
TEST_F(Raft, RestartedFollowerWaitsBeforeItVotes)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		RaftCluster cluster({ "a", "b", "c" }, seed, 0);
		cluster.run(3000);
		RaftNode *leader = cluster.leader();
		RaftNode *other = cluster.nodes[leader->name == "a"].get();
		RaftNode *node =
		    cluster.nodes[leader->name == "c" ? 1 : 2].get();
		cluster.cut(leader, other, true);
		cluster.run(5000);
		cluster.isolate(leader, true);
		cluster.kill(node);
		cluster.start(node);
		cluster.run(3000);
		for (auto &what : cluster.violations)
			ADD_FAILURE() << "seed " << seed << ": " << what;
	}
}

// A member whose disk lost acknowledged entries gets no more entries; the other
// members continue.
TEST_F(Raft, MemberThatLostEntriesStaysBehind)
{
	RaftCluster cluster({ "a", "b", "c" }, 1, 0);

	cluster.run(3000);
	RaftNode *leader = cluster.leader();
	RaftNode *node = cluster.nodes[leader->name == "a"].get();
	for (int i = 0; i < 20; i++)
		cluster.propose(leader, std::to_string(i));
	cluster.run(1000);
	cluster.kill(node);
	node->disk.entries.erase(
	    node->disk.entries.find(10), node->disk.entries.end());
	cluster.start(node);
	cluster.run(2000);
	EXPECT_EQ(9u, raft_get_last(node->raft));
	EXPECT_EQ(leader, cluster.leader());
	cluster.propose(leader, "after");
	cluster.run(1000);
	EXPECT_EQ(21u, cluster.committed.size());
	cluster.kill(node);
	cluster.wipe(node);
	cluster.run(3000);
	EXPECT_TRUE(raft_is_voter(node->raft));
	cluster.check_converged();
	EXPECT_TRUE(cluster.violations.empty());
}

TEST_F(Raft, StorageErrorStopsTheNodeOnly)
{
	RaftCluster cluster({ "a", "b", "c" }, 1, 0);

	cluster.run(3000);
	RaftNode *node = cluster.leader();
	raft_fail(node->raft, TM_EIO);
	uint64_t index;
	EXPECT_EQ(TM_EIO, raft_propose(node->raft, nullptr, 0, &index));
	cluster.run(5000);
	ASSERT_NE(nullptr, cluster.leader());
	EXPECT_NE(node, cluster.leader());
}

TEST_F(Raft, LargeSnapshotTravelsInChunksOverLossyNetwork)
{
	RaftCluster cluster({ "a", "b", "c" }, 1, 0);
	std::string large(100 * 1024, 'x');

	cluster.run(3000);
	RaftNode *leader = cluster.leader();
	RaftNode *late =
	    leader == cluster.find("c") ? cluster.find("b") : cluster.find("c");
	cluster.kill(late);
	for (int i = 0; i < 30; i++)
		ASSERT_EQ(TM_OK, cluster.propose(leader, large));
	cluster.run(2000);
	EXPECT_EQ(30u, leader->state.size());
	ASSERT_EQ(TM_OK, raft_compact(leader->raft, 0));
	fakenet_set_loss(cluster.net, 20);
	cluster.start(late);
	cluster.run(20000);
	fakenet_set_loss(cluster.net, 0);
	cluster.run(5000);
	EXPECT_EQ(leader->state.size(), late->state.size());
	EXPECT_EQ(1u, get_stats(late).snapshots_installed);
}

TEST_F(Raft, NodesAreAddedAndRemoved)
{
	RaftCluster cluster({ "a", "b", "c", "d" }, 1, 0);

	cluster.run(3000);
	RaftNode *leader = cluster.leader();
	RaftNode *gone =
	    leader == cluster.find("d") ? cluster.find("c") : cluster.find("d");
	raft_member_t voters[RAFT_MEMBERS_MAX];
	EXPECT_EQ(TM_EINVAL, raft_remove_node(leader->raft, leader->id));
	EXPECT_EQ(TM_EEXIST, raft_add_node(leader->raft, gone->id));
	EXPECT_EQ(TM_OK, raft_remove_node(leader->raft, gone->id));
	EXPECT_EQ(TM_EUNAVAIL, raft_add_node(leader->raft, gone->id));
	cluster.run(1000);
	EXPECT_EQ(3, raft_get_members(leader->raft, voters));
	EXPECT_EQ(TM_OK, raft_add_node(leader->raft, gone->id));
	cluster.run(2000);
	EXPECT_EQ(4, raft_get_members(leader->raft, voters));
	EXPECT_TRUE(raft_is_voter(gone->raft));
	EXPECT_TRUE(cluster.violations.empty());
}

// After a kill of the leader, the others elect a new one within 2 s.
TEST_F(Raft, RecoveryAfterLeaderKill)
{
	int64_t worst_ms = 0;
	int64_t sum_ms = 0;

	for (uint64_t seed = 1; seed <= 100; seed++) {
		RaftCluster cluster({ "a", "b", "c" }, seed, 0);
		cluster.run(5000);
		ASSERT_NE(nullptr, cluster.leader()) << seed;
		cluster.kill(cluster.leader());
		int64_t start_ms = fakenet_now_ms(cluster.net);
		while (cluster.leader() == nullptr)
			cluster.run(10);
		int64_t took_ms = fakenet_now_ms(cluster.net) - start_ms;
		sum_ms += took_ms;
		worst_ms = took_ms > worst_ms ? took_ms : worst_ms;
	}
	printf("recovery after a kill of the leader: mean %d ms, "
	       "longest %d ms of 100 seeds\n",
	    (int)(sum_ms / 100), (int)worst_ms);
	EXPECT_LE(worst_ms, 2000);
}

// Prints virtual catch-up times; see docs/raft.md.
TEST_F(Raft, CatchUpTime)
{
	for (size_t count : { 300, 301, 3000, 3001 }) {
		RaftCluster cluster({ "a", "b", "c" }, 1, 0);
		cluster.run(3000);
		RaftNode *leader = cluster.leader();
		RaftNode *late = cluster.nodes[leader->name == "a"].get();
		cluster.kill(late);
		for (size_t i = 0; i < count; i++)
			cluster.propose(leader, std::string(256, 'x'));
		cluster.run(2000);
		if (count % 2 == 1)
			raft_compact(leader->raft, 0);
		cluster.start(late);
		int64_t start_ms = fakenet_now_ms(cluster.net);
		while (late->state.size() < count &&
		    fakenet_now_ms(cluster.net) < start_ms + 10000)
			cluster.run(1);
		printf("catch-up of %zu entries by %s: %d ms\n", count,
		    count % 2 == 1 ? "snapshot" : "log",
		    (int)(fakenet_now_ms(cluster.net) - start_ms));
		EXPECT_EQ(count, late->state.size());
	}
}

class RaftOnDisk : public Raft {
      protected:
	void
	SetUp() override
	{
		char text[] = "/tmp/tm-raft-XXXXXX";

		Raft::SetUp();
		path = mkdtemp(text);
	}

	void
	TearDown() override
	{
		std::filesystem::remove_all(path);
	}

	std::string path;
};

// The raft module restores the same state from real data folders after
// restarts, a compaction, an installed snapshot and a lost folder.
TEST_F(RaftOnDisk, RestartsKeepTheLog)
{
	RaftCluster cluster({ "a", "b", "c" }, 1, 0, true, path);

	cluster.run(5000);
	for (int round = 0; round < 12; round++) {
		RaftNode *leader = cluster.leader();
		RaftNode *node = cluster.nodes[(size_t)round % 3].get();
		ASSERT_NE(nullptr, leader) << round;
		for (int i = 0; i < 50; i++)
			cluster.propose(leader,
			    std::to_string(round) + "." + std::to_string(i));
		cluster.run(500);
		cluster.kill(node);
		cluster.run(5000);
		ASSERT_NE(nullptr, cluster.leader()) << round;
		cluster.propose(cluster.leader(), "without a node");
		cluster.run(100);
		uint64_t keep = round % 2 == 0 ? 0 : 100;
		EXPECT_EQ(TM_OK, raft_compact(cluster.leader()->raft, keep));
		if (round % 4 == 3)
			cluster.wipe(node);
		else
			cluster.start(node);
		cluster.run(5000);
		cluster.check_converged();
	}
	for (auto &node : cluster.nodes) {
		cluster.kill(node.get());
		cluster.start(node.get());
	}
	cluster.run(5000);
	cluster.check_converged();
	for (auto &what : cluster.violations)
		ADD_FAILURE() << what;
	EXPECT_EQ(12u * 51, cluster.committed.size());
}

// Prints the rate of commits with fsync; see docs/raft.md.
TEST_F(RaftOnDisk, CommitRate)
{
	std::string data(256, 'x');

	for (int batch : { 1, 16, 256 }) {
		std::filesystem::remove_all(path);
		std::filesystem::create_directory(path);
		RaftCluster cluster({ "a", "b", "c" }, 1, 0, true, path);
		cluster.run(5000);
		RaftNode *leader = cluster.leader();
		auto start = std::chrono::steady_clock::now();
		double seconds = 0;
		while (seconds < 0.3) {
			for (int i = 0; i < batch; i++)
				cluster.propose(leader, data);
			raft_flush(leader->raft, fakenet_now_ms(cluster.net));
			while (raft_get_commit(leader->raft) <
			    raft_get_last(leader->raft))
				cluster.run(1);
			seconds = std::chrono::duration<double>(
			    std::chrono::steady_clock::now() - start)
				      .count();
		}
		printf("raft_commit_rate_batch_%d %.0f entries/s\n", batch,
		    (double)cluster.committed.size() / seconds);
		EXPECT_TRUE(cluster.violations.empty());
	}
}

class RaftSchedule {
      public:
	explicit RaftSchedule(uint64_t seed, uint32_t switches = 0)
	    : cluster(get_names(seed), seed, switches, seed % 4 == 0)
	{
		rng_init(&rng, seed);
		fakenet_set_loss(cluster.net, (int)rng_below(&rng, 10));
	}

	void
	run()
	{
		cluster.run(3000);
		for (int step = 0; step < 60; step++) {
			fault();
			load(step);
			cluster.run((int64_t)rng_below(&rng, 1500));
		}
		heal();
		cluster.run(30000);
		cluster.check_converged();
	}

	RaftCluster cluster;

      private:
	static std::vector<std::string>
	get_names(uint64_t seed)
	{
		if (seed % 2 == 0)
			return { "a", "b", "c" };
		return { "a", "b", "c", "d", "e" };
	}

	RaftNode *
	pick()
	{
		return (
		    cluster.nodes[rng_below(&rng, cluster.nodes.size())].get());
	}

	// At most a minority may have replaced disks at a time.
	bool
	may_wipe()
	{
		int minority = ((int)cluster.nodes.size() - 1) / 2;

		return (cluster.count_repairing() < minority &&
		    cluster.leader() != nullptr);
	}

	void
	fault()
	{
		RaftNode *node = pick();
		uint64_t choice = rng_below(&rng, 10);
		bool up = node->raft != nullptr;

		if (choice < 3) {
			cluster.cut(node, pick(), choice < 2);
		} else if (choice == 3) {
			for (auto &other : cluster.nodes)
				cluster.isolate(other.get(), false);
		} else if (choice == 4) {
			cluster.isolate(node, rng_below(&rng, 2));
		} else if (choice == 5) {
			up ? cluster.kill(node) : (void)cluster.start(node);
		} else if (choice == 6 && up) {
			cluster.freeze(node, !node->frozen);
		} else if (choice == 7 && up && may_wipe()) {
			cluster.kill(node);
			cluster.wipe(node);
		} else if (choice == 8 && up) {
			raft_compact(node->raft, rng_below(&rng, 20));
		} else if (choice == 9 && up) {
			raft_transfer_leadership(
			    node->raft, fakenet_now_ms(cluster.net));
		}
	}

	void
	load(int step)
	{
		for (auto &node : cluster.nodes) {
			if (node->raft == nullptr || node->frozen)
				continue;
			for (uint64_t i = rng_below(&rng, 5); i > 0; i--)
				cluster.propose(node.get(),
				    node->name + std::to_string(step) + "." +
					std::to_string(i));
		}
	}

	void
	heal()
	{
		fakenet_set_loss(cluster.net, 0);
		for (auto &node : cluster.nodes) {
			cluster.isolate(node.get(), false);
			if (node->raft == nullptr)
				cluster.start(node.get());
			cluster.freeze(node.get(), false);
		}
	}

	rng_t rng;
};

TEST_F(Raft, RandomSchedulesAreSafe)
{
	size_t committed = 0;
	uint64_t installed = 0;
	int wiped = 0;

	printf("seed %u, %d schedules\n", PROPERTY_SEED, PROPERTY_SCHEDULES);
	for (int i = 0; i < PROPERTY_SCHEDULES; i++) {
		RaftSchedule schedule(PROPERTY_SEED + (uint64_t)i);
		schedule.run();
		for (auto &what : schedule.cluster.violations)
			ADD_FAILURE() << "schedule " << i << ": " << what;
		if (HasFailure())
			return;
		committed += schedule.cluster.committed.size();
		for (auto &node : schedule.cluster.nodes) {
			installed += get_stats(node.get()).snapshots_installed;
			wiped +=
			    node->disk.disk_id > schedule.cluster.nodes.size();
		}
	}
	printf("%zu entries committed, %d nodes with a replaced disk, "
	       "%d snapshots installed by the last processes\n",
	    committed, wiped, (int)installed);
	EXPECT_GT(committed, 10u * PROPERTY_SCHEDULES);
	EXPECT_GT(wiped, 100);
}

// Proves that the schedules detect votes of replaced disks: without disk ids
// they find violations.
TEST_F(Raft, RandomSchedulesFailWithoutDiskIds)
{
	int violated = 0;

	for (int i = 0; i < PROPERTY_SCHEDULES; i++) {
		RaftSchedule schedule(
		    PROPERTY_SEED + (uint64_t)i, RAFT_TEST_IGNORE_DISK_ID);
		schedule.run();
		violated += !schedule.cluster.violations.empty();
	}
	printf("without disk ids %d of %d schedules fail\n", violated,
	    PROPERTY_SCHEDULES);
	EXPECT_GT(violated, 0);
}
