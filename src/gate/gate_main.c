/* Main program of tm-gate, the entry VM of a fleet whose shared state is kept
 * by hubs. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <uv.h>

#include "base/error.h"
#include "base/log.h"
#include "gate/gate_defs.h"
#include "settings/program_args.h"
#include "settings/program_signals.h"

#define STOP_POLL_MS 20
/* Buffers of this size get pages of their own. */
#define LARGE_BUFFER_BYTES (128 * 1024)

typedef struct program {
	uv_loop_t loop;
	gate_t *gate;
	const char *settings_file;
	program_signals_t signals;
	uv_timer_t stop_timer;
} program_t;

static void
program_poll_stop(uv_timer_t *timer)
{
	program_t *program = timer->data;

	if (!gate_is_stopped(program->gate))
		return;
	LOG_EVENT(953, LOG_LEVEL_INFO, "stopped",
	    LOG_NUM("in_flight", program->gate->in_flight),
	    LOG_NUM(
		"unwritten", http_server_get_active(program->gate->callers)));
	/* Another loop iteration could read a request that gets no answer. */
	exit(0);
}

static void
program_stop(void *ctx)
{
	program_t *program = ctx;

	gate_begin_stop(program->gate);
	if (!uv_is_active((uv_handle_t *)&program->stop_timer))
		uv_timer_start(
		    &program->stop_timer, program_poll_stop, 0, STOP_POLL_MS);
}

/* Applies seeds and secrets of the file; a bad file changes nothing. */
static void
program_reload(void *ctx)
{
	static gate_settings_t new_settings;
	program_t *program = ctx;

	if (gate_settings_load(&new_settings, program->settings_file, stderr) !=
	    TM_OK) {
		LOG_EVENT(956, LOG_LEVEL_ERROR,
		    "the settings file has problems, the old settings stay",
		    LOG_TEXT("file", program->settings_file));
		return;
	}
	if (gate_reload(program->gate, &new_settings) != TM_OK)
		return;
	LOG_EVENT(957, LOG_LEVEL_INFO, "settings read again",
	    LOG_NUM("seeds", new_settings.seed_count),
	    LOG_NUM("fleet_secrets", new_settings.secret_count));
}

static int
program_run(const gate_settings_t *settings, const char *file)
{
	static program_t program;

	log_configure(stdout, settings->log_level, settings->node);
	log_set_bounded(STDOUT_FILENO);
	program.settings_file = file;
	uv_loop_init(&program.loop);
	if (gate_create(&program.gate, settings, &program.loop) != TM_OK)
		return (1);
	program_watch_signals(&program.signals, &program.loop, program_stop,
	    program_reload, &program);
	uv_timer_init(&program.loop, &program.stop_timer);
	program.stop_timer.data = &program;
	LOG_EVENT(958, LOG_LEVEL_INFO, "started",
	    LOG_TEXT("zone", settings->zone),
	    LOG_NUM("seeds", settings->seed_count));
	uv_run(&program.loop, UV_RUN_DEFAULT);
	return (0);
}

int
main(int argc, char **argv)
{
	static gate_settings_t settings;
	program_args_t args;

	program_defer_hangup();
	/* Otherwise large buffers that were freed stay with the process. */
	mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
	if (!program_args_parse(
		argc, argv, "tm-gate", gate_default_settings, 0, &args))
		return (args.status);
	if (gate_settings_load(&settings, args.settings, stderr) != TM_OK)
		return (2);
	if (args.check) {
		printf("%s: ok\n", args.settings);
		return (0);
	}
	return (program_run(&settings, args.settings));
}
