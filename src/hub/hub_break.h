/**
 * @file
 * Connections that broke while a request ran on a target whose port stayed open:
 * the target crashed if another incarnation starts at its address soon, else it
 * only broke the connection. The caller owns the state. Does no I/O and reads no
 * clock.
 */
#ifndef TM_HUB_HUB_BREAK_H
#define TM_HUB_HUB_BREAK_H

#include <stddef.h>
#include <stdint.h>

#include "hub/hub_crash.h"
#include "hub/hub_state.h"

/** Time within which a target that crashed is back. */
#define HUB_BREAK_KEPT_MS 15000
/** Most breaks that are remembered; the oldest one makes room. */
#define HUB_BREAKS_MAX 256

/** One break; broken_ms 0: unused. */
typedef struct hub_break {
	hub_crash_report_t report;
	uint32_t ip; /**< of the target, network byte order */
	uint16_t port;
	uint64_t service; /**< fleet_name_hash() of its name */
} hub_break_t;

/** All breaks that may turn out to be crashes; starts as zero. */
typedef struct hub_breaks {
	hub_break_t breaks[HUB_BREAKS_MAX];
	size_t next; /**< the oldest one */
} hub_breaks_t;

/** Forgets all breaks: this hub begins to lead. */
void hub_breaks_reset(hub_breaks_t *breaks);

/** @param target  the incarnation that the request was sent to */
hub_break_t hub_break_make(
    const hub_crash_report_t *report, const hub_target_t *target);

/** @return 1 if a target is the next incarnation of the one of a break */
int hub_break_has_successor(
    const hub_break_t *item, const hub_target_t *target);

/** Records a break. */
void hub_breaks_add(hub_breaks_t *breaks, const hub_break_t *item);

/** Forgets a request that a target has answered. */
void hub_breaks_clear(hub_breaks_t *breaks, uint64_t fingerprint);

/**
 * Takes the breaks that a new incarnation shows to be crashes, in the order of
 * their reports.
 *
 * @param target  a registered target; one that is not new takes none
 * @param out     receives at most HUB_BREAKS_MAX reports
 * @return        their number
 */
size_t hub_breaks_take(hub_breaks_t *breaks, const hub_target_t *target,
    int64_t now_ms, hub_crash_report_t *out);

#endif
