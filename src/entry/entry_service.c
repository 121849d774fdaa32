#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/test_hooks.h"
#include "entry/entry_defs.h"
#include "entry/request.h"

#define DEMAND_MAX 1024
/* A VM may always run this many requests of a service. */
#define LIMIT_MIN 4
/*
 * Four times the VM's part of the capacity, because callers spread unevenly
 * over the VMs and a running request is partly on the network; docs/fairness.md
 * has the measured rounds.
 */
#define LIMIT_FACTOR   4
#define BASELINE_LIMIT 1000000
#define TABLE_KEY_MAX  (NAME_MAX_BYTES + 16)
/*
 * Connections of this VM to one target: its part of 80 % of the target's cap,
 * within these bounds.
 */
#define CONNECTIONS_MIN	    4
#define CONNECTIONS_MAX	    64
#define CONNECTIONS_PERCENT 80
/*
 * Next try of a message for which no leader was known, without requests. A
 * leader that takes over learns its VMs from it, well before a leaving target
 * must be known everywhere (2 s).
 */
#define NO_LEADER_TICK_MS 200
#define BUSY_MS		  1000

entry_service_t *
entry_service_find(entry_t *entry, const char *name)
{
	entry_service_t *service;

	HASH_FIND_STR(entry->services, name, service);
	return (service);
}

entry_service_t *
entry_service_find_id(entry_t *entry, uint64_t id)
{
	entry_service_t *service;

	HASH_FIND(hh_id, entry->services_by_id, &id, sizeof(id), service);
	return (service);
}

static const config_profile_t *
service_find_profile(const entry_service_t *service)
{
	const config_state_t *state = service->entry->state;
	const config_service_t *config;

	config = config_state_find_service(state, service->name);
	if (config == NULL)
		return (NULL);
	return (config_state_find_profile(state, config->profile));
}

const config_profile_t *
entry_service_get_profile(entry_service_t *service)
{
	uint64_t changes = service->entry->profile_changes;

	if (service->profile_changes != changes) {
		service->profile = service_find_profile(service);
		service->profile_changes = changes;
	}
	return (service->profile);
}

static void
service_read_profile(void *ctx, service_profile_t *out)
{
	const config_profile_t *profile = entry_service_get_profile(ctx);

	*out = (service_profile_t){ .sensitivity = SERVICE_CAUTIOUS,
		.floor_percent = 100 };
	if (profile == NULL)
		return;
	out->sensitivity = (service_sensitivity_t)profile->ejection;
	out->floor_percent = profile->floor_percent;
	out->repeat_allowed = profile->repeat_allowed;
}

static node_id_t
service_find_leader(void *ctx)
{
	entry_service_t *service = ctx;

	return (group_get_leader(
	    service->entry->group, service->shard, clock_now_ms()));
}

static node_id_t
service_find_peer(void *ctx)
{
	entry_service_t *service = ctx;
	entry_t *entry = service->entry;

	if (entry->peer_count == 0)
		return (NODE_ID_NONE);
	return (entry->peers[rng_below(&entry->rng, entry->peer_count)]);
}

static void
service_send(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	entry_service_t *service = ctx;
	entry_t *entry = service->entry;

	if (to != entry->self &&
	    (type == MSG_SERVICE_REPORT || type == MSG_SERVICE_SHARES))
		entry_batch_add(entry, to, type, msg);
	else
		entry_fleet_send(entry, to, type, msg);
}

static uint64_t
service_get_term(void *ctx)
{
	entry_service_t *service = ctx;
	group_t *group = service->entry->group;

	if (!group_is_leader(group, service->shard, clock_now_ms()))
		return (0);
	return (group_get_term(group, service->shard));
}

static void
service_get_table_key(const entry_service_t *service, char *out)
{
	snprintf(out, TABLE_KEY_MAX, "service/%s", service->name);
}

static void
service_save_table(void *ctx, const uint8_t *table, size_t len)
{
	entry_service_t *service = ctx;
	char key[TABLE_KEY_MAX];

	service_get_table_key(service, key);
	group_put(service->entry->group, service->shard, key,
	    ++service->table_version, table, len, clock_now_ms());
}

