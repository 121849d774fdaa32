#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "hub/hub_internal.h"

/* Interval of the log events on announcements. */
#define REPORT_MS 1000

/* An announcement that another hub has passed on, until it is committed. */
typedef struct passed {
	hub_t *hub;
	node_id_t from;
	uint32_t id;
	uint64_t revision;
	int is_leave;
	int64_t said_ms; /* earliest time of it, by the clock of this hub */
	dialect_announcement_t as;
} passed_t;

static metric_t *
get_metric(hub_t *hub, const char *labels)
{
	return (metrics_get(hub->metrics, "tm_hub_announcements_total", labels,
	    METRIC_COUNTER));
}

int
hub_announcements_create(hub_t *hub)
{
	hub_relay_options_t options = {
		.send = peer_net_send_cb,
		.send_ctx = hub->net,
	};

	if (RAND_bytes((unsigned char *)&options.first_id,
		sizeof(options.first_id)) != 1)
		return (TM_EIO);
	hub->relay = hub_relay_create(&options);
	hub->metric_announced = get_metric(hub, "outcome=\"answered\"");
	hub->metric_passed = get_metric(hub, "outcome=\"passed_on\"");
	hub->metric_refused = get_metric(hub, "outcome=\"refused\"");
	hub->metric_ignored = get_metric(hub, "outcome=\"ignored\"");
	hub->metric_passed_to_us = get_metric(hub, "outcome=\"decided\"");
	return (hub->relay != NULL ? TM_OK : TM_ENOMEM);
}

void
hub_record_announcement(hub_t *hub, const dialect_announcement_t *as)
{
	uint64_t key = fleet_name_hash(as->id);

	if (hub_announce_record(hub->state, key, as->born_ms, as->sequence))
		hub_outlier_record_announcement(
		    hub->outlier, key, clock_now_ms());
}

/* Logged with the next report, as another writer may send many. */
static void
record_unnamed(hub_t *hub, const dialect_announcement_t *as)
{
	metric_add(hub->metric_ignored, 1);
	hub->unnamed_count++;
	hub->unnamed = *as;
}

/* Decides on an announcement as the leader; as hub_announce(). */
static int
decide(hub_t *hub, const dialect_announcement_t *as, int64_t said_ms,
    hub_done_cb done, void *ctx)
{
	hub_announce_effect_t effect = hub_announce_judge(hub->state, as);
	uint8_t *bytes;
	size_t len;

	if (effect == HUB_ANNOUNCE_UNNAMED)
		record_unnamed(hub, as);
	if (!hub_announce_is_current(effect))
		return (HUB_ACKNOWLEDGED);
	hub_record_announcement(hub, as);
	hub_record_warmup(hub, as, said_ms);
	if (effect == HUB_ANNOUNCE_REPEATED &&
	    !hub_is_warmup_new(hub,
		hub_state_find_target(hub->state, fleet_name_hash(as->id)), as))
		return (HUB_ACKNOWLEDGED);
	bytes = hub_entry_encode_target(as, &len);
	return (hub_propose(hub, bytes, len, done, ctx));
}

/* Ends a registration as the leader; as hub_leave(). */
static int
decide_leave(hub_t *hub, const dialect_announcement_t *leave, hub_done_cb done,
    void *ctx)
{
	const hub_target_t *known =
	    hub_state_find_target(hub->state, fleet_name_hash(leave->id));
	dialect_announcement_t as;
	uint8_t *bytes;
	size_t len;

	if (known == NULL || known->as.state == FLEET_TARGET_DEREGISTERED ||
	    (leave->born_ms != 0 && leave->born_ms < known->as.born_ms))
		return (HUB_ACKNOWLEDGED);
	if (leave->service[0] != '\0' &&
	    hub_state_compare_services(hub->state, leave, known) < 0) {
		record_unnamed(hub, leave);
		return (HUB_ACKNOWLEDGED);
	}
	as = known->as;
	as.state = FLEET_TARGET_DEREGISTERED;
	bytes = hub_entry_encode_target(&as, &len);
	return (hub_propose(hub, bytes, len, done, ctx));
}

static int
count_unless_failed(metric_t *metric, int err)
{
	if (err >= TM_OK)
		metric_add(metric, 1);
	return (err);
}

