#include "hub/hub_feed.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "hub/hub_feed_lease.h"
#include "hub/hub_feed_table.h"

typedef struct feed_gate {
	node_id_t id;
	int64_t last_seen_ms;
	uint64_t config_version; /* as the gate reports it */
	uint64_t sent_version;
	int64_t document_sent_ms;
	uint64_t document_connection; /* on which it was sent; 0: not known */
	uint64_t table_sequence; /* of the table that it has, or was sent */
	int64_t table_sent_ms; /* first table of this term; 0: never */
	uint64_t table_connection; /* on which it was sent; 0: not known */
	uint64_t table_digest; /* that the gate had told then; 0: none */
	int has_reported; /* its usage before this term */
	int is_restarted; /* it had run for less than a window then */
	int is_stopping;
	int64_t serve_alone_ms; /* it may consume after its last renewal */
	UT_hash_handle hh;
} feed_gate_t;

/* A target with the number of its last change in this term. */
typedef struct feed_row {
	uint64_t key;
	uint64_t sequence;
	uint64_t target_sequence; /* last change of more than the verdict */
	UT_hash_handle hh;
} feed_row_t;

struct hub_feed {
	hub_feed_options_t options;
	feed_gate_t *gates;
	feed_row_t *rows;
	uint64_t term;
	uint64_t sequence;
	uint64_t flushed;
	int64_t leading_since_ms; /* leading in this term */
	uint32_t previous_gates; /* gates that the previous leader knew */
	int has_new_document;
	int is_urgent; /* one of the pending changes */
	int64_t flushed_ms;
	hub_feed_table_t table; /* for gates that join */
};

hub_feed_t *
hub_feed_create(const hub_feed_options_t *options)
{
	hub_feed_t *feed = calloc(1, sizeof(*feed));

	if (feed != NULL)
		feed->options = *options;
	return (feed);
}

static void
remove_all(hub_feed_t *feed)
{
	feed_gate_t *gate;
	feed_gate_t *next_gate;
	feed_row_t *row;
	feed_row_t *next_row;

	HASH_ITER(hh, feed->gates, gate, next_gate) {
		HASH_DELETE(hh, feed->gates, gate);
		free(gate);
	}
	HASH_ITER(hh, feed->rows, row, next_row) {
		HASH_DELETE(hh, feed->rows, row);
		free(row);
	}
}

void
hub_feed_destroy(hub_feed_t *feed)
{
	if (feed == NULL)
		return;
	remove_all(feed);
	hub_feed_table_release(&feed->table);
	free(feed);
}

void
hub_feed_reset(hub_feed_t *feed, uint64_t term, int64_t now_ms)
{
	remove_all(feed);
	hub_feed_table_reset(&feed->table, &feed->options, term);
	feed->term = term;
	feed->leading_since_ms = now_ms;
	feed->previous_gates = 0;
	/* Sequence 0 stands for a gate without a table of this term. */
	feed->sequence = 1;
	feed->flushed = 1;
	feed->has_new_document = 0;
}

static feed_row_t *
mark_changed(hub_feed_t *feed, uint64_t key)
{
	feed_row_t *row;

	HASH_FIND(hh, feed->rows, &key, sizeof(key), row);
	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		if (row == NULL)
			return (NULL);
		row->key = key;
		HASH_ADD(hh, feed->rows, key, sizeof(key), row);
	}
	row->sequence = ++feed->sequence;
	return (row);
}

void
hub_feed_mark_target_changed(hub_feed_t *feed, uint64_t key)
{
	feed_row_t *row = mark_changed(feed, key);

	if (row != NULL)
		row->target_sequence = row->sequence;
	feed->is_urgent = 1;
}

void
hub_feed_mark_verdict_changed(
    hub_feed_t *feed, uint64_t key, fleet_verdict_t verdict)
{
	mark_changed(feed, key);
	if (verdict == FLEET_VERDICT_HEALTHY ||
	    verdict == FLEET_VERDICT_EJECTED)
		feed->is_urgent = 1;
}

