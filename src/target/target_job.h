/**
 * @file
 * Runs the requests of a target: slots, a small queue, load shedding,
 * deadlines, cancellation and faults.
 */
#ifndef TM_TARGET_TARGET_JOB_H
#define TM_TARGET_TARGET_JOB_H

#include <stdint.h>

#include <uv.h>

#include <h2o.h>

#include "base/rng.h"
#include "target/target_fault.h"
#include "target/target_record.h"
#include "target/target_settings.h"

typedef struct target_job target_job_t;

/** Everything that the jobs of one target share. */
typedef struct target_pool {
	uv_loop_t *loop;
	const target_settings_t *settings;
	target_fault_t fault;
	target_record_t record;
	rng_t rng;
	int64_t started_ms;
	uv_timer_t watch;
	target_job_t *jobs; /**< running and queued */
	target_job_t *queue_head;
	target_job_t *queue_tail;
	int running;
	int queued;
	int refusing; /**< 1: all new requests are shed */
	uint64_t ran;
	uint64_t shed;
	uint64_t cancelled;
	int64_t load_at_ms;
	char load_text[96];
} target_pool_t;

/** Starts an empty pool; record must be open. */
void target_pool_init(
    target_pool_t *pool, uv_loop_t *loop, const target_settings_t *settings);

/** Runs, queues or sheds a request; always answers it in the end. */
void target_pool_submit(target_pool_t *pool, h2o_req_t *req);

/** @return value of X-Tm-Load; false if the faults say so */
const char *target_pool_get_load(target_pool_t *pool);

#endif
