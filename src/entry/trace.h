/**
 * @file
 * Last decisions of this VM, for the explain command.
 */
#ifndef TM_ENTRY_TRACE_H
#define TM_ENTRY_TRACE_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/node_defs.h"

/** Requests that are remembered. */
#define TRACE_RECORDS	   4096
#define TRACE_ID_MAX_BYTES 63

/** What became of a request. */
typedef struct trace_record {
	char request_id[TRACE_ID_MAX_BYTES + 1];
	char workspace[NAME_MAX_BYTES + 1];
	char service[NAME_MAX_BYTES + 1];
	char target[NAME_MAX_BYTES + 1]; /**< last one tried; "" if none */
	const char
	    *reason; /**< error word of a refusal, "answered" or "gone" */
	const char *detail; /**< sentence on the reason; "" if answered */
	const char *remedy; /**< "" if answered */
	int status;
	int is_run_unknown; /**< 0 for a refusal that was not run */
	int is_answered; /**< the caller got the answer of a target */
	uint32_t attempts;
	int64_t ended_ms; /**< boot time */
	int64_t latency_us;
	int64_t retry_after_ms; /**< 0: none */
} trace_record_t;

typedef struct entry_trace entry_trace_t;

/** @return NULL if memory is exhausted */
entry_trace_t *trace_create(void);

/** Adds a record; the oldest one is dropped. */
void trace_add(entry_trace_t *trace, const trace_record_t *record);

/**
 * Describes the newest records with a request id.
 *
 * @return JSON list, a new reference
 */
json_t *trace_find(
    const entry_trace_t *trace, const char *request_id, int64_t now_ms);

#endif
