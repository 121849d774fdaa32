/**
 * @file
 * Limits at the leading hub: rates of workspaces and retry budgets of services,
 * each over the whole fleet. A decision module.
 *
 * In each sliding window a workspace may use rate x window + burst, and a bit
 * more. A gate spends freely on a workspace that has plenty and reports what it
 * spent; it asks first for one that is scarce. A new leader assumes a usual use
 * in the time before, or more if the gates report it.
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

/** What an ask gets. */
typedef struct hub_permit {
	int is_granted;
	/** Granted: wait so long first. Else: ask again no sooner. */
	uint32_t wait_ms;
} hub_permit_t;

/** @return NULL if memory is exhausted */
hub_quota_t *hub_quota_create(const hub_quota_options_t *options);

/** Frees everything; NULL is allowed. */
void hub_quota_destroy(hub_quota_t *quota);

/** Forgets what was used: this hub begins to lead, and assumes a usual use. */
void hub_quota_reset(hub_quota_t *quota, int64_t now_ms);

/**
 * Takes over what a gate spent before this hub led.
 *
 * @param parts    requests by age, the newest first
 * @param part_ms  length of a part
 */
void hub_quota_add_usage(hub_quota_t *quota, uint64_t workspace,
    const uint32_t *parts, size_t count, int64_t part_ms, int64_t now_ms);

/** Takes over the rates of a configuration. */
void hub_quota_configure(
    hub_quota_t *quota, const fleet_config_t *config, int64_t now_ms);

/** Counts a request that a gate has sent without asking. */
void hub_quota_spend(
    hub_quota_t *quota, uint64_t workspace, uint64_t service, int64_t now_ms);

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

#endif
