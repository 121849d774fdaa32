#include "gate/gate_link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

/* Time without an answer after which the connection to a hub is opened anew: a
 * cut may have left it dead, or waiting for seconds until the next attempt. */
#define HUB_ANSWER_TIMEOUT_MS GATE_LEADER_TIMEOUT_MS

typedef struct known_hub {
	char name[FLEET_IP_BYTES];
	node_id_t id;
	int64_t unanswered_ms; /* since then, or since the last reset; 0: no */
	int64_t asked_ms; /* when it was asked last; 0: never */
	int64_t named_ms; /* when a hub or the settings named it last */
} known_hub_t;

struct gate_link {
	gate_link_options_t options;
	known_hub_t hubs[FLEET_HUBS_MAX];
	int hub_count;
	uint32_t resets; /* of connections to hubs, since the last leader */
	int next_hub; /* index of the hub queried last for the leader */
	int spread_count; /* hubs over which the gates were spread last */
	node_id_t leader;
	uint64_t term;
	uint64_t usage_reported_term; /* whose leader got the usage */
	int64_t answered_ms; /* send time of the newest answered request */
	uint32_t gates;
	int64_t last_received_ms; /* last lease from a leader */
	int64_t started_ms; /* first tick */
	int64_t renewal_due_ms;
	uint64_t version; /* in use at this gate */
	uint64_t newest_version; /* of the configuration, by the last lease */
	int64_t key_lease_until_ms;
	int64_t confirmed_ms; /* send time of the newest lease for the version
			       * in use; 0: none */
	int64_t pending_lease_ms; /* send time of its lease; 0: none waits */
	gate_permits_t *permits;
};

static known_hub_t *
find_hub(gate_link_t *link, node_id_t id)
{
	int i;

	for (i = 0; i < link->hub_count; i++) {
		if (link->hubs[i].id == id)
			return (&link->hubs[i]);
	}
	return (NULL);
}

/* @return a free entry, or that of the hub that was named the longest ago, as it
 * was replaced or will be named again; NULL if all were named just now */
static known_hub_t *
allocate_hub(gate_link_t *link, int64_t now_ms)
{
	known_hub_t *oldest = NULL;
	int i;

	if (link->hub_count < FLEET_HUBS_MAX)
		return (&link->hubs[link->hub_count++]);
	for (i = 0; i < link->hub_count; i++) {
		if (link->hubs[i].id != link->leader &&
		    (oldest == NULL ||
			link->hubs[i].named_ms < oldest->named_ms))
			oldest = &link->hubs[i];
	}
	if (oldest->named_ms >= now_ms)
		return (NULL);
	link->options.hub_dropped(link->options.ctx, oldest->id);
	return (oldest);
}

/* @return the hub with that name; NULL if the name is invalid or there are too
 * many */
static known_hub_t *
add_hub(gate_link_t *link, const char *name, int64_t now_ms)
{
	node_id_t id = node_id_from_name(name);
	known_hub_t *hub;

	if (!node_name_is_valid(name) || strlen(name) >= FLEET_IP_BYTES)
		return (NULL);
	hub = find_hub(link, id);
	if (hub == NULL) {
		hub = allocate_hub(link, now_ms);
		if (hub == NULL)
			return (NULL);
		*hub = (known_hub_t){ .id = id };
		snprintf(hub->name, sizeof(hub->name), "%s", name);
		link->options.hub_found(link->options.ctx, hub->name);
	}
	hub->named_ms = now_ms;
	return (hub);
}

gate_link_t *
gate_link_create(const gate_link_options_t *options)
{
	gate_link_t *link = calloc(1, sizeof(*link));
	int i;

	if (link == NULL)
		return (NULL);
	link->permits = gate_permits_create();
	if (link->permits == NULL) {
		free(link);
		return (NULL);
	}
	link->options = *options;
	link->gates = 1;
	for (i = 0; i < options->seed_count; i++)
		add_hub(link, options->seeds[i], 0);
	return (link);
}

void
gate_link_destroy(gate_link_t *link)
{
	if (link == NULL)
		return;
	gate_permits_destroy(link->permits);
	free(link);
}

void
gate_link_add_seed(gate_link_t *link, const char *name, int64_t now_ms)
{
	add_hub(link, name, now_ms);
}

static void
reset_hub(gate_link_t *link, known_hub_t *hub, int64_t now_ms)
{
	hub->unanswered_ms = now_ms;
	link->resets++;
	link->options.reset_hub(link->options.ctx, hub->id);
}

