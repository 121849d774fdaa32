#include "hub/hub_relay.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/error.h"
#include "fleet/fleet_config.h"
#include "hub/hub_announce.h"
#include "hub/hub_state.h"

/* Most targets and passed announcements of one batch; the rest follows with the
 * next. */
#define BATCH_MAX 1024

/* A target as the leader has confirmed it: ready and warm. */
typedef struct relay_target {
	uint64_t key;
	uint64_t born_ms;
	uint64_t sequence; /* highest that was acknowledged here */
	uint64_t service;
	uint32_t ip;
	uint16_t port;
	uint32_t slots;
	int is_untold; /* announced itself since the last batch */
	int64_t told_ms; /* batch with it that is not answered; 0: none */
	int64_t announced_ms;
	int64_t answered_ms; /* last announcement that was answered here */
	UT_hash_handle hh;
} relay_target_t;

typedef struct relay_pass {
	uint32_t id;
	dialect_announcement_t as;
	int is_leave;
	int is_sent;
	int64_t passed_ms;
	hub_relay_done_cb done;
	void *ctx;
	struct relay_pass *prev;
	struct relay_pass *next;
} relay_pass_t;

struct hub_relay {
	hub_relay_options_t options;
	node_id_t leader;
	uint64_t term; /* of its newest answer */
	uint64_t leader_ms; /* its clock in that */
	uint64_t revision;
	int64_t contact_ms; /* sending of the newest answered batch; 0: none */
	int64_t batch_ms; /* last batch */
	int64_t ticked_ms;
	int64_t resumed_ms; /* after it was frozen; 0: never */
	uint32_t target_count;
	uint32_t last_id;
	relay_target_t *targets;
	relay_pass_t *passes;
	int has_unsent;
	hub_relay_stats_t stats;
};

hub_relay_t *
hub_relay_create(const hub_relay_options_t *options)
{
	hub_relay_t *relay = calloc(1, sizeof(*relay));

	if (relay == NULL)
		return (NULL);
	relay->options = *options;
	relay->last_id = options->first_id;
	return (relay);
}

static int
is_off(const hub_relay_t *relay, uint32_t mechanism)
{
	return ((relay->options.test_switches & mechanism) != 0);
}

static void
forget_target(hub_relay_t *relay, uint64_t key)
{
	relay_target_t *target;

	HASH_FIND(hh, relay->targets, &key, sizeof(key), target);
	if (target == NULL)
		return;
	HASH_DELETE(hh, relay->targets, target);
	free(target);
}

static void
forget_targets(hub_relay_t *relay)
{
	relay_target_t *target;
	relay_target_t *next;

	HASH_ITER(hh, relay->targets, target, next) {
		HASH_DELETE(hh, relay->targets, target);
		free(target);
	}
}

void
hub_relay_destroy(hub_relay_t *relay)
{
	relay_pass_t *pass;
	relay_pass_t *next;

	if (relay == NULL)
		return;
	DL_FOREACH_SAFE(relay->passes, pass, next) {
		DL_DELETE(relay->passes, pass);
		free(pass);
	}
	forget_targets(relay);
	free(relay);
}

static void
finish_pass(hub_relay_t *relay, relay_pass_t *pass, int err)
{
	DL_DELETE(relay->passes, pass);
	if (err != TM_OK)
		relay->stats.unanswered++;
	pass->done(pass->ctx, err);
	free(pass);
}

void
hub_relay_set_leader(hub_relay_t *relay, node_id_t leader, int64_t now_ms)
{
	relay_pass_t *pass;
	relay_pass_t *next;

	if (relay->leader == leader)
		return;
	relay->leader = leader;
	relay->contact_ms = 0;
	relay->leader_ms = 0;
	relay->batch_ms = now_ms - HUB_RELAY_IDLE_BATCH_MS;
	forget_targets(relay);
	/* What waits for contact was told to no leader. */
	DL_FOREACH_SAFE(relay->passes, pass, next) {
		if (pass->is_sent || is_off(relay, HUB_RELAY_TEST_NO_WAITING))
			finish_pass(relay, pass, TM_ENOTLEADER);
	}
}

