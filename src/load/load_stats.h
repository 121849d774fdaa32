/**
 * @file
 * Counts and latencies of the load generator, per workspace, and the report.
 */
#ifndef TM_LOAD_LOAD_STATS_H
#define TM_LOAD_LOAD_STATS_H

#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "base/hist.h"
#include "load/load_settings.h"

#define LOAD_STATUS_MAX 600
#define LOAD_ERRORS_MAX 16

/** Whether a request ran, as far as the caller knows. */
typedef enum load_run {
	LOAD_RUN_YES,
	LOAD_RUN_NO,
	LOAD_RUN_UNKNOWN
} load_run_t;

/** Outcome of one request. */
typedef struct load_outcome {
	int status; /**< 0 if there was no complete response */
	load_run_t run;
	const char *error; /**< static text, or NULL */
	int is_mismatched; /**< response to another request */
	int64_t latency_us; /**< from the intended send time */
} load_outcome_t;

/** Figures of one workspace. */
typedef struct load_stats {
	uint64_t offered; /**< intended requests after the warm-up */
	uint64_t done;
	uint64_t in_time; /**< 2xx within the deadline */
	uint64_t ok; /**< 2xx */
	uint64_t mismatched;
	uint64_t by_status[LOAD_STATUS_MAX];
	uint64_t by_run[3];
	struct {
		const char *text;
		uint64_t count;
	} errors[LOAD_ERRORS_MAX];
	hist_t latency; /**< all requests that were answered */
	hist_t latency_ok; /**< 2xx */
} load_stats_t;

/** Figures of the whole run. */
typedef struct load_totals {
	int64_t elapsed_ms;
	uint64_t connections_failed;
	int idle_open;
	int idle_closed;
	int64_t lag_max_us; /**< how late a request was sent at worst */
	hist_t lag;
} load_totals_t;

/** Adds an outcome. */
void load_stats_add(
    load_stats_t *stats, const load_outcome_t *outcome, int deadline_ms);

/** @return "yes", "no" or "unknown" */
const char *load_run_get_name(load_run_t run);

/** @return the report as a new JSON object, or NULL */
json_t *load_stats_to_json(const load_settings_t *settings,
    const load_stats_t *stats, const load_totals_t *totals);

/** Writes the report as a table. */
void load_stats_print(FILE *out, const load_settings_t *settings,
    const load_stats_t *stats, const load_totals_t *totals);

#endif
