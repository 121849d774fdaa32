#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/error.h"
#include "config/config_internal.h"

#define SNAPSHOT_MAGIC_BYTES 8
#define SNAPSHOT_HEAD_BYTES  16

/* Names the format; a later one gets another number. */
static const uint8_t snapshot_magic[SNAPSHOT_MAGIC_BYTES] = { 'T', 'M', 'C',
	'F', 'G', '0', '0', '1' };
/* With the list of recoveries before the message. Used only if there are any,
 * so that VMs of the version before still read all other snapshots. */
static const uint8_t snapshot_magic_epochs[SNAPSHOT_MAGIC_BYTES] = { 'T', 'M',
	'C', 'F', 'G', '0', '0', '2' };

/* Messages of a snapshot in one block each; the pointers follow the blocks. */
typedef struct snapshot_build {
	Feed__Snapshot msg;
	Feed__Object *objects;
	Feed__Node *nodes;
	Feed__Group *groups;
	Feed__Holder *holders;
	Feed__Holder **holder_refs;
	Feed__ChangeResult *changes;
	Feed__Audit *audit;
} snapshot_build_t;

static void
snapshot_free(snapshot_build_t *build)
{
	size_t i;

	for (i = 0; i < build->msg.n_objects; i++)
		free(build->objects[i].workspaces);
	free(build->objects);
	free(build->nodes);
	free(build->groups);
	free(build->holders);
	free(build->holder_refs);
	free(build->changes);
	free(build->audit);
	free(build->msg.objects);
	free(build->msg.nodes);
	free(build->msg.groups);
	free(build->msg.changes);
	free(build->msg.audit);
}

static int
snapshot_add_objects(snapshot_build_t *build, config_state_t *state)
{
	const config_object_t **list;
	size_t total = 0;
	size_t n = 0;
	size_t i;
	int kind;

	for (kind = 1; kind < CONFIG_OBJECT_KINDS; kind++)
		total += state->tables[kind].count;
	list = calloc(total + 1, sizeof(config_object_t *));
	build->objects = calloc(total + 1, sizeof(*build->objects));
	build->msg.objects = calloc(total + 1, sizeof(Feed__Object *));
	if (list == NULL || build->objects == NULL ||
	    build->msg.objects == NULL) {
		free(list);
		return (TM_ENOMEM);
	}
	for (kind = 1; kind < CONFIG_OBJECT_KINDS; kind++)
		n += config_state_list(
		    state, (config_kind_t)kind, NULL, list + n, total - n);
	for (i = 0; i < n; i++) {
		if (config_object_encode(list[i], &build->objects[i]) != TM_OK)
			break;
		build->msg.objects[i] = &build->objects[i];
		build->msg.n_objects = i + 1;
	}
	free(list);
	return (i == total ? TM_OK : TM_ENOMEM);
}

static int
snapshot_add_nodes(snapshot_build_t *build, const config_state_t *state)
{
	size_t count = state->node_count;
	size_t i;

	build->nodes = calloc(count + 1, sizeof(*build->nodes));
	build->msg.nodes = calloc(count + 1, sizeof(Feed__Node *));
	if (build->nodes == NULL || build->msg.nodes == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < count; i++) {
		config_node_encode(state->node_order[i], &build->nodes[i]);
		build->msg.nodes[i] = &build->nodes[i];
	}
	build->msg.n_nodes = count;
	return (TM_OK);
}

static void
snapshot_add_holders(
    snapshot_build_t *build, size_t shard, const config_group_t *group)
{
	size_t at = shard * CONFIG_HOLDERS;
	size_t i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		feed__holder__init(&build->holders[at + i]);
		build->holders[at + i].node = group->holders[i].node;
		build->holders[at + i].incarnation =
		    group->holders[i].incarnation;
		build->holder_refs[at + i] = &build->holders[at + i];
	}
	build->groups[shard].holders = &build->holder_refs[at];
	build->groups[shard].n_holders = CONFIG_HOLDERS;
}

static int
snapshot_add_groups(snapshot_build_t *build, const config_state_t *state)
{
	size_t all = (size_t)CONFIG_SHARDS * CONFIG_HOLDERS;
	size_t i;

	build->groups = calloc(CONFIG_SHARDS, sizeof(*build->groups));
	build->msg.groups = calloc(CONFIG_SHARDS, sizeof(Feed__Group *));
	build->holders = calloc(all, sizeof(*build->holders));
	build->holder_refs = calloc(all, sizeof(Feed__Holder *));
	if (build->groups == NULL || build->msg.groups == NULL ||
	    build->holders == NULL || build->holder_refs == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < CONFIG_SHARDS; i++) {
		feed__group__init(&build->groups[i]);
		build->groups[i].shard = (uint32_t)i;
		build->groups[i].epoch = state->groups[i].epoch;
		build->groups[i].quarantine = state->groups[i].quarantine;
		snapshot_add_holders(build, i, &state->groups[i]);
		build->msg.groups[i] = &build->groups[i];
	}
	build->msg.n_groups = CONFIG_SHARDS;
	return (TM_OK);
}

