#include "service/service_leader.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "service/service_leader_internal.h"

#define LEADER_LEASE_MS 5000
/* A target that answered within this time stays in use without a lease. */
#define LEADER_SUCCESS_TIMEOUT_MS 5000
/* Time from the end of the lease to the removal of an unused record. */
#define LEADER_LEAVING_EXPIRY_MS 60000
#define LEADER_LAPSED_EXPIRY_MS	 600000

service_leader_t *
service_leader_create(const service_leader_options_t *options)
{
	service_leader_t *leader;

	if (!node_name_is_valid(options->service))
		return (NULL);
	leader = calloc(1, sizeof(*leader));
	if (leader == NULL)
		return (NULL);
	leader->opt = *options;
	strncpy(leader->name, options->service, sizeof(leader->name) - 1);
	leader->opt.service = leader->name;
	leader->id = service_id_from_name(leader->name);
	leader->fair_level = -1;
	rng_init(&leader->rng, options->seed);
	return (leader);
}

void
service_leader_destroy(service_leader_t *leader)
{
	if (leader == NULL)
		return;
	leader_evidence_clear(leader);
	leader_shares_clear(leader);
	free(leader->encoded);
	free(leader);
}

const service_leader_stats_t *
service_leader_get_stats(const service_leader_t *leader)
{
	return (&leader->stats);
}

int
leader_find_index(const service_leader_t *leader, uint64_t target)
{
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		if (leader->targets[i].used && leader->targets[i].id == target)
			return ((int)i);
	}
	return (-1);
}

void
leader_target_init(
    leader_target_t *target, const service_announcement_t *info, int64_t now_ms)
{
	*target = (leader_target_t){
		.used = 1,
		.id = service_id_from_name(info->target),
		.info = *info,
		.state = SERVICE_TARGET_ACTIVE,
		.state_since_ms = now_ms,
		.cold_started_ms = now_ms,
		.last_success_ms = now_ms,
		.lease_until_ms = now_ms + LEADER_LEASE_MS,
	};
}

static int
leader_get_free_index(service_leader_t *leader)
{
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		if (!leader->targets[i].used)
			return ((int)i);
	}
	if (leader->target_count == SERVICE_TARGETS_MAX)
		return (-1);
	return ((int)leader->target_count++);
}

static void
leader_set_leaving(
    service_leader_t *leader, leader_target_t *target, int64_t now_ms)
{
	if (target->state == SERVICE_TARGET_LEAVING)
		return;
	target->state = SERVICE_TARGET_LEAVING;
	target->state_since_ms = now_ms;
	target->left_ms = now_ms;
	leader->dirty = 1;
}

/* A new incarnation keeps the ejection count, which sets the probe backoff. */
static void
leader_replace(service_leader_t *leader, uint32_t index,
    const service_announcement_t *info, int64_t now_ms)
{
	leader_target_t *target = &leader->targets[index];
	uint32_t ejections = target->ejections;
	int64_t ejected_ms = target->ejected_ms;

	leader_target_init(target, info, now_ms);
	target->ejections = ejections;
	target->ejected_ms = ejected_ms;
	leader_evidence_clear_target(leader, index);
	if (info->leaving)
		leader_set_leaving(leader, target, now_ms);
	leader->dirty = 1;
	LOG_EVENT(605, LOG_LEVEL_INFO, "target registered",
	    LOG_TEXT("service", leader->name), LOG_TEXT("target", info->target),
	    LOG_TEXT("ip", info->ip), LOG_NUM("port", info->port),
	    LOG_NUM("incarnation", info->incarnation));
}

static int
leader_renew(service_leader_t *leader, uint32_t index,
    const service_announcement_t *info, int64_t now_ms)
{
	leader_target_t *target = &leader->targets[index];
	int check = !(leader->opt.test_off & SERVICE_OFF_INCARNATION);

	if (check && info->incarnation < target->info.incarnation)
		return (TM_ESTALE);
	if (info->incarnation != target->info.incarnation) {
		leader_replace(leader, index, info, now_ms);
		return (TM_OK);
	}
	target->lease_until_ms = now_ms + LEADER_LEASE_MS;
	if (info->leaving)
		leader_set_leaving(leader, target, now_ms);
	if (target->state == SERVICE_TARGET_LAPSED) {
		target->state = SERVICE_TARGET_ACTIVE;
		target->state_since_ms = now_ms;
		leader->dirty = 1;
	}
	return (TM_OK);
}

static int
leader_announce(service_leader_t *leader, const service_announcement_t *info,
    int64_t now_ms)
{
	int index =
	    leader_find_index(leader, service_id_from_name(info->target));

	if (index >= 0)
		return (leader_renew(leader, (uint32_t)index, info, now_ms));
	index = leader_get_free_index(leader);
	if (index < 0)
		return (TM_EFULL);
	leader_replace(leader, (uint32_t)index, info, now_ms);
	return (TM_OK);
}

