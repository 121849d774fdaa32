/**
 * @file
 * What targets say of themselves in their responses, as the leading hub holds
 * it for the whole fleet: that they leave, and how many requests per second they
 * take; and how many they take while they are cold. A limit is enforced with
 * permits, which gates request for each request to a target with one. The caller
 * owns the state, which only the leader uses. Does no I/O and reads no clock.
 *
 * A permit is a token of a bucket that starts empty, so that a new leader
 * grants no more than the one before left. A target gets a few requests however
 * low its limit is: only its responses tell when the limit ends.
 */
#ifndef TM_HUB_HUB_SIGNALS_H
#define TM_HUB_HUB_SIGNALS_H

#include <stdint.h>

/** Permits per second that a target gets at least. */
#define HUB_LIMIT_MIN_PER_S 0.5
/** Capacity of a bucket, in permits. */
#define HUB_LIMIT_BURST 2.0

typedef struct hub_signals hub_signals_t;

/** A target, in one incarnation. */
typedef struct hub_signal_key {
	uint64_t target; /**< key */
	uint64_t incarnation_ms;
} hub_signal_key_t;

/** Limit of a target while it is cold. It applies beside the one that the target
 * names, with a bucket of its own, so that the smaller one counts. */
typedef struct hub_warmup_limit {
	uint32_t value; /**< as of fleet_limit.h */
	double burst; /**< capacity of the bucket, in permits */
	int64_t until_ms; /**< it ends by itself then */
	/** Time whose permits the bucket lacks at first, as those of the leader
	 * before may still be used; it has none in any case. */
	int64_t debt_ms;
} hub_warmup_limit_t;

/** @return NULL if memory is exhausted */
hub_signals_t *hub_signals_create(void);

/** Frees everything; NULL is allowed. */
void hub_signals_destroy(hub_signals_t *signals);

/** Drops everything: this hub begins to lead. */
void hub_signals_reset(hub_signals_t *signals);

/**
 * Sets what a target says of its limit. An earlier incarnation is replaced.
 *
 * @param value  as of fleet_limit.h; FLEET_LIMIT_UNKNOWN changes nothing
 * @return       1 if that is new
 */
int hub_signals_set_limit(hub_signals_t *signals, const hub_signal_key_t *key,
    uint32_t value, int64_t now_ms);

/** Records that a target leaves; its incarnation does not come back. @return 1
 * if that is new */
int hub_signals_set_leaving(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms);

/** @return 1 if a target leaves */
int hub_signals_is_leaving(
    const hub_signals_t *signals, const hub_signal_key_t *key);

/** Removes a target; ignores an unknown one. */
void hub_signals_remove(hub_signals_t *signals, uint64_t key);

/** @return limit of a target as of fleet_limit.h */
uint32_t hub_signals_get_limit(
    const hub_signals_t *signals, const hub_signal_key_t *key);

/** Sets the limit of a target while it is cold, or moves its end. */
void hub_signals_set_warmup(hub_signals_t *signals, const hub_signal_key_t *key,
    const hub_warmup_limit_t *limit, int64_t now_ms);

/**
 * @param left_ms  receives the time until this limit ends, in ms
 * @return         limit of a target while it is cold, as of fleet_limit.h;
 *                 FLEET_LIMIT_UNKNOWN if none is in force
 */
uint32_t hub_signals_get_warmup(const hub_signals_t *signals,
    const hub_signal_key_t *key, int64_t now_ms, uint32_t *left_ms);

/** @return requests per second that a target takes by the smaller of its limits;
 * negative: it has none */
double hub_signals_get_rate_per_s(
    const hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms);

/** @return time until a request to a target would get a permit, in ms */
int64_t hub_signals_get_wait_ms(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms);

/** Consumes a permit: one that is there, or one that will be after
 * hub_signals_get_wait_ms(). */
void hub_signals_consume(
    hub_signals_t *signals, const hub_signal_key_t *key, int64_t now_ms);

/** @return 1 if a target may be chosen */
typedef int (*hub_signal_filter_cb)(void *ctx, const hub_signal_key_t *key);

/**
 * Finds the target with a limit that has a permit first.
 *
 * @param out  receives it
 * @return     time until then, in ms; -1 if the filter allows none
 */
int64_t hub_signals_find_first(hub_signals_t *signals,
    hub_signal_filter_cb filter, void *ctx, int64_t now_ms,
    hub_signal_key_t *out);

#endif
