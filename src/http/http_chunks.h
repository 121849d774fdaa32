/**
 * @file
 * Decoder of chunked bodies that accepts no size line which another program
 * could read differently: hexadecimal digits, then an end of line or an
 * extension after a semicolon.
 *
 * It takes the place of the decoder in libh2o, which takes anything after the
 * first digits for an extension: "0x60" ends a body there and begins a chunk of
 * 96 bytes elsewhere, so that these bytes become a request of their own.
 */
#ifndef TM_HTTP_HTTP_CHUNKS_H
#define TM_HTTP_HTTP_CHUNKS_H

#include <stddef.h>
#include <sys/types.h>

#include "http/response.h"

/** Longest size of a chunk in digits. */
#define HTTP_CHUNK_DIGITS_MAX 15

/**
 * Decodes in place; both libh2o and http/response.h call it under this name.
 *
 * @param bufsz  length of the input; receives that of the decoded data
 * @return       bytes after the end of the body; -2 if more is needed; -1 for
 *               a malformed body
 */
ssize_t phr_decode_chunked(
    response_chunks_t *decoder, char *buf, size_t *bufsz);

#endif
