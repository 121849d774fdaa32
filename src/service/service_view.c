#include "service/service_view.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "service/service_view_internal.h"

#define VIEW_ANNOUNCE_TIMEOUT_MS    3000
#define VIEW_LEADER_TIMEOUT_MS	    2500
#define VIEW_SHARES_EXPIRY_MS	    1000
#define VIEW_PERMIT_EXPIRY_MS	    1000
#define VIEW_CRASH_WINDOW_MS	    60000
#define VIEW_CRASH_TARGETS_TO_BLOCK 2
/* A target that shed a request is not chosen for this time, if avoidable. */
#define VIEW_SHED_BACKOFF_MS 100

service_view_t *
service_view_create(const service_view_options_t *options)
{
	service_view_t *view;

	if (!node_name_is_valid(options->service) ||
	    options->self == NODE_ID_NONE || options->data_centre == 0)
		return (NULL);
	view = calloc(1, sizeof(*view));
	if (view == NULL)
		return (NULL);
	view->opt = *options;
	strncpy(view->name, options->service, sizeof(view->name) - 1);
	view->opt.service = view->name;
	view->id = service_id_from_name(view->name);
	view->vm_count = 1;
	view->generation = 1;
	rng_init(&view->rng, options->seed);
	view->opt.get_profile(view->opt.ctx, &view->profile);
	return (view);
}

static void
view_clear_shares(service_view_t *view)
{
	view_share_t *share;
	view_share_t *tmp;

	HASH_ITER(hh, view->shares, share, tmp) {
		HASH_DEL(view->shares, share);
		free(share);
	}
}

void
service_view_destroy(service_view_t *view)
{
	uint32_t i;

	if (view == NULL)
		return;
	for (i = 0; i < view->count; i++) {
		free(view->endpoints[i]->state);
		free(view->endpoints[i]);
	}
	view_free_retired(view);
	view_clear_shares(view);
	free(view->demand);
	free(view);
}

/* Sends a full report at once to a leader that has none of this VM. */
static void
view_handle_ack(service_view_t *view, node_id_t from, const ServiceShares *msg)
{
	view->acked_leader = msg->seen_next > 0 ? from : NODE_ID_NONE;
	view->acked_term = msg->term;
	view->acked_sequence = msg->seen_next - 1;
	if (msg->seen_next == 0 && view->is_report_short)
		view->reported_ms = 0;
}

static void
view_handle_shares(service_view_t *view, node_id_t from,
    const ServiceShares *msg, int64_t now_ms)
{
	view_share_t *share;
	size_t i;

	if (msg->term < view->term)
		return;
	view_handle_ack(view, from, msg);
	view->acked_ms = now_ms;
	view->typical_ms = msg->typical_us / 1000.0;
	view->vm_count = msg->vm_count > 0 ? msg->vm_count : 1;
	view->shares_until_ms = now_ms + VIEW_SHARES_EXPIRY_MS;
	view_clear_shares(view);
	for (i = 0; i < msg->n_shares; i++) {
		share = calloc(1, sizeof(*share));
		if (share == NULL)
			return;
		share->workspace = msg->shares[i]->workspace;
		share->slots = msg->shares[i]->slots;
		HASH_ADD(hh, view->shares, workspace, sizeof(uint64_t), share);
	}
}

static service_endpoint_t *
view_find(const service_view_t *view, uint64_t target)
{
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		if (view->endpoints[i]->id == target)
			return (view->endpoints[i]);
	}
	return (NULL);
}

static void
view_handle_probe_permit(
    service_view_t *view, const ServiceTrial *msg, int64_t now_ms)
{
	service_endpoint_t *endpoint = view_find(view, msg->target);

	if (endpoint == NULL || endpoint->incarnation != msg->incarnation)
		return;
	endpoint->state->permit = msg->permit;
	endpoint->state->permit_until_ms = now_ms + VIEW_PERMIT_EXPIRY_MS;
	endpoint->state->permit_allows_unrepeatable = msg->allows_unrepeatable;
}

