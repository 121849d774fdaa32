#include "control/admin_api.h"

#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "config/config_object.h"
#include "control/admin_internal.h"

#define ADMIN_CONNECTIONS_MAX 1024
#define ADMIN_IDLE_MS	      10000
#define ADMIN_SEGMENTS_MAX    4

/* A route; {kind} and {name} stand for one segment of the path. */
typedef struct admin_route {
	const char *text;
	admin_handler_cb handle;
	int any_node; /* answered by followers as well */
} admin_route_t;

static const admin_route_t admin_routes[] = {
	{ "GET /metrics", admin_handle_metrics, 1 },
	{ "GET /v1/status", admin_handle_status, 1 },
	{ "GET /v1/history", admin_handle_history, 0 },
	{ "GET /v1/snapshot", admin_handle_snapshot, 0 },
	{ "POST /v1/recovery", admin_handle_recovery, 1 },
	{ "POST /v1/apply", admin_handle_apply, 0 },
	{ "POST /v1/keys", admin_handle_issue, 0 },
	{ "POST /v1/keys/{name}/withdraw", admin_handle_withdraw, 0 },
	{ "GET /v1/{kind}", admin_handle_list, 0 },
	{ "GET /v1/{kind}/{name}", admin_handle_get, 0 },
	{ "PUT /v1/{kind}/{name}", admin_handle_put, 0 },
	{ "DELETE /v1/{kind}/{name}", admin_handle_delete, 0 },
};

#ifdef TM_TEST_HOOKS
/* Not one of the routes, because it is not in builds that are installed. */
static const admin_route_t admin_drop_route = { "POST /v1/test/drop",
	admin_handle_drop, 1 };
#endif

#define ADMIN_ROUTES (sizeof(admin_routes) / sizeof(admin_routes[0]))

size_t
admin_api_get_route_count(void)
{
	return (ADMIN_ROUTES);
}

const char *
admin_api_get_route(size_t index)
{
	return (index < ADMIN_ROUTES ? admin_routes[index].text : NULL);
}

/* Matches one segment. @return 1 and fills in the request, else 0 */
static int
admin_match_segment(const char *pattern, size_t pattern_len, const char *text,
    size_t len, admin_request_t *request)
{
	if (pattern_len == 6 && memcmp(pattern, "{kind}", 6) == 0) {
		request->kind = config_kind_from_path(text, len);
		return (request->kind != CONFIG_KIND_NONE);
	}
	if (pattern_len == 6 && memcmp(pattern, "{name}", 6) == 0) {
		if (len > NAME_MAX_BYTES)
			return (0);
		memcpy(request->name, text, len);
		request->name[len] = '\0';
		return (node_name_is_valid(request->name));
	}
	return (pattern_len == len && memcmp(pattern, text, len) == 0);
}

static size_t
admin_get_segment_len(const char *at, const char *end)
{
	const char *slash = memchr(at, '/', (size_t)(end - at));

	return ((size_t)((slash != NULL ? slash : end) - at));
}

static int
admin_match_path(
    const char *pattern, const char *path, size_t len, admin_request_t *request)
{
	const char *pattern_end = pattern + strlen(pattern);
	const char *path_end = path + len;
	size_t want;
	size_t got;

	while (pattern < pattern_end && path < path_end && *path == '/') {
		pattern++;
		path++;
		want = admin_get_segment_len(pattern, pattern_end);
		got = admin_get_segment_len(path, path_end);
		if (!admin_match_segment(pattern, want, path, got, request))
			return (0);
		pattern += want;
		path += got;
	}
	return (pattern == pattern_end && path == path_end);
}

static int
admin_has_method(const admin_request_t *request, const admin_route_t *route)
{
	const h2o_iovec_t method = request->req->method;
	const char *blank = strchr(route->text, ' ');

	return ((size_t)(blank - route->text) == method.len &&
	    memcmp(route->text, method.base, method.len) == 0);
}

static int
admin_has_path(admin_request_t *request, const admin_route_t *route)
{
	const h2o_req_t *req = request->req;
	size_t path_len =
	    req->query_at != SIZE_MAX ? req->query_at : req->path.len;

	return (admin_match_path(
	    strchr(route->text, ' ') + 1, req->path.base, path_len, request));
}

/* @return the route; NULL with *known set if only the method is wrong */
static const admin_route_t *
admin_find_route(admin_request_t *request, int *known)
{
	size_t i;

	*known = 0;
#ifdef TM_TEST_HOOKS
	if (admin_has_path(request, &admin_drop_route) &&
	    admin_has_method(request, &admin_drop_route))
		return (&admin_drop_route);
#endif
	for (i = 0; i < ADMIN_ROUTES; i++) {
		if (!admin_has_path(request, &admin_routes[i]))
			continue;
		*known = 1;
		if (admin_has_method(request, &admin_routes[i]))
			return (&admin_routes[i]);
	}
	return (NULL);
}

