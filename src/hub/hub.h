/**
 * @file
 * Core of tm-hub: wires the replicated log, the targets, outlier detection,
 * limits and the feed of the gates to the network, the disk and the event loop.
 * hub_t owns all of this state. Answers no HTTP; hub_api does.
 */
#ifndef TM_HUB_HUB_H
#define TM_HUB_HUB_H

#include <uv.h>

#include "base/metrics.h"
#include "hub/hub_settings.h"
#include "hub/hub_state.h"

/** Time after which a proposal ends with TM_ETIMEDOUT. */
#define HUB_PROPOSAL_MAX_MS 3000

typedef struct hub hub_t;

/**
 * Outcome of a proposal.
 *
 * @param err  0 once it is committed; TM_ENOTLEADER or TM_ETIMEDOUT if that is
 *             not known
 */
typedef void (*hub_done_cb)(void *ctx, int err);

/**
 * Opens the data folder and starts to take part in the replicated log. Blocks
 * while the disk of the folder fails.
 *
 * @return 0 or a negative error number, already logged
 */
int hub_create(hub_t **out, const hub_settings_t *settings, uv_loop_t *loop);

/** Applies seeds and secrets of new settings. @return 0 or TM_ENOMEM, already
 * logged; the old secrets stay then */
int hub_reload(hub_t *hub, const hub_settings_t *new_settings);

/** Reports that the data folder has failed; see hub_set_failure_callback(). */
typedef void (*hub_failed_cb)(void *ctx);

/**
 * Sets what is called once when a write to the data folder has failed. The hub
 * takes no part in the log from then on: what it holds may differ from what is
 * on disk. The process must end and be started again.
 */
void hub_set_failure_callback(hub_t *hub, hub_failed_cb failed, void *ctx);

/** Starts a planned stop; a leader transfers its leadership first. */
void hub_begin_stop(hub_t *hub);

/** @return 1 when the process may end */
int hub_is_stopped(const hub_t *hub);

/** @return 1 if this hub leads and no newer leader can exist */
int hub_is_leading(const hub_t *hub);

/** @return name, which is the address, of the leader; NULL if not known */
const char *hub_get_leader(const hub_t *hub);

/** @return the replicated state, to be read only */
const hub_state_t *hub_get_state(const hub_t *hub);

/** @return the settings in force */
const hub_settings_t *hub_get_settings(const hub_t *hub);

/** @return the metrics of the process */
metrics_t *hub_get_metrics(hub_t *hub);

/**
 * Proposes an entry; done is called once, never from within.
 *
 * @param bytes  from malloc(); freed by the callee
 * @return       0 or a negative error number, then done is not called
 */
int hub_propose(
    hub_t *hub, uint8_t *bytes, size_t len, hub_done_cb done, void *ctx);

/** An announcement, or the end of a registration, has taken effect already. */
#define HUB_ACKNOWLEDGED 1

/**
 * Handles an announcement of a target; a hub that does not lead may pass it on
 * to the leader.
 *
 * @param done  called once, never from within, and only after TM_OK; with 0 the
 *              announcement is to be acknowledged
 * @return      HUB_ACKNOWLEDGED; TM_OK if done will be called; TM_EUNAVAIL
 *              without contact with the leader; another negative error number
 */
int hub_announce(
    hub_t *hub, const dialect_announcement_t *as, hub_done_cb done, void *ctx);

/** Handles the end of a registration; as hub_announce().
 * @param as  its id, incarnation (0: not known) and service ("": not known) */
int hub_leave(
    hub_t *hub, const dialect_announcement_t *as, hub_done_cb done, void *ctx);

/** @return name of the hub at which a target should announce itself, or NULL for
 * any hub */
const char *hub_choose_for_target(hub_t *hub, const char *id);

/** @return 1 if targets are spread over the hubs */
int hub_is_spreading(const hub_t *hub);

#endif
