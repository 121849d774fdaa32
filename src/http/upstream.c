#include "http/upstream.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/test_hooks.h"
#include "http/upstream_idle.h"
#include "http/upstream_unread.h"
#include "net/stream_end.h"

#define READ_BUFFER_BYTES 65536
/* Idle connections are closed after this time. */
#define IDLE_MAX_MS 30000
/* A target may close a connection at the moment a request is sent on it. A
 * request that may not be repeated does not take that risk on a connection
 * that was idle for longer than this. */
#define IDLE_FRESH_MS 1000
/*
 * A request is not written to a connection that took longer to open. Its token
 * and its claim were checked before, and this VM may have been frozen since.
 */
#define CONNECT_MAX_MS 500
/* Bounds the idle connections to one target. */
#define IDLE_CONNS_MAX 32
/* Requests that a connection remembers by their ids. */
#define CARRIED_IDS 8

typedef struct upstream_conn upstream_conn_t;

typedef struct upstream_target {
	uint64_t key; /* address and port */
	uint32_t connections;
	uint32_t idle_count;
	upstream_conn_t *idle; /* last used first */
	upstream_idle_t closed; /* idle connections that it closed */
	UT_hash_handle hh;
} upstream_target_t;

struct upstream {
	uv_loop_t *loop;
	upstream_target_t *targets;
	uint32_t connections;
	upstream_conn_t *active; /* with a call */
	response_budget_t budget;
	char read_buffer[READ_BUFFER_BYTES];
};

struct upstream_call {
	upstream_conn_t *conn;
	upstream_cb done;
	upstream_relate_cb relate;
	void *ctx;
	int is_head;
	int is_lenient;
	int is_sent;
	int64_t received_ms; /* last bytes of the response; 0: none */
	upstream_unread_t unread;
};

struct upstream_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	upstream_t *upstream;
	upstream_target_t *target;
	upstream_call_t *call;
	int is_idle;
	int is_closing;
	int is_writing;
	int is_active;
	int is_paused; /* not read: there is no memory for the rest */
	response_reservation_t reservation; /* for a large response */
	int64_t idle_since_ms;
	int64_t idle_ms; /* how long it was idle before its call */
	int64_t idle_close_ms; /* closed once it is idle for longer */
	int64_t opened_ms; /* when the connection was asked for */
	uint64_t carried[CARRIED_IDS]; /* id hashes of the last requests */
	uint32_t requests; /* that it has carried */
	buffer_t out;
	const char *body; /* sent after out; of the caller */
	size_t body_len;
	response_t response;
	upstream_headers_t headers;
	upstream_conn_t *prev;
	upstream_conn_t *next;
};

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

static uint64_t
address_get_key(const struct sockaddr_in *addr)
{
	return ((uint64_t)addr->sin_addr.s_addr << 16 | addr->sin_port);
}

static upstream_target_t *
upstream_find_target(const upstream_t *upstream, const struct sockaddr_in *addr)
{
	uint64_t key = address_get_key(addr);
	upstream_target_t *target;

	HASH_FIND(hh, upstream->targets, &key, sizeof(key), target);
	return (target);
}

static upstream_target_t *
upstream_get_target(upstream_t *upstream, const struct sockaddr_in *addr)
{
	upstream_target_t *target = upstream_find_target(upstream, addr);

	if (target != NULL)
		return (target);
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return (NULL);
	target->key = address_get_key(addr);
	HASH_ADD(hh, upstream->targets, key, sizeof(target->key), target);
	return (target);
}

