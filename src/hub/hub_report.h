/**
 * @file
 * What the leading hub reports of each service: one log line a second while a
 * target is not in use, and metrics. Queries the outlier detector and changes
 * nothing but the metrics. The caller owns the report.
 */
#ifndef TM_HUB_HUB_REPORT_H
#define TM_HUB_HUB_REPORT_H

#include <stdint.h>

#include "base/metrics.h"
#include "fleet/fleet_config.h"
#include "hub/hub_outlier.h"

typedef struct hub_report hub_report_t;

/** @return NULL if memory is exhausted */
hub_report_t *hub_report_create(
    const hub_outlier_t *outlier, metrics_t *metrics);

/** Frees everything; NULL is allowed. */
void hub_report_destroy(hub_report_t *report);

/**
 * Logs the services with targets out of use, and updates the metrics, once a
 * second.
 *
 * @param config  newest configuration; NULL: none yet
 */
void hub_report_tick(
    hub_report_t *report, const fleet_config_t *config, int64_t now_ms);

#endif
