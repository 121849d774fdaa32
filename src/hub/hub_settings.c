#include "hub/hub_settings.h"

#include <string.h>

#include "base/error.h"
#include "fleet/fleet_settings.h"

/* Bounds of the retry budget; larger values would not limit retries. */
#define RETRY_RATIO_MAX 1.0
#define RETRY_BURST_MAX 10000.0
#define MS_PER_S	1000.0
/* Bounds of the settings for evacuations and cold targets. */
#define EVACUATE_MAX_S	     3600.0
#define WARMUP_OVERSHOOT_MAX 100.0
#define WARMUP_SLACK_MAX     10000.0
#define TARGET_MEMORY_MAX_MB 65536

const char hub_default_settings[] =
    "{\n"
    "  \"node\": \"hub-1\",\n"
    "  \"zone\": \"dc-1\",\n"
    "  \"data_dir\": \"/var/lib/tarragonmoor\",\n"
    "  \"ip\": \"127.0.0.1\",\n"
    "  \"listen\": \"127.0.0.1:7100\",\n"
    "  \"peer_port\": 7200,\n"
    "  \"metrics_port\": 0,\n"
    "  \"seeds\": [\"127.0.0.1:7100\"],\n"
    "  \"is_first_start\": true,\n"
    "  \"fleet_secrets\": [\"replace-with-32-random-bytes\"],\n"
    "  \"retry_ratio\": 0.2,\n"
    "  \"retry_burst\": 60,\n"
    "  \"rate_window_s\": 5,\n"
    "  \"rate_overshoot\": 0.1,\n"
    "  \"rate_slack\": 20,\n"
    "  \"used_share_min\": 0.7,\n"
    "  \"dialect\": \"platform\",\n"
    "  \"log_level\": \"info\"\n"
    "}\n";

static void
read_data_centres(json_node_t *root, hub_settings_t *settings)
{
	int i;

	settings->data_centre_count = json_opt_list(
	    root, "data_centres", 0, HUB_DATA_CENTRES_MAX, "names");
	for (i = 0; i < settings->data_centre_count; i++)
		strncpy(settings->data_centres[i],
		    json_list_get_text(
			root, "data_centres", i, 1, NAME_MAX_BYTES),
		    NAME_MAX_BYTES);
}

static void
read_settings(json_node_t *root, void *out)
{
	hub_settings_t *settings = out;

	strncpy(settings->node, json_need_name(root, "node"), NAME_MAX_BYTES);
	strncpy(settings->zone, json_need_name(root, "zone"), NAME_MAX_BYTES);
	strncpy(settings->data_dir,
	    json_need_text(root, "data_dir", 1, HUB_PATH_MAX_BYTES),
	    HUB_PATH_MAX_BYTES);
	fleet_read_ip(root, "ip", settings->ip);
	json_need_address(root, "listen", &settings->listen);
	settings->peer_port =
	    (uint16_t)json_need_int(root, "peer_port", 1, UINT16_MAX, "");
	settings->metrics_port =
	    (uint16_t)json_opt_int(root, "metrics_port", 0, UINT16_MAX, "", 0);
	settings->seed_count = fleet_read_seeds(root, settings->seeds);
	settings->is_first_start = json_opt_bool(root, "is_first_start", 0);
	settings->secret_count =
	    program_read_secrets(root, "fleet_secrets", settings->secrets);
	settings->retry_ratio =
	    json_opt_real(root, "retry_ratio", 0, RETRY_RATIO_MAX, "", 0.2);
	settings->retry_burst = json_opt_real(
	    root, "retry_burst", 0, RETRY_BURST_MAX, "requests", 60);
	fleet_read_rate_bounds(root, &settings->rates);
	settings->used_share_min =
	    json_opt_real(root, "used_share_min", 0, 1, "", 0.7);
	settings->dialect = fleet_read_dialect(root);
	settings->features = fleet_read_features(root, settings->dialect);
	settings->evacuate_within_ms = (int64_t)(MS_PER_S *
	    json_opt_real(
		root, "evacuate_within_s", 0, EVACUATE_MAX_S, "s", 0));
	read_data_centres(root, settings);
	settings->lost_data_centres_max = (int)json_opt_int(
	    root, "lost_data_centres_max", 0, HUB_DATA_CENTRES_MAX, "", 0);
	settings->warmup_overshoot = json_opt_real(
	    root, "warmup_overshoot", 0, WARMUP_OVERSHOOT_MAX, "", 0);
	settings->warmup_slack = json_opt_real(
	    root, "warmup_slack", 0, WARMUP_SLACK_MAX, "requests", 0);
	settings->target_memory_mb = (int)json_opt_int(
	    root, "target_memory_mb", 0, TARGET_MEMORY_MAX_MB, "MB", 0);
	settings->log_level = program_read_log_level(root);
	json_node_finish(root);
}

int
hub_settings_load(hub_settings_t *settings, const char *file, FILE *errors)
{
	memset(settings, 0, sizeof(*settings));
	return (program_load_settings(file, errors, read_settings, settings));
}
