#include "script.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define SCRIPT_PATH_MAX 512
#define SCRIPT_LINE_MAX 1024

static void
script_split(char *text, script_line_t *line)
{
	char *save = NULL;
	char *word;
	char *comment = strchr(text, '#');

	if (comment != NULL)
		*comment = '\0';
	line->argc = 0;
	word = strtok_r(text, " \t\r\n", &save);
	while (word != NULL && line->argc < SCRIPT_ARGS_MAX) {
		line->argv[line->argc++] = word;
		word = strtok_r(NULL, " \t\r\n", &save);
	}
}

static int
script_run_line(
    const script_line_t *line, const script_command_t *commands, void *ctx)
{
	const script_command_t *command;

	for (command = commands; command->name != NULL; command++) {
		if (strcmp(command->name, line->argv[0]) == 0)
			return (command->run(ctx, line));
	}
	fprintf(stderr, "%s:%d: unknown command \"%s\"\n", line->file,
	    line->number, line->argv[0]);
	return (TM_EINVAL);
}

int
script_run(const char *path, const script_command_t *commands, void *ctx,
    char **output)
{
	char text[SCRIPT_LINE_MAX];
	script_line_t line = { .file = path };
	size_t output_len;
	FILE *in = fopen(path, "r");
	int err = TM_OK;

	if (in == NULL) {
		fprintf(stderr, "%s: cannot open\n", path);
		return (TM_ENOENT);
	}
	line.out = open_memstream(output, &output_len);
	while (err == TM_OK && fgets(text, sizeof(text), in) != NULL) {
		line.number++;
		script_split(text, &line);
		if (line.argc > 0)
			err = script_run_line(&line, commands, ctx);
	}
	if (err != TM_OK)
		fprintf(stderr, "%s:%d: %s\n", path, line.number,
		    error_get_text(err));
	fclose(line.out);
	fclose(in);
	return (err);
}

static char *
script_read_file(const char *path)
{
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t len = 0;

	if (in == NULL)
		return (NULL);
	if (getdelim(&text, &len, '\0', in) < 0 && text != NULL)
		text[0] = '\0';
	fclose(in);
	return (text);
}

static void
script_get_expected_path(const char *path, char *out, size_t out_size)
{
	const char *dot = strrchr(path, '.');
	int stem = (int)(dot != NULL ? dot - path : (long)strlen(path));

	snprintf(out, out_size, "%.*s.expected", stem, path);
}

static int
script_write_expected(const char *path, const char *output)
{
	FILE *out = fopen(path, "w");

	if (out == NULL)
		return (TM_EIO);
	fputs(output, out);
	fclose(out);
	return (TM_OK);
}

static void
script_report_difference(const char *expected, const char *output)
{
	const char *e = expected;
	const char *o = output;
	int number = 1;

	while (*e != '\0' && *e == *o) {
		if (*e == '\n')
			number++;
		e++;
		o++;
	}
	while (e > expected && e[-1] != '\n') {
		e--;
		o--;
	}
	fprintf(stderr, "line %d differs\n  expected: %.*s\n  output:   %.*s\n",
	    number, (int)strcspn(e, "\n"), e, (int)strcspn(o, "\n"), o);
}

int
script_compare(const char *path, const char *output)
{
	char expected_path[SCRIPT_PATH_MAX];
	const char *update = getenv("SCRIPT_UPDATE");
	char *expected;
	int equal;

	script_get_expected_path(path, expected_path, sizeof(expected_path));
	if (update != NULL && strcmp(update, "1") == 0)
		return (script_write_expected(expected_path, output));
	expected = script_read_file(expected_path);
	if (expected == NULL) {
		fprintf(stderr, "%s: cannot read\n", expected_path);
		return (TM_EINVAL);
	}
	equal = strcmp(expected, output) == 0;
	if (!equal) {
		fprintf(stderr, "%s: ", expected_path);
		script_report_difference(expected, output);
	}
	free(expected);
	return (equal ? TM_OK : TM_EINVAL);
}

const char *
script_get_text(
    const script_line_t *line, const char *name, const char *fallback)
{
	size_t len = strlen(name);
	int i;

	for (i = 1; i < line->argc; i++) {
		if (strncmp(line->argv[i], name, len) == 0 &&
		    line->argv[i][len] == '=')
			return (line->argv[i] + len + 1);
	}
	return (fallback);
}

int64_t
script_get_number(const script_line_t *line, const char *name, int64_t fallback)
{
	const char *text = script_get_text(line, name, NULL);

	return (text != NULL ? strtoll(text, NULL, 10) : fallback);
}

int64_t
script_parse_ms(const char *text)
{
	char *end;
	int64_t value = strtoll(text, &end, 10);

	if (end == text || value < 0)
		return (-1);
	if (strcmp(end, "ms") == 0)
		return (value);
	if (strcmp(end, "s") == 0)
		return (value * 1000);
	if (strcmp(end, "min") == 0)
		return (value * 60 * 1000);
	return (-1);
}
