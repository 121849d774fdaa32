#include "base/due_heap.h"

#include <stdlib.h>

#include "base/error.h"

#define HEAP_SIZE_MIN 16

static void
heap_put(due_heap_t *heap, uint32_t place, due_item_t *item)
{
	heap->items[place - 1] = item;
	item->place = place;
}

static due_item_t *
heap_get(const due_heap_t *heap, uint32_t place)
{
	return (heap->items[place - 1]);
}

static void
heap_move_up(due_heap_t *heap, due_item_t *item)
{
	uint32_t place = item->place;

	while (place > 1 && item->due_ms < heap_get(heap, place / 2)->due_ms) {
		heap_put(heap, place, heap_get(heap, place / 2));
		place /= 2;
	}
	heap_put(heap, place, item);
}

static void
heap_move_down(due_heap_t *heap, due_item_t *item)
{
	uint32_t place = item->place;
	uint32_t child;

	while ((child = place * 2) <= heap->count) {
		if (child < heap->count &&
		    heap_get(heap, child + 1)->due_ms <
			heap_get(heap, child)->due_ms)
			child++;
		if (item->due_ms <= heap_get(heap, child)->due_ms)
			break;
		heap_put(heap, place, heap_get(heap, child));
		place = child;
	}
	heap_put(heap, place, item);
}

static int
heap_add(due_heap_t *heap, due_item_t *item)
{
	uint32_t size = heap->size > 0 ? heap->size * 2 : HEAP_SIZE_MIN;
	due_item_t **grown;

	if (heap->count == heap->size) {
		grown = realloc(heap->items, size * sizeof(due_item_t *));
		if (grown == NULL)
			return (TM_ENOMEM);
		heap->items = grown;
		heap->size = size;
	}
	heap_put(heap, ++heap->count, item);
	return (TM_OK);
}

int
due_heap_set(due_heap_t *heap, due_item_t *item, int64_t due_ms)
{
	if (item->place == 0 && heap_add(heap, item) != TM_OK)
		return (TM_ENOMEM);
	item->due_ms = due_ms;
	heap_move_up(heap, item);
	heap_move_down(heap, item);
	return (TM_OK);
}

void
due_heap_remove(due_heap_t *heap, due_item_t *item)
{
	due_item_t *last;
	uint32_t place = item->place;

	if (place == 0)
		return;
	item->place = 0;
	last = heap_get(heap, heap->count--);
	if (last == item)
		return;
	heap_put(heap, place, last);
	heap_move_up(heap, last);
	heap_move_down(heap, last);
}

due_item_t *
due_heap_get_first(const due_heap_t *heap)
{
	return (heap->count > 0 ? heap_get(heap, 1) : NULL);
}

void
due_heap_clear(due_heap_t *heap)
{
	free(heap->items);
	*heap = (due_heap_t){ 0 };
}
