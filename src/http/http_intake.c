#include "http/http_intake.h"

#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include <utlist.h>

#include "base/clock.h"

/* The body tells in words what the status and the time do. */
#define REFUSAL_START                          \
	"HTTP/1.1 503 Service Unavailable\r\n" \
	"Connection: close\r\n"
#define REFUSAL_END                                                           \
	"Content-Type: application/json\r\n"                                  \
	"Content-Length: 143\r\n"                                             \
	"\r\n"                                                                \
	"{\"error\":\"" HTTP_INTAKE_ERROR                                     \
	"\",\"run\":\"no\",\"reason\":\"too many "                            \
	"large requests are sent to this VM\",\"remedy\":\"send the request " \
	"again after Retry-After\"}\n"

/* Start, end, and four of each header. */
#define REFUSAL_BUFFERS_MAX 10

typedef void (*read_start_t)(h2o_socket_t *sock, h2o_socket_cb cb);

static void
count(http_intake_conn_t *conn, size_t bytes)
{
	if (bytes <= HTTP_INTAKE_SMALL_BYTES)
		bytes = 0;
	if (conn->held_bytes == 0 && bytes > 0)
		conn->held_since_ms = clock_now_ms();
	conn->intake->held_bytes += bytes - conn->held_bytes;
	conn->held_bytes = bytes;
}

static void
record_hold(const http_intake_conn_t *conn)
{
	if (conn->held_bytes > 0)
		http_return_record_hold(&conn->intake->returns,
		    clock_now_ms() - conn->held_since_ms);
}

/* h2o_socket_t.on_close.cb; also marks the sockets that are watched. */
static void
on_socket_closed(void *data)
{
	http_intake_conn_t *conn = data;

	count(conn, 0);
	DL_DELETE(conn->intake->conns, conn);
	conn->sock = NULL;
}

static http_intake_conn_t *
get_conn(const h2o_socket_t *sock)
{
	return (
	    sock->on_close.cb == on_socket_closed ? sock->on_close.data : NULL);
}

/* Finds the length of a request whose head has arrived. */
static void
read_length(http_intake_conn_t *conn)
{
	const h2o_buffer_t *input = conn->sock->input;
	const char *end = memmem(input->bytes, input->size, "\r\n\r\n", 4);
	const char *at = input->bytes;
	size_t length = 0;
	size_t name_len = sizeof("content-length:") - 1;

	if (end == NULL)
		return;
	conn->length = (size_t)(end - input->bytes) + 4;
	while (
	    at < end && (at = memchr(at, '\n', (size_t)(end - at))) != NULL) {
		at++;
		if ((size_t)(end - at) <= name_len ||
		    !h2o_lcstris(at, name_len, "content-length:", name_len))
			continue;
		at += name_len;
		while (at < end && *at == ' ')
			at++;
		for (; at < end && *at >= '0' && *at <= '9' &&
		     length < SIZE_MAX / 100;
		     at++)
			length = length * 10 + (size_t)(*at - '0');
		conn->length += length;
		return;
	}
}

static void
on_refusal_sent(h2o_socket_t *sock, const char *err)
{
	http_intake_conn_t *conn = get_conn(sock);

	/* What the caller still sends is read and dropped until it has seen the
	 * response: a close now would reset the connection. http_idle ends it
	 * when the time for a request is over. */
	if (conn != NULL && err == NULL)
		uv_shutdown(&conn->shutdown, conn->stream, NULL);
}

static void
format_retry_after(http_intake_conn_t *conn, int64_t return_ms)
{
	if (conn->intake->is_whole_seconds)
		snprintf(conn->retry_after, sizeof(conn->retry_after), "%lld",
		    (long long)((return_ms + MS_PER_SEC - 1) / MS_PER_SEC));
	else
		snprintf(conn->retry_after, sizeof(conn->retry_after),
		    "%lld.%03lld", (long long)(return_ms / MS_PER_SEC),
		    (long long)(return_ms % MS_PER_SEC));
}

/* @return number of buffers */
static size_t
add_header(h2o_iovec_t *text, const char *name, const char *value)
{
	const char *parts[] = { name, ": ", value, "\r\n" };
	size_t i;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		text[i] = h2o_iovec_init(parts[i], strlen(parts[i]));
	return (i);
}

static void
send_refusal(http_intake_conn_t *conn)
{
	const http_intake_t *intake = conn->intake;
	h2o_iovec_t text[REFUSAL_BUFFERS_MAX];
	size_t used = 0;

	text[used++] = h2o_iovec_init(REFUSAL_START, sizeof(REFUSAL_START) - 1);
	used += add_header(&text[used], "Retry-After", conn->retry_after);
	if (intake->header != NULL)
		used += add_header(
		    &text[used], intake->header, intake->header_value);
	text[used++] = h2o_iovec_init(REFUSAL_END, sizeof(REFUSAL_END) - 1);
	h2o_socket_write(conn->sock, text, used, on_refusal_sent);
}

