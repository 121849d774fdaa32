/* Metrics that are read from the modules when somebody asks for them. */
#include <stdio.h>

#include "base/error.h"
#include "entry/entry_defs.h"

#define LABELS_BYTES (NAME_MAX_BYTES + 64)

typedef struct ops_value {
	const char *name;
	metric_kind_t kind;
	int64_t value;
} ops_value_t;

static void
set_values(
    entry_t *entry, const char *labels, const ops_value_t *values, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		metric_set(metrics_get(entry->metrics, values[i].name, labels,
			       values[i].kind),
		    values[i].value);
}

static void
update_vm(entry_t *entry)
{
	const peer_stats_t *peers = peer_net_get_stats(entry->net);
	const claim_holder_stats_t *claims =
	    claim_holder_get_stats(entry->claim_holder);
	const ops_value_t values[] = {
		{ "tm_entry_in_flight", METRIC_GAUGE, entry->in_flight },
		{ "tm_entry_connections", METRIC_GAUGE,
		    http_server_get_connections(entry->callers) },
		{ "tm_entry_target_connections", METRIC_GAUGE,
		    upstream_get_total(entry->upstream) },
		{ "tm_entry_config_index", METRIC_GAUGE,
		    (int64_t)config_state_get_index(entry->state) },
		{ "tm_entry_serving", METRIC_GAUGE, entry->is_serving },
		{ "tm_entry_draining", METRIC_GAUGE,
		    entry->phase != ENTRY_RUNNING },
		{ "tm_peer_sent_bytes", METRIC_GAUGE,
		    (int64_t)peers->sent_bytes },
		{ "tm_peer_sent_messages", METRIC_GAUGE,
		    (int64_t)peers->sent_count },
		{ "tm_peer_received_bytes", METRIC_GAUGE,
		    (int64_t)peers->received_bytes },
		{ "tm_peer_received_messages", METRIC_GAUGE,
		    (int64_t)peers->received_count },
		{ "tm_peer_dropped_messages", METRIC_GAUGE,
		    (int64_t)peers->dropped_count },
		{ "tm_peer_auth_failures_total", METRIC_COUNTER,
		    (int64_t)peers->auth_failures },
		{ "tm_claim_records", METRIC_GAUGE, (int64_t)claims->records },
		{ "tm_claim_bytes", METRIC_GAUGE, (int64_t)claims->bytes },
		{ "tm_claim_granted_total", METRIC_COUNTER,
		    (int64_t)claims->granted },
		{ "tm_claim_refused_full_total", METRIC_COUNTER,
		    (int64_t)claims->refused_full },
		{ "tm_claim_answers_dropped_total", METRIC_COUNTER,
		    (int64_t)claims->answers_dropped },
	};

	set_values(entry, "", values, sizeof(values) / sizeof(values[0]));
}

static void
update_groups(entry_t *entry, int64_t now_ms)
{
	const group_stats_t *stats = group_get_stats(entry->group);
	group_roles_t roles = group_count_roles(entry->group, now_ms);
	const ops_value_t values[] = {
		{ "tm_group_holder_shards", METRIC_GAUGE, roles.holder_of },
		{ "tm_group_ready_shards", METRIC_GAUGE, roles.ready_for },
		{ "tm_group_leader_shards", METRIC_GAUGE, roles.leader_of },
		{ "tm_group_elections_won_total", METRIC_COUNTER,
		    (int64_t)stats->elections_won },
		{ "tm_group_leases_lost_total", METRIC_COUNTER,
		    (int64_t)stats->leases_lost },
		{ "tm_group_transfers_total", METRIC_COUNTER,
		    (int64_t)stats->transfers_done },
		{ "tm_group_stale_epochs_total", METRIC_COUNTER,
		    (int64_t)stats->stale_epochs },
		{ "tm_group_stale_incarnations_total", METRIC_COUNTER,
		    (int64_t)stats->stale_incarnations },
		{ "tm_group_malformed_total", METRIC_COUNTER,
		    (int64_t)stats->malformed },
	};
	set_values(entry, "", values, sizeof(values) / sizeof(values[0]));
}

