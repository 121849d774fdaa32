/* Frames of the message layer and its handshake messages. */
#include <stdlib.h>

#include "fuzz.h"
#include "net/peer.h"
#include "net/peer_frame.h"
#include "proto/net.pb-c.h"

static void
read_handshake(const frame_t *frame)
{
	Tm__PeerHello *hello =
	    tm__peer_hello__unpack(NULL, frame->len, frame->payload);

	if (hello != NULL)
		tm__peer_hello__free_unpacked(hello, NULL);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	frame_identity_t client = { .name = "a", .incarnation = 1 };
	frame_identity_t server = { .name = "b", .incarnation = 2 };
	frame_auth_t *auth = frame_auth_create("secret", &client, &server, 1);
	size_t limit = size > 0 && data[0] & 1 ? 512 : PEER_FRAME_MAX_BYTES;
	frame_t frame;

	while (frame_decode(data, size, limit, &frame) == 1) {
		if (frame.total_bytes > size || frame.total_bytes == 0)
			abort();
		if (frame_auth_verify(auth, &frame) == 0)
			abort();
		read_handshake(&frame);
		data += frame.total_bytes;
		size -= frame.total_bytes;
	}
	frame_auth_destroy(auth);
	return (0);
}
