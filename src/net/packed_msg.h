/**
 * @file
 * A message that is packed once and sent to many receivers: its fields cannot be
 * read, it can only be packed again. The owner frees it.
 */
#ifndef TM_NET_PACKED_MSG_H
#define TM_NET_PACKED_MSG_H

#include <stdint.h>

#include <protobuf-c/protobuf-c.h>

typedef struct packed_msg {
	ProtobufCMessage base; /**< to be sent */
	ProtobufCMessageUnknownField field;
	uint8_t *bytes; /**< NULL: empty */
} packed_msg_t;

/**
 * Packs a message in place of what was packed before. The first field that is set
 * must be a number of field 1 to 15.
 *
 * @return 0, TM_ENOMEM, TM_EINVAL for another first field
 */
int packed_msg_set(packed_msg_t *packed, const ProtobufCMessage *msg);

/** Frees the bytes; all zero is allowed. */
void packed_msg_release(packed_msg_t *packed);

#endif