static int
snapshot_add_changes(snapshot_build_t *build, const config_state_t *state)
{
	size_t count = HASH_COUNT(state->changes);
	config_change_slot_t *slot;
	size_t i = 0;

	build->changes = calloc(count + 1, sizeof(*build->changes));
	build->msg.changes = calloc(count + 1, sizeof(Feed__ChangeResult *));
	if (build->changes == NULL || build->msg.changes == NULL)
		return (TM_ENOMEM);
	for (slot = state->changes; slot != NULL; slot = slot->hh.next, i++) {
		feed__change_result__init(&build->changes[i]);
		build->changes[i].change_id = slot->id;
		build->changes[i].err = slot->result.err;
		build->changes[i].version = slot->result.version;
		build->changes[i].item = slot->result.item;
		build->changes[i].fingerprint = slot->fingerprint;
		build->msg.changes[i] = &build->changes[i];
	}
	build->msg.n_changes = count;
	return (TM_OK);
}

static int
snapshot_add_audit(snapshot_build_t *build, const config_state_t *state)
{
	uint64_t total = state->audit_total;
	uint64_t first =
	    total > CONFIG_AUDIT_KEPT ? total - CONFIG_AUDIT_KEPT : 0;
	size_t count = (size_t)(total - first);
	const config_audit_t *line;
	size_t i;

	build->audit = calloc(count + 1, sizeof(*build->audit));
	build->msg.audit = calloc(count + 1, sizeof(Feed__Audit *));
	if (build->audit == NULL || build->msg.audit == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < count; i++) {
		line = &state->audit[(first + i) % CONFIG_AUDIT_KEPT];
		feed__audit__init(&build->audit[i]);
		build->audit[i].version = line->version;
		build->audit[i].wall_ms = line->wall_ms;
		build->audit[i].kind = line->kind;
		build->audit[i].op = line->op;
		build->audit[i].name = (char *)line->name;
		build->audit[i].actor = (char *)line->actor;
		build->msg.audit[i] = &build->audit[i];
	}
	build->msg.n_audit = count;
	return (TM_OK);
}

static uint8_t *
snapshot_pack(
    const Feed__Snapshot *msg, const config_epochs_t *epochs, size_t *len)
{
	size_t head = epochs->count > 0 ? config_epochs_get_bytes(epochs) : 0;
	size_t body = head + feed__snapshot__get_packed_size(msg);
	uint8_t *bytes = malloc(SNAPSHOT_HEAD_BYTES + body);
	XXH64_canonical_t sum;

	if (bytes == NULL)
		return (NULL);
	memcpy(bytes, head > 0 ? snapshot_magic_epochs : snapshot_magic,
	    SNAPSHOT_MAGIC_BYTES);
	if (head > 0)
		config_epochs_write(epochs, bytes + SNAPSHOT_HEAD_BYTES);
	feed__snapshot__pack(msg, bytes + SNAPSHOT_HEAD_BYTES + head);
	XXH64_canonicalFromHash(
	    &sum, XXH64(bytes + SNAPSHOT_HEAD_BYTES, body, 0));
	memcpy(bytes + SNAPSHOT_MAGIC_BYTES, &sum, sizeof(sum));
	*len = SNAPSHOT_HEAD_BYTES + body;
	return (bytes);
}

uint8_t *
config_snapshot_encode(const config_state_t *state, size_t *len)
{
	snapshot_build_t build = { 0 };
	uint8_t *bytes = NULL;

	feed__snapshot__init(&build.msg);
	build.msg.index = state->index;
	build.msg.directory_index = state->directory_index;
	/* Listing sorts the tables, which does not change what they hold. */
	if (snapshot_add_objects(&build, (config_state_t *)state) == TM_OK &&
	    snapshot_add_nodes(&build, state) == TM_OK &&
	    snapshot_add_groups(&build, state) == TM_OK &&
	    snapshot_add_changes(&build, state) == TM_OK &&
	    snapshot_add_audit(&build, state) == TM_OK)
		bytes = snapshot_pack(&build.msg, &state->epochs, len);
	snapshot_free(&build);
	return (bytes);
}

static int
snapshot_load_objects(config_state_t *state, const Feed__Snapshot *msg)
{
	config_object_t *object;
	size_t i;

	for (i = 0; i < msg->n_objects; i++) {
		object = config_object_decode(msg->objects[i]);
		if (object == NULL)
			return (TM_EFORMAT);
		if (config_state_find(state, object->kind, object->name) !=
			NULL ||
		    config_state_insert(state, object) != TM_OK) {
			config_object_free(object);
			return (TM_EFORMAT);
		}
	}
	return (TM_OK);
}

static int
snapshot_load_nodes(config_state_t *state, const Feed__Snapshot *msg)
{
	config_node_t node;
	size_t i;

	for (i = 0; i < msg->n_nodes; i++) {
		if (config_node_decode(msg->nodes[i], &node) != TM_OK)
			return (TM_EFORMAT);
		if (config_state_put_node(state, &node) != TM_OK)
			return (TM_ENOMEM);
	}
	config_state_order_nodes(state);
	return (TM_OK);
}

