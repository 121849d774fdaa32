/**
 * @file
 * Which targets are cold (still warming up), as the leading hub holds it, and
 * how many requests a cold target may get. The caller owns the state, which only
 * the leader uses, and passes it what targets announce. Does no I/O and reads no
 * clock.
 *
 * A target is cold up to a time. It comes from its announcements, from its
 * responses, from the replicated log when a hub begins to lead, or from the
 * suspicion that a whole data centre turned cold unnoticed.
 */
#ifndef TM_HUB_HUB_WARMUP_H
#define TM_HUB_HUB_WARMUP_H

#include <stddef.h>
#include <stdint.h>

#include "hub/hub_signals.h"

/** Capacity of the bucket of a cold target, in permits. */
#define HUB_WARMUP_BURST 2.0
/** A permit may be used up to this time after it was granted: gates wait that
 * long for a permit. So the permits of this time and a second may be used within
 * one second. */
#define HUB_WARMUP_USE_MS 250
/** Requests by which gates without a leader may exceed their share of a second:
 * they come at random. By the Poisson distribution a share of 1.45 requests per
 * second (0.25 of 5.8) has more than 7 in 2 of 10,000 seconds, and the bound is
 * still met then unless the permits of 1.25 s are used in the same second. */
#define HUB_WARMUP_ALONE_BURST 6.0
/** Longest time for which a permit of a cold target is reserved ahead. Permits of
 * the leader before may be used for that long, so those of a new leader begin
 * with a debt of this time. */
#define HUB_WARMUP_RESERVE_MAX_MS 500
/** A suspected target is cold for this time, which is prolonged until it is heard
 * of. Announcements come every 1.5 s. */
#define HUB_WARMUP_SUSPECT_MS 4000
/** The suspicion is prolonged when less than this is left: gates must know before
 * their time is over. */
#define HUB_WARMUP_PROLONG_MS 1500

/** A suspicion is kept for this time for a hub that begins to lead: an election
 * and several announcements. */
#define HUB_WARMUP_SUSPECT_KEEP_MS 10000
/** Most suspicions that are kept; data centres are fewer. */
#define HUB_WARMUP_SUSPECTS_MAX 64

typedef struct hub_warmup hub_warmup_t;

/** What the state of a target comes from. */
typedef enum hub_warmup_source {
	HUB_WARMUP_ANNOUNCED,
	HUB_WARMUP_RESPONSE,
	HUB_WARMUP_REPLICATED, /**< this hub began to lead */
	HUB_WARMUP_SUSPECTED
} hub_warmup_source_t;

/** A target whose state changed. */
typedef struct hub_warmup_change {
	hub_signal_key_t key;
	uint64_t service; /**< hash of its name */
	int64_t until_ms; /**< cold until then; 0: warm */
	int was_cold;
	hub_warmup_source_t source;
} hub_warmup_change_t;

/** Called for each change that gates have to know. */
typedef void (*hub_warmup_cb)(
    void *ctx, const hub_warmup_change_t *change, int64_t now_ms);

/** What a target says. */
typedef struct hub_warmup_report {
	hub_signal_key_t key;
	uint64_t service; /**< hash of its name */
	uint64_t data_centre; /**< hash of its name */
	uint64_t sequence; /**< grows with each announcement; 0: unknown */
	uint32_t left_ms; /**< time for which it stays cold; 0: warm */
	/** Earliest time at which the target can have said it; 0: unknown. */
	int64_t said_ms;
} hub_warmup_report_t;

/** @return NULL if memory is exhausted */
hub_warmup_t *hub_warmup_create(hub_warmup_cb changed, void *ctx);

/** Frees everything; NULL is allowed. */
void hub_warmup_destroy(hub_warmup_t *warmup);

/** Drops everything but suspicions: this hub begins to lead. */
void hub_warmup_reset(hub_warmup_t *warmup);

/** Adds a target as the replicated log has it, unless its incarnation is known.
 * The new leader can't tell how old that is: the time counts from now. */
void hub_warmup_restore(
    hub_warmup_t *warmup, const hub_warmup_report_t *report, int64_t now_ms);

/** Records an announcement. One that comes late or twice is ignored, unless the
 * target says no start time: its next start may begin with any sequence. One that the
 * target may have made before it was suspected does not end the suspicion. */
void hub_warmup_record(
    hub_warmup_t *warmup, const hub_warmup_report_t *report, int64_t now_ms);

/** Records what a response of a target said; it only prolongs. Ignores a target
 * or an incarnation that is unknown. */
void hub_warmup_record_response(hub_warmup_t *warmup,
    const hub_signal_key_t *key, uint32_t left_ms, int64_t now_ms);

/**
 * Records that all targets of a data centre may have turned cold unnoticed. They
 * count as cold until an announcement that is received later says otherwise. All
 * hubs record it: one that begins to lead soon suspects the targets that it adds.
 *
 * @param data_centre  hash of its name
 * @return             number of its targets
 */
uint32_t hub_warmup_suspect(
    hub_warmup_t *warmup, uint64_t data_centre, int64_t now_ms);

/** Prolongs suspicions. @return number of cold targets */
uint32_t hub_warmup_tick(hub_warmup_t *warmup, int64_t now_ms);

/** Reports all cold targets again, as what they tolerate may have changed. */
void hub_warmup_report_cold(hub_warmup_t *warmup, int64_t now_ms);

/** Removes a target; ignores an unknown one. */
void hub_warmup_remove(hub_warmup_t *warmup, uint64_t key);

/** @return time for which a target stays cold, in ms; 0: it is warm */
int64_t hub_warmup_get_left_ms(
    const hub_warmup_t *warmup, const hub_signal_key_t *key, int64_t now_ms);

/**
 * Rate of the permits of a cold target. In any one second it gets at most per_s
 * times overshoot, plus slack; permits that are used late and gates without a
 * leader, which use a share of this rate beside, are allowed for.
 *
 * @param per_s  requests per second that it tolerates
 * @return       permits per second, at most per_s; negative: no limit
 */
double hub_warmup_get_rate_per_s(double per_s, double overshoot, double slack);

#endif