static void
upstream_release_target(upstream_t *upstream, upstream_target_t *target)
{
	if (target->connections > 0)
		return;
	HASH_DEL(upstream->targets, target);
	free(target);
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
conn_leave_idle(upstream_conn_t *conn)
{
	if (!conn->is_idle)
		return;
	DL_DELETE(conn->target->idle, conn);
	conn->target->idle_count--;
	conn->is_idle = 0;
}

static void
conn_enter_active(upstream_conn_t *conn)
{
	conn->is_active = 1;
	DL_APPEND(conn->upstream->active, conn);
}

static void
conn_leave_active(upstream_conn_t *conn)
{
	if (!conn->is_active)
		return;
	DL_DELETE(conn->upstream->active, conn);
	conn->is_active = 0;
	response_budget_unreserve(&conn->upstream->budget, &conn->reservation);
}

static void
conn_close(upstream_conn_t *conn)
{
	if (conn->is_closing)
		return;
	conn->is_closing = 1;
	conn_leave_idle(conn);
	conn_leave_active(conn);
	uv_close((uv_handle_t *)&conn->tcp, conn_on_closed);
}

static void
conn_set_idle(upstream_conn_t *conn)
{
	if (conn->target->idle_count >= IDLE_CONNS_MAX) {
		conn_close(conn);
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
	conn_finish_call(conn, result, NULL);
	conn_close(conn);
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
	int reuse = relation == UPSTREAM_OWN && conn->response.keeps_alive &&
	    !conn->is_writing && !conn->response.until_close && rest == 0;

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
		conn_close(conn);
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

/* The target closed a connection that is idle, or was until its call. */
static void
conn_record_close(const upstream_conn_t *conn)
{
	int64_t now_ms = clock_now_ms();
	int64_t idle_ms =
	    conn->is_idle ? now_ms - conn->idle_since_ms : conn->idle_ms;

	if (conn->is_idle || conn->requests > 1)
		upstream_idle_record_close(
		    &conn->target->closed, idle_ms, now_ms);
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
		conn_record_close(conn);
		conn_fail(conn, UPSTREAM_BROKEN);
	}
}

static void
conn_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	upstream_conn_t *conn = handle->data;

	*buf = uv_buf_init(conn->upstream->read_buffer, READ_BUFFER_BYTES);
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
		conn_close(conn); /* bytes that nobody asked for */
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

static upstream_conn_t *
conn_open(upstream_t *upstream, const struct sockaddr_in *to)
{
	upstream_target_t *target = upstream_get_target(upstream, to);
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
	uv_tcp_init(upstream->loop, &conn->tcp);
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)to, conn_on_connect) != 0) {
		conn_close(conn);
		return (NULL);
	}
	return (conn);
}

static int64_t
request_get_idle_max_ms(const upstream_request_t *request)
{
	if (request->idle_max_ms > 0)
		return (request->idle_max_ms);
	return (request->is_fresh ? IDLE_FRESH_MS : INT64_MAX);
}

static int
conn_has_carried(const upstream_conn_t *conn, uint64_t id_hash)
{
	size_t i;

	for (i = 0; id_hash != 0 && i < CARRIED_IDS; i++) {
		if (conn->carried[i] == id_hash)
			return (1);
	}
	return (0);
}

/* Takes an idle connection on which nothing has arrived. */
static upstream_conn_t *
upstream_take_idle(upstream_t *upstream, const upstream_request_t *request)
{
	upstream_target_t *target =
	    upstream_find_target(upstream, &request->to);
	upstream_conn_t *conn;
	upstream_conn_t *next;
	int64_t now_ms;
	int64_t max_ms;

	if (target == NULL || request->is_new)
		return (NULL);
	now_ms = clock_now_ms();
	max_ms = upstream_idle_get_max_ms(
	    &target->closed, request_get_idle_max_ms(request), now_ms);
	DL_FOREACH_SAFE(target->idle, conn, next) {
		conn->idle_ms = now_ms - conn->idle_since_ms;
		if (conn->idle_ms > max_ms)
			return (NULL);
		if (conn_has_carried(conn, request->id_hash))
			continue;
		if (stream_end_is_quiet(&conn->tcp)) {
			conn_leave_idle(conn);
			return (conn);
		}
		conn_record_close(conn);
		conn_close(conn);
	}
	return (NULL);
}

int
upstream_call_start(upstream_t *upstream, const upstream_request_t *request,
    upstream_call_t **out)
{
	upstream_conn_t *conn = upstream_take_idle(upstream, request);
	int is_reused = conn != NULL;
	upstream_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return (TM_ENOMEM);
	if (conn == NULL)
		conn = conn_open(upstream, &request->to);
	if (conn == NULL) {
		free(call);
		return (TM_ENOMEM);
	}
	conn->out.len = 0;
	if (buffer_append(&conn->out, request->bytes, request->len) != TM_OK) {
		conn_close(conn);
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
	conn->carried[conn->requests++ % CARRIED_IDS] = request->id_hash;
	conn->idle_close_ms =
	    request->idle_close_ms > 0 ? request->idle_close_ms : IDLE_MAX_MS;
	conn->call = call;
	conn_enter_active(conn);
	*out = call;
	if (is_reused)
		conn_send(conn);
	return (TM_OK);
}

int
upstream_call_is_sent(const upstream_call_t *call)
{
	return (call->is_sent);
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
	conn_close(conn);
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
				conn_close(conn);
		}
	}
}

void
upstream_close_idle(upstream_t *upstream)
{
	upstream_tick(upstream, INT64_MAX);
}

uint32_t
upstream_get_connections(
    const upstream_t *upstream, const struct sockaddr_in *to)
{
	const upstream_target_t *target = upstream_find_target(upstream, to);

	return (target != NULL ? target->connections : 0);
}

uint32_t
upstream_get_total(const upstream_t *upstream)
{
	return (upstream->connections);
}
