/**
 * @file
 * State of the leader of rates, shared by rate_leader.c (buckets, floors, start
 * of a leader) and rate_serve.c (token requests and grants). rate_leader_t owns
 * it; nothing here does I/O or reads a clock.
 */
#ifndef TM_RATE_RATE_LEADER_INTERNAL_H
#define TM_RATE_RATE_LEADER_INTERNAL_H

#include "rate/rate_bucket.h"
#include "rate/rate_leader.h"

struct rate_leader {
	rate_leader_options_t options;
	rate_config_t *configs;
	rate_bucket_t *buckets; /* of the shards that this VM leads */
	uint64_t next_grant;
	int stopping;
};

/* rate_leader.c */
rate_config_t *rate_find_config(
    const rate_leader_t *leader, const char *workspace);
rate_bucket_t *rate_find_bucket(
    const rate_leader_t *leader, const char *workspace);
void rate_leader_refill(
    const rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms);
rate_bucket_t *rate_leader_add_bucket(
    rate_leader_t *leader, const rate_config_t *config, int64_t now_ms);
void rate_leader_update_floor(
    rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms);

/* rate_serve.c */
void rate_leader_serve(
    rate_leader_t *leader, rate_bucket_t *bucket, int64_t now_ms);

#endif
