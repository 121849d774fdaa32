#include "group/group_store.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

static void
group_store_drop(group_store_t *store, group_entry_t *entry)
{
	HASH_DEL(store->entries, entry);
	store->bytes -= entry->len;
	free(entry->data);
	free(entry);
}

void
group_store_clear(group_store_t *store)
{
	group_entry_t *entry;
	group_entry_t *next;

	HASH_ITER(hh, store->entries, entry, next)
		group_store_drop(store, entry);
}

void
group_store_move(group_store_t *into, group_store_t *from)
{
	group_store_clear(into);
	*into = *from;
	memset(from, 0, sizeof(*from));
}

static group_entry_t *
group_store_find(const group_store_t *store, const char *key)
{
	group_entry_t *entry = NULL;

	HASH_FIND_STR(store->entries, key, entry);
	return (entry);
}

const group_entry_t *
group_store_get(const group_store_t *store, const char *key)
{
	return (group_store_find(store, key));
}

static int
group_store_check(const group_store_t *store, const group_entry_t *old,
    const char *key, size_t len)
{
	size_t key_len = strlen(key);
	size_t old_len = old != NULL ? old->len : 0;

	if (key_len == 0 || key_len > GROUP_STORE_KEY_MAX_BYTES)
		return (TM_EINVAL);
	if (len > GROUP_STORE_VALUE_MAX_BYTES)
		return (TM_ETOOBIG);
	if (store->bytes - old_len + len > GROUP_STORE_MAX_BYTES)
		return (TM_EFULL);
	if (old == NULL &&
	    HASH_COUNT(store->entries) >= GROUP_STORE_ENTRIES_MAX)
		return (TM_EFULL);
	return (TM_OK);
}

int
group_store_put(group_store_t *store, const char *key, uint64_t version,
    uint64_t seq, const void *data, size_t len)
{
	group_entry_t *old = group_store_find(store, key);
	group_entry_t *entry;
	int err = group_store_check(store, old, key, len);

	if (err != TM_OK)
		return (err);
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return (TM_ENOMEM);
	if (len > 0) {
		entry->data = malloc(len);
		if (entry->data == NULL) {
			free(entry);
			return (TM_ENOMEM);
		}
		memcpy(entry->data, data, len);
	}
	memcpy(entry->key, key, strlen(key));
	entry->version = version;
	entry->seq = seq;
	entry->len = len;
	if (old != NULL)
		group_store_drop(store, old);
	/* uthash iterates in the order of insertion, so this one is last. */
	HASH_ADD_STR(store->entries, key, entry);
	store->bytes += len;
	return (TM_OK);
}

static group_entry_t *
group_store_last(const group_store_t *store)
{
	if (store->entries == NULL)
		return (NULL);
	return (
	    ELMT_FROM_HH(store->entries->hh.tbl, store->entries->hh.tbl->tail));
}

const group_entry_t *
group_store_after(const group_store_t *store, uint64_t seq)
{
	const group_entry_t *entry = group_store_last(store);
	const group_entry_t *found = NULL;

	while (entry != NULL && entry->seq > seq) {
		found = entry;
		entry = entry->hh.prev;
	}
	return (found);
}

void
group_store_purge(group_store_t *store, uint64_t seq)
{
	group_entry_t *entry;
	group_entry_t *next;

	HASH_ITER(hh, store->entries, entry, next) {
		if (entry->seq > seq)
			return;
		if (entry->len == 0)
			group_store_drop(store, entry);
	}
}

static void
group_store_fill(Tm__GroupStoreEntry *msg, const group_entry_t *entry)
{
	tm__group_store_entry__init(msg);
	msg->key = (char *)entry->key;
	msg->version = entry->version;
	msg->seq = entry->seq;
	msg->data.data = entry->data;
	msg->data.len = entry->len;
}

int
group_store_part_create(const group_store_t *store, uint64_t seq,
    size_t max_bytes, group_store_part_t *part)
{
	const group_entry_t *first = group_store_after(store, seq);
	const group_entry_t *entry;
	size_t bytes = 0;
	size_t i;

	memset(part, 0, sizeof(*part));
	part->last_seq = seq;
	for (entry = first; entry != NULL; entry = entry->hh.next) {
		bytes += entry->len + sizeof(entry->key);
		if (part->count > 0 && bytes > max_bytes)
			break;
		part->count++;
		part->last_seq = entry->seq;
	}
	if (part->count == 0)
		return (TM_OK);
	part->entries = calloc(part->count, sizeof(void *));
	part->buffer = calloc(part->count, sizeof(*part->buffer));
	if (part->entries == NULL || part->buffer == NULL) {
		group_store_part_free(part);
		return (TM_ENOMEM);
	}
	entry = first;
	for (i = 0; entry != NULL && i < part->count; i++) {
		group_store_fill(&part->buffer[i], entry);
		part->entries[i] = &part->buffer[i];
		entry = entry->hh.next;
	}
	return (TM_OK);
}

void
group_store_part_free(group_store_part_t *part)
{
	free(part->entries);
	free(part->buffer);
	memset(part, 0, sizeof(*part));
}

int
group_store_apply(
    group_store_t *store, Tm__GroupStoreEntry **entries, size_t count)
{
	int err = TM_OK;
	size_t i;

	for (i = 0; i < count && err == TM_OK; i++)
		err = group_store_put(store, entries[i]->key,
		    entries[i]->version, entries[i]->seq, entries[i]->data.data,
		    entries[i]->data.len);
	return (err);
}
