/**
 * @file
 * Data folder of a control VM or hub: disk id, term and vote, log and snapshot.
 * Implements raft_storage_t with synced files; a lock keeps a second process
 * off the folder. It never creates a new disk id in a folder that holds data.
 */
#ifndef TM_STORE_STORE_H
#define TM_STORE_STORE_H

#include "raft/raft.h"
#include "store/store_io.h"

typedef struct store store_t;

/** Options of store_open(). */
typedef struct store_options {
	const char *path; /**< created if it is missing; its parent exists */
	size_t segment_bytes; /**< 0 means WAL_SEGMENT_BYTES */
	store_faults_t *faults; /**< NULL outside tests */
	uint64_t initial_disk_id; /**< for an empty folder; 0: a random one */
} store_options_t;

/**
 * Opens a data folder. An empty folder gets a disk id.
 *
 * @return 0; TM_EINUSE if another process uses the folder; TM_ECORRUPT if a
 *         file fails its checksum or the disk id of a used folder is missing:
 *         the remedy is to empty the folder, the node then comes back as a
 *         learner; TM_EIO if the disk fails; TM_EINVAL if the path cannot be
 *         used; TM_ENOMEM
 */
int store_open(store_t **out, const store_options_t *options);

/**
 * Opens a data folder as store_open() does, and blocks while its disk fails. A
 * process that ended at each attempt would be given up by supervisors that limit
 * the number of starts.
 *
 * @return as store_open(), but never TM_EIO
 */
int store_open_wait(store_t **out, const store_options_t *options);

/** Closes a folder. @param store  may be NULL */
void store_close(store_t *store);

/** @return disk id, never RAFT_DISK_NONE */
uint64_t store_get_disk_id(const store_t *store);

/**
 * Content of the folder when it was opened; valid until store_release_restore()
 * or store_close().
 */
const raft_restore_t *store_get_restore(const store_t *store);

/** Frees that content; to be called once raft_create() has copied it. */
void store_release_restore(store_t *store);

/** @return callbacks for raft_options_t, valid while the folder is open */
raft_storage_t store_get_storage(store_t *store);

/** @return number of log segments */
int store_get_segment_count(const store_t *store);

#endif
