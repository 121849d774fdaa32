/**
 * @file
 * One version of a fleet's whole configuration, as hubs and gates use it. A
 * dialect fills it; it is checked once and then only read. Whoever creates it
 * owns it. Does no I/O and reads no clock.
 */
#ifndef TM_FLEET_FLEET_CONFIG_H
#define TM_FLEET_FLEET_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/node_defs.h"

/** Size of the buffer for the description of a problem. */
#define FLEET_CONFIG_PROBLEM_BYTES 160
/** Bound of the soft deadline beyond the route's timeout: a response that is
 * this late is worth nothing. */
#define FLEET_CONFIG_SOFT_DEADLINE_OVER_MS 60000

/** A service that gets a weighted share of a route's requests. */
typedef struct fleet_part {
	char *service;
	double weight;
} fleet_part_t;

/** Requests of one host and path prefix. */
typedef struct fleet_route {
	char *name;
	char *host;
	char *prefix;
	size_t prefix_len;
	int repeat_allowed; /**< 1: a request may be executed twice */
	int is_upload; /**< requests have large bodies */
	int is_open; /**< needs no key */
	int64_t timeout_ms; /**< -1: none */
	int64_t soft_deadline_ms; /**< a later response is worth less */
	int32_t priority; /**< 0 is the most urgent */
	uint32_t attempts_max; /**< targets that one request may reach */
	fleet_part_t *parts;
	size_t part_count;
	double weight_sum;
} fleet_route_t;

/** A service by its name. */
typedef struct fleet_service {
	char *name;
	uint64_t id; /**< fleet_name_hash() of the name */
	char *health_path;
	uint32_t connections_max; /**< of a target, from all gates; 0: any */
	double warmup_per_s; /**< requests that a cold target takes from all
			      * gates together; 0: any */
	int has_repeatable; /**< requests of a route to it may be repeated */
	UT_hash_handle hh;
} fleet_service_t;

/** A workspace with its rate over the whole fleet. */
typedef struct fleet_workspace {
	char *name;
	uint64_t id; /**< fleet_name_hash() of the name */
	int has_priority;
	int32_t priority; /**< overrides that of the route */
	double rate_per_s; /**< 0: unlimited */
	double burst; /**< requests */
	UT_hash_handle hh;
	UT_hash_handle hh_id;
} fleet_workspace_t;

typedef struct fleet_key {
	char *text;
	fleet_workspace_t *workspace;
	UT_hash_handle hh;
} fleet_key_t;

/** Limits on what callers send; 0 selects the program's own limit. */
typedef struct fleet_limits {
	uint64_t header_max_bytes;
	uint64_t body_max_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
} fleet_limits_t;

typedef struct fleet_config {
	uint64_t version;
	fleet_route_t *routes; /**< longest prefix first within a host */
	size_t route_count;
	fleet_service_t *services;
	int needs_keys; /**< workspaces are declared */
	int has_uploads; /**< there is a route for uploads */
	fleet_workspace_t *workspaces;
	fleet_workspace_t *workspaces_by_id;
	fleet_key_t *keys;
	fleet_limits_t limits;
} fleet_config_t;

/** @return an empty configuration, or NULL if memory is exhausted */
fleet_config_t *fleet_config_create(uint64_t version);

/** Frees a configuration; NULL is allowed. */
void fleet_config_destroy(fleet_config_t *config);

/**
 * Adds an empty route.
 *
 * @return the route, valid until the next one is added; NULL without memory
 */
fleet_route_t *fleet_config_add_route(fleet_config_t *config);

/** Adds a service to a route. @return 0 or TM_ENOMEM */
int fleet_route_add_part(
    fleet_route_t *route, const char *service, double weight);

/** Adds a service. @return NULL without memory or if the name is taken */
fleet_service_t *fleet_config_add_service(
    fleet_config_t *config, const char *name);

/** Adds a workspace. @return NULL without memory or if the name is taken */
fleet_workspace_t *fleet_config_add_workspace(
    fleet_config_t *config, const char *name);

/** Adds a key. @return 0, TM_EEXIST if another workspace has it, TM_ENOMEM */
int fleet_config_add_key(
    fleet_config_t *config, fleet_workspace_t *workspace, const char *text);

/**
 * Checks what concerns several objects, and prepares the lookups. To be called
 * once, before the configuration is used.
 *
 * @param problem  receives what is wrong
 * @return         0, TM_EINVAL, or TM_EREFERENCE for an unknown service
 */
int fleet_config_finish(
    fleet_config_t *config, char problem[FLEET_CONFIG_PROBLEM_BYTES]);

/**
 * Finds the route of a request: the longest prefix of its host.
 *
 * @param host  without a port
 * @param path  without a query
 * @return      NULL if there is none
 */
const fleet_route_t *fleet_config_find_route(const fleet_config_t *config,
    const char *host, size_t host_len, const char *path, size_t path_len);

/** @return the workspace of a key, or NULL */
const fleet_workspace_t *fleet_config_find_key(
    const fleet_config_t *config, const char *text, size_t len);

/** @return a workspace by its id, or NULL */
const fleet_workspace_t *fleet_config_find_workspace(
    const fleet_config_t *config, uint64_t id);

/** @return a service, or NULL */
const fleet_service_t *fleet_config_find_service(
    const fleet_config_t *config, const char *name);

/** How far a rate may be exceeded. */
typedef struct fleet_rate_bounds {
	int64_t window_ms; /**< length of the sliding window */
	double overshoot; /**< fraction of a window's requests */
	double slack; /**< requests beyond that */
} fleet_rate_bounds_t;

/** Fraction of the permitted excess that is granted; the remainder covers
 * requests that nobody has counted yet. */
#define FLEET_RATE_EXCESS_SHARE 0.7

/** Fraction of a limit that all gates together may consume before the leader
 * counts it; a workspace has headroom while more is left. */
#define FLEET_ALLOWANCE_SHARE 0.35

/** @return requests of a workspace in one window; 0: unlimited */
double fleet_workspace_get_limit(
    const fleet_workspace_t *workspace, const fleet_rate_bounds_t *bounds);

/** @return priority of a request: that of its workspace, if it has one, else of
 * the route. @param workspace  NULL: none */
int32_t fleet_route_get_priority(
    const fleet_route_t *route, const fleet_workspace_t *workspace);

/**
 * @param features  that the settings require
 * @return          set of fleet_feature_t that the settings or the document
 *                  call for; a document with uploads needs
 *                  FLEET_FEATURE_SCARCE_CAPACITY, as they share targets with
 *                  requests a thousandth of their size
 */
uint32_t fleet_config_get_features(
    const fleet_config_t *config, uint32_t features);

/** @return id of a service, workspace or target name */
uint64_t fleet_name_hash(const char *name);

#endif
