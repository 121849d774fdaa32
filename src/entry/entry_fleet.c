#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/test_hooks.h"
#include "claim/claim_defs.h"
#include "entry/entry_defs.h"
#include "entry/request.h"
#include "gossip/shard_list.h"
#include "net/msg_types.h"
#include "rate/rate_defs.h"

#define SLOW_TICK_MS 500

void
entry_fleet_dispatch_service(entry_t *entry, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	entry_service_t *service;
	uint64_t id;

	if (type == MSG_SERVICE_VERSIONS) {
		entry_tables_handle(entry, from, payload, len, now_ms);
		return;
	}
	if (type == MSG_SERVICE_BATCH) {
		entry_batch_handle(entry, from, payload, len, now_ms);
		return;
	}
	if (service_message_get_service(type, payload, len, &id) != TM_OK)
		return;
	service = entry_service_find_id(entry, id);
	if (service == NULL)
		return;
	if (service->leader != NULL)
		service_leader_handle(
		    service->leader, from, type, payload, len, now_ms);
	service_view_handle(service->view, from, type, payload, len, now_ms);
	entry_service_wake(service, now_ms);
}

static void
fleet_dispatch_rate(entry_t *entry, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	if (type < MSG_RATE_GRANT)
		rate_leader_handle(
		    entry->rate_leader, from, type, payload, len, now_ms);
	else
		rate_client_handle(
		    entry->rates, from, type, payload, len, now_ms);
}

static void
fleet_dispatch_claim(entry_t *entry, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	if (type < MSG_CLAIM_REPLY)
		claim_holder_handle(
		    entry->claim_holder, from, type, payload, len, now_ms);
	else
		claim_client_handle(
		    entry->claims, from, type, payload, len, now_ms);
}

static int
fleet_is_control(const entry_t *entry, node_id_t node)
{
	int i;

	for (i = 0; i < entry->settings->control_count; i++) {
		if (entry->settings->controls[i].id == node)
			return (1);
	}
	return (0);
}

static void
fleet_dispatch_feed(entry_t *entry, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	if (test_hooks_is_off("gossip") && !fleet_is_control(entry, from))
		return;
	gossip_handle(entry->gossip, from, type, payload, len, now_ms);
}

static void
fleet_dispatch(entry_t *entry, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len)
{
	int64_t now_ms = clock_now_ms();

	if (type >= MSG_TYPE_LIMIT)
		return;
	if (type >= MSG_SERVICE_BASE)
		entry_fleet_dispatch_service(
		    entry, from, type, payload, len, now_ms);
	else if (type >= MSG_RATE_BASE)
		fleet_dispatch_rate(entry, from, type, payload, len, now_ms);
	else if (type >= MSG_CLAIM_BASE)
		fleet_dispatch_claim(entry, from, type, payload, len, now_ms);
	else if (type >= MSG_GROUP_BASE)
		group_handle(entry->group, from, type, payload, len, now_ms);
	else if (type >= MSG_FEED_BASE)
		fleet_dispatch_feed(entry, from, type, payload, len, now_ms);
}

static void
fleet_on_receive(void *ctx, node_id_t from, uint64_t incarnation, uint16_t type,
    const uint8_t *payload, size_t len)
{
	(void)incarnation;
	fleet_dispatch(ctx, from, type, payload, len);
}

static void
fleet_queue_local(entry_t *entry, uint16_t type, const ProtobufCMessage *msg)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	entry_local_message_t *local = malloc(sizeof(*local) + len);

	if (local == NULL)
		return;
	local->next = NULL;
	local->type = type;
	local->len = protobuf_c_message_pack(msg, local->payload);
	if (entry->local_tail != NULL)
		entry->local_tail->next = local;
	else
		entry->local_head = local;
	entry->local_tail = local;
}

void
entry_fleet_send(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	entry_t *entry = ctx;

	if (to == entry->self)
		fleet_queue_local(entry, type, msg);
	else
		peer_net_send(entry->net, to, type, msg);
}

