// Failures guarded against: a response that is split at any byte is read
// differently, bytes after the end go unnoticed, a malformed or oversized head
// passes or is read outside its bounds.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "base/error.h"
#include "base/rng.h"
#include "http/http_chunks.h"
#include "http/response.h"
}

namespace {

void
on_header(void *ctx, const char *name, size_t name_len, const char *value,
    size_t value_len)
{
	auto *out = (std::string *)ctx;

	*out += std::string(name, name_len) + "=" +
	    std::string(value, value_len) + ";";
}

struct Result {
	int rc = 0;
	size_t rest = 0;
	std::string headers, body;
	response_t response = {};
};

/* Feeds a text in pieces of the given size. */
Result
feed(const std::string &text, size_t piece, int is_to_head = 0)
{
	Result r;

	response_reset(&r.response, is_to_head, 1536, on_header, &r.headers);
	for (size_t at = 0; at < text.size() && r.rc == 0; at += piece) {
		std::string bytes = text.substr(at, piece);

		r.rc = response_take(
		    &r.response, &bytes[0], bytes.size(), &r.rest);
		r.rest += r.rc == 1 ? text.size() - at - bytes.size() : 0;
	}
	r.body.assign((const char *)r.response.body.bytes, r.response.body.len);
	response_release(&r.response);
	return r;
}

const char *const with_length = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
				"X-A: b\r\n\r\nhello";
const char *const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			    "\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";

} // namespace

TEST(Response, IsReadTheSameForEverySplit)
{
	for (std::string text : { with_length, chunked }) {
		for (size_t piece = 1; piece <= text.size(); piece++) {
			Result r = feed(text, piece);

			ASSERT_EQ(r.rc, 1) << piece;
			EXPECT_EQ(r.response.status, 200);
			EXPECT_EQ(r.body, "hello");
			EXPECT_EQ(r.rest, 0u);
			EXPECT_EQ(r.response.keeps_alive, 1);
		}
	}
	EXPECT_EQ(feed(with_length, 7).headers, "Content-Length=5;X-A=b;");
}

TEST(Response, ReportsBytesAfterItsEnd)
{
	for (size_t piece : { 1, 9, 1000 })
		for (std::string text : { with_length, chunked })
			EXPECT_EQ(feed(text + "extra", piece).rest, 5u);
}

TEST(Response, HandlesHeadInformationalAndClose)
{
	Result r = feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 3, 1);

	EXPECT_EQ(r.rc, 1);
	r = feed("HTTP/1.1 204 No Content\r\n\r\n", 100);
	EXPECT_EQ(r.rc, 1);
	for (size_t piece : { 1, 10, 1000 }) {
		r = feed(
		    std::string("HTTP/1.1 100 Continue\r\n\r\n") + with_length,
		    piece);
		EXPECT_EQ(r.rc, 1);
		EXPECT_EQ(r.response.status, 200);
		EXPECT_EQ(r.body, "hello");
	}
	r = feed("HTTP/1.0 200 OK\r\n\r\nuntil", 100);
	EXPECT_EQ(r.rc, 0);
	EXPECT_EQ(response_is_complete_at_close(&r.response), 1);
	r = feed("HTTP/1.1 200 OK\r\nConnection: close\r\n"
		 "Content-Length: 1\r\n\r\nx",
	    100);
	EXPECT_EQ(r.response.keeps_alive, 0);
}

TEST(Response, RejectsMalformedHeads)
{
	for (std::string text :
	    { "HTTP/2 200 OK\r\n\r\n", "garbage\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" })
		for (size_t piece : { 1, 5, 1000 })
			EXPECT_EQ(feed(text, piece).rc, TM_EFORMAT) << text;
	std::string large = "HTTP/1.1 200 OK\r\nX-A: ";

	large.append(RESPONSE_HEAD_MAX, 'a');
	for (size_t piece : { 100, 4096 })
		EXPECT_EQ(feed(large, piece).rc, TM_ETOOBIG);
}

