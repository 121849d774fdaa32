// Failures guarded against: one workspace with a long queue delays the others,
// requests are executed after their deadlines, limits of shares are ignored,
// queues grow without bound.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

extern "C" {
#include "base/error.h"
#include "base/rng.h"
#include "queue/fair_queue.h"
}

namespace {

struct QueueTest : testing::Test {
	fair_queue_t *queue = fair_queue_create(1000000);
	std::vector<fair_item_t> items = std::vector<fair_item_t>(60000);
	size_t used = 0;

	~QueueTest() override
	{
		fair_queue_destroy(queue);
	}
	int
	push(uint64_t workspace, int64_t deadline = 1000)
	{
		return fair_queue_push(
		    queue, &items[used++], workspace, deadline, 0);
	}
};

bool
dropItem(std::vector<fair_item_t *> &list, fair_item_t *item)
{
	auto found = std::find(list.begin(), list.end(), item);

	if (found == list.end())
		return false;
	list.erase(found);
	return true;
}

} // namespace

TEST_F(QueueTest, LargeWorkspaceDoesNotDelayOthers)
{
	std::map<uint64_t, int> got;

	for (int i = 0; i < 200; i++)
		ASSERT_EQ(push(1), 0);
	for (uint64_t w = 2; w <= 5; w++)
		for (int i = 0; i < 10; i++)
			ASSERT_EQ(push(w), 0);
	std::map<fair_item_t *, uint64_t> owner;
	for (size_t i = 0; i < used; i++)
		owner[&items[i]] = i < 200 ? 1 : 2 + (i - 200) / 10;
	for (int i = 0; i < 60; i++) {
		fair_item_t *item = fair_queue_release(queue, 0);
		ASSERT_NE(item, nullptr);
		got[owner[item]]++;
	}
	for (uint64_t w = 2; w <= 5; w++)
		EXPECT_EQ(got[w], 10);
}

TEST_F(QueueTest, ShareLimitsRunningRequestsUntilItEnds)
{
	for (int i = 0; i < 5; i++)
		push(1, 9000);
	fair_queue_set_share(queue, 1, 2, 500);
	fair_item_t *first = fair_queue_release(queue, 0);
	EXPECT_NE(fair_queue_release(queue, 0), nullptr);
	EXPECT_EQ(fair_queue_release(queue, 0), nullptr);
	fair_queue_finish(queue, first);
	EXPECT_NE(fair_queue_release(queue, 0), nullptr);
	EXPECT_EQ(fair_queue_release(queue, 499), nullptr);
	EXPECT_NE(fair_queue_release(queue, 500), nullptr);
}

TEST_F(QueueTest, ExpiredAndLateRequestsAreNotReleased)
{
	push(1, 300);
	push(1, 100);
	push(2, 200);
	fair_queue_set_reserve(queue, 50);
	EXPECT_EQ(fair_queue_take_expired(queue, 49), nullptr);
	EXPECT_EQ(fair_queue_take_expired(queue, 150), &items[1]);
	EXPECT_EQ(fair_queue_take_expired(queue, 150), &items[2]);
	EXPECT_EQ(fair_queue_take_expired(queue, 150), nullptr);
	EXPECT_EQ(fair_queue_get_waiting(queue), 1u);
	EXPECT_EQ(fair_queue_push(queue, &items[9], 1, 5, 5), TM_ETIMEDOUT);
}

// Guards against a request with a short deadline of its caller that is refused
// on an idle VM, because half of the profile's deadline is reserved.
TEST_F(QueueTest, ShortDeadlinesOfCallersAreServed)
{
	fair_queue_set_reserve(queue, 750);
	push(1, 300);
	EXPECT_EQ(fair_queue_take_expired(queue, 0), nullptr);
	EXPECT_EQ(fair_queue_take_expired(queue, 149), nullptr);
	EXPECT_EQ(fair_queue_take_expired(queue, 150), &items[0]);
	push(1, 300);
	EXPECT_EQ(fair_queue_release(queue, 0), &items[1]);
}

TEST_F(QueueTest, BoundsRejectInsteadOfGrowing)
{
	for (int i = 0; i < FAIR_QUEUE_WORKSPACE_MAX; i++)
		ASSERT_EQ(push(1), 0);
	EXPECT_EQ(push(1), TM_EFULL);
	EXPECT_EQ(push(2), 0);
}

