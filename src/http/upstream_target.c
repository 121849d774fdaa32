#include "http/upstream_target.h"

#include <stdlib.h>

static uint64_t
address_get_key(const struct sockaddr_in *addr)
{
	return ((uint64_t)addr->sin_addr.s_addr << 16 | addr->sin_port);
}

upstream_target_t *
upstream_target_find(upstream_target_t *targets, const struct sockaddr_in *addr)
{
	uint64_t key = address_get_key(addr);
	upstream_target_t *target;

	HASH_FIND(hh, targets, &key, sizeof(key), target);
	return (target);
}

upstream_target_t *
upstream_target_get(upstream_target_t **targets, const struct sockaddr_in *addr)
{
	upstream_target_t *target = upstream_target_find(*targets, addr);

	if (target != NULL)
		return (target);
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return (NULL);
	target->key = address_get_key(addr);
	HASH_ADD(hh, *targets, key, sizeof(target->key), target);
	return (target);
}

void
upstream_target_remove_old(upstream_target_t **targets, int64_t now_ms)
{
	upstream_target_t *target;
	upstream_target_t *next;

	HASH_ITER(hh, *targets, target, next) {
		if (target->connections > 0 ||
		    now_ms - target->empty_ms <= UPSTREAM_END_KEPT_MS)
			continue;
		HASH_DEL(*targets, target);
		free(target);
	}
}
