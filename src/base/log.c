#include "base/log.h"

#include <string.h>

#include "base/clock.h"
#include "base/error.h"

#define LOG_NODE_MAX 64

static const char *const level_names[] = { "debug", "info", "warn", "error" };

static FILE *log_out;
static log_level_t log_min = LOG_LEVEL_INFO;
static char log_node[LOG_NODE_MAX];

void
log_configure(FILE *out, log_level_t min, const char *node)
{
	log_out = out;
	log_min = min;
	snprintf(log_node, sizeof(log_node), "%s", node);
}

int
log_parse_level(const char *name, log_level_t *level)
{
	int i;

	for (i = 0; i < 4; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (log_level_t)i;
			return (TM_OK);
		}
	}
	return (TM_EINVAL);
}

static void
log_put_string(FILE *out, const char *text)
{
	const unsigned char *p;

	fputc('"', out);
	for (p = (const unsigned char *)text; *p != '\0'; p++) {
		if (*p == '"' || *p == '\\')
			fprintf(out, "\\%c", *p);
		else if (*p < 0x20)
			fprintf(out, "\\u%04x", *p);
		else
			fputc(*p, out);
	}
	fputc('"', out);
}

static void
log_put_field(FILE *out, const log_field_t *field)
{
	fprintf(out, ",\"%s\":", field->name);
	if (field->text != NULL)
		log_put_string(out, field->text);
	else
		fprintf(out, "%lld", (long long)field->number);
}

void
log_write(int event, log_level_t level, const char *message,
    const log_field_t *fields, int count)
{
	FILE *out = log_out != NULL ? log_out : stderr;
	int i;

	if (level < log_min)
		return;
	fprintf(out, "{\"ts_ms\":%lld,\"event\":%d,\"level\":\"%s\",\"node\":",
	    (long long)clock_wall_ms(), event, level_names[level]);
	log_put_string(out, log_node);
	fputs(",\"msg\":", out);
	log_put_string(out, message);
	for (i = 0; i < count; i++)
		log_put_field(out, &fields[i]);
	fputs("}\n", out);
	fflush(out);
}
