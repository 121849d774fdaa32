// Failures guarded against: entries lost after a restart; corruption mistaken
// for an incomplete write, or the reverse; success reported without fsync; a
// new disk id in a folder that lost its own; two processes that use one folder.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "base/log.h"
#include "store/store.h"
}

namespace fs = std::filesystem;

class Store : public testing::Test {
      protected:
	void
	SetUp() override
	{
		char text[] = "/tmp/tm-store-XXXXXX";

		log_configure(fopen("/dev/null", "w"), LOG_LEVEL_ERROR, "test");
		path = std::string(mkdtemp(text)) + "/data";
	}

	void
	TearDown() override
	{
		store_close(store);
		fs::remove_all(fs::path(path).parent_path());
		log_configure(stderr, LOG_LEVEL_INFO, "");
	}

	int
	open(size_t segment_bytes = 0)
	{
		faults = { -1, -1, 0 };
		return (open_with_faults(segment_bytes));
	}

	int
	open_with_faults(size_t segment_bytes = 0)
	{
		store_options_t options = { path.c_str(), segment_bytes,
			&faults };

		store_close(store);
		store = nullptr;
		int err = store_open(&store, &options);
		if (err == TM_OK)
			storage = store_get_storage(store);
		return (err);
	}

	int
	append(uint64_t first, int count, size_t len = 20)
	{
		std::string data(len, 'x');
		std::vector<raft_entry_t> entries;

		for (int i = 0; i < count; i++)
			entries.push_back({ first + i, 1, RAFT_KIND_DATA,
			    (const uint8_t *)data.data(), len });
		return (storage.append(
		    storage.ctx, entries.data(), entries.size()));
	}

	int
	save_snapshot(uint64_t index, const std::string &data)
	{
		raft_snapshot_t snapshot = {};

		snapshot.index = index;
		snapshot.term = 1;
		snapshot.voters[0] = { 7, 8 };
		snapshot.voter_count = 1;
		snapshot.data = (const uint8_t *)data.data();
		snapshot.len = data.size();
		return (storage.save_snapshot(storage.ctx, &snapshot));
	}

	uint64_t
	count()
	{
		return (store_get_restore(store)->entry_count);
	}

	std::string
	segment(int number)
	{
		char name[32];

		snprintf(name, sizeof(name), "/wal-%016x", number);
		return (path + name);
	}

	void
	flip(const std::string &file, long offset)
	{
		std::fstream io(
		    file, std::ios::in | std::ios::out | std::ios::binary);
		char byte;

		io.seekg(offset);
		io.get(byte);
		io.seekp(offset);
		io.put((char)(byte ^ 1));
	}

	std::string path;
	store_t *store = nullptr;
	store_faults_t faults = { -1, -1, 0 };
	raft_storage_t storage = {};
};

TEST_F(Store, KeepsEverythingOverRestarts)
{
	ASSERT_EQ(TM_OK, open());
	uint64_t disk_id = store_get_disk_id(store);
	EXPECT_NE(RAFT_DISK_NONE, disk_id);
	EXPECT_EQ(TM_OK, append(1, 10));
	EXPECT_EQ(TM_OK, storage.truncate(storage.ctx, 8));
	EXPECT_EQ(TM_OK, append(8, 1));
	EXPECT_EQ(TM_OK, storage.save_vote(storage.ctx, 5, 77));
	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(disk_id, store_get_disk_id(store));
	EXPECT_EQ(8u, count());
	EXPECT_EQ(5u, store_get_restore(store)->term);
	EXPECT_EQ(77u, store_get_restore(store)->vote);
}

