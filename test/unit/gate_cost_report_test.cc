// Failures guarded against: a report repeats what an earlier one has counted, or
// leaves responses out; a target that is slow is not named, or one of which next to
// nothing is known is; a wrong value of the setting is taken for another.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "gate/gate_cost_report.h"
#include "gate/gate_settings.h"
}

namespace {

const int64_t kNow = 100000;

class GateCostReport : public testing::Test {
      protected:
	// Targets t-0, t-1, ... of one service.
	explicit GateCostReport(int count = 6)
	{
		Tm__Fleet__Table msg = TM__FLEET__TABLE__INIT;
		std::vector<Tm__Fleet__Target> rows((size_t)count);
		std::vector<Tm__Fleet__Target *> pointers;
		std::vector<std::string> ids;
		char service[] = "s1";
		char zone[] = "z1";

		for (int i = 0; i < count; i++)
			ids.push_back("t-" + std::to_string(i));
		for (size_t i = 0; i < rows.size(); i++) {
			tm__fleet__target__init(&rows[i]);
			rows[i].id = (char *)ids[i].c_str();
			rows[i].zone = zone;
			rows[i].service = service;
			rows[i].slots = 4;
			rows[i].born_ms = 1;
			pointers.push_back(&rows[i]);
		}
		msg.term = 1;
		msg.sequence = 1;
		msg.targets = pointers.data();
		msg.n_targets = pointers.size();
		gate_table_apply(table_, &msg, kNow);
		service_ = gate_table_find_service(table_, "s1");
	}

	~GateCostReport() override
	{
		gate_table_destroy(table_);
	}

	gate_target_t *
	Target(int i)
	{
		return (gate_table_find_target(table_,
		    fleet_name_hash(("t-" + std::to_string(i)).c_str())));
	}

	gate_table_t *table_ = gate_table_create("z1", 1);
	gate_service_t *service_ = nullptr;
};

// @return result of gate_settings_load() on the default settings with a change
int
LoadSettings(
    gate_settings_t *settings, const std::string &from, const std::string &to)
{
	std::string text = gate_default_settings;
	std::string path = testing::TempDir() + "gate_settings.json";
	FILE *out = fopen(path.c_str(), "w");
	FILE *errors = tmpfile();
	int err;

	if (!from.empty())
		text.replace(text.find(from), from.size(), to);
	fputs(text.c_str(), out);
	fclose(out);
	err = gate_settings_load(settings, path.c_str(), errors);
	fclose(errors);
	remove(path.c_str());
	return (err);
}

} // namespace

TEST_F(GateCostReport, TakesDifferences)
{
	gate_cost_totals_t totals;

	service_->costs.totals = { 10, 1000, 1200, 3 };
	totals = gate_cost_report_take(service_, kNow);
	EXPECT_EQ(totals.responses, 10u);
	service_->costs.totals = { 15, 1600, 1500, 4 };
	totals = gate_cost_report_take(service_, kNow + 1);
	EXPECT_EQ(totals.responses, 5u);
	EXPECT_EQ(totals.expected_ms, 600u);
	EXPECT_EQ(totals.seen_ms, 300u);
	EXPECT_EQ(totals.missed, 1u);
	gate_cost_report_sum(table_, &totals);
	EXPECT_EQ(totals.responses, 15u);
	EXPECT_EQ(totals.missed, 4u);
}

// Reports come at each tick, or none comes.
TEST_F(GateCostReport, ReportsWhenDue)
{
	gate_cost_report_tick(table_, kNow);
	service_->costs.totals = { 10, 1000, 1200, 3 };
	gate_cost_report_tick(table_, kNow + GATE_COST_REPORT_INTERVAL_MS - 1);
	EXPECT_EQ(service_->costs_reported.responses, 0u);
	gate_cost_report_tick(table_, kNow + GATE_COST_REPORT_INTERVAL_MS);
	EXPECT_EQ(service_->costs_reported.responses, 10u);
	service_->costs.totals.responses = 11;
	gate_cost_report_tick(table_, kNow + GATE_COST_REPORT_INTERVAL_MS + 1);
	EXPECT_EQ(service_->costs_reported.responses, 10u);
}

TEST_F(GateCostReport, NamesSlowestTargets)
{
	gate_cost_slow_t slowest[GATE_COST_SLOWEST_MAX];

	EXPECT_EQ(gate_cost_report_list_slowest(service_, kNow, slowest), 0u);
	service_->costs.speeds.share = 1;
	Target(0)->speed = { 1, 20, kNow };
	Target(1)->speed = { 2, 20, kNow };
	EXPECT_EQ(gate_cost_report_list_slowest(service_, kNow, slowest), 2u);
	Target(2)->speed = { 3, 20, kNow };
	Target(3)->speed = { 0.5, 20, kNow };
	Target(4)->speed = { 1.5, 20, kNow };
	Target(5)->speed = { 4, 1, kNow }; // one response
	EXPECT_EQ(gate_cost_report_list_slowest(service_, kNow, slowest), 3u);
	EXPECT_EQ(slowest[0].target, Target(2));
	EXPECT_EQ(slowest[1].target, Target(1));
	EXPECT_EQ(slowest[2].target, Target(4));
	EXPECT_GT(slowest[0].slowness, 2);
	// Differences that are only noise are not reported.
	service_->costs.speeds.share = 0;
	EXPECT_EQ(gate_cost_report_list_slowest(service_, kNow, slowest), 3u);
	EXPECT_EQ(slowest[0].slowness, 1);
	// What was learned long ago is no longer reported.
	EXPECT_EQ(
	    gate_cost_report_list_slowest(service_, kNow + 240000, slowest),
	    0u);
}

// A misspelt value switches to the other choice without a word.
TEST(GateSettings, ReadsChoice)
{
	const std::string line = "  \"choice\": \"work\",\n";
	gate_settings_t settings;

	EXPECT_EQ(LoadSettings(&settings, "", ""), 0);
	EXPECT_EQ(settings.choice, GATE_CHOICE_BY_WORK);
	EXPECT_EQ(LoadSettings(&settings, line, ""), 0);
	EXPECT_EQ(settings.choice, GATE_CHOICE_BY_WORK);
	EXPECT_EQ(LoadSettings(&settings, "\"work\"", "\"requests\""), 0);
	EXPECT_EQ(settings.choice, GATE_CHOICE_BY_REQUESTS);
	EXPECT_NE(LoadSettings(&settings, "\"work\"", "\"request\""), 0);
}
