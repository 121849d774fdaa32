/* tm-hub: keeps the replicated state of a fleet whose entry VMs keep none. */
#include <stdio.h>
#include <unistd.h>

#include <uv.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "hub/hub.h"
#include "hub/hub_api.h"
#include "settings/program_args.h"
#include "settings/program_signals.h"

#define STOP_POLL_MS 20
/* Time to send the last responses before the process ends. */
#define STOP_FLUSH_MS 200
/* Longest time for them where a caller reads slowly. */
#define STOP_FLUSH_MAX_MS 2000

typedef struct program {
	uv_loop_t loop;
	hub_t *hub;
	hub_api_t *api;
	const char *settings_file;
	program_signals_t signals;
	uv_timer_t stop_timer;
	int is_flushing;
	int64_t flush_end_ms;
	int exit_status;
} program_t;

static void
program_poll_stop(uv_timer_t *timer)
{
	program_t *program = timer->data;

	if (program->is_flushing) {
		if (hub_api_is_delivered(program->api) ||
		    clock_now_ms() >= program->flush_end_ms)
			uv_stop(&program->loop);
		return;
	}
	if (!hub_is_stopped(program->hub))
		return;
	program->is_flushing = 1;
	program->flush_end_ms = clock_now_ms() + STOP_FLUSH_MAX_MS;
	uv_timer_start(timer, program_poll_stop, STOP_FLUSH_MS, STOP_POLL_MS);
}

static void
program_stop(void *ctx)
{
	program_t *program = ctx;

	hub_begin_stop(program->hub);
	hub_api_close(program->api);
	if (!uv_is_active((uv_handle_t *)&program->stop_timer))
		uv_timer_start(
		    &program->stop_timer, program_poll_stop, 0, STOP_POLL_MS);
}

/* Ends the process with a failure, so that it is started again and reads what is
 * on disk. */
static void
program_fail(void *ctx)
{
	program_t *program = ctx;

	program->exit_status = 1;
	LOG_EVENT(927, LOG_LEVEL_ERROR,
	    "the data folder failed, this process ends",
	    LOG_TEXT("remedy",
		"check the disk and its free space; the process must be "
		"started again"));
	program_stop(program);
}

/* Applies seeds and secrets; an invalid file changes nothing. */
static void
program_reload(void *ctx)
{
	static hub_settings_t new_settings;
	program_t *program = ctx;

	if (hub_settings_load(&new_settings, program->settings_file, stderr) !=
	    TM_OK) {
		LOG_EVENT(921, LOG_LEVEL_ERROR,
		    "the settings file has problems, the old settings stay",
		    LOG_TEXT("file", program->settings_file));
		return;
	}
	if (hub_reload(program->hub, &new_settings) != TM_OK)
		return;
	LOG_EVENT(922, LOG_LEVEL_INFO, "settings read again",
	    LOG_NUM("seeds", new_settings.seed_count),
	    LOG_NUM("fleet_secrets", new_settings.secret_count));
}

static int
program_run(const hub_settings_t *settings, const char *file)
{
	static program_t program;

	log_configure(stdout, settings->log_level, settings->node);
	log_set_bounded(STDOUT_FILENO);
	program.settings_file = file;
	uv_loop_init(&program.loop);
	if (hub_create(&program.hub, settings, &program.loop) != TM_OK)
		return (1);
	if (hub_api_create(&program.api, program.hub, &program.loop) != TM_OK) {
		LOG_EVENT(923, LOG_LEVEL_ERROR, "cannot listen for calls",
		    LOG_TEXT("remedy",
			"check listen and metrics_port, and that no other "
			"process uses the ports"));
		return (1);
	}
	hub_set_failure_callback(program.hub, program_fail, &program);
	program_watch_signals(&program.signals, &program.loop, program_stop,
	    program_reload, &program);
	uv_timer_init(&program.loop, &program.stop_timer);
	program.stop_timer.data = &program;
	LOG_EVENT(920, LOG_LEVEL_INFO, "started",
	    LOG_TEXT("zone", settings->zone),
	    LOG_NUM("seeds", settings->seed_count),
	    LOG_NUM("is_first_start", settings->is_first_start));
	uv_run(&program.loop, UV_RUN_DEFAULT);
	/* Everything that was acknowledged is on disk; the end of the process
	 * releases memory and connections. */
	return (program.exit_status);
}

int
main(int argc, char **argv)
{
	static hub_settings_t settings;
	program_args_t args;

	program_defer_hangup();
	if (!program_args_parse(
		argc, argv, "tm-hub", hub_default_settings, 0, &args))
		return (args.status);
	if (hub_settings_load(&settings, args.settings, stderr) != TM_OK)
		return (2);
	if (args.check) {
		printf("%s: ok\n", args.settings);
		return (0);
	}
	return (program_run(&settings, args.settings));
}
