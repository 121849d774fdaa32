/**
 * @file
 * State of tm-entry, shared by the files of src/entry.
 */
#ifndef TM_ENTRY_ENTRY_DEFS_H
#define TM_ENTRY_ENTRY_DEFS_H

#include <jansson.h>
#include <uthash.h>
#include <uv.h>

#include "base/due_heap.h"
#include "base/metrics.h"
#include "base/rng.h"
#include "claim/claim_client.h"
#include "claim/claim_holder.h"
#include "config/config_state.h"
#include "entry/entry_settings.h"
#include "http/upstream.h"
#include "gossip/gossip.h"
#include "group/group.h"
#include "http/http_server.h"
#include "net/peer.h"
#include "queue/fair_queue.h"
#include "rate/rate_client.h"
#include "rate/rate_leader.h"
#include "route/balancer.h"
#include "route/retry_budget.h"
#include "service/service_leader.h"
#include "service/service_view.h"

#define ENTRY_CONNECTIONS_MAX	10000
#define ENTRY_IN_FLIGHT_MAX	2000
#define ENTRY_HEADERS_MAX_BYTES (16 * 1024)
#define ENTRY_BODY_MAX_BYTES	(1024 * 1024)
/** Interval of the timers of the decision modules. */
#define ENTRY_TICK_MS 10

typedef struct entry entry_t;
typedef struct entry_request entry_request_t;
typedef struct entry_trace entry_trace_t;

/** A service that this VM routes to. */
typedef struct entry_service {
	entry_t *entry;
	char name[NAME_MAX_BYTES + 1];
	uint64_t id;
	uint32_t shard;
	service_view_t *view;
	service_leader_t *leader; /**< NULL until this VM leads */
	balancer_t balancer;
	retry_budget_t budget;
	fair_queue_t *queue;
	uint64_t table_version; /**< of the last group_put() */
	due_item_t due; /**< next run of the timers */
	int is_leading; /**< this VM leads the shard, by the group module */
	int needs_pump; /**< in entry->pumps */
	struct entry_service *next_pump;
	metric_t *requests;
	metric_t *refused;
	metric_t *latency;
	int64_t used_ms; /**< a request started or ended last */
	const config_profile_t *profile; /**< as of profile_changes */
	uint64_t profile_changes;
	metric_t *attempts;
	metric_t *retries;
	metric_t *hedges;
	metric_t *sheds;
	metric_t *wrong; /**< responses of another request, or altered */
	UT_hash_handle hh;
	UT_hash_handle hh_id;
} entry_service_t;

/**
 * A workspace that had a request at this VM within the last hour, with its
 * metrics.
 */
typedef struct entry_workspace {
	uint64_t id; /**< service_id_from_name() */
	int64_t used_ms; /**< slow tick before the last start or end */
	uint32_t in_flight; /**< requests that point here */
	int has_tokens; /**< known to the token client; in entry->active */
	metric_t requests;
	metric_t refused_rate;
	metric_t refused_other;
	metric_t latency;
	struct entry_workspace *prev; /**< by used_ms */
	struct entry_workspace *next;
	UT_hash_handle hh;
	char name[];
} entry_workspace_t;

/** Assignment of a shard as last passed to the group module. */
typedef struct entry_group {
	config_group_t assignment;
	uint64_t since_epoch[CONFIG_HOLDERS];
} entry_group_t;

/** A message of this VM to itself. */
typedef struct entry_local_message {
	struct entry_local_message *next;
	uint16_t type;
	size_t len;
	uint8_t payload[];
} entry_local_message_t;

/** Steps of a planned stop. */
typedef enum entry_phase {
	ENTRY_RUNNING,
	ENTRY_NOTICE, /**< readiness fails, requests are still served */
	ENTRY_DRAINING, /**< no new connections; waits for requests */
	ENTRY_STOPPED
} entry_phase_t;

struct entry {
	uv_loop_t *loop;
	entry_settings_t *settings;
	node_id_t self;
	uint64_t incarnation;
	int64_t started_ms; /**< boot time */
	rng_t rng;

	peer_net_t *net;
	uv_prepare_t local_prepare;
	entry_local_message_t *local_head;
	entry_local_message_t *local_tail;
	struct entry_batch *batches; /**< by receiver */
	uv_timer_t tick;
	int64_t slow_tick_ms;

	config_state_t *state;
	gossip_t *gossip;
	group_t *group;
	entry_group_t groups[CONFIG_SHARDS];
	uint64_t profile_changes; /**< of profiles and services, from 1 on */
	claim_client_t *claims;
	claim_holder_t *claim_holder;
	rate_client_t *rates;
	rate_leader_t *rate_leader;
	entry_service_t *services;
	entry_service_t *services_by_id;
	due_heap_t due_services;
	entry_service_t *pumps; /**< where a request ended since the release */
	entry_service_t *next_compared; /**< NULL: the first one */
	int64_t compared_ms;
	entry_workspace_t *workspaces;
	entry_workspace_t *active; /**< with tokens; longest idle first */
	entry_workspace_t *passive; /**< the others; longest idle first */
	/** Totals of evicted workspaces; NULL before the first one. */
	entry_workspace_t *evicted;
	node_id_t *peers; /**< other entry VMs */
	size_t peer_count;

	http_server_t *callers;
	http_server_t *ops;
	upstream_t *upstream;
	entry_request_t *requests; /**< all that are not answered */
	uint32_t in_flight;
	entry_trace_t *trace;

	entry_phase_t phase;
	int64_t phase_since_ms;
	int is_serving;

