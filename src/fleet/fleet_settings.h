/**
 * @file
 * Settings that tm-hub and tm-gate have in common. Problems are added to the
 * JSON node. Keeps no state.
 */
#ifndef TM_FLEET_FLEET_SETTINGS_H
#define TM_FLEET_FLEET_SETTINGS_H

#include "fleet/dialect.h"
#include "settings/json_check.h"

/**
 * Reads "seeds", addresses of hubs; their ports are ignored.
 *
 * @return number of seeds
 */
int fleet_read_seeds(
    json_node_t *root, char seeds[FLEET_HUBS_MAX][FLEET_IP_BYTES]);

/** Reads "dialect". @return NULL after an error */
const dialect_t *fleet_read_dialect(json_node_t *root);

/**
 * Reads "requirements", words of the product ("scarce_capacity") or of the
 * dialect; other words are ignored, as platforms list more than the product
 * has to know.
 *
 * @return set of fleet_feature_t
 */
uint32_t fleet_read_features(json_node_t *root, const dialect_t *dialect);

/** Reads a required IPv4 address as a text. */
void fleet_read_ip(
    json_node_t *root, const char *field, char ip[FLEET_IP_BYTES]);

/** Reads an optional time in seconds, with fractions. @return milliseconds */
int64_t fleet_read_time_ms(json_node_t *root, const char *field, double def_s);

/** Reads "rate_window_s", "rate_overshoot" and "rate_slack". */
void fleet_read_rate_bounds(json_node_t *root, fleet_rate_bounds_t *bounds);

#endif
