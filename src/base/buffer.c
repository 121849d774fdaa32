#include "base/buffer.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define BUFFER_MIN_BYTES 512

uint8_t *
buffer_reserve(buffer_t *buffer, size_t len)
{
	size_t size = buffer->size != 0 ? buffer->size : BUFFER_MIN_BYTES;
	uint8_t *bytes;

	while (size < buffer->len + len)
		size *= 2;
	if (size != buffer->size) {
		bytes = realloc(buffer->bytes, size);
		if (bytes == NULL)
			return (NULL);
		buffer->bytes = bytes;
		buffer->size = size;
	}
	return (buffer->bytes + buffer->len);
}

int
buffer_append(buffer_t *buffer, const void *bytes, size_t len)
{
	uint8_t *room = buffer_reserve(buffer, len);

	if (room == NULL)
		return (TM_ENOMEM);
	if (len == 0)
		return (TM_OK);
	memcpy(room, bytes, len);
	buffer->len += len;
	return (TM_OK);
}

void
buffer_consume(buffer_t *buffer, size_t len)
{
	buffer->len -= len;
	if (buffer->len > 0)
		memmove(buffer->bytes, buffer->bytes + len, buffer->len);
}

void
buffer_trim(buffer_t *buffer)
{
	uint8_t *bytes;

	if (buffer->len == 0 || buffer->len == buffer->size)
		return;
	bytes = realloc(buffer->bytes, buffer->len);
	if (bytes == NULL)
		return;
	buffer->bytes = bytes;
	buffer->size = buffer->len;
}

void
buffer_release(buffer_t *buffer)
{
	free(buffer->bytes);
	*buffer = (buffer_t){ 0 };
}
