// Failures guarded against: a configuration that goes back to an older index; a
// VM that serves without a withdrawal because links or messages were lost;
// wrong service tables after lost messages; malformed input that changes the
// state; traffic per node above the limit at the largest supported fleet.
#include <gtest/gtest.h>

#include <cmath>
#include <string>

#include "../scenario/gossip_world.h"

namespace {

// Frame, TCP and IP headers of a message, and its share of acknowledgements.
constexpr double kOverheadBytes = 22 + 40 + 20;

TEST(Gossip, WithdrawnKeyIsUnknownToNoServingNodeAfter5s)
{
	const uint64_t seed = 20261;
	rng_t rng;

	RecordProperty("seed", std::to_string(seed));
	printf("seed %llu\n", (unsigned long long)seed);
	rng_init(&rng, seed);
	for (int round = 0; round < 6; round++) {
		GossipWorld world(10, rng_next(&rng));

		world.Run(6000);
		world.Apply(EntryBuilder::Key("issue", "k", false));
		world.Run(2000);
		fakenet_set_loss(world.net, 20);
		// Each VM but one loses a random half of its outgoing links.
		for (int a = 1; a < 10; a++) {
			std::string from = "n" + std::to_string(a);
			for (int b = 1; b <= 10; b++) {
				if (rng_below(&rng, 2) == 0)
					world.Cut(from, "n" + std::to_string(b),
					    true);
			}
			if (rng_below(&rng, 2) == 0)
				world.Cut("controls", from, true);
		}
		world.Run(4000);
		world.Apply(EntryBuilder::Key("withdraw", "k", true));
		world.Run(5000);
		EXPECT_TRUE(world.IsServing(*world.entries[9]));
		for (auto &entry : world.entries)
			EXPECT_TRUE(!world.IsServing(*entry) ||
			    world.HasWithdrawn(*entry, "k"))
			    << "round " << round << " node " << entry->name;
	}
}

TEST(Gossip, IndexNeverDecreasesUnderLossAndDelay)
{
	const uint64_t seed = 77;
	GossipWorld world(12, seed);
	std::vector<uint64_t> before(12, 0);

	printf("seed %llu\n", (unsigned long long)seed);
	world.Run(3000);
	fakenet_set_loss(world.net, 30);
	for (int i = 0; i < 400; i++) {
		world.Apply(EntryBuilder::Workspace(
		    "c" + std::to_string(i), "w", 1 + (uint32_t)i));
		world.Run(50);
		for (size_t k = 0; k < world.entries.size(); k++) {
			uint64_t now =
			    config_state_get_index(world.entries[k]->state);
			EXPECT_GE(now, before[k]);
			before[k] = now;
		}
	}
	fakenet_set_loss(world.net, 0);
	world.Run(3000);
	for (auto &entry : world.entries)
		EXPECT_EQ(config_state_get_index(entry->state), world.index);
}

// VMs that applied the same entries must encode the same snapshot.
TEST(Gossip, AllNodesHoldTheSameSnapshotBytes)
{
	GossipWorld world(8, 5);
	size_t expected_len;

	world.Run(5000);
	uint8_t *expected =
	    config_snapshot_encode(world.controls[0]->state, &expected_len);
	for (auto &entry : world.entries) {
		size_t len;
		uint8_t *bytes = config_snapshot_encode(entry->state, &len);
		ASSERT_EQ(len, expected_len);
		EXPECT_EQ(memcmp(bytes, expected, len), 0);
		free(bytes);
	}
	free(expected);
}

TEST(Gossip, NewerBlobsReachAllNodes)
{
	GossipWorld world(12, 9);
	const uint8_t bytes[] = { 1, 2, 3 };

	world.Run(4000);
	EXPECT_EQ(gossip_put_blob(world.entries[0]->gossip, 42, 3, 7, bytes, 3),
	    TM_OK);
	EXPECT_EQ(gossip_put_blob(world.entries[0]->gossip, 42, 3, 7, bytes, 3),
	    TM_ESTALE);
	EXPECT_EQ(gossip_put_blob(world.entries[0]->gossip, 42, 2, 9, bytes, 3),
	    TM_ESTALE);
	world.Run(15000);
	for (size_t i = 1; i < world.entries.size(); i++)
		EXPECT_EQ(world.entries[i]->blob_seq, 7);
	EXPECT_EQ(gossip_put_blob(world.entries[5]->gossip, 42, 3, 8, bytes, 3),
	    TM_OK);
	world.Run(15000);
	EXPECT_EQ(world.entries[0]->blob_seq, 8);
}

TEST(Gossip, MalformedInputChangesNothing)
{
	const uint64_t seed = 4242;
	GossipWorld world(3, 11);
	rng_t rng;

	printf("seed %llu\n", (unsigned long long)seed);
	rng_init(&rng, seed);
	world.Run(4000);
	GossipWorld::Entry &entry = *world.entries[0];
	uint64_t before = config_state_get_index(entry.state);
	for (int i = 0; i < 20000; i++) {
		uint8_t bytes[64];
		size_t len = rng_below(&rng, sizeof(bytes));
		for (size_t k = 0; k < len; k++)
			bytes[k] = (uint8_t)rng_next(&rng);
		gossip_handle(entry.gossip, world.entries[1]->id,
		    (uint16_t)(MSG_FEED_BASE + rng_below(&rng, 9)), bytes, len,
		    world.Now());
	}
	world.Run(3000);
	EXPECT_GE(config_state_get_index(entry.state), before);
	EXPECT_TRUE(world.IsServing(entry));
}

// A snapshot that was damaged in transit fails its checksum and must not be
// installed.
TEST(Gossip, DamagedSnapshotIsRejected)
{
	GossipWorld world(2, 13);
	Feed__SnapshotChunk chunk = FEED__SNAPSHOT_CHUNK__INIT;
	uint8_t payload[4096];
	size_t len;

	world.Run(4000);
	uint8_t *bytes = config_snapshot_encode(world.entries[1]->state, &len);
	ASSERT_LT(len, 4000u);
	bytes[len - 1] ^= 1;
	chunk.index = world.index + 1;
	chunk.total_bytes = len;
	chunk.data.data = bytes;
	chunk.data.len = len;
	size_t packed = feed__snapshot_chunk__pack(&chunk, payload);
	gossip_handle(world.entries[0]->gossip, world.entries[1]->id,
	    MSG_FEED_CHUNK, payload, packed, world.Now());
	EXPECT_EQ(config_state_get_index(world.entries[0]->state), world.index);
	free(bytes);
}

double
MeasureBytesPerNode(int nodes)
{
	GossipWorld world(nodes, 100 + (uint64_t)nodes);
	const uint8_t table[16] = { 0 };
	uint64_t bytes_before;
	uint64_t bytes_after;

	for (auto &entry : world.entries) {
		for (uint64_t key = 1; key <= 160; key++)
			gossip_put_blob(
			    entry->gossip, key, 1, 1, table, sizeof(table));
	}
	world.Run(10000);
	uint64_t before = fakenet_get_delivered(world.net, &bytes_before);
	world.Run(30000);
	uint64_t after = fakenet_get_delivered(world.net, &bytes_after);
	return ((double)(bytes_after - bytes_before) +
		   (double)(after - before) * kOverheadBytes) /
	    30 / nodes;
}

// Each delivered byte counts once, at its receiver. The target is 11 KB/s for
// all of control at 740 nodes.
TEST(Gossip, BytesPerNodeFitTheTargetSize)
{
	double at_10 = MeasureBytesPerNode(10);
	double at_20 = MeasureBytesPerNode(20);
	double at_40 = MeasureBytesPerNode(40);
	double slope = (at_40 - at_10) / 30;
	double at_740 = at_40 + slope * 700;

	printf("gossip bytes/s per node: 10: %.0f, 20: %.0f, 40: %.0f; slope "
	       "%.2f per node; at 740 by extrapolation: %.0f\n",
	    at_10, at_20, at_40, slope, at_740);
	EXPECT_LT(at_740, 11000);
}

} // namespace