static const uint8_t *
service_restore_table(void *ctx, size_t *len)
{
	entry_service_t *service = ctx;
	char key[TABLE_KEY_MAX];

	service_get_table_key(service, key);
	return (group_get(service->entry->group, service->shard, key,
	    &service->table_version, len));
}

/* Mechanisms that a proof has switched off. */
static uint32_t
service_get_test_off(void)
{
	uint32_t off = 0;

	if (test_hooks_is_off("floor"))
		off |= SERVICE_OFF_FLOOR;
	if (test_hooks_is_off("crash_block"))
		off |= SERVICE_OFF_CRASH_BLOCK;
	if (test_hooks_is_off("target_incarnation"))
		off |= SERVICE_OFF_INCARNATION;
	if (test_hooks_is_off("service_restore"))
		off |= SERVICE_OFF_RESTORE;
	if (test_hooks_is_off("service_push"))
		off |= SERVICE_OFF_PUSH;
	return (off);
}

static uint32_t
service_get_view_test_off(void)
{
	uint32_t off = 0;

	if (test_hooks_is_off("floor"))
		off |= SERVICE_VIEW_OFF_FLOOR;
	if (test_hooks_is_off("service_local"))
		off |= SERVICE_VIEW_OFF_LOCAL;
	if (test_hooks_is_off("target_incarnation"))
		off |= SERVICE_VIEW_OFF_INCARNATION;
	return (off);
}

static int
service_create_modules(entry_service_t *service)
{
	entry_t *entry = service->entry;
	service_view_options_t view = {
		.service = service->name,
		.self = entry->self,
		.data_centre = (uint32_t)service_id_from_name(
				   entry->settings->data_centre) |
		    1,
		.ctx = service,
		.send = service_send,
		.get_leader = service_find_leader,
		.get_peer = service_find_peer,
		.get_profile = service_read_profile,
		.seed = rng_next(&entry->rng),
		.test_off = service_get_view_test_off(),
		.has_batched_versions = 1,
	};

	service->view = service_view_create(&view);
	service->queue = fair_queue_create(LIMIT_MIN);
	if (service->view == NULL || service->queue == NULL)
		return (TM_ENOMEM);
	balancer_init(&service->balancer,
	    entry->settings->mode == ENTRY_MODE_BASELINE ? BALANCER_BASELINE
							 : BALANCER_FLEET,
	    entry->self, rng_next(&entry->rng));
	retry_budget_init(&service->budget);
	return (TM_OK);
}

/*
 * The leader's tables take 130 KB, and a VM leads hardly any of the services
 * at the target size, so they are made in the first term of this VM.
 */
static void
service_tick_leader(entry_service_t *service, int64_t now_ms)
{
	service_leader_options_t leader = {
		.service = service->name,
		.ctx = service,
		.send = service_send,
		.get_term = service_get_term,
		.get_profile = service_read_profile,
		.save_table = service_save_table,
		.restore_table = service_restore_table,
		.test_off = service_get_test_off(),
	};

	if (service->leader == NULL) {
		if (service_get_term(service) == 0)
			return;
		leader.seed = rng_next(&service->entry->rng);
		service->leader = service_leader_create(&leader);
	}
	if (service->leader != NULL)
		service_leader_tick(service->leader, now_ms);
}

static void
service_create_metrics(entry_service_t *service)
{
	metrics_t *metrics = service->entry->metrics;
	char labels[NAME_MAX_BYTES + 16];

	snprintf(labels, sizeof(labels), "service=\"%s\"", service->name);
	service->requests = metrics_get(
	    metrics, "tm_entry_service_requests_total", labels, METRIC_COUNTER);
	service->refused = metrics_get(
	    metrics, "tm_entry_service_refused_total", labels, METRIC_COUNTER);
	service->latency = metrics_get(
	    metrics, "tm_entry_service_latency_us", labels, METRIC_HISTOGRAM);
	service->attempts = metrics_get(
	    metrics, "tm_entry_attempts_total", labels, METRIC_COUNTER);
	service->retries = metrics_get(
	    metrics, "tm_entry_retries_total", labels, METRIC_COUNTER);
	service->hedges = metrics_get(
	    metrics, "tm_entry_hedges_total", labels, METRIC_COUNTER);
	service->wrong = metrics_get(
	    metrics, "tm_entry_wrong_responses_total", labels, METRIC_COUNTER);
	service->sheds = metrics_get(
	    metrics, "tm_entry_sheds_total", labels, METRIC_COUNTER);
}

