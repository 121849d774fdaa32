// Failures guarded against: a fleet of members over disks that fail, fill up and
// hang loses what it has committed, gets two leaders in a term, or has no leader
// once all disks are well again.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "../scenario/raft_cluster.h"
#include "power_disk.h"

extern "C" {
#include "base/error.h"
#include "base/log.h"
}

namespace {

const uint64_t kFirstSeed = 20261206;
#ifndef RAFT_DISKS_SEEDS
const int kSeeds = 40;
#else
const int kSeeds = RAFT_DISKS_SEEDS;
#endif
const int kSteps = 40;
const int64_t kFormMs = 5000;
const int64_t kSliceMs = 250; // between two looks of the supervisor
const int64_t kTroubleMaxMs = 5000;
const int64_t kHangMaxMs = 5000;
// Of the platform.
const int64_t kRecoveryMs = 15000;

// A member's disk with its troubles.
struct Member {
	RaftCluster *cluster;
	RaftNode *node;
	std::string folder;
	std::unique_ptr<PowerDisk> disk;
	store_faults_t faults = {};
	int64_t well_ms = 0; // when the trouble of the disk ends
	int64_t hang_ms = 0; // how long the next sync takes

	// store_faults_t.sync
	static void
	Sync(void *ctx, int fd)
	{
		Member *member = static_cast<Member *>(ctx);

		if (member->hang_ms > 0)
			fakenet_block(member->cluster->net, member->node->id,
			    member->hang_ms);
		member->hang_ms = 0;
		PowerDisk::Sync(member->disk.get(), fd);
	}

	void
	Mend()
	{
		faults.failing_call = 0;
		faults.writable_bytes = -1;
		faults.syncs_until_failure = -1;
		hang_ms = 0;
		well_ms = 0;
	}
};

class FailingDisks {
      public:
	FailingDisks(uint64_t seed, int count, const std::string &path,
	    bool is_supervised)
	    : is_supervised_(is_supervised), path_(path)
	{
		std::vector<std::string> names;

		rng_init(&rng_, seed);
		for (int i = 0; i < count; i++) {
			names.push_back(std::string(1, (char)('a' + i)));
			std::filesystem::create_directory(
			    path + "/" + names.back());
		}
		cluster =
		    std::make_unique<RaftCluster>(names, seed, 0, true, path);
		for (auto &node : cluster->nodes)
			AddMember(node.get());
	}

	void
	Run()
	{
		cluster->run(kFormMs);
		for (int step = 0; step < kSteps; step++) {
			if (rng_below(&rng_, 2) == 0)
				Trouble(Pick());
			Load(step);
			for (int64_t i = rng_below(&rng_, 6); i >= 0; i--)
				RunSlice();
		}
		for (auto &member : members_)
			member->Mend();
		WaitForLeader();
		for (int64_t i = 0; i < kRecoveryMs / kSliceMs; i++)
			RunSlice();
		cluster->check_converged();
	}

	std::unique_ptr<RaftCluster> cluster;
	int failed_starts = 0;
	int failed_members = 0;

      private:
	// The member starts again on the disk with faults.
	void
	AddMember(RaftNode *node)
	{
		auto member = std::make_unique<Member>();

		member->cluster = cluster.get();
		member->node = node;
		member->folder = path_ + "/" + node->name;
		member->disk =
		    std::make_unique<PowerDisk>(member->folder, &rng_);
		member->faults.sync = Member::Sync;
		member->faults.ctx = member.get();
		member->Mend();
		node->faults = &member->faults;
		cluster->kill(node);
		cluster->start(node);
		members_.push_back(std::move(member));
	}

	Member *
	Pick()
	{
		return (members_[rng_below(&rng_, members_.size())].get());
	}

	void
	Trouble(Member *member)
	{
		store_faults_t *faults = &member->faults;
		RaftNode *node = member->node;
		uint64_t choice = rng_below(&rng_, 10);

		if (choice < 4) {
			faults->failing_call =
			    faults->call_count + 1 + rng_below(&rng_, 8);
			faults->is_lasting = choice < 2;
		} else if (choice < 6) {
			faults->writable_bytes = (int64_t)rng_below(&rng_, 200);
		} else if (choice < 8) {
			member->hang_ms =
			    1 + (int64_t)rng_below(&rng_, kHangMaxMs);
		} else if (choice == 8) {
			End(member);
		} else if (fakenet_is_running(cluster->net, node->id)) {
			raft_compact(node->raft, rng_below(&rng_, 20));
		}
		member->well_ms = fakenet_now_ms(cluster->net) +
		    (int64_t)rng_below(&rng_, kTroubleMaxMs);
	}

	// Ends a process, in half of the cases by a loss of power.
	void
	End(Member *member)
	{
		cluster->kill(member->node);
		if (rng_below(&rng_, 2) == 0)
			member->disk->LosePower();
	}

	void
	Supervise(Member *member)
	{
		RaftNode *node = member->node;

		if (member->well_ms != 0 &&
		    fakenet_now_ms(cluster->net) >= member->well_ms)
			member->Mend();
		if (is_supervised_ &&
		    fakenet_is_running(cluster->net, node->id) &&
		    raft_get_error(node->raft) != TM_OK) {
			failed_members++;
			End(member);
			return;
		}
		if (node->raft == nullptr && cluster->start(node) != TM_OK)
			failed_starts++;
	}