static int
admin_is_change_id(const char *text)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (text[i] <= ' ' || text[i] > '~')
			return (0);
	}
	return (i > 0);
}

static int
admin_read_change_id(admin_request_t *request)
{
	uint8_t random[16];
	int err = admin_get_header(request->req, "x-change-id",
	    request->change_id, sizeof(request->change_id));
	size_t i;

	if (err == TM_OK && admin_is_change_id(request->change_id)) {
		request->has_change_id = 1;
		return (TM_OK);
	}
	if (err != TM_ENOENT) {
		admin_send_error(request->req, TM_EINVAL,
		    "X-Change-Id must be 1 to 64 printable characters", NULL);
		return (TM_EINVAL);
	}
	if (RAND_bytes(random, sizeof(random)) != 1) {
		admin_send_error(request->req, TM_EIO, "random bytes", NULL);
		return (TM_EIO);
	}
	for (i = 0; i < sizeof(random); i++)
		snprintf(request->change_id + 2 * i, 3, "%02x", random[i]);
	return (TM_OK);
}

static int
admin_read_parameters(admin_request_t *request)
{
	char text[ADMIN_TEXT_MAX];
	int err;

	if (admin_read_change_id(request) != TM_OK)
		return (TM_EINVAL);
	err = admin_get_header(request->req, "if-version", text, sizeof(text));
	if (err != TM_ENOENT) {
		request->has_if_version = 1;
		if (err != TM_OK ||
		    admin_parse_number(text, &request->if_version) != TM_OK) {
			admin_send_error(request->req, TM_EINVAL,
			    "If-Version must be a version; 0 means that the "
			    "object must not exist",
			    NULL);
			return (TM_EINVAL);
		}
	}
	err = admin_get_query(request->req, "dry_run", text, sizeof(text));
	if (err == TM_ENOENT)
		return (TM_OK);
	if (err == TM_OK &&
	    (strcmp(text, "0") == 0 || strcmp(text, "1") == 0)) {
		request->dry_run = text[0] == '1';
		return (TM_OK);
	}
	admin_send_error(
	    request->req, TM_EINVAL, "dry_run must be 0 or 1", NULL);
	return (TM_EINVAL);
}

static void
admin_dispatch(admin_request_t *request)
{
	control_t *control = request->api->control;
	const admin_route_t *route;
	int known;

	request->operator_ =
	    admin_authenticate(control_get_settings(control), request->req);
	if (request->operator_ == NULL) {
		admin_send_error(request->req, TM_EAUTH,
		    "missing or unknown operator token",
		    json_pack("{s:s}", "remedy",
			"send Authorization: Bearer <operator token>"));
		return;
	}
	route = admin_find_route(request, &known);
	if (route == NULL) {
		admin_send_error(request->req, TM_ENOENT,
		    known ? "the path does not support this method"
			  : "no such path",
		    json_pack("{s:s}", "remedy", "see docs/admin-api.md"));
		return;
	}
	if (!route->any_node && !control_is_ready_leader(control)) {
		const control_vm_t *leader = control_get_leader(control);

		if (leader != NULL &&
		    strcmp(leader->name, control_get_settings(control)->node) ==
			0)
			leader = NULL;
		admin_redirect(request->req, leader,
		    http_tls_is_set(&control_get_settings(control)->tls)
			? "https"
			: "http");
		return;
	}
	if (admin_read_parameters(request) == TM_OK)
		route->handle(request);
}

static void
admin_on_request(void *ctx, h2o_req_t *req)
{
	admin_request_t request = {
		.api = ctx,
		.req = req,
	};

	admin_dispatch(&request);
}

int
admin_api_create(admin_api_t **out, control_t *control, uv_loop_t *loop)
{
	const control_settings_t *settings = control_get_settings(control);
	admin_api_t *api = calloc(1, sizeof(*api));
	http_server_options_t options = {
		.loop = loop,
		.addr = settings->admin_listen,
		.server_name = "tarragonmoor",
		.connections_max = ADMIN_CONNECTIONS_MAX,
		.body_max_bytes = ADMIN_BODY_MAX_BYTES,
		.idle_timeout_ms = ADMIN_IDLE_MS,
		.tls = &settings->tls,
		.handle = admin_on_request,
		.ctx = api,
	};

	if (api == NULL)
		return (TM_ENOMEM);
	api->control = control;
	*out = api;
	return (http_server_create(&api->server, &options));
}

int
admin_api_reload_tls(
    admin_api_t *api, const http_tls_files_t *files, http_tls_error_t *error)
{
	return (http_server_reload_tls(api->server, files, error));
}

void
admin_api_close(admin_api_t *api)
{
	http_server_stop(api->server);
}

int
admin_api_is_delivered(const admin_api_t *api)
{
	return (http_server_is_delivered(api->server));
}
