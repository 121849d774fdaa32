#include "entry/verify.h"

#include <string.h>
#include <strings.h>

#include <openssl/evp.h>
#include <openssl/sha.h>

#define DIGEST_PREFIX	    "sha-256=:"
#define DIGEST_PREFIX_BYTES (sizeof(DIGEST_PREFIX) - 1)
/* Base64 of 32 bytes, and the terminator that EVP_EncodeBlock() writes. */
#define DIGEST_BASE64_BYTES 44

static const upstream_header_t *
find_header(const upstream_response_t *response, const char *name)
{
	size_t len = strlen(name);
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		const upstream_header_t *header = &response->headers[i];

		if (header->name_len == len &&
		    strncasecmp(header->name, name, len) == 0)
			return (header);
	}
	return (NULL);
}

static int
id_matches(const upstream_header_t *header, const char *request_id)
{
	return (header->value_len == strlen(request_id) &&
	    memcmp(header->value, request_id, header->value_len) == 0);
}

/* Other algorithms in the same header are not checked. */
static int
digest_matches(
    const upstream_header_t *header, const upstream_response_t *response)
{
	unsigned char digest[SHA256_DIGEST_LENGTH];
	unsigned char text[DIGEST_BASE64_BYTES + 1];
	const char *end = header->value + header->value_len;
	const char *at;

	at = memmem(header->value, header->value_len, DIGEST_PREFIX,
	    DIGEST_PREFIX_BYTES);
	if (at == NULL)
		return (1);
	at += DIGEST_PREFIX_BYTES;
	if (end - at < DIGEST_BASE64_BYTES + 1 ||
	    at[DIGEST_BASE64_BYTES] != ':')
		return (0);
	SHA256(response->body, response->body_len, digest);
	EVP_EncodeBlock(text, digest, sizeof(digest));
	return (memcmp(at, text, DIGEST_BASE64_BYTES) == 0);
}

verify_result_t
verify_response(
    const upstream_response_t *response, const char *request_id, int is_head)
{
	const upstream_header_t *header;

	header = find_header(response, "x-request-id");
	if (header != NULL && !id_matches(header, request_id))
		return (VERIFY_OTHER_REQUEST);
	header = find_header(response, "content-digest");
	if (header != NULL && !is_head && !digest_matches(header, response))
		return (VERIFY_DIGEST);
	return (VERIFY_OK);
}