static void
service_destroy(entry_service_t *service)
{
	if (service->view != NULL)
		service_view_destroy(service->view);
	service_leader_destroy(service->leader);
	if (service->queue != NULL)
		fair_queue_destroy(service->queue);
	free(service);
}

entry_service_t *
entry_service_get(entry_t *entry, const char *name)
{
	entry_service_t *service = entry_service_find(entry, name);

	if (service != NULL)
		return (service);
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return (NULL);
	service->entry = entry;
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->id = service_id_from_name(name);
	service->shard = group_shard_of(entry->group, name);
	service->due.data = service;
	if (service_create_modules(service) != TM_OK) {
		service_destroy(service);
		return (NULL);
	}
	if (due_heap_set(&entry->due_services, &service->due, 0) != TM_OK) {
		service_destroy(service);
		return (NULL);
	}
	service->is_leading = service_get_term(service) != 0;
	service_create_metrics(service);
	HASH_ADD_STR(entry->services, name, service);
	HASH_ADD(
	    hh_id, entry->services_by_id, id, sizeof(service->id), service);
	return (service);
}

/* Demand goes to the leader only while requests wait. */
static void
service_report_demand(entry_service_t *service)
{
	fair_demand_t demand[DEMAND_MAX];
	service_demand_t report[DEMAND_MAX];
	uint32_t count = 0;
	uint32_t i;

	if (fair_queue_get_waiting(service->queue) > 0)
		count =
		    fair_queue_get_demand(service->queue, demand, DEMAND_MAX);
	for (i = 0; i < count; i++) {
		report[i] = (service_demand_t){
			.workspace = demand[i].workspace,
			.running = demand[i].running,
			.queued = demand[i].queued,
		};
	}
	service_view_set_demand(service->view, report, count);
}

/* Shares end at the next report of the leader at the latest. */
static void
service_apply_shares(entry_service_t *service, int64_t now_ms)
{
	fair_demand_t demand[DEMAND_MAX];
	uint32_t count;
	uint32_t i;

	count = fair_queue_get_demand(service->queue, demand, DEMAND_MAX);
	for (i = 0; i < count; i++)
		fair_queue_set_share(service->queue, demand[i].workspace,
		    service_view_get_share(
			service->view, demand[i].workspace, now_ms),
		    now_ms + MS_PER_SEC);
}

static uint32_t
service_count_usable(service_endpoint_t *const *endpoints, uint32_t count)
{
	uint32_t usable = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		usable += endpoints[i]->usable != 0;
	return (usable);
}

static uint32_t
service_get_connections_each(
    service_endpoint_t *const *endpoints, uint32_t count, uint32_t vms)
{
	uint32_t each = CONNECTIONS_MAX;
	uint32_t part;
	uint32_t i;

	for (i = 0; i < count; i++) {
		part = endpoints[i]->connection_cap * CONNECTIONS_PERCENT /
		    (100 * vms);
		if (part < each)
			each = part;
	}
	return (each > CONNECTIONS_MIN ? each : CONNECTIONS_MIN);
}

static void
service_update_limits(entry_service_t *service)
{
	service_endpoint_t *const *endpoints;
	const config_profile_t *profile = entry_service_get_profile(service);
	uint32_t vms = service_view_get_vm_count(service->view);
	uint32_t limit;
	uint32_t count;
	uint32_t each;

	endpoints = service_view_get_endpoints(service->view, &count);
	each = service_get_connections_each(endpoints, count, vms);
	balancer_update_subset(&service->balancer, endpoints, count, vms, each,
	    service_view_get_generation(service->view));
	if (service->balancer.mode == BALANCER_BASELINE) {
		fair_queue_set_limit(service->queue, BASELINE_LIMIT);
		return;
	}
	limit = LIMIT_FACTOR * service_view_get_capacity(service->view) / vms;
	/* More would wait for a connection after they spent a token. */
	if (limit > each * service_count_usable(endpoints, count))
		limit = each * service_count_usable(endpoints, count);
	fair_queue_set_limit(
	    service->queue, limit > LIMIT_MIN ? limit : LIMIT_MIN);
	if (profile != NULL)
		fair_queue_set_reserve(
		    service->queue, profile->deadline_ms / 2);
}

