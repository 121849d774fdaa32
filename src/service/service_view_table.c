#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "service/service_view_internal.h"

#define VIEW_GOSSIP_INTERVAL_MS 400
#define VIEW_PUSH_FANOUT	3

static service_endpoint_t *
table_find(const service_view_t *view, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		if (view->endpoints[i]->id == id)
			return (view->endpoints[i]);
	}
	return (NULL);
}

static service_endpoint_t *
table_create_endpoint(const ServiceTableTarget *row)
{
	service_endpoint_t *endpoint = calloc(1, sizeof(*endpoint));

	if (endpoint == NULL)
		return (NULL);
	endpoint->state = calloc(1, sizeof(*endpoint->state));
	if (endpoint->state == NULL) {
		free(endpoint);
		return (NULL);
	}
	endpoint->id = service_id_from_name(row->target);
	strncpy(endpoint->target, row->target, sizeof(endpoint->target) - 1);
	endpoint->incarnation = row->incarnation;
	strncpy(endpoint->ip, row->ip, sizeof(endpoint->ip) - 1);
	endpoint->port = (uint16_t)row->port;
	return (endpoint);
}

static void
table_fill_endpoint(const service_view_t *view, service_endpoint_t *endpoint,
    const ServiceTableTarget *row, int64_t now_ms)
{
	service_endpoint_state_t *state = endpoint->state;
	size_t i;

	/* Outcomes from before an ejection must not cause local avoidance. */
	if (row->state == SERVICE_TARGET_ACTIVE &&
	    state->state == SERVICE_TARGET_EJECTED) {
		state->avoided = 0;
		memset(&state->window, 0, sizeof(state->window));
	}
	endpoint->slots = row->slots;
	endpoint->connection_cap = row->connection_cap;
	state->state = (service_target_state_t)row->state;
	state->cold_started_ms = now_ms - row->cold_age_ms;
	if (!state->avoided)
		state->failure_score = row->badness;
	state->verdict = (service_finding_t){
		.failure_score = row->badness,
		.evidence = service_evidence_from_number(row->evidence),
		.value = row->evidence_value,
		.limit = row->evidence_limit,
	};
	state->state_since_ms = now_ms - (int64_t)row->state_age_ms;
	state->ejections = row->ejections;
	state->slots = row->slots;
	state->avoid_dc = 0;
	state->avoid_count = 0;
	for (i = 0; i < row->n_avoid_data_centres; i++) {
		if (i == SERVICE_AVOID_MAX)
			break;
		state->avoid_dcs[state->avoid_count++] =
		    row->avoid_data_centres[i];
		if (row->avoid_data_centres[i] == view->opt.data_centre)
			state->avoid_dc = 1;
	}
}

static void
table_retire(service_view_t *view, service_endpoint_t *endpoint)
{
	endpoint->usable = 0;
	endpoint->state->retired = 1;
	endpoint->state->next_retired = view->retired;
	view->retired = endpoint;
}

void
view_free_retired(service_view_t *view)
{
	service_endpoint_t **link = &view->retired;
	service_endpoint_t *endpoint;

	while ((endpoint = *link) != NULL) {
		if (endpoint->in_flight > 0) {
			link = &endpoint->state->next_retired;
			continue;
		}
		*link = endpoint->state->next_retired;
		free(endpoint->state);
		free(endpoint);
	}
}

static void
table_apply_rows(service_view_t *view, const ServiceTable *msg, int64_t now_ms)
{
	service_endpoint_t *next[SERVICE_TARGETS_MAX];
	service_endpoint_t *endpoint;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < msg->n_targets && i < SERVICE_TARGETS_MAX; i++) {
		endpoint = table_find(
		    view, service_id_from_name(msg->targets[i]->target));
		if (endpoint == NULL ||
		    endpoint->incarnation != msg->targets[i]->incarnation) {
			endpoint = table_create_endpoint(msg->targets[i]);
			view->generation++;
		}
		if (endpoint == NULL)
			continue;
		table_fill_endpoint(view, endpoint, msg->targets[i], now_ms);
		next[count++] = endpoint;
	}
	for (i = 0; i < view->count; i++) {
		uint32_t k = 0;

		while (k < count && next[k] != view->endpoints[i])
			k++;
		if (k == count) {
			table_retire(view, view->endpoints[i]);
			view->generation++;
		}
	}
	memcpy(view->endpoints, next, count * sizeof(service_endpoint_t *));
	view->count = count;
}

static void
table_apply_blocked(
    service_view_t *view, const ServiceTable *msg, int64_t now_ms)
{
	uint32_t i;

	view->blocked_count = 0;
	for (i = 0; i < msg->n_blocked && i < SERVICE_BLOCKED_MAX; i++) {
		view->blocked[view->blocked_count++] = (view_blocked_t){
			.fingerprint = msg->blocked[i]->fingerprint,
			.until_ms = now_ms + msg->blocked[i]->remaining_ms,
		};
	}
}

/* A table replaces the former one as a whole, so that ejections by different
 * leaders never add up. */
