/* Messages to a raft node whose storage accepts everything. */
#include <stdlib.h>

#include "fuzz.h"
#include "net/msg_types.h"
#include "raft/raft.h"

#define NODES	 3
#define STEP_MS	 10
#define START_MS 1000000

static int
store_append(void *ctx, const raft_entry_t *entries, size_t count)
{
	size_t i;

	(void)ctx;
	for (i = 1; i < count; i++) {
		if (entries[i].index != entries[i - 1].index + 1)
			abort();
	}
	return (0);
}

static int
store_truncate(void *ctx, uint64_t from)
{
	return (0);
}

static int
store_vote(void *ctx, uint64_t term, node_id_t vote)
{
	uint64_t *last = ctx;

	if (term < *last)
		abort();
	*last = term;
	return (0);
}

static int
store_snapshot(void *ctx, const raft_snapshot_t *snapshot)
{
	return (0);
}

static void
on_send(void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
}

static void
on_apply(void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
}

static int
on_take(void *ctx, uint8_t **data, size_t *len)
{
	*data = calloc(1, 1);
	*len = 1;
	return (0);
}

static int
on_install(void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
	return (0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint64_t term = 0;
	raft_options_t options = {
		.self = 1,
		.disk_id = 11,
		.voters = { { .node = 1, .disk_id = 11 },
		    { .node = 2, .disk_id = 12 },
		    { .node = 3, .disk_id = 13 } },
		.voter_count = NODES,
		.seed = 1,
		.storage = { store_append, store_truncate, store_vote,
		    store_snapshot, &term },
		.send = on_send,
		.apply = on_apply,
		.take_snapshot = on_take,
		.install_snapshot = on_install,
	};
	int64_t now_ms = START_MS;
	fuzz_message_t msg;
	raft_t *raft;
	uint64_t index;

	if (raft_create(&raft, &options, now_ms) != 0)
		abort();
	while (fuzz_next_message(&data, &size, &msg)) {
		now_ms += msg.wait * STEP_MS;
		raft_tick(raft, now_ms);
		raft_propose(raft, msg.payload, msg.len, &index);
		raft_handle(raft, 1 + msg.from,
		    (uint16_t)(MSG_RAFT_BASE + msg.type % 20), msg.payload,
		    msg.len, now_ms);
	}
	raft_tick(raft, now_ms + STEP_MS);
	raft_compact(raft, 0);
	raft_destroy(raft);
	return (0);
}
