#include "hub/hub_api.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "http/http_server.h"
#include "raft/raft.h"

/* 300 gates, 63 hubs with a connection each way and the files leave room for so
 * many in the 3,896 descriptors of a hub. */
#define CONNECTIONS_MAX 3000
#define IDLE_TIMEOUT_MS 30000
#define ADDRESS_BYTES	(FLEET_IP_BYTES + 8)
#define ANNOUNCED_BYTES 128
#define JSON_TYPE	"application/json"
/* Retry-After of responses with status 503, in seconds: time after which a
 * caller should ask a hub without a leader again. */
#define RETRY_AFTER "0.3"
/* Calls of the product itself, beside those of the dialect. */
#define EVACUATIONS_PATH "/v1/evacuations"

struct hub_api {
	hub_t *hub;
	http_server_t *server;
	http_server_t *metrics_server;
};

/* What the entry of a call holds. */
typedef enum api_entry {
	API_ENTRY_CONFIG,
	API_ENTRY_TARGET,
	API_ENTRY_EVACUATION
} api_entry_t;

/* A call whose entry is not committed yet. */
typedef struct api_call {
	hub_api_t *api;
	h2o_req_t *req; /* NULL: the caller has closed the connection */
	struct api_link *link;
	api_entry_t entry;
	/* Target or data centre */
	char subject[FLEET_TARGET_ID_MAX_BYTES + 1];
	uint64_t version; /* of a document */
	int is_leave; /* ends the registration of the target */
	int is_end; /* of an evacuation */
	int wants_list; /* the response lists the evacuations */
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

/* Names the hub for the next announcements, whose port is that of this hub. */
static void
reply_announced(hub_api_t *api, h2o_req_t *req, const char *target_id)
{
	const hub_settings_t *settings = hub_get_settings(api->hub);
	const char *hub = hub_choose_for_target(api->hub, target_id);
	char address[ADDRESS_BYTES];
	char body[ANNOUNCED_BYTES];
	size_t len;

	if (hub != NULL)
		snprintf(address, sizeof(address), "%s:%u", hub,
		    ntohs(settings->listen.sin_port));
	len = settings->dialect->write_announced(
	    body, sizeof(body), hub != NULL ? address : NULL);
	http_request_reply(req, 200, JSON_TYPE, body, len);
}

static void
reply_evacuations(hub_api_t *api, h2o_req_t *req)
{
	char *text =
	    hub_evacuations_format(&hub_get_state(api->hub)->evacuations);

	if (text == NULL)
		reply_error(req, 503, "out of memory");
	else
		http_request_reply(req, 200, JSON_TYPE, text, strlen(text));
	free(text);
}

static void
log_order(const char *data_centre, int is_end, const char *outcome,
    const h2o_req_t *req)
{
	LOG_EVENT(933, LOG_LEVEL_INFO, "evacuation ordered",
	    LOG_TEXT("data_centre", data_centre), LOG_NUM("is_end", is_end),
	    LOG_TEXT("outcome", outcome), LOG_NUM("is_answered", req != NULL));
}

static void
log_committed(const api_call_t *call, int err)
{
	const h2o_req_t *req = call->req;

	if (call->entry == API_ENTRY_EVACUATION)
		log_order(
		    call->subject, call->is_end, error_get_text(err), req);
	else if (call->entry == API_ENTRY_CONFIG)
		LOG_EVENT(930, LOG_LEVEL_INFO, "document proposed",
		    LOG_NUM("version", call->version),
		    LOG_TEXT("outcome", error_get_text(err)),
		    LOG_NUM("is_answered", req != NULL));
	else
		LOG_EVENT(931, LOG_LEVEL_INFO, "target proposed",
		    LOG_TEXT("target", call->subject),
		    LOG_TEXT("outcome", error_get_text(err)),
		    LOG_NUM("is_answered", req != NULL));
}

/* hub_done_cb */
static void
on_committed(void *ctx, int err)
{
	api_call_t *call = ctx;
	h2o_req_t *req = call->req;

	log_committed(call, err);
	if (req != NULL) {
		call->link->call = NULL;
		if (err != TM_OK)
			reply_error(req, 503, "the outcome is not known");
		else if (call->entry == API_ENTRY_TARGET && !call->is_leave)
			reply_announced(call->api, req, call->subject);
		else if (call->wants_list)
			reply_evacuations(call->api, req);
		else
			http_request_reply(req, 200, JSON_TYPE, "{}", 2);
	}
	free(call);
}

/*
 * @param what   describes the call
 * @param bytes  entry from malloc(); freed by the callee
 */
static void
propose(hub_api_t *api, h2o_req_t *req, const api_call_t *what, uint8_t *bytes,
    size_t len)
{
	api_call_t *call = create_call(api, req);
	int err;

	if (call == NULL || bytes == NULL) {
		if (call != NULL)
			call->link->call = NULL;
		free(call);
		free(bytes);
		reply_error(req, 503, "out of memory");
		return;
	}
	call->entry = what->entry;
	memcpy(call->subject, what->subject, sizeof(call->subject));
	call->version = what->version;
	call->is_end = what->is_end;
	call->wants_list = what->wants_list;
	err = hub_propose(api->hub, bytes, len, on_committed, call);
	if (err == TM_OK)
		return;
	call->link->call = NULL;
	free(call);
	reply_error(req, 503, error_get_text(err));
}

/* A hub that cannot decide sends the target to the leader, but not all targets of
 * a large fleet, which the leader could not serve. */
static void
reply_without_contact(hub_api_t *api, h2o_req_t *req)
{
	if (hub_is_spreading(api->hub))
		reply_error(req, 503, "no contact with the leader");
	else
		redirect_to_leader(api, req);
}

/* @param err  of hub_announce() or hub_leave(); the call waits with TM_OK */
static void
reply_unless_waiting(hub_api_t *api, h2o_req_t *req, api_call_t *call, int err)
{
	if (err == TM_OK)
		return;
	call->link->call = NULL;
	if (err == TM_EUNAVAIL)
		reply_without_contact(api, req);
	else if (err < 0)
		reply_error(req, 503, error_get_text(err));
	else if (call->is_leave)
		http_request_reply(req, 200, JSON_TYPE, "{}", 2);
	else
		reply_announced(api, req, call->subject);
	free(call);
}

/* @return NULL if memory is exhausted; then it is answered */
static api_call_t *
create_target_call(hub_api_t *api, h2o_req_t *req, const char *target_id)
{
	api_call_t *call = create_call(api, req);

	if (call == NULL) {
		reply_error(req, 503, "out of memory");
		return (NULL);
	}
	call->entry = API_ENTRY_TARGET;
	snprintf(call->subject, sizeof(call->subject), "%s", target_id);
	return (call);
}

static void
handle_announce(hub_api_t *api, h2o_req_t *req, const char *target_id)
{
	const dialect_t *dialect = hub_get_settings(api->hub)->dialect;
	dialect_announcement_t as = { .born_ms = 0 };
	api_call_t *call;

	snprintf(as.id, sizeof(as.id), "%s", target_id);
	if (dialect->read_announcement(
		req->entity.base, req->entity.len, &as) != TM_OK) {
		reply_error(req, 400, "the announcement names no target");
		return;
	}
	call = create_target_call(api, req, target_id);
	if (call != NULL)
		reply_unless_waiting(api, req, call,
		    hub_announce(api->hub, &as, on_committed, call));
}

static void
handle_leave(hub_api_t *api, h2o_req_t *req, const char *target_id)
{
	const dialect_t *dialect = hub_get_settings(api->hub)->dialect;
	dialect_announcement_t as = { .born_ms = 0 };
	api_call_t *call;

	snprintf(as.id, sizeof(as.id), "%s", target_id);
	if (dialect->read_leave(req->entity.base, req->entity.len, &as) !=
	    TM_OK) {
		reply_error(
		    req, 400, "the body is neither empty nor that of a target");
		return;
	}
	call = create_target_call(api, req, target_id);
	if (call == NULL)
		return;
	call->is_leave = 1;
	reply_unless_waiting(
	    api, req, call, hub_leave(api->hub, &as, on_committed, call));
}

static void
propose_document(hub_api_t *api, h2o_req_t *req, const fleet_config_t *config)
{
	api_call_t what = {
		.entry = API_ENTRY_CONFIG,
		.version = config->version,
	};
	hub_document_t document;
	uint8_t *bytes = NULL;
	size_t len = 0;

	if (hub_document_compress(&document, config->version, req->entity.base,
		req->entity.len) == TM_OK &&
	    hub_document_set_services(&document, config) == TM_OK)
		bytes = hub_entry_encode_document(&document, &len);
	hub_document_release(&document);
	if (bytes != NULL && len > RAFT_ENTRY_MAX_BYTES) {
		free(bytes);
		reply_error(req, 413, "the document is too large");
		return;
	}
	propose(api, req, &what, bytes, len);
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

static void
read_peer(const h2o_req_t *req, char ip[FLEET_IP_BYTES])
{
	struct sockaddr_storage addr = { .ss_family = AF_UNSPEC };
	const struct sockaddr_in *addr4 = (const struct sockaddr_in *)&addr;

	ip[0] = '\0';
	req->conn->callbacks->get_peername(req->conn, (struct sockaddr *)&addr);
	if (addr.ss_family == AF_INET)
		inet_ntop(AF_INET, &addr4->sin_addr, ip, FLEET_IP_BYTES);
}

static void
refuse_order(h2o_req_t *req, const hub_evacuation_t *order,
    hub_evacuation_answer_t answer)
{
	char reason[128];

	if (answer == HUB_EVACUATION_FULL) {
		log_order(order->data_centre, order->is_ended,
		    "too many evacuations", req);
		reply_error(req, 409,
		    "the largest number of data centres is evacuated; end "
		    "another evacuation first");
		return;
	}
	log_order(order->data_centre, order->is_ended, "unknown", req);
	snprintf(reason, sizeof(reason),
	    "no data centre '%s' in data_centres or of a target",
	    order->data_centre);
	reply_error(req, 404, reason);
}

static void
handle_order(hub_api_t *api, h2o_req_t *req, const char *data_centre,
    int is_end, int wants_list)
{
	hub_evacuation_t order = {
		.is_ended = is_end,
		.since_ms = (uint64_t)clock_wall_ms(),
	};
	api_call_t what = {
		.entry = API_ENTRY_EVACUATION,
		.is_end = is_end,
		.wants_list = wants_list,
	};
	hub_evacuation_answer_t answer;
	uint8_t *bytes;
	size_t len;

	snprintf(
	    order.data_centre, sizeof(order.data_centre), "%s", data_centre);
	snprintf(what.subject, sizeof(what.subject), "%s", data_centre);
	read_peer(req, order.requested_by);
	answer = hub_evacuation_check(
	    hub_get_state(api->hub), hub_get_settings(api->hub), &order);
	if (answer != HUB_EVACUATION_ACCEPTED) {
		refuse_order(req, &order, answer);
		return;
	}
	bytes = hub_evacuation_encode(&order, &len);
	propose(api, req, &what, bytes, len);
}

/* Reads a call to EVACUATIONS_PATH. @param name  receives the data centre; ""
 * for the list */
static dialect_call_t
find_own_call(const h2o_req_t *req, char name[FLEET_TARGET_ID_MAX_BYTES + 1])
{
	const size_t prefix_len = strlen(EVACUATIONS_PATH);
	const char *path = req->path_normalized.base;
	size_t len = req->path_normalized.len;

	name[0] = '\0';
	if (len < prefix_len || memcmp(path, EVACUATIONS_PATH, prefix_len) != 0)
		return (DIALECT_CALL_UNKNOWN);
	path += prefix_len;
	len -= prefix_len;
	if (len == 0)
		return (h2o_memis(req->method.base, req->method.len,
			    H2O_STRLIT("GET"))
			? DIALECT_CALL_EVACUATE
			: DIALECT_CALL_UNKNOWN);
	if (len < 2 || len - 1 > FLEET_TARGET_ID_MAX_BYTES || path[0] != '/' ||
	    memchr(path + 1, '/', len - 1) != NULL)
		return (DIALECT_CALL_UNKNOWN);
	memcpy(name, path + 1, len - 1);
	name[len - 1] = '\0';
	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT")))
		return (DIALECT_CALL_EVACUATE);
	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("DELETE")))
		return (DIALECT_CALL_END_EVACUATION);
	return (DIALECT_CALL_UNKNOWN);
}

