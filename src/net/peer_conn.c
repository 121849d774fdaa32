#include "net/peer_conn.h"

#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <openssl/rand.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "net/msg_types.h"
#include "proto/net.pb-c.h"

#define HANDSHAKE_TIMEOUT_MS 2000
/* Bounds what a stranger can make this process hold before it is known. */
#define HANDSHAKE_FRAME_MAX_BYTES 512
#define HANDSHAKE_CONNS_MAX	  256
#define KEEP_BUFFER_MAX_BYTES	  8192
#define RETRY_MIN_MS		  200
#define RETRY_MAX_MS		  5000
/* The kernel reports a peer that stops acknowledging after this time. */
#define UNACKED_TIMEOUT_MS 5000

static void peer_conn_on_read(
    uv_stream_t *stream, ssize_t count, const uv_buf_t *buf);

static void
peer_conn_free(uv_handle_t *handle)
{
	peer_conn_t *conn = handle->data;

	frame_auth_destroy(conn->tx);
	frame_auth_destroy(conn->rx);
	buffer_release(&conn->in);
	buffer_release(&conn->out);
	buffer_release(&conn->writing);
	buffer_release(&conn->pending);
	free(conn);
}

static void
peer_node_schedule_retry(peer_node_t *node)
{
	if (node->backoff_ms < RETRY_MIN_MS)
		node->backoff_ms = RETRY_MIN_MS;
	node->retry_at_ms = clock_now_ms() + node->backoff_ms;
	node->backoff_ms *= 2;
	if (node->backoff_ms > RETRY_MAX_MS)
		node->backoff_ms = RETRY_MAX_MS;
}

static void
peer_conn_detach(peer_conn_t *conn)
{
	peer_node_t *node = conn->node;

	if (node == NULL)
		return;
	if (node->out == conn) {
		node->out = NULL;
		peer_node_schedule_retry(node);
	}
	if (node->in == conn)
		node->in = NULL;
	conn->node = NULL;
}

void
peer_conn_close(peer_conn_t *conn)
{
	if (conn->state == PEER_CONN_CLOSED)
		return;
	if (!conn->is_client && conn->state != PEER_CONN_OPEN)
		conn->net->unauthenticated--;
	conn->state = PEER_CONN_CLOSED;
	peer_conn_detach(conn);
	DL_DELETE(conn->net->conns, conn);
	uv_close((uv_handle_t *)&conn->tcp, peer_conn_free);
}

static void
peer_conn_fail(peer_conn_t *conn, int err)
{
	const char *name = conn->remote_name;

	if (err == TM_EAUTH)
		conn->net->stats.auth_failures++;
	LOG_EVENT(101, LOG_LEVEL_WARN, "peer connection closed",
	    LOG_TEXT("peer", name), LOG_TEXT("error", error_get_text(err)),
	    LOG_TEXT("remedy", error_get_remedy(err)));
	peer_conn_close(conn);
}

static peer_conn_t *
peer_conn_create(peer_net_t *net, int is_client)
{
	peer_conn_t *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		return (NULL);
	if (RAND_bytes(conn->nonce, sizeof(conn->nonce)) != 1) {
		free(conn);
		return (NULL);
	}
	conn->net = net;
	conn->number = ++net->conn_count;
	conn->is_client = is_client;
	conn->deadline_ms = clock_now_ms() + HANDSHAKE_TIMEOUT_MS;
	conn->tcp.data = conn;
	conn->connect.data = conn;
	conn->write.data = conn;
	uv_tcp_init(net->loop, &conn->tcp);
	DL_APPEND(net->conns, conn);
	return (conn);
}

static void
peer_conn_set_options(peer_conn_t *conn)
{
	unsigned int timeout_ms = UNACKED_TIMEOUT_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return;
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
}

/* Appends a frame; without an authenticator the tag is zero. */
static int
peer_conn_put_frame(peer_conn_t *conn, frame_auth_t *auth, uint16_t type,
    const uint8_t *payload, size_t len)
{
	uint8_t *room = buffer_reserve(&conn->out, FRAME_OVERHEAD_BYTES + len);
	uint8_t *tag;
	int err = TM_OK;

	if (room == NULL)
		return (TM_ENOMEM);
	frame_write_head(room, type, len);
	if (len > 0)
		memcpy(
		    room + FRAME_LENGTH_BYTES + FRAME_TYPE_BYTES, payload, len);
	tag = room + FRAME_LENGTH_BYTES + FRAME_TYPE_BYTES + len;
	memset(tag, 0, FRAME_TAG_BYTES);
	if (auth != NULL)
		err = frame_auth_sign(auth, type, payload, len, tag);
	if (err == TM_OK)
		conn->out.len += FRAME_OVERHEAD_BYTES + len;
	return (err);
}

