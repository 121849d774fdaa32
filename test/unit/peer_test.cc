// Failures guarded against: a stranger without the secret that speaks as a
// VM, altered or replayed frames, messages of an older incarnation, a secret
// rotation that cuts VMs off, and a one-way drop rule that drops both ways.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "base/error.h"
#include "net/msg_types.h"
#include "net/peer.h"
#include "net/peer_frame.h"
#include "proto/net.pb-c.h"
}

namespace {

constexpr uint16_t TYPE_DATA = MSG_RAFT_BASE;

struct Received {
	node_id_t from;
	uint64_t incarnation;
	std::string text;
};

struct Node {
	peer_net_t *net = nullptr;
	std::vector<Received> received;
};

void
on_receive(void *ctx, node_id_t from, uint64_t incarnation, uint16_t type,
    const uint8_t *payload, size_t len)
{
	Node *node = static_cast<Node *>(ctx);
	Tm__PeerHello *msg = tm__peer_hello__unpack(nullptr, len, payload);

	ASSERT_NE(msg, nullptr);
	node->received.push_back({ from, incarnation, msg->name });
	tm__peer_hello__free_unpacked(msg, nullptr);
}

class Peer : public ::testing::Test {
      protected:
	uv_loop_t loop;
	std::vector<peer_net_t *> nets;

	void
	SetUp() override
	{
		uv_loop_init(&loop);
	}

	void
	TearDown() override
	{
		for (peer_net_t *net : nets)
			peer_net_close(net);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
	}

	void
	create(Node *node, const char *name, uint64_t incarnation,
	    const char *secret, const char *second = nullptr)
	{
		peer_options_t options = {};

		options.loop = &loop;
		options.node_name = name;
		options.incarnation = incarnation;
		options.listen_ip = "127.0.0.1";
		options.secrets[0] = secret;
		options.secrets[1] = second;
		options.receive = on_receive;
		options.ctx = node;
		ASSERT_EQ(peer_net_create(&node->net, &options), TM_OK);
		nets.push_back(node->net);
	}

	static void
	connect(Node *from, const char *name, const Node *to)
	{
		peer_net_set_address(from->net, node_id_from_name(name),
		    "127.0.0.1", peer_net_get_port(to->net));
	}

	static int
	send(Node *from, const char *to, const char *text)
	{
		Tm__PeerHello msg = TM__PEER_HELLO__INIT;

		msg.name = const_cast<char *>(text);
		return peer_net_send(
		    from->net, node_id_from_name(to), TYPE_DATA, &msg.base);
	}

