/*
 * Guards against crashes of leader and view on malformed messages of service
 * coordination, such as a faulty or older VM sends them.
 */
#include "fuzz_shards.h"
#include "service/service_leader.h"
#include "service/service_view.h"

#define TERM 3

static uint64_t
get_term(void *ctx)
{
	return (TERM);
}

static node_id_t
get_node(void *ctx)
{
	return (2);
}

static void
get_profile(void *ctx, service_profile_t *out)
{
	*out = (service_profile_t){ .sensitivity = SERVICE_EAGER,
		.floor_percent = 50,
		.repeat_allowed = 1 };
}

static void
save_table(void *ctx, const uint8_t *table, size_t len)
{
}

static const uint8_t *
restore_table(void *ctx, size_t *len)
{
	*len = 0;
	return (NULL);
}

static void
use_view(service_view_t *view, int64_t now_ms)
{
	service_attempt_t attempt = { .endpoint = NULL };
	service_endpoint_t *const *endpoints;
	uint32_t count;

	endpoints = service_view_get_endpoints(view, &count);
	if (count == 0)
		return;
	service_view_start(view, &attempt, endpoints[0], 0, now_ms);
	service_view_finish(view, &attempt, SERVICE_OUTCOME_OK, now_ms);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	service_view_options_t view_options = {
		.service = "s",
		.self = 1,
		.data_centre = 1,
		.send = fuzz_send,
		.get_leader = get_node,
		.get_peer = get_node,
		.get_profile = get_profile,
		.seed = 1,
	};
	service_leader_options_t leader_options = {
		.service = "s",
		.send = fuzz_send,
		.get_term = get_term,
		.get_profile = get_profile,
		.save_table = save_table,
		.restore_table = restore_table,
		.seed = 1,
	};
	service_view_t *view = service_view_create(&view_options);
	service_leader_t *leader = service_leader_create(&leader_options);
	int64_t now_ms = FUZZ_START_MS;
	fuzz_message_t msg;
	uint16_t type;
	uint64_t id;

	if (view == NULL || leader == NULL)
		abort();
	while (fuzz_next_message(&data, &size, &msg)) {
		now_ms += msg.wait * FUZZ_STEP_MS;
		type = (uint16_t)(MSG_SERVICE_BASE + msg.type % 10);
		service_message_get_service(type, msg.payload, msg.len, &id);
		service_leader_handle(
		    leader, 1 + msg.from, type, msg.payload, msg.len, now_ms);
		service_view_handle(
		    view, 1 + msg.from, type, msg.payload, msg.len, now_ms);
		service_leader_tick(leader, now_ms);
		service_view_tick(view, now_ms);
		use_view(view, now_ms);
	}
	service_view_destroy(view);
	service_leader_destroy(leader);
	return (0);
}
