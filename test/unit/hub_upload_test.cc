// Failures guarded against: large requests fill a target beyond its bound; permits
// stay counted after their request, its gate or its target has ended; a crash with
// little in flight lowers the bound; a bound that was learned never rises.
#include <gtest/gtest.h>

extern "C" {
#include "hub/hub_upload.h"
}

namespace {

const int64_t kStart = 1000000;
const uint64_t kService = 5;
const uint64_t kTarget = 7;
const uint64_t kBorn = 100;
const uint64_t kKb = 1000;

class HubUpload : public testing::Test {
      protected:
	explicit HubUpload(uint64_t memory = 0)
	    : upload_(hub_upload_create(memory))
	{
		hub_upload_reset(upload_, kStart);
	}
	~HubUpload() override
	{
		hub_upload_destroy(upload_);
	}

	void
	Add(node_id_t gate, uint32_t id, uint64_t bytes,
	    uint64_t target = kTarget, int64_t now_ms = kStart,
	    uint64_t born = kBorn)
	{
		const hub_upload_permit_t permit = { gate, id, target, born,
			kService, bytes, now_ms + 10000 };

		EXPECT_EQ(hub_upload_add(upload_, &permit, now_ms), 0);
	}

	bool
	HasRoom(uint64_t bytes, uint64_t target = kTarget)
	{
		return (hub_upload_has_room(
			    upload_, target, kBorn, kService, bytes) != 0);
	}

	uint64_t
	Bytes(uint64_t target = kTarget)
	{
		return (hub_upload_get_bytes(upload_, target, kBorn));
	}

	// Ten targets that hold little each, for a while.
	int64_t
	LearnUsual()
	{
		int64_t now_ms = kStart;

		for (uint32_t i = 0; i < 10; i++)
			Add(1, 1000 + i, 100 * kKb, 100 + i);
		for (; now_ms < kStart + 5000; now_ms += 100)
			hub_upload_tick(upload_, now_ms);
		return (now_ms);
	}

	hub_upload_crash_t
	Crash(int64_t now_ms, uint64_t target = kTarget)
	{
		hub_upload_crash_t crash = {};

		EXPECT_TRUE(hub_upload_record_crash(
		    upload_, target, kBorn, now_ms, &crash));
		return (crash);
	}

	hub_upload_t *upload_;
};

class HubUploadMemory : public HubUpload {
      protected:
	HubUploadMemory() : HubUpload(1000 * kKb)
	{
	}
};

} // namespace

// A target gets more bytes than fit into the memory that the settings state, or a
// request above the bound is never sent.
TEST_F(HubUploadMemory, KeepsToTheBound)
{
	EXPECT_TRUE(HasRoom(5000 * kKb));
	Add(1, 1, 500 * kKb);
	EXPECT_TRUE(HasRoom(300 * kKb));
	EXPECT_FALSE(HasRoom(301 * kKb));
	Add(2, 1, 300 * kKb);
	EXPECT_FALSE(HasRoom(1));
	EXPECT_TRUE(HasRoom(1, kTarget + 1));
	hub_upload_finish(upload_, 1, 1, HUB_UPLOAD_ANSWERED, kStart + 100);
	EXPECT_EQ(Bytes(), 300 * kKb);
	EXPECT_TRUE(HasRoom(500 * kKb));
}

// A report that comes again counts twice.
TEST_F(HubUpload, CountsAPermitOnce)
{
	Add(1, 1, 500 * kKb);
	Add(1, 1, 500 * kKb);
	EXPECT_EQ(Bytes(), 500 * kKb);
}

// Bytes whose end was lost stay for ever.
TEST_F(HubUpload, EndsWithTheDeadline)
{
	Add(1, 1, 500 * kKb);
	for (int64_t ms = 0; ms <= 10000; ms += 500) {
		EXPECT_EQ(Bytes(), 500 * kKb);
		hub_upload_hear(upload_, 1, 77, kStart + ms);
		hub_upload_tick(upload_, kStart + ms);
	}
	EXPECT_EQ(Bytes(), 0u);
}

// Bytes of a gate that has died, or has started again, stay.
TEST_F(HubUpload, EndsWithTheGate)
{
	hub_upload_hear(upload_, 1, 77, kStart);
	Add(1, 1, 500 * kKb);
	Add(2, 1, 200 * kKb);
	hub_upload_hear(upload_, 1, 78, kStart + 100);
	EXPECT_EQ(Bytes(), 200 * kKb);
	hub_upload_tick(upload_, kStart + HUB_UPLOAD_GATE_MAX_MS);
	EXPECT_EQ(Bytes(), 0u);
}

// A target that has started again counts as full with what it lost.
TEST_F(HubUpload, EndsWithTheIncarnation)
{
	Add(1, 1, 500 * kKb);
	Add(1, 2, 100 * kKb, kTarget, kStart, kBorn + 1);
	EXPECT_EQ(Bytes(), 0u);
	EXPECT_EQ(hub_upload_get_bytes(upload_, kTarget, kBorn + 1), 100 * kKb);
	// A late report of the one before.
	Add(1, 3, 100 * kKb);
	EXPECT_EQ(hub_upload_get_bytes(upload_, kTarget, kBorn + 1), 100 * kKb);
}

