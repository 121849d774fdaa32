/**
 * @file
 * Replicated state of the hubs: the newest configuration document, the
 * registered targets, the ejected ones, the blocked requests, the evacuated data
 * centres and the addresses of the hubs. Entries are applied in the order of the
 * log, so that all hubs hold the same state.
 * The caller owns it. Does no I/O and reads no clock.
 */
#ifndef TM_HUB_HUB_STATE_H
#define TM_HUB_HUB_STATE_H

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "fleet/dialect.h"
#include "hub/hub_evacuation.h"
#include "proto/fleet.pb-c.h"

/** Most targets, including deregistered ones that have not expired. */
#define HUB_TARGETS_MAX 20000

/** One incarnation of a target as its last committed entry describes it. */
typedef struct hub_target {
	uint64_t key; /**< fleet_name_hash() of the id */
	dialect_announcement_t as;
	/** When the leader saw that it is deregistered; 0: not yet. */
	int64_t gone_ms;
	/** Highest sequence of an announcement that this leader heard, and its
	 * incarnation; not replicated. */
	uint64_t heard_sequence;
	uint64_t heard_born_ms;
	/** Deregistered, as another target got its address. */
	int is_displaced;
	/** Address and port while it is registered, else 0: key of the index. */
	uint64_t address;
	UT_hash_handle hh;
	UT_hash_handle by_address;
} hub_target_t;

/** The newest accepted document. */
typedef struct hub_document {
	uint64_t version;
	uint8_t *zipped;
	size_t zipped_len;
	size_t plain_len;
	uint64_t *services; /**< hashes of their names, ascending */
	size_t service_count; /**< 0: not known */
} hub_document_t;

typedef struct hub_state {
	hub_document_t document; /**< version 0: none */
	int has_document;
	hub_target_t *targets;
	hub_target_t *addresses; /**< index of the registered targets */
	char hubs[FLEET_HUBS_MAX][FLEET_IP_BYTES];
	int hub_count;
	uint64_t *ejected; /**< keys of ejected targets */
	size_t ejected_count;
	uint64_t *blocked; /**< fingerprints of blocked requests */
	size_t blocked_count;
	hub_evacuations_t evacuations;
} hub_state_t;

/** What an entry changed. */
typedef enum hub_change {
	HUB_CHANGE_NONE,
	HUB_CHANGE_DOCUMENT,
	HUB_CHANGE_TARGET,
	HUB_CHANGE_HUBS,
	HUB_CHANGE_EVACUATIONS
} hub_change_t;

/** @return an empty state; NULL if memory is exhausted */
hub_state_t *hub_state_create(void);

/** Frees a state; NULL is allowed. */
void hub_state_destroy(hub_state_t *state);

/** What an entry did to targets, for HUB_CHANGE_TARGET. */
typedef struct hub_changed_targets {
	hub_target_t *target;
	hub_target_t *replaced; /**< deregistered, as target has its address */
} hub_changed_targets_t;

/**
 * Applies an entry. A document that is not newer and an announcement of an
 * older incarnation change nothing; nor does one whose service the document does
 * not name, where a target of a service that it names has the id or the address.
 *
 * @return what changed; HUB_CHANGE_NONE also for a malformed entry
 */
hub_change_t hub_state_apply(hub_state_t *state, const uint8_t *bytes,
    size_t len, hub_changed_targets_t *changed);

/** @return bytes from malloc() that hub_state_restore() takes; or NULL */
uint8_t *hub_state_encode(const hub_state_t *state, size_t *len);

/** Replaces the state. @return 0, TM_EFORMAT, TM_ENOMEM */
int hub_state_restore(hub_state_t *state, const uint8_t *bytes, size_t len);

/** @return a target by key, also a deregistered one; or NULL */
hub_target_t *hub_state_find_target(const hub_state_t *state, uint64_t key);

/** @return the registered target at an address, or NULL */
hub_target_t *hub_state_find_address(
    const hub_state_t *state, uint32_t ip, uint16_t port);

/**
 * Compares an announcement with a target that has its id or its address by their
 * services: the document names those of its targets, while an announcement of
 * another service may come from a writer that is no target of this fleet.
 *
 * @return 1 if the document names only the service of the announcement, -1 if it
 *         names only that of the target, else 0
 */
int hub_state_compare_services(const hub_state_t *state,
    const dialect_announcement_t *as, const hub_target_t *target);

/**
 * Tells whether a target gets its address back: it lost the address to one whose
 * service the document does not name, as that one came before the document.
 *
 * @param known  deregistered target with the id of the announcement
 */
int hub_state_may_return(const hub_state_t *state, const hub_target_t *known,
    const dialect_announcement_t *as);

/** @return highest sequence that is known of the incarnation; 0 for one that does
 * not say when it started, as a later one may start from 0 again */
uint64_t hub_target_get_sequence(const hub_target_t *target);

/** @return 1 if the name is that of a known hub */
int hub_state_has_hub(const hub_state_t *state, const char *name);

/**
 * Encodes an entry to be proposed. An expired target is removed from the state;
 * is_lost removes the address of a hub.
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
uint8_t *hub_entry_encode_blocked(
    const uint64_t *fingerprints, size_t count, size_t *len);

/**
 * Compresses a document.
 *
 * @return 0 or TM_ENOMEM; hub_document_release() frees it
 */
int hub_document_compress(
    hub_document_t *document, uint64_t version, const char *plain, size_t len);

/** Adds the services of a document to it. @return 0 or TM_ENOMEM */
int hub_document_set_services(
    hub_document_t *document, const fleet_config_t *config);

/** @return the plain text from malloc(), or NULL */
char *hub_document_decompress(const hub_document_t *document);

void hub_document_release(hub_document_t *document);

/** Initializes a message with a document, without its services; it refers to the
 * document's bytes. */
void hub_document_to_message(
    Tm__Fleet__Document *msg, const hub_document_t *document);

/** Initializes a message with a target; it refers to the target's texts. */
void hub_target_to_message(
    Tm__Fleet__Target *msg, const dialect_announcement_t *as);

/** Reads a message with a target. @return 1 if it is a valid one, else 0 */
int hub_target_from_message(
    const Tm__Fleet__Target *msg, dialect_announcement_t *as);

#endif
