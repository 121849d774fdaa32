/**
 * @file
 * Ends the connections of a listener on which no request comes, or one that does
 * not arrive whole in time. It stands in for the timer of libh2o, which closes a
 * connection although the next request has arrived, counts the time in which a
 * request arrives from the response before it, and applies a shorter timeout to
 * connections whose callers know the longer one.
 *
 * Callers are told to use a connection for a part of the timeout only, so that
 * their requests do not cross its close.
 */
#ifndef TM_HTTP_HTTP_IDLE_H
#define TM_HTTP_HTTP_IDLE_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/** Part of a request whose arrival restarts the time for the rest. */
#define HTTP_IDLE_PROGRESS_BYTES 16384
/** Longest time after a response for which its caller may still receive it. */
#define HTTP_IDLE_DELIVERY_MAX_MS 60000

typedef struct http_idle_conn http_idle_conn_t;

/** The time of a connection is over. */
typedef void (*http_idle_cb)(void *ctx, http_idle_conn_t *conn);

/** The connections of a listener that wait for a request or receive one. */
typedef struct http_idle {
	uv_timer_t timer;
	uint32_t timeout_ms;
	http_idle_conn_t *conns; /**< the one that ends next first */
	http_idle_cb ended;
	void *ctx; /**< of the callback */
} http_idle_t;

/** A connection; all zeros at first, part of the memory of its owner. */
struct http_idle_conn {
	int64_t since_ms; /**< end of the last response, or accept */
	int64_t end_ms;
	int64_t kept_ms; /**< as the caller was told; 0: the timeout */
	size_t counted_bytes; /**< of its request, when the end was set */
	int is_listed;
	int is_receiving; /**< a part of a request has arrived */
	int is_postponed; /**< its time is over, the loop reads once more */
	http_idle_conn_t *prev;
	http_idle_conn_t *next;
};

/** Initializes the list of a listener, which lives as long as its loop. */
void http_idle_init(http_idle_t *idle, uv_loop_t *loop, uint32_t timeout_ms);

/** Changes the timeout for connections that wait or receive from now on. */
void http_idle_set_timeout(http_idle_t *idle, uint32_t timeout_ms);

/**
 * To be called for a response that keeps its connection.
 *
 * @return whole seconds for which the caller may use the connection after it
 */
uint32_t http_idle_announce(const http_idle_t *idle, http_idle_conn_t *conn);

/** The connection waits for its first or next request. */
void http_idle_wait(http_idle_t *idle, http_idle_conn_t *conn);

/**
 * Bytes of a request have arrived. The rest has the timeout to arrive, anew with each
 * HTTP_IDLE_PROGRESS_BYTES: a large body on a narrow link takes longer, while a caller
 * that sends single bytes does not hold the connection.
 *
 * @param bytes  of the request that have arrived so far
 */
void http_idle_receive(http_idle_t *idle, http_idle_conn_t *conn, size_t bytes);

/** The loop reads once more before the connection ends. @return 0 if it has done so */
int http_idle_postpone(http_idle_t *idle, http_idle_conn_t *conn);

/** The connection can't be closed yet, as a response is written there. */
void http_idle_retry(http_idle_t *idle, http_idle_conn_t *conn);

/** The caller still receives the last response.
 * @return 0 if it has had HTTP_IDLE_DELIVERY_MAX_MS for it */
int http_idle_extend(http_idle_t *idle, http_idle_conn_t *conn);

/** A request runs on the connection, or the connection has ended. */
void http_idle_remove(http_idle_t *idle, http_idle_conn_t *conn);

#endif