int
hub_announce(
    hub_t *hub, const dialect_announcement_t *as, hub_done_cb done, void *ctx)
{
	int64_t now_ms = clock_now_ms();

	if (hub_is_leading(hub))
		return (count_unless_failed(
		    hub->metric_announced, decide(hub, as, now_ms, done, ctx)));
	switch (hub_relay_decide(hub->relay, as, now_ms)) {
	case HUB_RELAY_ANSWER:
		return (HUB_ACKNOWLEDGED);
	case HUB_RELAY_PASS:
		return (hub_relay_pass(hub->relay, as, 0, done, ctx, now_ms));
	default:
		return (TM_EUNAVAIL);
	}
}

int
hub_leave(
    hub_t *hub, const dialect_announcement_t *as, hub_done_cb done, void *ctx)
{
	if (hub_is_leading(hub))
		return (count_unless_failed(
		    hub->metric_announced, decide_leave(hub, as, done, ctx)));
	return (hub_relay_pass(hub->relay, as, 1, done, ctx, clock_now_ms()));
}

static size_t
get_target_count(const hub_t *hub)
{
	return (hub->role.is_serving ? HASH_COUNT(hub->state->targets)
				     : hub_relay_get_target_count(hub->relay));
}

int
hub_is_spreading(const hub_t *hub)
{
	return (hub->is_spreading);
}

const char *
hub_choose_for_target(hub_t *hub, const char *id)
{
	const char *names[FLEET_HUBS_MAX];
	const char *leader = hub_get_leader(hub);
	int alive;

	if (!hub->is_spreading)
		return (leader);
	alive = hub_members_list_alive(hub->members, names, clock_now_ms());
	return (hub_announce_choose(
	    names, (size_t)alive, leader, fleet_name_hash(id)));
}

static void
add_answer(hub_t *hub, const passed_t *passed, int outcome)
{
	passed_answer_t *answer = calloc(1, sizeof(*answer));

	/* Without an answer the other hub refuses the announcement. */
	if (answer == NULL)
		return;
	answer->hub = passed->from;
	answer->id = passed->id;
	answer->revision = passed->revision;
	answer->decided = passed->hub->changes.revision;
	answer->outcome = outcome;
	DL_APPEND(hub->answers, answer);
}

/* @return what to tell the other hub once its announcement has taken effect:
 * whether it may answer the next ones by itself */
static int
get_outcome(const passed_t *passed)
{
	if (passed->is_leave)
		return (PASSED_CONFIRMED);
	return (hub_announce_judge(passed->hub->state, &passed->as) ==
		    HUB_ANNOUNCE_REPEATED
		? PASSED_CONFIRMED
		: PASSED_IGNORED);
}

/* hub_done_cb */
static void
on_passed_committed(void *ctx, int err)
{
	passed_t *passed = ctx;

	LOG_EVENT(931, LOG_LEVEL_INFO, "target proposed",
	    LOG_TEXT("target", passed->as.id),
	    LOG_TEXT("outcome", error_get_text(err)),
	    LOG_NUM("passed_on_by", passed->from));
	if (err == TM_OK && !passed->is_leave)
		hub_record_announcement(passed->hub, &passed->as);
	add_answer(passed->hub, passed,
	    err == TM_OK ? get_outcome(passed) : PASSED_REFUSED);
	free(passed);
}

/* @return earliest time, by the clock of this hub, of what another hub got some
 * time before it sent a message */
static int64_t
get_said_ms(const Tm__Fleet__Relay *relay, uint32_t age_ms)
{
	return ((int64_t)relay->leader_ms - age_ms);
}

/* @return 1 if the texts fit */
static int
read_passed(
    const Tm__Fleet__Relay *relay, const Tm__Fleet__Passed *msg, passed_t *out)
{
	const Tm__Fleet__Target *target = msg->target;

	if (target == NULL ||
	    (msg->is_leave &&
		(strlen(target->id) >= sizeof(out->as.id) ||
		    strlen(target->service) >= sizeof(out->as.service))) ||
	    (!msg->is_leave && !hub_target_from_message(target, &out->as)))
		return (0);
	if (msg->is_leave) {
		memcpy(out->as.id, target->id, strlen(target->id) + 1);
		memcpy(out->as.service, target->service,
		    strlen(target->service) + 1);
		out->as.born_ms = target->born_ms;
	}
	out->id = msg->id;
	out->is_leave = msg->is_leave;
	out->said_ms = get_said_ms(relay, msg->age_ms);
	return (1);
}