static int
leader_parse_announce(const ServiceAnnounce *msg, service_announcement_t *info)
{
	*info = (service_announcement_t){
		.incarnation = msg->incarnation,
		.port = (uint16_t)msg->port,
		.slots = msg->slots,
		.connection_cap = msg->connection_cap,
		.leaving = msg->leaving,
	};
	if (!node_name_is_valid(msg->target))
		return (TM_EFORMAT);
	if (strlen(msg->ip) >= sizeof(info->ip) || msg->ip[0] == '\0' ||
	    msg->port == 0 || msg->port > UINT16_MAX || msg->slots == 0)
		return (TM_EFORMAT);
	strncpy(info->target, msg->target, sizeof(info->target) - 1);
	strncpy(info->ip, msg->ip, sizeof(info->ip) - 1);
	return (TM_OK);
}

static void
leader_handle_announce(service_leader_t *leader, node_id_t from,
    const ServiceAnnounce *msg, int64_t now_ms)
{
	ServiceAnnounceReply reply = SERVICE_ANNOUNCE_REPLY__INIT;
	service_announcement_t info;
	int err;

	err = leader_parse_announce(msg, &info);
	if (err == TM_OK)
		err = leader_announce(leader, &info, now_ms);
	if (err != TM_OK)
		leader->stats.rejected_messages++;
	if (err != TM_OK && err != TM_ESTALE)
		return;
	reply.service = leader->id;
	reply.target = service_id_from_name(info.target);
	reply.incarnation = info.incarnation;
	reply.stale = err == TM_ESTALE;
	leader->opt.send(leader->opt.ctx, msg->origin,
	    MSG_SERVICE_ANNOUNCE_REPLY, &reply.base);
	if (leader->dirty)
		leader_table_publish(leader, now_ms);
}

static int
leader_is_report_valid(const ServiceTargetReport *report)
{
	const uint32_t max = 1000000;

	return (report->count <= max && report->bad <= max &&
	    report->odd <= max && report->good <= max &&
	    report->latency_ms <= (uint64_t)max * 1000);
}

static void
leader_add_report(service_leader_t *leader, leader_vm_t *vm,
    const ServiceTargetReport *report, int64_t now_ms)
{
	const service_sample_t sample = {
		.count = report->count,
		.failures = report->bad,
		.rejected = report->odd,
		.successes = report->good,
		.latency_ms = (double)report->latency_ms,
	};
	int index = leader_find_index(leader, report->target);

	if (!leader_is_report_valid(report)) {
		leader->stats.rejected_messages++;
		return;
	}
	if (index < 0 ||
	    leader->targets[index].info.incarnation != report->incarnation)
		return;
	if (report->good > 0)
		leader->targets[index].last_success_ms = now_ms;
	leader_evidence_add(leader, vm, (uint32_t)index, &sample);
}

/* Requests a full report from a VM that this leader does not know. */
static void
leader_handle_short_report(
    service_leader_t *leader, node_id_t from, int64_t now_ms)
{
	leader_vm_t *vm = leader_vm_find(leader, from);

	if (vm == NULL) {
		leader_shares_request_report(leader, from);
		return;
	}
	vm->reported_ms = now_ms;
	leader_set_demand(&leader->rng, vm, NULL, 0);
	if (vm->term != leader->term || vm->sequence != leader->sequence)
		leader_table_send(leader, from, now_ms);
	leader_shares_send(leader, vm);
}

static void
leader_handle_report(service_leader_t *leader, node_id_t from,
    const ServiceReport *msg, int64_t now_ms)
{
	leader_vm_t *vm;
	size_t i;

	if (msg->data_centre == 0) {
		leader_handle_short_report(leader, from, now_ms);
		return;
	}
	vm = leader_vm_get(leader, from, msg->data_centre);
	if (vm == NULL)
		return;
	vm->reported_ms = now_ms;
	vm->term = msg->term;
	vm->sequence = msg->sequence;
	if (msg->n_targets > 0)
		vm->traffic_ms = now_ms;
	for (i = 0; i < msg->n_targets && i < SERVICE_TARGETS_MAX; i++)
		leader_add_report(leader, vm, msg->targets[i], now_ms);
	leader_set_demand(&leader->rng, vm, msg->demand, msg->n_demand);
	if (msg->term != leader->term || msg->sequence != leader->sequence)
		leader_table_send(leader, from, now_ms);
	leader_shares_send(leader, vm);
}

