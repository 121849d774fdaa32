// Failures guarded against: a request that crashes targets is not blocked, or
// not again after a block; a harmless request that was running on a target that
// crashed is blocked; a block is lost with the leader.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "gate/gate_crash.h"
#include "hub/hub_crash.h"
#include "hub/hub_state.h"
#include "route/request_fingerprint.h"
}

namespace {

const int64_t kStart = 1000000;
const uint64_t kRequest = 11;
const uint64_t kOther = 12;
const size_t kListMax = 16;

class HubCrash : public testing::Test {
      protected:
	HubCrash() : crash_(hub_crash_create())
	{
	}
	~HubCrash() override
	{
		hub_crash_destroy(crash_);
	}

	// A request that ran for 5 ms.
	uint32_t
	Record(uint64_t fingerprint, uint64_t target, int64_t broken_ms,
	    int64_t ran_ms = 5)
	{
		const hub_crash_report_t report = { fingerprint, target, 1,
			broken_ms - ran_ms, broken_ms };

		return (hub_crash_record(crash_, &report, broken_ms));
	}

	std::vector<uint64_t>
	Blocked(int64_t now_ms)
	{
		hub_block_t blocks[kListMax];
		size_t count =
		    hub_crash_list_blocks(crash_, blocks, kListMax, now_ms);
		std::vector<uint64_t> out;

		for (size_t i = 0; i < count; i++)
			out.push_back(blocks[i].fingerprint);
		return (out);
	}

	std::vector<uint64_t>
	Suspects()
	{
		uint64_t list[kListMax];
		size_t count = hub_crash_list_suspects(crash_, list, kListMax);

		return (std::vector<uint64_t>(list, list + count));
	}

	// Blocks kRequest; the last crash is at now_ms.
	void
	Block(int64_t now_ms)
	{
		Record(kRequest, 1, now_ms - 200);
		Record(kRequest, 2, now_ms - 100);
		Record(kRequest, 3, now_ms);
	}

