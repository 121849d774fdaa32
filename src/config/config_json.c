#include "config/config_json.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hex.h"
#include "config/config_object.h"

static const char *const ejection_words[] = { "eager", "normal", "cautious",
	NULL };
static const char *const repeat_words[] = { "forbidden", "allowed", NULL };

/* Replaces a text of a message. */
static int
config_set_text(char **field, const char *text)
{
	char *copy = strdup(text);

	if (copy == NULL)
		return (TM_ENOMEM);
	*field = copy;
	return (TM_OK);
}

static int
config_read_profile(json_node_t *node, Feed__Object *out)
{
	out->ejection = (uint32_t)json_opt_enum(
	    node, "ejection", ejection_words, CONFIG_EJECTION_NORMAL);
	out->floor_percent =
	    (uint32_t)json_opt_int(node, "floor_percent", 0, 100, "%", 50);
	out->repeat_allowed =
	    json_opt_enum(node, "repeat", repeat_words, 0) == 1;
	out->deadline_ms = (uint32_t)json_opt_int(
	    node, "deadline_ms", 1, CONFIG_DEADLINE_MAX_MS, "ms", 10000);
	return (TM_OK);
}

static int
config_read_workspace(json_node_t *node, Feed__Object *out)
{
	out->rate_per_s = (uint32_t)json_need_int(
	    node, "rate_per_s", 1, CONFIG_RATE_MAX_PER_S, "requests/s");
	out->burst = (uint32_t)json_need_int(
	    node, "burst", 1, CONFIG_BURST_MAX, "requests");
	return (TM_OK);
}

static int
config_read_key(json_node_t *node, Feed__Object *out)
{
	uint8_t digest[JSON_SHA256_BYTES];

	out->withdrawn = json_opt_bool(node, "withdrawn", 0);
	json_need_sha256(node, "secret_sha256", digest);
	out->secret_sha256.data = malloc(sizeof(digest));
	if (out->secret_sha256.data == NULL)
		return (TM_ENOMEM);
	memcpy(out->secret_sha256.data, digest, sizeof(digest));
	out->secret_sha256.len = sizeof(digest);
	return (config_set_text(
	    &out->workspace, json_need_name(node, "workspace")));
}

static int
config_read_workspace_list(json_node_t *node, Feed__Object *out)
{
	const char *name;
	int count;
	int i;

	count = json_need_list(node, "workspaces", 0,
	    CONFIG_ROUTE_WORKSPACES_MAX, "workspace names");
	if (count == 0)
		return (TM_OK);
	out->workspaces = calloc((size_t)count, sizeof(char *));
	if (out->workspaces == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < count; i++) {
		name = json_list_get_text(
		    node, "workspaces", i, 1, NAME_MAX_BYTES);
		if (name[0] != '\0' && !node_name_is_valid(name))
			json_node_add_error(node, "workspaces", name,
			    "names of [A-Za-z0-9._-]", "correct the name");
		out->workspaces[i] = strdup(name);
		if (out->workspaces[i] == NULL)
			return (TM_ENOMEM);
		out->n_workspaces = (size_t)i + 1;
	}
	return (TM_OK);
}

static int
config_read_workspaces(json_node_t *node, Feed__Object *out)
{
	const json_t *value = json_node_get_raw(node, "workspaces");

	if (!json_is_string(value))
		return (config_read_workspace_list(node, out));
	out->all_workspaces = strcmp(json_string_value(value), "all") == 0;
	if (!out->all_workspaces)
		json_node_add_error(node, "workspaces",
		    json_string_value(value),
		    "\"all\" or a list of workspace names",
		    "write the name into a list");
	return (TM_OK);
}

static int
config_read_route(json_node_t *node, Feed__Object *out)
{
	const char *host =
	    json_opt_text(node, "host", 0, CONFIG_HOST_MAX_BYTES, "");
	const char *path =
	    json_need_text(node, "path_prefix", 1, CONFIG_PATH_MAX_BYTES);
	int err;

	if (!config_host_is_valid(host))
		json_node_add_error(node, "host", host,
		    "a host name in lower case, without port",
		    "correct the name, or leave it out for any host");
	if (path[0] != '\0' && !config_path_is_valid(path))
		json_node_add_error(node, "path_prefix", path,
		    "a path that starts with /, without //, ?, # or blanks",
		    "correct the path");
	err = config_set_text(&out->host, host);
	if (err == TM_OK)
		err = config_set_text(&out->path_prefix, path);
	if (err == TM_OK)
		err = config_set_text(
		    &out->service, json_need_name(node, "service"));
	if (err == TM_OK)
		err = config_read_workspaces(node, out);
	return (err);
}

