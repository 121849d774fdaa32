// Failures guarded against: a burst of uploads crashes targets one after the other;
// the bound is not learned from the first crash; a change of the leader, a dead gate
// or lost reports let targets be filled again, or leave bytes counted for ever;
// uploads are refused while targets have room.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>

#include "upload_model.h"

namespace {

UploadOutcome
RunAll(const char *name, const UploadOptions &base)
{
	UploadOutcome sum;

	for (uint64_t seed = 1; seed <= 5; seed++) {
		UploadOptions options = base;
		options.seed = seed;
		UploadModel model(options);
		UploadOutcome one = model.Run();
		printf("%s seed %d: sent %u served %u broken %u refused %u "
		       "late %u crashes %u (slow target %u) most held %.0f kB, "
		       "without a leader %.0f kB, bound %llu kB, counted %lld "
		       "bytes\n",
		    name, (int)seed, one.sent, one.served, one.broken,
		    one.refused, one.late, one.crashes, one.crashes_slow,
		    one.most_held / 1000, one.most_held_alone / 1000,
		    (unsigned long long)model.Bound() / 1000,
		    (long long)one.last_counted);
		sum.sent += one.sent;
		sum.served += one.served;
		sum.broken += one.broken;
		sum.refused += one.refused;
		sum.crashes += one.crashes;
		sum.most_held = std::max(sum.most_held, one.most_held);
		sum.most_held_alone =
		    std::max(sum.most_held_alone, one.most_held_alone);
		sum.last_counted = std::max(sum.last_counted, one.last_counted);
	}
	return (sum);
}

} // namespace

// A burst crashes targets, although the bound is known from one crash before.
TEST(UploadModel, BurstWithALeaderThatChanges)
{
	UploadOptions options;
	UploadOptions off;

	off.has_permits = false;
	UploadOutcome with = RunAll("permits", options);
	UploadOutcome without = RunAll("no permits", off);

	// The slow target's crash teaches the bound; at most one more.
	EXPECT_LE(with.crashes, 2u * 5);
	EXPECT_GE(without.crashes, 5 * with.crashes);
	EXPECT_LT(with.broken, without.broken / 5);
	EXPECT_GT(with.served, without.served);
	// No more than the last second's uploads at the targets are counted.
	EXPECT_LT(with.last_counted, 28 * 300000);
}

// Uploads are refused while there is room.
TEST(UploadModel, RefusesNothingWithoutABurst)
{
	UploadOptions options;

	options.burst_factor = 1;
	options.slow_until_ms = options.slow_from_ms;
	UploadOutcome calm = RunAll("calm", options);

	EXPECT_EQ(calm.refused, 0u);
	EXPECT_EQ(calm.crashes, 0u);
	// Those of the gate that dies, and the last ones, have no response.
	EXPECT_GT(calm.served, 0.99 * calm.sent);
}

// Gates that have no leader for long in a burst fill targets.
TEST(UploadModel, KeepsToItsShareWithoutALeader)
{
	UploadOptions options;
	UploadOptions off;

	options.leader_lost_ms = 45000;
	options.leader_back_ms = 49000;
	off = options;
	off.has_share = false;
	UploadOutcome with = RunAll("share", options);
	UploadOutcome without = RunAll("no share", off);

	EXPECT_LE(with.crashes, 2u * 5);
	EXPECT_GT(without.crashes, 5 * with.crashes);
}