/* @return kind of a call; unknown also if it is not enabled */
static dialect_call_t
find_call(const hub_api_t *api, const h2o_req_t *req,
    char subject[FLEET_TARGET_ID_MAX_BYTES + 1], int *is_own)
{
	const hub_settings_t *settings = hub_get_settings(api->hub);
	dialect_call_t call = find_own_call(req, subject);

	*is_own = call != DIALECT_CALL_UNKNOWN;
	if (!*is_own)
		call = settings->dialect->find_call(req->method.base,
		    req->method.len, req->path.base, req->path.len, subject);
	if ((call == DIALECT_CALL_EVACUATE ||
		call == DIALECT_CALL_END_EVACUATION) &&
	    settings->evacuate_within_ms == 0)
		return (DIALECT_CALL_UNKNOWN);
	return (call);
}

/* http_server_cb */
static void
handle(void *ctx, h2o_req_t *req)
{
	hub_api_t *api = ctx;
	char subject[FLEET_TARGET_ID_MAX_BYTES + 1];
	int is_own;
	dialect_call_t call = find_call(api, req, subject, &is_own);

	if (call == DIALECT_CALL_UNKNOWN) {
		reply_error(req, 404, "no such call");
		return;
	}
	if (call == DIALECT_CALL_ANNOUNCE) {
		handle_announce(api, req, subject);
		return;
	}
	if (call == DIALECT_CALL_LEAVE) {
		handle_leave(api, req, subject);
		return;
	}
	if (!hub_is_leading(api->hub)) {
		redirect_to_leader(api, req);
		return;
	}
	switch (call) {
	case DIALECT_CALL_PUT_CONFIG:
		handle_put(api, req);
		break;
	case DIALECT_CALL_EVACUATE:
		if (is_own && subject[0] == '\0')
			reply_evacuations(api, req);
		else
			handle_order(api, req, subject, 0, is_own);
		break;
	case DIALECT_CALL_END_EVACUATION:
		handle_order(api, req, subject, 1, is_own);
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
hub_api_is_delivered(const hub_api_t *api)
{
	return (http_server_is_delivered(api->server));
}
