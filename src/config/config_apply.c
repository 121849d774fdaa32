#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/test_hooks.h"
#include "config/config_internal.h"
#include "config/config_object.h"

/* Undo record of one item: what stood under the name before. */
typedef struct config_undo {
	config_kind_t kind;
	const char *name;
	config_object_t *before;
} config_undo_t;

static int
config_has_reference(
    const config_state_t *state, config_kind_t kind, const char *name)
{
	return (config_state_find(state, kind, name) != NULL);
}

static int
config_check_references(
    const config_state_t *state, const config_object_t *object)
{
	const config_route_t *route = (const config_route_t *)object;
	uint32_t i;

	switch (object->kind) {
	case CONFIG_KIND_SERVICE:
		return (config_has_reference(state, CONFIG_KIND_PROFILE,
		    ((const config_service_t *)object)->profile));
	case CONFIG_KIND_KEY:
		return (config_has_reference(state, CONFIG_KIND_WORKSPACE,
		    ((const config_key_t *)object)->workspace));
	case CONFIG_KIND_ROUTE:
		for (i = 0; i < route->workspace_count; i++) {
			if (!config_has_reference(state, CONFIG_KIND_WORKSPACE,
				route->workspaces[i]))
				return (0);
		}
		return (config_has_reference(
		    state, CONFIG_KIND_SERVICE, route->service));
	default:
		return (1);
	}
}

/* Whether one object names the object of another kind. */
static int
config_refers_to(
    const config_object_t *object, config_kind_t kind, const char *name)
{
	const config_route_t *route = (const config_route_t *)object;

	switch (object->kind) {
	case CONFIG_KIND_SERVICE:
		return (kind == CONFIG_KIND_PROFILE &&
		    strcmp(((const config_service_t *)object)->profile, name) ==
			0);
	case CONFIG_KIND_KEY:
		return (kind == CONFIG_KIND_WORKSPACE &&
		    strcmp(((const config_key_t *)object)->workspace, name) ==
			0);
	case CONFIG_KIND_ROUTE:
		if (kind == CONFIG_KIND_SERVICE)
			return (strcmp(route->service, name) == 0);
		return (kind == CONFIG_KIND_WORKSPACE &&
		    !route->all_workspaces &&
		    config_route_is_allowed(route, name));
	default:
		return (0);
	}
}

static int
config_is_in_use(
    const config_state_t *state, config_kind_t kind, const char *name)
{
	const config_object_t *object;
	size_t place;
	int k;

	for (k = CONFIG_KIND_SERVICE; k < CONFIG_OBJECT_KINDS; k++) {
		place = 0;
		while ((object = config_table_next(
			    &state->tables[k], &place)) != NULL) {
			if (config_refers_to(object, kind, name))
				return (1);
		}
	}
	return (0);
}

/* A withdrawn key stays withdrawn: an old file of objects that is applied
 * again must not bring it back. */
static int
config_revives_key(const config_state_t *state, const config_object_t *object)
{
	const config_key_t *current;

	if (object->kind != CONFIG_KIND_KEY ||
	    ((const config_key_t *)object)->withdrawn)
		return (0);
	current = (const config_key_t *)config_state_find(
	    state, CONFIG_KIND_KEY, object->name);
	return (current != NULL && current->withdrawn);
}

static int
config_put_item(config_state_t *state, uint64_t index, const Feed__Object *msg,
    config_undo_t *undo)
{
	config_object_t *object = config_object_decode(msg);
	int err;

	if (object == NULL)
		return (TM_EINVAL);
	object->version = index;
	if (!config_check_references(state, object)) {
		config_object_free(object);
		return (TM_EREFERENCE);
	}
	if (config_revives_key(state, object)) {
		config_object_free(object);
		return (TM_EINVAL);
	}
	undo->before = config_state_take(state, object->kind, object->name);
	err = config_state_insert(state, object);
	if (err != TM_OK) {
		config_object_free(object);
		if (undo->before != NULL)
			(void)config_state_insert(state, undo->before);
		undo->before = NULL;
	}
	return (err);
}

