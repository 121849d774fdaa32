// Failure guarded against: a response of another request, or one whose body
// was altered, that reaches a caller.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "entry/verify.h"
}

namespace {

verify_result_t
verify(const std::vector<std::pair<std::string, std::string>> &headers,
    const std::string &body, const char *id, int is_head = 0)
{
	std::vector<upstream_header_t> list;
	upstream_response_t response = {};

	for (auto &header : headers)
		list.push_back({ header.first.data(), header.first.size(),
		    header.second.data(), header.second.size() });
	response.status = 200;
	response.headers = list.data();
	response.header_count = list.size();
	response.body = (const uint8_t *)body.data();
	response.body_len = body.size();
	return verify_response(&response, id, is_head);
}

// Base64 of the SHA-256 of "hello".
const char *const kHello =
    "sha-256=:LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=:";

TEST(Verify, AcceptsResponsesWithoutChecks)
{
	EXPECT_EQ(verify({}, "hello", "r1"), VERIFY_OK);
	EXPECT_EQ(verify({ { "Content-Digest", "md5=:abc=:" } }, "hello", "r1"),
	    VERIFY_OK);
}

TEST(Verify, ComparesTheRequestId)
{
	EXPECT_EQ(verify({ { "X-Request-Id", "r1" } }, "", "r1"), VERIFY_OK);
	EXPECT_EQ(verify({ { "x-request-id", "r2" } }, "", "r1"),
	    VERIFY_OTHER_REQUEST);
	EXPECT_EQ(verify({ { "x-request-id", "r11" } }, "", "r1"),
	    VERIFY_OTHER_REQUEST);
}

TEST(Verify, ComparesTheDigest)
{
	EXPECT_EQ(
	    verify({ { "content-digest", kHello } }, "hello", ""), VERIFY_OK);
	EXPECT_EQ(verify({ { "content-digest", kHello } }, "hellO", ""),
	    VERIFY_DIGEST);
	EXPECT_EQ(
	    verify({ { "content-digest", "sha-256=:short=:" } }, "hello", ""),
	    VERIFY_DIGEST);
	EXPECT_EQ(
	    verify({ { "content-digest", kHello } }, "", "", 1), VERIFY_OK);
}

} // namespace