void
service_view_handle(service_view_t *view, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	const ProtobufCMessageDescriptor *kinds[] = {
		[MSG_SERVICE_TABLE - MSG_SERVICE_BASE] =
		    &service_table__descriptor,
		[MSG_SERVICE_SHARES - MSG_SERVICE_BASE] =
		    &service_shares__descriptor,
		[MSG_SERVICE_ANNOUNCE - MSG_SERVICE_BASE] =
		    &service_announce__descriptor,
		[MSG_SERVICE_ANNOUNCE_REPLY - MSG_SERVICE_BASE] =
		    &service_announce_reply__descriptor,
		[MSG_SERVICE_TRIAL - MSG_SERVICE_BASE] =
		    &service_trial__descriptor,
		[MSG_SERVICE_VERSION - MSG_SERVICE_BASE] =
		    &service_version__descriptor,
	};
	ProtobufCMessage *msg;
	uint64_t service;

	if (service_message_get_service(type, payload, len, &service) !=
		TM_OK ||
	    service != view->id || kinds[type - MSG_SERVICE_BASE] == NULL)
		return;
	msg = protobuf_c_message_unpack(
	    kinds[type - MSG_SERVICE_BASE], NULL, len, payload);
	if (msg == NULL)
		return;
	if (type == MSG_SERVICE_TABLE)
		view_table_handle(view, (ServiceTable *)msg, now_ms);
	else if (type == MSG_SERVICE_SHARES)
		view_handle_shares(view, from, (ServiceShares *)msg, now_ms);
	else if (type == MSG_SERVICE_ANNOUNCE)
		view_announce_relay(view, (ServiceAnnounce *)msg, now_ms);
	else if (type == MSG_SERVICE_ANNOUNCE_REPLY)
		view_announce_reply(view, (ServiceAnnounceReply *)msg);
	else if (type == MSG_SERVICE_TRIAL)
		view_handle_probe_permit(view, (ServiceTrial *)msg, now_ms);
	else
		service_view_handle_version(view, from,
		    ((ServiceVersion *)msg)->term,
		    ((ServiceVersion *)msg)->sequence, now_ms);
	protobuf_c_message_free_unpacked(msg, NULL);
}

void
service_view_tick(service_view_t *view, int64_t now_ms)
{
	view->opt.get_profile(view->opt.ctx, &view->profile);
	view_local_run(view, now_ms);
	view_report_run(view, now_ms);
	view_announce_run(view, now_ms);
	view_crash_run(view, now_ms);
	view_table_gossip(view, now_ms);
	view_free_retired(view);
}

static int64_t
view_get_earlier(int64_t a_ms, int64_t b_ms)
{
	return (a_ms < b_ms ? a_ms : b_ms);
}

int64_t
service_view_get_due_ms(const service_view_t *view, int64_t now_ms)
{
	int64_t due_ms = view_report_get_due_ms(view, now_ms);

	due_ms = view_get_earlier(due_ms, view_local_get_due_ms(view, now_ms));
	due_ms = view_get_earlier(due_ms, view_announce_get_due_ms(view));
	due_ms = view_get_earlier(due_ms, view_crash_get_due_ms(view));
	return (view_get_earlier(due_ms, view_table_get_due_ms(view)));
}

/* Finds the target's record, or the least recently renewed one for reuse. */
static view_announce_t *
view_get_announce(service_view_t *view, uint64_t target)
{
	view_announce_t *oldest = NULL;
	uint32_t i;

	for (i = 0; i < VIEW_ANNOUNCES_MAX; i++) {
		if (view->announces[i].target == target)
			return (&view->announces[i]);
		if (view->announces[i].until_ms != 0)
			continue;
		if (oldest == NULL ||
		    view->announces[i].next_ms < oldest->next_ms)
			oldest = &view->announces[i];
	}
	return (oldest);
}

int
service_view_announce(service_view_t *view,
    const service_announcement_t *announcement, int64_t now_ms)
{
	uint64_t id = service_id_from_name(announcement->target);
	const service_endpoint_t *endpoint = view_find(view, id);
	int check = !(view->opt.test_off & SERVICE_VIEW_OFF_INCARNATION);
	view_announce_t *pending;

	if (!node_name_is_valid(announcement->target) ||
	    announcement->ip[0] == '\0' || announcement->port == 0 ||
	    announcement->slots == 0)
		return (TM_EINVAL);
	if (check && endpoint != NULL &&
	    endpoint->incarnation > announcement->incarnation)
		return (TM_ESTALE);
	pending = view_get_announce(view, id);
	if (pending == NULL)
		return (TM_EFULL);
	if (check && pending->target == id &&
	    pending->info.incarnation > announcement->incarnation)
		return (TM_ESTALE);
	if (pending->target != id ||
	    pending->info.incarnation != announcement->incarnation)
		pending->result = SERVICE_ANNOUNCE_PENDING;
	pending->info = *announcement;
	pending->target = id;
	pending->until_ms = now_ms + VIEW_ANNOUNCE_TIMEOUT_MS;
	pending->next_ms = now_ms;
	pending->tries = 0;
	view_announce_run(view, now_ms);
	return (TM_OK);
}

service_announce_result_t
service_view_get_announce_result(
    const service_view_t *view, const char *target, uint64_t incarnation)
{
	uint64_t id = service_id_from_name(target);
	uint32_t i;

	for (i = 0; i < VIEW_ANNOUNCES_MAX; i++) {
		if (view->announces[i].target == id &&
		    view->announces[i].info.incarnation == incarnation)
			return (view->announces[i].result);
	}
	return (SERVICE_ANNOUNCE_PENDING);
}

