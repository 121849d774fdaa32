/**
 * @file
 * State of the tm-gate process, shared by the files of src/gate. A gate takes
 * requests of callers, chooses targets, keeps workspaces within their rates
 * with the leading hub and retries what may be repeated. gate.c owns the state;
 * all of it is used on one loop.
 */
#ifndef TM_GATE_GATE_DEFS_H
#define TM_GATE_GATE_DEFS_H

#include <uv.h>

#include "base/metrics.h"
#include "base/rng.h"
#include "gate/gate_allowance.h"
#include "gate/gate_crash.h"
#include "gate/gate_demand.h"
#include "gate/gate_link.h"
#include "gate/gate_settings.h"
#include "gate/gate_stop.h"
#include "gate/gate_table.h"
#include "gate/gate_upload.h"
#include "gate/gate_usage.h"
#include "http/http_server.h"
#include "http/upstream.h"
#include "net/peer.h"

#define GATE_CONNECTIONS_MAX   3000
#define GATE_IN_FLIGHT_MAX     1000
#define GATE_HEADERS_MAX_BYTES (16 * 1024)
#define GATE_BODY_MAX_BYTES    (64 * 1024 * 1024)
/** Timer interval while requests are running. */
#define GATE_TICK_MS 20
/** Timer interval otherwise. */
#define GATE_IDLE_TICK_MS	  100
#define GATE_REQUEST_ID_MAX_BYTES 127

typedef struct gate gate_t;
typedef struct gate_request gate_request_t;
typedef struct gate_waiting gate_waiting_t;

struct gate {
	gate_settings_t settings;
	uv_loop_t *loop;
	rng_t rng;
	uv_timer_t timer;
	uv_check_t check;
	uv_idle_t late_tick; /**< active while a late tick waits for the poll */
	uint64_t tick_ms; /**< current interval of the timer */
	int64_t due_ms; /**< time at which the timer should run */
	peer_net_t *net;
	gate_link_t *link;
	gate_table_t *table;
	gate_allowance_t *allowance;
	int64_t allowance_ms; /**< lease request at its last reset */
	gate_usage_t *usage;
	gate_crash_t *crash;
	gate_cost_t *cost;
	gate_upload_t *upload;
	uint64_t costs_reported; /**< responses until the last report */
	fleet_config_t *config; /**< NULL until the first one arrives */
	uint32_t features; /**< fleet_feature_t of settings and config */
	Tm__Fleet__Outcome *outcomes; /**< of the renewal that is being sent */
	Tm__Fleet__Outcome **outcome_pointers;
	gate_demands_t demands; /**< of the renewal that is being sent */
	/** When the newest lease came whose leader decides on admission; 0:
	 * none. */
	int64_t lease_ms;
	http_server_t *callers;
	http_server_t *ready;
	http_server_t *metrics_server;
	upstream_t *upstream;
	gate_request_t *requests;
	gate_waiting_t *waiting; /**< requests before the first config */
	uint32_t in_flight;
	uint32_t crash_checks; /**< in progress */
	int64_t last_busy_ms; /**< last time at which a request was running */
	gate_stop_t stop;
	int64_t started_ms;
	int64_t explained_ms; /**< start of a second of explanations */
	uint32_t explained; /**< since then */
	int64_t subsets_reported_ms; /**< last time in the log */
	metrics_t *metrics;
	metric_t *metric_requests;
	metric_t *metric_in_flight;
	metric_t *metric_latency;
	metric_t *metric_attempts;
	metric_t *metric_new_connections;
	metric_t *metric_late_requests;
	metric_t *metric_log_dropped;
};

/* gate.c */

/**
 * Creates everything and listens.
 *
 * @return 0 or a negative error number, already logged
 */
int gate_create(gate_t **out, const gate_settings_t *settings, uv_loop_t *loop);

/** Applies seeds and secrets of reloaded settings. @return 0 or TM_ENOMEM,
 * already logged; the old secrets stay then */
int gate_reload(gate_t *gate, const gate_settings_t *new_settings);

/** Starts a planned stop; further calls do nothing. */
void gate_begin_stop(gate_t *gate);

/** @return 1 when the process may end; it must end before it reads again */
int gate_is_stopped(const gate_t *gate);

/** @return 1 if the load balancer should send callers here */
int gate_is_ready(const gate_t *gate);

/* gate_front.c */

/** http_server_cb of the callers' listener; ctx is the gate_t. */
void gate_front_handle(void *ctx, h2o_req_t *req);

/**
 * Handles requests that waited for the first configuration, and refuses those
 * that waited too long.
 */
void gate_front_tick(gate_t *gate, int64_t now_ms);

/** Refuses the requests that wait for the first configuration: the gate stops.
 */
void gate_front_refuse_waiting(gate_t *gate);

/** @return names and formats of the deployment */
static inline const dialect_t *
gate_get_dialect(const gate_t *gate)
{
	return (gate->settings.dialect);
}

#endif
