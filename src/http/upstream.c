#include "http/upstream.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/test_hooks.h"
#include "http/upstream_conn.h"
#include "net/stream_end.h"

/* Idle connections are closed after this time. */
#define IDLE_MAX_MS 30000
/*
 * A request is not written to a connection that took longer to open. Its token
 * and its claim were checked before, and this VM may have been frozen since.
 */
#define CONNECT_MAX_MS 500
/* Bounds the idle connections to one target. */
#define IDLE_CONNS_MAX 32

upstream_t *
upstream_create(uv_loop_t *loop)
{
	upstream_t *upstream = calloc(1, sizeof(*upstream));

	if (upstream == NULL)
		return (NULL);
	upstream->loop = loop;
	upstream->budget.limit_bytes = RESPONSE_BUDGET_DEFAULT_BYTES;
	return (upstream);
}

void
upstream_set_response_limit(upstream_t *upstream, size_t limit_bytes)
{
	upstream->budget.limit_bytes = limit_bytes;
}

response_budget_t *
upstream_get_budget(upstream_t *upstream)
{
	return (&upstream->budget);
}

buffer_t
upstream_response_take_body(const upstream_response_t *response)
{
	buffer_t body = *response->owned_body;

	*response->owned_body = (buffer_t){ 0 };
	buffer_trim(&body);
	return (body);
}

/* What the target showed by closing connections is forgotten with its last one.
 */
static void
upstream_release_target(upstream_t *upstream, upstream_target_t *target)
{
	if (target->connections > 0)
		return;
	target->closed = (upstream_idle_t){ .closed_at_ms = 0 };
	target->empty_ms = clock_now_ms();
	if (upstream->is_ending)
		upstream_target_remove_old(&upstream->targets, INT64_MAX);
}

static void
conn_on_closed(uv_handle_t *handle)
{
	upstream_conn_t *conn = handle->data;

	conn->upstream->connections--;
	conn->target->connections--;
	upstream_release_target(conn->upstream, conn->target);
	buffer_release(&conn->out);
	response_release(&conn->response);
	upstream_headers_release(&conn->headers);
	free(conn);
}

static void
conn_enter_active(upstream_conn_t *conn)
{
	conn->is_active = 1;
	conn->target->busy++;
	DL_APPEND(conn->upstream->active, conn);
}

static void
conn_leave_active(upstream_conn_t *conn)
{
	if (!conn->is_active)
		return;
	DL_DELETE(conn->upstream->active, conn);
	conn->is_active = 0;
	conn->target->busy--;
	response_budget_unreserve(&conn->upstream->budget, &conn->reservation);
}

void
upstream_conn_close(upstream_conn_t *conn, upstream_origin_t cause)
{
	if (conn->is_closing)
		return;
	conn->is_closing = 1;
	if (!conn->is_replaced)
		upstream_ends_add(&conn->target->ends, cause, clock_now_ms());
	upstream_conn_leave_idle(conn);
	conn_leave_active(conn);
	uv_close((uv_handle_t *)&conn->tcp, conn_on_closed);
}

static void
conn_set_idle(upstream_conn_t *conn)
{
	if (conn->target->idle_count >= IDLE_CONNS_MAX) {
		upstream_conn_close(conn, UPSTREAM_ORIGIN_DROPPED);
		return;
	}
	if (conn->response.body.size > UPSTREAM_KEPT_BODY_BYTES)
		response_release(&conn->response);
	if (conn->out.size > UPSTREAM_KEPT_BODY_BYTES)
		buffer_release(&conn->out);
	conn->is_idle = 1;
	conn->idle_since_ms = clock_now_ms();
	DL_PREPEND(conn->target->idle, conn);
	conn->target->idle_count++;
}

/* Reports the end of the call of a connection and frees the call. */
static void
conn_finish_call(upstream_conn_t *conn, upstream_result_t result,
    const upstream_response_t *response)
{
	upstream_call_t *call = conn->call;

	if (call == NULL)
		return;
	conn->call = NULL;
	conn_leave_active(conn);
	call->done(call->ctx, result, response);
	free(call);
}

