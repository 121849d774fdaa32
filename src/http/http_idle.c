#include "http/http_idle.h"

#include <utlist.h>

#include "base/clock.h"

/* Callers are told this part of the time for which a connection is kept. The rest
 * covers the way of a request to a process or over a link that is busy. */
#define ANNOUNCED_PARTS 4
#define KEPT_PARTS	5
/* Time until a connection is looked at again that could not be closed. */
#define RETRY_MS 100

/* @return whole seconds that callers are told; 0 would tell them not to return */
static uint32_t
get_announced_s(const http_idle_t *idle)
{
	int64_t announced_s = (int64_t)idle->timeout_ms * ANNOUNCED_PARTS /
	    KEPT_PARTS / MS_PER_SEC;

	return (announced_s > 0 ? (uint32_t)announced_s : 1);
}

static void on_timer(uv_timer_t *timer);

static void
start_timer(http_idle_t *idle)
{
	int64_t left_ms = idle->conns->end_ms - clock_now_ms();

	uv_timer_start(
	    &idle->timer, on_timer, left_ms > 0 ? (uint64_t)left_ms : 0, 0);
}

/* uv_timer_cb */
static void
on_timer(uv_timer_t *timer)
{
	http_idle_t *idle = timer->data;
	int64_t now_ms = clock_now_ms();
	http_idle_conn_t *conn;

	while ((conn = idle->conns) != NULL && conn->end_ms <= now_ms) {
		http_idle_remove(idle, conn);
		idle->ended(idle->ctx, conn);
	}
	if (idle->conns != NULL)
		start_timer(idle);
}

/* Most connections end last; only those that began under a longer timeout end
 * later. */
static void
insert(http_idle_t *idle, http_idle_conn_t *conn, int64_t end_ms)
{
	http_idle_conn_t *before;

	http_idle_remove(idle, conn);
	conn->end_ms = end_ms;
	conn->is_listed = 1;
	before = idle->conns != NULL ? idle->conns->prev : NULL;
	while (before != NULL && before->end_ms > end_ms)
		before = before != idle->conns ? before->prev : NULL;
	if (before != NULL) {
		DL_APPEND_ELEM(idle->conns, before, conn);
		return;
	}
	DL_PREPEND(idle->conns, conn);
	start_timer(idle);
}

void
http_idle_init(http_idle_t *idle, uv_loop_t *loop, uint32_t timeout_ms)
{
	idle->timeout_ms = timeout_ms;
	idle->conns = NULL;
	uv_timer_init(loop, &idle->timer);
	idle->timer.data = idle;
}

void
http_idle_set_timeout(http_idle_t *idle, uint32_t timeout_ms)
{
	idle->timeout_ms = timeout_ms;
}

uint32_t
http_idle_announce(const http_idle_t *idle, http_idle_conn_t *conn)
{
	uint32_t announced_s = get_announced_s(idle);
	int64_t kept_ms =
	    (int64_t)announced_s * MS_PER_SEC * KEPT_PARTS / ANNOUNCED_PARTS;

	conn->kept_ms = kept_ms > idle->timeout_ms ? kept_ms : idle->timeout_ms;
	return (announced_s);
}

void
http_idle_wait(http_idle_t *idle, http_idle_conn_t *conn)
{
	int64_t kept_ms = conn->kept_ms > 0 ? conn->kept_ms : idle->timeout_ms;

	conn->since_ms = clock_now_ms();
	conn->kept_ms = 0;
	conn->is_receiving = 0;
	conn->is_postponed = 0;
	insert(idle, conn, conn->since_ms + kept_ms);
}

void
http_idle_receive(http_idle_t *idle, http_idle_conn_t *conn, size_t bytes)
{
	if (!conn->is_receiving)
		conn->counted_bytes = 0;
	else if (bytes < conn->counted_bytes + HTTP_IDLE_PROGRESS_BYTES)
		return;
	conn->is_receiving = 1;
	conn->is_postponed = 0;
	conn->counted_bytes = bytes;
	insert(idle, conn, clock_now_ms() + idle->timeout_ms);
}

void
http_idle_retry(http_idle_t *idle, http_idle_conn_t *conn)
{
	insert(idle, conn, clock_now_ms() + RETRY_MS);
}

int
http_idle_postpone(http_idle_t *idle, http_idle_conn_t *conn)
{
	if (conn->is_postponed)
		return (0);
	conn->is_postponed = 1;
	http_idle_retry(idle, conn);
	return (1);
}

int
http_idle_extend(http_idle_t *idle, http_idle_conn_t *conn)
{
	int64_t now_ms = clock_now_ms();

	if (now_ms - conn->since_ms >= HTTP_IDLE_DELIVERY_MAX_MS)
		return (0);
	insert(idle, conn, now_ms + idle->timeout_ms);
	return (1);
}

void
http_idle_remove(http_idle_t *idle, http_idle_conn_t *conn)
{
	if (!conn->is_listed)
		return;
	conn->is_listed = 0;
	DL_DELETE(idle->conns, conn);
}
