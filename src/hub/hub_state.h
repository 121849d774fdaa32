/**
 * @file
 * Replicated state of the hubs: the newest document, the registered targets
 * and the addresses of the hubs. Entries are applied in the order of the log,
 * so that all hubs hold the same state. No I/O, no clock.
 */
#ifndef TM_HUB_HUB_STATE_H
#define TM_HUB_HUB_STATE_H

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "fleet/dialect.h"
#include "proto/fleet.pb-c.h"

/** Most targets, also gone ones that are remembered. */
#define HUB_TARGETS_MAX 20000

/** One incarnation of a target as its last committed entry describes it. */
typedef struct hub_target {
	uint64_t key; /**< fleet_name_hash() of the id */
	dialect_announcement_t
	    as; /**< state FLEET_TARGET_DEREGISTERED: it left */
	int64_t gone_ms; /**< when this hub noticed that it left; 0: not yet */
	UT_hash_handle hh;
} hub_target_t;

/** The newest accepted document. */
typedef struct hub_document {
	uint64_t version;
	uint8_t *zipped;
	size_t zipped_len;
	size_t plain_len;
} hub_document_t;

typedef struct hub_state {
	hub_document_t document; /**< version 0: none */
	int has_document;
	hub_target_t *targets;
	char hubs[FLEET_HUBS_MAX][FLEET_IP_BYTES];
	int hub_count;
	uint64_t *ejected; /**< keys of targets that are kept out of use */
	size_t ejected_count;
} hub_state_t;

/** What an entry changed. */
typedef enum hub_change {
	HUB_CHANGE_NONE,
	HUB_CHANGE_DOCUMENT,
	HUB_CHANGE_TARGET,
	HUB_CHANGE_HUBS
} hub_change_t;

/** @return an empty state; NULL if memory is exhausted */
hub_state_t *hub_state_create(void);

/** Frees a state; NULL is allowed. */
void hub_state_destroy(hub_state_t *state);

/** What an entry did to targets, for HUB_CHANGE_TARGET. */
typedef struct hub_changed_targets {
	hub_target_t *target;
	hub_target_t *replaced; /**< lost its address to it; NULL: none */
} hub_changed_targets_t;

/**
 * Applies an entry. A document that is not newer and an announcement of an
 * older incarnation change nothing.
 *
 * @return what changed; HUB_CHANGE_NONE also for a malformed entry
 */
hub_change_t hub_state_apply(hub_state_t *state, const uint8_t *bytes,
    size_t len, hub_changed_targets_t *changed);

/** @return bytes from malloc() that hub_state_restore() takes; or NULL */
uint8_t *hub_state_encode(const hub_state_t *state, size_t *len);

/** Replaces the state. @return 0, TM_EFORMAT, TM_ENOMEM */
int hub_state_restore(hub_state_t *state, const uint8_t *bytes, size_t len);

/** @return a target by key, gone ones included; or NULL */
hub_target_t *hub_state_find_target(const hub_state_t *state, uint64_t key);

/** @return the target in use at an address, or NULL */
hub_target_t *hub_state_find_address(
    const hub_state_t *state, uint32_t ip, uint16_t port);

/** @return 1 if the name is that of a known hub */
int hub_state_has_hub(const hub_state_t *state, const char *name);

/**
 * Encodes an entry that a caller proposes.
 *
 * @return bytes from malloc(), or NULL if memory is exhausted
 */
uint8_t *hub_entry_encode_document(const hub_document_t *document, size_t *len);
uint8_t *hub_entry_encode_target(const dialect_announcement_t *as, size_t *len);
uint8_t *hub_entry_encode_expired_target(
    const dialect_announcement_t *as, size_t *len);
uint8_t *hub_entry_encode_hub(const char *name, int is_lost, size_t *len);
uint8_t *hub_entry_encode_ejected(
    const uint64_t *targets, size_t count, size_t *len);

/**
 * Compresses a document.
 *
 * @return 0 or TM_ENOMEM; hub_document_release() frees it
 */
int hub_document_compress(
    hub_document_t *document, uint64_t version, const char *plain, size_t len);

/** @return the plain text from malloc(), or NULL */
char *hub_document_decompress(const hub_document_t *document);

void hub_document_release(hub_document_t *document);

/** Fills a message with a document; its bytes are borrowed. */
void hub_document_to_message(
    Tm__Fleet__Document *msg, const hub_document_t *document);

/** Fills a message with a target; texts are borrowed. */
void hub_target_to_message(
    Tm__Fleet__Target *msg, const dialect_announcement_t *as);

#endif
