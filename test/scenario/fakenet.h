/**
 * @file
 * In-memory network on a virtual clock for tests of decision modules. It
 * encodes each message with the real codec, delays it, and drops it where a
 * one-way cut or a killed node says so. Messages to a frozen node wait.
 */
#ifndef TM_TEST_FAKENET_H
#define TM_TEST_FAKENET_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"
#include "base/rng.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FAKENET_NODES_MAX 64

typedef struct fakenet fakenet_t;

/** Delivers a message to a node. */
typedef void (*fakenet_receive_cb)(void *node, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/** Runs the timers of a node. */
typedef void (*fakenet_tick_cb)(void *node, int64_t now_ms);

/**
 * Creates a network.
 *
 * @param seed       of the random delays
 * @param tick_ms    interval at which each live node is ticked
 * @param delay_min_ms,delay_max_ms  delay of a message, uniform
 */
fakenet_t *fakenet_create(
    uint64_t seed, int64_t tick_ms, int64_t delay_min_ms, int64_t delay_max_ms);

/** Frees the network and the messages in flight. */
void fakenet_destroy(fakenet_t *net);

/**
 * Adds a node, or replaces the callbacks of a node that was killed. The
 * returned context goes with fakenet_send() as node_send_cb.
 */
void *fakenet_add(fakenet_t *net, node_id_t id, void *node,
    fakenet_receive_cb receive, fakenet_tick_cb tick);

/** node_send_cb; ctx is what fakenet_add() returned. */
void fakenet_send(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg);

/** Drops messages from one node to another (cut != 0), or no longer. */
void fakenet_set_cut(fakenet_t *net, node_id_t from, node_id_t to, int cut);

/** Stops a node (frozen != 0): no ticks, no deliveries until it resumes. */
void fakenet_set_frozen(fakenet_t *net, node_id_t id, int frozen);

/**
 * Blocks a node in a call for some time, as a disk that hangs does: it gets no
 * ticks and no deliveries, and what it sends from within the call leaves at the
 * end of that time.
 */
void fakenet_block(fakenet_t *net, node_id_t id, int64_t duration_ms);

/** @return 1 if a node is neither frozen, blocked nor killed */
int fakenet_is_running(fakenet_t *net, node_id_t id);

/** Removes a node with all messages to and from it. */
void fakenet_kill(fakenet_t *net, node_id_t id);

/** Drops a share of all messages, in percent. */
void fakenet_set_loss(fakenet_t *net, int percent);

/** Advances the virtual clock, delivering and ticking on the way. */
void fakenet_run(fakenet_t *net, int64_t duration_ms);

/** @return virtual time in milliseconds; starts at 1,000,000 */
int64_t fakenet_now_ms(const fakenet_t *net);

/** @return the generator of the network, for use by the test as well */
rng_t *fakenet_get_rng(fakenet_t *net);

/** @return messages delivered so far and, if bytes != NULL, their bytes */
uint64_t fakenet_get_delivered(const fakenet_t *net, uint64_t *bytes);

#ifdef __cplusplus
}
#endif

#endif
