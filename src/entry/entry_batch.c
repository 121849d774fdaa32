/*
 * Reports of several services to one leader VM, and its answers, in one
 * message. Each frame has 22 bytes and a tag to compute besides its payload.
 */
#include <stdlib.h>

#include "entry/entry_defs.h"
#include "net/msg_types.h"
#include "proto/service.pb-c.h"

#define PARTS_MAX 32
/* A batch that reaches this size is sent before the others. */
#define BATCH_BYTES 32768

typedef struct entry_batch {
	node_id_t to;
	size_t bytes;
	size_t count;
	ServicePart parts[PARTS_MAX];
	UT_hash_handle hh;
} entry_batch_t;

static entry_batch_t *
batch_get(entry_t *entry, node_id_t to)
{
	entry_batch_t *batch;

	HASH_FIND(hh, entry->batches, &to, sizeof(to), batch);
	if (batch != NULL)
		return (batch);
	batch = calloc(1, sizeof(*batch));
	if (batch == NULL)
		return (NULL);
	batch->to = to;
	HASH_ADD(hh, entry->batches, to, sizeof(batch->to), batch);
	return (batch);
}

static void
batch_send(entry_t *entry, entry_batch_t *batch)
{
	ServiceBatch msg = SERVICE_BATCH__INIT;
	ServicePart *list[PARTS_MAX];
	size_t i;

	for (i = 0; i < batch->count; i++)
		list[i] = &batch->parts[i];
	msg.parts = list;
	msg.n_parts = batch->count;
	entry_fleet_send(entry, batch->to, MSG_SERVICE_BATCH, &msg.base);
	for (i = 0; i < batch->count; i++)
		free(batch->parts[i].payload.data);
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(entry->batches, batch);
	free(batch);
}

void
entry_batch_add(
    entry_t *entry, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	entry_batch_t *batch = batch_get(entry, to);
	uint8_t *bytes = malloc(len);
	ServicePart *part;

	if (batch == NULL || bytes == NULL) {
		free(bytes);
		entry_fleet_send(entry, to, type, msg);
		return;
	}
	part = &batch->parts[batch->count++];
	service_part__init(part);
	part->type = type;
	part->payload.data = bytes;
	part->payload.len = protobuf_c_message_pack(msg, bytes);
	batch->bytes += len;
	if (batch->count == PARTS_MAX || batch->bytes >= BATCH_BYTES)
		batch_send(entry, batch);
}

void
entry_batch_flush(entry_t *entry)
{
	entry_batch_t *batch;
	entry_batch_t *next;

	HASH_ITER(hh, entry->batches, batch, next)
		batch_send(entry, batch);
}

void
entry_batch_handle(entry_t *entry, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	ServiceBatch *msg = service_batch__unpack(NULL, len, payload);
	const ServicePart *part;
	size_t i;

	if (msg == NULL)
		return;
	for (i = 0; i < msg->n_parts && i < PARTS_MAX; i++) {
		part = msg->parts[i];
		if (part->type == MSG_SERVICE_REPORT ||
		    part->type == MSG_SERVICE_SHARES)
			entry_fleet_dispatch_service(entry, from,
			    (uint16_t)part->type, part->payload.data,
			    part->payload.len, now_ms);
	}
	service_batch__free_unpacked(msg, NULL);
}
