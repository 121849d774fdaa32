#include "entry/entry_settings.h"

#include <string.h>

#include "base/error.h"
#include "http/http_intake.h"
#include "settings/json_check.h"

#define NOTICE_MAX_MS 60000

const char entry_default_settings[] =
    "{\n"
    "  \"node\": \"entry-1\",\n"
    "  \"data_centre\": \"dc-1\",\n"
    "  \"listen\": \"127.0.0.1:8080\",\n"
    "  \"ops_listen\": \"127.0.0.1:8081\",\n"
    "  \"peer_listen\": \"127.0.0.1:8082\",\n"
    "  \"control_vms\": [\n"
    "    {\"name\": \"control-1\", \"address\": \"127.0.0.1:7200\"},\n"
    "    {\"name\": \"control-2\", \"address\": \"127.0.0.1:7201\"},\n"
    "    {\"name\": \"control-3\", \"address\": \"127.0.0.1:7202\"}\n"
    "  ],\n"
    "  \"fleet_secrets\": [\"replace-with-32-random-bytes\"],\n"
    "  \"target_secrets\": [\"replace-with-another-secret\"],\n"
    "  \"request_buffer_mb\": 64,\n"
    "  \"log_level\": \"info\"\n"
    "}\n";

static const char *const mode_words[] = { "fleet", "baseline", NULL };

static void
read_control(json_node_t *node, entry_control_t *control)
{
	const char *name = json_need_name(node, "name");

	strncpy(control->name, name, NAME_MAX_BYTES);
	control->id = node_id_from_name(name);
	json_need_address(node, "address", &control->peer);
	json_node_finish(node);
}

static void
read_controls(json_node_t *root, entry_settings_t *settings)
{
	json_node_t child;
	int count;
	int i;

	count = json_need_list(
	    root, "control_vms", 1, ENTRY_CONTROLS_MAX, "control VMs");
	for (i = 0; i < count; i++) {
		if (json_list_get_object(root, "control_vms", i, &child))
			read_control(&child,
			    &settings->controls[settings->control_count++]);
	}
}

static void
read_secrets(json_node_t *root, entry_settings_t *settings)
{
	settings->secret_count =
	    program_read_secrets(root, "fleet_secrets", settings->secrets);
	settings->target_secret_count = program_read_secrets(
	    root, "target_secrets", settings->target_secrets);
}

static void
read_settings(json_node_t *root, void *out)
{
	entry_settings_t *settings = out;

	strncpy(settings->node, json_need_name(root, "node"), NAME_MAX_BYTES);
	strncpy(settings->data_centre, json_need_name(root, "data_centre"),
	    NAME_MAX_BYTES);
	json_need_address(root, "listen", &settings->listen);
	json_need_address(root, "ops_listen", &settings->ops_listen);
	json_need_address(root, "peer_listen", &settings->peer_listen);
	http_tls_read_settings(root, &settings->tls);
	read_controls(root, settings);
	read_secrets(root, settings);
	settings->request_limit_bytes =
	    (size_t)json_opt_int(root, "request_buffer_mb", HTTP_INTAKE_MIN_MB,
		HTTP_INTAKE_MAX_MB, "MB", HTTP_INTAKE_DEFAULT_MB) *
	    PROGRAM_BYTES_PER_MB;
	settings->log_level = program_read_log_level(root);
	settings->mode = (entry_mode_t)json_opt_enum(
	    root, "decision_mode", mode_words, ENTRY_MODE_FLEET);
	settings->drain_notice_ms = json_opt_int(root, "drain_notice_ms", 0,
	    NOTICE_MAX_MS, "ms", ENTRY_NOTICE_DEFAULT_MS);
	json_node_finish(root);
}

int
entry_settings_load(entry_settings_t *settings, const char *file, FILE *errors)
{
	memset(settings, 0, sizeof(*settings));
	return (program_load_settings(file, errors, read_settings, settings));
}
