// Failures guarded against: a recovered configuration that is installed over
// accepted changes it lacks, also when several recoveries lie in between; a
// list of recoveries that is lost on the way; a malformed one that is taken.
#include <gtest/gtest.h>

#include <cstring>
#include <vector>

#include <xxhash.h>

#include "../scenario/gossip_world.h"

extern "C" {
#include "ctl/ctl_snapshot.h"
}

namespace {

constexpr uint64_t kFirst = UINT64_C(1) << CONFIG_EPOCH_SHIFT;
constexpr uint64_t kSecond = UINT64_C(2) << CONFIG_EPOCH_SHIFT;

struct State {
	config_state_t *state = config_state_create();

	~State()
	{
		config_state_destroy(state);
	}

	void
	Apply(uint64_t index)
	{
		auto bytes = EntryBuilder::Workspace(
		    std::to_string(index), "w", (uint32_t)index % 1000 + 1);
		ASSERT_EQ(TM_OK,
		    config_state_apply(
			state, index, bytes.data(), bytes.size(), nullptr));
	}

	std::vector<uint8_t>
	Encode()
	{
		size_t len;
		uint8_t *bytes = config_snapshot_encode(state, &len);
		std::vector<uint8_t> out(bytes, bytes + len);

		free(bytes);
		return out;
	}

	int
	Install(const std::vector<uint8_t> &bytes)
	{
		return config_snapshot_install(
		    state, bytes.data(), bytes.size());
	}
};

// Gives changed bytes a valid checksum.
std::vector<uint8_t>
Seal(std::vector<uint8_t> bytes)
{
	XXH64_canonical_t sum;

	XXH64_canonicalFromHash(
	    &sum, XXH64(bytes.data() + 16, bytes.size() - 16, 0));
	memcpy(bytes.data() + 8, &sum, sizeof(sum));
	return bytes;
}

// Two recoveries: the first kept index 10, the second index kFirst + 5.
std::vector<uint8_t>
MakeTwice()
{
	State state;

	state.Apply(10);
	config_state_begin_epoch(state.state, 1, kFirst);
	state.Apply(kFirst + 5);
	config_state_begin_epoch(state.state, 2, kSecond);
	return state.Encode();
}

int
InstallOver(uint64_t index)
{
	State state;

	if (index > 0)
		state.Apply(index);
	return state.Install(MakeTwice());
}

} // namespace

TEST(ConfigEpoch, OnlyKeptIndexesGoOn)
{
	EXPECT_EQ(TM_OK, InstallOver(0));
	EXPECT_EQ(TM_OK, InstallOver(9));
	EXPECT_EQ(TM_OK, InstallOver(10));
	EXPECT_EQ(TM_EEPOCH, InstallOver(11));
	EXPECT_EQ(TM_OK, InstallOver(kFirst + 5));
	EXPECT_EQ(TM_EEPOCH, InstallOver(kFirst + 6));
	EXPECT_EQ(TM_ESTALE, InstallOver(kSecond));
}

TEST(ConfigEpoch, SnapshotKeepsTheRecoveries)
{
	State copy;

	ASSERT_EQ(TM_OK, copy.Install(MakeTwice()));
	EXPECT_EQ(2, config_state_get_epochs(copy.state)->count);
	EXPECT_EQ(kSecond, config_state_get_index(copy.state));
	EXPECT_EQ(MakeTwice(), copy.Encode());
}

TEST(ConfigEpoch, BadListIsRefused)
{
	const size_t count_at = 16, base_at = 24;
	State state;

	for (uint8_t count : { 0, CONFIG_EPOCHS_MAX + 1 }) {
		auto bytes = MakeTwice();
		bytes[count_at] = count;
		EXPECT_EQ(TM_EFORMAT, state.Install(Seal(bytes)));
	}
	auto bytes = MakeTwice();
	bytes[base_at + 7] = 1; /* a base above the first index */
	EXPECT_EQ(TM_EFORMAT, state.Install(Seal(bytes)));
	bytes = MakeTwice();
	bytes.resize(base_at + 10);
	EXPECT_EQ(TM_EFORMAT, state.Install(Seal(bytes)));
}

TEST(CtlSnapshot, PartsHoldAllObjectsInTheOrderOfReferences)
{
	State state;
	char after[NAME_MAX_BYTES + 1] = "";
	std::vector<std::string> parts;
	int kind = 0;
	char *text;

	for (uint64_t i = 1; i <= 3; i++) {
		auto bytes = EntryBuilder::Workspace(std::to_string(i),
		    i == 1 ? "w" : "w" + std::to_string(i), 1);
		config_state_apply(
		    state.state, i, bytes.data(), bytes.size(), nullptr);
	}
	auto key = EntryBuilder::Key("k", "k1", true);
	config_state_apply(state.state, 4, key.data(), key.size(), nullptr);
	while ((text = ctl_snapshot_next_part(state.state, &kind, after, 1)) !=
	    nullptr) {
		parts.push_back(text);
		free(text);
	}
	ASSERT_EQ(4u, parts.size());
	EXPECT_NE(std::string::npos, parts[0].find("\"w\""));
	EXPECT_NE(std::string::npos, parts[2].find("\"w3\""));
	EXPECT_NE(std::string::npos, parts[3].find("\"k1\""));
	EXPECT_NE(std::string::npos, parts[3].find("\"withdrawn\":true"));
	EXPECT_EQ(std::string::npos, parts[3].find("\"version\""));
}
