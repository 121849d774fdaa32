/**
 * @file
 * Authenticated message layer between the fleet's own processes: TCP frames
 * on a libuv loop. A frame is a 4-byte big-endian length, a 2-byte type, the
 * payload and a 16-byte HMAC-SHA256 tag. Messages may be lost; they are never
 * duplicated or reordered on one connection.
 */
#ifndef TM_NET_PEER_H
#define TM_NET_PEER_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "base/node_defs.h"

/** Longest frame in bytes, without its length field. */
#define PEER_FRAME_MAX_BYTES (1024 * 1024)
/** Bytes that may wait for one peer; further messages are dropped. */
#define PEER_QUEUE_MAX_BYTES (4 * 1024 * 1024)
/** Fleet secrets accepted at the same time, for rotation. */
#define PEER_SECRETS_MAX 2

typedef struct peer_net peer_net_t;

/** Counts since the start of the process. */
typedef struct peer_stats {
	uint64_t sent_count;
	uint64_t sent_bytes;
	uint64_t received_count;
	uint64_t received_bytes;
	uint64_t dropped_count;
	uint64_t auth_failures;
} peer_stats_t;

/**
 * Delivers a message from an authenticated peer.
 *
 * @param from         node id of the sender
 * @param incarnation  incarnation of the sender
 */
typedef void (*peer_receive_cb)(void *ctx, node_id_t from, uint64_t incarnation,
    uint16_t type, const uint8_t *payload, size_t len);

/** What a message layer needs; strings are copied. */
typedef struct peer_options {
	uv_loop_t *loop;
	const char *node_name;
	uint64_t incarnation;
	const char *listen_ip;
	uint16_t listen_port; /**< 0 picks a free port */
	/** secrets[0] is offered, all are accepted; NULL where unused */
	const char *secrets[PEER_SECRETS_MAX];
	peer_receive_cb receive;
	void *ctx;
} peer_options_t;

/**
 * Creates the layer and listens.
 *
 * @return 0; TM_EINVAL for a bad address or missing secret; TM_EIO if the
 *         address cannot be bound; TM_ENOMEM
 */
int peer_net_create(peer_net_t **out, const peer_options_t *options);

/**
 * Replaces the secrets. New handshakes use them; open connections go on.
 *
 * @param secrets  as in the options
 * @return         0, TM_EINVAL without a first secret, TM_ENOMEM; after an
 *                 error the old secrets stay
 */
int peer_net_set_secrets(
    peer_net_t *net, const char *const secrets[PEER_SECRETS_MAX]);

/** @return port that the layer listens on */
uint16_t peer_net_get_port(const peer_net_t *net);

/**
 * Sets or changes the address of a node. An open connection to an older
 * address is closed.
 *
 * @return 0, TM_EINVAL for a bad address, TM_ENOMEM
 */
int peer_net_set_address(
    peer_net_t *net, node_id_t id, const char *ip, uint16_t port);

/** Closes the connections of a node, which may be dead; its address stays. */
void peer_net_reset(peer_net_t *net, node_id_t id);

/** @return time by clock_now_ms() at which bytes last arrived on an open
 * connection to a node, also those of an incomplete message; 0: none did */
int64_t peer_net_get_received_ms(const peer_net_t *net, node_id_t id);

/** @return number of the open connection to a node, which no other connection of
 * this process has; 0: there is none */
uint64_t peer_net_get_connection(const peer_net_t *net, node_id_t id);

/** Forgets a node and closes its connection. */
void peer_net_remove(peer_net_t *net, node_id_t id);

/**
 * Queues a message; connects if needed.
 *
 * @return 0; TM_ENOENT if the node has no address and no connection;
 *         TM_ETOOBIG; TM_EFULL if the queue of the peer is full
 */
int peer_net_send(
    peer_net_t *net, node_id_t to, uint16_t type, const ProtobufCMessage *msg);

/** Writes queued messages now, not at the end of the iteration of the loop. */
void peer_net_flush(peer_net_t *net);

/** node_send_cb over peer_net_send(); ctx is the peer_net_t. */
void peer_net_send_cb(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg);

/** @return counts since the start */
const peer_stats_t *peer_net_get_stats(const peer_net_t *net);

/**
 * Drops all messages to a node (test builds only; one direction of a cut).
 *
 * @return 0, TM_EINVAL if the build has no drop rules
 */
int peer_net_set_drop(peer_net_t *net, node_id_t to, int drop);

/** Closes the listener and all connections; the loop must run until done. */
void peer_net_close(peer_net_t *net);

#endif