static int
config_read_body(json_node_t *node, Feed__Object *out)
{
	switch (out->kind) {
	case CONFIG_KIND_PROFILE:
		return (config_read_profile(node, out));
	case CONFIG_KIND_SERVICE:
		return (config_set_text(
		    &out->profile, json_need_name(node, "profile")));
	case CONFIG_KIND_ROUTE:
		return (config_read_route(node, out));
	case CONFIG_KIND_WORKSPACE:
		return (config_read_workspace(node, out));
	default:
		return (config_read_key(node, out));
	}
}

static const char *
config_name_field(config_kind_t kind)
{
	return (kind == CONFIG_KIND_KEY ? "id" : "name");
}

static int
config_read_name(json_node_t *node, Feed__Object *out, const char *name)
{
	const char *field = config_name_field((config_kind_t)out->kind);
	const char *found = name != NULL ? json_opt_name(node, field, name)
					 : json_need_name(node, field);

	if (name != NULL && strcmp(found, name) != 0)
		json_node_add_error(node, field, found, name,
		    "use the name of the path, or leave the field out");
	return (config_set_text(&out->name, found));
}

Feed__Object *
config_json_read_object(json_node_t *node, config_kind_t kind, const char *name)
{
	Feed__Object *out;
	int err;

	if (node->value == NULL)
		return (NULL);
	out = malloc(sizeof(*out));
	if (out == NULL)
		return (NULL);
	feed__object__init(out);
	out->kind = kind;
	/* Objects that were read from the API can be sent back as they are. */
	json_node_ignore(node, "version");
	err = config_read_name(node, out, name);
	if (err == TM_OK)
		err = config_read_body(node, out);
	json_node_finish(node);
	if (err == TM_OK)
		return (out);
	feed__object__free_unpacked(out, NULL);
	return (NULL);
}

int
config_change_add_item(
    Feed__Change *change, config_op_t op, Feed__Object *object)
{
	Feed__ChangeItem **items = realloc(
	    change->items, (change->n_items + 1) * sizeof(Feed__ChangeItem *));
	Feed__ChangeItem *item = malloc(sizeof(*item));

	if (items != NULL)
		change->items = items;
	if (items == NULL || item == NULL) {
		free(item);
		feed__object__free_unpacked(object, NULL);
		return (TM_ENOMEM);
	}
	feed__change_item__init(item);
	item->op = op;
	item->object = object;
	change->items[change->n_items++] = item;
	return (TM_OK);
}

void
config_change_free_items(Feed__Change *change)
{
	size_t i;

	for (i = 0; i < change->n_items; i++)
		feed__change_item__free_unpacked(change->items[i], NULL);
	free(change->items);
	change->items = NULL;
	change->n_items = 0;
}

static int
config_read_list(
    json_node_t *root, const char *field, config_kind_t kind, Feed__Change *out)
{
	Feed__Object *object;
	json_node_t child;
	int count;
	int i;

	count =
	    json_opt_list(root, field, 0, CONFIG_FILE_OBJECTS_MAX, "objects");
	for (i = 0; i < count; i++) {
		if (!json_list_get_object(root, field, i, &child))
			continue;
		object = config_json_read_object(&child, kind, NULL);
		if (object == NULL ||
		    config_change_add_item(out, CONFIG_OP_PUT, object) != TM_OK)
			return (TM_ENOMEM);
	}
	return (TM_OK);
}

int
config_json_read_file(json_node_t *root, Feed__Change *change)
{
	int err = TM_OK;

	if (root->value == NULL)
		return (TM_OK);
	err = config_read_list(root, "profiles", CONFIG_KIND_PROFILE, change);
	if (err == TM_OK)
		err = config_read_list(
		    root, "workspaces", CONFIG_KIND_WORKSPACE, change);
	if (err == TM_OK)
		err = config_read_list(
		    root, "services", CONFIG_KIND_SERVICE, change);
	if (err == TM_OK)
		err =
		    config_read_list(root, "routes", CONFIG_KIND_ROUTE, change);
	if (err == TM_OK)
		err = config_read_list(root, "keys", CONFIG_KIND_KEY, change);
	json_node_finish(root);
	if (change->n_items == 0 &&
	    json_check_get_error_count(root->check) == 0)
		json_node_add_error(root, NULL, "no objects",
		    "lists profiles, workspaces, services, routes, keys",
		    "write at least one object");
	return (err);
}

static int
config_change_puts(
    const Feed__Change *change, config_kind_t kind, const char *name)
{
	const Feed__ChangeItem *item;
	size_t i;

	for (i = 0; i < change->n_items; i++) {
		item = change->items[i];
		if (item->op == CONFIG_OP_PUT && item->object->kind == kind &&
		    strcmp(item->object->name, name) == 0)
			return (1);
	}
	return (0);
}

