#include "net/connect_check.h"

#include <stdlib.h>

#include "base/error.h"

typedef struct connect_check {
	connect_check_options_t options;
	uv_timer_t timer;
	uv_tcp_t tcp;
	uv_connect_t connect;
	int has_result;
	int open_handles;
} connect_check_t;

static void
on_closed(uv_handle_t *handle)
{
	connect_check_t *check = handle->data;

	if (--check->open_handles == 0)
		free(check);
}

static void
finish(connect_check_t *check, connect_check_result_t result)
{
	if (check->has_result)
		return;
	check->has_result = 1;
	check->options.done(check->options.ctx, result);
	uv_close((uv_handle_t *)&check->timer, on_closed);
	uv_close((uv_handle_t *)&check->tcp, on_closed);
}

static void
on_connect(uv_connect_t *connect, int status)
{
	connect_check_t *check = connect->data;

	if (status == 0)
		finish(check, CONNECT_CHECK_OPEN);
	else if (status == UV_ECONNREFUSED)
		finish(check, CONNECT_CHECK_REFUSED);
	else
		finish(check, CONNECT_CHECK_UNKNOWN);
}

static void
on_timeout(uv_timer_t *timer)
{
	finish(timer->data, CONNECT_CHECK_UNKNOWN);
}

static void
on_delay_passed(uv_timer_t *timer)
{
	connect_check_t *check = timer->data;

	uv_timer_start(timer, on_timeout, check->options.timeout_ms, 0);
	if (uv_tcp_connect(&check->connect, &check->tcp,
		(const struct sockaddr *)&check->options.to, on_connect) != 0)
		finish(check, CONNECT_CHECK_UNKNOWN);
}

int
connect_check_start(const connect_check_options_t *options)
{
	connect_check_t *check = calloc(1, sizeof(*check));

	if (check == NULL)
		return (TM_ENOMEM);
	check->options = *options;
	check->open_handles = 2;
	uv_timer_init(options->loop, &check->timer);
	uv_tcp_init(options->loop, &check->tcp);
	check->timer.data = check;
	check->tcp.data = check;
	check->connect.data = check;
	uv_timer_start(&check->timer, on_delay_passed, options->delay_ms, 0);
	return (TM_OK);
}
