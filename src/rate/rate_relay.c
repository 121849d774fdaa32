/*
 * Way of the messages to the leader: straight, or through another holder of the
 * shard group where the leader left a need unanswered.
 */
#include "rate/rate_client_internal.h"

static int
rate_is_relayed(const rate_space_t *space, node_id_t leader, int64_t now_ms)
{
	return (space->silent != NODE_ID_NONE && space->silent == leader &&
	    now_ms < space->relay_until_ms);
}

/* @return holder that passes messages on; NODE_ID_NONE if there is none */
static node_id_t
rate_space_get_relay(
    const rate_client_t *client, const rate_space_t *space, node_id_t leader)
{
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t count =
	    group_get_holders(client->options.group, space->shard, holders);
	uint32_t i;

	for (i = 0; i < count; i++) {
		node_id_t node = holders[(space->relay_place + i) % count].node;

		if (node != leader && node != client->options.self)
			return (node);
	}
	return (NODE_ID_NONE);
}

/* Sends a need or reports to the leader. */
void
rate_space_post(rate_client_t *client, rate_space_t *space, node_id_t leader,
    Tm__RateNeed *msg, int64_t now_ms)
{
	node_id_t to = NODE_ID_NONE;

	if (rate_is_relayed(space, leader, now_ms))
		to = rate_space_get_relay(client, space, leader);
	if (to != NODE_ID_NONE)
		msg->origin = client->options.self;
	else
		to = leader;
	client->options.send(
	    client->options.ctx, to, MSG_RATE_NEED, &msg->base);
}

/* The last need got no answer: the next goes another way. */
void
rate_space_set_silent(
    rate_client_t *client, rate_space_t *space, int64_t now_ms)
{
	if (client->options.test_skip_relay)
		return;
	if (rate_is_relayed(space, space->asked, now_ms))
		space->relay_place++;
	space->silent = space->asked;
	space->relay_until_ms = now_ms + RATE_RELAY_MS;
}

/*
 * A need was answered. The relay is kept while the same leader does not answer
 * straight; a new leader is asked straight.
 */
void
rate_space_set_heard(
    rate_space_t *space, node_id_t leader, int relayed, int64_t now_ms)
{
	if (!relayed || space->silent != leader ||
	    now_ms >= space->relay_until_ms)
		space->silent = NODE_ID_NONE;
}
