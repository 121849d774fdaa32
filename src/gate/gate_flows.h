/**
 * @file
 * Flows of requests for a service at one gate: those of a workspace, or of a
 * route. While the service is full, a flow that asks for much more than before
 * is refused first, so that one caller's burst does not take what others have.
 * The owner embeds the state, which is bounded. Does no I/O and reads no clock.
 */
#ifndef TM_GATE_GATE_FLOWS_H
#define TM_GATE_GATE_FLOWS_H

#include <stdint.h>

/** Flows that are kept for a service; the one that asked the longest ago makes
 * room for a new one. */
#define GATE_FLOWS_MAX 64

typedef struct gate_flow {
	uint64_t key; /**< 0: free */
	double recent; /**< requests, with a decay of seconds */
	double usual; /**< what recent is over a longer time */
	int64_t started_ms; /**< first request */
	int64_t updated_ms;
} gate_flow_t;

/** All zeros: no request so far. */
typedef struct gate_flows {
	gate_flow_t flows[GATE_FLOWS_MAX];
} gate_flows_t;

/**
 * Counts a request.
 *
 * @param key     of a workspace or a route; not 0
 * @param amount  part of the request that counts, 0 to 1
 * @param is_full  the service is full: what is usual changes slowly, as a burst
 *                must not become usual while it lasts
 * @return        part of the flow's requests that lies within what is usual for it,
 *             0 to 1
 */
double gate_flows_record(gate_flows_t *flows, uint64_t key, double amount,
    int is_full, int64_t now_ms);

#endif
