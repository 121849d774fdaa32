/**
 * @file
 * Attempts that take longer than their target should need: when one counts as
 * evidence against its target, and when the request is better sent to another
 * target, as a target that hangs never answers. Decides only.
 */
#ifndef TM_GATE_GATE_STALL_H
#define TM_GATE_GATE_STALL_H

#include <stdint.h>

/** An attempt is not stalled before it has made no progress for this time. */
#define GATE_STALL_MIN_MS 600

/** A running attempt of a request. */
typedef struct gate_stall {
	int64_t age_ms; /**< since it was sent */
	int64_t left_ms; /**< until the request's deadline */
	int64_t soft_deadline_ms; /**< of the request */
	double mean_ms; /**< mean latency of the service; 0: unknown */
	double utilization; /**< requests per slot of the service */
	int is_stopping; /**< the gate ends soon */
	/** Requests that look alike differ much in what they cost: one that is
	 * late need not be at a target that hangs. */
	int has_uneven_costs;
} gate_stall_t;

/** @return 1 if the attempt is evidence against its target */
int gate_stall_is_evidence(const gate_stall_t *stall);

/**
 * Decides whether a request that may be executed twice should be sent to another
 * target. With uneven costs, not with less time left than it has taken: if the
 * request is costly and its target does not hang, another target needs as long, and
 * the attempt that is ended might have succeeded in time. Not while the service is full: all its targets are slow then, and
 * repeated requests would add to its load. Not by a gate that stops: it may have
 * no time for another attempt, and has promised the caller the answer of this one.
 *
 * @return 1 if so
 */
int gate_stall_should_repeat(const gate_stall_t *stall);

#endif
