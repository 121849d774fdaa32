#include <stdlib.h>
#include <string.h>

#include "service/service_view_internal.h"

#define REPORT_MS      200
#define REPORT_IDLE_MS 1000
/*
 * Interval for services without recent requests: with 160 services, of which
 * most have no traffic on a VM, reports every second would take the VM's whole
 * budget of 11 KB/s. Four reports may get lost before the leader's timeout of
 * 10 s.
 */
#define REPORT_QUIET_MS	 2000
#define QUIET_AFTER_MS	 10000
#define REPORT_URGENT_MS 50
/* Modulus of the phase of report times; a multiple of the idle intervals. */
#define REPORT_ALIGNMENT_MS 2000

#define ANNOUNCE_RETRY_MS 200
/* Attempts to the leader alone before other VMs relay the message. */
#define ANNOUNCE_DIRECT_TRIES 1
#define ANNOUNCE_PEERS	      2

#define CRASH_RESEND_MS 300

static void
report_fill_target(ServiceTargetReport *out, const service_endpoint_t *endpoint)
{
	const service_sample_t *fresh = &endpoint->state->pending;

	service_target_report__init(out);
	out->target = endpoint->id;
	out->incarnation = endpoint->incarnation;
	out->count = (uint32_t)fresh->count;
	out->bad = (uint32_t)fresh->failures;
	out->odd = (uint32_t)fresh->rejected;
	out->good = (uint32_t)fresh->successes;
	out->latency_ms = (uint64_t)fresh->latency_ms;
}

static void
report_fill(service_view_t *view, ServiceReport *msg,
    ServiceTargetReport *targets, ServiceDemand *demand)
{
	service_endpoint_t *endpoint;
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		endpoint = view->endpoints[i];
		if (endpoint->state->pending.count <= 0.0 &&
		    endpoint->state->pending.successes <= 0.0)
			continue;
		report_fill_target(&targets[msg->n_targets], endpoint);
		msg->targets[msg->n_targets] = &targets[msg->n_targets];
		msg->n_targets++;
		memset(&endpoint->state->pending, 0,
		    sizeof(endpoint->state->pending));
	}
	for (i = 0; i < view->demand_count; i++) {
		service_demand__init(&demand[i]);
		demand[i].workspace = view->demand[i].workspace;
		demand[i].running = view->demand[i].running;
		demand[i].queued = view->demand[i].queued;
		msg->demand[msg->n_demand++] = &demand[i];
	}
}

/* @return 1 if the leader has acknowledged all that a report would contain */
static int
report_is_acknowledged(const service_view_t *view, node_id_t leader)
{
	uint32_t i;

	if (view->acked_leader != leader || view->acked_term != view->term ||
	    view->acked_sequence != view->sequence || view->demand_count > 0)
		return (0);
	for (i = 0; i < view->count; i++) {
		if (view->endpoints[i]->state->pending.count > 0.0 ||
		    view->endpoints[i]->state->pending.successes > 0.0)
			return (0);
	}
	return (1);
}

static void
report_send_short(service_view_t *view, node_id_t leader)
{
	ServiceReport msg = SERVICE_REPORT__INIT;

	msg.service = view->id;
	view->opt.send(view->opt.ctx, leader, MSG_SERVICE_REPORT, &msg.base);
}

static void
report_send(service_view_t *view, node_id_t leader)
{
	ServiceReport msg = SERVICE_REPORT__INIT;
	uint32_t count = view->count + 1;
	uint32_t demand_count = view->demand_count + 1;
	ServiceTargetReport *targets = calloc(count, sizeof(*targets));
	ServiceDemand *demand = calloc(demand_count, sizeof(*demand));

	msg.service = view->id;
	msg.data_centre = view->opt.data_centre;
	msg.term = view->term;
	msg.sequence = view->sequence;
	msg.targets = calloc(count, sizeof(ServiceTargetReport *));
	msg.demand = calloc(demand_count, sizeof(ServiceDemand *));
	if (targets && demand && msg.targets && msg.demand) {
		report_fill(view, &msg, targets, demand);
		view->opt.send(
		    view->opt.ctx, leader, MSG_SERVICE_REPORT, &msg.base);
	}
	free(targets);
	free(demand);
	free(msg.targets);
	free(msg.demand);
}