	void
	RunSlice()
	{
		cluster->run(kSliceMs);
		for (auto &member : members_)
			Supervise(member.get());
	}

	void
	Load(int step)
	{
		for (auto &node : cluster->nodes) {
			if (!fakenet_is_running(cluster->net, node->id))
				continue;
			for (uint64_t i = rng_below(&rng_, 5); i > 0; i--)
				cluster->propose(node.get(),
				    node->name + std::to_string(step) + "." +
					std::to_string(i));
		}
	}

	void
	WaitForLeader()
	{
		int64_t end_ms = fakenet_now_ms(cluster->net) + kRecoveryMs;

		while (cluster->leader() == nullptr) {
			if (fakenet_now_ms(cluster->net) >= end_ms) {
				cluster->violate("no leader in time");
				return;
			}
			RunSlice();
		}
	}

	bool is_supervised_;
	rng_t rng_;
	std::string path_;
	std::vector<std::unique_ptr<Member>> members_;
};

class RaftDisks : public testing::Test {
      protected:
	void
	SetUp() override
	{
		log_configure(fopen("/dev/null", "w"), LOG_LEVEL_ERROR, "test");
	}

	void
	TearDown() override
	{
		log_configure(stderr, LOG_LEVEL_INFO, "");
	}

	// @return what was violated
	std::vector<std::string>
	Play(int number, bool is_supervised)
	{
		char text[] = "/tmp/tm-disks-XXXXXX";
		std::string path = mkdtemp(text);
		std::vector<std::string> violations;
		{
			FailingDisks fleet(kFirstSeed + (uint64_t)number,
			    number % 2 == 0 ? 3 : 5, path, is_supervised);
			fleet.Run();
			violations = fleet.cluster->violations;
			committed_ += fleet.cluster->committed.size();
			failed_starts_ += fleet.failed_starts;
			failed_members_ += fleet.failed_members;
		}
		std::filesystem::remove_all(path);
		return (violations);
	}

	size_t committed_ = 0;
	int failed_starts_ = 0;
	int failed_members_ = 0;
};

} // namespace

TEST_F(RaftDisks, CommittedEntriesAndLeadersSurviveAnyDiskTrouble)
{
	printf("seeds from %d on, %d of them\n", (int)kFirstSeed, kSeeds);
	for (int i = 0; i < kSeeds && !HasFailure(); i++) {
		for (auto &what : Play(i, true))
			ADD_FAILURE()
			    << "seed " << kFirstSeed + i << ": " << what;
	}
	printf("%zu entries committed, %d members with a failed disk, %d "
	       "failed starts\n",
	    committed_, failed_members_, failed_starts_);
	EXPECT_GT(committed_, 20u * kSeeds);
	EXPECT_GT(failed_members_, 5 * kSeeds);
	EXPECT_GT(failed_starts_, kSeeds);
}

// Proves that the check of the leader finds members that run on after a failed
// write without a part in the log.
TEST_F(RaftDisks, WithoutNewStartsNoLeaderIsLeft)
{
	int violated = 0;

	for (int i = 0; i < kSeeds; i++)
		violated += !Play(i, false).empty();
	printf("%d of %d seeds\n", violated, kSeeds);
	EXPECT_GT(violated, kSeeds / 2);
}

// Without a hand-over nobody leads for an election timeout.
TEST_F(RaftDisks, ALeaderWhoseDiskFailsHandsOverAtOnce)
{
	char text[] = "/tmp/tm-disks-XXXXXX";
	std::string path = mkdtemp(text);
	store_faults_t faults[3] = {};

	{
		RaftCluster cluster({ "a", "b", "c" }, 1, 0, true, path);
		cluster.run(kFormMs);
		for (size_t i = 0; i < 3; i++) {
			RaftNode *node = cluster.nodes[i].get();
			faults[i].writable_bytes = -1;
			faults[i].syncs_until_failure = -1;
			node->faults = &faults[i];
			cluster.kill(node);
			ASSERT_EQ(TM_OK, cluster.start(node));
		}
		cluster.run(kFormMs);
		RaftNode *leader = cluster.leader();
		ASSERT_NE(nullptr, leader);
		leader->faults->failing_call = leader->faults->call_count + 1;
		leader->faults->is_lasting = 1;
		EXPECT_EQ(
		    TM_OK, cluster.propose(leader, "refused by the disk"));
		int64_t start_ms = fakenet_now_ms(cluster.net);
		while (
		    cluster.leader() == nullptr || cluster.leader() == leader) {
			cluster.run(1);
			ASSERT_LT(fakenet_now_ms(cluster.net) - start_ms,
			    RAFT_ELECTION_MS / 2);
		}
		EXPECT_NE(TM_OK, raft_get_error(leader->raft));
		EXPECT_EQ(TM_OK, cluster.propose(cluster.leader(), "goes on"));
		cluster.run(kFormMs);
		EXPECT_EQ(1u, cluster.committed.size());
		EXPECT_TRUE(cluster.violations.empty());
	}
	std::filesystem::remove_all(path);
}
