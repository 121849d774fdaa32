// Failures guarded against: hubs that apply the same entries differ; an old
// announcement or document replaces a newer one; a snapshot loses something.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <random>
#include <string>

extern "C" {
#include "base/error.h"
#include "fleet/zip.h"
#include "hub/hub_state.h"
}

namespace {

dialect_announcement_t
MakeTarget(const char *id, uint64_t born_ms, uint32_t ip,
    fleet_target_state_t state = FLEET_TARGET_READY)
{
	dialect_announcement_t as = {};

	snprintf(as.id, sizeof(as.id), "%s", id);
	snprintf(as.service, sizeof(as.service), "s1");
	snprintf(as.zone, sizeof(as.zone), "z1");
	as.born_ms = born_ms;
	as.ip = ip;
	as.port = 80;
	as.slots = 4;
	as.state = state;
	return (as);
}

class HubState : public testing::Test {
      protected:
	~HubState() override
	{
		hub_state_destroy(state_);
	}

	hub_change_t
	Apply(uint8_t *bytes, size_t len)
	{
		hub_change_t change =
		    hub_state_apply(state_, bytes, len, &changed_);

		free(bytes);
		return (change);
	}

	hub_change_t
	ApplyTarget(const dialect_announcement_t &as)
	{
		size_t len;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);

		return (Apply(bytes, len));
	}

	hub_change_t
	ApplyDocument(uint64_t version, const std::string &text)
	{
		hub_document_t document;
		size_t len;

		EXPECT_EQ(TM_OK,
		    hub_document_compress(
			&document, version, text.data(), text.size()));
		uint8_t *bytes = hub_entry_encode_document(&document, &len);
		hub_document_release(&document);
		return (Apply(bytes, len));
	}

	std::string
	GetDocument() const
	{
		char *plain = hub_document_decompress(&state_->document);
		std::string text(plain, state_->document.plain_len);

		free(plain);
		return (text);
	}

	const hub_target_t *
	ScanForAddress(uint32_t ip, uint16_t port) const
	{
		const hub_target_t *target;

		for (target = state_->targets; target != nullptr;
		     target = (const hub_target_t *)target->hh.next) {
			if (target->as.ip == ip && target->as.port == port &&
			    target->as.state != FLEET_TARGET_DEREGISTERED)
				return (target);
		}
		return (nullptr);
	}

	fleet_target_state_t
	GetState(const char *id) const
	{
		const hub_target_t *target =
		    hub_state_find_target(state_, fleet_name_hash(id));

		return (target != nullptr ? target->as.state
					  : FLEET_TARGET_DEREGISTERED);
	}

	hub_state_t *state_ = hub_state_create();
	hub_changed_targets_t changed_ = {};
};

} // namespace

TEST_F(HubState, HighestVersionWins)
{
	EXPECT_EQ(HUB_CHANGE_DOCUMENT, ApplyDocument(5, "five"));
	EXPECT_EQ(HUB_CHANGE_NONE, ApplyDocument(4, "four"));
	EXPECT_EQ(HUB_CHANGE_NONE, ApplyDocument(5, "other five"));
	EXPECT_EQ("five", GetDocument());
	EXPECT_EQ(HUB_CHANGE_DOCUMENT, ApplyDocument(9, "nine"));
	EXPECT_EQ("nine", GetDocument());
}

TEST_F(HubState, VersionZeroIsADocument)
{
	EXPECT_EQ(HUB_CHANGE_DOCUMENT, ApplyDocument(0, "zero"));
	EXPECT_TRUE(state_->has_document);
}

TEST_F(HubState, NewerIncarnationTakesTheAddress)
{
	ApplyTarget(MakeTarget("a", 100, 7));
	EXPECT_EQ(HUB_CHANGE_TARGET, ApplyTarget(MakeTarget("b", 200, 7)));
	EXPECT_EQ(FLEET_TARGET_DEREGISTERED, GetState("a"));
	EXPECT_EQ(FLEET_TARGET_READY, GetState("b"));
	/* It was delayed by a partition. */
	EXPECT_EQ(HUB_CHANGE_NONE, ApplyTarget(MakeTarget("a", 100, 7)));
	EXPECT_EQ(FLEET_TARGET_READY, GetState("b"));
}