static int
config_delete_item(config_state_t *state, config_undo_t *undo)
{
	if (config_state_find(state, undo->kind, undo->name) == NULL)
		return (TM_ENOENT);
	if (config_is_in_use(state, undo->kind, undo->name))
		return (TM_EINUSE);
	undo->before = config_state_take(state, undo->kind, undo->name);
	return (TM_OK);
}

static int
config_apply_item(config_state_t *state, uint64_t index,
    const Feed__ChangeItem *item, config_undo_t *undo, uint64_t *version)
{
	const Feed__Object *msg = item->object;
	const config_object_t *current;

	if (msg == NULL || msg->kind <= CONFIG_KIND_NONE ||
	    msg->kind >= CONFIG_OBJECT_KINDS)
		return (TM_EINVAL);
	undo->kind = (config_kind_t)msg->kind;
	undo->name = msg->name;
	undo->before = NULL;
	current = config_state_find(state, undo->kind, undo->name);
	*version = current != NULL ? current->version : 0;
	if (item->has_if_version && item->if_version != *version)
		return (TM_EVERSION);
	if (item->op == CONFIG_OP_DELETE)
		return (config_delete_item(state, undo));
	if (item->op != CONFIG_OP_PUT)
		return (TM_EINVAL);
	return (config_put_item(state, index, msg, undo));
}

static void
config_undo_item(config_state_t *state, const config_undo_t *undo)
{
	config_object_free(config_state_take(state, undo->kind, undo->name));
	if (undo->before != NULL)
		(void)config_state_insert(state, undo->before);
}

static void
config_record_items(
    config_state_t *state, uint64_t index, const Feed__Change *change)
{
	config_audit_t line;
	size_t i;

	for (i = 0; i < change->n_items; i++) {
		memset(&line, 0, sizeof(line));
		line.version = index;
		line.wall_ms = change->wall_ms;
		line.kind = (config_kind_t)change->items[i]->object->kind;
		line.op = (config_op_t)change->items[i]->op;
		strncpy(
		    line.name, change->items[i]->object->name, NAME_MAX_BYTES);
		strncpy(line.actor, change->actor, NAME_MAX_BYTES);
		config_state_add_audit(state, &line);
	}
}

static void
config_notify_items(config_state_t *state, const Feed__Change *change)
{
	size_t i;

	for (i = 0; state->change != NULL && i < change->n_items; i++)
		state->change(state->ctx,
		    (config_kind_t)change->items[i]->object->kind,
		    change->items[i]->object->name);
}

/* Applies all items or, when one is refused or keep is 0, none. */
int
config_apply_change(config_state_t *state, uint64_t index,
    const Feed__Change *change, int keep, config_result_t *result)
{
	config_undo_t *undo = calloc(change->n_items + 1, sizeof(*undo));
	uint64_t version = 0;
	size_t done = 0;
	size_t i;

	if (undo == NULL)
		return (TM_ENOMEM);
	result->err = change->n_items > 0 ? TM_OK : TM_EINVAL;
	while (result->err == TM_OK && done < change->n_items) {
		result->err = config_apply_item(
		    state, index, change->items[done], &undo[done], &version);
		if (result->err == TM_OK)
			done++;
	}
	result->item = (uint32_t)(result->err == TM_OK ? 0 : done);
	result->version = result->err == TM_OK ? index : version;
	if (result->err != TM_OK || !keep) {
		for (i = done; i > 0; i--)
			config_undo_item(state, &undo[i - 1]);
	} else {
		for (i = 0; i < done; i++)
			config_object_free(undo[i].before);
	}
	free(undo);
	return (TM_OK);
}

