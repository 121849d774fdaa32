#include "target/target_http.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "http/http_server.h"

/* Callers keep connections idle for as long as they like. */
#define IDLE_TIMEOUT_MS (3600u * 1000)

struct target_http {
	http_server_t *server;
	int cap;
	target_http_cb cb;
	void *ctx;
};

static void
on_request(void *ctx, h2o_req_t *req)
{
	target_http_t *http = ctx;

	http->cb(http->ctx, req);
}

static void
on_refused(void *ctx)
{
	target_http_t *http = ctx;

	LOG_EVENT(803, LOG_LEVEL_DEBUG, "connection closed, the cap is reached",
	    LOG_NUM("cap", http->cap));
}

int
target_http_listen(uv_loop_t *loop, const struct sockaddr_in *addr, int cap,
    target_http_cb cb, void *ctx, target_http_t **http_out)
{
	target_http_t *http = calloc(1, sizeof(*http));
	http_server_options_t options = {
		.loop = loop,
		.addr = *addr,
		.server_name = "tm-target",
		.connections_max = (uint32_t)cap,
		.body_max_bytes = TARGET_BODY_MAX,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.handle = on_request,
		.refused = on_refused,
		.ctx = http,
	};
	int err;

	if (http == NULL)
		return (TM_ENOMEM);
	*http_out = http;
	http->cap = cap;
	http->cb = cb;
	http->ctx = ctx;
	err = http_server_create(&http->server, &options);
	if (err != TM_OK)
		LOG_EVENT(801, LOG_LEVEL_ERROR, "cannot listen",
		    LOG_TEXT("reason", error_get_text(err)),
		    LOG_NUM("port", ntohs(addr->sin_port)));
	return (err);
}

void
target_http_stop(target_http_t *http)
{
	http_server_stop(http->server);
}

int
target_http_get_connections(const target_http_t *http)
{
	return ((int)http_server_get_connections(http->server));
}

h2o_iovec_t
target_http_get_header(h2o_req_t *req, const char *lower_name)
{
	size_t i, len = strlen(lower_name);

	for (i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		if (h->name->len == len &&
		    memcmp(h->name->base, lower_name, len) == 0)
			return (h->value);
	}
	return (h2o_iovec_init(NULL, 0));
}

void
target_http_add_header(
    h2o_req_t *req, const char *lower_name, const char *value)
{
	h2o_iovec_t name = h2o_strdup(&req->pool, lower_name, SIZE_MAX);
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
	    name.len, 1, NULL, copy.base, copy.len);
}

const char *
target_http_get_reason(int status)
{
	switch (status) {
	case 200:
		return ("OK");
	case 400:
		return ("Bad Request");
	case 404:
		return ("Not Found");
	case 503:
		return ("Service Unavailable");
	case 504:
		return ("Gateway Timeout");
	default:
		return (status < 500 ? "Error" : "Server Error");
	}
}

void
target_http_reply(h2o_req_t *req, int status, const char *body)
{
	req->res.status = status;
	req->res.reason = target_http_get_reason(status);
	target_http_add_header(req, "content-type", "application/json");
	req->res.content_length = strlen(body);
	http_request_send_body(req, body, strlen(body));
}

int
target_http_get_fd(h2o_req_t *req)
{
	return (h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn)));
}
