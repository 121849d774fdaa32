#include "hub/hub_feed_table.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/error.h"
#include "fleet/fleet_limit.h"

/* A table is packed once for the gates that join within this time: after a
 * change of leader all do. Times in its rows are late by as much at most. Smaller
 * whole tables are not worth it. */
#define TABLE_REUSE_MS	 50
#define TABLE_REUSE_ROWS 300
/* A compressed table is sent for this time, with its age and the changes since:
 * compressing 3,000 rows takes a leader with a seventh of a core some ms. */
#define ZIPPED_REUSE_MS 500
/* Smaller differences are not worth compressing. */
#define ZIPPED_MIN_BYTES 2000
/* If more buckets differ, the whole table is sent: it is packed anyway. */
#define REPLACED_MAX (FLEET_TABLE_BUCKETS / 2)

/* Buffers that the differences point to. */
typedef struct difference_buffers {
	Tm__Fleet__Target *targets;
	Tm__Fleet__Target **pointers;
	uint64_t *judged;
	uint32_t *verdicts;
	uint64_t *limited;
	uint32_t *limits;
	uint32_t replaced[FLEET_TABLE_BUCKETS];
	uint8_t is_replaced[FLEET_TABLE_BUCKETS];
	char *evacuated[FLEET_EVACUATIONS_MAX];
} difference_buffers_t;

void
hub_feed_table_reset(
    hub_feed_table_t *table, const hub_feed_options_t *options, uint64_t term)
{
	hub_feed_table_release(table);
	table->options = options;
	table->term = term;
}

void
hub_feed_table_release(hub_feed_table_t *table)
{
	packed_msg_release(&table->whole.msg);
	packed_msg_release(&table->differences.msg);
	free(table->zipped.zipped.data);
	*table = (hub_feed_table_t){ .term = 0 };
}

void
hub_feed_table_fill_target(const hub_feed_options_t *options,
    Tm__Fleet__Target *msg, const hub_target_t *target, int64_t now_ms)
{
	const hub_signal_key_t key = { target->key, target->as.born_ms };
	uint32_t cold_left_ms;

	hub_target_to_message(msg, &target->as);
	/* Gates have no use for it, and it hardly compresses. */
	msg->sequence = 0;
	msg->verdict = hub_outlier_get_verdict(options->outlier, target->key);
	if (options->signals == NULL)
		return;
	msg->limit = hub_signals_get_limit(options->signals, &key);
	msg->warmup_limit = hub_signals_get_warmup(
	    options->signals, &key, now_ms, &cold_left_ms);
	/* Gates must know it before they lose the leader. */
	if (msg->warmup_limit == FLEET_LIMIT_UNKNOWN &&
	    options->get_cold_value != NULL)
		msg->warmup_limit = options->get_cold_value(
		    options->cold_ctx, target->as.service);
	if (msg->warmup_limit != FLEET_LIMIT_UNKNOWN)
		msg->cold_left_ms = cold_left_ms;
	if (hub_signals_is_leaving(options->signals, &key) &&
	    msg->state == FLEET_TARGET_READY)
		msg->state = FLEET_TARGET_DRAINING;
}

void
hub_feed_table_fill_evacuated(const hub_feed_options_t *options,
    Tm__Fleet__Table *msg, char *names[FLEET_EVACUATIONS_MAX])
{
	msg->evacuated = names;
	msg->n_evacuated =
	    hub_evacuations_list(&options->state->evacuations, names);
}

static void
send_table(
    const hub_feed_table_t *table, node_id_t to, const ProtobufCMessage *msg)
{
	table->options->send(
	    table->options->send_ctx, to, MSG_FLEET_TABLE, msg);
}

/* Packs a table to be sent to more gates. */
static void
keep_packed(
    hub_feed_packed_t *packed, const Tm__Fleet__Table *msg, int64_t now_ms)
{
	if (packed_msg_set(&packed->msg, &msg->base) != TM_OK)
		return;
	packed->sequence = msg->sequence;
	packed->made_ms = now_ms;
}

/* @return 1 if a packed table may be sent */
static int
is_fresh(const hub_feed_packed_t *packed, uint64_t sequence, int64_t now_ms)
{
	return (packed->msg.bytes != NULL && packed->sequence == sequence &&
	    now_ms - packed->made_ms < TABLE_REUSE_MS);
}

/* A whole table and what it points to. */
typedef struct whole_table {
	Tm__Fleet__Table msg;
	Tm__Fleet__Target *rows;
	Tm__Fleet__Target **pointers;
	char *evacuated[FLEET_EVACUATIONS_MAX];
} whole_table_t;

static void
free_whole(whole_table_t *whole)
{
	free(whole->pointers);
	free(whole->rows);
}

