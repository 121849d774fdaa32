/**
 * @file
 * Incremental reader of one HTTP/1.1 response, over the parser that libh2o
 * contains.
 */
#ifndef TM_HTTP_RESPONSE_H
#define TM_HTTP_RESPONSE_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

/** Longest status line with headers in bytes. */
#define RESPONSE_HEAD_MAX 16384
/** State of the parser's chunk decoder; the layout is that of libh2o. */
typedef struct response_chunks {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char hex_count;
	char state;
} response_chunks_t;

/** Called for each header; the texts end at their lengths. */
typedef void (*response_header_cb)(void *ctx, const char *name, size_t name_len,
    const char *value, size_t value_len);

typedef struct response {
	int is_to_head; /**< 1: the request was HEAD, so there is no body */
	response_header_cb cb;
	void *ctx;
	int has_head;
	int status;
	int is_chunked;
	int until_close; /**< the body ends with the connection */
	int keeps_alive;
	int informational; /**< responses 1xx so far */
	uint64_t left; /**< bytes of the body that are missing */
	response_chunks_t chunks;
	char *head; /**< incomplete head */
	size_t head_len;
	uint64_t length; /**< value of Content-Length; 0 without one */
	buffer_t body; /**< bytes kept */
	size_t body_keep_bytes;
	uint64_t body_total;
	uint64_t frame_bytes; /**< of a chunked body: what is no data */
} response_t;

/**
 * Starts a new response; keeps the memory of the last one.
 *
 * @param body_keep_bytes  bytes at the start of the body that are kept
 */
void response_reset(response_t *response, int is_to_head,
    size_t body_keep_bytes, response_header_cb cb, void *ctx);

/** Frees the memory. */
void response_release(response_t *response);

/**
 * Takes bytes.
 *
 * @param bytes  may be changed
 * @param rest   number of bytes after the end of the response
 * @return       1 if the response is complete, 0 if more is needed, or
 *               TM_EFORMAT, TM_ETOOBIG or TM_ENOMEM
 */
int response_take(response_t *response, char *bytes, size_t len, size_t *rest);

/** @return 1 if the response is complete when the connection ends now */
int response_is_complete_at_close(const response_t *response);

#endif
