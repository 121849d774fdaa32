#include "config/config_object.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "config/config_internal.h"

static const size_t config_object_sizes[CONFIG_OBJECT_KINDS] = {
	[CONFIG_KIND_PROFILE] = sizeof(config_profile_t),
	[CONFIG_KIND_SERVICE] = sizeof(config_service_t),
	[CONFIG_KIND_ROUTE] = sizeof(config_route_t),
	[CONFIG_KIND_WORKSPACE] = sizeof(config_workspace_t),
	[CONFIG_KIND_KEY] = sizeof(config_key_t),
};

static const char *const config_kind_names[] = {
	[CONFIG_KIND_NONE] = "none",
	[CONFIG_KIND_PROFILE] = "profile",
	[CONFIG_KIND_SERVICE] = "service",
	[CONFIG_KIND_ROUTE] = "route",
	[CONFIG_KIND_WORKSPACE] = "workspace",
	[CONFIG_KIND_KEY] = "key",
	[CONFIG_KIND_NODE] = "node",
	[CONFIG_KIND_GROUP] = "group",
	[CONFIG_KIND_ALL] = "all",
};

const char *
config_kind_get_name(config_kind_t kind)
{
	if ((unsigned)kind > CONFIG_KIND_ALL)
		return ("none");
	return (config_kind_names[kind]);
}

config_kind_t
config_kind_from_path(const char *text, size_t len)
{
	const char *name;
	int kind;

	for (kind = CONFIG_KIND_PROFILE; kind < CONFIG_OBJECT_KINDS; kind++) {
		name = config_kind_names[kind];
		if (len == strlen(name) + 1 && text[len - 1] == 's' &&
		    memcmp(text, name, len - 1) == 0)
			return ((config_kind_t)kind);
	}
	return (CONFIG_KIND_NONE);
}

int
config_host_is_valid(const char *host)
{
	size_t len = strlen(host);
	size_t i;

	if (len > CONFIG_HOST_MAX_BYTES)
		return (0);
	for (i = 0; i < len; i++) {
		if (!islower((unsigned char)host[i]) &&
		    !isdigit((unsigned char)host[i]) &&
		    strchr(".-", host[i]) == NULL)
			return (0);
	}
	return (1);
}

int
config_path_is_valid(const char *path)
{
	size_t len = strlen(path);
	size_t i;

	if (len == 0 || len > CONFIG_PATH_MAX_BYTES || path[0] != '/')
		return (0);
	for (i = 0; i < len; i++) {
		if (!isgraph((unsigned char)path[i]) ||
		    strchr("?#", path[i]) != NULL)
			return (0);
	}
	return (strstr(path, "//") == NULL);
}

/* Room behind an object that is being decoded. */
typedef struct config_text {
	char *next;
} config_text_t;

static const char *
config_copy_text(config_text_t *room, const char *text)
{
	size_t size = strlen(text) + 1;
	char *copy = room->next;

	memcpy(copy, text, size);
	room->next += size;
	return (copy);
}

static int
config_copy_name(config_text_t *room, const char **out, const char *text)
{
	if (!node_name_is_valid(text))
		return (TM_EINVAL);
	*out = config_copy_text(room, text);
	return (TM_OK);
}

/* Bytes of the texts that the kind copies. */
static size_t
config_get_text_bytes(const Feed__Object *msg)
{
	size_t name_bytes = strlen(msg->name) + 1;

	switch (msg->kind) {
	case CONFIG_KIND_SERVICE:
		return (name_bytes + strlen(msg->profile) + 1);
	case CONFIG_KIND_ROUTE:
		return (name_bytes + strlen(msg->host) +
		    strlen(msg->path_prefix) + strlen(msg->service) + 3);
	case CONFIG_KIND_KEY:
		return (name_bytes + strlen(msg->workspace) + 1);
	default:
		return (name_bytes);
	}
}

static int
config_profile_decode(const Feed__Object *msg, config_profile_t *out)
{
	if (msg->ejection > CONFIG_EJECTION_CAUTIOUS ||
	    msg->floor_percent > 100 || msg->deadline_ms == 0 ||
	    msg->deadline_ms > CONFIG_DEADLINE_MAX_MS)
		return (TM_EINVAL);
	out->ejection = (config_ejection_t)msg->ejection;
	out->floor_percent = msg->floor_percent;
	out->repeat_allowed = msg->repeat_allowed != 0;
	out->deadline_ms = msg->deadline_ms;
	return (TM_OK);
}

static int
config_compare_names(const void *a, const void *b)
{
	return (strcmp(a, b));
}

static int
config_route_decode(
    const Feed__Object *msg, config_route_t *out, config_text_t *room)
{
	size_t count = msg->n_workspaces;
	size_t i;

	if (!config_host_is_valid(msg->host) ||
	    !config_path_is_valid(msg->path_prefix) ||
	    count > CONFIG_ROUTE_WORKSPACES_MAX ||
	    (msg->all_workspaces && count > 0))
		return (TM_EINVAL);
	out->host = config_copy_text(room, msg->host);
	out->path_prefix = config_copy_text(room, msg->path_prefix);
	out->all_workspaces = msg->all_workspaces != 0;
	if (count > 0) {
		out->workspaces = calloc(count, sizeof(*out->workspaces));
		if (out->workspaces == NULL)
			return (TM_ENOMEM);
	}
	out->workspace_count = (uint32_t)count;
	for (i = 0; i < count; i++) {
		if (!node_name_is_valid(msg->workspaces[i]))
			return (TM_EINVAL);
		strncpy(out->workspaces[i], msg->workspaces[i], NAME_MAX_BYTES);
	}
	if (count > 0)
		qsort(out->workspaces, count, sizeof(*out->workspaces),
		    config_compare_names);
	return (config_copy_name(room, &out->service, msg->service));
}

