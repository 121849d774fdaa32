#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/fleet_limit.h"
#include "hub/hub_internal.h"

/* Further Spend records of one message are ignored. */
#define SPENDS_MAX 4096

static void
send_redirect(hub_t *hub, node_id_t to, const Tm__Fleet__Join *join)
{
	const char *names[HUB_NAMED_MAX];
	const char *leader = hub_get_leader(hub);
	hub_feed_lease_t lease = {
		.leader = leader != NULL ? leader : "",
		.hubs = names,
		.hub_count = (size_t)hub_members_list_some(hub->members, names),
	};

	hub_feed_redirect(hub->feed, to, join, &lease);
}

static void
record_outcome(hub_t *hub, const Tm__Fleet__Outcome *outcome, int64_t now_ms)
{
	const hub_target_t *target =
	    hub_state_find_target(hub->state, outcome->target);

	if (target == NULL)
		return;
	if (outcome->sent > 0)
		hub_outlier_record_sent(hub->outlier, outcome->target, now_ms);
	hub_outlier_record_successes(
	    hub->outlier, outcome->target, outcome->good, now_ms);
	hub_load_record_successes(hub->load,
	    fleet_name_hash(target->as.service), outcome->good,
	    outcome->latency_sum_ms);
	if (outcome->load > 0)
		hub_load_record(
		    hub->load, outcome->target, outcome->load - 1, now_ms);
}

static void
record_outcomes(hub_t *hub, const Tm__Fleet__Join *join, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < join->n_outcomes; i++)
		record_outcome(hub, join->outcomes[i], now_ms);
}

static void
record_demands(hub_t *hub, const Tm__Fleet__Join *join)
{
	size_t i;

	for (i = 0; i < join->n_demands; i++)
		hub_admission_record_demand(hub->admission, join->demands[i]);
}

static void
merge_usage(hub_t *hub, const Tm__Fleet__Join *join, int64_t now_ms)
{
	hub_usage_t usage = {
		.ahead = join->usage_ahead,
		.part_ms = join->usage_part_ms,
	};
	size_t i;

	if (join->usage_part_ms == 0)
		return;
	for (i = 0; i < join->n_usage; i++) {
		usage.workspace = join->usage[i]->workspace;
		usage.parts = join->usage[i]->parts;
		usage.count = join->usage[i]->n_parts;
		hub_quota_add_usage(hub->quota, &usage, now_ms);
	}
}

/* Sends the list of workspaces near their limit to a gate that does not have
 * it; before the lease, which allows the gate to consume tokens. */
static void
send_near_limit_if_due(hub_t *hub, node_id_t to, const Tm__Fleet__Join *join)
{
	uint64_t scarce[HUB_NEAR_LIMIT_MAX];
	Tm__Fleet__Permits msg;

	if (join->scarce_term == hub->role.term &&
	    join->scarce_sequence == hub_quota_get_sequence(hub->quota))
		return;
	hub_fill_near_limit(hub, &msg, scarce);
	peer_net_send(hub->net, to, MSG_FLEET_PERMITS, &msg.base);
}

/* Sends the blocked requests to a gate that does not have the newest list. */
static void
send_blocks_if_due(
    hub_t *hub, node_id_t to, const Tm__Fleet__Join *join, int64_t now_ms)
{
	if (join->blocks_term != hub->role.term ||
	    join->blocks_sequence != hub_crash_get_sequence(hub->crash))
		hub_send_blocks(hub, to, now_ms);
}

/* With scarce capacity a gate is told only of services of which a target waits
 * for its request; others would ask for nothing.
 * @param idle  receives the list, HUB_IDLE_SERVICES_MAX at most */
