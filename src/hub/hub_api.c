#include "hub/hub_api.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "http/http_server.h"
#include "raft/raft.h"

#define CONNECTIONS_MAX 2000
#define IDLE_TIMEOUT_MS 30000
#define ADDRESS_BYTES	(FLEET_IP_BYTES + 8)
#define ANNOUNCED_BYTES 128
#define JSON_TYPE	"application/json"
/* Retry-After of responses with status 503, in seconds: time after which a
 * caller should ask a hub without a leader again. */
#define RETRY_AFTER "0.3"

struct hub_api {
	hub_t *hub;
	http_server_t *server;
	http_server_t *metrics_server;
};

/* A call whose entry is not committed yet. */
typedef struct api_call {
	hub_api_t *api;
	h2o_req_t *req; /* NULL: the caller has closed the connection */
	struct api_link *link;
	char target_id[FLEET_TARGET_ID_MAX_BYTES + 1];
	int is_config;
	uint64_t version;
} api_call_t;

typedef struct api_link {
	api_call_t *call;
} api_link_t;

static void
reply_error(h2o_req_t *req, int status, const char *reason)
{
	char body[FLEET_CONFIG_PROBLEM_BYTES * 2];
	char *at;
	int len;

	len = snprintf(body, sizeof(body), "{\"error\":\"%.200s\"}", reason);
	/* The reason may quote what the caller sent. */
	for (at = body + 10; at < body + len - 2; at++) {
		if (*at == '"' || *at == '\\' || (unsigned char)*at < 0x20)
			*at = '\'';
	}
	if (status == 503)
		http_request_add_header(
		    req, "retry-after", 11, RETRY_AFTER, strlen(RETRY_AFTER));
	http_request_reply(req, status, JSON_TYPE, body, (size_t)len);
}

/* Redirects to the leader, whose port is the same as that of this hub. */
static void
redirect_to_leader(hub_api_t *api, h2o_req_t *req)
{
	const char *leader = hub_get_leader(api->hub);
	const hub_settings_t *settings = hub_get_settings(api->hub);
	char location[512];
	int len;

	if (leader == NULL || strcmp(leader, settings->ip) == 0) {
		reply_error(req, 503, "no leader is known; ask again");
		return;
	}
	len = snprintf(location, sizeof(location), "http://%s:%u%.*s", leader,
	    ntohs(settings->listen.sin_port), (int)req->input.path.len,
	    req->input.path.base);
	if (len < 0 || (size_t)len >= sizeof(location)) {
		reply_error(req, 503, "the path is too long to be redirected");
		return;
	}
	http_request_add_header(req, "location", 8, location, (size_t)len);
	http_request_reply(req, 307, JSON_TYPE, "{}", 2);
}

static void
on_request_disposed(void *memory)
{
	api_link_t *link = memory;

	if (link->call != NULL)
		link->call->req = NULL;
}

static api_call_t *
create_call(hub_api_t *api, h2o_req_t *req)
{
	api_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return (NULL);
	call->api = api;
	call->req = req;
	call->link = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*call->link), on_request_disposed);
	call->link->call = call;
	return (call);
}

static void
reply_announced(hub_api_t *api, h2o_req_t *req)
{
	const hub_settings_t *settings = hub_get_settings(api->hub);
	char address[ADDRESS_BYTES];
	char body[ANNOUNCED_BYTES];
	size_t len;

	snprintf(address, sizeof(address), "%s:%u", settings->ip,
	    ntohs(settings->listen.sin_port));
	len = settings->dialect->write_announced(body, sizeof(body), address);
	http_request_reply(req, 200, JSON_TYPE, body, len);
}

/* hub_done_cb */
static void
on_committed(void *ctx, int err)
{
	api_call_t *call = ctx;
	h2o_req_t *req = call->req;

	if (call->is_config)
		LOG_EVENT(930, LOG_LEVEL_INFO, "document proposed",
		    LOG_NUM("version", call->version),
		    LOG_TEXT("outcome", error_get_text(err)),
		    LOG_NUM("is_answered", req != NULL));
	else
		LOG_EVENT(931, LOG_LEVEL_INFO, "target proposed",
		    LOG_TEXT("target", call->target_id),
		    LOG_TEXT("outcome", error_get_text(err)),
		    LOG_NUM("is_answered", req != NULL));
	if (req != NULL) {
		call->link->call = NULL;
		if (err != TM_OK)
			reply_error(req, 503, "the outcome is not known");
		else if (call->is_config)
			http_request_reply(req, 200, JSON_TYPE, "{}", 2);
		else
			reply_announced(call->api, req);
	}
	free(call);
}

