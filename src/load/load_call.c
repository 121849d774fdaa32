#include "load/load_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/error.h"
#include "net/stream_end.h"

#define REQUEST_HEAD_MAX 12288
/* The part of a response's body that is searched for the echoed request. */
#define BODY_KEEP_BYTES 1536

struct load_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	load_client_t *client;
	int entry;
	int is_idle;
	load_call_t *call; /* NULL while idle or closing */
	response_t response;
	load_conn_t *prev, *next; /* idle connections of the entry */
};

void
load_client_init(load_client_t *client, uv_loop_t *loop,
    const load_settings_t *settings, load_call_cb cb, void *ctx)
{
	client->loop = loop;
	client->settings = settings;
	client->cb = cb;
	client->cb_ctx = ctx;
}

static int
has_text(const response_t *r, const char *text, size_t len)
{
	return (memmem(r->body.bytes, r->body.len, text, len) != NULL);
}

/*
 * A stand-in target repeats the request id and the hash of the request body
 * in its body, so a response to another request is recognised.
 */
static int
is_mismatched(const load_call_t *call, const response_t *r)
{
	char text[LOAD_ID_MAX + 40];
	int n;

	if (call->plan.id[0] == '\0')
		return (0);
	if (call->has_echo && !call->echo_ok)
		return (1);
	if (r->status != 200 || !has_text(r, "{\"target\":\"", 11))
		return (0);
	n = snprintf(
	    text, sizeof(text), "\"request_id\":\"%s\"", call->plan.id);
	if (!has_text(r, text, (size_t)n))
		return (1);
	n = snprintf(text, sizeof(text), "\"body_xxh64\":\"%016llx\"",
	    (unsigned long long)call->body_hash);
	return (!has_text(r, text, (size_t)n));
}

static void
finish(load_call_t *call, const char *error)
{
	load_client_t *client = call->client;
	const response_t *r = call->conn != NULL ? &call->conn->response : NULL;
	load_outcome_t outcome = { .run = call->run, .error = error };

	call->ended_ns = clock_now_ns();
	outcome.latency_us = (call->ended_ns - call->plan.intended_ns) / 1000;
	if (error == NULL) {
		outcome.status = r->status;
		outcome.is_mismatched =
		    client->settings->verify && is_mismatched(call, r);
	} else {
		outcome.run =
		    call->sent_ns != 0 ? LOAD_RUN_UNKNOWN : LOAD_RUN_NO;
	}
	if (call->conn != NULL)
		call->conn->call = NULL;
	call->conn = NULL;
	DL_DELETE(client->calls, call);
	client->in_flight--;
	client->cb(client->cb_ctx, call, &outcome);
	call->next = client->spare;
	client->spare = call;
}

static void
on_conn_closed(uv_handle_t *handle)
{
	load_conn_t *conn = (load_conn_t *)handle;

	response_release(&conn->response);
	free(conn);
}

