/**
 * @file
 * Coordination of one service on the VM that leads its shard: target leases,
 * evidence of all entry VMs, ejection and return of targets, permits for probes
 * (requests to ejected targets), fair shares of workspaces and fingerprints of
 * requests that crash targets. The floor is the smallest part of the targets
 * that stays in use, whatever the evidence.
 *
 * Every VM may create the object; it acts only while get_term() is not 0. It
 * owns its state, which starts from the replicated table in each term; it sends
 * and stores only through callbacks and reads no clock. Messages of this range
 * go to both the leader object and the view of the VM, and send() must deliver
 * messages of a VM to itself.
 */
#ifndef TM_SERVICE_LEADER_H
#define TM_SERVICE_LEADER_H

#include "base/rng.h"
#include "service/service_defs.h"

/** Counts since creation. */
typedef struct service_leader_stats {
	uint64_t ejections;
	uint64_t returns;
	uint64_t
	    floor_kept; /**< findings without ejection because of the floor */
	uint64_t path_faults; /**< data-centre path faults */
	uint64_t lapses;
	uint64_t blocked;
	uint64_t rejected_messages; /**< malformed or stale */
} service_leader_stats_t;

/** Mechanisms that a test can switch off; 0 in production. */
typedef enum service_leader_off {
	SERVICE_OFF_FLOOR = 1 << 0,
	SERVICE_OFF_PATH = 1 << 1,
	SERVICE_OFF_BACKOFF = 1 << 2,
	SERVICE_OFF_KEEP_ANSWERING = 1 << 3,
	SERVICE_OFF_CRASH_BLOCK = 1 << 4,
	SERVICE_OFF_INCARNATION = 1 << 5,
	SERVICE_OFF_RESTORE = 1 << 6,
	SERVICE_OFF_PUSH = 1 << 7,
	SERVICE_OFF_LAST_SECOND = 1 << 8, /**< evaluation of the last second */
	SERVICE_OFF_ANY_PROBE = 1 << 9 /**< probes by unrepeatable requests */
} service_leader_off_t;

/** Callbacks and settings of a leader. */
typedef struct service_leader_options {
	const char *service; /**< copied */
	void *ctx; /**< for all callbacks */
	node_send_cb send;
	/** Term in which this VM leads the shard; 0 if it does not. */
	uint64_t (*get_term)(void *ctx);
	service_profile_cb get_profile;
	/** Replicates the table to the holders (replicas) of the shard. */
	void (*save_table)(void *ctx, const uint8_t *table, size_t len);
	/** Returns the replicated table, or NULL; *len in bytes. */
	const uint8_t *(*restore_table)(void *ctx, size_t *len);
	uint64_t seed;
	uint32_t test_off; /**< service_leader_off_t; tests only */
} service_leader_options_t;

typedef struct service_leader service_leader_t;

/** @return NULL if memory is exhausted or the name is invalid */
service_leader_t *service_leader_create(
    const service_leader_options_t *options);

/** Frees a leader. */
void service_leader_destroy(service_leader_t *leader);

/** Handles types REPORT, ANNOUNCE, TRIAL_RESULT and CRASH; ignores others. */
void service_leader_handle(service_leader_t *leader, node_id_t from,
    uint16_t type, const uint8_t *payload, size_t len, int64_t now_ms);

/** Runs timers; to be called every 20 to 100 ms. */
void service_leader_tick(service_leader_t *leader, int64_t now_ms);

/** @return counts since creation */
const service_leader_stats_t *service_leader_get_stats(
    const service_leader_t *leader);

#endif