/* @return 1 if a hub that has sent no lease since then counts as silent. A lease
 * follows the document and the table on the same connection, so that it may be
 * late while bytes of these arrive. */
static int
is_silent(
    const gate_link_t *link, node_id_t hub, int64_t since_ms, int64_t now_ms)
{
	int64_t received_ms;

	if (now_ms - since_ms >= GATE_RECEIVING_MAX_MS)
		return (1);
	received_ms = link->options.get_received_ms(link->options.ctx, hub);
	return (
	    received_ms == 0 || now_ms - received_ms > GATE_LEADER_TIMEOUT_MS);
}

/* Records a message to a hub; opens the connection anew if the hub has not
 * answered earlier ones and is silent. */
static void
expect_answer(gate_link_t *link, known_hub_t *hub, int64_t now_ms)
{
	hub->asked_ms = now_ms;
	if (hub->unanswered_ms == 0)
		hub->unanswered_ms = now_ms;
	else if (now_ms - hub->unanswered_ms >= HUB_ANSWER_TIMEOUT_MS &&
	    is_silent(link, hub->id, hub->unanswered_ms, now_ms))
		reset_hub(link, hub, now_ms);
}

static void
send_renewal(gate_link_t *link, node_id_t to, int64_t now_ms)
{
	Tm__Fleet__Join join = TM__FLEET__JOIN__INIT;
	known_hub_t *hub = find_hub(link, to);
	int needs_usage =
	    to == link->leader && link->term != link->usage_reported_term;

	if (hub != NULL)
		expect_answer(link, hub, now_ms);
	join.sent_ms = (uint64_t)now_ms;
	join.alone_ms = (uint32_t)link->options.key_lease_ms;
	/* 0 until a leader has reported the count. */
	join.gates = link->term != 0 ? link->gates : 0;
	gate_permits_fill_join(link->permits, &join);
	link->options.fill_renewal(link->options.ctx, &join, needs_usage);
	/* The usage includes the tokens of unsent reports. */
	if (needs_usage) {
		link->usage_reported_term = link->term;
		gate_permits_drop_reports(link->permits);
	}
	join.told_term = link->usage_reported_term;
	/* Only the leader uses outcomes and demands. */
	if (to != link->leader) {
		join.n_outcomes = 0;
		join.n_demands = 0;
	}
	link->options.send(
	    link->options.send_ctx, to, MSG_FLEET_JOIN, &join.base);
	if (to == link->leader)
		link->options.renewal_sent(link->options.ctx);
}

static void
query_next_hub(gate_link_t *link, int64_t now_ms)
{
	if (link->hub_count == 0)
		return;
	if (link->spread_count != link->hub_count)
		link->next_hub =
		    (int)(link->options.spread % (uint64_t)link->hub_count);
	link->spread_count = link->hub_count;
	link->next_hub = (link->next_hub + 1) % link->hub_count;
	send_renewal(link, link->hubs[link->next_hub].id, now_ms);
}

static void
check_leader(gate_link_t *link, int64_t now_ms)
{
	known_hub_t *hub = find_hub(link, link->leader);

	if (link->leader == NODE_ID_NONE ||
	    now_ms - link->last_received_ms <= GATE_LEADER_TIMEOUT_MS ||
	    !is_silent(link, link->leader, link->last_received_ms, now_ms))
		return;
	LOG_EVENT(940, LOG_LEVEL_WARN, "the leading hub does not answer",
	    LOG_NUM("term", link->term),
	    LOG_NUM("silent_ms", now_ms - link->last_received_ms));
	if (hub != NULL)
		reset_hub(link, hub, now_ms);
	link->leader = NODE_ID_NONE;
}

void
gate_link_tick(gate_link_t *link, int64_t now_ms)
{
	if (link->started_ms == 0)
		link->started_ms = now_ms;
	check_leader(link, now_ms);
	gate_permits_expire(link->permits, now_ms);
	if (now_ms < link->renewal_due_ms)
		return;
	if (link->leader != NODE_ID_NONE) {
		link->renewal_due_ms = now_ms + GATE_LEASE_RENEWAL_MS;
		send_renewal(link, link->leader, now_ms);
	} else {
		link->renewal_due_ms = now_ms + GATE_LEADER_SEARCH_MS;
		query_next_hub(link, now_ms);
	}
}

