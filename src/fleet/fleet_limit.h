/**
 * @file
 * Limit of a target on the wire: the requests per second that it takes from all
 * gates together, as it says in its responses. Keeps no state.
 */
#ifndef TM_FLEET_FLEET_LIMIT_H
#define TM_FLEET_FLEET_LIMIT_H

#include <stdint.h>

/** Wire value: the sender does not know whether the target has a limit. */
#define FLEET_LIMIT_UNKNOWN 0
/** Wire value: the target has no limit. */
#define FLEET_LIMIT_NONE 1
/** Larger limits count as none. */
#define FLEET_LIMIT_MAX_PER_S 1000000.0

/** @return wire value of a limit; a negative one stands for none */
static inline uint32_t
fleet_limit_encode(double per_s)
{
	const double thousandths = 1000.0;

	if (per_s < 0 || per_s > FLEET_LIMIT_MAX_PER_S)
		return (FLEET_LIMIT_NONE);
	return ((uint32_t)(per_s * thousandths) + FLEET_LIMIT_NONE + 1);
}

/** @return limit in requests per second; negative: none, or unknown */
static inline double
fleet_limit_decode(uint32_t value)
{
	const double thousandths = 1000.0;

	if (value <= FLEET_LIMIT_NONE)
		return (-1);
	return ((value - FLEET_LIMIT_NONE - 1) / thousandths);
}

#endif
