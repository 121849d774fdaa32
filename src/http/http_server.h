/**
 * @file
 * HTTP/1.1 listener on h2o: accepts connections up to a cap and hands each
 * request to one handler.
 */
#ifndef TM_HTTP_HTTP_SERVER_H
#define TM_HTTP_HTTP_SERVER_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include <h2o.h>

#include "base/buffer.h"
#include "http/http_intake.h"
#include "http/http_tls.h"
#include "http/response_budget.h"

typedef struct http_server http_server_t;

/** What a caller sent on a connection that the listener had closed; it gets no
 * answer. */
typedef struct http_late_request {
	size_t bytes; /**< of the first read */
	size_t unread_bytes; /**< of these, what had arrived before the close */
	int64_t closed_ms; /**< time since the close */
	int64_t idle_ms; /**< from the last response, or accept, to the close */
} http_late_request_t;

/** Handles a request; it may answer later. */
typedef void (*http_server_cb)(void *ctx, h2o_req_t *req);

/** What a listener needs; the texts live as long as the listener. */
typedef struct http_server_options {
	uv_loop_t *loop;
	struct sockaddr_in addr;
	const char *server_name; /**< value of the Server header */
	uint32_t connections_max; /**< further connections are closed */
	size_t body_max_bytes; /**< larger requests are answered with 413 */
	/** Bound of all large requests together; others are refused with 503.
	 * 0: none. */
	size_t intake_max_bytes;
	int intake_whole_seconds; /**< their Retry-After is rounded up to it */
	uint32_t idle_timeout_ms;
	/** Responses tell callers for how long they may use their connection. */
	int announces_idle;
	/** Header added to the responses that no handler makes; may be NULL */
	const char *error_header;
	const char *error_value;
	const http_tls_files_t *tls; /**< NULL or unset: plain HTTP */
	http_server_cb handle;
	void (*refused)(void *ctx); /**< a connection over the cap; or NULL */
	/** A request over intake_max_bytes was refused; or NULL. */
	void (*intake_refused)(void *ctx);
	/** Bytes came on a connection that was closed; once for each; or NULL. */
	void (*late)(void *ctx, const http_late_request_t *late);
	void *ctx; /**< of the callbacks */
} http_server_options_t;

/**
 * Listens on an address.
 *
 * @return 0, TM_ENOMEM, TM_EFORMAT for bad TLS files, or TM_EIO if the address
 *         cannot be bound
 */
int http_server_create(
    http_server_t **out, const http_server_options_t *options);

/**
 * Reads the TLS files again. New connections use them; open ones go on. After
 * an error everything stays as it is.
 *
 * @return 0; TM_EINVAL if TLS would be switched on or off, which needs a
 *         restart; TM_EFORMAT with the error; TM_ENOMEM
 */
int http_server_reload_tls(http_server_t *server, const http_tls_files_t *files,
    http_tls_error_t *error);

/** Changes the time after which a connection without a request is closed. It applies
 * to a connection from its next response on: its caller relies on the time that was
 * in force at the last one. */
void http_server_set_idle_timeout(http_server_t *server, uint32_t timeout_ms);

/** Stops accepting connections; open ones go on. */
void http_server_stop(http_server_t *server);

/** Lets each connection end after its current response. */
void http_server_drain(http_server_t *server);

/** @return number of open connections */
uint32_t http_server_get_connections(const http_server_t *server);

/**
 * @return number of requests that were handed over and whose response is not
 *         written to its last byte; a connection that ended counts no more
 */
uint32_t http_server_get_active(const http_server_t *server);

/**
 * @return 1 if no request is active or unread, what was sent on open connections has
 *         arrived, and each caller whose connection was closed has closed it, too,
 *         or had HTTP_LINGER_MAX_MS to do so; the end of the process may cut off
 *         responses before
 */
int http_server_is_delivered(const http_server_t *server);

/** @return connections closed because of the cap */
uint64_t http_server_get_refused(const http_server_t *server);

/** Finds a request header. @return its value, or a NULL vector */
h2o_iovec_t http_request_get_header(
    const h2o_req_t *req, const char *lower_name);

/**
 * Finds requests whose end or host two programs may read differently: more
 * than one Host, Content-Length or Transfer-Encoding, a header on two lines,
 * or no Host in HTTP/1.1.
 * To be called when the request is handed over.
 *
 * @return 1 or 0
 */
int http_request_is_ambiguous(const h2o_req_t *req);

/** Adds a response header; name and value are copied. */
void http_request_add_header(h2o_req_t *req, const char *lower_name,
    size_t name_len, const char *value, size_t value_len);

/** @return reason phrase of a status */
const char *http_status_get_reason(int status);

/**
 * Sends a complete response; the body is copied.
 *
 * @param type  value of Content-Type; NULL if the caller added one
 */
void http_request_reply(
    h2o_req_t *req, int status, const char *type, const char *body, size_t len);

/** Ends a response whose head is complete; sends no body for HEAD. */
void http_request_send_body(h2o_req_t *req, const char *body, size_t len);

/**
 * Ends a response whose head is complete with a large body, without a copy of it.
 *
 * @param body    taken over; freed when it is written or the caller is gone
 * @param budget  counts the body until then
 */
void http_request_send_buffer(
    h2o_req_t *req, buffer_t body, response_budget_t *budget);

/** @return 1 if the caller has closed its side of the connection, or reset it,
 * whatever it had sent before */
int http_request_is_abandoned(const h2o_req_t *req);

#endif