void
service_view_get_info(const service_endpoint_t *endpoint, int64_t now_ms,
    service_endpoint_info_t *out)
{
	const service_endpoint_state_t *state = endpoint->state;

	*out = (service_endpoint_info_t){
		.state = state->state,
		.state_age_ms = now_ms - state->state_since_ms,
		.ejections = state->ejections,
		.verdict = state->verdict,
		.avoided = state->avoided,
		.avoided_age_ms = now_ms - state->avoided_ms,
		.local = state->local_finding,
		.avoided_by_data_centre = state->avoid_dc,
	};
}

service_endpoint_t *const *
service_view_get_endpoints(const service_view_t *view, uint32_t *count)
{
	*count = view->count;
	return (view->endpoints);
}

uint64_t
service_view_get_generation(const service_view_t *view)
{
	return (view->generation);
}

service_endpoint_t *
service_view_take_probe(service_view_t *view, int may_repeat, int64_t now_ms)
{
	service_endpoint_state_t *state;
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		state = view->endpoints[i]->state;
		if (state->permit == 0 || now_ms >= state->permit_until_ms ||
		    state->state != SERVICE_TARGET_EJECTED ||
		    (!may_repeat && !state->permit_allows_unrepeatable))
			continue;
		state->permit_until_ms = 0;
		return (view->endpoints[i]);
	}
	return (view_local_take_probe(view, may_repeat, now_ms));
}

void
service_view_start(service_view_t *view, service_attempt_t *attempt,
    service_endpoint_t *endpoint, int trial, int64_t now_ms)
{
	service_endpoint_state_t *state = endpoint->state;

	view_local_decay(view, now_ms);
	*attempt = (service_attempt_t){
		.endpoint = endpoint,
		.started_ms = now_ms,
		.trial = trial,
		.prev = state->newest,
	};
	if (state->newest != NULL)
		state->newest->next = attempt;
	else
		state->oldest = attempt;
	state->newest = attempt;
	endpoint->in_flight++;
	view->attempts++;
}

static void
view_unlink(service_attempt_t *attempt)
{
	service_endpoint_state_t *state = attempt->endpoint->state;

	if (attempt->prev != NULL)
		attempt->prev->next = attempt->next;
	else
		state->oldest = attempt->next;
	if (attempt->next != NULL)
		attempt->next->prev = attempt->prev;
	else
		state->newest = attempt->prev;
	attempt->endpoint->in_flight--;
}

static void
view_finish_probe(service_view_t *view, service_endpoint_t *endpoint,
    int success, int64_t latency_ms, int64_t now_ms)
{
	service_endpoint_state_t *state = endpoint->state;

	if (state->local_probe_running) {
		view_local_end_probe(
		    view, endpoint, success, latency_ms, now_ms);
		return;
	}
	if (state->permit == 0)
		return;
	view_send_probe_result(
	    view, endpoint, state->permit, success, latency_ms);
	state->permit = 0;
}

static int
view_is_late(const service_view_t *view, int64_t latency_ms)
{
	double late_ms = service_outlier_get_late_ms(
	    view->profile.sensitivity, view->typical_ms);

	if (view->opt.test_off & SERVICE_VIEW_OFF_LATE)
		return (0);
	return (late_ms > 0.0 && (double)latency_ms >= late_ms);
}

/*
 * A stalled attempt was counted before its end; only its latency is added. A
 * superseded attempt adds its age to the latency, but is no success.
 */
static void
view_add_outcome(service_view_t *view, const service_attempt_t *attempt,
    service_outcome_t outcome, int64_t latency_ms)
{
	service_endpoint_state_t *state = attempt->endpoint->state;
	service_sample_t sample = { .count = attempt->stalled ? 0 : 1 };

	if (outcome == SERVICE_OUTCOME_OK) {
		sample.successes = 1;
		sample.latency_ms = (double)latency_ms;
	} else if (outcome == SERVICE_OUTCOME_SUPERSEDED) {
		sample.latency_ms = (double)latency_ms;
		if (view_is_late(view, latency_ms))
			view->urgent = 1;
		else
			sample.count = 0;
	} else if (outcome == SERVICE_OUTCOME_SHED ||
	    outcome == SERVICE_OUTCOME_REJECTED) {
		sample.rejected = sample.count;
	} else {
		sample.failures = sample.count;
		view->urgent = 1;
	}
	service_window_add(&state->window, &sample);
	view->unevaluated = 1;
	state->pending.count += sample.count;
	state->pending.failures += sample.failures;
	state->pending.rejected += sample.rejected;
	state->pending.successes += sample.successes;
	state->pending.latency_ms += sample.latency_ms;
}

