/**
 * @file
 * State of tm-hub, shared by hub.c, hub_announcements.c, hub_cold.c,
 * hub_evacuation_apply.c, hub_lead.c, hub_messages.c and hub_upload_permit.c. One
 * hub_t owns all modules below; all functions run on its event loop.
 */
#ifndef TM_HUB_HUB_INTERNAL_H
#define TM_HUB_HUB_INTERNAL_H

#include "hub/hub.h"
#include "hub/hub_admission.h"
#include "hub/hub_announce.h"
#include "hub/hub_break.h"
#include "hub/hub_crash.h"
#include "hub/hub_feed.h"
#include "hub/hub_outlier.h"
#include "hub/hub_load.h"
#include "hub/hub_members.h"
#include "hub/hub_quota.h"
#include "hub/hub_relay.h"
#include "hub/hub_report.h"
#include "hub/hub_role.h"
#include "hub/hub_signals.h"
#include "hub/hub_upload.h"
#include "hub/hub_warmup.h"
#include "net/peer.h"
#include "raft/raft.h"
#include "store/store.h"

/** Most services with idle targets that a lease names. */
#define HUB_IDLE_SERVICES_MAX 64

/** A proposal that waits for its entry to be applied. */
typedef struct proposal {
	uint64_t index;
	uint64_t term;
	int64_t deadline_ms;
	hub_done_cb done;
	void *ctx;
	struct proposal *prev;
	struct proposal *next;
} proposal_t;

/** A decision of this leader on what another hub has passed on. */
typedef struct passed_answer {
	node_id_t hub;
	uint32_t id;
	uint64_t revision; /**< that the hub knew */
	uint64_t decided; /**< revision of this decision */
	enum { PASSED_CONFIRMED, PASSED_IGNORED, PASSED_REFUSED } outcome;
	struct passed_answer *prev;
	struct passed_answer *next;
} passed_answer_t;

struct hub {
	hub_settings_t settings;
	node_id_t self;
	uv_loop_t *loop;
	uv_timer_t timer;
	uv_check_t check;
	peer_net_t *net;
	store_t *store;
	raft_t *raft;
	hub_state_t *state;
	hub_members_t *members;
	hub_outlier_t *outlier;
	hub_quota_t *quota;
	hub_load_t *load;
	hub_admission_t *admission;
	hub_feed_t *feed;
	hub_signals_t *signals;
	hub_warmup_t *warmup;
	hub_upload_t *upload;
	hub_crash_t *crash;
	hub_breaks_t breaks;
	hub_relay_t *relay; /* while another hub leads */
	hub_changes_t changes; /* of targets, while this one leads */
	passed_answer_t *answers; /* to be sent */
	int is_spreading; /* targets over the hubs */
	int was_relaying; /* as logged last */
	int64_t relay_report_due_ms;
	hub_relay_stats_t relay_reported; /* as logged and counted last */
	uint64_t unnamed_count; /* ignored since the last report */
	dialect_announcement_t unnamed; /* the last of them */
	uint64_t blocks_sequence; /* of the blocks that gates were sent last */
	uint64_t idle_services[HUB_IDLE_SERVICES_MAX];
	size_t idle_service_count;
	hub_report_t *report;
	int has_new_document; /* in state, not in config yet */
	fleet_config_t *config; /* of the newest document */
	uint32_t features; /* fleet_feature_t of settings and config */
	proposal_t *proposals;
	hub_role_t role;
	int64_t leading_since_ms; /* in the term of role */
	int64_t member_due_ms;
	int64_t ejected_due_ms;
	int64_t blocked_due_ms;
	int64_t load_due_ms;
	int64_t full_log_due_ms;
	uint64_t compacted;
	hub_failed_cb failed; /* NULL once called */
	void *failed_ctx;
	int is_stopping;
	int64_t stop_deadline_ms;
	metrics_t *metrics;
	metric_t *metric_leading;
	metric_t *metric_commits;
	metric_t *metric_verdicts;
	metric_t *metric_gates;
	metric_t *metric_crashes;
	metric_t *metric_blocked;
	metric_t *metric_full_services;
	metric_t *metric_evacuated;
	metric_t *metric_announced;
	metric_t *metric_passed;
	metric_t *metric_refused;
	metric_t *metric_ignored;
	metric_t *metric_passed_to_us;
	metric_t *metric_cold;
	metric_t *metric_cold_granted;
	metric_t *metric_cold_refused;
	metric_t *metric_upload_bytes;
	metric_t *metric_upload_granted;
	metric_t *metric_upload_refused;
};

