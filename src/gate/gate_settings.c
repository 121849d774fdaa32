#include "gate/gate_settings.h"

#include <string.h>

#include "base/error.h"
#include "fleet/fleet_settings.h"
#include "http/http_intake.h"
#include "http/response_budget.h"

const char gate_default_settings[] =
    "{\n"
    "  \"node\": \"gate-1\",\n"
    "  \"zone\": \"dc-1\",\n"
    "  \"ip\": \"127.0.0.1\",\n"
    "  \"listen\": \"127.0.0.1:7300\",\n"
    "  \"ready_listen\": \"127.0.0.1:7301\",\n"
    "  \"peer_port\": 7200,\n"
    "  \"metrics_port\": 0,\n"
    "  \"seeds\": [\"127.0.0.1:7100\"],\n"
    "  \"fleet_secrets\": [\"replace-with-32-random-bytes\"],\n"
    "  \"revoke_within_s\": 5,\n"
    "  \"stop_within_s\": 6,\n"
    "  \"request_buffer_mb\": 64,\n"
    "  \"response_buffer_mb\": 96,\n"
    "  \"rate_window_s\": 5,\n"
    "  \"rate_overshoot\": 0.1,\n"
    "  \"rate_slack\": 20,\n"
    "  \"choice\": \"work\",\n"
    "  \"dialect\": \"platform\",\n"
    "  \"log_level\": \"info\"\n"
    "}\n";

/* In the order of gate_choice_by_t. */
static const char *const choice_names[] = { "work", "requests", NULL };

static void
read_settings(json_node_t *root, void *out)
{
	gate_settings_t *settings = out;

	strncpy(settings->node, json_need_name(root, "node"), NAME_MAX_BYTES);
	strncpy(settings->zone, json_need_name(root, "zone"), NAME_MAX_BYTES);
	fleet_read_ip(root, "ip", settings->ip);
	json_need_address(root, "listen", &settings->listen);
	json_need_address(root, "ready_listen", &settings->ready_listen);
	settings->peer_port =
	    (uint16_t)json_need_int(root, "peer_port", 1, UINT16_MAX, "");
	settings->metrics_port =
	    (uint16_t)json_opt_int(root, "metrics_port", 0, UINT16_MAX, "", 0);
	settings->seed_count = fleet_read_seeds(root, settings->seeds);
	settings->secret_count =
	    program_read_secrets(root, "fleet_secrets", settings->secrets);
	settings->revoke_within_ms =
	    fleet_read_time_ms(root, "revoke_within_s", 5);
	settings->stop_within_ms = fleet_read_time_ms(root, "stop_within_s", 6);
	settings->response_limit_bytes =
	    (size_t)json_opt_int(root, "response_buffer_mb", 16, 65536, "MB",
		RESPONSE_BUDGET_DEFAULT_BYTES / PROGRAM_BYTES_PER_MB) *
	    PROGRAM_BYTES_PER_MB;
	settings->request_limit_bytes =
	    (size_t)json_opt_int(root, "request_buffer_mb", HTTP_INTAKE_MIN_MB,
		HTTP_INTAKE_MAX_MB, "MB", HTTP_INTAKE_DEFAULT_MB) *
	    PROGRAM_BYTES_PER_MB;
	fleet_read_rate_bounds(root, &settings->rates);
	settings->dialect = fleet_read_dialect(root);
	settings->features = fleet_read_features(root, settings->dialect);
	settings->choice = (gate_choice_by_t)json_opt_enum(
	    root, "choice", choice_names, GATE_CHOICE_BY_WORK);
	settings->log_level = program_read_log_level(root);
	json_node_finish(root);
}

int
gate_settings_load(gate_settings_t *settings, const char *file, FILE *errors)
{
	memset(settings, 0, sizeof(*settings));
	return (program_load_settings(file, errors, read_settings, settings));
}