/* @param bytes  entry from malloc(); freed by the callee */
static void
propose(hub_api_t *api, h2o_req_t *req, const char *target_id, uint64_t version,
    uint8_t *bytes, size_t len)
{
	api_call_t *call = create_call(api, req);
	int err;

	if (call == NULL || bytes == NULL) {
		free(call);
		free(bytes);
		reply_error(req, 503, "out of memory");
		return;
	}
	call->is_config = target_id == NULL;
	call->version = version;
	if (target_id != NULL)
		snprintf(
		    call->target_id, sizeof(call->target_id), "%s", target_id);
	err = hub_propose(api->hub, bytes, len, on_committed, call);
	if (err == TM_OK)
		return;
	call->link->call = NULL;
	free(call);
	reply_error(req, 503, error_get_text(err));
}

/* @return 1 if an announcement is older than what is known, and is ignored */
static int
is_outdated(
    const hub_state_t *state, const dialect_announcement_t *as, uint64_t key)
{
	const hub_target_t *known = hub_state_find_target(state, key);
	const hub_target_t *owner;

	if (known != NULL) {
		if (as->born_ms < known->as.born_ms)
			return (1);
		if (as->born_ms == known->as.born_ms &&
		    (known->as.state == FLEET_TARGET_DEREGISTERED ||
			as->sequence < known->as.sequence))
			return (1);
	}
	owner = hub_state_find_address(state, as->ip, as->port);
	return (owner != NULL && owner->key != key &&
	    as->born_ms < owner->as.born_ms);
}

/* @return 1 if an announcement changes nothing that is replicated */
static int
is_unchanged(const hub_target_t *known, const dialect_announcement_t *as)
{
	return (known != NULL && known->as.born_ms == as->born_ms &&
	    known->as.state == as->state && known->as.ip == as->ip &&
	    known->as.port == as->port && known->as.slots == as->slots &&
	    strcmp(known->as.service, as->service) == 0);
}

static void
handle_announce(hub_api_t *api, h2o_req_t *req, const char *target_id)
{
	const hub_state_t *state = hub_get_state(api->hub);
	const dialect_t *dialect = hub_get_settings(api->hub)->dialect;
	uint64_t key = fleet_name_hash(target_id);
	dialect_announcement_t as = { .born_ms = 0 };
	const hub_target_t *known;
	uint8_t *bytes;
	size_t len;

	snprintf(as.id, sizeof(as.id), "%s", target_id);
	if (dialect->read_announcement(
		req->entity.base, req->entity.len, &as) != TM_OK) {
		reply_error(req, 400, "the announcement names no target");
		return;
	}
	if (is_outdated(state, &as, key)) {
		reply_announced(api, req);
		return;
	}
	hub_record_announcement(api->hub, key);
	hub_record_warmup(api->hub, &as);
	known = hub_state_find_target(state, key);
	if (is_unchanged(known, &as) &&
	    !hub_is_warmup_new(api->hub, known, &as)) {
		reply_announced(api, req);
		return;
	}
	bytes = hub_entry_encode_target(&as, &len);
	propose(api, req, target_id, 0, bytes, len);
}

static void
handle_leave(hub_api_t *api, h2o_req_t *req, const char *target_id)
{
	const hub_state_t *state = hub_get_state(api->hub);
	const dialect_t *dialect = hub_get_settings(api->hub)->dialect;
	const hub_target_t *known =
	    hub_state_find_target(state, fleet_name_hash(target_id));
	dialect_announcement_t as;
	uint64_t born_ms;
	uint8_t *bytes;
	size_t len;

	born_ms = dialect->read_leave(req->entity.base, req->entity.len);
	if (known == NULL || known->as.state == FLEET_TARGET_DEREGISTERED ||
	    (born_ms != 0 && born_ms < known->as.born_ms)) {
		http_request_reply(req, 200, JSON_TYPE, "{}", 2);
		return;
	}
	as = known->as;
	as.state = FLEET_TARGET_DEREGISTERED;
	bytes = hub_entry_encode_target(&as, &len);
	propose(api, req, target_id, 0, bytes, len);
}

static void
propose_document(hub_api_t *api, h2o_req_t *req, const fleet_config_t *config)
{
	hub_document_t document;
	uint8_t *bytes = NULL;
	size_t len = 0;

	if (hub_document_compress(&document, config->version, req->entity.base,
		req->entity.len) == TM_OK)
		bytes = hub_entry_encode_document(&document, &len);
	hub_document_release(&document);
	if (bytes != NULL && len > RAFT_ENTRY_MAX_BYTES) {
		free(bytes);
		reply_error(req, 413, "the document is too large");
		return;
	}
	propose(api, req, NULL, config->version, bytes, len);
}