/* Notices that this hub was frozen. */
static void
check_time(hub_relay_t *relay, int64_t now_ms)
{
	if (relay->ticked_ms != 0 &&
	    now_ms - relay->ticked_ms > HUB_RELAY_FROZEN_MS &&
	    !is_off(relay, HUB_RELAY_TEST_NO_SETTLING))
		relay->resumed_ms = now_ms;
	relay->ticked_ms = now_ms;
}

static int
is_settling(const hub_relay_t *relay, int64_t now_ms)
{
	return (relay->resumed_ms != 0 &&
	    now_ms - relay->resumed_ms < HUB_RELAY_SETTLE_MS);
}

int
hub_relay_is_in_contact(hub_relay_t *relay, int64_t now_ms)
{
	check_time(relay, now_ms);
	if (relay->leader == NODE_ID_NONE || relay->contact_ms == 0 ||
	    is_settling(relay, now_ms))
		return (0);
	return (now_ms - relay->contact_ms <= HUB_RELAY_LEASE_MS ||
	    is_off(relay, HUB_RELAY_TEST_NO_LEASE));
}

/* Targets of a fleet that is known to be small follow a redirect to the leader.
 * What is read after a pause of this hub may be old. */
static int
may_wait(const hub_relay_t *relay, int64_t now_ms)
{
	return (!is_settling(relay, now_ms) &&
	    (relay->target_count == 0 ||
		relay->target_count >= HUB_SPREAD_MIN) &&
	    !is_off(relay, HUB_RELAY_TEST_NO_WAITING));
}

/* @return 1 if an announcement repeats what the leader has confirmed */
static int
is_repeated(const relay_target_t *known, const dialect_announcement_t *as)
{
	return (as->state == FLEET_TARGET_READY && as->cold_left_ms == 0 &&
	    known->born_ms == as->born_ms && known->ip == as->ip &&
	    known->port == as->port && known->slots == as->slots &&
	    known->service == fleet_name_hash(as->service));
}

/* @return 1 if a later announcement of the target was acknowledged here. Which of
 * two services has the id is for the leader to decide, by its document. */
static int
is_outdated(const relay_target_t *known, const dialect_announcement_t *as)
{
	if (known->service != fleet_name_hash(as->service))
		return (0);
	return (as->born_ms < known->born_ms ||
	    (as->born_ms == known->born_ms && as->born_ms != 0 &&
		as->sequence < known->sequence));
}

/* @return 1 if it may be of another start: without a start time, sequences begin
 * anew in the same incarnation */
static int
may_be_restarted(const relay_target_t *known, const dialect_announcement_t *as)
{
	return (as->born_ms == 0 && as->sequence < known->sequence);
}

hub_relay_decision_t
hub_relay_decide(
    hub_relay_t *relay, const dialect_announcement_t *as, int64_t now_ms)
{
	uint64_t key = fleet_name_hash(as->id);
	relay_target_t *known;

	if (!hub_relay_is_in_contact(relay, now_ms)) {
		if (may_wait(relay, now_ms))
			return (HUB_RELAY_PASS);
		relay->stats.refused++;
		return (HUB_RELAY_REFUSE);
	}
	if (is_off(relay, HUB_RELAY_TEST_PASS_NONE))
		return (HUB_RELAY_ANSWER);
	HASH_FIND(hh, relay->targets, &key, sizeof(key), known);
	if (known == NULL)
		return (HUB_RELAY_PASS);
	if (is_outdated(known, as)) {
		relay->stats.answered++;
		return (HUB_RELAY_ANSWER);
	}
	if (may_be_restarted(known, as) || !is_repeated(known, as))
		return (HUB_RELAY_PASS);
	known->sequence = as->sequence;
	known->announced_ms = now_ms;
	known->answered_ms = now_ms;
	known->is_untold = 1;
	relay->stats.answered++;
	return (HUB_RELAY_ANSWER);
}

