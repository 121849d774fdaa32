#include "fakenet.h"

#include <stdlib.h>
#include <string.h>

#define FAKENET_START_MS INT64_C(1000000)

typedef struct fakenet_node {
	fakenet_t *net;
	node_id_t id;
	void *node;
	fakenet_receive_cb receive;
	fakenet_tick_cb tick;
	int alive;
	int frozen;
	int64_t blocked_until_ms;
	uint64_t cut_to; /* bit i: messages to nodes[i] are dropped */
} fakenet_node_t;

typedef struct fakenet_msg {
	struct fakenet_msg *next;
	int64_t due_ms;
	fakenet_node_t *from;
	fakenet_node_t *to;
	uint16_t type;
	size_t len;
	uint8_t payload[];
} fakenet_msg_t;

struct fakenet {
	rng_t rng;
	int64_t now_ms;
	int64_t tick_ms;
	int64_t delay_min_ms;
	int64_t delay_max_ms;
	int loss_percent;
	fakenet_node_t nodes[FAKENET_NODES_MAX];
	int node_count;
	fakenet_msg_t *queue; /* ordered by due_ms, then by sending */
	uint64_t delivered_count;
	uint64_t delivered_bytes;
};

fakenet_t *
fakenet_create(
    uint64_t seed, int64_t tick_ms, int64_t delay_min_ms, int64_t delay_max_ms)
{
	fakenet_t *net = calloc(1, sizeof(*net));

	if (net == NULL)
		abort();
	rng_init(&net->rng, seed);
	net->now_ms = FAKENET_START_MS;
	net->tick_ms = tick_ms;
	net->delay_min_ms = delay_min_ms;
	net->delay_max_ms = delay_max_ms;
	return (net);
}

void
fakenet_destroy(fakenet_t *net)
{
	fakenet_msg_t *msg;

	while ((msg = net->queue) != NULL) {
		net->queue = msg->next;
		free(msg);
	}
	free(net);
}

static fakenet_node_t *
fakenet_find(fakenet_t *net, node_id_t id)
{
	int i;

	for (i = 0; i < net->node_count; i++) {
		if (net->nodes[i].id == id)
			return (&net->nodes[i]);
	}
	return (NULL);
}

void *
fakenet_add(fakenet_t *net, node_id_t id, void *node,
    fakenet_receive_cb receive, fakenet_tick_cb tick)
{
	fakenet_node_t *slot = fakenet_find(net, id);

	if (slot == NULL) {
		if (net->node_count == FAKENET_NODES_MAX)
			abort();
		slot = &net->nodes[net->node_count++];
	}
	slot->net = net;
	slot->id = id;
	slot->node = node;
	slot->receive = receive;
	slot->tick = tick;
	slot->alive = 1;
	slot->frozen = 0;
	slot->blocked_until_ms = 0;
	return (slot);
}

static void
fakenet_enqueue(fakenet_t *net, fakenet_msg_t *msg)
{
	fakenet_msg_t **link = &net->queue;

	while (*link != NULL && (*link)->due_ms <= msg->due_ms)
		link = &(*link)->next;
	msg->next = *link;
	*link = msg;
}

static int
fakenet_is_dropped(
    fakenet_t *net, const fakenet_node_t *from, const fakenet_node_t *to)
{
	if (from->cut_to & (UINT64_C(1) << (to - net->nodes)))
		return (1);
	return (net->loss_percent > 0 &&
	    rng_below(&net->rng, 100) < (uint64_t)net->loss_percent);
}

void
fakenet_send(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	fakenet_node_t *from = ctx;
	fakenet_t *net = from->net;
	fakenet_node_t *receiver = fakenet_find(net, to);
	fakenet_msg_t *copy;
	int64_t spread;
	size_t len;

	if (!from->alive || receiver == NULL || !receiver->alive)
		return;
	if (fakenet_is_dropped(net, from, receiver))
		return;
	len = protobuf_c_message_get_packed_size(msg);
	copy = calloc(1, sizeof(*copy) + len);
	if (copy == NULL)
		abort();
	protobuf_c_message_pack(msg, copy->payload);
	copy->len = len;
	copy->type = type;
	copy->from = from;
	copy->to = receiver;
	spread = net->delay_max_ms - net->delay_min_ms + 1;
	copy->due_ms = net->now_ms > from->blocked_until_ms
	    ? net->now_ms
	    : from->blocked_until_ms;
	copy->due_ms +=
	    net->delay_min_ms + (int64_t)rng_below(&net->rng, (uint64_t)spread);
	fakenet_enqueue(net, copy);
}

