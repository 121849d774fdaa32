/**
 * @file
 * Structured log: one JSON object per line, on standard error unless a program
 * says otherwise. Each event has a number that is listed with its meaning in
 * docs/events.md; a number is never reused for another meaning.
 */
#ifndef TM_BASE_LOG_H
#define TM_BASE_LOG_H

#include <stdint.h>
#include <stdio.h>

/** Severity of an event. */
typedef enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR
} log_level_t;

/** One named value of an event. */
typedef struct log_field {
	const char *name;
	const char *text; /**< NULL if the value is a number */
	int64_t number;
} log_field_t;

/** A text field; a NULL text is written as an empty string. */
#define LOG_TEXT(field, value) \
	((log_field_t){ .name = (field), .text = (value) ? (value) : "" })
/** A number field; the unit belongs into the name (_ms, _bytes). */
#define LOG_NUM(field, value) \
	((log_field_t){ .name = (field), .number = (int64_t)(value) })

/**
 * Sets where and what the process logs.
 *
 * @param out    stream, standard error by default
 * @param min    events below this severity are dropped
 * @param node   node name put into each line; copied
 */
void log_configure(FILE *out, log_level_t min, const char *node);

/** Lines of one event in a second; further ones are only counted. */
#define LOG_LINES_PER_S 100

/**
 * Bounds the log, so that it can neither slow the process down nor block it:
 * lines go to a file descriptor, which is made non-blocking. Lines that a full
 * pipe does not take are dropped, as are lines of an event beyond
 * LOG_LINES_PER_S; event 110 tells their number once a second.
 *
 * @return 0, TM_EIO if the descriptor cannot be used, TM_ENOMEM
 */
int log_set_bounded(int fd);

/** @return lines that were dropped because the reader was too slow */
uint64_t log_get_dropped(void);

/**
 * Parses the name of a severity.
 *
 * @return 0, or TM_EINVAL if the name is not debug, info, warn or error
 */
int log_parse_level(const char *name, log_level_t *level);

/**
 * Writes one event.
 *
 * @param event   number from docs/events.md
 * @param level   severity
 * @param message short constant text
 * @param fields  fields of the event
 * @param count   number of fields
 */
void log_write(int event, log_level_t level, const char *message,
    const log_field_t *fields, int count);

/** Writes an event with fields given as LOG_TEXT() and LOG_NUM(). */
#define LOG_EVENT(event, level, message, ...)                         \
	do {                                                          \
		const log_field_t fields_[] = { LOG_NUM("pid", 0),    \
			##__VA_ARGS__ };                              \
		log_write((event), (level), (message), fields_ + 1,   \
		    (int)(sizeof(fields_) / sizeof(fields_[0])) - 1); \
	} while (0)

#endif