/* What the errors of one change refer to. */
typedef struct reference_check {
	const config_state_t *state;
	const Feed__Change *change;
	json_node_t *node;
} reference_check_t;

static void
config_check_name(reference_check_t *check, const char *field,
    config_kind_t kind, const char *name)
{
	char allowed[64];

	if (name[0] == '\0' ||
	    config_state_find(check->state, kind, name) != NULL ||
	    config_change_puts(check->change, kind, name))
		return;
	snprintf(allowed, sizeof(allowed), "the name of an existing %s",
	    config_kind_get_name(kind));
	json_node_add_error(check->node, field, name, allowed,
	    "create it first, or in the same file");
}

static void
config_check_revival(reference_check_t *check, const Feed__Object *object)
{
	const config_key_t *key = config_state_find_key(
	    check->state, object->name, strlen(object->name));

	if (key == NULL || !key->withdrawn || object->withdrawn)
		return;
	json_node_add_error(check->node, "withdrawn", object->name,
	    "true for a key that was withdrawn", "issue a new key");
}

static void
config_check_object(reference_check_t *check, const Feed__Object *object)
{
	size_t i;

	switch (object->kind) {
	case CONFIG_KIND_SERVICE:
		config_check_name(
		    check, "profile", CONFIG_KIND_PROFILE, object->profile);
		break;
	case CONFIG_KIND_ROUTE:
		config_check_name(
		    check, "service", CONFIG_KIND_SERVICE, object->service);
		for (i = 0; i < object->n_workspaces; i++)
			config_check_name(check, "workspaces",
			    CONFIG_KIND_WORKSPACE, object->workspaces[i]);
		break;
	case CONFIG_KIND_KEY:
		config_check_name(check, "workspace", CONFIG_KIND_WORKSPACE,
		    object->workspace);
		config_check_revival(check, object);
		break;
	default:
		break;
	}
}

void
config_json_check_references(
    const config_state_t *state, const Feed__Change *change, json_node_t *node)
{
	reference_check_t check = { state, change, node };
	size_t i;

	for (i = 0; i < change->n_items; i++) {
		if (change->items[i]->op == CONFIG_OP_PUT)
			config_check_object(&check, change->items[i]->object);
	}
}

static json_t *
config_write_profile(const config_profile_t *profile)
{
	return (json_pack("{s:s, s:i, s:s, s:i}", "ejection",
	    ejection_words[profile->ejection], "floor_percent",
	    (int)profile->floor_percent, "repeat",
	    repeat_words[profile->repeat_allowed != 0], "deadline_ms",
	    (int)profile->deadline_ms));
}

static json_t *
config_write_route(const config_route_t *route)
{
	json_t *workspaces =
	    route->all_workspaces ? json_string("all") : json_array();
	json_t *out;
	uint32_t i;

	for (i = 0; i < route->workspace_count; i++)
		json_array_append_new(
		    workspaces, json_string(route->workspaces[i]));
	out = json_pack("{s:s, s:s, s:o}", "path_prefix", route->path_prefix,
	    "service", route->service, "workspaces", workspaces);
	if (out != NULL && route->host[0] != '\0')
		json_object_set_new(out, "host", json_string(route->host));
	return (out);
}

static json_t *
config_write_key(const config_key_t *key)
{
	char hex[2 * CONFIG_SHA256_BYTES + 1];

	hex_write(hex, key->secret_sha256, CONFIG_SHA256_BYTES);
	return (json_pack("{s:s, s:s, s:b}", "workspace", key->workspace,
	    "secret_sha256", hex, "withdrawn", key->withdrawn));
}

json_t *
config_json_write_object(const config_object_t *object)
{
	const config_workspace_t *workspace;
	json_t *named;
	json_t *out;

	switch (object->kind) {
	case CONFIG_KIND_PROFILE:
		out = config_write_profile((const config_profile_t *)object);
		break;
	case CONFIG_KIND_SERVICE:
		out = json_pack("{s:s}", "profile",
		    ((const config_service_t *)object)->profile);
		break;
	case CONFIG_KIND_ROUTE:
		out = config_write_route((const config_route_t *)object);
		break;
	case CONFIG_KIND_WORKSPACE:
		workspace = (const config_workspace_t *)object;
		out = json_pack("{s:i, s:i}", "rate_per_s",
		    (int)workspace->rate_per_s, "burst", (int)workspace->burst);
		break;
	default:
		out = config_write_key((const config_key_t *)object);
		break;
	}
	named = json_pack("{s:s, s:I}", config_name_field(object->kind),
	    object->name, "version", (json_int_t)object->version);
	if (named != NULL && out != NULL)
		json_object_update(named, out);
	json_decref(out);
	return (named);
}