void
hub_feed_mark_evacuations_changed(hub_feed_t *feed)
{
	feed->sequence++;
	feed->is_urgent = 1;
}

void
hub_feed_mark_document_changed(hub_feed_t *feed)
{
	feed->has_new_document = 1;
}

/* Buffers that a table of changes points to. */
typedef struct feed_changes {
	Tm__Fleet__Target *targets;
	Tm__Fleet__Target **pointers;
	uint64_t *removed;
	uint64_t *judged;
	uint32_t *verdicts;
	char *evacuated[FLEET_EVACUATIONS_MAX];
} feed_changes_t;

static void
free_changes(feed_changes_t *changes)
{
	free(changes->targets);
	free(changes->pointers);
	free(changes->removed);
	free(changes->judged);
	free(changes->verdicts);
}

static int
alloc_changes(feed_changes_t *changes, size_t count)
{
	changes->targets = calloc(count + 1, sizeof(*changes->targets));
	changes->pointers = calloc(count + 1, sizeof(Tm__Fleet__Target *));
	changes->removed = calloc(count + 1, sizeof(*changes->removed));
	changes->judged = calloc(count + 1, sizeof(*changes->judged));
	changes->verdicts = calloc(count + 1, sizeof(*changes->verdicts));
	return (changes->targets != NULL && changes->pointers != NULL &&
	    changes->removed != NULL && changes->judged != NULL &&
	    changes->verdicts != NULL);
}

static void
add_change(const hub_feed_t *feed, Tm__Fleet__Table *table,
    feed_changes_t *changes, const feed_row_t *row, int64_t now_ms)
{
	const hub_target_t *target =
	    hub_state_find_target(feed->options.state, row->key);
	Tm__Fleet__Target *msg;

	if (target == NULL || target->as.state == FLEET_TARGET_DEREGISTERED) {
		changes->removed[table->n_removed++] = row->key;
	} else if (row->target_sequence <= table->since) {
		changes->judged[table->n_judged++] = row->key;
		changes->verdicts[table->n_verdicts++] =
		    hub_outlier_get_verdict(feed->options.outlier, row->key);
	} else {
		msg = &changes->targets[table->n_targets];
		hub_feed_table_fill_target(&feed->options, msg, target, now_ms);
		changes->pointers[table->n_targets++] = msg;
	}
}

/* Fills a table with the rows that changed after a sequence. */
static void
collect_changes(const hub_feed_t *feed, Tm__Fleet__Table *table, uint64_t base,
    feed_changes_t *changes, int64_t now_ms)
{
	const feed_row_t *row;

	table->term = feed->term;
	table->since = base;
	table->sequence = feed->sequence;
	table->targets = changes->pointers;
	table->removed = changes->removed;
	table->judged = changes->judged;
	table->verdicts = changes->verdicts;
	hub_feed_table_fill_evacuated(
	    &feed->options, table, changes->evacuated);
	for (row = feed->rows; row != NULL; row = row->hh.next) {
		if (row->sequence > base)
			add_change(feed, table, changes, row, now_ms);
	}
}

/* Sends what changed after base to the gates that have base, or to only one. */
static void
send_changes(hub_feed_t *feed, feed_gate_t *only, uint64_t base, int64_t now_ms)
{
	Tm__Fleet__Table table = TM__FLEET__TABLE__INIT;
	feed_changes_t changes;
	feed_gate_t *gate;
	feed_gate_t *next;

	if (alloc_changes(&changes, HASH_COUNT(feed->rows))) {
		collect_changes(feed, &table, base, &changes, now_ms);
		HASH_ITER(hh, feed->gates, gate, next) {
			if ((only != NULL && gate != only) ||
			    gate->table_sequence != base ||
			    now_ms - gate->last_seen_ms > HUB_GATE_TIMEOUT_MS)
				continue;
			gate->table_sequence = feed->sequence;
			feed->options.send(feed->options.send_ctx, gate->id,
			    MSG_FLEET_TABLE, &table.base);
		}
	}
	free_changes(&changes);
}