static void
update_gossip(entry_t *entry, int64_t now_ms)
{
	gossip_status_t status;

	gossip_get_status(entry->gossip, now_ms, &status);
	const ops_value_t values[] = {
		{ "tm_gossip_tick_age_ms", METRIC_GAUGE, status.tick_age_ms },
		{ "tm_gossip_vms", METRIC_GAUGE, status.nodes },
		{ "tm_gossip_vms_heard", METRIC_GAUGE, status.nodes_heard },
		{ "tm_gossip_entries_total", METRIC_COUNTER,
		    (int64_t)status.entries_applied },
		{ "tm_gossip_snapshots_total", METRIC_COUNTER,
		    (int64_t)status.snapshots_installed },
		{ "tm_gossip_malformed_total", METRIC_COUNTER,
		    (int64_t)status.malformed },
	};
	set_values(entry, "", values, sizeof(values) / sizeof(values[0]));
}

/* Targets in a state of the table, or usable and avoided by this VM. */
static void
update_targets(entry_service_t *service, int64_t now_ms)
{
	static const char *const names[] = { "active", "ejected", "leaving",
		"lapsed", "usable", "avoided" };
	enum { USABLE = SERVICE_TARGET_LAPSED + 1, AVOIDED, STATES };
	service_endpoint_t *const *endpoints;
	service_endpoint_info_t info;
	int64_t counts[STATES] = { 0 };
	char labels[LABELS_BYTES];
	uint32_t count;
	uint32_t i;

	endpoints = service_view_get_endpoints(service->view, &count);
	for (i = 0; i < count; i++) {
		service_view_get_info(endpoints[i], now_ms, &info);
		counts[info.state]++;
		counts[USABLE] += endpoints[i]->usable != 0;
		counts[AVOIDED] += info.state == SERVICE_TARGET_ACTIVE &&
		    !endpoints[i]->usable;
	}
	for (i = 0; i < STATES; i++) {
		snprintf(labels, sizeof(labels), "service=\"%s\",state=\"%s\"",
		    service->name, names[i]);
		metric_set(metrics_get(service->entry->metrics,
			       "tm_service_targets", labels, METRIC_GAUGE),
		    counts[i]);
	}
}

static void
update_service(entry_service_t *service, int64_t now_ms)
{
	static const service_leader_stats_t none;
	const service_leader_stats_t *stats = service->leader != NULL
	    ? service_leader_get_stats(service->leader)
	    : &none;
	char labels[LABELS_BYTES];

	const ops_value_t values[] = {
		{ "tm_service_waiting", METRIC_GAUGE,
		    fair_queue_get_waiting(service->queue) },
		{ "tm_service_running", METRIC_GAUGE,
		    fair_queue_get_running(service->queue) },
		{ "tm_service_has_leader", METRIC_GAUGE,
		    service_view_has_leader(service->view, now_ms) },
		{ "tm_service_ejections_total", METRIC_COUNTER,
		    (int64_t)stats->ejections },
		{ "tm_service_returns_total", METRIC_COUNTER,
		    (int64_t)stats->returns },
		{ "tm_service_floor_kept_total", METRIC_COUNTER,
		    (int64_t)stats->floor_kept },
		{ "tm_service_path_faults_total", METRIC_COUNTER,
		    (int64_t)stats->path_faults },
		{ "tm_service_lapses_total", METRIC_COUNTER,
		    (int64_t)stats->lapses },
		{ "tm_service_blocked_total", METRIC_COUNTER,
		    (int64_t)stats->blocked },
		{ "tm_service_rejected_messages_total", METRIC_COUNTER,
		    (int64_t)stats->rejected_messages },
	};
	snprintf(labels, sizeof(labels), "service=\"%s\"", service->name);
	set_values(
	    service->entry, labels, values, sizeof(values) / sizeof(values[0]));
	update_targets(service, now_ms);
}

void
ops_metrics_update(entry_t *entry, int64_t now_ms)
{
	entry_service_t *service;

	update_vm(entry);
	update_groups(entry, now_ms);
	update_gossip(entry, now_ms);
	for (service = entry->services; service != NULL;
	     service = service->hh.next)
		update_service(service, now_ms);
}
