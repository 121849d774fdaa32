/**
 * @file
 * Compares what requests were expected to cost with what they took, by service,
 * in the log and as metrics, and names the slowest targets. Reads no clock. See
 * docs/design/choice-of-target.md.
 */
#ifndef TM_GATE_GATE_COST_REPORT_H
#define TM_GATE_GATE_COST_REPORT_H

#include "base/metrics.h"
#include "gate/gate_table.h"

/** Targets that are named for a service. */
#define GATE_COST_SLOWEST_MAX 3
/** Time between two reports on a service. */
#define GATE_COST_REPORT_INTERVAL_MS 30000

/** A target and its speed. */
typedef struct gate_cost_slow {
	const gate_target_t *target;
	double slowness;
} gate_cost_slow_t;

/**
 * Lists the targets of a service that take longest for the same requests, the
 * slowest first.
 *
 * @param slowest  room for GATE_COST_SLOWEST_MAX
 * @return         number of targets; those without a recent response are left
 *                 out
 */
uint32_t gate_cost_report_list_slowest(
    const gate_service_t *service, int64_t now_ms, gate_cost_slow_t *slowest);

/** @return estimates and outcomes of a service since its last report, which
 *          becomes this one */
gate_cost_totals_t gate_cost_report_take(
    gate_service_t *service, int64_t now_ms);

/** Adds up the estimates and outcomes of all services. */
void gate_cost_report_sum(
    const gate_table_t *table, gate_cost_totals_t *totals);

/** Logs the services whose report is due and that had responses. */
void gate_cost_report_tick(gate_table_t *table, int64_t now_ms);

/** Updates the metrics of all services that had responses. */
void gate_cost_report_update_metrics(
    const gate_table_t *table, metrics_t *metrics, int64_t now_ms);

#endif
