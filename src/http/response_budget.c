#include "http/response_budget.h"

#define UNKNOWN_LENGTH_SHARE 0.5

static size_t
get_used(const response_budget_t *budget)
{
	return (budget->reserved_bytes + budget->unwritten_bytes);
}

int
response_budget_reserve(response_budget_t *budget, response_reservation_t *out,
    size_t bytes, int is_length_unknown)
{
	if (get_used(budget) + bytes > budget->limit_bytes)
		return (0);
	if (is_length_unknown &&
	    (double)(budget->unknown_bytes + bytes) >
		UNKNOWN_LENGTH_SHARE * (double)budget->limit_bytes)
		return (0);
	*out = (response_reservation_t){ bytes, is_length_unknown };
	budget->reserved_bytes += bytes;
	if (is_length_unknown)
		budget->unknown_bytes += bytes;
	return (1);
}

void
response_budget_unreserve(
    response_budget_t *budget, response_reservation_t *reservation)
{
	budget->reserved_bytes -= reservation->bytes;
	if (reservation->is_length_unknown)
		budget->unknown_bytes -= reservation->bytes;
	*reservation = (response_reservation_t){ 0 };
}

void
response_budget_hold(response_budget_t *budget, size_t bytes)
{
	budget->unwritten_bytes += bytes;
}

void
response_budget_release(response_budget_t *budget, size_t bytes)
{
	budget->unwritten_bytes -= bytes;
}
