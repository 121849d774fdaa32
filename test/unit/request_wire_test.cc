// Failures guarded against: a header of one hop or a credential reaches a
// target, the framing of a target's request differs from its body, a stored
// answer differs from the response that it was made of.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "entry/request.h"
#include "proto/entry.pb-c.h"
}

namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

const std::string secret = "0a1b2c3d4e5f";

h2o_iovec_t
iovec(const std::string &s)
{
	return h2o_iovec_init(s.data(), s.size());
}

struct Fields {
	std::string method = "GET";
	std::string path = "/a?b=c";
	std::string body;
	Headers headers;
};

std::string
encode(const Fields &fields)
{
	static const std::string host = "h.example";
	h2o_req_t req = {};
	entry_workspace_t *workspace =
	    (entry_workspace_t *)calloc(1, sizeof(*workspace) + 3);
	entry_request_t request = {};
	buffer_t out = {};

	h2o_mem_init_pool(&req.pool);
	req.method = iovec(fields.method);
	req.input.path = iovec(fields.path);
	req.input.authority = iovec(host);
	req.entity = iovec(fields.body);
	for (const auto &h : fields.headers)
		h2o_add_header_by_str(&req.pool, &req.headers, h.first.data(),
		    h.first.size(), 1, nullptr, h.second.data(),
		    h.second.size());
	memcpy(workspace->name, "w1", 3);
	strcpy(request.id, "id-1");
	request.req = &req;
	request.workspace = workspace;
	request.key.secret = { secret.data(), secret.size() };
	EXPECT_EQ(request_encode(&request, 1500, &out), 0);
	std::string text((const char *)out.bytes, out.len);

	buffer_release(&out);
	free(workspace);
	h2o_mem_clear_pool(&req.pool);
	return text;
}

const std::string own = "x-tm-workspace: w1\r\nx-request-id: id-1\r\n"
			"x-tm-deadline-ms: 1500\r\n";

struct Response {
	Headers list;
	std::string body;
	std::vector<upstream_header_t> headers;
	upstream_response_t response = {};

	Response(const Headers &from, const std::string &bytes)
	    : list(from), body(bytes)
	{
		for (const auto &h : list)
			headers.push_back({ h.first.data(), h.first.size(),
			    h.second.data(), h.second.size() });
		response.status = 201;
		response.headers = headers.data();
		response.header_count = headers.size();
		response.body = (const uint8_t *)body.data();
		response.body_len = body.size();
	}
};

} // namespace

TEST(RequestWire, WritesOneFraming)
{
	const std::string head =
	    " /a?b=c HTTP/1.1\r\nhost: h.example\r\n" + own;

	EXPECT_EQ(encode({ "GET", "/a?b=c", "", {} }), "GET" + head + "\r\n");
	EXPECT_EQ(encode({ "POST", "/a?b=c", "",
		      { { "content-length", "9" },
			  { "transfer-encoding", "chunked" } } }),
	    "POST" + head + "content-length: 0\r\n\r\n");
	EXPECT_EQ(encode({ "DELETE", "/a?b=c", "xyz",
		      { { "Content-Length", "1" } } }),
	    "DELETE" + head + "content-length: 3\r\n\r\nxyz");
}

TEST(RequestWire, RemovesCredentialsAndHeadersOfOneHop)
{
	std::string text = encode({ "GET", "/", "",
	    { { "authorization", "Bearer tmk_a_" + secret },
		{ "x-api-key", "tmk_a_" + secret }, { "x-api-key", "" },
		{ "referer", "http://h/" + secret }, { "x-tm-workspace", "w2" },
		{ "x-request-id", "other" }, { "expect", "100-continue" },
		{ "te", "trailers" }, { "upgrade", "h2c" },
		{ "connection", "keep-alive, x-hop" }, { "x-hop", "1" },
		{ "connection", "X-Second" }, { "x-second", "2" },
		{ "x-kept", "3" }, { "x-empty", "" } } });

	EXPECT_EQ(text,
	    "GET / HTTP/1.1\r\nhost: h.example\r\nx-kept: 3\r\n"
	    "x-empty: \r\n" +
		own + "\r\n");
}

