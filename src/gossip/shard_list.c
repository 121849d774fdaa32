#include "gossip/shard_list.h"

void
shard_list_add(uint8_t *list, size_t *len, uint32_t shard)
{
	list[(*len)++] = (uint8_t)(shard >> 8);
	list[(*len)++] = (uint8_t)shard;
}

size_t
shard_list_count(size_t len)
{
	return (len / SHARD_LIST_ITEM_BYTES);
}

uint32_t
shard_list_get(const uint8_t *list, size_t at)
{
	const uint8_t *item = list + at * SHARD_LIST_ITEM_BYTES;

	return ((uint32_t)item[0] << 8 | item[1]);
}

int
shard_list_has(const uint8_t *list, size_t len, uint32_t shard)
{
	size_t i;

	for (i = 0; i < shard_list_count(len); i++) {
		if (shard_list_get(list, i) == shard)
			return (1);
	}
	return (0);
}
