/**
 * @file
 * Settings of the load generator.
 */
#ifndef TM_LOAD_LOAD_SETTINGS_H
#define TM_LOAD_LOAD_SETTINGS_H

#include <netinet/in.h>
#include <stdint.h>

#include "settings/json_check.h"

#define LOAD_ENTRIES_MAX    64
#define LOAD_WORKSPACES_MAX 1000
#define LOAD_PATHS_MAX	    64
#define LOAD_HEADERS_MAX    16

/** Spacing of the intended send times. */
typedef enum load_arrivals {
	LOAD_ARRIVALS_POISSON,
	LOAD_ARRIVALS_EVEN
} load_arrivals_t;

/** Where request ids come from. */
typedef enum load_ids {
	LOAD_IDS_FRESH,
	LOAD_IDS_REPEATED, /**< a share repeats an id, path and body */
	LOAD_IDS_NONE
} load_ids_t;

/** One path of a workspace's mix. */
typedef struct load_path {
	const char *path;
	double weight;
} load_path_t;

/** Load of one workspace. */
typedef struct load_workspace {
	const char *name;
	const char *key; /**< NULL: no key is sent */
	const char *host;
	const char *method;
	double rate_per_s;
	load_arrivals_t arrivals;
	int burst_period_ms; /**< 0: no bursts */
	int burst_on_ms;
	double burst_factor;
	load_path_t paths[LOAD_PATHS_MAX];
	int path_count;
	double weight_sum;
	int body_bytes;
	load_ids_t ids;
	double repeat_share;
	int deadline_ms;
	const char *headers[LOAD_HEADERS_MAX];
	int header_count;
} load_workspace_t;

typedef struct load_settings {
	struct sockaddr_in entries[LOAD_ENTRIES_MAX];
	int entry_count;
	int64_t duration_ms;
	int64_t warmup_ms;
	int64_t drain_ms;
	int timeout_ms;
	int max_connections;
	int idle_connections;
	int verify;
	double expect_ok_share;
	const char *record; /**< JSON-lines file, or NULL */
	const char *report; /**< JSON report file, or NULL */
	uint64_t seed;
	load_workspace_t *workspaces;
	int workspace_count;
} load_settings_t;

/**
 * Reads the settings; the texts stay valid as long as the checker.
 *
 * @return number of errors, all collected in the checker
 */
int load_settings_read(
    json_check_t *check, const char *file, load_settings_t *settings);

/** Frees the list of workspaces. */
void load_settings_release(load_settings_t *settings);

#endif