void
service_leader_handle(service_leader_t *leader, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	const ProtobufCMessageDescriptor *kinds[] = {
		[MSG_SERVICE_REPORT - MSG_SERVICE_BASE] =
		    &service_report__descriptor,
		[MSG_SERVICE_ANNOUNCE - MSG_SERVICE_BASE] =
		    &service_announce__descriptor,
		[MSG_SERVICE_TRIAL_RESULT - MSG_SERVICE_BASE] =
		    &service_trial_result__descriptor,
		[MSG_SERVICE_CRASH - MSG_SERVICE_BASE] =
		    &service_crash__descriptor,
	};
	ProtobufCMessage *msg;
	uint64_t service;

	if (leader->term == 0 ||
	    service_message_get_service(type, payload, len, &service) !=
		TM_OK ||
	    service != leader->id || type > MSG_SERVICE_CRASH ||
	    kinds[type - MSG_SERVICE_BASE] == NULL)
		return;
	msg = protobuf_c_message_unpack(
	    kinds[type - MSG_SERVICE_BASE], NULL, len, payload);
	if (msg == NULL) {
		leader->stats.rejected_messages++;
		return;
	}
	if (type == MSG_SERVICE_REPORT)
		leader_handle_report(
		    leader, from, (ServiceReport *)msg, now_ms);
	else if (type == MSG_SERVICE_ANNOUNCE)
		leader_handle_announce(
		    leader, from, (ServiceAnnounce *)msg, now_ms);
	else if (type == MSG_SERVICE_TRIAL_RESULT)
		leader_handle_probe_result(
		    leader, (ServiceTrialResult *)msg, now_ms);
	else
		leader_handle_crash(leader, from, (ServiceCrash *)msg, now_ms);
	protobuf_c_message_free_unpacked(msg, NULL);
}

/* A target that still answers has only lost contact for registration. */
static int
leader_has_lapsed(const service_leader_t *leader, const leader_target_t *target,
    int64_t now_ms)
{
	if (target->state != SERVICE_TARGET_ACTIVE ||
	    now_ms < target->lease_until_ms)
		return (0);
	if (leader->opt.test_off & SERVICE_OFF_KEEP_ANSWERING)
		return (1);
	return (now_ms - target->last_success_ms > LEADER_SUCCESS_TIMEOUT_MS);
}

static int
leader_is_expired(const leader_target_t *target, int64_t now_ms)
{
	int64_t since_lease_ms = now_ms - target->lease_until_ms;

	if (target->state == SERVICE_TARGET_LEAVING)
		return (since_lease_ms > LEADER_LEAVING_EXPIRY_MS);
	if (target->state == SERVICE_TARGET_ACTIVE)
		return (0);
	return (since_lease_ms > LEADER_LAPSED_EXPIRY_MS);
}

static void
leader_check_leases(service_leader_t *leader, int64_t now_ms)
{
	leader_target_t *target;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		target = &leader->targets[i];
		if (!target->used)
			continue;
		if (leader_is_expired(target, now_ms)) {
			target->used = 0;
			leader_evidence_clear_target(leader, i);
			leader->dirty = 1;
			continue;
		}
		if (!leader_has_lapsed(leader, target, now_ms) ||
		    leader_count_in_use(leader) <= leader_get_floor(leader))
			continue;
		target->state = SERVICE_TARGET_LAPSED;
		target->state_since_ms = now_ms;
		target->left_ms = now_ms;
		leader->stats.lapses++;
		leader->dirty = 1;
		LOG_EVENT(606, LOG_LEVEL_WARN, "target lease lapsed",
		    LOG_TEXT("service", leader->name),
		    LOG_TEXT("target", target->info.target));
	}
}

static void
leader_drop_blocked(service_leader_t *leader, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < leader->blocked_count;) {
		if (leader->blocked[i].until_ms > now_ms)
			i++;
		else
			leader->blocked[i] =
			    leader->blocked[--leader->blocked_count];
	}
}

static void
leader_change_term(service_leader_t *leader, uint64_t term, int64_t now_ms)
{
	leader->term = term;
	leader->sequence = 0;
	leader->dirty = 0;
	leader->target_count = 0;
	leader->blocked_count = 0;
	leader->typical_ms = 0;
	leader->decayed_ms = now_ms;
	leader_evidence_clear(leader);
	leader_shares_clear(leader);
	memset(leader->targets, 0, sizeof(leader->targets));
	memset(leader->crashes, 0, sizeof(leader->crashes));
	if (term == 0)
		return;
	leader_evidence_init(leader);
	leader_table_restore(leader, now_ms);
	leader->dirty = 1;
	LOG_EVENT(600, LOG_LEVEL_INFO, "leading service",
	    LOG_TEXT("service", leader->name), LOG_NUM("term", term),
	    LOG_NUM("targets", leader->target_count));
}

void
service_leader_tick(service_leader_t *leader, int64_t now_ms)
{
	uint64_t term = leader->opt.get_term(leader->opt.ctx);

	if (term != leader->term)
		leader_change_term(leader, term, now_ms);
	if (leader->term == 0)
		return;
	leader->opt.get_profile(leader->opt.ctx, &leader->profile);
	if (now_ms - leader->evaluated_ms >= LEADER_EVALUATE_MS) {
		leader->evaluated_ms = now_ms;
		leader_evidence_evaluate(leader, now_ms);
		leader_shares_compute(leader, now_ms);
		leader_check_leases(leader, now_ms);
		leader_drop_blocked(leader, now_ms);
	}
	leader_restore_floor(leader, now_ms);
	leader_send_probe_permits(leader, now_ms);
	if (leader->dirty)
		leader_table_publish(leader, now_ms);
}
