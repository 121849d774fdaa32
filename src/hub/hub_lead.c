#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "hub/hub_internal.h"

/* Interval of slow checks: members, gates, buckets. */
#define SLOW_TICK_MS 250
/* Interval at which the load of the services is computed. */
#define LOAD_MS 200
/* Interval at which full services are logged. */
#define FULL_LOG_MS 1000
/* Interval at which the list of ejected targets is proposed, if it changed. */
#define PROPOSE_EJECTED_MS 1000
/* Interval at which the list of blocked requests is proposed, if it changed. */
#define PROPOSE_BLOCKED_MS 250
/* Most blocked, and most suspected, requests that gates are sent. */
#define BLOCKS_MAX 256
/* A deregistered target is kept this long, so that a late announcement does not
 * register it again. */
#define DEREGISTERED_EXPIRY_MS 60000
/* A target that fails without deregistering is deregistered after this time. */
#define UNRESPONSIVE_EXPIRY_MS 30000

/* Resets all state that is not replicated: this hub begins to lead. */
static void
begin_leading(hub_t *hub, int64_t now_ms)
{
	const hub_target_t *target;
	size_t i;

	hub->leading_since_ms = now_ms;
	hub_outlier_reset(hub->outlier);
	for (target = hub->state->targets; target != NULL;
	     target = target->hh.next) {
		if (target->as.state != FLEET_TARGET_DEREGISTERED)
			hub_add_to_outlier(hub, target);
	}
	hub_quota_reset(hub->quota, now_ms);
	hub_admission_reset(hub->admission, now_ms);
	hub_feed_reset(hub->feed, hub->role.term, now_ms);
	for (i = 0; i < hub->state->ejected_count; i++)
		hub_outlier_restore_ejection(
		    hub->outlier, hub->state->ejected[i], now_ms);
	hub_signals_reset(hub->signals);
	hub_cold_begin(hub, now_ms);
	hub_upload_reset(hub->upload, now_ms);
	hub_crash_reset(hub->crash);
	hub_breaks_reset(&hub->breaks);
	hub->changes.revision = 0;
	hub->blocks_sequence = 0;
	for (i = 0; i < hub->state->blocked_count; i++)
		hub_crash_restore(hub->crash, hub->state->blocked[i], now_ms);
}

static void
log_serving(const hub_t *hub, int is_resumed)
{
	LOG_EVENT(913, LOG_LEVEL_INFO, "serving as the leader",
	    LOG_NUM("term", hub->role.term), LOG_NUM("is_resumed", is_resumed),
	    LOG_NUM("table", hub_feed_get_sequence(hub->feed)),
	    LOG_NUM("version", hub->state->document.version),
	    LOG_NUM("targets", HASH_COUNT(hub->state->targets)));
}

void
hub_update_role(hub_t *hub, int64_t now_ms)
{
	hub_role_change_t change =
	    hub_role_update(&hub->role, hub->raft, now_ms);

	switch (change) {
	case HUB_ROLE_STARTED:
		begin_leading(hub, now_ms);
		log_serving(hub, 0);
		break;
	case HUB_ROLE_RESUMED:
		log_serving(hub, 1);
		break;
	case HUB_ROLE_PAUSED:
		LOG_EVENT(914, LOG_LEVEL_INFO,
		    "no longer serving as the leader",
		    LOG_NUM("term", raft_get_term(hub->raft)),
		    LOG_NUM("has_state",
			hub_role_has_state(&hub->role, hub->raft)));
		break;
	default:
		break;
	}
	hub_members_set_leading(
	    hub->members, hub->role.is_serving ? hub->role.term : 0);
	metric_set(hub->metric_leading, hub->role.is_serving);
}

void
hub_ignore_outcome(void *ctx, int err)
{
	(void)ctx;
	(void)err;
}

static void
propose_hub(hub_t *hub, const char *name, int is_lost)
{
	size_t len;
	uint8_t *bytes = hub_entry_encode_hub(name, is_lost, &len);

	hub_propose(hub, bytes, len, hub_ignore_outcome, NULL);
}

