#include "http/upstream_idle.h"

/* Connections are reused after less than this part of the wait after which the
 * target closed one: a request must arrive before the target closes, too. */
#define REUSE_DIVISOR 2
/* A target may have been changed or replaced after this time. */
#define CLOSE_KEPT_MS 60000

static int
is_recent(const upstream_idle_t *idle, int64_t now_ms)
{
	return (idle->closed_at_ms != 0 &&
	    now_ms - idle->closed_at_ms < CLOSE_KEPT_MS);
}

void
upstream_idle_record_close(
    upstream_idle_t *idle, int64_t idle_ms, int64_t now_ms)
{
	if (is_recent(idle, now_ms) && idle->shortest_ms < idle_ms)
		return;
	idle->shortest_ms = idle_ms;
	idle->closed_at_ms = now_ms;
}

int64_t
upstream_idle_get_max_ms(
    const upstream_idle_t *idle, int64_t max_ms, int64_t now_ms)
{
	int64_t allowed_ms = idle->shortest_ms / REUSE_DIVISOR - 1;

	if (!is_recent(idle, now_ms))
		return (max_ms);
	return (allowed_ms < max_ms ? allowed_ms : max_ms);
}
