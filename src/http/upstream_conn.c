#include "http/upstream_conn.h"

#include <utlist.h>

#include "base/clock.h"
#include "net/stream_end.h"

/* A target may close a connection at the moment a request is sent on it. A
 * request that may not be repeated does not take that risk on a connection
 * that was idle for longer than this. */
#define IDLE_FRESH_MS 1000

void
upstream_conn_leave_idle(upstream_conn_t *conn)
{
	if (!conn->is_idle)
		return;
	DL_DELETE(conn->target->idle, conn);
	conn->target->idle_count--;
	conn->is_idle = 0;
}

void
upstream_conn_record_close(const upstream_conn_t *conn)
{
	int64_t now_ms = clock_now_ms();
	int64_t idle_ms =
	    conn->is_idle ? now_ms - conn->idle_since_ms : conn->idle_ms;

	if (conn->is_idle || conn->requests > 1)
		upstream_idle_record_close(
		    &conn->target->closed, idle_ms, now_ms);
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

	for (i = 0; id_hash != 0 && i < UPSTREAM_CARRIED_IDS; i++) {
		if (conn->carried[i] == id_hash)
			return (1);
	}
	return (0);
}

/* An idle connection that may not be used any more and was not replaced. */
static upstream_conn_t *
find_unreplaced(upstream_target_t *target, int64_t max_ms, int64_t now_ms)
{
	upstream_conn_t *conn;

	DL_FOREACH(target->idle, conn) {
		if (!conn->is_replaced && now_ms - conn->idle_since_ms > max_ms)
			return (conn);
	}
	return (NULL);
}

/* Decides why a connection is opened for a request. */
static upstream_origin_t
get_opening_cause(upstream_target_t *target, const upstream_request_t *request,
    int is_barred, int64_t now_ms)
{
	int64_t asked_ms = request_get_idle_max_ms(request);
	int64_t max_ms =
	    upstream_idle_get_max_ms(&target->closed, asked_ms, now_ms);
	upstream_conn_t *left = find_unreplaced(target, max_ms, now_ms);
	upstream_opening_t opening = {
		.is_first = !target->is_known,
		.is_barred = is_barred,
		.idle = UPSTREAM_ORIGIN_REUSED,
		.busy = target->busy,
		.max_ms = asked_ms,
	};
	upstream_origin_t origin;
	int replaces_idle;

	if (left != NULL)
		opening.idle = now_ms - left->idle_since_ms > asked_ms
		    ? UPSTREAM_ORIGIN_IDLE
		    : UPSTREAM_ORIGIN_IDLE_LEARNED;
	origin = upstream_origin_decide(
	    &target->ends, &opening, now_ms, &replaces_idle);
	if (replaces_idle && left != NULL)
		left->is_replaced = 1;
	return (origin);
}

/*
 * Takes an idle connection on which nothing has arrived.
 *
 * @param is_barred  receives 1 if the id of the request kept it from one
 */
static upstream_conn_t *
take_idle(upstream_target_t *target, const upstream_request_t *request,
    int64_t now_ms, int *is_barred)
{
	int64_t max_ms = upstream_idle_get_max_ms(
	    &target->closed, request_get_idle_max_ms(request), now_ms);
	upstream_conn_t *conn;
	upstream_conn_t *next;

	*is_barred = request->is_new;
	if (request->is_new)
		return (NULL);
	DL_FOREACH_SAFE(target->idle, conn, next) {
		conn->idle_ms = now_ms - conn->idle_since_ms;
		if (conn->idle_ms > max_ms)
			return (NULL);
		if (conn_has_carried(conn, request->id_hash)) {
			*is_barred = 1;
			continue;
		}
		if (stream_end_is_quiet(&conn->tcp)) {
			upstream_conn_leave_idle(conn);
			conn->is_replaced = 0;
			return (conn);
		}
		upstream_conn_record_close(conn);
		upstream_conn_close(conn, UPSTREAM_ORIGIN_CLOSED_IDLE);
	}
	return (NULL);
}

upstream_conn_t *
upstream_conn_get(upstream_t *upstream, const upstream_request_t *request,
    upstream_origin_t *origin)
{
	int64_t now_ms = clock_now_ms();
	upstream_target_t *target =
	    upstream_target_find(upstream->targets, &request->to);
	upstream_conn_t *conn;
	int is_barred;

	*origin = UPSTREAM_ORIGIN_FIRST;
	if (target == NULL)
		return (upstream_conn_open(upstream, &request->to));
	*origin = UPSTREAM_ORIGIN_REUSED;
	conn = take_idle(target, request, now_ms, &is_barred);
	if (conn != NULL)
		return (conn);
	*origin = get_opening_cause(target, request, is_barred, now_ms);
	return (upstream_conn_open(upstream, &request->to));
}
