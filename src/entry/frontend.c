/* Callers' requests: limits, route, key, workspace, then request_start(). */
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/hex.h"
#include "base/test_hooks.h"
#include "entry/entry_defs.h"
#include "entry/request.h"

#define HEADERS_MAX	    100
#define DEADLINE_DIGITS_MAX 9
#define DEADLINE_DEFAULT_MS 30000
#define DEADLINE_HEADER	    "x-tm-deadline-ms"

/* A request on its way through the checks. */
typedef struct frontend_check {
	entry_t *entry;
	h2o_req_t *req;
	int64_t started_ns;
	keyguard_header_t headers[HEADERS_MAX];
	size_t header_count;
	char id[REQUEST_ID_MAX_BYTES + 1];
	const config_route_t *route;
	request_options_t options;
} frontend_check_t;

static keyguard_text_t
text_from_iovec(h2o_iovec_t value)
{
	return ((keyguard_text_t){ .base = value.base, .len = value.len });
}

/* @return 0 or a refusal_t plus 1 */
static int
check_limits(frontend_check_t *check)
{
	const h2o_headers_t *headers = &check->req->headers;
	size_t bytes = check->req->input.path.len +
	    check->req->input.authority.len + check->req->method.len;
	size_t i;

	if (check->entry->in_flight >= ENTRY_IN_FLIGHT_MAX)
		return (REFUSAL_OVERLOADED + 1);
	if (headers->size > HEADERS_MAX)
		return (REFUSAL_HEADERS_TOO_LARGE + 1);
	for (i = 0; i < headers->size; i++) {
		check->headers[i].name =
		    text_from_iovec(*headers->entries[i].name);
		check->headers[i].value =
		    text_from_iovec(headers->entries[i].value);
		bytes += headers->entries[i].name->len +
		    headers->entries[i].value.len;
	}
	check->header_count = headers->size;
	if (bytes > ENTRY_HEADERS_MAX_BYTES)
		return (REFUSAL_HEADERS_TOO_LARGE + 1);
	return (0);
}

/* Only a path is taken: no absolute URL, no authority and no asterisk. */
static int
check_form(frontend_check_t *check)
{
	h2o_req_t *req = check->req;

	if (http_request_is_ambiguous(req)) {
		req->http1_is_persistent = 0;
		return (REFUSAL_MALFORMED + 1);
	}
	if (req->input.path.len == 0 || req->input.path.base[0] != '/')
		return (REFUSAL_MALFORMED + 1);
	return (0);
}

/* Visible ASCII without characters that JSON or a log would escape. */
static int
is_id_char(char c)
{
	return (c > ' ' && c < 0x7f && c != '"' && c != '\\');
}

static int
check_id(frontend_check_t *check)
{
	h2o_iovec_t id = http_request_get_header(check->req, "x-request-id");
	size_t i;

	if (id.base == NULL)
		id = http_request_get_header(check->req, "idempotency-key");
	if (id.base == NULL)
		return (0);
	if (id.len == 0 || id.len > REQUEST_ID_MAX_BYTES)
		return (REFUSAL_MALFORMED + 1);
	for (i = 0; i < id.len; i++) {
		if (!is_id_char(id.base[i]))
			return (REFUSAL_MALFORMED + 1);
	}
	memcpy(check->id, id.base, id.len);
	check->id[id.len] = '\0';
	check->options.id = check->id;
	return (0);
}

/* @return 1 for "." or ".." between slashes or backslashes */
static int
has_dot_segment(h2o_iovec_t path)
{
	size_t start = 0;
	size_t len;
	size_t i;

	for (i = 0; i <= path.len; i++) {
		if (i < path.len && path.base[i] != '/' && path.base[i] != '\\')
			continue;
		len = i - start;
		if ((len == 1 || len == 2) && path.base[start] == '.' &&
		    path.base[i - 1] == '.')
			return (1);
		start = i + 1;
	}
	return (0);
}

/* Decodes %xx in the path without its query. */
static h2o_iovec_t
decode_path(h2o_req_t *req)
{
	size_t len =
	    req->query_at != SIZE_MAX ? req->query_at : req->input.path.len;
	h2o_iovec_t out = { h2o_mem_alloc_pool(&req->pool, len + 1), 0 };

	out.len = hex_decode_escapes(out.base, req->input.path.base, len);
	return (out);
}

/*
 * Path for the choice of the route: decoded and without repeated slashes.
 * Targets disagree about what dot segments and NUL mean, above all next to
 * encoded slashes, so a path with them could pass on a route that is open to
 * the workspace and be read as one that is not. They are refused.
 */
static int
read_route_path(h2o_req_t *req, h2o_iovec_t *out)
{
	h2o_iovec_t path = decode_path(req);
	size_t i;

	if (memchr(path.base, '\0', path.len) != NULL || has_dot_segment(path))
		return (TM_EINVAL);
	*out = h2o_iovec_init(path.base, 0);
	for (i = 0; i < path.len; i++) {
		if (i == 0 || path.base[i] != '/' || path.base[i - 1] != '/')
			out->base[out->len++] = path.base[i];
	}
	return (TM_OK);
}