static void
handle_passed(hub_t *hub, node_id_t from, const Tm__Fleet__Relay *relay,
    const Tm__Fleet__Passed *msg, int is_late)
{
	passed_t *passed = calloc(1, sizeof(*passed));
	int err;

	if (passed == NULL)
		return;
	passed->hub = hub;
	passed->from = from;
	passed->revision = relay->revision;
	if (!read_passed(relay, msg, passed)) {
		free(passed);
		return;
	}
	metric_add(hub->metric_passed_to_us, 1);
	if (is_late)
		err = TM_ESTALE;
	else if (passed->is_leave)
		err =
		    decide_leave(hub, &passed->as, on_passed_committed, passed);
	else
		err = decide(hub, &passed->as, passed->said_ms,
		    on_passed_committed, passed);
	if (err == TM_OK)
		return;
	add_answer(hub, passed,
	    err == HUB_ACKNOWLEDGED ? get_outcome(passed) : PASSED_REFUSED);
	free(passed);
}

static void
fill_relayed(
    hub_t *hub, Tm__Fleet__Relayed *msg, uint64_t since, uint64_t *changed)
{
	tm__fleet__relayed__init(msg);
	msg->leader_ms = (uint64_t)clock_now_ms();
	msg->term = hub->role.term;
	msg->since = since;
	msg->n_changed = hub_changes_list(&hub->changes, &msg->since, changed);
	msg->changed = changed;
	msg->revision = hub->changes.revision;
	msg->targets = (uint32_t)HASH_COUNT(hub->state->targets);
}

static void
answer_batch(hub_t *hub, node_id_t to, const Tm__Fleet__Relay *relay)
{
	Tm__Fleet__Relayed msg;
	uint64_t changed[HUB_CHANGES_MAX];

	fill_relayed(hub, &msg,
	    relay->term == hub->role.term ? relay->revision : UINT64_MAX,
	    changed);
	msg.sent_ms = relay->sent_ms;
	peer_net_send(hub->net, to, MSG_FLEET_RELAYED, &msg.base);
}

/* Records the targets that announced themselves at another hub. */
static void
record_announced(hub_t *hub, const Tm__Fleet__Relay *msg, int64_t now_ms)
{
	const Tm__Fleet__Announced *item;
	dialect_announcement_t as;
	size_t i;

	for (i = 0; i < msg->n_announced; i++) {
		item = msg->announced[i];
		if (!hub_announce_record(hub->state, item->target,
			item->born_ms, item->sequence))
			continue;
		hub_outlier_record_announcement(
		    hub->outlier, item->target, now_ms);
		as = hub_state_find_target(hub->state, item->target)->as;
		as.sequence = item->sequence;
		as.cold_left_ms = item->cold_left_ms;
		hub_cold_record(hub, &as, get_said_ms(msg, item->age_ms));
	}
}

/* Gates are told once of all targets of a batch that turned cold, before the first
 * entry is written. */
static void
record_passed_cold(hub_t *hub, const Tm__Fleet__Relay *msg)
{
	uint64_t sequence = hub_feed_get_sequence(hub->feed);
	passed_t passed = { .hub = hub };
	size_t i;

	for (i = 0; i < msg->n_passed; i++) {
		if (read_passed(msg, msg->passed[i], &passed) &&
		    !passed.is_leave && passed.as.cold_left_ms > 0 &&
		    hub_announce_is_current(
			hub_announce_judge(hub->state, &passed.as)))
			hub_cold_record(hub, &passed.as, passed.said_ms);
	}
	hub_cold_flush(hub, sequence);
}

void
hub_announcements_receive(
    hub_t *hub, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Relay *msg = tm__fleet__relay__unpack(NULL, len, payload);
	int64_t now_ms = clock_now_ms();
	int is_late;
	size_t i;

	if (msg == NULL)
		return;
	/* Another hub may lead by now. */
	if (hub_is_leading(hub) && !hub->is_stopping) {
		hub_update_role(hub, now_ms);
		is_late = hub_announce_is_late(msg, hub->role.term, now_ms);
		if (!is_late) {
			record_announced(hub, msg, now_ms);
			record_passed_cold(hub, msg);
		}
		answer_batch(hub, from, msg);
		for (i = 0; i < msg->n_passed; i++)
			handle_passed(hub, from, msg, msg->passed[i], is_late);
	}
	tm__fleet__relay__free_unpacked(msg, NULL);
}

/* The target of a confirmed announcement may have changed after the decision: it is
 * acknowledged then, but the other hub must not go by it. */
static int
get_final_outcome(const hub_t *hub, const passed_answer_t *answer)
{
	if (answer->outcome == PASSED_CONFIRMED &&
	    answer->decided != hub->changes.revision)
		return (PASSED_IGNORED);
	return (answer->outcome);
}

