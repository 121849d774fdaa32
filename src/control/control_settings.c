#include "control/control_settings.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/error.h"
#include "settings/json_check.h"

const char control_default_settings[] =
    "{\n"
    "  \"node\": \"control-1\",\n"
    "  \"data_centre\": \"dc-1\",\n"
    "  \"data_dir\": \"/var/lib/tarragonmoor\",\n"
    "  \"admin_listen\": \"127.0.0.1:7100\",\n"
    "  \"peer_listen\": \"127.0.0.1:7200\",\n"
    "  \"control_vms\": [\n"
    "    {\"name\": \"control-1\", \"peer\": \"127.0.0.1:7200\","
    " \"admin\": \"127.0.0.1:7100\"},\n"
    "    {\"name\": \"control-2\", \"peer\": \"127.0.0.1:7201\","
    " \"admin\": \"127.0.0.1:7101\"},\n"
    "    {\"name\": \"control-3\", \"peer\": \"127.0.0.1:7202\","
    " \"admin\": \"127.0.0.1:7102\"}\n"
    "  ],\n"
    "  \"fleet_secrets\": [\"replace-with-32-random-bytes\"],\n"
    "  \"operators\": [\n"
    "    {\"name\": \"operator-1\", \"token_sha256\":\n"
    "      \"0000000000000000000000000000000000000000000000000000000000000000"
    "\"}\n"
    "  ],\n"
    "  \"log_level\": \"info\"\n"
    "}\n";

const control_vm_t *
control_settings_find_vm(const control_settings_t *settings, node_id_t id)
{
	int i;

	for (i = 0; i < settings->vm_count; i++) {
		if (settings->vms[i].id == id)
			return (&settings->vms[i]);
	}
	return (NULL);
}

static void
control_read_address(
    json_node_t *node, const char *field, char *ip, uint16_t *port)
{
	struct sockaddr_in addr;

	if (!json_need_address(node, field, &addr))
		return;
	inet_ntop(AF_INET, &addr.sin_addr, ip, CONTROL_IP_TEXT_BYTES);
	*port = ntohs(addr.sin_port);
}

static void
control_read_vm(json_node_t *node, control_settings_t *settings)
{
	control_vm_t *vm = &settings->vms[settings->vm_count];
	const char *name = json_need_name(node, "name");

	strncpy(vm->name, name, NAME_MAX_BYTES);
	vm->id = node_id_from_name(name);
	control_read_address(node, "peer", vm->peer_ip, &vm->peer_port);
	control_read_address(node, "admin", vm->admin_ip, &vm->admin_port);
	json_node_finish(node);
	if (vm->id != NODE_ID_NONE &&
	    control_settings_find_vm(settings, vm->id) != NULL)
		json_node_add_error(node, "name", name, "a name used only once",
		    "give each control VM its own name");
	settings->vm_count++;
}

static void
control_read_vms(json_node_t *root, control_settings_t *settings)
{
	json_node_t child;
	int count;
	int i;

	count = json_need_list(
	    root, "control_vms", 1, RAFT_MEMBERS_MAX, "control VMs");
	for (i = 0; i < count; i++) {
		if (json_list_get_object(root, "control_vms", i, &child))
			control_read_vm(&child, settings);
	}
	if (settings->vm_count > 0 && settings->node[0] != '\0' &&
	    control_settings_find_vm(
		settings, node_id_from_name(settings->node)) == NULL)
		json_node_add_error(root, "node", settings->node,
		    "the name of one of control_vms",
		    "add this VM to control_vms, or correct the name");
}

static void
control_read_operators(json_node_t *root, control_settings_t *settings)
{
	control_operator_t *entry;
	json_node_t child;
	int count;
	int i;

	count = json_need_list(
	    root, "operators", 1, CONTROL_OPERATORS_MAX, "operators");
	for (i = 0; i < count; i++) {
		if (!json_list_get_object(root, "operators", i, &child))
			continue;
		entry = &settings->operators[settings->operator_count++];
		strncpy(entry->name, json_need_name(&child, "name"),
		    NAME_MAX_BYTES);
		json_need_sha256(&child, "token_sha256", entry->token_sha256);
		json_node_finish(&child);
	}
}

static void
control_read_settings(json_node_t *root, void *out)
{
	control_settings_t *settings = out;

	strncpy(settings->node, json_need_name(root, "node"), NAME_MAX_BYTES);
	strncpy(settings->data_centre, json_need_name(root, "data_centre"),
	    NAME_MAX_BYTES);
	strncpy(settings->data_dir,
	    json_need_text(root, "data_dir", 1, CONTROL_PATH_MAX_BYTES),
	    CONTROL_PATH_MAX_BYTES);
	json_need_address(root, "admin_listen", &settings->admin_listen);
	json_need_address(root, "peer_listen", &settings->peer_listen);
	http_tls_read_settings(root, &settings->tls);
	settings->log_level = program_read_log_level(root);
	control_read_vms(root, settings);
	settings->secret_count =
	    program_read_secrets(root, "fleet_secrets", settings->secrets);
	control_read_operators(root, settings);
	json_node_finish(root);
}

int
control_settings_load(
    control_settings_t *settings, const char *file, FILE *errors)
{
	memset(settings, 0, sizeof(*settings));
	return (program_load_settings(
	    file, errors, control_read_settings, settings));
}
