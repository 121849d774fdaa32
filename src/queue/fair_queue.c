#include "queue/fair_queue.h"

#include <stdlib.h>

#include <uthash.h>

#include "base/error.h"

/* Quantum (requests per turn) of a workspace without a share in force. */
#define FAIR_QUANTUM_UNLIMITED	8
#define FAIR_POOL_CHUNK_RECORDS 64

typedef enum fair_state {
	FAIR_IDLE,
	FAIR_ACTIVE, /* in the round robin, waits for its turn */
	FAIR_PARKED /* at its limit, or idle with a share in force */
} fair_state_t;

typedef struct fair_workspace {
	uint64_t id;
	uint32_t running;
	uint32_t queued;
	uint32_t deficit; /* releases left in this turn */
	int32_t share; /* slots; -1: no limit */
	int64_t share_until_ms;
	fair_state_t state;
	fair_item_t *first;
	fair_item_t *last;
	struct fair_workspace *prev; /* in the ring or the parked list */
	struct fair_workspace *next; /* also links the pool */
	UT_hash_handle hh;
} fair_workspace_t;

typedef struct fair_list {
	fair_workspace_t *first;
	fair_workspace_t *last;
} fair_list_t;

struct fair_queue {
	uint32_t limit;
	int64_t reserve_ms;
	uint32_t running;
	uint32_t waiting;
	fair_workspace_t *workspaces; /* hash by id */
	fair_list_t ring;
	fair_list_t parked; /* by the time of parking */
	fair_workspace_t *pool;
	void *chunks; /* linked through their first pointer */
	fair_item_t **heap; /* by deadline; 1-based */
	uint32_t heap_size;
};

fair_queue_t *
fair_queue_create(uint32_t limit)
{
	fair_queue_t *queue = calloc(1, sizeof(*queue));

	if (queue == NULL)
		return (NULL);
	queue->limit = limit;
	return (queue);
}

void
fair_queue_destroy(fair_queue_t *queue)
{
	void *chunk;

	if (queue == NULL)
		return;
	HASH_CLEAR(hh, queue->workspaces);
	while ((chunk = queue->chunks) != NULL) {
		queue->chunks = *(void **)chunk;
		free(chunk);
	}
	free(queue->heap);
	free(queue);
}

void
fair_queue_set_limit(fair_queue_t *queue, uint32_t limit)
{
	queue->limit = limit;
}

void
fair_queue_set_reserve(fair_queue_t *queue, int64_t reserve_ms)
{
	queue->reserve_ms = reserve_ms;
}

static void
list_append(fair_list_t *list, fair_workspace_t *workspace)
{
	workspace->prev = list->last;
	workspace->next = NULL;
	if (list->last != NULL)
		list->last->next = workspace;
	else
		list->first = workspace;
	list->last = workspace;
}

static void
list_remove(fair_list_t *list, fair_workspace_t *workspace)
{
	if (workspace->prev != NULL)
		workspace->prev->next = workspace->next;
	else
		list->first = workspace->next;
	if (workspace->next != NULL)
		workspace->next->prev = workspace->prev;
	else
		list->last = workspace->prev;
}

static void
workspace_set_state(
    fair_queue_t *queue, fair_workspace_t *workspace, fair_state_t state)
{
	if (workspace->state == state)
		return;
	if (workspace->state == FAIR_ACTIVE)
		list_remove(&queue->ring, workspace);
	else if (workspace->state == FAIR_PARKED)
		list_remove(&queue->parked, workspace);
	workspace->state = state;
	if (state == FAIR_ACTIVE)
		list_append(&queue->ring, workspace);
	else if (state == FAIR_PARKED)
		list_append(&queue->parked, workspace);
}