/** Starts or stops to serve as the leader, following the replicated log. */
void hub_update_role(hub_t *hub, int64_t now_ms);

/** Adds a registered target to the outlier detector, or updates it. */
void hub_add_to_outlier(hub_t *hub, const hub_target_t *target);

/** Puts the order that the state has just applied into force at this hub. */
void hub_apply_evacuation(hub_t *hub, int64_t now_ms);

/** The same after a snapshot has replaced the state. @param before  evacuations
 * of the state that it replaced */
void hub_restore_evacuations(
    hub_t *hub, const hub_evacuations_t *before, int64_t now_ms);

/** Most workspaces near their limit that are sent to gates. */
#define HUB_NEAR_LIMIT_MAX 1024

/**
 * Fills a message with the workspaces near their limit.
 *
 * @param near_limit  receives at most HUB_NEAR_LIMIT_MAX ids; the message
 *                    refers to it
 */
void hub_fill_near_limit(
    const hub_t *hub, Tm__Fleet__Permits *msg, uint64_t *near_limit);

/** Sends the blocked and suspected requests to one gate. */
void hub_send_blocks(hub_t *hub, node_id_t gate, int64_t now_ms);

/** Sends them to all gates and records them for the next leader, if they have
 * changed. */
void hub_update_blocks(hub_t *hub, int64_t now_ms);

/** Counts the crashes that a new incarnation of a target shows. */
void hub_record_incarnation(
    hub_t *hub, const hub_target_t *target, int64_t now_ms);

/** Updates the reserve for gates that have not reported their usage. */
void hub_update_gate_counts(hub_t *hub, int64_t now_ms);

/** Creates what announcements need. @return 0, TM_ENOMEM, TM_EIO */
int hub_announcements_create(hub_t *hub);

/** Names the leader to the relay, sends what is due and answers other hubs. */
void hub_announcements_tick(hub_t *hub, int64_t now_ms);

/** Sends what waits for other hubs; once per iteration of the loop. */
void hub_announcements_flush(hub_t *hub, int64_t now_ms);

/** Handles MSG_FLEET_RELAY. */
void hub_announcements_receive(
    hub_t *hub, node_id_t from, const uint8_t *payload, size_t len);

/** Records that a registered target has announced itself, at this leader or
 * through another hub. */
void hub_record_announcement(hub_t *hub, const dialect_announcement_t *as);

/** Runs the periodic work of the leader. */
void hub_tick_leader(hub_t *hub, int64_t now_ms);

/** hub_done_cb of a proposal whose outcome shows in the state. */
void hub_ignore_outcome(void *ctx, int err);

/** Creates the state of cold targets and its metrics. @return 0 or TM_ENOMEM */
int hub_cold_create(hub_t *hub);

/** Takes cold targets over from the replicated log: this hub begins to lead. */
void hub_cold_begin(hub_t *hub, int64_t now_ms);

/** Records at this leader how long a target says that it stays cold, and tells
 * gates at once if it turned cold.
 *
 * @param said_ms  earliest time at which the target can have said it */
void hub_record_warmup(
    hub_t *hub, const dialect_announcement_t *as, int64_t said_ms);

/** @return 1 if that must be replicated: the target turned cold or warm, or stays
 * cold for longer */
