/**
 * @file
 * Record of what a target ran: one JSON line per request, flushed at once, so
 * that tests can check invariants against it.
 */
#ifndef TM_TARGET_TARGET_RECORD_H
#define TM_TARGET_TARGET_RECORD_H

#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include <uv.h>

#include <h2o.h>

typedef struct target_record {
	FILE *out; /**< NULL: nothing is recorded */
	const char *id;
	int64_t incarnation;
	const char *marker; /**< NULL: not searched */
	int with_starts;
	int with_arrivals;
	uint64_t next_run;
} target_record_t;

/**
 * Opens the file for appending.
 *
 * @param path  NULL: nothing is recorded
 * @return      0 or TM_EIO
 */
int target_record_open(target_record_t *record, const char *path);

/**
 * Writes a line with "phase":"arrival" if the settings ask for it, also for a
 * request that will be shed or cancelled before it runs.
 */
void target_record_arrival(
    target_record_t *record, h2o_req_t *req, int64_t now_ms);

/**
 * Describes a request when it starts to run, and writes a line with
 * "phase":"start" if the settings ask for it.
 *
 * @param arrived_ms  when the request arrived, before it waited for a slot
 * @return the line to finish, or NULL if nothing is recorded
 */
json_t *target_record_start(target_record_t *record, h2o_req_t *req,
    int64_t arrived_ms, int64_t now_ms);

/**
 * Writes the line of a request that ran and releases it.
 *
 * @param line     from target_record_start(); may be NULL
 * @param outcome  see docs/target.md
 * @param status   status sent, or 0
 */
void target_record_end(target_record_t *record, json_t *line, int64_t now_ms,
    const char *outcome, int status);

#endif