static void
list_idle_services(hub_t *hub, node_id_t gate, uint64_t *idle,
    hub_feed_lease_t *lease, int64_t now_ms)
{
	const fleet_service_t *service;

	lease->idle_services = hub->idle_services;
	lease->idle_service_count = hub->idle_service_count;
	if ((hub->features & FLEET_FEATURE_SCARCE_CAPACITY) == 0 ||
	    hub->config == NULL)
		return;
	lease->idle_services = idle;
	lease->idle_service_count = 0;
	for (service = hub->config->services; service != NULL &&
	     lease->idle_service_count < HUB_IDLE_SERVICES_MAX;
	     service = service->hh.next) {
		if (hub_outlier_offer(hub->outlier, service->id, gate, now_ms))
			idle[lease->idle_service_count++] = service->id;
	}
}

static void
handle_join(hub_t *hub, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Join *join = tm__fleet__join__unpack(NULL, len, payload);
	const char *names[HUB_NAMED_MAX];
	uint64_t idle[HUB_IDLE_SERVICES_MAX];
	hub_upload_bound_t bounds[HUB_UPLOAD_BOUNDS_MAX];
	hub_feed_lease_t lease = { .hubs = names };
	int64_t now_ms = clock_now_ms();

	if (join == NULL)
		return;
	if (!hub_is_leading(hub) || hub->is_stopping) {
		send_redirect(hub, from, join);
	} else {
		hub_update_role(hub, now_ms);
		lease.term = hub->role.term;
		lease.leader = hub->settings.ip;
		lease.hub_count =
		    (size_t)hub_members_list_some(hub->members, names);
		lease.utilizations =
		    hub_load_list(hub->load, &lease.utilization_count);
		record_outcomes(hub, join, now_ms);
		record_demands(hub, join);
		lease.admissions =
		    hub_admission_list(hub->admission, &lease.admission_count);
		lease.decides_admission =
		    (hub->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0;
		list_idle_services(hub, from, idle, &lease, now_ms);
		lease.upload_bounds = bounds;
		lease.upload_bound_count =
		    hub_upload_list_bounds(hub->upload, bounds);
		lease.full = hub_load_get_full(hub->load);
		merge_usage(hub, join, now_ms);
		send_near_limit_if_due(hub, from, join);
		send_blocks_if_due(hub, from, join, now_ms);
		hub_feed_renew_lease(hub->feed, from, join, &lease, now_ms);
		if (join->usage_part_ms != 0)
			hub_update_gate_counts(hub, now_ms);
	}
	tm__fleet__join__free_unpacked(join, NULL);
}

/* @return target as the state knows it, if it still has that incarnation */
static const hub_target_t *
find_incarnation(const hub_t *hub, uint64_t key, uint64_t incarnation_ms)
{
	const hub_target_t *target = hub_state_find_target(hub->state, key);

	return (target != NULL && target->as.born_ms == incarnation_ms ? target
								       : NULL);
}

static void
set_limit(hub_t *hub, const hub_signal_key_t *key, uint32_t value,
    node_id_t gate, int64_t now_ms)
{
	const hub_target_t *target =
	    find_incarnation(hub, key->target, key->incarnation_ms);

	if (target == NULL ||
	    !hub_signals_set_limit(hub->signals, key, value, now_ms))
		return;
	hub_feed_mark_target_changed(hub->feed, key->target);
	LOG_EVENT(925, LOG_LEVEL_INFO, "limit of a target",
	    LOG_TEXT("target", target->as.id),
	    LOG_TEXT("service", target->as.service),
	    LOG_NUM("is_limited", value > FLEET_LIMIT_NONE),
	    LOG_NUM(
		"limit_milli_per_s", MS_PER_SEC * fleet_limit_decode(value)),
	    LOG_NUM("gate", gate));
}

static void
set_leaving(
    hub_t *hub, const hub_signal_key_t *key, node_id_t gate, int64_t now_ms)
{
	const hub_target_t *target =
	    find_incarnation(hub, key->target, key->incarnation_ms);

	if (target == NULL ||
	    !hub_signals_set_leaving(hub->signals, key, now_ms))
		return;
	hub_feed_mark_target_changed(hub->feed, key->target);
	LOG_EVENT(926, LOG_LEVEL_INFO, "a target says that it leaves",
	    LOG_TEXT("target", target->as.id),
	    LOG_TEXT("service", target->as.service), LOG_NUM("gate", gate));
}

static void
handle_signals(hub_t *hub, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Signals *msg =
	    tm__fleet__signals__unpack(NULL, len, payload);
	hub_signal_key_t key;
	int64_t now_ms = clock_now_ms();

	if (msg == NULL)
		return;
	key = (hub_signal_key_t){ msg->target, msg->born_ms };
	set_limit(hub, &key, msg->limit, from, now_ms);
	if (msg->is_leaving)
		set_leaving(hub, &key, from, now_ms);
	if (msg->cold_left_ms > 0)
		hub_cold_record_response(hub, &key, msg->cold_left_ms, now_ms);
	tm__fleet__signals__free_unpacked(msg, NULL);
}

/* A request that asks for any target of its service with a limit. */
typedef struct limit_query {
	const hub_t *hub;
	const Tm__Fleet__Spend *spend;
} limit_query_t;

int
hub_allows_target(
    const hub_t *hub, const hub_target_t *target, const Tm__Fleet__Spend *spend)
{
	const hub_signal_key_t key = { target->key, target->as.born_ms };
	size_t i;

	if (target->as.state != FLEET_TARGET_READY ||
	    hub_evacuations_has(&hub->state->evacuations, target->as.zone) ||
	    hub_signals_is_leaving(hub->signals, &key) ||
	    fleet_name_hash(target->as.service) != spend->service)
		return (0);
	for (i = 0; i < spend->n_excluded; i++) {
		if (spend->excluded[i] == target->key)
			return (0);
	}
	return (1);
}

/* hub_signal_filter_cb */
static int
allows_limited(void *ctx, const hub_signal_key_t *key)
{
	const limit_query_t *query = ctx;
	const hub_target_t *target =
	    find_incarnation(query->hub, key->target, key->incarnation_ms);

	return (target != NULL &&
	    hub_allows_target(query->hub, target, query->spend) &&
	    hub_outlier_get_verdict(query->hub->outlier, target->key) ==
		FLEET_VERDICT_HEALTHY);
}

/* Reserves a permit of the target of a service that has one first. */
static hub_permit_t
reserve_limited(hub_t *hub, const Tm__Fleet__Spend *spend,
    hub_assignment_t *assignment, int64_t now_ms)
{
	limit_query_t query = { .hub = hub, .spend = spend };
	hub_permit_t permit = { .is_granted = 0 };
	hub_signal_key_t key;
	int64_t wait_ms = hub_signals_find_first(
	    hub->signals, allows_limited, &query, now_ms, &key);

	if (wait_ms < 0)
		return (permit);
	permit.wait_ms = (uint32_t)wait_ms;
	permit.is_granted = wait_ms <= spend->wait_max_ms &&
	    hub_cold_may_reserve(hub, &key, wait_ms, now_ms);
	hub_cold_count_permit(hub, &key, permit.is_granted, now_ms);
	if (permit.is_granted) {
		assignment->target = key.target;
		hub_signals_consume(hub->signals, &key, now_ms);
	}
	return (permit);
}

/* @return 1 if a target is still in the incarnation that a gate means */
static int
is_current(const hub_t *hub, const hub_signal_key_t *key)
{
	const hub_target_t *target =
	    hub_state_find_target(hub->state, key->target);

	return (target != NULL && target->as.born_ms == key->incarnation_ms &&
	    target->as.state != FLEET_TARGET_DEREGISTERED);
}

/* A leader that does not know the limit of a target yet learns it from a request.
 * @return 0 if the target is not in the incarnation that the gate means */
static int
learn_limit(
    hub_t *hub, node_id_t from, const Tm__Fleet__Spend *spend, int64_t now_ms)
{
	const hub_signal_key_t key = { spend->target, spend->born_ms };

	if (!is_current(hub, &key))
		return (0);
	if (hub_signals_get_limit(hub->signals, &key) == FLEET_LIMIT_UNKNOWN)
		set_limit(hub, &key, spend->limit, from, now_ms);
	return (1);
}

/* No permit counts for an incarnation before: the next one has limits of its own. */
static hub_permit_t
acquire_limited(
    hub_t *hub, node_id_t from, const Tm__Fleet__Spend *spend, int64_t now_ms)
{
	const hub_signal_key_t key = { spend->target, spend->born_ms };
	hub_permit_t permit = { .is_granted = 0 };

	if (!learn_limit(hub, from, spend, now_ms))
		return (permit);
	permit.wait_ms =
	    (uint32_t)hub_signals_get_wait_ms(hub->signals, &key, now_ms);
	permit.is_granted = permit.wait_ms == 0;
	hub_cold_count_permit(hub, &key, permit.is_granted, now_ms);
	if (permit.is_granted)
		hub_signals_consume(hub->signals, &key, now_ms);
	return (permit);
}

/* Gates of the version before name the target. */
static hub_assignment_t
assign_target(
    hub_t *hub, node_id_t from, const Tm__Fleet__Spend *spend, int64_t now_ms)
{
	hub_assignment_t assignment = { .is_probe = 1 };
	const hub_target_t *target;

	if (spend->target == 0) {
		assignment = hub_outlier_assign_target(hub->outlier,
		    spend->service, from, spend->may_repeat, now_ms);
		target = hub_state_find_target(hub->state, assignment.target);
		if (target != NULL)
			hub_signals_consume(hub->signals,
			    &(hub_signal_key_t){
				target->key, target->as.born_ms },
			    now_ms);
		return (assignment);
	}
	if (hub_outlier_acquire_probe(
		hub->outlier, spend->target, from, now_ms))
		assignment.target = spend->target;
	return (assignment);
}

/* @param assignment  receives the target of a probe */
static hub_permit_t
handle_spend(hub_t *hub, node_id_t from, const Tm__Fleet__Spend *spend,
    hub_assignment_t *assignment, int64_t now_ms)
{
	hub_permit_t permit = { .is_granted = 0 };
	hub_consumption_t request = {
		.workspace = spend->workspace,
		.service = spend->service,
		.age_ms = spend->age_ms,
	};

	switch (spend->kind) {
	case FLEET_SPEND_REQUEST:
		if (spend->id != 0)
			return (hub_quota_acquire(hub->quota, spend->workspace,
			    spend->service, now_ms));
		hub_quota_consume(hub->quota, &request, now_ms);
		break;
	case FLEET_SPEND_RETRY:
		return (hub_quota_acquire_retry(hub->quota, spend->service));
	case FLEET_SPEND_PROBE:
		*assignment = assign_target(hub, from, spend, now_ms);
		permit.is_granted = assignment->target != 0;
		break;
	case FLEET_SPEND_LIMITED:
		if (spend->target == 0)
			return (
			    reserve_limited(hub, spend, assignment, now_ms));
		return (acquire_limited(hub, from, spend, now_ms));
	case FLEET_SPEND_UPLOAD:
		learn_limit(hub, from, spend, now_ms);
		return (hub_upload_permit_acquire(
		    hub, from, spend, assignment, now_ms));
	default:
		break;
	}
	return (permit);
}

static void
handle_spends(hub_t *hub, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Spends *spends =
	    tm__fleet__spends__unpack(NULL, len, payload);
	Tm__Fleet__Permits reply = TM__FLEET__PERMITS__INIT;
	Tm__Fleet__Permit *permits;
	Tm__Fleet__Permit **pointers;
	int64_t now_ms = clock_now_ms();
	hub_permit_t permit;
	hub_assignment_t assignment;
	size_t i;

	if (spends == NULL)
		return;
	permits = calloc(spends->n_spends + 1, sizeof(*permits));
	pointers = calloc(spends->n_spends + 1, sizeof(Tm__Fleet__Permit *));
	for (i = 0; permits != NULL && pointers != NULL &&
	     i < spends->n_spends && i < SPENDS_MAX;
	     i++) {
		assignment = (hub_assignment_t){ .target = 0 };
		/* Another hub may grant permits by now. */
		if (spends->spends[i]->id != 0 && !hub->role.is_serving)
			continue;
		permit = handle_spend(
		    hub, from, spends->spends[i], &assignment, now_ms);
		if (spends->spends[i]->id == 0 || permit.is_undecided)
			continue;
		pointers[reply.n_permits] = &permits[reply.n_permits];
		tm__fleet__permit__init(&permits[reply.n_permits]);
		permits[reply.n_permits].id = spends->spends[i]->id;
		permits[reply.n_permits].is_granted = permit.is_granted;
		permits[reply.n_permits].retry_after_ms = permit.wait_ms;
		permits[reply.n_permits].target = assignment.target;
		permits[reply.n_permits].is_trial = assignment.is_probe;
		reply.n_permits++;
	}
	reply.permits = pointers;
	reply.term = hub->role.term;
	if (reply.n_permits > 0)
		peer_net_send(hub->net, from, MSG_FLEET_PERMITS, &reply.base);
	free(pointers);
	free(permits);
	tm__fleet__spends__free_unpacked(spends, NULL);
}

static void
handle_evidence(hub_t *hub, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Evidence *msg =
	    tm__fleet__evidence__unpack(NULL, len, payload);
	hub_evidence_t evidence;
	const hub_target_t *target;

	if (msg == NULL)
		return;
	evidence = (hub_evidence_t){
		.target = msg->target,
		.gate = from,
		.kind = (fleet_evidence_t)msg->kind,
		.is_probe = msg->is_trial,
	};
	target = hub_state_find_target(hub->state, msg->target);
	/* Evidence against an earlier incarnation is ignored. A gate that gives
	 * a probe back may not know the target. */
	if (target != NULL &&
	    (target->as.born_ms == msg->born_ms ||
		msg->kind == FLEET_EVIDENCE_PROBE_UNUSED))
		hub_outlier_record_evidence(
		    hub->outlier, &evidence, clock_now_ms());
	tm__fleet__evidence__free_unpacked(msg, NULL);
}

/*
 * @param evidence  what shows that the target crashed
 */
static void
record_crash(hub_t *hub, const hub_crash_report_t *report, const char *evidence,
    int64_t now_ms)
{
	const hub_target_t *target =
	    hub_state_find_target(hub->state, report->target);
	uint32_t crashes = hub_crash_record(hub->crash, report, now_ms);

	hub_upload_permit_record_crash(
	    hub, report->target, report->incarnation_ms, now_ms);
	metric_add(hub->metric_crashes, 1);
	LOG_EVENT(924,
	    crashes >= HUB_CRASHES_TO_BLOCK ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
	    "target crashed while a request ran",
	    LOG_NUM("fingerprint", report->fingerprint),
	    LOG_TEXT("target", target != NULL ? target->as.id : ""),
	    LOG_TEXT("evidence", evidence),
	    LOG_NUM("age_ms", now_ms - report->broken_ms),
	    LOG_NUM("crashes", crashes),
	    LOG_NUM("is_blocked", crashes >= HUB_CRASHES_TO_BLOCK));
}

void
hub_record_incarnation(hub_t *hub, const hub_target_t *target, int64_t now_ms)
{
	hub_crash_report_t reports[HUB_BREAKS_MAX];
	size_t count;
	size_t i;

	if (!hub_is_leading(hub))
		return;
	count = hub_breaks_take(&hub->breaks, target, now_ms, reports);
	for (i = 0; i < count; i++)
		record_crash(hub, &reports[i], "new incarnation", now_ms);
	if (count > 0 && hub->role.is_serving)
		hub_update_blocks(hub, now_ms);
}

/* The port of the target stayed open: its next incarnation, if there is one
 * soon, shows that it crashed. That one may be registered by now. */
static void
record_break(hub_t *hub, const hub_crash_report_t *report, int64_t now_ms)
{
	const hub_target_t *target =
	    hub_state_find_target(hub->state, report->target);
	const hub_target_t *next;
	hub_break_t item;

	/* One that is stopped on purpose ends its connections, too. */
	if (target == NULL || target->as.state == FLEET_TARGET_DRAINING)
		return;
	item = hub_break_make(report, target);
	next = hub_state_find_address(hub->state, item.ip, item.port);
	if (next != NULL && hub_break_has_successor(&item, next))
		record_crash(hub, report, "new incarnation", now_ms);
	else if (target->as.state != FLEET_TARGET_DEREGISTERED)
		hub_breaks_add(&hub->breaks, &item);
}

static void
handle_crash(hub_t *hub, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Crash *msg = tm__fleet__crash__unpack(NULL, len, payload);
	int64_t now_ms = clock_now_ms();
	hub_crash_report_t report;

	if (msg == NULL)
		return;
	report = (hub_crash_report_t){
		.fingerprint = msg->fingerprint,
		.target = msg->target,
		.incarnation_ms = msg->born_ms,
		.sent_ms = now_ms - msg->sent_age_ms,
		.broken_ms = now_ms - msg->broken_age_ms,
	};
	if (msg->is_harmless) {
		hub_crash_clear(hub->crash, msg->fingerprint);
		hub_breaks_clear(&hub->breaks, msg->fingerprint);
	} else if (msg->is_unsure)
		record_break(hub, &report, now_ms);
	else
		record_crash(hub, &report, "port closed", now_ms);
	if (hub->role.is_serving)
		hub_update_blocks(hub, now_ms);
	tm__fleet__crash__free_unpacked(msg, NULL);
}

void
hub_messages_receive(void *ctx, node_id_t from, uint64_t incarnation,
    uint16_t type, const uint8_t *payload, size_t len)
{
	hub_t *hub = ctx;
	int64_t now_ms = clock_now_ms();
	int has_state;

	if (type >= MSG_RAFT_BASE && type < MSG_RAFT_BASE + 20) {
		raft_handle(hub->raft, from, type, payload, len, now_ms);
		return;
	}
	has_state = hub_role_has_state(&hub->role, hub->raft);
	switch (type) {
	case MSG_FLEET_HELLO:
		hub_members_handle(hub->members, from, payload, len, now_ms);
		break;
	case MSG_FLEET_RELAY:
		hub_announcements_receive(hub, from, payload, len);
		break;
	case MSG_FLEET_RELAYED:
		hub_relay_handle_answer(hub->relay, from, payload, len, now_ms);
		break;
	case MSG_FLEET_JOIN:
		handle_join(hub, from, payload, len);
		break;
	case MSG_FLEET_SPENDS:
		if (!has_state)
			break;
		hub_upload_permit_hear(hub, from, incarnation);
		handle_spends(hub, from, payload, len);
		break;
	case MSG_FLEET_EVIDENCE:
		if (has_state)
			handle_evidence(hub, from, payload, len);
		break;
	case MSG_FLEET_CRASH:
		if (has_state)
			handle_crash(hub, payload, len);
		break;
	case MSG_FLEET_UPLOADS:
		if (has_state)
			hub_upload_permit_receive(
			    hub, from, incarnation, payload, len);
		break;
	case MSG_FLEET_SIGNALS:
		if (has_state)
			handle_signals(hub, from, payload, len);
		break;
	default:
		break;
	}
}
