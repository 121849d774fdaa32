#include "net/peer.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "net/msg_types.h"
#include "net/peer_conn.h"

#define LISTEN_BACKLOG	  512
#define TIMER_INTERVAL_MS 100
#define PACK_STACK_BYTES  4096

static void
peer_net_on_connection(uv_stream_t *server, int status)
{
	peer_net_t *net = server->data;

	if (status == 0 && !net->is_closing)
		peer_conn_accept(net);
}

void
peer_net_flush(peer_net_t *net)
{
	peer_conn_t *conn;
	peer_conn_t *next;

	DL_FOREACH_SAFE(net->conns, conn, next)
		peer_conn_flush(conn);
}

static void
peer_net_on_flush(uv_prepare_t *handle)
{
	peer_net_flush(handle->data);
}

static void
peer_net_on_timer(uv_timer_t *handle)
{
	peer_net_t *net = handle->data;
	int64_t now_ms = clock_now_ms();
	peer_conn_t *conn;
	peer_conn_t *next;

	DL_FOREACH_SAFE(net->conns, conn, next) {
		if (conn->state != PEER_CONN_OPEN && now_ms > conn->deadline_ms)
			peer_conn_close(conn);
	}
}

static int
peer_net_listen(peer_net_t *net, const peer_options_t *options)
{
	struct sockaddr_in addr;
	struct sockaddr_storage bound;
	int bound_len = sizeof(bound);

	if (uv_ip4_addr(options->listen_ip, options->listen_port, &addr) != 0)
		return (TM_EINVAL);
	if (uv_tcp_bind(&net->listener, (struct sockaddr *)&addr, 0) != 0 ||
	    uv_listen((uv_stream_t *)&net->listener, LISTEN_BACKLOG,
		peer_net_on_connection) != 0)
		return (TM_EIO);
	uv_tcp_getsockname(
	    &net->listener, (struct sockaddr *)&bound, &bound_len);
	net->port = ntohs(((struct sockaddr_in *)&bound)->sin_port);
	return (TM_OK);
}

static void
peer_free_secrets(char *secrets[PEER_SECRETS_MAX])
{
	int i;

	for (i = 0; i < PEER_SECRETS_MAX; i++) {
		if (secrets[i] != NULL)
			OPENSSL_cleanse(secrets[i], strlen(secrets[i]));
		free(secrets[i]);
	}
}

static int
copy_secrets(
    const char *const secrets[PEER_SECRETS_MAX], char *copies[PEER_SECRETS_MAX])
{
	int i;

	if (secrets[0] == NULL)
		return (TM_EINVAL);
	for (i = 0; i < PEER_SECRETS_MAX; i++) {
		if (secrets[i] == NULL)
			continue;
		copies[i] = strdup(secrets[i]);
		if (copies[i] == NULL)
			return (TM_ENOMEM);
	}
	return (TM_OK);
}

int
peer_net_set_secrets(
    peer_net_t *net, const char *const secrets[PEER_SECRETS_MAX])
{
	char *copies[PEER_SECRETS_MAX] = { NULL };
	int err = copy_secrets(secrets, copies);

	if (err != TM_OK) {
		peer_free_secrets(copies);
		LOG_EVENT(102, LOG_LEVEL_ERROR, "the fleet secrets stay",
		    LOG_TEXT("error", error_get_text(err)),
		    LOG_TEXT("remedy", error_get_remedy(err)));
		return (err);
	}
	peer_free_secrets(net->secrets);
	memcpy(net->secrets, copies, sizeof(copies));
	return (TM_OK);
}

static void
peer_net_free(peer_net_t *net)
{
	peer_node_t *node;
	peer_node_t *next;

	HASH_ITER(hh, net->nodes, node, next) {
		HASH_DEL(net->nodes, node);
		free(node);
	}
	peer_free_secrets(net->secrets);
	free(net);
}

static void
peer_net_start_handles(peer_net_t *net)
{
	net->listener.data = net;
	net->flush.data = net;
	net->timer.data = net;
	net->handle_count = 3;
	uv_tcp_init(net->loop, &net->listener);
	uv_prepare_init(net->loop, &net->flush);
	uv_timer_init(net->loop, &net->timer);
	uv_prepare_start(&net->flush, peer_net_on_flush);
	uv_timer_start(&net->timer, peer_net_on_timer, TIMER_INTERVAL_MS,
	    TIMER_INTERVAL_MS);
}

int
peer_net_create(peer_net_t **out, const peer_options_t *options)
{
	peer_net_t *net;
	int err;

	if (!node_name_is_valid(options->node_name))
		return (TM_EINVAL);
	net = calloc(1, sizeof(*net));
	if (net == NULL)
		return (TM_ENOMEM);
	net->loop = options->loop;
	net->incarnation = options->incarnation;
	net->receive = options->receive;
	net->ctx = options->ctx;
	snprintf(net->name, sizeof(net->name), "%s", options->node_name);
	err = peer_net_set_secrets(net, options->secrets);
	if (err != TM_OK) {
		peer_net_free(net);
		return (err);
	}
	peer_net_start_handles(net);
	err = peer_net_listen(net, options);
	if (err != TM_OK) {
		peer_net_close(net);
		return (err);
	}
	*out = net;
	return (TM_OK);
}

uint16_t
peer_net_get_port(const peer_net_t *net)
{
	return (net->port);
}

peer_node_t *
peer_net_get_node(peer_net_t *net, node_id_t id)
{
	peer_node_t *node;

	HASH_FIND(hh, net->nodes, &id, sizeof(id), node);
	if (node != NULL)
		return (node);
	node = calloc(1, sizeof(*node));
	if (node == NULL)
		return (NULL);
	node->id = id;
	HASH_ADD(hh, net->nodes, id, sizeof(node->id), node);
	return (node);
}

