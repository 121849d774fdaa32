/**
 * @file
 * The targets of all services as the leading hub lists them, with this gate's
 * own observations, and the choice of a target for a request. The gate owns
 * the table; it is filled from the leader's full tables and deltas. Does no I/O
 * and reads no clock.
 */
#ifndef TM_GATE_GATE_TABLE_H
#define TM_GATE_GATE_TABLE_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/latency.h"
#include "base/rng.h"
#include "fleet/fleet_defs.h"
#include "gate/gate_connections.h"
#include "gate/gate_cost.h"
#include "gate/gate_evacuation.h"
#include "gate/gate_limit.h"
#include "gate/gate_share.h"
#include "gate/gate_subset.h"
#include "proto/fleet.pb-c.h"

/** Time for which this gate avoids a target that it could not reach. */
#define GATE_AVOID_UNREACHABLE_MS 4000
/** Time for which this gate avoids a target that shed a request (rejected it
 * without executing it because it was full) or broke a connection. */
#define GATE_AVOID_SHED_MS 250
/** Time until the leader is asked again for a target of a service after it had
 * none. */
#define GATE_ASK_RETRY_MS 300
/** Largest number of targets that one request is sent to. */
#define GATE_TRIED_MAX 8

struct gate_service;

/** A target; valid until the next change of the table unless a reference is
 * taken with gate_target_acquire(). */
typedef struct gate_target {
	uint64_t key;
	char id[FLEET_TARGET_ID_MAX_BYTES + 1];
	uint64_t incarnation_ms; /**< wall clock of its start */
	struct sockaddr_in addr;
	struct gate_service *service;
	uint64_t data_centre; /**< fleet_name_hash() of its zone */
	int is_evacuated; /**< its data centre is */
	int is_same_zone; /**< in the gate's own zone */
	uint32_t slots;
	fleet_target_state_t state;
	fleet_verdict_t verdict;
	uint32_t in_flight; /**< requests of this gate */
	uint32_t load; /**< running and queued, as it last reported */
	int64_t load_ms; /**< time of that report; 0: none */
	int has_unreported_load; /**< load is not yet sent to the leader */
	int64_t avoid_until_ms; /**< avoided until then */
	int64_t cold_until_ms; /**< warming up until then */
	int64_t idle_max_ms; /**< its keep-alive timeout; 0: unknown */
	gate_idle_t idle; /**< connections to it */
	int is_connected; /**< this gate has opened a connection to it */
	gate_speed_t speed;
	/** Expected work of this gate's requests beyond their number, in
	 * requests of mean cost; may be negative. */
	double excess;
	uint64_t preference; /**< of this gate; see gate_subset.h */
	gate_limit_t limit; /**< requests that it takes from all gates */
	int is_leaving; /**< it said so here; this incarnation stays so */
	int64_t paused_until_ms; /**< it wants no request from this gate */
	uint32_t sent; /**< requests since the last report */
	uint32_t successes; /**< since the last report */
	uint32_t latency_sum_ms; /**< of these successes */
	uint32_t refs; /**< requests that refer to it */
	int64_t trial_due_ms; /**< without a leader; see gate_alone.h */
	int is_recovered; /**< a trial without a leader succeeded */
	uint64_t digest; /**< of its row, as of fleet_table.h */
	int is_listed; /**< in the newest full table or a later delta */
	int is_judged; /**< while a table is applied: it lists the verdict */
	int is_removed; /**< out of the table, kept for its references */
	UT_hash_handle hh;
} gate_target_t;

typedef struct gate_service {
	uint64_t id;
	char name[NAME_MAX_BYTES + 1];
	gate_target_t **targets;
	uint32_t count;
	uint32_t capacity;
	latency_t latency; /**< of successes */
	double utilization; /**< requests per slot in the whole fleet */
	double work_ms; /**< service time without queueing; 0: unknown */
	int64_t utilization_ms; /**< when the leader reported it */
	int64_t next_ask_ms; /**< the leader is not asked before */
	int64_t
	    idle_ms; /**< when the leader last named it as having idle targets */
	int has_offers; /**< the leader offers targets to single gates */
	uint64_t kept_probe; /**< target of a grant that came late; 0: none */
	int64_t kept_probe_ms; /**< when it came */
	gate_share_t share; /**< admission, see gate_share.h */
	int is_alone; /**< without a leader; see gate_alone.h */
	int is_scarce; /**< so, with FLEET_FEATURE_SCARCE_CAPACITY */
	int is_spaced; /**< without a leader; see gate_limit_begin_spacing() */
	double trial_credit; /**< of trials without a leader */
	int64_t repeatable_ms; /**< last repeatable request; 0: none */
	gate_cost_service_t costs; /**< learned from its responses */
	gate_cost_totals_t costs_reported; /**< in the log */
	int64_t costs_reported_ms; /**< time of that report */
	gate_subset_t subset; /**< targets that this gate prefers */
	gate_connections_t connections; /**< why they were opened */
	UT_hash_handle hh;
} gate_service_t;

typedef struct gate_table gate_table_t;

/** Constraints of a request on the choice of its target. */
typedef struct gate_pick_options {
	const uint64_t *tried; /**< keys of targets to exclude */
	uint32_t tried_count;
	int may_repeat; /**< it may be executed twice */
	int is_retry; /**< an attempt failed: the next one is not a probe */
	int has_leader; /**< the leader can be asked for a target */
	int is_alone; /**< no leader for longer than an election takes */
	int skips_limited; /**< targets with a limit count as waiting */
	int64_t now_ms;
} gate_pick_options_t;

