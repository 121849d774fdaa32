#include "load/load_idle.h"

#include <stdlib.h>

/* Bounds the load of opening: 20,000 connections per second. */
#define BATCH_SIZE	  200
#define BATCH_INTERVAL_MS 10

typedef struct idle_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	load_idle_t *idle;
	int is_open;
	char byte[16];
} idle_conn_t;

struct load_idle {
	uv_loop_t *loop;
	const load_settings_t *settings;
	uv_timer_t timer;
	idle_conn_t *conns;
	int started;
	int open;
	int closed;
	int failed;
};

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	idle_conn_t *conn = (idle_conn_t *)handle;

	*buf = uv_buf_init(conn->byte, sizeof(conn->byte));
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	idle_conn_t *conn = (idle_conn_t *)stream;

	if (nread >= 0)
		return;
	conn->is_open = 0;
	conn->idle->open--;
	conn->idle->closed++;
	uv_close((uv_handle_t *)stream, NULL);
}

static void
on_connect(uv_connect_t *connect, int status)
{
	idle_conn_t *conn = connect->data;

	if (status != 0) {
		conn->idle->failed++;
		uv_close((uv_handle_t *)&conn->tcp, NULL);
		return;
	}
	conn->is_open = 1;
	conn->idle->open++;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
open_one(load_idle_t *idle)
{
	idle_conn_t *conn = &idle->conns[idle->started];
	const load_settings_t *s = idle->settings;
	int entry = idle->started++ % s->entry_count;

	conn->idle = idle;
	conn->connect.data = conn;
	uv_tcp_init(idle->loop, &conn->tcp);
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)&s->entries[entry], on_connect) != 0) {
		idle->failed++;
		uv_close((uv_handle_t *)&conn->tcp, NULL);
	}
}

static void
on_batch(uv_timer_t *timer)
{
	load_idle_t *idle = timer->data;
	int i;

	for (i = 0; i < BATCH_SIZE; i++) {
		if (idle->started == idle->settings->idle_connections) {
			uv_timer_stop(timer);
			return;
		}
		open_one(idle);
	}
}

load_idle_t *
load_idle_start(uv_loop_t *loop, const load_settings_t *settings)
{
	load_idle_t *idle = calloc(1, sizeof(*idle));

	if (idle == NULL)
		return (NULL);
	idle->conns = calloc(
	    (size_t)settings->idle_connections + 1, sizeof(*idle->conns));
	if (idle->conns == NULL) {
		free(idle);
		return (NULL);
	}
	idle->loop = loop;
	idle->settings = settings;
	uv_timer_init(loop, &idle->timer);
	idle->timer.data = idle;
	uv_timer_start(&idle->timer, on_batch, 0, BATCH_INTERVAL_MS);
	return (idle);
}

int
load_idle_is_ready(const load_idle_t *idle)
{
	return (idle->open + idle->closed + idle->failed >=
	    idle->settings->idle_connections);
}

int
load_idle_get_open(const load_idle_t *idle)
{
	return (idle->open);
}

int
load_idle_get_closed(const load_idle_t *idle)
{
	return (idle->closed);
}

int
load_idle_get_failed(const load_idle_t *idle)
{
	return (idle->failed);
}
