#include <stdlib.h>

#include "gossip/gossip_internal.h"

gossip_peer_t *
gossip_find_peer(const gossip_t *gossip, node_id_t id)
{
	gossip_peer_t *peer = NULL;

	HASH_FIND(hh, gossip->peers, &id, sizeof(id), peer);
	return (peer);
}

/* Adds a record only for VMs of the directory, so that the table is bounded. */
static gossip_peer_t *
gossip_get_peer(gossip_t *gossip, node_id_t id)
{
	gossip_peer_t *peer = gossip_find_peer(gossip, id);
	const config_node_t *node;

	if (peer != NULL)
		return (peer);
	node = config_state_find_node(gossip->options.state, id);
	if (node == NULL || node->role != CONFIG_ROLE_ENTRY)
		return (NULL);
	peer = calloc(1, sizeof(*peer));
	if (peer == NULL)
		return (NULL);
	peer->id = id;
	peer->last_seen_ms = gossip->start_ms - GOSSIP_CONTACT_TIMEOUT_MS - 1;
	peer->last_direct_ms = peer->last_seen_ms;
	HASH_ADD(hh, gossip->peers, id, sizeof(peer->id), peer);
	return (peer);
}

void
gossip_record_contact(gossip_t *gossip, node_id_t id, int64_t last_seen_ms)
{
	gossip_peer_t *peer = gossip_get_peer(gossip, id);

	if (peer != NULL && last_seen_ms > peer->last_seen_ms)
		peer->last_seen_ms = last_seen_ms;
}

void
gossip_record_direct_contact(gossip_t *gossip, node_id_t id, int64_t now_ms)
{
	gossip_peer_t *peer = gossip_get_peer(gossip, id);

	if (peer == NULL)
		return;
	peer->last_direct_ms =
	    now_ms - gossip_get_freeze_lag_ms(gossip, now_ms);
	if (peer->last_direct_ms > peer->last_seen_ms)
		peer->last_seen_ms = peer->last_direct_ms;
}

void
gossip_prune_peers(gossip_t *gossip)
{
	gossip_peer_t *peer;
	gossip_peer_t *next;

	HASH_ITER(hh, gossip->peers, peer, next) {
		if (config_state_find_node(gossip->options.state, peer->id) !=
		    NULL)
			continue;
		HASH_DEL(gossip->peers, peer);
		free(peer);
	}
}

static int
gossip_is_other_entry_vm(const gossip_t *gossip, const config_node_t *node)
{
	return (node->role == CONFIG_ROLE_ENTRY && node->id != gossip->self);
}

/* Uses reservoir sampling over the directory. */
size_t
gossip_pick_peers(gossip_t *gossip, node_id_t *out, size_t max)
{
	const config_node_t *const *nodes;
	size_t seen = 0;
	size_t count;
	size_t i;
	size_t at;

	nodes = config_state_get_nodes(gossip->options.state, &count);
	for (i = 0; i < count; i++) {
		if (!gossip_is_other_entry_vm(gossip, nodes[i]))
			continue;
		at = seen < max ? seen : rng_below(&gossip->rng, seen + 1);
		if (at < max)
			out[at] = nodes[i]->id;
		seen++;
	}
	return (seen < max ? seen : max);
}

node_id_t
gossip_pick_recent_peer(gossip_t *gossip, int64_t now_ms)
{
	node_id_t picked = NODE_ID_NONE;
	gossip_peer_t *peer;
	uint64_t seen = 0;

	for (peer = gossip->peers; peer != NULL; peer = peer->hh.next) {
		if (peer->id == gossip->self ||
		    now_ms - peer->last_direct_ms > GOSSIP_CONTACT_TIMEOUT_MS)
			continue;
		if (rng_below(&gossip->rng, ++seen) == 0)
			picked = peer->id;
	}
	return (picked);
}

static int
gossip_is_alive(const gossip_t *gossip, node_id_t id, int64_t now_ms)
{
	const gossip_peer_t *peer;

	if (id == gossip->self)
		return (1);
	peer = gossip_find_peer(gossip, id);
	return (peer != NULL &&
	    now_ms - peer->last_seen_ms <= GOSSIP_CONTACT_TIMEOUT_MS);
}

void
gossip_count_alive(
    const gossip_t *gossip, int64_t now_ms, uint32_t *nodes, uint32_t *alive)
{
	const config_node_t *const *list;
	size_t count;
	size_t i;

	*nodes = 0;
	*alive = 0;
	list = config_state_get_nodes(gossip->options.state, &count);
	for (i = 0; i < count; i++) {
		if (list[i]->role != CONFIG_ROLE_ENTRY)
			continue;
		(*nodes)++;
		*alive +=
		    (uint32_t)gossip_is_alive(gossip, list[i]->id, now_ms);
	}
}

static uint8_t
gossip_encode_age(const gossip_t *gossip, node_id_t id, int64_t now_ms)
{
	const gossip_peer_t *peer;
	int64_t age;

	if (id == gossip->self)
		return (0);
	peer = gossip_find_peer(gossip, id);
	if (peer == NULL)
		return (GOSSIP_AGE_UNKNOWN);
	age = (now_ms - peer->last_seen_ms + GOSSIP_AGE_UNIT_MS - 1) /
	    GOSSIP_AGE_UNIT_MS;
	if (age * GOSSIP_AGE_UNIT_MS > GOSSIP_CONTACT_TIMEOUT_MS)
		return (GOSSIP_AGE_UNKNOWN);
	return ((uint8_t)age);
}

size_t
gossip_encode_ages(
    const gossip_t *gossip, int64_t now_ms, uint8_t *out, size_t max)
{
	const config_node_t *const *nodes;
	size_t count;
	size_t n = 0;
	size_t i;

	nodes = config_state_get_nodes(gossip->options.state, &count);
	for (i = 0; i < count && n < max; i++) {
		if (nodes[i]->role == CONFIG_ROLE_ENTRY)
			out[n++] =
			    gossip_encode_age(gossip, nodes[i]->id, now_ms);
	}
	return (n);
}

void
gossip_merge_ages(
    gossip_t *gossip, const uint8_t *ages, size_t len, int64_t now_ms)
{
	const config_node_t *const *nodes;
	size_t count;
	size_t n = 0;
	size_t i;

	now_ms -= gossip_get_freeze_lag_ms(gossip, now_ms);
	nodes = config_state_get_nodes(gossip->options.state, &count);
	for (i = 0; i < count && n < len; i++) {
		if (nodes[i]->role != CONFIG_ROLE_ENTRY)
			continue;
		if (ages[n] != GOSSIP_AGE_UNKNOWN &&
		    nodes[i]->id != gossip->self)
			gossip_record_contact(gossip, nodes[i]->id,
			    now_ms - ages[n] * GOSSIP_AGE_UNIT_MS);
		n++;
	}
}
