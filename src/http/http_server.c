#include "http/http_server.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"
#include "http/http_idle.h"
#include "http/http_linger.h"
#include "http/http_unparsed.h"
#include "net/stream_end.h"

#define LISTEN_BACKLOG 4096
/* h2o has no limit on the time of a write. The kernel closes a connection
 * whose caller takes no bytes for this time. */
#define WRITE_TIMEOUT_MS 30000u
/* The timer of libh2o does not end connections; http_idle does. */
#define LIBRARY_TIMEOUT_MS (24 * 3600 * 1000)
/* "timeout=" and a number. */
#define ANNOUNCEMENT_BYTES 32

typedef struct server_handler {
	h2o_handler_t super;
	http_server_t *server;
} server_handler_t;

typedef struct server_filter {
	h2o_filter_t super;
	http_server_t *server;
} server_filter_t;

struct http_server {
	http_server_options_t options;
	http_config_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept_ctx;
	uv_tcp_t listener;
	uint32_t connections;
	uint32_t active; /* requests without a written response */
	http_intake_t intake;
	http_linger_t linger;
	http_idle_t idle;
	uint64_t refused;
};

typedef struct server_conn {
	uv_tcp_t tcp;
	http_server_t *server;
	http_intake_conn_t intake;
	http_linger_conn_t linger;
	http_idle_conn_t idle;
} server_conn_t;

static server_conn_t *
get_server_conn(http_intake_conn_t *intake)
{
	return (H2O_STRUCT_FROM_MEMBER(server_conn_t, intake, intake));
}

static void
on_conn_closed(uv_handle_t *handle)
{
	server_conn_t *conn = (server_conn_t *)handle;

	http_idle_remove(&conn->server->idle, &conn->idle);
	conn->server->connections--;
	free(conn);
}

/* http_linger_drop_cb */
static void
on_dropped(
    void *ctx, const http_linger_conn_t *linger, const http_linger_drop_t *drop)
{
	const http_server_t *server = ctx;
	const server_conn_t *conn =
	    H2O_STRUCT_FROM_MEMBER(const server_conn_t, linger, linger);
	const http_late_request_t late = {
		.bytes = drop->bytes,
		.unread_bytes = drop->unread_bytes,
		.closed_ms = drop->closed_ms,
		.idle_ms =
		    clock_now_ms() - drop->closed_ms - conn->idle.since_ms,
	};

	if (server->options.late != NULL)
		server->options.late(server->options.ctx, &late);
}

/* http_intake_t.arrived */
static void
on_arrived(http_intake_conn_t *intake)
{
	server_conn_t *conn = get_server_conn(intake);

	http_idle_receive(
	    &conn->server->idle, &conn->idle, intake->sock->input->size);
}

/* http_idle_cb */
static void
on_idle_ended(void *ctx, http_idle_conn_t *idle)
{
	http_server_t *server = ctx;
	server_conn_t *conn = H2O_STRUCT_FROM_MEMBER(server_conn_t, idle, idle);

	if (conn->intake.sock == NULL)
		return;
	/* Timers run before the loop reads, so a request may have arrived while the
	 * process was busy. */
	if (!stream_end_is_quiet(&conn->tcp) &&
	    http_idle_postpone(&server->idle, idle))
		return;
	if (!idle->is_receiving && http_linger_is_undelivered(&conn->linger) &&
	    http_idle_extend(&server->idle, idle))
		return;
	/* http_intake_close() reaches uv_close(), which reads the flag. */
	conn->linger.is_idle = !idle->is_receiving;
	if (http_intake_close(&conn->intake))
		return;
	conn->linger.is_idle = 0;
	http_idle_retry(&server->idle, idle);
}

static void
limit_writes(const uv_tcp_t *tcp)
{
	unsigned timeout_ms = WRITE_TIMEOUT_MS;
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		    sizeof(timeout_ms));
}

/* A connection that only waits for its caller to close makes room for a new one. */
static int
has_room(http_server_t *server)
{
	return (server->connections <= server->options.connections_max ||
	    http_linger_end_oldest(&server->linger));
}

