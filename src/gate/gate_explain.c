#include "gate/gate_explain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "fleet/fleet_limit.h"
#include "gate/gate_admission.h"
#include "gate/gate_choice.h"
#include "gate/gate_probe.h"
#include "gate/gate_settings.h"

static void
find_workspace(const gate_explain_query_t *query, gate_explain_t *result)
{
	result->key = GATE_EXPLAIN_KEY_NOT_NEEDED;
	if (!query->config->needs_keys || result->route->is_open)
		return;
	result->key = GATE_EXPLAIN_KEY_MISSING;
	if (query->key == NULL)
		return;
	result->workspace = fleet_config_find_key(
	    query->config, query->key, strlen(query->key));
	result->key = result->workspace != NULL ? GATE_EXPLAIN_KEY_KNOWN
						: GATE_EXPLAIN_KEY_UNKNOWN;
}

static void
describe_route(const gate_explain_query_t *query, gate_explain_t *result)
{
	const fleet_route_t *route = result->route;
	const fleet_workspace_t *workspace = result->workspace;
	gate_cost_key_t key = {
		.class_id = gate_cost_get_class(route->name, query->method,
		    strlen(query->method), query->body_bytes),
		.workspace = workspace != NULL ? workspace->id : 0,
	};

	result->priority = fleet_route_get_priority(route, workspace);
	result->timeout_ms = route->timeout_ms > 0 ? route->timeout_ms
						   : GATE_DEADLINE_DEFAULT_MS;
	result->soft_deadline_ms = route->soft_deadline_ms > 0
	    ? route->soft_deadline_ms
	    : result->timeout_ms;
	result->cost_ms = gate_cost_expect(query->cost, &key, query->now_ms);
}

static void
explain_share(const gate_explain_query_t *query, const gate_explain_t *result,
    const gate_service_t *service, gate_explain_part_t *part)
{
	static const gate_explain_admission_t reasons[] = {
		[GATE_SHARE_NOT_FULL] = GATE_EXPLAIN_NOT_FULL,
		[GATE_SHARE_LEADER] = GATE_EXPLAIN_BY_LEADER,
		[GATE_SHARE_ALONE] = GATE_EXPLAIN_BY_GATE,
	};
	const gate_share_query_t share = {
		.priority = result->priority,
		.soft_deadline_ms = result->soft_deadline_ms,
		.workspace =
		    result->workspace != NULL ? result->workspace->id : 0,
		.route = fleet_name_hash(result->route->name),
		.lease_ms = query->lease_ms,
		.now_ms = query->now_ms,
	};
	gate_share_answer_t answer =
	    gate_share_preview(&service->share, &share);

	part->admission = reasons[answer.reason];
	part->priority_class = answer.priority_class;
	part->class_share = answer.class_share;
	part->admitted = answer.admitted;
}

