// Failures guarded against: a VM that misses a service table because a peer's
// version of it is not compared, and one message per service again.
#include <gtest/gtest.h>

#include "../scenario/entry_tables_check.h"

namespace {

TEST(EntryTables, VersionsOfManyServicesGoInOneMessage)
{
	ASSERT_EQ(entry_tables_start(100), 0);
	entry_tables_load(5);
	EXPECT_EQ(entry_tables_deliver(5), 0u) << "equal versions";
	EXPECT_EQ(entry_tables_deliver(4), 1u) << "the peer needs the table";
	EXPECT_EQ(entry_tables_deliver(6), 1u) << "this VM asks for the table";
	EXPECT_EQ(entry_tables_deliver_garbage(), 0u);
	EXPECT_EQ(entry_tables_run_tick(10000), 1u);
	EXPECT_EQ(entry_tables_run_tick(10100), 0u) << "before 400 ms";
	EXPECT_EQ(entry_tables_run_tick(10400), 1u);
}

} // namespace
