#include "base/rng.h"

void
rng_init(rng_t *rng, uint64_t seed)
{
	rng->state = seed;
}

uint64_t
rng_next(rng_t *rng)
{
	uint64_t z;

	rng->state += UINT64_C(0x9e3779b97f4a7c15);
	z = rng->state;
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return (z ^ (z >> 31));
}

uint64_t
rng_below(rng_t *rng, uint64_t bound)
{
	if (bound == 0)
		return (0);
	return ((uint64_t)(((__uint128_t)rng_next(rng) * bound) >> 64));
}

double
rng_unit(rng_t *rng)
{
	return ((double)(rng_next(rng) >> 11) * 0x1.0p-53);
}
