// Failures guarded against: a part of a response passes as a whole one, a
// connection is used again while bytes of another response may be on it, a
// call that reached no target counts as one that may have run.
#include "upstream_fixture.h"

TEST_F(Upstream, ReadsAWholeResponseAndUsesTheConnectionAgain)
{
	Outcome first, second;

	Start(&first, get);
	Await(0, get)->Send(hello);
	RunUntil([&] { return first.done == 1; });
	EXPECT_EQ(first.result, UPSTREAM_COMPLETE);
	EXPECT_EQ(first.body, "hello");
	EXPECT_EQ(upstream_get_connections(upstream, &addr), 1u);
	Start(&second, get);
	Await(0, get + get)->Send(ok + "Content-Length: 2\r\n\r\nno");
	RunUntil([&] { return second.done == 1; });
	EXPECT_EQ(second.body, "no");
	EXPECT_EQ(peers.size(), 1u);
}

TEST_F(Upstream, ReportsEveryCutOfAResponse)
{
	const std::string chunked = ok +
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";

	EXPECT_EQ(Exchange("", 1).result, UPSTREAM_BROKEN);
	for (size_t cut = 1; cut < hello.size(); cut++)
		EXPECT_EQ(Exchange(hello.substr(0, cut), 1).result,
		    UPSTREAM_TRUNCATED)
		    << cut;
	for (size_t cut = 1; cut < chunked.size(); cut++)
		EXPECT_EQ(Exchange(chunked.substr(0, cut), 1).result,
		    UPSTREAM_TRUNCATED)
		    << cut;
	EXPECT_EQ(Exchange(chunked, 1).body, "hello");
	// Without a length, a part cannot be told from the whole.
	EXPECT_EQ(Exchange(ok + "\r\nhello", 1).result, UPSTREAM_TRUNCATED);
}

// The reset was read as an orderly end, and callers got half of a body as a
// whole one.
TEST_F(Upstream, ReportsAResetThatArrivesWithTheLastBytes)
{
	const std::string unframed = ok + "\r\nhello";
	const auto reset = [](Peer *peer) { peer->Reset(); };

	for (int i = 0; i < 20; i++)
		EXPECT_EQ(
		    ExchangeAtOnce(unframed, reset).result, UPSTREAM_TRUNCATED);
	EXPECT_EQ(
	    ExchangeAtOnce(hello.substr(0, hello.size() - 1), reset).result,
	    UPSTREAM_TRUNCATED);
	EXPECT_EQ(
	    ExchangeAtOnce(ok + "\r\n", reset).result, UPSTREAM_TRUNCATED);
}

// A response that ended in order must not count as truncated because the target
// resets the connection afterwards.
TEST_F(Upstream, TakesAnOrderlyEndForTheEndOfTheResponse)
{
	const std::string unframed = ok + "\r\nhello";

	EXPECT_EQ(
	    ExchangeAtOnce(unframed, [](Peer *peer) { peer->Close(); }).body,
	    "hello");
	EXPECT_EQ(ExchangeAtOnce(unframed,
		      [](Peer *peer) {
			      peer->EndWrites();
			      peer->Reset();
		      })
		      .body,
	    "hello");
}