static void
conn_fail(upstream_conn_t *conn, upstream_result_t result)
{
	upstream_origin_t cause = conn->call != NULL
	    ? UPSTREAM_ORIGIN_FAILED
	    : UPSTREAM_ORIGIN_CLOSED_IDLE;

	conn_finish_call(conn, result, NULL);
	upstream_conn_close(conn, cause);
}

static void
conn_reset_response(upstream_conn_t *conn)
{
	response_reset(&conn->response, conn->call->is_head,
	    UPSTREAM_BODY_MAX_BYTES, upstream_headers_add, &conn->headers);
	response_budget_unreserve(&conn->upstream->budget, &conn->reservation);
	upstream_headers_reset(&conn->headers);
}

static upstream_relation_t
conn_relate(const upstream_conn_t *conn, const upstream_response_t *response)
{
	const upstream_call_t *call = conn->call;

	return (call->relate != NULL ? call->relate(call->ctx, response)
				     : UPSTREAM_OWN);
}

static void conn_take(upstream_conn_t *conn, char *bytes, size_t len);

/*
 * @param bytes  what follows the response
 */
static void
conn_end_response(upstream_conn_t *conn, char *bytes, size_t rest)
{
	upstream_response_t response = {
		.status = conn->response.status,
		.headers = conn->headers.list,
		.header_count = conn->headers.count,
		.body = conn->response.body.bytes,
		.body_len = conn->response.body.len,
		.content_length = conn->response.length,
		.is_reused = conn->requests > 1,
		.owned_body = &conn->response.body,
	};
	upstream_relation_t relation = conn_relate(conn, &response);
	int is_kept = conn->response.keeps_alive && !conn->response.until_close;
	int reuse = relation == UPSTREAM_OWN && is_kept && !conn->is_writing &&
	    rest == 0;

	if (relation == UPSTREAM_FOREIGN) {
		conn_reset_response(conn);
		if (rest > 0)
			conn_take(conn, bytes, rest);
		return;
	}
	if ((rest > 0 && !conn->call->is_lenient &&
		!test_hooks_is_off("response_check")) ||
	    conn->headers.is_overflowed) {
		conn_fail(conn, UPSTREAM_MALFORMED);
		return;
	}
	conn_finish_call(conn, UPSTREAM_COMPLETE, &response);
	if (conn->is_closing)
		return;
	if (reuse)
		conn_set_idle(conn);
	else
		upstream_conn_close(conn,
		    is_kept ? UPSTREAM_ORIGIN_DROPPED
			    : UPSTREAM_ORIGIN_CLOSED_LAST);
}

/*
 * Reserves memory for the whole of a response once it is large.
 *
 * @return 0 if there is none now
 */
static int
conn_reserve(upstream_conn_t *conn)
{
	const response_t *response = &conn->response;
	int is_unknown = response->is_chunked || response->until_close;

	if (response->body.len <= RESPONSE_BUDGET_SMALL_BYTES ||
	    conn->reservation.bytes > 0)
		return (1);
	return (
	    response_budget_reserve(&conn->upstream->budget, &conn->reservation,
		is_unknown ? UPSTREAM_BODY_MAX_BYTES : (size_t)response->length,
		is_unknown));
}

/* Reads no more of a large response until there is memory for it. */
static void
conn_pause_if_due(upstream_conn_t *conn)
{
	if (conn_reserve(conn))
		return;
	conn->is_paused = 1;
	uv_read_stop((uv_stream_t *)&conn->tcp);
}

static void
conn_take(upstream_conn_t *conn, char *bytes, size_t len)
{
	size_t rest;
	int rc = response_take(&conn->response, bytes, len, &rest);

	if (rc < 0)
		conn_fail(conn, UPSTREAM_MALFORMED);
	else if (conn->response.body_total > UPSTREAM_BODY_MAX_BYTES ||
	    conn->response.left > UPSTREAM_BODY_MAX_BYTES)
		conn_fail(conn, UPSTREAM_OVERSIZED);
	else if (rc == 1)
		conn_end_response(conn, bytes + len - rest, rest);
	else
		conn_pause_if_due(conn);
}

