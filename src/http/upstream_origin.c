#include "http/upstream_origin.h"

#include <string.h>

static void
remove_oldest(upstream_ends_t *ends)
{
	ends->count--;
	memmove(&ends->list[0], &ends->list[1],
	    ends->count * sizeof(ends->list[0]));
}

void
upstream_ends_add(
    upstream_ends_t *ends, upstream_origin_t cause, int64_t now_ms)
{
	if (ends->count == UPSTREAM_ENDS_MAX)
		remove_oldest(ends);
	ends->list[ends->count++] =
	    (upstream_end_t){ .cause = cause, .ended_ms = now_ms };
}

/* @return the latest end, or NULL */
static const upstream_end_t *
get_latest(upstream_ends_t *ends, int64_t now_ms)
{
	while (ends->count > 0 &&
	    now_ms - ends->list[0].ended_ms > UPSTREAM_END_KEPT_MS)
		remove_oldest(ends);
	return (ends->count > 0 ? &ends->list[ends->count - 1] : NULL);
}

upstream_origin_t
upstream_origin_decide(upstream_ends_t *ends, const upstream_opening_t *opening,
    int64_t now_ms, int *replaces_idle)
{
	const upstream_end_t *end = get_latest(ends, now_ms);

	*replaces_idle = 0;
	if (opening->is_first)
		return (UPSTREAM_ORIGIN_FIRST);
	if (opening->is_barred)
		return (UPSTREAM_ORIGIN_ID);
	if (end != NULL && now_ms - end->ended_ms <= opening->max_ms) {
		ends->count--;
		return (end->cause);
	}
	if (opening->idle != UPSTREAM_ORIGIN_REUSED) {
		*replaces_idle = 1;
		return (opening->idle);
	}
	if (end != NULL) {
		ends->count--;
		return (UPSTREAM_ORIGIN_IDLE);
	}
	return (
	    opening->busy > 0 ? UPSTREAM_ORIGIN_BUSY : UPSTREAM_ORIGIN_IDLE);
}
