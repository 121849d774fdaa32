/**
 * @file
 * State of a service leader, shared by its source files only.
 */
#ifndef TM_SERVICE_LEADER_INTERNAL_H
#define TM_SERVICE_LEADER_INTERNAL_H

#include <uthash.h>

#include "proto/service.pb-c.h"
#include "service/service_outlier.h"
#include "service/service_leader.h"

#define LEADER_DATA_CENTRES_MAX 16
#define LEADER_CRASHES_MAX	256
/* A VM that has not reported for this long gets no more pushes. */
#define LEADER_VM_TIMEOUT_MS	10000
#define LEADER_COLD_MS		10000
#define LEADER_EVALUATE_MS	100
#define LEADER_SECOND_INTERVALS 10

/* A data centre that avoids a target. */
typedef struct leader_avoid {
	uint32_t data_centre;
	int64_t until_ms;
} leader_avoid_t;

/* Attempts at a target from one data centre during one interval. */
typedef struct leader_interval {
	uint32_t count;
	uint32_t failures;
	uint32_t late;
} leader_interval_t;

/* The last second of a target, one interval per evaluation. */
typedef struct leader_last_second {
	leader_interval_t intervals[LEADER_SECOND_INTERVALS]
				   [LEADER_DATA_CENTRES_MAX];
} leader_last_second_t;

typedef struct leader_target {
	int used;
	uint64_t id;
	service_announcement_t info;
	service_target_state_t state;
	int64_t cold_started_ms;
	int64_t lease_until_ms;
	int64_t left_ms; /* when leaving or lapsed */
	int64_t last_success_ms; /* last successful response */
	service_finding_t finding; /* of the last evaluation */
	service_finding_t verdict; /* on which it was ejected */
	int64_t state_since_ms;
	double past_ms; /* own mean latency over about a minute */
	uint32_t ejections; /* without 10 quiet minutes between them */
	int64_t ejected_ms; /* last ejection */
	int64_t next_probe_ms;
	uint64_t permit; /* 0: none outstanding */
	int64_t permit_until_ms;
	uint32_t unused_permits; /* expired without a result, consecutive */
	uint32_t probe_successes;
	double probe_latency_sum_ms;
	int64_t first_break_ms; /* of this incarnation; 0: none */
	uint32_t avoid_count;
	leader_avoid_t avoid[SERVICE_AVOID_MAX];
} leader_target_t;

typedef struct leader_demand {
	uint64_t workspace;
	double demand;
	double carry; /* share not yet granted because of rounding */
} leader_demand_t;

/* Demand of all VMs for one workspace, at the last computation. */
typedef struct leader_total {
	uint64_t workspace;
	double demand;
	UT_hash_handle hh;
} leader_total_t;

typedef struct leader_vm {
	node_id_t id;
	uint32_t data_centre;
	int64_t reported_ms;
	int64_t traffic_ms; /* last report with attempts */
	uint64_t term; /* of its table, by the last full report */
	uint64_t sequence;
	uint32_t window_count;
	service_window_t *target_windows; /* by target index */
	uint32_t demand_count;
	leader_demand_t *demand; /* sorted by workspace */
	UT_hash_handle hh;
} leader_vm_t;

typedef struct leader_crash {
	uint64_t fingerprint;
	uint64_t target;
	int64_t at_ms;
} leader_crash_t;

typedef struct leader_blocked {
	uint64_t fingerprint;
	int64_t until_ms;
} leader_blocked_t;

struct service_leader {
	service_leader_options_t opt;
	char name[NAME_MAX_BYTES + 1];
	uint64_t id;
	rng_t rng;
	uint64_t term; /* 0: not leading */
	uint64_t sequence;
	int dirty; /* the table changed since the last push */
	service_profile_t profile;
	uint32_t target_count; /* indices in use are below this */
	leader_target_t targets[SERVICE_TARGETS_MAX];
	service_window_t totals[SERVICE_TARGETS_MAX];
	/* By target index; NULL while not leading. */
	leader_last_second_t *last_seconds;
	uint32_t interval_index; /* interval being filled */
	leader_vm_t *vms;
	uint32_t dc_count;
	uint32_t dcs[LEADER_DATA_CENTRES_MAX];
	int64_t decayed_ms;
	int64_t evaluated_ms;
	double typical_ms;
	uint64_t permits;
	uint32_t crash_next;
	leader_crash_t crashes[LEADER_CRASHES_MAX];
	uint32_t blocked_count;
	leader_blocked_t blocked[SERVICE_BLOCKED_MAX];
	leader_total_t *demand;
	double fair_level; /* largest share; negative without contention */
	service_leader_stats_t stats;
	uint8_t *encoded;
	size_t encoded_len;
};

/* service_evidence.c */
void leader_evidence_clear(service_leader_t *leader);
void leader_evidence_clear_target(service_leader_t *leader, uint32_t index);
leader_vm_t *leader_vm_find(const service_leader_t *leader, node_id_t id);
leader_vm_t *leader_vm_get(
    service_leader_t *leader, node_id_t id, uint32_t data_centre);
void leader_vm_add_sample(
    leader_vm_t *vm, uint32_t index, const service_sample_t *sample);
void leader_evidence_add(service_leader_t *leader, leader_vm_t *vm,
    uint32_t index, const service_sample_t *sample);
void leader_evidence_init(service_leader_t *leader);
void leader_evidence_evaluate(service_leader_t *leader, int64_t now_ms);

/* service_eject.c */
uint32_t leader_count_in_use(const service_leader_t *leader);
uint32_t leader_get_floor(const service_leader_t *leader);
void leader_eject(service_leader_t *leader, uint32_t index,
    double failure_score, int64_t now_ms);
void leader_return(service_leader_t *leader, uint32_t index, int64_t now_ms);
void leader_eject_within_floor(
    service_leader_t *leader, const double *failure_score, int64_t now_ms);
void leader_restore_floor(service_leader_t *leader, int64_t now_ms);
void leader_send_probe_permits(service_leader_t *leader, int64_t now_ms);
void leader_handle_probe_result(
    service_leader_t *leader, const ServiceTrialResult *msg, int64_t now_ms);
void leader_handle_crash(service_leader_t *leader, node_id_t from,
    const ServiceCrash *msg, int64_t now_ms);

/* service_table.c */
void leader_table_publish(service_leader_t *leader, int64_t now_ms);
void leader_table_restore(service_leader_t *leader, int64_t now_ms);
void leader_table_send(service_leader_t *leader, node_id_t to, int64_t now_ms);
void leader_shares_clear(service_leader_t *leader);
void leader_shares_compute(service_leader_t *leader, int64_t now_ms);
void leader_shares_send(service_leader_t *leader, leader_vm_t *vm);
void leader_shares_request_report(service_leader_t *leader, node_id_t to);
void leader_set_demand(
    rng_t *rng, leader_vm_t *vm, ServiceDemand **demand, size_t count);

/* service_leader.c */
void leader_target_init(leader_target_t *target,
    const service_announcement_t *info, int64_t now_ms);
int leader_find_index(const service_leader_t *leader, uint64_t target);

#endif
