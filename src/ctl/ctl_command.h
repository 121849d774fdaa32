/**
 * @file
 * Commands of tmctl.
 */
#ifndef TM_CTL_CTL_COMMAND_H
#define TM_CTL_CTL_COMMAND_H

#include <stdint.h>

#include "ctl/ctl_api.h"

/** Request that explain route asks about. */
typedef struct ctl_route_options {
	const char *host; /**< NULL: not given */
	const char *path; /**< NULL: not given */
	const char *method;
	const char *key_file; /**< key of a workspace; NULL: none */
	int64_t bytes; /**< of the body */
} ctl_route_options_t;

/** Command with its options. */
typedef struct ctl_options {
	const char *const *words; /**< command and arguments */
	int word_count;
	int as_json;
	int dry_run;
	int64_t if_version; /**< -1: not given */
	char change_id[CTL_CHANGE_ID_MAX + 1];
	int has_change_id; /**< 1: given, 0: drawn */
	const char *after; /**< a name or a version; NULL: not given */
	int64_t limit; /**< -1: not given */
	ctl_route_options_t route;
} ctl_options_t;

/** Draws a random change id. @return 0 or TM_EIO */
int ctl_change_id_draw(char out[CTL_CHANGE_ID_MAX + 1]);

/**
 * Checks the words of a command.
 *
 * @return 0, or TM_EINVAL after a message on standard error
 */
int ctl_command_check(const ctl_options_t *options);

/** @return 1 if a command asks hubs or a gate, which take no token, instead of
 * control */
int ctl_command_needs_no_token(const ctl_options_t *options);

/** Percent-encodes a path segment or a query value. */
void ctl_escape(const char *text, char *out, size_t size);

/**
 * Reports a call that failed on standard error: a rejection, with --json its
 * body on standard output as well, or that no server gave a final answer.
 */
void ctl_print_failure(const ctl_options_t *options, const ctl_call_t *call,
    const ctl_result_t *result);

/** Runs a command that was checked. @return exit code */
ctl_exit_t ctl_command_run(ctl_api_t *api, const ctl_options_t *options);

#endif
