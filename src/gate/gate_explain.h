/**
 * @file
 * Where a request would go now, and why: the route, the admission to each
 * service of its split, and the targets that could be chosen. Reads the
 * configuration and the table of targets and changes nothing. Does no I/O and
 * reads no clock. See docs/design/explain-route.md.
 */
#ifndef TM_GATE_GATE_EXPLAIN_H
#define TM_GATE_GATE_EXPLAIN_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_config.h"
#include "gate/gate_table.h"

/** Candidates that are named for a service. */
#define GATE_EXPLAIN_CANDIDATES_MAX 8
/** Services of a split that are explained. */
#define GATE_EXPLAIN_PARTS_MAX 16

/** The request, and what the gate knows. */
typedef struct gate_explain_query {
	const fleet_config_t *config; /**< NULL: none so far */
	const gate_table_t *table;
	const gate_cost_t *cost;
	uint32_t features; /**< fleet_feature_t */
	const char *host; /**< without a port */
	const char *path; /**< without a query */
	const char *method;
	const char *key; /**< of a workspace; NULL: none */
	size_t body_bytes;
	int has_leader; /**< it can be asked for a target */
	int is_alone; /**< no leader for longer than an election takes */
	int64_t lease_ms; /**< when the newest lease came; 0: none */
	int64_t now_ms;
} gate_explain_query_t;

typedef enum gate_explain_problem {
	GATE_EXPLAIN_OK,
	GATE_EXPLAIN_NO_CONFIG,
	GATE_EXPLAIN_NO_ROUTE
} gate_explain_problem_t;

typedef enum gate_explain_key {
	GATE_EXPLAIN_KEY_NOT_NEEDED,
	GATE_EXPLAIN_KEY_MISSING,
	GATE_EXPLAIN_KEY_UNKNOWN,
	GATE_EXPLAIN_KEY_KNOWN
} gate_explain_key_t;

/** Why a share of the requests is admitted. */
typedef enum gate_explain_admission {
	GATE_EXPLAIN_NOT_FULL,
	GATE_EXPLAIN_BY_LEADER, /**< its decision in the newest lease */
	GATE_EXPLAIN_BY_GATE, /**< no lease lately: by what targets shed */
	GATE_EXPLAIN_BY_UTILIZATION /**< that the leader reported */
} gate_explain_admission_t;

/** What happens to a request that is admitted. */
typedef enum gate_explain_outcome {
	GATE_EXPLAIN_NO_SERVICE, /**< no target of it was ever listed */
	GATE_EXPLAIN_EVACUATED, /**< refused */
	GATE_EXPLAIN_KEPT_PROBE, /**< sent to a target that is probed */
	GATE_EXPLAIN_ASK_LEADER, /**< the leader chooses a target */
	GATE_EXPLAIN_TARGET, /**< sent to a candidate */
	GATE_EXPLAIN_RESERVE, /**< waits for the permit of a target's limit */
	GATE_EXPLAIN_PAUSED, /**< all targets want no request for a time */
	GATE_EXPLAIN_NO_TARGET /**< none is usable */
} gate_explain_outcome_t;

/** A target that could be chosen. */
typedef struct gate_explain_candidate {
	char id[FLEET_TARGET_ID_MAX_BYTES + 1];
	int is_same_zone;
	int rank; /**< GATE_RANK_... */
	fleet_verdict_t verdict;
	double score;
	double chance; /**< to be chosen, 0 to 1 */
	uint32_t load; /**< running and queued, as it reported */
	int64_t load_age_ms; /**< -1: no report */
	uint32_t slots;
	uint32_t in_flight; /**< of this gate */
	double expected_ms; /**< by cost and speed; 0: unknown */
	double slowness;
	double limit_per_s; /**< that the target names; negative: none */
	double warmup_per_s; /**< while it is cold; negative: none */
	int64_t cold_left_ms; /**< 0: warm */
} gate_explain_candidate_t;

/** Targets of a service by what keeps them from use; each counts once. */
typedef struct gate_explain_counts {
	uint32_t total;
	uint32_t usable; /**< healthy and not avoided */
	uint32_t avoided; /**< healthy, but avoided by this gate */
	uint32_t ejected; /**< or open to probes only */
	uint32_t evacuated;
	uint32_t waiting; /**< for a permit of their limit */
	uint32_t leaving; /**< draining, deregistered or paused */
} gate_explain_counts_t;

/** A service of the split. */
typedef struct gate_explain_part {
	const char *service; /**< of the configuration */
	double weight;
	double share; /**< of the route's requests */
	gate_explain_admission_t admission;
	uint32_t priority_class;
	double class_share; /**< of this class that is admitted */
	double admitted; /**< of this workspace's requests on this route */
	gate_explain_counts_t counts;
	int has_subset; /**< the gate prefers a part of the targets */
	uint32_t candidate_total; /**< preferred, or of the best rank */
	gate_explain_candidate_t candidates[GATE_EXPLAIN_CANDIDATES_MAX];
	uint32_t candidate_count; /**< that are listed, the best first */
	gate_explain_outcome_t outcome;
	/** The candidate chosen most often, or the target of a kept probe; "":
	 * none. */
	char target[FLEET_TARGET_ID_MAX_BYTES + 1];
	int needs_permit; /**< the leader is asked before it is sent there */
	int64_t pause_ms; /**< until a paused target takes requests again */
} gate_explain_part_t;

/** The answer; refers to the configuration. */
typedef struct gate_explain {
	gate_explain_problem_t problem;
	const fleet_route_t *route; /**< NULL: none */
	const fleet_workspace_t *workspace; /**< NULL: none */
	gate_explain_key_t key;
	int32_t priority; /**< of the workspace, or of the route */
	int64_t timeout_ms;
	int64_t soft_deadline_ms;
	double cost_ms; /**< expected of the request; 0: unknown */
	gate_explain_part_t parts[GATE_EXPLAIN_PARTS_MAX];
	size_t part_count;
} gate_explain_t;

/**
 * Explains where a request would go. Changes nothing but the result.
 *
 * @return 0, or TM_ENOMEM
 */
int gate_explain_request(
    const gate_explain_query_t *query, gate_explain_t *result);

#endif