static void
explain_admission(const gate_explain_query_t *query,
    const gate_explain_t *result, const gate_service_t *service,
    gate_explain_part_t *part)
{
	double share;

	if ((query->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0) {
		explain_share(query, result, service, part);
		return;
	}
	share = gate_admission_get_share(
	    service, result->soft_deadline_ms, result->priority, query->now_ms);
	part->admission =
	    share >= 1 ? GATE_EXPLAIN_NOT_FULL : GATE_EXPLAIN_BY_UTILIZATION;
	part->priority_class =
	    result->priority > 0 ? (uint32_t)result->priority : 0;
	part->class_share = share < 1 ? share : 1;
	part->admitted = part->class_share;
}

static void
count_target(const gate_target_t *target, const gate_pick_options_t *options,
    gate_explain_counts_t *counts)
{
	counts->total++;
	if (target->is_evacuated)
		counts->evacuated++;
	else if (!gate_target_is_usable(target, options))
		counts->leaving++;
	else
		switch (gate_target_get_rank(target, options)) {
		case 0:
			counts->waiting++;
			break;
		case GATE_RANK_PREFERABLE:
			counts->usable++;
			break;
		case GATE_RANK_HEALTHY:
			counts->avoided++;
			break;
		default:
			counts->ejected++;
			break;
		}
}

/* Lists the targets of the best rank. @return how many there are */
static uint32_t
list_ranked(const gate_service_t *service, const gate_pick_options_t *options,
    gate_candidate_t *candidates)
{
	const gate_target_t *target;
	uint32_t count = 0;
	int best = 0;
	uint32_t i;
	int rank;

	for (i = 0; i < service->count; i++) {
		target = service->targets[i];
		rank = gate_target_get_rank(target, options);
		if (rank == 0 || rank < best)
			continue;
		if (rank > best)
			count = 0;
		best = rank;
		candidates[count++] = (gate_candidate_t){
			.target = target,
			.score = gate_target_get_score(
			    target, 0, 1, options->now_ms),
		};
	}
	return (count);
}

static void
describe_candidate(const gate_explain_t *result,
    const gate_candidate_t *candidate, const gate_pick_options_t *options,
    gate_explain_candidate_t *out)
{
	const gate_target_t *target = candidate->target;
	const gate_limit_t *limit = &target->limit;
	int64_t now_ms = options->now_ms;
	double slowness = gate_cost_get_slowness(
	    &target->service->costs, &target->speed, now_ms);

	snprintf(out->id, sizeof(out->id), "%s", target->id);
	out->is_same_zone = target->is_same_zone;
	out->rank = gate_target_get_rank(target, options);
	out->verdict = target->verdict;
	out->score = candidate->score;
	out->chance = candidate->chance;
	out->load = target->load;
	out->load_age_ms = target->load_ms != 0 ? now_ms - target->load_ms : -1;
	out->slots = target->slots;
	out->in_flight = target->in_flight;
	out->slowness = slowness;
	out->expected_ms = result->cost_ms * slowness;
	out->limit_per_s = fleet_limit_decode(limit->value);
	out->warmup_per_s = gate_limit_is_cold(limit, now_ms)
	    ? fleet_limit_decode(limit->warmup)
	    : -1;
	if (now_ms < target->cold_until_ms)
		out->cold_left_ms = target->cold_until_ms - now_ms;
}

/* The outcome of gate_table_pick() without its random choices.
 * @param best  candidate that is chosen most often; NULL: there is none */
static void
explain_outcome(const gate_service_t *service,
    const gate_pick_options_t *options, const gate_target_t *best,
    gate_explain_part_t *part)
{
	const gate_target_t *probe = gate_probe_find(service, options);
	int rank = best != NULL ? gate_target_get_rank(best, options) : 0;

	if (gate_service_is_evacuated(service)) {
		part->outcome = GATE_EXPLAIN_EVACUATED;
		return;
	}
	if (probe != NULL) {
		part->outcome = GATE_EXPLAIN_KEPT_PROBE;
		snprintf(part->target, sizeof(part->target), "%s", probe->id);
		return;
	}
	if (gate_service_asks_leader(service, options)) {
		part->outcome = GATE_EXPLAIN_ASK_LEADER;
		return;
	}
	if (rank < GATE_RANK_HEALTHY && !(rank > 0 && options->may_repeat) &&
	    gate_service_has_waiting(service, options)) {
		part->outcome = GATE_EXPLAIN_RESERVE;
		return;
	}
	if (best != NULL) {
		part->outcome = GATE_EXPLAIN_TARGET;
		part->needs_permit =
		    gate_limit_needs_permit(&best->limit, options->now_ms);
		snprintf(part->target, sizeof(part->target), "%s", best->id);
		return;
	}
	part->pause_ms = gate_service_get_pause_ms(service, options);
	part->outcome =
	    part->pause_ms > 0 ? GATE_EXPLAIN_PAUSED : GATE_EXPLAIN_NO_TARGET;
}

static const gate_target_t *
find_most_likely(const gate_candidate_t *candidates, uint32_t count)
{
	const gate_candidate_t *best = count > 0 ? &candidates[0] : NULL;
	uint32_t i;

	for (i = 1; i < count; i++) {
		if (candidates[i].chance > best->chance)
			best = &candidates[i];
	}
	return (best != NULL ? best->target : NULL);
}

static int
explain_targets(const gate_explain_query_t *query, const gate_explain_t *result,
    const gate_service_t *service, gate_explain_part_t *part)
{
	const gate_pick_options_t options = {
		.may_repeat = result->route->repeat_allowed,
		.has_leader = query->has_leader,
		.is_alone = query->is_alone,
		.now_ms = query->now_ms,
	};
	const gate_policy_t *policy = gate_table_get_policy(query->table);
	gate_candidate_t *candidates =
	    calloc(service->count + 1, sizeof(*candidates));
	uint32_t count = 0;
	uint32_t i;

	if (candidates == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < service->count; i++)
		count_target(service->targets[i], &options, &part->counts);
	if ((policy->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0)
		count =
		    gate_subset_preview(service, policy, &options, candidates);
	part->has_subset = count > 0;
	if (count == 0)
		count = list_ranked(service, &options, candidates);
	gate_subset_set_chances(candidates, count);
	part->candidate_total = count;
	for (i = 0; i < count && i < GATE_EXPLAIN_CANDIDATES_MAX; i++)
		describe_candidate(result, &candidates[i], &options,
		    &part->candidates[part->candidate_count++]);
	explain_outcome(
	    service, &options, find_most_likely(candidates, count), part);
	free(candidates);
	return (TM_OK);
}

static int
explain_part(const gate_explain_query_t *query, gate_explain_t *result,
    const fleet_part_t *from)
{
	gate_explain_part_t *part = &result->parts[result->part_count++];
	const gate_service_t *service =
	    gate_table_find_service(query->table, from->service);

	part->service = from->service;
	part->weight = from->weight;
	part->share = result->route->weight_sum > 0
	    ? from->weight / result->route->weight_sum
	    : 0;
	part->class_share = 1;
	part->admitted = 1;
	part->outcome = GATE_EXPLAIN_NO_SERVICE;
	if (service == NULL)
		return (TM_OK);
	explain_admission(query, result, service, part);
	return (explain_targets(query, result, service, part));
}

int
gate_explain_request(const gate_explain_query_t *query, gate_explain_t *result)
{
	int err = TM_OK;
	size_t i;

	*result = (gate_explain_t){ .problem = GATE_EXPLAIN_NO_CONFIG };
	if (query->config == NULL)
		return (TM_OK);
	result->problem = GATE_EXPLAIN_NO_ROUTE;
	result->route = fleet_config_find_route(query->config, query->host,
	    strlen(query->host), query->path, strlen(query->path));
	if (result->route == NULL)
		return (TM_OK);
	result->problem = GATE_EXPLAIN_OK;
	find_workspace(query, result);
	describe_route(query, result);
	for (i = 0; i < result->route->part_count &&
	     result->part_count < GATE_EXPLAIN_PARTS_MAX && err == TM_OK;
	     i++)
		err = explain_part(query, result, &result->route->parts[i]);
	return (err);
}