/*
 * The connection ended. A response without length or chunks ends like this
 * too, but then nothing tells a whole response from a part of one.
 *
 * @param is_reset  the connection ended with an error
 */
static void
conn_on_end(upstream_conn_t *conn, int is_reset)
{
	const response_t *response = &conn->response;

	if (conn->call != NULL && !is_reset && conn->call->is_lenient &&
	    response_is_complete_at_close(response))
		conn_end_response(conn, NULL, 0);
	else if (conn->call != NULL && response->has_head &&
	    test_hooks_is_off("response_check"))
		conn_end_response(conn, NULL, 0);
	else if (conn->call != NULL &&
	    (response->has_head || response->head_len > 0))
		conn_fail(conn, UPSTREAM_TRUNCATED);
	else {
		upstream_conn_record_close(conn);
		conn_fail(conn, UPSTREAM_BROKEN);
	}
}

static void
conn_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	upstream_conn_t *conn = handle->data;

	*buf = uv_buf_init(
	    conn->upstream->read_buffer, UPSTREAM_READ_BUFFER_BYTES);
}

static void
conn_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	upstream_conn_t *conn = stream->data;

	if (conn->is_closing || count == 0)
		return;
	if (count < 0)
		conn_on_end(conn, !stream_end_is_orderly(&conn->tcp, count));
	else if (conn->call == NULL)
		/* Bytes that nobody asked for. */
		upstream_conn_close(conn, UPSTREAM_ORIGIN_DROPPED);
	else {
		conn->call->received_ms = clock_now_ms();
		conn_take(conn, buf->base, (size_t)count);
	}
}

static void
conn_on_written(uv_write_t *req, int status)
{
	upstream_conn_t *conn = req->data;

	conn->is_writing = 0;
	if (status != 0 && !conn->is_closing)
		conn_on_end(conn, 1);
}

/* Removes bytes from the front of two buffers. */
static void
skip_bytes(uv_buf_t bufs[2], size_t count)
{
	size_t first = count < bufs[0].len ? count : bufs[0].len;

	bufs[0].base += first;
	bufs[0].len -= first;
	if (count == first)
		return;
	bufs[1].base += count - first;
	bufs[1].len -= count - first;
}

static void
conn_send(upstream_conn_t *conn)
{
	uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
	uv_buf_t bufs[] = {
		uv_buf_init((char *)conn->out.bytes, (unsigned)conn->out.len),
		uv_buf_init((char *)conn->body, (unsigned)conn->body_len),
	};
	int count;

	conn_reset_response(conn);
	conn->call->is_sent = 1;
	count = uv_try_write(stream, bufs, 2);
	if (count > 0)
		skip_bytes(bufs, (size_t)count);
	if (bufs[0].len + bufs[1].len == 0)
		return;
	conn->is_writing = 1;
	/* A failed write is reported by the callback or by the read side. */
	if (uv_write(&conn->write, stream, bufs, 2, conn_on_written) != 0)
		conn->is_writing = 0;
}

static void
conn_on_connect(uv_connect_t *req, int status)
{
	upstream_conn_t *conn = req->data;

	if (conn->is_closing)
		return;
	if (status != 0 || clock_now_ms() - conn->opened_ms > CONNECT_MAX_MS) {
		conn_fail(conn, UPSTREAM_REFUSED);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, conn_alloc, conn_on_read);
	conn_send(conn);
}

upstream_conn_t *
upstream_conn_open(upstream_t *upstream, const struct sockaddr_in *to)
{
	upstream_target_t *target = upstream_target_get(&upstream->targets, to);
	upstream_conn_t *conn;

	if (target == NULL)
		return (NULL);
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL) {
		upstream_release_target(upstream, target);
		return (NULL);
	}
	conn->upstream = upstream;
	conn->target = target;
	conn->opened_ms = clock_now_ms();
	conn->tcp.data = conn;
	conn->connect.data = conn;
	conn->write.data = conn;
	upstream->connections++;
	target->connections++;
	target->is_known = 1;
	uv_tcp_init(upstream->loop, &conn->tcp);
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)to, conn_on_connect) != 0) {
		upstream_conn_close(conn, UPSTREAM_ORIGIN_FAILED);
		return (NULL);
	}
	return (conn);
}

