/**
 * @file
 * The response of h2o to bytes that are no HTTP request. h2o 2.2.5 writes it
 * past all filters, so the header that every refusal carries is added to it on
 * the way to the socket.
 */
#ifndef TM_HTTP_HTTP_UNPARSED_H
#define TM_HTTP_HTTP_UNPARSED_H

#include <stddef.h>

#include <uv.h>

#include <h2o.h>

#define HTTP_UNPARSED_BYTES_MAX 256

/** Configuration of one listener. All contexts of h2o in a program use it. */
typedef struct http_config {
	h2o_globalconf_t h2o; /**< first, so that both have the same address */
	size_t unparsed_bytes; /**< 0: the response stays as it is */
	char unparsed[HTTP_UNPARSED_BYTES_MAX]; /**< sent in its place */
} http_config_t;

/**
 * Prepares the response with a header.
 *
 * @return 0, or TM_ETOOBIG if it needs more than HTTP_UNPARSED_BYTES_MAX bytes
 */
int http_unparsed_set_header(
    http_config_t *config, const char *name, const char *value);

#endif
