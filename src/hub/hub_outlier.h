/**
 * @file
 * Outlier detection at the leading hub: decides from what the gates report
 * which targets are ejected. Evidence adds to the failure score of a target; a
 * target whose score reaches 1 is ejected and comes back after successful
 * probes (half-open requests, as of a circuit breaker). Answers of targets to
 * health checks are no evidence. The caller owns the detector. Does no I/O and
 * reads no clock.
 */
#ifndef TM_HUB_HUB_OUTLIER_H
#define TM_HUB_HUB_OUTLIER_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"

/** A target that has not failed for this time may be sound. */
#define HUB_OUTLIER_SOUND_AFTER_MS 2000
/** Sound targets are expected to get a request in any span of this length. */
#define HUB_OUTLIER_USE_WINDOW_MS 2000
/** A healthy target that got no request for this time is idle; the rest of the
 * window is for a request to come. */
#define HUB_OUTLIER_IDLE_MS (HUB_OUTLIER_USE_WINDOW_MS / 2)

typedef struct hub_outlier hub_outlier_t;

/** Called when the verdict on a target (its key) has changed. */
typedef void (*hub_outlier_cb)(
    void *ctx, uint64_t target, fleet_verdict_t verdict, const char *reason);

/** Decides whether a request may be assigned to a target (its key) now.
 * @return 1 or 0 */
typedef int (*hub_outlier_filter_cb)(
    void *ctx, uint64_t target, int64_t now_ms);

/** An observation that a gate reports. */
typedef struct hub_evidence {
	uint64_t target; /**< key */
	node_id_t gate;
	fleet_evidence_t kind;
	int is_probe; /**< result of a probe */
} hub_evidence_t;

/** Choice of a target for one request. */
typedef struct hub_assignment {
	uint64_t target; /**< key; 0: none waits for a request */
	int is_probe; /**< the target is not healthy */
} hub_assignment_t;

/** State of a target, for logs and tests. */
typedef struct hub_outlier_info {
	fleet_verdict_t verdict;
	double failure_score; /**< as of the last evidence; ejection at 1 */
	uint32_t ejections; /**< in close succession */
	int64_t failed_ms; /**< last failure of an ejected target */
	int64_t last_seen_ms; /**< last announcement or success; 0: none */
} hub_outlier_info_t;

/** Targets of a service by state, and its probes, for logs and metrics. */
typedef struct hub_outlier_counts {
	uint32_t healthy;
	uint32_t ejected; /**< get no requests */
	uint32_t probe_repeatable; /**< open to probes by repeatable requests */
	uint32_t probe; /**< open to probes by any request */
	uint32_t unreachable; /**< for the leader; of any of these states */
	uint32_t idle; /**< healthy, no request for HUB_OUTLIER_IDLE_MS */
	uint32_t evacuated; /**< in none of the states above */
	double failed_share; /**< of the attempts that ended lately */
	double utilization; /**< as of hub_outlier_set_utilization() */
	uint64_t probes_granted; /**< this and all below: since the start */
	uint64_t probes_refused;
	uint64_t probes_succeeded;
	uint64_t probes_failed;
	uint64_t ejections;
} hub_outlier_counts_t;

/**
 * Creates a detector without targets.
 *
 * @param used_share_min  share of a service's sound targets that must get
 *                        requests, 0 to 1
 * @return                NULL if memory is exhausted
 */
hub_outlier_t *hub_outlier_create(
    double used_share_min, hub_outlier_cb changed, void *ctx);

/** Sets which targets hub_outlier_assign_target() may choose; all by default.
 * The filter's context is that of hub_outlier_create(). */
void hub_outlier_set_filter(
    hub_outlier_t *detector, hub_outlier_filter_cb filter);

/** Sets whether callers compete for the capacity of the services
 * (FLEET_FEATURE_SCARCE_CAPACITY): probes and returns then follow the expected
 * loss, and gates ask for a target only after hub_outlier_offer(). 0 at first. */
void hub_outlier_set_scarce(hub_outlier_t *detector, int is_scarce);

/** Sets whether requests to a service may be repeated; 1 at first. Does nothing
 * if memory is exhausted. */
void hub_outlier_set_repeatable(
    hub_outlier_t *detector, uint64_t id, int has_repeatable);

/**
 * Decides whether a gate is told now that a service has targets which wait for a
 * request. Each such target is offered to one gate at a time.
 *
 * @return 1 if the gate's lease is to name the service
 */
