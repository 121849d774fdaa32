#include "hub/hub_role.h"

/* Entries of earlier terms are known to be committed only once an entry of the
 * own term is. */
int
hub_role_may_serve(const raft_t *raft, int64_t now_ms)
{
	uint64_t commit = raft_get_commit(raft);

	return (raft_has_quorum_contact(raft, now_ms) &&
	    raft_get_applied(raft) == commit &&
	    raft_get_entry_term(raft, commit) == raft_get_term(raft));
}

hub_role_change_t
hub_role_update(hub_role_t *role, const raft_t *raft, int64_t now_ms)
{
	uint64_t term = raft_get_term(raft);
	int was_serving = role->is_serving;

	role->is_serving = hub_role_may_serve(raft, now_ms);
	if (!role->is_serving)
		return (was_serving ? HUB_ROLE_PAUSED : HUB_ROLE_SAME);
	if (role->term != term) {
		role->term = term;
		return (HUB_ROLE_STARTED);
	}
	return (was_serving ? HUB_ROLE_SAME : HUB_ROLE_RESUMED);
}

int
hub_role_has_state(const hub_role_t *role, const raft_t *raft)
{
	return (raft_is_leader(raft) && role->term == raft_get_term(raft));
}
