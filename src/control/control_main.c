/* tm-control: replicated configuration, admin API and feed of a fleet. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <uv.h>

#include "base/error.h"
#include "base/log.h"
#include "control/admin_api.h"
#include "control/control.h"

#define STOP_POLL_MS 20
/* Time for the last responses to leave the process. */
#define STOP_FLUSH_MS 200

typedef struct program {
	uv_loop_t loop;
	control_t *control;
	admin_api_t *api;
	const char *settings_file;
	uv_signal_t signals[2];
	uv_signal_t hangup;
	uv_timer_t stop_timer;
	int flushing;
} program_t;

/* Arguments of the command line. */
typedef struct arguments {
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *print_default;
	struct arg_lit *help;
	struct arg_end *end;
} arguments_t;

static void
program_poll_stop(uv_timer_t *timer)
{
	program_t *program = timer->data;

	if (program->flushing) {
		uv_stop(&program->loop);
		return;
	}
	if (!control_is_stopped(program->control))
		return;
	program->flushing = 1;
	uv_timer_start(timer, program_poll_stop, STOP_FLUSH_MS, 0);
}

static void
program_on_signal(uv_signal_t *signal, int number)
{
	program_t *program = signal->data;

	(void)number;
	control_begin_stop(program->control);
	admin_api_close(program->api);
	if (!uv_is_active((uv_handle_t *)&program->stop_timer))
		uv_timer_start(
		    &program->stop_timer, program_poll_stop, 0, STOP_POLL_MS);
}

static void
program_reload(program_t *program, control_settings_t *fresh)
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
program_on_hangup(uv_signal_t *signal, int number)
{
	static control_settings_t fresh;
	program_t *program = signal->data;

	(void)number;
	if (control_settings_load(&fresh, program->settings_file, stderr) ==
	    TM_OK)
		program_reload(program, &fresh);
	else
		LOG_EVENT(239, LOG_LEVEL_ERROR,
		    "the settings file has problems, the old settings stay",
		    LOG_TEXT("file", program->settings_file));
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
	uv_signal_init(&program->loop, &program->hangup);
	program->hangup.data = program;
	uv_signal_start(&program->hangup, program_on_hangup, SIGHUP);
	uv_timer_init(&program->loop, &program->stop_timer);
	program->stop_timer.data = program;
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
	program_watch_signals(&program);
	LOG_EVENT(230, LOG_LEVEL_INFO, "started",
	    LOG_TEXT("data_centre", settings->data_centre),
	    LOG_NUM("control_vms", settings->vm_count));
	uv_run(&program.loop, UV_RUN_DEFAULT);
	/* All that was answered is on disk. The process ends here, and its
	 * memory and open connections with it. */
	return (0);
}

static int
program_use_settings(const arguments_t *args)
{
	static control_settings_t settings;
	const char *file = args->settings->filename[0];

	if (control_settings_load(&settings, file, stderr) != TM_OK)
		return (2);
	if (args->check->count > 0) {
		printf("%s: ok\n", file);
		return (0);
	}
	return (program_run(&settings, file));
}

static int
program_use_arguments(const arguments_t *args, int errors, void **table)
{
	if (args->help->count > 0) {
		printf("Usage: tm-control");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		return (0);
	}
	if (args->print_default->count > 0) {
		control_settings_print_default(stdout);
		return (0);
	}
	if (errors > 0 || args->settings->count == 0) {
		if (errors > 0)
			arg_print_errors(stderr, args->end, "tm-control");
		fprintf(stderr,
		    "tm-control: --settings FILE is needed; --help lists the "
		    "options\n");
		return (2);
	}
	return (program_use_settings(args));
}

int
main(int argc, char **argv)
{
	arguments_t args = {
		.settings = arg_file0("s", "settings", "FILE", "settings file"),
		.check = arg_lit0(NULL, "check", "check the settings and exit"),
		.print_default = arg_lit0(NULL, "print-default",
		    "print an example of the settings and exit"),
		.help = arg_lit0("h", "help", "print this help and exit"),
		.end = arg_end(8),
	};
	void *table[] = { args.settings, args.check, args.print_default,
		args.help, args.end };
	int result;
	int errors;

	if (arg_nullcheck(table) != 0)
		return (1);
	errors = arg_parse(argc, argv, table);
	result = program_use_arguments(&args, errors, table);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (result);
}
