/**
 * @file
 * Requests of the load generator over keep-alive connections.
 */
#ifndef TM_LOAD_LOAD_CALL_H
#define TM_LOAD_LOAD_CALL_H

#include <stdint.h>

#include <uv.h>

#include "load/load_stats.h"
#include "load/response.h"

#define LOAD_ID_MAX	48
#define LOAD_READ_BYTES 65536

typedef struct load_call load_call_t;
typedef struct load_conn load_conn_t;

/** Called once when a call has ended; the call is released afterwards. */
typedef void (*load_call_cb)(
    void *ctx, load_call_t *call, load_outcome_t *outcome);

/** Connections and limits, shared by all calls. */
typedef struct load_client {
	uv_loop_t *loop;
	const load_settings_t *settings;
	load_conn_t *idle[LOAD_ENTRIES_MAX]; /**< last used first */
	int in_flight;
	load_call_t *calls; /**< in flight, the oldest first */
	load_call_t *spare;
	load_call_cb cb;
	void *cb_ctx;
	char read_buffer[LOAD_READ_BYTES];
} load_client_t;

/** What to send. */
typedef struct load_plan {
	int workspace; /**< index */
	const load_workspace_t *settings;
	const char *path;
	char id[LOAD_ID_MAX]; /**< "" sends none */
	int entry; /**< index */
	int64_t intended_ns;
	int is_counted; /**< 0 during the warm-up */
} load_plan_t;

struct load_call {
	load_plan_t plan;
	load_client_t *client;
	load_conn_t *conn;
	int64_t started_ns;
	int64_t sent_ns; /**< 0 until the first byte is written */
	int64_t ended_ns;
	char *request;
	size_t request_size;
	size_t request_len;
	uint64_t body_hash;
	load_run_t run;
	int has_echo;
	int echo_ok;
	load_call_t *prev, *next;
};

/** Prepares a client without connections. */
void load_client_init(load_client_t *client, uv_loop_t *loop,
    const load_settings_t *settings, load_call_cb cb, void *ctx);

/**
 * Sends a request; the callback may run before this function returns.
 *
 * @return 0, TM_ENOMEM, or TM_EFULL if too many are in flight
 */
int load_call_start(load_client_t *client, const load_plan_t *plan);

/** Ends the calls whose timeout has passed. */
void load_client_tick(load_client_t *client, int64_t now_ns);

/** Ends every call that is in flight; their callbacks run. */
void load_client_cancel_all(load_client_t *client);

#endif
