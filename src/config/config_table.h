/**
 * @file
 * Objects of one kind by name, in a table with open addressing. It takes 8
 * bytes a place and is at most 7/8 full; a chained table with links in each
 * object took 56 bytes more for each of the 94,000 workspaces and keys of the
 * target size.
 */
#ifndef TM_CONFIG_CONFIG_TABLE_H
#define TM_CONFIG_CONFIG_TABLE_H

#include <stddef.h>

#include "config/config_defs.h"

/** Empty when all bytes are 0. */
typedef struct config_table {
	config_object_t **places;
	size_t size; /**< number of places; a power of two, or 0 */
	size_t count;
} config_table_t;

/** Finds an object. @return NULL if there is none */
config_object_t *config_table_find(
    const config_table_t *table, const char *name, size_t len);

/** Adds an object whose name is not in the table. @return 0 or TM_ENOMEM */
int config_table_add(config_table_t *table, config_object_t *object);

/** Takes an object out. @return the object, or NULL if there is none */
config_object_t *config_table_take(
    config_table_t *table, const char *name, size_t len);

/**
 * Visits the objects in no particular order.
 *
 * @param place  0 at the start; advanced by the call
 * @return       next object; NULL at the end
 */
config_object_t *config_table_next(const config_table_t *table, size_t *place);

/** Frees the table, but not the objects. */
void config_table_clear(config_table_t *table);

#endif