TEST(Response, RefusesTwoFramings)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";

	for (std::string head : { "Content-Length: 5\r\nContent-Length: 4\r\n",
		 "Content-Length: 5, 5\r\n", "Content-Length: +5\r\n",
		 "Content-Length: 0x5\r\n", "Content-Length: \r\n",
		 "Content-Length: 9999999999999999999\r\n",
		 "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		 "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
		 "Transfer-Encoding: chunked\r\n"
		 "Transfer-Encoding: chunked\r\n",
		 "Transfer-Encoding: gzip, chunked\r\n",
		 "Transfer-Encoding: identity\r\n", "X: a\r\n folded\r\n" })
		for (size_t piece : { 1, 7, 1000 })
			EXPECT_EQ(
			    feed(ok + head + "\r\nhello", piece).rc, TM_EFORMAT)
			    << head;
	Result r =
	    feed(ok + "Content-Length: 5\r\ncontent-length: 5\r\n\r\nhello", 3);

	EXPECT_EQ(r.rc, 1);
	EXPECT_EQ(r.body, "hello");
	EXPECT_EQ(feed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"
		       "\r\n0\r\n\r\n",
		      100)
		      .rc,
	    TM_EFORMAT);
}

TEST(Response, ReadsOddChunks)
{
	const std::string head =
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
	const std::string good[] = { "5;a=b\r\nhello\r\n0\r\n\r\n",
		"0005\r\nhello\r\n00\r\n\r\n",
		"5\r\nhello\r\n0\r\nX-Trailer: v\r\n\r\n",
		"1\r\nh\r\n4\r\nello\r\n0;x\r\n\r\n" };
	const std::string bad[] = { "-5\r\nhello\r\n0\r\n\r\n",
		"g\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n",
		"5\r\nhelloX\r\n0\r\n\r\n",
		"11111111111111111\r\nhello\r\n0\r\n\r\n" };

	for (const std::string &body : good) {
		for (size_t piece = 1; piece <= body.size(); piece++) {
			Result r = feed(head + body, piece);

			ASSERT_EQ(r.rc, 1) << body << " " << piece;
			EXPECT_EQ(r.body, "hello") << body << " " << piece;
			EXPECT_EQ(r.rest, 0u) << body << " " << piece;
		}
	}
	for (const std::string &body : bad)
		for (size_t piece : { 1, 3, 1000 })
			EXPECT_EQ(feed(head + body, piece).rc, TM_EFORMAT)
			    << body << " " << piece;
	for (size_t cut = 0; cut < good[0].size(); cut++) {
		Result r = feed(head + good[0].substr(0, cut), 1000);

		EXPECT_EQ(r.rc, 0) << cut;
		EXPECT_EQ(response_is_complete_at_close(&r.response), 0) << cut;
	}
}

TEST(Response, ReadsCloseInAList)
{
	for (std::string value :
	    { "close", "Close", "keep-alive, close", "close,x", " x ,\tCLOSE" })
		EXPECT_EQ(
		    feed("HTTP/1.1 204 N\r\nConnection: " + value + "\r\n\r\n",
			1000)
			.response.keeps_alive,
		    0)
		    << value;
	for (std::string value : { "keep-alive", "closed", "x-close", "" })
		EXPECT_EQ(
		    feed("HTTP/1.1 204 N\r\nConnection: " + value + "\r\n\r\n",
			1000)
			.response.keeps_alive,
		    1)
		    << value;
}

TEST(Response, RefusesStatusesThatEndNoRequest)
{
	for (std::string status : { "000", "099", "101", "600", "999", "20" })
		for (size_t piece : { 1, 1000 })
			EXPECT_EQ(feed("HTTP/1.1 " + status +
					  " X\r\nContent-Length: 0\r\n\r\n",
				      piece)
				      .rc,
			    TM_EFORMAT)
			    << status;
}

// Thousands of informational responses in one read must not use up the stack.
TEST(Response, BoundsInformationalResponses)
{
	std::string text;

	for (int i = 0; i < 4000; i++)
		text += "HTTP/1.1 100 \r\n\r\n";
	for (size_t piece : { (size_t)1, (size_t)65536 })
		EXPECT_EQ(feed(text + with_length, piece).rc, TM_EFORMAT);
	text.clear();
	for (int i = 0; i < 10; i++)
		text += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
	for (size_t piece : { (size_t)1, (size_t)65536 }) {
		Result r = feed(text + with_length, piece);

		EXPECT_EQ(r.rc, 1);
		EXPECT_EQ(r.headers, "Content-Length=5;X-A=b;");
	}
}

