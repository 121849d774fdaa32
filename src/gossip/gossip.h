/**
 * @file
 * Configuration on an entry VM: subscription to a control VM, dissemination
 * between entry VMs, freshness of control, and versioned blobs (service
 * tables). Decision module.
 */
#ifndef TM_GOSSIP_GOSSIP_H
#define TM_GOSSIP_GOSSIP_H

#include <stddef.h>
#include <stdint.h>

#include "config/config_state.h"

/** Peers that get new entries at once. */
#define GOSSIP_PUSH_PEERS 3
/** Interval of digests, and of subscriptions at the control VM. */
#define GOSSIP_DIGEST_MS    1000
#define GOSSIP_SUBSCRIBE_MS 1000
/** Another control VM is tried when one was silent for this time. */
#define GOSSIP_FEED_SILENCE_MS 2000
/** Age at which a tick of control, or a sign of life, no longer counts. */
#define GOSSIP_FRESH_MS 5000
/** Versions of blobs in one digest; the digests take turns over all blobs. */
#define GOSSIP_DIGEST_BLOBS 32
/** Blobs kept, and the longest one. */
#define GOSSIP_BLOBS_MAX      2048
#define GOSSIP_BLOB_MAX_BYTES (512 * 1024)
#define GOSSIP_CONTROLS_MAX   7

typedef struct gossip gossip_t;

/**
 * A newer blob arrived from a peer.
 *
 * @param key  as given to gossip_put_blob()
 */
typedef void (*gossip_blob_cb)(void *ctx, uint64_t key, uint64_t term,
    uint64_t seq, const uint8_t *bytes, size_t len);

/** What the module needs; copied. */
typedef struct gossip_options {
	config_node_t self; /**< id is computed from the name */
	config_state_t *state; /**< applied to by the module; outlives it */
	node_id_t controls[GOSSIP_CONTROLS_MAX];
	int control_count;
	uint64_t seed;
	node_send_cb send;
	void *send_ctx;
	gossip_blob_cb blob; /**< may be NULL */
	void *ctx;
} gossip_options_t;

/** Figures for the status page and the metrics. */
typedef struct gossip_status {
	uint64_t index;
	int64_t tick_age_ms; /**< -1: no tick since the start */
	uint32_t nodes; /**< entry VMs in the directory */
	uint32_t nodes_heard; /**< of these heard within GOSSIP_FRESH_MS */
	uint64_t entries_applied;
	uint64_t snapshots_installed;
	uint64_t malformed; /**< messages that could not be decoded */
	node_id_t control; /**< control VM subscribed to */
} gossip_status_t;

/** Creates a module. @return 0, TM_EINVAL for bad options or TM_ENOMEM */
int gossip_create(
    gossip_t **out, const gossip_options_t *options, int64_t now_ms);

/** Frees a module; NULL is allowed. */
void gossip_destroy(gossip_t *gossip);

/** Runs the timers; call it every 10 to 100 ms. */
void gossip_tick(gossip_t *gossip, int64_t now_ms);

/** Handles a message of type 30 to 49. */
void gossip_handle(gossip_t *gossip, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/**
 * Tells whether this VM may serve: its configuration is that of a tick that
 * control issued within GOSSIP_FRESH_MS, or no tick was issued for that time
 * as far as is known and at least half of the entry VMs in the directory were
 * heard, directly or through others.
 *
 * @return 1 or 0
 */
int gossip_is_serving(const gossip_t *gossip, int64_t now_ms);

/** Announces to control that this VM is about to stop. */
void gossip_set_draining(gossip_t *gossip, int64_t now_ms);

/**
 * Reports to control in which shard groups this VM is a ready holder.
 *
 * @param shards  bit i is set for shard i
 */
void gossip_set_ready_shards(gossip_t *gossip, const uint8_t *list, size_t len);

/**
 * Stores a blob if it is newer than the one kept.
 *
 * @return 0; TM_ESTALE if it is not newer; TM_ETOOBIG; TM_EFULL; TM_ENOMEM
 */
int gossip_put_blob(gossip_t *gossip, uint64_t key, uint64_t term, uint64_t seq,
    const uint8_t *bytes, size_t len);

/** Copies the figures. */
void gossip_get_status(
    const gossip_t *gossip, int64_t now_ms, gossip_status_t *status);

#endif