/* @return 0 if memory is exhausted */
static int
make_whole(const hub_feed_table_t *table, uint64_t sequence, int64_t now_ms,
    whole_table_t *out)
{
	const hub_state_t *state = table->options->state;
	size_t count = HASH_COUNT(state->targets);
	Tm__Fleet__Table *msg = &out->msg;
	const hub_target_t *target;

	tm__fleet__table__init(msg);
	out->rows = calloc(count + 1, sizeof(*out->rows));
	out->pointers = calloc(count + 1, sizeof(Tm__Fleet__Target *));
	if (out->rows == NULL || out->pointers == NULL)
		return (0);
	hub_feed_table_fill_evacuated(table->options, msg, out->evacuated);
	msg->term = table->term;
	msg->sequence = sequence;
	msg->targets = out->pointers;
	for (target = state->targets; target != NULL;
	     target = target->hh.next) {
		if (target->as.state == FLEET_TARGET_DEREGISTERED)
			continue;
		hub_feed_table_fill_target(
		    table->options, &out->rows[msg->n_targets], target, now_ms);
		out->pointers[msg->n_targets] = &out->rows[msg->n_targets];
		msg->n_targets++;
	}
	return (1);
}

void
hub_feed_table_send_whole(
    hub_feed_table_t *table, node_id_t to, uint64_t sequence, int64_t now_ms)
{
	whole_table_t whole;

	if (is_fresh(&table->whole, sequence, now_ms)) {
		send_table(table, to, &table->whole.msg.base);
		return;
	}
	if (make_whole(table, sequence, now_ms, &whole)) {
		send_table(table, to, &whole.msg.base);
		if (whole.msg.n_targets >= TABLE_REUSE_ROWS)
			keep_packed(&table->whole, &whole.msg, now_ms);
	}
	free_whole(&whole);
}

static void
update_zipped(hub_feed_table_t *table, uint64_t sequence, int64_t now_ms)
{
	whole_table_t whole;

	if (table->zipped.zipped.data != NULL &&
	    now_ms - table->zipped_ms < ZIPPED_REUSE_MS)
		return;
	free(table->zipped.zipped.data);
	tm__fleet__table__init(&table->zipped);
	table->zipped_ms = now_ms;
	if (make_whole(table, sequence, now_ms, &whole))
		fleet_table_zip(&whole.msg, &table->zipped);
	free_whole(&whole);
}

uint64_t
hub_feed_table_send_zipped(
    hub_feed_table_t *table, node_id_t to, uint64_t sequence, int64_t now_ms)
{
	if (HASH_COUNT(table->options->state->targets) < TABLE_REUSE_ROWS)
		return (0);
	update_zipped(table, sequence, now_ms);
	if (table->zipped.zipped.data == NULL)
		return (0);
	table->zipped.age_ms = (uint32_t)(now_ms - table->zipped_ms);
	send_table(table, to, &table->zipped.base);
	return (table->zipped.sequence);
}

/* Computes the digests of all rows, unless they are known. */
static void
update_digests(hub_feed_table_t *table, uint64_t sequence, int64_t now_ms)
{
	const hub_target_t *target;
	Tm__Fleet__Target row;

	if (table->digests_sequence == sequence &&
	    now_ms - table->digests_ms < TABLE_REUSE_MS)
		return;
	table->digests = (fleet_table_digests_t){ .sums = { 0 } };
	table->digests_sequence = sequence;
	table->digests_ms = now_ms;
	for (target = table->options->state->targets; target != NULL;
	     target = target->hh.next) {
		if (target->as.state == FLEET_TARGET_DEREGISTERED)
			continue;
		hub_feed_table_fill_target(
		    table->options, &row, target, now_ms);
		table->digests.sums[fleet_table_get_bucket(target->key)] +=
		    fleet_table_digest_row(&row);
	}
}

/* Lists the buckets in which the table of a gate differs. @return 0 if it does not
 * say, or if there are too many */
static int
find_replaced(const hub_feed_table_t *table, const Tm__Fleet__Join *join,
    Tm__Fleet__Table *msg, difference_buffers_t *buffers)
{
	fleet_table_digests_t known;
	uint32_t i;

	msg->replaced = buffers->replaced;
	if (join->table_digest == msg->digest)
		return (1);
	if (join->n_table_buckets != FLEET_TABLE_BUCKETS)
		return (0);
	memcpy(known.sums, join->table_buckets, sizeof(known.sums));
	if (fleet_table_digest(&known) != join->table_digest)
		return (0);
	for (i = 0; i < FLEET_TABLE_BUCKETS; i++) {
		if (known.sums[i] == table->digests.sums[i])
			continue;
		buffers->is_replaced[i] = 1;
		buffers->replaced[msg->n_replaced++] = i;
	}
	return (msg->n_replaced <= REPLACED_MAX);
}

