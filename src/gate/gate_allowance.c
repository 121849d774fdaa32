#include "gate/gate_allowance.h"

#include <math.h>
#include <stdlib.h>

/* Above this even share in tokens gates differ too little to matter. */
#define EVEN_SHARE_MAX 200.0

typedef struct allowance_row {
	uint64_t id;
	double cap; /* requests per window */
	int has_headroom; /* of the workspace when the cap was set */
	UT_hash_handle hh;
} allowance_row_t;

struct gate_allowance {
	fleet_rate_bounds_t bounds;
	rng_t rng;
	allowance_row_t *rows;
};

gate_allowance_t *
gate_allowance_create(const fleet_rate_bounds_t *bounds, uint64_t seed)
{
	gate_allowance_t *allowance = calloc(1, sizeof(*allowance));

	if (allowance == NULL)
		return (NULL);
	allowance->bounds = *bounds;
	rng_init(&allowance->rng, seed);
	return (allowance);
}

void
gate_allowance_reset(gate_allowance_t *allowance)
{
	allowance_row_t *row;
	allowance_row_t *next;

	HASH_ITER(hh, allowance->rows, row, next) {
		HASH_DELETE(hh, allowance->rows, row);
		free(row);
	}
}

void
gate_allowance_destroy(gate_allowance_t *allowance)
{
	if (allowance == NULL)
		return;
	gate_allowance_reset(allowance);
	free(allowance);
}

/*
 * With many gates the share of each is below one token. Rounding at random
 * keeps the sum in the mean and serves requests that fractions would not.
 */
static double
round_at_random(gate_allowance_t *allowance, double tokens)
{
	double whole = floor(tokens);

	return (rng_unit(&allowance->rng) < tokens - whole ? whole + 1 : whole);
}

/*
 * Finds the number of tokens per window up to which all gates may be filled:
 * gates that used less may use that many, the others keep their use. While a
 * workspace has headroom, gates used (1 - FLEET_ALLOWANCE_SHARE) of the even
 * share in the mean, Poisson distributed; what is added must be
 * FLEET_ALLOWANCE_SHARE of it in the mean.
 */
static double
find_fair_level(double even_share)
{
	double mean = (1 - FLEET_ALLOWANCE_SHARE) * even_share;
	double remainder = FLEET_ALLOWANCE_SHARE * even_share;
	double fair_level = 0;
	double probability =
	    exp(-mean); /* that a gate used fair_level tokens */
	double cumulative = probability;

	if (even_share > EVEN_SHARE_MAX)
		return (even_share);
	while (remainder > cumulative) {
		remainder -= cumulative;
		fair_level++;
		probability *= mean / fair_level;
		cumulative += probability;
	}
	return (fair_level + remainder / cumulative);
}

static double
compute_cap(gate_allowance_t *allowance, const gate_allowance_query_t *query)
{
	double limit =
	    fleet_workspace_get_limit(query->workspace, &allowance->bounds);
	double fair_level;

	if (!query->has_headroom)
		return (query->used);
	fair_level =
	    round_at_random(allowance, find_fair_level(limit / query->gates));
	return (fair_level > query->used ? fair_level : query->used);
}

static allowance_row_t *
get_row(gate_allowance_t *allowance, const gate_allowance_query_t *query)
{
	uint64_t id = query->workspace->id;
	allowance_row_t *row;

	HASH_FIND(hh, allowance->rows, &id, sizeof(id), row);
	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		if (row == NULL)
			return (NULL);
		row->id = id;
		HASH_ADD(hh, allowance->rows, id, sizeof(row->id), row);
	} else if (!row->has_headroom || query->has_headroom) {
		return (row);
	}
	row->has_headroom = query->has_headroom;
	row->cap = compute_cap(allowance, query);
	return (row);
}

int
gate_allowance_admits(
    gate_allowance_t *allowance, const gate_allowance_query_t *query)
{
	const allowance_row_t *row = get_row(allowance, query);

	return (row != NULL && query->used + query->future + 1.0 <= row->cap);
}
