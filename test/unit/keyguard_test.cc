// Failures guarded against: a key reaches a target in a header, the URL or in
// another spelling, one of two keys wins, a header of one hop passes on.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "entry/keyguard.h"
}

namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

const std::string key = "tmk_k1_0a1b2c3d4e5f";
const std::string secret = "0a1b2c3d4e5f";

keyguard_text_t
text(const std::string &s)
{
	return { s.data(), s.size() };
}

keyguard_found_t
find(const Headers &headers, const std::string &path = "/",
    const std::string &body = "", keyguard_key_t *out = nullptr)
{
	std::vector<keyguard_header_t> list;
	keyguard_key_t local = {};

	for (const auto &h : headers)
		list.push_back({ text(h.first), text(h.second) });
	return keyguard_find(list.data(), list.size(), text(path), text(body),
	    out != nullptr ? out : &local);
}

int
may_forward(const std::string &name, const std::string &value)
{
	keyguard_header_t header = { text(name), text(value) };
	keyguard_key_t found = {};
	Headers headers = { { "x-api-key", key } };

	EXPECT_EQ(find(headers, "/", "", &found), KEYGUARD_ONE);
	return keyguard_may_forward(&header, &found);
}

std::string
escape(const std::string &s)
{
	char out[8];
	std::string all;

	for (char c : s) {
		snprintf(out, sizeof(out), "%%%02x", (unsigned char)c);
		all += out;
	}
	return all;
}

std::string
upper(std::string s)
{
	for (char &c : s)
		c = (char)toupper(c);
	return s;
}

} // namespace

TEST(Keyguard, FindsTheKeyInEitherHeaderAndAnyLetterCase)
{
	keyguard_key_t found = {};
	Headers plain = { { "x-api-key", key } };

	ASSERT_EQ(find(plain, "/", "", &found), KEYGUARD_ONE);
	EXPECT_EQ(std::string(found.id.base, found.id.len), "k1");
	EXPECT_EQ(std::string(found.secret.base, found.secret.len), secret);
	EXPECT_EQ(find({ { "X-Api-KEY", key } }), KEYGUARD_ONE);
	EXPECT_EQ(find({ { "AUTHORIZATION", "bEARER " + key } }), KEYGUARD_ONE);
	EXPECT_EQ(find({ { "authorization", "Bearer  " + key + " \t" } }),
	    KEYGUARD_ONE);
}

TEST(Keyguard, TakesEqualCopiesAndRefusesTwoKeys)
{
	std::string other = "tmk_k2_0a1b2c3d4e5f";
	Headers copies(90, { "x-api-key", key });

	copies.push_back({ "authorization", "Bearer " + key });
	EXPECT_EQ(find(copies), KEYGUARD_ONE);
	copies.push_back({ "x-api-key", other });
	EXPECT_EQ(find(copies), KEYGUARD_CONFLICT);
	EXPECT_EQ(find({ { "x-api-key", key },
		      { "authorization", "Bearer " + key + "0" } }),
	    KEYGUARD_CONFLICT);
}

TEST(Keyguard, RefusesWhatIsNoKey)
{
	EXPECT_EQ(find({}), KEYGUARD_NONE);
	EXPECT_EQ(find({ { "x-other", key } }), KEYGUARD_NONE);
	for (std::string value : { "", " ", "Bearer ", "Bearer", "tmk_",
		 "tmk__", "tmk_a", "tmk_a_", "tmk__b", "Basic dXNlcjpwYXNz" }) {
		EXPECT_EQ(
		    find({ { "authorization", value } }), KEYGUARD_MALFORMED)
		    << value;
		EXPECT_EQ(
		    find({ { "x-api-key", key }, { "x-api-key", value } }),
		    KEYGUARD_MALFORMED)
		    << value;
	}
	EXPECT_EQ(find({ { "x-api-key",
		      "tmk_a_" + std::string(KEYGUARD_KEY_MAX_BYTES, 'b') } }),
	    KEYGUARD_MALFORMED);
}

TEST(Keyguard, FindsAKeyInTheUrlInEverySpelling)
{
	Headers headers = { { "x-api-key", key } };

	for (std::string part : { key, secret, upper(key), upper(secret),
		 escape(key), escape(secret), escape(escape(secret)),
		 upper(escape(upper(key))), std::string("tmk_anything"),
		 std::string("%74mk_x"), std::string("TMK_x") }) {
		EXPECT_EQ(find(headers, "/a?k=" + part), KEYGUARD_EXPOSED)
		    << part;
		EXPECT_EQ(find(headers, "/" + part), KEYGUARD_EXPOSED) << part;
	}
	EXPECT_EQ(find({}, "/a?" + key), KEYGUARD_EXPOSED);
	EXPECT_EQ(find({}, "/a?x=tmk%5Fa"), KEYGUARD_EXPOSED);
	EXPECT_EQ(find(headers, "/a?b=%"), KEYGUARD_ONE);
	EXPECT_EQ(find(headers, "/a?b=%7"), KEYGUARD_ONE);
	EXPECT_EQ(find(headers, "/a?b=%zz"), KEYGUARD_ONE);
	EXPECT_EQ(find(headers, "/" + std::string(15000, 'a')), KEYGUARD_ONE);
	EXPECT_EQ(find(headers, "/" + std::string(15000, 'a') + escape(secret)),
	    KEYGUARD_EXPOSED);
}

TEST(Keyguard, FindsAKeyInTheBody)
{
	Headers headers = { { "x-api-key", key } };

	EXPECT_EQ(
	    find(headers, "/", "{\"k\":\"" + key + "\"}"), KEYGUARD_EXPOSED);
	EXPECT_EQ(find(headers, "/", "0a1b2c3d4e5"), KEYGUARD_ONE);
}

TEST(Keyguard, ForwardsNoHeaderThatRevealsTheKey)
{
	for (std::string name : { "authorization", "Authorization", "X-API-KEY",
		 "x-api-key", "x-tm-workspace", "X-Tm-Anything", "x-tm-" })
		EXPECT_EQ(may_forward(name, "x"), 0) << name;
	for (std::string value :
	    { key, secret, "a" + secret + "b", upper(secret), escape(key),
		"http://h/?k=" + escape(upper(secret)), escape(escape(key)) })
		EXPECT_EQ(may_forward("referer", value), 0) << value;
	EXPECT_EQ(may_forward("x-" + secret, "v"), 0);
	EXPECT_EQ(may_forward("X-" + upper(secret), "v"), 0);
	EXPECT_EQ(may_forward("referer", ""), 1);
	EXPECT_EQ(may_forward("accept", "100%"), 1);
	EXPECT_EQ(may_forward("x-other", "tmk_other_ffff"), 1);
}

TEST(Keyguard, ForwardsNoHeaderOfOneHop)
{
	for (std::string name : { "Connection", "keep-alive", "TE", "Trailer",
		 "transfer-encoding", "content-length", "upgrade", "expect",
		 "proxy-authorization", "proxy-connection" })
		EXPECT_EQ(may_forward(name, "v"), 0) << name;
	std::string list = "close, X-Hop ,,x-other";

	EXPECT_EQ(keyguard_is_nominated(text(list), text("x-hop")), 1);
	EXPECT_EQ(keyguard_is_nominated(text(list), text("X-Other")), 1);
	EXPECT_EQ(keyguard_is_nominated(text(list), text("x-ho")), 0);
	EXPECT_EQ(keyguard_is_nominated(text(""), text("x")), 0);
}