static uint64_t
get_connection(const hub_feed_t *feed, node_id_t gate)
{
	if (feed->options.get_connection == NULL)
		return (0);
	return (
	    feed->options.get_connection(feed->options.connection_ctx, gate));
}

/*
 * @param connection  on which it was sent; 0: not known
 * @return            1 if a document or a whole table that the gate does not
 *                    report may still be on its way
 */
static int
is_under_way(const hub_feed_t *feed, const feed_gate_t *gate, int64_t sent_ms,
    uint64_t connection, int64_t now_ms)
{
	if (connection == 0)
		return (now_ms - sent_ms < HUB_RESEND_MS);
	return (get_connection(feed, gate->id) == connection &&
	    now_ms - sent_ms < HUB_UNDER_WAY_MAX_MS);
}

static void
send_document(hub_feed_t *feed, feed_gate_t *gate, int64_t now_ms)
{
	const hub_document_t *document = &feed->options.state->document;
	Tm__Fleet__Document msg;

	hub_document_to_message(&msg, document);
	gate->sent_version = document->version;
	gate->document_sent_ms = now_ms;
	gate->document_connection = get_connection(feed, gate->id);
	feed->options.send(
	    feed->options.send_ctx, gate->id, MSG_FLEET_DOCUMENT, &msg.base);
}

static feed_gate_t *
get_gate(hub_feed_t *feed, node_id_t id)
{
	feed_gate_t *gate;

	HASH_FIND(hh, feed->gates, &id, sizeof(id), gate);
	if (gate != NULL)
		return (gate);
	gate = calloc(1, sizeof(*gate));
	if (gate == NULL)
		return (NULL);
	gate->id = id;
	HASH_ADD(hh, feed->gates, id, sizeof(gate->id), gate);
	return (gate);
}

/* @return number of gates that have not expired, including those that this new
 * leader has not heard from yet */
static uint32_t
get_fleet_size(const hub_feed_t *feed, int64_t now_ms)
{
	uint32_t known = HASH_COUNT(feed->gates);

	if (feed->previous_gates > known &&
	    now_ms - feed->leading_since_ms < HUB_GATE_EXPIRY_MS)
		return (feed->previous_gates);
	return (known);
}

static void
send_lease(hub_feed_t *feed, const feed_gate_t *gate,
    const Tm__Fleet__Join *join, const hub_feed_lease_t *lease, int64_t now_ms)
{
	Tm__Fleet__Lease msg = TM__FLEET__LEASE__INIT;
	hub_feed_lease_parts_t parts;

	msg.sent_ms = join->sent_ms;
	msg.is_leader = 1;
	msg.leader = (char *)lease->leader;
	msg.hubs = (char **)lease->hubs;
	msg.n_hubs = lease->hub_count;
	msg.term = lease->term;
	msg.config_version = feed->options.state->document.version;
	msg.gates = get_fleet_size(feed, now_ms);
	hub_feed_lease_fill(lease, &parts, &msg, now_ms);
	feed->options.send(
	    feed->options.send_ctx, gate->id, MSG_FLEET_LEASE, &msg.base);
}

static void
send_document_if_due(hub_feed_t *feed, feed_gate_t *gate, int64_t now_ms)
{
	const hub_state_t *state = feed->options.state;

	if (!state->has_document ||
	    gate->config_version >= state->document.version)
		return;
	if (gate->sent_version == state->document.version &&
	    is_under_way(feed, gate, gate->document_sent_ms,
		gate->document_connection, now_ms))
		return;
	send_document(feed, gate, now_ms);
}

static void
flush_changes(hub_feed_t *feed, int64_t now_ms)
{
	if (feed->sequence == feed->flushed)
		return;
	send_changes(feed, NULL, feed->flushed, now_ms);
	feed->flushed = feed->sequence;
	feed->flushed_ms = now_ms;
	feed->is_urgent = 0;
}

/* @return 1 if the first table of this term is on its way to a gate. One that says
 * something else of its table than before ignores it. */
