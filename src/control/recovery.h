/**
 * @file
 * Recovery of the configuration after a majority of the control VMs was lost
 * for good: collects the newest configuration from the entry VMs and starts a
 * new epoch from the disk of this VM.
 */
#ifndef TM_CONTROL_RECOVERY_H
#define TM_CONTROL_RECOVERY_H

#include "control/control.h"
#include "raft/raft.h"

/** Characters of a confirmation, with the end. */
#define RECOVERY_CONFIRM_BYTES 17

typedef struct recovery recovery_t;

/** What a recovery would do now. */
typedef struct recovery_plan {
	raft_recovery_t raft;
	/** 0; why it is refused, see raft.h; TM_EUNAVAIL: wait and ask again */
	int err;
	uint64_t version; /**< configuration that this VM has applied */
	uint64_t newest; /**< highest version of an entry VM heard lately */
	uint64_t collected; /**< version that was read from the entry VMs */
	uint64_t accepted; /**< highest version known to have been accepted */
	uint64_t base; /**< version that the new epoch continues */
	uint64_t may_be_lost; /**< entries known to exist above base */
	int keeps_log; /**< entries of this disk after commit are kept */
	uint32_t entry_vms; /**< in the directory */
	uint32_t entry_vms_heard;
	char confirm[RECOVERY_CONFIRM_BYTES];
} recovery_plan_t;

/** Creates the collector. @return NULL if memory is exhausted */
recovery_t *recovery_create(control_t *control);

/** Frees it; NULL is allowed. */
void recovery_destroy(recovery_t *recovery);

/** Reads newer configuration from the entry VMs while no leader is heard. */
void recovery_tick(recovery_t *recovery);

/** Takes entries or a part of a snapshot from an entry VM. */
void recovery_handle(recovery_t *recovery, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len);

/** Describes a recovery that starts now. */
void recovery_plan(recovery_t *recovery, recovery_plan_t *plan);

/**
 * Starts the new epoch.
 *
 * @param confirm  value of a plan made before
 * @return         0; TM_EVERSION if what the plan says has changed since then;
 *                 the error of the plan; TM_EIO; TM_ENOMEM
 */
int recovery_run(recovery_t *recovery, const char *confirm);

#endif
