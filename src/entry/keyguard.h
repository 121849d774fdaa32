/**
 * @file
 * Workspace keys in requests: finds the key that a caller presented and
 * decides which headers may reach a target. No I/O.
 */
#ifndef TM_ENTRY_KEYGUARD_H
#define TM_ENTRY_KEYGUARD_H

#include <stddef.h>

/** Start of each key; then "<id>_<secret>" follows. */
#define KEYGUARD_PREFIX	       "tmk_"
#define KEYGUARD_KEY_MAX_BYTES 191

/** A text that need not end with NUL. */
typedef struct keyguard_text {
	const char *base;
	size_t len;
} keyguard_text_t;

typedef struct keyguard_header {
	keyguard_text_t name; /**< in lower case */
	keyguard_text_t value;
} keyguard_header_t;

/** What a request presents. */
typedef enum keyguard_found {
	KEYGUARD_NONE, /**< no key */
	KEYGUARD_ONE,
	KEYGUARD_CONFLICT, /**< two different keys */
	KEYGUARD_MALFORMED, /**< a credential that is no key */
	KEYGUARD_EXPOSED /**< the key is in the URL or in the body */
} keyguard_found_t;

/** A presented key; the texts point into the request. */
typedef struct keyguard_key {
	keyguard_text_t text;
	keyguard_text_t id;
	keyguard_text_t secret;
} keyguard_key_t;

/**
 * Finds the key in Authorization and X-Api-Key, in any number of copies, and
 * checks that the URL and the body do not contain a key.
 *
 * @param path  path with query as sent
 * @param key   filled in for KEYGUARD_ONE
 */
keyguard_found_t keyguard_find(const keyguard_header_t *headers, size_t count,
    keyguard_text_t path, keyguard_text_t body, keyguard_key_t *key);

/**
 * Decides whether a header goes to the target: hop-by-hop headers,
 * credentials, X-Tm-* and any header that reveals the key's secret do not.
 *
 * @return 1 or 0
 */
int keyguard_may_forward(
    const keyguard_header_t *header, const keyguard_key_t *key);

/**
 * Finds the key's secret in a text, in any letter case, also percent-encoded.
 *
 * @param key  NULL: none is known
 * @return     1 or 0
 */
int keyguard_reveals(keyguard_text_t text, const keyguard_key_t *key);

/**
 * Finds a header that a Connection header nominates, so that it ends at this
 * hop.
 *
 * @param connection  value of Connection
 * @return            1 or 0
 */
int keyguard_is_nominated(keyguard_text_t connection, keyguard_text_t name);

/** @return 1 for a header that ends at each HTTP hop */
int keyguard_is_hop_by_hop(keyguard_text_t name);

#endif