static int
peer_conn_put_message(peer_conn_t *conn, frame_auth_t *auth, uint16_t type,
    const ProtobufCMessage *msg)
{
	uint8_t packed[HANDSHAKE_FRAME_MAX_BYTES];
	size_t len = protobuf_c_message_get_packed_size(msg);

	if (len > sizeof(packed))
		return (TM_ETOOBIG);
	protobuf_c_message_pack(msg, packed);
	return (peer_conn_put_frame(conn, auth, type, packed, len));
}

static int
peer_conn_put_hello(peer_conn_t *conn)
{
	Tm__PeerHello hello = TM__PEER_HELLO__INIT;

	hello.name = conn->net->name;
	hello.incarnation = conn->net->incarnation;
	hello.nonce.data = conn->nonce;
	hello.nonce.len = sizeof(conn->nonce);
	return (peer_conn_put_message(conn, NULL, MSG_PEER_HELLO, &hello.base));
}

static int
peer_conn_put_auth(peer_conn_t *conn)
{
	Tm__PeerAuth auth = TM__PEER_AUTH__INIT;

	return (
	    peer_conn_put_message(conn, conn->tx, MSG_PEER_AUTH, &auth.base));
}

/* Frees an empty buffer that grew large. */
static void
peer_conn_trim(buffer_t *buffer)
{
	if (buffer->size > KEEP_BUFFER_MAX_BYTES)
		buffer_release(buffer);
}

static void
peer_conn_on_written(uv_write_t *req, int status)
{
	peer_conn_t *conn = req->data;

	conn->is_writing = 0;
	conn->writing.len = 0;
	peer_conn_trim(&conn->writing);
	if (conn->state == PEER_CONN_CLOSED)
		return;
	if (status != 0)
		peer_conn_close(conn);
	else
		peer_conn_flush(conn);
}

void
peer_conn_flush(peer_conn_t *conn)
{
	buffer_t swap;
	uv_buf_t buf;
	int count;

	if (conn->is_writing || conn->out.len == 0 ||
	    conn->state == PEER_CONN_CONNECTING ||
	    conn->state == PEER_CONN_CLOSED)
		return;
	buf = uv_buf_init((char *)conn->out.bytes, (unsigned)conn->out.len);
	count = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
	if (count > 0)
		buffer_consume(&conn->out, (size_t)count);
	if (count < 0 && count != UV_EAGAIN) {
		peer_conn_close(conn);
		return;
	}
	if (conn->out.len == 0) {
		peer_conn_trim(&conn->out);
		return;
	}
	swap = conn->writing;
	conn->writing = conn->out;
	conn->out = swap;
	conn->is_writing = 1;
	buf = uv_buf_init(
	    (char *)conn->writing.bytes, (unsigned)conn->writing.len);
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1,
		peer_conn_on_written) != 0)
		peer_conn_close(conn);
}

/* One buffer serves all connections: a VM can have 740 of them. */
static void
peer_conn_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	peer_conn_t *conn = handle->data;

	buf->base = (char *)conn->net->read_buffer;
	buf->len = sizeof(conn->net->read_buffer);
}

/* Moves the messages that waited for the handshake into tagged frames. */
static int
peer_conn_release_pending(peer_conn_t *conn)
{
	const uint8_t *p = conn->pending.bytes;
	const uint8_t *end = p + conn->pending.len;
	frame_t frame;
	int err;

	while (p < end) {
		if (frame_decode(p, (size_t)(end - p), PEER_FRAME_MAX_BYTES,
			&frame) != 1)
			return (TM_EFORMAT);
		err = peer_conn_put_frame(
		    conn, conn->tx, frame.type, frame.payload, frame.len);
		if (err != TM_OK)
			return (err);
		p += frame.total_bytes;
	}
	buffer_release(&conn->pending);
	return (TM_OK);
}

/* Gives the connection to its node; an older one of the same kind ends. */
static int
peer_conn_attach(peer_conn_t *conn, peer_node_t *node)
{
	if (conn->remote.incarnation < node->incarnation)
		return (TM_ESTALE);
	node->incarnation = conn->remote.incarnation;
	if (conn->is_client)
		return (TM_OK);
	if (node->in != NULL)
		peer_conn_close(node->in);
	node->in = conn;
	conn->node = node;
	return (TM_OK);
}

static int
peer_conn_set_open(peer_conn_t *conn)
{
	peer_node_t *node;
	int err;

	node =
	    peer_net_get_node(conn->net, node_id_from_name(conn->remote_name));
	if (node == NULL)
		return (TM_ENOMEM);
	err = peer_conn_attach(conn, node);
	if (err != TM_OK)
		return (err);
	if (!conn->is_client)
		conn->net->unauthenticated--;
	conn->state = PEER_CONN_OPEN;
	node->backoff_ms = 0;
	LOG_EVENT(100, LOG_LEVEL_DEBUG, "peer connection open",
	    LOG_TEXT("peer", conn->remote_name));
	return (peer_conn_release_pending(conn));
}