/* One change of members at a time. */
static void
plan_members(hub_t *hub, int64_t now_ms)
{
	raft_member_t log_members[RAFT_MEMBERS_MAX];
	hub_members_view_t view = {
		.state = hub->state,
		.log_members = log_members,
		.log_member_count = raft_get_members(hub->raft, log_members),
		.leading_ms = now_ms - hub->leading_since_ms,
	};
	const char *name = "";
	hub_membership_step_t step;
	int err = TM_OK;

	if (hub->is_stopping)
		return;
	step = hub_members_plan(hub->members, &view, now_ms, &name);
	if (step == HUB_STEP_NONE)
		return;
	switch (step) {
	case HUB_STEP_RECORD:
	case HUB_STEP_EXPIRE:
		propose_hub(hub, name, step == HUB_STEP_EXPIRE);
		break;
	case HUB_STEP_ADD:
		err = raft_add_node(hub->raft, node_id_from_name(name));
		break;
	default:
		err = raft_remove_node(hub->raft, node_id_from_name(name));
		break;
	}
	if (err == TM_EUNAVAIL)
		return;
	LOG_EVENT(915, LOG_LEVEL_INFO, "members of the log change",
	    LOG_TEXT("hub", name), LOG_NUM("step", step),
	    LOG_NUM("seats", view.log_member_count),
	    LOG_TEXT("error", error_get_text(err)));
}

void
hub_fill_near_limit(
    const hub_t *hub, Tm__Fleet__Permits *msg, uint64_t *near_limit)
{
	tm__fleet__permits__init(msg);
	msg->term = hub->role.term;
	msg->has_scarce = 1;
	msg->scarce = near_limit;
	msg->n_scarce = hub_quota_list_near_limit(
	    hub->quota, near_limit, HUB_NEAR_LIMIT_MAX);
	msg->scarce_sequence = hub_quota_get_sequence(hub->quota);
}

static void
broadcast_near_limit(hub_t *hub, int64_t now_ms)
{
	Tm__Fleet__Permits msg;
	uint64_t near_limit[HUB_NEAR_LIMIT_MAX];

	hub_fill_near_limit(hub, &msg, near_limit);
	hub_feed_broadcast(hub->feed, MSG_FLEET_PERMITS, &msg.base, now_ms);
}

/* Proposes the list of ejected targets for the next leader, if it changed. */
static void
propose_ejected(hub_t *hub)
{
	const hub_state_t *state = hub->state;
	size_t max = HASH_COUNT(state->targets);
	uint64_t *targets = calloc(max + 1, sizeof(*targets));
	uint8_t *bytes;
	size_t count;
	size_t len;

	if (targets == NULL)
		return;
	count = hub_outlier_list_ejected(hub->outlier, targets, max);
	if (count != state->ejected_count ||
	    (count > 0 &&
		memcmp(targets, state->ejected, count * sizeof(*targets)) !=
		    0)) {
		bytes = hub_entry_encode_ejected(targets, count, &len);
		hub_propose(hub, bytes, len, hub_ignore_outcome, NULL);
	}
	free(targets);
}

/* Buffers that a message with blocks points to. */
typedef struct blocks_message {
	Tm__Fleet__Blocks msg;
	hub_block_t blocks[BLOCKS_MAX];
	Tm__Fleet__Block msgs[BLOCKS_MAX];
	Tm__Fleet__Block *pointers[BLOCKS_MAX];
	uint64_t suspects[BLOCKS_MAX];
} blocks_message_t;

static void
fill_blocks(const hub_t *hub, blocks_message_t *out, int64_t now_ms)
{
	size_t count =
	    hub_crash_list_blocks(hub->crash, out->blocks, BLOCKS_MAX, now_ms);
	size_t i;

	tm__fleet__blocks__init(&out->msg);
	out->msg.term = hub->role.term;
	out->msg.sequence = hub_crash_get_sequence(hub->crash);
	for (i = 0; i < count; i++) {
		tm__fleet__block__init(&out->msgs[i]);
		out->msgs[i].fingerprint = out->blocks[i].fingerprint;
		out->msgs[i].left_ms = (uint32_t)out->blocks[i].left_ms;
		out->pointers[i] = &out->msgs[i];
	}
	out->msg.blocks = out->pointers;
	out->msg.n_blocks = count;
	out->msg.suspects = out->suspects;
	out->msg.n_suspects =
	    hub_crash_list_suspects(hub->crash, out->suspects, BLOCKS_MAX);
}