static int
pool_grow(fair_queue_t *queue)
{
	const size_t header = sizeof(void *) * 2;
	fair_workspace_t *records;
	uint8_t *chunk;
	int i;

	chunk = calloc(1, header + FAIR_POOL_CHUNK_RECORDS * sizeof(*records));
	if (chunk == NULL)
		return (TM_ENOMEM);
	*(void **)chunk = queue->chunks;
	queue->chunks = chunk;
	records = (fair_workspace_t *)(void *)(chunk + header);
	for (i = 0; i < FAIR_POOL_CHUNK_RECORDS; i++) {
		records[i].next = queue->pool;
		queue->pool = &records[i];
	}
	return (TM_OK);
}

static fair_workspace_t *
workspace_find(const fair_queue_t *queue, uint64_t id)
{
	fair_workspace_t *workspace;

	HASH_FIND(hh, queue->workspaces, &id, sizeof(id), workspace);
	return (workspace);
}

static fair_workspace_t *
workspace_get(fair_queue_t *queue, uint64_t id)
{
	fair_workspace_t *workspace = workspace_find(queue, id);

	if (workspace != NULL)
		return (workspace);
	if (queue->pool == NULL && pool_grow(queue) != TM_OK)
		return (NULL);
	workspace = queue->pool;
	queue->pool = workspace->next;
	*workspace = (fair_workspace_t){ .id = id, .share = -1 };
	HASH_ADD(hh, queue->workspaces, id, sizeof(workspace->id), workspace);
	return (workspace);
}

static void
workspace_free_idle(fair_queue_t *queue, fair_workspace_t *workspace)
{
	if (workspace->running > 0 || workspace->queued > 0)
		return;
	workspace_set_state(queue, workspace, FAIR_IDLE);
	HASH_DEL(queue->workspaces, workspace);
	workspace->next = queue->pool;
	queue->pool = workspace;
}

static int
workspace_is_at_limit(const fair_workspace_t *workspace, int64_t now_ms)
{
	return (workspace->share >= 0 && now_ms < workspace->share_until_ms &&
	    workspace->running >= (uint32_t)workspace->share);
}

static uint32_t
workspace_get_quantum(const fair_workspace_t *workspace, int64_t now_ms)
{
	if (workspace->share < 0 || now_ms >= workspace->share_until_ms)
		return (FAIR_QUANTUM_UNLIMITED);
	return (workspace->share > 0 ? (uint32_t)workspace->share : 1);
}

/* Sets the state that follows from the waiting requests and the share. */
static void
workspace_update_state(fair_queue_t *queue, fair_workspace_t *workspace)
{
	if (workspace->queued > 0)
		workspace_set_state(queue, workspace, FAIR_ACTIVE);
	else if (workspace->share >= 0)
		workspace_set_state(queue, workspace, FAIR_PARKED);
	else if (workspace->running > 0)
		workspace_set_state(queue, workspace, FAIR_IDLE);
	else
		workspace_free_idle(queue, workspace);
}

void
fair_queue_set_share(
    fair_queue_t *queue, uint64_t workspace_id, int32_t slots, int64_t until_ms)
{
	fair_workspace_t *workspace = workspace_find(queue, workspace_id);

	if (workspace == NULL)
		return;
	workspace->share = slots;
	workspace->share_until_ms = until_ms;
	/* A workspace that is parked again goes to the end of the list. */
	workspace_set_state(queue, workspace, FAIR_IDLE);
	workspace_update_state(queue, workspace);
}

static void
heap_set(fair_queue_t *queue, uint32_t index, fair_item_t *item)
{
	queue->heap[index] = item;
	item->heap_index = index;
}

static void
heap_sift_up(fair_queue_t *queue, uint32_t index)
{
	fair_item_t *item = queue->heap[index];

	while (index > 1 &&
	    queue->heap[index / 2]->deadline_ms > item->deadline_ms) {
		heap_set(queue, index, queue->heap[index / 2]);
		index /= 2;
	}
	heap_set(queue, index, item);
}

static void
heap_sift_down(fair_queue_t *queue, uint32_t index)
{
	fair_item_t *item = queue->heap[index];
	uint32_t child;

	while ((child = index * 2) <= queue->waiting) {
		if (child < queue->waiting &&
		    queue->heap[child + 1]->deadline_ms <
			queue->heap[child]->deadline_ms)
			child++;
		if (queue->heap[child]->deadline_ms >= item->deadline_ms)
			break;
		heap_set(queue, index, queue->heap[child]);
		index = child;
	}
	heap_set(queue, index, item);
}

