/**
 * @file
 * The targets as a gate knows them, and the choice of one for a request. A
 * decision module.
 */
#ifndef TM_GATE_GATE_TABLE_H
#define TM_GATE_GATE_TABLE_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/rng.h"
#include "fleet/fleet_defs.h"
#include "proto/fleet.pb-c.h"

/** A target that this gate found unreachable is left out for this time. */
#define GATE_AVOID_UNREACHABLE_MS 4000
/** A target that shed a request is left out for this time. */
#define GATE_AVOID_SHED_MS 250
/** A refused trial is not asked for again within this time. */
#define GATE_PROBE_RETRY_MS 300
/** Targets that one request excludes at most. */
#define GATE_TRIED_MAX 8

struct gate_service;

/** A target; valid until the next change of the table unless it is held. */
typedef struct gate_target {
	uint64_t key;
	char id[FLEET_TARGET_ID_MAX_BYTES + 1];
	uint64_t incarnation_ms;
	struct sockaddr_in addr;
	struct gate_service *service;
	int is_same_zone; /**< in the zone of this gate */
	uint32_t slots;
	fleet_target_state_t state;
	fleet_verdict_t verdict;
	uint32_t in_flight; /**< requests of this gate */
	uint32_t load; /**< running and waiting, as it last reported */
	int64_t load_ms; /**< when it reported so */
	int has_unreported_load; /**< not reported yet */
	int64_t avoid_until_ms; /**< this gate alone leaves it out */
	int64_t next_probe_ms; /**< none is asked for before */
	int64_t cold_until_ms; /**< it is slow until then */
	int64_t idle_max_ms; /**< longest idle time it keeps connections */
	uint32_t successes; /**< since the last report */
	uint32_t latency_sum_ms;
	uint32_t refs; /**< requests that point here */
	int is_listed; /**< in the newest whole table, or came since */
	int is_removed;
	UT_hash_handle hh;
} gate_target_t;

typedef struct gate_service {
	uint64_t id;
	char name[NAME_MAX_BYTES + 1];
	gate_target_t **targets;
	uint32_t count;
	uint32_t capacity;
	double latency_ms; /**< mean of good responses; 0: not known */
	double utilization; /**< requests per slot in the whole fleet */
	double work_ms; /**< of a request without waiting; 0: not known */
	int64_t utilization_ms; /**< when the leader reported so */
	UT_hash_handle hh;
} gate_service_t;

typedef struct gate_table gate_table_t;

/** What a request needs. */
typedef struct gate_pick_options {
	const uint64_t *tried; /**< keys of targets that are left out */
	uint32_t tried_count;
	int may_repeat; /**< a trial does no harm */
	int64_t now_ms;
} gate_pick_options_t;

/** A choice. */
typedef struct gate_choice {
	gate_target_t *target; /**< NULL: none is left */
	int is_probe; /**< needs a permit */
} gate_choice_t;

/** @param zone  of this gate @return NULL if memory is exhausted */
gate_table_t *gate_table_create(const char *zone, uint64_t seed);

/** Frees everything; NULL is allowed. */
void gate_table_destroy(gate_table_t *table);

/** Takes over a table or changes of it. @return 1 if it was used */
int gate_table_take(
    gate_table_t *table, const Tm__Fleet__Table *msg, int64_t now_ms);

/** @return term and sequence of what the table holds */
uint64_t gate_table_get_term(const gate_table_t *table);
uint64_t gate_table_get_sequence(const gate_table_t *table);

/** @return a service with at least one target so far, or NULL */
gate_service_t *gate_table_find_service(
    const gate_table_t *table, const char *name);

/** @return a target, or NULL */
gate_target_t *gate_table_find_target(const gate_table_t *table, uint64_t key);

/** The leader reported how full a service is. */
void gate_table_set_pressure(gate_table_t *table, uint64_t id, double utilization,
    double work_ms, int64_t now_ms);

/**
 * Decides whether a service has capacity for a request, so that the requests that
 * it takes are answered in time; the most urgent ones go first.
 *
 * @param aim_ms    time within which the response should come
 * @param priority  0 is the most urgent
 * @return          1 if the request should be sent
 */
int gate_table_has_room(gate_table_t *table, const gate_service_t *service,
    int64_t aim_ms, int32_t priority, int64_t now_ms);

/** Chooses a target. */
gate_choice_t gate_table_pick(
    gate_table_t *table, gate_service_t *service, const gate_pick_options_t *options);

/** A request is sent to a target, and holds it until gate_target_release(). */
void gate_target_acquire(gate_target_t *target);

/** A request at a target has ended. */
void gate_target_release(gate_target_t *target);

/** Records a good response. */
void gate_target_record_success(gate_target_t *target, int64_t latency_ms);

/** Records the load that a target reported. */
void gate_target_set_load(gate_target_t *target, uint32_t load, int64_t now_ms);

/** Leaves a target out at this gate alone. */
void gate_target_avoid(gate_target_t *target, int64_t until_ms);

/**
 * Lists and clears what was observed since the last call.
 *
 * @return list of count messages that the caller frees with one free(); NULL
 *         if there is none
 */
Tm__Fleet__Outcome *gate_table_collect_outcomes(
    gate_table_t *table, size_t *count);

/** @return number of targets */
uint32_t gate_table_count(const gate_table_t *table);

#endif
