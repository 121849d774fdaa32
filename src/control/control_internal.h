/**
 * @file
 * Layout of the control core, shared by the files of this folder.
 */
#ifndef TM_CONTROL_CONTROL_INTERNAL_H
#define TM_CONTROL_CONTROL_INTERNAL_H

#include <uthash.h>

#include "base/log.h"
#include "base/metrics.h"
#include "control/control.h"
#include "control/feed.h"
#include "control/placement.h"
#include "control/recovery.h"
#include "net/peer.h"
#include "store/store.h"

struct control_ticket {
	control_ticket_t *next;
	uint64_t index;
	uint64_t term;
	int64_t deadline_ms;
	control_done_cb done; /* NULL: nobody waits any more */
	void *ctx;
};

/* Last heartbeat of an entry VM that this control VM received. */
typedef struct control_beat {
	UT_hash_handle hh;
	node_id_t id;
	config_node_t node;
	int reports_ready;
	uint8_t *ready_shards; /* shard list */
	size_t ready_len;
	int64_t heard_ms;
	int64_t join_ms; /* when its join was last proposed */
	uint64_t index; /* of its configuration */
	int64_t direct_ms; /* when it sent the index; 0: never */
	int is_reported; /* a follower told the leader */
} control_beat_t;

struct control {
	control_settings_t settings;
	node_id_t self;
	int64_t now_ms;
	config_state_t *state;
	metrics_t *metrics;
	metric_t *changes_accepted;
	metric_t *changes_refused;
	metric_t *changes_unknown;
	metric_t *change_latency;
	metric_t *group_moves;
	raft_t *raft;
	store_t *store;
	peer_net_t *net;
	feed_t *feed;
	placement_t *placement;
	recovery_t *recovery;
	control_beat_t *beats;
	control_ticket_t *tickets;
	uv_timer_t timer;
	uv_check_t check;
	uint64_t applied_since_compact;
	uint64_t tick_number;
	int64_t next_tick_ms;
	int64_t next_report_ms;
	int64_t next_plan_ms;
	int64_t next_leave_ms;
	int64_t stop_deadline_ms;
	int was_leader;
	int stopping;
	control_failed_cb failed; /* NULL once called */
	void *failed_ctx;
};

/* control.c */
int control_propose_entry(
    control_t *control, const Feed__Entry *entry, uint64_t *index);

/* control_metrics.c */
int control_create_metrics(control_t *control);
void control_count_change(
    control_t *control, int64_t asked_ms, const config_result_t *result);

/* control_fleet.c */
void control_handle_feed(control_t *control, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len);
void control_run_fleet(control_t *control);
void control_free_beats(control_t *control);
/* Ready holders of a shard by the newest heartbeats. */
int control_count_ready(const control_t *control, uint32_t shard);

#endif
