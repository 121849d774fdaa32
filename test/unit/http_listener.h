// A listener on loopback, and callers of it that do not block.
#ifndef TM_TEST_UNIT_HTTP_LISTENER_H
#define TM_TEST_UNIT_HTTP_LISTENER_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <list>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <openssl/ssl.h>

extern "C" {
#include "base/error.h"
#include "http/http_server.h"
}

namespace {

constexpr size_t kBodyMaxBytes = 1000;
constexpr int kReceiveBytes = 4096; // of a caller with a small window
constexpr int kPatienceMs = 3000;

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
	explicit Caller(const struct sockaddr_in &addr, SSL_CTX *tls = nullptr)
	{
		setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
		    sizeof(kReceiveBytes));
		connect(fd_, (const struct sockaddr *)&addr, sizeof(addr));
		fcntl(fd_, F_SETFL, O_NONBLOCK);
		if (tls == nullptr)
			return;
		ssl_ = SSL_new(tls);
		SSL_set_fd(ssl_, fd_);
		SSL_set_connect_state(ssl_);
	}

	~Caller()
	{
		SSL_free(ssl_);
		close(fd_);
	}

	void
	Send(const std::string &text)
	{
		unsent_ += text;
	}

	// Sends and receives what is possible now.
	void
	Step()
	{
		char part[65536];
		ssize_t count;

		if (!unsent_.empty()) {
			count = Write();
			if (count > 0)
				unsent_.erase(0, (size_t)count);
		}
		if (!reads_)
			return;
		while ((count = Read(part, sizeof(part))) > 0)
			got_.append(part, (size_t)count);
	}

	size_t
	BodyBytes() const
	{
		size_t head = got_.find("\r\n\r\n");

		return (head == std::string::npos ? 0 : got_.size() - head - 4);
	}

	bool
	HasStatus(int status) const
	{
		return (
		    got_.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0);
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

	bool
	HasText(const std::string &text) const
	{
		return (got_.find(text) != std::string::npos);
	}

	bool
	IsSent() const
	{
		return (unsent_.empty());
	}

	bool reads_ = true;
	bool is_ended_ = false;
	bool is_reset_ = false;

      private:
	ssize_t
	Write()
	{
		if (ssl_ != nullptr)
			return (SSL_write(
			    ssl_, unsent_.data(), (int)unsent_.size()));
		return (
		    send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL));
	}

	// Over TLS only a close_notify is an end.
	ssize_t
	Read(char *part, size_t size)
	{
		ssize_t count;
		int error;

		if (ssl_ != nullptr) {
			count = SSL_read(ssl_, part, (int)size);
			error = SSL_get_error(ssl_, (int)count);
			is_ended_ |= error == SSL_ERROR_ZERO_RETURN;
			is_reset_ |= error == SSL_ERROR_SYSCALL ||
			    error == SSL_ERROR_SSL;
			return (count);
		}
		count = recv(fd_, part, size, 0);
		is_ended_ |= count == 0;
		is_reset_ |= count < 0 && errno != EAGAIN;
		return (count);
	}

	int fd_ = socket(AF_INET, SOCK_STREAM, 0);
	SSL *ssl_ = nullptr;
	std::string unsent_;
	std::string got_;
};

// A listener and its loop; listeners have no end before that of the process.
struct Listener {
	uv_loop_t loop;
	http_server_t *server;
};

Listener *
MakeListener()
{
	static auto *listeners = new std::list<Listener>;

	listeners->emplace_back();
	uv_loop_init(&listeners->back().loop);
	return (&listeners->back());
}

class HttpListener : public testing::Test {
      protected:
	// @param own  options with the idle timeout and callbacks of a test
	void
	Listen(uint32_t connections_max, const http_tls_files_t *tls = nullptr,
	    const http_server_options_t *own = nullptr)
	{
		http_server_options_t options =
		    own != nullptr ? *own : http_server_options_t{};

		options.loop = &listener_->loop;
		options.addr.sin_family = AF_INET;
		options.addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		options.addr.sin_port = FindPort();
		options.server_name = "test";
		options.connections_max = connections_max;
		options.body_max_bytes = body_max_bytes_;
		if (own == nullptr)
			options.idle_timeout_ms = 60000;
		options.tls = tls;
		options.handle = HandleRequest;
		options.ctx = this;
		ASSERT_EQ(TM_OK, http_server_create(&server_, &options));
		listener_->server = server_;
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
	HandleRequest(void *ctx, h2o_req_t *req)
	{
		((HttpListener *)ctx)->request_ = req;
	}

	// Answers the request that runs, and closes its connection unless it is kept.
	void
	Answer(size_t bytes, bool is_kept = false)
	{
		std::string body(bytes, 'x');

		if (!is_kept)
			request_->http1_is_persistent = 0;
		http_request_reply(
		    request_, 200, "text/plain", body.data(), body.size());
		request_ = nullptr;
	}

	bool
	RunUntil(Caller *caller, const std::function<bool()> &is_done,
	    int64_t patience_ms = kPatienceMs)
	{
		int64_t end_ms = NowMs() + patience_ms;

		while (!is_done()) {
			if (NowMs() > end_ms)
				return (false);
			uv_run(&listener_->loop, UV_RUN_NOWAIT);
			caller->Step();
			usleep(500);
		}
		return (true);
	}

	void
	StartRequest(Caller *caller, const char *path)
	{
		caller->Send(std::string("GET ") + path +
		    " HTTP/1.1\r\nHost: a\r\n\r\n");
		ASSERT_TRUE(
		    RunUntil(caller, [&] { return (request_ != nullptr); }));
	}

	size_t body_max_bytes_ = kBodyMaxBytes;
	Listener *listener_ = MakeListener();
	struct sockaddr_in addr_ = {};
	http_server_t *server_ = nullptr;
	h2o_req_t *request_ = nullptr;
};

} // namespace

#endif
