/**
 * @file
 * The subset of a service's targets that this gate prefers, so that its
 * connections are reused. Each gate orders the targets by a hash of its own
 * name and theirs (rendezvous hashing) and prefers the first usable ones. Does
 * no I/O and reads no clock. See docs/design/choice-of-target.md.
 */
#ifndef TM_GATE_GATE_SUBSET_H
#define TM_GATE_GATE_SUBSET_H

#include <stdint.h>

#include "base/rng.h"

/** Idle connections to one target that are remembered. */
#define GATE_IDLE_MAX 4

struct gate_target;
struct gate_service;
struct gate_pick_options;

/** What the choice among the preferred targets weighs. */
typedef enum gate_choice_by {
	GATE_CHOICE_BY_WORK, /**< expected cost of requests, speed of targets */
	GATE_CHOICE_BY_REQUESTS /**< the number of requests per slot only */
} gate_choice_by_t;

/** How a gate chooses targets. */
typedef struct gate_policy {
	uint32_t features; /**< fleet_feature_t */
	gate_choice_by_t choice; /**< with FLEET_FEATURE_SCARCE_CAPACITY */
	uint64_t gate; /**< hash of the gate's name, the same after a restart */
	uint32_t gate_count; /**< gates of the fleet, this one included */
} gate_policy_t;

/** Idle connections to a target, estimated from its responses. */
typedef struct gate_idle {
	int64_t since_ms[GATE_IDLE_MAX]; /**< the oldest first */
	uint32_t count;
} gate_idle_t;

/** Subset of a service's targets; starts as zero. */
typedef struct gate_subset {
	struct gate_target **ordered; /**< all targets, the preferred first */
	struct gate_target **members; /**< of the last choice */
	uint32_t capacity; /**< of both lists */
	int is_ordered; /**< 0: targets came or went */
	double rate_per_s; /**< requests of this gate */
	int64_t rate_ms; /**< time of the last request */
	uint32_t size; /**< wanted number of members */
	uint32_t member_count;
	double mean_load; /**< per slot, as targets reported it lately */
	int64_t mean_load_ms; /**< time of the last report; 0: none */
	uint32_t reported_size; /**< in the log */
} gate_subset_t;

/** What the size of a subset depends on. */
typedef struct gate_subset_demand {
	double rate_per_s; /**< requests of this gate */
	int64_t reuse_ms; /**< longest idle time of a connection */
	uint32_t targets; /**< that are usable */
	uint32_t gate_count;
} gate_subset_demand_t;

/** @return longest idle time after which a connection is reused */
int64_t gate_subset_get_reuse_ms(int64_t keep_alive_ms);

/** Records a connection that its response left open. */
void gate_idle_add(gate_idle_t *idle, int64_t now_ms);

/** @return 1 if a connection can be reused */
int gate_idle_has(const gate_idle_t *idle, int64_t reuse_ms, int64_t now_ms);

/** Takes the connection that was used last. @return 0: there is none */
int gate_idle_take(gate_idle_t *idle, int64_t reuse_ms, int64_t now_ms);

/** Records the load per slot that a target of the service reported. */
void gate_subset_record_load(
    gate_subset_t *subset, double load, int64_t now_ms);

/** @return number of targets that a gate should prefer */
uint32_t gate_subset_get_size(const gate_subset_demand_t *demand);

/** @return rank of a target for a gate; the highest ones are preferred */
uint64_t gate_subset_get_preference(uint64_t gate, uint64_t target);

/**
 * Counts a request and chooses a target of the subset.
 *
 * @return NULL if no target is healthy and not avoided, or memory is exhausted
 */
struct gate_target *gate_subset_pick(struct gate_service *service,
    const gate_policy_t *policy, const struct gate_pick_options *options,
    rng_t *rng);

/** A target with the chance that gate_subset_pick() or the choice among all
 * targets takes it; see gate_subset_set_chances(). */
typedef struct gate_candidate {
	const struct gate_target *target;
	double score; /**< load per slot with bonus and penalties */
	double chance; /**< 0 to 1 */
} gate_candidate_t;

/**
 * Lists the targets that the gate prefers now, as a request would find them.
 * Changes nothing.
 *
 * @param candidates  room for all targets of the service; receives target and
 *                    score
 * @return            number of candidates; 0 without memory
 */
uint32_t gate_subset_preview(const struct gate_service *service,
    const gate_policy_t *policy, const struct gate_pick_options *options,
    gate_candidate_t *candidates);

/** Sorts candidates by their scores, the best first, and sets the chance of each
 * in a choice of the better of two, one of which is in the gate's own zone. */
void gate_subset_set_chances(gate_candidate_t *candidates, uint32_t count);

/** @return 1 if a target was preferred at the last choice, or if there was none
 * among preferred targets */
int gate_subset_has(
    const gate_subset_t *subset, const struct gate_target *target);

/** Frees the lists. */
void gate_subset_release(gate_subset_t *subset);

#endif
