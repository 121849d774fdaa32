/**
 * @file
 * Admission of requests to one service at this gate: the leader's decision on a
 * full service, or the gate's own while no leader answers, and the order in which
 * refused callers return. The service owns the state. Does no I/O and reads no
 * clock.
 */
#ifndef TM_GATE_GATE_SHARE_H
#define TM_GATE_GATE_SHARE_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "gate/gate_flows.h"
#include "proto/fleet.pb-c.h"

/** All zeros: the service is not full. */
typedef struct gate_share {
	uint32_t requests[FLEET_PRIORITY_CLASSES]; /**< since the last report */
	uint64_t soft_deadline_sum_ms; /**< of these requests */
	double shares[FLEET_PRIORITY_CLASSES]; /**< that the leader admits */
	int64_t decided_ms; /**< when the lease with them came; 0: never */
	int64_t wait_ms; /**< until there is likely to be room */
	double per_s; /**< requests that this gate may send meanwhile */
	int64_t return_ms; /**< when the next refused caller may return */
	double shed_share; /**< of the recent attempts */
	/** Mean part of a class's requests beyond what is usual for their flows. */
	double unusual[FLEET_PRIORITY_CLASSES];
	gate_flows_t workspaces;
	gate_flows_t routes;
} gate_share_t;

/** A request that is to be admitted. */
typedef struct gate_share_query {
	int32_t priority; /**< 0 is the most urgent */
	int64_t soft_deadline_ms; /**< a later response is worth less */
	uint64_t workspace; /**< 0: none */
	uint64_t route;
	int64_t lease_ms; /**< when the newest lease came; 0: none */
	int64_t now_ms;
} gate_share_query_t;

/** Applies the decision of a lease. @param gates  number of gates */
void gate_share_apply(gate_share_t *share, const Tm__Fleet__Admission *decision,
    uint32_t gates, int64_t now_ms);

/** Why a share of requests is admitted. */
typedef enum gate_share_reason {
	GATE_SHARE_NOT_FULL,
	GATE_SHARE_LEADER, /**< the decision of the newest lease */
	GATE_SHARE_ALONE /**< no lease lately: by what targets shed */
} gate_share_reason_t;

/** What gate_share_get() would return, and why. */
typedef struct gate_share_answer {
	gate_share_reason_t reason;
	uint32_t priority_class;
	double class_share; /**< of all requests of the class */
	double admitted; /**< of requests of this workspace and route */
} gate_share_answer_t;

/** @return how a request would be admitted; counts nothing */
gate_share_answer_t gate_share_preview(
    const gate_share_t *share, const gate_share_query_t *query);

/** Records whether a target had room for a request. */
void gate_share_record_attempt(gate_share_t *share, int is_shed);

/** Counts a request. @return probability with which it is to be sent */
double gate_share_get(gate_share_t *share, const gate_share_query_t *query);

/** Takes a counted request back that is refused for another reason than a full
 * service, so that others get its place. */
void gate_share_uncount(
    gate_share_t *share, int32_t priority, int64_t soft_deadline_ms);

/** @return time until a caller that is refused should return, in ms; callers
 *          get one time after the other */
int64_t gate_share_take_return_ms(gate_share_t *share, int64_t now_ms);

#endif
