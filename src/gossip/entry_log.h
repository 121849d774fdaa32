/**
 * @file
 * Recent entries of the configuration and the snapshot for VMs that are
 * further behind. Used by control VMs and by entry VMs alike.
 */
#ifndef TM_GOSSIP_ENTRY_LOG_H
#define TM_GOSSIP_ENTRY_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "config/config_state.h"

/** Entries kept, and their bytes; whichever is exceeded first. */
#define ENTRY_LOG_MAX	    512
#define ENTRY_LOG_MAX_BYTES (1024 * 1024)
/** Bytes of entries or of a snapshot in one message, below the frame limit. */
#define ENTRY_LOG_CHUNK_BYTES (128 * 1024)
/** An encoded snapshot is freed when it was not asked for during this time. */
#define ENTRY_LOG_SNAPSHOT_KEEP_MS 10000

typedef struct entry_log entry_log_t;

/**
 * Creates a log.
 *
 * @param state  source of snapshots; outlives the log
 * @return       NULL if memory is exhausted
 */
entry_log_t *entry_log_create(const config_state_t *state);

/** Frees a log; NULL is allowed. */
void entry_log_destroy(entry_log_t *log);

/**
 * Adds an entry that was just applied.
 *
 * @param prev  index of the entry before it
 * @return      0 or TM_ENOMEM, after which the log is empty
 */
int entry_log_add(entry_log_t *log, uint64_t index, uint64_t prev,
    const uint8_t *bytes, size_t len, int64_t now_ms);

/** Forgets all entries, after a snapshot was installed. */
void entry_log_clear(entry_log_t *log);

/**
 * Sends what follows an index: entries, or the first part of a snapshot if
 * the entries are not kept any more.
 *
 * @param tick  sent along with the entries; may be NULL
 */
void entry_log_send_after(entry_log_t *log, uint64_t index, node_id_t to,
    const Feed__Tick *tick, node_send_cb send, void *ctx, int64_t now_ms);

/**
 * Sends a part of a snapshot. If that snapshot is gone, the first part of a
 * new one is sent.
 */
void entry_log_send_chunk(entry_log_t *log, uint64_t snapshot_index,
    uint64_t offset, node_id_t to, node_send_cb send, void *ctx,
    int64_t now_ms);

/**
 * Lists the newest entries added within a time, oldest first.
 *
 * @param out        filled in; its bytes stay valid until the next change
 * @param max        room in out
 * @param max_bytes  limit of the bytes together
 * @return           number of entries
 */
size_t entry_log_get_recent(const entry_log_t *log, int64_t since_ms,
    Feed__LogEntry *out, size_t max, size_t max_bytes);

/** Frees a snapshot that is not used any more. */
void entry_log_tick(entry_log_t *log, int64_t now_ms);

#endif