static void
handle_put(hub_api_t *api, h2o_req_t *req)
{
	const hub_state_t *state = hub_get_state(api->hub);
	const dialect_t *dialect = hub_get_settings(api->hub)->dialect;
	char problem[FLEET_CONFIG_PROBLEM_BYTES] = "";
	fleet_config_t *config;
	int err;

	err = dialect->read_config(
	    req->entity.base, req->entity.len, &config, problem);
	if (err != TM_OK) {
		LOG_EVENT(932, LOG_LEVEL_WARN, "document refused",
		    LOG_TEXT("reason", &problem[0]),
		    LOG_TEXT("error", error_get_text(err)));
		reply_error(req, err == TM_ENOMEM ? 503 : 400, problem);
		return;
	}
	if (state->has_document && config->version <= state->document.version)
		http_request_reply(req, 200, JSON_TYPE, "{}", 2);
	else
		propose_document(api, req, config);
	fleet_config_destroy(config);
}

static void
handle_get(hub_api_t *api, h2o_req_t *req)
{
	const hub_state_t *state = hub_get_state(api->hub);
	char *plain;

	if (!state->has_document) {
		reply_error(req, 404, "no document was put yet");
		return;
	}
	plain = hub_document_decompress(&state->document);
	if (plain == NULL) {
		reply_error(req, 503, "the document cannot be unpacked");
		return;
	}
	http_request_reply(
	    req, 200, JSON_TYPE, plain, state->document.plain_len);
	free(plain);
}

/* http_server_cb */
static void
handle(void *ctx, h2o_req_t *req)
{
	hub_api_t *api = ctx;
	const dialect_t *dialect = hub_get_settings(api->hub)->dialect;
	char target_id[FLEET_TARGET_ID_MAX_BYTES + 1];
	dialect_call_t call = dialect->find_call(req->method.base,
	    req->method.len, req->path.base, req->path.len, target_id);

	if (call == DIALECT_CALL_UNKNOWN) {
		reply_error(req, 404, "no such call");
		return;
	}
	if (!hub_is_leading(api->hub)) {
		redirect_to_leader(api, req);
		return;
	}
	switch (call) {
	case DIALECT_CALL_ANNOUNCE:
		handle_announce(api, req, target_id);
		break;
	case DIALECT_CALL_LEAVE:
		handle_leave(api, req, target_id);
		break;
	case DIALECT_CALL_PUT_CONFIG:
		handle_put(api, req);
		break;
	default:
		handle_get(api, req);
		break;
	}
}

/* http_server_cb */
static void
handle_metrics(void *ctx, h2o_req_t *req)
{
	hub_api_t *api = ctx;
	size_t len = 0;
	char *text = metrics_format(hub_get_metrics(api->hub), &len);

	http_request_reply(req, text != NULL ? 200 : 503,
	    "text/plain; version=0.0.4", text != NULL ? text : "", len);
	free(text);
}

static int
listen_for_metrics(hub_api_t *api, uv_loop_t *loop)
{
	const hub_settings_t *settings = hub_get_settings(api->hub);
	http_server_options_t options = {
		.loop = loop,
		.addr = settings->listen,
		.server_name = "tarragonmoor",
		.connections_max = 16,
		.body_max_bytes = 1024,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.handle = handle_metrics,
		.ctx = api,
	};

	if (settings->metrics_port == 0)
		return (TM_OK);
	options.addr.sin_port = htons(settings->metrics_port);
	return (http_server_create(&api->metrics_server, &options));
}

int
hub_api_create(hub_api_t **out, hub_t *hub, uv_loop_t *loop)
{
	hub_api_t *api = calloc(1, sizeof(*api));
	http_server_options_t options = {
		.loop = loop,
		.addr = hub_get_settings(hub)->listen,
		.server_name = "tarragonmoor",
		.connections_max = CONNECTIONS_MAX,
		.body_max_bytes = HUB_DOCUMENT_MAX_BYTES,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.handle = handle,
		.ctx = api,
	};
	int err;

	if (api == NULL)
		return (TM_ENOMEM);
	api->hub = hub;
	err = http_server_create(&api->server, &options);
	if (err == TM_OK)
		err = listen_for_metrics(api, loop);
	*out = api;
	return (err);
}

void
hub_api_close(hub_api_t *api)
{
	http_server_stop(api->server);
}

int
hub_api_is_written(const hub_api_t *api)
{
	return (http_server_get_active(api->server) == 0);
}
