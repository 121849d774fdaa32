/**
 * @file
 * Life of one caller's request: admission, token, choice of a target, attempts
 * and answer. The gate owns the requests; each is freed with its answer. It
 * never answers a request twice.
 */
#ifndef TM_GATE_GATE_REQUEST_H
#define TM_GATE_GATE_REQUEST_H

#include "gate/gate_defs.h"
#include "gate/gate_refusal.h"

/** What a request waits for. */
typedef enum gate_state {
	GATE_STATE_NEW,
	GATE_STATE_TOKEN_PERMIT, /**< a permit of the workspace */
	GATE_STATE_DELAYED, /**< until wake_ms; then it is admitted anew */
	GATE_STATE_PROBE_PERMIT, /**< a permit to probe a target */
	GATE_STATE_RETRY_PERMIT, /**< a permit to send the request again */
	GATE_STATE_LIMIT_PERMIT, /**< a permit for a target with a limit */
	GATE_STATE_UPLOAD_PERMIT, /**< a permit for a large request */
	GATE_STATE_SENT /**< a target's response */
} gate_state_t;

/** Allocated with h2o's request; its disposal shows that the caller is gone. */
typedef struct gate_request_link {
	gate_request_t *request;
} gate_request_link_t;

struct gate_request {
	gate_t *gate;
	h2o_req_t *req; /**< NULL once the caller is gone or answered */
	gate_request_link_t *link;
	char id[GATE_REQUEST_ID_MAX_BYTES + 1]; /**< "" if it has none */
	char service[NAME_MAX_BYTES + 1];
	char workspace[NAME_MAX_BYTES + 1]; /**< "" on open routes */
	uint64_t config_version; /**< that allowed the request */
	uint64_t workspace_id; /**< 0 on open routes */
	uint64_t route_id; /**< fleet_name_hash() of its name */
	int has_rate; /**< its workspace has a rate */
	int repeat_allowed;
	int is_head;
	int is_sampled; /**< all its steps are logged */
	uint32_t attempts_max;
	int32_t priority;
	int64_t started_ms;
	int64_t soft_deadline_ms; /**< soft deadline, after started_ms */
	int64_t deadline_ms; /**< boot time of the final answer */
	int64_t checked_ms; /**< last check for an abandoned request */
	gate_state_t state;
	uint32_t permit_id; /**< of the pending permit request; 0: none */
	uint64_t permit_target; /**< key of the target with a limit that it is
				 * for */
	uint32_t limit_refusals; /**< targets that had no permit for it */
	int is_leader_silent; /**< the last permit request got no answer */
	/** Key of the target that holds a permit for the request from wake_ms
	 * on; 0: none. */
	uint64_t reserved_target;
	uint64_t permit_incarnation_ms; /**< of either of them */
	int64_t wake_ms;
	int has_token; /**< its token is consumed */
	gate_target_t *target; /**< referenced while an attempt runs */
	upstream_call_t *call;
	int is_probe;
	int is_assigned; /**< the leader chose the target of its next attempt */
	int is_stall_reported;
	int is_repeat_asked; /**< a permit to repeat it meanwhile was asked for */
	int64_t sent_ms;
	int64_t attempt_timeout_ms; /**< given to the target, from sent_ms */
	uint64_t tried[GATE_TRIED_MAX];
	uint32_t tried_count;
	uint32_t attempts_sent; /**< attempts that may have reached a target */
	int may_have_executed;
	uint32_t upload_id; /**< in gate_t.upload; 0: none */
	gate_cost_key_t cost_key;
	double excess; /**< of its attempt, in gate_target_t.excess */
	uint64_t fingerprint; /**< 0: not computed yet */
	gate_refusal_t pending_refusal; /**< sent if no attempt follows */
	gate_request_t *prev;
	gate_request_t *next;
};

/** Result of the checks of gate_front.c. */
typedef struct gate_request_options {
	const fleet_route_t *route;
	const fleet_workspace_t *workspace; /**< NULL on open routes */
	const char *service; /**< that the route leads to */
	h2o_iovec_t id;
	int64_t started_ms;
	int64_t deadline_ms;
} gate_request_options_t;

/* gate_front.c */

/**
 * Checks a delayed request against the current configuration.
 *
 * @param refusal  receives the reason if it is not allowed any more
 * @return         1 if its route still leads to the service and its key
 *                 still belongs to the workspace
 */
int gate_front_is_allowed(
    const gate_request_t *request, gate_refusal_t *refusal);

/* gate_request.c */

/** Starts a checked request, which is answered or refused from here on. */
void gate_request_start(
    gate_t *gate, h2o_req_t *req, const gate_request_options_t *options);

/** Checks deadlines, delays and abandoned requests. */
void gate_request_tick_all(gate_t *gate, int64_t now_ms);

/** Gives all requests their final answer: the gate ends. */
void gate_request_end_all(gate_t *gate);

/** Refuses a request before gate_request_start(). */
void gate_request_refuse_early(
    gate_t *gate, h2o_req_t *req, gate_refusal_t refusal);

/* gate_wire.c */

/** @return fingerprint of a request that is not answered yet; never 0 */
uint64_t gate_wire_get_fingerprint(gate_request_t *request);

/**
 * Encodes the head of the request for a target.
 *
 * @return 0 or TM_ENOMEM; the caller releases out
 */
int gate_wire_encode(const gate_request_t *request, const gate_target_t *target,
    int64_t remaining_ms, buffer_t *out);

/** Sends a target's response to the caller. */
void gate_wire_reply(const gate_request_t *request, h2o_req_t *req,
    const upstream_response_t *response);

/** What a target says of itself in a response. */
typedef struct gate_signals {
	int has_load;
	uint32_t load; /**< running and queued requests */
	uint32_t limit; /**< as of fleet_limit.h; none if it names none */
	int is_leaving;
	/** Time for which a target that turned the request away wants none from
	 * this gate, in ms; 0: it names none. */
	int64_t pause_ms;
	int64_t keep_ms; /**< keep-alive timeout; 0: it names none */
	uint32_t cold_left_ms; /**< it stays cold; 0: it names none */
} gate_signals_t;

/** Reads what a target says. A value that makes no sense, or comes more than
 * once, counts as absent. */
void gate_wire_read_signals(const dialect_t *dialect,
    const upstream_response_t *response, gate_signals_t *out);

#endif
