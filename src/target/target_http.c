#include "target/target_http.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "http/http_server.h"

#define LISTEN_BACKLOG 1024
/* Callers keep connections idle for as long as they like. */
#define IDLE_TIMEOUT_MS (3600u * 1000)

typedef struct target_handler {
	h2o_handler_t super;
	target_http_t *http;
} target_handler_t;

struct target_http {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept_ctx;
	uv_tcp_t listener;
	int cap;
	int connections;
	target_http_cb cb;
	void *ctx;
};

typedef struct target_conn {
	uv_tcp_t tcp;
	target_http_t *http;
} target_conn_t;

static void
on_conn_closed(uv_handle_t *handle)
{
	target_conn_t *conn = (target_conn_t *)handle;

	conn->http->connections--;
	free(conn);
}

static void
on_accept(uv_stream_t *listener, int status)
{
	target_http_t *http = listener->data;
	target_conn_t *conn;
	h2o_socket_t *sock;

	if (status != 0)
		return;
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return;
	conn->http = http;
	http->connections++;
	uv_tcp_init(listener->loop, &conn->tcp);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0) {
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
		return;
	}
	if (http->connections > http->cap) {
		LOG_EVENT(803, LOG_LEVEL_DEBUG,
		    "connection closed, the cap is reached",
		    LOG_NUM("cap", http->cap));
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	sock = h2o_uv_socket_create(
	    (uv_stream_t *)&conn->tcp, (uv_close_cb)on_conn_closed);
	h2o_accept(&http->accept_ctx, sock);
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
	target_handler_t *handler = (target_handler_t *)self;

	handler->http->cb(handler->http->ctx, req);
	return (0);
}

static void
configure(target_http_t *http, uv_loop_t *loop)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	target_handler_t *handler;

	h2o_config_init(&http->config);
	http->config.server_name =
	    h2o_iovec_init("tm-target", sizeof("tm-target") - 1);
	http->config.http1.req_timeout = IDLE_TIMEOUT_MS;
	http->config.http1.upgrade_to_http2 = 0;
	http->config.max_request_entity_size = TARGET_BODY_MAX;
	host = h2o_config_register_host(
	    &http->config, h2o_iovec_init("default", 7), UINT16_MAX);
	path = h2o_config_register_path(host, "/", 0);
	handler =
	    (target_handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->http = http;
	h2o_context_init(&http->context, loop, &http->config);
	http->accept_ctx.ctx = &http->context;
	http->accept_ctx.hosts = http->config.hosts;
}

int
target_http_listen(uv_loop_t *loop, const struct sockaddr_in *addr, int cap,
    target_http_cb cb, void *ctx, target_http_t **http_out)
{
	target_http_t *http = calloc(1, sizeof(*http));
	int rc;

	if (http == NULL)
		return (TM_ENOMEM);
	*http_out = http;
	http->cap = cap;
	http->cb = cb;
	http->ctx = ctx;
	configure(http, loop);
	uv_tcp_init(loop, &http->listener);
	http->listener.data = http;
	rc = uv_tcp_bind(&http->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&http->listener, LISTEN_BACKLOG, on_accept);
	if (rc == 0)
		return (TM_OK);
	LOG_EVENT(801, LOG_LEVEL_ERROR, "cannot listen",
	    LOG_TEXT("reason", uv_strerror(rc)),
	    LOG_NUM("port", ntohs(addr->sin_port)));
	return (TM_EIO);
}

void
target_http_stop(target_http_t *http)
{
	if (!uv_is_closing((uv_handle_t *)&http->listener))
		uv_close((uv_handle_t *)&http->listener, NULL);
}

int
target_http_get_connections(const target_http_t *http)
{
	return (http->connections);
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
