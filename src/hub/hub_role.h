/**
 * @file
 * Whether this hub serves as the leader, and whether the state that only a
 * leader has still holds. A leader that loses the contact to a majority stops
 * to serve at once, but gives up its term at its next tick only. If it regains
 * the contact before, nobody else has led: it goes on with the state that it
 * has told gates under this term.
 */
#ifndef TM_HUB_HUB_ROLE_H
#define TM_HUB_HUB_ROLE_H

#include <stdint.h>

#include "raft/raft.h"

/** How the role has changed. */
typedef enum hub_role_change {
	HUB_ROLE_SAME,
	HUB_ROLE_STARTED, /**< serves in a new term: state starts anew */
	HUB_ROLE_RESUMED, /**< serves again in the same term: state holds */
	HUB_ROLE_PAUSED /**< does not serve any more */
} hub_role_change_t;

typedef struct hub_role {
	int is_serving;
	uint64_t term; /**< in which it served last; 0: none */
} hub_role_t;

/**
 * @return 1 if this hub leads, no newer leader can exist, and all that was
 *         committed is applied
 */
int hub_role_may_serve(const raft_t *raft, int64_t now_ms);

/** Follows the replicated log. */
hub_role_change_t hub_role_update(
    hub_role_t *role, const raft_t *raft, int64_t now_ms);

/**
 * @return 1 if the state of the term in which this hub served last is still
 *         that of the fleet's leader: reports belong into it, also while the
 *         hub does not serve
 */
int hub_role_has_state(const hub_role_t *role, const raft_t *raft);

#endif
