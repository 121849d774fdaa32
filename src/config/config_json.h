/**
 * @file
 * The operators' objects as JSON. Problems are collected in the checker with
 * the field, what was found, what is allowed and the remedy.
 */
#ifndef TM_CONFIG_CONFIG_JSON_H
#define TM_CONFIG_CONFIG_JSON_H

#include <jansson.h>

#include "config/config_state.h"
#include "settings/json_check.h"

/** Most objects in one file for config_json_read_file(). */
#define CONFIG_FILE_OBJECTS_MAX 2000

/**
 * Reads the body of one object.
 *
 * @param name  name from the path; a name in the body must be equal to it.
 *              NULL: the body must hold the name
 * @return      object for feed__object__free_unpacked(); NULL if memory is
 *              exhausted or the node is no object. The errors in the checker
 *              tell whether it is valid.
 */
Feed__Object *config_json_read_object(
    json_node_t *node, config_kind_t kind, const char *name);

/**
 * Reads a file of objects, {"profiles": [...], "workspaces": [...], ...},
 * as items that put them, in an order in which references resolve.
 *
 * @param change  gets the items; see config_change_free_items()
 * @return        0 or TM_ENOMEM
 */
int config_json_read_file(json_node_t *root, Feed__Change *change);

/**
 * Appends an item to a change; the change owns the object afterwards.
 *
 * @return 0 or TM_ENOMEM, which frees the object
 */
int config_change_add_item(
    Feed__Change *change, config_op_t op, Feed__Object *object);

/** Frees the items of a change. */
void config_change_free_items(Feed__Change *change);

/**
 * Adds an error for each reference to an object that neither the state nor
 * an item of the change holds, and for withdrawn keys that would come back.
 *
 * @param node  names the file and the path in the errors
 */
void config_json_check_references(
    const config_state_t *state, const Feed__Change *change, json_node_t *node);

/** @return new reference; NULL if memory is exhausted */
json_t *config_json_write_object(const config_object_t *object);

#endif
