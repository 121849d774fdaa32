#include "net/packed_msg.h"

#include <stdlib.h>

#include "base/error.h"

/* A tag of one byte holds the wire type in its lowest bits. */
#define WIRE_TYPE_BITS 3
#define WIRE_TYPE_MASK 7
#define TAG_CONTINUED  0x80

/* A message without fields of its own. */
static const ProtobufCMessageDescriptor descriptor = {
	.magic = PROTOBUF_C__MESSAGE_DESCRIPTOR_MAGIC,
	.name = "packed",
	.sizeof_message = sizeof(ProtobufCMessage),
};

/* The bytes after the first tag become the value of an unknown field, which is
 * packed as it is. */
static int
set_field(packed_msg_t *packed, size_t len)
{
	uint8_t tag;

	if (len == 0)
		return (TM_EINVAL);
	tag = packed->bytes[0];
	if ((tag & TAG_CONTINUED) != 0 ||
	    (tag & WIRE_TYPE_MASK) != PROTOBUF_C_WIRE_TYPE_VARINT)
		return (TM_EINVAL);
	packed->field = (ProtobufCMessageUnknownField){
		.tag = tag >> WIRE_TYPE_BITS,
		.wire_type = PROTOBUF_C_WIRE_TYPE_VARINT,
		.len = len - 1,
		.data = packed->bytes + 1,
	};
	packed->base = (ProtobufCMessage){
		.descriptor = &descriptor,
		.n_unknown_fields = 1,
		.unknown_fields = &packed->field,
	};
	return (TM_OK);
}

int
packed_msg_set(packed_msg_t *packed, const ProtobufCMessage *msg)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	int err;

	packed_msg_release(packed);
	packed->bytes = malloc(len + 1);
	if (packed->bytes == NULL)
		return (TM_ENOMEM);
	protobuf_c_message_pack(msg, packed->bytes);
	err = set_field(packed, len);
	if (err != TM_OK)
		packed_msg_release(packed);
	return (err);
}

void
packed_msg_release(packed_msg_t *packed)
{
	free(packed->bytes);
	*packed = (packed_msg_t){ .bytes = NULL };
}
