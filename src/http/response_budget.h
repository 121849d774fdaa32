/**
 * @file
 * Memory for the large responses that a process holds: those that it reads from
 * targets and those that wait to be written to callers, together. A large
 * response is read on only after its memory is reserved. Counts and decides
 * only; the holders carry it out.
 */
#ifndef TM_HTTP_RESPONSE_BUDGET_H
#define TM_HTTP_RESPONSE_BUDGET_H

#include <stddef.h>

/** Used where the creator names no other limit. */
#define RESPONSE_BUDGET_DEFAULT_BYTES ((size_t)96 * 1024 * 1024)
/** A response needs no reservation up to this size, so that large ones do not
 * stop the others. */
#define RESPONSE_BUDGET_SMALL_BYTES ((size_t)128 * 1024)

typedef struct response_budget {
	size_t limit_bytes;
	size_t reserved_bytes; /**< for responses that are read */
	/** Part of it for responses that do not tell their length. */
	size_t unknown_bytes;
	size_t unwritten_bytes; /**< of whole ones that callers are sent */
} response_budget_t;

/** What one response has reserved; all zeros: nothing. */
typedef struct response_reservation {
	size_t bytes;
	int is_length_unknown;
} response_reservation_t;

/**
 * Reserves memory for a response. Responses that do not tell their length may
 * have no end: together they get half of the budget.
 *
 * @param bytes  longest size of the response
 * @return       1, or 0 if there is not enough now
 */
int response_budget_reserve(response_budget_t *budget,
    response_reservation_t *out, size_t bytes, int is_length_unknown);

/** Ends a reservation; nothing happens if there is none. */
void response_budget_unreserve(
    response_budget_t *budget, response_reservation_t *reservation);

/** Counts a whole response that a caller is sent. */
void response_budget_hold(response_budget_t *budget, size_t bytes);

/** Ends that. */
void response_budget_release(response_budget_t *budget, size_t bytes);

#endif
