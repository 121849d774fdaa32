/**
 * @file
 * Configuration on an entry VM: subscription to a control VM, dissemination
 * between entry VMs, decision whether the configuration is current enough to
 * serve, and versioned blobs (service tables). A gossip_t owns its state except
 * for the configuration, to which it applies entries. Does no I/O and reads no
 * clock.
 *
 * A tick is a numbered statement of the control leader that its configuration
 * up to an index was valid when the tick was issued.
 */
#ifndef TM_GOSSIP_GOSSIP_H
#define TM_GOSSIP_GOSSIP_H

#include <stddef.h>
#include <stdint.h>

#include "config/config_state.h"

/** Number of peers to which new entries are sent at once. */
#define GOSSIP_PUSH_PEERS 3
/** Intervals of digests, and of subscriptions to the control VM. */
#define GOSSIP_DIGEST_MS    1000
#define GOSSIP_SUBSCRIBE_MS 1000
/** Switches to another control VM if nothing was received for this time. */
#define GOSSIP_CONTROL_TIMEOUT_MS 2000
/**
 * Age from which a tick of control, or a contact to a node, no longer counts.
 */
#define GOSSIP_CONTACT_TIMEOUT_MS 5000
/** Blob versions in a digest; successive digests rotate through all blobs. */
#define GOSSIP_DIGEST_BLOBS 32
/** Maximum number of blobs, and maximum size of each. */
#define GOSSIP_BLOBS_MAX      2048
#define GOSSIP_BLOB_MAX_BYTES (512 * 1024)
#define GOSSIP_CONTROLS_MAX   7

typedef struct gossip gossip_t;

/**
 * Called when a newer blob was received from a peer.
 *
 * @param key  as given to gossip_put_blob()
 */
typedef void (*gossip_blob_cb)(void *ctx, uint64_t key, uint64_t term,
    uint64_t seq, const uint8_t *bytes, size_t len);

/** Options of a module; gossip_create() copies them. */
typedef struct gossip_options {
	config_node_t self; /**< id is computed from the name */
	config_state_t *state; /**< the module changes it; outlives it */
	node_id_t controls[GOSSIP_CONTROLS_MAX];
	int control_count;
	uint64_t seed;
	node_send_cb send;
	void *send_ctx;
	gossip_blob_cb blob; /**< may be NULL */
	void *ctx;
} gossip_options_t;

/** Values for the status page and the metrics. */
typedef struct gossip_status {
	uint64_t index;
	int64_t tick_age_ms; /**< -1: no tick since the start */
	uint32_t nodes; /**< entry VMs in the directory */
	uint32_t nodes_heard; /**< in contact, see GOSSIP_CONTACT_TIMEOUT_MS */
	uint64_t entries_applied;
	uint64_t snapshots_installed;
	uint64_t malformed; /**< messages that could not be decoded */
	node_id_t control; /**< control VM subscribed to */
} gossip_status_t;

/** Creates a module. @return 0, TM_EINVAL for bad options or TM_ENOMEM */
int gossip_create(
    gossip_t **out, const gossip_options_t *options, int64_t now_ms);

/** Frees a module. @param gossip  may be NULL */
void gossip_destroy(gossip_t *gossip);

/** Runs the timers; call it every 10 to 100 ms. */
void gossip_tick(gossip_t *gossip, int64_t now_ms);

/** Handles a message of type 30 to 49. */
void gossip_handle(gossip_t *gossip, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

/**
 * Returns 1 if this VM may serve. Either its configuration covers a tick that
 * control issued within GOSSIP_CONTACT_TIMEOUT_MS; or no tick of that time is
 * known, and at least half of the entry VMs in the directory were in contact,
 * directly or through others.
 *
 * @return 1 or 0
 */
int gossip_is_serving(const gossip_t *gossip, int64_t now_ms);

/** Reports to control that this VM is about to stop. */
void gossip_set_draining(gossip_t *gossip, int64_t now_ms);

/**
 * Reports to control in which shard groups this VM is a ready holder.
 *
 * @param list  shards as written by shard_list_add()
 * @param len   its length in bytes; a list that is too long is ignored
 */
void gossip_set_ready_shards(gossip_t *gossip, const uint8_t *list, size_t len);

/**
 * Stores a blob if it is newer than the one kept.
 *
 * @return 0; TM_ESTALE if it is not newer; TM_ETOOBIG; TM_EFULL; TM_ENOMEM
 */
int gossip_put_blob(gossip_t *gossip, uint64_t key, uint64_t term, uint64_t seq,
    const uint8_t *bytes, size_t len);

/** Copies the values. */
void gossip_get_status(
    const gossip_t *gossip, int64_t now_ms, gossip_status_t *status);

#endif
