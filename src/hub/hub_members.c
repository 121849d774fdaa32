#include "hub/hub_members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_config.h"
#include "proto/fleet.pb-c.h"

typedef struct member {
	char name[FLEET_IP_BYTES];
	node_id_t id;
	int64_t last_seen_ms; /* 0: never */
	int is_stopping;
	int is_recorded; /* in the replicated state */
	uint64_t leading_term; /* in which it leads; 0: it does not */
	uint64_t data_centre; /* hash of its name; 0: unknown */
} member_t;

struct hub_members {
	hub_members_options_t options;
	char self[FLEET_IP_BYTES];
	node_id_t self_id;
	member_t members[FLEET_HUBS_MAX];
	int count;
	int named; /* number of names listed in turn */
	int64_t due_ms;
	int is_stopping;
	uint64_t leading_term; /* of this hub */
	char data_centre[NAME_MAX_BYTES + 1]; /* of this hub; "": unknown */
};

static member_t *
find(const hub_members_t *members, node_id_t id)
{
	int i;

	for (i = 0; i < members->count; i++) {
		if (members->members[i].id == id)
			return ((member_t *)&members->members[i]);
	}
	return (NULL);
}

/* @return 1 if another hub may take the entry of this one */
static int
is_replaceable(const member_t *member, int64_t now_ms)
{
	return (!member->is_recorded &&
	    (member->last_seen_ms == 0 ||
		now_ms - member->last_seen_ms >= HUB_EXPIRY_MS));
}

/* @return a free entry, or that of the hub unheard for longest; NULL if all
 * hubs may be alive */
static member_t *
allocate_member(hub_members_t *members, int64_t now_ms)
{
	member_t *oldest = NULL;
	member_t *member;
	int i;

	if (members->count < FLEET_HUBS_MAX)
		return (&members->members[members->count++]);
	for (i = 0; i < members->count; i++) {
		member = &members->members[i];
		if (is_replaceable(member, now_ms) &&
		    (oldest == NULL ||
			member->last_seen_ms < oldest->last_seen_ms))
			oldest = member;
	}
	if (oldest != NULL)
		members->options.dropped(members->options.ctx, oldest->id);
	return (oldest);
}

/*
 * @param now_ms  0 if the hub is only known from others: it takes no entry of a
 *                hub that was heard from, as it may be gone itself
 */
static member_t *
add_member(hub_members_t *members, const char *name, int64_t now_ms)
{
	node_id_t id = node_id_from_name(name);
	member_t *member;

	if (id == members->self_id || strlen(name) >= FLEET_IP_BYTES ||
	    !node_name_is_valid(name))
		return (NULL);
	member = find(members, id);
	if (member != NULL)
		return (member);
	member = allocate_member(members, now_ms);
	if (member == NULL)
		return (NULL);
	*member = (member_t){ .id = id };
	snprintf(member->name, sizeof(member->name), "%s", name);
	members->options.added(members->options.ctx, member->name);
	return (member);
}

hub_members_t *
hub_members_create(const hub_members_options_t *options)
{
	hub_members_t *members = calloc(1, sizeof(*members));
	int i;

	if (members == NULL)
		return (NULL);
	members->options = *options;
	snprintf(members->self, sizeof(members->self), "%s", options->self);
	members->self_id = node_id_from_name(members->self);
	if (options->data_centre != NULL)
		snprintf(members->data_centre, sizeof(members->data_centre),
		    "%s", options->data_centre);
	for (i = 0; i < options->seed_count; i++)
		add_member(members, options->seeds[i], 0);
	return (members);
}

void
hub_members_destroy(hub_members_t *members)
{
	free(members);
}

void
hub_members_merge(
    hub_members_t *members, const hub_state_t *state, int64_t now_ms)
{
	member_t *member;
	int i;

	for (i = 0; i < members->count; i++)
		members->members[i].is_recorded = 0;
	for (i = 0; i < state->hub_count; i++) {
		member = add_member(members, state->hubs[i], now_ms);
		if (member != NULL)
			member->is_recorded = 1;
	}
}

void
hub_members_add_seed(hub_members_t *members, const char *name)
{
	add_member(members, name, 0);
}

static int64_t
get_newest_seen_ms(const hub_members_t *members)
{
	int64_t newest_ms = 0;
	int i;

	for (i = 0; i < members->count; i++) {
		if (members->members[i].last_seen_ms > newest_ms)
			newest_ms = members->members[i].last_seen_ms;
	}
	return (newest_ms);
}

int
hub_members_list(const hub_members_t *members, const char **names)
{
	int64_t since_ms = get_newest_seen_ms(members) - HUB_ALIVE_MS;
	const member_t *member;
	int count = 0;
	int is_rest;
	int i;

	names[count++] = members->self;
	for (is_rest = 0; is_rest <= 1; is_rest++) {
		for (i = 0; i < members->count && count < FLEET_HUBS_MAX; i++) {
			member = &members->members[i];
			if ((member->last_seen_ms < since_ms) == is_rest)
				names[count++] = member->name;
		}
	}
	return (count);
}