int
config_state_check(
    config_state_t *state, const Feed__Change *change, config_result_t *result)
{
	memset(result, 0, sizeof(*result));
	if (change == NULL)
		return (TM_EFORMAT);
	return (
	    config_apply_change(state, state->index + 1, change, 0, result));
}

/* Answers a change that was sent before. @return 1 if it was */
static int
config_answer_repeat(
    config_state_t *state, const Feed__Change *change, config_result_t *result)
{
	config_change_slot_t *slot = NULL;

	HASH_FIND_STR(state->changes, change->change_id, slot);
	if (slot == NULL || test_hooks_is_off("config_change_id"))
		return (0);
	if (slot->fingerprint != change->fingerprint) {
		result->err = TM_EEXIST;
		result->version = slot->result.version;
		return (1);
	}
	*result = slot->result;
	result->is_repeat = 1;
	return (1);
}

static void
config_apply_operators(config_state_t *state, uint64_t index,
    const Feed__Change *change, config_result_t *result)
{
	if (change->change_id[0] == '\0' ||
	    strlen(change->change_id) > CONFIG_CHANGE_ID_MAX_BYTES) {
		result->err = TM_EINVAL;
		return;
	}
	if (config_answer_repeat(state, change, result))
		return;
	/* Running out of memory here would let this replica diverge. */
	if (config_apply_change(state, index, change, 1, result) != TM_OK)
		abort();
	if (config_state_add_change(
		state, change->change_id, change->fingerprint, result) != TM_OK)
		abort();
	if (result->err == TM_OK) {
		config_record_items(state, index, change);
		config_notify_items(state, change);
	}
}

int
config_node_decode(const Feed__Node *msg, config_node_t *out)
{
	memset(out, 0, sizeof(*out));
	if (!node_name_is_valid(msg->name) ||
	    !node_name_is_valid(msg->data_centre) ||
	    strlen(msg->peer_ip) > CONFIG_IP_MAX_BYTES ||
	    strlen(msg->ops_ip) > CONFIG_IP_MAX_BYTES ||
	    msg->ops_port > UINT16_MAX || msg->peer_port > UINT16_MAX ||
	    msg->role > CONFIG_ROLE_CONTROL)
		return (TM_EINVAL);
	out->id = node_id_from_name(msg->name);
	out->incarnation = msg->incarnation;
	out->version = msg->version;
	out->role = (config_role_t)msg->role;
	out->peer_port = (uint16_t)msg->peer_port;
	out->draining = msg->draining != 0;
	strncpy(out->name, msg->name, NAME_MAX_BYTES);
	strncpy(out->data_centre, msg->data_centre, NAME_MAX_BYTES);
	strncpy(out->peer_ip, msg->peer_ip, CONFIG_IP_MAX_BYTES);
	strncpy(out->ops_ip, msg->ops_ip, CONFIG_IP_MAX_BYTES);
	out->ops_port = (uint16_t)msg->ops_port;
	return (TM_OK);
}

void
config_node_encode(const config_node_t *node, Feed__Node *out)
{
	feed__node__init(out);
	out->name = (char *)node->name;
	out->incarnation = node->incarnation;
	out->peer_ip = (char *)node->peer_ip;
	out->peer_port = node->peer_port;
	out->ops_ip = (char *)node->ops_ip;
	out->ops_port = node->ops_port;
	out->data_centre = (char *)node->data_centre;
	out->role = node->role;
	out->draining = node->draining;
	out->version = node->version;
}

static void
config_notify_node(config_state_t *state, const char *name)
{
	config_state_order_nodes(state);
	if (state->change != NULL)
		state->change(state->ctx, CONFIG_KIND_NODE, name);
}