// Outlier detection and the gates kept a target whose address another one had
// taken: only the new one was reported as changed.
TEST_F(HubState, ReportsTheTargetThatLostItsAddress)
{
	ApplyTarget(MakeTarget("a", 100, 7));
	EXPECT_EQ(nullptr, changed_.replaced);
	ApplyTarget(MakeTarget("b", 200, 7));
	ASSERT_NE(nullptr, changed_.replaced);
	EXPECT_STREQ("a", changed_.replaced->as.id);
	EXPECT_STREQ("b", changed_.target->as.id);
	ApplyTarget(MakeTarget("b", 200, 7, FLEET_TARGET_DRAINING));
	EXPECT_EQ(nullptr, changed_.replaced);
}

TEST_F(HubState, OlderIncarnationOfAnIdChangesNothing)
{
	ApplyTarget(MakeTarget("a", 200, 7, FLEET_TARGET_DRAINING));
	EXPECT_EQ(HUB_CHANGE_NONE, ApplyTarget(MakeTarget("a", 100, 8)));
	EXPECT_EQ(FLEET_TARGET_DRAINING, GetState("a"));
	EXPECT_EQ(HUB_CHANGE_TARGET, ApplyTarget(MakeTarget("a", 300, 8)));
	EXPECT_EQ(FLEET_TARGET_READY, GetState("a"));
}

// Two announcements of an incarnation were proposed at once: the entry of the older
// one undid a deregistration, or draining.
TEST_F(HubState, AnOlderEntryOfAnIncarnationUndoesNothing)
{
	dialect_announcement_t old = MakeTarget("a", 100, 7);
	dialect_announcement_t drain =
	    MakeTarget("a", 100, 7, FLEET_TARGET_DRAINING);

	old.sequence = 4;
	drain.sequence = 5;
	ApplyTarget(old);
	ApplyTarget(drain);
	EXPECT_EQ(HUB_CHANGE_NONE, ApplyTarget(old));
	EXPECT_EQ(FLEET_TARGET_DRAINING, GetState("a"));
	/* The end of a registration was decided on the state before. */
	old.state = FLEET_TARGET_DEREGISTERED;
	EXPECT_EQ(HUB_CHANGE_TARGET, ApplyTarget(old));
	drain.sequence = 6;
	EXPECT_EQ(HUB_CHANGE_NONE, ApplyTarget(drain));
	EXPECT_EQ(FLEET_TARGET_DEREGISTERED, GetState("a"));
	/* Without a start time the next start can't be told apart. */
	old = MakeTarget("b", 0, 8);
	old.sequence = 9;
	ApplyTarget(old);
	old.sequence = 1;
	EXPECT_EQ(HUB_CHANGE_TARGET, ApplyTarget(old));
}

TEST_F(HubState, DeregisteredTargetsAreKeptUntilExpired)
{
	dialect_announcement_t as = MakeTarget("a", 100, 7);
	size_t len;

	ApplyTarget(as);
	uint8_t *bytes = hub_entry_encode_expired_target(&as, &len);
	Apply(bytes, len);
	EXPECT_EQ(FLEET_TARGET_READY, GetState("a"));
	as.state = FLEET_TARGET_DEREGISTERED;
	ApplyTarget(as);
	ASSERT_NE(nullptr, hub_state_find_target(state_, fleet_name_hash("a")));
	bytes = hub_entry_encode_expired_target(&as, &len);
	Apply(bytes, len);
	EXPECT_EQ(nullptr, hub_state_find_target(state_, fleet_name_hash("a")));
}

TEST_F(HubState, HubsAreRecorded)
{
	size_t len;
	uint8_t *bytes = hub_entry_encode_hub("10.0.0.1", 0, &len);

	EXPECT_EQ(HUB_CHANGE_HUBS, Apply(bytes, len));
	bytes = hub_entry_encode_hub("10.0.0.1", 0, &len);
	EXPECT_EQ(HUB_CHANGE_NONE, Apply(bytes, len));
	EXPECT_TRUE(hub_state_has_hub(state_, "10.0.0.1"));
	bytes = hub_entry_encode_hub("10.0.0.1", 1, &len);
	EXPECT_EQ(HUB_CHANGE_HUBS, Apply(bytes, len));
	EXPECT_FALSE(hub_state_has_hub(state_, "10.0.0.1"));
}