static int
view_has_evidence(const service_view_t *view, service_outcome_t outcome)
{
	if (outcome == SERVICE_OUTCOME_SUPERSEDED)
		return (!(view->opt.test_off & SERVICE_VIEW_OFF_SUPERSEDED));
	return (outcome != SERVICE_OUTCOME_CANCELED);
}

void
service_view_finish(service_view_t *view, service_attempt_t *attempt,
    service_outcome_t outcome, int64_t now_ms)
{
	service_endpoint_t *endpoint = attempt->endpoint;
	int64_t latency_ms = now_ms - attempt->started_ms;

	if (endpoint == NULL)
		return;
	view_unlink(attempt);
	attempt->endpoint = NULL;
	if (outcome == SERVICE_OUTCOME_SHED)
		endpoint->shed_until_ms = now_ms + VIEW_SHED_BACKOFF_MS;
	if (attempt->trial) {
		view_finish_probe(view, endpoint, outcome == SERVICE_OUTCOME_OK,
		    latency_ms, now_ms);
	} else if (view_has_evidence(view, outcome)) {
		attempt->endpoint = endpoint;
		view_add_outcome(view, attempt, outcome, latency_ms);
		attempt->endpoint = NULL;
	}
	if (endpoint->state->retired && endpoint->in_flight == 0)
		view_free_retired(view);
}

static uint32_t
view_count_crashed(
    const service_view_t *view, uint64_t fingerprint, int64_t now_ms)
{
	const view_crash_t *crash;
	uint64_t first = 0;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < VIEW_CRASHES_MAX; i++) {
		crash = &view->crashes[i];
		if (crash->fingerprint != fingerprint || crash->at_ms == 0 ||
		    now_ms - crash->at_ms > VIEW_CRASH_WINDOW_MS ||
		    (count > 0 && crash->target == first))
			continue;
		first = crash->target;
		count++;
	}
	return (count);
}

int
service_view_is_blocked(
    const service_view_t *view, uint64_t fingerprint, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < view->blocked_count; i++) {
		if (view->blocked[i].fingerprint == fingerprint &&
		    now_ms < view->blocked[i].until_ms)
			return (1);
	}
	if (view->opt.test_off & SERVICE_VIEW_OFF_LOCAL)
		return (0);
	return (view_count_crashed(view, fingerprint, now_ms) >=
	    VIEW_CRASH_TARGETS_TO_BLOCK);
}

void
service_view_set_load(service_endpoint_t *endpoint, uint32_t running,
    uint32_t queued, uint32_t slots, int64_t now_ms)
{
	endpoint->load_running = running;
	endpoint->load_queued = queued;
	/* The load that the target reports includes this VM's attempts. */
	endpoint->load_others = running + queued > endpoint->in_flight
	    ? running + queued - endpoint->in_flight
	    : 0;
	endpoint->load_at_ms = now_ms;
	/* A response can only lower the announced number of slots. */
	if (slots > 0 && slots <= endpoint->state->slots)
		endpoint->slots = slots;
}

void
service_view_set_demand(
    service_view_t *view, const service_demand_t *demand, uint32_t count)
{
	service_demand_t *grown;

	if (count > view->demand_size) {
		grown = realloc(view->demand, count * sizeof(*grown));
		if (grown == NULL)
			return;
		view->demand = grown;
		view->demand_size = count;
	}
	if (count > 0)
		memcpy(view->demand, demand, count * sizeof(*demand));
	view->demand_count = count;
}

int32_t
service_view_get_share(
    const service_view_t *view, uint64_t workspace, int64_t now_ms)
{
	view_share_t *share;

	if (now_ms >= view->shares_until_ms)
		return (-1);
	HASH_FIND(hh, view->shares, &workspace, sizeof(workspace), share);
	return (share != NULL ? (int32_t)share->slots : -1);
}

uint32_t
service_view_get_capacity(const service_view_t *view)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		if (view->endpoints[i]->usable)
			sum += (uint64_t)view->endpoints[i]->slots *
			    view->endpoints[i]->share;
	}
	return (
	    (uint32_t)((sum + SERVICE_SHARE_FULL - 1) / SERVICE_SHARE_FULL));
}

uint32_t
service_view_get_vm_count(const service_view_t *view)
{
	return (view->vm_count);
}

void
service_view_get_version(
    const service_view_t *view, uint64_t *term, uint64_t *sequence)
{
	*term = view->term;
	*sequence = view->sequence;
}

int
service_view_has_leader(const service_view_t *view, int64_t now_ms)
{
	return (view->acked_ms > 0 &&
	    now_ms - view->acked_ms < VIEW_LEADER_TIMEOUT_MS);
}

uint32_t
service_view_get_avoided_count(const service_view_t *view)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		if (view->endpoints[i]->state->state == SERVICE_TARGET_ACTIVE &&
		    !view->endpoints[i]->usable)
			count++;
	}
	return (count);
}
