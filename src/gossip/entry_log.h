/**
 * @file
 * Recent entries of the configuration, and an encoded snapshot for VMs that are
 * further behind. Used by control VMs and by entry VMs. Owns copies of the
 * entries and the snapshot; reads the configuration and never changes it. Does
 * no I/O and reads no clock.
 */
#ifndef TM_GOSSIP_ENTRY_LOG_H
#define TM_GOSSIP_ENTRY_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "config/config_state.h"

/** Limits of the entries kept: their number, and their bytes together. */
#define ENTRY_LOG_MAX	    512
#define ENTRY_LOG_MAX_BYTES (1024 * 1024)
/**
 * Data of entries or of a snapshot in a message; below the limit of a frame.
 */
#define ENTRY_LOG_CHUNK_BYTES (128 * 1024)
/** An encoded snapshot is freed if it was not requested for this time. */
#define ENTRY_LOG_SNAPSHOT_KEEP_MS 10000

typedef struct entry_log entry_log_t;

/**
 * Creates a log.
 *
 * @param state  source of snapshots; outlives the log
 * @return       NULL if memory is exhausted
 */
entry_log_t *entry_log_create(const config_state_t *state);

/** Frees a log. @param log  may be NULL */
void entry_log_destroy(entry_log_t *log);

/**
 * Adds an entry that was just applied.
 *
 * @param prev  index of the entry before it
 * @return      0 or TM_ENOMEM, after which the log is empty
 */
int entry_log_add(entry_log_t *log, uint64_t index, uint64_t prev,
    const uint8_t *bytes, size_t len, int64_t now_ms);

/** Removes all entries, after a snapshot was installed. */
void entry_log_clear(entry_log_t *log);

/**
 * Sends the entries after an index, or the first chunk of a snapshot if they
 * are no longer kept. Sends nothing if there are none.
 *
 * @param tick  sent along with the entries; may be NULL
 */
void entry_log_send_after(entry_log_t *log, uint64_t index, node_id_t to,
    const Feed__Tick *tick, node_send_cb send, void *ctx, int64_t now_ms);

/**
 * Sends a chunk of a snapshot, or the first chunk of another one if that
 * snapshot is no longer kept.
 */
void entry_log_send_chunk(entry_log_t *log, uint64_t snapshot_index,
    uint64_t offset, node_id_t to, node_send_cb send, void *ctx,
    int64_t now_ms);

/**
 * Lists the newest entries that were added since a time, oldest first.
 *
 * @param out        receives the entries; their data is valid until the log
 *                   changes
 * @param max        number of elements of out
 * @param max_bytes  limit of the data of all of them
 * @return           number of entries
 */
size_t entry_log_get_recent(const entry_log_t *log, int64_t since_ms,
    Feed__LogEntry *out, size_t max, size_t max_bytes);

/** Frees the encoded snapshot after ENTRY_LOG_SNAPSHOT_KEEP_MS without use. */
void entry_log_tick(entry_log_t *log, int64_t now_ms);

#endif
