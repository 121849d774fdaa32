/**
 * @file
 * State of the outlier detector, shared by hub_outlier.c, which ejects targets,
 * and hub_outlier_probe.c, which brings them back and gives requests to those
 * that wait for one.
 */
#ifndef TM_HUB_HUB_OUTLIER_INTERNAL_H
#define TM_HUB_HUB_OUTLIER_INTERNAL_H

#include <uthash.h>

#include "hub/hub_outlier.h"

/* Time from the last failure to a probe by an unrepeatable request: a target
 * that recovered right after the failure is sound then, and the window in which
 * it should get a request ends. */
#define OUTLIER_UNREPEATABLE_BACKOFF_MS \
	(HUB_OUTLIER_SOUND_AFTER_MS + HUB_OUTLIER_USE_WINDOW_MS)

/* From this utilization on, requests wait for slots. */
#define OUTLIER_UTILIZATION_FULL 1.0

/* Most gates that are told at a time that a service has targets which wait. */
#define OUTLIER_OFFERS_MAX 256

typedef struct outlier_service outlier_service_t;

/* A gate that was told to ask for a target. */
typedef struct outlier_offer {
	node_id_t gate;
	int64_t made_ms;
} outlier_offer_t;

typedef struct outlier_target {
	uint64_t key;
	outlier_service_t *service;
	uint64_t incarnation_ms;
	fleet_verdict_t verdict;
	double failure_score;
	int64_t decayed_ms; /* time at which failure_score was computed */
	int64_t overloaded_ms; /* last stall or shed request */
	node_id_t last_gate; /* of the last evidence */
	int64_t last_gate_ms;
	int64_t failed_ms; /* last failure since its ejection */
	uint32_t ejections; /* in close succession */
	/* Probability that it still fails, as of estimate_ms; only while it is
	 * not healthy. */
	double estimate;
	int64_t estimate_ms;
	node_id_t probe_gate; /* NODE_ID_NONE: no probe in flight */
	int64_t probe_ms; /* when the probe was granted */
	/* Gate whose probe had no result when the target was opened to another
	 * one, as its grant or its result may be lost; NODE_ID_NONE: none. */
	node_id_t late_gate;
	int64_t late_ms; /* when that probe was granted */
	/* Gate whose probe hung, until another gate has probed the target, as
	 * the gate or its path may be the cause; NODE_ID_NONE: none. */
	node_id_t doubted_gate;
	/* With scarce capacity: any request may probe it. Gates are not told, so
	 * that only those with an offer ask. */
	int is_open;
	int is_confirmed; /* a second request failed at or after its ejection */
	int64_t confirmed_ms; /* last failed probe; 0: none */
	int64_t broken_ms; /* connection broken in use, if it was kept; or 0 */
	int is_draining;
	int is_evacuated; /* its data centre is */
	int is_unreachable; /* unresponsive for TARGET_TIMEOUT_MS */
	int64_t announced_ms;
	int64_t success_ms; /* last successful response */
	int64_t evidence_ms; /* last evidence against it */
	int64_t used_ms; /* last request that a gate reported in any way */
	struct outlier_target *prev; /* of the service */
	struct outlier_target *next;
	UT_hash_handle hh;
} outlier_target_t;

/* A service; kept after its last target is removed. */
struct outlier_service {
	uint64_t id;
	outlier_target_t *targets;
	/* Attempts at targets in use that ended or stalled lately, and the
	 * weight of the evidence from them. */
	double attempts;
	double failures;
	int64_t decayed_ms; /* time at which both were computed */
	/* Time from its last failure until any request may probe a target; 0:
	 * the targets in use are enough, probes wait longer. */
	int64_t early_backoff_ms;
	double utilization; /* requests per slot of the targets in use */
	int has_repeatable; /* some of its requests may be repeated */
	/* With scarce capacity: the estimate right after an ejection, and the
	 * time constant of its decay, as the results of probes suggest. */
	double ejected_estimate;
	double recovery_ms;
	/* With scarce capacity: targets that wait for a request by any gate, as
	 * of the last tick, less those assigned since; gates told of them. */
	uint32_t waiting;
	uint32_t offer_count;
	double asking_share; /* of the gates told, those that ask in time */
	outlier_offer_t offers[OUTLIER_OFFERS_MAX];
	hub_outlier_counts_t totals; /* only what is counted since the start */
	UT_hash_handle hh;
};

struct hub_outlier {
	outlier_target_t *targets;
	outlier_service_t *services;
	/* Share of a service's targets that may get no requests at all. */
	double unused_share_max;
	int is_scarce; /* FLEET_FEATURE_SCARCE_CAPACITY */
	int64_t
	    restored_ms; /* last ejection taken over from a leader; 0: none */
	hub_outlier_cb changed;
	hub_outlier_filter_cb filter; /* NULL: all targets */
	void *ctx;
};

/** @return a target, or NULL */
outlier_target_t *outlier_find(const hub_outlier_t *detector, uint64_t key);

/** Changes the verdict on a target; its probe is forgotten. */
void outlier_set_verdict(hub_outlier_t *detector, outlier_target_t *target,
    fleet_verdict_t verdict, const char *reason);

/** Ejects a target, or starts its ejection anew; not if too few of its service
 * would stay in use. */
void outlier_eject(hub_outlier_t *detector, outlier_target_t *target,
    fleet_evidence_t kind, int64_t now_ms);

/** @return 1 if a target may be in use: it is neither unreachable nor evacuated */
int outlier_is_present(const outlier_target_t *target);

/** @return targets of a service that are present, and healthy ones */
uint32_t outlier_count_targets(const outlier_service_t *service);
uint32_t outlier_count_healthy(const outlier_service_t *service);

/** @return number of targets that must stay in use, broken ones excepted */
uint32_t outlier_get_min_in_use(const outlier_service_t *service);

/** @return failed share of the attempts that ended lately, 0 to 1 */
double outlier_get_failed_share(const outlier_service_t *service);

/** @return rate of the attempts that ended lately */
double outlier_get_attempts_per_ms(const outlier_service_t *service);

/** @return 1 if a target waits for a request that need not be repeatable */
int outlier_is_waiting(const outlier_target_t *target, int64_t now_ms);

/** Records a failure of a target that is, or becomes, ejected. */
void outlier_estimate_failure(outlier_target_t *target, int64_t now_ms);

/** Evaluates the result of a probe. */
void outlier_record_probe(hub_outlier_t *detector, outlier_target_t *target,
    const hub_evidence_t *evidence, int64_t now_ms);

/** Expires a probe without a result, and opens a target that is not healthy to
 * probes once its backoff has passed. */
void outlier_offer_probe(
    hub_outlier_t *detector, outlier_target_t *target, int64_t now_ms);

/** Decides whether a service needs its ejected targets, and how soon: the sooner
 * the more of its requests fail anyway, as long as probes stay within a share of
 * them, but not so late that a target which has recovered goes without any. */
void outlier_update_backoff(outlier_service_t *service);

/** Opens unused targets to probes by any request until at most a share of the
 * service's targets is unused. */
void outlier_limit_unused(
    hub_outlier_t *detector, const outlier_service_t *service, int64_t now_ms);

/** @return 1 if the filter of the detector allows a target */
int outlier_may_assign(const hub_outlier_t *detector,
    const outlier_target_t *target, int64_t now_ms);

/** @return 1 if a healthy target gets too few requests. One that failed or
 * stalled last is left to the ordinary choice. */
int outlier_is_idle(const outlier_target_t *target, int64_t now_ms);

#endif