static int
config_apply_join(config_state_t *state, uint64_t index, const Feed__Node *msg)
{
	const config_node_t *current;
	config_node_t node;

	if (config_node_decode(msg, &node) != TM_OK)
		return (TM_EINVAL);
	current = config_state_find_node(state, node.id);
	if (current != NULL && current->incarnation > node.incarnation)
		return (TM_ESTALE);
	if (current != NULL && strcmp(current->name, node.name) != 0)
		return (TM_EEXIST);
	node.version = index;
	if (config_state_put_node(state, &node) != TM_OK)
		abort();
	state->directory_index = index;
	config_notify_node(state, node.name);
	return (TM_OK);
}

static int
config_apply_leave(config_state_t *state, uint64_t index, const Feed__Node *msg)
{
	node_id_t id = node_id_from_name(msg->name);
	config_node_slot_t *slot = NULL;

	HASH_FIND(hh, state->nodes, &id, sizeof(id), slot);
	if (slot == NULL)
		return (TM_ENOENT);
	if (slot->node.incarnation > msg->incarnation)
		return (TM_ESTALE);
	HASH_DEL(state->nodes, slot);
	free(slot);
	state->directory_index = index;
	config_notify_node(state, msg->name);
	return (TM_OK);
}

int
config_group_decode(const Feed__Group *msg, config_group_t *out)
{
	size_t i;

	memset(out, 0, sizeof(*out));
	if (msg->shard >= CONFIG_SHARDS || msg->n_holders > CONFIG_HOLDERS)
		return (TM_EINVAL);
	out->epoch = msg->epoch;
	out->quarantine = msg->quarantine != 0;
	for (i = 0; i < msg->n_holders; i++) {
		out->holders[i].node = msg->holders[i]->node;
		out->holders[i].incarnation = msg->holders[i]->incarnation;
	}
	return (TM_OK);
}

/* A group whose epoch does not follow the current one comes from a proposal
 * that was made on an older state and has no effect. */
static int
config_apply_group(config_state_t *state, const Feed__Group *msg)
{
	config_group_t group;
	char shard[16];

	if (config_group_decode(msg, &group) != TM_OK)
		return (TM_EINVAL);
	if (group.epoch != state->groups[msg->shard].epoch + 1)
		return (TM_EEPOCH);
	state->groups[msg->shard] = group;
	snprintf(shard, sizeof(shard), "%u", msg->shard);
	if (state->change != NULL)
		state->change(state->ctx, CONFIG_KIND_GROUP, shard);
	return (TM_OK);
}

static void
config_apply_parts(config_state_t *state, uint64_t index,
    const Feed__Entry *entry, config_result_t *result)
{
	size_t i;
	int err;

	if (entry->change != NULL)
		config_apply_operators(state, index, entry->change, result);
	if (entry->join != NULL)
		result->err = config_apply_join(state, index, entry->join);
	if (entry->leave != NULL)
		result->err = config_apply_leave(state, index, entry->leave);
	for (i = 0; i < entry->n_groups; i++) {
		err = config_apply_group(state, entry->groups[i]);
		if (result->err == TM_OK)
			result->err = err;
	}
}

int
config_state_apply(config_state_t *state, uint64_t index, const uint8_t *bytes,
    size_t len, config_result_t *result)
{
	config_result_t outcome = { 0 };
	Feed__Entry *entry;

	if (index <= state->index)
		return (TM_ESTALE);
	state->index = index;
	outcome.version = index;
	entry = feed__entry__unpack(NULL, len, bytes);
	if (entry == NULL)
		outcome.err = TM_EFORMAT;
	else
		config_apply_parts(state, index, entry, &outcome);
	if (entry != NULL)
		feed__entry__free_unpacked(entry, NULL);
	if (result != NULL)
		*result = outcome;
	return (TM_OK);
}

uint8_t *
config_entry_encode(const Feed__Entry *entry, size_t *len)
{
	uint8_t *bytes;

	*len = feed__entry__get_packed_size(entry);
	bytes = malloc(*len + 1);
	if (bytes != NULL)
		feed__entry__pack(entry, bytes);
	return (bytes);
}
