/**
 * @file
 * Limits that targets name in their responses, as the leading hub enforces them
 * over the whole fleet: gates request a permit for each request to a target
 * with a limit. The caller owns the state, which only the leader uses. Does no
 * I/O and reads no clock.
 *
 * A permit is a token of a bucket that starts empty, so that a new leader
 * grants no more than the one before left. A target gets a few requests however
 * low its limit is: only its responses tell when the limit ends.
 */
#ifndef TM_HUB_HUB_LIMITS_H
#define TM_HUB_HUB_LIMITS_H

#include <stdint.h>

/** Permits per second that a target gets at least. */
#define HUB_LIMIT_MIN_PER_S 0.5
/** Capacity of a bucket, in permits. */
#define HUB_LIMIT_BURST 2.0

typedef struct hub_limits hub_limits_t;

/** A target, in one incarnation. */
typedef struct hub_limit_key {
	uint64_t target; /**< key */
	uint64_t incarnation_ms;
} hub_limit_key_t;

/** @return NULL if memory is exhausted */
hub_limits_t *hub_limits_create(void);

/** Frees everything; NULL is allowed. */
void hub_limits_destroy(hub_limits_t *limits);

/** Drops all limits: this hub begins to lead. */
void hub_limits_reset(hub_limits_t *limits);

/**
 * Sets what a target says of its limit. An earlier incarnation is replaced.
 *
 * @param value  as of fleet_limit.h; FLEET_LIMIT_UNKNOWN changes nothing
 * @return       1 if that is new
 */
int hub_limits_set(hub_limits_t *limits, const hub_limit_key_t *key,
    uint32_t value, int64_t now_ms);

/** Removes a target; ignores an unknown one. */
void hub_limits_remove(hub_limits_t *limits, uint64_t target);

/** @return limit of a target as of fleet_limit.h */
uint32_t hub_limits_get(const hub_limits_t *limits, const hub_limit_key_t *key);

/** @return time until a request to a target would get a permit, in ms */
int64_t hub_limits_get_wait_ms(
    hub_limits_t *limits, const hub_limit_key_t *key, int64_t now_ms);

/** Consumes a permit: one that is there, or one that will be after
 * hub_limits_get_wait_ms(). */
void hub_limits_consume(
    hub_limits_t *limits, const hub_limit_key_t *key, int64_t now_ms);

/** @return 1 if a target may be chosen */
typedef int (*hub_limit_filter_cb)(void *ctx, const hub_limit_key_t *key);

/**
 * Finds the target with a limit that has a permit first.
 *
 * @param out  receives it
 * @return     time until then, in ms; -1 if the filter allows none
 */
int64_t hub_limits_find_first(hub_limits_t *limits, hub_limit_filter_cb filter,
    void *ctx, int64_t now_ms, hub_limit_key_t *out);

#endif
