/**
 * @file
 * Connections of the pool. Used by upstream.c and upstream_conn.c only.
 */
#ifndef TM_HTTP_UPSTREAM_CONN_H
#define TM_HTTP_UPSTREAM_CONN_H

#include "http/upstream.h"
#include "http/upstream_target.h"
#include "http/upstream_unread.h"

#define UPSTREAM_READ_BUFFER_BYTES 65536
/** Requests that a connection remembers by their ids. */
#define UPSTREAM_CARRIED_IDS 8

typedef struct upstream_conn upstream_conn_t;

struct upstream {
	uv_loop_t *loop;
	upstream_target_t *targets;
	uint32_t connections;
	int is_ending; /* no history of targets is kept */
	upstream_conn_t *active; /* with a call */
	response_budget_t budget;
	char read_buffer[UPSTREAM_READ_BUFFER_BYTES];
};

struct upstream_call {
	upstream_conn_t *conn;
	upstream_cb done;
	upstream_relate_cb relate;
	void *ctx;
	int is_head;
	int is_lenient;
	int is_sent;
	upstream_origin_t origin; /* of the connection */
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
	int is_replaced; /* idle for too long, another one was opened */
	int is_paused; /* not read: there is no memory for the rest */
	response_reservation_t reservation; /* for a large response */
	int64_t idle_since_ms;
	int64_t idle_ms; /* how long it was idle before its call */
	int64_t idle_close_ms; /* closed once it is idle for longer */
	int64_t opened_ms; /* when the connection was asked for */
	uint64_t
	    carried[UPSTREAM_CARRIED_IDS]; /* id hashes of the last requests */
	uint32_t requests; /* that it has carried */
	buffer_t out;
	const char *body; /* sent after out; of the caller */
	size_t body_len;
	response_t response;
	upstream_headers_t headers;
	upstream_conn_t *prev;
	upstream_conn_t *next;
};

/**
 * Closes a connection that has no call.
 *
 * @param cause  reason to give for the connection that replaces this one
 */
void upstream_conn_close(upstream_conn_t *conn, upstream_origin_t cause);

/** Opens a connection. @return NULL without memory */
upstream_conn_t *upstream_conn_open(
    upstream_t *upstream, const struct sockaddr_in *to);

/** Takes a connection from the idle ones of its target, if it is one. */
void upstream_conn_leave_idle(upstream_conn_t *conn);

/** Records that the target closed a connection that is idle, or was until its
 * call. */
void upstream_conn_record_close(const upstream_conn_t *conn);

/**
 * Takes an idle connection or opens one.
 *
 * @param origin  receives where it comes from
 * @return        NULL without memory
 */
upstream_conn_t *upstream_conn_get(upstream_t *upstream,
    const upstream_request_t *request, upstream_origin_t *origin);

#endif