static void
close_conn(load_conn_t *conn)
{
	if (uv_is_closing((uv_handle_t *)&conn->tcp))
		return;
	if (conn->is_idle)
		DL_DELETE(conn->client->idle[conn->entry], conn);
	conn->is_idle = 0;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void
fail_conn(load_conn_t *conn, const char *error)
{
	if (conn->call != NULL)
		finish(conn->call, error);
	close_conn(conn);
}

static int
is_name(const char *name, size_t len, const char *wanted)
{
	return (len == strlen(wanted) && strncasecmp(name, wanted, len) == 0);
}

static void
on_header(void *ctx, const char *name, size_t name_len, const char *value,
    size_t value_len)
{
	load_call_t *call = ctx;

	if (is_name(name, name_len, "x-tm-run"))
		call->run = is_name(value, value_len, "no") ? LOAD_RUN_NO
							    : LOAD_RUN_UNKNOWN;
	else if (is_name(name, name_len, "x-tm-shed"))
		call->run = LOAD_RUN_NO;
	else if (is_name(name, name_len, "x-request-id")) {
		call->has_echo = 1;
		call->echo_ok = value_len == strlen(call->plan.id) &&
		    memcmp(value, call->plan.id, value_len) == 0;
	}
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	load_conn_t *conn = (load_conn_t *)handle;

	*buf = uv_buf_init(
	    conn->client->read_buffer, sizeof(conn->client->read_buffer));
}

static void
end_response(load_conn_t *conn, size_t rest)
{
	int reuse = conn->response.keeps_alive && rest == 0;

	finish(conn->call,
	    rest == 0 ? NULL : "bytes after the end of the response");
	if (!reuse) {
		close_conn(conn);
		return;
	}
	conn->is_idle = 1;
	DL_PREPEND(conn->client->idle[conn->entry], conn);
}

static void
on_end_of_stream(load_conn_t *conn, ssize_t status)
{
	if (conn->call != NULL && stream_end_is_orderly(&conn->tcp, status) &&
	    response_is_complete_at_close(&conn->response))
		finish(conn->call, NULL);
	fail_conn(conn,
	    conn->response.has_head ? "truncated response"
				    : "closed before the response");
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	load_conn_t *conn = (load_conn_t *)stream;
	size_t rest;
	int rc;

	if (nread == 0)
		return;
	if (nread < 0) {
		on_end_of_stream(conn, nread);
		return;
	}
	if (conn->call == NULL) {
		close_conn(conn);
		return;
	}
	rc = response_take(&conn->response, buf->base, (size_t)nread, &rest);
	if (rc < 0)
		fail_conn(conn, "malformed response");
	else if (rc == 1)
		end_response(conn, rest);
}

static void
on_written(uv_write_t *write, int status)
{
	load_conn_t *conn = write->data;

	if (status < 0 && status != UV_ECANCELED)
		fail_conn(conn, "connection broke during the request");
}

static void
send_request(load_conn_t *conn)
{
	load_call_t *call = conn->call;
	uv_buf_t buf = uv_buf_init(call->request, (unsigned)call->request_len);
	int n;

	response_reset(&conn->response,
	    strcmp(call->plan.settings->method, "HEAD") == 0, BODY_KEEP_BYTES,
	    on_header, call);
	call->sent_ns = clock_now_ns();
	n = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
	if (n < 0 && n != UV_EAGAIN) {
		fail_conn(conn, "connection broke during the request");
		return;
	}
	if (n < 0)
		n = 0;
	if ((size_t)n == call->request_len)
		return;
	buf.base += n;
	buf.len -= (size_t)n;
	conn->write.data = conn;
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1,
		on_written) != 0)
		fail_conn(conn, "connection broke during the request");
}

static void
on_connect(uv_connect_t *connect, int status)
{
	load_conn_t *conn = connect->data;

	if (status != 0) {
		if (status != UV_ECANCELED)
			fail_conn(conn, "connection refused");
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (conn->call != NULL)
		send_request(conn);
	else
		close_conn(conn);
}

static int
open_conn(load_call_t *call)
{
	load_client_t *client = call->client;
	load_conn_t *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		return (TM_ENOMEM);
	conn->client = client;
	conn->entry = call->plan.entry;
	conn->call = call;
	conn->connect.data = conn;
	call->conn = conn;
	uv_tcp_init(client->loop, &conn->tcp);
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)&client->settings
		    ->entries[conn->entry],
		on_connect) != 0)
		fail_conn(conn, "connection refused");
	return (TM_OK);
}

/* The body depends only on the id, so that a repeated id has an equal one. */
static void
fill_body(const load_plan_t *plan, char *body, size_t len)
{
	size_t id_len = strlen(plan->id);
	size_t i;

	for (i = 0; i < len; i++)
		body[i] = id_len > 0 ? plan->id[i % id_len] : 'x';
}

