/* tm-entry: accepts callers' requests and sends them to targets. */
#include <stdio.h>

#include <uv.h>

#include "base/error.h"
#include "base/log.h"
#include "entry/entry_defs.h"
#include "settings/program_args.h"
#include "settings/program_signals.h"

#define STOP_POLL_MS 20

typedef struct program {
	uv_loop_t loop;
	entry_t *entry;
	const char *settings_file;
	program_signals_t signals;
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
program_stop(void *ctx)
{
	program_t *program = ctx;

	entry_begin_stop(program->entry);
	uv_timer_start(
	    &program->stop_timer, program_poll_stop, 0, STOP_POLL_MS);
}

/* Reads secrets and certificates again; a bad file changes nothing. */
static void
program_reload(void *ctx)
{
	static entry_settings_t fresh;
	program_t *program = ctx;

	if (entry_settings_load(&fresh, program->settings_file, stderr) ==
	    TM_OK)
		entry_reload(program->entry, &fresh);
	else
		LOG_EVENT(709, LOG_LEVEL_ERROR,
		    "the settings file has problems, the old settings stay",
		    LOG_TEXT("file", program->settings_file));
}

static int
program_run(entry_settings_t *settings, const char *file)
{
	static program_t program;

	log_configure(stderr, settings->log_level, settings->node);
	program.settings_file = file;
	uv_loop_init(&program.loop);
	if (entry_create(&program.entry, settings, &program.loop) != TM_OK)
		return (1);
	program_watch_signals(&program.signals, &program.loop, program_stop,
	    program_reload, &program);
	uv_timer_init(&program.loop, &program.stop_timer);
	program.stop_timer.data = &program;
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

	program_defer_hangup();
	if (!program_args_parse(
		argc, argv, "tm-entry", entry_default_settings, 0, &args))
		return (args.status);
	if (entry_settings_load(&settings, args.settings, stderr) != TM_OK)
		return (2);
	if (args.check) {
		printf("%s: ok\n", args.settings);
		return (0);
	}
	return (program_run(&settings, args.settings));
}
