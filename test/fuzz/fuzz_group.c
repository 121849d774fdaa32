/* Messages of the shard groups. */
#include "fuzz_shards.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	group_t *group = fuzz_create_group();
	int64_t now_ms = FUZZ_START_MS;
	fuzz_message_t msg;
	uint32_t shard;

	while (fuzz_next_message(&data, &size, &msg)) {
		now_ms += msg.wait * FUZZ_STEP_MS;
		group_tick(group, now_ms);
		shard = msg.from % FUZZ_SHARDS;
		if (group_is_leader(group, shard, now_ms))
			group_put(group, shard, "rate/a", msg.type, msg.payload,
			    msg.len, now_ms);
		group_handle(group, 1 + msg.from,
		    (uint16_t)(MSG_GROUP_BASE + msg.type % 20), msg.payload,
		    msg.len, now_ms);
	}
	group_destroy(group);
	return (0);
}
