/* tm-control: replicated configuration, admin API and feed of a fleet. */
#include <stdio.h>

#include <uv.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "control/admin_api.h"
#include "control/control.h"
#include "settings/program_args.h"
#include "settings/program_signals.h"

#define STOP_POLL_MS 20
/* Time for the last responses to leave the process. */
#define STOP_FLUSH_MS 200
/* Longest time for them where a caller reads slowly. */
#define STOP_FLUSH_MAX_MS 2000

typedef struct program {
	uv_loop_t loop;
	control_t *control;
	admin_api_t *api;
	const char *settings_file;
	program_signals_t signals;
	uv_timer_t stop_timer;
	int flushing;
	int64_t flush_end_ms;
	int exit_status;
} program_t;

static void
program_poll_stop(uv_timer_t *timer)
{
	program_t *program = timer->data;

	if (program->flushing) {
		if (admin_api_is_delivered(program->api) ||
		    clock_now_ms() >= program->flush_end_ms)
			uv_stop(&program->loop);
		return;
	}
	if (!control_is_stopped(program->control))
		return;
	program->flushing = 1;
	program->flush_end_ms = clock_now_ms() + STOP_FLUSH_MAX_MS;
	uv_timer_start(timer, program_poll_stop, STOP_FLUSH_MS, STOP_POLL_MS);
}

static void
program_stop(void *ctx)
{
	program_t *program = ctx;

	control_begin_stop(program->control);
	admin_api_close(program->api);
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
	LOG_EVENT(247, LOG_LEVEL_ERROR,
	    "the data folder failed, this process ends",
	    LOG_TEXT("remedy",
		"check the disk and its free space; the process must be "
		"started again"));
	program_stop(program);
}

static void
program_use_fresh(program_t *program, control_settings_t *fresh)
{
	http_tls_error_t error = { .field = "tls",
		.reason = "switching TLS on or off needs a restart" };

	if (admin_api_reload_tls(program->api, &fresh->tls, &error) != TM_OK) {
		LOG_EVENT(237, LOG_LEVEL_ERROR,
		    "the old certificate stays in use",
		    LOG_TEXT("field", error.field),
		    LOG_TEXT("reason", error.reason));
		fresh->tls = control_get_settings(program->control)->tls;
	}
	control_reload(program->control, fresh);
	LOG_EVENT(238, LOG_LEVEL_INFO, "settings read again",
	    LOG_NUM("fleet_secrets", fresh->secret_count),
	    LOG_NUM("operators", fresh->operator_count));
}

/* Reads secrets, operators and certificates again; a bad file changes
 * nothing. */
static void
program_reload(void *ctx)
{
	static control_settings_t fresh;
	program_t *program = ctx;

	if (control_settings_load(&fresh, program->settings_file, stderr) ==
	    TM_OK)
		program_use_fresh(program, &fresh);
	else
		LOG_EVENT(239, LOG_LEVEL_ERROR,
		    "the settings file has problems, the old settings stay",
		    LOG_TEXT("file", program->settings_file));
}

static int
program_run(const control_settings_t *settings, const char *file)
{
	static program_t program;
	int err;

	log_configure(stderr, settings->log_level, settings->node);
	program.settings_file = file;
	uv_loop_init(&program.loop);
	err = control_create(&program.control, settings, &program.loop);
	if (err != TM_OK)
		return (1);
	err = admin_api_create(&program.api, program.control, &program.loop);
	if (err != TM_OK) {
		LOG_EVENT(233, LOG_LEVEL_ERROR, "cannot listen for operators",
		    LOG_TEXT("error", error_get_text(err)),
		    LOG_TEXT("remedy",
			"check admin_listen and that no other process "
			"uses the port"));
		return (1);
	}
	control_set_failure_callback(program.control, program_fail, &program);
	program_watch_signals(&program.signals, &program.loop, program_stop,
	    program_reload, &program);
	uv_timer_init(&program.loop, &program.stop_timer);
	program.stop_timer.data = &program;
	LOG_EVENT(230, LOG_LEVEL_INFO, "started",
	    LOG_TEXT("data_centre", settings->data_centre),
	    LOG_NUM("control_vms", settings->vm_count));
	uv_run(&program.loop, UV_RUN_DEFAULT);
	/* All that was answered is on disk. The process ends here, and its
	 * memory and open connections with it. */
	return (program.exit_status);
}

int
main(int argc, char **argv)
{
	static control_settings_t settings;
	program_args_t args;

	program_defer_hangup();
	if (!program_args_parse(
		argc, argv, "tm-control", control_default_settings, 0, &args))
		return (args.status);
	if (control_settings_load(&settings, args.settings, stderr) != TM_OK)
		return (2);
	if (args.check) {
		printf("%s: ok\n", args.settings);
		return (0);
	}
	return (program_run(&settings, args.settings));
}
