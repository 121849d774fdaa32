// Failures guarded against: a configuration of the target size that does not
// fit the memory of an entry VM, also after an hour in which nearly all
// workspaces had a request, counts that are lost when workspaces are evicted,
// and timers whose cost grows with the size.
#include <gtest/gtest.h>

#include "../scenario/target_size.h"

namespace {

constexpr double kMegabyte = 1024.0 * 1024.0;

target_size_t
part_of_target_size(uint32_t quarters)
{
	target_size_t size = {};

	size.nodes = 740 * quarters / 4;
	size.workspaces = 47000 * quarters / 4;
	size.routes = 7200 * quarters / 4;
	size.services = 160 * quarters / 4;
	size.targets = 6100 * quarters / 4;
	size.used_workspaces = 1000 * quarters / 4;
	return size;
}

void
print(const char *name, uint32_t quarters, double value, const char *unit)
{
	printf("target_size_%u_of_4_%s %.4g %s\n", quarters, name, value, unit);
}

// The budgets of the target size per node: 32 MB and 1.2 % of a core.
TEST(TargetSize, OneEntryVmFitsTheBudget)
{
	for (uint32_t quarters : { 1u, 2u, 4u }) {
		target_size_t size = part_of_target_size(quarters);
		target_size_result_t result = {};

		ASSERT_EQ(target_size_measure(&size, &result), 0);
		double all = result.base_bytes + result.config_bytes +
		    result.table_bytes;
		print("base", quarters, result.base_bytes / kMegabyte, "MB");
		print("configuration", quarters,
		    result.config_bytes / kMegabyte, "MB");
		print("tables", quarters, result.table_bytes / kMegabyte, "MB");
		print("all", quarters, all / kMegabyte, "MB");
		print("used_workspace", quarters,
		    result.used_bytes / size.used_workspaces, "B");
		print("hour_of_use", quarters, result.hour_bytes / kMegabyte,
		    "MB");
		print("hour_workspaces", quarters, result.hour_workspaces, "");
		EXPECT_EQ(result.hour_counted, result.hour_requests);
		print("tick", quarters, result.tick_us, "us");
		print(
		    "ticks_share", quarters, result.tick_us / 10000 * 100, "%");
		EXPECT_LE((all + result.hour_bytes) / kMegabyte, 32);
		print("leaderless_tick", quarters, result.leaderless_tick_us,
		    "us");
		EXPECT_LE(result.leaderless_tick_us / 10000 * 100, 1.2);
		EXPECT_LE(result.tick_us / 10000 * 100, 1.2);
	}
}

} // namespace