// A crash at which the target held much teaches nothing, or each of its requests
// lowers the bound again.
TEST_F(HubUpload, LearnsFromACrash)
{
	int64_t now_ms = LearnUsual();
	hub_upload_crash_t crash;
	hub_upload_crash_t again;

	EXPECT_EQ(hub_upload_get_bound(upload_, kService), 0u);
	for (uint32_t i = 0; i < 10; i++)
		Add(2, i + 1, 200 * kKb, kTarget, now_ms);
	// The connections break before the crash is reported.
	hub_upload_finish(upload_, 2, 1, HUB_UPLOAD_BROKEN, now_ms);
	hub_upload_finish(upload_, 2, 2, HUB_UPLOAD_BROKEN, now_ms);
	crash = Crash(now_ms + 100);
	EXPECT_TRUE(crash.is_evidence);
	EXPECT_EQ(crash.held_bytes, 2000 * kKb);
	EXPECT_EQ(
	    crash.bound_bytes, (uint64_t)(HUB_UPLOAD_CRASH_SHARE * 2000 * kKb));
	EXPECT_FALSE(hub_upload_record_crash(
	    upload_, kTarget, kBorn, now_ms + 200, &again));
	EXPECT_EQ(hub_upload_get_bound(upload_, kService), crash.bound_bytes);
}

// A request that crashes targets by what it says, or one of usual size, lowers the
// bound until nothing fits.
TEST_F(HubUpload, IgnoresCrashesWithLittleInFlight)
{
	int64_t now_ms = LearnUsual();

	Add(2, 1, 350 * kKb, kTarget, now_ms);
	EXPECT_FALSE(Crash(now_ms).is_evidence);
	Add(2, 2, 80 * kKb, kTarget, now_ms);
	Add(2, 3, 80 * kKb, kTarget, now_ms);
	EXPECT_FALSE(Crash(now_ms).is_evidence);
	EXPECT_EQ(hub_upload_get_bound(upload_, kService), 0u);
}

// A bound that was learned too low stays, or it rises to where targets crashed at
// the same speed, or without any target that holds so much.
TEST_F(HubUpload, RisesSlowlyWhileTargetsStayHealthy)
{
	const hub_upload_bound_t learned = { kService, 1000 * kKb };
	int64_t now_ms = kStart;
	uint64_t bound;

	hub_upload_restore_bound(upload_, &learned, kStart);
	for (int64_t end = now_ms + 60000; now_ms < end; now_ms += 100)
		hub_upload_tick(upload_, now_ms);
	EXPECT_EQ(hub_upload_get_bound(upload_, kService), 1000 * kKb);
	for (uint32_t i = 1; i <= 600; i++, now_ms += 100) {
		bound = hub_upload_get_bound(upload_, kService);
		Add(1, i, bound * 9 / 10, kTarget, now_ms);
		hub_upload_finish(
		    upload_, 1, i, HUB_UPLOAD_ANSWERED, now_ms + 50);
		hub_upload_tick(upload_, now_ms + 50);
	}
	// Twelve steps of 3 % in a minute.
	bound = hub_upload_get_bound(upload_, kService);
	EXPECT_GT(bound, 1250 * kKb);
	EXPECT_LT(bound, 1500 * kKb);
}

// A new leader grants before it knows what is in flight, or forgets the bound that
// its gates know.
TEST_F(HubUpload, StartsFromWhatGatesReport)
{
	const hub_upload_bound_t learned = { kService, 800 * kKb };
	const hub_upload_bound_t other = { kService, 500 * kKb };
	hub_upload_bound_t out[HUB_UPLOAD_BOUNDS_MAX];

	Add(1, 1, 500 * kKb);
	hub_upload_reset(upload_, kStart);
	EXPECT_EQ(Bytes(), 0u);
	EXPECT_FALSE(hub_upload_is_settled(upload_, kStart + 999));
	EXPECT_TRUE(hub_upload_is_settled(upload_, kStart + 1000));
	hub_upload_restore_bound(upload_, &learned, kStart);
	hub_upload_restore_bound(upload_, &other, kStart);
	ASSERT_EQ(hub_upload_list_bounds(upload_, out), 1u);
	EXPECT_EQ(out[0].bytes, 800 * kKb);
}

// Callers that find no room come back all at once, or after minutes.
TEST_F(HubUpload, RefusesWithATimeThatFits)
{
	int64_t first;
	int64_t last = 0;

	Add(1, 1, 500 * kKb);
	first = hub_upload_refuse(upload_, kService, kStart);
	for (int i = 0; i < 20; i++)
		last = hub_upload_refuse(upload_, kService, kStart);
	EXPECT_GE(first, 100);
	EXPECT_LE(first, 1000);
	EXPECT_GT(last, first);
	EXPECT_LE(last, 10000);
}

// A bound that a new leader takes over rises at once, as if targets had held nearly
// as much for the usual time.
TEST_F(HubUpload, ABoundTakenOverRisesNoSoonerThanALearnedOne)
{
	const hub_upload_bound_t learned = { kService, 1000 * kKb };

	Add(1, 1, 100 * kKb);
	hub_upload_finish(upload_, 1, 1, HUB_UPLOAD_ANSWERED, kStart + 50);
	hub_upload_restore_bound(upload_, &learned, kStart + 100);
	hub_upload_tick(upload_, kStart + 200);
	EXPECT_EQ(hub_upload_get_bound(upload_, kService), 1000 * kKb);
}
