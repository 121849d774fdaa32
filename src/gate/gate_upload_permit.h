/**
 * @file
 * Permits of large requests: from the leading hub, which counts the bytes at each
 * target, or from this gate's share of the bound while no hub answers. Active if
 * the document has a route for uploads. The state is in gate_t.upload and in the
 * request. A request without room anywhere is refused as not run.
 */
#ifndef TM_GATE_GATE_UPLOAD_PERMIT_H
#define TM_GATE_GATE_UPLOAD_PERMIT_H

#include "gate/gate_request.h"

/** @return 1 if a request needs a permit for its size */
int gate_upload_permit_is_needed(const gate_request_t *request);

/**
 * Obtains a permit and sends the request, or refuses it.
 *
 * @param target      preferred one; NULL: any
 * @param has_leader  0: the gate's share of the bound decides
 */
void gate_upload_permit_acquire(
    gate_request_t *request, gate_target_t *target, int has_leader);

/** Records that a request was sent; one without a permit, as a probe, is counted
 * from now on. */
void gate_upload_permit_begin(
    gate_request_t *request, const gate_target_t *target);

/** Ends the permit of a request, if it has one. */
void gate_upload_permit_finish(gate_request_t *request, gate_upload_end_t how);

/** Reports to the leader what has ended. @param is_full  and what runs */
void gate_upload_permit_report(gate_t *gate, int is_full);

#endif