	hub_crash_t *crash_;
};

// A request goes on crashing targets because it comes through other gates.
TEST_F(HubCrash, ThreeCrashesInSuccessionBlockARequest)
{
	uint64_t sequence = hub_crash_get_sequence(crash_);

	EXPECT_EQ(1u, Record(kRequest, 1, kStart));
	EXPECT_TRUE(Suspects().empty());
	EXPECT_EQ(2u, Record(kRequest, 2, kStart + 500));
	EXPECT_EQ(std::vector<uint64_t>{ kRequest }, Suspects());
	EXPECT_LT(sequence, hub_crash_get_sequence(crash_));
	sequence = hub_crash_get_sequence(crash_);
	EXPECT_EQ(3u, Record(kRequest, 3, kStart + 1000));
	EXPECT_EQ(std::vector<uint64_t>{ kRequest }, Blocked(kStart + 1000));
	EXPECT_TRUE(Suspects().empty());
	EXPECT_LT(sequence, hub_crash_get_sequence(crash_));
}

// Crashes are seen when targets start again, in any order: none of an earlier one
// counts, and the request goes on for as long as their order varies.
TEST_F(HubCrash, CrashesThatAreReportedLateCount)
{
	EXPECT_EQ(1u, Record(kRequest, 2, kStart + 500));
	EXPECT_EQ(2u, Record(kRequest, 1, kStart));
	EXPECT_EQ(2u, Record(kRequest, 4, kStart + 502));
	EXPECT_EQ(3u, Record(kRequest, 3, kStart + 200));
	EXPECT_EQ(std::vector<uint64_t>{ kRequest }, Blocked(kStart + 1000));
}

// A popular request is blocked when many targets of a rack end at once.
TEST_F(HubCrash, CrashesAtTheSameTimeCountOnce)
{
	for (uint64_t target = 1; target <= 8; target++)
		EXPECT_EQ(1u,
		    Record(kRequest, target, kStart + (int64_t)target, 300));
	EXPECT_TRUE(Blocked(kStart + 20).empty());
}

// Two gates that report the same crash count for two.
TEST_F(HubCrash, AnIncarnationCrashesOnce)
{
	EXPECT_EQ(1u, Record(kRequest, 1, kStart));
	EXPECT_EQ(1u, Record(kRequest, 1, kStart + 400));
	EXPECT_EQ(1u, Record(kRequest, 1, kStart + 800));
	EXPECT_TRUE(Blocked(kStart + 800).empty());
}

// Requests that were running beside the cause are blocked with it.
TEST_F(HubCrash, ARequestThatATargetAnsweredIsHarmless)
{
	for (int i = 0; i < 10; i++) {
		int64_t now_ms = kStart + i * 1000;

		Record(kOther, (uint64_t)(100 + 2 * i), now_ms);
		EXPECT_LT(Record(kOther, (uint64_t)(101 + 2 * i), now_ms + 500),
		    (uint32_t)HUB_CRASHES_TO_BLOCK);
		hub_crash_clear(crash_, kOther);
		EXPECT_TRUE(Suspects().empty());
	}
	EXPECT_TRUE(Blocked(kStart + 10000).empty());
}

// After a block the request crashes three targets each time, or is never tried
// again although its service was mended.
TEST_F(HubCrash, ABlockEndsAndOneMoreCrashStartsALongerOne)
{
	int64_t now_ms = kStart;
	hub_block_t block;

	Block(now_ms);
	for (int64_t length_ms = HUB_BLOCK_MS; length_ms < HUB_BLOCK_MAX_MS;
	     length_ms *= 2) {
		hub_crash_tick(crash_, now_ms + length_ms - 1);
		ASSERT_EQ(1u, hub_crash_list_blocks(crash_, &block, 1, now_ms));
		EXPECT_EQ(length_ms, block.left_ms);
		now_ms += length_ms;
		hub_crash_tick(crash_, now_ms);
		EXPECT_TRUE(Blocked(now_ms).empty());
		now_ms += 10;
		Record(kRequest, 1000 + (uint64_t)now_ms, now_ms);
		EXPECT_EQ(1u, Blocked(now_ms).size());
	}
	ASSERT_EQ(1u, hub_crash_list_blocks(crash_, &block, 1, now_ms));
	EXPECT_EQ(HUB_BLOCK_MAX_MS, block.left_ms);
}

// Requests with one crash each, as any crash leaves some, push a block out.
TEST_F(HubCrash, AFullTableKeepsTheBlocks)
{
	Block(kStart);
	for (uint64_t i = 0; i < 2 * HUB_CRASH_REQUESTS_MAX; i++)
		Record(1000 + i, i, kStart + 10 + (int64_t)i);
	EXPECT_EQ(std::vector<uint64_t>{ kRequest }, Blocked(kStart + 3000));
	hub_crash_tick(crash_, kStart + HUB_BLOCK_MS + HUB_CRASH_EXPIRY_MS);
	hub_crash_tick(
	    crash_, kStart + HUB_BLOCK_MS + HUB_CRASH_EXPIRY_MS + 10);
	EXPECT_TRUE(Suspects().empty());
}

// A new leader, or hubs that were all restarted, let the request through.
TEST_F(HubCrash, ABlockSurvivesTheLeader)
{
	hub_state_t *state = hub_state_create();
	hub_state_t *restored = hub_state_create();
	hub_changed_targets_t changed;
	uint8_t *bytes;
	size_t len;

	bytes = hub_entry_encode_blocked(&kRequest, 1, &len);
	hub_state_apply(state, bytes, len, &changed);
	free(bytes);
	bytes = hub_state_encode(state, &len);
	ASSERT_EQ(0, hub_state_restore(restored, bytes, len));
	free(bytes);
	ASSERT_EQ(1u, restored->blocked_count);
	hub_crash_reset(crash_);
	hub_crash_restore(crash_, restored->blocked[0], kStart);
	EXPECT_EQ(std::vector<uint64_t>{ kRequest }, Blocked(kStart));
	hub_state_destroy(state);
	hub_state_destroy(restored);
}

class GateCrash : public testing::Test {
      protected:
	GateCrash() : crash_(gate_crash_create())
	{
	}
	~GateCrash() override
	{
		gate_crash_destroy(crash_);
	}

