/**
 * @file
 * Growable byte buffer that is filled at the end and consumed from the front.
 */
#ifndef TM_BASE_BUFFER_H
#define TM_BASE_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/** An all-zero value is an empty buffer. */
typedef struct buffer {
	uint8_t *bytes;
	size_t len;
	size_t size;
} buffer_t;

/**
 * Makes room at the end.
 *
 * @return start of the room, or NULL if memory is exhausted
 */
uint8_t *buffer_reserve(buffer_t *buffer, size_t len);

/** Appends bytes. @return 0 or TM_ENOMEM */
int buffer_append(buffer_t *buffer, const void *bytes, size_t len);

/** Removes bytes from the front; len is at most buffer->len. */
void buffer_consume(buffer_t *buffer, size_t len);

/** Gives back the room at the end. */
void buffer_trim(buffer_t *buffer);

/** Frees the bytes and empties the buffer. */
void buffer_release(buffer_t *buffer);

#endif