TEST_F(Store, SnapshotReplacesSegmentsAndMayLeaveGap)
{
	ASSERT_EQ(TM_OK, open(1000));
	for (int i = 0; i < 100; i++)
		ASSERT_EQ(TM_OK, append(1 + i, 1, 100));
	EXPECT_GT(store_get_segment_count(store), 10);
	EXPECT_EQ(TM_OK, save_snapshot(90, "old"));
	EXPECT_LT(store_get_segment_count(store), 4);
	ASSERT_EQ(TM_OK, open(1000));
	EXPECT_EQ(90u, store_get_restore(store)->snapshot.index);
	EXPECT_EQ(10u, count());
	EXPECT_EQ(91u, store_get_restore(store)->entries[0].index);
	EXPECT_EQ(TM_OK, save_snapshot(500, "new"));
	EXPECT_EQ(TM_OK, append(501, 3));
	ASSERT_EQ(TM_OK, open(1000));
	const raft_snapshot_t *snapshot = &store_get_restore(store)->snapshot;
	EXPECT_EQ(500u, snapshot->index);
	EXPECT_EQ("new", std::string((char *)snapshot->data, snapshot->len));
	EXPECT_EQ(8u, snapshot->voters[0].disk_id);
	EXPECT_EQ(3u, count());
	int files = 0;
	for (auto &item : fs::directory_iterator(path))
		files += item.path().filename().string()[0] == 's';
	EXPECT_EQ(1, files);
}

// A crash may leave any prefix of the last write.
TEST_F(Store, TornTailIsCutAtEveryLength)
{
	ASSERT_EQ(TM_OK, open());
	ASSERT_EQ(TM_OK, append(1, 3));
	auto before = fs::file_size(segment(1));
	ASSERT_EQ(TM_OK, append(4, 2));
	auto after = fs::file_size(segment(1));
	fs::copy(segment(1), path + "/../saved");
	for (auto size = before; size < after; size++) {
		store_close(store);
		store = nullptr;
		fs::copy_file(path + "/../saved", segment(1),
		    fs::copy_options::overwrite_existing);
		fs::resize_file(segment(1), size);
		ASSERT_EQ(TM_OK, open()) << size;
		EXPECT_EQ(3u, count()) << size;
		EXPECT_EQ(before, fs::file_size(segment(1)));
		ASSERT_EQ(TM_OK, append(4, 1));
	}
	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(4u, count());
}

TEST_F(Store, CorruptionBeforeTheEndIsReported)
{
	ASSERT_EQ(TM_OK, open());
	ASSERT_EQ(TM_OK, append(1, 1));
	auto first_end = fs::file_size(segment(1));
	ASSERT_EQ(TM_OK, append(2, 1));
	for (long at = 0; at < (long)first_end; at++) {
		flip(segment(1), at);
		EXPECT_EQ(TM_ECORRUPT, open()) << at;
		flip(segment(1), at);
	}
	EXPECT_EQ(TM_OK, open());
	EXPECT_EQ(2u, count());
}

TEST_F(Store, MissingOrCutSegmentIsReported)
{
	ASSERT_EQ(TM_OK, open(100));
	for (int i = 0; i < 5; i++)
		ASSERT_EQ(TM_OK, append(1 + i, 1, 100));
	fs::rename(segment(3), path + "/saved");
	EXPECT_EQ(TM_ECORRUPT, open(100));
	fs::rename(path + "/saved", segment(3));
	EXPECT_EQ(TM_OK, open(100));
	fs::resize_file(segment(3), fs::file_size(segment(3)) - 1);
	EXPECT_EQ(TM_ECORRUPT, open(100));
}

TEST_F(Store, CorruptSmallFilesAreReported)
{
	ASSERT_EQ(TM_OK, open());
	ASSERT_EQ(TM_OK, storage.save_vote(storage.ctx, 5, 77));
	ASSERT_EQ(TM_OK, save_snapshot(3, "state"));
	for (const char *name :
	    { "/vote", "/disk-id", "/snapshot-0000000000000003" }) {
		flip(path + name, 20);
		EXPECT_EQ(TM_ECORRUPT, open()) << name;
		flip(path + name, 20);
	}
	fs::remove(path + "/disk-id");
	EXPECT_EQ(TM_ECORRUPT, open());
	EXPECT_FALSE(fs::exists(path + "/disk-id"));
}

TEST_F(Store, FailedSyncIsReportedAndFinal)
{
	ASSERT_EQ(TM_OK, open());
	ASSERT_EQ(TM_OK, append(1, 1));
	faults.syncs_until_failure = 0;
	EXPECT_EQ(TM_EIO, append(2, 1));
	faults.syncs_until_failure = -1;
	EXPECT_EQ(TM_EIO, append(2, 1));
	EXPECT_EQ(TM_EIO, storage.truncate(storage.ctx, 1));
	/* What was not synced may be in the page cache only. */
	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(count(), 1u);
}