static int
heap_push(fair_queue_t *queue, fair_item_t *item)
{
	uint32_t size = queue->heap_size > 0 ? queue->heap_size * 2 : 64;
	fair_item_t **grown;

	if (queue->waiting + 1 >= queue->heap_size) {
		grown = realloc(queue->heap, size * sizeof(fair_item_t *));
		if (grown == NULL)
			return (TM_ENOMEM);
		queue->heap = grown;
		queue->heap_size = size;
	}
	heap_set(queue, ++queue->waiting, item);
	heap_sift_up(queue, queue->waiting);
	return (TM_OK);
}

static void
heap_remove(fair_queue_t *queue, fair_item_t *item)
{
	uint32_t index = item->heap_index;
	fair_item_t *last = queue->heap[queue->waiting--];

	item->heap_index = 0;
	if (last == item)
		return;
	heap_set(queue, index, last);
	heap_sift_up(queue, index);
	heap_sift_down(queue, last->heap_index);
}

static void
workspace_add_item(fair_workspace_t *workspace, fair_item_t *item, int front)
{
	item->prev = front ? NULL : workspace->last;
	item->next = front ? workspace->first : NULL;
	if (item->prev != NULL)
		item->prev->next = item;
	else
		workspace->first = item;
	if (item->next != NULL)
		item->next->prev = item;
	else
		workspace->last = item;
	workspace->queued++;
}

static void
workspace_remove_item(fair_workspace_t *workspace, fair_item_t *item)
{
	if (item->prev != NULL)
		item->prev->next = item->next;
	else
		workspace->first = item->next;
	if (item->next != NULL)
		item->next->prev = item->prev;
	else
		workspace->last = item->prev;
	item->prev = NULL;
	item->next = NULL;
	workspace->queued--;
}

int
fair_queue_push(fair_queue_t *queue, fair_item_t *item, uint64_t workspace_id,
    int64_t deadline_ms, int64_t now_ms)
{
	fair_workspace_t *workspace;

	if (now_ms >= deadline_ms)
		return (TM_ETIMEDOUT);
	if (queue->waiting >= FAIR_QUEUE_TOTAL_MAX)
		return (TM_EFULL);
	workspace = workspace_get(queue, workspace_id);
	if (workspace == NULL)
		return (TM_ENOMEM);
	if (workspace->queued >= FAIR_QUEUE_WORKSPACE_MAX)
		return (TM_EFULL);
	item->deadline_ms = deadline_ms;
	item->queued_ms = now_ms;
	if (heap_push(queue, item) != TM_OK) {
		workspace_update_state(queue, workspace);
		return (TM_ENOMEM);
	}
	item->workspace = workspace;
	workspace_add_item(workspace, item, 0);
	if (workspace->state != FAIR_PARKED ||
	    !workspace_is_at_limit(workspace, now_ms))
		workspace_set_state(queue, workspace, FAIR_ACTIVE);
	return (TM_OK);
}

/* Activates workspaces whose shares expired and frees idle records. */
static void
queue_unpark(fair_queue_t *queue, int64_t now_ms)
{
	fair_workspace_t *workspace;

	while ((workspace = queue->parked.first) != NULL &&
	    now_ms >= workspace->share_until_ms) {
		workspace->share = -1;
		workspace_update_state(queue, workspace);
	}
}

static fair_item_t *
queue_release_from(
    fair_queue_t *queue, fair_workspace_t *workspace, int64_t now_ms)
{
	fair_item_t *item = workspace->first;

	if (workspace->deficit == 0)
		workspace->deficit = workspace_get_quantum(workspace, now_ms);
	heap_remove(queue, item);
	workspace_remove_item(workspace, item);
	workspace->running++;
	queue->running++;
	workspace->deficit--;
	if (workspace->queued == 0) {
		workspace->deficit = 0;
		workspace_update_state(queue, workspace);
	} else if (workspace->deficit == 0) {
		workspace_set_state(queue, workspace, FAIR_IDLE);
		workspace_set_state(queue, workspace, FAIR_ACTIVE);
	}
	return (item);
}

