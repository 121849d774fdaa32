/**
 * @file
 * Core of a control VM: replicated log, configuration state, feed, node
 * directory and shard groups. The admin API is built on it.
 */
#ifndef TM_CONTROL_CONTROL_H
#define TM_CONTROL_CONTROL_H

#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "config/config_state.h"
#include "control/control_settings.h"

/** Time after which a change is answered with "outcome unknown". */
#define CONTROL_CHANGE_TIMEOUT_MS 5000
/** Entries after which the log is compacted, and entries kept then. */
#define CONTROL_COMPACT_ENTRIES 1000
#define CONTROL_COMPACT_KEEP	256
/** Silence after which a VM leaves the directory. */
#define CONTROL_LEAVE_MS INT64_C(3600000)
/** The same for a VM that announced its stop. */
#define CONTROL_LEAVE_DRAINED_MS INT64_C(30000)

typedef struct control control_t;

/** A change that waits for its entry to be applied. */
typedef struct control_ticket control_ticket_t;

/**
 * Outcome of a change.
 *
 * @param result  err is TM_ETIMEDOUT if the outcome is unknown
 */
typedef void (*control_done_cb)(void *ctx, const config_result_t *result);

/**
 * Opens the data folder and starts to take part in the fleet.
 *
 * @return 0, or a negative error number after a log event
 */
int control_create(
    control_t **out, const control_settings_t *settings, uv_loop_t *loop);

/** Frees everything; the loop must not run any more. */
void control_destroy(control_t *control);

/** @return the replicated state, to be read only */
config_state_t *control_get_state(control_t *control);

/** @return settings that control_create() got */
const control_settings_t *control_get_settings(const control_t *control);

/**
 * Takes over the fleet secrets, the operators and the TLS files of fresh
 * settings; other fields need a restart.
 */
void control_reload(control_t *control, const control_settings_t *fresh);

/** @return the leader as far as known, or NULL */
const control_vm_t *control_get_leader(const control_t *control);

/**
 * Tells whether this VM is the leader and its state holds all that was ever
 * accepted, so that it may answer reads and changes.
 *
 * @return 1 or 0
 */
int control_is_ready_leader(const control_t *control);

/**
 * Puts a change into the log.
 *
 * @param out   for control_forget(); valid until done is called
 * @param done  called once later, unless control_forget() is called before
 * @return      0; TM_ENOTLEADER; TM_ETOOBIG; TM_EFULL; TM_EUNAVAIL; TM_ENOMEM
 */
int control_propose(control_t *control, const Feed__Change *change,
    control_done_cb done, void *ctx, control_ticket_t **out);

/** Gives up waiting for a change; the change itself stays in the log. */
void control_forget(control_ticket_t *ticket);

/** @return new reference to the status of this VM; NULL without memory */
json_t *control_get_status(const control_t *control);

/** @return metrics that the caller frees; NULL without memory */
char *control_format_metrics(control_t *control, size_t *len);

/**
 * Drops all messages to a VM; test builds only.
 *
 * @return 0, TM_EINVAL if the build has no drop rules, TM_ENOMEM
 */
int control_set_drop(control_t *control, node_id_t to, int drop);

/** Called once, when the data folder fails. */
typedef void (*control_failed_cb)(void *ctx);

/** Sets what is called when the data folder fails. */
void control_set_failure_callback(
    control_t *control, control_failed_cb failed, void *ctx);

/** Begins a planned stop: hands over leadership, accepts no new changes. */
void control_begin_stop(control_t *control);

/** @return 1 once leadership is handed over and all changes are answered */
int control_is_stopped(const control_t *control);

#endif
