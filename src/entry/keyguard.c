#include "entry/keyguard.h"

#include <string.h>
#include <strings.h>

#include "base/hex.h"

#define PREFIX_BYTES (sizeof(KEYGUARD_PREFIX) - 1)
#define BEARER	     "Bearer "
#define BEARER_BYTES (sizeof(BEARER) - 1)
/* The longest URL that passes the limit on headers. */
#define DECODED_MAX_BYTES (16 * 1024)
/* A target or a proxy before it may decode %xx more than once. */
#define DECODE_ROUNDS 3

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

/* Letter case does not matter: a secret is hexadecimal, so it can be read in
 * any case. */
static int
text_contains_any_case(keyguard_text_t text, keyguard_text_t part)
{
	char first;
	size_t i;

	if (part.len == 0 || text.len < part.len)
		return (0);
	/* This bit is the only one in which the cases of a letter differ. */
	first = (char)(part.base[0] | 0x20);
	for (i = 0; i <= text.len - part.len; i++) {
		if ((char)(text.base[i] | 0x20) == first &&
		    strncasecmp(text.base + i, part.base, part.len) == 0)
			return (1);
	}
	return (0);
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

/* Decodes %xx once; out may be the text itself. */
static keyguard_text_t
text_decode(keyguard_text_t text, char *out)
{
	return ((keyguard_text_t){
	    out, hex_decode_escapes(out, text.base, text.len) });
}

/* Finds a part in any letter case, also if it is percent-encoded. */
static int
text_reveals(keyguard_text_t text, keyguard_text_t part)
{
	char buffer[DECODED_MAX_BYTES];
	int round;

	if (text_contains_any_case(text, part))
		return (1);
	if (text.len == 0 || memchr(text.base, '%', text.len) == NULL)
		return (0);
	if (text.len > sizeof(buffer))
		return (1);
	for (round = 0; round < DECODE_ROUNDS; round++) {
		text = text_decode(text, buffer);
		if (text_contains_any_case(text, part))
			return (1);
	}
	return (0);
}

static int
path_has_key(keyguard_text_t path, const keyguard_key_t *key)
{
	static const keyguard_text_t prefix = { KEYGUARD_PREFIX, PREFIX_BYTES };

	return (text_reveals(path, prefix) ||
	    (key != NULL && text_reveals(path, key->secret)));
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
	return (!keyguard_reveals(header->value, key) &&
	    !keyguard_reveals(header->name, key));
}

int
keyguard_reveals(keyguard_text_t text, const keyguard_key_t *key)
{
	return (key != NULL && text_reveals(text, key->secret));
}

/* Takes the next element of a comma-separated list. */
static int
list_next(keyguard_text_t *list, keyguard_text_t *element)
{
	const char *comma;

	if (list->len == 0)
		return (0);
	comma = memchr(list->base, ',', list->len);
	element->base = list->base;
	element->len = comma != NULL ? (size_t)(comma - list->base) : list->len;
	list->base += element->len;
	list->len -= element->len;
	if (comma != NULL) {
		list->base++;
		list->len--;
	}
	*element = text_trim(*element);
	return (1);
}

int
keyguard_is_nominated(keyguard_text_t connection, keyguard_text_t name)
{
	keyguard_text_t element;

	while (list_next(&connection, &element)) {
		if (element.len == name.len &&
		    strncasecmp(element.base, name.base, name.len) == 0)
			return (1);
	}
	return (0);
}
