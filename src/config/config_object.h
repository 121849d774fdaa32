/**
 * @file
 * Names and value checks of the operators' objects.
 */
#ifndef TM_CONFIG_CONFIG_OBJECT_H
#define TM_CONFIG_CONFIG_OBJECT_H

#include <stddef.h>

#include "config/config_defs.h"

/** @return singular name of a kind, e.g. "profile" */
const char *config_kind_get_name(config_kind_t kind);

/**
 * Parses the plural name of a kind in a path, e.g. "profiles".
 *
 * @return the kind, or CONFIG_KIND_NONE
 */
config_kind_t config_kind_from_path(const char *text, size_t len);

/** @return 1 for "" or a host name in lower case without port, else 0 */
int config_host_is_valid(const char *host);

/** @return 1 for a path prefix that starts with a slash, else 0 */
int config_path_is_valid(const char *path);

#endif