static int
is_table_pending(const hub_feed_t *feed, const feed_gate_t *gate,
    const Tm__Fleet__Join *join, int64_t now_ms)
{
	return (gate->table_sent_ms != 0 &&
	    gate->table_digest == join->table_digest &&
	    is_under_way(feed, gate, gate->table_sent_ms,
		gate->table_connection, now_ms) &&
	    (int64_t)join->up_ms >= now_ms - gate->table_sent_ms);
}

/* Sends a table to a gate that has none of this term. */
static void
send_first_table(hub_feed_t *feed, feed_gate_t *gate,
    const Tm__Fleet__Join *join, int64_t now_ms)
{
	gate->table_sequence = feed->sequence;
	gate->table_sent_ms = now_ms;
	gate->table_connection = get_connection(feed, gate->id);
	gate->table_digest = join->table_digest;
	if (hub_feed_table_send_differences(
		&feed->table, gate->id, join, feed->sequence, now_ms))
		return;
	if (join->reads_zipped)
		gate->table_sequence = hub_feed_table_send_zipped(
		    &feed->table, gate->id, feed->sequence, now_ms);
	if (!join->reads_zipped || gate->table_sequence == 0) {
		gate->table_sequence = feed->sequence;
		hub_feed_table_send_whole(
		    &feed->table, gate->id, feed->sequence, now_ms);
	}
	if (gate->table_sequence < feed->sequence)
		send_changes(feed, gate, gate->table_sequence, now_ms);
}

/* Brings a gate's table up to date. */
static void
send_table_if_due(hub_feed_t *feed, feed_gate_t *gate,
    const Tm__Fleet__Join *join, int64_t now_ms)
{
	uint64_t has =
	    join->table_term == feed->term ? join->table_sequence : 0;

	/* Pending changes are flushed first: a gate gets changes only on top
	 * of a table that all gates have. */
	if (has != feed->flushed)
		flush_changes(feed, now_ms);
	if (has == 0 && is_table_pending(feed, gate, join, now_ms))
		return;
	if (has == 0) {
		send_first_table(feed, gate, join, now_ms);
		return;
	}
	gate->table_sequence = has;
	if (has < feed->flushed)
		send_changes(feed, gate, has, now_ms);
}

void
hub_feed_renew_lease(hub_feed_t *feed, node_id_t id,
    const Tm__Fleet__Join *join, const hub_feed_lease_t *lease, int64_t now_ms)
{
	feed_gate_t *gate = get_gate(feed, id);

	if (gate == NULL)
		return;
	gate->last_seen_ms = now_ms;
	gate->config_version = join->config_version;
	gate->is_stopping = join->is_stopping;
	gate->serve_alone_ms = join->alone_ms;
	/* The message carries this, as a gate whose record was removed does not
	 * report its usage again. */
	gate->has_reported = join->told_term == feed->term;
	if (join->usage_part_ms != 0)
		gate->is_restarted =
		    join->up_ms < (uint64_t)feed->options.window_ms;
	if (join->gates > feed->previous_gates)
		feed->previous_gates = join->gates;
	/* The lease goes last: it names the version of the document, and the
	 * renewal that answers it reports the table. */
	send_document_if_due(feed, gate, now_ms);
	send_table_if_due(feed, gate, join, now_ms);
	send_lease(feed, gate, join, lease, now_ms);
}

void
hub_feed_redirect(const hub_feed_t *feed, node_id_t id,
    const Tm__Fleet__Join *join, const hub_feed_lease_t *lease)
{
	const hub_state_t *state = feed->options.state;
	Tm__Fleet__Lease msg = TM__FLEET__LEASE__INIT;
	Tm__Fleet__Document document;

	/* Without a table, which only the leader has, a gate that starts has no
	 * use for a document. */
	if (state->has_document && join->config_version > 0 &&
	    join->config_version < state->document.version) {
		hub_document_to_message(&document, &state->document);
		feed->options.send(feed->options.send_ctx, id,
		    MSG_FLEET_DOCUMENT, &document.base);
	}
	msg.sent_ms = join->sent_ms;
	msg.leader = (char *)lease->leader;
	msg.hubs = (char **)lease->hubs;
	msg.n_hubs = lease->hub_count;
	feed->options.send(
	    feed->options.send_ctx, id, MSG_FLEET_LEASE, &msg.base);
}

