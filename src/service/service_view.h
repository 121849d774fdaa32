/**
 * @file
 * State of one service on one entry VM: the last table, outlier detection on
 * the outcomes of this VM, outcome counts for the leader and permits for probes
 * (requests to ejected targets). A target that this VM alone leaves out is
 * avoided, one that the leader takes out of use for all VMs is ejected.
 *
 * The view owns its endpoints. It sends only through a callback, opens no
 * connection to targets and reads no clock.
 *
 * Sequence per attempt: choose an endpoint (balancer_pick() over
 * service_view_get_endpoints(), or service_view_take_probe()), then
 * service_view_start(), then service_view_finish().
 */
#ifndef TM_SERVICE_VIEW_H
#define TM_SERVICE_VIEW_H

#include "base/rng.h"
#include "service/service_defs.h"

/** Mechanisms that a test can switch off; 0 in production. */
typedef enum service_view_off {
	SERVICE_VIEW_OFF_LOCAL = 1 << 0, /**< local outlier detection */
	SERVICE_VIEW_OFF_GOSSIP = 1 << 1, /**< pushes between views */
	SERVICE_VIEW_OFF_STALL = 1 << 2, /**< counting stalls before the end */
	SERVICE_VIEW_OFF_RELAY = 1 << 3, /**< announcements through peers */
	SERVICE_VIEW_OFF_FLOOR = 1 << 4, /**< floor of local avoidance */
	SERVICE_VIEW_OFF_SUPERSEDED = 1
	    << 5, /**< evidence of superseded attempts */
	SERVICE_VIEW_OFF_LATE = 1 << 6, /**< count of late attempts */
	/** Refusal of older processes */
	SERVICE_VIEW_OFF_INCARNATION = 1 << 7,
	/** Probes by unrepeatable requests of targets that this VM avoids */
	SERVICE_VIEW_OFF_ANY_PROBE = 1 << 8
} service_view_off_t;

/** Callbacks and settings of a view. */
typedef struct service_view_options {
	const char *service; /**< copied */
	node_id_t self;
	uint32_t data_centre; /**< equal for VMs of one data centre, not 0 */
	void *ctx; /**< for all callbacks */
	node_send_cb send;
	/** Node that leads the shard as far as known; NODE_ID_NONE if none. */
	node_id_t (*get_leader)(void *ctx);
	/** A random other entry VM; NODE_ID_NONE if there is none. */
	node_id_t (*get_peer)(void *ctx);
	service_profile_cb get_profile;
	uint64_t seed;
	/** The caller sends the versions of all its views together. */
	int has_batched_versions;
	uint32_t test_off; /**< service_view_off_t; tests only */
} service_view_options_t;

/** One attempt at a target; embedded in the caller's request. */
typedef struct service_attempt {
	service_endpoint_t *endpoint; /**< NULL when not started */
	int64_t started_ms;
	int trial;
	int stalled; /**< already counted as a stall */
	struct service_attempt *prev;
	struct service_attempt *next;
} service_attempt_t;

/** Demand of one workspace, for the report. */
typedef struct service_demand {
	uint64_t workspace; /**< service_id_from_name() of the workspace */
	uint32_t running;
	uint32_t queued;
} service_demand_t;

/** Answer to an announcement, for the registration endpoint. */
typedef enum service_announce_result {
	SERVICE_ANNOUNCE_PENDING, /**< sent, no answer yet */
	SERVICE_ANNOUNCE_ACCEPTED,
	SERVICE_ANNOUNCE_STALE /**< a higher incarnation is registered */
} service_announce_result_t;

typedef struct service_view service_view_t;

/** @return NULL if memory is exhausted or an option is invalid */
service_view_t *service_view_create(const service_view_options_t *options);

/** Frees a view; all attempts must have finished. */
void service_view_destroy(service_view_t *view);

