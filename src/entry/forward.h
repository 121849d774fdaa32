/**
 * @file
 * What each entry program does to the messages that it passes between a caller
 * and a target: request lines, headers, and what ends at a hop.
 */
#ifndef TM_ENTRY_FORWARD_H
#define TM_ENTRY_FORWARD_H

#include <h2o.h>

#include "base/buffer.h"
#include "entry/keyguard.h"
#include "http/upstream.h"

/** Appends a text without its end. @return 0 or TM_ENOMEM */
int forward_append_text(buffer_t *out, const char *text);

/** Appends a header line. @return 0 or TM_ENOMEM */
int forward_append_header(
    buffer_t *out, keyguard_text_t name, keyguard_text_t value);

/**
 * Appends the request line and Host of a caller's request.
 *
 * @return 0 or TM_ENOMEM
 */
int forward_append_request_line(buffer_t *out, const h2o_req_t *req);

/** @return a request header; its texts point into the request */
keyguard_header_t forward_get_header(const h2o_headers_t *headers, size_t at);

/** @return 1 for a header that Connection restricts to the caller's hop */
int forward_is_caller_hop(const h2o_headers_t *headers, keyguard_text_t name);

/** @return 1 for a request whose length is told to the target */
int forward_has_body(const h2o_req_t *req);

/** @return 1 if a response header has a name, in any letter case */
int forward_name_equals(const upstream_header_t *header, const char *name);

/** Finds a response header. @return NULL if there is none */
const upstream_header_t *forward_find_header(
    const upstream_response_t *response, const char *name);

/**
 * Decides whether a response header goes to the caller: those of the hop to
 * the target, Server and Date do not.
 *
 * @return 1 or 0
 */
int forward_may_return(
    const upstream_response_t *response, const upstream_header_t *header);

/** Adds a header of a target's response, its name in lower case. */
void forward_add_header(h2o_req_t *req, const upstream_header_t *header);

/**
 * Ends the response to the caller, whose head is complete, with the body of the
 * target's. A large body is taken over, so that the response has none after it.
 *
 * @param budget  counts a large body until it is written
 */
void forward_send_body(h2o_req_t *req, const upstream_response_t *response,
    response_budget_t *budget);

#endif
