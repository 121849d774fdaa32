/**
 * @file
 * A gate's link to the leading hub: finds it from a few seed hubs, renews the
 * gate's lease, reports consumed tokens and requests permits. The gate owns the
 * link and supplies the sending of messages. Does no I/O and reads no clock.
 *
 * Terms: a lease is the leader's confirmation that the gate is a member of the
 * fleet; a permit allows one request, retry or probe; the key lease is the time
 * for which the gate may serve workspace keys without another confirmation.
 */
#ifndef TM_GATE_GATE_LINK_H
#define TM_GATE_GATE_LINK_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "gate/gate_permits.h"
#include "proto/fleet.pb-c.h"

/** Interval between lease renewals. */
#define GATE_LEASE_RENEWAL_MS 500
/** Time without a lease after which the leader counts as unreachable; its
 * connection is kept while bytes have arrived on it within this time. */
#define GATE_LEADER_TIMEOUT_MS 1300
/** A connection on which bytes arrive is kept for this time without a lease. The
 * table and document of 300 VMs take 1 s at 2 Mbit/s; a connection that only
 * trickles is opened anew. */
#define GATE_RECEIVING_MAX_MS 6000
/** An election after a crash of the leader takes less. */
#define GATE_ELECTION_MAX_MS 2000
/** A version counts as the newest for this time after the leader was asked: the
 * leader counts as unreachable then. */
#define GATE_CONFIRMATION_MAX_AGE_MS \
	(GATE_LEADER_TIMEOUT_MS + GATE_LEASE_RENEWAL_MS)
/** Interval between queries to other hubs for the leader. */
#define GATE_LEADER_SEARCH_MS 150
/** While the newest answered request is at most this old, the leader is assumed
 * to receive reports of consumed tokens. */
#define GATE_LEADER_CURRENT_MS 650

typedef struct gate_link gate_link_t;

typedef struct gate_link_options {
	const char *const *seeds; /**< names of hubs; copied */
	int seed_count;
	/** Differs from gate to gate, so that gates that start at the same time
	 * do not ask the same hub. */
	uint64_t spread;
	int64_t key_lease_ms; /**< counted from the request */
	node_send_cb send;
	void *send_ctx;
	/** Called for each hub that becomes known: sets its address. */
	void (*hub_found)(void *ctx, const char *name);
	/** Called for each hub that was replaced by others: drops its address.
	 */
	void (*hub_dropped)(void *ctx, node_id_t hub);
	/** Resets the connection to an unresponsive hub; it may be dead. */
	void (*reset_hub)(void *ctx, node_id_t hub);
	/** Returns the time at which bytes last arrived on an open connection
	 * to a hub, also those of an incomplete message; 0: none did. */
	int64_t (*get_received_ms)(void *ctx, node_id_t hub);
	/** A probe was granted after its request had stopped waiting. It is to
	 * be made, or given back: nobody else may probe the target until then. */
	void (*late_probe)(void *ctx, uint64_t target);
	/**
	 * Fills in versions and outcomes; for a new leader also the recent
	 * usage.
	 */
	void (*fill_renewal)(void *ctx, Tm__Fleet__Join *join, int needs_usage);
	/** Applies the utilization of a service from a lease. */
	void (*set_utilization)(void *ctx, const Tm__Fleet__Pressure *pressure);
	/** Applies the report on a full target from a lease. */
	void (*set_full)(
	    void *ctx, uint64_t target, uint32_t load, int64_t reported_ms);
	/** Applies the decisions on full services of a lease whose leader decides
	 * on admission; NULL: they are not used. */
	void (*set_admissions)(
	    void *ctx, Tm__Fleet__Admission *const *admissions, size_t count);
	/** Applies what targets of services can hold, of a lease; NULL: it is not
	 * used. */
	void (*set_upload_bounds)(
	    void *ctx, Tm__Fleet__UploadBound *const *bounds, size_t count);
	/** Applies the services with idle targets of a lease. */
	void (*set_idle)(void *ctx, const uint64_t *services, size_t count);
	/** Called after a renewal was sent to the leader; memory that
	 * fill_renewal set may be freed. */
	void (*renewal_sent)(void *ctx);
	void *ctx;
} gate_link_options_t;

