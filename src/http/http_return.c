#include "http/http_return.h"

/* Assumed until a request was held. */
#define HOLD_DEFAULT_MS 1000
/* Weight of a newer request in the mean. */
#define HOLD_WEIGHT 0.25
/* Of the room that returning callers are to use: they come late by network and
 * queue, and requests are not held for equally long. */
#define ROOM_SHARE    0.8
#define RETURN_MIN_MS 200
#define RETURN_MAX_MS 30000

void
http_return_record_hold(http_return_t *returns, int64_t hold_ms)
{
	latency_record(&returns->hold, hold_ms, HOLD_WEIGHT);
}

/* If N requests of the size fit, each held for the mean time, there is room for
 * another one after every Nth part of that time. */
int64_t
http_return_take_ms(
    http_return_t *returns, int64_t now_ms, size_t bytes, size_t limit_bytes)
{
	int64_t hold_ms = (int64_t)returns->hold.mean_ms;
	int64_t wait_ms = returns->next_ms - now_ms;
	size_t fit_count = limit_bytes / bytes;

	if (hold_ms <= 0)
		hold_ms = HOLD_DEFAULT_MS;
	if (fit_count == 0)
		fit_count = 1;
	if (wait_ms < hold_ms)
		wait_ms = hold_ms;
	if (wait_ms < RETURN_MIN_MS)
		wait_ms = RETURN_MIN_MS;
	if (wait_ms > RETURN_MAX_MS)
		wait_ms = RETURN_MAX_MS;
	returns->next_ms = now_ms + wait_ms +
	    (int64_t)((double)hold_ms / ((double)fit_count * ROOM_SHARE));
	return (wait_ms);
}
