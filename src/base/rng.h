/**
 * @file
 * Seeded random numbers (SplitMix64). Not for keys or secrets; those come
 * from the operating system.
 */
#ifndef TM_BASE_RNG_H
#define TM_BASE_RNG_H

#include <stdint.h>

/** Generator state; a copy continues the same sequence. */
typedef struct rng {
	uint64_t state;
} rng_t;

/** Starts a sequence from a seed; equal seeds give equal sequences. */
void rng_init(rng_t *rng, uint64_t seed);

/** @return the next 64 random bits */
uint64_t rng_next(rng_t *rng);

/** @return a number in [0, bound); 0 if bound is 0 */
uint64_t rng_below(rng_t *rng, uint64_t bound);

/** @return a number in [0, 1) */
double rng_unit(rng_t *rng);

#endif
