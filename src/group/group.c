#include "group/group.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/error.h"
#include "base/log.h"
#include "group/group_defs.h"

#define GROUP_WHO_AGAIN_MS 100

int
group_create(group_t **out, const group_options_t *options)
{
	group_t *group;
	uint32_t i;

	if (options->shard_count == 0 ||
	    options->shard_count > GROUP_SHARDS_MAX ||
	    options->self == NODE_ID_NONE || options->callbacks.send == NULL)
		return (TM_EINVAL);
	group = calloc(
	    1, sizeof(*group) + options->shard_count * sizeof(group_shard_t));
	if (group == NULL)
		return (TM_ENOMEM);
	group->options = *options;
	rng_init(&group->rng, options->seed);
	for (i = 0; i < options->shard_count; i++)
		group->shards[i].self_index = -1;
	*out = group;
	return (TM_OK);
}

void
group_destroy(group_t *group)
{
	uint32_t i;

	if (group == NULL)
		return;
	for (i = 0; i < group->options.shard_count; i++) {
		group_transfer_reset(&group->shards[i]);
		group_store_clear(&group->shards[i].store);
		group_store_clear(&group->shards[i].staging);
	}
	free(group);
}

int
group_add_state(group_t *group, const group_state_ops_t *ops)
{
	if (group->module_count == GROUP_MODULES_MAX)
		return (TM_EFULL);
	group->modules[group->module_count++] = *ops;
	return (TM_OK);
}

uint32_t
group_get_shard_count(const group_t *group)
{
	return (group->options.shard_count);
}

uint32_t
group_shard_of(const group_t *group, const char *key)
{
	return ((
	    uint32_t)(XXH64(key, strlen(key), 0) % group->options.shard_count));
}

uint32_t
group_shard_index(const group_t *group, const group_shard_t *shard)
{
	return ((uint32_t)(shard - group->shards));
}

static const group_shard_t *
group_find_shard(const group_t *group, uint32_t shard)
{
	if (shard >= group->options.shard_count)
		return (NULL);
	return (&group->shards[shard]);
}

static group_shard_t *
group_find_shard_rw(group_t *group, uint32_t shard)
{
	if (shard >= group->options.shard_count)
		return (NULL);
	return (&group->shards[shard]);
}

int
group_shard_is_ready(const group_shard_t *shard)
{
	return (
	    shard->self_index >= 0 && shard->complete && !shard->quarantined);
}

int
group_shard_can_lead(const group_shard_t *shard, int64_t now_ms)
{
	if (shard->self_index < 0 || !shard->complete)
		return (0);
	return (!shard->quarantined ||
	    now_ms - shard->quarantine_since_ms >= GROUP_LOST_LEAD_MS);
}

uint32_t
group_shard_majority(const group_shard_t *shard)
{
	return (shard->assignment.holder_count / 2 + 1);
}

int
group_find_holder(const group_t *group, const group_holder_t *holders,
    uint32_t count, node_id_t node, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (holders[i].node == node &&
		    (holders[i].incarnation == incarnation ||
			group->options.test.ignore_incarnation))
			return ((int)i);
	}
	return (-1);
}

void
group_send(
    group_t *group, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	if (to != group->options.self)
		group->options.callbacks.send(
		    group->options.callbacks.ctx, to, type, msg);
}

void
group_send_holders(group_t *group, const group_shard_t *shard, uint16_t type,
    const ProtobufCMessage *msg)
{
	uint32_t i;

	for (i = 0; i < shard->assignment.holder_count; i++)
		group_send(group, shard->assignment.holders[i].node, type, msg);
}

static int
group_check_assignment(const group_t *group, const group_assignment_t *next)
{
	if (next->shard >= group->options.shard_count || next->epoch == 0 ||
	    next->holder_count == 0 || next->holder_count > GROUP_HOLDERS_MAX ||
	    next->previous_count > GROUP_HOLDERS_MAX)
		return (TM_EINVAL);
	if (next->epoch <= group->shards[next->shard].assignment.epoch)
		return (TM_EEPOCH);
	return (TM_OK);
}