// The page cache may show a vote whose sync failed; after a loss of power the
// node would vote again in the same term.
TEST_F(Store, AVoteIsSyncedAgainAtTheStart)
{
	ASSERT_EQ(TM_OK, open());
	faults.syncs_until_failure = 1;
	EXPECT_EQ(TM_EIO, storage.save_vote(storage.ctx, 2, 2));
	faults.syncs_until_failure = 0;
	EXPECT_EQ(TM_EIO, open_with_faults());
	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(2u, store_get_restore(store)->term);
}

TEST_F(Store, ShortWriteLosesNothingThatWasAccepted)
{
	for (int64_t limit = 0; limit < 64; limit++) {
		ASSERT_EQ(TM_OK, open());
		uint64_t have = count();
		ASSERT_EQ(TM_OK, append(have + 1, 1));
		faults.writable_bytes = limit;
		EXPECT_EQ(TM_EIO, append(have + 2, 1, 50));
		ASSERT_EQ(TM_OK, open());
		EXPECT_EQ(have + 1, count());
	}
}

// A crash at any point of writing a snapshot or vote leaves the old or new one.
TEST_F(Store, FailedReplacementKeepsTheOldFile)
{
	for (int64_t syncs = 0; syncs < 2; syncs++) {
		ASSERT_EQ(TM_OK, open());
		ASSERT_EQ(TM_OK, storage.save_vote(storage.ctx, 1, 1));
		faults.syncs_until_failure = syncs;
		EXPECT_EQ(TM_EIO, storage.save_vote(storage.ctx, 2, 2));
		ASSERT_EQ(TM_OK, open());
		EXPECT_EQ(syncs == 0 ? 1u : 2u, store_get_restore(store)->term);
	}
	ASSERT_EQ(TM_OK, save_snapshot(3, "old"));
	faults.writable_bytes = 100;
	EXPECT_EQ(TM_EIO, save_snapshot(4, "new"));
	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(3u, store_get_restore(store)->snapshot.index);
}

TEST_F(Store, EveryAppendIsSynced)
{
	ASSERT_EQ(TM_OK, open());
	uint64_t before = faults.sync_count;
	for (int i = 0; i < 5; i++)
		ASSERT_EQ(TM_OK, append(1 + i, 1));
	EXPECT_EQ(before + 5, faults.sync_count);
}

TEST_F(Store, SecondUserIsRejected)
{
	store_options_t options = { path.c_str(), 0, nullptr };
	store_t *other = nullptr;

	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(TM_EINUSE, store_open(&other, &options));
}

TEST_F(Store, LargeBatchIsSplit)
{
	ASSERT_EQ(TM_OK, open());
	ASSERT_EQ(TM_OK, append(1, 10, RAFT_ENTRY_MAX_BYTES));
	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(10u, count());
}

// A start that gave up while the disk is full would end the process each time.
TEST_F(Store, AStartWaitsUntilTheDiskNoLongerFails)
{
	store_options_t options = { path.c_str(), 0, &faults, 0 };

	ASSERT_EQ(TM_OK, open());
	EXPECT_EQ(TM_OK, append(1, 3));
	store_close(store);
	store = nullptr;
	faults.failing_call = faults.call_count + 1;
	ASSERT_EQ(TM_OK, store_open_wait(&store, &options));
	EXPECT_EQ(3u, count());
}

// Waiting for a path that an operator has to correct would hide the mistake.
TEST_F(Store, AStartDoesNotWaitForAPathThatCannotBeUsed)
{
	path = fs::path(path).parent_path().string() + "/missing/data";
	store_options_t options = { path.c_str(), 0, nullptr, 0 };

	EXPECT_EQ(TM_EINVAL, store_open_wait(&store, &options));
	path = fs::path(path).parent_path().parent_path().string() + "/data";
	ASSERT_EQ(TM_OK, open());
	std::string file = path + "/disk-id/data";
	options.path = file.c_str();
	store_t *other = nullptr;
	EXPECT_EQ(TM_EINVAL, store_open_wait(&other, &options));
}
