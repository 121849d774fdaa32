/**
 * @file
 * Items by the time at which they are due: a binary heap of items that the
 * caller embeds. A timer then visits those that are due instead of all.
 */
#ifndef TM_BASE_DUE_HEAP_H
#define TM_BASE_DUE_HEAP_H

#include <stdint.h>

/** Embedded by the caller; zeroed at first. */
typedef struct due_item {
	int64_t due_ms;
	uint32_t place; /**< 1-based place in the heap; 0: not in it */
	void *data; /**< for the caller */
} due_item_t;

/** Empty when all bytes are 0. */
typedef struct due_heap {
	due_item_t **items;
	uint32_t count;
	uint32_t size;
} due_heap_t;

/**
 * Adds an item, or changes when it is due.
 *
 * @return 0, TM_ENOMEM
 */
int due_heap_set(due_heap_t *heap, due_item_t *item, int64_t due_ms);

/** Takes an item out; does nothing if it is not in the heap. */
void due_heap_remove(due_heap_t *heap, due_item_t *item);

/** @return the item that is due first; NULL if the heap is empty */
due_item_t *due_heap_get_first(const due_heap_t *heap);

/** Frees the memory of the heap; the items stay with the caller. */
void due_heap_clear(due_heap_t *heap);

#endif