fair_item_t *
fair_queue_release(fair_queue_t *queue, int64_t now_ms)
{
	fair_workspace_t *workspace;

	queue_unpark(queue, now_ms);
	if (queue->running >= queue->limit)
		return (NULL);
	while ((workspace = queue->ring.first) != NULL) {
		if (!workspace_is_at_limit(workspace, now_ms))
			return (queue_release_from(queue, workspace, now_ms));
		workspace->deficit = 0;
		workspace_set_state(queue, workspace, FAIR_PARKED);
	}
	return (NULL);
}

void
fair_queue_finish(fair_queue_t *queue, fair_item_t *item)
{
	fair_workspace_t *workspace = item->workspace;

	item->workspace = NULL;
	workspace->running--;
	queue->running--;
	workspace_update_state(queue, workspace);
}

int
fair_queue_resume(fair_queue_t *queue, fair_item_t *item, uint64_t workspace_id)
{
	fair_workspace_t *workspace = workspace_get(queue, workspace_id);

	if (workspace == NULL)
		return (TM_ENOMEM);
	item->workspace = workspace;
	workspace->running++;
	queue->running++;
	workspace_update_state(queue, workspace);
	return (TM_OK);
}

void
fair_queue_requeue(fair_queue_t *queue, fair_item_t *item)
{
	fair_workspace_t *workspace = item->workspace;

	/* The heap has capacity: it contained this item before. */
	heap_push(queue, item);
	workspace_add_item(workspace, item, 1);
	workspace->running--;
	queue->running--;
	workspace_update_state(queue, workspace);
}

void
fair_queue_remove(fair_queue_t *queue, fair_item_t *item)
{
	fair_workspace_t *workspace = item->workspace;

	heap_remove(queue, item);
	workspace_remove_item(workspace, item);
	item->workspace = NULL;
	if (workspace->queued == 0) {
		workspace->deficit = 0;
		workspace_update_state(queue, workspace);
	}
}

/*
 * A caller may set a shorter deadline than the profile. Its request must not
 * expire at once, so at most half of its own time is reserved.
 */
static int64_t
item_get_reserve_ms(const fair_queue_t *queue, const fair_item_t *item)
{
	int64_t half_ms = (item->deadline_ms - item->queued_ms) / 2;

	return (half_ms < queue->reserve_ms ? half_ms : queue->reserve_ms);
}

fair_item_t *
fair_queue_take_expired(fair_queue_t *queue, int64_t now_ms)
{
	fair_item_t *item;

	if (queue->waiting == 0)
		return (NULL);
	item = queue->heap[1];
	if (item->deadline_ms - item_get_reserve_ms(queue, item) > now_ms)
		return (NULL);
	fair_queue_remove(queue, item);
	return (item);
}

uint32_t
fair_queue_get_demand(
    const fair_queue_t *queue, fair_demand_t *out, uint32_t max)
{
	const fair_workspace_t *workspace;
	uint32_t count = 0;

	for (workspace = queue->workspaces; workspace != NULL && count < max;
	     workspace = workspace->hh.next) {
		if (workspace->running == 0 && workspace->queued == 0)
			continue;
		out[count++] = (fair_demand_t){
			.workspace = workspace->id,
			.running = workspace->running,
			.queued = workspace->queued,
		};
	}
	return (count);
}

uint32_t
fair_queue_get_waiting(const fair_queue_t *queue)
{
	return (queue->waiting);
}

uint32_t
fair_queue_get_running(const fair_queue_t *queue)
{
	return (queue->running);
}

int64_t
fair_queue_get_next_deadline(const fair_queue_t *queue)
{
	return (queue->waiting > 0 ? queue->heap[1]->deadline_ms : -1);
}