static void
on_accept(uv_stream_t *listener, int status)
{
	http_server_t *server = listener->data;
	server_conn_t *conn;
	h2o_socket_t *sock;

	if (status != 0)
		return;
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return;
	conn->server = server;
	server->connections++;
	uv_tcp_init(listener->loop, &conn->tcp);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0 ||
	    !has_room(server)) {
		server->refused++;
		if (server->options.refused != NULL)
			server->options.refused(server->options.ctx);
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	limit_writes(&conn->tcp);
	sock = h2o_uv_socket_create(
	    (uv_stream_t *)&conn->tcp, (uv_close_cb)on_conn_closed);
	http_intake_watch(
	    &server->intake, &conn->intake, sock, (uv_stream_t *)&conn->tcp);
	http_linger_watch(
	    &server->linger, &conn->linger, (uv_stream_t *)&conn->tcp);
	http_idle_wait(&server->idle, &conn->idle);
	h2o_accept(&server->accept_ctx, sock);
}

/* Lives in the memory of a request, which h2o frees once the response is written
 * or the connection has ended. */
typedef struct active_request {
	http_server_t *server;
	http_intake_conn_t *intake;
} active_request_t;

static void
on_request_disposed(void *memory)
{
	active_request_t *active = memory;
	http_server_t *server = active->server;

	server->active--;
	if (active->intake == NULL)
		return;
	http_intake_end(active->intake);
	http_idle_wait(&server->idle, &get_server_conn(active->intake)->idle);
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
	server_handler_t *handler = (server_handler_t *)self;
	active_request_t *active = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*active), on_request_disposed);

	active->server = handler->server;
	active->server->active++;
	active->intake = http_intake_begin(req);
	if (active->intake != NULL)
		http_idle_remove(&handler->server->idle,
		    &get_server_conn(active->intake)->idle);
	handler->server->options.handle(handler->server->options.ctx, req);
	return (0);
}

/* Tells the caller for how long it may use the connection. */
static void
on_keep_alive(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	http_server_t *server = ((server_filter_t *)self)->server;
	http_intake_conn_t *intake = http_intake_find(req);
	char value[ANNOUNCEMENT_BYTES];
	int len;

	if (req->http1_is_persistent && intake != NULL) {
		len = snprintf(value, sizeof(value), "timeout=%u",
		    http_idle_announce(
			&server->idle, &get_server_conn(intake)->idle));
		http_request_add_header(
		    req, "keep-alive", 10, value, (size_t)len);
	}
	h2o_setup_next_ostream(req, slot);
}

/*
 * Marks the responses that h2o makes itself, such as 400 and 413. They belong
 * to the fallback path; what the handler sends, also a target's error, does
 * not pass through here.
 */
static void
on_response(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	http_server_t *server = ((server_filter_t *)self)->server;
	const char *name = server->options.error_header;
	const char *value = server->options.error_value;

	if (req->res.status >= 400 &&
	    h2o_find_header_by_str(
		&req->res.headers, name, strlen(name), SIZE_MAX) < 0)
		h2o_add_header_by_str(&req->pool, &req->res.headers, name,
		    strlen(name), 1, NULL, value, strlen(value));
	h2o_setup_next_ostream(req, slot);
}

typedef void (*setup_cb)(
    h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot);

static void
add_filter(http_server_t *server, h2o_pathconf_t *path, setup_cb setup)
{
	server_filter_t *filter =
	    (server_filter_t *)h2o_create_filter(path, sizeof(*filter));

	filter->super.on_setup_ostream = setup;
	filter->server = server;
}