	metrics_t *metrics;
	metric_t *refusals[32]; /**< by refusal_t */
	metric_t *intake_refusals; /**< before a request was read */
	metric_t *added_latency; /**< time in this VM, without the target */
	metric_t *claim_latency;
};

/* entry.c */

/**
 * Creates everything and listens.
 *
 * @return 0 or a negative error number, already logged
 */
int entry_create(entry_t **out, entry_settings_t *settings, uv_loop_t *loop);

/**
 * Takes over the fleet secrets, the target secret and the TLS files of fresh
 * settings; other fields need a restart. What cannot be used stays as it was
 * and is logged.
 */
void entry_reload(entry_t *entry, const entry_settings_t *fresh);

/** Starts a planned stop; a second call skips the notice time. */
void entry_begin_stop(entry_t *entry);

/** @return 1 when a planned stop is complete */
int entry_is_stopped(const entry_t *entry);

/* entry_fleet.c: wiring of the decision modules */

/** Creates the modules. @return 0 or a negative error number, logged */
int entry_fleet_create(entry_t *entry);

/** Runs the timers of all modules. */
void entry_fleet_tick(entry_t *entry, int64_t now_ms);

/** node_send_cb; ctx is the entry_t; delivers to this VM as well. */
void entry_fleet_send(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg);

/** Delivers messages of this VM to itself. */
void entry_fleet_deliver_local(entry_t *entry);

/* entry_sync.c: configuration to the modules */

/** config_change_cb; ctx is the entry_t. */
void entry_sync_change(void *ctx, config_kind_t kind, const char *name);

/** Passes everything that the configuration holds to the modules. */
void entry_sync_all(entry_t *entry);

/* entry_workspace.c: workspaces in use */

/** @return a workspace in use at this VM, or NULL */
entry_workspace_t *entry_find_workspace(entry_t *entry, const char *name);

/** Finds or makes a workspace of the configuration. @return NULL if none */
entry_workspace_t *entry_get_workspace(entry_t *entry, const char *name);

/** Counts a request that points to the workspace. */
void entry_workspace_hold(entry_t *entry, entry_workspace_t *workspace);

/** Ends a request that points to the workspace. */
void entry_workspace_release(entry_t *entry, entry_workspace_t *workspace);

/** Passes the rate to the token client, or its end. */
void entry_workspace_sync_rate(entry_t *entry, entry_workspace_t *workspace);

/** Drops tokens and metrics of idle workspaces. */
void entry_workspace_evict_idle(entry_t *entry, int64_t now_ms);

/** metrics_source_cb; ctx is the entry_t. */
void entry_workspace_list_metrics(void *ctx, metrics_list_t *list);

/* entry_service.c */

/** Finds or creates a service. @return NULL if memory is exhausted */
entry_service_t *entry_service_get(entry_t *entry, const char *name);

entry_service_t *entry_service_find(entry_t *entry, const char *name);
entry_service_t *entry_service_find_id(entry_t *entry, uint64_t id);

/** Runs the timers of the services that are due; releases requests. */
void entry_service_tick_due(entry_t *entry, int64_t now_ms);

/** Makes the timers of a service due, after something has changed. */
void entry_service_wake(entry_service_t *service, int64_t now_ms);

/** Makes the timers of all services due. */
void entry_service_wake_all(entry_t *entry, int64_t now_ms);

/** The leader of a shard changed from or to this VM. */
void entry_service_set_leading(
    entry_t *entry, uint32_t shard, int leads, int64_t now_ms);

/** Asks for the release of waiting requests before the loop waits. */
void entry_service_need_pump(entry_service_t *service);

/** Releases waiting requests of the services where one ended. */
void entry_service_pump_all(entry_t *entry);

/** Releases waiting requests as far as limits and shares allow. */
void entry_service_pump(entry_service_t *service, int64_t now_ms);

/** @return profile of the service, or NULL */
const config_profile_t *entry_service_get_profile(entry_service_t *service);

/* entry_batch.c: messages of several services to one VM */

/** Keeps a message for the next entry_batch_flush(). */
void entry_batch_add(
    entry_t *entry, node_id_t to, uint16_t type, const ProtobufCMessage *msg);

/** Sends what was kept, in one message for each VM. */
void entry_batch_flush(entry_t *entry);

/** Passes the parts of a MSG_SERVICE_BATCH on. */
void entry_batch_handle(entry_t *entry, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms);

/** Handles a message of the services; see entry_fleet.c. */
void entry_fleet_dispatch_service(entry_t *entry, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/* entry_tables.c */

/** Sends the versions of some service tables to a random peer. */
void entry_tables_tick(entry_t *entry, int64_t now_ms);

/** Handles a MSG_SERVICE_VERSIONS. */
void entry_tables_handle(entry_t *entry, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms);

/* frontend.c */

/** http_server_cb of the callers' listener; ctx is the entry_t. */
void frontend_handle(void *ctx, h2o_req_t *req);

/* ops_describe.c: the state of this VM for operators */

/** @return new JSON object for /status */
json_t *ops_describe_status(entry_t *entry, const char *state, int64_t now_ms);

/**
 * Answers a question about a request, a target or a workspace.
 *
 * @return new JSON list of what this VM knows; NULL for an unknown kind
 */
json_t *ops_explain(
    entry_t *entry, const char *kind, const char *name, int64_t now_ms);

/* ops_metrics.c */

/** Sets the metrics that are read from the modules. */
void ops_metrics_update(entry_t *entry, int64_t now_ms);

/* ops_api.c */

/** http_server_cb of the ops listener; ctx is the entry_t. */
void ops_api_handle(void *ctx, h2o_req_t *req);

#endif
