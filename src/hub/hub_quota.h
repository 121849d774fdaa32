/**
 * @file
 * Limits at the leading hub: rates of workspaces and retry budgets of services,
 * each over the whole fleet. A decision module.
 *
 * In each sliding window a workspace may use rate x window + burst, and a bit
 * more. A gate spends freely on a workspace that has plenty and reports what it
 * spent; it asks first for one that is scarce. What gates may have spent that
 * the leader has not heard of is set aside.
 */
#ifndef TM_HUB_HUB_QUOTA_H
#define TM_HUB_HUB_QUOTA_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_config.h"

typedef struct hub_quota hub_quota_t;

/** What the fleet as a whole must keep to. */
typedef struct hub_quota_options {
	double retry_ratio; /**< repeats of a service for each request */
	double retry_burst; /**< repeats beyond that share */
	fleet_rate_bounds_t rates;
} hub_quota_options_t;

/** Parts of the retry budget that are given out: of its share of the requests,
 * and of what it allows beyond that, at once and by a new leader. */
#define HUB_QUOTA_RETRY_RATIO_SHARE 0.9
#define HUB_QUOTA_RETRY_BURST_SHARE 0.5
#define HUB_QUOTA_RETRY_START_SHARE 0.2

/** Gates, by what the leader knows of their spending. */
typedef struct hub_gate_census {
	uint32_t known; /**< all of them */
	/** They ran before this hub led and have not told what they spent. */
	uint32_t untold;
	/** They started within a window before they told. */
	uint32_t restarted;
	/** They told, but are not heard now and may have spent on their own; less
	 * than 1 each once that leaves the window. */
	double absent;
} hub_gate_census_t;

/** What a gate spent on a workspace. */
typedef struct hub_usage {
	uint64_t workspace;
	const uint32_t *parts; /**< requests by age, the newest first */
	size_t count;
	size_t ahead; /**< parts among them that lie ahead */
	int64_t part_ms;
} hub_usage_t;

/** A request that a gate has sent without asking. */
typedef struct hub_spend {
	uint64_t workspace;
	uint64_t service;
	int64_t age_ms; /**< since it was sent */
} hub_spend_t;

/** What an ask gets. */
typedef struct hub_permit {
	int is_granted;
	/** Not granted, as gates have not told yet what they spent: ask again. */
	int is_undecided;
	/** Granted: wait so long first. Else: ask again no sooner. */
	uint32_t wait_ms;
} hub_permit_t;

/** @return NULL if memory is exhausted */
hub_quota_t *hub_quota_create(const hub_quota_options_t *options);

/** Frees everything; NULL is allowed. */
void hub_quota_destroy(hub_quota_t *quota);

/** Forgets what was used: this hub begins to lead. Nothing is granted before
 * hub_quota_set_gates(). */
void hub_quota_reset(hub_quota_t *quota, int64_t now_ms);

/** Sets aside what gates may have spent that did not tell. */
void hub_quota_set_gates(
    hub_quota_t *quota, const hub_gate_census_t *census, int64_t now_ms);

/** Takes over what a gate spent before this hub led. */
void hub_quota_add_usage(
    hub_quota_t *quota, const hub_usage_t *usage, int64_t now_ms);

/** Takes over the rates of a configuration. */
void hub_quota_configure(
    hub_quota_t *quota, const fleet_config_t *config, int64_t now_ms);

/** Counts a request that a gate has sent without asking. */
void hub_quota_spend(
    hub_quota_t *quota, const hub_spend_t *spend, int64_t now_ms);

/** Asks for a token of a workspace. */
hub_permit_t hub_quota_ask(
    hub_quota_t *quota, uint64_t workspace, uint64_t service, int64_t now_ms);

/** Asks for a repeated sending at a service. */
hub_permit_t hub_quota_ask_retry(hub_quota_t *quota, uint64_t service);

/**
 * Lists the workspaces that gates must ask for.
 *
 * @param ids  room for max ids
 * @return     their number
 */
size_t hub_quota_list_scarce(
    const hub_quota_t *quota, uint64_t *ids, size_t max);

/**
 * Moves the windows on.
 *
 * @return 1 if the list of scarce workspaces has changed since the last call
 */
int hub_quota_tick(hub_quota_t *quota, int64_t now_ms);

/** @return number of the list of scarce workspaces, from 1 on */
uint64_t hub_quota_get_sequence(const hub_quota_t *quota);

#endif