void
entry_fleet_deliver_local(entry_t *entry)
{
	entry_local_message_t *local;

	while ((local = entry->local_head) != NULL) {
		entry->local_head = local->next;
		if (entry->local_head == NULL)
			entry->local_tail = NULL;
		fleet_dispatch(entry, entry->self, local->type, local->payload,
		    local->len);
		free(local);
	}
}

static void
fleet_on_prepare(uv_prepare_t *handle)
{
	entry_fleet_deliver_local(handle->data);
	entry_service_pump_all(handle->data);
	entry_fleet_deliver_local(handle->data);
	entry_batch_flush(handle->data);
}

static void
fleet_on_leads(void *ctx, uint32_t shard, int leads, int64_t now_ms)
{
	entry_t *entry = ctx;

	if (entry->rate_leader != NULL)
		rate_leader_set_leading(
		    entry->rate_leader, shard, leads, now_ms);
	entry_service_set_leading(entry, shard, leads, now_ms);
}

static void
fleet_on_committed(void *ctx, uint32_t shard, const char *key, uint64_t version,
    int64_t now_ms)
{
	entry_t *entry = ctx;

	if (entry->rate_leader != NULL)
		rate_leader_set_committed(
		    entry->rate_leader, shard, key, version, now_ms);
}

static int
fleet_create_net(entry_t *entry)
{
	const entry_settings_t *settings = entry->settings;
	char ip[INET_ADDRSTRLEN];
	peer_options_t options = {
		.loop = entry->loop,
		.node_name = settings->node,
		.incarnation = entry->incarnation,
		.listen_ip = ip,
		.listen_port = ntohs(settings->peer_listen.sin_port),
		.receive = fleet_on_receive,
		.ctx = entry,
	};
	int err;
	int i;

	uv_ip4_name(&settings->peer_listen, ip, sizeof(ip));
	program_list_secrets(
	    settings->secrets, settings->secret_count, options.secrets);
	err = peer_net_create(&entry->net, &options);
	if (err != TM_OK)
		return (err);
	for (i = 0; i < settings->control_count; i++) {
		uv_ip4_name(&settings->controls[i].peer, ip, sizeof(ip));
		peer_net_set_address(entry->net, settings->controls[i].id, ip,
		    ntohs(settings->controls[i].peer.sin_port));
	}
	uv_prepare_init(entry->loop, &entry->local_prepare);
	entry->local_prepare.data = entry;
	uv_prepare_start(&entry->local_prepare, fleet_on_prepare);
	return (TM_OK);
}

static int
fleet_create_gossip(entry_t *entry)
{
	const entry_settings_t *settings = entry->settings;
	gossip_options_t options = {
		.state = entry->state,
		.control_count = settings->control_count,
		.seed = rng_next(&entry->rng),
		.send = entry_fleet_send,
		.send_ctx = entry,
		.ctx = entry,
	};
	int i;

	options.self.id = entry->self;
	options.self.incarnation = entry->incarnation;
	options.self.role = CONFIG_ROLE_ENTRY;
	options.self.peer_port = peer_net_get_port(entry->net);
	memcpy(options.self.name, settings->node, sizeof(options.self.name));
	memcpy(options.self.data_centre, settings->data_centre,
	    sizeof(options.self.data_centre));
	uv_ip4_name(&settings->peer_listen, options.self.peer_ip,
	    sizeof(options.self.peer_ip));
	uv_ip4_name(&settings->ops_listen, options.self.ops_ip,
	    sizeof(options.self.ops_ip));
	options.self.ops_port = ntohs(settings->ops_listen.sin_port);
	for (i = 0; i < settings->control_count; i++)
		options.controls[i] = settings->controls[i].id;
	return (gossip_create(&entry->gossip, &options, clock_now_ms()));
}

static int
fleet_create_group(entry_t *entry)
{
	group_options_t options = {
		.self = entry->self,
		.incarnation = entry->incarnation,
		.shard_count = CONFIG_SHARDS,
		.seed = rng_next(&entry->rng),
		.callbacks = {
			.ctx = entry,
			.send = entry_fleet_send,
			.leads = fleet_on_leads,
			.committed = fleet_on_committed,
		},
		.test = {
			.ignore_incarnation =
			    test_hooks_is_off("group_incarnation"),
			.skip_transfer = test_hooks_is_off("group_transfer"),
			.skip_quarantine =
			    test_hooks_is_off("group_quarantine"),
			.ignore_lease = test_hooks_is_off("group_lease"),
			.vote_early = test_hooks_is_off("group_vote_wait"),
			.skip_store = test_hooks_is_off("group_store"),
		},
	};

	return (group_create(&entry->group, &options));
}

