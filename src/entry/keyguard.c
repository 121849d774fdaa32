#include "entry/keyguard.h"

#include <string.h>
#include <strings.h>

#define PREFIX_BYTES   (sizeof(KEYGUARD_PREFIX) - 1)
#define BEARER	       "Bearer "
#define BEARER_BYTES   (sizeof(BEARER) - 1)
#define PATH_MAX_BYTES 8192

static int
text_equals(keyguard_text_t text, const char *other)
{
	return (text.len == strlen(other) &&
	    strncasecmp(text.base, other, text.len) == 0);
}

static int
text_starts_with(keyguard_text_t text, const char *prefix)
{
	size_t len = strlen(prefix);

	return (text.len >= len && strncasecmp(text.base, prefix, len) == 0);
}

static int
text_contains(keyguard_text_t text, keyguard_text_t part)
{
	if (part.len == 0 || text.len < part.len)
		return (0);
	return (memmem(text.base, text.len, part.base, part.len) != NULL);
}

/* Splits "tmk_<id>_<secret>"; the secret has no underscore. */
static int
key_parse(keyguard_text_t text, keyguard_key_t *key)
{
	const char *last;

	if (text.len <= PREFIX_BYTES || text.len > KEYGUARD_KEY_MAX_BYTES ||
	    memcmp(text.base, KEYGUARD_PREFIX, PREFIX_BYTES) != 0)
		return (0);
	last = memrchr(text.base, '_', text.len);
	key->text = text;
	key->id.base = text.base + PREFIX_BYTES;
	if (last < key->id.base)
		return (0);
	key->id.len = (size_t)(last - key->id.base);
	key->secret.base = last + 1;
	key->secret.len = (size_t)(text.base + text.len - key->secret.base);
	return (key->id.len > 0 && key->secret.len > 0);
}

static keyguard_text_t
text_trim(keyguard_text_t text)
{
	while (text.len > 0 && (*text.base == ' ' || *text.base == '\t')) {
		text.base++;
		text.len--;
	}
	while (text.len > 0 &&
	    (text.base[text.len - 1] == ' ' || text.base[text.len - 1] == '\t'))
		text.len--;
	return (text);
}

/* Value of a credential header; its text is NULL for any other header. */
static keyguard_text_t
credential_get(const keyguard_header_t *header)
{
	keyguard_text_t none = { NULL, 0 };
	keyguard_text_t value = header->value;

	if (text_equals(header->name, "x-api-key"))
		return (text_trim(value));
	if (!text_equals(header->name, "authorization"))
		return (none);
	if (text_starts_with(value, BEARER)) {
		value.base += BEARER_BYTES;
		value.len -= BEARER_BYTES;
	}
	return (text_trim(value));
}

static int
hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return (c - '0');
	if (c >= 'a' && c <= 'f')
		return (c - 'a' + 10);
	if (c >= 'A' && c <= 'F')
		return (c - 'A' + 10);
	return (-1);
}

/* Decodes %xx once, so that an encoded key is found too. */
static keyguard_text_t
path_decode(keyguard_text_t path, char *out, size_t size)
{
	keyguard_text_t decoded = { out, 0 };
	size_t i;

	for (i = 0; i < path.len && decoded.len < size; i++) {
		if (path.base[i] == '%' && i + 2 < path.len &&
		    hex_value(path.base[i + 1]) >= 0 &&
		    hex_value(path.base[i + 2]) >= 0) {
			out[decoded.len++] =
			    (char)(hex_value(path.base[i + 1]) * 16 +
				hex_value(path.base[i + 2]));
			i += 2;
		} else {
			out[decoded.len++] = path.base[i];
		}
	}
	return (decoded);
}

static int
path_has_key(keyguard_text_t path, const keyguard_key_t *key)
{
	static const keyguard_text_t prefix = { KEYGUARD_PREFIX, PREFIX_BYTES };
	char buffer[PATH_MAX_BYTES];
	keyguard_text_t decoded;

	if (path.len > sizeof(buffer))
		return (1);
	decoded = path_decode(path, buffer, sizeof(buffer));
	if (text_contains(decoded, prefix))
		return (1);
	return (key != NULL && text_contains(decoded, key->secret));
}

static keyguard_found_t
headers_find_key(
    const keyguard_header_t *headers, size_t count, keyguard_key_t *key)
{
	keyguard_found_t found = KEYGUARD_NONE;
	keyguard_key_t next;
	keyguard_text_t value;
	size_t i;

	for (i = 0; i < count; i++) {
		value = credential_get(&headers[i]);
		if (value.base == NULL)
			continue;
		if (!key_parse(value, &next))
			return (KEYGUARD_MALFORMED);
		if (found == KEYGUARD_ONE &&
		    (key->text.len != value.len ||
			memcmp(key->text.base, value.base, value.len) != 0))
			return (KEYGUARD_CONFLICT);
		*key = next;
		found = KEYGUARD_ONE;
	}
	return (found);
}

keyguard_found_t
keyguard_find(const keyguard_header_t *headers, size_t count,
    keyguard_text_t path, keyguard_text_t body, keyguard_key_t *key)
{
	keyguard_found_t found = headers_find_key(headers, count, key);
	int has_key = found == KEYGUARD_ONE;

	if (path_has_key(path, has_key ? key : NULL))
		return (KEYGUARD_EXPOSED);
	if (has_key && text_contains(body, key->secret))
		return (KEYGUARD_EXPOSED);
	return (found);
}

int
keyguard_is_hop_by_hop(keyguard_text_t name)
{
	static const char *const names[] = { "connection", "keep-alive",
		"proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "expect" };
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (text_equals(name, names[i]))
			return (1);
	}
	return (0);
}

int
keyguard_may_forward(const keyguard_header_t *header, const keyguard_key_t *key)
{
	if (keyguard_is_hop_by_hop(header->name) ||
	    text_equals(header->name, "host") ||
	    text_equals(header->name, "authorization") ||
	    text_equals(header->name, "x-api-key") ||
	    text_equals(header->name, "x-request-id") ||
	    text_starts_with(header->name, "x-tm-"))
		return (0);
	if (key == NULL)
		return (1);
	return (!text_contains(header->value, key->secret) &&
	    !text_contains(header->name, key->secret));
}
