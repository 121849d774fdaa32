/* Operations listener: registration of targets, readiness, metrics, status. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <openssl/crypto.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/hex.h"
#include "base/log.h"
#include "base/test_hooks.h"
#include "entry/entry_defs.h"
#include "settings/json_check.h"

#define BEARER	     "Bearer "
#define BEARER_BYTES (sizeof(BEARER) - 1)
#define QUERY_MAX    256
/* A VM without a target of each service is ready after this time. */
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
ops_is_secret(h2o_iovec_t value, const char *secret)
{
	size_t len = strlen(secret);

	return (
	    value.len == len && CRYPTO_memcmp(value.base, secret, len) == 0);
}

static int
ops_is_target(const entry_t *entry, const h2o_req_t *req)
{
	h2o_iovec_t value = http_request_get_header(req, "authorization");
	const entry_settings_t *settings = entry->settings;
	int i;

	if (value.len < BEARER_BYTES ||
	    memcmp(value.base, BEARER, BEARER_BYTES) != 0)
		return (0);
	value.base += BEARER_BYTES;
	value.len -= BEARER_BYTES;
	for (i = 0; i < settings->target_secret_count; i++) {
		if (ops_is_secret(value, settings->target_secrets[i]))
			return (1);
	}
	return (0);
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
	entry_service_wake(service, clock_now_ms());
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
ops_has_targets(const entry_t *entry)
{
	const entry_service_t *service;
	uint32_t count;

	for (service = entry->services; service != NULL;
	     service = service->hh.next) {
		service_view_get_endpoints(service->view, &count);
		if (count == 0)
			return (0);
	}
	return (1);
}

/* A service without targets must not keep a restarted VM out for ever. */
static int
ops_is_warm(const entry_t *entry)
{
	return (clock_now_ms() - entry->started_ms > WARM_UP_MAX_MS ||
	    ops_has_targets(entry));
}

static const char *
ops_get_unready_reason(const entry_t *entry)
{
	if (entry->phase != ENTRY_RUNNING)
		return ("draining");
	if (config_state_get_index(entry->state) == 0)
		return ("no configuration yet");
	if (!ops_is_warm(entry))
		return ("no targets yet");
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
ops_handle_metrics(entry_t *entry, h2o_req_t *req)
{
	size_t len;
	char *text;

	ops_metrics_update(entry, clock_now_ms());
	text = metrics_format(entry->metrics, &len);
	if (text == NULL) {
		ops_reply_error(req, 500, TM_ENOMEM, "out of memory");
		return;
	}
	http_request_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

static void
ops_handle_status(entry_t *entry, h2o_req_t *req)
{
	const char *reason = ops_get_unready_reason(entry);

	ops_reply_json(req, 200,
	    ops_describe_status(
		entry, reason == NULL ? "ready" : reason, clock_now_ms()));
}

/* Decodes %XX in place; anything else, and %00, stays as it is. */
static void
ops_decode_query(char *text)
{
	const char *from = text;
	size_t left = strlen(text);
	int byte;

	while (left > 0) {
		byte = hex_get_escape(from, left, 0);
		*text++ = byte > 0 ? (char)byte : *from;
		from += byte > 0 ? 3 : 1;
		left -= byte > 0 ? 3 : 1;
	}
	*text = '\0';
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
			ops_decode_query(out);
			return (1);
		}
	}
	return (0);
}

static void
ops_handle_explain(entry_t *entry, h2o_req_t *req)
{
	char kind[QUERY_MAX];
	char name[QUERY_MAX];
	json_t *found = NULL;

	if (ops_get_query(req, "kind", kind, sizeof(kind)) &&
	    ops_get_query(req, "name", name, sizeof(name)))
		found = ops_explain(entry, kind, name, clock_now_ms());
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
