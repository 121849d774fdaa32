#include "claim/claim_holder.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "base/log.h"
#include "claim/claim_client.h"
#include "claim/claim_defs.h"
#include "proto/claim.pb-c.h"

#define CLAIM_FULL_LOG_MS 10000

/* Owner of a record; node NODE_ID_NONE marks a contested record. */
typedef struct claim_owner {
	node_id_t node;
	uint64_t incarnation;
	uint64_t sequence;
} claim_owner_t;

typedef struct claim_record {
	uint8_t digest[CLAIM_DIGEST_BYTES];
	uint64_t hash;
	claim_owner_t owner;
	uint64_t index; /* position in the order of changes */
	int64_t expires_ms;
	uint8_t *answer;
	uint32_t answer_len;
	uint16_t shard;
	uint8_t finished;
	uint8_t has_answer;
	struct claim_record *prev;
	struct claim_record *next;
	UT_hash_handle hh;
} claim_record_t;

typedef struct claim_shard {
	claim_record_t *records; /* in the order of index and expires_ms */
	uint32_t count;
	size_t answer_bytes;
	int64_t full_logged_ms;
} claim_shard_t;

struct claim_holder {
	claim_holder_options_t options;
	claim_record_t *by_digest;
	uint64_t next_index;
	claim_holder_stats_t stats;
	claim_shard_t shards[GROUP_SHARDS_MAX];
};

