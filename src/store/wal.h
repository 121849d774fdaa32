/**
 * @file
 * Write-ahead log: a sequence of segment files that hold frames of entries. A
 * frame carries an xxHash64 checksum and is written and synced before the call
 * returns. A wal_t owns the segment files; nothing else may write them.
 */
#ifndef TM_STORE_WAL_H
#define TM_STORE_WAL_H

#include "raft/raft_log.h"
#include "store/store_io.h"

/** Size from which on a new segment is started. */
#define WAL_SEGMENT_BYTES (8 * 1024 * 1024)

typedef struct wal wal_t;

/** Options of wal_open(). */
typedef struct wal_options {
	int dir_fd; /**< data folder; stays open as long as the log */
	uint64_t disk_id;
	uint64_t snapshot_index; /**< entries up to it may be missing */
	uint64_t snapshot_term;
	size_t segment_bytes; /**< 0 means WAL_SEGMENT_BYTES */
	store_faults_t *faults; /**< NULL outside tests */
} wal_options_t;

/**
 * Opens the log and reads it. An incomplete frame at the very end is truncated:
 * it was never reported as written.
 *
 * @param log  receives the entries after the snapshot; starts empty
 * @return 0; TM_ECORRUPT if a frame before the end fails its checksum, a
 *         segment is missing or entries do not follow each other; TM_EIO;
 *         TM_ENOMEM
 */
int wal_open(wal_t **out, const wal_options_t *options, raft_log_t *log);

/** Closes the log. @param wal  may be NULL */
void wal_close(wal_t *wal);

/**
 * Appends entries; they are on disk when the call returns. After a failure all
 * further writes fail, because the kernel may have dropped the dirty pages of a
 * failed fsync.
 *
 * @return 0 or TM_EIO
 */
int wal_append(wal_t *wal, const raft_entry_t *entries, size_t count);

/** Removes the entries with index >= from. @return 0 or TM_EIO */
int wal_truncate(wal_t *wal, uint64_t from);

/** Removes segments whose entries all have index <= to. @return 0 or TM_EIO */
int wal_remove_segments(wal_t *wal, uint64_t to);

/** @return number of segment files */
int wal_get_segment_count(const wal_t *wal);

#endif