static int
fakenet_runs(const fakenet_node_t *node)
{
	return (node->alive && !node->frozen &&
	    node->net->now_ms >= node->blocked_until_ms);
}

int
fakenet_is_running(fakenet_t *net, node_id_t id)
{
	const fakenet_node_t *node = fakenet_find(net, id);

	return (node != NULL && fakenet_runs(node));
}

void
fakenet_set_cut(fakenet_t *net, node_id_t from, node_id_t to, int cut)
{
	fakenet_node_t *sender = fakenet_find(net, from);
	fakenet_node_t *receiver = fakenet_find(net, to);
	uint64_t bit;

	if (sender == NULL || receiver == NULL)
		return;
	bit = UINT64_C(1) << (receiver - net->nodes);
	if (cut)
		sender->cut_to |= bit;
	else
		sender->cut_to &= ~bit;
}

void
fakenet_set_frozen(fakenet_t *net, node_id_t id, int frozen)
{
	fakenet_node_t *node = fakenet_find(net, id);

	if (node != NULL)
		node->frozen = frozen;
}

void
fakenet_block(fakenet_t *net, node_id_t id, int64_t duration_ms)
{
	fakenet_node_t *node = fakenet_find(net, id);

	if (node != NULL)
		node->blocked_until_ms = net->now_ms + duration_ms;
}

void
fakenet_kill(fakenet_t *net, node_id_t id)
{
	fakenet_node_t *node = fakenet_find(net, id);
	fakenet_msg_t **link = &net->queue;
	fakenet_msg_t *msg;

	if (node == NULL)
		return;
	node->alive = 0;
	while ((msg = *link) != NULL) {
		if (msg->to == node || msg->from == node) {
			*link = msg->next;
			free(msg);
		} else {
			link = &msg->next;
		}
	}
}

void
fakenet_set_loss(fakenet_t *net, int percent)
{
	net->loss_percent = percent;
}

/* Takes the first message that is due and whose receiver is not frozen. */
static fakenet_msg_t *
fakenet_take_due(fakenet_t *net)
{
	fakenet_msg_t **link = &net->queue;
	fakenet_msg_t *msg;

	while ((msg = *link) != NULL && msg->due_ms <= net->now_ms) {
		if (fakenet_runs(msg->to)) {
			*link = msg->next;
			return (msg);
		}
		link = &msg->next;
	}
	return (NULL);
}

static void
fakenet_deliver_due(fakenet_t *net)
{
	fakenet_msg_t *msg;

	while ((msg = fakenet_take_due(net)) != NULL) {
		net->delivered_count++;
		net->delivered_bytes += msg->len;
		msg->to->receive(msg->to->node, msg->from->id, msg->type,
		    msg->payload, msg->len, net->now_ms);
		free(msg);
	}
}

static void
fakenet_tick_nodes(fakenet_t *net)
{
	fakenet_node_t *node;
	int i;

	for (i = 0; i < net->node_count; i++) {
		node = &net->nodes[i];
		if (fakenet_runs(node))
			node->tick(node->node, net->now_ms);
	}
}

void
fakenet_run(fakenet_t *net, int64_t duration_ms)
{
	int64_t end_ms = net->now_ms + duration_ms;

	while (net->now_ms < end_ms) {
		net->now_ms++;
		fakenet_deliver_due(net);
		if (net->now_ms % net->tick_ms == 0)
			fakenet_tick_nodes(net);
	}
}

int64_t
fakenet_now_ms(const fakenet_t *net)
{
	return (net->now_ms);
}

rng_t *
fakenet_get_rng(fakenet_t *net)
{
	return (&net->rng);
}

uint64_t
fakenet_get_delivered(const fakenet_t *net, uint64_t *bytes)
{
	if (bytes != NULL)
		*bytes = net->delivered_bytes;
	return (net->delivered_count);
}