/* Whether this VM has held the shard without a break up to a new epoch. */
static int
group_is_continuing(const group_t *group, const group_shard_t *shard,
    const group_holder_t *holders, uint32_t count, uint64_t epoch)
{
	int index = group_find_holder(group, holders, count,
	    group->options.self, group->options.incarnation);

	if (index < 0 || shard->complete_through == 0)
		return (0);
	if (holders[index].since_epoch > 0)
		return (holders[index].since_epoch <= shard->complete_through);
	return (shard->complete_through + 1 >= epoch);
}

static void
group_start_quarantine(group_shard_t *shard, int64_t now_ms)
{
	group_store_clear(&shard->store);
	shard->store_term = 0;
	shard->store_seq = 0;
	shard->complete = 1;
	shard->quarantined = 1;
	shard->quarantine_since_ms = now_ms;
	shard->lost_until_ms = now_ms + GROUP_RETENTION_MS;
	shard->heard_ms = now_ms;
}

/* Decides whether this holder has the state of the new epoch. */
static void
group_start_epoch(group_t *group, group_shard_t *shard,
    const group_assignment_t *next, int64_t now_ms)
{
	const group_test_switches_t *test = &group->options.test;

	if (next->quarantine && !test->skip_quarantine) {
		group_start_quarantine(shard, now_ms);
	} else if (group_is_continuing(group, shard, next->holders,
		       next->holder_count, next->epoch)) {
		shard->complete = 1;
	} else if (next->epoch == 1 || next->quarantine ||
	    test->skip_transfer) {
		shard->complete = 1;
		shard->quarantined = 0;
		/* No lease can exist before the first epoch. */
		shard->heard_ms = now_ms - GROUP_VOTE_WAIT_MS;
	} else {
		shard->complete = 0;
		shard->quarantined = 0;
	}
	if (shard->complete)
		shard->complete_through = next->epoch;
}

static void
group_leave(group_t *group, group_shard_t *shard,
    const group_assignment_t *next, int64_t now_ms)
{
	if (group_is_continuing(group, shard, next->previous,
		next->previous_count, next->epoch - 1))
		shard->complete_through = next->epoch - 1;
	shard->complete = 0;
	/* The state stays for new holders that still read it. */
	shard->drop_at_ms = now_ms + GROUP_RETENTION_MS;
}

int
group_set_assignment(
    group_t *group, const group_assignment_t *assignment, int64_t now_ms)
{
	group_shard_t *shard;
	int err = group_check_assignment(group, assignment);

	if (err != TM_OK)
		return (err);
	shard = &group->shards[assignment->shard];
	shard->self_index = group_find_holder(group, assignment->holders,
	    assignment->holder_count, group->options.self,
	    group->options.incarnation);
	shard->drop_at_ms = 0;
	if (shard->self_index >= 0)
		group_start_epoch(group, shard, assignment, now_ms);
	else
		group_leave(group, shard, assignment, now_ms);
	shard->assignment = *assignment;
	shard->cached_leader = NODE_ID_NONE;
	group_transfer_reset(shard);
	group_lease_reset(group, shard);
	if (shard->role == GROUP_LEADER && !group_shard_can_lead(shard, now_ms))
		group_lease_step_down(group, shard, now_ms);
	LOG_EVENT(400, LOG_LEVEL_DEBUG, "shard assignment applied",
	    LOG_NUM("shard", assignment->shard),
	    LOG_NUM("epoch", assignment->epoch),
	    LOG_NUM("holder", shard->self_index >= 0),
	    LOG_NUM("ready", group_shard_is_ready(shard)));
	return (TM_OK);
}

void
group_note_epoch(group_t *group, uint32_t shard, uint64_t epoch)
{
	const group_callbacks_t *callbacks = &group->options.callbacks;

	if (shard < group->options.shard_count &&
	    epoch > group->shards[shard].assignment.epoch &&
	    callbacks->fetch_config != NULL)
		callbacks->fetch_config(callbacks->ctx, shard, epoch);
}