void
gate_link_flush(gate_link_t *link, int64_t now_ms)
{
	Tm__Fleet__Spends msg = TM__FLEET__SPENDS__INIT;

	if (link->leader != NODE_ID_NONE &&
	    gate_permits_take(link->permits, &msg, now_ms))
		link->options.send(link->options.send_ctx, link->leader,
		    MSG_FLEET_SPENDS, &msg.base);
}

static void
renew_key_lease(gate_link_t *link, int64_t sent_ms)
{
	int64_t until_ms = sent_ms + link->options.key_lease_ms;

	if (until_ms > link->key_lease_until_ms)
		link->key_lease_until_ms = until_ms;
	if (sent_ms > link->confirmed_ms)
		link->confirmed_ms = sent_ms;
}

void
gate_link_set_version(gate_link_t *link, uint64_t version)
{
	link->version = version;
	if (link->pending_lease_ms != 0 && version >= link->newest_version) {
		renew_key_lease(link, link->pending_lease_ms);
		link->pending_lease_ms = 0;
	}
}

static void
apply_lease(gate_link_t *link, node_id_t from, const Tm__Fleet__Lease *lease,
    int64_t now_ms)
{
	int64_t sent_ms = (int64_t)lease->sent_ms;
	size_t i;

	/* A late answer of a leader that has been replaced. */
	if (lease->term < link->term || sent_ms > now_ms)
		return;
	if (link->leader != from || link->term != lease->term) {
		LOG_EVENT(941, LOG_LEVEL_INFO, "connected to the leading hub",
		    LOG_TEXT("hub", lease->leader),
		    LOG_NUM("term", lease->term),
		    LOG_NUM("gates", lease->gates),
		    LOG_NUM("silent_ms",
			link->last_received_ms != 0
			    ? now_ms - link->last_received_ms
			    : 0),
		    LOG_NUM("resets", link->resets));
		link->resets = 0;
		/* Reports the usage to the new leader at once. */
		link->renewal_due_ms = now_ms;
	}
	link->leader = from;
	link->term = lease->term;
	link->last_received_ms = now_ms;
	if (sent_ms > link->answered_ms)
		link->answered_ms = sent_ms;
	link->gates = lease->gates > 0 ? lease->gates : 1;
	for (i = 0; i < lease->n_pressures; i++)
		link->options.set_utilization(
		    link->options.ctx, lease->pressures[i]);
	for (i = 0; i < lease->n_full_targets && i < lease->n_full_loads &&
	     i < lease->n_full_ages_ms;
	     i++)
		link->options.set_full(link->options.ctx,
		    lease->full_targets[i], lease->full_loads[i],
		    now_ms - lease->full_ages_ms[i]);
	if (link->options.set_admissions != NULL && lease->decides_admission)
		link->options.set_admissions(
		    link->options.ctx, lease->admissions, lease->n_admissions);
	if (link->options.set_upload_bounds != NULL)
		link->options.set_upload_bounds(link->options.ctx,
		    lease->upload_bounds, lease->n_upload_bounds);
	link->options.set_idle(
	    link->options.ctx, lease->idle_services, lease->n_idle_services);
	link->newest_version = lease->config_version;
	if (link->version >= link->newest_version)
		renew_key_lease(link, sent_ms);
	else
		link->pending_lease_ms = sent_ms;
}

/* @return 1 if a hub was asked lately, or cannot be: several hubs name the leader
 * while it is busy with the gates that have asked it */
static int
is_asked(const known_hub_t *hub, int64_t now_ms)
{
	return (hub == NULL ||
	    (hub->unanswered_ms != 0 &&
		now_ms - hub->asked_ms < GATE_LEASE_RENEWAL_MS));
}

static void
handle_lease(gate_link_t *link, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	Tm__Fleet__Lease *lease = tm__fleet__lease__unpack(NULL, len, payload);
	known_hub_t *hub = find_hub(link, from);
	node_id_t leader;
	size_t i;

	if (lease == NULL)
		return;
	if (hub != NULL)
		hub->unanswered_ms = 0;
	for (i = 0; i < lease->n_hubs; i++)
		add_hub(link, lease->hubs[i], now_ms);
	if (lease->is_leader) {
		apply_lease(link, from, lease, now_ms);
	} else {
		if (link->leader == from)
			link->leader = NODE_ID_NONE;
		leader = node_id_from_name(lease->leader);
		if (link->leader == NODE_ID_NONE && leader != NODE_ID_NONE &&
		    leader != from &&
		    !is_asked(add_hub(link, lease->leader, now_ms), now_ms)) {
			link->renewal_due_ms = now_ms + GATE_LEADER_SEARCH_MS;
			send_renewal(link, leader, now_ms);
		}
	}
	tm__fleet__lease__free_unpacked(lease, NULL);
}