void
view_table_handle(service_view_t *view, const ServiceTable *msg, int64_t now_ms)
{
	node_id_t peer;
	int i;

	if (msg->term < view->term ||
	    (msg->term == view->term && msg->sequence <= view->sequence))
		return;
	/* An empty table comes from a leader without the replicated state;
	 * known targets stay in use until they register with it. */
	if (msg->n_targets == 0 && view->count > 0)
		return;
	for (i = 0; (size_t)i < msg->n_targets; i++) {
		if (msg->targets[i]->state > SERVICE_TARGET_LAPSED ||
		    !node_name_is_valid(msg->targets[i]->target) ||
		    strlen(msg->targets[i]->ip) >= SERVICE_IP_BYTES)
			return;
	}
	view->term = msg->term;
	view->sequence = msg->sequence;
	table_apply_rows(view, msg, now_ms);
	table_apply_blocked(view, msg, now_ms);
	view_local_update(view, now_ms);
	view_free_retired(view);
	if (view->opt.test_off & SERVICE_VIEW_OFF_GOSSIP)
		return;
	for (i = 0; i < VIEW_PUSH_FANOUT; i++) {
		peer = view->opt.get_peer(view->opt.ctx);
		if (peer != NODE_ID_NONE)
			view->opt.send(
			    view->opt.ctx, peer, MSG_SERVICE_TABLE, &msg->base);
	}
}

static void
table_fill_row(
    ServiceTableTarget *row, service_endpoint_t *endpoint, int64_t now_ms)
{
	service_endpoint_state_t *state = endpoint->state;
	int64_t age_ms = now_ms - state->cold_started_ms;

	service_table_target__init(row);
	row->target = endpoint->target;
	row->incarnation = endpoint->incarnation;
	row->ip = endpoint->ip;
	row->port = endpoint->port;
	row->slots = endpoint->slots;
	row->connection_cap = endpoint->connection_cap;
	row->state = (uint32_t)state->state;
	row->cold_age_ms =
	    (uint32_t)(age_ms < VIEW_COLD_MS ? age_ms : VIEW_COLD_MS);
	row->badness = state->failure_score;
	row->evidence = (uint32_t)state->verdict.evidence;
	row->evidence_value = state->verdict.value;
	row->evidence_limit = state->verdict.limit;
	row->state_age_ms = (uint64_t)(now_ms - state->state_since_ms);
	row->ejections = state->ejections;
	row->avoid_data_centres = state->avoid_dcs;
	row->n_avoid_data_centres = state->avoid_count;
}

void
view_table_send(service_view_t *view, node_id_t to, int64_t now_ms)
{
	ServiceTable msg = SERVICE_TABLE__INIT;
	ServiceTableTarget *rows = calloc(view->count + 1, sizeof(*rows));
	ServiceTableTarget **ptrs =
	    calloc(view->count + 1, sizeof(ServiceTableTarget *));
	ServiceBlocked blocked[SERVICE_BLOCKED_MAX];
	ServiceBlocked *blocked_ptrs[SERVICE_BLOCKED_MAX];
	uint32_t i;

	msg.service = view->id;
	msg.term = view->term;
	msg.sequence = view->sequence;
	msg.targets = ptrs;
	msg.blocked = blocked_ptrs;
	for (i = 0; rows && ptrs && i < view->count; i++) {
		table_fill_row(&rows[i], view->endpoints[i], now_ms);
		ptrs[msg.n_targets++] = &rows[i];
	}
	for (i = 0; i < view->blocked_count; i++) {
		if (view->blocked[i].until_ms <= now_ms)
			continue;
		service_blocked__init(&blocked[i]);
		blocked[i].fingerprint = view->blocked[i].fingerprint;
		blocked[i].remaining_ms =
		    (uint32_t)(view->blocked[i].until_ms - now_ms);
		blocked_ptrs[msg.n_blocked++] = &blocked[i];
	}
	if (msg.n_targets == view->count)
		view->opt.send(view->opt.ctx, to, MSG_SERVICE_TABLE, &msg.base);
	free(rows);
	free(ptrs);
}

void
view_table_gossip(service_view_t *view, int64_t now_ms)
{
	ServiceVersion msg = SERVICE_VERSION__INIT;
	node_id_t peer;

	if ((view->opt.test_off & SERVICE_VIEW_OFF_GOSSIP) ||
	    view->opt.has_batched_versions ||
	    now_ms - view->gossiped_ms < VIEW_GOSSIP_INTERVAL_MS)
		return;
	view->gossiped_ms = now_ms;
	peer = view->opt.get_peer(view->opt.ctx);
	if (peer == NODE_ID_NONE)
		return;
	msg.service = view->id;
	msg.term = view->term;
	msg.sequence = view->sequence;
	view->opt.send(view->opt.ctx, peer, MSG_SERVICE_VERSION, &msg.base);
}

int64_t
view_table_get_due_ms(const service_view_t *view)
{
	return (view->opt.has_batched_versions
		? VIEW_NEVER_MS
		: view->gossiped_ms + VIEW_GOSSIP_INTERVAL_MS);
}

void
service_view_handle_version(service_view_t *view, node_id_t from, uint64_t term,
    uint64_t sequence, int64_t now_ms)
{
	ServiceVersion mine = SERVICE_VERSION__INIT;

	if (term == view->term && sequence == view->sequence)
		return;
	if (term < view->term ||
	    (term == view->term && sequence < view->sequence)) {
		view_table_send(view, from, now_ms);
		return;
	}
	mine.service = view->id;
	mine.term = view->term;
	mine.sequence = view->sequence;
	view->opt.send(view->opt.ctx, from, MSG_SERVICE_VERSION, &mine.base);
}
