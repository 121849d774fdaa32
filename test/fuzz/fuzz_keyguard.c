/* Headers of a caller, one per line, then the path. */
#include <stdlib.h>
#include <string.h>

#include "entry/keyguard.h"
#include "fuzz.h"

#define HEADERS_MAX 32

static int
read_line(const uint8_t **data, size_t *size, keyguard_text_t *line)
{
	const uint8_t *end;

	if (*size == 0)
		return (0);
	end = memchr(*data, '\n', *size);
	line->base = (const char *)*data;
	line->len = end != NULL ? (size_t)(end - *data) : *size;
	*size -= line->len + (end != NULL);
	*data += line->len + (end != NULL);
	return (1);
}

static void
split_line(keyguard_text_t line, keyguard_header_t *header)
{
	const char *colon = memchr(line.base, ':', line.len);
	size_t len = colon != NULL ? (size_t)(colon - line.base) : line.len;

	header->name = (keyguard_text_t){ line.base, len };
	header->value = (keyguard_text_t){ line.base + len, line.len - len };
	if (colon != NULL) {
		header->value.base++;
		header->value.len--;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	keyguard_header_t headers[HEADERS_MAX];
	keyguard_text_t line;
	keyguard_text_t path = { "/", 1 };
	keyguard_text_t body = { NULL, 0 };
	keyguard_key_t key = { .text = { NULL, 0 } };
	size_t count = 0;
	size_t i;

	if (read_line(&data, &size, &path))
		read_line(&data, &size, &body);
	while (count < HEADERS_MAX && read_line(&data, &size, &line))
		split_line(line, &headers[count++]);
	if (keyguard_find(headers, count, path, body, &key) != KEYGUARD_ONE)
		return (0);
	if (memmem(path.base, path.len, key.secret.base, key.secret.len) !=
	    NULL)
		abort();
	for (i = 0; i < count; i++) {
		if (keyguard_may_forward(&headers[i], &key) &&
		    memmem(headers[i].value.base, headers[i].value.len,
			key.secret.base, key.secret.len) != NULL)
			abort();
		keyguard_is_nominated(headers[i].value, headers[i].name);
	}
	return (0);
}
