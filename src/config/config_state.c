#include "config/config_state.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "config/config_internal.h"

config_state_t *
config_state_create(void)
{
	config_state_t *state = calloc(1, sizeof(*state));

	if (state == NULL)
		return (NULL);
	state->audit = calloc(CONFIG_AUDIT_KEPT, sizeof(*state->audit));
	if (state->audit == NULL) {
		free(state);
		return (NULL);
	}
	return (state);
}

static void
config_state_free_tables(config_state_t *state)
{
	config_object_t *object;
	config_match_t *match;
	config_match_t *next_match;
	size_t place;
	int kind;

	HASH_ITER(hh, state->matches, match, next_match) {
		HASH_DEL(state->matches, match);
		free(match);
	}
	for (kind = 0; kind < CONFIG_OBJECT_KINDS; kind++) {
		place = 0;
		while ((object = config_table_next(
			    &state->tables[kind], &place)) != NULL)
			config_object_free(object);
		config_table_clear(&state->tables[kind]);
		free(state->sorted[kind]);
		state->sorted[kind] = NULL;
		state->sorted_count[kind] = 0;
		state->sorted_valid[kind] = 0;
	}
}

void
config_state_reset(config_state_t *state)
{
	config_node_slot_t *node;
	config_node_slot_t *next_node;
	config_change_slot_t *change;
	config_change_slot_t *next_change;

	config_state_free_tables(state);
	HASH_ITER(hh, state->nodes, node, next_node) {
		HASH_DEL(state->nodes, node);
		free(node);
	}
	HASH_ITER(hh, state->changes, change, next_change) {
		HASH_DEL(state->changes, change);
		free(change);
	}
	free(state->node_order);
	state->node_order = NULL;
	state->node_count = 0;
	memset(state->groups, 0, sizeof(state->groups));
	state->audit_total = 0;
	state->index = 0;
	state->directory_index = 0;
	memset(&state->epochs, 0, sizeof(state->epochs));
}

void
config_state_destroy(config_state_t *state)
{
	if (state == NULL)
		return;
	config_state_reset(state);
	free(state->audit);
	free(state);
}

void
config_state_set_watch(
    config_state_t *state, config_change_cb change, void *ctx)
{
	state->change = change;
	state->ctx = ctx;
}

uint64_t
config_state_get_index(const config_state_t *state)
{
	return (state->index);
}

uint64_t
config_state_get_directory_index(const config_state_t *state)
{
	return (state->directory_index);
}

static config_object_t *
config_state_find_object(const config_state_t *state, config_kind_t kind,
    const char *name, size_t len)
{
	if (kind <= CONFIG_KIND_NONE || kind >= CONFIG_OBJECT_KINDS)
		return (NULL);
	return (config_table_find(&state->tables[kind], name, len));
}

const config_object_t *
config_state_find(
    const config_state_t *state, config_kind_t kind, const char *name)
{
	return (config_state_find_object(state, kind, name, strlen(name)));
}

const config_profile_t *
config_state_find_profile(const config_state_t *state, const char *name)
{
	return ((const config_profile_t *)config_state_find(
	    state, CONFIG_KIND_PROFILE, name));
}

const config_service_t *
config_state_find_service(const config_state_t *state, const char *name)
{
	return ((const config_service_t *)config_state_find(
	    state, CONFIG_KIND_SERVICE, name));
}

const config_workspace_t *
config_state_find_workspace(const config_state_t *state, const char *name)
{
	return ((const config_workspace_t *)config_state_find(
	    state, CONFIG_KIND_WORKSPACE, name));
}

const config_key_t *
config_state_find_key(const config_state_t *state, const char *id, size_t len)
{
	return ((const config_key_t *)config_state_find_object(
	    state, CONFIG_KIND_KEY, id, len));
}

static const config_match_t *
config_state_find_match(const config_state_t *state, const char *host,
    size_t host_len, const char *path, size_t path_len)
{
	char key[CONFIG_MATCH_MAX_BYTES];
	uint32_t len = config_match_format(key, host, host_len, path, path_len);
	config_match_t *match = NULL;

	HASH_FIND(hh, state->matches, key, len, match);
	return (match);
}

/* Tries the path at each segment boundary, from the longest down. */
static const config_route_t *
config_state_find_longest(const config_state_t *state, const char *host,
    size_t host_len, const char *path, size_t path_len)
{
	const config_match_t *match;
	size_t len = path_len;

	for (;;) {
		if (len <= CONFIG_PATH_MAX_BYTES) {
			match = config_state_find_match(
			    state, host, host_len, path, len);
			if (match != NULL)
				return (match->route);
		}
		if (len == 0)
			return (NULL);
		do
			len--;
		while (len > 0 && path[len] != '/');
	}
}

