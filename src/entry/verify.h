/**
 * @file
 * Checks that a complete response belongs to its request and arrived as the
 * target sent it.
 */
#ifndef TM_ENTRY_VERIFY_H
#define TM_ENTRY_VERIFY_H

#include "http/upstream.h"

/** What a check found. */
typedef enum verify_result {
	VERIFY_OK,
	VERIFY_OTHER_REQUEST, /**< X-Request-Id names another request */
	VERIFY_DIGEST /**< the body does not match Content-Digest */
} verify_result_t;

/**
 * Checks the headers that a target may send for this purpose: X-Request-Id
 * with the id of the request, and Content-Digest with a sha-256 of the body
 * (RFC 9530). A response without them passes.
 *
 * @param is_head  1 for a response to HEAD, whose body is absent
 */
verify_result_t verify_response(
    const upstream_response_t *response, const char *request_id, int is_head);

#endif
