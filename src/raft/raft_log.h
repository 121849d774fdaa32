/**
 * @file
 * In-memory log: the entries after a base index; a snapshot covers the entries
 * up to it. The raft module owns one for its log, the store fills one while it
 * reads the data folder. It does no I/O.
 */
#ifndef TM_RAFT_RAFT_LOG_H
#define TM_RAFT_RAFT_LOG_H

#include "raft/raft.h"

/** Entries with index in (base_index, base_index + count]. */
typedef struct raft_log {
	raft_entry_t *entries; /**< owns their data */
	size_t count;
	size_t capacity;
	uint64_t base_index;
	uint64_t base_term;
	size_t bytes; /**< length of the data of all entries */
} raft_log_t;

/** Removes all entries and sets a new base. */
void raft_log_reset(raft_log_t *log, uint64_t base_index, uint64_t base_term);

/** Frees the memory of the log. */
void raft_log_free(raft_log_t *log);

/** @return index of the last entry, or of the base */
uint64_t raft_log_get_last(const raft_log_t *log);

/** @return entry, or NULL if it is not in memory */
const raft_entry_t *raft_log_get(const raft_log_t *log, uint64_t index);

/** @return term of an entry or of the base; 0 if it is neither */
uint64_t raft_log_get_term(const raft_log_t *log, uint64_t index);

/** Appends a copy after the last entry. @return 0 or TM_ENOMEM */
int raft_log_append(raft_log_t *log, uint64_t term, raft_kind_t kind,
    const uint8_t *data, size_t len);

/** Removes the entries with index >= from. */
void raft_log_truncate(raft_log_t *log, uint64_t from);

/**
 * Removes the entries with index <= to, which becomes the base. Does nothing if
 * there is no entry with that index.
 */
void raft_log_compact(raft_log_t *log, uint64_t to);

#endif
