/**
 * @file
 * Deterministic state machine of the configuration. Equal entries in equal
 * order give equal states and equal snapshot bytes on every VM.
 */
#ifndef TM_CONFIG_CONFIG_STATE_H
#define TM_CONFIG_CONFIG_STATE_H

#include <stddef.h>
#include <stdint.h>

#include "config/config_defs.h"
#include "proto/feed.pb-c.h"

typedef struct config_state config_state_t;

/** Recoveries that a state remembers. */
#define CONFIG_EPOCHS_MAX 64
/** Indexes of an epoch start at epoch << CONFIG_EPOCH_SHIFT. */
#define CONFIG_EPOCH_SHIFT 32

/** A new epoch that an operator started after a majority was lost. */
typedef struct config_epoch {
	uint64_t epoch;
	uint64_t base_index; /**< last index of the log before that is kept */
	uint64_t first_index;
} config_epoch_t;

/** Recoveries, oldest first. */
typedef struct config_epochs {
	config_epoch_t items[CONFIG_EPOCHS_MAX];
	int count;
} config_epochs_t;

/**
 * Reports what an applied entry changed.
 *
 * @param name  object or node name; "" for CONFIG_KIND_ALL; the decimal
 *              shard number for CONFIG_KIND_GROUP
 */
typedef void (*config_change_cb)(
    void *ctx, config_kind_t kind, const char *name);

/** Creates an empty state at index 0. @return NULL if memory is exhausted */
config_state_t *config_state_create(void);

/** Frees a state; NULL is allowed. */
void config_state_destroy(config_state_t *state);

/** Sets a callback that is called after each change, once per item. */
void config_state_set_watch(
    config_state_t *state, config_change_cb change, void *ctx);

/** @return log index of the last applied entry; 0 if none */
uint64_t config_state_get_index(const config_state_t *state);

/** @return log index of the last change of the node directory */
uint64_t config_state_get_directory_index(const config_state_t *state);

/**
 * Applies a Feed__Entry. A refused change also advances the index.
 *
 * @param index   log index of the entry
 * @param result  outcome of the change; may be NULL
 * @return        0; TM_ESTALE, without effect, if the index is at or below
 *                the state's own
 */
int config_state_apply(config_state_t *state, uint64_t index,
    const uint8_t *bytes, size_t len, config_result_t *result);

/**
 * Checks what a change would do, without changing the state.
 *
 * @return 0 and the result; TM_EFORMAT if it holds no change
 */
int config_state_check(
    config_state_t *state, const Feed__Change *change, config_result_t *result);

/**
 * Finds the result of a change among the last CONFIG_CHANGES_KEPT.
 *
 * @return 0 and the result; TM_ENOENT
 */
int config_state_find_change(const config_state_t *state, const char *change_id,
    config_result_t *result);

/** Finds an object. @return NULL if there is none */
const config_object_t *config_state_find(
    const config_state_t *state, config_kind_t kind, const char *name);
const config_profile_t *config_state_find_profile(
    const config_state_t *state, const char *name);
const config_service_t *config_state_find_service(
    const config_state_t *state, const char *name);
const config_workspace_t *config_state_find_workspace(
    const config_state_t *state, const char *name);
/** Finds a key by its id, also a withdrawn one. @return NULL if none */
const config_key_t *config_state_find_key(
    const config_state_t *state, const char *id, size_t id_len);

/**
 * Finds the route of a request. A route of the exact host takes precedence
 * over a route without host; then the longest path prefix wins. A prefix
 * matches whole path segments: /a matches /a and /a/b, but not /ab.
 *
 * @param host  without port, in any letter case; may be NULL
 * @param path  without query
 * @return      NULL if there is none
 */
const config_route_t *config_state_find_route(const config_state_t *state,
    const char *host, size_t host_len, const char *path, size_t path_len);

/** @return 1 if the route is open to the workspace, else 0 */
int config_route_is_allowed(const config_route_t *route, const char *workspace);

/**
 * Compares the SHA-256 of a presented secret with that of a key in constant
 * time.
 *
 * @return 1 if they are equal, else 0
 */
int config_key_matches(const config_key_t *key, const char *secret, size_t len);

/**
 * Lists objects of a kind in order of their names.
 *
 * @param after  list only names after this one; NULL or "" for all
 * @param out    room for limit pointers
 * @return       number of objects stored in out
 */
size_t config_state_list(config_state_t *state, config_kind_t kind,
    const char *after, const config_object_t **out, size_t limit);

/** @return number of objects of a kind, also of nodes */
size_t config_state_count(const config_state_t *state, config_kind_t kind);

/** Finds a VM in the directory. @return NULL if there is none */
const config_node_t *config_state_find_node(
    const config_state_t *state, node_id_t id);

/**
 * Directory in ascending order of the node ids.
 *
 * @param count  number of nodes
 * @return       array that is valid until the next entry is applied
 */
const config_node_t *const *config_state_get_nodes(
    const config_state_t *state, size_t *count);

/** @return assignment of a shard, below CONFIG_SHARDS; never NULL */
const config_group_t *config_state_get_group(
    const config_state_t *state, uint32_t shard);

/**
 * Reads the audit history, newest first.
 *
 * @param before  list only versions below this one; 0 for all
 * @return        number of lines stored in out
 */
size_t config_state_get_audit(const config_state_t *state, uint64_t before,
    config_audit_t *out, size_t limit);

/**
 * Checks and copies a node of the directory or of a heartbeat.
 *
 * @return 0 or TM_EINVAL
 */
int config_node_decode(const Feed__Node *msg, config_node_t *out);

/** Fills a message, whose texts point into the node. */
void config_node_encode(const config_node_t *node, Feed__Node *out);

/**
 * Encodes an entry.
 *
 * @param len  length in bytes
 * @return     bytes that the caller frees; NULL if memory is exhausted
 */
uint8_t *config_entry_encode(const Feed__Entry *entry, size_t *len);

/**
 * Encodes the whole state in a canonical form with a checksum.
 *
 * @param len  length in bytes
 * @return     bytes that the caller frees; NULL if memory is exhausted
 */
uint8_t *config_snapshot_encode(const config_state_t *state, size_t *len);

/**
 * Replaces the state by a snapshot.
 *
 * @return 0; TM_ESTALE, without effect, if the snapshot is not newer;
 *         TM_EEPOCH, without effect, if the state holds accepted changes that
 *         a recovery did not keep; TM_ECORRUPT if the checksum fails;
 *         TM_EFORMAT; TM_ENOMEM
 */
int config_snapshot_install(
    config_state_t *state, const uint8_t *bytes, size_t len);

/** Continues the state in a new epoch, whose first index is given. */
void config_state_begin_epoch(
    config_state_t *state, uint64_t epoch, uint64_t index);

/** @return recoveries in the past of this state */
const config_epochs_t *config_state_get_epochs(const config_state_t *state);

#endif
