#include "route/request_fingerprint.h"

#include <string.h>

#include <xxhash.h>

uint64_t
request_fingerprint_get(
    const request_fingerprint_parts_t *parts, uint64_t body_hash)
{
	const char *const texts[] = { parts->workspace, parts->scope,
		parts->method, parts->path };
	uint64_t hash = body_hash;
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		hash = XXH64(texts[i], strlen(texts[i]) + 1, hash);
	return (hash);
}

uint64_t
request_fingerprint_hash_body(const void *body, size_t len)
{
	size_t hashed = len < REQUEST_FINGERPRINT_BODY_MAX_BYTES
	    ? len
	    : REQUEST_FINGERPRINT_BODY_MAX_BYTES;

	return (len > 0 ? XXH64(body, hashed, len) : 0);
}
