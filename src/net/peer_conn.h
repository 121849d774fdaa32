/**
 * @file
 * Connections of the message layer: handshake, frames, buffered writes.
 * Internal to src/net.
 */
#ifndef TM_NET_PEER_CONN_H
#define TM_NET_PEER_CONN_H

#include <uthash.h>

#include "base/buffer.h"
#include "net/peer.h"
#include "net/peer_frame.h"

#define MSG_PEER_HELLO (MSG_NET_BASE)
#define MSG_PEER_AUTH  (MSG_NET_BASE + 1)

/** Bytes read at once. */
#define PEER_READ_BYTES 65536

typedef struct peer_conn peer_conn_t;

/** State of a connection. */
typedef enum peer_conn_state {
	PEER_CONN_CONNECTING,
	PEER_CONN_HELLO, /**< waits for the other side's hello */
	PEER_CONN_AUTH, /**< waits for the other side's first tag */
	PEER_CONN_OPEN,
	PEER_CONN_CLOSED
} peer_conn_state_t;

/** What is known about another VM. */
typedef struct peer_node {
	node_id_t id;
	struct sockaddr_in addr;
	int has_addr;
	int drop;
	uint64_t incarnation; /**< newest seen */
	peer_conn_t *out; /**< connection that this side opened */
	peer_conn_t *in; /**< connection that the other side opened */
	int64_t retry_at_ms;
	int64_t backoff_ms;
	UT_hash_handle hh;
} peer_node_t;

struct peer_conn {
	peer_net_t *net;
	peer_node_t *node;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	int is_client;
	int is_writing;
	peer_conn_state_t state;
	int64_t deadline_ms; /**< end of the handshake */
	uint64_t number; /**< connections of this process up to it */
	int64_t received_ms; /**< bytes last arrived; 0: none did */
	uint8_t nonce[FRAME_NONCE_BYTES];
	char remote_name[NAME_MAX_BYTES + 1];
	frame_identity_t remote;
	frame_auth_t *tx;
	frame_auth_t *rx;
	buffer_t in; /**< start of an incomplete frame */
	buffer_t out; /**< tagged frames that wait for a write */
	buffer_t writing; /**< bytes of the write in progress */
	buffer_t pending; /**< frames without tag, until the handshake ends */
	peer_conn_t *prev;
	peer_conn_t *next;
};

struct peer_net {
	uv_loop_t *loop;
	char name[NAME_MAX_BYTES + 1];
	uint64_t incarnation;
	char *secrets[PEER_SECRETS_MAX];
	peer_receive_cb receive;
	void *ctx;
	uv_tcp_t listener;
	uv_prepare_t flush;
	uv_timer_t timer;
	uint32_t handle_count; /**< libuv handles that are not closed */
	uint16_t port;
	int is_closing;
	int unauthenticated;
	uint64_t conn_count; /**< since the start */
	peer_node_t *nodes;
	peer_conn_t *conns;
	peer_stats_t stats;
	uint8_t read_buffer[PEER_READ_BYTES];
};

/** Starts to connect to a node with an address. @return NULL on failure */
peer_conn_t *peer_conn_open(peer_net_t *net, peer_node_t *node);

/** Accepts a connection from the listener. */
void peer_conn_accept(peer_net_t *net);

/**
 * Queues a packed message.
 *
 * @return 0, TM_EFULL if the queue of the connection is full, TM_ENOMEM
 */
int peer_conn_send(
    peer_conn_t *conn, uint16_t type, const uint8_t *payload, size_t len);

/** Writes what is queued. */
void peer_conn_flush(peer_conn_t *conn);

/** Closes a connection; its memory is freed by the loop. */
void peer_conn_close(peer_conn_t *conn);

/** Finds or creates the entry of a node. @return NULL without memory */
peer_node_t *peer_net_get_node(peer_net_t *net, node_id_t id);

#endif