static void
flush_document(hub_feed_t *feed, int64_t now_ms)
{
	feed_gate_t *gate;
	feed_gate_t *next;

	if (!feed->has_new_document)
		return;
	feed->has_new_document = 0;
	HASH_ITER(hh, feed->gates, gate, next) {
		if (now_ms - gate->last_seen_ms <= HUB_GATE_TIMEOUT_MS)
			send_document_if_due(feed, gate, now_ms);
	}
}

void
hub_feed_flush(hub_feed_t *feed, int64_t now_ms)
{
	flush_document(feed, now_ms);
	if (feed->is_urgent || now_ms - feed->flushed_ms >= HUB_FLUSH_MS)
		flush_changes(feed, now_ms);
}

void
hub_feed_broadcast(hub_feed_t *feed, uint16_t type, const ProtobufCMessage *msg,
    int64_t now_ms)
{
	feed_gate_t *gate;
	feed_gate_t *next;

	HASH_ITER(hh, feed->gates, gate, next) {
		if (now_ms - gate->last_seen_ms <= HUB_GATE_TIMEOUT_MS)
			feed->options.send(
			    feed->options.send_ctx, gate->id, type, msg);
	}
}

void
hub_feed_tick(hub_feed_t *feed, int64_t now_ms)
{
	feed_gate_t *gate;
	feed_gate_t *next;

	HASH_ITER(hh, feed->gates, gate, next) {
		if (now_ms - gate->last_seen_ms < HUB_GATE_EXPIRY_MS)
			continue;
		HASH_DELETE(hh, feed->gates, gate);
		free(gate);
	}
}

uint64_t
hub_feed_get_sequence(const hub_feed_t *feed)
{
	return (feed->sequence);
}

uint32_t
hub_feed_count_gates(const hub_feed_t *feed, int64_t now_ms)
{
	const feed_gate_t *gate;
	uint32_t count = 0;

	for (gate = feed->gates; gate != NULL; gate = gate->hh.next)
		count += now_ms - gate->last_seen_ms <= HUB_GATE_TIMEOUT_MS;
	return (count);
}

/*
 * @return what an overdue gate may have consumed in the window that ends now,
 *         as a fraction of its even share: 1 until its first usage without the
 *         leader leaves the window, 0 once the last has left it
 */
static double
get_overdue_share(
    const hub_feed_t *feed, const feed_gate_t *gate, int64_t now_ms)
{
	int64_t unseen_ms = now_ms - gate->last_seen_ms;
	int64_t window_ms = feed->options.window_ms;
	int64_t end_ms = gate->serve_alone_ms + window_ms;
	int64_t full_until_ms =
	    gate->serve_alone_ms > window_ms ? gate->serve_alone_ms : window_ms;

	if (gate->is_stopping || unseen_ms <= HUB_GATE_OVERDUE_MS ||
	    unseen_ms >= end_ms)
		return (0);
	if (unseen_ms <= full_until_ms)
		return (1);
	return (
	    (double)(end_ms - unseen_ms) / (double)(end_ms - full_until_ms));
}

hub_gate_counts_t
hub_feed_get_gate_counts(const hub_feed_t *feed, int64_t now_ms)
{
	hub_gate_counts_t counts = { .known = get_fleet_size(feed, now_ms) };
	const feed_gate_t *gate;

	for (gate = feed->gates; gate != NULL; gate = gate->hh.next) {
		if (!gate->has_reported)
			counts.unreported++;
		else
			counts.overdue += get_overdue_share(feed, gate, now_ms);
		counts.restarted += gate->is_restarted;
	}
	/* Gates that this leader has not heard from yet. */
	counts.unreported += counts.known - HASH_COUNT(feed->gates);
	return (counts);
}