static int
peer_conn_derive_keys(peer_conn_t *conn, const char *secret)
{
	frame_identity_t self = { .name = conn->net->name,
		.incarnation = conn->net->incarnation };
	const frame_identity_t *client =
	    conn->is_client ? &self : &conn->remote;
	const frame_identity_t *server =
	    conn->is_client ? &conn->remote : &self;

	memcpy(self.nonce, conn->nonce, sizeof(self.nonce));
	frame_auth_destroy(conn->tx);
	frame_auth_destroy(conn->rx);
	conn->tx = frame_auth_create(secret, client, server, conn->is_client);
	conn->rx = frame_auth_create(secret, client, server, !conn->is_client);
	return (conn->tx != NULL && conn->rx != NULL ? TM_OK : TM_ENOMEM);
}

static int
peer_conn_read_hello(peer_conn_t *conn, const frame_t *frame)
{
	Tm__PeerHello *hello;
	int err = TM_EFORMAT;

	if (frame->type != MSG_PEER_HELLO)
		return (TM_EFORMAT);
	hello = tm__peer_hello__unpack(NULL, frame->len, frame->payload);
	if (hello == NULL)
		return (TM_EFORMAT);
	if (node_name_is_valid(hello->name) &&
	    hello->nonce.len == FRAME_NONCE_BYTES) {
		snprintf(conn->remote_name, sizeof(conn->remote_name), "%s",
		    hello->name);
		conn->remote.name = conn->remote_name;
		conn->remote.incarnation = hello->incarnation;
		memcpy(
		    conn->remote.nonce, hello->nonce.data, FRAME_NONCE_BYTES);
		err = TM_OK;
	}
	tm__peer_hello__free_unpacked(hello, NULL);
	return (err);
}

static int
peer_conn_handle_hello(peer_conn_t *conn, const frame_t *frame)
{
	int err = peer_conn_read_hello(conn, frame);

	if (err != TM_OK)
		return (err);
	conn->state = PEER_CONN_AUTH;
	if (!conn->is_client)
		return (peer_conn_put_hello(conn));
	if (node_id_from_name(conn->remote_name) != conn->node->id)
		return (TM_EAUTH);
	err = peer_conn_derive_keys(conn, conn->net->secrets[0]);
	if (err != TM_OK)
		return (err);
	return (peer_conn_put_auth(conn));
}

/* The accepting side finds out which of its secrets the other one used. */
static int
peer_conn_match_secret(peer_conn_t *conn, const frame_t *frame)
{
	int err;
	int i;

	for (i = 0; i < PEER_SECRETS_MAX; i++) {
		if (conn->net->secrets[i] == NULL)
			continue;
		err = peer_conn_derive_keys(conn, conn->net->secrets[i]);
		if (err != TM_OK)
			return (err);
		if (frame_auth_verify(conn->rx, frame) == TM_OK)
			return (TM_OK);
	}
	return (TM_EAUTH);
}

static int
peer_conn_handle_auth(peer_conn_t *conn, const frame_t *frame)
{
	int err;

	if (frame->type != MSG_PEER_AUTH)
		return (TM_EFORMAT);
	if (conn->is_client) {
		err = frame_auth_verify(conn->rx, frame);
		return (err != TM_OK ? err : peer_conn_set_open(conn));
	}
	err = peer_conn_match_secret(conn, frame);
	if (err != TM_OK)
		return (err);
	err = peer_conn_put_auth(conn);
	return (err != TM_OK ? err : peer_conn_set_open(conn));
}

static int
peer_conn_handle_data(peer_conn_t *conn, const frame_t *frame)
{
	peer_net_t *net = conn->net;
	int err = frame_auth_verify(conn->rx, frame);

	if (err != TM_OK)
		return (err);
	net->stats.received_count++;
	net->stats.received_bytes += frame->total_bytes;
	net->receive(net->ctx, node_id_from_name(conn->remote_name),
	    conn->remote.incarnation, frame->type, frame->payload, frame->len);
	return (TM_OK);
}

static int
peer_conn_handle_frame(peer_conn_t *conn, const frame_t *frame)
{
	switch (conn->state) {
	case PEER_CONN_HELLO:
		return (peer_conn_handle_hello(conn, frame));
	case PEER_CONN_AUTH:
		return (peer_conn_handle_auth(conn, frame));
	case PEER_CONN_OPEN:
		return (peer_conn_handle_data(conn, frame));
	default:
		return (TM_ECANCELED);
	}
}

/*
 * Handles all complete frames; the receiver may close the connection.
 *
 * @param used  bytes of the frames that were handled
 * @return      0 or the error that ends the connection
 */
