/**
 * @file
 * Frames of the message layer and their authentication, without I/O.
 */
#ifndef TM_NET_PEER_FRAME_H
#define TM_NET_PEER_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"

#define FRAME_LENGTH_BYTES 4
#define FRAME_TYPE_BYTES   2
#define FRAME_TAG_BYTES	   16
/** Bytes of a frame without payload, its length field included. */
#define FRAME_OVERHEAD_BYTES \
	(FRAME_LENGTH_BYTES + FRAME_TYPE_BYTES + FRAME_TAG_BYTES)
#define FRAME_NONCE_BYTES 16
#define FRAME_KEY_BYTES	  32

/** Authenticator of one direction of a connection. */
typedef struct frame_auth frame_auth_t;

/** What both sides mix into the key of a connection. */
typedef struct frame_identity {
	const char *name;
	uint64_t incarnation;
	uint8_t nonce[FRAME_NONCE_BYTES];
} frame_identity_t;

/** A decoded frame; payload points into the input. */
typedef struct frame {
	uint16_t type;
	const uint8_t *payload;
	size_t len;
	const uint8_t *tag;
	size_t total_bytes; /**< bytes of the frame in the input */
} frame_t;

/**
 * Derives the key of one direction.
 *
 * @param secret     fleet secret
 * @param client     side that connected
 * @param server     side that accepted
 * @param to_server  direction
 * @return           NULL if memory is exhausted
 */
frame_auth_t *frame_auth_create(const char *secret,
    const frame_identity_t *client, const frame_identity_t *server,
    int to_server);

/** Frees an authenticator; NULL is allowed. */
void frame_auth_destroy(frame_auth_t *auth);

/**
 * Writes the tag of the next frame of this direction and counts the frame.
 *
 * @return 0 or TM_ENOMEM
 */
int frame_auth_sign(frame_auth_t *auth, uint16_t type, const uint8_t *payload,
    size_t len, uint8_t tag[FRAME_TAG_BYTES]);

/**
 * Checks the tag of the next frame in constant time; counts it if it is
 * right.
 *
 * @return 0, TM_EAUTH for a wrong tag, TM_ENOMEM
 */
int frame_auth_verify(frame_auth_t *auth, const frame_t *frame);

/**
 * Reads the frame at the start of a buffer.
 *
 * @param max_bytes  longest frame without its length field
 * @return           1 if a frame is complete, 0 if more bytes are needed,
 *                   TM_ETOOBIG or TM_EFORMAT for a bad length
 */
int frame_decode(
    const uint8_t *buf, size_t len, size_t max_bytes, frame_t *frame);

/** Writes the length and type fields; out holds at least 6 bytes. */
void frame_write_head(uint8_t *out, uint16_t type, size_t payload_len);

#endif