// Forty responses at once took more memory than a VM has. A large one waits for
// its memory, small ones go on, and the large one is read on when there is some.
TEST_F(Upstream, ReadsALargeResponseOnceThereIsMemory)
{
	const size_t size = 4 * RESPONSE_BUDGET_SMALL_BYTES;
	const std::string large = ok +
	    "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
	    std::string(size, 'x');
	response_budget_t *budget = upstream_get_budget(upstream);
	Outcome waiting, small;
	size_t sent = 0;

	response_budget_hold(budget, budget->limit_bytes - size + 1);
	Start(&waiting, get);
	Peer *peer = Await(0, get);
	for (int64_t end_ms = clock_now_ms() + 300; clock_now_ms() < end_ms;) {
		uv_buf_t buf = uv_buf_init((char *)large.data() + sent,
		    (unsigned)(large.size() - sent));
		int n = uv_try_write((uv_stream_t *)&peer->tcp, &buf, 1);

		if (n > 0)
			sent += (size_t)n;
		upstream_tick(upstream, clock_now_ms());
		RunFor(1);
	}
	EXPECT_EQ(waiting.done, 0);
	Start(&small, get);
	Await(1, get)->Send(hello);
	RunUntil([&] { return small.done == 1; });
	EXPECT_EQ(small.body, "hello");
	response_budget_release(budget, budget->limit_bytes - size + 1);
	RunUntil([&] {
		uv_buf_t buf = uv_buf_init((char *)large.data() + sent,
		    (unsigned)(large.size() - sent));
		int n = sent < large.size()
		    ? uv_try_write((uv_stream_t *)&peer->tcp, &buf, 1)
		    : 0;

		if (n > 0)
			sent += (size_t)n;
		upstream_tick(upstream, clock_now_ms());
		return waiting.done == 1;
	});
	EXPECT_EQ(waiting.result, UPSTREAM_COMPLETE);
	EXPECT_EQ(waiting.body.size(), size);
	EXPECT_EQ(budget->reserved_bytes, 0u);
	EXPECT_EQ(budget->unwritten_bytes, 0u);
}

TEST_F(Upstream, RefusesAmbiguousAndMalformedResponses)
{
	for (std::string answer : {
		 ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		 ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		 hello + "x",
		 hello + hello,
		 std::string("HTTP/1.1 101 Switching\r\n\r\n"),
		 std::string("SSH-2.0-x\r\n\r\n"),
		 std::string("HTTP/1.1 204 No\r\nContent-Length: 1\r\n\r\nx"),
	     })
		EXPECT_EQ(Exchange(answer).result, UPSTREAM_MALFORMED)
		    << answer;
	EXPECT_EQ(Exchange(hello, 0, 1).result, UPSTREAM_MALFORMED);
	EXPECT_EQ(Exchange(ok + "Content-Length: 5\r\n\r\n", 0, 1).result,
	    UPSTREAM_COMPLETE);
}

TEST_F(Upstream, BoundsBodyAndHeaders)
{
	std::string many = ok, large = ok + "X: ";

	EXPECT_EQ(Exchange(ok + "Content-Length: 8388609\r\n\r\n").result,
	    UPSTREAM_OVERSIZED);
	for (int i = 0; i <= UPSTREAM_HEADERS_MAX; i++)
		many += "X-" + std::to_string(i) + ": v\r\n";
	EXPECT_EQ(Exchange(many + "Content-Length: 0\r\n\r\n").result,
	    UPSTREAM_MALFORMED);
	large.append(20000, 'a');
	EXPECT_EQ(Exchange(large + "\r\nContent-Length: 0\r\n\r\n").result,
	    UPSTREAM_MALFORMED);
	// Chunks past the limit end the call before the response ends.
	Outcome out;

	Start(&out);
	Peer *peer = Await(peers.size(), "\r\n\r\n");

	peer->Send(ok + "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < 400 && !out.done; i++) {
		peer->Send("8000\r\n" + std::string(0x8000, 'b') + "\r\n");
		RunFor(1);
	}
	EXPECT_EQ(out.result, UPSTREAM_OVERSIZED);
}

TEST_F(Upstream, PassesOverInformationalResponses)
{
	Outcome out = Exchange("HTTP/1.1 100 Continue\r\n\r\n"
			       "HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n" +
	    hello);

	EXPECT_EQ(out.result, UPSTREAM_COMPLETE);
	EXPECT_EQ(out.status, 200);
	EXPECT_EQ(out.headers, "Content-Length=5;");
	out = Exchange("HTTP/1.1 100 Continue\r\n\r\n", 1);
	EXPECT_NE(out.result, UPSTREAM_COMPLETE);
}

TEST_F(Upstream, SaysWhenNothingWasSent)
{
	Outcome out;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in open = addr;
	struct sockaddr_in closed = {};
	socklen_t len = sizeof(closed);

	// A bound port without a listener refuses connections.
	uv_ip4_addr("127.0.0.1", 0, &closed);
	ASSERT_EQ(bind(fd, (struct sockaddr *)&closed, len), 0);
	getsockname(fd, (struct sockaddr *)&closed, &len);
	addr = closed;
	upstream_call_t *call = Start(&out);

	EXPECT_EQ(upstream_call_is_sent(call), 0);
	RunUntil([&] { return out.done == 1; });
	EXPECT_EQ(out.result, UPSTREAM_REFUSED);
	addr = open;
	close(fd);
}

