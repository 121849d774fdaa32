#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "group/group_defs.h"

void
group_transfer_reset(group_shard_t *shard)
{
	uint32_t i;

	for (i = 0; i < GROUP_HOLDERS_MAX; i++) {
		group_store_clear(&shard->sources[i].store);
		memset(&shard->sources[i], 0, sizeof(shard->sources[i]));
	}
}

static void
group_transfer_ask(
    group_t *group, group_shard_t *shard, uint32_t index, int64_t now_ms)
{
	group_source_t *source = &shard->sources[index];
	Tm__GroupFetch msg = TM__GROUP_FETCH__INIT;

	msg.shard = group_shard_index(group, shard);
	msg.epoch = shard->assignment.epoch;
	msg.incarnation = group->options.incarnation;
	msg.module = source->module;
	msg.cursor = source->cursor;
	source->asked_ms = now_ms;
	group_send(group, shard->assignment.previous[index].node,
	    MSG_GROUP_FETCH, &msg.base);
}

static int
group_transfer_is_needed(const group_shard_t *shard)
{
	return (shard->assignment.epoch > 0 && shard->self_index >= 0 &&
	    !shard->complete);
}

void
group_transfer_tick(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	const group_assignment_t *assignment = &shard->assignment;
	uint32_t i;

	if (!group_transfer_is_needed(shard))
		return;
	for (i = 0; i < assignment->previous_count; i++) {
		if (shard->sources[i].done ||
		    assignment->previous[i].node == group->options.self)
			continue;
		if (now_ms - shard->sources[i].asked_ms >= GROUP_RESEND_MS)
			group_transfer_ask(group, shard, i, now_ms);
	}
}

/* Whether this VM had the whole state of the group before epoch. */
static int
group_transfer_is_source(const group_shard_t *shard, uint64_t epoch)
{
	return (shard->complete_through > 0 && !shard->quarantined &&
	    shard->complete_through + 1 >= epoch);
}

static void
group_transfer_fill_store(
    group_shard_t *shard, Tm__GroupState *reply, group_store_part_t *part)
{
	if (group_store_part_create(
		&shard->store, reply->cursor, GROUP_PART_BYTES, part) != TM_OK)
		return;
	reply->entries = part->entries;
	reply->n_entries = part->count;
	reply->next_cursor = part->last_seq;
	reply->done = group_store_after(&shard->store, part->last_seq) == NULL;
}

static void
group_transfer_fill_module(
    group_t *group, Tm__GroupState *reply, uint8_t *part, int64_t now_ms)
{
	const group_state_ops_t *ops = &group->modules[reply->module];
	uint64_t cursor = reply->cursor;

	reply->data.len = ops->write_part(
	    ops->ctx, reply->shard, &cursor, part, GROUP_PART_BYTES, now_ms);
	reply->data.data = part;
	reply->next_cursor = cursor;
	if (cursor == UINT64_MAX) {
		reply->next_module = reply->module + 1;
		reply->next_cursor = 0;
	}
}

void
group_handle_fetch(group_t *group, group_shard_t *shard, node_id_t from,
    const Tm__GroupFetch *msg, int64_t now_ms)
{
	static uint8_t part[GROUP_PART_BYTES];
	group_store_part_t entries = { 0 };
	Tm__GroupState reply = TM__GROUP_STATE__INIT;

	if (!group_transfer_is_source(shard, msg->epoch) ||
	    group_find_holder(group, shard->assignment.holders,
		shard->assignment.holder_count, from, msg->incarnation) < 0)
		return;
	reply.shard = msg->shard;
	reply.epoch = shard->assignment.epoch;
	reply.incarnation = group->options.incarnation;
	reply.module = msg->module;
	reply.cursor = msg->cursor;
	reply.next_module = msg->module;
	reply.term = shard->term;
	reply.store_term = shard->store_term;
	reply.store_seq = shard->store_seq;
	if (shard->lost_until_ms > now_ms)
		reply.lost_ms = shard->lost_until_ms - now_ms;
	if (msg->module < group->module_count)
		group_transfer_fill_module(group, &reply, part, now_ms);
	else
		group_transfer_fill_store(shard, &reply, &entries);
	group_send(group, from, MSG_GROUP_STATE, &reply.base);
	group_store_part_free(&entries);
}

