/**
 * @file
 * Decisions on announcements at the leading hub, also on those that other hubs
 * pass on, and the choice of the hub at which a target announces itself. Does
 * no I/O and reads no clock.
 */
#ifndef TM_HUB_HUB_ANNOUNCE_H
#define TM_HUB_HUB_ANNOUNCE_H

#include <stddef.h>
#include <stdint.h>

#include "hub/hub_state.h"

/** Changed targets that hubs can catch up on; further behind, they forget all. */
#define HUB_CHANGES_MAX 1024
/** Age of the leader's clock in a message above which what it passes on is
 * refused: it was held up, and may be older than the deregistered targets that
 * the leader still knows. */
#define HUB_PASSED_MAX_AGE_MS 2500
/** From this number of targets on they are spread over the hubs; below, they
 * announce themselves at the leader. */
#define HUB_SPREAD_MIN 300
/** Targets at which spreading ends, so that it does not alternate. */
#define HUB_SPREAD_END 240
/** The leader takes targets only while fewer other hubs are alive. */
#define HUB_SPREAD_OTHERS_MIN 2

/** What an announcement means to the replicated state. */
typedef enum hub_announce_effect {
	HUB_ANNOUNCE_OUTDATED, /**< a later one is known: no effect */
	/** No effect: the document does not name its service, and a target of one
	 * that it names has its id or its address. */
	HUB_ANNOUNCE_UNNAMED,
	HUB_ANNOUNCE_REPEATED, /**< shows only that the target is alive */
	HUB_ANNOUNCE_CHANGED /**< to be proposed */
} hub_announce_effect_t;

/** Targets changed in a term, in order; all zero is an empty list. */
typedef struct hub_changes {
	uint64_t revision; /**< number of changes */
	uint64_t keys[HUB_CHANGES_MAX]; /**< of revision i at i modulo size */
} hub_changes_t;

/** @return 1 if an announcement is the newest of its target, which is alive then */
int hub_announce_is_current(hub_announce_effect_t effect);

/** @return effect of an announcement */
hub_announce_effect_t hub_announce_judge(
    const hub_state_t *state, const dialect_announcement_t *as);

/**
 * Records that a target announced itself, by its sequence.
 *
 * @return 1 if it is this incarnation that is registered, and no later
 *         announcement is known
 */
int hub_announce_record(const hub_state_t *state, uint64_t key,
    uint64_t born_ms, uint64_t sequence);

/** @return 1 if a message of another hub was held up, so that what it passes on
 * must be refused; only this leader's own clock counts, as that hub heard it last
 * @param term  in which this hub leads */
int hub_announce_is_late(
    const Tm__Fleet__Relay *msg, uint64_t term, int64_t now_ms);

/** Adds a changed target. */
void hub_changes_add(hub_changes_t *changes, uint64_t key);

/**
 * Lists the changes after a revision.
 *
 * @param since  revision; set to the newest if the list does not reach back
 *               so far
 * @param keys   receives at most HUB_CHANGES_MAX keys
 * @return       number of keys
 */
size_t hub_changes_list(
    const hub_changes_t *changes, uint64_t *since, uint64_t *keys);

/**
 * Decides whether targets are spread over the hubs.
 *
 * @param was_spread  the decision before
 */
int hub_announce_is_spread(int was_spread, size_t targets);

/**
 * Chooses the hub at which a target announces itself, by rendezvous hashing:
 * when a hub goes or comes, only the targets of this hub move.
 *
 * @param hubs    names of hubs that are alive
 * @param leader  name, or NULL if none is known
 * @return        one of hubs; NULL if there are none
 */
const char *hub_announce_choose(
    const char *const *hubs, size_t count, const char *leader, uint64_t key);

#endif
