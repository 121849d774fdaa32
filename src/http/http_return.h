/**
 * @file
 * When refused callers return: one after the other, as those before them leave
 * room in a bounded memory. Does no I/O, reads no clock.
 */
#ifndef TM_HTTP_HTTP_RETURN_H
#define TM_HTTP_HTTP_RETURN_H

#include <stddef.h>
#include <stdint.h>

#include "base/latency.h"

/** All zeros: nobody was refused. */
typedef struct http_return {
	latency_t hold; /**< for which a request is held */
	int64_t next_ms; /**< when the next refused caller may return */
} http_return_t;

/** A request was held for so long. @param hold_ms  in ms */
void http_return_record_hold(http_return_t *returns, int64_t hold_ms);

/**
 * Takes the next place in the order of return.
 *
 * @param now_ms       monotonic time
 * @param bytes        size of the refused request, over 0
 * @param limit_bytes  of all requests together
 * @return             time in ms until the caller should return
 */
int64_t http_return_take_ms(
    http_return_t *returns, int64_t now_ms, size_t bytes, size_t limit_bytes);

#endif
