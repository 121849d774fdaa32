// Failures guarded against: a listener ends an idle connection although the next
// request of its caller has arrived, arrives, or is on its way, and the caller gets
// neither an answer nor a refusal.
#include "http_listener.h"

namespace {

constexpr uint32_t kIdleMs = 900;
constexpr uint32_t kLongIdleMs = 3000;
constexpr size_t kLargeBytes = 400000;
const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

class HttpIdle : public HttpListener {
      protected:
	void
	ListenIdle(uint32_t idle_timeout_ms, int announces_idle = 0)
	{
		http_server_options_t options = {};

		options.idle_timeout_ms = idle_timeout_ms;
		options.announces_idle = announces_idle;
		options.late = CountLate;
		Listen(10, nullptr, &options);
	}

	static void
	CountLate(void *ctx, const http_late_request_t *late)
	{
		((HttpIdle *)ctx)->late_count_++;
		((HttpIdle *)ctx)->late_ = *late;
	}

	// Runs the loop and answers each request.
	bool
	Serve(Caller *caller, const std::function<bool()> &is_done,
	    int64_t patience_ms = kPatienceMs)
	{
		return (RunUntil(
		    caller,
		    [&] {
			    if (request_ != nullptr)
				    Answer(2, true);
			    return (is_done());
		    },
		    patience_ms));
	}

	void
	GetAnswer(Caller *caller)
	{
		size_t wanted = caller->CountAnswers() + 1;

		caller->Send(kRequest);
		ASSERT_TRUE(Serve(caller,
		    [&] { return (caller->CountAnswers() == wanted); }));
	}

	// @return whether the connection is still open after this time
	bool
	IsOpenAfter(Caller *caller, int64_t ms)
	{
		return (!Serve(
		    caller,
		    [&] { return (caller->is_ended_ || caller->is_reset_); },
		    ms));
	}

	// @return time from then to the end of the connection
	int64_t
	MeasureEnd(Caller *caller, int64_t since_ms)
	{
		EXPECT_FALSE(IsOpenAfter(caller, kPatienceMs));
		return (NowMs() - since_ms);
	}

	// The loop does not run for this time, as in a busy process.
	static void
	Block(uint32_t ms)
	{
		usleep(ms * 1000);
	}

	int late_count_ = 0;
	http_late_request_t late_ = {};
};

} // namespace

// Idle connections are not kept for good, before a first request and after it.
TEST_F(HttpIdle, ConnectionsWithoutARequestEnd)
{
	ListenIdle(kIdleMs);
	int64_t since_ms = NowMs();
	Caller unused(addr_);

	EXPECT_GE(MeasureEnd(&unused, since_ms), kIdleMs);
	since_ms = NowMs();
	Caller caller(addr_);

	GetAnswer(&caller);
	EXPECT_GE(MeasureEnd(&caller, since_ms), kIdleMs);
}

// A process that was busy when the idle timeout passed ended the connection before
// it read the request that had arrived by then.
TEST_F(HttpIdle, ARequestThatArrivedBeforeTheTimeoutIsAnswered)
{
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	GetAnswer(&caller);
	Block(kIdleMs / 2);
	caller.Send(kRequest);
	caller.Step();
	Block(kIdleMs);
	Serve(&caller,
	    [&] { return (caller.CountAnswers() == 2 || caller.is_ended_); });
	EXPECT_EQ(2u, caller.CountAnswers());
	EXPECT_FALSE(caller.is_ended_);
}

// The same for the rest of a request of which a part was read before.
TEST_F(HttpIdle, ARestThatArrivedBeforeTheTimeoutIsRead)
{
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	GetAnswer(&caller);
	caller.Send(kRequest.substr(0, 10));
	EXPECT_TRUE(IsOpenAfter(&caller, kIdleMs / 3));
	caller.Send(kRequest.substr(10));
	caller.Step();
	Block(kIdleMs);
	Serve(&caller,
	    [&] { return (caller.CountAnswers() == 2 || caller.is_ended_); });
	EXPECT_EQ(2u, caller.CountAnswers());
}

// The time of a request ran from the response before it, so that one that came late
// on its connection and took some time to arrive was cut off.
TEST_F(HttpIdle, ARequestHasTheWholeTimeoutToArrive)
{
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	GetAnswer(&caller);
	EXPECT_TRUE(IsOpenAfter(&caller, kIdleMs * 2 / 3));
	caller.Send(kRequest.substr(0, 10));
	EXPECT_TRUE(IsOpenAfter(&caller, kIdleMs * 2 / 3));
	caller.Send(kRequest.substr(10));
	Serve(&caller,
	    [&] { return (caller.CountAnswers() == 2 || caller.is_ended_); });
	EXPECT_EQ(2u, caller.CountAnswers());
}

// A body that arrives without a pause, but for longer than the timeout, was cut off.
TEST_F(HttpIdle, ABodyThatArrivesSteadilyMayTakeLonger)
{
	constexpr int kParts = 6;
	const std::string part(20000, 'x');

	body_max_bytes_ = kParts * part.size();
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
	    std::to_string(kParts * part.size()) + "\r\n\r\n");
	for (int i = 0; i < kParts; i++) {
		ASSERT_TRUE(IsOpenAfter(&caller, kIdleMs / 3));
		caller.Send(part);
	}
	Serve(&caller,
	    [&] { return (caller.CountAnswers() == 1 || caller.is_ended_); });
	EXPECT_EQ(1u, caller.CountAnswers());
}

