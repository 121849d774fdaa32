// Guards against: a request that is written to a target long after its token
// and its claim were checked, because the VM was frozen while the connection
// to the target opened.
#include <gtest/gtest.h>

#include <cstdlib>

extern "C" {
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/error.h"
#include "http/upstream.h"
}

namespace {

struct Call {
	uv_loop_t loop;
	int listener = -1;
	bool done = false;
	upstream_result_t result = UPSTREAM_COMPLETE;
	upstream_t *upstream = nullptr;
	upstream_call_t *call = nullptr;

	Call()
	{
		sockaddr_in addr = {};
		socklen_t len = sizeof(addr);

		uv_loop_init(&loop);
		upstream = upstream_create(&loop);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(listener, (sockaddr *)&addr, len), 0);
		EXPECT_EQ(listen(listener, 8), 0);
		EXPECT_EQ(getsockname(listener, (sockaddr *)&addr, &len), 0);
		upstream_request_t request = {};
		request.to = addr;
		request.bytes = "GET / HTTP/1.1\r\n\r\n";
		request.len = 18;
		request.done = on_done;
		request.ctx = this;
		EXPECT_EQ(
		    upstream_call_start(upstream, &request, &call), TM_OK);
	}

	~Call()
	{
		int64_t until = clock_now_ms() + 5000;

		close(listener);
		if (!done)
			upstream_call_cancel(call);
		upstream_close_idle(upstream);
		while (
		    upstream_get_total(upstream) > 0 && clock_now_ms() < until)
			uv_run(&loop, UV_RUN_NOWAIT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		free(upstream);
	}

	static void
	on_done(
	    void *ctx, upstream_result_t result, const upstream_response_t *)
	{
		static_cast<Call *>(ctx)->done = true;
		static_cast<Call *>(ctx)->result = result;
	}

	// Runs the loop for 100 ms. @return bytes that reached the target
	ssize_t
	run()
	{
		char bytes[64];
		int64_t until = clock_now_ms() + 100;

		while (clock_now_ms() < until)
			uv_run(&loop, UV_RUN_NOWAIT);
		int conn = accept(listener, nullptr, nullptr);
		ssize_t got = recv(conn, bytes, sizeof(bytes), MSG_DONTWAIT);
		close(conn);
		return got > 0 ? got : 0;
	}
};

TEST(UpstreamFreeze, WritesOnAConnectionThatOpensInTime)
{
	Call call;

	EXPECT_EQ(call.run(), 18);
	EXPECT_FALSE(call.done);
}

TEST(UpstreamFreeze, WritesNothingAfterAFreezeWhileConnecting)
{
	Call call;

	poll(nullptr, 0, 700); // the loop does not run, as in a frozen process
	EXPECT_EQ(call.run(), 0);
	EXPECT_TRUE(call.done);
	EXPECT_EQ(call.result, UPSTREAM_REFUSED);
}

} // namespace
