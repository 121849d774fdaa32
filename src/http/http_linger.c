#include "http/http_linger.h"

#include <dlfcn.h>
#include <errno.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utlist.h>

#include "base/clock.h"

/* Bytes that are dropped with one read. */
#define DROP_BYTES 65536

typedef void (*close_t)(uv_handle_t *handle, uv_close_cb closed);

/* The watched connections of all listeners, as uv_close() gets only a handle. */
static http_linger_conn_t *watched;

static http_linger_conn_t *
find_watched(const uv_handle_t *handle)
{
	http_linger_conn_t *conn;

	HASH_FIND_PTR(watched, &handle, conn);
	return (conn);
}

static void
call_next_close(uv_handle_t *handle, uv_close_cb closed)
{
	static close_t next;

	if (next == NULL)
		next = (close_t)dlsym(RTLD_NEXT, "uv_close");
	next(handle, closed);
}

static void
finish(http_linger_conn_t *conn)
{
	if (conn->is_waiting) {
		DL_DELETE(conn->linger->waiting, conn);
		conn->linger->count--;
	}
	HASH_DELETE(hh, watched, conn);
	call_next_close((uv_handle_t *)conn->stream, conn->closed);
}

/* uv_timer_cb; the oldest connection ends first */
static void
on_timer(uv_timer_t *timer)
{
	http_linger_t *linger = timer->data;
	int64_t now_ms = clock_now_ms();

	while (linger->waiting != NULL && linger->waiting->end_ms <= now_ms)
		finish(linger->waiting);
	if (linger->waiting != NULL)
		uv_timer_start(timer, on_timer,
		    (uint64_t)(linger->waiting->end_ms - now_ms), 0);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
	static char dropped[DROP_BYTES];

	(void)handle;
	(void)suggested_size;
	*buf = uv_buf_init(dropped, sizeof(dropped));
}

static void
report_drop(http_linger_conn_t *conn, size_t bytes)
{
	const http_linger_t *linger = conn->linger;
	const http_linger_drop_t drop = {
		.bytes = bytes,
		.unread_bytes = conn->unread_bytes,
		.closed_ms =
		    clock_now_ms() - (conn->end_ms - HTTP_LINGER_MAX_MS),
	};

	conn->is_reported = 1;
	if (linger->dropped != NULL)
		linger->dropped(linger->ctx, conn, &drop);
}

static void
on_read(uv_stream_t *stream, ssize_t read_bytes, const uv_buf_t *buf)
{
	http_linger_conn_t *conn = find_watched((uv_handle_t *)stream);

	(void)buf;
	if (read_bytes < 0)
		finish(conn);
	else if (read_bytes > 0 && !conn->is_reported)
		report_drop(conn, (size_t)read_bytes);
}

/* libuv 1.44 calls it also where the stream is closed before. */
static void
on_shutdown(uv_shutdown_t *shutdown, int status)
{
	(void)shutdown;
	(void)status;
}

/* @return 1 if nothing is unread and the caller sends nothing more */
static int
is_ended_by_caller(const http_linger_conn_t *conn)
{
	uv_os_fd_t fd;
	char byte;
	ssize_t count;

	if (uv_fileno((const uv_handle_t *)conn->stream, &fd) != 0)
		return (1);
	count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return (count == 0 ||
	    (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK));
}

static size_t
get_unread_bytes(const http_linger_conn_t *conn)
{
	uv_os_fd_t fd;
	int unread_bytes = 0;

	if (uv_fileno((const uv_handle_t *)conn->stream, &fd) != 0 ||
	    ioctl(fd, FIONREAD, &unread_bytes) != 0)
		return (0);
	return ((size_t)unread_bytes);
}

/* @return 0 if the connection cannot wait */
static int
wait_for_caller(http_linger_conn_t *conn)
{
	http_linger_t *linger = conn->linger;

	/* The bytes of an unfinished write are freed with their request. */
	if (uv_stream_get_write_queue_size(conn->stream) > 0)
		return (0);
	uv_read_stop(conn->stream);
	if (uv_read_start(conn->stream, on_alloc, on_read) != 0)
		return (0);
	/* Fails where the sending side has ended before. */
	uv_shutdown(&conn->shutdown, conn->stream, on_shutdown);
	conn->end_ms = clock_now_ms() + HTTP_LINGER_MAX_MS;
	conn->unread_bytes = get_unread_bytes(conn);
	conn->is_waiting = 1;
	if (linger->waiting == NULL)
		uv_timer_start(&linger->timer, on_timer, HTTP_LINGER_MAX_MS, 0);
	DL_APPEND(linger->waiting, conn);
	linger->count++;
	return (1);
}

void
http_linger_init(http_linger_t *linger, uv_loop_t *loop)
{
	linger->waiting = NULL;
	linger->count = 0;
	uv_timer_init(loop, &linger->timer);
	linger->timer.data = linger;
}

void
http_linger_watch(
    http_linger_t *linger, http_linger_conn_t *conn, uv_stream_t *stream)
{
	conn->linger = linger;
	conn->stream = stream;
	conn->is_waiting = 0;
	HASH_ADD_PTR(watched, stream, conn);
}

int
http_linger_is_undelivered(const http_linger_conn_t *conn)
{
	uv_os_fd_t fd;
	int unacknowledged_bytes = 0;

	return (uv_fileno((const uv_handle_t *)conn->stream, &fd) == 0 &&
	    ioctl(fd, SIOCOUTQ, &unacknowledged_bytes) == 0 &&
	    unacknowledged_bytes > 0);
}

int
http_linger_has_undelivered(const http_linger_t *linger)
{
	const http_linger_conn_t *conn;

	for (conn = watched; conn != NULL; conn = conn->hh.next) {
		if (conn->linger == linger && http_linger_is_undelivered(conn))
			return (1);
	}
	return (0);
}

int
http_linger_end_oldest(http_linger_t *linger)
{
	if (linger->waiting == NULL)
		return (0);
	finish(linger->waiting);
	return (1);
}

/*
 * Takes the place of the function of libuv, which libh2o calls through its dynamic
 * symbol once it has written the last bytes of a connection, also those of TLS.
 * HttpLinger.* fail if a later version closes in another way.
 */
void
uv_close(uv_handle_t *handle, uv_close_cb closed)
{
	http_linger_conn_t *conn = find_watched(handle);

	if (conn == NULL) {
		call_next_close(handle, closed);
		return;
	}
	conn->closed = closed;
	if (conn->is_idle || is_ended_by_caller(conn) || !wait_for_caller(conn))
		finish(conn);
}
