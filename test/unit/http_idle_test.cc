// Failures guarded against: a listener ends an idle connection although the next
// request of its caller has arrived, and the caller gets neither an answer nor a
// refusal.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <functional>
#include <list>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "base/error.h"
#include "http/http_server.h"
}

namespace {

constexpr uint32_t kIdleMs = 300;
constexpr uint32_t kShortIdleMs = 100;
constexpr int kPatienceMs = 3000;
const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

int64_t
NowMs()
{
	return (std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
		    .count());
}

// A caller that does not block.
class Caller {
      public:
	explicit Caller(const struct sockaddr_in &addr)
	{
		connect(fd_, (const struct sockaddr *)&addr, sizeof(addr));
		fcntl(fd_, F_SETFL, O_NONBLOCK);
	}

	~Caller()
	{
		close(fd_);
	}

	void
	Send(const std::string &text)
	{
		EXPECT_EQ((ssize_t)text.size(),
		    send(fd_, text.data(), text.size(), MSG_NOSIGNAL));
	}

	void
	Receive()
	{
		char part[4096];
		ssize_t count;

		while ((count = recv(fd_, part, sizeof(part), 0)) > 0)
			got_.append(part, (size_t)count);
		is_ended_ |= count == 0 || (count < 0 && errno != EAGAIN);
	}

	size_t
	CountAnswers() const
	{
		size_t count = 0;
		size_t at = 0;

		while (
		    (at = got_.find("HTTP/1.1 200", at)) != std::string::npos) {
			count++;
			at++;
		}
		return (count);
	}

	bool is_ended_ = false;

      private:
	int fd_ = socket(AF_INET, SOCK_STREAM, 0);
	std::string got_;
};

// A listener and its loop; listeners have no end before that of the process.
struct Listener {
	uv_loop_t loop;
	http_server_t *server;
};

class HttpIdle : public testing::Test {
      protected:
	void
	SetUp() override
	{
		static auto *listeners = new std::list<Listener>;
		http_server_options_t options = {};

		listeners->emplace_back();
		listener_ = &listeners->back();
		uv_loop_init(&listener_->loop);
		options.loop = &listener_->loop;
		options.addr.sin_family = AF_INET;
		options.addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		options.addr.sin_port = FindPort();
		options.server_name = "test";
		options.connections_max = 10;
		options.body_max_bytes = 1000;
		options.idle_timeout_ms = kIdleMs;
		options.handle = HandleRequest;
		ASSERT_EQ(
		    TM_OK, http_server_create(&listener_->server, &options));
		addr_ = options.addr;
	}

	static in_port_t
	FindPort()
	{
		struct sockaddr_in addr = {};
		socklen_t len = sizeof(addr);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd, (struct sockaddr *)&addr, len);
		getsockname(fd, (struct sockaddr *)&addr, &len);
		close(fd);
		return (addr.sin_port);
	}

	static void
	HandleRequest(void *, h2o_req_t *req)
	{
		http_request_reply(req, 200, "text/plain", "ok", 2);
	}

	// Runs the loop until the condition holds or the time is over.
	bool
	RunUntil(Caller *caller, const std::function<bool()> &is_done,
	    int64_t patience_ms = kPatienceMs)
	{
		int64_t end_ms = NowMs() + patience_ms;

		while (!is_done()) {
			if (NowMs() > end_ms)
				return (false);
			uv_run(&listener_->loop, UV_RUN_NOWAIT);
			caller->Receive();
			usleep(500);
		}
		return (true);
	}

	void
	GetAnswer(Caller *caller)
	{
		size_t wanted = caller->CountAnswers() + 1;

		caller->Send(kRequest);
		ASSERT_TRUE(RunUntil(caller,
		    [&] { return (caller->CountAnswers() == wanted); }));
	}

	// The loop does not run for this time, as in a busy process.
	static void
	Block(uint32_t ms)
	{
		usleep(ms * 1000);
	}

	Listener *listener_ = nullptr;
	struct sockaddr_in addr_ = {};
};

} // namespace

// A process that was busy when the idle timeout passed ended the connection before
// it read the request that had arrived by then.
TEST_F(HttpIdle, ARequestThatArrivedBeforeTheTimeoutIsAnswered)
{
	Caller caller(addr_);

	GetAnswer(&caller);
	Block(kIdleMs / 2);
	caller.Send(kRequest);
	Block(kIdleMs);
	RunUntil(&caller,
	    [&] { return (caller.CountAnswers() == 2 || caller.is_ended_); });
	EXPECT_EQ(2u, caller.CountAnswers());
	EXPECT_FALSE(caller.is_ended_);
}