/** @return NULL if memory is exhausted */
gate_link_t *gate_link_create(const gate_link_options_t *options);

/** Frees everything; pending permit requests get no answer. */
void gate_link_destroy(gate_link_t *link);

/** Adds a seed hub of reloaded settings. */
void gate_link_add_seed(gate_link_t *link, const char *name, int64_t now_ms);

/** Checks the leader, expires permit requests and renews the lease. */
void gate_link_tick(gate_link_t *link, int64_t now_ms);

/** Sends consumed tokens and permit requests of this loop iteration as one
 * message. */
void gate_link_flush(gate_link_t *link, int64_t now_ms);

/** Handles MSG_FLEET_LEASE and MSG_FLEET_PERMITS. */
void gate_link_handle(gate_link_t *link, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/** Sets the version of the configuration that the gate applies. */
void gate_link_set_version(gate_link_t *link, uint64_t version);

/** Sends evidence from an attempt to the leader; dropped without one. */
void gate_link_report(gate_link_t *link, const Tm__Fleet__Evidence *evidence);

/** Gives back a probe of a target that was granted and not sent. */
void gate_link_return_probe(gate_link_t *link, uint64_t target);

/** Sends a report about a request that crashes targets to the leader; dropped
 * without one. */
void gate_link_report_crash(gate_link_t *link, const Tm__Fleet__Crash *crash);

/** Reports what a target says of itself to the leader; dropped without one. */
void gate_link_report_signals(
    gate_link_t *link, const Tm__Fleet__Signals *signals);

/** Reports large requests to the leader. @return 0 without one: nothing was
 * sent */
int gate_link_report_uploads(
    gate_link_t *link, const Tm__Fleet__Uploads *uploads);

/** Queues the report of a token that was consumed without a permit. */
void gate_link_report_consumed(
    gate_link_t *link, uint64_t workspace, uint64_t service, int64_t now_ms);

/**
 * Requests a permit from the leader.
 *
 * @param request  copied; the id of the copy is set here
 * @return         id for gate_link_cancel_permit(); 0 if memory is exhausted
 */
uint32_t gate_link_request_permit(gate_link_t *link,
    const Tm__Fleet__Spend *request, gate_permit_cb done, void *ctx,
    int64_t now_ms);

/** Cancels a permit request; its callback is not called. */
void gate_link_cancel_permit(gate_link_t *link, uint32_t id);

/** @return 1 while a leader answers */
int gate_link_has_leader(const gate_link_t *link, int64_t now_ms);

/**
 * @return 1 while the leader is assumed to receive reports of consumed tokens;
 *         the gate may then consume tokens without a permit
 */
int gate_link_is_current(const gate_link_t *link, int64_t now_ms);

/** @return send time of the newest request that a leader answered, in ms */
int64_t gate_link_get_answered_ms(const gate_link_t *link);

/** @return 1 while the configuration is known to hold all keys in force */
int gate_link_has_key_lease(const gate_link_t *link, int64_t now_ms);

/** @return 1 if a leader has said lately that the version in use is the newest;
 *         otherwise what the configuration lacks may be in a newer one */
int gate_link_is_confirmed(const gate_link_t *link, int64_t now_ms);

/** @return 1 if the workspace is so near its rate limit that each request needs
 * a permit, also while the leader of this term has not sent its list */
int gate_link_is_near_limit(const gate_link_t *link, uint64_t workspace);

/** @return number of gates that the leader reported; at least 1 */
uint32_t gate_link_get_gate_count(const gate_link_t *link);

/** @return term of the last leader; 0: none so far */
uint64_t gate_link_get_term(const gate_link_t *link);

/** @return time since a leader's last lease, or since the start of the link if there
 * was none, in ms */
int64_t gate_link_get_answer_age_ms(const gate_link_t *link, int64_t now_ms);

#endif
