#include "gate/gate_share.h"

#include <math.h>

#define MS_PER_S 1000.0
/* Leases come every 500 ms; an older one says nothing. */
#define LEASE_MAX_AGE_MS 800
/* Weight of an attempt in the recent share of attempts that were shed. */
#define SHED_WEIGHT 0.05
/* Weight of a request in the mean part that is beyond what is usual. */
#define UNUSUAL_WEIGHT 0.05
/* Without a leader, what targets shed is refused here, this many times as much:
 * each request that is shed may be sent to a second target, too. */
#define ALONE_FACTOR	2.0
#define ALONE_SHARE_MIN 0.3
/* Each class below the most urgent one is refused this much more. */
#define ALONE_CLASS_STEP 0.5
/* Above this share nothing is refused. */
#define ADMIT_ALL 0.98
/* Retry-After without a leader, and the longest one. */
#define RETURN_DEFAULT_MS 400
#define RETURN_MAX_MS	  3000

static uint32_t
get_class(int32_t priority)
{
	if (priority < 0)
		return (0);
	return (priority < FLEET_PRIORITY_CLASSES ? (uint32_t)priority
						  : FLEET_PRIORITY_CLASSES - 1);
}

void
gate_share_apply(gate_share_t *share, const Tm__Fleet__Admission *decision,
    uint32_t gates, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < FLEET_PRIORITY_CLASSES; i++)
		share->shares[i] =
		    i < decision->n_shares ? decision->shares[i] / 1000.0 : 1;
	share->decided_ms = now_ms;
	share->wait_ms = decision->wait_ms;
	share->per_s = decision->milli_per_s / 1000.0 / (gates > 0 ? gates : 1);
}

void
gate_share_record_attempt(gate_share_t *share, int is_shed)
{
	share->shed_share +=
	    SHED_WEIGHT * ((is_shed ? 1 : 0) - share->shed_share);
}

/* The gate's own decision: refuses in proportion to what targets shed. */
static double
decide_alone(const gate_share_t *share, uint32_t priority_class)
{
	double refused = ALONE_FACTOR * share->shed_share *
	    (1 + ALONE_CLASS_STEP * priority_class);

	return (fmax(1 - refused, ALONE_SHARE_MIN));
}

/* Requests that are usual for their flows come first, those beyond share what is
 * left.
 *
 * @param unusual  mean part of the class's requests that is beyond
 * @return         probability for a request of a flow */
static double
share_out(double unusual, double admitted, double usual)
{
	double all_usual = 1 - unusual;
	double beyond = 0;

	if (admitted > all_usual && unusual > 0)
		beyond = (admitted - all_usual) / unusual;
	return (usual * fmin(admitted / all_usual, 1) + (1 - usual) * beyond);
}

static int
has_lease(const gate_share_query_t *query)
{
	return (query->lease_ms != 0 &&
	    query->now_ms - query->lease_ms <= LEASE_MAX_AGE_MS);
}

/* @return share of the requests of a class that is admitted */
static double
get_admitted(const gate_share_t *share, const gate_share_query_t *query)
{
	uint32_t priority_class = get_class(query->priority);

	if (!has_lease(query))
		return (decide_alone(share, priority_class));
	return (share->decided_ms == query->lease_ms
		? share->shares[priority_class]
		: 1);
}

double
gate_share_get(gate_share_t *share, const gate_share_query_t *query)
{
	uint32_t priority_class = get_class(query->priority);
	double *unusual = &share->unusual[priority_class];
	double admitted = get_admitted(share, query);
	int is_full = admitted < ADMIT_ALL;
	double usual = 1;

	/* A new leader must not take the requests of a whole outage for those of
	 * one interval. */
	if (has_lease(query)) {
		share->requests[priority_class]++;
		share->soft_deadline_sum_ms +=
		    (uint64_t)query->soft_deadline_ms;
	}
	if (query->workspace != 0)
		usual = gate_flows_record(&share->workspaces, query->workspace,
		    1, is_full, query->now_ms);
	/* The burst of a workspace is not one of the route as well. */
	usual *= gate_flows_record(
	    &share->routes, query->route, usual, is_full, query->now_ms);
	if (!is_full)
		return (1);
	*unusual += UNUSUAL_WEIGHT * (1 - usual - *unusual);
	return (share_out(*unusual, admitted, usual));
}

void
gate_share_uncount(
    gate_share_t *share, int32_t priority, int64_t soft_deadline_ms)
{
	uint32_t priority_class = get_class(priority);

	if (share->requests[priority_class] == 0)
		return;
	share->requests[priority_class]--;
	share->soft_deadline_sum_ms -=
	    share->soft_deadline_sum_ms < (uint64_t)soft_deadline_ms
	    ? share->soft_deadline_sum_ms
	    : (uint64_t)soft_deadline_ms;
}

gate_share_answer_t
gate_share_preview(const gate_share_t *share, const gate_share_query_t *query)
{
	gate_share_t copy = *share;
	gate_share_answer_t answer = {
		.priority_class = get_class(query->priority),
		.class_share = get_admitted(share, query),
		.admitted = gate_share_get(&copy, query),
	};

	if (answer.class_share < ADMIT_ALL)
		answer.reason =
		    has_lease(query) ? GATE_SHARE_LEADER : GATE_SHARE_ALONE;
	return (answer);
}

int64_t
gate_share_take_return_ms(gate_share_t *share, int64_t now_ms)
{
	int is_decided = share->decided_ms != 0 &&
	    now_ms - share->decided_ms <= LEASE_MAX_AGE_MS;
	int64_t first_ms =
	    now_ms + (is_decided ? share->wait_ms : RETURN_DEFAULT_MS);
	double gap_ms =
	    is_decided && share->per_s > 0 ? MS_PER_S / share->per_s : 0;

	if (share->return_ms < first_ms)
		share->return_ms = first_ms;
	else if (share->return_ms + (int64_t)gap_ms < now_ms + RETURN_MAX_MS)
		share->return_ms += (int64_t)gap_ms;
	return (share->return_ms - now_ms);
}
