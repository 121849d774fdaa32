/**
 * @file
 * Snapshot files: written under a temporary name, synced and renamed.
 */
#ifndef TM_STORE_SNAPSHOT_H
#define TM_STORE_SNAPSHOT_H

#include "raft/raft.h"
#include "store/store_io.h"

/** Writes a snapshot and removes the older ones. @return 0 or TM_EIO */
int snapshot_save(
    store_faults_t *faults, int dir_fd, const raft_snapshot_t *snapshot);

/**
 * Reads the newest snapshot and removes temporary files.
 *
 * @param snapshot  index 0 if there is none; the caller frees data
 * @return          0; TM_ECORRUPT; TM_EIO; TM_ENOMEM
 */
int snapshot_load(int dir_fd, raft_snapshot_t *snapshot);

#endif
