/**
 * @file
 * Entries of the replicated store of one shard, in the order of their
 * sequence numbers. The shard (group_defs.h) owns its stores; an entry owns its
 * data. Does no I/O and reads no clock.
 */
#ifndef TM_GROUP_GROUP_STORE_H
#define TM_GROUP_GROUP_STORE_H

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "group/group.h"
#include "proto/group.pb-c.h"

/** One entry; len 0 marks a removed one, kept until all holders have it. */
typedef struct group_entry {
	char key[GROUP_STORE_KEY_MAX_BYTES + 1];
	uint64_t version;
	uint64_t seq;
	uint8_t *data;
	size_t len;
	UT_hash_handle hh;
} group_entry_t;

/** Entries in ascending order of seq. */
typedef struct group_store {
	group_entry_t *entries;
	size_t bytes;
} group_store_t;

void group_store_clear(group_store_t *store);

/** Replaces all entries of into by those of from, which is empty after. */
void group_store_move(group_store_t *into, group_store_t *from);

const group_entry_t *group_store_get(
    const group_store_t *store, const char *key);

/**
 * Writes an entry and moves it to the end; seq must be above all others.
 *
 * @return 0, TM_EINVAL, TM_ETOOBIG, TM_EFULL, TM_ENOMEM
 */
int group_store_put(group_store_t *store, const char *key, uint64_t version,
    uint64_t seq, const void *data, size_t len);

/** @return first entry with a sequence number above seq, or NULL */
const group_entry_t *group_store_after(
    const group_store_t *store, uint64_t seq);

/** Drops removed entries with sequence numbers up to seq. */
void group_store_purge(group_store_t *store, uint64_t seq);

/** Entries for one message; they point into the store. */
typedef struct group_store_part {
	Tm__GroupStoreEntry **entries;
	Tm__GroupStoreEntry *buffer;
	size_t count;
	uint64_t last_seq;
} group_store_part_t;

/**
 * Collects entries after seq, up to max_bytes but at least one.
 *
 * @return 0, TM_ENOMEM; free with group_store_part_free()
 */
int group_store_part_create(const group_store_t *store, uint64_t seq,
    size_t max_bytes, group_store_part_t *part);
void group_store_part_free(group_store_part_t *part);

/** Writes the entries of a message. @return 0 or the first error */
int group_store_apply(
    group_store_t *store, Tm__GroupStoreEntry **entries, size_t count);

#endif
