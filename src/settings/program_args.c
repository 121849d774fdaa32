#include "settings/program_args.h"

#include <stdio.h>
#include <string.h>

#include <argtable2.h>

#define EXIT_USAGE 2

typedef struct arguments {
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *print_default;
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_end *end;
} arguments_t;

static int
read_arguments(const arguments_t *a, const char *program, program_args_t *out)
{
	if (a->settings->count == 0) {
		fprintf(stderr,
		    "%s: found no --settings; remedy: give the settings file, "
		    "see %s --print-default\n",
		    program, program);
		return (0);
	}
	snprintf(out->settings, sizeof(out->settings), "%s",
	    a->settings->filename[0]);
	out->check = a->check->count > 0;
	out->json = a->json != NULL && a->json->count > 0;
	return (1);
}

static int
handle(const arguments_t *a, void **table, int errors, const char *program,
    const char *default_settings, program_args_t *out)
{
	if (a->help->count > 0) {
		printf("usage: %s", program);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		out->status = 0;
		return (0);
	}
	if (errors > 0) {
		arg_print_errors(stderr, a->end, program);
		fprintf(stderr, "%s: see %s --help\n", program, program);
		return (0);
	}
	if (a->print_default->count > 0) {
		fputs(default_settings, stdout);
		out->status = 0;
		return (0);
	}
	return (read_arguments(a, program, out));
}

int
program_args_parse(int argc, char **argv, const char *program,
    const char *default_settings, int has_json, program_args_t *args)
{
	arguments_t a = {
		.settings = arg_file0("s", "settings", "FILE", "settings file"),
		.check = arg_lit0(NULL, "check", "check the settings and exit"),
		.print_default = arg_lit0(
		    NULL, "print-default", "print example settings and exit"),
		.help = arg_lit0("h", "help", "print this help and exit"),
		.json = has_json
		    ? arg_lit0("j", "json", "print the report as JSON")
		    : NULL,
		.end = arg_end(8),
	};
	void *table[6] = { a.settings, a.check, a.print_default, a.help };
	size_t count = 4;
	int errors, run;

	memset(args, 0, sizeof(*args));
	args->status = EXIT_USAGE;
	if (a.json != NULL)
		table[count++] = a.json;
	table[count++] = a.end;
	if (arg_nullcheck(table) != 0) {
		fprintf(stderr, "%s: memory exhausted\n", program);
		return (0);
	}
	errors = arg_parse(argc, argv, table);
	run = handle(&a, table, errors, program, default_settings, args);
	arg_freetable(table, count);
	return (run);
}
