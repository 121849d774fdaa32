/**
 * @file
 * State and functions shared by the files of the gossip module.
 */
#ifndef TM_GOSSIP_GOSSIP_INTERNAL_H
#define TM_GOSSIP_GOSSIP_INTERNAL_H

#include <uthash.h>

#include "base/rng.h"
#include "gossip/entry_log.h"
#include "gossip/feed_msgs.h"
#include "gossip/gossip.h"
#include "gossip/shard_list.h"

/* Recent entries that a digest carries: number, bytes together, maximum age. */
#define GOSSIP_DIGEST_ENTRIES_MAX  8
#define GOSSIP_DIGEST_ENTRY_BYTES  2048
#define GOSSIP_DIGEST_ENTRY_AGE_MS 10000
/*
 * A process that did not run for GOSSIP_FREEZE_MIN_MS was frozen. Messages that
 * it reads within GOSSIP_FREEZE_CATCH_UP_MS afterwards may have waited in a
 * buffer during the whole freeze.
 */
#define GOSSIP_FREEZE_MIN_MS	   1000
#define GOSSIP_FREEZE_CATCH_UP_MS  500
#define GOSSIP_AGE_UNIT_MS	   20
#define GOSSIP_AGE_UNKNOWN	   255
#define GOSSIP_PULL_MIN_MS	   100
#define GOSSIP_SNAPSHOT_TIMEOUT_MS 2000
#define GOSSIP_BLOB_REPLY_BYTES	   (64 * 1024)
#define GOSSIP_SNAPSHOT_MAX_BYTES  (256 * 1024 * 1024)

/* Last contact to a node; last_direct_ms counts only its own messages. */
typedef struct gossip_peer {
	UT_hash_handle hh;
	node_id_t id;
	int64_t last_seen_ms;
	int64_t last_direct_ms;
} gossip_peer_t;

typedef struct gossip_blob {
	UT_hash_handle hh;
	uint64_t key;
	uint64_t term;
	uint64_t seq;
	uint8_t *bytes;
	size_t len;
} gossip_blob_t;

/*
 * A tick with its time of issue on the local clock, which is an estimate that
 * is never later than the real one.
 */
typedef struct gossip_known_tick {
	uint64_t term;
	uint64_t number;
	uint64_t index;
	int64_t issued_ms;
} gossip_known_tick_t;

/* A snapshot that is being received. */
typedef struct gossip_transfer {
	uint64_t index; /* 0: none */
	node_id_t from;
	uint8_t *bytes;
	size_t len;
	size_t total;
	int64_t last_ms;
} gossip_transfer_t;

struct gossip {
	gossip_options_t options;
	node_id_t self;
	rng_t rng;
	entry_log_t *log;
	gossip_peer_t *peers;
	gossip_blob_t *blobs;
	uint64_t blob_cursor;
	gossip_known_tick_t tick; /* newest one known */
	int64_t current_ms; /* issue of the newest tick that is covered */
	int64_t start_ms;
	int64_t next_digest_ms;
	int64_t next_subscribe_ms;
	int64_t control_last_seen_ms;
	int control_index;
	int64_t last_pull_ms;
	int64_t last_call_ms; /* last tick or message */
	int64_t resumed_ms; /* end of the last freeze of this process */
	int64_t frozen_ms; /* its length; 0: none */
	uint8_t ready_shards[CONFIG_SHARDS * SHARD_LIST_ITEM_BYTES];
	size_t ready_len;
	int reports_ready;
	int was_serving; /* as of the last digest */
	gossip_transfer_t transfer;
	uint64_t diverged_epoch; /* already reported as diverged; 0: none */
	gossip_status_t status;
};

/* gossip_peers.c */
gossip_peer_t *gossip_find_peer(const gossip_t *gossip, node_id_t id);
void gossip_record_contact(
    gossip_t *gossip, node_id_t id, int64_t last_seen_ms);
void gossip_record_direct_contact(
    gossip_t *gossip, node_id_t id, int64_t now_ms);
void gossip_prune_peers(gossip_t *gossip);
/* Copies the ids of up to max random entry VMs other than this one. */
size_t gossip_pick_peers(gossip_t *gossip, node_id_t *out, size_t max);
/* Age to add to messages received now, see GOSSIP_FREEZE_MIN_MS. */
int64_t gossip_get_freeze_lag_ms(const gossip_t *gossip, int64_t now_ms);
/* A random entry VM with recent direct contact, or NODE_ID_NONE. */
node_id_t gossip_pick_recent_peer(gossip_t *gossip, int64_t now_ms);
void gossip_count_alive(
    const gossip_t *gossip, int64_t now_ms, uint32_t *nodes, uint32_t *alive);
size_t gossip_encode_ages(
    const gossip_t *gossip, int64_t now_ms, uint8_t *out, size_t max);
void gossip_merge_ages(
    gossip_t *gossip, const uint8_t *ages, size_t len, int64_t now_ms);

/* gossip_digest.c */
void gossip_send_digest(
    gossip_t *gossip, node_id_t to, int is_reply, int64_t now_ms);
void gossip_handle_digest(gossip_t *gossip, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms);
void gossip_send_blob(
    gossip_t *gossip, node_id_t to, const gossip_blob_t *blob);
gossip_blob_t *gossip_find_blob(const gossip_t *gossip, uint64_t key);
void gossip_handle_blob(
    gossip_t *gossip, node_id_t from, const uint8_t *payload, size_t len);

/* gossip.c */
void gossip_export_tick(
    const gossip_t *gossip, int64_t now_ms, Feed__Tick *out);
void gossip_merge_tick(
    gossip_t *gossip, const Feed__Tick *tick, int64_t now_ms);
void gossip_apply_entries(gossip_t *gossip, node_id_t from,
    Feed__LogEntry *const *entries, size_t count, int64_t now_ms);
void gossip_pull(gossip_t *gossip, node_id_t from, int64_t now_ms);

#endif