static int
alloc_buffers(difference_buffers_t *buffers, size_t count)
{
	buffers->targets = calloc(count + 1, sizeof(*buffers->targets));
	buffers->pointers = calloc(count + 1, sizeof(Tm__Fleet__Target *));
	buffers->judged = calloc(count + 1, sizeof(*buffers->judged));
	buffers->verdicts = calloc(count + 1, sizeof(*buffers->verdicts));
	buffers->limited = calloc(count + 1, sizeof(*buffers->limited));
	buffers->limits = calloc(count + 1, sizeof(*buffers->limits));
	return (buffers->targets != NULL && buffers->pointers != NULL &&
	    buffers->judged != NULL && buffers->verdicts != NULL &&
	    buffers->limited != NULL && buffers->limits != NULL);
}

static void
free_buffers(difference_buffers_t *buffers)
{
	free(buffers->targets);
	free(buffers->pointers);
	free(buffers->judged);
	free(buffers->verdicts);
	free(buffers->limited);
	free(buffers->limits);
}

/* Adds the whole row of a target that differs or is cold, as its time left is not
 * part of the digest; of any other only what digests leave out. */
static void
add_difference(const hub_feed_table_t *table, Tm__Fleet__Table *msg,
    difference_buffers_t *buffers, const hub_target_t *target)
{
	Tm__Fleet__Target *row = &buffers->targets[msg->n_targets];

	hub_feed_table_fill_target(
	    table->options, row, target, table->digests_ms);
	if (buffers->is_replaced[fleet_table_get_bucket(target->key)] ||
	    (row->warmup_limit > FLEET_LIMIT_NONE && row->cold_left_ms > 0)) {
		buffers->pointers[msg->n_targets++] = row;
		return;
	}
	if (row->verdict != FLEET_VERDICT_HEALTHY) {
		buffers->judged[msg->n_judged++] = target->key;
		buffers->verdicts[msg->n_verdicts++] = row->verdict;
	}
	if (row->limit != FLEET_LIMIT_UNKNOWN) {
		buffers->limited[msg->n_limited++] = target->key;
		buffers->limits[msg->n_limits++] = row->limit;
	}
}

/* Rows are as of the digests, which are part of the message. */
static void
fill_differences(const hub_feed_table_t *table, Tm__Fleet__Table *msg,
    difference_buffers_t *buffers)
{
	const hub_target_t *target;

	msg->term = table->term;
	msg->sequence = table->digests_sequence;
	/* Gates that do not know base_digest ignore such a delta. */
	msg->since = msg->sequence;
	msg->targets = buffers->pointers;
	msg->judged = buffers->judged;
	msg->verdicts = buffers->verdicts;
	msg->limited = buffers->limited;
	msg->limits = buffers->limits;
	hub_feed_table_fill_evacuated(table->options, msg, buffers->evacuated);
	for (target = table->options->state->targets; target != NULL;
	     target = target->hh.next) {
		if (target->as.state != FLEET_TARGET_DEREGISTERED)
			add_difference(table, msg, buffers, target);
	}
}

/* Packs differences, compressed if the gate reads that. */
static void
keep_differences(hub_feed_table_t *table, const Tm__Fleet__Join *join,
    const Tm__Fleet__Table *msg)
{
	Tm__Fleet__Table zipped;

	table->differences_base = join->table_digest;
	table->differences_zipped = join->reads_zipped;
	if (join->reads_zipped &&
	    tm__fleet__table__get_packed_size(msg) >= ZIPPED_MIN_BYTES &&
	    fleet_table_zip(msg, &zipped) == TM_OK) {
		keep_packed(&table->differences, &zipped, table->digests_ms);
		free(zipped.zipped.data);
	} else {
		keep_packed(&table->differences, msg, table->digests_ms);
	}
}

/* @return 1 if the differences are packed */
static int
make_differences(hub_feed_table_t *table, const Tm__Fleet__Join *join)
{
	Tm__Fleet__Table msg = TM__FLEET__TABLE__INIT;
	difference_buffers_t buffers = { .targets = NULL };
	size_t count = HASH_COUNT(table->options->state->targets);
	int is_made = 0;

	packed_msg_release(&table->differences.msg);
	msg.base_digest = join->table_digest;
	msg.digest = fleet_table_digest(&table->digests);
	if (find_replaced(table, join, &msg, &buffers) &&
	    alloc_buffers(&buffers, count)) {
		fill_differences(table, &msg, &buffers);
		keep_differences(table, join, &msg);
		is_made = table->differences.msg.bytes != NULL;
	}
	free_buffers(&buffers);
	return (is_made);
}

int
hub_feed_table_send_differences(hub_feed_table_t *table, node_id_t to,
    const Tm__Fleet__Join *join, uint64_t sequence, int64_t now_ms)
{
	if (join->table_digest == 0)
		return (0);
	update_digests(table, sequence, now_ms);
	if ((!is_fresh(&table->differences, sequence, now_ms) ||
		table->differences_base != join->table_digest ||
		table->differences_zipped != join->reads_zipped) &&
	    !make_differences(table, join))
		return (0);
	send_table(table, to, &table->differences.msg.base);
	return (1);
}
