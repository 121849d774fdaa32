/* Operations listener: registration of targets, readiness, metrics, status. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <openssl/crypto.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/test_hooks.h"
#include "entry/entry_defs.h"
#include "entry/trace.h"
#include "settings/json_check.h"

#define BEARER	     "Bearer "
#define BEARER_BYTES (sizeof(BEARER) - 1)
#define QUERY_MAX    256
/* A VM without the tables of all services is ready after this time. */
#define WARM_UP_MAX_MS	10000
#define SLOTS_MAX	100000
#define CAP_MAX		1000000
#define INCARNATION_MAX INT64_C(0x7fffffffffffffff)

typedef void (*ops_handler_cb)(entry_t *entry, h2o_req_t *req);

static void
ops_reply_json(h2o_req_t *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	if (text == NULL)
		http_request_reply(req, 500, "application/json", "{}", 2);
	else
		http_request_reply(
		    req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static void
ops_reply_error(h2o_req_t *req, int status, int err, const char *reason)
{
	ops_reply_json(req, status,
	    json_pack("{s:s, s:s, s:s}", "error", error_get_text(err), "reason",
		reason, "remedy", error_get_remedy(err)));
}

static int
ops_is_target(const entry_t *entry, const h2o_req_t *req)
{
	h2o_iovec_t value = http_request_get_header(req, "authorization");
	const char *secret = entry->settings->target_secret;
	size_t len = strlen(secret);

	return (value.len == BEARER_BYTES + len &&
	    memcmp(value.base, BEARER, BEARER_BYTES) == 0 &&
	    CRYPTO_memcmp(value.base + BEARER_BYTES, secret, len) == 0);
}

/* Reads an announcement. @return number of errors */
static int
ops_read_announcement(json_check_t *check, json_node_t *root,
    service_announcement_t *out, char *service)
{
	static const char *const states[] = { "serving", "leaving", NULL };
	struct sockaddr_in addr;

	strncpy(out->target, json_need_name(root, "id"), NAME_MAX_BYTES);
	out->incarnation = (uint64_t)json_need_int(
	    root, "incarnation", 1, INCARNATION_MAX, "");
	strncpy(service, json_need_name(root, "service"), NAME_MAX_BYTES);
	if (json_need_address(root, "address", &addr)) {
		uv_ip4_name(&addr, out->ip, sizeof(out->ip));
		out->port = ntohs(addr.sin_port);
	}
	out->slots =
	    (uint32_t)json_need_int(root, "slots", 1, SLOTS_MAX, "slots");
	out->connection_cap = (uint32_t)json_need_int(
	    root, "connection_cap", 1, CAP_MAX, "connections");
	json_node_ignore(root, "data_centre");
	out->leaving = json_opt_enum(root, "state", states, 0) == 1 &&
	    !test_hooks_is_off("leave");
	json_node_finish(root);
	return (json_check_get_error_count(check));
}

static void
ops_announce(entry_t *entry, h2o_req_t *req,
    const service_announcement_t *announcement, const char *service_name)
{
	entry_service_t *service = entry_service_find(entry, service_name);
	service_announce_result_t result;
	int err;

	if (service == NULL) {
		ops_reply_error(req, 404, TM_ENOENT,
		    "no service of this name is configured");
		return;
	}
	err =
	    service_view_announce(service->view, announcement, clock_now_ms());
	if (err != TM_OK) {
		ops_reply_error(req, err == TM_ESTALE ? 409 : 400, err,
		    "the announcement was refused");
		return;
	}
	result = service_view_get_announce_result(
	    service->view, announcement->target, announcement->incarnation);
	ops_reply_json(req, result == SERVICE_ANNOUNCE_ACCEPTED ? 200 : 202,
	    json_pack("{s:s}", "state",
		result == SERVICE_ANNOUNCE_ACCEPTED ? "accepted" : "pending"));
}

static void
ops_handle_targets(entry_t *entry, h2o_req_t *req)
{
	service_announcement_t announcement = { 0 };
	char service[NAME_MAX_BYTES + 1] = "";
	json_check_t *check;
	json_node_t root;

	if (!ops_is_target(entry, req)) {
		LOG_EVENT(
		    702, LOG_LEVEL_WARN, "announcement not authenticated");
		ops_reply_error(req, 401, TM_EAUTH,
		    "the target secret is missing or wrong");
		return;
	}
	check = json_check_create();
	if (check == NULL) {
		ops_reply_error(req, 500, TM_ENOMEM, "out of memory");
		return;
	}
	if (json_check_load_text(check, "announcement", req->entity.base,
		req->entity.len, &root) != TM_OK ||
	    ops_read_announcement(check, &root, &announcement, service) > 0)
		ops_reply_json(req, 400,
		    json_pack("{s:s, s:o}", "error", "the announcement is bad",
			"problems", json_check_to_json(check)));
	else
		ops_announce(entry, req, &announcement, service);
	json_check_destroy(check);
}

static int
ops_has_tables(const entry_t *entry)
{
	const entry_service_t *service;
	uint64_t term;
	uint64_t sequence;

	for (service = entry->services; service != NULL;
	     service = service->hh.next) {
		service_view_get_version(service->view, &term, &sequence);
		if (term == 0)
			return (0);
	}
	return (1);
}

/* A service without a leader must not keep a restarted VM out for ever. */
static int
ops_is_warm(const entry_t *entry)
{
	return (clock_now_ms() - entry->started_ms > WARM_UP_MAX_MS ||
	    ops_has_tables(entry));
}

static const char *
ops_get_unready_reason(const entry_t *entry)
{
	if (entry->phase != ENTRY_RUNNING)
		return ("draining");
	if (config_state_get_index(entry->state) == 0)
		return ("no configuration yet");
	if (!ops_is_warm(entry))
		return ("no service tables yet");
	if (!entry->is_serving)
		return ("isolated");
	return (NULL);
}

static void
ops_handle_ready(entry_t *entry, h2o_req_t *req)
{
	const char *reason = ops_get_unready_reason(entry);

	ops_reply_json(req, reason == NULL ? 200 : 503,
	    json_pack("{s:s}", "state", reason == NULL ? "ready" : reason));
}

static void
ops_update_gauges(entry_t *entry)
{
	const peer_stats_t *peers = peer_net_get_stats(entry->net);
	const claim_holder_stats_t *claims =
	    claim_holder_get_stats(entry->claim_holder);
	const struct {
		const char *name;
		int64_t value;
	} gauges[] = {
		{ "tm_entry_in_flight", entry->in_flight },
		{ "tm_entry_connections",
		    http_server_get_connections(entry->callers) },
		{ "tm_entry_target_connections",
		    upstream_get_total(entry->upstream) },
		{ "tm_entry_config_index",
		    (int64_t)config_state_get_index(entry->state) },
		{ "tm_peer_sent_bytes", (int64_t)peers->sent_bytes },
		{ "tm_peer_sent_messages", (int64_t)peers->sent_count },
		{ "tm_peer_received_bytes", (int64_t)peers->received_bytes },
		{ "tm_peer_dropped_messages", (int64_t)peers->dropped_count },
		{ "tm_claim_records", (int64_t)claims->records },
		{ "tm_claim_bytes", (int64_t)claims->bytes },
	};
	size_t i;

	for (i = 0; i < sizeof(gauges) / sizeof(gauges[0]); i++)
		metric_set(metrics_get(entry->metrics, gauges[i].name, "",
			       METRIC_GAUGE),
		    gauges[i].value);
}

static void
ops_handle_metrics(entry_t *entry, h2o_req_t *req)
{
	size_t len;
	char *text;

	ops_update_gauges(entry);
	text = metrics_format(entry->metrics, &len);
	if (text == NULL) {
		ops_reply_error(req, 500, TM_ENOMEM, "out of memory");
		return;
	}
	http_request_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

static json_t *
ops_describe_endpoint(const entry_t *entry, const service_endpoint_t *endpoint)
{
	char address[SERVICE_IP_BYTES + 8];
	struct sockaddr_in to;
	uint32_t connections = 0;

	if (uv_ip4_addr(endpoint->ip, endpoint->port, &to) == 0)
		connections = upstream_get_connections(entry->upstream, &to);
	snprintf(
	    address, sizeof(address), "%s:%u", endpoint->ip, endpoint->port);
	return (json_pack("{s:s, s:I, s:s, s:b, s:i, s:i, s:i, s:i}", "target",
	    endpoint->target, "incarnation", (json_int_t)endpoint->incarnation,
	    "address", address, "usable", endpoint->usable, "share",
	    (int)endpoint->share, "slots", (int)endpoint->slots, "in_flight",
	    (int)endpoint->in_flight, "connections", (int)connections));
}

/* Name of the VM that leads a shard; NULL if unknown */
static const char *
ops_get_leader_name(const entry_t *entry, uint32_t shard, int64_t now_ms)
{
	const config_node_t *node = config_state_find_node(
	    entry->state, group_get_leader(entry->group, shard, now_ms));

	return (node != NULL ? node->name : NULL);
}

static json_t *
ops_describe_service(const entry_service_t *service, int64_t now_ms)
{
	service_endpoint_t *const *endpoints;
	json_t *list = json_array();
	uint64_t term;
	uint64_t sequence;
	uint32_t count;
	uint32_t i;

	endpoints = service_view_get_endpoints(service->view, &count);
	for (i = 0; i < count; i++)
		json_array_append_new(
		    list, ops_describe_endpoint(service->entry, endpoints[i]));
	service_view_get_version(service->view, &term, &sequence);
	return (json_pack("{s:s, s:s?, s:b, s:i, s:i, s:I, s:I, s:o}",
	    "service", service->name, "leader",
	    ops_get_leader_name(service->entry, service->shard, now_ms),
	    "has_leader", service_view_has_leader(service->view, now_ms),
	    "waiting", (int)fair_queue_get_waiting(service->queue), "running",
	    (int)fair_queue_get_running(service->queue), "table_term",
	    (json_int_t)term, "table_sequence", (json_int_t)sequence, "targets",
	    list));
}

static json_t *
ops_describe_groups(const entry_t *entry, int64_t now_ms)
{
	uint32_t holders = 0;
	uint32_t ready = 0;
	uint32_t leads = 0;
	uint32_t shard;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		holders += group_is_holder(entry->group, shard) != 0;
		ready += group_is_ready(entry->group, shard) != 0;
		leads += group_is_leader(entry->group, shard, now_ms) != 0;
	}
	return (json_pack("{s:i, s:i, s:i}", "holder_of", (int)holders,
	    "ready_for", (int)ready, "leader_of", (int)leads));
}

static void
ops_handle_status(entry_t *entry, h2o_req_t *req)
{
	int64_t now_ms = clock_now_ms();
	const entry_service_t *service;
	json_t *services = json_array();
	const char *unready = ops_get_unready_reason(entry);
	gossip_status_t gossip;

	gossip_get_status(entry->gossip, now_ms, &gossip);
	for (service = entry->services; service != NULL;
	     service = service->hh.next)
		json_array_append_new(
		    services, ops_describe_service(service, now_ms));
	ops_reply_json(req, 200,
	    json_pack("{s:s, s:s, s:s, s:I, s:I, s:i, s:i, s:i, s:o, s:o}",
		"node", entry->settings->node, "data_centre",
		entry->settings->data_centre, "state",
		unready == NULL ? "ready" : unready, "config_index",
		(json_int_t)gossip.index, "tick_age_ms",
		(json_int_t)gossip.tick_age_ms, "entry_vms", (int)gossip.nodes,
		"entry_vms_heard", (int)gossip.nodes_heard, "in_flight",
		(int)entry->in_flight, "groups",
		ops_describe_groups(entry, now_ms), "services", services));
}

/* Reads a query parameter. @return 1 if present and short enough */
static int
ops_get_query(const h2o_req_t *req, const char *name, char *out, size_t size)
{
	const char *end = req->path.base + req->path.len;
	size_t name_len = strlen(name);
	const char *at;
	const char *stop;

	if (req->query_at == SIZE_MAX)
		return (0);
	for (at = req->path.base + req->query_at + 1; at < end; at = stop + 1) {
		stop = memchr(at, '&', (size_t)(end - at));
		if (stop == NULL)
			stop = end;
		if ((size_t)(stop - at) > name_len && at[name_len] == '=' &&
		    memcmp(at, name, name_len) == 0 &&
		    (size_t)(stop - at) - name_len - 1 < size) {
			at += name_len + 1;
			memcpy(out, at, (size_t)(stop - at));
			out[stop - at] = '\0';
			return (1);
		}
	}
	return (0);
}

static json_t *
ops_explain_target(entry_t *entry, const char *name)
{
	service_endpoint_t *const *endpoints;
	const entry_service_t *service;
	json_t *list = json_array();
	json_t *found;
	uint32_t count;
	uint32_t i;

	for (service = entry->services; service != NULL;
	     service = service->hh.next) {
		endpoints = service_view_get_endpoints(service->view, &count);
		for (i = 0; i < count; i++) {
			if (strcmp(endpoints[i]->target, name) != 0)
				continue;
			found = ops_describe_endpoint(entry, endpoints[i]);
			json_object_set_new(
			    found, "service", json_string(service->name));
			json_array_append_new(list, found);
		}
	}
	return (list);
}

static json_t *
ops_explain_workspace(entry_t *entry, const char *name)
{
	const entry_workspace_t *workspace = entry_find_workspace(entry, name);
	const config_workspace_t *config;
	uint32_t shard = group_shard_of(entry->group, name);
	int64_t now_ms = clock_now_ms();
	json_t *list = json_array();
	entry_workspace_t counts = { .requests = NULL };

	if (workspace != NULL)
		counts = *workspace;
	config = config_state_find_workspace(entry->state, name);
	if (config == NULL)
		return (list);
	json_array_append_new(list,
	    json_pack("{s:s, s:s?, s:i, s:i, s:i, s:b, s:I, s:I, s:I}",
		"workspace", name, "leader",
		ops_get_leader_name(entry, shard, now_ms), "rate_per_s",
		(int)config->rate_per_s, "burst", (int)config->burst, "shard",
		(int)shard, "has_leader",
		group_get_leader(entry->group, shard, now_ms) != NODE_ID_NONE,
		"requests", (json_int_t)metric_get_value(counts.requests),
		"refused_rate",
		(json_int_t)metric_get_value(counts.refused_rate),
		"refused_other",
		(json_int_t)metric_get_value(counts.refused_other)));
	return (list);
}

static void
ops_handle_explain(entry_t *entry, h2o_req_t *req)
{
	char kind[QUERY_MAX];
	char name[QUERY_MAX];
	json_t *found = NULL;

	if (ops_get_query(req, "kind", kind, sizeof(kind)) &&
	    ops_get_query(req, "name", name, sizeof(name))) {
		if (strcmp(kind, "request") == 0)
			found = trace_find(entry->trace, name, clock_now_ms());
		else if (strcmp(kind, "target") == 0)
			found = ops_explain_target(entry, name);
		else if (strcmp(kind, "workspace") == 0)
			found = ops_explain_workspace(entry, name);
	}
	if (found == NULL) {
		ops_reply_error(req, 400, TM_EINVAL,
		    "kind must be request, workspace or target, with a name");
		return;
	}
	ops_reply_json(req, 200,
	    json_pack("{s:s, s:s, s:s, s:o}", "node", entry->settings->node,
		"kind", kind, "name", name, "found", found));
}

#ifdef TM_TEST_HOOKS
/* Drops messages to a peer: /v1/test/drop?to=NAME&on=1 */
static void
ops_handle_drop(entry_t *entry, h2o_req_t *req)
{
	char to[QUERY_MAX];
	char on[QUERY_MAX] = "1";
	int err = TM_EINVAL;

	ops_get_query(req, "on", on, sizeof(on));
	if (ops_get_query(req, "to", to, sizeof(to)))
		err = peer_net_set_drop(
		    entry->net, node_id_from_name(to), on[0] == '1');
	ops_reply_json(req, err == TM_OK ? 200 : 400,
	    json_pack("{s:s}", "result", error_get_text(err)));
}
#endif

static const struct {
	const char *method;
	const char *path;
	ops_handler_cb handle;
} ops_routes[] = {
	{ "POST", "/v1/targets", ops_handle_targets },
	{ "GET", "/readyz", ops_handle_ready },
	{ "GET", "/metrics", ops_handle_metrics },
	{ "GET", "/status", ops_handle_status },
	{ "GET", "/v1/explain", ops_handle_explain },
#ifdef TM_TEST_HOOKS
	{ "POST", "/v1/test/drop", ops_handle_drop },
#endif
};

void
ops_api_handle(void *ctx, h2o_req_t *req)
{
	h2o_iovec_t path = req->path_normalized;
	size_t i;

	for (i = 0; i < sizeof(ops_routes) / sizeof(ops_routes[0]); i++) {
		if (!h2o_memis(path.base, path.len, ops_routes[i].path,
			strlen(ops_routes[i].path)) ||
		    !h2o_memis(req->method.base, req->method.len,
			ops_routes[i].method, strlen(ops_routes[i].method)))
			continue;
		ops_routes[i].handle(ctx, req);
		return;
	}
	ops_reply_error(req, 404, TM_ENOENT, "no such resource");
}