/* Sends all answers that wait for the hub of the first one. */
static void
send_answers(hub_t *hub)
{
	node_id_t to = hub->answers->hub;
	uint64_t since = UINT64_MAX;
	uint32_t ids[3][HUB_CHANGES_MAX];
	size_t counts[3] = { 0, 0, 0 };
	uint64_t changed[HUB_CHANGES_MAX];
	Tm__Fleet__Relayed msg;
	passed_answer_t *answer;
	passed_answer_t *next;
	int outcome;

	DL_FOREACH_SAFE(hub->answers, answer, next) {
		outcome = get_final_outcome(hub, answer);
		if (answer->hub != to || counts[outcome] == HUB_CHANGES_MAX)
			continue;
		ids[outcome][counts[outcome]++] = answer->id;
		if (answer->revision < since)
			since = answer->revision;
		DL_DELETE(hub->answers, answer);
		free(answer);
	}
	fill_relayed(hub, &msg, since, changed);
	msg.confirmed = ids[PASSED_CONFIRMED];
	msg.n_confirmed = counts[PASSED_CONFIRMED];
	msg.ignored = ids[PASSED_IGNORED];
	msg.n_ignored = counts[PASSED_IGNORED];
	msg.refused = ids[PASSED_REFUSED];
	msg.n_refused = counts[PASSED_REFUSED];
	peer_net_send(hub->net, to, MSG_FLEET_RELAYED, &msg.base);
}

void
hub_announcements_flush(hub_t *hub, int64_t now_ms)
{
	hub_relay_flush(hub->relay, now_ms);
	while (hub->answers != NULL)
		send_answers(hub);
}

static void
report_unnamed(hub_t *hub)
{
	if (hub->unnamed_count == 0)
		return;
	LOG_EVENT(929, LOG_LEVEL_WARN,
	    "announcements ignored, their service is not in the configuration",
	    LOG_NUM("count", hub->unnamed_count),
	    LOG_TEXT("target", hub->unnamed.id),
	    LOG_TEXT("service", hub->unnamed.service),
	    LOG_NUM("port", hub->unnamed.port));
	hub->unnamed_count = 0;
}

/* Tells of the contact with the leader, and of announcements that it did not
 * confirm, at most once in REPORT_MS. */
static void
report(hub_t *hub, int64_t now_ms)
{
	const hub_relay_stats_t *stats = hub_relay_get_stats(hub->relay);
	hub_relay_stats_t *old = &hub->relay_reported;
	int is_relaying = hub_relay_is_in_contact(hub->relay, now_ms);

	if (now_ms < hub->relay_report_due_ms)
		return;
	hub->relay_report_due_ms = now_ms + REPORT_MS;
	report_unnamed(hub);
	if (is_relaying != hub->was_relaying)
		LOG_EVENT(938, LOG_LEVEL_INFO,
		    "announcements are passed on to the leader",
		    LOG_NUM("is_in_contact", is_relaying),
		    LOG_NUM("targets_known", hub_relay_count_known(hub->relay)),
		    LOG_NUM("answered", stats->answered),
		    LOG_NUM("passed_on", stats->passed));
	if (stats->refused != old->refused ||
	    stats->unanswered != old->unanswered)
		LOG_EVENT(939, LOG_LEVEL_WARN, "announcements refused",
		    LOG_NUM("without_contact", stats->refused - old->refused),
		    LOG_NUM("without_decision",
			stats->unanswered - old->unanswered));
	metric_add(
	    hub->metric_announced, (int64_t)(stats->answered - old->answered));
	metric_add(hub->metric_passed, (int64_t)(stats->passed - old->passed));
	metric_add(hub->metric_refused,
	    (int64_t)(stats->refused - old->refused + stats->unanswered -
		old->unanswered));
	hub->was_relaying = is_relaying;
	*old = *stats;
}

void
hub_announcements_tick(hub_t *hub, int64_t now_ms)
{
	const char *leader = hub_get_leader(hub);
	node_id_t id =
	    leader != NULL ? node_id_from_name(leader) : NODE_ID_NONE;

	hub_relay_set_leader(
	    hub->relay, id == hub->self ? NODE_ID_NONE : id, now_ms);
	if (hub_is_leading(hub))
		hub_relay_end_waiting(hub->relay);
	hub_relay_tick(hub->relay, now_ms);
	hub->is_spreading =
	    hub_announce_is_spread(hub->is_spreading, get_target_count(hub));
	hub_announcements_flush(hub, now_ms);
	report(hub, now_ms);
}
