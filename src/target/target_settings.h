/**
 * @file
 * Settings of the stand-in target.
 */
#ifndef TM_TARGET_TARGET_SETTINGS_H
#define TM_TARGET_TARGET_SETTINGS_H

#include <netinet/in.h>
#include <stdint.h>

#include "settings/json_check.h"

#define TARGET_ENTRIES_MAX 64

/** Shape of the service times. */
typedef enum target_time_kind {
	TARGET_TIME_FIXED,
	TARGET_TIME_UNIFORM, /**< from 0 to twice the mean */
	TARGET_TIME_EXPONENTIAL,
	TARGET_TIME_LOGNORMAL
} target_time_kind_t;

typedef struct target_settings {
	const char *id;
	const char *service;
	const char *data_centre;
	const char *log_level;
	struct sockaddr_in listen;
	struct sockaddr_in admin_listen;
	struct sockaddr_in announce; /**< address in the announcement */
	struct sockaddr_in entries[TARGET_ENTRIES_MAX];
	int entry_count;
	const char *target_secret;
	const char *record; /**< file for the record, or NULL */
	int record_starts;
	int record_arrivals;
	const char *marker; /**< text that must never arrive, or NULL */
	int slots;
	int queue;
	int connection_cap;
	int body_bytes;
	int renew_ms;
	int leave_notice_ms;
	int cold_start_ms;
	double cold_start_factor;
	target_time_kind_t time_kind;
	double time_mean_ms;
	double time_sigma;
	double time_max_ms;
	uint64_t seed;
} target_settings_t;

/**
 * Reads the settings; the texts stay valid as long as the checker.
 *
 * @return number of errors, all collected in the checker
 */
int target_settings_load(
    json_check_t *check, const char *file, target_settings_t *settings);

#endif