TEST_F(QueueTest, RunningLimitAndReturnKeepTheOrder)
{
	push(1);
	push(1);
	fair_queue_set_limit(queue, 1);
	fair_item_t *item = fair_queue_release(queue, 0);
	EXPECT_EQ(item, &items[0]);
	EXPECT_EQ(fair_queue_release(queue, 0), nullptr);
	fair_queue_requeue(queue, item);
	EXPECT_EQ(fair_queue_get_running(queue), 0u);
	EXPECT_EQ(fair_queue_release(queue, 0), &items[0]);
}

// Random operations against a simple model; the seed is printed.
TEST_F(QueueTest, CountsAgreeWithAModel)
{
	const uint64_t seed = 20261204;
	std::vector<fair_item_t *> waiting;
	std::vector<fair_item_t *> running;
	rng_t rng;

	printf("seed %lu\n", (unsigned long)seed);
	rng_init(&rng, seed);
	for (int64_t now = 0; now < 20000; now++) {
		uint64_t op = rng_below(&rng, 10);
		if (op < 4) {
			fair_item_t *item = &items[used++];
			if (fair_queue_push(queue, item, rng_below(&rng, 40),
				now + 1 + (int64_t)rng_below(&rng, 300),
				now) == 0)
				waiting.push_back(item);
		} else if (op < 7) {
			fair_item_t *item = fair_queue_release(queue, now);
			if (item != nullptr) {
				running.push_back(item);
				ASSERT_TRUE(dropItem(waiting, item));
			}
		} else if (op == 7 && !running.empty()) {
			fair_queue_finish(queue, running.back());
			running.pop_back();
		} else if (op == 8 && !waiting.empty()) {
			size_t i = rng_below(&rng, waiting.size());
			fair_queue_remove(queue, waiting[i]);
			waiting.erase(waiting.begin() + (long)i);
		} else {
			fair_queue_set_share(queue, rng_below(&rng, 40),
			    (int32_t)rng_below(&rng, 4) - 1, now + 50);
		}
		fair_item_t *item;
		while (
		    (item = fair_queue_take_expired(queue, now)) != nullptr) {
			ASSERT_LE(item->deadline_ms, now);
			ASSERT_TRUE(dropItem(waiting, item));
		}
		ASSERT_EQ(fair_queue_get_waiting(queue), waiting.size());
		ASSERT_EQ(fair_queue_get_running(queue), running.size());
	}
}

// Guards against an operation whose cost grows with the number of workspaces.
TEST_F(QueueTest, CostWithManyWorkspaces)
{
	using clock = std::chrono::steady_clock;
	const int rounds = 10000;
	size_t next = 0;

	for (uint64_t w = 0; w < 47000; w++) {
		fair_item_t *item = &items[w];
		ASSERT_EQ(fair_queue_push(queue, item, w, 1000000, 0),
		    w < FAIR_QUEUE_TOTAL_MAX ? 0 : TM_EFULL);
	}
	auto start = clock::now();
	for (int i = 0; i < rounds; i++) {
		fair_item_t *item = fair_queue_release(queue, 1);
		ASSERT_NE(item, nullptr);
		fair_queue_finish(queue, item);
		fair_queue_push(queue, &items[50000 + next++ % 9000],
		    47000 + (uint64_t)i, 1000000 + i, 1);
		if (next % 9000 == 0)
			break;
	}
	double ns =
	    std::chrono::duration<double, std::nano>(clock::now() - start)
		.count();
	printf("queue_cycle_47000_workspaces %.0f ns\n", ns / (double)next);
}

// Guards against a request that waits for rate tokens and still counts as
// running, which blocks other workspaces, and against counts that drift when it
// resumes.
TEST(QueueRunning, FinishAndResumeKeepTheCounts)
{
	fair_queue_t *queue = fair_queue_create(1);
	fair_item_t waiting = {};
	fair_item_t other = {};

	ASSERT_EQ(fair_queue_push(queue, &waiting, 1, 1000, 0), 0);
	ASSERT_EQ(fair_queue_push(queue, &other, 2, 1000, 0), 0);
	ASSERT_EQ(fair_queue_release(queue, 0), &waiting);
	EXPECT_EQ(fair_queue_release(queue, 0), nullptr);
	fair_queue_finish(queue, &waiting);
	EXPECT_EQ(fair_queue_release(queue, 0), &other);
	ASSERT_EQ(fair_queue_resume(queue, &waiting, 1), 0);
	EXPECT_EQ(fair_queue_get_running(queue), 2u);
	fair_queue_finish(queue, &waiting);
	fair_queue_finish(queue, &other);
	EXPECT_EQ(fair_queue_get_running(queue), 0u);
	fair_queue_destroy(queue);
}