int
hub_relay_pass(hub_relay_t *relay, const dialect_announcement_t *as,
    int is_leave, hub_relay_done_cb done, void *ctx, int64_t now_ms)
{
	relay_pass_t *pass;

	if (!hub_relay_is_in_contact(relay, now_ms) &&
	    !may_wait(relay, now_ms)) {
		relay->stats.refused++;
		return (TM_EUNAVAIL);
	}
	pass = calloc(1, sizeof(*pass));
	if (pass == NULL)
		return (TM_ENOMEM);
	pass->id = ++relay->last_id;
	pass->as = *as;
	pass->is_leave = is_leave;
	pass->passed_ms = now_ms;
	pass->done = done;
	pass->ctx = ctx;
	DL_APPEND(relay->passes, pass);
	relay->has_unsent = 1;
	relay->stats.passed++;
	return (TM_OK);
}

/* Buffers that a batch points to. */
typedef struct relay_batch {
	Tm__Fleet__Announced announced[BATCH_MAX];
	Tm__Fleet__Announced *announced_pointers[BATCH_MAX];
	Tm__Fleet__Passed passed[BATCH_MAX];
	Tm__Fleet__Target targets[BATCH_MAX];
	Tm__Fleet__Passed *passed_pointers[BATCH_MAX];
} relay_batch_t;

/* @return 1 if the leader is to be told of a target, again if that was lost */
static int
is_to_be_told(const relay_target_t *target, int64_t now_ms)
{
	return (target->is_untold ||
	    (target->told_ms != 0 &&
		now_ms - target->told_ms >= HUB_RELAY_BATCH_MS));
}

static void
fill_announced(hub_relay_t *relay, Tm__Fleet__Relay *msg, relay_batch_t *batch,
    int64_t now_ms)
{
	relay_target_t *target;
	Tm__Fleet__Announced *item;

	msg->announced = batch->announced_pointers;
	for (target = relay->targets;
	     target != NULL && msg->n_announced < BATCH_MAX;
	     target = target->hh.next) {
		if (!is_to_be_told(target, now_ms))
			continue;
		target->is_untold = 0;
		target->told_ms = now_ms;
		item = &batch->announced[msg->n_announced];
		tm__fleet__announced__init(item);
		item->target = target->key;
		item->born_ms = target->born_ms;
		item->sequence = target->sequence;
		item->age_ms = (uint32_t)(now_ms - target->answered_ms);
		msg->announced[msg->n_announced++] = item;
	}
}

static void
fill_passed(hub_relay_t *relay, Tm__Fleet__Relay *msg, relay_batch_t *batch,
    int64_t now_ms)
{
	relay_pass_t *pass;
	Tm__Fleet__Passed *item;

	msg->passed = batch->passed_pointers;
	relay->has_unsent = 0;
	DL_FOREACH(relay->passes, pass) {
		if (pass->is_sent)
			continue;
		if (msg->n_passed == BATCH_MAX) {
			relay->has_unsent = 1;
			return;
		}
		pass->is_sent = 1;
		item = &batch->passed[msg->n_passed];
		tm__fleet__passed__init(item);
		hub_target_to_message(
		    &batch->targets[msg->n_passed], &pass->as);
		item->id = pass->id;
		item->target = &batch->targets[msg->n_passed];
		item->is_leave = pass->is_leave;
		item->age_ms = (uint32_t)(now_ms - pass->passed_ms);
		msg->passed[msg->n_passed++] = item;
	}
}

static void
send_batch(hub_relay_t *relay, int64_t now_ms)
{
	Tm__Fleet__Relay msg = TM__FLEET__RELAY__INIT;
	relay_batch_t *batch = malloc(sizeof(*batch));

	if (batch == NULL)
		return;
	msg.sent_ms = (uint64_t)now_ms;
	msg.leader_ms = relay->leader_ms;
	msg.term = relay->term;
	msg.revision = relay->revision;
	fill_announced(relay, &msg, batch, now_ms);
	/* A leader takes nothing from a hub that does not know its term yet. */
	if (hub_relay_is_in_contact(relay, now_ms))
		fill_passed(relay, &msg, batch, now_ms);
	relay->batch_ms = now_ms;
	relay->options.send(
	    relay->options.send_ctx, relay->leader, MSG_FLEET_RELAY, &msg.base);
	free(batch);
}

