/* Responses of targets, in one piece and in small ones. */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "http/response.h"

#define KEEP_BYTES 1000

static void
on_header(void *ctx, const char *name, size_t name_len, const char *value,
    size_t value_len)
{
	volatile uint8_t *sum = ctx;
	size_t i;

	for (i = 0; i < name_len; i++)
		*sum = (uint8_t)(*sum + name[i]);
	for (i = 0; i < value_len; i++)
		*sum = (uint8_t)(*sum + value[i]);
}

typedef struct outcome {
	int rc;
	int status;
	size_t rest;
	uint64_t total;
	uint8_t sum;
} outcome_t;

static outcome_t
read_pieces(const uint8_t *data, size_t size, size_t piece, int is_head)
{
	response_t response = { .head = NULL };
	outcome_t out = { .rc = 0 };
	uint8_t sum = 0;
	size_t at;
	size_t len;
	char *copy;

	response_reset(&response, is_head, KEEP_BYTES, on_header, &sum);
	for (at = 0; at < size && out.rc == 0; at += len) {
		len = size - at < piece ? size - at : piece;
		copy = malloc(len);
		memcpy(copy, data + at, len);
		out.rc = response_take(&response, copy, len, &out.rest);
		if (out.rest > len || response.body.len > KEEP_BYTES)
			abort();
		free(copy);
		if (out.rc == 1)
			out.rest += size - at - len;
	}
	out.status = response.status;
	out.total = response.body_total;
	out.sum = sum;
	response_release(&response);
	return (out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	outcome_t whole;
	outcome_t parts;

	if (size < 2)
		return (0);
	whole = read_pieces(data + 2, size - 2, size, data[0] & 1);
	parts = read_pieces(data + 2, size - 2, 1 + data[1] % 64, data[0] & 1);
	/* A response must be the same however it is split. */
	if (whole.rc != parts.rc)
		abort();
	if (whole.rc == 1 &&
	    (whole.rest != parts.rest || whole.total != parts.total ||
		whole.status != parts.status || whole.sum != parts.sum))
		abort();
	return (0);
}