static int
fleet_create_claims(entry_t *entry)
{
	claim_client_options_t client = {
		.self = entry->self,
		.incarnation = entry->incarnation,
		.seed = rng_next(&entry->rng),
		.group = entry->group,
		.ctx = entry,
		.send = entry_fleet_send,
		.result = request_on_claim,
		.test_skip_validity = test_hooks_is_off("claim_validity"),
		.test_skip_quorum = test_hooks_is_off("claim_quorum"),
		.test_mixed_epochs = test_hooks_is_off("claim_epochs"),
	};
	claim_holder_options_t holder = {
		.self = entry->self,
		.incarnation = entry->incarnation,
		.group = entry->group,
		.ctx = entry,
		.send = entry_fleet_send,
	};
	int err = claim_client_create(&entry->claims, &client);

	return (err != TM_OK
		? err
		: claim_holder_create(&entry->claim_holder, &holder));
}

static int
fleet_create_rates(entry_t *entry)
{
	rate_client_options_t client = {
		.self = entry->self,
		.incarnation = entry->incarnation,
		.group = entry->group,
		.ctx = entry,
		.send = entry_fleet_send,
		.result = request_on_token,
		.baseline = entry->settings->mode == ENTRY_MODE_BASELINE,
		.test_skip_expiry = test_hooks_is_off("rate_expiry"),
	};
	rate_leader_options_t leader = {
		.self = entry->self,
		.incarnation = entry->incarnation,
		.group = entry->group,
		.ctx = entry,
		.send = entry_fleet_send,
		.test_skip_floors = test_hooks_is_off("rate_floors"),
		.test_skip_outstanding = test_hooks_is_off("rate_outstanding"),
	};
	int err = rate_client_create(&entry->rates, &client);

	return (err != TM_OK
		? err
		: rate_leader_create(&entry->rate_leader, &leader));
}

int
entry_fleet_create(entry_t *entry)
{
	int err;

	entry->state = config_state_create();
	if (entry->state == NULL)
		return (TM_ENOMEM);
	config_state_set_watch(entry->state, entry_sync_change, entry);
	err = fleet_create_net(entry);
	if (err == TM_OK)
		err = fleet_create_gossip(entry);
	if (err == TM_OK)
		err = fleet_create_group(entry);
	if (err == TM_OK)
		err = fleet_create_claims(entry);
	if (err == TM_OK)
		err = fleet_create_rates(entry);
	return (err);
}

static void
fleet_report_ready_shards(entry_t *entry)
{
	uint8_t list[CONFIG_SHARDS * SHARD_LIST_ITEM_BYTES];
	size_t len = 0;
	uint32_t shard;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		if (group_is_ready(entry->group, shard))
			shard_list_add(list, &len, shard);
	}
	gossip_set_ready_shards(entry->gossip, list, len);
}

void
entry_fleet_tick(entry_t *entry, int64_t now_ms)
{
	gossip_tick(entry->gossip, now_ms);
	group_tick(entry->group, now_ms);
	claim_holder_tick(entry->claim_holder, now_ms);
	claim_client_tick(entry->claims, now_ms);
	rate_leader_tick(entry->rate_leader, now_ms);
	rate_client_tick(entry->rates, now_ms);
	entry_service_tick_due(entry, now_ms);
	entry_tables_tick(entry, now_ms);
	entry->is_serving = gossip_is_serving(entry->gossip, now_ms) ||
	    test_hooks_is_off("isolation");
	if (now_ms - entry->slow_tick_ms < SLOW_TICK_MS)
		return;
	entry->slow_tick_ms = now_ms;
	fleet_report_ready_shards(entry);
	entry_workspace_evict_idle(entry, now_ms);
	upstream_tick(entry->upstream, now_ms);
}
