/**
 * @file
 * The gates that follow the leading hub: what each of them has, and what it is
 * sent. A decision module; it runs on the leader only.
 *
 * A gate asks for a lease again and again. The answer tells the newest version
 * of the document; a gate that has it may serve keys until its lease ends,
 * counted from when it asked.
 */
#ifndef TM_HUB_HUB_FEED_H
#define TM_HUB_HUB_FEED_H

#include <stddef.h>
#include <stdint.h>

#include "hub/hub_outlier.h"
#include "hub/hub_load.h"
#include "hub/hub_quota.h"
#include "hub/hub_state.h"
#include "proto/fleet.pb-c.h"

/** A gate that was silent for so long gets nothing until it asks again. */
#define HUB_GATE_TIMEOUT_MS 3000
/** A gate whose join is late is absent: it may spend on its own. */
#define HUB_GATE_OVERDUE_MS 700
/** A gate that was silent for so long is forgotten. Its lease of keys ended
 * more than one window of rates ago. */
#define HUB_GATE_FORGOTTEN_MS 10000
/** A document that a gate does not report is sent again after this time. */
#define HUB_RESEND_MS 700
/** Changes that are not urgent are sent together, this often. */
#define HUB_FLUSH_MS 100

typedef struct hub_feed hub_feed_t;

typedef struct hub_feed_options {
	const hub_state_t *state;
	const hub_judge_t *judge;
	node_send_cb send;
	void *send_ctx;
	int64_t window_ms; /**< of rates */
} hub_feed_options_t;

/** What a lease tells. */
typedef struct hub_feed_lease {
	uint64_t term;
	const char *leader;
	const char *const *hubs;
	size_t hub_count;
	const hub_utilization_t *utilizations;
	size_t utilization_count;
} hub_feed_lease_t;

/** @return NULL if memory is exhausted */
hub_feed_t *hub_feed_create(const hub_feed_options_t *options);

/** Frees everything; NULL is allowed. */
void hub_feed_destroy(hub_feed_t *feed);

/** Forgets the gates: this hub begins to lead in a term. */
void hub_feed_reset(hub_feed_t *feed, uint64_t term, int64_t now_ms);

/** Answers a gate; this hub leads and knows so. */
void hub_feed_join(hub_feed_t *feed, node_id_t id, const Tm__Fleet__Join *join,
    const hub_feed_lease_t *lease, int64_t now_ms);

/** A target has changed. */
void hub_feed_mark_target_changed(hub_feed_t *feed, uint64_t key);

/** The verdict on a target has changed. Gates hear of a trial a moment later,
 * together with others. */
void hub_feed_mark_verdict_changed(
    hub_feed_t *feed, uint64_t key, fleet_verdict_t verdict);

/** The document has changed. */
void hub_feed_mark_document_changed(hub_feed_t *feed);

/** Sends to all gates what has changed since the last call. */
void hub_feed_flush(hub_feed_t *feed, int64_t now_ms);

/** Sends a message to all gates that are not silent. */
void hub_feed_broadcast(hub_feed_t *feed, uint16_t type,
    const ProtobufCMessage *msg, int64_t now_ms);

/** Forgets gates that are gone. */
void hub_feed_tick(hub_feed_t *feed, int64_t now_ms);

/** @return gates that were heard lately */
uint32_t hub_feed_count_gates(const hub_feed_t *feed, int64_t now_ms);

/** @return gates by what they told of their spending */
hub_gate_census_t hub_feed_get_census(const hub_feed_t *feed, int64_t now_ms);

#endif
