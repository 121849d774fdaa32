/**
 * @file
 * Requests to targets over HTTP/1.1 connections that are reused. A response
 * is reported only when it is complete; a connection is reused only after a
 * complete response with nothing after it. How strict that is, and which idle
 * connections may be used, is up to the caller.
 */
#ifndef TM_HTTP_UPSTREAM_H
#define TM_HTTP_UPSTREAM_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "http/response.h"
#include "http/response_budget.h"
#include "http/upstream_headers.h"
#include "http/upstream_origin.h"

/** Longest response body; all together are bounded by a response_budget_t. */
#define UPSTREAM_BODY_MAX_BYTES (8u * 1024 * 1024)
/** An idle connection keeps no larger buffer for its next response. */
#define UPSTREAM_KEPT_BODY_BYTES 65536

typedef struct upstream upstream_t;
typedef struct upstream_call upstream_call_t;

/** How a call ended. */
typedef enum upstream_result {
	UPSTREAM_COMPLETE, /**< the whole response was read */
	UPSTREAM_REFUSED, /**< no connection in time; no byte was sent */
	UPSTREAM_BROKEN, /**< ended without a byte of a response */
	UPSTREAM_TRUNCATED, /**< ended within the response */
	UPSTREAM_MALFORMED, /**< not HTTP, or bytes after the response */
	UPSTREAM_OVERSIZED /**< longer than UPSTREAM_BODY_MAX_BYTES */
} upstream_result_t;

/** A complete response; valid during the callback only. */
typedef struct upstream_response {
	int status;
	const upstream_header_t *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_len;
	uint64_t content_length; /**< header of a response to HEAD */
	int is_reused; /**< the connection has carried requests before */
	buffer_t *owned_body; /**< of body; see upstream_response_take_body() */
} upstream_response_t;

/**
 * Reports the end of a call, once, never from within upstream_call_start().
 *
 * @param response  NULL unless the result is UPSTREAM_COMPLETE
 */
typedef void (*upstream_cb)(
    void *ctx, upstream_result_t result, const upstream_response_t *response);

/** How a response is related to the request that waits for one. */
typedef enum upstream_relation {
	UPSTREAM_OWN, /**< it is the response to that request */
	UPSTREAM_OWN_LAST, /**< so, but the connection is not to be reused */
	UPSTREAM_FOREIGN /**< it belongs to an earlier request; skipped */
} upstream_relation_t;

/** Relates a complete response to the request that waits. */
typedef upstream_relation_t (*upstream_relate_cb)(
    void *ctx, const upstream_response_t *response);

/** What to send. */
typedef struct upstream_request {
	struct sockaddr_in to;
	const void *bytes; /**< head, or head and body; copied */
	size_t len;
	/** Body that follows; not copied: it must stay until the call ends. */
	const void *body;
	size_t body_len;
	int is_head; /**< the method is HEAD */
	int is_fresh; /**< do not use a connection that was idle for long */
	/** Take no connection idle for longer; 0: decided by is_fresh. */
	int64_t idle_max_ms;
	/** Close the connection once it was idle for longer afterwards; 0: for
	 * longer than the default. */
	int64_t idle_close_ms;
	/**
	 * Accept a response without a length that ends with its connection,
	 * and one that is followed by further bytes.
	 */
	int is_lenient;
	upstream_relate_cb relate; /**< NULL: each response is its own */
	/** Hash of the request's id: a connection that carried the same id
	 * lately is not used, as its responses could not be told apart. 0:
	 * none. */
	uint64_t id_hash;
	int is_new; /**< use no idle connection */
	upstream_cb done;
	void *ctx;
} upstream_request_t;

/** Creates the pool of connections. @return NULL if memory is exhausted */
upstream_t *upstream_create(uv_loop_t *loop);

/** Bounds the bytes of all responses that are read or written together. */
void upstream_set_response_limit(upstream_t *upstream, size_t limit_bytes);

/** @return the budget of all responses; lives as long as the pool */
response_budget_t *upstream_get_budget(upstream_t *upstream);

/**
 * Takes over the memory of the body within the callback, so that it is not
 * copied. The response has no body any more.
 *
 * @return the bytes, to be released by the caller
 */
buffer_t upstream_response_take_body(const upstream_response_t *response);

/**
 * Starts a call.
 *
 * @param out  the call, valid until its callback or its cancellation
 * @return     0 or TM_ENOMEM
 */
int upstream_call_start(upstream_t *upstream, const upstream_request_t *request,
    upstream_call_t **out);

/** @return 1 once a byte of the request may have left this process */
int upstream_call_is_sent(const upstream_call_t *call);

/** @return where the connection of a call comes from */
upstream_origin_t upstream_call_get_origin(const upstream_call_t *call);

/** @return last time at which the target read some of the request, as seen by
 * calls of this function, or bytes of the response came, now while this process
 * does not read them for want of memory; 0: none */
int64_t upstream_call_get_progress_ms(upstream_call_t *call, int64_t now_ms);

/** Ends a call without a callback and closes its connection. */
void upstream_call_cancel(upstream_call_t *call);

/** Closes connections that were idle for too long. */
void upstream_tick(upstream_t *upstream, int64_t now_ms);

/** @return open connections to a target, idle ones included */
uint32_t upstream_get_connections(
    const upstream_t *upstream, const struct sockaddr_in *to);

/** @return open connections to all targets */
uint32_t upstream_get_total(const upstream_t *upstream);

/** Closes all idle connections and forgets what is known of targets: the pool
 * ends. */
void upstream_close_idle(upstream_t *upstream);

#endif