uint64_t
group_get_epoch(const group_t *group, uint32_t shard)
{
	const group_shard_t *found = group_find_shard(group, shard);

	return (found != NULL ? found->assignment.epoch : 0);
}

uint32_t
group_get_holders(const group_t *group, uint32_t shard, group_holder_t *out)
{
	const group_shard_t *found = group_find_shard(group, shard);

	if (found == NULL)
		return (0);
	memcpy(
	    out, found->assignment.holders, sizeof(found->assignment.holders));
	return (found->assignment.holder_count);
}

int
group_get_place(
    const group_t *group, uint32_t shard, node_id_t node, uint64_t incarnation)
{
	const group_shard_t *found = group_find_shard(group, shard);

	if (found == NULL)
		return (-1);
	return (group_find_holder(group, found->assignment.holders,
	    found->assignment.holder_count, node, incarnation));
}

uint32_t
group_get_majority(const group_t *group, uint32_t shard)
{
	const group_shard_t *found = group_find_shard(group, shard);

	if (found == NULL || found->assignment.epoch == 0)
		return (0);
	return (group_shard_majority(found));
}

int
group_is_holder(const group_t *group, uint32_t shard)
{
	const group_shard_t *found = group_find_shard(group, shard);

	return (found != NULL && found->self_index >= 0);
}

int
group_is_ready(const group_t *group, uint32_t shard)
{
	const group_shard_t *found = group_find_shard(group, shard);

	return (found != NULL && group_shard_is_ready(found));
}

int
group_is_leader(const group_t *group, uint32_t shard, int64_t now_ms)
{
	const group_shard_t *found = group_find_shard(group, shard);

	return (found != NULL && group_lease_is_valid(group, found, now_ms));
}

int
group_is_state_lost(const group_t *group, uint32_t shard, int64_t now_ms)
{
	const group_shard_t *found = group_find_shard(group, shard);

	return (found != NULL && now_ms < found->lost_until_ms);
}

uint64_t
group_get_term(const group_t *group, uint32_t shard)
{
	const group_shard_t *found = group_find_shard(group, shard);

	return (found != NULL ? found->term : 0);
}

/* Leader that this holder follows; NODE_ID_NONE if its lease ran out. */
static node_id_t
group_get_followed(
    const group_t *group, const group_shard_t *shard, int64_t now_ms)
{
	if (shard->role == GROUP_LEADER)
		return (group_lease_is_valid(group, shard, now_ms)
			? group->options.self
			: NODE_ID_NONE);
	if (now_ms - shard->heard_ms >= GROUP_VOTE_WAIT_MS)
		return (NODE_ID_NONE);
	return (shard->leader);
}

static void
group_ask_leader(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	const group_assignment_t *assignment = &shard->assignment;
	Tm__GroupWhoLeads msg = TM__GROUP_WHO_LEADS__INIT;

	if (assignment->holder_count == 0 ||
	    now_ms - shard->who_asked_ms < GROUP_WHO_AGAIN_MS)
		return;
	shard->who_asked_ms = now_ms;
	if (shard->who_next == 0)
		shard->who_next =
		    (uint32_t)rng_below(&group->rng, assignment->holder_count);
	shard->who_next = shard->who_next % assignment->holder_count + 1;
	msg.shard = group_shard_index(group, shard);
	group_send(group, assignment->holders[shard->who_next - 1].node,
	    MSG_GROUP_WHO_LEADS, &msg.base);
}

node_id_t
group_get_leader(group_t *group, uint32_t shard, int64_t now_ms)
{
	group_shard_t *found = group_find_shard_rw(group, shard);
	node_id_t leader;

	if (found == NULL)
		return (NODE_ID_NONE);
	if (group_shard_can_lead(found, now_ms)) {
		leader = group_get_followed(group, found, now_ms);
		if (leader != NODE_ID_NONE)
			return (leader);
	}
	if (now_ms >= found->cached_until_ms + GROUP_CACHE_STALE_MS)
		found->cached_leader = NODE_ID_NONE;
	if (found->cached_leader == NODE_ID_NONE ||
	    now_ms >= found->cached_until_ms - GROUP_CACHE_MS / 4)
		group_ask_leader(group, found, now_ms);
	return (found->cached_leader);
}

