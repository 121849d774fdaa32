/* State of this VM and its knowledge about single objects, as JSON. */
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "entry/entry_defs.h"
#include "entry/trace.h"

#define PERCENT 100.0

/* Targets of a service by what this VM does with them. */
typedef struct ops_target_counts {
	int usable;
	int ejected;
	int leaving;
	int lapsed;
	int avoided;
} ops_target_counts_t;

static const char *
describe_node(const entry_t *entry, node_id_t id)
{
	const config_node_t *node = config_state_find_node(entry->state, id);

	return (node != NULL ? node->name : NULL);
}

/* A share is given in percent, a ratio of latencies as a factor. */
static json_t *
describe_verdict(const service_finding_t *verdict)
{
	double scale =
	    verdict->evidence == SERVICE_EVIDENCE_SLOW ? 1.0 : PERCENT;

	return (json_pack("{s:s, s:s, s:f, s:f}", "evidence",
	    service_evidence_get_name(verdict->evidence), "unit",
	    verdict->evidence == SERVICE_EVIDENCE_SLOW ? "times the peers"
						       : "percent of attempts",
	    "value", verdict->value * scale, "limit", verdict->limit * scale));
}

static void
describe_state(json_t *out, const service_endpoint_info_t *info)
{
	json_object_set_new(out, "state",
	    json_string(service_target_state_get_name(info->state)));
	json_object_set_new(
	    out, "state_age_ms", json_integer(info->state_age_ms));
	json_object_set_new(
	    out, "ejections", json_integer((json_int_t)info->ejections));
	if (info->state == SERVICE_TARGET_EJECTED)
		json_object_set_new(
		    out, "verdict", describe_verdict(&info->verdict));
	json_object_set_new(out, "avoided_here", json_boolean(info->avoided));
	if (info->avoided) {
		json_object_set_new(
		    out, "avoided_age_ms", json_integer(info->avoided_age_ms));
		json_object_set_new(
		    out, "local_verdict", describe_verdict(&info->local));
	}
	json_object_set_new(out, "avoided_by_data_centre",
	    json_boolean(info->avoided_by_data_centre));
}

static json_t *
describe_endpoint(
    const entry_t *entry, const service_endpoint_t *endpoint, int64_t now_ms)
{
	char address[SERVICE_IP_BYTES + 8];
	service_endpoint_info_t info;
	struct sockaddr_in to;
	uint32_t connections = 0;
	json_t *out;

	if (uv_ip4_addr(endpoint->ip, endpoint->port, &to) == 0)
		connections = upstream_get_connections(entry->upstream, &to);
	snprintf(
	    address, sizeof(address), "%s:%u", endpoint->ip, endpoint->port);
	out = json_pack("{s:s, s:I, s:s, s:b, s:i, s:i, s:i, s:i}", "target",
	    endpoint->target, "incarnation", (json_int_t)endpoint->incarnation,
	    "address", address, "usable", endpoint->usable, "share",
	    (int)endpoint->share, "slots", (int)endpoint->slots, "in_flight",
	    (int)endpoint->in_flight, "connections", (int)connections);
	if (out == NULL)
		return (NULL);
	service_view_get_info(endpoint, now_ms, &info);
	describe_state(out, &info);
	return (out);
}

static void
count_target(ops_target_counts_t *counts, const service_endpoint_t *endpoint,
    int64_t now_ms)
{
	service_endpoint_info_t info;

	service_view_get_info(endpoint, now_ms, &info);
	counts->usable += endpoint->usable != 0;
	counts->ejected += info.state == SERVICE_TARGET_EJECTED;
	counts->leaving += info.state == SERVICE_TARGET_LEAVING;
	counts->lapsed += info.state == SERVICE_TARGET_LAPSED;
	counts->avoided +=
	    info.state == SERVICE_TARGET_ACTIVE && !endpoint->usable;
}

static json_t *
describe_counts(const ops_target_counts_t *counts)
{
	return (json_pack("{s:i, s:i, s:i, s:i, s:i}", "usable", counts->usable,
	    "ejected", counts->ejected, "leaving", counts->leaving, "lapsed",
	    counts->lapsed, "avoided", counts->avoided));
}

static json_t *
describe_service(entry_service_t *service, int64_t now_ms)
{
	service_endpoint_t *const *endpoints;
	ops_target_counts_t counts = { 0 };
	json_t *list = json_array();
	node_id_t leader;
	uint64_t term;
	uint64_t sequence;
	uint32_t count;
	uint32_t i;

	endpoints = service_view_get_endpoints(service->view, &count);
	for (i = 0; i < count; i++) {
		count_target(&counts, endpoints[i], now_ms);
		json_array_append_new(list,
		    describe_endpoint(service->entry, endpoints[i], now_ms));
	}
	leader =
	    group_get_leader(service->entry->group, service->shard, now_ms);
	service_view_get_version(service->view, &term, &sequence);
	return (json_pack("{s:s, s:b, s:s?, s:i, s:i, s:i, s:I, s:I, s:o, s:o}",
	    "service", service->name, "has_leader",
	    service_view_has_leader(service->view, now_ms), "leader",
	    describe_node(service->entry, leader), "shard", (int)service->shard,
	    "waiting", (int)fair_queue_get_waiting(service->queue), "running",
	    (int)fair_queue_get_running(service->queue), "table_term",
	    (json_int_t)term, "table_sequence", (json_int_t)sequence, "counts",
	    describe_counts(&counts), "targets", list));
}

