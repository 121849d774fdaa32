// Failures guarded against: what a store has acknowledged, or shown at its start,
// is gone after a failed operation, a new start and a loss of power; a store that
// was left by these in a state that it does not open again.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "base/log.h"
#include "base/rng.h"
#include "store/store.h"
}
#include "power_disk.h"

namespace fs = std::filesystem;

namespace {

const int kSeeds = 150;
const int kSteps = 60;
const size_t kSegmentBytes = 256;

// What a store holds: terms of its entries, which are unique.
struct Content {
	uint64_t vote_term = 0;
	uint64_t snapshot = 0;
	std::map<uint64_t, uint64_t> entries;

	uint64_t
	Last() const
	{
		return (entries.empty() ? snapshot : entries.rbegin()->first);
	}

	bool
	operator==(const Content &other) const
	{
		return (vote_term == other.vote_term &&
		    snapshot == other.snapshot && entries == other.entries);
	}
};

std::ostream &
operator<<(std::ostream &out, const Content &content)
{
	out << "vote " << content.vote_term << " snapshot " << content.snapshot
	    << " entries";
	for (const auto &[index, term] : content.entries)
		out << " " << index << ":" << term;
	return (out);
}

class StorePower : public testing::Test {
      protected:
	void
	SetUp() override
	{
		log_configure(fopen("/dev/null", "w"), LOG_LEVEL_ERROR, "test");
	}

	void
	TearDown() override
	{
		log_configure(stderr, LOG_LEVEL_INFO, "");
	}

	void
	Begin(uint64_t seed)
	{
		char text[] = "/tmp/tm-power-XXXXXX";

		rng_init(&rng_, seed);
		folder_ = mkdtemp(text);
		path_ = folder_ + "/data";
		fs::create_directory(path_);
		disk_ = std::make_unique<PowerDisk>(path_, &rng_);
		faults_ = {};
		faults_.writable_bytes = -1;
		faults_.syncs_until_failure = -1;
		faults_.sync = PowerDisk::Sync;
		faults_.ctx = disk_.get();
		term_ = 0;
		allowed_ = { Content() };
	}

	void
	End()
	{
		store_close(store_);
		store_ = nullptr;
		disk_.reset();
		fs::remove_all(folder_);
	}

	void
	PlanFault(uint32_t percent)
	{
		faults_.failing_call = 0;
		faults_.is_lasting = (int)rng_below(&rng_, 2);
		if (rng_below(&rng_, 100) < percent)
			faults_.failing_call =
			    faults_.call_count + 1 + rng_below(&rng_, 8);
	}

	Content
	Read() const
	{
		const raft_restore_t *restore = store_get_restore(store_);
		Content content;

		content.vote_term = restore->term;
		content.snapshot = restore->snapshot.index;
		for (size_t i = 0; i < restore->entry_count; i++)
			content.entries[restore->entries[i].index] =
			    restore->entries[i].term;
		return (content);
	}

	// Ends the process, with or without the power, until one start succeeds.
	void
	Restart()
	{
		store_options_t options = { path_.c_str(), kSegmentBytes,
			&faults_, 0 };
		int err;

		do {
			store_close(store_);
			store_ = nullptr;
			if (rng_below(&rng_, 2) == 0)
				disk_->LosePower();
			PlanFault(30);
			err = store_open(&store_, &options);
			ASSERT_TRUE(err == TM_OK || faults_.failing_call != 0)
			    << err;
		} while (err != TM_OK);
		faults_.failing_call = 0;
		storage_ = store_get_storage(store_);
		Check();
	}

	// What a start has shown is promised, too.
	void
	Check()
	{
		Content found = Read();
		bool is_allowed = false;

		for (const Content &content : allowed_)
			is_allowed = is_allowed || content == found;
		ASSERT_TRUE(is_allowed)
		    << "found " << found << "\nfirst allowed "
		    << allowed_.front() << "\nlast allowed " << allowed_.back();
		allowed_ = { found };
	}

	int
	Append(Content *content)
	{
		raft_entry_t entries[3];
		uint32_t count = 1 + rng_below(&rng_, 3);

		for (uint32_t i = 0; i < count; i++) {
			entries[i] = { content->Last() + 1, ++term_,
				RAFT_KIND_DATA, (const uint8_t *)"content", 7 };
			content->entries[entries[i].index] = term_;
			allowed_.push_back(*content);
		}
		return (storage_.append(storage_.ctx, entries, count));
	}

	int
	Truncate(Content *content)
	{
		uint64_t from = content->snapshot + 1;

		from += rng_below(
		    &rng_, (uint32_t)(content->Last() - content->snapshot) + 1);
		content->entries.erase(
		    content->entries.lower_bound(from), content->entries.end());
		allowed_.push_back(*content);
		return (storage_.truncate(storage_.ctx, from));
	}

	int
	SaveVote(Content *content)
	{
		content->vote_term = ++term_;
		allowed_.push_back(*content);
		return (storage_.save_vote(storage_.ctx, term_, 7));
	}

	int
	SaveSnapshot(Content *content)
	{
		raft_snapshot_t snapshot = {};

		snapshot.index = content->snapshot +
		    rng_below(&rng_,
			(uint32_t)(content->Last() - content->snapshot) + 1);
		if (snapshot.index == content->snapshot)
			return (TM_OK);
		snapshot.term = 1;
		snapshot.voter_count = 1;
		snapshot.voters[0] = { 7, 8 };
		snapshot.data = (const uint8_t *)"state";
		snapshot.len = 5;
		content->snapshot = snapshot.index;
		content->entries.erase(content->entries.begin(),
		    content->entries.upper_bound(snapshot.index));
		allowed_.push_back(*content);
		return (storage_.save_snapshot(storage_.ctx, &snapshot));
	}

	void
	Step()
	{
		Content content = allowed_.back();
		uint32_t kind = rng_below(&rng_, 10);
		int err;

		PlanFault(20);
		if (kind < 6)
			err = Append(&content);
		else if (kind < 7)
			err = Truncate(&content);
		else if (kind < 8)
			err = SaveVote(&content);
		else
			err = SaveSnapshot(&content);
		if (err == TM_OK)
			allowed_ = { content };
		faults_.failing_call = 0;
		if (err != TM_OK || rng_below(&rng_, 8) == 0)
			Restart();
	}

	rng_t rng_;
	std::string folder_;
	std::string path_;
	std::unique_ptr<PowerDisk> disk_;
	store_faults_t faults_;
	store_t *store_ = nullptr;
	raft_storage_t storage_;
	uint64_t term_ = 0;
	std::vector<Content>
	    allowed_; // one of them; the last one if all is well
};

} // namespace

TEST_F(StorePower, KeepsWhatItHasShownWhicheverCallFails)
{
	for (int seed = 1; seed <= kSeeds && !HasFatalFailure(); seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Begin((uint64_t)seed);
		Restart();
		for (int i = 0; i < kSteps && !HasFatalFailure(); i++)
			Step();
		End();
	}
}
