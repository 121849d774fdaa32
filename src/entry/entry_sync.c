#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "entry/entry_defs.h"

#define LIST_PAGE 256

static void
sync_node_address(entry_t *entry, const config_node_t *node)
{
	if (node->id == entry->self)
		return;
	peer_net_set_address(
	    entry->net, node->id, node->peer_ip, node->peer_port);
}

static int
is_other_entry(const entry_t *entry, const config_node_t *node)
{
	return (node->role == CONFIG_ROLE_ENTRY && node->id != entry->self);
}

static void
sync_directory(entry_t *entry)
{
	const config_node_t *const *nodes;
	node_id_t *peers;
	size_t count;
	size_t i;

	nodes = config_state_get_nodes(entry->state, &count);
	peers = realloc(entry->peers, (count + 1) * sizeof(*peers));
	if (peers == NULL)
		return;
	entry->peers = peers;
	entry->peer_count = 0;
	for (i = 0; i < count; i++) {
		sync_node_address(entry, nodes[i]);
		if (is_other_entry(entry, nodes[i]))
			peers[entry->peer_count++] = nodes[i]->id;
	}
	rate_client_set_vm_count(entry->rates, (uint32_t)entry->peer_count + 1);
}

static int
holder_equals(const config_holder_t *a, const config_holder_t *b)
{
	return (a->node == b->node && a->incarnation == b->incarnation);
}

static int
group_find_place(const config_group_t *group, const config_holder_t *holder)
{
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		if (holder_equals(&group->holders[i], holder))
			return (i);
	}
	return (-1);
}

/* Epoch since which a holder has been in the group; 0 if a gap hides it. */
static uint64_t
group_get_since(const entry_group_t *known, const config_group_t *next,
    const config_holder_t *holder)
{
	int place = group_find_place(&known->assignment, holder);

	if (next->epoch == 1)
		return (1);
	if (next->epoch != known->assignment.epoch + 1)
		return (0);
	if (place < 0)
		return (next->epoch);
	return (known->since_epoch[place]);
}

static void
assignment_add_holders(group_assignment_t *out, const entry_group_t *known,
    const config_group_t *next, uint64_t *since)
{
	const config_holder_t *holder;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++) {
		holder = &next->holders[i];
		since[i] = group_get_since(known, next, holder);
		if (holder->node == NODE_ID_NONE)
			continue;
		out->holders[out->holder_count++] = (group_holder_t){
			.node = holder->node,
			.incarnation = holder->incarnation,
			.since_epoch = since[i],
		};
	}
}

/*
 * Members from which a new holder reads. Where this VM missed the previous
 * epoch, these are the other present holders: control changes one holder at a
 * time, so any 3 ready ones of them overlap each majority of the group before.
 */
static void
assignment_add_previous(entry_t *entry, group_assignment_t *out,
    const entry_group_t *known, const config_group_t *next)
{
	int is_next = next->epoch == known->assignment.epoch + 1;
	const config_group_t *source = is_next ? &known->assignment : next;
	const config_holder_t *holder;
	int i;

	if (next->epoch == 1 || next->quarantine)
		return;
	for (i = 0; i < CONFIG_HOLDERS; i++) {
		holder = &source->holders[i];
		if (holder->node == NODE_ID_NONE ||
		    (holder->node == entry->self && !is_next))
			continue;
		out->previous[out->previous_count++] = (group_holder_t){
			.node = holder->node,
			.incarnation = holder->incarnation,
		};
	}
}

/* Calls visit for the name of each object of a kind. */
static void
sync_each(entry_t *entry, config_kind_t kind,
    void (*visit)(entry_t *entry, const char *name))
{
	const config_object_t *page[LIST_PAGE];
	char after[NAME_MAX_BYTES + 1] = "";
	size_t count;
	size_t i;

	do {
		count = config_state_list(
		    entry->state, kind, after, page, LIST_PAGE);
		for (i = 0; i < count; i++)
			visit(entry, page[i]->name);
		if (count > 0)
			snprintf(
			    after, sizeof(after), "%s", page[count - 1]->name);
	} while (count == LIST_PAGE);
}

/* The token buckets of a shard are kept by its holders only. */
static int
is_rate_holder(entry_t *entry, const char *workspace)
{
	return (group_is_holder(
	    entry->group, group_shard_of(entry->group, workspace)));
}

