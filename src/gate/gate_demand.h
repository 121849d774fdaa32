/**
 * @file
 * What a gate and the leader tell each other about full services: the requests
 * that callers sent, and the leader's decisions. Does no I/O and reads no clock.
 */
#ifndef TM_GATE_GATE_DEMAND_H
#define TM_GATE_GATE_DEMAND_H

#include <stddef.h>
#include <stdint.h>

#include "gate/gate_table.h"
#include "proto/fleet.pb-c.h"

/** Services that one report names; the others are in no report. */
#define GATE_DEMANDS_MAX 160

/** Memory of a report, to which its message refers. */
typedef struct gate_demands {
	Tm__Fleet__Demand msgs[GATE_DEMANDS_MAX];
	Tm__Fleet__Demand *pointers[GATE_DEMANDS_MAX];
} gate_demands_t;

/** Adds the requests since the last report. */
void gate_demand_fill(
    gate_demands_t *demands, const gate_table_t *table, Tm__Fleet__Join *join);

/** Begins a new report: the last one was sent to the leader. */
void gate_demand_reset(const gate_table_t *table);

/** Applies the decisions of a lease. @param gates  number of gates */
void gate_demand_apply(const gate_table_t *table,
    Tm__Fleet__Admission *const *admissions, size_t count, uint32_t gates,
    int64_t now_ms);

#endif