const config_route_t *
config_state_find_route(const config_state_t *state, const char *host,
    size_t host_len, const char *path, size_t path_len)
{
	const config_route_t *route = NULL;

	if (host != NULL && host_len > 0 && host_len <= CONFIG_HOST_MAX_BYTES)
		route = config_state_find_longest(
		    state, host, host_len, path, path_len);
	if (route == NULL)
		route = config_state_find_longest(state, "", 0, path, path_len);
	return (route);
}

static int
config_compare_name(const void *a, const void *b)
{
	return (strcmp(a, b));
}

int
config_route_is_allowed(const config_route_t *route, const char *workspace)
{
	if (route->all_workspaces)
		return (1);
	if (route->workspace_count == 0)
		return (0);
	return (bsearch(workspace, route->workspaces, route->workspace_count,
		    sizeof(*route->workspaces), config_compare_name) != NULL);
}

int
config_key_matches(const config_key_t *key, const char *secret, size_t len)
{
	uint8_t digest[SHA256_DIGEST_LENGTH];

	SHA256((const unsigned char *)secret, len, digest);
	return (CRYPTO_memcmp(digest, key->secret_sha256, sizeof(digest)) == 0);
}

static int
config_compare_objects(const void *a, const void *b)
{
	const config_object_t *const *x = a;
	const config_object_t *const *y = b;

	return (strcmp((*x)->name, (*y)->name));
}

static void
config_state_sort(config_state_t *state, config_kind_t kind)
{
	size_t count = state->tables[kind].count;
	const config_object_t **order;
	size_t place = 0;
	size_t i;

	if (state->sorted_valid[kind])
		return;
	order = calloc(count + 1, sizeof(config_object_t *));
	if (order == NULL)
		return;
	for (i = 0; i < count; i++)
		order[i] = config_table_next(&state->tables[kind], &place);
	qsort(order, count, sizeof(config_object_t *), config_compare_objects);
	free(state->sorted[kind]);
	state->sorted[kind] = order;
	state->sorted_count[kind] = count;
	state->sorted_valid[kind] = 1;
}

size_t
config_state_list(config_state_t *state, config_kind_t kind, const char *after,
    const config_object_t **out, size_t limit)
{
	size_t low = 0;
	size_t high;
	size_t middle;
	size_t n = 0;

	if (kind <= CONFIG_KIND_NONE || kind >= CONFIG_OBJECT_KINDS)
		return (0);
	config_state_sort(state, kind);
	if (!state->sorted_valid[kind])
		return (0);
	high = after != NULL ? state->sorted_count[kind] : 0;
	while (low < high) {
		middle = (low + high) / 2;
		if (strcmp(state->sorted[kind][middle]->name, after) <= 0)
			low = middle + 1;
		else
			high = middle;
	}
	while (n < limit && low < state->sorted_count[kind])
		out[n++] = state->sorted[kind][low++];
	return (n);
}

size_t
config_state_count(const config_state_t *state, config_kind_t kind)
{
	if (kind == CONFIG_KIND_NODE)
		return (state->node_count);
	if (kind <= CONFIG_KIND_NONE || kind >= CONFIG_OBJECT_KINDS)
		return (0);
	return (state->tables[kind].count);
}

const config_node_t *
config_state_find_node(const config_state_t *state, node_id_t id)
{
	config_node_slot_t *slot = NULL;

	HASH_FIND(hh, state->nodes, &id, sizeof(id), slot);
	return (slot != NULL ? &slot->node : NULL);
}

const config_node_t *const *
config_state_get_nodes(const config_state_t *state, size_t *count)
{
	*count = state->node_count;
	return ((const config_node_t *const *)state->node_order);
}

const config_group_t *
config_state_get_group(const config_state_t *state, uint32_t shard)
{
	return (&state->groups[shard % CONFIG_SHARDS]);
}

size_t
config_state_get_audit(const config_state_t *state, uint64_t before,
    config_audit_t *out, size_t limit)
{
	const config_audit_t *line;
	uint64_t i = state->audit_total;
	uint64_t end = i > CONFIG_AUDIT_KEPT ? i - CONFIG_AUDIT_KEPT : 0;
	size_t n = 0;

	while (n < limit && i > end) {
		line = &state->audit[--i % CONFIG_AUDIT_KEPT];
		if (before == 0 || line->version < before)
			out[n++] = *line;
	}
	return (n);
}

int
config_state_find_change(
    const config_state_t *state, const char *change_id, config_result_t *result)
{
	config_change_slot_t *slot = NULL;

	HASH_FIND_STR(state->changes, change_id, slot);
	if (slot == NULL)
		return (TM_ENOENT);
	*result = slot->result;
	result->is_repeat = 1;
	return (TM_OK);
}

