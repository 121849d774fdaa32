/* Rate messages to a leader and to a VM that spends tokens. */
#include "fuzz_shards.h"
#include "rate/rate_client.h"
#include "rate/rate_leader.h"

static void
on_result(
    void *ctx, void *request, rate_result_t result, int64_t retry_after_ms)
{
	int *waiting = request;

	if (*waiting == 0)
		abort();
	(*waiting)--;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	group_t *group = fuzz_create_group();
	rate_client_options_t client_options = {
		.self = 1,
		.incarnation = 1,
		.group = group,
		.send = fuzz_send,
		.result = on_result,
	};
	rate_leader_options_t leader_options = {
		.self = 1,
		.incarnation = 1,
		.group = group,
		.send = fuzz_send,
	};
	rate_client_t *client;
	rate_leader_t *leader;
	int64_t now_ms = FUZZ_START_MS;
	int64_t retry_ms;
	int waiting = 0;
	uint32_t shard;
	fuzz_message_t msg;

	if (rate_client_create(&client, &client_options) != 0 ||
	    rate_leader_create(&leader, &leader_options) != 0)
		abort();
	rate_client_set_workspace(client, "w", 10, 5, now_ms);
	rate_leader_set_workspace(leader, "w", 10, 5, now_ms);
	shard = group_shard_of(group, "w");
	rate_leader_set_leading(leader, shard, 1, now_ms);
	while (fuzz_next_message(&data, &size, &msg)) {
		now_ms += msg.wait * FUZZ_STEP_MS;
		group_tick(group, now_ms);
		rate_client_tick(client, now_ms);
		rate_leader_tick(leader, now_ms);
		if (rate_client_acquire(client, "w", &waiting, now_ms + 1000,
			now_ms, &retry_ms) == RATE_PENDING)
			waiting++;
		if (msg.type % 10 < 5)
			rate_leader_handle(leader, 1 + msg.from,
			    (uint16_t)(MSG_RATE_BASE + msg.type % 10),
			    msg.payload, msg.len, now_ms);
		else
			rate_client_handle(client, 1 + msg.from,
			    (uint16_t)(MSG_RATE_BASE + msg.type % 10),
			    msg.payload, msg.len, now_ms);
	}
	rate_client_destroy(client);
	rate_leader_destroy(leader);
	group_destroy(group);
	return (0);
}