void
hub_send_blocks(hub_t *hub, node_id_t gate, int64_t now_ms)
{
	blocks_message_t blocks;

	fill_blocks(hub, &blocks, now_ms);
	peer_net_send(hub->net, gate, MSG_FLEET_BLOCKS, &blocks.msg.base);
}

/* Proposes the list of blocked requests for the next leader, if it changed. */
static void
propose_blocked(hub_t *hub, int64_t now_ms)
{
	const hub_state_t *state = hub->state;
	hub_block_t blocks[BLOCKS_MAX];
	uint64_t fingerprints[BLOCKS_MAX];
	size_t count =
	    hub_crash_list_blocks(hub->crash, blocks, BLOCKS_MAX, now_ms);
	uint8_t *bytes;
	size_t len;
	size_t i;

	for (i = 0; i < count; i++)
		fingerprints[i] = blocks[i].fingerprint;
	metric_set(hub->metric_blocked, (int64_t)count);
	if (count == state->blocked_count &&
	    (count == 0 ||
		memcmp(fingerprints, state->blocked,
		    count * sizeof(fingerprints[0])) == 0))
		return;
	bytes = hub_entry_encode_blocked(fingerprints, count, &len);
	hub_propose(hub, bytes, len, hub_ignore_outcome, NULL);
}

void
hub_update_blocks(hub_t *hub, int64_t now_ms)
{
	blocks_message_t blocks;
	int has_changed =
	    hub->blocks_sequence != hub_crash_get_sequence(hub->crash);

	if (has_changed) {
		fill_blocks(hub, &blocks, now_ms);
		hub->blocks_sequence = blocks.msg.sequence;
		hub_feed_broadcast(
		    hub->feed, MSG_FLEET_BLOCKS, &blocks.msg.base, now_ms);
	}
	if (!has_changed && now_ms < hub->blocked_due_ms)
		return;
	hub->blocked_due_ms = now_ms + PROPOSE_BLOCKED_MS;
	propose_blocked(hub, now_ms);
}

static void
propose_target(hub_t *hub, const hub_target_t *target, int is_removed)
{
	dialect_announcement_t as = target->as;
	uint8_t *bytes;
	size_t len;

	as.state = FLEET_TARGET_DEREGISTERED;
	bytes = is_removed ? hub_entry_encode_expired_target(&as, &len)
			   : hub_entry_encode_target(&as, &len);
	hub_propose(hub, bytes, len, hub_ignore_outcome, NULL);
}

/* @return 1 if a target is to be removed or deregistered: it was deregistered
 * long ago, or has been unresponsive */
static int
is_expired(hub_t *hub, hub_target_t *target, int64_t now_ms)
{
	hub_outlier_info_t info = { .last_seen_ms = 0 };

	if (target->as.state == FLEET_TARGET_DEREGISTERED) {
		if (target->gone_ms == 0)
			target->gone_ms = now_ms;
		return (now_ms - target->gone_ms > DEREGISTERED_EXPIRY_MS);
	}
	target->gone_ms = 0;
	hub_outlier_get_info(hub->outlier, target->key, &info);
	return (info.last_seen_ms != 0 &&
	    now_ms - info.last_seen_ms > UNRESPONSIVE_EXPIRY_MS);
}

/* Expires at most one target, so that the list does not grow without bound. */
static void
expire_target(hub_t *hub, int64_t now_ms)
{
	hub_target_t *target;

	for (target = hub->state->targets; target != NULL;
	     target = target->hh.next) {
		if (!is_expired(hub, target, now_ms))
			continue;
		propose_target(
		    hub, target, target->as.state == FLEET_TARGET_DEREGISTERED);
		return;
	}
}

void
hub_update_gate_counts(hub_t *hub, int64_t now_ms)
{
	hub_gate_counts_t counts = hub_feed_get_gate_counts(hub->feed, now_ms);

	hub_quota_set_gate_counts(hub->quota, &counts, now_ms);
}

/* @return 1 if a service has as many requests as slots; targets that get no
 * new ones are full then */
static int
is_service_full(const hub_t *hub, uint64_t service)
{
	size_t count;
	const hub_utilization_t *list = hub_load_list(hub->load, &count);
	size_t i;

	for (i = 0; i < count; i++) {
		if (list[i].service == service)
			return (list[i].load >= 1);
	}
	return (0);
}