static int64_t
report_get_interval_ms(const service_view_t *view, int64_t now_ms)
{
	if (view->urgent)
		return (REPORT_URGENT_MS);
	if (view->attempts > 0 || view->demand_count > 0)
		return (REPORT_MS);
	if (now_ms - view->active_ms >= QUIET_AFTER_MS)
		return (REPORT_QUIET_MS);
	return (REPORT_IDLE_MS);
}

int64_t
view_report_get_due_ms(const service_view_t *view, int64_t now_ms)
{
	int64_t interval_ms = report_get_interval_ms(view, now_ms);
	uint64_t phase = view->opt.self ^ view->report_leader;
	int64_t due_ms = view->reported_ms + interval_ms;

	/*
	 * Reports of idle services to one leader are sent at the same time, to
	 * share a batch; each VM has its own phase. A report with outcomes is
	 * sent without this alignment.
	 */
	if (interval_ms >= REPORT_IDLE_MS && view->reported_ms > 0)
		due_ms -=
		    (int64_t)(((uint64_t)due_ms + phase % REPORT_ALIGNMENT_MS) %
			(uint64_t)interval_ms);
	return (due_ms);
}

void
view_report_run(service_view_t *view, int64_t now_ms)
{
	node_id_t leader;

	if (view->attempts > 0 || view->active_ms == 0)
		view->active_ms = now_ms;
	if (now_ms < view_report_get_due_ms(view, now_ms))
		return;
	leader = view->opt.get_leader(view->opt.ctx);
	if (leader == NODE_ID_NONE)
		return;
	view->reported_ms = now_ms;
	view->report_leader = leader;
	view->urgent = 0;
	view->attempts = 0;
	view->is_report_short = report_is_acknowledged(view, leader);
	if (view->is_report_short)
		report_send_short(view, leader);
	else
		report_send(view, leader);
}

static void
announce_send(service_view_t *view, const view_announce_t *pending,
    node_id_t to, int relay)
{
	const service_announcement_t *info = &pending->info;
	ServiceAnnounce msg = SERVICE_ANNOUNCE__INIT;

	if (to == NODE_ID_NONE)
		return;
	msg.service = view->id;
	msg.target = (char *)info->target;
	msg.incarnation = info->incarnation;
	msg.ip = (char *)info->ip;
	msg.port = info->port;
	msg.slots = info->slots;
	msg.connection_cap = info->connection_cap;
	msg.leaving = info->leaving;
	msg.relay = relay;
	msg.origin = view->opt.self;
	view->opt.send(view->opt.ctx, to, MSG_SERVICE_ANNOUNCE, &msg.base);
}

void
view_announce_run(service_view_t *view, int64_t now_ms)
{
	view_announce_t *pending;
	uint32_t i;
	int k;

	for (i = 0; i < VIEW_ANNOUNCES_MAX; i++) {
		pending = &view->announces[i];
		if (pending->until_ms == 0 || now_ms < pending->next_ms)
			continue;
		if (now_ms >= pending->until_ms) {
			pending->until_ms = 0;
			continue;
		}
		pending->next_ms = now_ms + ANNOUNCE_RETRY_MS;
		announce_send(
		    view, pending, view->opt.get_leader(view->opt.ctx), 0);
		if (pending->tries++ < ANNOUNCE_DIRECT_TRIES ||
		    (view->opt.test_off & SERVICE_VIEW_OFF_RELAY))
			continue;
		for (k = 0; k < ANNOUNCE_PEERS; k++)
			announce_send(view, pending,
			    view->opt.get_peer(view->opt.ctx), 1);
	}
}

int64_t
view_announce_get_due_ms(const service_view_t *view)
{
	int64_t due_ms = VIEW_NEVER_MS;
	uint32_t i;

	for (i = 0; i < VIEW_ANNOUNCES_MAX; i++) {
		if (view->announces[i].until_ms != 0 &&
		    view->announces[i].next_ms < due_ms)
			due_ms = view->announces[i].next_ms;
	}
	return (due_ms);
}

