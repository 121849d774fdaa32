/**
 * @file
 * Settings of tm-gate: reads and checks the file into a structure that the
 * caller owns. Applies nothing.
 */
#ifndef TM_GATE_GATE_SETTINGS_H
#define TM_GATE_GATE_SETTINGS_H

#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>

#include "base/log.h"
#include "fleet/dialect.h"
#include "gate/gate_subset.h"
#include "settings/program_settings.h"

/** Deadline of a request if neither its caller nor its route sets one. */
#define GATE_DEADLINE_DEFAULT_MS 30000

typedef struct gate_settings {
	char node[NAME_MAX_BYTES + 1]; /**< for logs */
	char zone[NAME_MAX_BYTES + 1];
	char ip[FLEET_IP_BYTES];
	struct sockaddr_in listen; /**< for callers */
	struct sockaddr_in ready_listen; /**< for the load balancer */
	uint16_t peer_port; /**< the same on all VMs */
	uint16_t metrics_port; /**< 0: none */
	char seeds[FLEET_HUBS_MAX][FLEET_IP_BYTES];
	int seed_count;
	int secret_count;
	program_secret_t secrets[PEER_SECRETS_MAX];
	int64_t revoke_within_ms; /**< longest use of a withdrawn key */
	int64_t stop_within_ms; /**< from the signal to the exit */
	size_t response_limit_bytes; /**< of all responses together */
	size_t request_limit_bytes; /**< of all large requests together */
	fleet_rate_bounds_t rates;
	uint32_t features; /**< fleet_feature_t that the deployment requires */
	gate_choice_by_t choice; /**< of a target */
	const dialect_t *dialect;
	log_level_t log_level;
} gate_settings_t;

/**
 * Reads and checks a settings file; all problems are written at once.
 *
 * @param errors  receives one line for each problem
 * @return        0, TM_EINVAL if there was a problem, TM_ENOMEM
 */
int gate_settings_load(
    gate_settings_t *settings, const char *file, FILE *errors);

/** Settings that --print-default prints. */
extern const char gate_default_settings[];

#endif