static int
peer_conn_parse(
    peer_conn_t *conn, const uint8_t *bytes, size_t len, size_t *used)
{
	frame_t frame;
	size_t max;
	int err;

	*used = 0;
	while (conn->state != PEER_CONN_CLOSED) {
		max = conn->state == PEER_CONN_OPEN ? PEER_FRAME_MAX_BYTES
						    : HANDSHAKE_FRAME_MAX_BYTES;
		err = frame_decode(bytes + *used, len - *used, max, &frame);
		if (err != 1)
			return (err);
		*used += frame.total_bytes;
		err = peer_conn_handle_frame(conn, &frame);
		if (err != TM_OK)
			return (err);
	}
	return (TM_OK);
}

/* Handles bytes from the shared buffer; keeps an incomplete frame. */
static int
peer_conn_take(peer_conn_t *conn, const uint8_t *bytes, size_t len)
{
	size_t used;
	int err;

	if (conn->in.len > 0) {
		err = buffer_append(&conn->in, bytes, len);
		if (err == TM_OK)
			err = peer_conn_parse(
			    conn, conn->in.bytes, conn->in.len, &used);
		if (err == TM_OK && conn->state != PEER_CONN_CLOSED)
			buffer_consume(&conn->in, used);
	} else {
		err = peer_conn_parse(conn, bytes, len, &used);
		if (err == TM_OK && conn->state != PEER_CONN_CLOSED)
			err =
			    buffer_append(&conn->in, bytes + used, len - used);
	}
	if (conn->in.len == 0)
		buffer_release(&conn->in);
	return (err);
}

static void
peer_conn_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	peer_conn_t *conn = stream->data;
	int err;

	if (conn->state == PEER_CONN_CLOSED || count == 0)
		return;
	if (count < 0) {
		peer_conn_close(conn);
		return;
	}
	conn->received_ms = clock_now_ms();
	err = peer_conn_take(conn, (const uint8_t *)buf->base, (size_t)count);
	if (err != TM_OK && conn->state != PEER_CONN_CLOSED)
		peer_conn_fail(conn, err);
}

static void
peer_conn_start(peer_conn_t *conn)
{
	conn->state = PEER_CONN_HELLO;
	peer_conn_set_options(conn);
	uv_read_start(
	    (uv_stream_t *)&conn->tcp, peer_conn_alloc, peer_conn_on_read);
}

static void
peer_conn_on_connect(uv_connect_t *req, int status)
{
	peer_conn_t *conn = req->data;

	if (conn->state == PEER_CONN_CLOSED)
		return;
	if (status != 0) {
		peer_conn_close(conn);
		return;
	}
	peer_conn_start(conn);
	if (peer_conn_put_hello(conn) != TM_OK)
		peer_conn_close(conn);
}

peer_conn_t *
peer_conn_open(peer_net_t *net, peer_node_t *node)
{
	peer_conn_t *conn = peer_conn_create(net, 1);

	if (conn == NULL)
		return (NULL);
	conn->state = PEER_CONN_CONNECTING;
	conn->node = node;
	node->out = conn;
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)&node->addr,
		peer_conn_on_connect) != 0) {
		peer_conn_close(conn);
		return (NULL);
	}
	return (conn);
}

void
peer_conn_accept(peer_net_t *net)
{
	peer_conn_t *conn = peer_conn_create(net, 0);

	if (conn == NULL)
		return;
	net->unauthenticated++;
	if (uv_accept((uv_stream_t *)&net->listener,
		(uv_stream_t *)&conn->tcp) != 0 ||
	    net->unauthenticated > HANDSHAKE_CONNS_MAX) {
		peer_conn_close(conn);
		return;
	}
	peer_conn_start(conn);
}

static int
peer_conn_put_pending(
    peer_conn_t *conn, uint16_t type, const uint8_t *payload, size_t len)
{
	uint8_t *room;

	room = buffer_reserve(&conn->pending, FRAME_OVERHEAD_BYTES + len);
	if (room == NULL)
		return (TM_ENOMEM);
	frame_write_head(room, type, len);
	room += FRAME_LENGTH_BYTES + FRAME_TYPE_BYTES;
	if (len > 0)
		memcpy(room, payload, len);
	memset(room + len, 0, FRAME_TAG_BYTES);
	conn->pending.len += FRAME_OVERHEAD_BYTES + len;
	return (TM_OK);
}

int
peer_conn_send(
    peer_conn_t *conn, uint16_t type, const uint8_t *payload, size_t len)
{
	size_t queued = conn->out.len + conn->writing.len + conn->pending.len;

	if (queued + len > PEER_QUEUE_MAX_BYTES)
		return (TM_EFULL);
	if (conn->state != PEER_CONN_OPEN)
		return (peer_conn_put_pending(conn, type, payload, len));
	return (peer_conn_put_frame(conn, conn->tx, type, payload, len));
}
