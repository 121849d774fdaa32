/**
 * @file
 * GET /v1/explain on the metrics listener of a gate: where a request would go
 * now, as JSON. The query names the request (host, path, method, bytes); the key
 * of a workspace comes as a bearer token and is neither logged nor returned.
 * Changes no state that requests depend on.
 */
#ifndef TM_GATE_GATE_EXPLAIN_HTTP_H
#define TM_GATE_GATE_EXPLAIN_HTTP_H

#include "gate/gate_defs.h"

/** @return 1 if a request is such a call */
int gate_explain_http_matches(const h2o_req_t *req);

/** Answers such a call. Counts calls, of which a second may have a few. */
void gate_explain_http_handle(gate_t *gate, h2o_req_t *req);

#endif