void
gate_link_report(gate_link_t *link, const Tm__Fleet__Evidence *evidence)
{
	if (link->leader != NODE_ID_NONE)
		link->options.send(link->options.send_ctx, link->leader,
		    MSG_FLEET_EVIDENCE, &evidence->base);
}

void
gate_link_return_probe(gate_link_t *link, uint64_t target)
{
	Tm__Fleet__Evidence evidence = TM__FLEET__EVIDENCE__INIT;

	evidence.target = target;
	evidence.kind = FLEET_EVIDENCE_PROBE_UNUSED;
	evidence.is_trial = 1;
	gate_link_report(link, &evidence);
}

void
gate_link_handle(gate_link_t *link, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	if (type == MSG_FLEET_LEASE)
		handle_lease(link, from, payload, len, now_ms);
	else if (type == MSG_FLEET_PERMITS)
		gate_permits_handle(link->permits, payload, len,
		    link->options.late_probe, link->options.ctx);
}

void
gate_link_report_crash(gate_link_t *link, const Tm__Fleet__Crash *crash)
{
	if (link->leader != NODE_ID_NONE)
		link->options.send(link->options.send_ctx, link->leader,
		    MSG_FLEET_CRASH, &crash->base);
}

void
gate_link_report_signals(gate_link_t *link, const Tm__Fleet__Signals *signals)
{
	if (link->leader != NODE_ID_NONE)
		link->options.send(link->options.send_ctx, link->leader,
		    MSG_FLEET_SIGNALS, &signals->base);
}

int
gate_link_report_uploads(gate_link_t *link, const Tm__Fleet__Uploads *uploads)
{
	if (link->leader == NODE_ID_NONE)
		return (0);
	link->options.send(link->options.send_ctx, link->leader,
	    MSG_FLEET_UPLOADS, &uploads->base);
	return (1);
}

void
gate_link_report_consumed(
    gate_link_t *link, uint64_t workspace, uint64_t service, int64_t now_ms)
{
	gate_permits_report_consumed(link->permits, workspace, service, now_ms);
}

uint32_t
gate_link_request_permit(gate_link_t *link, const Tm__Fleet__Spend *request,
    gate_permit_cb done, void *ctx, int64_t now_ms)
{
	return (gate_permits_request(link->permits, request,
	    link->leader != NODE_ID_NONE, done, ctx, now_ms));
}

void
gate_link_cancel_permit(gate_link_t *link, uint32_t id)
{
	gate_permits_cancel(link->permits, id);
}

int
gate_link_has_leader(const gate_link_t *link, int64_t now_ms)
{
	return (link->leader != NODE_ID_NONE &&
	    now_ms - link->last_received_ms <= GATE_LEADER_TIMEOUT_MS);
}

int
gate_link_is_current(const gate_link_t *link, int64_t now_ms)
{
	return (link->leader != NODE_ID_NONE &&
	    now_ms - link->answered_ms <= GATE_LEADER_CURRENT_MS);
}

int64_t
gate_link_get_answered_ms(const gate_link_t *link)
{
	return (link->answered_ms);
}

int
gate_link_has_key_lease(const gate_link_t *link, int64_t now_ms)
{
	return (now_ms < link->key_lease_until_ms);
}

int
gate_link_is_confirmed(const gate_link_t *link, int64_t now_ms)
{
	return (link->confirmed_ms != 0 &&
	    link->version >= link->newest_version &&
	    now_ms - link->confirmed_ms <= GATE_CONFIRMATION_MAX_AGE_MS);
}

int
gate_link_is_near_limit(const gate_link_t *link, uint64_t workspace)
{
	return (
	    gate_permits_is_near_limit(link->permits, link->term, workspace));
}

uint32_t
gate_link_get_gate_count(const gate_link_t *link)
{
	return (link->gates);
}

uint64_t
gate_link_get_term(const gate_link_t *link)
{
	return (link->term);
}

int64_t
gate_link_get_answer_age_ms(const gate_link_t *link, int64_t now_ms)
{
	return (now_ms -
	    (link->last_received_ms != 0 ? link->last_received_ms
					 : link->started_ms));
}