int hub_is_warmup_new(const hub_t *hub, const hub_target_t *known,
    const dialect_announcement_t *as);

/** Records that all targets of a data centre may have turned cold unnoticed. To be
 * called at all hubs, as they apply the entry that says so. */
void hub_suspect_data_centre(hub_t *hub, const char *name, int64_t now_ms);

/** As hub_record_warmup(), but gates are not told yet. */
void hub_cold_record(
    hub_t *hub, const dialect_announcement_t *as, int64_t said_ms);

/** Tells gates of targets that changed since a sequence of the feed, before the
 * entries are written: a sync of a slow disk blocks this hub, for 8 s in a test. */
void hub_cold_flush(hub_t *hub, uint64_t sequence);

/** Follows an entry of the log on a target. */
void hub_cold_apply(hub_t *hub, const hub_target_t *target);

/** Records that a target said in a response how long it stays cold. */
void hub_cold_record_response(
    hub_t *hub, const hub_signal_key_t *key, uint32_t left_ms, int64_t now_ms);

/** Counts a permit of a target, if it is cold. */
void hub_cold_count_permit(
    hub_t *hub, const hub_signal_key_t *key, int is_granted, int64_t now_ms);

/** @return 1 if a permit of a target may be reserved for so long ahead */
int hub_cold_may_reserve(const hub_t *hub, const hub_signal_key_t *key,
    int64_t wait_ms, int64_t now_ms);

/** Creates the state of large requests and its metrics. @return 0 or TM_ENOMEM */
int hub_upload_permit_create(hub_t *hub);

/** @return 1 if large requests need permits: the document has a route for uploads */
int hub_upload_permit_is_active(const hub_t *hub);

/** Records that a gate was heard, so that its permits are kept and those of its
 * process before are dropped. @param incarnation  of the gate's process */
void hub_upload_permit_hear(hub_t *hub, node_id_t from, uint64_t incarnation);

/**
 * Grants a permit for a large request at the target that its gate prefers, or at
 * the one of the service that holds the fewest bytes.
 *
 * @param assignment  receives the target
 */
hub_permit_t hub_upload_permit_acquire(hub_t *hub, node_id_t from,
    const Tm__Fleet__Spend *spend, hub_assignment_t *assignment,
    int64_t now_ms);

/** Handles MSG_FLEET_UPLOADS. @param incarnation  of the gate's process */
void hub_upload_permit_receive(hub_t *hub, node_id_t from, uint64_t incarnation,
    const uint8_t *payload, size_t len);

/** Learns from a crash of a target. */
void hub_upload_permit_record_crash(
    hub_t *hub, uint64_t target, uint64_t incarnation_ms, int64_t now_ms);

/** Ends overdue permits, raises bounds and updates the metric. */
void hub_upload_permit_tick(hub_t *hub, int64_t now_ms);

/** @return 1 if a target may be chosen for a request that names targets that it
 * excludes; defined in hub_messages.c */
int hub_allows_target(const hub_t *hub, const hub_target_t *target,
    const Tm__Fleet__Spend *spend);

/** Prolongs suspicions and counts cold targets. */
void hub_cold_tick(hub_t *hub, int64_t now_ms);

/** get_cold_value of the feed; ctx is the hub_t. */
uint32_t hub_cold_get_value(void *ctx, const char *service);

/** Applies what the services of a new document say of cold targets. @param old  the
 * document before; NULL: none */
void hub_cold_apply_config(
    hub_t *hub, const fleet_config_t *old, int64_t now_ms);

/** hub_warmup_cb; ctx is the hub_t. */
void hub_cold_on_change(
    void *ctx, const hub_warmup_change_t *change, int64_t now_ms);

/** peer_receive_cb; ctx is the hub_t. */
void hub_messages_receive(void *ctx, node_id_t from, uint64_t incarnation,
    uint16_t type, const uint8_t *payload, size_t len);

#endif
