/* tm-entry: accepts callers' requests and sends them to targets. */
#include <signal.h>
#include <stdio.h>

#include <uv.h>

#include "base/error.h"
#include "base/log.h"
#include "entry/entry_defs.h"
#include "settings/program_args.h"

#define STOP_POLL_MS 20

typedef struct program {
	uv_loop_t loop;
	entry_t *entry;
	uv_signal_t signals[2];
	uv_timer_t stop_timer;
} program_t;

static void
program_poll_stop(uv_timer_t *timer)
{
	program_t *program = timer->data;

	if (entry_is_stopped(program->entry))
		uv_stop(&program->loop);
}

static void
program_on_signal(uv_signal_t *signal, int number)
{
	program_t *program = signal->data;

	(void)number;
	entry_begin_stop(program->entry);
	uv_timer_start(
	    &program->stop_timer, program_poll_stop, 0, STOP_POLL_MS);
}

static void
program_watch_signals(program_t *program)
{
	static const int numbers[] = { SIGTERM, SIGINT };
	int i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < 2; i++) {
		uv_signal_init(&program->loop, &program->signals[i]);
		program->signals[i].data = program;
		uv_signal_start(
		    &program->signals[i], program_on_signal, numbers[i]);
	}
	uv_timer_init(&program->loop, &program->stop_timer);
	program->stop_timer.data = program;
}

static int
program_run(const entry_settings_t *settings)
{
	static program_t program;

	log_configure(stderr, settings->log_level, settings->node);
	uv_loop_init(&program.loop);
	if (entry_create(&program.entry, settings, &program.loop) != TM_OK)
		return (1);
	program_watch_signals(&program);
	LOG_EVENT(703, LOG_LEVEL_INFO, "started",
	    LOG_TEXT("data_centre", settings->data_centre));
	uv_run(&program.loop, UV_RUN_DEFAULT);
	LOG_EVENT(706, LOG_LEVEL_INFO, "stopped");
	return (0);
}

int
main(int argc, char **argv)
{
	static entry_settings_t settings;
	program_args_t args;

	if (!program_args_parse(
		argc, argv, "tm-entry", entry_default_settings, 0, &args))
		return (args.status);
	if (entry_settings_load(&settings, args.settings, stderr) != TM_OK)
		return (2);
	if (args.check) {
		printf("%s: ok\n", args.settings);
		return (0);
	}
	return (program_run(&settings));
}
