// Failures guarded against: an announcement of another writer, whose service no
// configuration names, takes the address or the id of a target that is in use, also
// after the state was restored or the document changed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <initializer_list>

extern "C" {
#include "base/error.h"
#include "fleet/fleet_config.h"
#include "hub/hub_announce.h"
#include "hub/hub_state.h"
}

namespace {

constexpr uint64_t kBornMs = 1000;
constexpr uint32_t kIp = 7;

dialect_announcement_t
MakeTarget(const char *id, const char *service, uint64_t born_ms, uint32_t ip,
    uint64_t sequence = 1)
{
	dialect_announcement_t as = {};

	snprintf(as.id, sizeof(as.id), "%s", id);
	snprintf(as.service, sizeof(as.service), "%s", service);
	snprintf(as.zone, sizeof(as.zone), "z1");
	as.born_ms = born_ms;
	as.sequence = sequence;
	as.ip = ip;
	as.port = 80;
	as.slots = 4;
	as.state = FLEET_TARGET_READY;
	return (as);
}

class HubOtherWriter : public testing::Test {
      protected:
	~HubOtherWriter() override
	{
		hub_state_destroy(state_);
	}

	void
	Apply(uint8_t *bytes, size_t len)
	{
		hub_changed_targets_t changed;

		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
	}

	// Puts a document that names some services.
	void
	PutDocument(
	    uint64_t version, std::initializer_list<const char *> services)
	{
		fleet_config_t *config = fleet_config_create(version);
		hub_document_t document;
		size_t len;

		for (const char *service : services)
			fleet_config_add_service(config, service);
		ASSERT_EQ(
		    TM_OK, hub_document_compress(&document, version, "{}", 2));
		ASSERT_EQ(TM_OK, hub_document_set_services(&document, config));
		uint8_t *bytes = hub_entry_encode_document(&document, &len);
		Apply(bytes, len);
		hub_document_release(&document);
		fleet_config_destroy(config);
	}

	// Decides as the leader does, and applies the entry also without an effect:
	// the state may have changed since it was proposed.
	hub_announce_effect_t
	Announce(const dialect_announcement_t &as)
	{
		hub_announce_effect_t effect = hub_announce_judge(state_, &as);
		size_t len;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);

		Apply(bytes, len);
		return (effect);
	}

	void
	Restore()
	{
		size_t len = 0;
		uint8_t *bytes = hub_state_encode(state_, &len);

		ASSERT_EQ(TM_OK, hub_state_restore(state_, bytes, len));
		free(bytes);
	}

	// Whether a target is registered as it was announced.
	bool
	IsInUse(const char *id, const char *service, uint32_t ip = kIp) const
	{
		const hub_target_t *target =
		    hub_state_find_target(state_, fleet_name_hash(id));

		return (target != nullptr &&
		    target->as.state == FLEET_TARGET_READY &&
		    strcmp(target->as.service, service) == 0 &&
		    target->as.ip == ip &&
		    hub_state_find_address(state_, ip, 80) == target);
	}

	hub_state_t *state_ = hub_state_create();
};

} // namespace

TEST_F(HubOtherWriter, AnUnnamedServiceTakesNoAddress)
{
	PutDocument(1, { "s1", "s2" });
	Announce(MakeTarget("sound", "s1", kBornMs, kIp));
	EXPECT_EQ(HUB_ANNOUNCE_UNNAMED,
	    Announce(MakeTarget("other", "s3", 2 * kBornMs, kIp)));
	EXPECT_TRUE(IsInUse("sound", "s1"));
	EXPECT_EQ(HUB_ANNOUNCE_REPEATED,
	    Announce(MakeTarget("sound", "s1", kBornMs, kIp, 2)));
}

// Neither a later start nor a higher sequence shows that it is the same target.
TEST_F(HubOtherWriter, AnUnnamedServiceChangesNoTargetWithItsId)
{
	PutDocument(1, { "s1", "s2" });
	Announce(MakeTarget("sound", "s1", kBornMs, kIp));
	for (uint64_t born_ms : { kBornMs, 2 * kBornMs })
		EXPECT_EQ(HUB_ANNOUNCE_UNNAMED,
		    Announce(
			MakeTarget("sound", "s3", born_ms, kIp + 1, 1000)));
	EXPECT_TRUE(IsInUse("sound", "s1"));
	EXPECT_EQ(HUB_ANNOUNCE_REPEATED,
	    Announce(MakeTarget("sound", "s1", kBornMs, kIp, 2)));
}