void
view_announce_relay(
    service_view_t *view, const ServiceAnnounce *msg, int64_t now_ms)
{
	node_id_t leader = view->opt.get_leader(view->opt.ctx);
	ServiceAnnounce copy = *msg;

	/* On the leader itself, service_leader_handle() gets the message too.
	 */
	if (!msg->relay || leader == NODE_ID_NONE || leader == view->opt.self)
		return;
	copy.relay = 0;
	view->opt.send(view->opt.ctx, leader, MSG_SERVICE_ANNOUNCE, &copy.base);
}

void
view_announce_reply(service_view_t *view, const ServiceAnnounceReply *msg)
{
	view_announce_t *pending;
	uint32_t i;

	for (i = 0; i < VIEW_ANNOUNCES_MAX; i++) {
		pending = &view->announces[i];
		if (pending->target != msg->target ||
		    pending->info.incarnation != msg->incarnation)
			continue;
		pending->until_ms = 0;
		pending->result = msg->stale ? SERVICE_ANNOUNCE_STALE
					     : SERVICE_ANNOUNCE_ACCEPTED;
	}
}

static void
crash_send(service_view_t *view, const view_crash_t *crash)
{
	node_id_t leader = view->opt.get_leader(view->opt.ctx);
	ServiceCrash msg = SERVICE_CRASH__INIT;

	if (leader == NODE_ID_NONE)
		return;
	msg.service = view->id;
	msg.target = crash->target;
	msg.incarnation = crash->incarnation;
	msg.fingerprint = crash->fingerprint;
	view->opt.send(view->opt.ctx, leader, MSG_SERVICE_CRASH, &msg.base);
}

/* Each crash message is sent a second time, because messages may be lost. */
void
view_crash_run(service_view_t *view, int64_t now_ms)
{
	view_crash_t *crash;
	uint32_t i;

	for (i = 0; i < VIEW_CRASHES_MAX; i++) {
		crash = &view->crashes[i];
		if (crash->at_ms == 0 || crash->is_resent ||
		    now_ms - crash->at_ms < CRASH_RESEND_MS)
			continue;
		crash->is_resent = 1;
		crash_send(view, crash);
	}
}

int64_t
view_crash_get_due_ms(const service_view_t *view)
{
	const view_crash_t *crash;
	int64_t due_ms = VIEW_NEVER_MS;
	uint32_t i;

	for (i = 0; i < VIEW_CRASHES_MAX; i++) {
		crash = &view->crashes[i];
		if (crash->at_ms != 0 && !crash->is_resent &&
		    crash->at_ms + CRASH_RESEND_MS < due_ms)
			due_ms = crash->at_ms + CRASH_RESEND_MS;
	}
	return (due_ms);
}

void
service_view_report_crash(service_view_t *view, uint64_t fingerprint,
    const service_endpoint_t *endpoint, int64_t now_ms)
{
	view_crash_t *crash =
	    &view->crashes[view->crash_next++ % VIEW_CRASHES_MAX];

	*crash = (view_crash_t){
		.fingerprint = fingerprint,
		.target = endpoint->id,
		.incarnation = endpoint->incarnation,
		.at_ms = now_ms,
	};
	crash_send(view, crash);
}

void
view_send_probe_result(service_view_t *view, const service_endpoint_t *endpoint,
    uint64_t permit, int success, int64_t latency_ms)
{
	node_id_t leader = view->opt.get_leader(view->opt.ctx);
	ServiceTrialResult msg = SERVICE_TRIAL_RESULT__INIT;

	if (leader == NODE_ID_NONE)
		return;
	msg.service = view->id;
	msg.target = endpoint->id;
	msg.permit = permit;
	msg.good = success;
	msg.latency_ms = (uint32_t)latency_ms;
	view->opt.send(
	    view->opt.ctx, leader, MSG_SERVICE_TRIAL_RESULT, &msg.base);
}