int
hub_members_list_some(hub_members_t *members, const char **names)
{
	const char *all[FLEET_HUBS_MAX];
	int count = hub_members_list(members, all);
	int listed = 0;

	names[listed++] = all[0];
	while (listed < count && listed < HUB_NAMED_MAX) {
		/* In their order, those heard lately first, if all fit. */
		if (count <= HUB_NAMED_MAX)
			names[listed] = all[listed];
		else
			names[listed] = all[1 + members->named++ % (count - 1)];
		listed++;
	}
	members->named %= count;
	return (listed);
}

int
hub_members_list_alive(
    const hub_members_t *members, const char **names, int64_t now_ms)
{
	const member_t *member;
	int count = 0;
	int i;

	if (!members->is_stopping)
		names[count++] = members->self;
	for (i = 0; i < members->count && count < FLEET_HUBS_MAX; i++) {
		member = &members->members[i];
		if (member->last_seen_ms != 0 && !member->is_stopping &&
		    now_ms - member->last_seen_ms <= HUB_ALIVE_MS)
			names[count++] = member->name;
	}
	return (count);
}

static void
send_hello(hub_members_t *members)
{
	Tm__Fleet__Hello hello = TM__FLEET__HELLO__INIT;
	const char *names[FLEET_HUBS_MAX];
	int i;

	hello.name = members->self;
	hello.n_hubs = (size_t)hub_members_list(members, names);
	hello.hubs = (char **)names;
	hello.is_stopping = members->is_stopping;
	hello.leading_term = members->leading_term;
	hello.data_centre = members->data_centre;
	for (i = 0; i < members->count; i++)
		members->options.send(members->options.send_ctx,
		    members->members[i].id, MSG_FLEET_HELLO, &hello.base);
}

void
hub_members_tick(hub_members_t *members, int64_t now_ms)
{
	if (now_ms < members->due_ms)
		return;
	members->due_ms = now_ms + HUB_HELLO_MS;
	send_hello(members);
}

void
hub_members_set_stopping(hub_members_t *members)
{
	members->is_stopping = 1;
	send_hello(members);
}

void
hub_members_set_leading(hub_members_t *members, uint64_t term)
{
	if (members->leading_term == term)
		return;
	members->leading_term = term;
	send_hello(members);
}

const char *
hub_members_find_leader(const hub_members_t *members, int64_t now_ms)
{
	const member_t *leader = NULL;
	const member_t *member;
	int i;

	for (i = 0; i < members->count; i++) {
		member = &members->members[i];
		if (member->leading_term > 0 &&
		    now_ms - member->last_seen_ms <= HUB_LEADER_EXPIRY_MS &&
		    (leader == NULL ||
			member->leading_term > leader->leading_term))
			leader = member;
	}
	return (leader != NULL ? leader->name : NULL);
}

void
hub_members_handle(hub_members_t *members, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__Fleet__Hello *hello = tm__fleet__hello__unpack(NULL, len, payload);
	member_t *member;
	size_t i;

	if (hello == NULL)
		return;
	if (node_id_from_name(hello->name) == from) {
		member = add_member(members, hello->name, now_ms);
		if (member != NULL) {
			member->last_seen_ms = now_ms;
			member->is_stopping = hello->is_stopping;
			member->leading_term = hello->leading_term;
			member->data_centre = hello->data_centre[0] != '\0'
			    ? fleet_name_hash(hello->data_centre)
			    : 0;
		}
		for (i = 0; i < hello->n_hubs && i < FLEET_HUBS_MAX; i++)
			add_member(members, hello->hubs[i], 0);
	}
	tm__fleet__hello__free_unpacked(hello, NULL);
}

const char *
hub_members_find_name(const hub_members_t *members, node_id_t id)
{
	const member_t *member = find(members, id);

	if (id == members->self_id)
		return (members->self);
	return (member != NULL ? member->name : NULL);
}

static int64_t
get_unseen_ms(const hub_members_t *members, node_id_t id, int64_t now_ms)
{
	const member_t *member = find(members, id);

	if (id == members->self_id)
		return (0);
	if (member == NULL || member->last_seen_ms == 0)
		return (INT64_MAX);
	return (now_ms - member->last_seen_ms);
}

int
hub_members_is_alive(const hub_members_t *members, node_id_t id, int64_t now_ms)
{
	return (get_unseen_ms(members, id, now_ms) <= HUB_ALIVE_MS);
}

static int
is_log_member(const hub_members_view_t *view, node_id_t id)
{
	int i;

	for (i = 0; i < view->log_member_count; i++) {
		if (view->log_members[i].node == id)
			return (1);
	}
	return (0);
}

static hub_membership_step_t
plan_record(hub_members_t *members, const hub_members_view_t *view,
    int64_t now_ms, const char **name)
{
	const member_t *member;
	int i;

	if (!hub_state_has_hub(view->state, members->self)) {
		*name = members->self;
		return (HUB_STEP_RECORD);
	}
	for (i = 0; i < members->count; i++) {
		member = &members->members[i];
		if (now_ms - member->last_seen_ms <= HUB_ALIVE_MS &&
		    member->last_seen_ms != 0 && !member->is_stopping &&
		    !hub_state_has_hub(view->state, member->name)) {
			*name = member->name;
			return (HUB_STEP_RECORD);
		}
	}
	return (HUB_STEP_NONE);
}

