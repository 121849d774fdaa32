// A pool of connections and fake targets on one loop.
#ifndef TM_TEST_UPSTREAM_FIXTURE_H
#define TM_TEST_UPSTREAM_FIXTURE_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "http/upstream.h"
}

namespace {

struct Peer {
	uv_tcp_t tcp = {};
	std::string received;
	int is_ended = 0;
	int is_open = 1;

	void
	Send(const std::string &bytes)
	{
		ASSERT_TRUE(is_open);
		uv_buf_t buf =
		    uv_buf_init((char *)bytes.data(), (unsigned)bytes.size());

		ASSERT_EQ(uv_try_write((uv_stream_t *)&tcp, &buf, 1),
		    (int)bytes.size());
	}

	void
	Close()
	{
		if (!is_open)
			return;
		is_open = 0;
		uv_close((uv_handle_t *)&tcp, nullptr);
	}

	// Ends the connection with RST.
	void
	Reset()
	{
		ASSERT_TRUE(is_open);
		is_open = 0;
		ASSERT_EQ(uv_tcp_close_reset(&tcp, nullptr), 0);
	}

	// No more bytes follow: FIN.
	void
	EndWrites()
	{
		uv_os_fd_t fd = -1;

		ASSERT_EQ(uv_fileno((uv_handle_t *)&tcp, &fd), 0);
		ASSERT_EQ(shutdown(fd, SHUT_WR), 0);
	}
};

struct Outcome {
	int done = 0;
	upstream_result_t result = UPSTREAM_REFUSED;
	int status = 0;
	std::string headers, body;
};

void
on_done(void *ctx, upstream_result_t result, const upstream_response_t *r)
{
	auto *out = (Outcome *)ctx;

	out->done++;
	out->result = result;
	if (r == nullptr)
		return;
	out->status = r->status;
	out->body.assign((const char *)r->body, r->body_len);
	for (size_t i = 0; i < r->header_count; i++)
		out->headers +=
		    std::string(r->headers[i].name, r->headers[i].name_len) +
		    "=" +
		    std::string(r->headers[i].value, r->headers[i].value_len) +
		    ";";
}

// A fake target and the pool on one loop.
class Upstream : public ::testing::Test {
      protected:
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_timer_t timer;
	struct sockaddr_in addr;
	upstream_t *upstream;
	std::vector<std::unique_ptr<Peer>> peers;
	Peer missing;
	int reads = 1; // new peers are read from
	int64_t idle_close_ms = 0; // of further calls

	static void
	on_alloc(uv_handle_t *, size_t, uv_buf_t *buf)
	{
		static char bytes[65536];

		*buf = uv_buf_init(bytes, sizeof(bytes));
	}

	static void
	on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
	{
		auto *peer = (Peer *)stream->data;

		if (n > 0)
			peer->received.append(buf->base, (size_t)n);
		if (n < 0)
			peer->is_ended = 1;
	}

	static void
	on_accept(uv_stream_t *stream, int)
	{
		auto *self = (Upstream *)stream->data;
		auto peer = std::make_unique<Peer>();

		uv_tcp_init(&self->loop, &peer->tcp);
		peer->tcp.data = peer.get();
		uv_accept(stream, (uv_stream_t *)&peer->tcp);
		if (self->reads)
			uv_read_start(
			    (uv_stream_t *)&peer->tcp, on_alloc, on_read);
		self->peers.push_back(std::move(peer));
	}

	void
	SetUp() override
	{
		int len = sizeof(addr);

		uv_loop_init(&loop);
		uv_tcp_init(&loop, &listener);
		listener.data = this;
		uv_ip4_addr("127.0.0.1", 0, &addr);
		uv_tcp_bind(&listener, (struct sockaddr *)&addr, 0);
		uv_listen((uv_stream_t *)&listener, 16, on_accept);
		uv_tcp_getsockname(&listener, (struct sockaddr *)&addr, &len);
		uv_timer_init(&loop, &timer);
		upstream = upstream_create(&loop);
	}

	void
	TearDown() override
	{
		upstream_close_idle(upstream);
		uv_close((uv_handle_t *)&listener, nullptr);
		uv_close((uv_handle_t *)&timer, nullptr);
		for (auto &peer : peers)
			peer->Close();
		RunUntil([&] { return upstream_get_total(upstream) == 0; });
		uv_run(&loop, UV_RUN_NOWAIT);
		EXPECT_EQ(upstream_get_total(upstream), 0u);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		free(upstream);
	}

	// Runs the loop until a condition holds, at most 5 s.
	void
	RunUntil(std::function<bool()> condition)
	{
		int64_t end_ms = clock_now_ms() + 5000;

		while (!condition() && clock_now_ms() < end_ms) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(200);
		}
		EXPECT_TRUE(condition());
	}

	void
	RunFor(int64_t ms)
	{
		int64_t end_ms = clock_now_ms() + ms;

		while (clock_now_ms() < end_ms) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(200);
		}
	}

	upstream_call_t *
	Start(Outcome *out, const std::string &bytes = "GET / HTTP/1.1\r\n\r\n",
	    int is_head = 0, int is_fresh = 0, int is_lenient = 0)
	{
		upstream_request_t request = {};
		upstream_call_t *call = nullptr;

		request.to = addr;
		request.bytes = bytes.data();
		request.len = bytes.size();
		request.is_head = is_head;
		request.is_fresh = is_fresh;
		request.is_lenient = is_lenient;
		request.idle_close_ms = idle_close_ms;
		request.done = on_done;
		request.ctx = out;
		EXPECT_EQ(upstream_call_start(upstream, &request, &call), 0);
		return call;
	}

	// Waits until the target has received the nth request on a connection.
	Peer *
	Await(size_t peer, const std::string &text)
	{
		RunUntil([&] {
			return peers.size() > peer &&
			    peers[peer]->received.find(text) !=
			    std::string::npos;
		});
		if (peers.size() > peer)
			return peers[peer].get();
		missing.is_open = 0;
		return &missing;
	}

	// One call, answered with bytes; then the target closes if asked to.
	Outcome
	Exchange(const std::string &answer, int closes = 0, int is_head = 0)
	{
		Outcome out;
		size_t before = peers.size();

		Start(&out, "GET / HTTP/1.1\r\n\r\n", is_head, 0);
		Peer *peer = Await(before, "\r\n\r\n");

		if (!answer.empty())
			peer->Send(answer);
		if (closes)
			peer->Close();
		RunUntil([&] { return out.done > 0; });
		EXPECT_EQ(out.done, 1);
		upstream_close_idle(upstream);
		RunUntil([&] { return upstream_get_total(upstream) == 0; });
		return out;
	}

	// One lenient call whose answer and the end of its connection arrive
	// together.
	Outcome
	ExchangeAtOnce(
	    const std::string &answer, std::function<void(Peer *)> end)
	{
		Outcome out;
		size_t before = peers.size();

		Start(&out, "GET / HTTP/1.1\r\n\r\n", 0, 0, 1);
		Peer *peer = Await(before, "\r\n\r\n");

		peer->Send(answer);
		end(peer);
		RunUntil([&] { return out.done > 0; });
		peer->Close();
		RunUntil([&] { return upstream_get_total(upstream) == 0; });
		return out;
	}
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string hello = ok + "Content-Length: 5\r\n\r\nhello";
const std::string get = "GET / HTTP/1.1\r\n\r\n";

} // namespace

#endif