TEST_F(Upstream, DoesNotUseACancelledConnectionAgain)
{
	Outcome first, second;
	upstream_call_t *call = Start(&first, get);
	Peer *old = Await(0, get);

	upstream_call_cancel(call);
	Start(&second, get);
	Await(1, get)->Send(ok + "Content-Length: 6\r\n\r\nsecond");
	old->Send(hello); // late answer to the first call
	RunUntil([&] { return second.done == 1; });
	EXPECT_EQ(second.body, "second");
	EXPECT_EQ(first.done, 0);
	RunUntil([&] { return old->is_ended == 1; });
}

TEST_F(Upstream, DoesNotUseAConnectionThatAsksToClose)
{
	Outcome first, second;

	Start(&first, get);
	Await(0, get)->Send(ok +
	    "Connection: keep-alive, close\r\n"
	    "Content-Length: 0\r\n\r\n");
	RunUntil([&] { return first.done == 1; });
	Start(&second, get);
	Await(1, get)->Send(hello);
	RunUntil([&] { return second.done == 1; });
	EXPECT_EQ(second.result, UPSTREAM_COMPLETE);
}

// The loop has not yet seen that the target closed the idle connection.
TEST_F(Upstream, DoesNotSendOnAnIdleConnectionThatTheTargetClosed)
{
	Outcome first, second;
	int fd = -1;

	Start(&first, get);
	Await(0, get)->Send(hello);
	RunUntil([&] { return first.done == 1; });
	uv_fileno((uv_handle_t *)&peers[0]->tcp, &fd);
	shutdown(fd, SHUT_RDWR);
	usleep(20000);
	Start(&second, get);
	Await(1, get)->Send(hello);
	RunUntil([&] { return second.done == 1; });
	EXPECT_EQ(second.result, UPSTREAM_COMPLETE);
}

// Bytes after the first response are not the answer to the second request.
TEST_F(Upstream, DoesNotSendOnAnIdleConnectionWithUnreadBytes)
{
	Outcome first, second;

	Start(&first, get);
	Await(0, get)->Send(hello);
	RunUntil([&] { return first.done == 1; });
	peers[0]->Send(ok + "Content-Length: 5\r\n\r\nwrong");
	usleep(20000);
	Start(&second, get);
	Await(1, get)->Send(hello);
	RunUntil([&] { return second.done == 1; });
	EXPECT_EQ(second.body, "hello");
}

TEST_F(Upstream, ClosesAnIdleConnectionThatReceivesBytes)
{
	Outcome first;

	Start(&first, get);
	Await(0, get)->Send(hello);
	RunUntil([&] { return first.done == 1; });
	peers[0]->Send("HTTP");
	RunUntil([&] { return upstream_get_total(upstream) == 0; });
}

TEST_F(Upstream, DoesNotUseAConnectionWithAHalfWrittenRequest)
{
	std::string request = "POST / HTTP/1.1\r\n\r\n";
	Outcome first, second;

	request.append(16 * 1024 * 1024, 'r');
	reads = 0;
	Start(&first, request);
	RunUntil([&] { return peers.size() == 1; });
	RunFor(20);
	peers[0]->Send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
	RunUntil([&] { return first.done == 1; });
	EXPECT_EQ(first.result, UPSTREAM_COMPLETE);
	EXPECT_EQ(first.status, 413);
	reads = 1;
	Start(&second, get);
	Await(1, get)->Send(hello);
	RunUntil([&] { return second.done == 1; });
	EXPECT_EQ(second.body, "hello");
}

TEST_F(Upstream, ReportsATargetThatClosesWithinTheRequest)
{
	std::string request = "POST / HTTP/1.1\r\n\r\n";
	Outcome out;

	request.append(16 * 1024 * 1024, 'r');
	reads = 0;
	Start(&out, request);
	RunUntil([&] { return peers.size() == 1; });
	RunFor(20);
	peers[0]->Close();
	RunUntil([&] { return out.done == 1; });
	EXPECT_EQ(out.result, UPSTREAM_BROKEN);
}

