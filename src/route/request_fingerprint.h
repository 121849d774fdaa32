/**
 * @file
 * Fingerprint of a request: equal for the same workspace, path and body,
 * whatever the request's id. Recognises a request that crashes targets when it
 * comes again. Keeps no state.
 */
#ifndef TM_ROUTE_REQUEST_FINGERPRINT_H
#define TM_ROUTE_REQUEST_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/** Texts that identify a request; none is NULL, all end with a NUL. */
typedef struct request_fingerprint_parts {
	const char *workspace; /**< "" without one */
	const char *scope; /**< route, or host of the request */
	const char *method;
	const char *path; /**< with query */
} request_fingerprint_parts_t;

/** @param body_hash  xxHash of the body, 0 without one */
uint64_t request_fingerprint_get(
    const request_fingerprint_parts_t *parts, uint64_t body_hash);

/** Hashes the length and the beginning of a body, up to
 * REQUEST_FINGERPRINT_BODY_MAX_BYTES. */
uint64_t request_fingerprint_hash_body(const void *body, size_t len);

/** Bounds the time that a long body takes. */
#define REQUEST_FINGERPRINT_BODY_MAX_BYTES 65536

#endif