static void
claim_record_remove(claim_holder_t *holder, claim_record_t *record)
{
	claim_record_t **list = &holder->shards[record->shard].records;

	/* A record that is first but not last has a next one, which the
	 * analyzer cannot see. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	DL_DELETE(*list, record);
}

static void
claim_record_clear_answer(claim_holder_t *holder, claim_record_t *record)
{
	claim_shard_t *shard = &holder->shards[record->shard];

	shard->answer_bytes -= record->answer_len;
	holder->stats.bytes -= record->answer_len;
	free(record->answer);
	record->answer = NULL;
	record->answer_len = 0;
	record->has_answer = 0;
}

static void
claim_record_set_answer(claim_holder_t *holder, claim_record_t *record,
    const ProtobufCBinaryData *answer)
{
	claim_shard_t *shard = &holder->shards[record->shard];

	claim_record_clear_answer(holder, record);
	if (answer->len > CLAIM_ANSWER_MAX_BYTES ||
	    shard->answer_bytes + answer->len > CLAIM_ANSWERS_MAX_BYTES) {
		holder->stats.answers_dropped++;
		return;
	}
	record->answer = malloc(answer->len + 1);
	if (record->answer == NULL)
		return;
	if (answer->len > 0)
		memcpy(record->answer, answer->data, answer->len);
	record->answer_len = (uint32_t)answer->len;
	record->has_answer = 1;
	shard->answer_bytes += answer->len;
	holder->stats.bytes += answer->len;
}

static void
claim_record_drop(claim_holder_t *holder, claim_record_t *record)
{
	claim_shard_t *shard = &holder->shards[record->shard];

	claim_record_clear_answer(holder, record);
	claim_record_remove(holder, record);
	HASH_DEL(holder->by_digest, record);
	shard->count--;
	holder->stats.records--;
	holder->stats.bytes -= sizeof(*record);
	free(record);
}

/* Puts a record last in the order of changes. */
static void
claim_record_append(
    claim_holder_t *holder, claim_record_t *record, int64_t now_ms)
{
	record->index = ++holder->next_index;
	record->expires_ms = now_ms + GROUP_RETENTION_MS;
	DL_APPEND(holder->shards[record->shard].records, record);
}

/* Starts the retention of a known record again. */
static void
claim_record_touch(
    claim_holder_t *holder, claim_record_t *record, int64_t now_ms)
{
	claim_record_remove(holder, record);
	claim_record_append(holder, record, now_ms);
}

static claim_record_t *
claim_record_find(claim_holder_t *holder, const uint8_t *digest, int64_t now_ms)
{
	claim_record_t *record = NULL;

	HASH_FIND(hh, holder->by_digest, digest, CLAIM_DIGEST_BYTES, record);
	if (record == NULL || now_ms < record->expires_ms)
		return (record);
	claim_record_drop(holder, record);
	return (NULL);
}

static claim_record_t *
claim_record_add(claim_holder_t *holder, uint32_t shard, const uint8_t *digest,
    uint64_t hash, int64_t now_ms)
{
	claim_record_t *record = calloc(1, sizeof(*record));

	if (record == NULL)
		return (NULL);
	memcpy(record->digest, digest, CLAIM_DIGEST_BYTES);
	record->hash = hash;
	record->shard = (uint16_t)shard;
	HASH_ADD(hh, holder->by_digest, digest, CLAIM_DIGEST_BYTES, record);
	holder->shards[shard].count++;
	holder->stats.records++;
	holder->stats.bytes += sizeof(*record);
	claim_record_append(holder, record, now_ms);
	return (record);
}

static claim_owner_t
claim_owner_read(const Tm__ClaimOwner *msg)
{
	claim_owner_t owner = { 0 };

	if (msg != NULL) {
		owner.node = msg->node;
		owner.incarnation = msg->incarnation;
		owner.sequence = msg->sequence;
	}
	return (owner);
}

static int
claim_owner_is_equal(const claim_owner_t *a, const claim_owner_t *b)
{
	return (a->node == b->node && a->incarnation == b->incarnation &&
	    a->sequence == b->sequence);
}

static int
claim_is_full(claim_holder_t *holder, uint32_t shard, int64_t now_ms)
{
	claim_shard_t *state = &holder->shards[shard];

	if (state->count < holder->options.records_max)
		return (0);
	holder->stats.refused_full++;
	if (state->full_logged_ms == 0 ||
	    now_ms - state->full_logged_ms >= CLAIM_FULL_LOG_MS) {
		state->full_logged_ms = now_ms;
		LOG_EVENT(410, LOG_LEVEL_WARN, "claim table full",
		    LOG_NUM("shard", shard), LOG_NUM("records", state->count));
	}
	return (1);
}

static Tm__ClaimVerdict
claim_judge_new(claim_holder_t *holder, const Tm__ClaimAsk *msg,
    const claim_owner_t *owner, int64_t now_ms)
{
	claim_record_t *record;

	if (claim_is_full(holder, msg->shard, now_ms))
		return (TM__CLAIM_VERDICT__CLAIM_VERDICT_FULL);
	record = claim_record_add(
	    holder, msg->shard, msg->digest.data, msg->hash, now_ms);
	if (record == NULL)
		return (TM__CLAIM_VERDICT__CLAIM_VERDICT_FULL);
	record->owner = *owner;
	holder->stats.granted++;
	return (TM__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED);
}

static Tm__ClaimVerdict
claim_judge_known(const claim_record_t *record, const Tm__ClaimAsk *msg,
    const claim_owner_t *owner)
{
	int contested = !record->finished && record->owner.node == 0;

	if (!contested && record->hash != msg->hash)
		return (TM__CLAIM_VERDICT__CLAIM_VERDICT_REUSED);
	if (record->finished)
		return (record->has_answer
			? TM__CLAIM_VERDICT__CLAIM_VERDICT_ANSWERED
			: TM__CLAIM_VERDICT__CLAIM_VERDICT_FINISHED);
	if (claim_owner_is_equal(&record->owner, owner))
		return (TM__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED);
	return (TM__CLAIM_VERDICT__CLAIM_VERDICT_RUNNING);
}

static void
claim_holder_send_reply(claim_holder_t *holder, node_id_t to,
    const Tm__ClaimAsk *msg, Tm__ClaimVerdict verdict,
    const claim_record_t *record)
{
	Tm__ClaimReply reply = TM__CLAIM_REPLY__INIT;

	reply.shard = msg->shard;
	reply.epoch = group_get_epoch(holder->options.group, msg->shard);
	reply.incarnation = holder->options.incarnation;
	reply.sequence = msg->owner->sequence;
	reply.verdict = verdict;
	if (verdict == TM__CLAIM_VERDICT__CLAIM_VERDICT_ANSWERED) {
		reply.answer.data = record->answer;
		reply.answer.len = record->answer_len;
	}
	holder->options.send(
	    holder->options.ctx, to, MSG_CLAIM_REPLY, &reply.base);
}

static void
claim_holder_ask(claim_holder_t *holder, node_id_t from,
    const Tm__ClaimAsk *msg, int64_t now_ms)
{
	claim_owner_t owner = claim_owner_read(msg->owner);
	claim_record_t *record = NULL;
	Tm__ClaimVerdict verdict = TM__CLAIM_VERDICT__CLAIM_VERDICT_NOT_READY;

	if (group_is_ready(holder->options.group, msg->shard) &&
	    msg->epoch == group_get_epoch(holder->options.group, msg->shard)) {
		record = claim_record_find(holder, msg->digest.data, now_ms);
		verdict = record == NULL
		    ? claim_judge_new(holder, msg, &owner, now_ms)
		    : claim_judge_known(record, msg, &owner);
	}
	claim_holder_send_reply(holder, from, msg, verdict, record);
}

/*
 * Only an owner that had a majority dispatches, so its outcome replaces
 * whatever this holder recorded for the id.
 */
static void
claim_holder_finish(claim_holder_t *holder, node_id_t from,
    const Tm__ClaimFinish *msg, int64_t now_ms)
{
	Tm__ClaimFinishAck ack = TM__CLAIM_FINISH_ACK__INIT;
	claim_record_t *record;

	if (!group_is_ready(holder->options.group, msg->shard))
		return;
	record = claim_record_find(holder, msg->digest.data, now_ms);
	if (record == NULL)
		record = claim_record_add(
		    holder, msg->shard, msg->digest.data, msg->hash, now_ms);
	if (record == NULL)
		return;
	if (!record->finished) {
		record->hash = msg->hash;
		record->owner = claim_owner_read(msg->owner);
		record->finished = 1;
		claim_record_touch(holder, record, now_ms);
		if (msg->has_answer)
			claim_record_set_answer(holder, record, &msg->answer);
	}
	ack.shard = msg->shard;
	ack.incarnation = holder->options.incarnation;
	ack.sequence = msg->owner->sequence;
	holder->options.send(
	    holder->options.ctx, from, MSG_CLAIM_FINISH_ACK, &ack.base);
}

static void
claim_holder_release(
    claim_holder_t *holder, const Tm__ClaimRelease *msg, int64_t now_ms)
{
	claim_owner_t owner = claim_owner_read(msg->owner);
	claim_record_t *record =
	    claim_record_find(holder, msg->digest.data, now_ms);

	if (record != NULL && !record->finished &&
	    claim_owner_is_equal(&record->owner, &owner))
		claim_record_drop(holder, record);
}

/* State transfer */

static void
claim_record_write(Tm__ClaimRecord *msg, Tm__ClaimOwner *owner,
    const claim_record_t *record, int64_t now_ms)
{
	tm__claim_record__init(msg);
	tm__claim_owner__init(owner);
	msg->digest.data = (uint8_t *)record->digest;
	msg->digest.len = CLAIM_DIGEST_BYTES;
	msg->hash = record->hash;
	if (record->owner.node != NODE_ID_NONE) {
		owner->node = record->owner.node;
		owner->incarnation = record->owner.incarnation;
		owner->sequence = record->owner.sequence;
		msg->owner = owner;
	}
	msg->remaining_ms = (uint64_t)(record->expires_ms - now_ms);
	msg->finished = record->finished;
	msg->has_answer = record->has_answer;
	msg->answer.data = record->answer;
	msg->answer.len = record->answer_len;
}

#define CLAIM_PART_RECORDS	1024
#define CLAIM_RECORD_WIRE_BYTES 96

static size_t
claim_holder_write_part(void *ctx, uint32_t shard, uint64_t *cursor,
    uint8_t *out, size_t size, int64_t now_ms)
{
	static Tm__ClaimRecord records[CLAIM_PART_RECORDS];
	static Tm__ClaimOwner owners[CLAIM_PART_RECORDS];
	static Tm__ClaimRecord *list[CLAIM_PART_RECORDS];
	claim_holder_t *holder = ctx;
	claim_record_t *record = holder->shards[shard].records;
	Tm__ClaimPart part = TM__CLAIM_PART__INIT;
	size_t bytes = 0;

	while (record != NULL &&
	    (record->index <= *cursor || record->expires_ms <= now_ms))
		record = record->next;
	for (; record != NULL; record = record->next) {
		bytes += CLAIM_RECORD_WIRE_BYTES + record->answer_len;
		if (part.n_records == CLAIM_PART_RECORDS || bytes > size)
			break;
		list[part.n_records] = &records[part.n_records];
		claim_record_write(&records[part.n_records],
		    &owners[part.n_records], record, now_ms);
		part.n_records++;
		*cursor = record->index;
	}
	if (record == NULL)
		*cursor = UINT64_MAX;
	part.records = list;
	return (tm__claim_part__pack(&part, out));
}

/* Two owners: at most one of them runs, and this holder cannot tell which. */
static void
claim_record_contest(claim_record_t *record)
{
	memset(&record->owner, 0, sizeof(record->owner));
	record->hash = 0;
}

static int
claim_holder_merge_record(claim_holder_t *holder, uint32_t shard,
    const Tm__ClaimRecord *msg, int64_t now_ms)
{
	claim_owner_t owner = claim_owner_read(msg->owner);
	claim_record_t *record;

	if (msg->digest.len != CLAIM_DIGEST_BYTES)
		return (TM_EFORMAT);
	record = claim_record_find(holder, msg->digest.data, now_ms);
	if (record != NULL && record->finished)
		return (TM_OK);
	if (record == NULL) {
		record = claim_record_add(
		    holder, shard, msg->digest.data, msg->hash, now_ms);
		if (record == NULL)
			return (TM_ENOMEM);
		record->owner = owner;
	} else if (!msg->finished &&
	    !claim_owner_is_equal(&record->owner, &owner)) {
		claim_record_contest(record);
	}
	if (msg->finished) {
		record->hash = msg->hash;
		record->owner = owner;
		record->finished = 1;
		if (msg->has_answer)
			claim_record_set_answer(holder, record, &msg->answer);
	}
	return (TM_OK);
}

static int
claim_holder_merge_part(
    void *ctx, uint32_t shard, const uint8_t *data, size_t len, int64_t now_ms)
{
	claim_holder_t *holder = ctx;
	Tm__ClaimPart *part = tm__claim_part__unpack(NULL, len, data);
	int err = TM_OK;
	size_t i;

	if (part == NULL)
		return (TM_EFORMAT);
	for (i = 0; i < part->n_records && err == TM_OK; i++)
		err = claim_holder_merge_record(
		    holder, shard, part->records[i], now_ms);
	tm__claim_part__free_unpacked(part, NULL);
	return (err);
}

static void
claim_holder_drop_shard(void *ctx, uint32_t shard)
{
	claim_holder_t *holder = ctx;

	while (holder->shards[shard].records != NULL)
		claim_record_drop(holder, holder->shards[shard].records);
}

/* Interface */

int
claim_holder_create(claim_holder_t **out, const claim_holder_options_t *options)
{
	claim_holder_t *holder;
	group_state_ops_t ops = { .write_part = claim_holder_write_part,
		.merge_part = claim_holder_merge_part,
		.drop = claim_holder_drop_shard };
	int err;

	if (options->group == NULL || options->send == NULL)
		return (TM_EINVAL);
	holder = calloc(1, sizeof(*holder));
	if (holder == NULL)
		return (TM_ENOMEM);
	holder->options = *options;
	if (holder->options.records_max == 0)
		holder->options.records_max = CLAIM_RECORDS_MAX;
	ops.ctx = holder;
	err = group_add_state(options->group, &ops);
	if (err != TM_OK) {
		free(holder);
		return (err);
	}
	*out = holder;
	return (TM_OK);
}

void
claim_holder_destroy(claim_holder_t *holder)
{
	uint32_t i;

	if (holder == NULL)
		return;
	for (i = 0; i < GROUP_SHARDS_MAX; i++)
		claim_holder_drop_shard(holder, i);
	free(holder);
}

void
claim_holder_set_limit(claim_holder_t *holder, uint32_t records_max)
{
	holder->options.records_max = records_max;
}

void
claim_holder_tick(claim_holder_t *holder, int64_t now_ms)
{
	uint32_t i;

	if (holder->stats.records == 0)
		return;
	for (i = 0; i < GROUP_SHARDS_MAX; i++) {
		claim_shard_t *shard = &holder->shards[i];

		while (shard->records != NULL &&
		    shard->records->expires_ms <= now_ms)
			claim_record_drop(holder, shard->records);
	}
}

static int
claim_is_valid_key(
    uint32_t shard, ProtobufCBinaryData digest, const Tm__ClaimOwner *owner)
{
	return (shard < GROUP_SHARDS_MAX && digest.len == CLAIM_DIGEST_BYTES &&
	    owner != NULL && owner->node != NODE_ID_NONE);
}

static int
claim_holder_handle_ask(claim_holder_t *holder, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__ClaimAsk *msg = tm__claim_ask__unpack(NULL, len, payload);
	int err = TM_EFORMAT;

	if (msg == NULL)
		return (TM_EFORMAT);
	if (claim_is_valid_key(msg->shard, msg->digest, msg->owner)) {
		claim_holder_ask(holder, from, msg, now_ms);
		err = TM_OK;
	}
	tm__claim_ask__free_unpacked(msg, NULL);
	return (err);
}

static int
claim_holder_handle_finish(claim_holder_t *holder, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__ClaimFinish *msg = tm__claim_finish__unpack(NULL, len, payload);
	int err = TM_EFORMAT;

	if (msg == NULL)
		return (TM_EFORMAT);
	if (claim_is_valid_key(msg->shard, msg->digest, msg->owner)) {
		claim_holder_finish(holder, from, msg, now_ms);
		err = TM_OK;
	}
	tm__claim_finish__free_unpacked(msg, NULL);
	return (err);
}

static int
claim_holder_handle_release(
    claim_holder_t *holder, const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__ClaimRelease *msg = tm__claim_release__unpack(NULL, len, payload);
	int err = TM_EFORMAT;

	if (msg == NULL)
		return (TM_EFORMAT);
	if (claim_is_valid_key(msg->shard, msg->digest, msg->owner)) {
		claim_holder_release(holder, msg, now_ms);
		err = TM_OK;
	}
	tm__claim_release__free_unpacked(msg, NULL);
	return (err);
}

int
claim_holder_handle(claim_holder_t *holder, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	switch (type) {
	case MSG_CLAIM_ASK:
		return (claim_holder_handle_ask(
		    holder, from, payload, len, now_ms));
	case MSG_CLAIM_FINISH:
		return (claim_holder_handle_finish(
		    holder, from, payload, len, now_ms));
	case MSG_CLAIM_RELEASE:
		return (
		    claim_holder_handle_release(holder, payload, len, now_ms));
	default:
		return (TM_EFORMAT);
	}
}

const claim_holder_stats_t *
claim_holder_get_stats(const claim_holder_t *holder)
{
	return (&holder->stats);
}