static void
expire(hub_relay_t *relay, int64_t now_ms)
{
	relay_target_t *target;
	relay_target_t *next_target;
	relay_pass_t *pass;
	relay_pass_t *next;

	DL_FOREACH_SAFE(relay->passes, pass, next) {
		if (now_ms - pass->passed_ms >= HUB_RELAY_PASS_MAX_MS)
			finish_pass(relay, pass, TM_ETIMEDOUT);
	}
	HASH_ITER(hh, relay->targets, target, next_target) {
		if (now_ms - target->announced_ms <= HUB_RELAY_TARGET_EXPIRY_MS)
			continue;
		HASH_DELETE(hh, relay->targets, target);
		free(target);
	}
}

/* A leader that is busy gets fewer and larger batches: the next one waits for the
 * answer to the last, which does not wait for its decisions.
 * @return 1 if what was passed on may be sent before the next regular batch */
static int
may_send_early(hub_relay_t *relay, int64_t now_ms)
{
	return (relay->has_unsent && relay->leader != NODE_ID_NONE &&
	    now_ms - relay->batch_ms >= HUB_RELAY_GATHER_MS &&
	    (relay->contact_ms >= relay->batch_ms ||
		is_off(relay, HUB_RELAY_TEST_NO_PACING)) &&
	    hub_relay_is_in_contact(relay, now_ms));
}

/* @return 1 if a message to the leader is due */
static int
is_due(hub_relay_t *relay, int64_t now_ms)
{
	int64_t since_ms = now_ms - relay->batch_ms;

	if (may_send_early(relay, now_ms))
		return (1);
	return (since_ms >= (relay->targets != NULL || relay->passes != NULL
				    ? HUB_RELAY_BATCH_MS
				    : HUB_RELAY_IDLE_BATCH_MS));
}

void
hub_relay_tick(hub_relay_t *relay, int64_t now_ms)
{
	check_time(relay, now_ms);
	expire(relay, now_ms);
	if (relay->leader != NODE_ID_NONE && is_due(relay, now_ms))
		send_batch(relay, now_ms);
}

void
hub_relay_flush(hub_relay_t *relay, int64_t now_ms)
{
	if (may_send_early(relay, now_ms))
		send_batch(relay, now_ms);
}

void
hub_relay_end_waiting(hub_relay_t *relay)
{
	relay_pass_t *pass;
	relay_pass_t *next;

	DL_FOREACH_SAFE(relay->passes, pass, next)
		finish_pass(relay, pass, TM_ENOTLEADER);
}

/* Forgets the targets that have changed since the last answer. */
static void
forget_changed(hub_relay_t *relay, const Tm__Fleet__Relayed *msg)
{
	size_t i;

	if (is_off(relay, HUB_RELAY_TEST_NO_CHANGES))
		return;
	if (msg->term != relay->term || msg->since > relay->revision) {
		forget_targets(relay);
		relay->revision = msg->revision;
		return;
	}
	for (i = 0; i < msg->n_changed; i++) {
		/* Answers overlap; this one may be known. */
		if (msg->since + i + 1 <= relay->revision)
			continue;
		forget_target(relay, msg->changed[i]);
	}
	if (msg->revision > relay->revision)
		relay->revision = msg->revision;
}

