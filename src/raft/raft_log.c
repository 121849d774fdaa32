#include "raft/raft_log.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define RAFT_LOG_MIN_CAPACITY 64

static void
raft_log_free_range(raft_log_t *log, size_t from, size_t to)
{
	size_t i;

	for (i = from; i < to; i++) {
		log->bytes -= log->entries[i].len;
		free((void *)log->entries[i].data);
	}
}

void
raft_log_reset(raft_log_t *log, uint64_t base_index, uint64_t base_term)
{
	raft_log_free_range(log, 0, log->count);
	log->count = 0;
	log->base_index = base_index;
	log->base_term = base_term;
}

void
raft_log_free(raft_log_t *log)
{
	raft_log_reset(log, 0, 0);
	free(log->entries);
	log->entries = NULL;
	log->capacity = 0;
}

uint64_t
raft_log_get_last(const raft_log_t *log)
{
	return (log->base_index + log->count);
}

const raft_entry_t *
raft_log_get(const raft_log_t *log, uint64_t index)
{
	if (index <= log->base_index || index > raft_log_get_last(log))
		return (NULL);
	return (&log->entries[index - log->base_index - 1]);
}

uint64_t
raft_log_get_term(const raft_log_t *log, uint64_t index)
{
	const raft_entry_t *entry = raft_log_get(log, index);

	if (entry != NULL)
		return (entry->term);
	return (index == log->base_index ? log->base_term : 0);
}

static int
raft_log_reserve(raft_log_t *log)
{
	size_t capacity = log->capacity * 2;
	raft_entry_t *entries;

	if (log->count < log->capacity)
		return (TM_OK);
	if (capacity < RAFT_LOG_MIN_CAPACITY)
		capacity = RAFT_LOG_MIN_CAPACITY;
	entries = realloc(log->entries, capacity * sizeof(*entries));
	if (entries == NULL)
		return (TM_ENOMEM);
	log->entries = entries;
	log->capacity = capacity;
	return (TM_OK);
}

int
raft_log_append(raft_log_t *log, uint64_t term, raft_kind_t kind,
    const uint8_t *data, size_t len)
{
	uint8_t *copy;
	int err = raft_log_reserve(log);

	if (err != TM_OK)
		return (err);
	copy = malloc(len + 1);
	if (copy == NULL)
		return (TM_ENOMEM);
	if (len > 0)
		memcpy(copy, data, len);
	log->entries[log->count] = (raft_entry_t){
		.index = raft_log_get_last(log) + 1,
		.term = term,
		.kind = kind,
		.data = copy,
		.len = len,
	};
	log->count++;
	log->bytes += len;
	return (TM_OK);
}

void
raft_log_truncate(raft_log_t *log, uint64_t from)
{
	size_t keep;

	if (from <= log->base_index || from > raft_log_get_last(log))
		return;
	keep = from - log->base_index - 1;
	raft_log_free_range(log, keep, log->count);
	log->count = keep;
}

void
raft_log_compact(raft_log_t *log, uint64_t to)
{
	uint64_t term = raft_log_get_term(log, to);
	size_t drop;

	if (to <= log->base_index || to > raft_log_get_last(log))
		return;
	drop = to - log->base_index;
	raft_log_free_range(log, 0, drop);
	log->count -= drop;
	memmove(log->entries, log->entries + drop,
	    log->count * sizeof(*log->entries));
	log->base_index = to;
	log->base_term = term;
}