/* @return source with the newest store, which has all committed entries */
static group_source_t *
group_transfer_get_newest(group_shard_t *shard)
{
	group_source_t *best = NULL;
	uint32_t i;

	for (i = 0; i < GROUP_HOLDERS_MAX; i++) {
		group_source_t *source = &shard->sources[i];

		if (!source->done)
			continue;
		if (best == NULL || source->store_term > best->store_term ||
		    (source->store_term == best->store_term &&
			source->store_seq > best->store_seq))
			best = source;
	}
	return (best);
}

static void
group_transfer_finish(group_t *group, group_shard_t *shard, int64_t now_ms)
{
	group_source_t *newest = group_transfer_get_newest(shard);
	uint32_t i;

	group_store_move(&shard->store, &newest->store);
	shard->store_term = newest->store_term;
	shard->store_seq = newest->store_seq;
	shard->sync_term = 0;
	for (i = 0; i < GROUP_HOLDERS_MAX; i++) {
		const group_source_t *source = &shard->sources[i];

		if (source->term > shard->term) {
			shard->term = source->term;
			/* This holder gives no vote in a term it has not
			 * followed from the start. */
			shard->voted_for = NODE_ID_NONE;
			shard->leader = NODE_ID_NONE;
		}
		if (source->lost_until_ms > shard->lost_until_ms)
			shard->lost_until_ms = source->lost_until_ms;
	}
	shard->complete = 1;
	shard->complete_through = shard->assignment.epoch;
	/* A lease that older holders acknowledged may last this long. */
	shard->heard_ms = now_ms;
	group->stats.transfers_done++;
	group_transfer_reset(shard);
	LOG_EVENT(401, LOG_LEVEL_INFO, "shard state read",
	    LOG_NUM("shard", group_shard_index(group, shard)),
	    LOG_NUM("epoch", shard->assignment.epoch));
}

static int
group_transfer_count_done(const group_shard_t *shard)
{
	int count = 0;
	uint32_t i;

	for (i = 0; i < GROUP_HOLDERS_MAX; i++)
		count += shard->sources[i].done;
	return (count);
}

static int
group_transfer_merge(group_t *group, group_source_t *source,
    const Tm__GroupState *msg, int64_t now_ms)
{
	const group_state_ops_t *ops;

	if (msg->module < group->module_count) {
		ops = &group->modules[msg->module];
		return (ops->merge_part(ops->ctx, msg->shard, msg->data.data,
		    msg->data.len, now_ms));
	}
	if (msg->cursor == 0) {
		group_store_clear(&source->store);
		source->store_term = msg->store_term;
		source->store_seq = msg->store_seq;
	}
	return (
	    group_store_apply(&source->store, msg->entries, msg->n_entries));
}

void
group_handle_state(group_t *group, group_shard_t *shard, node_id_t from,
    const Tm__GroupState *msg, int64_t now_ms)
{
	const group_assignment_t *assignment = &shard->assignment;
	int index = group_find_holder(group, assignment->previous,
	    assignment->previous_count, from, msg->incarnation);
	group_source_t *source;
	int err;

	if (!group_transfer_is_needed(shard) || index < 0)
		return;
	source = &shard->sources[index];
	if (source->done || msg->module != source->module ||
	    msg->cursor != source->cursor)
		return;
	if (msg->module >= group->module_count && msg->cursor > 0 &&
	    msg->store_term != source->store_term) {
		/* The source has adopted another store: start over. */
		source->cursor = 0;
		group_transfer_ask(group, shard, (uint32_t)index, now_ms);
		return;
	}
	err = group_transfer_merge(group, source, msg, now_ms);
	if (err != TM_OK) {
		LOG_EVENT(405, LOG_LEVEL_ERROR, "shard state refused",
		    LOG_NUM("shard", msg->shard),
		    LOG_TEXT("error", error_get_text(err)));
		return;
	}
	source->module = msg->next_module;
	source->cursor = msg->next_cursor;
	source->done = msg->done;
	if (msg->term > source->term)
		source->term = msg->term;
	source->lost_until_ms = now_ms + msg->lost_ms;
	if (!source->done)
		group_transfer_ask(group, shard, (uint32_t)index, now_ms);
	else if (group_transfer_count_done(shard) >=
	    (int)(assignment->previous_count / 2 + 1))
		group_transfer_finish(group, shard, now_ms);
}
