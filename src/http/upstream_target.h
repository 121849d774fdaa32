/**
 * @file
 * What the pool of connections keeps for each target, by its address. Used by
 * upstream.c only.
 */
#ifndef TM_HTTP_UPSTREAM_TARGET_H
#define TM_HTTP_UPSTREAM_TARGET_H

#include <netinet/in.h>
#include <stdint.h>

#include <uthash.h>

#include "http/upstream_idle.h"
#include "http/upstream_origin.h"

struct upstream_conn;

/** A target; kept for UPSTREAM_END_KEPT_MS after its last connection. */
typedef struct upstream_target {
	uint64_t key; /**< address and port */
	uint32_t connections;
	uint32_t busy; /**< connections with a call */
	uint32_t idle_count;
	struct upstream_conn *idle; /**< last used first */
	upstream_idle_t closed; /**< idle connections that it closed */
	upstream_ends_t ends; /**< connections that are not replaced */
	int is_known; /**< it has had a connection */
	int64_t empty_ms; /**< when its last connection ended */
	UT_hash_handle hh;
} upstream_target_t;

/** @return a target, or NULL */
upstream_target_t *upstream_target_find(
    upstream_target_t *targets, const struct sockaddr_in *addr);

/** Finds or adds a target. @return NULL if memory is exhausted */
upstream_target_t *upstream_target_get(
    upstream_target_t **targets, const struct sockaddr_in *addr);

/** Frees targets that have had no connection for UPSTREAM_END_KEPT_MS. */
void upstream_target_remove_old(upstream_target_t **targets, int64_t now_ms);

#endif
