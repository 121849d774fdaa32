/**
 * @file
 * Whether the target of a request reads on. The owner of the connection calls it
 * periodically and owns the state.
 */
#ifndef TM_HTTP_UPSTREAM_UNREAD_H
#define TM_HTTP_UPSTREAM_UNREAD_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/** Zero for a request of which nothing was written. */
typedef struct upstream_unread {
	size_t bytes; /**< not acknowledged when last looked at */
	int64_t read_ms; /**< when these became fewer; 0: not yet */
} upstream_unread_t;

/**
 * Looks how much of what was written the other side has acknowledged. What is in
 * its receive buffer counts as read.
 *
 * @return last time at which it was more than before; 0: not yet
 */
int64_t upstream_unread_update(
    upstream_unread_t *unread, const uv_tcp_t *tcp, int64_t now_ms);

#endif
