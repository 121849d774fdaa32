#include "gate/gate_probe.h"

#include "gate/gate_choice.h"

#define KEEP_MS 500

int
gate_probe_keep(gate_service_t *service, uint64_t target, int64_t now_ms)
{
	if (service->kept_probe != 0)
		return (0);
	service->kept_probe = target;
	service->kept_probe_ms = now_ms;
	return (1);
}

static gate_target_t *
find_target(const gate_service_t *service, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		if (service->targets[i]->key == key)
			return (service->targets[i]);
	}
	return (NULL);
}

void
gate_probe_use_offer(gate_service_t *service)
{
	service->idle_ms = 0;
	service->has_offers = 1;
}

/* A leader that offers targets to single gates opens them to any request without
 * a verdict that says so. */
static int
allows_kept_probe(const gate_service_t *service, const gate_target_t *target,
    const gate_pick_options_t *options)
{
	return (options->may_repeat || target->verdict == FLEET_VERDICT_PROBE ||
	    (service->has_offers && target->verdict != FLEET_VERDICT_HEALTHY));
}

gate_target_t *
gate_probe_find(
    const gate_service_t *service, const gate_pick_options_t *options)
{
	gate_target_t *target;

	if (service->kept_probe == 0)
		return (NULL);
	target = find_target(service, service->kept_probe);
	if (target == NULL || !gate_target_is_usable(target, options) ||
	    !allows_kept_probe(service, target, options))
		return (NULL);
	return (target);
}

gate_target_t *
gate_probe_take(gate_service_t *service, const gate_pick_options_t *options)
{
	gate_target_t *target = gate_probe_find(service, options);

	if (target != NULL)
		service->kept_probe = 0;
	return (target);
}

uint64_t
gate_probe_drop(gate_service_t *service, int64_t now_ms)
{
	uint64_t target = service->kept_probe;

	if (target == 0 || now_ms - service->kept_probe_ms < KEEP_MS)
		return (0);
	service->kept_probe = 0;
	return (target);
}
