/**
 * @file
 * Counts why connections to the targets of a service are opened, and reports it.
 * Reads no clock. See docs/OPERATIONS.md.
 */
#ifndef TM_GATE_GATE_CONNECTIONS_H
#define TM_GATE_GATE_CONNECTIONS_H

#include <stdint.h>

#include "base/metrics.h"
#include "http/upstream_origin.h"

/** Time between two reports on a service. */
#define GATE_CONNECTIONS_INTERVAL_MS 30000

struct gate_target;
struct gate_table;

/** Why an attempt goes to its target. Of several the last one counts. */
typedef enum gate_attempt_kind {
	GATE_ATTEMPT_MEMBER, /**< the gate prefers it, or has no subset */
	GATE_ATTEMPT_OUTSIDE, /**< it is not in the subset of the gate */
	GATE_ATTEMPT_RETRY, /**< the request had an attempt before */
	GATE_ATTEMPT_ASSIGNED, /**< the leader assigned it */
	GATE_ATTEMPT_PROBE, /**< the target is ejected */
	GATE_ATTEMPT_KINDS
} gate_attempt_kind_t;

/** What gate_connections_classify() needs to know of an attempt. */
typedef struct gate_attempt_origin {
	int is_probe;
	int is_assigned;
	int is_retry;
} gate_attempt_origin_t;

/** Attempts on a service since its last report; starts as zero. */
typedef struct gate_connections {
	uint32_t counts[GATE_ATTEMPT_KINDS][UPSTREAM_ORIGINS];
	/** Attempts for which the choice assumed an idle connection that there
	 * was not. */
	uint32_t unexpected[GATE_ATTEMPT_KINDS];
	int64_t since_ms; /**< time of the last report; 0: none was due yet */
} gate_connections_t;

/** @return why an attempt goes to a target */
gate_attempt_kind_t gate_connections_classify(
    const struct gate_target *target, const gate_attempt_origin_t *attempt);

/**
 * Counts an attempt. What the pool remembers goes by address and ends a while
 * after the last connection: the first connection to a target since it came into
 * use is UPSTREAM_ORIGIN_FIRST, and no later one is.
 *
 * @param is_expected  the choice assumed an idle connection
 * @return             the origin that was counted
 */
upstream_origin_t gate_connections_record(struct gate_target *target,
    gate_attempt_kind_t kind, upstream_origin_t origin, int is_expected);

/** Counts an attempt in the metrics, if it opened a connection. */
void gate_connections_update_metrics(
    metrics_t *metrics, gate_attempt_kind_t kind, upstream_origin_t origin);

/** Logs the services whose report is due and starts their counts anew. */
void gate_connections_tick(struct gate_table *table, int64_t now_ms);

#endif