static void
service_release(entry_service_t *service, int64_t now_ms)
{
	fair_item_t *item;

	if (fair_queue_get_waiting(service->queue) == 0)
		return;
	while ((item = fair_queue_take_expired(service->queue, now_ms)) != NULL)
		request_expire(item->data);
	while ((item = fair_queue_release(service->queue, now_ms)) != NULL)
		request_release(item->data);
}

void
entry_service_pump(entry_service_t *service, int64_t now_ms)
{
	service->used_ms = now_ms;
	service_release(service, now_ms);
	entry_service_wake(service, now_ms);
}

void
entry_service_need_pump(entry_service_t *service)
{
	if (service->needs_pump)
		return;
	service->needs_pump = 1;
	service->next_pump = service->entry->pumps;
	service->entry->pumps = service;
}

/* @return 1 while stalls, deadlines or the leader need a short interval */
static int
service_is_busy(const entry_service_t *service)
{
	return (service->is_leading ||
	    fair_queue_get_running(service->queue) > 0 ||
	    fair_queue_get_waiting(service->queue) > 0);
}

static int64_t
service_get_due_ms(const entry_service_t *service, int64_t now_ms)
{
	int64_t due_ms = service_view_get_due_ms(service->view, now_ms);

	if (service_is_busy(service))
		return (now_ms + ENTRY_TICK_MS);
	if (due_ms > now_ms)
		return (due_ms);
	return (now_ms +
	    (now_ms - service->used_ms < BUSY_MS ? ENTRY_TICK_MS
						 : NO_LEADER_TICK_MS));
}

static void
service_tick(entry_service_t *service, int64_t now_ms)
{
	service_view_tick(service->view, now_ms);
	service_tick_leader(service, now_ms);
	service_report_demand(service);
	service_apply_shares(service, now_ms);
	service_update_limits(service);
	service_release(service, now_ms);
}

void
entry_service_tick_due(entry_t *entry, int64_t now_ms)
{
	entry_service_t *service;
	due_item_t *item;

	while ((item = due_heap_get_first(&entry->due_services)) != NULL &&
	    item->due_ms <= now_ms) {
		service = item->data;
		service_tick(service, now_ms);
		(void)due_heap_set(&entry->due_services, item,
		    service_get_due_ms(service, now_ms));
	}
}

/* The next tick runs the timers, not this call, which may be within one. */
void
entry_service_wake(entry_service_t *service, int64_t now_ms)
{
	if (now_ms < service->due.due_ms)
		(void)due_heap_set(
		    &service->entry->due_services, &service->due, now_ms);
}

void
entry_service_wake_all(entry_t *entry, int64_t now_ms)
{
	entry_service_t *service;

	for (service = entry->services; service != NULL;
	     service = service->hh.next)
		entry_service_wake(service, now_ms);
}

void
entry_service_set_leading(
    entry_t *entry, uint32_t shard, int leads, int64_t now_ms)
{
	entry_service_t *service;

	for (service = entry->services; service != NULL;
	     service = service->hh.next) {
		if (service->shard != shard)
			continue;
		service->is_leading = leads;
		entry_service_wake(service, now_ms);
	}
}

void
entry_service_pump_all(entry_t *entry)
{
	entry_service_t *service = entry->pumps;
	entry_service_t *next;

	/* A release may end requests; their services wait for the next call. */
	entry->pumps = NULL;
	for (; service != NULL; service = next) {
		next = service->next_pump;
		service->needs_pump = 0;
		entry_service_pump(service, clock_now_ms());
	}
}
