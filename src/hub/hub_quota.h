/**
 * @file
 * Limits that the leading hub enforces over the whole fleet: rates of
 * workspaces and retry budgets of services. The caller owns the state, which
 * only the leader uses. Does no I/O and reads no clock.
 *
 * In each sliding window a workspace may use rate x window + burst, plus the
 * tolerance of fleet_rate_bounds_t. While a workspace has headroom, gates
 * consume its tokens without permits and report what they consumed; for a
 * workspace near its limit ("scarce" on the wire) they need a permit for each
 * request. A reserve covers what gates may have consumed and not yet reported.
 */
#ifndef TM_HUB_HUB_QUOTA_H
#define TM_HUB_HUB_QUOTA_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_config.h"

typedef struct hub_quota hub_quota_t;

/** Limits of the fleet as a whole. */
typedef struct hub_quota_options {
	double retry_ratio; /**< retries of a service per request */
	double retry_burst; /**< retries beyond that ratio */
	fleet_rate_bounds_t rates;
} hub_quota_options_t;

/** Fractions of the retry budget that are granted: of its ratio, of its burst,
 * and of its burst when a new leader starts. */
#define HUB_QUOTA_RETRY_RATIO_SHARE   0.9
#define HUB_QUOTA_RETRY_BURST_SHARE   0.5
#define HUB_QUOTA_RETRY_INITIAL_SHARE 0.2

/** Numbers of gates, by what the leader knows of their usage. */
typedef struct hub_gate_counts {
	uint32_t known; /**< all gates */
	/** Ran before this hub led and have not reported their usage. */
	uint32_t unreported;
	/** Had run for less than a window when they reported. */
	uint32_t restarted;
	/** Have reported, but their lease renewal is late and they may consume
	 * without the leader; less than 1 each once that usage leaves the
	 * window.
	 */
	double overdue;
} hub_gate_counts_t;

/** Requests of a workspace that a gate has sent. */
typedef struct hub_usage {
	uint64_t workspace;
	const uint32_t *parts; /**< requests per interval, newest first */
	size_t count; /**< number of intervals */
	size_t ahead; /**< intervals among them that lie in the future */
	int64_t part_ms; /**< length of an interval */
} hub_usage_t;

/** A request that a gate has sent without a permit. */
typedef struct hub_consumption {
	uint64_t workspace;
	uint64_t service;
	int64_t age_ms; /**< since it was sent */
} hub_consumption_t;

/** Answer to a permit request. */
typedef struct hub_permit {
	int is_granted;
	/** Not granted because gates have not reported their usage yet: the
	 * request may be repeated. */
	int is_undecided;
	/** If granted, delay before the request is sent; else the time before a
	 * permit can be granted. */
	uint32_t wait_ms;
} hub_permit_t;

/** @return NULL if memory is exhausted */
hub_quota_t *hub_quota_create(const hub_quota_options_t *options);

/** Frees everything; NULL is allowed. */
void hub_quota_destroy(hub_quota_t *quota);

/** Drops all recorded usage: this hub begins to lead. Nothing is granted before
 * hub_quota_set_gate_counts(). */
void hub_quota_reset(hub_quota_t *quota, int64_t now_ms);

/** Sets the reserve for gates that have not reported their usage. */
void hub_quota_set_gate_counts(
    hub_quota_t *quota, const hub_gate_counts_t *counts, int64_t now_ms);

/** Merges what a gate consumed before this hub led. */
void hub_quota_add_usage(
    hub_quota_t *quota, const hub_usage_t *usage, int64_t now_ms);

/** Applies the rates of a configuration. */
void hub_quota_configure(
    hub_quota_t *quota, const fleet_config_t *config, int64_t now_ms);

/** Counts a request that a gate has sent without a permit. */
void hub_quota_consume(
    hub_quota_t *quota, const hub_consumption_t *request, int64_t now_ms);

/** Acquires a token of a workspace; granted if the workspace has no limit. */
hub_permit_t hub_quota_acquire(
    hub_quota_t *quota, uint64_t workspace, uint64_t service, int64_t now_ms);

/** Acquires a retry from the budget of a service. */
hub_permit_t hub_quota_acquire_retry(hub_quota_t *quota, uint64_t service);

/**
 * Lists the workspaces near their limit, which gates need permits for.
 *
 * @param ids  receives at most max ids
 * @return     number of ids
 */
size_t hub_quota_list_near_limit(
    const hub_quota_t *quota, uint64_t *ids, size_t max);

/**
 * Advances the windows.
 *
 * @return 1 if the list of workspaces near their limit has changed since the
 *         last call
 */
int hub_quota_tick(hub_quota_t *quota, int64_t now_ms);

/** @return version of the list of workspaces near their limit, from 1 on */
uint64_t hub_quota_get_sequence(const hub_quota_t *quota);

#endif