static int
reserve(load_call_t *call, size_t size)
{
	char *grown;

	if (call->request_size >= size)
		return (TM_OK);
	grown = realloc(call->request, size);
	if (grown == NULL)
		return (TM_ENOMEM);
	call->request = grown;
	call->request_size = size;
	return (TM_OK);
}

/* The limits of the settings keep the head below REQUEST_HEAD_MAX. */
static int
format_request(load_call_t *call)
{
	const load_workspace_t *w = call->plan.settings;
	size_t body_len = (size_t)w->body_bytes;
	size_t used;
	char *text;
	int i;

	if (reserve(call, REQUEST_HEAD_MAX + body_len) != TM_OK)
		return (TM_ENOMEM);
	text = call->request;
	used = (size_t)snprintf(text, REQUEST_HEAD_MAX,
	    "%s %s HTTP/1.1\r\nHost: %s\r\n", w->method, call->plan.path,
	    w->host);
	if (w->key != NULL)
		used += (size_t)snprintf(text + used, REQUEST_HEAD_MAX - used,
		    "Authorization: Bearer %s\r\n", w->key);
	if (call->plan.id[0] != '\0')
		used += (size_t)snprintf(text + used, REQUEST_HEAD_MAX - used,
		    "X-Request-Id: %s\r\n", call->plan.id);
	for (i = 0; i < w->header_count; i++)
		used += (size_t)snprintf(text + used, REQUEST_HEAD_MAX - used,
		    "%s\r\n", w->headers[i]);
	if (body_len > 0)
		used += (size_t)snprintf(text + used, REQUEST_HEAD_MAX - used,
		    "Content-Length: %zu\r\n", body_len);
	used += (size_t)snprintf(text + used, REQUEST_HEAD_MAX - used, "\r\n");
	fill_body(&call->plan, text + used, body_len);
	call->body_hash = XXH64(text + used, body_len, 0);
	call->request_len = used + body_len;
	return (TM_OK);
}

static load_call_t *
take_call(load_client_t *client)
{
	load_call_t *call = client->spare;

	if (call == NULL)
		return (calloc(1, sizeof(load_call_t)));
	client->spare = call->next;
	return (call);
}

static void
reset_call(load_call_t *call, load_client_t *client, const load_plan_t *plan)
{
	call->plan = *plan;
	call->client = client;
	call->conn = NULL;
	call->started_ns = clock_now_ns();
	call->sent_ns = 0;
	call->run = LOAD_RUN_YES;
	call->has_echo = 0;
	call->echo_ok = 0;
}

int
load_call_start(load_client_t *client, const load_plan_t *plan)
{
	load_call_t *call;
	load_conn_t *conn;

	if (client->in_flight >= client->settings->max_connections)
		return (TM_EFULL);
	call = take_call(client);
	if (call == NULL)
		return (TM_ENOMEM);
	reset_call(call, client, plan);
	if (format_request(call) != TM_OK) {
		call->next = client->spare;
		client->spare = call;
		return (TM_ENOMEM);
	}
	client->in_flight++;
	DL_APPEND(client->calls, call);
	conn = client->idle[plan->entry];
	if (conn == NULL) {
		if (open_conn(call) != TM_OK)
			finish(call, "memory exhausted");
		return (TM_OK);
	}
	DL_DELETE(client->idle[plan->entry], conn);
	conn->is_idle = 0;
	conn->call = call;
	call->conn = conn;
	send_request(conn);
	return (TM_OK);
}

static void
abort_call(load_call_t *call, const char *error)
{
	load_conn_t *conn = call->conn;

	finish(call, error);
	if (conn != NULL)
		close_conn(conn);
}

void
load_client_tick(load_client_t *client, int64_t now_ns)
{
	int64_t limit_ns = client->settings->timeout_ms * NS_PER_MS;

	while (client->calls != NULL &&
	    now_ns - client->calls->started_ns >= limit_ns)
		abort_call(client->calls, "timeout");
}

void
load_client_cancel_all(load_client_t *client)
{
	while (client->calls != NULL)
		abort_call(client->calls, "unfinished at the end of the run");
}
