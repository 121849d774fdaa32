/**
 * @file
 * A shard group that the fuzzed VM is a member of.
 */
#ifndef TM_TEST_FUZZ_FUZZ_SHARDS_H
#define TM_TEST_FUZZ_FUZZ_SHARDS_H

#include <stdlib.h>

#include "fuzz.h"
#include "group/group.h"
#include "net/msg_types.h"

#define FUZZ_SHARDS   4
#define FUZZ_HOLDERS  5
#define FUZZ_START_MS 1000000
#define FUZZ_STEP_MS  10

static void
fuzz_send(void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	uint8_t *bytes = malloc(len > 0 ? len : 1);

	/* Packing reads the whole message. */
	protobuf_c_message_pack(msg, bytes);
	free(bytes);
}

/* Node 1 is this VM; nodes 1 to 5 with incarnation 1 hold every shard. */
static inline group_t *
fuzz_create_group(void)
{
	group_options_t options = {
		.self = 1,
		.incarnation = 1,
		.shard_count = FUZZ_SHARDS,
		.seed = 1,
		.callbacks = { .send = fuzz_send },
	};
	group_assignment_t assignment = {
		.epoch = 1,
		.holder_count = FUZZ_HOLDERS,
	};
	group_t *group;
	uint32_t i;

	for (i = 0; i < FUZZ_HOLDERS; i++) {
		assignment.holders[i].node = 1 + i;
		assignment.holders[i].incarnation = 1;
		assignment.holders[i].since_epoch = 1;
	}
	if (group_create(&group, &options) != 0)
		abort();
	for (i = 0; i < FUZZ_SHARDS; i++) {
		assignment.shard = i;
		group_set_assignment(group, &assignment, FUZZ_START_MS);
	}
	return (group);
}

#endif