	void
	Apply(uint64_t term, uint64_t sequence, bool is_blocked)
	{
		Tm__Fleet__Blocks msg = TM__FLEET__BLOCKS__INIT;
		Tm__Fleet__Block block = TM__FLEET__BLOCK__INIT;
		Tm__Fleet__Block *pointer = &block;
		uint64_t suspect = kOther;

		block.fingerprint = kRequest;
		block.left_ms = 5000;
		msg.term = term;
		msg.sequence = sequence;
		msg.blocks = &pointer;
		msg.n_blocks = is_blocked;
		msg.suspects = &suspect;
		msg.n_suspects = 1;
		gate_crash_apply(crash_, &msg, kStart);
	}

	gate_crash_t *crash_;
};

// A gate sends a blocked request, or refuses it for longer than its block.
TEST_F(GateCrash, ABlockHoldsForItsTime)
{
	EXPECT_FALSE(gate_crash_has_any(crash_));
	Apply(3, 2, true);
	EXPECT_TRUE(gate_crash_has_any(crash_));
	EXPECT_EQ(5000, gate_crash_get_block_ms(crash_, kRequest, kStart));
	EXPECT_EQ(1, gate_crash_get_block_ms(crash_, kRequest, kStart + 4999));
	EXPECT_EQ(0, gate_crash_get_block_ms(crash_, kRequest, kStart + 5000));
	EXPECT_EQ(0, gate_crash_get_block_ms(crash_, kOther, kStart));
}

// A late message of an earlier leader lifts a block.
TEST_F(GateCrash, OlderListsAreIgnored)
{
	Apply(3, 2, true);
	Apply(2, 9, false);
	Apply(3, 1, false);
	EXPECT_EQ(5000, gate_crash_get_block_ms(crash_, kRequest, kStart));
	Apply(4, 1, false);
	EXPECT_EQ(0, gate_crash_get_block_ms(crash_, kRequest, kStart));
	EXPECT_EQ(4u, gate_crash_get_term(crash_));
}

// The leader is not told that a suspected request was answered; a request that
// was answered lately is accused of a crash.
TEST_F(GateCrash, AnsweredRequestsAreHarmless)
{
	Apply(3, 2, true);
	EXPECT_TRUE(gate_crash_record_answer(crash_, kOther, kStart));
	EXPECT_TRUE(gate_crash_record_answer(crash_, kRequest, kStart));
	EXPECT_FALSE(gate_crash_record_answer(crash_, 13, kStart));
	EXPECT_TRUE(gate_crash_is_harmless(crash_, 13, kStart + 1000));
	EXPECT_FALSE(gate_crash_is_harmless(crash_, 14, kStart + 1000));
	EXPECT_FALSE(gate_crash_is_harmless(
	    crash_, 13, kStart + GATE_CRASH_HARMLESS_MS));
}

// Two requests are taken for one, or one for two.
TEST(RequestFingerprint, DependsOnEachPartAndOnTheBody)
{
	const request_fingerprint_parts_t parts = { "w1", "a.example", "POST",
		"/x/1" };
	const request_fingerprint_parts_t others[] = {
		{ "w2", "a.example", "POST", "/x/1" },
		{ "w1", "b.example", "POST", "/x/1" },
		{ "w1", "a.example", "GET", "/x/1" },
		{ "w1", "a.example", "POST", "/x/1?q" },
		{ "w1", "a.example", "POST/x", "/1" },
	};
	std::vector<char> body(2 * REQUEST_FINGERPRINT_BODY_MAX_BYTES, 'a');
	uint64_t hash = request_fingerprint_hash_body(body.data(), body.size());
	uint64_t fingerprint = request_fingerprint_get(&parts, hash);

	EXPECT_EQ(fingerprint, request_fingerprint_get(&parts, hash));
	for (const auto &other : others)
		EXPECT_NE(fingerprint, request_fingerprint_get(&other, hash));
	EXPECT_NE(
	    hash, request_fingerprint_hash_body(body.data(), body.size() - 1));
	body[0] = 'b';
	EXPECT_NE(
	    hash, request_fingerprint_hash_body(body.data(), body.size()));
	EXPECT_EQ(0u, request_fingerprint_hash_body(nullptr, 0));
}

} // namespace
