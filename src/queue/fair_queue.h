/**
 * @file
 * Waiting requests of one service on one VM: a bounded queue per workspace,
 * released one at a time in max-min fair order, dropped at their deadlines.
 *
 * Deficit round robin over the workspaces with waiting requests; where the
 * leader sent shares, they are the weights and the limit of running requests.
 * Items are embedded in the caller's requests and stay the caller's; the queue
 * owns the records of workspaces, which come from a pool. It sends nothing,
 * executes no request and reads no clock.
 *
 * Push, release, finish and remove are O(1) but for the deadline heap, which
 * is O(log n) in the number of waiting requests.
 */
#ifndef TM_QUEUE_FAIR_QUEUE_H
#define TM_QUEUE_FAIR_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/** Most waiting requests of one workspace. */
#define FAIR_QUEUE_WORKSPACE_MAX 256
/** Most waiting requests over all workspaces. */
#define FAIR_QUEUE_TOTAL_MAX 16384

struct fair_workspace;

/** A waiting or running request; embedded by the caller, zeroed at first. */
typedef struct fair_item {
	struct fair_item *prev;
	struct fair_item *next;
	struct fair_workspace *workspace; /**< not NULL: queued or running */
	int64_t deadline_ms;
	int64_t queued_ms;
	uint32_t heap_index; /**< 1-based index in the heap; 0: not waiting */
	void *data; /**< for the caller */
} fair_item_t;

/** Demand of one workspace. */
typedef struct fair_demand {
	uint64_t workspace;
	uint32_t running;
	uint32_t queued;
} fair_demand_t;

typedef struct fair_queue fair_queue_t;

/**
 * @param limit  most running requests of this VM on the service; see
 *               fair_queue_set_limit()
 * @return       NULL if memory is exhausted
 */
fair_queue_t *fair_queue_create(uint32_t limit);

/** Frees the queue; items stay with the caller. */
void fair_queue_destroy(fair_queue_t *queue);

/** Sets the most requests that run at the same time. */
void fair_queue_set_limit(fair_queue_t *queue, uint32_t limit);

/**
 * Sets the time that a request needs after its release. A waiting request
 * whose remaining time is shorter counts as expired, because executing it would
 * only waste a slot. A workspace far above its share would otherwise execute
 * only requests that end too late; callers set half of the profile's deadline.
 * At most half of a request's own time is reserved.
 */
void fair_queue_set_reserve(fair_queue_t *queue, int64_t reserve_ms);

/**
 * Sets the share of a workspace.
 *
 * @param slots     most running requests; -1 for no limit
 * @param until_ms  end of validity
 */
void fair_queue_set_share(
    fair_queue_t *queue, uint64_t workspace, int32_t slots, int64_t until_ms);

/**
 * Adds a request at the end of its workspace's queue.
 *
 * @return 0; TM_EFULL if the workspace's queue or the whole queue is full;
 *         TM_ETIMEDOUT if the deadline has passed; TM_ENOMEM
 */
int fair_queue_push(fair_queue_t *queue, fair_item_t *item, uint64_t workspace,
    int64_t deadline_ms, int64_t now_ms);

/**
 * Releases the next request, which then counts as running until
 * fair_queue_finish().
 *
 * @return item, or NULL if none waits or all are at their share or limit
 */
fair_item_t *fair_queue_release(fair_queue_t *queue, int64_t now_ms);

/**
 * Takes the next request whose deadline, less the reserve, has passed. To be
 * called before each series of releases.
 *
 * @return item or NULL
 */
fair_item_t *fair_queue_take_expired(fair_queue_t *queue, int64_t now_ms);

/** Ends a running request. */
void fair_queue_finish(fair_queue_t *queue, fair_item_t *item);

/**
 * Counts a request as running again after fair_queue_finish(), whatever the
 * limit and the shares are.
 *
 * @return 0 or TM_ENOMEM
 */
int fair_queue_resume(
    fair_queue_t *queue, fair_item_t *item, uint64_t workspace_id);

/** Puts a released request back at the front of its queue. */
void fair_queue_requeue(fair_queue_t *queue, fair_item_t *item);

/** Removes a waiting request, for example when its caller disconnects. */
void fair_queue_remove(fair_queue_t *queue, fair_item_t *item);

/**
 * Demand of the workspaces that run or wait.
 *
 * @param out  at most max entries
 * @return     number of entries written
 */
uint32_t fair_queue_get_demand(
    const fair_queue_t *queue, fair_demand_t *out, uint32_t max);

/** @return waiting requests over all workspaces */
uint32_t fair_queue_get_waiting(const fair_queue_t *queue);

/** @return running requests over all workspaces */
uint32_t fair_queue_get_running(const fair_queue_t *queue);

/** @return earliest deadline of a waiting request, or -1 */
int64_t fair_queue_get_next_deadline(const fair_queue_t *queue);

#endif
