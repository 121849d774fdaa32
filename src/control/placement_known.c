#include <stdlib.h>

#include "control/placement_internal.h"

const placement_known_t *
placement_find_known(const placement_t *placement, node_id_t node)
{
	placement_known_t *known = NULL;

	HASH_FIND(hh, placement->known, &node, sizeof(node), known);
	return (known);
}

static void
placement_note_known(
    placement_t *placement, const config_node_t *node, int64_t now_ms)
{
	placement_known_t *known = NULL;

	HASH_FIND(hh, placement->known, &node->id, sizeof(node->id), known);
	if (known == NULL) {
		known = calloc(1, sizeof(*known));
		if (known == NULL)
			return;
		known->node = node->id;
		known->incarnation = node->incarnation;
		known->since_ms = now_ms;
		HASH_ADD(
		    hh, placement->known, node, sizeof(known->node), known);
	} else if (known->incarnation != node->incarnation) {
		known->incarnation = node->incarnation;
		known->since_ms = now_ms;
	}
	known->directory_index = placement->known_index;
}

/* A VM that left and comes back is new, also with the same incarnation. */
static void
placement_drop_unlisted(placement_t *placement)
{
	placement_known_t *known;
	placement_known_t *next;

	HASH_ITER(hh, placement->known, known, next) {
		if (known->directory_index == placement->known_index)
			continue;
		HASH_DEL(placement->known, known);
		free(known);
	}
}

void
placement_note_directory(
    placement_t *placement, const config_state_t *state, int64_t now_ms)
{
	uint64_t index = config_state_get_directory_index(state);
	const config_node_t *const *nodes;
	size_t count;
	size_t i;

	if (index == placement->known_index)
		return;
	placement->known_index = index;
	nodes = config_state_get_nodes(state, &count);
	for (i = 0; i < count; i++)
		placement_note_known(placement, nodes[i], now_ms);
	placement_drop_unlisted(placement);
}

void
placement_free_known(placement_t *placement)
{
	placement_known_t *known;
	placement_known_t *next;

	HASH_ITER(hh, placement->known, known, next) {
		HASH_DEL(placement->known, known);
		free(known);
	}
}
