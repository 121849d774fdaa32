// Failures guarded against: a gate without a leader sends more than its share of the
// bound; what ends is not reported, or reported again; small requests, or those of
// a deployment without uploads, wait for permits.
#include <gtest/gtest.h>

extern "C" {
#include "gate/gate_upload.h"
}

namespace {

const uint64_t kService = 5;
const int64_t kStart = 1000000;

class GateUpload : public testing::Test {
      protected:
	GateUpload() : upload_(gate_upload_create())
	{
	}
	~GateUpload() override
	{
		gate_upload_destroy(upload_);
	}

	void
	SetBound(uint64_t bytes)
	{
		Tm__Fleet__UploadBound bound = TM__FLEET__UPLOAD_BOUND__INIT;
		Tm__Fleet__UploadBound *bounds[] = { &bound };

		bound.service = kService;
		bound.bytes = bytes;
		gate_upload_set_bounds(upload_, bounds, 1);
	}

	static gate_upload_item_t
	Item(uint64_t target, uint32_t bytes)
	{
		return (gate_upload_item_t{
		    target, 100, kService, bytes, kStart + 5000 });
	}

	bool
	HasShare(uint64_t target, uint32_t bytes)
	{
		const gate_upload_item_t item = Item(target, bytes);
		const gate_upload_fleet_t fleet = { 10, 20 };

		return (gate_upload_has_share(upload_, &item, &fleet) != 0);
	}

	uint32_t
	Begin(uint64_t target, uint32_t bytes)
	{
		const gate_upload_item_t item = Item(target, bytes);

		return (gate_upload_begin(upload_, &item));
	}

	gate_upload_t *upload_;
};

} // namespace

// Small requests, or those of a deployment without uploads, wait for permits.
TEST_F(GateUpload, CountsLargeRequestsOnly)
{
	EXPECT_FALSE(gate_upload_counts(1, 16384));
	EXPECT_TRUE(gate_upload_counts(1, 16385));
	EXPECT_FALSE(gate_upload_counts(0, 1000000));
}

// All gates that lost their leader send as much as one may.
TEST_F(GateUpload, KeepsToItsShareWithoutALeader)
{
	EXPECT_TRUE(HasShare(1, 5000000));
	// Half of 1 MB over 10 gates: 50 kB at a target, 1 MB over 20 targets.
	SetBound(1000000);
	EXPECT_TRUE(HasShare(1, 40000));
	Begin(1, 40000);
	EXPECT_FALSE(HasShare(1, 40000));
	EXPECT_TRUE(HasShare(1, 10000));
	// One request above the share is sent where the gate has none.
	EXPECT_TRUE(HasShare(2, 300000));
	EXPECT_FALSE(HasShare(2, 1300000));
	Begin(2, 900000);
	EXPECT_FALSE(HasShare(3, 300000));
}

// A leader that knows no bound yet takes the gates' one away.
TEST_F(GateUpload, KeepsBoundsThatANewLeaderLacks)
{
	SetBound(1000000);
	gate_upload_set_bounds(upload_, NULL, 0);
	EXPECT_EQ(gate_upload_get_bound(upload_, kService), 1000000u);
	EXPECT_EQ(gate_upload_get_bound(upload_, kService + 1), 0u);
}

// An end is not reported, or what runs is not told a new leader.
TEST_F(GateUpload, ReportsEndsOnceAndWhatRuns)
{
	Tm__Fleet__Uploads msg;
	uint32_t first = Begin(1, 40000);
	uint32_t second = Begin(2, 50000);

	EXPECT_FALSE(gate_upload_fill(upload_, 0, kStart, &msg));
	gate_upload_finish(upload_, first, GATE_UPLOAD_BROKEN);
	gate_upload_finish(upload_, first, GATE_UPLOAD_ANSWERED);
	ASSERT_TRUE(gate_upload_fill(upload_, 1, kStart, &msg));
	ASSERT_EQ(msg.n_broken, 1u);
	EXPECT_EQ(msg.broken[0], first);
	EXPECT_EQ(msg.n_answered, 0u);
	ASSERT_EQ(msg.n_running, 1u);
	EXPECT_EQ(msg.running[0]->id, second);
	EXPECT_EQ(msg.running[0]->target, 2u);
	EXPECT_EQ(msg.running[0]->bytes, 50000u);
	EXPECT_EQ(msg.running[0]->left_ms, 5000u);
	gate_upload_clear_report(upload_);
	EXPECT_FALSE(gate_upload_has_ends(upload_));
	// One past its deadline is none.
	EXPECT_FALSE(gate_upload_fill(upload_, 1, kStart + 5000, &msg));
}