TEST_F(HubState, MalformedEntriesChangeNothing)
{
	const uint8_t junk[] = { 0xff, 0x01, 0x80, 0x80 };

	EXPECT_EQ(HUB_CHANGE_NONE,
	    hub_state_apply(state_, junk, sizeof(junk), &changed_));
	EXPECT_EQ(HUB_CHANGE_NONE, hub_state_apply(state_, junk, 0, &changed_));
	EXPECT_EQ(HUB_CHANGE_NONE, ApplyTarget(MakeTarget("", 1, 1)));
	EXPECT_NE(TM_OK, hub_state_restore(state_, junk, sizeof(junk)));
}

TEST_F(HubState, SnapshotKeepsEverything)
{
	hub_state_t *copy = hub_state_create();
	size_t len;
	uint8_t *bytes;

	ApplyDocument(5, std::string(100000, 'x'));
	ApplyTarget(MakeTarget("a", 100, 7));
	ApplyTarget(MakeTarget("b", 100, 8, FLEET_TARGET_DEREGISTERED));
	bytes = hub_entry_encode_hub("10.0.0.1", 0, &len);
	Apply(bytes, len);
	const uint64_t ejected[] = { 4, 5 };
	bytes = hub_entry_encode_ejected(ejected, 2, &len);
	Apply(bytes, len);
	bytes = hub_state_encode(state_, &len);
	ASSERT_NE(nullptr, bytes);
	EXPECT_LT(len, 5000u);
	ASSERT_EQ(TM_OK, hub_state_restore(copy, bytes, len));
	free(bytes);
	std::swap(copy, state_);
	EXPECT_EQ(std::string(100000, 'x'), GetDocument());
	EXPECT_EQ(FLEET_TARGET_READY, GetState("a"));
	EXPECT_NE(nullptr, hub_state_find_target(state_, fleet_name_hash("b")));
	EXPECT_TRUE(hub_state_has_hub(state_, "10.0.0.1"));
	ASSERT_EQ(2u, state_->ejected_count);
	EXPECT_EQ(5u, state_->ejected[1]);
	hub_state_destroy(copy);
}

TEST(Zip, RefusesADamagedText)
{
	size_t len;
	uint8_t *zipped = zip_pack("hello", 5, &len);

	EXPECT_EQ(nullptr, zip_unpack(zipped, len, 4));
	EXPECT_EQ(nullptr, zip_unpack(zipped, len - 1, 5));
	EXPECT_EQ(nullptr, zip_unpack(zipped, len, (size_t)1 << 40));
	zipped[2] ^= 0x55;
	EXPECT_EQ(nullptr, zip_unpack(zipped, len, 5));
	free(zipped);
}

// The index by address named a target that had left the address, or missed the one
// that had taken it.
TEST_F(HubState, IndexOfAddressesAgreesWithAScan)
{
	std::mt19937 random(11);

	for (int step = 0; step < 20000; step++) {
		std::string id = "t" + std::to_string(random() % 40);
		dialect_announcement_t as =
		    MakeTarget(id.c_str(), random() % 50, 1 + random() % 30,
			static_cast<fleet_target_state_t>(random() % 3));
		size_t len;

		as.port = 1 + random() % 2;
		if (random() % 10 == 0) {
			uint8_t *bytes =
			    hub_entry_encode_expired_target(&as, &len);

			Apply(bytes, len);
		} else {
			ApplyTarget(as);
		}
		ASSERT_EQ(ScanForAddress(as.ip, as.port),
		    hub_state_find_address(state_, as.ip, as.port))
		    << "step " << step;
	}
}

// Each announcement scanned all targets for the owner of its address.
TEST_F(HubState, TimeToFindAnAddressDoesNotGrowWithTheTargets)
{
	const int kFinds = 30000;
	double us_by_count[2];
	int row = 0;

	for (uint32_t count : { 300U, 3000U }) {
		for (uint32_t i = 0; i < count; i++)
			ApplyTarget(MakeTarget(
			    ("t" + std::to_string(i)).c_str(), 100, 1 + i));
		auto start = std::chrono::steady_clock::now();
		for (int i = 0; i < kFinds; i++)
			ASSERT_NE(nullptr,
			    hub_state_find_address(
				state_, 1 + (uint32_t)i % count, 80));
		us_by_count[row++] =
		    std::chrono::duration<double, std::micro>(
			std::chrono::steady_clock::now() - start)
			.count() /
		    kFinds;
	}
	printf("find_address: %.3f us of 300, %.3f us of 3000 targets\n",
	    us_by_count[0], us_by_count[1]);
	/* A scan takes ten times as long. */
	EXPECT_LT(us_by_count[1], 5 * us_by_count[0] + 0.1);
}
