/**
 * @file
 * Snapshot files of the data folder. A file is written under a temporary name,
 * synced and renamed, so that a crash leaves the old or the new one. Keeps no
 * state.
 */
#ifndef TM_STORE_SNAPSHOT_H
#define TM_STORE_SNAPSHOT_H

#include "raft/raft.h"
#include "store/store_io.h"

/** Writes a snapshot; removes older ones and all temporary files of the folder.
 * @return 0 or TM_EIO */
int snapshot_save(
    store_faults_t *faults, int dir_fd, const raft_snapshot_t *snapshot);

/**
 * Reads the newest snapshot and removes all temporary files of the folder.
 *
 * @param snapshot  index 0 if there is none; the caller frees data
 * @return          0; TM_ECORRUPT; TM_EIO; TM_ENOMEM
 */
int snapshot_load(
    store_faults_t *faults, int dir_fd, raft_snapshot_t *snapshot);

#endif