int hub_outlier_offer(
    hub_outlier_t *detector, uint64_t id, node_id_t gate, int64_t now_ms);

/** Frees everything; NULL is allowed. */
void hub_outlier_destroy(hub_outlier_t *detector);

/** Removes all targets and their evidence: this hub begins to lead. */
void hub_outlier_reset(hub_outlier_t *detector);

/**
 * Adds a target without any evidence. A known target is replaced by a new
 * incarnation and otherwise left unchanged. Does nothing if memory is
 * exhausted.
 *
 * @param service         id of its service
 * @param incarnation_ms  wall clock of its start; tells incarnations apart
 */
void hub_outlier_add_target(hub_outlier_t *detector, uint64_t key,
    uint64_t service, uint64_t incarnation_ms);

/** Marks a target as draining: no request is assigned to it any more. */
void hub_outlier_set_draining(hub_outlier_t *detector, uint64_t key);

/**
 * Sets whether the data centre of a target is evacuated. Such a target counts
 * neither as one of its service nor as healthy, idle or unused, and gets no
 * requests or probes.
 */
void hub_outlier_set_evacuated(
    hub_outlier_t *detector, uint64_t key, int is_evacuated, int64_t now_ms);

/** Ejects a target that the previous leader had ejected; ignores an unknown
 * one. */
void hub_outlier_restore_ejection(
    hub_outlier_t *detector, uint64_t key, int64_t now_ms);

/**
 * Lists the targets that are not healthy.
 *
 * @param targets  receives at most max keys
 * @return         number of keys
 */
size_t hub_outlier_list_ejected(
    const hub_outlier_t *detector, uint64_t *targets, size_t max);

/** Removes a deregistered target; ignores an unknown one. */
void hub_outlier_remove_target(hub_outlier_t *detector, uint64_t key);

/**
 * Sets how full a service is: the fuller, the less certain it must be that an
 * ejected target is well again before it is used.
 *
 * @param utilization  requests per slot of its targets in use
 */
void hub_outlier_set_utilization(
    hub_outlier_t *detector, uint64_t id, double utilization);

/** Records that a target announced itself. */
void hub_outlier_record_announcement(
    hub_outlier_t *detector, uint64_t key, int64_t now_ms);

/** Records successful responses, which lower the failure score. */
void hub_outlier_record_successes(
    hub_outlier_t *detector, uint64_t key, uint32_t count, int64_t now_ms);

/** Records that gates sent requests to a target. */
void hub_outlier_record_sent(
    hub_outlier_t *detector, uint64_t key, int64_t now_ms);

/** Evaluates a report. The result of a probe counts only from the gate that
 * acquired the probe. */
void hub_outlier_record_evidence(
    hub_outlier_t *detector, const hub_evidence_t *evidence, int64_t now_ms);

/**
 * Acquires the right to send the next probe of a target. It expires without a
 * result.
 *
 * @return 1 if granted; 0 if the target takes no probes or has one in flight
 */
int hub_outlier_acquire_probe(
    hub_outlier_t *detector, uint64_t key, node_id_t gate, int64_t now_ms);

/**
 * Assigns a request to the target of a service that has waited for one longest:
 * an idle one, or one that is open to a probe by this request.
 *
 * @param id          of the service
 * @param may_repeat  1 if the request may be repeated
 */
hub_assignment_t hub_outlier_assign_target(hub_outlier_t *detector, uint64_t id,
    node_id_t gate, int may_repeat, int64_t now_ms);

/** Expires probes without a result, opens ejected targets to probes, and ejects
 * targets that have become unreachable. */
void hub_outlier_tick(hub_outlier_t *detector, int64_t now_ms);

/** @return verdict on a target; FLEET_VERDICT_HEALTHY for an unknown one */
fleet_verdict_t hub_outlier_get_verdict(
    const hub_outlier_t *detector, uint64_t key);

/** Describes a target. @return 0 or TM_ENOENT */
int hub_outlier_get_info(
    const hub_outlier_t *detector, uint64_t key, hub_outlier_info_t *info);

/** Counts the targets of the service with an id. @return 0, or TM_ENOENT for a
 * service that never had a target */
int hub_outlier_count_service(const hub_outlier_t *detector, uint64_t id,
    int64_t now_ms, hub_outlier_counts_t *counts);

#endif
