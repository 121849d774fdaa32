/**
 * @file
 * Digests of the table of targets, by which a gate that joins a leading hub says
 * what it has, so that it is sent only what differs. They depend on the rows
 * alone, not on the leader that sent them, and leave out what gates are told
 * apart: verdicts, limits, and the time for which targets stay cold. Also the
 * compression of whole tables. Keeps no state.
 *
 * A bucket holds the sum of the digests of its rows, so that a row can be
 * replaced without the others.
 */
#ifndef TM_FLEET_FLEET_TABLE_H
#define TM_FLEET_FLEET_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "proto/fleet.pb-c.h"

/** Buckets of a table. A bucket that differs is sent whole, 23 rows of 3,000; the
 * digests of all buckets take 1 kB of a join. */
#define FLEET_TABLE_BUCKETS 128

/** Digests of the rows of a table, by bucket; zero without rows. */
typedef struct fleet_table_digests {
	uint64_t sums[FLEET_TABLE_BUCKETS];
} fleet_table_digests_t;

/** @param key  fleet_name_hash() of the id of a target */
uint32_t fleet_table_get_bucket(uint64_t key);

/** @return digest of a row */
uint64_t fleet_table_digest_row(const Tm__Fleet__Target *row);

/** @return digest of a table by those of its buckets; never 0 */
uint64_t fleet_table_digest(const fleet_table_digests_t *digests);

/**
 * Compresses a whole table.
 *
 * @param out  receives its bytes, which the caller frees, and their plain length
 * @return     0 or TM_ENOMEM
 */
int fleet_table_zip(const Tm__Fleet__Table *table, Tm__Fleet__Table *out);

/**
 * Reads a table as received. Of one that is compressed, the times for which targets
 * stay cold are reduced by its age.
 *
 * @return table for tm__fleet__table__free_unpacked(); NULL if it is malformed
 */
Tm__Fleet__Table *fleet_table_unpack(const uint8_t *bytes, size_t len);

#endif