static uint64_t
get_data_centre(const hub_members_t *members, node_id_t id)
{
	const member_t *member = find(members, id);

	if (id == members->self_id && members->data_centre[0] != '\0')
		return (fleet_name_hash(members->data_centre));
	return (member != NULL ? member->data_centre : 0);
}

/* @return log members in the data centre of a hub; 0 if that is unknown */
static int
count_neighbours(const hub_members_t *members, const hub_members_view_t *view,
    const member_t *member)
{
	int count = 0;
	int i;

	for (i = 0; i < view->log_member_count; i++)
		count += member->data_centre != 0 &&
		    get_data_centre(members, view->log_members[i].node) ==
			member->data_centre;
	return (count);
}

/* Finds a hub that may become a log member, in the data centre with the fewest. */
static const member_t *
find_candidate(const hub_members_t *members, const hub_members_view_t *view,
    int64_t now_ms)
{
	const member_t *candidate = NULL;
	const member_t *member;
	int fewest = 0;
	int neighbours;
	int i;

	for (i = 0; i < members->count; i++) {
		member = &members->members[i];
		if (!member->is_stopping &&
		    hub_members_is_alive(members, member->id, now_ms) &&
		    hub_state_has_hub(view->state, member->name) &&
		    !is_log_member(view, member->id)) {
			neighbours = count_neighbours(members, view, member);
			if (candidate != NULL && neighbours >= fewest)
				continue;
			candidate = member;
			fewest = neighbours;
		}
	}
	return (candidate);
}

/*
 * Finds the log member that has been unresponsive for longest, above a limit.
 *
 * @return NULL if there is none, or if fewer than a majority of the remaining
 *         members would be alive
 */
static const raft_member_t *
find_unresponsive(const hub_members_t *members, const hub_members_view_t *view,
    int64_t limit_ms, int64_t now_ms)
{
	const raft_member_t *worst = NULL;
	int64_t worst_ms = limit_ms;
	int64_t unseen_ms;
	int alive = 0;
	int i;

	for (i = 0; i < view->log_member_count; i++) {
		unseen_ms =
		    get_unseen_ms(members, view->log_members[i].node, now_ms);
		alive += unseen_ms <= HUB_ALIVE_MS;
		if (unseen_ms > worst_ms) {
			worst_ms = unseen_ms;
			worst = &view->log_members[i];
		}
	}
	if (alive <= (view->log_member_count - 1) / 2)
		return (NULL);
	return (worst);
}

static hub_membership_step_t
plan_membership(hub_members_t *members, const hub_members_view_t *view,
    int64_t now_ms, const char **name)
{
	const member_t *candidate = find_candidate(members, view, now_ms);
	const raft_member_t *unresponsive = NULL;

	if (candidate != NULL && view->log_member_count < HUB_LOG_MEMBERS_MAX) {
		*name = candidate->name;
		return (HUB_STEP_ADD);
	}
	if (candidate != NULL && view->leading_ms > HUB_REPLACE_TIMEOUT_MS)
		unresponsive = find_unresponsive(
		    members, view, HUB_REPLACE_TIMEOUT_MS, now_ms);
	else if (view->log_member_count > HUB_LOG_MEMBERS_MIN &&
	    view->leading_ms > HUB_REMOVE_TIMEOUT_MS)
		unresponsive = find_unresponsive(
		    members, view, HUB_REMOVE_TIMEOUT_MS, now_ms);
	if (unresponsive == NULL)
		return (HUB_STEP_NONE);
	*name = hub_members_find_name(members, unresponsive->node);
	return (*name != NULL ? HUB_STEP_REMOVE : HUB_STEP_NONE);
}

static hub_membership_step_t
plan_expiry(hub_members_t *members, const hub_members_view_t *view,
    int64_t now_ms, const char **name)
{
	node_id_t id;
	int i;

	if (view->leading_ms < HUB_EXPIRY_MS)
		return (HUB_STEP_NONE);
	for (i = 0; i < view->state->hub_count; i++) {
		id = node_id_from_name(view->state->hubs[i]);
		if (is_log_member(view, id) ||
		    get_unseen_ms(members, id, now_ms) < HUB_EXPIRY_MS)
			continue;
		*name = view->state->hubs[i];
		return (HUB_STEP_EXPIRE);
	}
	return (HUB_STEP_NONE);
}

hub_membership_step_t
hub_members_plan(hub_members_t *members, const hub_members_view_t *view,
    int64_t now_ms, const char **name)
{
	hub_membership_step_t step = plan_record(members, view, now_ms, name);

	if (step == HUB_STEP_NONE)
		step = plan_membership(members, view, now_ms, name);
	if (step == HUB_STEP_NONE)
		step = plan_expiry(members, view, now_ms, name);
	return (step);
}
