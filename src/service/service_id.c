#include "service/service_defs.h"

#include <string.h>

#include <xxhash.h>

#include "base/error.h"

/* Tag of field 1 with wire type 1 (64 bit). */
#define SERVICE_FIELD_TAG 0x09

uint64_t
service_id_from_name(const char *name)
{
	return (XXH64(name, strlen(name), 0));
}

uint64_t
service_fingerprint(const char *workspace, const char *route,
    const char *method, const char *path, uint64_t body_hash)
{
	const char *parts[] = { workspace, route, method, path };
	uint64_t hash = body_hash;
	size_t i;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		hash = XXH64(parts[i], strlen(parts[i]) + 1, hash);
	return (hash);
}

int
service_message_get_service(
    uint16_t type, const uint8_t *payload, size_t len, uint64_t *id)
{
	int i;

	if (type < MSG_SERVICE_REPORT || type > MSG_SERVICE_VERSION)
		return (TM_EFORMAT);
	if (len < 9 || payload[0] != SERVICE_FIELD_TAG)
		return (TM_EFORMAT);
	*id = 0;
	for (i = 8; i >= 1; i--)
		*id = (*id << 8) | payload[i];
	return (TM_OK);
}