TEST(RequestWire, StoredAnswersKeepStatusHeadersAndBody)
{
	std::string body("a\0b\xff", 4);
	Response r({ { "Content-Type", "text/x" }, { "Set-Cookie", "a=1" },
		       { "Set-Cookie", "b=2" }, { "Connection", "x-hop" },
		       { "X-Hop", "1" }, { "X-Tm-Load", "running=1" },
		       { "Content-Length", "4" }, { "Server", "s" } },
	    body);
	size_t len = 0;
	uint8_t *bytes = request_encode_answer(&r.response, &len);

	ASSERT_NE(bytes, nullptr);
	EXPECT_EQ(request_is_valid_answer(bytes, len), 1);
	Tm__Answer *answer = tm__answer__unpack(nullptr, len, bytes);

	ASSERT_NE(answer, nullptr);
	EXPECT_EQ(answer->status, 201u);
	ASSERT_EQ(answer->n_headers, 3u);
	EXPECT_STREQ(answer->headers[0]->name, "Content-Type");
	EXPECT_EQ(std::string((char *)answer->headers[2]->value.data,
		      answer->headers[2]->value.len),
	    "b=2");
	EXPECT_EQ(
	    std::string((char *)answer->body.data, answer->body.len), body);
	tm__answer__free_unpacked(answer, nullptr);
	// Cut or altered bytes must not be read outside their bounds.
	for (size_t cut = 0; cut < len; cut++)
		request_is_valid_answer(bytes, cut);
	free(bytes);
}

TEST(RequestWire, KeepsNoAnswerThatIsTooLong)
{
	size_t len = 0;
	std::string body(CLAIM_ANSWER_MAX_BYTES, 'b');
	std::string name(CLAIM_ANSWER_MAX_BYTES + 1, 'n');
	Response large({}, body);
	Response named({ { name, "" } }, "");

	EXPECT_EQ(request_encode_answer(&large.response, &len), nullptr);
	EXPECT_EQ(request_encode_answer(&named.response, &len), nullptr);
	body.resize(CLAIM_ANSWER_MAX_BYTES - 64);
	Response fits({ { "a", "b" } }, body);
	uint8_t *bytes = request_encode_answer(&fits.response, &len);

	EXPECT_NE(bytes, nullptr);
	free(bytes);
}

TEST(RequestWire, RefusesStoredAnswersWithoutAStatus)
{
	Tm__Answer answer = TM__ANSWER__INIT;
	uint8_t bytes[64];

	for (uint32_t status : { 0u, 100u, 199u, 600u, 4294967295u }) {
		answer.status = status;
		size_t len = tm__answer__pack(&answer, bytes);

		EXPECT_EQ(request_is_valid_answer(bytes, len), 0) << status;
	}
}

TEST(RequestWire, ReadsLoadReports)
{
	uint32_t running = 0, queued = 0, slots = 0;
	Headers good = { { "X-Tm-Load", "running=1;queued=2;slots=3" } };
	Response r(good, "");

	EXPECT_EQ(
	    response_read_load(&r.response, &running, &queued, &slots), 1);
	EXPECT_EQ(running + queued * 10 + slots * 100, 321u);
	for (std::string value : { "", "running=", "running=x;queued=2;slots=3",
		 "running=1;queued=2" }) {
		Headers bad = { { "x-tm-load", value } };
		Response b(bad, "");

		EXPECT_EQ(
		    response_read_load(&b.response, &running, &queued, &slots),
		    0)
		    << value;
	}
	Headers shed = { { "x-tm-shed", "1" } };
	Response s(shed, "");

	EXPECT_EQ(response_has_header(&s.response, "X-Tm-Shed", "1"), 1);
	EXPECT_EQ(response_has_header(&s.response, "x-tm-shed", "10"), 0);
}
