#include "fleet/fleet_config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "base/error.h"
#include "fleet/fleet_defs.h"

#define MS_PER_S 1000.0

uint64_t
fleet_name_hash(const char *name)
{
	return (XXH64(name, strlen(name), 0));
}

fleet_config_t *
fleet_config_create(uint64_t version)
{
	fleet_config_t *config = calloc(1, sizeof(*config));

	if (config != NULL)
		config->version = version;
	return (config);
}

static void
route_release(fleet_route_t *route)
{
	size_t i;

	for (i = 0; i < route->part_count; i++)
		free(route->parts[i].service);
	free(route->parts);
	free(route->name);
	free(route->host);
	free(route->prefix);
}

static void
workspaces_destroy(fleet_config_t *config)
{
	fleet_workspace_t *workspace;
	fleet_workspace_t *next;

	HASH_CLEAR(hh_id, config->workspaces_by_id);
	HASH_ITER(hh, config->workspaces, workspace, next) {
		HASH_DELETE(hh, config->workspaces, workspace);
		free(workspace->name);
		free(workspace);
	}
}

void
fleet_config_destroy(fleet_config_t *config)
{
	fleet_service_t *service;
	fleet_service_t *next_service;
	fleet_key_t *key;
	fleet_key_t *next_key;
	size_t i;

	if (config == NULL)
		return;
	for (i = 0; i < config->route_count; i++)
		route_release(&config->routes[i]);
	free(config->routes);
	HASH_ITER(hh, config->services, service, next_service) {
		HASH_DELETE(hh, config->services, service);
		free(service->name);
		free(service->health_path);
		free(service);
	}
	HASH_ITER(hh, config->keys, key, next_key) {
		HASH_DELETE(hh, config->keys, key);
		free(key->text);
		free(key);
	}
	workspaces_destroy(config);
	free(config);
}

fleet_route_t *
fleet_config_add_route(fleet_config_t *config)
{
	fleet_route_t *grown;

	/* Doubles the list each time its count reaches a power of two. */
	if ((config->route_count & (config->route_count - 1)) == 0) {
		size_t capacity =
		    config->route_count == 0 ? 1 : 2 * config->route_count;

		grown = realloc(config->routes, capacity * sizeof(*grown));
		if (grown == NULL)
			return (NULL);
		config->routes = grown;
	}
	grown = &config->routes[config->route_count++];
	memset(grown, 0, sizeof(*grown));
	return (grown);
}

int
fleet_route_add_part(fleet_route_t *route, const char *service, double weight)
{
	fleet_part_t *parts = realloc(
	    route->parts, (route->part_count + 1) * sizeof(*route->parts));
	char *name = strdup(service);

	if (parts != NULL)
		route->parts = parts;
	if (parts == NULL || name == NULL) {
		free(name);
		return (TM_ENOMEM);
	}
	parts[route->part_count++] =
	    (fleet_part_t){ .service = name, .weight = weight };
	route->weight_sum += weight;
	return (TM_OK);
}

fleet_service_t *
fleet_config_add_service(fleet_config_t *config, const char *name)
{
	fleet_service_t *service;

	if (fleet_config_find_service(config, name) != NULL)
		return (NULL);
	service = calloc(1, sizeof(*service));
	if (service == NULL || (service->name = strdup(name)) == NULL) {
		free(service);
		return (NULL);
	}
	service->id = fleet_name_hash(name);
	HASH_ADD_KEYPTR(hh, config->services, service->name,
	    strlen(service->name), service);
	return (service);
}

fleet_workspace_t *
fleet_config_add_workspace(fleet_config_t *config, const char *name)
{
	fleet_workspace_t *workspace;
	uint64_t id = fleet_name_hash(name);

	if (fleet_config_find_workspace(config, id) != NULL)
		return (NULL);
	workspace = calloc(1, sizeof(*workspace));
	if (workspace == NULL || (workspace->name = strdup(name)) == NULL) {
		free(workspace);
		return (NULL);
	}
	workspace->id = id;
	HASH_ADD_KEYPTR(hh, config->workspaces, workspace->name,
	    strlen(workspace->name), workspace);
	HASH_ADD(hh_id, config->workspaces_by_id, id, sizeof(id), workspace);
	return (workspace);
}

int
fleet_config_add_key(
    fleet_config_t *config, fleet_workspace_t *workspace, const char *text)
{
	fleet_key_t *key;

	HASH_FIND_STR(config->keys, text, key);
	if (key != NULL)
		return (key->workspace == workspace ? TM_OK : TM_EEXIST);
	key = calloc(1, sizeof(*key));
	if (key == NULL || (key->text = strdup(text)) == NULL) {
		free(key);
		return (TM_ENOMEM);
	}
	key->workspace = workspace;
	HASH_ADD_KEYPTR(hh, config->keys, key->text, strlen(key->text), key);
	return (TM_OK);
}

static int
compare_routes(const void *left, const void *right)
{
	const fleet_route_t *a = left;
	const fleet_route_t *b = right;
	int order = strcasecmp(a->host, b->host);

	if (order != 0)
		return (order);
	if (a->prefix_len != b->prefix_len)
		return (a->prefix_len < b->prefix_len ? 1 : -1);
	return (strcmp(a->prefix, b->prefix));
}

