// Failures guarded against: forecasts that explain nothing of what is seen count;
// real differences do not, or only after long; differences of the past count for
// long after they are gone; a forecast is exaggerated.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

extern "C" {
#include "gate/gate_cost_fit.h"
}

namespace {

class GateCostFit : public testing::Test {
      protected:
	// Responses with a spread of 0.8. Of each, the logarithm of the forecast
	// has a spread, and what is seen follows a part of it.
	void
	Record(int count, double forecast_spread, double followed)
	{
		std::normal_distribution<double> normal(0, 1);

		for (int i = 0; i < count; i++) {
			double forecast = forecast_spread * normal(random_);
			gate_cost_sample_t sample = {};

			sample.forecast = std::exp(forecast);
			sample.seen = std::exp(
			    followed * forecast + 0.8 * normal(random_));
			sample.weight = 1;
			sample.now_ms = now_ += 50;
			gate_cost_fit_record(&fit_, &sample);
		}
	}

	std::mt19937_64 random_{ 1 };
	int64_t now_ = 1000;
	gate_cost_fit_t fit_ = {};
};

} // namespace

// Each of 1,000 gates, at ten moments; 0.6 % may be wrong by chance.
TEST_F(GateCostFit, NoiseDoesNotCount)
{
	int counted = 0;

	for (int gate = 0; gate < 1000; gate++) {
		fit_ = {};
		for (int k = 0; k < 10; k++) {
			Record(25, 0.15, 0);
			counted += fit_.share > 0;
		}
	}
	printf("noise counted %d times of 10,000\n", counted);
	EXPECT_LE(counted, 100);
}

TEST_F(GateCostFit, DifferencesCountAfterSomeResponses)
{
	double shares = 0;

	for (int gate = 0; gate < 100; gate++) {
		fit_ = {};
		Record(100, 0.57, 1); // as of speeds 1 : 2 : 4
		shares += fit_.share / 100;
	}
	EXPECT_GE(shares, 0.5);
	Record(1000, 0.57, 1);
	EXPECT_GT(fit_.share, 0.9);
}

// Half of what was forecast comes true.
TEST_F(GateCostFit, CountsAsFarAsForecastsComeTrue)
{
	Record(5000, 0.57, 0.5);
	EXPECT_NEAR(fit_.share, 0.5, 0.15);
}

TEST_F(GateCostFit, ForgetsDifferences)
{
	Record(2000, 0.57, 1);
	Record(6000, 0.57, 0); // 300 s
	EXPECT_LT(fit_.share, 0.1);
}

TEST_F(GateCostFit, AppliesWithinTheForecast)
{
	EXPECT_EQ(gate_cost_fit_apply(&fit_, 3), 1);
	Record(1000, 0.57, 2); // more than was forecast
	EXPECT_EQ(fit_.share, 1);
	EXPECT_DOUBLE_EQ(gate_cost_fit_apply(&fit_, 3), 3);
	EXPECT_DOUBLE_EQ(gate_cost_fit_apply(&fit_, 0.3), 0.3);
	fit_.share = 0.5;
	EXPECT_DOUBLE_EQ(gate_cost_fit_apply(&fit_, 4), 2);
}

// Responses of one workspace in a row count less.
TEST_F(GateCostFit, WeighsResponses)
{
	gate_cost_fit_t full = {};
	gate_cost_fit_t part = {};

	for (int i = 0; i < 30; i++) {
		gate_cost_sample_t sample = {};

		sample.forecast = i % 2 == 0 ? 2 : 0.5;
		sample.seen = sample.forecast;
		sample.weight = 1;
		sample.now_ms = now_;
		gate_cost_fit_record(&full, &sample);
		sample.weight = 0.25;
		gate_cost_fit_record(&part, &sample);
	}
	EXPECT_GT(full.share, 0.9);
	EXPECT_EQ(part.share, 0);
}
