// Failures guarded against: a call is mistaken for another one; an announcement
// with missing fields or fields of another type, as of a writer that is no
// target, registers a target.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>

extern "C" {
#include "base/error.h"
#include "fleet/dialect.h"
}

namespace {

const dialect_t *
Platform()
{
	return (dialect_find("platform"));
}

dialect_call_t
FindCall(const std::string &method, const std::string &path, std::string *id)
{
	char text[FLEET_TARGET_ID_MAX_BYTES + 1] = "";
	dialect_call_t call = Platform()->find_call(
	    method.data(), method.size(), path.data(), path.size(), text);

	*id = text;
	return (call);
}

int
ReadAnnouncement(const std::string &text, dialect_announcement_t *out)
{
	return (Platform()->read_announcement(text.data(), text.size(), out));
}

int
ReadLeave(const std::string &text, dialect_announcement_t *out)
{
	return (Platform()->read_leave(text.data(), text.size(), out));
}

const char kHeartbeat[] =
    R"({"Service":"s1","Address":"10.128.0.9:8080","Zone":"z1",)"
    R"("Version":"v1","MaxConcurrency":4,"State":"ready",)"
    R"("WarmupLeftS":1.5,"Sequence":4,"born":1767506558097})";

std::string
Replace(const std::string &from, const std::string &to)
{
	std::string text = kHeartbeat;

	return (text.replace(text.find(from), from.size(), to));
}

} // namespace

TEST(PlatformCalls, AreDistinguished)
{
	std::string id;

	EXPECT_EQ(DIALECT_CALL_ANNOUNCE,
	    FindCall("POST", "/tarragonmoor/instances/i-7f/heartbeat", &id));
	EXPECT_EQ("i-7f", id);
	EXPECT_EQ(DIALECT_CALL_LEAVE,
	    FindCall("POST", "/tarragonmoor/instances/i-7f/deregister", &id));
	EXPECT_EQ("i-7f", id);
	EXPECT_EQ(DIALECT_CALL_PUT_CONFIG,
	    FindCall("POST", "/tarragonmoor/config/put", &id));
	EXPECT_EQ(DIALECT_CALL_GET_CONFIG,
	    FindCall("GET", "/tarragonmoor/config/get", &id));
	for (const char *path : { "/tarragonmoor/instances//heartbeat",
		 "/tarragonmoor/instances/a/b/heartbeat",
		 "/tarragonmoor/instances/heartbeat", "/tarragonmoor/config",
		 "/tarragonmoor/config/get", "/", "" })
		EXPECT_EQ(DIALECT_CALL_UNKNOWN, FindCall("POST", path, &id))
		    << path;
	EXPECT_EQ(DIALECT_CALL_UNKNOWN,
	    FindCall("GET", "/tarragonmoor/config/put", &id));
	EXPECT_EQ(DIALECT_CALL_UNKNOWN,
	    FindCall("POST",
		"/tarragonmoor/instances/" + std::string(64, 'x') +
		    "/heartbeat",
		&id));
}

TEST(PlatformAnnouncement, IsRead)
{
	dialect_announcement_t as = {};

	ASSERT_EQ(TM_OK, ReadAnnouncement(kHeartbeat, &as));
	EXPECT_STREQ("s1", as.service);
	EXPECT_STREQ("z1", as.zone);
	EXPECT_EQ(htonl(0x0a800009), as.ip);
	EXPECT_EQ(8080, as.port);
	EXPECT_EQ(4u, as.slots);
	EXPECT_EQ(4u, as.sequence);
	EXPECT_EQ(1500u, as.cold_left_ms);
	EXPECT_EQ(1767506558097u, as.born_ms);
	EXPECT_EQ(FLEET_TARGET_READY, as.state);
	ASSERT_EQ(
	    TM_OK, ReadAnnouncement(Replace("\"ready\"", "\"draining\""), &as));
	EXPECT_EQ(FLEET_TARGET_DRAINING, as.state);
	EXPECT_EQ(
	    TM_OK, ReadAnnouncement(Replace("\"WarmupLeftS\":1.5,", ""), &as));
	EXPECT_EQ(0u, as.cold_left_ms);
}

TEST(PlatformAnnouncement, WithBadFieldsIsRejected)
{
	const std::pair<const char *, const char *> changes[] = {
		{ "\"s1\"", "7" },
		{ "\"s1\"", "\"\"" },
		{ "\"10.128.0.9:8080\"", "\"host:8080\"" },
		{ "\"10.128.0.9:8080\"", "\"10.128.0.9\"" },
		{ "\"z1\"", "null" },
		{ ":4,\"State\"", ":0,\"State\"" },
		{ ":4,\"State\"", ":\"4\",\"State\"" },
		{ "\"ready\"", "\"asleep\"" },
		{ "\"ready\"", "1" },
		{ "1.5", "-1" },
		{ "1.5", "\"1\"" },
		{ "\"Sequence\":4", "\"S\":4" },
		{ "1767506558097", "\"now\"" },
		{ "1767506558097", "1.5" },
		{ "1767506558097}", "1767506558097" },
	};
	dialect_announcement_t as = {};

	for (const auto &change : changes)
		EXPECT_NE(TM_OK,
		    ReadAnnouncement(Replace(change.first, change.second), &as))
		    << change.first << " to " << change.second;
	EXPECT_NE(TM_OK, ReadAnnouncement("", &as));
	EXPECT_NE(TM_OK, ReadAnnouncement("[]", &as));
	EXPECT_NE(TM_OK, ReadAnnouncement("\xff\xfe{", &as));
}

TEST(PlatformAnnouncement, AnswerNamesAnAddress)
{
	char text[64];

	ASSERT_EQ(2u, Platform()->write_announced(text, sizeof(text), nullptr));
	EXPECT_STREQ("{}", text);
	ASSERT_LT(
	    0u, Platform()->write_announced(text, sizeof(text), "10.0.0.1:80"));
	EXPECT_STREQ("{\"HeartbeatUrl\":\"10.0.0.1:80\"}", text);
	EXPECT_EQ(0u, Platform()->write_announced(text, 5, "10.0.0.1:80"));
}

TEST(PlatformLeave, ReadsTheIncarnation)
{
	dialect_announcement_t as = {};

	EXPECT_EQ(TM_OK, ReadLeave("{\"born\":5,\"Service\":\"s1\"}", &as));
	EXPECT_EQ(5u, as.born_ms);
	EXPECT_STREQ("s1", as.service);
	EXPECT_EQ(TM_OK, ReadLeave("", &as));
	EXPECT_EQ(0u, as.born_ms);
	EXPECT_STREQ("", as.service);
	EXPECT_EQ(TM_OK, ReadLeave("{}", &as));
}

// One that no target writes ended the registration of any incarnation.
TEST(PlatformLeave, ThatCannotBeReadIsRejected)
{
	dialect_announcement_t as = {};

	for (const char *body :
	    { "{\"born\":\"x\"}", "{\"born\":1.5}", "{\"Service\":7}",
		"{\"Service\":\"\"}", "[]", "{", "\xff\xfe{" })
		EXPECT_EQ(TM_EFORMAT, ReadLeave(body, &as)) << body;
}
