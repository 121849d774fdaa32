/**
 * @file
 * What requests cost targets, and how fast targets are. A request costs the
 * time for which a target of average speed runs it. Both are learned from
 * responses: the cost by class of requests (route, method and body size) and by
 * workspace within the class, the speed by how much longer a target takes than
 * the cost says. Estimates grow old. Does no I/O and reads no clock. See
 * docs/design/choice-of-target.md.
 */
#ifndef TM_GATE_GATE_COST_H
#define TM_GATE_GATE_COST_H

#include <stddef.h>
#include <stdint.h>

#include "gate/gate_cost_fit.h"

typedef struct gate_cost gate_cost_t;

/** What is known of a request before it is sent. */
typedef struct gate_cost_key {
	uint64_t class_id; /**< gate_cost_get_class() */
	uint64_t workspace; /**< 0: none */
} gate_cost_key_t;

/** Speed of a target; starts as zero. */
typedef struct gate_speed {
	double slowness; /**< seen time as a multiple of the cost */
	double weight; /**< in responses, as of updated_ms */
	int64_t updated_ms;
} gate_speed_t;

/** A successful response. */
typedef struct gate_cost_outcome {
	double latency_ms;
	double load; /**< requests per slot of the target, as it reported */
	int64_t now_ms;
} gate_cost_outcome_t;

/** Comparison of estimates and outcomes; starts as zero. */
typedef struct gate_cost_totals {
	uint64_t responses; /**< for which there was an estimate */
	uint64_t expected_ms; /**< by cost and speed */
	uint64_t seen_ms; /**< without queueing */
	uint64_t missed; /**< responses off by more than a factor of two */
} gate_cost_totals_t;

/** What is learned of a service as a whole; starts as zero. */
typedef struct gate_cost_service {
	gate_cost_totals_t totals;
	double mean_ms; /**< mean cost of its requests; 0: unknown */
	gate_cost_fit_t costs; /**< how far differences in cost count */
	gate_cost_fit_t speeds; /**< the same, in slowness of targets */
} gate_cost_service_t;

/** @return NULL if memory is exhausted */
gate_cost_t *gate_cost_create(void);

/** NULL is allowed. */
void gate_cost_destroy(gate_cost_t *cost);

/** @return class of requests; body sizes within a factor of four are alike */
uint64_t gate_cost_get_class(
    const char *route, const char *method, size_t method_len, size_t body_len);

/** @return expected cost in ms; 0: unknown */
double gate_cost_expect(
    const gate_cost_t *cost, const gate_cost_key_t *key, int64_t now_ms);

/**
 * Expresses the expected cost of a request in requests of mean cost, as far as
 * the costs of the service's requests differ by more than chance.
 *
 * @param service  its mean is updated
 * @return         within bounds; 1 while the cost is unknown
 */
double gate_cost_get_weight(const gate_cost_t *cost, const gate_cost_key_t *key,
    gate_cost_service_t *service, int64_t now_ms);

/**
 * Learns from a response.
 *
 * @param service  compares the response with the estimate
 */
void gate_cost_record(gate_cost_t *cost, const gate_cost_key_t *key,
    gate_speed_t *speed, gate_cost_service_t *service,
    const gate_cost_outcome_t *outcome);

/** @return number of responses that tell the speed of a target; falls with
 *          their age */
double gate_speed_get_weight(const gate_speed_t *speed, int64_t now_ms);

/** @return time of a request at a target as a multiple of its cost, as far as
 *          the speeds of the service's targets differ by more than chance; 1
 *          while little is known */
double gate_cost_get_slowness(const gate_cost_service_t *service,
    const gate_speed_t *speed, int64_t now_ms);

#endif
