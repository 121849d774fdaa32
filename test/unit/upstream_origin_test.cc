// Failures guarded against: a new connection is put down to a cause that had no
// effect on it, or the same lost connection explains two new ones.
#include "upstream_fixture.h"

namespace {

const int64_t kNow = 100000;
const int64_t kReuse = 8500;

class UpstreamOrigin : public testing::Test {
      protected:
	upstream_origin_t
	Decide(int64_t now_ms = kNow)
	{
		return (upstream_origin_decide(
		    &ends_, &opening_, now_ms, &replaces_idle_));
	}

	upstream_ends_t ends_ = {};
	upstream_opening_t opening_ = { 0, 0, UPSTREAM_ORIGIN_REUSED, 1,
		kReuse };
	int replaces_idle_ = -1;
};

class UpstreamOpening : public Upstream {};

} // namespace

TEST_F(UpstreamOrigin, PutsItDownToBusyOnesIfNoneWasLost)
{
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_BUSY);
	EXPECT_EQ(replaces_idle_, 0);
	opening_.busy = 0;
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_IDLE);
}

TEST_F(UpstreamOrigin, UsesEachEndOnceTheLatestFirst)
{
	upstream_ends_add(&ends_, UPSTREAM_ORIGIN_FAILED, kNow - 200);
	upstream_ends_add(&ends_, UPSTREAM_ORIGIN_CLOSED_IDLE, kNow - 100);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_CLOSED_IDLE);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_FAILED);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_BUSY);
}

// A connection that failed long ago could not have been reused in any case.
TEST_F(UpstreamOrigin, TakesAnOldEndForAnIdleConnection)
{
	upstream_ends_add(&ends_, UPSTREAM_ORIGIN_FAILED, kNow - kReuse);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_FAILED);
	upstream_ends_add(&ends_, UPSTREAM_ORIGIN_FAILED, kNow - kReuse - 1);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_IDLE);
	upstream_ends_add(
	    &ends_, UPSTREAM_ORIGIN_FAILED, kNow - UPSTREAM_END_KEPT_MS - 1);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_BUSY);
}

TEST_F(UpstreamOrigin, KeepsTheDocumentedOrder)
{
	upstream_ends_add(&ends_, UPSTREAM_ORIGIN_CANCELLED, kNow);
	opening_.is_first = opening_.is_barred = 1;
	opening_.idle = UPSTREAM_ORIGIN_IDLE_LEARNED;
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_FIRST);
	opening_.is_first = 0;
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_ID);
	opening_.is_barred = 0;
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_CANCELLED);
	EXPECT_EQ(replaces_idle_, 0);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_IDLE_LEARNED);
	EXPECT_EQ(replaces_idle_, 1);
	opening_.idle = UPSTREAM_ORIGIN_REUSED;
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_BUSY);
}

// Writes past the end of the list.
TEST_F(UpstreamOrigin, ForgetsTheOldestOfManyEnds)
{
	upstream_ends_add(&ends_, UPSTREAM_ORIGIN_FAILED, kNow);
	for (int i = 0; i < UPSTREAM_ENDS_MAX; i++)
		upstream_ends_add(&ends_, UPSTREAM_ORIGIN_DROPPED, kNow);
	for (int i = 0; i < UPSTREAM_ENDS_MAX; i++)
		EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_DROPPED);
	EXPECT_EQ(Decide(), UPSTREAM_ORIGIN_BUSY);
}

// A new connection is put down to the wrong cause, so that the wrong thing is
// changed to have fewer of them.
TEST_F(UpstreamOpening, SaysWhyAConnectionIsOpened)
{
	Outcome out[8];
	upstream_call_t *call = Start(&out[0], get);

	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_FIRST);
	call = Start(&out[1], get);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_BUSY);
	Await(0, get)->Send(hello);
	RunUntil([&] { return out[0].done == 1; });
	call = Start(&out[2], get);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_REUSED);
	upstream_call_cancel(call);
	call = Start(&out[3], get);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_CANCELLED);
	Await(1, get)->Close();
	RunUntil([&] { return out[1].done == 1; });
	call = Start(&out[4], get);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_FAILED);
	Await(2, get)->Send(
	    ok + "Connection: close\r\nContent-Length: 0\r\n\r\n");
	RunUntil([&] { return out[3].done == 1; });
	call = Start(&out[5], get);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_CLOSED_LAST);
	Await(3, get)->Send(hello);
	RunUntil([&] { return out[4].done == 1; });
	peers[3]->Close();
	RunFor(20);
	call = Start(&out[6], get);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_CLOSED_IDLE);
	call = Start(&out[7], get);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_BUSY);
	for (size_t peer = 4; peer < 7; peer++)
		Await(peer, get)->Send(hello);
	RunUntil([&] { return out[5].done + out[6].done + out[7].done == 3; });
}

// The same connection that was idle for too long explains two new ones: when the
// first of them is opened, and when it is closed.
TEST_F(UpstreamOpening, CountsAConnectionThatWasIdleForTooLongOnce)
{
	Outcome out[4];
	upstream_call_t *call;

	idle_close_ms = 1500;
	Start(&out[0], get);
	Await(0, get)->Send(hello);
	RunUntil([&] { return out[0].done == 1; });
	RunFor(1100);
	call = Start(&out[1], get, 0, 1);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_IDLE);
	RunFor(500);
	upstream_tick(upstream, clock_now_ms());
	RunUntil([&] { return peers[0]->is_ended == 1; });
	call = Start(&out[2], get, 0, 1);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_BUSY);
	Await(1, get)->Send(hello);
	Await(2, get)->Send(hello);
	RunUntil([&] { return out[1].done + out[2].done == 2; });
	RunFor(1600);
	upstream_tick(upstream, clock_now_ms());
	RunUntil([&] { return upstream_get_total(upstream) == 0; });
	call = Start(&out[3], get, 0, 1);
	EXPECT_EQ(upstream_call_get_origin(call), UPSTREAM_ORIGIN_IDLE);
	Await(3, get)->Send(hello);
	RunUntil([&] { return out[3].done == 1; });
}
