/* Claim messages to a holder and to a VM that waits for claims. */
#include "claim/claim_client.h"
#include "claim/claim_holder.h"
#include "fuzz_shards.h"

static void
on_result(void *ctx, claim_call_t call, void *request, claim_result_t result,
    const uint8_t *answer, size_t len)
{
	int *waiting = request;

	if (*waiting == 0)
		abort();
	*waiting = 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	group_t *group = fuzz_create_group();
	claim_client_options_t client_options = {
		.self = 1,
		.incarnation = 1,
		.seed = 1,
		.group = group,
		.send = fuzz_send,
		.result = on_result,
	};
	claim_holder_options_t holder_options = {
		.self = 1,
		.incarnation = 1,
		.group = group,
		.send = fuzz_send,
		.records_max = 64,
	};
	claim_client_t *client;
	claim_holder_t *holder;
	int64_t now_ms = FUZZ_START_MS;
	claim_call_t call = 0;
	int waiting = 0;
	fuzz_message_t msg;

	if (claim_client_create(&client, &client_options) != 0 ||
	    claim_holder_create(&holder, &holder_options) != 0)
		abort();
	while (fuzz_next_message(&data, &size, &msg)) {
		now_ms += msg.wait * FUZZ_STEP_MS;
		group_tick(group, now_ms);
		claim_client_tick(client, now_ms);
		claim_holder_tick(holder, now_ms);
		if (!waiting) {
			claim_client_release(client, call, now_ms);
			waiting =
			    claim_client_start(client, "w", "id", 1,
				now_ms + 3000, &waiting, now_ms, &call) == 0;
		}
		if (msg.type % 10 < 5)
			claim_holder_handle(holder, 1 + msg.from,
			    (uint16_t)(MSG_CLAIM_BASE + msg.type % 10),
			    msg.payload, msg.len, now_ms);
		else
			claim_client_handle(client, 1 + msg.from,
			    (uint16_t)(MSG_CLAIM_BASE + msg.type % 10),
			    msg.payload, msg.len, now_ms);
	}
	claim_client_destroy(client);
	claim_holder_destroy(holder);
	group_destroy(group);
	return (0);
}
