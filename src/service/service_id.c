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

const char *
service_evidence_get_name(service_evidence_t evidence)
{
	static const char *const names[SERVICE_EVIDENCE_COUNT] = {
		[SERVICE_EVIDENCE_NONE] = "none",
		[SERVICE_EVIDENCE_FAILURES] = "failures",
		[SERVICE_EVIDENCE_REJECTED] = "rejections",
		[SERVICE_EVIDENCE_SLOW] = "latency",
		[SERVICE_EVIDENCE_LATE] = "outrun",
	};

	return (names[service_evidence_from_number((uint32_t)evidence)]);
}

service_evidence_t
service_evidence_from_number(uint32_t number)
{
	return (number < SERVICE_EVIDENCE_COUNT ? (service_evidence_t)number
						: SERVICE_EVIDENCE_NONE);
}

const char *
service_target_state_get_name(service_target_state_t state)
{
	switch (state) {
	case SERVICE_TARGET_EJECTED:
		return ("ejected");
	case SERVICE_TARGET_LEAVING:
		return ("leaving");
	case SERVICE_TARGET_LAPSED:
		return ("lapsed");
	default:
		return ("active");
	}
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
