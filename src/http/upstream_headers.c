#include "http/upstream_headers.h"

#include <stdlib.h>
#include <string.h>

#define TEXT_MAX_BYTES 16384

static const char *
copy_text(upstream_headers_t *headers, const char *text, size_t len)
{
	char *copy = headers->text + headers->text_len;

	memcpy(copy, text, len);
	headers->text_len += len;
	return (copy);
}

void
upstream_headers_add(void *ctx, const char *name, size_t name_len,
    const char *value, size_t value_len)
{
	upstream_headers_t *headers = ctx;
	upstream_header_t *header;

	if (headers->text == NULL)
		headers->text = malloc(TEXT_MAX_BYTES);
	if (headers->text == NULL || headers->count == UPSTREAM_HEADERS_MAX ||
	    headers->text_len + name_len + value_len > TEXT_MAX_BYTES) {
		headers->is_overflowed = 1;
		return;
	}
	header = &headers->list[headers->count++];
	header->name = copy_text(headers, name, name_len);
	header->name_len = name_len;
	header->value = copy_text(headers, value, value_len);
	header->value_len = value_len;
}

void
upstream_headers_reset(upstream_headers_t *headers)
{
	headers->count = 0;
	headers->text_len = 0;
	headers->is_overflowed = 0;
}

void
upstream_headers_release(upstream_headers_t *headers)
{
	free(headers->text);
	headers->text = NULL;
}
