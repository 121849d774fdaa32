#include "gate/gate_evacuation.h"

#include <string.h>

#include "base/test_hooks.h"
#include "fleet/fleet_config.h"
#include "gate/gate_table.h"

int
gate_evacuation_set(gate_evacuation_t *list, char *const *names, size_t count)
{
	gate_evacuation_t before = *list;
	size_t i;

	list->count = 0;
	for (i = 0; i < count && i < FLEET_EVACUATIONS_MAX; i++)
		list->data_centres[list->count++] = fleet_name_hash(names[i]);
	return (list->count != before.count ||
	    memcmp(list->data_centres, before.data_centres,
		list->count * sizeof(list->data_centres[0])) != 0);
}

int
gate_evacuation_has(const gate_evacuation_t *list, uint64_t data_centre)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (list->data_centres[i] == data_centre)
			return (!test_hooks_is_off("evacuation"));
	}
	return (0);
}

int
gate_service_is_evacuated(const gate_service_t *service)
{
	const gate_target_t *target;
	int has_evacuated = 0;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		target = service->targets[i];
		if (target->state != FLEET_TARGET_READY || target->is_leaving)
			continue;
		if (!target->is_evacuated)
			return (0);
		has_evacuated = 1;
	}
	return (has_evacuated);
}