static void
configure(http_server_t *server)
{
	const http_server_options_t *options = &server->options;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	server_handler_t *handler;

	h2o_config_init(&server->config.h2o);
	server->config.h2o.server_name =
	    h2o_iovec_init(options->server_name, strlen(options->server_name));
	server->config.h2o.http1.req_timeout = LIBRARY_TIMEOUT_MS;
	server->config.h2o.http1.upgrade_to_http2 = 0;
	server->config.h2o.max_request_entity_size = options->body_max_bytes;
	host = h2o_config_register_host(
	    &server->config.h2o, h2o_iovec_init("default", 7), UINT16_MAX);
	path = h2o_config_register_path(host, "/", 0);
	handler =
	    (server_handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	if (options->announces_idle)
		add_filter(server, path, on_keep_alive);
	if (options->error_header != NULL)
		add_filter(server, &host->fallback_path, on_response);
	if (options->error_header != NULL)
		http_unparsed_set_header(&server->config, options->error_header,
		    options->error_value);
	h2o_context_init(&server->context, options->loop, &server->config.h2o);
	server->accept_ctx.ctx = &server->context;
	server->accept_ctx.hosts = server->config.h2o.hosts;
}

int
http_server_reload_tls(http_server_t *server, const http_tls_files_t *files,
    http_tls_error_t *error)
{
	SSL_CTX *ctx;
	int err;

	if (http_tls_is_set(files) != (server->accept_ctx.ssl_ctx != NULL))
		return (TM_EINVAL);
	if (!http_tls_is_set(files))
		return (TM_OK);
	err = http_tls_load(files, &ctx, error);
	if (err != TM_OK)
		return (err);
	/* Open connections hold their own reference. */
	SSL_CTX_free(server->accept_ctx.ssl_ctx);
	server->accept_ctx.ssl_ctx = ctx;
	return (TM_OK);
}

int
http_server_create(http_server_t **out, const http_server_options_t *options)
{
	http_server_t *server = calloc(1, sizeof(*server));
	http_tls_error_t error;
	int rc = TM_OK;

	if (server == NULL)
		return (TM_ENOMEM);
	server->options = *options;
	server->intake = (http_intake_t){
		.limit_bytes = options->intake_max_bytes,
		.is_whole_seconds = options->intake_whole_seconds,
		.header = options->error_header,
		.header_value = options->error_value,
		.refused = options->intake_refused,
		.ctx = options->ctx,
	};
	configure(server);
	if (options->tls != NULL && http_tls_is_set(options->tls))
		rc = http_tls_load(
		    options->tls, &server->accept_ctx.ssl_ctx, &error);
	if (rc != TM_OK)
		return (rc);
	server->intake.arrived = on_arrived;
	http_idle_init(&server->idle, options->loop, options->idle_timeout_ms);
	server->idle.ended = on_idle_ended;
	server->idle.ctx = server;
	http_linger_init(&server->linger, options->loop);
	server->linger.dropped = on_dropped;
	server->linger.ctx = server;
	uv_tcp_init(options->loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(
	    &server->listener, (const struct sockaddr *)&options->addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
		    on_accept);
	*out = server;
	return (rc == 0 ? TM_OK : TM_EIO);
}

void
http_server_set_idle_timeout(http_server_t *server, uint32_t timeout_ms)
{
	http_idle_set_timeout(&server->idle, timeout_ms);
}

void
http_server_stop(http_server_t *server)
{
	if (!uv_is_closing((uv_handle_t *)&server->listener))
		uv_close((uv_handle_t *)&server->listener, NULL);
}

void
http_server_drain(http_server_t *server)
{
	h2o_context_request_shutdown(&server->context);
}

uint32_t
http_server_get_connections(const http_server_t *server)
{
	return (server->connections);
}

uint32_t
http_server_get_active(const http_server_t *server)
{
	return (server->active);
}

/* @return 1 if a request has arrived that was not read */
static int
has_unread(const http_server_t *server)
{
	const http_idle_conn_t *idle;
	const server_conn_t *conn;

	DL_FOREACH(server->idle.conns, idle) {
		conn = H2O_STRUCT_FROM_MEMBER(const server_conn_t, idle, idle);
		if (conn->intake.sock != NULL &&
		    !stream_end_is_quiet(&conn->tcp))
			return (1);
	}
	return (0);
}

int
http_server_is_delivered(const http_server_t *server)
{
	return (server->active == 0 && server->linger.count == 0 &&
	    !http_linger_has_undelivered(&server->linger) &&
	    !has_unread(server));
}

uint64_t
http_server_get_refused(const http_server_t *server)
{
	return (server->refused);
}

h2o_iovec_t
http_request_get_header(const h2o_req_t *req, const char *lower_name)
{
	ssize_t at = h2o_find_header_by_str(
	    &req->headers, lower_name, strlen(lower_name), SIZE_MAX);

	if (at < 0)
		return (h2o_iovec_init(NULL, 0));
	return (req->headers.entries[at].value);
}

void
http_request_add_header(h2o_req_t *req, const char *lower_name, size_t name_len,
    const char *value, size_t value_len)
{
	h2o_iovec_t name = h2o_strdup(&req->pool, lower_name, name_len);
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, value_len);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
	    name.len, 1, NULL, copy.base, copy.len);
}

