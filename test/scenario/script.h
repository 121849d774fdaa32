/**
 * @file
 * Runner of the scenario language. A scenario is a text file; each line is a
 * command with arguments, '#' starts a comment. Arguments are separated by
 * blanks; name=value arguments can be looked up by name. The output of all
 * commands is compared with the file of the same name ending in .expected.
 */
#ifndef TM_TEST_SCRIPT_H
#define TM_TEST_SCRIPT_H

#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SCRIPT_ARGS_MAX 32

/** One line of a scenario. */
typedef struct script_line {
	const char *file;
	int number;
	int argc;
	char *argv[SCRIPT_ARGS_MAX];
	FILE *out; /**< output that is compared */
} script_line_t;

/**
 * Runs one command.
 *
 * @return 0, or a negative error number that ends the scenario
 */
typedef int (*script_command_cb)(void *ctx, const script_line_t *line);

/** A command of a scenario; a table ends with an entry without a name. */
typedef struct script_command {
	const char *name;
	script_command_cb run;
} script_command_t;

/**
 * Runs a scenario file.
 *
 * @param path      scenario file
 * @param commands  commands that the file may use
 * @param ctx       passed to each command
 * @param output    output; the caller frees it
 * @return          0, TM_ENOENT without the file, TM_EINVAL for an unknown
 *                  command, or the error of a command
 */
int script_run(const char *path, const script_command_t *commands, void *ctx,
    char **output);

/**
 * Compares an output with PATH's .expected file and prints a short report on
 * standard error if they differ. With SCRIPT_UPDATE=1 in the environment the
 * file is written instead.
 *
 * @return 0 if equal, TM_EINVAL if not
 */
int script_compare(const char *path, const char *output);

/** @return value of name=value, or fallback */
const char *script_get_text(
    const script_line_t *line, const char *name, const char *fallback);

/** @return number of name=value, or fallback */
int64_t script_get_number(
    const script_line_t *line, const char *name, int64_t fallback);

/** @return milliseconds of a duration such as 250ms, 3s or 15min; -1 if bad */
int64_t script_parse_ms(const char *text);

#ifdef __cplusplus
}
#endif

#endif
