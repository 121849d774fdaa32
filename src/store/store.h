/**
 * @file
 * Data folder of a control VM: identity of the disk, term and vote, log and
 * snapshot. One process at a time uses a folder.
 */
#ifndef TM_STORE_STORE_H
#define TM_STORE_STORE_H

#include "raft/raft.h"
#include "store/store_io.h"

typedef struct store store_t;

/** How a folder is used. */
typedef struct store_options {
	const char *path; /**< created if it is missing; its parent exists */
	size_t segment_bytes; /**< 0 means WAL_SEGMENT_BYTES */
	store_faults_t *faults; /**< NULL outside tests */
	uint64_t first_disk_id; /**< of an empty folder; 0 draws one */
} store_options_t;

/**
 * Opens a data folder. An empty folder gets a new random disk id.
 *
 * @return 0; TM_EINUSE if another process uses the folder; TM_ECORRUPT if a
 *         file fails its checksum or the disk id of a used folder is missing:
 *         the remedy is to empty the folder, the node then comes back as a
 *         learner; TM_EIO; TM_ENOMEM
 */
int store_open(store_t **out, const store_options_t *options);

/** Closes a folder; store may be NULL. */
void store_close(store_t *store);

/** @return identity of the disk, never RAFT_DISK_NONE */
uint64_t store_get_disk_id(const store_t *store);

/**
 * What was found when the folder was opened; valid until
 * store_release_restore() or store_close().
 */
const raft_restore_t *store_get_restore(const store_t *store);

/** Frees what was found, once raft_create() has copied it. */
void store_release_restore(store_t *store);

/** @return callbacks for raft_options_t, valid while the folder is open */
raft_storage_t store_get_storage(store_t *store);

/** @return number of log segments */
int store_get_segment_count(const store_t *store);

#endif
