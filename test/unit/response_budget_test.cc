// Failures guarded against: large responses together take more memory than they
// may; responses without a length leave nothing for the others; memory that was
// released stays counted.
#include <gtest/gtest.h>

extern "C" {
#include "http/response_budget.h"
}

namespace {

const size_t kLimit = 1000;

response_budget_t
Budget()
{
	response_budget_t budget = {};

	budget.limit_bytes = kLimit;
	return (budget);
}

} // namespace

TEST(ResponseBudget, SumIsBounded)
{
	response_budget_t budget = Budget();
	response_reservation_t a = {}, b = {}, c = {};

	EXPECT_TRUE(response_budget_reserve(&budget, &a, 600, 0));
	EXPECT_FALSE(response_budget_reserve(&budget, &b, 401, 0));
	EXPECT_EQ(b.bytes, 0u);
	EXPECT_TRUE(response_budget_reserve(&budget, &b, 400, 0));
	response_budget_unreserve(&budget, &a);
	response_budget_hold(&budget, 600);
	EXPECT_FALSE(response_budget_reserve(&budget, &c, 1, 0));
	response_budget_release(&budget, 600);
	response_budget_unreserve(&budget, &b);
	response_budget_unreserve(&budget, &b);
	EXPECT_TRUE(response_budget_reserve(&budget, &c, kLimit, 0));
}

TEST(ResponseBudget, ResponsesWithoutALengthGetHalf)
{
	response_budget_t budget = Budget();
	response_reservation_t a = {}, b = {}, c = {};

	EXPECT_TRUE(response_budget_reserve(&budget, &a, 500, 1));
	EXPECT_FALSE(response_budget_reserve(&budget, &b, 1, 1));
	EXPECT_TRUE(response_budget_reserve(&budget, &c, 500, 0));
	response_budget_unreserve(&budget, &a);
	EXPECT_TRUE(response_budget_reserve(&budget, &b, 1, 1));
}
