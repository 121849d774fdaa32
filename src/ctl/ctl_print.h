/**
 * @file
 * Text output of tmctl.
 */
#ifndef TM_CTL_CTL_PRINT_H
#define TM_CTL_CTL_PRINT_H

#include <stdio.h>

#include <jansson.h>

/**
 * Prints a JSON value as text: a list of objects as a table, an object as
 * "field: value" lines, with its lists of objects as tables.
 */
void ctl_print_value(FILE *out, const json_t *value);

/** @return text of a field; "" if there is none */
const char *ctl_get_text(const json_t *object, const char *field);

/** Prints a rejection: error, reason, remedy and single errors. */
void ctl_print_error(FILE *out, int status, const json_t *body);

#endif