static int
check_route(const fleet_config_t *config, const fleet_route_t *route,
    char problem[FLEET_CONFIG_PROBLEM_BYTES])
{
	size_t i;

	for (i = 0; i < route->part_count; i++) {
		if (route->parts[i].weight < 0) {
			snprintf(problem, FLEET_CONFIG_PROBLEM_BYTES,
			    "route %s has a negative weight", route->name);
			return (TM_EINVAL);
		}
		if (fleet_config_find_service(
			config, route->parts[i].service) == NULL) {
			snprintf(problem, FLEET_CONFIG_PROBLEM_BYTES,
			    "route %s names the unknown service %s",
			    route->name, route->parts[i].service);
			return (TM_EREFERENCE);
		}
	}
	if (route->weight_sum <= 0) {
		snprintf(problem, FLEET_CONFIG_PROBLEM_BYTES,
		    "route %s gives weight to no service", route->name);
		return (TM_EINVAL);
	}
	if (route->timeout_ms == 0) {
		snprintf(problem, FLEET_CONFIG_PROBLEM_BYTES,
		    "route %s has a timeout of 0", route->name);
		return (TM_EINVAL);
	}
	if (route->timeout_ms > 0 &&
	    route->soft_deadline_ms >=
		route->timeout_ms + FLEET_CONFIG_SOFT_DEADLINE_OVER_MS) {
		snprintf(problem, FLEET_CONFIG_PROBLEM_BYTES,
		    "route %s aims far beyond its timeout", route->name);
		return (TM_EINVAL);
	}
	return (TM_OK);
}

/* Marks the services that requests which may be repeated go to. */
static void
mark_repeatable(fleet_config_t *config, const fleet_route_t *route)
{
	fleet_service_t *service;
	size_t i;

	for (i = 0; route->repeat_allowed && i < route->part_count; i++) {
		HASH_FIND_STR(
		    config->services, route->parts[i].service, service);
		if (service != NULL && route->parts[i].weight > 0)
			service->has_repeatable = 1;
	}
}

int
fleet_config_finish(
    fleet_config_t *config, char problem[FLEET_CONFIG_PROBLEM_BYTES])
{
	size_t i;
	int err;

	for (i = 0; i < config->route_count; i++) {
		config->routes[i].prefix_len = strlen(config->routes[i].prefix);
		err = check_route(config, &config->routes[i], problem);
		if (err != TM_OK)
			return (err);
		mark_repeatable(config, &config->routes[i]);
	}
	if (config->route_count > 1)
		qsort(config->routes, config->route_count,
		    sizeof(*config->routes), compare_routes);
	for (i = 1; i < config->route_count; i++) {
		if (compare_routes(
			&config->routes[i - 1], &config->routes[i]) != 0)
			continue;
		snprintf(problem, FLEET_CONFIG_PROBLEM_BYTES,
		    "routes %s and %s share host and prefix",
		    config->routes[i - 1].name, config->routes[i].name);
		return (TM_EINVAL);
	}
	return (TM_OK);
}

static int
compare_host(const fleet_route_t *route, const char *host, size_t host_len)
{
	int order = strncasecmp(route->host, host, host_len);

	if (order == 0 && route->host[host_len] != '\0')
		return (1);
	return (order);
}

/* @return index of the first route of a host, or of its place */
static size_t
find_host(const fleet_config_t *config, const char *host, size_t host_len)
{
	size_t low = 0;
	size_t high = config->route_count;
	size_t middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (compare_host(&config->routes[middle], host, host_len) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return (low);
}

const fleet_route_t *
fleet_config_find_route(const fleet_config_t *config, const char *host,
    size_t host_len, const char *path, size_t path_len)
{
	const fleet_route_t *route;
	size_t i;

	for (i = find_host(config, host, host_len); i < config->route_count;
	     i++) {
		route = &config->routes[i];
		if (compare_host(route, host, host_len) != 0)
			return (NULL);
		if (route->prefix_len <= path_len &&
		    memcmp(route->prefix, path, route->prefix_len) == 0)
			return (route);
	}
	return (NULL);
}

const fleet_workspace_t *
fleet_config_find_key(
    const fleet_config_t *config, const char *text, size_t len)
{
	const fleet_key_t *key;

	HASH_FIND(hh, config->keys, text, len, key);
	return (key != NULL ? key->workspace : NULL);
}

const fleet_workspace_t *
fleet_config_find_workspace(const fleet_config_t *config, uint64_t id)
{
	const fleet_workspace_t *workspace;

	HASH_FIND(hh_id, config->workspaces_by_id, &id, sizeof(id), workspace);
	return (workspace);
}

const fleet_service_t *
fleet_config_find_service(const fleet_config_t *config, const char *name)
{
	const fleet_service_t *service;

	HASH_FIND(hh, config->services, name, strlen(name), service);
	return (service);
}

double
fleet_workspace_get_limit(
    const fleet_workspace_t *workspace, const fleet_rate_bounds_t *bounds)
{
	double plain;

	if (workspace->rate_per_s <= 0)
		return (0);
	plain = workspace->rate_per_s * (double)bounds->window_ms / MS_PER_S +
	    workspace->burst;
	return (plain +
	    FLEET_RATE_EXCESS_SHARE *
		(plain * bounds->overshoot + bounds->slack));
}

int32_t
fleet_route_get_priority(
    const fleet_route_t *route, const fleet_workspace_t *workspace)
{
	return (workspace != NULL && workspace->has_priority
		? workspace->priority
		: route->priority);
}

uint32_t
fleet_config_get_features(const fleet_config_t *config, uint32_t features)
{
	if (config != NULL && config->has_uploads)
		features |= FLEET_FEATURE_SCARCE_CAPACITY;
	return (features);
}