	template <typename Done>
	void
	run_until(Done done, int limit_ms = 5000)
	{
		int64_t end_ms = clock_now_ms() + limit_ms;

		while (!done() && clock_now_ms() < end_ms)
			uv_run(&loop, UV_RUN_ONCE);
	}
};

TEST_F(Peer, DeliversInOrderBothWays)
{
	Node a, b;

	create(&a, "a", 1, "secret-0123456789");
	create(&b, "b", 7, "secret-0123456789");
	connect(&a, "b", &b);
	for (int i = 0; i < 100; i++)
		ASSERT_EQ(send(&a, "b", std::to_string(i).c_str()), TM_OK);
	run_until([&] { return b.received.size() == 100; });
	ASSERT_EQ(b.received.size(), 100u);
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(b.received[i].text, std::to_string(i));
	EXPECT_EQ(b.received[0].from, node_id_from_name("a"));
	EXPECT_EQ(b.received[0].incarnation, 1u);
	// b has no address of a and answers on the accepted connection.
	ASSERT_EQ(send(&b, "a", "answer"), TM_OK);
	run_until([&] { return a.received.size() == 1; });
	ASSERT_EQ(a.received.size(), 1u);
	EXPECT_EQ(a.received[0].incarnation, 7u);
}

// Guards against frames that are lost or mixed up when one read holds many of
// them or only a part of one.
TEST_F(Peer, DeliversFramesLargerThanOneRead)
{
	Node a, b;
	std::string big(300000, 'x');

	create(&a, "a", 1, "secret-0123456789");
	create(&b, "b", 1, "secret-0123456789");
	connect(&a, "b", &b);
	for (int i = 0; i < 8; i++) {
		ASSERT_EQ(send(&a, "b", big.c_str()), TM_OK);
		ASSERT_EQ(send(&a, "b", "small"), TM_OK);
	}
	run_until([&] { return b.received.size() == 16; });
	ASSERT_EQ(b.received.size(), 16u);
	for (int i = 0; i < 16; i++)
		EXPECT_EQ(b.received[i].text, i % 2 == 0 ? big : "small");
}

// A gate resets a connection by this time: one that is kept from a closed connection
// would hide that the new one is silent.
TEST_F(Peer, TellsWhenBytesLastArrived)
{
	const node_id_t a_id = node_id_from_name("a");
	Node a, b;
	int64_t sent_ms;

	create(&a, "a", 1, "secret-0123456789");
	create(&b, "b", 1, "secret-0123456789");
	connect(&a, "b", &b);
	EXPECT_EQ(peer_net_get_received_ms(b.net, a_id), 0);
	EXPECT_EQ(peer_net_get_connection(b.net, a_id), 0u);
	ASSERT_EQ(send(&a, "b", "first"), TM_OK);
	run_until([&] { return b.received.size() == 1; });
	sent_ms = clock_now_ms() + 2;
	while (clock_now_ms() < sent_ms)
		continue;
	EXPECT_LT(peer_net_get_received_ms(b.net, a_id), sent_ms);
	ASSERT_EQ(send(&a, "b", "second"), TM_OK);
	run_until([&] { return b.received.size() == 2; });
	EXPECT_GE(peer_net_get_received_ms(b.net, a_id), sent_ms);
	EXPECT_LE(peer_net_get_received_ms(b.net, a_id), clock_now_ms());
	peer_net_reset(b.net, a_id);
	EXPECT_EQ(peer_net_get_received_ms(b.net, a_id), 0);
}

// A leader that does not notice a new connection takes a table that was lost with the
// old one for one that is still on its way.
TEST_F(Peer, ANewConnectionHasAnotherNumber)
{
	const node_id_t a_id = node_id_from_name("a");
	Node a, b;
	uint64_t first;

	create(&a, "a", 1, "secret-0123456789");
	create(&b, "b", 1, "secret-0123456789");
	connect(&a, "b", &b);
	ASSERT_EQ(send(&a, "b", "first"), TM_OK);
	run_until([&] { return b.received.size() == 1; });
	first = peer_net_get_connection(b.net, a_id);
	EXPECT_NE(first, 0u);
	ASSERT_EQ(send(&a, "b", "second"), TM_OK);
	run_until([&] { return b.received.size() == 2; });
	EXPECT_EQ(peer_net_get_connection(b.net, a_id), first);
	peer_net_reset(a.net, node_id_from_name("b"));
	ASSERT_EQ(send(&a, "b", "third"), TM_OK);
	run_until([&] { return b.received.size() == 3; });
	EXPECT_NE(peer_net_get_connection(b.net, a_id), 0u);
	EXPECT_NE(peer_net_get_connection(b.net, a_id), first);
}

TEST_F(Peer, RefusesAStrangerWithoutTheSecret)
{
	Node a, b;

	create(&a, "a", 1, "other-secret-0123");
	create(&b, "b", 1, "secret-0123456789");
	connect(&a, "b", &b);
	send(&a, "b", "forged");
	run_until([&] { return peer_net_get_stats(b.net)->auth_failures > 0; });
	EXPECT_EQ(peer_net_get_stats(b.net)->auth_failures, 1u);
	EXPECT_TRUE(b.received.empty());
}

TEST_F(Peer, RotatesSecretsWithoutACut)
{
	Node a, b;

	create(&a, "a", 1, "new-secret-012345", "old-secret-012345");
	create(&b, "b", 1, "old-secret-012345", "new-secret-012345");
	connect(&a, "b", &b);
	connect(&b, "a", &a);
	send(&a, "b", "x");
	run_until([&] { return b.received.size() == 1; });
	EXPECT_EQ(b.received.size(), 1u);
}

TEST_F(Peer, RefusesAnOlderIncarnation)
{
	Node newer, older, b;

	create(&newer, "a", 9, "secret-0123456789");
	create(&older, "a", 8, "secret-0123456789");
	create(&b, "b", 1, "secret-0123456789");
	connect(&newer, "b", &b);
	connect(&older, "b", &b);
	send(&newer, "b", "new");
	run_until([&] { return b.received.size() == 1; });
	send(&older, "b", "old");
	run_until([&] { return b.received.size() == 2; }, 300);
	ASSERT_EQ(b.received.size(), 1u);
	EXPECT_EQ(b.received[0].text, "new");
}

TEST_F(Peer, DropRuleCutsOneDirectionOnly)
{
	Node a, b;

	create(&a, "a", 1, "secret-0123456789");
	create(&b, "b", 1, "secret-0123456789");
	connect(&a, "b", &b);
	connect(&b, "a", &a);
	ASSERT_EQ(peer_net_set_drop(a.net, node_id_from_name("b"), 1), TM_OK);
	send(&a, "b", "lost");
	send(&b, "a", "heard");
	run_until([&] { return a.received.size() == 1; });
	EXPECT_EQ(a.received.size(), 1u);
	EXPECT_TRUE(b.received.empty());
}

// A rotation without a restart must keep open connections and refuse the old
// secret in new handshakes once it is gone.
TEST_F(Peer, ReplacesSecretsForNewHandshakesOnly)
{
	const char *const both[PEER_SECRETS_MAX] = { "new", "old" };
	const char *const fresh[PEER_SECRETS_MAX] = { "new", nullptr };
	const char *const none[PEER_SECRETS_MAX] = { nullptr, "new" };
	Node a, b, late;

	create(&a, "a", 1, "old");
	create(&b, "b", 1, "old");
	connect(&a, "b", &b);
	send(&a, "b", "1");
	run_until([&] { return b.received.size() == 1; });
	EXPECT_EQ(peer_net_set_secrets(b.net, none), TM_EINVAL);
	EXPECT_EQ(peer_net_set_secrets(b.net, both), TM_OK);
	EXPECT_EQ(peer_net_set_secrets(b.net, fresh), TM_OK);
	send(&a, "b", "2");
	run_until([&] { return b.received.size() == 2; });
	EXPECT_EQ(b.received.size(), 2u);
	create(&late, "late", 1, "old");
	connect(&late, "b", &b);
	send(&late, "b", "3");
	run_until([&] { return false; }, 500);
	EXPECT_EQ(b.received.size(), 2u);
	EXPECT_EQ(peer_net_set_secrets(late.net, both), TM_OK);
	run_until(
	    [&] {
		    send(&late, "b", "4");
		    return b.received.size() > 2;
	    },
	    8000);
	EXPECT_GT(b.received.size(), 2u);
}

TEST(PeerFrame, DetectsAlteredAndReplayedFrames)
{
	frame_identity_t client = { "a", 1, { 1 } };
	frame_identity_t server = { "b", 2, { 2 } };
	frame_auth_t *tx = frame_auth_create("s", &client, &server, 1);
	frame_auth_t *rx = frame_auth_create("s", &client, &server, 1);
	uint8_t bytes[FRAME_OVERHEAD_BYTES + 3];
	frame_t frame;

	frame_write_head(bytes, TYPE_DATA, 3);
	memcpy(bytes + 6, "xyz", 3);
	frame_auth_sign(tx, TYPE_DATA, bytes + 6, 3, bytes + 9);
	ASSERT_EQ(frame_decode(bytes, sizeof(bytes), 1024, &frame), 1);
	bytes[7] ^= 1;
	EXPECT_EQ(frame_auth_verify(rx, &frame), TM_EAUTH);
	bytes[7] ^= 1;
	EXPECT_EQ(frame_auth_verify(rx, &frame), TM_OK);
	EXPECT_EQ(frame_auth_verify(rx, &frame), TM_EAUTH);
	frame_auth_destroy(tx);
	frame_auth_destroy(rx);
}

TEST(PeerFrame, RefusesBadLengths)
{
	uint8_t huge[] = { 0xff, 0xff, 0xff, 0xff, 0, 0 };
	uint8_t tiny[] = { 0, 0, 0, 1, 0, 0 };
	frame_t frame;

	EXPECT_EQ(frame_decode(huge, sizeof(huge), 1024, &frame), TM_ETOOBIG);
	EXPECT_EQ(frame_decode(tiny, sizeof(tiny), 1024, &frame), TM_EFORMAT);
	EXPECT_EQ(frame_decode(huge, 3, 1024, &frame), 0);
}

} // namespace