// A target that ends connections soon after a response, without saying so, does
// it again while the next request is on the way, which may not be repeated.
TEST_F(Upstream, DoesNotReuseConnectionsOfATargetThatClosesThem)
{
	Outcome closed, kept, next;

	Start(&closed, get);
	Await(0, get)->Send(hello);
	Start(&kept, get);
	Await(1, get);
	RunUntil([&] { return closed.done == 1; });
	peers[0]->Close();
	RunFor(20);
	peers[1]->Send(hello);
	RunUntil([&] { return kept.done == 1; });
	RunFor(200); // longer than the wait before the close
	Start(&next, get);
	Await(2, get)->Send(hello);
	RunUntil([&] { return next.done == 1; });
	EXPECT_EQ(next.result, UPSTREAM_COMPLETE);
}

// The same, where the target closes after the next request was sent.
TEST_F(Upstream, DoesNotReuseConnectionsAfterARequestWasLostOnOne)
{
	Outcome first, kept, lost, next;

	Start(&first, get);
	Await(0, get)->Send(hello);
	Start(&kept, get);
	Await(1, get);
	RunUntil([&] { return first.done == 1; });
	Start(&lost, get);
	RunUntil([&] { return peers[0]->received == get + get; });
	peers[0]->Close();
	RunUntil([&] { return lost.done == 1; });
	EXPECT_EQ(lost.result, UPSTREAM_BROKEN);
	peers[1]->Send(hello);
	RunUntil([&] { return kept.done == 1; });
	RunFor(200); // longer than the wait before the loss
	Start(&next, get);
	Await(2, get)->Send(hello);
	RunUntil([&] { return next.done == 1; });
	EXPECT_EQ(next.result, UPSTREAM_COMPLETE);
}

// One connection that was closed after a long wait says nothing against those
// that are in steady use: each request would pay for a new connection.
TEST_F(Upstream, ReusesConnectionsThatWereIdleForLessThanTheClosedOne)
{
	Outcome closed, kept, next;

	Start(&closed, get);
	Await(0, get)->Send(hello);
	Start(&kept, get);
	Await(1, get);
	RunUntil([&] { return closed.done == 1; });
	RunFor(400);
	peers[0]->Close();
	RunFor(20);
	peers[1]->Send(hello);
	RunUntil([&] { return kept.done == 1; });
	Start(&next, get);
	RunUntil([&] { return peers[1]->received == get + get; });
	EXPECT_EQ(peers.size(), 2u);
	peers[1]->Send(hello);
	RunUntil([&] { return next.done == 1; });
}

// A target that closes connections after its keep-alive timeout counts as one that
// closes them without a word, so that connections are reused for half of it.
TEST_F(Upstream, ClosesIdleConnectionsBeforeTheTarget)
{
	Outcome first, next, last;

	idle_close_ms = 100;
	Start(&first, get);
	Await(0, get)->Send(hello);
	RunUntil([&] { return first.done == 1; });
	RunFor(120);
	upstream_tick(upstream, clock_now_ms());
	RunUntil([&] { return peers[0]->is_ended == 1; });
	Start(&next, get);
	Await(1, get)->Send(hello);
	RunUntil([&] { return next.done == 1; });
	RunFor(80);
	upstream_tick(upstream, clock_now_ms());
	Start(&last, get);
	RunUntil([&] { return peers[1]->received == get + get; });
	EXPECT_EQ(peers.size(), 2u);
	peers[1]->Send(hello);
	RunUntil([&] { return last.done == 1; });
}

// A claim that must run once does not go out on a connection that was idle.
TEST_F(Upstream, OpensAFreshConnectionAfterAWait)
{
	Outcome first, second;

	Start(&first, get);
	Await(0, get)->Send(hello);
	RunUntil([&] { return first.done == 1; });
	RunFor(1100);
	Start(&second, get, 0, 1);
	Await(1, get)->Send(hello);
	RunUntil([&] { return second.done == 1; });
	EXPECT_EQ(peers.size(), 2u);
}
