// Failures guarded against: two valid leases at once, a committed entry that a
// new leader lacks, bytes from outside that crash a decoder.
#include <gtest/gtest.h>

#include "shards_chaos.h"

namespace {

TEST(Group, RejectsBadAssignments)
{
	Fleet fleet(3, 1, 1);
	group_assignment_t bad = {};

	bad.epoch = 1;
	EXPECT_EQ(group_set_assignment(fleet.vm(1).group, &bad, 0), TM_EINVAL);
	bad.holder_count = 3;
	bad.shard = 1;
	EXPECT_EQ(group_set_assignment(fleet.vm(1).group, &bad, 0), TM_EINVAL);
	fleet.assign(0, { 1, 2, 3 });
	group_assignment_t again = fleet.assigned[0];
	EXPECT_EQ(
	    group_set_assignment(fleet.vm(1).group, &again, 0), TM_EEPOCH);
}

TEST(Group, NonHolderLearnsTheLeader)
{
	Fleet fleet(6, 1, 2);

	fleet.assign(0, { 1, 2, 3, 4, 5 });
	fleet.run(500);
	group_get_leader(fleet.vm(6).group, 0, fleet.now());
	fleet.run(50);
	int leader = fleet.leader_of(0);
	ASSERT_NE(leader, 0);
	EXPECT_EQ(group_get_leader(fleet.vm(6).group, 0, fleet.now()),
	    fleet.vm(leader).id);
}

// Entries larger than one message, read by the next leader and by a new
// holder.
TEST(Group, StoreSurvivesLeaderAndHolderChange)
{
	Fleet fleet(6, 1, 3);
	std::string big(100000, 'x');

	fleet.assign(0, { 1, 2, 3, 4, 5 });
	fleet.run(500);
	int first = fleet.leader_of(0);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(group_put(fleet.vm(first).group, 0,
			      ("k" + std::to_string(i)).c_str(), 7, big.data(),
			      big.size(), fleet.now()),
		    TM_OK);
	EXPECT_EQ(group_put(fleet.vm(first).group, 0, "k0", 8, nullptr, 0,
		      fleet.now()),
	    TM_OK);
	fleet.run(500);
	fleet.kill(first);
	fleet.replace(0, first, 6);
	fleet.run(3000);
	for (int i = 2; i <= 6; i++) {
		size_t len = 0;
		uint64_t version = 0;
		if (!fleet.vm(i).alive)
			continue;
		EXPECT_TRUE(group_is_ready(fleet.vm(i).group, 0));
		EXPECT_NE(
		    group_get(fleet.vm(i).group, 0, "k19", &version, &len),
		    nullptr);
		EXPECT_EQ(version, 7u);
		EXPECT_EQ(len, big.size());
		EXPECT_EQ(group_get(fleet.vm(i).group, 0, "k0", &version, &len),
		    nullptr);
	}
}

TEST(Group, StoreIsBounded)
{
	Fleet fleet(1, 1, 4);
	std::string big(GROUP_STORE_VALUE_MAX_BYTES + 1, 'x');

	fleet.assign(0, { 1 });
	fleet.run(500);
	group_t *group = fleet.vm(1).group;
	EXPECT_EQ(
	    group_put(group, 0, "k", 1, big.data(), big.size(), fleet.now()),
	    TM_ETOOBIG);
	int err = TM_OK;
	for (int i = 0; i < 100 && err == TM_OK; i++)
		err = group_put(group, 0, ("k" + std::to_string(i)).c_str(), 1,
		    big.data(), big.size() - 1, fleet.now());
	EXPECT_EQ(err, TM_EFULL);
}

TEST(Group, DecodersSurviveRandomBytes)
{
	Fleet fleet(2, 1, 5);
	rng_t rng;
	uint64_t seed = 20261204;

	printf("seed %llu\n", (unsigned long long)seed);
	rng_init(&rng, seed);
	fleet.assign(0, { 1, 2 });
	for (int i = 0; i < 200000; i++) {
		uint8_t bytes[48];
		size_t len = rng_below(&rng, sizeof(bytes));
		for (size_t k = 0; k < len; k++)
			bytes[k] = (uint8_t)(rng_below(&rng, 3) == 0
				? rng_next(&rng)
				: rng_below(&rng, 12) * 8);
		Fleet::receive(&fleet.vm(1), fleet.vm(2).id,
		    (uint16_t)(50 + rng_below(&rng, 40)), bytes, len,
		    fleet.now());
	}
}

// What a put's commit promised is still there under every later leader.
TEST(Group, PropertyOneLeaseAndCommittedEntriesStay)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		Fleet fleet(8, 1, seed);
		Chaos chaos(fleet, seed);
		uint64_t put = 0, lost = 0;
		int most = 0;

		fleet.assign(0, { 1, 2, 3, 4, 5 });
		fakenet_set_loss(fleet.net, (int)(seed % 5));
		for (int t = 0; t < 60000; t++) {
			fleet.run(1);
			most = std::max(most, chaos.count_leases());
			if (rng_below(&chaos.rng, 900) == 0)
				chaos.fault();
			if (t % 97 == 0)
				chaos.control();
			if (t % 61 == 0)
				chaos.spread();
			int leader = fleet.leader_of(0);
			if (t % 50 || leader == 0 || !fleet.usable(leader))
				continue;
			group_t *group = fleet.vm(leader).group;
			uint64_t version = 0;
			size_t len = 0;
			group_get(group, 0, "rate/x", &version, &len);
			lost += version < fleet.committed["rate/x"];
			put++;
			group_put(group, 0, "rate/x", put, "v", 1, fleet.now());
		}
		EXPECT_LE(most, 1) << "seed " << seed;
		EXPECT_EQ(lost, 0u) << "seed " << seed;
		EXPECT_GT(put, 100u) << "seed " << seed;
	}
	printf("seeds 1 to 30\n");
}

} // namespace