static json_t *
describe_groups(const entry_t *entry, int64_t now_ms)
{
	group_roles_t roles = group_count_roles(entry->group, now_ms);

	return (json_pack("{s:i, s:i, s:i}", "holder_of", (int)roles.holder_of,
	    "ready_for", (int)roles.ready_for, "leader_of",
	    (int)roles.leader_of));
}

json_t *
ops_describe_status(entry_t *entry, const char *state, int64_t now_ms)
{
	json_t *services = json_array();
	entry_service_t *service;
	gossip_status_t gossip;

	gossip_get_status(entry->gossip, now_ms, &gossip);
	for (service = entry->services; service != NULL;
	     service = service->hh.next)
		json_array_append_new(
		    services, describe_service(service, now_ms));
	return (json_pack("{s:s, s:s, s:s, s:I, s:I, s:i, s:i, s:i, s:o, s:o}",
	    "node", entry->settings->node, "data_centre",
	    entry->settings->data_centre, "state", state, "config_index",
	    (json_int_t)gossip.index, "tick_age_ms",
	    (json_int_t)gossip.tick_age_ms, "entry_vms", (int)gossip.nodes,
	    "entry_vms_heard", (int)gossip.nodes_heard, "in_flight",
	    (int)entry->in_flight, "groups", describe_groups(entry, now_ms),
	    "services", services));
}

static json_t *
explain_target(entry_t *entry, const char *name, int64_t now_ms)
{
	service_endpoint_t *const *endpoints;
	const entry_service_t *service;
	json_t *list = json_array();
	json_t *found;
	uint64_t term;
	uint64_t sequence;
	uint32_t count;
	uint32_t i;

	for (service = entry->services; service != NULL;
	     service = service->hh.next) {
		endpoints = service_view_get_endpoints(service->view, &count);
		service_view_get_version(service->view, &term, &sequence);
		for (i = 0; i < count; i++) {
			if (strcmp(endpoints[i]->target, name) != 0)
				continue;
			found = describe_endpoint(entry, endpoints[i], now_ms);
			json_object_update_new(found,
			    json_pack("{s:s, s:I, s:I}", "service",
				service->name, "table_term", (json_int_t)term,
				"table_sequence", (json_int_t)sequence));
			json_array_append_new(list, found);
		}
	}
	return (list);
}

/* The bucket is known on the VM that leads the workspace's shard. */
static void
explain_bucket(entry_t *entry, const char *name, json_t *out)
{
	rate_leader_info_t bucket;

	if (rate_leader_get_info(entry->rate_leader, name, &bucket) != TM_OK)
		return;
	json_object_set_new(out, "bucket",
	    json_pack("{s:f, s:f, s:f, s:i}", "level", bucket.level,
		"outstanding", bucket.outstanding, "floor", bucket.floor,
		"waiting_vms", (int)bucket.waiting_vms));
}

static json_t *
explain_workspace(entry_t *entry, const char *name, int64_t now_ms)
{
	static const entry_workspace_t unused;
	const entry_workspace_t *counts = entry_find_workspace(entry, name);
	const config_workspace_t *config;
	uint32_t shard = group_shard_of(entry->group, name);
	node_id_t leader = group_get_leader(entry->group, shard, now_ms);
	rate_client_info_t info = { 0 };
	json_t *list = json_array();
	json_t *found;

	if (counts == NULL)
		counts = &unused;
	config = config_state_find_workspace(entry->state, name);
	if (config == NULL)
		return (list);
	rate_client_get_info(entry->rates, name, now_ms, &info);
	found = json_pack(
	    "{s:s, s:i, s:i, s:i, s:s?, s:b, s:i, s:i, s:f, s:I, s:I, s:I, s:I}",
	    "workspace", name, "rate_per_s", (int)config->rate_per_s, "burst",
	    (int)config->burst, "shard", (int)shard, "leader",
	    describe_node(entry, leader), "has_leader", leader != NODE_ID_NONE,
	    "tokens", (int)info.tokens, "waiting", (int)info.waiting,
	    "demand_per_s", info.demand_per_s, "empty_ms",
	    (json_int_t)info.empty_ms, "requests",
	    (json_int_t)counts->requests.value, "refused_rate",
	    (json_int_t)counts->refused_rate.value, "refused_other",
	    (json_int_t)counts->refused_other.value);
	explain_bucket(entry, name, found);
	json_array_append_new(list, found);
	return (list);
}

json_t *
ops_explain(entry_t *entry, const char *kind, const char *name, int64_t now_ms)
{
	if (strcmp(kind, "request") == 0)
		return (trace_find(entry->trace, name, now_ms));
	if (strcmp(kind, "target") == 0)
		return (explain_target(entry, name, now_ms));
	if (strcmp(kind, "workspace") == 0)
		return (explain_workspace(entry, name, now_ms));
	return (NULL);
}
