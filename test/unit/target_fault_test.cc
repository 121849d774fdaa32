// Failures guarded against: shares that are not drawn as often as set, flapping
// that never stops, a malformed fault that changes the faults in force.
#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "target/target_fault.h"
}

namespace {

int
parse(const char *text, target_fault_t *fault)
{
	json_check_t *check = json_check_create();
	int errors = target_fault_parse(check, text, strlen(text), 1000, fault);

	json_check_destroy(check);
	return errors;
}

} // namespace

TEST(TargetFault, DrawsEachActByItsShare)
{
	const uint64_t seed = 7;
	const int draws = 100000;
	target_fault_t fault;
	int count[TARGET_ACTS] = {};
	rng_t rng;

	rng_init(&rng, seed);
	ASSERT_EQ(parse(R"({"error_share":0.2,"close_share":0.1,)"
			R"("extra_share":0.05})",
		      &fault),
	    0);
	for (int i = 0; i < draws; i++)
		count[target_fault_draw(&fault, &rng, 1000)]++;
	// Six standard deviations of a share of 0.65.
	EXPECT_NEAR(count[TARGET_ACT_NONE], 0.65 * draws, 910);
	EXPECT_NEAR(count[TARGET_ACT_ERROR], 0.2 * draws, 910);
	EXPECT_NEAR(count[TARGET_ACT_CLOSE], 0.1 * draws, 910);
	EXPECT_NEAR(count[TARGET_ACT_EXTRA], 0.05 * draws, 910);
	EXPECT_EQ(count[TARGET_ACT_WRONG], 0);
}

TEST(TargetFault, FlapsByItsPeriod)
{
	target_fault_t fault;

	ASSERT_EQ(parse(R"({"flap_period_ms":200})", &fault), 0);
	EXPECT_EQ(target_fault_is_on(&fault, 1000), 1);
	EXPECT_EQ(target_fault_is_on(&fault, 1099), 1);
	EXPECT_EQ(target_fault_is_on(&fault, 1100), 0);
	EXPECT_EQ(target_fault_is_on(&fault, 1199), 0);
	EXPECT_EQ(target_fault_is_on(&fault, 1200), 1);
}

TEST(TargetFault, KeepsTheFaultsInForceAfterAnError)
{
	target_fault_t fault;

	ASSERT_EQ(parse(R"({"slow_factor":4})", &fault), 0);
	EXPECT_EQ(parse(R"({"slow_factor":"x","speling":1})", &fault), 2);
	EXPECT_EQ(parse(R"({"error_share":0.6,"wrong_share":0.6})", &fault), 1);
	EXPECT_EQ(parse("", &fault), 1);
	EXPECT_DOUBLE_EQ(fault.slow_factor, 4);
	ASSERT_EQ(parse("{}", &fault), 0);
	EXPECT_DOUBLE_EQ(fault.slow_factor, 1);
}