// A request that never arrives whole does not hold its connection for good.
TEST_F(HttpIdle, ARequestThatDoesNotArriveEnds)
{
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	GetAnswer(&caller);
	int64_t since_ms = NowMs();
	caller.Send(kRequest.substr(0, 10));
	EXPECT_GE(MeasureEnd(&caller, since_ms), kIdleMs);
	EXPECT_EQ(1u, caller.CountAnswers());
}

// A shorter timeout ended connections whose callers relied on the longer one.
TEST_F(HttpIdle, AShorterTimeoutHoldsFromTheNextResponse)
{
	ListenIdle(kLongIdleMs);
	Caller caller(addr_);

	GetAnswer(&caller);
	http_server_set_idle_timeout(server_, kIdleMs);
	EXPECT_TRUE(IsOpenAfter(&caller, kLongIdleMs * 2 / 3));
	GetAnswer(&caller);
	EXPECT_LT(MeasureEnd(&caller, NowMs()), kLongIdleMs);
}

// Connections of different timeouts end in their own order.
TEST_F(HttpIdle, AShortTimeoutDoesNotWaitForALongOne)
{
	ListenIdle(kLongIdleMs);
	Caller first(addr_);

	GetAnswer(&first);
	http_server_set_idle_timeout(server_, kIdleMs);
	Caller second(addr_);

	GetAnswer(&second);
	EXPECT_LT(MeasureEnd(&second, NowMs()), kLongIdleMs / 2);
	EXPECT_TRUE(IsOpenAfter(&first, 100));
	EXPECT_FALSE(IsOpenAfter(&first, kLongIdleMs));
}

// A caller that still receives the last response is not idle.
TEST_F(HttpIdle, AResponseThatIsReceivedKeepsItsConnection)
{
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	caller.reads_ = false;
	StartRequest(&caller, "/");
	Answer(kLargeBytes, true);
	EXPECT_TRUE(IsOpenAfter(&caller, kIdleMs * 3));
	caller.reads_ = true;
	ASSERT_TRUE(RunUntil(
	    &caller, [&] { return (caller.BodyBytes() == kLargeBytes); }));
	EXPECT_FALSE(caller.is_ended_);
	GetAnswer(&caller);
}

// Callers that are not told how long they may use a connection use it until it is
// closed, and their request crosses the close.
TEST_F(HttpIdle, CallersAreToldLessThanTheTimeout)
{
	ListenIdle(15000, 1);
	Caller caller(addr_);

	GetAnswer(&caller);
	EXPECT_TRUE(caller.HasText("keep-alive: timeout=12\r\n"));
}

// Whole seconds below a short timeout do not exist, so it is kept for longer.
TEST_F(HttpIdle, AnAnnouncedSecondIsKept)
{
	ListenIdle(kIdleMs, 1);
	int64_t since_ms = NowMs();
	Caller caller(addr_);

	GetAnswer(&caller);
	EXPECT_TRUE(caller.HasText("keep-alive: timeout=1\r\n"));
	EXPECT_GE(MeasureEnd(&caller, since_ms), 1250);
}

// A caller may not use a connection that is closed behind its response.
TEST_F(HttpIdle, AClosedConnectionIsNotAnnounced)
{
	ListenIdle(15000, 1);
	Caller caller(addr_);

	StartRequest(&caller, "/");
	Answer(2);
	EXPECT_FALSE(IsOpenAfter(&caller, kPatienceMs));
	EXPECT_EQ(1u, caller.CountAnswers());
	EXPECT_FALSE(caller.HasText("keep-alive"));
}

// A request that crossed the close of an idle connection was read, so that its
// caller could not repeat it.
TEST_F(HttpIdle, ARequestThatCrossesTheCloseIsNotRead)
{
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	GetAnswer(&caller);
	caller.reads_ = false;
	RunUntil(
	    &caller, [] { return (false); }, kIdleMs + 100);
	EXPECT_EQ(0u, http_server_get_connections(server_));
	caller.Send(kRequest);
	caller.reads_ = true;
	RunUntil(
	    &caller, [] { return (false); }, 100);
	EXPECT_TRUE(caller.is_ended_ || caller.is_reset_);
	EXPECT_EQ(0, late_count_);
}

// A request behind a response that closes its connection gets no answer; unless this
// is told, its caller cannot be told from one that left.
TEST_F(HttpIdle, ARequestBehindAClosingResponseIsReported)
{
	ListenIdle(kIdleMs);
	Caller caller(addr_);

	StartRequest(&caller, "/");
	caller.Send(kRequest);
	ASSERT_TRUE(RunUntil(&caller, [&] { return (caller.IsSent()); }));
	Answer(2);
	RunUntil(&caller, [&] { return (late_count_ > 0); });
	EXPECT_EQ(1, late_count_);
	EXPECT_EQ(kRequest.size(), late_.bytes);
	EXPECT_EQ(kRequest.size(), late_.unread_bytes);
	EXPECT_LT(late_.idle_ms, kIdleMs);
}

// A process that ends with unread requests resets them.
TEST_F(HttpIdle, AnUnreadRequestIsNotDelivered)
{
	ListenIdle(kLongIdleMs);
	Caller caller(addr_);

	GetAnswer(&caller);
	ASSERT_TRUE(RunUntil(
	    &caller, [&] { return (http_server_is_delivered(server_)); }));
	caller.Send(kRequest);
	caller.Step();
	EXPECT_FALSE(http_server_is_delivered(server_));
	Serve(&caller, [&] { return (caller.CountAnswers() == 2); });
	EXPECT_TRUE(RunUntil(
	    &caller, [&] { return (http_server_is_delivered(server_)); }));
}
