#include "hub/hub_announce.h"

#include <string.h>

#include <xxhash.h>

/* @return 1 if a later announcement of a target is known */
static int
is_outdated(const hub_state_t *state, const hub_target_t *known,
    const dialect_announcement_t *as)
{
	if (as->born_ms != known->as.born_ms)
		return (as->born_ms < known->as.born_ms);
	return ((known->as.state == FLEET_TARGET_DEREGISTERED &&
		    !hub_state_may_return(state, known, as)) ||
	    as->sequence < known->as.sequence ||
	    as->sequence < hub_target_get_sequence(known));
}

hub_announce_effect_t
hub_announce_judge(const hub_state_t *state, const dialect_announcement_t *as)
{
	uint64_t key = fleet_name_hash(as->id);
	const hub_target_t *known = hub_state_find_target(state, key);
	const hub_target_t *owner =
	    hub_state_find_address(state, as->ip, as->port);
	int compared;

	if (known != NULL) {
		compared = hub_state_compare_services(state, as, known);
		if (compared < 0)
			return (HUB_ANNOUNCE_UNNAMED);
		if (compared == 0 && is_outdated(state, known, as))
			return (HUB_ANNOUNCE_OUTDATED);
	}
	if (owner != NULL && owner->key != key) {
		compared = hub_state_compare_services(state, as, owner);
		if (compared < 0)
			return (HUB_ANNOUNCE_UNNAMED);
		if (compared == 0 && as->born_ms < owner->as.born_ms)
			return (HUB_ANNOUNCE_OUTDATED);
	}
	if (known != NULL && known->as.born_ms == as->born_ms &&
	    known->as.state == as->state && known->as.ip == as->ip &&
	    known->as.port == as->port && known->as.slots == as->slots &&
	    strcmp(known->as.service, as->service) == 0)
		return (HUB_ANNOUNCE_REPEATED);
	return (HUB_ANNOUNCE_CHANGED);
}

int
hub_announce_is_current(hub_announce_effect_t effect)
{
	return (
	    effect == HUB_ANNOUNCE_REPEATED || effect == HUB_ANNOUNCE_CHANGED);
}

int
hub_announce_record(
    const hub_state_t *state, uint64_t key, uint64_t born_ms, uint64_t sequence)
{
	hub_target_t *target = hub_state_find_target(state, key);

	if (target == NULL || target->as.born_ms != born_ms ||
	    target->as.state == FLEET_TARGET_DEREGISTERED ||
	    sequence < hub_target_get_sequence(target))
		return (0);
	target->heard_born_ms = born_ms;
	target->heard_sequence = sequence;
	return (1);
}

int
hub_announce_is_late(const Tm__Fleet__Relay *msg, uint64_t term, int64_t now_ms)
{
	return (msg->term != term ||
	    now_ms - (int64_t)msg->leader_ms > HUB_PASSED_MAX_AGE_MS);
}

void
hub_changes_add(hub_changes_t *changes, uint64_t key)
{
	changes->revision++;
	changes->keys[changes->revision % HUB_CHANGES_MAX] = key;
}

size_t
hub_changes_list(const hub_changes_t *changes, uint64_t *since, uint64_t *keys)
{
	size_t count = 0;
	uint64_t i;

	if (*since > changes->revision ||
	    changes->revision - *since > HUB_CHANGES_MAX)
		*since = changes->revision;
	for (i = *since + 1; i <= changes->revision; i++)
		keys[count++] = changes->keys[i % HUB_CHANGES_MAX];
	return (count);
}

int
hub_announce_is_spread(int was_spread, size_t targets)
{
	return (targets >= (was_spread ? HUB_SPREAD_END : HUB_SPREAD_MIN));
}

static uint64_t
get_score(const char *hub, uint64_t key)
{
	return (XXH64(hub, strlen(hub), key));
}

const char *
hub_announce_choose(
    const char *const *hubs, size_t count, const char *leader, uint64_t key)
{
	const char *best = NULL;
	uint64_t best_score = 0;
	size_t others = 0;
	size_t i;

	for (i = 0; i < count; i++)
		others += leader == NULL || strcmp(hubs[i], leader) != 0;
	for (i = 0; i < count; i++) {
		if (leader != NULL && others >= HUB_SPREAD_OTHERS_MIN &&
		    strcmp(hubs[i], leader) == 0)
			continue;
		if (best != NULL && get_score(hubs[i], key) <= best_score)
			continue;
		best = hubs[i];
		best_score = get_score(hubs[i], key);
	}
	return (best);
}
