#include "settings/program_signals.h"

#include <signal.h>

static void
program_on_stop(uv_signal_t *handle, int number)
{
	program_signals_t *signals = handle->data;

	(void)number;
	signals->stop(signals->ctx);
}

static void
program_on_hangup(uv_signal_t *handle, int number)
{
	program_signals_t *signals = handle->data;

	(void)number;
	signals->reload(signals->ctx);
}

static void
program_mask_hangup(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	sigprocmask(how, &signals, NULL);
}

void
program_defer_hangup(void)
{
	program_mask_hangup(SIG_BLOCK);
}

static void
program_watch_signal(program_signals_t *signals, uv_loop_t *loop,
    uv_signal_t *handle, uv_signal_cb callback, int number)
{
	uv_signal_init(loop, handle);
	handle->data = signals;
	uv_signal_start(handle, callback, number);
}

void
program_watch_signals(program_signals_t *signals, uv_loop_t *loop,
    program_signal_cb stop, program_signal_cb reload, void *ctx)
{
	signals->stop = stop;
	signals->reload = reload;
	signals->ctx = ctx;
	signal(SIGPIPE, SIG_IGN);
	program_watch_signal(
	    signals, loop, &signals->stops[0], program_on_stop, SIGTERM);
	program_watch_signal(
	    signals, loop, &signals->stops[1], program_on_stop, SIGINT);
	if (reload == NULL)
		return;
	program_watch_signal(
	    signals, loop, &signals->hangup, program_on_hangup, SIGHUP);
	program_mask_hangup(SIG_UNBLOCK);
}
