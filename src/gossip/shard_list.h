/**
 * @file
 * Byte string that lists shards, two bytes each in network order. A VM holds
 * few of the shards, so that this is shorter than a bitmap. Keeps no state.
 */
#ifndef TM_GOSSIP_SHARD_LIST_H
#define TM_GOSSIP_SHARD_LIST_H

#include <stddef.h>
#include <stdint.h>

#define SHARD_LIST_ITEM_BYTES 2

/** Appends a shard, below 65,536; list must have the capacity for it. */
void shard_list_add(uint8_t *list, size_t *len, uint32_t shard);

/** @return number of shards in a list; an incomplete last one does not count */
size_t shard_list_count(size_t len);

/** @return shard at a position below shard_list_count() */
uint32_t shard_list_get(const uint8_t *list, size_t at);

/** @return 1 if the list contains the shard */
int shard_list_has(const uint8_t *list, size_t len, uint32_t shard);

#endif
