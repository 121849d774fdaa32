/* Feed and gossip messages to an entry VM. */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "gossip/gossip.h"
#include "net/msg_types.h"

#define STEP_MS	 10
#define START_MS 1000000

static void
on_send(void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	config_state_t *state = config_state_create();
	gossip_options_t options = {
		.state = state,
		.controls = { 1, 2, 3 },
		.control_count = 3,
		.seed = 1,
		.send = on_send,
	};
	int64_t now_ms = START_MS;
	uint64_t index = 0;
	fuzz_message_t msg;
	gossip_t *gossip;

	strcpy(options.self.name, "entry-1");
	strcpy(options.self.data_centre, "dc-1");
	strcpy(options.self.peer_ip, "127.0.0.1");
	options.self.id = node_id_from_name("entry-1");
	options.self.incarnation = 1;
	options.self.peer_port = 1;
	if (gossip_create(&gossip, &options, now_ms) != 0)
		abort();
	while (fuzz_next_message(&data, &size, &msg)) {
		now_ms += msg.wait * STEP_MS;
		gossip_tick(gossip, now_ms);
		gossip_handle(gossip, 1 + msg.from,
		    (uint16_t)(MSG_FEED_BASE + msg.type % 20), msg.payload,
		    msg.len, now_ms);
		if (config_state_get_index(state) < index)
			abort();
		index = config_state_get_index(state);
	}
	gossip_destroy(gossip);
	config_state_destroy(state);
	return (0);
}
