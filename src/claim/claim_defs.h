/**
 * @file
 * Message types of claims.
 */
#ifndef TM_CLAIM_CLAIM_DEFS_H
#define TM_CLAIM_CLAIM_DEFS_H

#include "net/msg_types.h"

#define MSG_CLAIM_ASK	     (MSG_CLAIM_BASE + 0)
#define MSG_CLAIM_FINISH     (MSG_CLAIM_BASE + 1)
#define MSG_CLAIM_RELEASE    (MSG_CLAIM_BASE + 2)
#define MSG_CLAIM_REPLY	     (MSG_CLAIM_BASE + 5)
#define MSG_CLAIM_FINISH_ACK (MSG_CLAIM_BASE + 6)

/** First bytes of the SHA-256 of workspace, a zero byte and request id. */
#define CLAIM_DIGEST_BYTES 16

#endif
