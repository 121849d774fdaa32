/**
 * @file
 * State of a service view, shared by its source files only.
 */
#ifndef TM_SERVICE_VIEW_INTERNAL_H
#define TM_SERVICE_VIEW_INTERNAL_H

#include <uthash.h>

#include "proto/service.pb-c.h"
#include "service/service_outlier.h"
#include "service/service_view.h"

#define VIEW_ANNOUNCES_MAX 64
#define VIEW_CRASHES_MAX   64
#define VIEW_COLD_MS	   10000
#define VIEW_NEVER_MS	   INT64_MAX

/** Private part of an endpoint. */
typedef struct service_endpoint_state {
	service_target_state_t state;
	int retired; /* not in the table; freed when nothing is in flight */
	int64_t cold_started_ms;
	double failure_score; /* severity by the table or by this VM */
	service_finding_t verdict; /* finding that the table names */
	service_finding_t local_finding; /* on which this VM avoids it */
	int64_t state_since_ms;
	uint32_t ejections;
	uint32_t slots; /* as announced */
	uint32_t avoid_count; /* length of avoid_dcs */
	uint32_t avoid_dcs[SERVICE_AVOID_MAX]; /* by the table */
	int avoid_dc; /* this data centre is one of them */
	service_endpoint_t *next_retired;
	/* Local outlier detection */
	service_window_t window;
	int avoided; /* by local outlier detection */
	uint32_t avoidances; /* by local outlier detection */
	int64_t avoided_ms;
	int64_t local_next_probe_ms; /* next local probe */
	uint32_t local_probe_successes;
	/* Counts since the last report */
	service_sample_t pending;
	/* Permit of the leader */
	uint64_t permit;
	int64_t permit_until_ms;
	int permit_allows_unrepeatable;
	int local_probe_running;
	/* No repeatable request came to probe it in time. */
	int local_allows_unrepeatable;
	service_attempt_t *oldest; /* attempts in flight, by their start */
	service_attempt_t *newest;
} service_endpoint_state_t;

typedef struct view_announce {
	service_announcement_t info;
	uint64_t target;
	service_announce_result_t result;
	int64_t until_ms; /* 0: not waiting for the leader */
	int64_t next_ms;
	uint32_t tries;
} view_announce_t;

typedef struct view_crash {
	uint64_t fingerprint;
	uint64_t target;
	uint64_t incarnation;
	int64_t at_ms;
	int is_resent;
} view_crash_t;

typedef struct view_blocked {
	uint64_t fingerprint;
	int64_t until_ms;
} view_blocked_t;

typedef struct view_share {
	uint64_t workspace;
	uint32_t slots;
	UT_hash_handle hh;
} view_share_t;

struct service_view {
	service_view_options_t opt;
	char name[NAME_MAX_BYTES + 1];
	uint64_t id;
	rng_t rng;
	service_profile_t profile;
	uint64_t term;
	uint64_t sequence;
	uint64_t generation;
	uint32_t count;
	service_endpoint_t *endpoints[SERVICE_TARGETS_MAX];
	service_endpoint_t *retired;
	double typical_ms; /* of the peers, by the leader */
	uint32_t vm_count;
	int64_t acked_ms; /* last answer of the leader */
	node_id_t acked_leader; /* acknowledged the last full report */
	uint64_t acked_term; /* of that leader and of this view's table then */
	uint64_t acked_sequence;
	node_id_t report_leader; /* of the last report */
	int is_report_short; /* the last report */
	int64_t reported_ms;
	int64_t active_ms; /* last time with attempts, or the start */
	int64_t decayed_ms;
	int64_t evaluated_ms;
	int64_t cold_until_ms; /* end of the last endpoint's cold start */
	int unevaluated; /* outcomes since evaluated_ms */
	int64_t gossiped_ms;
	int urgent; /* failures or late attempts since the last report */
	uint32_t attempts; /* since the last report */
	uint32_t demand_count;
	uint32_t demand_size;
	service_demand_t *demand;
	int64_t shares_until_ms;
	view_share_t *shares;
	view_share_t *share_pool;
	view_announce_t announces[VIEW_ANNOUNCES_MAX];
	uint32_t crash_next;
	view_crash_t crashes[VIEW_CRASHES_MAX];
	uint32_t blocked_count;
	view_blocked_t blocked[SERVICE_BLOCKED_MAX];
};

/* service_view_table.c */
void view_table_handle(
    service_view_t *view, const ServiceTable *msg, int64_t now_ms);
void view_table_send(service_view_t *view, node_id_t to, int64_t now_ms);
void view_table_gossip(service_view_t *view, int64_t now_ms);
int64_t view_table_get_due_ms(const service_view_t *view);
void view_free_retired(service_view_t *view);

/* service_view_local.c */
void view_local_run(service_view_t *view, int64_t now_ms);
void view_local_decay(service_view_t *view, int64_t now_ms);
int64_t view_local_get_due_ms(const service_view_t *view, int64_t now_ms);
void view_local_update(service_view_t *view, int64_t now_ms);
service_endpoint_t *view_local_take_probe(
    service_view_t *view, int may_repeat, int64_t now_ms);
void view_local_end_probe(service_view_t *view, service_endpoint_t *endpoint,
    int success, int64_t latency_ms, int64_t now_ms);
int64_t view_get_stall_ms(const service_view_t *view);

/* service_view_report.c */
void view_report_run(service_view_t *view, int64_t now_ms);
int64_t view_report_get_due_ms(const service_view_t *view, int64_t now_ms);
int64_t view_announce_get_due_ms(const service_view_t *view);
int64_t view_crash_get_due_ms(const service_view_t *view);
void view_announce_run(service_view_t *view, int64_t now_ms);
void view_announce_relay(
    service_view_t *view, const ServiceAnnounce *msg, int64_t now_ms);
void view_announce_reply(service_view_t *view, const ServiceAnnounceReply *msg);
void view_crash_run(service_view_t *view, int64_t now_ms);
void view_send_probe_result(service_view_t *view,
    const service_endpoint_t *endpoint, uint64_t permit, int success,
    int64_t latency_ms);

#endif
