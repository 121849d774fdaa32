/**
 * @file
 * The limits of one target at a gate: the one that the target names in its
 * responses, as seen here and as the leading hub knows it, and the one while the
 * target is cold, which is the leader's alone. The table owns them for each
 * target. Does no I/O and reads no clock.
 */
#ifndef TM_GATE_GATE_LIMIT_H
#define TM_GATE_GATE_LIMIT_H

#include <stdint.h>

/** Zero for a target that has said nothing yet. */
typedef struct gate_limit {
	uint32_t value; /**< that the gate keeps to, as of fleet_limit.h */
	uint32_t fleet_value; /**< that the leader knows */
	int64_t set_ms; /**< when value was set */
	int64_t wait_until_ms; /**< no permit before */
	double share; /**< permits left without a leader */
	int64_t share_ms; /**< when share was computed */
	uint32_t warmup; /**< limit while it is cold, as of fleet_limit.h */
	int64_t warmup_until_ms; /**< that one ends then */
	int64_t cold_until_ms; /**< the latest end that the leader was told or
				* told itself */
	/** What the target tolerates whenever it turns cold, as of
	 * fleet_limit.h; unknown: cold targets of its service have no bound. */
	uint32_t cold_value;
	int64_t listed_ms; /**< when the leader first told that value */
	double sent_rate; /**< requests of this gate per second, lately */
	int64_t sent_ms; /**< last request of this gate */
	int64_t
	    spacing_ms; /**< between requests without a leader; 0: has one */
	int64_t spaced_from_ms; /**< none before, without a leader */
} gate_limit_t;

/** Applies what the leader knows. */
void gate_limit_apply(
    gate_limit_t *limit, uint32_t fleet_value, int64_t now_ms);

/**
 * Records what a response says.
 *
 * @param value    as of fleet_limit.h; none if the response names no limit
 * @param sent_ms  time of its request: the end of a limit shows only in
 *                 responses to requests that were sent since it was named
 * @return         1 if the leader must be told
 */
int gate_limit_record(
    gate_limit_t *limit, uint32_t value, int64_t sent_ms, int64_t now_ms);

/**
 * Applies the leader's limit for a cold target. It ends by itself.
 *
 * @param value    as of fleet_limit.h; unknown: the target is warm, and its
 *                 service has no bound
 * @param left_ms  time until the target is warm; 0: it is
 */
void gate_limit_apply_warmup(
    gate_limit_t *limit, uint32_t value, uint32_t left_ms, int64_t now_ms);

/**
 * The gate has no leader from now on, so that the target may turn cold unnoticed:
 * requests are spaced so that all gates together keep to its bound.
 *
 * @param gates     number of gates in the fleet
 * @param is_light  this gate sends less than its share
 * @param phase     random, 0 to 1: part of the spacing before the first request
 *                  of a gate that is not light, so that the gates do not send
 *                  these at the same time
 */
void gate_limit_begin_spacing(gate_limit_t *limit, uint32_t gates, int is_light,
    double phase, int64_t now_ms);

/** @return requests per second that a light gate of a fleet without a leader may
 *          send to the target; negative: it has no bound */
double gate_limit_get_light_per_s(const gate_limit_t *limit, uint32_t gates);

/** @return requests of this gate to the target per second; negative: it has not
 *          been known for long enough to tell */
double gate_limit_get_sent_per_s(const gate_limit_t *limit, int64_t now_ms);

/** The gate has a leader again. */
void gate_limit_end_spacing(gate_limit_t *limit);

/** Records a request to the target. */
void gate_limit_record_sent(gate_limit_t *limit, int64_t now_ms);

/** @return 1 if the target must get no request now, as it may be cold */
int gate_limit_is_spaced(const gate_limit_t *limit, int64_t now_ms);

/**
 * Records the time for which a response says that its target stays cold.
 *
 * @return 1 if the leader must be told
 */
int gate_limit_record_cold(
    gate_limit_t *limit, uint32_t left_ms, int64_t now_ms);

/** @return 1 if the target names a limit */
int gate_limit_is_set(const gate_limit_t *limit);

/** @return 1 if the limit of a cold target is in force */
int gate_limit_is_cold(const gate_limit_t *limit, int64_t now_ms);

/** @return 1 if each request to the target needs a permit */
int gate_limit_needs_permit(const gate_limit_t *limit, int64_t now_ms);

/** Records that the leader grants no permit for a time. */
void gate_limit_wait(gate_limit_t *limit, int64_t wait_ms, int64_t now_ms);

/** @return time until a permit can be expected, in ms; 0: now */
int64_t gate_limit_get_wait_ms(const gate_limit_t *limit, int64_t now_ms);

/**
 * Consumes a permit of this gate's share of the limits, as no leader answers.
 *
 * @param gates  number of gates in the fleet
 * @param phase  random, 0 to 1: part of a permit that the share starts with, so
 *               that the gates do not have their first ones at the same time
 * @return       1 if the request may be sent
 */
int gate_limit_take_share(
    gate_limit_t *limit, uint32_t gates, double phase, int64_t now_ms);

#endif
