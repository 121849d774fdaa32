/**
 * @file
 * Bytes of large requests in flight at each target, as the leading hub counts
 * them for the whole fleet, and what a target of a service can hold. A gate has
 * a permit for each large request; it ends when the gate says so, with the
 * request's deadline, or with the gate. The caller owns the state, which only
 * the leader uses. Does no I/O and reads no clock.
 *
 * The bound of a service is unknown at first. A crash lowers it to a fraction of
 * what the target held, if that was much more than targets of the service hold
 * otherwise; it rises slowly while targets hold nearly as much and respond.
 */
#ifndef TM_HUB_HUB_UPLOAD_H
#define TM_HUB_HUB_UPLOAD_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"

/** Bound after a crash, as a fraction of what the target held. */
#define HUB_UPLOAD_CRASH_SHARE 0.6
/** A crash is evidence only if the target held this many times what is usual. */
#define HUB_UPLOAD_UNUSUAL 2.0
/** Fraction of a stated memory that large requests may fill; the rest is for
 * small requests and responses. */
#define HUB_UPLOAD_MEMORY_SHARE 0.8
/** A new leader grants nothing for this time, in which each gate reports what it
 * has in flight: two renewals of a lease. */
#define HUB_UPLOAD_SETTLE_MS 1000
/** A gate that was not heard for this time has no uploads any more. */
#define HUB_UPLOAD_GATE_MAX_MS 3000
/** Bytes of a broken request count for this time: the report of the crash that
 * broke it may come later. */
#define HUB_UPLOAD_BROKEN_MS 1500
/** Most services with a bound that a lease names. */
#define HUB_UPLOAD_BOUNDS_MAX 64

typedef struct hub_upload hub_upload_t;

/** A large request of a gate at a target. */
typedef struct hub_upload_permit {
	node_id_t gate;
	uint32_t id; /**< at its gate, since that started */
	uint64_t target; /**< key */
	uint64_t incarnation_ms; /**< of the target */
	uint64_t service;
	uint64_t bytes;
	int64_t until_ms; /**< deadline of the request */
} hub_upload_permit_t;

/** Bound of one service. */
typedef struct hub_upload_bound {
	uint64_t service;
	uint64_t bytes;
} hub_upload_bound_t;

/** What a crash of a target showed. */
typedef struct hub_upload_crash {
	uint64_t service;
	uint64_t held_bytes; /**< by the target when it crashed */
	uint64_t usual_bytes; /**< of targets of the service */
	uint64_t bound_bytes; /**< from now on; 0: unknown */
	int is_evidence; /**< it lowered the bound */
} hub_upload_crash_t;

/** How a large request ended. */
typedef enum hub_upload_end {
	HUB_UPLOAD_ANSWERED, /**< the target responded */
	HUB_UPLOAD_UNANSWERED, /**< timed out, not sent, or the caller left */
	HUB_UPLOAD_BROKEN /**< its connection broke */
} hub_upload_end_t;

/** @param memory_bytes  of each target; 0: the bound is learned
 * @return NULL if memory is exhausted */
hub_upload_t *hub_upload_create(uint64_t memory_bytes);

/** Frees everything; NULL is allowed. */
void hub_upload_destroy(hub_upload_t *upload);

/** Drops everything: this hub begins to lead. Gates report again. */
void hub_upload_reset(hub_upload_t *upload, int64_t now_ms);

/** @return 1 once gates have had the time to report what they have in flight */
int hub_upload_is_settled(const hub_upload_t *upload, int64_t now_ms);

/** Records that a gate was heard. One that has started again has no uploads of
 * before. */
void hub_upload_hear(hub_upload_t *upload, node_id_t gate,
    uint64_t gate_incarnation, int64_t now_ms);

/** @return 1 if a target may get so many bytes more. One that holds nothing takes
 * any request, as else one above the bound would never be sent. */
int hub_upload_has_room(const hub_upload_t *upload, uint64_t target,
    uint64_t incarnation_ms, uint64_t service, uint64_t bytes);

/** Counts a permit, or one that its gate reports; the same one counts once.
 * @return 0 or TM_ENOMEM */
int hub_upload_add(
    hub_upload_t *upload, const hub_upload_permit_t *permit, int64_t now_ms);

/** Ends a permit; ignores an unknown one. */
void hub_upload_finish(hub_upload_t *upload, node_id_t gate, uint32_t id,
    hub_upload_end_t how, int64_t now_ms);

/** Records a crash, and drops the bytes of that incarnation.
 * @return 0 if the target held nothing, as after the first report of a crash */
int hub_upload_record_crash(hub_upload_t *upload, uint64_t target,
    uint64_t incarnation_ms, int64_t now_ms, hub_upload_crash_t *out);

/** Ends permits that are overdue, and raises bounds. */
void hub_upload_tick(hub_upload_t *upload, int64_t now_ms);

/** @return bytes in flight at a target */
uint64_t hub_upload_get_bytes(
    const hub_upload_t *upload, uint64_t target, uint64_t incarnation_ms);

/** @return bound of a service in bytes; 0: unknown */
uint64_t hub_upload_get_bound(const hub_upload_t *upload, uint64_t service);

/** Takes a bound over that the leader before has told its gates, if there is
 * none yet. */
void hub_upload_restore_bound(
    hub_upload_t *upload, const hub_upload_bound_t *bound, int64_t now_ms);

/** Counts a refusal. @return time until a target of the service is likely to have
 * room for its request, in ms */
int64_t hub_upload_refuse(
    hub_upload_t *upload, uint64_t service, int64_t now_ms);

/** @return number of known bounds, at most HUB_UPLOAD_BOUNDS_MAX */
size_t hub_upload_list_bounds(
    const hub_upload_t *upload, hub_upload_bound_t out[HUB_UPLOAD_BOUNDS_MAX]);

/** @return bytes in flight at all targets */
uint64_t hub_upload_count_bytes(const hub_upload_t *upload);

#endif
