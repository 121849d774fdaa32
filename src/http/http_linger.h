/**
 * @file
 * Closes the connections of a listener without losing what was sent on them. A
 * close while bytes are unread, such as a further request that the caller has
 * sent ahead, resets the connection, and the kernel drops what it has not
 * delivered. Here the sending side ends first; what still arrives is read and
 * dropped until the caller closes as well, or for HTTP_LINGER_MAX_MS.
 *
 * A connection that is closed as idle has nothing to lose and does not wait: a
 * request that crosses its close must not be read, as its caller may repeat only
 * what was not read.
 */
#ifndef TM_HTTP_HTTP_LINGER_H
#define TM_HTTP_HTTP_LINGER_H

#include <stdint.h>

#include <uthash.h>
#include <uv.h>

/** Longest time for which a closed connection waits for its caller. */
#define HTTP_LINGER_MAX_MS 5000

typedef struct http_linger_conn http_linger_conn_t;

/** Bytes that a caller sent on a connection that its listener had closed. */
typedef struct http_linger_drop {
	size_t bytes; /**< dropped with the first read */
	size_t unread_bytes; /**< of these, what had arrived before the close */
	int64_t closed_ms; /**< time since the close */
} http_linger_drop_t;

/** Called once for a connection, with the first bytes that are dropped there. */
typedef void (*http_linger_drop_cb)(
    void *ctx, const http_linger_conn_t *conn, const http_linger_drop_t *drop);

/** The closed connections of a listener that wait for their callers. */
typedef struct http_linger {
	uv_timer_t timer;
	http_linger_drop_cb dropped; /**< or NULL */
	void *ctx; /**< of the callback */
	http_linger_conn_t *waiting; /**< the oldest first */
	uint32_t count;
} http_linger_t;

/** A connection; part of the memory of its owner, who frees it in the callback of
 * uv_close(). */
struct http_linger_conn {
	http_linger_t *linger;
	uv_stream_t *stream;
	uv_close_cb closed;
	uv_shutdown_t shutdown;
	int64_t end_ms; /**< when the wait ends */
	size_t unread_bytes; /**< when it was closed */
	int is_idle; /**< it ends without a wait: no response is on its way */
	int is_waiting;
	int is_reported; /**< its first dropped bytes */
	UT_hash_handle hh; /**< by stream */
	http_linger_conn_t *prev;
	http_linger_conn_t *next;
};

/** Initializes the list of a listener, which lives as long as its loop. */
void http_linger_init(http_linger_t *linger, uv_loop_t *loop);

/** From now on uv_close() of this stream, also by libh2o, waits for the caller. */
void http_linger_watch(
    http_linger_t *linger, http_linger_conn_t *conn, uv_stream_t *stream);

/** @return 1 if bytes that were sent on the connection have not arrived */
int http_linger_is_undelivered(const http_linger_conn_t *conn);

/** @return 1 if bytes that were sent on a watched connection have not arrived; the
 * end of the process could drop them */
int http_linger_has_undelivered(const http_linger_t *linger);

/** Ends the longest wait, which frees a descriptor. @return 0 if nothing waits */
int http_linger_end_oldest(http_linger_t *linger);

#endif