static void
refuse(http_intake_conn_t *conn)
{
	http_intake_t *intake = conn->intake;
	int64_t return_ms = http_return_take_ms(&intake->returns,
	    clock_now_ms(), conn->held_bytes, intake->limit_bytes);

	format_retry_after(conn, return_ms);
	conn->is_refused = 1;
	count(conn, 0);
	h2o_buffer_consume(&conn->sock->input, conn->sock->input->size);
	send_refusal(conn);
	if (intake->refused != NULL)
		intake->refused(intake->ctx);
}

/* Refuses the largest requests that are still read until the others fit. */
static void
shed(http_intake_t *intake)
{
	http_intake_conn_t *conn;
	http_intake_conn_t *largest;

	while (intake->held_bytes > intake->limit_bytes) {
		largest = NULL;
		DL_FOREACH(intake->conns, conn) {
			if (conn->held_bytes > 0 && !conn->is_running &&
			    (largest == NULL ||
				conn->held_bytes > largest->held_bytes))
				largest = conn;
		}
		/* One alone is bounded by the longest body. */
		if (largest == NULL ||
		    largest->held_bytes == intake->held_bytes)
			return;
		refuse(largest);
	}
}

/*
 * libuv reads on when a read has filled its buffer, and reports 0 bytes if nothing
 * more has arrived. libh2o takes that for an error of a connection over TLS.
 */
static int
is_open(h2o_socket_t *sock, const char *err)
{
	char byte;
	ssize_t n;

	if (err != h2o_socket_error_io)
		return (0);
	n = recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return (n > 0 || (n < 0 && errno == EAGAIN));
}

/* h2o_socket_cb, ahead of that of h2o */
static void
on_read(h2o_socket_t *sock, const char *err)
{
	http_intake_conn_t *conn = get_conn(sock);
	size_t size = sock->input->size;

	if (is_open(sock, err))
		return;
	if (err == NULL && size > 0 && !conn->is_running &&
	    conn->intake->arrived != NULL)
		conn->intake->arrived(conn);
	if (err == NULL && conn->intake->limit_bytes > 0 && !conn->is_refused &&
	    !conn->is_running) {
		if (conn->length == 0)
			read_length(conn);
		count(conn, size > conn->length ? size : conn->length);
		shed(conn->intake);
	}
	if (conn->is_refused && err == NULL)
		h2o_buffer_consume(&sock->input, sock->input->size);
	else
		conn->read(sock, err);
}

void
http_intake_watch(http_intake_t *intake, http_intake_conn_t *conn,
    h2o_socket_t *sock, uv_stream_t *stream)
{
	conn->intake = intake;
	conn->sock = sock;
	conn->stream = stream;
	sock->on_close.cb = on_socket_closed;
	sock->on_close.data = conn;
	DL_APPEND(intake->conns, conn);
}

http_intake_conn_t *
http_intake_find(const h2o_req_t *req)
{
	return (get_conn(req->conn->callbacks->get_socket(req->conn)));
}

http_intake_conn_t *
http_intake_begin(const h2o_req_t *req)
{
	http_intake_conn_t *conn = http_intake_find(req);

	if (conn != NULL)
		conn->is_running = 1;
	return (conn);
}

void
http_intake_end(http_intake_conn_t *conn)
{
	conn->is_running = 0;
	conn->length = 0;
	if (conn->sock == NULL)
		return;
	record_hold(conn);
	count(conn, 0);
}

int
http_intake_close(http_intake_conn_t *conn)
{
	if (conn->sock == NULL || conn->is_running ||
	    !h2o_socket_is_reading(conn->sock))
		return (0);
	/* libh2o takes any text for an error of the connection. */
	conn->read(conn->sock, "timeout");
	return (1);
}

/*
 * Takes the place of the function of libh2o, which calls it through its dynamic
 * symbol, to see what watched connections read. functional/gate_intake fails if a
 * later version of libh2o calls it in another way.
 */
void
h2o_socket_read_start(h2o_socket_t *sock, h2o_socket_cb cb)
{
	static read_start_t next;
	http_intake_conn_t *conn = get_conn(sock);

	if (next == NULL)
		next = (read_start_t)dlsym(RTLD_NEXT, "h2o_socket_read_start");
	if (conn != NULL) {
		conn->read = cb;
		cb = on_read;
	}
	next(sock, cb);
}
