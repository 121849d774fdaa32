/**
 * @file
 * Command line that the programs with a settings file share.
 */
#ifndef TM_SETTINGS_PROGRAM_ARGS_H
#define TM_SETTINGS_PROGRAM_ARGS_H

/** What the command line asks for. */
typedef struct program_args {
	char settings[4096]; /**< settings file */
	int check; /**< 1: check the settings and exit */
	int json; /**< 1: print results as JSON */
	int status; /**< exit status if the program is not to run */
} program_args_t;

/**
 * Parses the command line and prints help, the example or errors.
 *
 * @param program           name for messages
 * @param default_settings  example for --print-default
 * @param has_json          1 if the program knows --json
 * @return                  1 if the program is to run, else 0
 */
int program_args_parse(int argc, char **argv, const char *program,
    const char *default_settings, int has_json, program_args_t *args);

#endif
