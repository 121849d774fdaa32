/*
 * Delivery of messages to the leader: direct, or relayed by another holder
 * (replica) of the shard if the leader did not answer a token request.
 */
#include "rate/rate_client_internal.h"

static int
rate_is_relayed(const rate_local_t *local, node_id_t leader, int64_t now_ms)
{
	return (local->unresponsive_leader != NODE_ID_NONE &&
	    local->unresponsive_leader == leader &&
	    now_ms < local->relay_until_ms);
}

/* @return holder that relays messages; NODE_ID_NONE if there is none */
static node_id_t
rate_local_get_relay(
    const rate_client_t *client, const rate_local_t *local, node_id_t leader)
{
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t count =
	    group_get_holders(client->options.group, local->shard, holders);
	uint32_t i;

	for (i = 0; i < count; i++) {
		node_id_t node = holders[(local->relay_index + i) % count].node;

		if (node != leader && node != client->options.self)
			return (node);
	}
	return (NODE_ID_NONE);
}

/* Sends a token request or reports to the leader. */
void
rate_local_send(rate_client_t *client, rate_local_t *local, node_id_t leader,
    Tm__RateNeed *msg, int64_t now_ms)
{
	node_id_t to = NODE_ID_NONE;

	if (rate_is_relayed(local, leader, now_ms))
		to = rate_local_get_relay(client, local, leader);
	if (to != NODE_ID_NONE)
		msg->origin = client->options.self;
	else
		to = leader;
	client->options.send(
	    client->options.ctx, to, MSG_RATE_NEED, &msg->base);
}

/*
 * Marks the leader as unresponsive: messages to it are relayed for
 * RATE_RELAY_DURATION_MS. If they were relayed already, another relay is used.
 */
void
rate_local_mark_unresponsive(
    rate_client_t *client, rate_local_t *local, int64_t now_ms)
{
	if (client->options.test_skip_relay)
		return;
	if (rate_is_relayed(local, local->request_leader, now_ms))
		local->relay_index++;
	local->unresponsive_leader = local->request_leader;
	local->relay_until_ms = now_ms + RATE_RELAY_DURATION_MS;
}

/*
 * A token request was answered. Relaying ends with a direct answer, with an
 * answer of another leader, or at relay_until_ms.
 */
void
rate_local_mark_answered(
    rate_local_t *local, node_id_t leader, int relayed, int64_t now_ms)
{
	if (!relayed || local->unresponsive_leader != leader ||
	    now_ms >= local->relay_until_ms)
		local->unresponsive_leader = NODE_ID_NONE;
}
