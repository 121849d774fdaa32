/**
 * @file
 * Distribution of configuration documents, targets and verdicts from the
 * leading hub to the gates. The caller owns the feed, which holds what each
 * gate has and was sent; only the leader uses it. Does no I/O but through the
 * send callback, and reads no clock.
 *
 * A gate renews its lease periodically with a Join message. The answer carries
 * the newest version of the document; a gate that has it may serve keys until
 * its lease ends, counted from the time of its request.
 */
#ifndef TM_HUB_HUB_FEED_H
#define TM_HUB_HUB_FEED_H

#include <stddef.h>
#include <stdint.h>

#include "hub/hub_admission.h"
#include "hub/hub_outlier.h"
#include "hub/hub_load.h"
#include "hub/hub_quota.h"
#include "hub/hub_signals.h"
#include "hub/hub_upload.h"
#include "hub/hub_state.h"
#include "proto/fleet.pb-c.h"

/** Time without a lease renewal after which a gate is unresponsive: it gets no
 * messages until it renews its lease. */
#define HUB_GATE_TIMEOUT_MS 3000
/** A gate whose lease renewal is this late is overdue: it may consume tokens
 * without the leader. */
#define HUB_GATE_OVERDUE_MS 700
/** The record of a gate is removed after this time without a renewal. Its key
 * lease ended more than one rate window ago by then. */
#define HUB_GATE_EXPIRY_MS 10000
/** Time without an acknowledgement after which a document or a whole table is sent
 * again, if the connection is not known. */
#define HUB_RESEND_MS 700
/** The same while the connection on which it was sent is open. It may be lost
 * there only if too much waits for the gate; 240 kB take 1 s at 2 Mbit/s. */
#define HUB_UNDER_WAY_MAX_MS 6000
/** Interval at which changes that are not urgent are sent together. */
#define HUB_FLUSH_MS 100

typedef struct hub_feed hub_feed_t;

typedef struct hub_feed_options {
	const hub_state_t *state;
	const hub_outlier_t *outlier;
	const hub_signals_t *signals; /**< NULL: targets have none */
	/** @return what a cold target of a service tolerates, as of
	 * fleet_limit.h; FLEET_LIMIT_UNKNOWN: there is no bound. NULL: none has
	 * one */
	uint32_t (*get_cold_value)(void *ctx, const char *service);
	void *cold_ctx;
	node_send_cb send;
	void *send_ctx;
	/** Returns the number of the open connection to a gate, 0 if there is
	 * none; NULL: connections are not known. */
	uint64_t (*get_connection)(void *ctx, node_id_t gate);
	void *connection_ctx;
	int64_t window_ms; /**< window of the rates */
} hub_feed_options_t;

/** Contents of a lease. */
typedef struct hub_feed_lease {
	uint64_t term;
	const char *leader;
	const char *const *hubs;
	size_t hub_count;
	const hub_utilization_t *utilizations;
	size_t utilization_count;
	const uint64_t *idle_services; /**< services with idle targets */
	size_t idle_service_count;
	const hub_full_targets_t *full; /**< NULL: none */
	const hub_admission_decision_t *admissions; /**< of full services */
	size_t admission_count;
	int decides_admission; /**< services without a decision are not full */
	const hub_upload_bound_t *upload_bounds;
	size_t upload_bound_count; /**< at most HUB_UPLOAD_BOUNDS_MAX */
} hub_feed_lease_t;

/** @return NULL if memory is exhausted */
hub_feed_t *hub_feed_create(const hub_feed_options_t *options);

/** Frees everything; NULL is allowed. */
void hub_feed_destroy(hub_feed_t *feed);

/** Removes all gates: this hub begins to lead in a term. */
void hub_feed_reset(hub_feed_t *feed, uint64_t term, int64_t now_ms);

/** Renews the lease of a gate and sends it what it lacks. The caller has
 * checked that this hub leads. */
void hub_feed_renew_lease(hub_feed_t *feed, node_id_t id,
    const Tm__Fleet__Join *join, const hub_feed_lease_t *lease, int64_t now_ms);

/**
 * Answers a gate while another hub leads: names that hub, after a newer document
 * than the gate has. All documents here are accepted, so the gate need not wait
 * for the leader, to which all gates return at the same time after a cut.
 *
 * @param lease  leader ("": unknown) and hubs; the rest is not used
 */
void hub_feed_redirect(const hub_feed_t *feed, node_id_t id,
    const Tm__Fleet__Join *join, const hub_feed_lease_t *lease);

/** Marks a target as changed; sent urgently. */
void hub_feed_mark_target_changed(hub_feed_t *feed, uint64_t key);

/** Marks the verdict on a target as changed. Changes to and between probe
 * states are not urgent. */
void hub_feed_mark_verdict_changed(
    hub_feed_t *feed, uint64_t key, fleet_verdict_t verdict);

/** Marks the list of evacuated data centres as changed; sent urgently. */
void hub_feed_mark_evacuations_changed(hub_feed_t *feed);

/** Marks the document as changed. */
void hub_feed_mark_document_changed(hub_feed_t *feed);

/** Sends to all gates what has changed since the last call, and changes that
 * are not urgent at most every HUB_FLUSH_MS. */
void hub_feed_flush(hub_feed_t *feed, int64_t now_ms);

/** Sends a message to all gates that are not unresponsive. */
void hub_feed_broadcast(hub_feed_t *feed, uint16_t type,
    const ProtobufCMessage *msg, int64_t now_ms);

/** Removes gates that have expired. */
void hub_feed_tick(hub_feed_t *feed, int64_t now_ms);

/** @return number of the last change of the table in this term */
uint64_t hub_feed_get_sequence(const hub_feed_t *feed);

/** @return number of gates that are not unresponsive */
uint32_t hub_feed_count_gates(const hub_feed_t *feed, int64_t now_ms);

/** @return numbers of gates by what they have reported of their usage */
hub_gate_counts_t hub_feed_get_gate_counts(
    const hub_feed_t *feed, int64_t now_ms);

#endif