const char *
http_status_get_reason(int status)
{
	static const struct {
		int status;
		const char *reason;
	} reasons[] = { { 200, "OK" }, { 201, "Created" }, { 202, "Accepted" },
		{ 204, "No Content" }, { 304, "Not Modified" },
		{ 307, "Temporary Redirect" }, { 400, "Bad Request" },
		{ 401, "Unauthorized" }, { 403, "Forbidden" },
		{ 404, "Not Found" }, { 405, "Method Not Allowed" },
		{ 409, "Conflict" }, { 412, "Precondition Failed" },
		{ 413, "Payload Too Large" }, { 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" }, { 502, "Bad Gateway" },
		{ 503, "Service Unavailable" }, { 504, "Gateway Timeout" } };
	size_t i;

	for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
		if (reasons[i].status == status)
			return (reasons[i].reason);
	}
	return ("Status");
}

void
http_request_reply(
    h2o_req_t *req, int status, const char *type, const char *body, size_t len)
{
	req->res.status = status;
	req->res.reason = http_status_get_reason(status);
	if (type != NULL)
		http_request_add_header(
		    req, "content-type", 12, type, strlen(type));
	req->res.content_length = len;
	http_request_send_body(req, body, len);
}

/* h2o sends the body of a response to HEAD if there is one, and the caller
 * would take it for the next response. */
void
http_request_send_body(h2o_req_t *req, const char *body, size_t len)
{
	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD")))
		len = 0;
	h2o_send_inline(req, body, len);
}

/* A body that is being written; lives in the memory of its request. */
typedef struct sent_body {
	buffer_t buffer;
	response_budget_t *budget;
} sent_body_t;

static void
on_body_disposed(void *memory)
{
	sent_body_t *body = memory;

	response_budget_release(body->budget, body->buffer.size);
	buffer_release(&body->buffer);
}

void
http_request_send_buffer(
    h2o_req_t *req, buffer_t body, response_budget_t *budget)
{
	static h2o_generator_t generator;
	sent_body_t *sent =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*sent), on_body_disposed);
	h2o_iovec_t bytes;

	*sent = (sent_body_t){ .buffer = body, .budget = budget };
	response_budget_hold(budget, body.size);
	bytes = h2o_iovec_init((char *)body.bytes, body.len);
	h2o_start_response(req, &generator);
	h2o_send(req, &bytes, 1, 1);
}

int
http_request_is_abandoned(const h2o_req_t *req)
{
	return (stream_end_is_pending(
	    h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn))));
}

/* Headers of which a request may have one only. */
typedef struct head_counts {
	int hosts;
	int lengths;
	int encodings;
	int folded; /* lines that continue the one before */
} head_counts_t;

static void
count_header(const char *line, size_t len, head_counts_t *counts)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon != NULL ? (size_t)(colon - line) : 0;

	counts->folded += len > 0 && (*line == ' ' || *line == '\t');
	counts->hosts += h2o_lcstris(line, name_len, H2O_STRLIT("host"));
	counts->lengths +=
	    h2o_lcstris(line, name_len, H2O_STRLIT("content-length"));
	counts->encodings +=
	    h2o_lcstris(line, name_len, H2O_STRLIT("transfer-encoding"));
}

/* Counts the headers from the request line to the empty line. */
static int
count_headers(const char *at, const char *end, head_counts_t *counts)
{
	const char *stop;
	size_t len;
	int is_first = 1;

	for (; at < end; at = stop + 1) {
		stop = memchr(at, '\n', (size_t)(end - at));
		if (stop == NULL)
			return (0);
		len = (size_t)(stop - at);
		if (len > 0 && at[len - 1] == '\r')
			len--;
		if (len == 0)
			return (1);
		if (!is_first)
			count_header(at, len, counts);
		is_first = 0;
	}
	return (0);
}

/*
 * h2o keeps one Host and one length, and forgets that there were others. The
 * head is still at the start of the socket's input.
 */
int
http_request_is_ambiguous(const h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	const char *start = sock->input->bytes;
	const char *end = start + sock->input->size;
	head_counts_t counts = { 0 };

	while (start < end && (*start == '\r' || *start == '\n'))
		start++;
	if (!count_headers(start, end, &counts))
		return (1);
	if (counts.hosts > 1 || (counts.hosts == 0 && req->version >= 0x101))
		return (1);
	return (counts.folded > 0 || counts.lengths + counts.encodings > 1);
}
