/**
 * @file
 * Token buckets of the workspaces whose shards this VM leads: grants tokens to
 * VMs, queues what cannot be granted yet and recalls prefetched tokens. Owns
 * the buckets; their floors are in the replicated store of the group. Sends
 * through a callback and reads no clock. The rules are in docs/rates.md.
 */
#ifndef TM_RATE_RATE_LEADER_H
#define TM_RATE_RATE_LEADER_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"
#include "group/group.h"
#include "rate/rate_defs.h"

typedef struct rate_leader rate_leader_t;

typedef struct rate_leader_options {
	node_id_t self;
	uint64_t incarnation;
	group_t *group;
	void *ctx;
	node_send_cb send; /**< may be called with the VM itself */
	int test_skip_floors; /**< tests only: a new leader starts full */
	int test_skip_recall; /**< tests only: no recall of prefetch */
	int test_skip_queue; /**< tests only: no queue for tokens */
	int test_skip_outstanding; /**< tests only: refill ignores tokens */
} rate_leader_options_t;

/** @return 0, TM_EINVAL, TM_ENOMEM */
int rate_leader_create(
    rate_leader_t **out, const rate_leader_options_t *options);
void rate_leader_destroy(rate_leader_t *leader);

/**
 * Sets or changes a workspace. Called on every VM for each configured one.
 *
 * @param rate_per_s  above 0, fractions allowed
 * @param burst       at least 1
 * @return 0, TM_EINVAL, TM_ENOMEM
 */
int rate_leader_set_workspace(rate_leader_t *leader, const char *workspace,
    double rate_per_s, double burst, int64_t now_ms);

void rate_leader_remove_workspace(rate_leader_t *leader, const char *workspace);

/** @return 1 if a workspace is still configured */
typedef int (*rate_is_configured_cb)(void *ctx, const char *workspace);

/** Removes the workspaces for which keep returns 0. */
void rate_leader_remove_unconfigured(
    rate_leader_t *leader, rate_is_configured_cb keep, void *ctx);

/** Forward group_callbacks_t.leads of the group to this function. */
void rate_leader_set_leading(
    rate_leader_t *leader, uint32_t shard, int leads, int64_t now_ms);

/** Forward group_callbacks_t.committed; ignores keys of other modules. */
void rate_leader_set_committed(rate_leader_t *leader, uint32_t shard,
    const char *key, uint64_t version, int64_t now_ms);

/**
 * Stops granting and writes the exact state of all buckets to the store.
 * Call before group_hand_over().
 */
void rate_leader_stop(rate_leader_t *leader, int64_t now_ms);

/** Bucket of a workspace whose shard this VM leads; amounts in tokens. */
typedef struct rate_leader_info {
	double level;
	double outstanding; /**< at VMs, not reported as consumed */
	double floor; /**< level that a new leader starts from */
	uint32_t waiting_vms; /**< VMs that wait for tokens */
} rate_leader_info_t;

/** @return 0, TM_ENOENT if this VM has no bucket of the workspace */
int rate_leader_get_info(const rate_leader_t *leader, const char *workspace,
    rate_leader_info_t *out);

/** Drives timers; call every 10 ms. */
void rate_leader_tick(rate_leader_t *leader, int64_t now_ms);

/** Handles a message of types 80 to 84. @return 0, TM_EFORMAT */
int rate_leader_handle(rate_leader_t *leader, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

#endif