static int
check_route(frontend_check_t *check)
{
	h2o_req_t *req = check->req;
	h2o_iovec_t host = req->input.authority;
	const char *colon = memrchr(host.base, ':', host.len);
	h2o_iovec_t path;

	if (read_route_path(req, &path) != TM_OK)
		return (REFUSAL_MALFORMED + 1);
	if (colon != NULL)
		host.len = (size_t)(colon - host.base);
	check->route = config_state_find_route(
	    check->entry->state, host.base, host.len, path.base, path.len);
	if (check->route == NULL)
		return (REFUSAL_NO_ROUTE + 1);
	check->options.route = check->route->object.name;
	check->options.service =
	    entry_service_find(check->entry, check->route->service);
	if (check->options.service == NULL)
		return (REFUSAL_NO_ROUTE + 1);
	return (0);
}

/* The method, the host and the request id go to the target. */
static int
parts_reveal_key(const frontend_check_t *check)
{
	const keyguard_key_t *key = &check->options.key;
	const h2o_req_t *req = check->req;
	keyguard_text_t id = { check->id, strlen(check->id) };

	return (keyguard_reveals(id, key) ||
	    keyguard_reveals(text_from_iovec(req->input.authority), key) ||
	    keyguard_reveals(text_from_iovec(req->method), key));
}

static int
key_is_withdrawn(const config_key_t *key)
{
	return (key->withdrawn && !test_hooks_is_off("key_withdrawn"));
}

static int
check_found_key(frontend_check_t *check)
{
	const keyguard_key_t *key = &check->options.key;
	const config_key_t *config;

	config = config_state_find_key(
	    check->entry->state, key->id.base, key->id.len);
	if (config == NULL || key_is_withdrawn(config) ||
	    !config_key_matches(config, key->secret.base, key->secret.len))
		return (REFUSAL_KEY_UNKNOWN + 1);
	if (parts_reveal_key(check))
		return (REFUSAL_KEY_EXPOSED + 1);
	check->options.workspace =
	    entry_get_workspace(check->entry, config->workspace);
	if (check->options.workspace == NULL)
		return (REFUSAL_KEY_UNKNOWN + 1);
	if (!config_route_is_allowed(check->route, config->workspace))
		return (REFUSAL_FORBIDDEN + 1);
	return (0);
}

static int
check_key(frontend_check_t *check)
{
	h2o_req_t *req = check->req;

	switch (keyguard_find(check->headers, check->header_count,
	    text_from_iovec(req->input.path), text_from_iovec(req->entity),
	    &check->options.key)) {
	case KEYGUARD_ONE:
		return (check_found_key(check));
	case KEYGUARD_CONFLICT:
		return (REFUSAL_KEY_CONFLICT + 1);
	case KEYGUARD_EXPOSED:
		return (REFUSAL_KEY_EXPOSED + 1);
	case KEYGUARD_MALFORMED:
		return (REFUSAL_KEY_UNKNOWN + 1);
	default:
		return (REFUSAL_KEY_MISSING + 1);
	}
}

static int
check_phase(frontend_check_t *check)
{
	if (check->entry->phase == ENTRY_STOPPED)
		return (REFUSAL_DRAINING + 1);
	if (!check->entry->is_serving)
		return (REFUSAL_ISOLATED + 1);
	return (0);
}

/* Deadline that the caller asks for, at most the profile's. */
static int64_t
read_deadline_ms(h2o_req_t *req, int64_t limit_ms)
{
	h2o_iovec_t value = http_request_get_header(req, DEADLINE_HEADER);
	int64_t deadline_ms = 0;
	size_t i;

	if (value.base == NULL || value.len == 0 ||
	    value.len > DEADLINE_DIGITS_MAX)
		return (limit_ms);
	for (i = 0; i < value.len; i++) {
		if (value.base[i] < '0' || value.base[i] > '9')
			return (limit_ms);
		deadline_ms = deadline_ms * 10 + (value.base[i] - '0');
	}
	return (deadline_ms < limit_ms ? deadline_ms : limit_ms);
}

static void
read_profile(frontend_check_t *check)
{
	const config_profile_t *profile =
	    entry_service_get_profile(check->options.service);
	int64_t limit_ms =
	    profile != NULL ? profile->deadline_ms : DEADLINE_DEFAULT_MS;

	check->options.repeat_allowed =
	    profile != NULL && profile->repeat_allowed;
	check->options.deadline_ms = check->started_ns / NS_PER_MS +
	    read_deadline_ms(check->req, limit_ms);
}

static void
hash_request(frontend_check_t *check)
{
	h2o_req_t *req = check->req;
	uint64_t hash = XXH64(req->method.base, req->method.len, 0);

	hash = XXH64(req->input.path.base, req->input.path.len, hash);
	check->options.body_hash = req->entity.len > 0
	    ? XXH64(req->entity.base, req->entity.len, 0)
	    : 0;
	check->options.hash = XXH64(
	    &check->options.body_hash, sizeof(check->options.body_hash), hash);
}

void
frontend_handle(void *ctx, h2o_req_t *req)
{
	typedef int (*check_fn)(frontend_check_t *);
	static const check_fn checks[] = { check_limits, check_form, check_id,
		check_route, check_key, check_phase };
	frontend_check_t check = {
		.entry = ctx,
		.req = req,
		.started_ns = clock_now_ns(),
	};
	size_t i;
	int refusal = 0;

	for (i = 0; i < sizeof(checks) / sizeof(checks[0]); i++) {
		refusal = checks[i](&check);
		if (refusal != 0) {
			request_refuse_early(ctx, req, (refusal_t)(refusal - 1),
			    check.id, check.started_ns);
			return;
		}
	}
	read_profile(&check);
	hash_request(&check);
	check.options.started_ns = check.started_ns;
	request_start(ctx, req, &check.options);
}