static int
config_state_insert_match(config_state_t *state, const config_route_t *route)
{
	char key[CONFIG_MATCH_MAX_BYTES];
	config_match_t *match;
	uint32_t len;

	len = config_match_format(key, route->host, strlen(route->host),
	    route->path_prefix, strlen(route->path_prefix));
	HASH_FIND(hh, state->matches, key, len, match);
	if (match != NULL)
		return (TM_EEXIST);
	match = calloc(1, sizeof(*match) + len);
	if (match == NULL)
		return (TM_ENOMEM);
	match->route = route;
	match->key_len = len;
	memcpy(match->key, key, len);
	HASH_ADD(hh, state->matches, key[0], len, match);
	return (TM_OK);
}

static void
config_state_take_match(config_state_t *state, const config_route_t *route)
{
	const config_match_t *found;
	config_match_t *match;

	found = config_state_find_match(state, route->host, strlen(route->host),
	    route->path_prefix, strlen(route->path_prefix));
	match = (config_match_t *)found;
	if (match == NULL)
		return;
	HASH_DEL(state->matches, match);
	free(match);
}

int
config_state_insert(config_state_t *state, config_object_t *object)
{
	int err = TM_OK;

	if (object->kind == CONFIG_KIND_ROUTE)
		err = config_state_insert_match(
		    state, (const config_route_t *)object);
	if (err != TM_OK)
		return (err);
	err = config_table_add(&state->tables[object->kind], object);
	if (err != TM_OK && object->kind == CONFIG_KIND_ROUTE)
		config_state_take_match(state, (const config_route_t *)object);
	if (err == TM_OK)
		state->sorted_valid[object->kind] = 0;
	return (err);
}

config_object_t *
config_state_take(config_state_t *state, config_kind_t kind, const char *name)
{
	config_object_t *object;

	if (kind <= CONFIG_KIND_NONE || kind >= CONFIG_OBJECT_KINDS)
		return (NULL);
	object = config_table_take(&state->tables[kind], name, strlen(name));
	if (object == NULL)
		return (NULL);
	if (kind == CONFIG_KIND_ROUTE)
		config_state_take_match(state, (const config_route_t *)object);
	state->sorted_valid[kind] = 0;
	return (object);
}

int
config_state_put_node(config_state_t *state, const config_node_t *node)
{
	config_node_slot_t *slot = NULL;

	HASH_FIND(hh, state->nodes, &node->id, sizeof(node->id), slot);
	if (slot != NULL) {
		slot->node = *node;
		return (TM_OK);
	}
	slot = calloc(1, sizeof(*slot));
	if (slot == NULL)
		return (TM_ENOMEM);
	slot->node = *node;
	HASH_ADD(hh, state->nodes, node.id, sizeof(slot->node.id), slot);
	return (TM_OK);
}

static int
config_compare_node_ids(const void *a, const void *b)
{
	const config_node_t *const *x = a;
	const config_node_t *const *y = b;

	return (((*x)->id > (*y)->id) - ((*x)->id < (*y)->id));
}

void
config_state_order_nodes(config_state_t *state)
{
	size_t count = HASH_COUNT(state->nodes);
	const config_node_t **order =
	    calloc(count + 1, sizeof(config_node_t *));
	config_node_slot_t *slot;
	size_t i = 0;

	if (order == NULL)
		abort();
	for (slot = state->nodes; slot != NULL; slot = slot->hh.next)
		order[i++] = &slot->node;
	qsort(order, count, sizeof(config_node_t *), config_compare_node_ids);
	free(state->node_order);
	state->node_order = order;
	state->node_count = count;
}

void
config_state_add_audit(config_state_t *state, const config_audit_t *audit)
{
	state->audit[state->audit_total % CONFIG_AUDIT_KEPT] = *audit;
	state->audit_total++;
}

int
config_state_add_change(config_state_t *state, const char *change_id,
    uint64_t fingerprint, const config_result_t *result)
{
	size_t len = strnlen(change_id, CONFIG_CHANGE_ID_MAX_BYTES);
	config_change_slot_t *slot;

	if (HASH_COUNT(state->changes) >= CONFIG_CHANGES_KEPT) {
		slot = state->changes;
		HASH_DEL(state->changes, slot);
		free(slot);
	}
	slot = calloc(1, sizeof(*slot) + len + 1);
	if (slot == NULL)
		return (TM_ENOMEM);
	memcpy(slot->id, change_id, len);
	slot->fingerprint = fingerprint;
	slot->result = *result;
	slot->result.is_repeat = 0;
	HASH_ADD_STR(state->changes, id, slot);
	return (TM_OK);
}
