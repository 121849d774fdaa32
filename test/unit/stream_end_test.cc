// Failures guarded against: a caller that left is not noticed because bytes that
// it had sent are unread; one that waits counts as one that left.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "net/stream_end.h"
}

namespace {

// Both ends of a connection over loopback.
class StreamEnd : public testing::Test {
      protected:
	StreamEnd()
	{
		struct sockaddr_in addr = {};
		socklen_t len = sizeof(addr);
		int listener = socket(AF_INET, SOCK_STREAM, 0);

		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listener, (struct sockaddr *)&addr, len);
		listen(listener, 1);
		getsockname(listener, (struct sockaddr *)&addr, &len);
		far_ = socket(AF_INET, SOCK_STREAM, 0);
		connect(far_, (struct sockaddr *)&addr, len);
		near_ = accept(listener, nullptr, nullptr);
		close(listener);
	}

	~StreamEnd() override
	{
		close(near_);
		if (far_ >= 0)
			close(far_);
	}

	void
	Leave(int is_reset)
	{
		struct linger linger = { is_reset, 0 };

		setsockopt(
		    far_, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(far_);
		far_ = -1;
		usleep(20000);
	}

	int near_ = -1;
	int far_ = -1;
};

} // namespace

TEST_F(StreamEnd, AnOpenConnectionHasNotEnded)
{
	EXPECT_FALSE(stream_end_is_pending(near_));
	ASSERT_EQ(4, write(far_, "more", 4));
	usleep(20000);
	EXPECT_FALSE(stream_end_is_pending(near_));
}

TEST_F(StreamEnd, AClosedConnectionHasEnded)
{
	Leave(0);
	EXPECT_TRUE(stream_end_is_pending(near_));
}

TEST_F(StreamEnd, AClosedConnectionWithUnreadBytesHasEnded)
{
	ASSERT_EQ(4, write(far_, "more", 4));
	Leave(0);
	EXPECT_TRUE(stream_end_is_pending(near_));
}

TEST_F(StreamEnd, AResetConnectionHasEnded)
{
	Leave(1);
	EXPECT_TRUE(stream_end_is_pending(near_));
}
