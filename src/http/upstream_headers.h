/**
 * @file
 * Copies of the headers of one response, bounded in number and size.
 */
#ifndef TM_HTTP_UPSTREAM_HEADERS_H
#define TM_HTTP_UPSTREAM_HEADERS_H

#include <stddef.h>

/** Headers kept of a response. */
#define UPSTREAM_HEADERS_MAX 64

/** A header of a response. */
typedef struct upstream_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
} upstream_header_t;

/** All zeros: no headers. */
typedef struct upstream_headers {
	upstream_header_t list[UPSTREAM_HEADERS_MAX];
	size_t count;
	int is_overflowed; /**< there were more, or longer ones */
	char *text; /**< names and values */
	size_t text_len;
} upstream_headers_t;

/** response_header_cb; ctx is the upstream_headers_t. */
void upstream_headers_add(void *ctx, const char *name, size_t name_len,
    const char *value, size_t value_len);

/** Removes all headers; keeps the memory. */
void upstream_headers_reset(upstream_headers_t *headers);

/** Frees the memory. */
void upstream_headers_release(upstream_headers_t *headers);

#endif
