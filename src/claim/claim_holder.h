/**
 * @file
 * At-most-once claims, the side of a holder: records of all shards that this
 * VM holds. The promises are in docs/claims.md.
 */
#ifndef TM_CLAIM_CLAIM_HOLDER_H
#define TM_CLAIM_CLAIM_HOLDER_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"
#include "group/group.h"

/** Records of one shard; beyond that new claims are refused. */
#define CLAIM_RECORDS_MAX 65536
/** Bytes of stored answers of one shard; beyond that answers are left out. */
#define CLAIM_ANSWERS_MAX_BYTES (4 * 1024 * 1024)

typedef struct claim_holder claim_holder_t;

typedef struct claim_holder_options {
	node_id_t self;
	uint64_t incarnation;
	group_t *group; /**< the holder registers its state transfer here */
	void *ctx;
	node_send_cb send; /**< may be called with the VM itself */
	uint32_t records_max; /**< 0 for CLAIM_RECORDS_MAX */
} claim_holder_options_t;

/** Counts since the start of the process, and sizes now. */
typedef struct claim_holder_stats {
	uint64_t granted;
	uint64_t refused_full;
	uint64_t answers_dropped;
	uint64_t records;
	uint64_t bytes;
} claim_holder_stats_t;

/** @return 0, TM_EINVAL, TM_ENOMEM */
int claim_holder_create(
    claim_holder_t **out, const claim_holder_options_t *options);
void claim_holder_destroy(claim_holder_t *holder);

/** Sets the records of one shard beyond which new claims are refused. */
void claim_holder_set_limit(claim_holder_t *holder, uint32_t records_max);

/** Drops records past their retention; call every 10 to 50 ms. */
void claim_holder_tick(claim_holder_t *holder, int64_t now_ms);

/** Handles a message of types 70 to 74. @return 0, TM_EFORMAT */
int claim_holder_handle(claim_holder_t *holder, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);

const claim_holder_stats_t *claim_holder_get_stats(
    const claim_holder_t *holder);

#endif
