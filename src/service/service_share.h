/**
 * @file
 * Max-min fair division of slots by water filling. Pure function: keeps no
 * state, does no I/O and reads no clock.
 */
#ifndef TM_SERVICE_SHARE_H
#define TM_SERVICE_SHARE_H

#include <stdint.h>

/**
 * Computes the largest share: each demand gets min(demand, level), and the sum
 * is the number of slots.
 *
 * @param demands  demand in slots; sorted by the call
 * @return         level; a negative value if all demands fit
 */
double service_share_get_fair_level(
    double *demands, uint32_t count, double slots);

#endif
