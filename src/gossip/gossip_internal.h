/**
 * @file
 * Layout of the gossip module, shared by the files of this folder.
 */
#ifndef TM_GOSSIP_GOSSIP_INTERNAL_H
#define TM_GOSSIP_GOSSIP_INTERNAL_H

#include <uthash.h>

#include "base/rng.h"
#include "gossip/entry_log.h"
#include "gossip/feed_msgs.h"
#include "gossip/gossip.h"
#include "gossip/shard_list.h"

#define GOSSIP_RECENT_MAX   8
#define GOSSIP_RECENT_BYTES 2048
#define GOSSIP_RECENT_MS    10000
/* A process that was not scheduled for this time was frozen. What it reads in
 * the time after may have waited in a buffer for the whole freeze. */
#define GOSSIP_FREEZE_MS	  1000
#define GOSSIP_CATCH_UP_MS	  500
#define GOSSIP_AGE_UNIT_MS	  20
#define GOSSIP_AGE_UNKNOWN	  255
#define GOSSIP_PULL_MIN_MS	  100
#define GOSSIP_SNAPSHOT_STALL_MS  2000
#define GOSSIP_BLOB_REPLY_BYTES	  (64 * 1024)
#define GOSSIP_SNAPSHOT_MAX_BYTES (256 * 1024 * 1024)

/* When a node was last heard of; direct_ms without the help of others. */
typedef struct gossip_peer {
	UT_hash_handle hh;
	node_id_t id;
	int64_t heard_ms;
	int64_t direct_ms;
} gossip_peer_t;

typedef struct gossip_blob {
	UT_hash_handle hh;
	uint64_t key;
	uint64_t term;
	uint64_t seq;
	uint8_t *bytes;
	size_t len;
} gossip_blob_t;

/* A tick with the local time at which it was issued, never too late. */
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
	int64_t fresh_ms; /* issue time of the newest tick that is covered */
	int64_t start_ms;
	int64_t next_digest_ms;
	int64_t next_subscribe_ms;
	int64_t feed_heard_ms;
	int control_at;
	int64_t last_pull_ms;
	int64_t last_call_ms; /* last tick or message */
	int64_t resumed_ms; /* end of the last freeze of this process */
	int64_t frozen_ms; /* its length; 0: none */
	uint8_t ready_shards[CONFIG_SHARDS * SHARD_LIST_ITEM_BYTES];
	size_t ready_len;
	int reports_ready;
	int was_serving; /* as of the last digest */
	gossip_transfer_t transfer;
	uint64_t diverged_epoch; /* of the last snapshot refused for that */
	gossip_status_t status;
};

/* gossip_peers.c */
gossip_peer_t *gossip_find_peer(const gossip_t *gossip, node_id_t id);
void gossip_note_heard(gossip_t *gossip, node_id_t id, int64_t heard_ms);
void gossip_note_direct(gossip_t *gossip, node_id_t id, int64_t now_ms);
void gossip_prune_peers(gossip_t *gossip);
/* Copies up to max random entry VMs other than this one. */
size_t gossip_pick_peers(gossip_t *gossip, node_id_t *out, size_t max);
/* Age to add to what is received now, see GOSSIP_FREEZE_MS. */
int64_t gossip_get_lag(const gossip_t *gossip, int64_t now_ms);
/* A random entry VM that sent something lately, or NODE_ID_NONE. */
node_id_t gossip_pick_recent(gossip_t *gossip, int64_t now_ms);
void gossip_count_heard(
    const gossip_t *gossip, int64_t now_ms, uint32_t *nodes, uint32_t *heard);
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
void gossip_take_tick(gossip_t *gossip, const Feed__Tick *tick, int64_t now_ms);
void gossip_take_entries(gossip_t *gossip, node_id_t from,
    Feed__LogEntry *const *entries, size_t count, int64_t now_ms);
void gossip_pull(gossip_t *gossip, node_id_t from, int64_t now_ms);

#endif
