#include "ctl/ctl_print.h"

#include <stdlib.h>
#include <string.h>

#define COLUMNS_MAX 16
#define CELL_MAX    40

static void
print_scalar(FILE *out, const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		fputs(json_string_value(value), out);
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	fputs(text != NULL ? text : "", out);
	free(text);
}

static int
is_table(const json_t *value)
{
	return (json_is_array(value) && json_array_size(value) > 0 &&
	    json_is_object(json_array_get(value, 0)));
}

static int
add_column(const char *columns[COLUMNS_MAX], int count, const char *field)
{
	int i;

	for (i = 0; i < count; i++)
		if (strcmp(columns[i], field) == 0)
			return (count);
	if (count < COLUMNS_MAX)
		columns[count++] = field;
	return (count);
}

/* The name or id comes first, the others in the server's order. */
static int
find_columns(const json_t *list, const char *columns[COLUMNS_MAX])
{
	const json_t *first = json_array_get(list, 0);
	const char *field;
	json_t *item, *value;
	size_t index;
	int count = 0;

	if (json_object_get(first, "name") != NULL)
		count = add_column(columns, count, "name");
	if (json_object_get(first, "id") != NULL)
		count = add_column(columns, count, "id");
	json_array_foreach(list, index, item)
	{
		json_object_foreach(item, field, value)
		{
			count = add_column(columns, count, field);
		}
	}
	return (count);
}

static char *
format_cell(const json_t *value)
{
	if (value == NULL)
		return (strdup("-"));
	if (json_is_string(value))
		return (strdup(json_string_value(value)));
	return (json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT));
}

static int
get_width(const json_t *list, const char *column)
{
	size_t width = strlen(column);
	json_t *item;
	size_t index, len;
	char *cell;

	json_array_foreach(list, index, item)
	{
		cell = format_cell(json_object_get(item, column));
		len = cell != NULL ? strlen(cell) : 0;
		free(cell);
		if (len > width)
			width = len;
	}
	return (width < CELL_MAX ? (int)width : CELL_MAX);
}

static void
print_table(FILE *out, const json_t *list)
{
	const char *columns[COLUMNS_MAX];
	int widths[COLUMNS_MAX];
	int count = find_columns(list, columns);
	json_t *item;
	size_t index;
	char *cell;
	int i;

	for (i = 0; i < count; i++) {
		widths[i] = i < count - 1 ? get_width(list, columns[i]) : 0;
		fprintf(out, "%-*s%s", widths[i], columns[i],
		    i < count - 1 ? "  " : "\n");
	}
	json_array_foreach(list, index, item)
	{
		for (i = 0; i < count; i++) {
			cell = format_cell(json_object_get(item, columns[i]));
			fprintf(out, "%-*s%s", widths[i],
			    cell != NULL ? cell : "",
			    i < count - 1 ? "  " : "\n");
			free(cell);
		}
	}
}

static void
print_object(FILE *out, const json_t *object)
{
	const char *field;
	json_t *value;

	json_object_foreach((json_t *)object, field, value)
	{
		fprintf(out, "%s:", field);
		if (is_table(value)) {
			fputc('\n', out);
			print_table(out, value);
			continue;
		}
		fputc(' ', out);
		print_scalar(out, value);
		fputc('\n', out);
	}
}

void
ctl_print_value(FILE *out, const json_t *value)
{
	if (is_table(value)) {
		print_table(out, value);
	} else if (json_is_object(value)) {
		print_object(out, value);
	} else if (json_is_array(value) && json_array_size(value) == 0) {
		fputs("none\n", out);
	} else {
		print_scalar(out, value);
		fputc('\n', out);
	}
}

const char *
ctl_get_text(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return (text != NULL ? text : "");
}

static void
print_problem(FILE *out, const json_t *item)
{
	if (!json_is_object(item)) {
		fputs("  ", out);
		print_scalar(out, item);
		fputc('\n', out);
		return;
	}
	fprintf(out, "  %s: found %s; allowed: %s; remedy: %s\n",
	    ctl_get_text(item, "field"), ctl_get_text(item, "found"),
	    ctl_get_text(item, "allowed"), ctl_get_text(item, "remedy"));
}

void
ctl_print_error(FILE *out, int status, const json_t *body)
{
	const json_t *version = json_object_get(body, "version");
	const json_t *problems, *item;
	size_t index;

	fprintf(out, "tmctl: refused with status %d", status);
	if (ctl_get_text(body, "error")[0] != '\0')
		fprintf(out, ": %s", ctl_get_text(body, "error"));
	if (ctl_get_text(body, "reason")[0] != '\0')
		fprintf(out, ": %s", ctl_get_text(body, "reason"));
	if (status == 412 && json_is_integer(version))
		fprintf(out, "; current version %lld",
		    (long long)json_integer_value(version));
	if (ctl_get_text(body, "remedy")[0] != '\0')
		fprintf(out, "; remedy: %s", ctl_get_text(body, "remedy"));
	fputc('\n', out);
	problems = json_object_get(body, "problems");
	json_array_foreach(problems, index, item)
	{
		print_problem(out, item);
	}
}