TEST(Response, BoundsTheHeadInOnePiece)
{
	std::string text = "HTTP/1.1 200 OK\r\nX-A: ";

	text.append(RESPONSE_HEAD_MAX, 'a');
	text += "\r\nContent-Length: 0\r\n\r\n";
	for (size_t piece : { (size_t)100, text.size() })
		EXPECT_EQ(feed(text, piece).rc, TM_ETOOBIG) << piece;
}

// A target in trouble sends bytes until the connection is closed. The reader must
// not wait for an end that does not come, nor keep all of it. Data without an end
// is the matter of Upstream.BoundsBodyAndHeaders.
TEST(Response, EndsWithAnErrorWhereBytesHaveNoEnd)
{
	const std::string head = "HTTP/1.1 200 OK\r\n";
	const std::string with_chunks =
	    head + "Transfer-Encoding: chunked\r\n\r\n";
	const struct {
		std::string start;
		std::string repeated;
	} streams[] = {
		{ "", "x" },
		{ "", "\r\n" },
		{ head, "X-A: b\r\n" },
		{ head + "X-A: ", "b" },
		{ "", "HTTP/1.1 100 \r\n\r\n" },
		{ with_chunks, "0" },
		{ with_chunks + "4;", "x" },
		{ with_chunks + "0\r\n", "X-A: b\r\n" },
	};

	for (const auto &stream : streams) {
		std::string text = stream.start;

		while (text.size() < (size_t)8 * RESPONSE_HEAD_MAX)
			text += stream.repeated;
		for (size_t piece : { (size_t)1, (size_t)1000, text.size() })
			EXPECT_LT(feed(text, piece).rc, 0)
			    << stream.start << "(" << stream.repeated << ")";
	}
}

TEST(Response, SurvivesRandomDamage)
{
	const uint64_t seed = 20240601;
	rng_t rng;

	rng_init(&rng, seed);
	for (int i = 0; i < 20000; i++) {
		std::string text = i % 2 ? with_length : chunked;

		for (int n = (int)rng_below(&rng, 4); n >= 0; n--)
			text[rng_below(&rng, text.size())] =
			    (char)rng_next(&rng);
		Result r = feed(text, 1 + rng_below(&rng, text.size()));

		ASSERT_LE(r.rc, 1) << "seed " << seed;
		ASSERT_LE(r.rest, text.size()) << "seed " << seed;
	}
}

namespace {

/* Decodes a body in pieces. @return the data, or why there is none */
std::string
DecodeChunks(const std::string &body, size_t piece, size_t *rest)
{
	response_chunks_t decoder = {};
	std::string data;

	decoder.consume_trailer = 1;
	*rest = 0;
	for (size_t at = 0; at < body.size(); at += piece) {
		std::string part = body.substr(at, piece);
		size_t len = part.size();
		ssize_t rc = phr_decode_chunked(&decoder, &part[0], &len);

		if (rc == -1)
			return ("malformed");
		data.append(part, 0, len);
		if (rc >= 0) {
			*rest = (size_t)rc + body.size() -
			    std::min(body.size(), at + piece);
			return (data);
		}
	}
	return ("incomplete");
}

} // namespace

// A size line that two programs read differently hides a request in a body.
TEST(Chunks, SizeLinesAreStrict)
{
	const std::string next = "GET /hidden HTTP/1.1\r\n\r\n";
	size_t rest;

	for (size_t piece : { (size_t)1, (size_t)2, (size_t)7, (size_t)1000 }) {
		EXPECT_EQ("hello world",
		    DecodeChunks("5\r\nhello\r\n6;x=\"y\"\r\n world\r\n"
				 "0\r\nT: 1\r\n\r\n" +
			    next,
			piece, &rest));
		EXPECT_EQ(next.size(), rest);
		EXPECT_EQ("", DecodeChunks("000\r\n\r\n", piece, &rest));
		EXPECT_EQ("incomplete", DecodeChunks("0\r\n\r", piece, &rest));
		for (const char *bad : { "0x60\r\n\r\n", "0 \r\n\r\n",
			 " 0\r\n\r\n", "+5\r\nhello\r\n", "\r\n", ";x\r\n",
			 "5\nhello\r\n", "5\rhello\r\n", "5\r\nhello\n",
			 "5\r\nhelloX\r\n", "0\r\nT: 1\n\r\n", "0\r\n\n",
			 "5;x\n", "1234567812345678\r\n", "g\r\n" })
			EXPECT_EQ("malformed", DecodeChunks(bad, piece, &rest))
			    << bad << " in pieces of " << piece;
	}
}