static peer_node_t *
peer_net_find_node(const peer_net_t *net, node_id_t id)
{
	peer_node_t *node;

	HASH_FIND(hh, net->nodes, &id, sizeof(id), node);
	return (node);
}

int
peer_net_set_address(
    peer_net_t *net, node_id_t id, const char *ip, uint16_t port)
{
	struct sockaddr_in addr;
	peer_node_t *node;

	if (uv_ip4_addr(ip, port, &addr) != 0)
		return (TM_EINVAL);
	node = peer_net_get_node(net, id);
	if (node == NULL)
		return (TM_ENOMEM);
	if (node->has_addr && memcmp(&node->addr, &addr, sizeof(addr)) == 0)
		return (TM_OK);
	if (node->out != NULL)
		peer_conn_close(node->out);
	node->addr = addr;
	node->has_addr = 1;
	node->retry_at_ms = 0;
	node->backoff_ms = 0;
	return (TM_OK);
}

void
peer_net_reset(peer_net_t *net, node_id_t id)
{
	peer_node_t *node = peer_net_find_node(net, id);

	if (node == NULL)
		return;
	if (node->out != NULL)
		peer_conn_close(node->out);
	if (node->in != NULL)
		peer_conn_close(node->in);
	node->retry_at_ms = 0;
	node->backoff_ms = 0;
}

int64_t
peer_net_get_received_ms(const peer_net_t *net, node_id_t id)
{
	const peer_node_t *node = peer_net_find_node(net, id);
	int64_t received_ms = 0;

	if (node == NULL)
		return (0);
	if (node->out != NULL)
		received_ms = node->out->received_ms;
	if (node->in != NULL && node->in->received_ms > received_ms)
		received_ms = node->in->received_ms;
	return (received_ms);
}

void
peer_net_remove(peer_net_t *net, node_id_t id)
{
	peer_node_t *node = peer_net_find_node(net, id);

	if (node == NULL)
		return;
	peer_net_reset(net, id);
	HASH_DEL(net->nodes, node);
	free(node);
}

/* @return the connection that messages to a node use; NULL: none is open */
static peer_conn_t *
peer_net_find_open(const peer_node_t *node)
{
	if (node->out != NULL && node->out->state == PEER_CONN_OPEN)
		return (node->out);
	return (node->in);
}

uint64_t
peer_net_get_connection(const peer_net_t *net, node_id_t id)
{
	const peer_node_t *node = peer_net_find_node(net, id);
	const peer_conn_t *conn;

	if (node == NULL)
		return (0);
	conn = peer_net_find_open(node);
	return (conn != NULL ? conn->number : 0);
}

static peer_conn_t *
peer_net_find_conn(peer_net_t *net, peer_node_t *node)
{
	peer_conn_t *conn = peer_net_find_open(node);

	if (conn != NULL)
		return (conn);
	if (node->out != NULL)
		return (node->out);
	if (!node->has_addr || clock_now_ms() < node->retry_at_ms)
		return (NULL);
	return (peer_conn_open(net, node));
}

static int
peer_net_send_packed(peer_net_t *net, node_id_t to, uint16_t type,
    const uint8_t *payload, size_t len)
{
	peer_node_t *node = peer_net_find_node(net, to);
	peer_conn_t *conn;
	int err;

	if (node == NULL)
		return (TM_ENOENT);
	if (node->drop)
		return (TM_OK);
	conn = peer_net_find_conn(net, node);
	if (conn == NULL)
		return (TM_ENOENT);
	err = peer_conn_send(conn, type, payload, len);
	if (err == TM_OK) {
		net->stats.sent_count++;
		net->stats.sent_bytes += FRAME_OVERHEAD_BYTES + len;
	}
	return (err);
}

int
peer_net_send(
    peer_net_t *net, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	uint8_t stack[PACK_STACK_BYTES];
	uint8_t *packed = stack;
	size_t len = protobuf_c_message_get_packed_size(msg);
	int err;

	if (len + FRAME_OVERHEAD_BYTES > PEER_FRAME_MAX_BYTES)
		err = TM_ETOOBIG;
	else if (len > sizeof(stack) && (packed = malloc(len)) == NULL)
		err = TM_ENOMEM;
	else {
		protobuf_c_message_pack(msg, packed);
		err = peer_net_send_packed(net, to, type, packed, len);
	}
	if (packed != stack)
		free(packed);
	if (err != TM_OK)
		net->stats.dropped_count++;
	return (err);
}

void
peer_net_send_cb(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	peer_net_send(ctx, to, type, msg);
}

const peer_stats_t *
peer_net_get_stats(const peer_net_t *net)
{
	return (&net->stats);
}

int
peer_net_set_drop(peer_net_t *net, node_id_t to, int drop)
{
#ifdef TM_TEST_HOOKS
	peer_node_t *node = peer_net_get_node(net, to);

	if (node == NULL)
		return (TM_ENOMEM);
	node->drop = drop;
	return (TM_OK);
#else
	return (TM_EINVAL);
#endif
}

/* libuv reads each handle once more after the callback of another one. */
static void
peer_net_on_closed(uv_handle_t *handle)
{
	peer_net_t *net = handle->data;

	if (--net->handle_count == 0)
		peer_net_free(net);
}

void
peer_net_close(peer_net_t *net)
{
	peer_conn_t *conn;
	peer_conn_t *next;

	net->is_closing = 1;
	DL_FOREACH_SAFE(net->conns, conn, next)
		peer_conn_close(conn);
	uv_close((uv_handle_t *)&net->listener, peer_net_on_closed);
	uv_close((uv_handle_t *)&net->flush, peer_net_on_closed);
	uv_close((uv_handle_t *)&net->timer, peer_net_on_closed);
}