int
upstream_call_start(upstream_t *upstream, const upstream_request_t *request,
    upstream_call_t **out)
{
	upstream_call_t *call = calloc(1, sizeof(*call));
	upstream_conn_t *conn;

	if (call == NULL)
		return (TM_ENOMEM);
	conn = upstream_conn_get(upstream, request, &call->origin);
	if (conn == NULL) {
		free(call);
		return (TM_ENOMEM);
	}
	conn->out.len = 0;
	if (buffer_append(&conn->out, request->bytes, request->len) != TM_OK) {
		upstream_conn_close(conn, UPSTREAM_ORIGIN_DROPPED);
		free(call);
		return (TM_ENOMEM);
	}
	conn->body = request->body;
	conn->body_len = request->body_len;
	call->conn = conn;
	call->done = request->done;
	call->ctx = request->ctx;
	call->is_head = request->is_head;
	call->is_lenient = request->is_lenient;
	call->relate = request->relate;
	conn->carried[conn->requests++ % UPSTREAM_CARRIED_IDS] =
	    request->id_hash;
	conn->idle_close_ms =
	    request->idle_close_ms > 0 ? request->idle_close_ms : IDLE_MAX_MS;
	conn->call = call;
	conn_enter_active(conn);
	*out = call;
	if (call->origin == UPSTREAM_ORIGIN_REUSED)
		conn_send(conn);
	return (TM_OK);
}

int
upstream_call_is_sent(const upstream_call_t *call)
{
	return (call->is_sent);
}

upstream_origin_t
upstream_call_get_origin(const upstream_call_t *call)
{
	return (call->origin);
}

int64_t
upstream_call_get_progress_ms(upstream_call_t *call, int64_t now_ms)
{
	int64_t received_ms =
	    call->conn->is_paused ? now_ms : call->received_ms;
	int64_t read_ms =
	    upstream_unread_update(&call->unread, &call->conn->tcp, now_ms);

	return (read_ms > received_ms ? read_ms : received_ms);
}

void
upstream_call_cancel(upstream_call_t *call)
{
	upstream_conn_t *conn = call->conn;

	conn->call = NULL;
	free(call);
	upstream_conn_close(conn, UPSTREAM_ORIGIN_CANCELLED);
}

/* Reads on what was paused, the earliest call first, as far as there is memory.
 */
static void
upstream_resume(upstream_t *upstream)
{
	upstream_conn_t *conn;

	DL_FOREACH(upstream->active, conn) {
		if (!conn->is_paused || !conn_reserve(conn))
			continue;
		conn->is_paused = 0;
		uv_read_start(
		    (uv_stream_t *)&conn->tcp, conn_alloc, conn_on_read);
	}
}

void
upstream_tick(upstream_t *upstream, int64_t now_ms)
{
	upstream_target_t *target;
	upstream_target_t *next_target;
	upstream_conn_t *conn;
	upstream_conn_t *next;

	upstream_resume(upstream);
	HASH_ITER(hh, upstream->targets, target, next_target) {
		DL_FOREACH_SAFE(target->idle, conn, next) {
			if (now_ms - conn->idle_since_ms > conn->idle_close_ms)
				upstream_conn_close(conn, UPSTREAM_ORIGIN_IDLE);
		}
	}
	upstream_target_remove_old(&upstream->targets, now_ms);
}

void
upstream_close_idle(upstream_t *upstream)
{
	upstream->is_ending = 1;
	upstream_tick(upstream, INT64_MAX);
}

uint32_t
upstream_get_connections(
    const upstream_t *upstream, const struct sockaddr_in *to)
{
	const upstream_target_t *target =
	    upstream_target_find(upstream->targets, to);

	return (target != NULL ? target->connections : 0);
}

uint32_t
upstream_get_total(const upstream_t *upstream)
{
	return (upstream->connections);
}