TEST_F(HubOtherWriter, ATargetGetsWhatAnUnnamedServiceHasTakenBefore)
{
	PutDocument(1, { "s1" });
	Announce(MakeTarget("other", "s3", 2 * kBornMs, kIp));
	Announce(MakeTarget("sound-2", "s3", 2 * kBornMs, kIp + 1, 1000));
	EXPECT_EQ(HUB_ANNOUNCE_CHANGED,
	    Announce(MakeTarget("sound", "s1", kBornMs, kIp)));
	EXPECT_TRUE(IsInUse("sound", "s1"));
	EXPECT_EQ(HUB_ANNOUNCE_CHANGED,
	    Announce(MakeTarget("sound-2", "s1", kBornMs, kIp + 1)));
	EXPECT_TRUE(IsInUse("sound-2", "s1", kIp + 1));
}

// Without a document all services are alike, so that the newest gets the address.
TEST_F(HubOtherWriter, ATargetReturnsOnceTheDocumentIsKnown)
{
	Announce(MakeTarget("sound", "s1", kBornMs, kIp));
	EXPECT_EQ(HUB_ANNOUNCE_CHANGED,
	    Announce(MakeTarget("other", "s3", 2 * kBornMs, kIp)));
	EXPECT_EQ(HUB_ANNOUNCE_OUTDATED,
	    Announce(MakeTarget("sound", "s1", kBornMs, kIp, 2)));
	Restore();
	PutDocument(1, { "s1" });
	EXPECT_EQ(HUB_ANNOUNCE_CHANGED,
	    Announce(MakeTarget("sound", "s1", kBornMs, kIp, 3)));
	EXPECT_TRUE(IsInUse("sound", "s1"));
}

// One that has ended, or that lost its address to a target, does not return.
TEST_F(HubOtherWriter, ATargetThatHasEndedDoesNotReturn)
{
	dialect_announcement_t left = MakeTarget("left", "s1", kBornMs, kIp);

	PutDocument(1, { "s1" });
	Announce(left);
	left.state = FLEET_TARGET_DEREGISTERED;
	Announce(left);
	Announce(MakeTarget("other", "s3", 2 * kBornMs, kIp));
	EXPECT_EQ(HUB_ANNOUNCE_OUTDATED,
	    Announce(MakeTarget("left", "s1", kBornMs, kIp, 2)));
	Announce(MakeTarget("old", "s1", kBornMs, kIp + 1));
	Announce(MakeTarget("new", "s1", 2 * kBornMs, kIp + 1));
	EXPECT_EQ(HUB_ANNOUNCE_OUTDATED,
	    Announce(MakeTarget("old", "s1", kBornMs, kIp + 1, 2)));
	EXPECT_TRUE(IsInUse("new", "s1", kIp + 1));
}

TEST_F(HubOtherWriter, ServicesAreThoseOfTheNewestDocument)
{
	PutDocument(1, { "s1" });
	Announce(MakeTarget("sound", "s1", kBornMs, kIp));
	Restore();
	EXPECT_EQ(HUB_ANNOUNCE_UNNAMED,
	    Announce(MakeTarget("next", "s2", 2 * kBornMs, kIp)));
	PutDocument(2, { "s1", "s2" });
	EXPECT_EQ(HUB_ANNOUNCE_CHANGED,
	    Announce(MakeTarget("next", "s2", 2 * kBornMs, kIp)));
	EXPECT_TRUE(IsInUse("next", "s2"));
}

// A service may be added to the document after its targets have started.
TEST_F(HubOtherWriter, ATargetIsKnownBeforeItsServiceIsNamed)
{
	PutDocument(1, { "s1" });
	EXPECT_EQ(HUB_ANNOUNCE_CHANGED,
	    Announce(MakeTarget("early", "s2", kBornMs, kIp)));
	PutDocument(2, { "s1", "s2" });
	EXPECT_TRUE(IsInUse("early", "s2"));
	EXPECT_EQ(HUB_ANNOUNCE_REPEATED,
	    Announce(MakeTarget("early", "s2", kBornMs, kIp, 2)));
}