static int
config_workspace_decode(const Feed__Object *msg, config_workspace_t *out)
{
	if (msg->rate_per_s == 0 || msg->rate_per_s > CONFIG_RATE_MAX_PER_S ||
	    msg->burst == 0 || msg->burst > CONFIG_BURST_MAX)
		return (TM_EINVAL);
	out->rate_per_s = msg->rate_per_s;
	out->burst = msg->burst;
	return (TM_OK);
}

static int
config_key_decode(
    const Feed__Object *msg, config_key_t *out, config_text_t *room)
{
	if (msg->secret_sha256.len != CONFIG_SHA256_BYTES)
		return (TM_EINVAL);
	memcpy(
	    out->secret_sha256, msg->secret_sha256.data, CONFIG_SHA256_BYTES);
	out->withdrawn = msg->withdrawn != 0;
	return (config_copy_name(room, &out->workspace, msg->workspace));
}

static int
config_body_decode(
    const Feed__Object *msg, config_object_t *out, config_text_t *room)
{
	switch (out->kind) {
	case CONFIG_KIND_PROFILE:
		return (config_profile_decode(msg, (config_profile_t *)out));
	case CONFIG_KIND_SERVICE:
		return (config_copy_name(
		    room, &((config_service_t *)out)->profile, msg->profile));
	case CONFIG_KIND_ROUTE:
		return (config_route_decode(msg, (config_route_t *)out, room));
	case CONFIG_KIND_WORKSPACE:
		return (
		    config_workspace_decode(msg, (config_workspace_t *)out));
	default:
		return (config_key_decode(msg, (config_key_t *)out, room));
	}
}

config_object_t *
config_object_decode(const Feed__Object *msg)
{
	config_object_t *object;
	config_text_t room;
	size_t size;

	if (msg->kind <= CONFIG_KIND_NONE || msg->kind >= CONFIG_OBJECT_KINDS)
		return (NULL);
	size = config_object_sizes[msg->kind];
	object = calloc(1, size + config_get_text_bytes(msg));
	if (object == NULL)
		return (NULL);
	room.next = (char *)object + size;
	object->kind = (config_kind_t)msg->kind;
	object->version = msg->version;
	if (config_copy_name(&room, &object->name, msg->name) != TM_OK ||
	    config_body_decode(msg, object, &room) != TM_OK) {
		config_object_free(object);
		return (NULL);
	}
	return (object);
}

static int
config_route_encode(const config_route_t *route, Feed__Object *out)
{
	uint32_t i;

	out->host = (char *)route->host;
	out->path_prefix = (char *)route->path_prefix;
	out->service = (char *)route->service;
	out->all_workspaces = route->all_workspaces;
	if (route->workspace_count == 0)
		return (TM_OK);
	out->workspaces = calloc(route->workspace_count, sizeof(char *));
	if (out->workspaces == NULL)
		return (TM_ENOMEM);
	out->n_workspaces = route->workspace_count;
	for (i = 0; i < route->workspace_count; i++)
		out->workspaces[i] = route->workspaces[i];
	return (TM_OK);
}

static void
config_profile_encode(const config_profile_t *profile, Feed__Object *out)
{
	out->ejection = profile->ejection;
	out->floor_percent = profile->floor_percent;
	out->repeat_allowed = profile->repeat_allowed;
	out->deadline_ms = profile->deadline_ms;
}

static void
config_key_encode(const config_key_t *key, Feed__Object *out)
{
	out->workspace = (char *)key->workspace;
	out->secret_sha256.data = (uint8_t *)key->secret_sha256;
	out->secret_sha256.len = CONFIG_SHA256_BYTES;
	out->withdrawn = key->withdrawn;
}

int
config_object_encode(const config_object_t *object, Feed__Object *out)
{
	const config_workspace_t *workspace;

	feed__object__init(out);
	out->kind = object->kind;
	out->name = (char *)object->name;
	out->version = object->version;
	switch (object->kind) {
	case CONFIG_KIND_PROFILE:
		config_profile_encode((const config_profile_t *)object, out);
		break;
	case CONFIG_KIND_SERVICE:
		out->profile =
		    (char *)((const config_service_t *)object)->profile;
		break;
	case CONFIG_KIND_ROUTE:
		return (
		    config_route_encode((const config_route_t *)object, out));
	case CONFIG_KIND_WORKSPACE:
		workspace = (const config_workspace_t *)object;
		out->rate_per_s = workspace->rate_per_s;
		out->burst = workspace->burst;
		break;
	default:
		config_key_encode((const config_key_t *)object, out);
		break;
	}
	return (TM_OK);
}

void
config_object_free(config_object_t *object)
{
	if (object == NULL)
		return;
	if (object->kind == CONFIG_KIND_ROUTE)
		free(((config_route_t *)object)->workspaces);
	free(object);
}

uint32_t
config_match_format(
    char *out, const char *host, size_t host_len, const char *path, size_t len)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < host_len && i < CONFIG_HOST_MAX_BYTES; i++)
		out[n++] = (char)tolower((unsigned char)host[i]);
	out[n++] = '\0';
	if (len > 0 && path[len - 1] == '/')
		len--;
	if (len > CONFIG_PATH_MAX_BYTES)
		len = CONFIG_PATH_MAX_BYTES;
	memcpy(out + n, path, len);
	return (n + (uint32_t)len);
}
