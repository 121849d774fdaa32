/**
 * @file
 * Layout of the configuration state, shared by the files of this folder.
 */
#ifndef TM_CONFIG_CONFIG_INTERNAL_H
#define TM_CONFIG_CONFIG_INTERNAL_H

#include <uthash.h>

#include "config/config_state.h"
#include "config/config_table.h"

#define CONFIG_MATCH_MAX_BYTES \
	(CONFIG_HOST_MAX_BYTES + CONFIG_PATH_MAX_BYTES + 2)

/* A route under its host and normalised path prefix. */
typedef struct config_match {
	UT_hash_handle hh;
	const config_route_t *route;
	uint32_t key_len;
	char key[];
} config_match_t;

typedef struct config_node_slot {
	UT_hash_handle hh;
	config_node_t node;
} config_node_slot_t;

typedef struct config_change_slot {
	UT_hash_handle hh;
	uint64_t fingerprint;
	config_result_t result;
	char id[];
} config_change_slot_t;

struct config_state {
	uint64_t index;
	uint64_t directory_index;
	config_epochs_t epochs;
	config_table_t tables[CONFIG_OBJECT_KINDS];
	/* Objects in order of their names; rebuilt when needed. */
	const config_object_t **sorted[CONFIG_OBJECT_KINDS];
	size_t sorted_count[CONFIG_OBJECT_KINDS];
	int sorted_valid[CONFIG_OBJECT_KINDS];
	config_match_t *matches;
	config_node_slot_t *nodes;
	const config_node_t **node_order;
	size_t node_count;
	config_group_t groups[CONFIG_SHARDS];
	/* uthash keeps the order of insertion: the head is the oldest. */
	config_change_slot_t *changes;
	config_audit_t *audit; /* ring of CONFIG_AUDIT_KEPT */
	uint64_t audit_total;
	config_change_cb change;
	void *ctx;
};

/* config_object.c */
config_object_t *config_object_decode(const Feed__Object *msg);
/* Strings of out point into the object; workspaces are allocated. */
int config_object_encode(const config_object_t *object, Feed__Object *out);
void config_object_free(config_object_t *object);
/* Key of the route table; out has CONFIG_MATCH_MAX_BYTES. */
uint32_t config_match_format(
    char *out, const char *host, size_t host_len, const char *path, size_t len);

/* config_state.c */
int config_state_insert(config_state_t *state, config_object_t *object);
config_object_t *config_state_take(
    config_state_t *state, config_kind_t kind, const char *name);
int config_state_put_node(config_state_t *state, const config_node_t *node);
void config_state_order_nodes(config_state_t *state);
void config_state_add_audit(config_state_t *state, const config_audit_t *audit);
int config_state_add_change(config_state_t *state, const char *change_id,
    uint64_t fingerprint, const config_result_t *result);
void config_state_reset(config_state_t *state);
int config_group_decode(const Feed__Group *msg, config_group_t *out);

/* config_epoch.c */
size_t config_epochs_get_bytes(const config_epochs_t *epochs);
void config_epochs_write(const config_epochs_t *epochs, uint8_t *out);
/* @return 0 or TM_EFORMAT */
int config_epochs_read(
    config_epochs_t *epochs, const uint8_t *bytes, size_t len);
/* @return 0; TM_EEPOCH if a state at this index cannot be continued */
int config_epochs_check(const config_epochs_t *epochs, uint64_t index);

/* config_apply.c */
int config_apply_change(config_state_t *state, uint64_t index,
    const Feed__Change *change, int keep, config_result_t *result);

#endif