/** Result of gate_table_pick(). */
typedef struct gate_choice {
	gate_target_t
	    *target; /**< NULL: none is usable, or the leader chooses */
	int is_probe; /**< with a grant of the leader that was kept */
	int must_ask_leader; /**< the leader is to be asked for a target */
	/** Without a target: time until one takes a request again that wants
	 * none now, in ms; 0: there is none. */
	int64_t pause_ms;
	/** Healthy targets are at their limits: the leader is to be asked for
	 * the next permit of one of them. */
	int must_reserve;
	int is_evacuated; /**< all targets of the service are evacuated */
} gate_choice_t;

/**
 * Creates an empty table.
 *
 * @param zone  of this gate
 * @param seed  for random choices
 * @return      NULL if memory is exhausted
 */
gate_table_t *gate_table_create(const char *zone, uint64_t seed);

/** Frees everything; NULL is allowed. */
void gate_table_destroy(gate_table_t *table);

/** Sets how targets are chosen. With a policy of all zeros, as in a new table,
 * all targets of a service are equal. */
void gate_table_set_policy(gate_table_t *table, const gate_policy_t *policy);

/**
 * Applies a full table or a delta. Older ones and deltas on another base are
 * ignored; after differences over terms on another base the gate asks for a full
 * table.
 *
 * @return 1 if it was applied
 */
int gate_table_apply(
    gate_table_t *table, const Tm__Fleet__Table *msg, int64_t now_ms);

/**
 * Describes the table to a leading hub, so that it sends only differences.
 *
 * @param has_leader  1 if the leader of the table's term is known: the digests of
 *                    buckets are left out, as no other is expected to answer
 * @param join        refers to the table until its next change
 */
void gate_table_fill_join(
    gate_table_t *table, int has_leader, Tm__Fleet__Join *join);

/** @return how targets are chosen */
const gate_policy_t *gate_table_get_policy(const gate_table_t *table);

/** @return term and sequence of the last applied message; 0: none */
uint64_t gate_table_get_term(const gate_table_t *table);
uint64_t gate_table_get_sequence(const gate_table_t *table);

/** @return a service with at least one target so far, or NULL */
gate_service_t *gate_table_find_service(
    const gate_table_t *table, const char *name);

/** @return a service by fleet_name_hash() of its name, or NULL */
gate_service_t *gate_table_find_service_id(
    const gate_table_t *table, uint64_t id);

/** @return the first service; the others follow in hh.next. NULL: none */
gate_service_t *gate_table_get_services(const gate_table_t *table);

/** @return a target, or NULL */
gate_target_t *gate_table_find_target(const gate_table_t *table, uint64_t key);

/**
 * Records the utilization of a service that the leader reported.
 *
 * @param utilization  requests per slot of its targets
 * @param work_ms      service time without queueing; 0: unknown
 */
void gate_table_set_utilization(gate_table_t *table, uint64_t id,
    double utilization, double work_ms, int64_t now_ms);

/**
 * Decides whether to admit a request to a service, so that admitted requests
 * are answered in time; the most urgent ones are admitted longest.
 *
 * @param soft_deadline_ms  time after which a response is worth less
 * @param priority          0 is the most urgent
 * @return                  1 if the request should be sent
 */
int gate_table_admits(gate_table_t *table, const gate_service_t *service,
    int64_t soft_deadline_ms, int32_t priority, int64_t now_ms);

/** Records that services have idle targets: healthy ones that lately got no
 * request from any gate. */
void gate_table_set_idle(gate_table_t *table, const uint64_t *services,
    size_t count, int64_t now_ms);

/** Keeps a probe whose grant came late; see gate_probe.h.
 * @return 0: it is to be given back to the leader */
int gate_table_keep_probe(gate_table_t *table, uint64_t target, int64_t now_ms);

/** @return target of a kept probe that no request has used in time, which is to
 *         be given back; 0: none */
uint64_t gate_table_drop_probe(gate_table_t *table, int64_t now_ms);

/** Chooses a target: leaves the choice to the leader if targets wait for a
 * request, else takes the one with the lower score of two random targets of the
 * highest rank. */
gate_choice_t gate_table_pick(gate_table_t *table, gate_service_t *service,
    const gate_pick_options_t *options);

/** Records that the leader had no target for a request of a service. */
void gate_service_delay_asking(gate_service_t *service, int64_t now_ms);

/** Takes a reference and counts a request that is sent. */
void gate_target_acquire(gate_target_t *target);

/** Ends a request and drops its reference; frees a removed target with the
 * last one. */
void gate_target_release(gate_target_t *target);

/** Records a successful response. */
void gate_target_record_success(gate_target_t *target, int64_t latency_ms);

/** Records the load that a target reported. @param load  running and queued */
void gate_target_set_load(gate_target_t *target, uint32_t load, int64_t now_ms);

/** Records the load that a target reported to another gate, unless this gate has a
 * newer one. */
void gate_table_set_load(
    gate_table_t *table, uint64_t target, uint32_t load, int64_t reported_ms);

/** Records that a target leaves. @return 1 if that is new */
int gate_target_set_leaving(gate_target_t *target);

/** Records that a target wants no request from this gate for a time. */
void gate_target_pause(gate_target_t *target, int64_t pause_ms, int64_t now_ms);

/** Makes this gate avoid a target up to a time: it is used only if no other
 * healthy target is left. */
void gate_target_avoid(gate_target_t *target, int64_t until_ms);

/**
 * Collects and resets successes and loads since the last call.
 *
 * @return list of count messages that the caller frees with one free(); NULL
 *         if there is none
 */
Tm__Fleet__Outcome *gate_table_collect_outcomes(
    gate_table_t *table, size_t *count);

/** @return the evacuated data centres as of the last applied message */
const gate_evacuation_t *gate_table_get_evacuation(const gate_table_t *table);

/** @return number of targets */
uint32_t gate_table_count(const gate_table_t *table);

#endif
