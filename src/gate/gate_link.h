/**
 * @file
 * A gate's link to the leading hub: finds it from a few seeds, keeps a lease,
 * and asks it for permits. A decision module.
 */
#ifndef TM_GATE_GATE_LINK_H
#define TM_GATE_GATE_LINK_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "proto/fleet.pb-c.h"

/** Interval at which a lease is asked for. */
#define GATE_LEASE_RENEWAL_MS 500
/** Silence after which the leader counts as lost. */
#define GATE_LEADER_TIMEOUT_MS 1300
/** Interval at which other hubs are asked for the leader. */
#define GATE_LEADER_SEARCH_MS 150
/** A leader that answered an asking from this time ago at most is taken to see
 * what is spent. */
#define GATE_LEADER_CURRENT_MS 650
/** An ask without an answer is given up after this time. */
#define GATE_PERMIT_TIMEOUT_MS 250

typedef struct gate_link gate_link_t;

/** What an ask got. */
typedef enum gate_permit {
	GATE_PERMIT_GRANTED,
	GATE_PERMIT_REFUSED,
	GATE_PERMIT_UNKNOWN /**< no leader answered */
} gate_permit_t;

/**
 * Reports the answer to an ask, once, never from within gate_link_request_permit().
 *
 * @param wait_ms  granted: wait so long first; refused: ask again then
 */
typedef void (*gate_permit_cb)(
    void *ctx, gate_permit_t result, uint32_t wait_ms);

typedef struct gate_link_options {
	const char *const *seeds; /**< names of hubs; copied */
	int seed_count;
	int64_t key_lease_ms; /**< counted from the asking */
	node_send_cb send;
	void *send_ctx;
	/** A hub became known: set its address. */
	void (*hub_found)(void *ctx, const char *name);
	/** A hub is silent: its connection may be dead. */
	void (*reset_hub)(void *ctx, node_id_t hub);
	/**
	 * Fills in what the gate has and what it observed; for a new leader
	 * also what it spent lately.
	 */
	void (*fill_renewal)(void *ctx, Tm__Fleet__Join *join, int needs_usage);
	/** The leader told how full a service is. */
	void (*set_utilization)(void *ctx, const Tm__Fleet__Pressure *pressure);
	/** The join that was filled is sent; its texts may be freed. */
	void (*renewal_sent)(void *ctx);
	void *ctx;
} gate_link_options_t;

/** @return NULL if memory is exhausted */
gate_link_t *gate_link_create(const gate_link_options_t *options);

/** Frees everything; asks get no answer. */
void gate_link_destroy(gate_link_t *link);

/** Takes over seeds of changed settings. */
void gate_link_add_seed(gate_link_t *link, const char *name);

/** Runs the timers. */
void gate_link_tick(gate_link_t *link, int64_t now_ms);

/** Sends what was spent or asked in this iteration of the loop. */
void gate_link_flush(gate_link_t *link, int64_t now_ms);

/** Handles MSG_FLEET_LEASE and MSG_FLEET_PERMITS. */
void gate_link_handle(gate_link_t *link, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/** The gate has taken a version of the configuration into use. */
void gate_link_set_version(gate_link_t *link, uint64_t version);

/** Tells the leader what an attempt showed. */
void gate_link_report(gate_link_t *link, const Tm__Fleet__Evidence *evidence);

/** Counts a request that was sent without asking. */
void gate_link_report_consumed(
    gate_link_t *link, uint64_t workspace, uint64_t service, int64_t now_ms);

/**
 * Asks the leader.
 *
 * @param ask  its id is set here
 * @return     id for gate_link_cancel_permit(); 0 without memory
 */
uint32_t gate_link_request_permit(gate_link_t *link, const Tm__Fleet__Spend *request,
    gate_permit_cb done, void *ctx, int64_t now_ms);

/** Gives up an ask; it is not answered. */
void gate_link_cancel_permit(gate_link_t *link, uint32_t id);

/** @return 1 while a leader answers */
int gate_link_has_leader(const gate_link_t *link, int64_t now_ms);

/**
 * @return 1 while the leader is known to see what this gate spends; it may
 *         then spend without asking
 */
int gate_link_is_current(const gate_link_t *link, int64_t now_ms);

/** @return time of the newest asking that a leader answered, in ms */
int64_t gate_link_get_answered_ms(const gate_link_t *link);

/** @return 1 while the configuration is known to hold all keys in force */
int gate_link_has_key_lease(const gate_link_t *link, int64_t now_ms);

/** @return 1 if tokens of the workspace must be asked for */
int gate_link_is_near_limit(const gate_link_t *link, uint64_t workspace);

/** @return number of gates, as the leader told; at least 1 */
uint32_t gate_link_get_gate_count(const gate_link_t *link);

/** @return term of the leader */
uint64_t gate_link_get_term(const gate_link_t *link);

/** @return time since a leader answered, in ms */
int64_t gate_link_get_answer_age_ms(const gate_link_t *link, int64_t now_ms);

#endif