void
group_forget_leader(group_t *group, uint32_t shard, node_id_t leader)
{
	group_shard_t *found = group_find_shard_rw(group, shard);

	if (found != NULL && found->cached_leader == leader)
		found->cached_leader = NODE_ID_NONE;
}

int
group_put(group_t *group, uint32_t shard, const char *key, uint64_t version,
    const void *data, size_t len, int64_t now_ms)
{
	group_shard_t *found = group_find_shard_rw(group, shard);
	int err;

	if (found == NULL)
		return (TM_EINVAL);
	if (!group_lease_is_valid(group, found, now_ms))
		return (TM_ENOTLEADER);
	err = group_store_put(
	    &found->store, key, version, found->store_seq + 1, data, len);
	if (err == TM_OK)
		found->store_seq++;
	return (err);
}

const void *
group_get(const group_t *group, uint32_t shard, const char *key,
    uint64_t *version, size_t *len)
{
	const group_shard_t *found = group_find_shard(group, shard);
	const group_entry_t *entry;

	if (found == NULL)
		return (NULL);
	entry = group_store_get(&found->store, key);
	if (entry == NULL || entry->len == 0)
		return (NULL);
	if (version != NULL)
		*version = entry->version;
	*len = entry->len;
	return (entry->data);
}

void
group_visit(const group_t *group, uint32_t shard,
    void (*visit)(void *ctx, const char *key, uint64_t version,
	const void *data, size_t len),
    void *ctx)
{
	const group_shard_t *found = group_find_shard(group, shard);
	const group_entry_t *entry;

	if (found == NULL)
		return;
	for (entry = found->store.entries; entry != NULL;
	     entry = entry->hh.next) {
		if (entry->len > 0)
			visit(ctx, entry->key, entry->version, entry->data,
			    entry->len);
	}
}

int
group_hand_over(group_t *group, int64_t now_ms)
{
	int held = 0;
	uint32_t i;

	group->resigning = 1;
	for (i = 0; i < group->options.shard_count; i++) {
		group_shard_t *shard = &group->shards[i];

		if (shard->role != GROUP_LEADER)
			continue;
		group_lease_hand_over(group, shard, now_ms);
		held += shard->role == GROUP_LEADER;
	}
	return (held);
}

static void
group_drop_state(group_t *group, group_shard_t *shard)
{
	uint32_t i;

	shard->drop_at_ms = 0;
	shard->complete_through = 0;
	group_store_clear(&shard->store);
	group_store_clear(&shard->staging);
	for (i = 0; i < group->module_count; i++) {
		if (group->modules[i].drop != NULL)
			group->modules[i].drop(group->modules[i].ctx,
			    group_shard_index(group, shard));
	}
}

static void
group_tick_shard(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	if (shard->assignment.epoch == 0)
		return;
	if (shard->quarantined &&
	    now_ms - shard->quarantine_since_ms >= GROUP_RETENTION_MS)
		shard->quarantined = 0;
	if (shard->drop_at_ms > 0 && now_ms >= shard->drop_at_ms)
		group_drop_state(group, shard);
	if (shard->self_index < 0)
		return;
	group_transfer_tick(group, shard, now_ms);
	group_lease_tick(group, shard, now_ms);
	group_sync_tick(group, shard, now_ms);
}

void
group_tick(group_t *group, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < group->options.shard_count; i++)
		group_tick_shard(group, &group->shards[i], now_ms);
}

const group_stats_t *
group_get_stats(const group_t *group)
{
	return (&group->stats);
}

group_roles_t
group_count_roles(const group_t *group, int64_t now_ms)
{
	group_roles_t roles = { 0 };
	uint32_t shard;

	for (shard = 0; shard < group->options.shard_count; shard++) {
		roles.holder_of += group_is_holder(group, shard) != 0;
		roles.ready_for += group_is_ready(group, shard) != 0;
		roles.leader_of += group_is_leader(group, shard, now_ms) != 0;
	}
	return (roles);
}