/** Handles the messages of this range that a view receives; ignores others. */
void service_view_handle(service_view_t *view, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/**
 * Compares the version of a peer's table with the own one: sends the own table
 * if it is newer, or else the own version, so that the peer sends its table.
 */
void service_view_handle_version(service_view_t *view, node_id_t from,
    uint64_t term, uint64_t sequence, int64_t now_ms);

/**
 * Runs timers; to be called every 10 to 50 ms while attempts are in flight,
 * else when service_view_get_due_ms() says so.
 */
void service_view_tick(service_view_t *view, int64_t now_ms);

/**
 * Time in ms at which service_view_tick() next has work to do, if no attempts
 * are in flight and no calls follow; it is past while no leader is known.
 */
int64_t service_view_get_due_ms(const service_view_t *view, int64_t now_ms);

/**
 * Sends an announcement to the leader; it is repeated, also through other
 * VMs, until the leader answers or 3 s have passed.
 *
 * @return 0; TM_EINVAL for a bad field; TM_ESTALE if the table holds a higher
 *         incarnation; TM_EFULL with too many targets
 */
int service_view_announce(service_view_t *view,
    const service_announcement_t *announcement, int64_t now_ms);

/** @return answer of the leader to the last announcement of a target */
service_announce_result_t service_view_get_announce_result(
    const service_view_t *view, const char *target, uint64_t incarnation);

/**
 * Endpoints in the order of the table, usable or not.
 *
 * @param count  number of endpoints
 * @return       array valid until the next handle or tick
 */
service_endpoint_t *const *service_view_get_endpoints(
    const service_view_t *view, uint32_t *count);

/** State of an endpoint, for status pages. */
typedef struct service_endpoint_info {
	service_target_state_t state; /**< by the table */
	int64_t state_age_ms; /**< time since the last change of state */
	uint32_t ejections; /**< within 10 min of each other */
	service_finding_t verdict; /**< of the last ejection */
	int avoided; /**< by local outlier detection */
	int64_t avoided_age_ms; /**< valid if avoided */
	service_finding_t local; /**< valid if avoided */
	int avoided_by_data_centre; /**< by the table, for this data centre */
} service_endpoint_info_t;

/** Describes an endpoint of a view, for status pages. */
void service_view_get_info(const service_endpoint_t *endpoint, int64_t now_ms,
    service_endpoint_info_t *out);

/** Changes whenever the set of endpoints changes; for subset caches. */
uint64_t service_view_get_generation(const service_view_t *view);

/**
 * Uses a permit for a probe (of the leader, or for a target that this VM
 * avoids), if there is one. A request that must not be repeated gets one only
 * after no repeatable request has come to use it: the service may have none.
 *
 * @param may_repeat  1 if the request may be repeated
 * @return            endpoint to probe, or NULL
 */
service_endpoint_t *service_view_take_probe(
    service_view_t *view, int may_repeat, int64_t now_ms);

/**
 * Starts an attempt; endpoint->in_flight grows.
 *
 * @param trial  1 if the endpoint came from service_view_take_probe()
 */
void service_view_start(service_view_t *view, service_attempt_t *attempt,
    service_endpoint_t *endpoint, int trial, int64_t now_ms);

/** Ends an attempt. The endpoint may be freed by this call. */
void service_view_finish(service_view_t *view, service_attempt_t *attempt,
    service_outcome_t outcome, int64_t now_ms);

/**
 * Reports a connection that broke without a response. Call it in addition to
 * finishing the attempt with SERVICE_OUTCOME_CANCELED, because such breaks
 * are no evidence against the target.
 */
void service_view_report_crash(service_view_t *view, uint64_t fingerprint,
    const service_endpoint_t *endpoint, int64_t now_ms);

/** @return 1 if requests with this fingerprint are blocked */
int service_view_is_blocked(
    const service_view_t *view, uint64_t fingerprint, int64_t now_ms);

/**
 * Stores X-Tm-Load of a response.
 *
 * @param slots  0 if absent; ignored above the announced number
 */
void service_view_set_load(service_endpoint_t *endpoint, uint32_t running,
    uint32_t queued, uint32_t slots, int64_t now_ms);

/** Demand for the next report; replaces the former one. Copied. */
void service_view_set_demand(
    service_view_t *view, const service_demand_t *demand, uint32_t count);

/**
 * Fair share of a workspace on this VM.
 *
 * @return slots, or -1 if no share is in force (no contention)
 */
int32_t service_view_get_share(
    const service_view_t *view, uint64_t workspace, int64_t now_ms);

/** @return sum of slots x share over usable endpoints */
uint32_t service_view_get_capacity(const service_view_t *view);

/** Entry VMs that report to the leader; at least 1. */
uint32_t service_view_get_vm_count(const service_view_t *view);

/** Version of the table, for gossip and status pages. */
void service_view_get_version(
    const service_view_t *view, uint64_t *term, uint64_t *sequence);

/** @return 1 if the leader answered within 2.5 s */
int service_view_has_leader(const service_view_t *view, int64_t now_ms);

/** @return active endpoints that this VM does not use */
uint32_t service_view_get_avoided_count(const service_view_t *view);

#endif