static void
update_utilizations(hub_t *hub)
{
	size_t count;
	const hub_utilization_t *list = hub_load_list(hub->load, &count);
	size_t i;

	for (i = 0; i < count; i++)
		hub_outlier_set_utilization(
		    hub->outlier, list[i].service, list[i].load);
}

static void
log_full_services(hub_t *hub, int64_t now_ms)
{
	const double percent = 100;
	size_t count;
	const hub_admission_decision_t *list =
	    hub_admission_list(hub->admission, &count);
	size_t i;

	if (now_ms < hub->full_log_due_ms)
		return;
	hub->full_log_due_ms = now_ms + FULL_LOG_MS;
	for (i = 0; i < count; i++)
		LOG_EVENT(928, LOG_LEVEL_INFO, "service is full",
		    LOG_NUM("service", list[i].service),
		    LOG_NUM(
			"utilization_percent", percent * list[i].utilization),
		    LOG_NUM("goal_percent", percent * list[i].goal),
		    LOG_NUM("asked_per_s", list[i].asked_per_s),
		    LOG_NUM("taken_per_s", list[i].per_s),
		    LOG_NUM("wait_ms", list[i].wait_ms));
}

static void
update_admission(hub_t *hub, int64_t now_ms)
{
	hub_admission_load_t loads[HUB_LOAD_SERVICES_MAX];
	size_t count;
	const hub_utilization_t *list = hub_load_list(hub->load, &count);
	size_t i;

	if ((hub->features & FLEET_FEATURE_SCARCE_CAPACITY) == 0)
		return;
	for (i = 0; i < count; i++)
		loads[i] = (hub_admission_load_t){
			.service = list[i].service,
			.slots = list[i].slots,
			.requests = list[i].load * list[i].slots,
			.work_ms = list[i].work_ms,
		};
	hub_admission_update(hub->admission, loads, count, now_ms);
	hub_admission_list(hub->admission, &count);
	metric_set(hub->metric_full_services, (int64_t)count);
	log_full_services(hub, now_ms);
}

static void
update_idle_services(hub_t *hub, int64_t now_ms)
{
	const fleet_service_t *service;
	hub_outlier_counts_t counts;

	hub->idle_service_count = 0;
	/* With scarce capacity leases offer targets to single gates. */
	if (hub->config == NULL ||
	    (hub->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0)
		return;
	for (service = hub->config->services;
	     service != NULL && hub->idle_service_count < HUB_IDLE_SERVICES_MAX;
	     service = service->hh.next) {
		if (hub_outlier_count_service(
			hub->outlier, service->id, now_ms, &counts) == TM_OK &&
		    counts.idle > 0 && !is_service_full(hub, service->id))
			hub->idle_services[hub->idle_service_count++] =
			    service->id;
	}
}

void
hub_tick_leader(hub_t *hub, int64_t now_ms)
{
	hub_outlier_tick(hub->outlier, now_ms);
	if (hub_quota_tick(hub->quota, now_ms))
		broadcast_near_limit(hub, now_ms);
	if (now_ms >= hub->load_due_ms) {
		hub->load_due_ms = now_ms + LOAD_MS;
		hub_load_update(hub->load, hub->state, hub->outlier, now_ms);
		update_idle_services(hub, now_ms);
		update_utilizations(hub);
		update_admission(hub, now_ms);
	}
	hub_cold_tick(hub, now_ms);
	hub_upload_permit_tick(hub, now_ms);
	hub_crash_tick(hub->crash, now_ms);
	hub_update_blocks(hub, now_ms);
	if (now_ms >= hub->ejected_due_ms) {
		hub->ejected_due_ms = now_ms + PROPOSE_EJECTED_MS;
		propose_ejected(hub);
	}
	if (now_ms >= hub->member_due_ms) {
		hub->member_due_ms = now_ms + SLOW_TICK_MS;
		plan_members(hub, now_ms);
		expire_target(hub, now_ms);
		hub_feed_tick(hub->feed, now_ms);
		hub_update_gate_counts(hub, now_ms);
		hub_report_tick(hub->report, hub->config, now_ms);
		metric_set(
		    hub->metric_gates, hub_feed_count_gates(hub->feed, now_ms));
	}
}
