/**
 * @file
 * Bounds the memory of the large requests that a listener holds, together. h2o
 * keeps a whole request and hands it over only then, so that this looks at each
 * connection as it reads: a request whose length does not fit, or the largest one
 * that is still read, is refused with 503 before it is read to its end. Callers
 * are told to return one after the other, as there will be room for them. Without
 * a limit, connections are watched as well: libh2o would end one over TLS when a
 * read of it finds no bytes.
 */
#ifndef TM_HTTP_HTTP_INTAKE_H
#define TM_HTTP_HTTP_INTAKE_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include <h2o.h>

#include "http/http_return.h"

/** Requests up to this size are not counted, so that large ones do not stop the
 * others. */
#define HTTP_INTAKE_SMALL_BYTES ((size_t)128 * 1024)

/** The setting "request_buffer_mb", in MB. */
#define HTTP_INTAKE_DEFAULT_MB 64
#define HTTP_INTAKE_MIN_MB     16
#define HTTP_INTAKE_MAX_MB     65536

/** Word for programs in the response to a refused request. */
#define HTTP_INTAKE_ERROR "buffers_full"

/** Size of a value of Retry-After, with the final zero. */
#define HTTP_INTAKE_RETRY_AFTER_BYTES 24

typedef struct http_intake_conn http_intake_conn_t;

/** All zeros: nothing is bounded. */
typedef struct http_intake {
	size_t limit_bytes; /**< of all large requests together; 0: no limit */
	size_t held_bytes;
	http_intake_conn_t *conns;
	http_return_t returns; /**< of refused callers */
	int is_whole_seconds; /**< Retry-After is rounded up to seconds */
	const char *header; /**< added to refusals; NULL: none */
	const char *header_value;
	void (*refused)(void *ctx); /**< a request was refused; may be NULL */
	void *ctx;
	/** Bytes of a request, or of one that is refused, arrived; or NULL. */
	void (*arrived)(http_intake_conn_t *conn);
} http_intake_t;

/** A connection; part of the memory of its owner, who frees it after the
 * connection was closed. */
struct http_intake_conn {
	http_intake_t *intake;
	h2o_socket_t *sock;
	uv_stream_t *stream;
	h2o_socket_cb read; /**< of h2o */
	size_t held_bytes; /**< counted for its request */
	int64_t held_since_ms;
	size_t length; /**< of head and body of the request; 0: not known */
	int is_running; /**< its request was handed over */
	int is_refused;
	char retry_after[HTTP_INTAKE_RETRY_AFTER_BYTES]; /**< of a refusal */
	uv_shutdown_t shutdown;
	http_intake_conn_t *prev;
	http_intake_conn_t *next;
};

/** Watches a connection; to be called before h2o_accept(). */
void http_intake_watch(http_intake_t *intake, http_intake_conn_t *conn,
    h2o_socket_t *sock, uv_stream_t *stream);

/** @return the connection of a request; NULL: not watched */
http_intake_conn_t *http_intake_find(const h2o_req_t *req);

/** The request was handed over. @return its connection; NULL: not watched */
http_intake_conn_t *http_intake_begin(const h2o_req_t *req);

/** The response to that request is written, or its connection ends. */
void http_intake_end(http_intake_conn_t *conn);

/** Has libh2o close a connection on which it waits for a request, or for the rest of
 * one. @return 0 if libh2o does not read there; nothing is done then */
int http_intake_close(http_intake_conn_t *conn);

#endif
