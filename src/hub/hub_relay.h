/**
 * @file
 * Announcements of targets at a hub that does not lead. It answers those that
 * repeat what the leader has confirmed to it, and tells the leader in batches
 * which targets announced themselves; all others it passes on to the leader and
 * acknowledges only once the leader has confirmed them.
 *
 * It acts only while it is in contact with the leader: the newest answer of the
 * leader is to a batch of the last HUB_RELAY_LEASE_MS. Without contact,
 * announcements of a large fleet wait, as targets that are refused call the next
 * hub at once. Each answer names the targets that have changed since the last,
 * which are forgotten here. What a lost batch told is told again. A new leader
 * confirms all targets anew. The caller owns the state. Does no I/O but through the
 * send callback, and reads no clock.
 */
#ifndef TM_HUB_HUB_RELAY_H
#define TM_HUB_HUB_RELAY_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/dialect.h"
#include "fleet/fleet_defs.h"

/** Interval of batches while targets announce themselves here. */
#define HUB_RELAY_BATCH_MS 250
/** Interval of batches otherwise: they keep the contact. */
#define HUB_RELAY_IDLE_BATCH_MS 500
/** Time from the sending of a batch for which its answer allows this hub to act.
 * One lost batch is tolerated. */
#define HUB_RELAY_LEASE_MS 1200
/** Longest wait for a leader and its decision; a target waits for 1 s. */
#define HUB_RELAY_PASS_MAX_MS 900
/** Announcements that the leader decides on wait this long for others. */
#define HUB_RELAY_GATHER_MS 20
/** A hub whose ticks pause for so long was frozen. */
#define HUB_RELAY_FROZEN_MS 1000
/** A hub that was frozen refuses announcements for this time: those that came
 * meanwhile are read first, and may be older than what the leader still knows. */
#define HUB_RELAY_SETTLE_MS 500
/** A target that has not announced itself here for this time is forgotten. */
#define HUB_RELAY_TARGET_EXPIRY_MS 10000

/** Flags that disable one mechanism each, for tests only. */
#define HUB_RELAY_TEST_NO_LEASE	   1u
#define HUB_RELAY_TEST_NO_CHANGES  2u
#define HUB_RELAY_TEST_NO_SETTLING 4u
#define HUB_RELAY_TEST_PASS_NONE   8u /**< answers without the leader */
#define HUB_RELAY_TEST_NO_WAITING  16u /**< refuses without contact */
#define HUB_RELAY_TEST_NO_PACING   32u /**< sends before the last answer */

typedef struct hub_relay hub_relay_t;

typedef struct hub_relay_options {
	node_send_cb send;
	void *send_ctx;
	/** Random: decisions for an earlier process of this hub must not be taken
	 * for its own. */
	uint32_t first_id;
	uint32_t test_switches; /**< HUB_RELAY_TEST_*; 0 outside tests */
} hub_relay_options_t;

/** What to do with an announcement. */
typedef enum hub_relay_decision {
	HUB_RELAY_ANSWER, /**< acknowledge it; the leader is told */
	HUB_RELAY_PASS, /**< hub_relay_pass() */
	HUB_RELAY_REFUSE /**< there is no contact with the leader, and the fleet
			  * is small or this hub was frozen */
} hub_relay_decision_t;

/** Counts since the start. */
typedef struct hub_relay_stats {
	uint64_t answered;
	uint64_t passed;
	uint64_t refused;
	uint64_t unanswered; /**< passed on, without a decision in time */
} hub_relay_stats_t;

/**
 * Decision of the leader.
 *
 * @param err  0 if the announcement is to be acknowledged; TM_ETIMEDOUT,
 *             TM_ENOTLEADER or TM_ESTALE if it must not be
 */
typedef void (*hub_relay_done_cb)(void *ctx, int err);

/** @return NULL if memory is exhausted */
hub_relay_t *hub_relay_create(const hub_relay_options_t *options);

/** Frees everything without a callback; NULL is allowed. */
void hub_relay_destroy(hub_relay_t *relay);

/** Names the hub that leads; NODE_ID_NONE: none is known, or this one. A change
 * ends all that was sent to the leader, with TM_ENOTLEADER. */
void hub_relay_set_leader(hub_relay_t *relay, node_id_t leader, int64_t now_ms);

/** Decides on an announcement. */
hub_relay_decision_t hub_relay_decide(
    hub_relay_t *relay, const dialect_announcement_t *as, int64_t now_ms);

/** @return 1 if calls may be passed on to the leader */
int hub_relay_is_in_contact(hub_relay_t *relay, int64_t now_ms);

/**
 * Passes an announcement on to the leader, as soon as there is contact; done is
 * called once, never from within.
 *
 * @param is_leave  the target ends its registration; only its id and, if not 0,
 *                  born_ms count
 * @return          0, TM_EUNAVAIL if hub_relay_decide() refuses, TM_ENOMEM; done
 *                  is not called after an error
 */
int hub_relay_pass(hub_relay_t *relay, const dialect_announcement_t *as,
    int is_leave, hub_relay_done_cb done, void *ctx, int64_t now_ms);

/** Sends what is due, and ends what has waited too long. */
void hub_relay_tick(hub_relay_t *relay, int64_t now_ms);

/** Ends all that waits, with TM_ENOTLEADER: a hub that leads passes nothing on. */
void hub_relay_end_waiting(hub_relay_t *relay);

/** Sends what was passed on, if it has waited for long enough. */
void hub_relay_flush(hub_relay_t *relay, int64_t now_ms);

/** Handles MSG_FLEET_RELAYED. */
void hub_relay_handle_answer(hub_relay_t *relay, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms);

/** @return targets of the fleet as the leader told last; 0: it never did */
uint32_t hub_relay_get_target_count(const hub_relay_t *relay);

/** @return targets that this hub answers by itself */
size_t hub_relay_count_known(const hub_relay_t *relay);

const hub_relay_stats_t *hub_relay_get_stats(const hub_relay_t *relay);

#endif
