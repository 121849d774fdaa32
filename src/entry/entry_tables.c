/* Comparison of table versions between VMs, for many services at once. */
#include "entry/entry_defs.h"
#include "net/msg_types.h"
#include "proto/service.pb-c.h"

/* The same interval as between two views that compare one service. */
#define COMPARE_MS 400
/* 160 services take 2 s; all versions in each message would take 8 KB/s. */
#define VERSIONS_MAX 32

/* Services in turn; the next message starts where this one ends. */
static size_t
tables_fill(entry_t *entry, ServiceVersion *versions, ServiceVersion **list)
{
	entry_service_t *service = entry->next_compared;
	size_t total = HASH_COUNT(entry->services);
	size_t count = 0;

	while (count < VERSIONS_MAX && count < total) {
		if (service == NULL)
			service = entry->services;
		service_version__init(&versions[count]);
		versions[count].service = service->id;
		service_view_get_version(service->view, &versions[count].term,
		    &versions[count].sequence);
		list[count] = &versions[count];
		count++;
		service = service->hh.next;
	}
	entry->next_compared = service;
	return (count);
}

void
entry_tables_tick(entry_t *entry, int64_t now_ms)
{
	ServiceVersions msg = SERVICE_VERSIONS__INIT;
	ServiceVersion versions[VERSIONS_MAX];
	ServiceVersion *list[VERSIONS_MAX];
	node_id_t peer;

	if (entry->peer_count == 0 || now_ms - entry->compared_ms < COMPARE_MS)
		return;
	entry->compared_ms = now_ms;
	peer = entry->peers[rng_below(&entry->rng, entry->peer_count)];
	msg.n_versions = tables_fill(entry, versions, list);
	msg.versions = list;
	if (msg.n_versions > 0)
		entry_fleet_send(entry, peer, MSG_SERVICE_VERSIONS, &msg.base);
}

void
entry_tables_handle(entry_t *entry, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	ServiceVersions *msg = service_versions__unpack(NULL, len, payload);
	const ServiceVersion *version;
	entry_service_t *service;
	size_t i;

	if (msg == NULL)
		return;
	for (i = 0; i < msg->n_versions && i < VERSIONS_MAX; i++) {
		version = msg->versions[i];
		service = entry_service_find_id(entry, version->service);
		if (service != NULL)
			service_view_handle_version(service->view, from,
			    version->term, version->sequence, now_ms);
	}
	service_versions__free_unpacked(msg, NULL);
}