/* Keeps what the leader has confirmed, so that it is answered here next time. */
static void
keep_target(
    hub_relay_t *relay, const dialect_announcement_t *as, int64_t now_ms)
{
	uint64_t key = fleet_name_hash(as->id);
	relay_target_t *target;

	HASH_FIND(hh, relay->targets, &key, sizeof(key), target);
	if (target == NULL) {
		target = calloc(1, sizeof(*target));
		if (target == NULL)
			return;
		target->key = key;
		HASH_ADD(hh, relay->targets, key, sizeof(target->key), target);
	}
	if (target->born_ms != as->born_ms || as->born_ms == 0 ||
	    target->sequence < as->sequence)
		target->sequence = as->sequence;
	target->born_ms = as->born_ms;
	target->service = fleet_name_hash(as->service);
	target->ip = as->ip;
	target->port = as->port;
	target->slots = as->slots;
	target->announced_ms = now_ms;
}

static relay_pass_t *
find_pass(const hub_relay_t *relay, uint32_t id)
{
	relay_pass_t *pass;

	DL_FOREACH(relay->passes, pass) {
		if (pass->id == id)
			return (pass);
	}
	return (NULL);
}

/* @param may_keep  no target changed after the leader decided */
static void
confirm(hub_relay_t *relay, const Tm__Fleet__Relayed *msg, int may_keep,
    int64_t now_ms)
{
	relay_pass_t *pass;
	size_t i;

	for (i = 0; i < msg->n_confirmed; i++) {
		pass = find_pass(relay, msg->confirmed[i]);
		if (pass == NULL)
			continue;
		if (pass->is_leave || pass->as.state != FLEET_TARGET_READY)
			forget_target(relay, fleet_name_hash(pass->as.id));
		else if (may_keep && pass->as.cold_left_ms == 0)
			keep_target(relay, &pass->as, now_ms);
		finish_pass(relay, pass, TM_OK);
	}
}

static void
finish_passes(hub_relay_t *relay, const uint32_t *ids, size_t count, int err)
{
	relay_pass_t *pass;
	size_t i;

	for (i = 0; i < count; i++) {
		pass = find_pass(relay, ids[i]);
		if (pass != NULL)
			finish_pass(relay, pass, err);
	}
}

static void
record_told(hub_relay_t *relay, int64_t sent_ms)
{
	relay_target_t *target;

	for (target = relay->targets; target != NULL && sent_ms != 0;
	     target = target->hh.next) {
		if (target->told_ms == sent_ms)
			target->told_ms = 0;
	}
}

static void
apply_answer(hub_relay_t *relay, const Tm__Fleet__Relayed *msg, int64_t now_ms)
{
	int may_keep;

	if (msg->term < relay->term)
		return;
	forget_changed(relay, msg);
	may_keep = msg->revision == relay->revision;
	if (msg->term > relay->term || msg->leader_ms > relay->leader_ms)
		relay->leader_ms = msg->leader_ms;
	relay->term = msg->term;
	relay->target_count = msg->targets;
	if ((int64_t)msg->sent_ms > relay->contact_ms)
		relay->contact_ms = (int64_t)msg->sent_ms;
	record_told(relay, (int64_t)msg->sent_ms);
	confirm(relay, msg, may_keep, now_ms);
	finish_passes(relay, msg->ignored, msg->n_ignored, TM_OK);
	finish_passes(relay, msg->refused, msg->n_refused, TM_ESTALE);
}

void
hub_relay_handle_answer(hub_relay_t *relay, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__Fleet__Relayed *msg;

	if (from != relay->leader || from == NODE_ID_NONE)
		return;
	msg = tm__fleet__relayed__unpack(NULL, len, payload);
	if (msg == NULL)
		return;
	/* An answer to a batch that is yet to be sent is malformed. */
	if ((int64_t)msg->sent_ms <= now_ms)
		apply_answer(relay, msg, now_ms);
	tm__fleet__relayed__free_unpacked(msg, NULL);
}

uint32_t
hub_relay_get_target_count(const hub_relay_t *relay)
{
	return (relay->target_count);
}

size_t
hub_relay_count_known(const hub_relay_t *relay)
{
	return (HASH_COUNT(relay->targets));
}

const hub_relay_stats_t *
hub_relay_get_stats(const hub_relay_t *relay)
{
	return (&relay->stats);
}
