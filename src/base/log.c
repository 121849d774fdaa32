#include "base/log.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/error.h"

#define LOG_NODE_MAX 64
/* Numbers of events are below this. */
#define LOG_EVENT_LIMIT 1000
/* Longest line; longer ones are dropped. At most PIPE_BUF. */
#define LOG_LINE_BYTES 4096

static const char *const level_names[] = { "debug", "info", "warn", "error" };

static FILE *log_out;
static log_level_t log_min = LOG_LEVEL_INFO;
static char log_node[LOG_NODE_MAX];

/* The log of log_set_bounded(). */
static struct {
	int is_on;
	int fd;
	FILE *memory; /* writes into line */
	char line[LOG_LINE_BYTES];
	int64_t second;
	uint32_t lines[LOG_EVENT_LIMIT]; /* in this second, by event */
	uint32_t left_out[LOG_EVENT_LIMIT];
	uint64_t dropped;
	uint64_t told; /* of dropped */
} bounded;

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

static void
log_put_line(FILE *out, int event, log_level_t level, const char *message,
    const log_field_t *fields, int count)
{
	int i;

	fprintf(out, "{\"ts_ms\":%lld,\"event\":%d,\"level\":\"%s\",\"node\":",
	    (long long)clock_wall_ms(), event, level_names[level]);
	log_put_string(out, log_node);
	fputs(",\"msg\":", out);
	log_put_string(out, message);
	for (i = 0; i < count; i++)
		log_put_field(out, &fields[i]);
	fputs("}\n", out);
}

int
log_set_bounded(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) != 0)
		return (TM_EIO);
	if (bounded.memory == NULL)
		bounded.memory =
		    fmemopen(bounded.line, sizeof(bounded.line), "w");
	if (bounded.memory == NULL)
		return (TM_ENOMEM);
	bounded.fd = fd;
	bounded.is_on = 1;
	return (TM_OK);
}

uint64_t
log_get_dropped(void)
{
	return (bounded.dropped);
}

/* Writes one line, or none of it. */
static void
bounded_put(int event, log_level_t level, const char *message,
    const log_field_t *fields, int count)
{
	long len;
	ssize_t written;

	rewind(bounded.memory);
	log_put_line(bounded.memory, event, level, message, fields, count);
	fflush(bounded.memory);
	len = ftell(bounded.memory);
	if (len <= 0 || (size_t)len >= sizeof(bounded.line)) {
		bounded.dropped++;
		return;
	}
	/* A line below PIPE_BUF is written whole or not at all. */
	written = write(bounded.fd, bounded.line, (size_t)len);
	if (written != len)
		bounded.dropped++;
}

/* Tells what was left out in the second that has ended. */
static void
bounded_end_second(int64_t second)
{
	uint64_t dropped = bounded.dropped - bounded.told;
	uint32_t left_out = 0;
	int worst = 0;
	int i;

	for (i = 0; i < LOG_EVENT_LIMIT; i++) {
		left_out += bounded.left_out[i];
		if (bounded.left_out[i] > bounded.left_out[worst])
			worst = i;
	}
	memset(bounded.lines, 0, sizeof(bounded.lines));
	memset(bounded.left_out, 0, sizeof(bounded.left_out));
	bounded.second = second;
	bounded.told = bounded.dropped;
	if (left_out == 0 && dropped == 0)
		return;
	{
		const log_field_t fields[] = { LOG_NUM("left_out", left_out),
			LOG_NUM("most_of_event", worst),
			LOG_NUM("dropped", dropped) };

		log_write(
		    110, LOG_LEVEL_WARN, "log lines were left out", fields, 3);
	}
}

static void
bounded_write(int event, log_level_t level, const char *message,
    const log_field_t *fields, int count)
{
	int64_t second = clock_now_ms() / MS_PER_SEC;

	if (second != bounded.second)
		bounded_end_second(second);
	if (event >= 0 && event < LOG_EVENT_LIMIT &&
	    ++bounded.lines[event] > LOG_LINES_PER_S) {
		bounded.left_out[event]++;
		return;
	}
	bounded_put(event, level, message, fields, count);
}

void
log_write(int event, log_level_t level, const char *message,
    const log_field_t *fields, int count)
{
	FILE *out = log_out != NULL ? log_out : stderr;

	if (level < log_min)
		return;
	if (bounded.is_on) {
		bounded_write(event, level, message, fields, count);
		return;
	}
	log_put_line(out, event, level, message, fields, count);
	fflush(out);
}