static int
snapshot_load_rest(config_state_t *state, const Feed__Snapshot *msg)
{
	config_result_t result = { 0 };
	config_audit_t line;
	size_t i;

	for (i = 0; i < msg->n_groups; i++) {
		if (msg->groups[i]->shard >= CONFIG_SHARDS ||
		    config_group_decode(msg->groups[i],
			&state->groups[msg->groups[i]->shard]) != TM_OK)
			return (TM_EFORMAT);
	}
	for (i = 0; i < msg->n_changes; i++) {
		result.err = msg->changes[i]->err;
		result.version = msg->changes[i]->version;
		result.item = msg->changes[i]->item;
		if (config_state_add_change(state, msg->changes[i]->change_id,
			msg->changes[i]->fingerprint, &result) != TM_OK)
			return (TM_ENOMEM);
	}
	for (i = 0; i < msg->n_audit; i++) {
		memset(&line, 0, sizeof(line));
		line.version = msg->audit[i]->version;
		line.wall_ms = msg->audit[i]->wall_ms;
		line.kind = (config_kind_t)msg->audit[i]->kind;
		line.op = (config_op_t)msg->audit[i]->op;
		strncpy(line.name, msg->audit[i]->name, NAME_MAX_BYTES);
		strncpy(line.actor, msg->audit[i]->actor, NAME_MAX_BYTES);
		config_state_add_audit(state, &line);
	}
	return (TM_OK);
}

static int
snapshot_load(config_state_t *state, const Feed__Snapshot *msg)
{
	int err = snapshot_load_objects(state, msg);

	if (err == TM_OK)
		err = snapshot_load_nodes(state, msg);
	if (err == TM_OK)
		err = snapshot_load_rest(state, msg);
	state->index = msg->index;
	state->directory_index = msg->directory_index;
	return (err);
}

/* Checks the head. @return 0 and where the message starts */
static int
snapshot_check(
    const uint8_t *bytes, size_t len, config_epochs_t *epochs, size_t *start)
{
	XXH64_canonical_t sum;
	int err;

	memset(epochs, 0, sizeof(*epochs));
	*start = SNAPSHOT_HEAD_BYTES;
	if (len < SNAPSHOT_HEAD_BYTES)
		return (TM_EFORMAT);
	if (memcmp(bytes, snapshot_magic, SNAPSHOT_MAGIC_BYTES) != 0 &&
	    memcmp(bytes, snapshot_magic_epochs, SNAPSHOT_MAGIC_BYTES) != 0)
		return (TM_EFORMAT);
	memcpy(&sum, bytes + SNAPSHOT_MAGIC_BYTES, sizeof(sum));
	if (XXH64(bytes + SNAPSHOT_HEAD_BYTES, len - SNAPSHOT_HEAD_BYTES, 0) !=
	    XXH64_hashFromCanonical(&sum))
		return (TM_ECORRUPT);
	if (memcmp(bytes, snapshot_magic, SNAPSHOT_MAGIC_BYTES) == 0)
		return (TM_OK);
	err = config_epochs_read(
	    epochs, bytes + SNAPSHOT_HEAD_BYTES, len - SNAPSHOT_HEAD_BYTES);
	if (err == TM_OK)
		*start += config_epochs_get_bytes(epochs);
	return (err);
}

/* Replaces the content of a state by that of another, which is freed. */
static void
snapshot_swap(config_state_t *state, config_state_t *loaded)
{
	config_state_t old = *state;

	*state = *loaded;
	state->change = old.change;
	state->ctx = old.ctx;
	*loaded = old;
	config_state_destroy(loaded);
	if (state->change != NULL)
		state->change(state->ctx, CONFIG_KIND_ALL, "");
}

/* @return 0 if the snapshot continues the state */
static int
snapshot_compare(const config_state_t *state, const Feed__Snapshot *msg,
    const config_epochs_t *epochs)
{
	if (epochs->count > 0 &&
	    msg->index < epochs->items[epochs->count - 1].first_index)
		return (TM_EFORMAT);
	if (msg->index <= state->index)
		return (TM_ESTALE);
	return (config_epochs_check(epochs, state->index));
}

int
config_snapshot_install(config_state_t *state, const uint8_t *bytes, size_t len)
{
	config_state_t *loaded;
	config_epochs_t epochs;
	Feed__Snapshot *msg;
	size_t start;
	int err = snapshot_check(bytes, len, &epochs, &start);

	if (err != TM_OK)
		return (err);
	msg = feed__snapshot__unpack(NULL, len - start, bytes + start);
	if (msg == NULL)
		return (TM_EFORMAT);
	loaded = config_state_create();
	err =
	    loaded == NULL ? TM_ENOMEM : snapshot_compare(state, msg, &epochs);
	if (err == TM_OK)
		err = snapshot_load(loaded, msg);
	if (err == TM_OK)
		loaded->epochs = epochs;
	feed__snapshot__free_unpacked(msg, NULL);
	if (err == TM_OK)
		snapshot_swap(state, loaded);
	else
		config_state_destroy(loaded);
	return (err);
}
