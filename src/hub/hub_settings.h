/**
 * @file
 * Settings of tm-hub: reads and checks the settings file. Keeps no state.
 */
#ifndef TM_HUB_HUB_SETTINGS_H
#define TM_HUB_HUB_SETTINGS_H

#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>

#include "base/log.h"
#include "fleet/dialect.h"
#include "settings/program_settings.h"

#define HUB_PATH_MAX_BYTES   255
#define HUB_DATA_CENTRES_MAX 64

typedef struct hub_settings {
	char node[NAME_MAX_BYTES + 1]; /**< for logs */
	char zone[NAME_MAX_BYTES + 1];
	char data_dir[HUB_PATH_MAX_BYTES + 1];
	char ip[FLEET_IP_BYTES]; /**< address and name among the hubs */
	struct sockaddr_in listen; /**< for targets and operators */
	uint16_t peer_port; /**< the same on all VMs */
	uint16_t metrics_port; /**< 0: none */
	char seeds[FLEET_HUBS_MAX][FLEET_IP_BYTES];
	int seed_count;
	int is_first_start; /**< new fleet: no hub has a log yet */
	int secret_count;
	program_secret_t secrets[PEER_SECRETS_MAX];
	double retry_ratio; /**< retries of a service per request */
	double retry_burst; /**< retries beyond that ratio */
	fleet_rate_bounds_t rates;
	double used_share_min; /**< of a service's sound targets must get
				* requests */
	uint32_t features; /**< fleet_feature_t that the deployment requires */
	int64_t evacuate_within_ms; /**< from an order to its effect at all
				     * gates; 0: data centres are not evacuated */
	int data_centre_count;
	char data_centres[HUB_DATA_CENTRES_MAX]
			 [NAME_MAX_BYTES + 1]; /**< of the deployment */
	int lost_data_centres_max; /**< that the log must survive */
	double warmup_overshoot; /**< of the requests that a cold target takes;
				  * 0: no bound */
	double warmup_slack; /**< requests beyond that in one second */
	/** Memory of a target for requests, in MB; 0: it is learned. */
	int target_memory_mb;
	const dialect_t *dialect;
	log_level_t log_level;
} hub_settings_t;

/**
 * Reads and checks a settings file; reports all problems, not only the first.
 *
 * @param errors  receives one line for each problem
 * @return        0, TM_EINVAL if there was a problem, TM_ENOMEM
 */
int hub_settings_load(hub_settings_t *settings, const char *file, FILE *errors);

/** Example for --print-default. */
extern const char hub_default_settings[];

#endif