/* rate_is_configured_cb; ctx is the entry_t. */
static int
keeps_bucket(void *ctx, const char *workspace)
{
	entry_t *entry = ctx;

	return (config_state_find_workspace(entry->state, workspace) != NULL &&
	    is_rate_holder(entry, workspace));
}

static void
sync_bucket(entry_t *entry, const char *name)
{
	const config_workspace_t *config;

	config = config_state_find_workspace(entry->state, name);
	if (config != NULL && is_rate_holder(entry, name))
		rate_leader_set_workspace(entry->rate_leader, name,
		    config->rate_per_s, config->burst, clock_now_ms());
}

/*
 * Runs before any message of a new group is handled: a leader without the
 * rate of a workspace would take its bucket for an unused one.
 */
static void
sync_buckets(entry_t *entry)
{
	rate_leader_remove_unconfigured(
	    entry->rate_leader, keeps_bucket, entry);
	sync_each(entry, CONFIG_KIND_WORKSPACE, sync_bucket);
}

/* @return 1 if this VM became or ceased to be a holder of the shard */
static int
sync_group(entry_t *entry, uint32_t shard)
{
	const config_group_t *next =
	    config_state_get_group(entry->state, shard);
	entry_group_t *known = &entry->groups[shard];
	uint64_t since[CONFIG_HOLDERS] = { 0 };
	group_assignment_t assignment = {
		.shard = shard,
		.epoch = next->epoch,
		.quarantine = next->quarantine,
	};

	int was_holder = group_is_holder(entry->group, shard);

	if (next->epoch <= known->assignment.epoch)
		return (0);
	assignment_add_holders(&assignment, known, next, since);
	assignment_add_previous(entry, &assignment, known, next);
	group_set_assignment(entry->group, &assignment, clock_now_ms());
	known->assignment = *next;
	memcpy(known->since_epoch, since, sizeof(since));
	return (was_holder != group_is_holder(entry->group, shard));
}

static void
sync_groups(entry_t *entry)
{
	uint32_t shard;

	for (shard = 0; shard < CONFIG_SHARDS; shard++)
		sync_group(entry, shard);
}

static void
sync_workspace(entry_t *entry, const char *name)
{
	entry_workspace_t *workspace = entry_find_workspace(entry, name);

	if (workspace != NULL)
		entry_workspace_sync_rate(entry, workspace);
	if (config_state_find_workspace(entry->state, name) == NULL)
		rate_leader_remove_workspace(entry->rate_leader, name);
	sync_bucket(entry, name);
}

static void
sync_workspaces(entry_t *entry)
{
	entry_workspace_t *workspace;
	entry_workspace_t *next;

	HASH_ITER(hh, entry->workspaces, workspace, next)
		entry_workspace_sync_rate(entry, workspace);
	sync_buckets(entry);
}

static void
sync_service(entry_t *entry, const char *name)
{
	if (config_state_find_service(entry->state, name) != NULL)
		entry_service_get(entry, name);
}

void
entry_sync_all(entry_t *entry)
{
	sync_directory(entry);
	sync_groups(entry);
	sync_workspaces(entry);
	sync_each(entry, CONFIG_KIND_SERVICE, sync_service);
	LOG_EVENT(700, LOG_LEVEL_INFO, "configuration installed",
	    LOG_NUM("index", config_state_get_index(entry->state)));
}

static void
entry_change_profiles(entry_t *entry)
{
	entry->profile_changes++;
	entry_service_wake_all(entry, clock_now_ms());
}

void
entry_sync_change(void *ctx, config_kind_t kind, const char *name)
{
	entry_t *entry = ctx;

	if (kind == CONFIG_KIND_ALL || kind == CONFIG_KIND_PROFILE ||
	    kind == CONFIG_KIND_SERVICE)
		entry_change_profiles(entry);
	switch (kind) {
	case CONFIG_KIND_ALL:
		entry_sync_all(entry);
		break;
	case CONFIG_KIND_NODE:
		sync_directory(entry);
		break;
	case CONFIG_KIND_GROUP:
		if (sync_group(entry, (uint32_t)strtoul(name, NULL, 10)))
			sync_buckets(entry);
		break;
	case CONFIG_KIND_WORKSPACE:
		sync_workspace(entry, name);
		break;
	case CONFIG_KIND_SERVICE:
		sync_service(entry, name);
		break;
	default:
		break;
	}
}
