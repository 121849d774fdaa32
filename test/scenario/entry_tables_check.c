#include "entry_tables_check.h"

#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "entry/entry_defs.h"
#include "net/msg_types.h"
#include "proto/service.pb-c.h"

#define PEER_ID	     77
#define BUFFER_BYTES 1024

/* Reachable until the end of the process; there is no destructor. */
static entry_t *vm;
static entry_settings_t settings;
static node_id_t only_peer[] = { PEER_ID };

/* The peer has no address, so each message to it counts as dropped. */
static uint64_t
count_messages(void)
{
	return (peer_net_get_stats(vm->net)->dropped_count);
}

int
entry_tables_start(uint32_t services)
{
	char name[NAME_MAX_BYTES + 1];
	uint32_t i;
	int err;

	snprintf(settings.node, sizeof(settings.node), "entry-1");
	snprintf(settings.data_centre, sizeof(settings.data_centre), "dc-1");
	snprintf(settings.secrets[0], sizeof(settings.secrets[0]),
	    "secret-of-this-test");
	settings.secret_count = 1;
	uv_ip4_addr("127.0.0.1", 0, &settings.listen);
	uv_ip4_addr("127.0.0.1", 0, &settings.ops_listen);
	uv_ip4_addr("127.0.0.1", 0, &settings.peer_listen);
	err = entry_create(&vm, &settings, uv_default_loop());
	if (err != TM_OK)
		return (err);
	for (i = 0; i < services; i++) {
		snprintf(name, sizeof(name), "s%u", i);
		if (entry_service_get(vm, name) == NULL)
			return (TM_ENOMEM);
	}
	vm->peers = only_peer;
	vm->peer_count = 1;
	return (TM_OK);
}

void
entry_tables_load(uint64_t sequence)
{
	ServiceTableTarget row = SERVICE_TABLE_TARGET__INIT;
	ServiceTableTarget *rows[] = { &row };
	ServiceTable msg = SERVICE_TABLE__INIT;
	entry_service_t *service = entry_service_find(vm, "s0");
	uint8_t bytes[BUFFER_BYTES];
	size_t len;

	row.target = "t1";
	row.incarnation = 1;
	row.ip = "127.0.0.1";
	row.port = 9;
	row.slots = 1;
	row.connection_cap = 10;
	msg.service = service->id;
	msg.term = 1;
	msg.sequence = sequence;
	msg.targets = rows;
	msg.n_targets = 1;
	len = service_table__pack(&msg, bytes);
	service_view_handle(service->view, PEER_ID, MSG_SERVICE_TABLE, bytes,
	    len, clock_now_ms());
}

uint64_t
entry_tables_deliver(uint64_t sequence)
{
	ServiceVersion known = SERVICE_VERSION__INIT;
	ServiceVersion unknown = SERVICE_VERSION__INIT;
	ServiceVersion *list[] = { &unknown, &known };
	ServiceVersions msg = SERVICE_VERSIONS__INIT;
	uint64_t before = count_messages();
	uint8_t bytes[BUFFER_BYTES];
	size_t len;

	unknown.service = 1;
	unknown.term = 9;
	known.service = entry_service_find(vm, "s0")->id;
	known.term = 1;
	known.sequence = sequence;
	msg.versions = list;
	msg.n_versions = 2;
	len = service_versions__pack(&msg, bytes);
	entry_tables_handle(vm, PEER_ID, bytes, len, clock_now_ms());
	return (count_messages() - before);
}

uint64_t
entry_tables_deliver_garbage(void)
{
	const uint8_t bytes[] = { 0xff, 0xff, 0xff, 0x01 };
	uint64_t before = count_messages();

	entry_tables_handle(vm, PEER_ID, bytes, sizeof(bytes), clock_now_ms());
	return (count_messages() - before);
}

uint64_t
entry_tables_run_tick(int64_t now_ms)
{
	uint64_t before = count_messages();

	entry_tables_tick(vm, now_ms);
	return (count_messages() - before);
}
