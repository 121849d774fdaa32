#include "hub/hub_load.h"

#include <math.h>
#include <stdlib.h>

#include "base/clock.h"

/* Older reports are ignored. */
#define LOAD_MAX_AGE_MS 1500
/* Weight of one update in the moving average of the time of a request. */
#define WORK_WEIGHT 0.1
/* Shorter requests have ended by the time at which a gate hears of them. */
#define FULL_WORK_MIN_MS 400

typedef struct target_load {
	uint64_t key;
	uint32_t requests;
	int64_t received_ms;
	UT_hash_handle hh;
} target_load_t;

typedef struct service_load {
	uint64_t id;
	double requests; /* of targets in use with a current load */
	double slots;
	double slots_in_use; /* of all targets in use */
	double work_ms;
	uint32_t successes; /* since the last update */
	uint64_t latency_sum_ms;
	UT_hash_handle hh;
} service_load_t;

struct hub_load {
	target_load_t *targets;
	service_load_t *services;
	const hub_signals_t *signals; /* NULL: none */
	hub_utilization_t list[HUB_LOAD_SERVICES_MAX];
	size_t count;
	hub_full_targets_t full;
};

hub_load_t *
hub_load_create(void)
{
	return (calloc(1, sizeof(hub_load_t)));
}

void
hub_load_destroy(hub_load_t *load)
{
	target_load_t *target;
	target_load_t *next;
	service_load_t *service;
	service_load_t *next_service;

	if (load == NULL)
		return;
	HASH_ITER(hh, load->targets, target, next) {
		HASH_DELETE(hh, load->targets, target);
		free(target);
	}
	HASH_ITER(hh, load->services, service, next_service) {
		HASH_DELETE(hh, load->services, service);
		free(service);
	}
	free(load);
}

static service_load_t *
get_service(hub_load_t *load, uint64_t id)
{
	service_load_t *service;

	HASH_FIND(hh, load->services, &id, sizeof(id), service);
	if (service != NULL)
		return (service);
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return (NULL);
	service->id = id;
	HASH_ADD(hh, load->services, id, sizeof(service->id), service);
	return (service);
}

void
hub_load_record(
    hub_load_t *load, uint64_t key, uint32_t requests, int64_t now_ms)
{
	target_load_t *target;

	HASH_FIND(hh, load->targets, &key, sizeof(key), target);
	if (target == NULL) {
		target = calloc(1, sizeof(*target));
		if (target == NULL)
			return;
		target->key = key;
		HASH_ADD(hh, load->targets, key, sizeof(target->key), target);
	}
	target->requests = requests;
	target->received_ms = now_ms;
}

void
hub_load_record_successes(
    hub_load_t *load, uint64_t id, uint32_t count, uint32_t latency_sum_ms)
{
	service_load_t *service = get_service(load, id);

	if (service == NULL)
		return;
	service->successes += count;
	service->latency_sum_ms += latency_sum_ms;
}

/* Drops old reports, and with them those of removed targets. */
static void
remove_expired(hub_load_t *load, int64_t now_ms)
{
	target_load_t *target;
	target_load_t *next;

	HASH_ITER(hh, load->targets, target, next) {
		if (now_ms - target->received_ms <= LOAD_MAX_AGE_MS)
			continue;
		HASH_DELETE(hh, load->targets, target);
		free(target);
	}
}

void
hub_load_set_signals(hub_load_t *load, const hub_signals_t *signals)
{
	load->signals = signals;
}

/* @return slots of a target that requests may use: a limit leaves the rest
 * empty */
static double
get_usable_slots(const hub_load_t *load, const service_load_t *service,
    const hub_target_t *target, int64_t now_ms)
{
	double limit_per_s = -1;

	if (load->signals != NULL)
		limit_per_s = hub_signals_get_rate_per_s(load->signals,
		    &(hub_signal_key_t){ target->key, target->as.born_ms },
		    now_ms);
	if (limit_per_s < 0 || service->work_ms <= 0)
		return (target->as.slots);
	return (fmin(target->as.slots,
	    limit_per_s * service->work_ms / (double)MS_PER_SEC));
}

static void
list_if_full(hub_load_t *load, const service_load_t *service,
    const hub_target_t *target, const target_load_t *reported)
{
	hub_full_targets_t *full = &load->full;

	if (service->work_ms < FULL_WORK_MIN_MS ||
	    reported->requests < target->as.slots ||
	    full->count == HUB_LOAD_FULL_MAX)
		return;
	full->keys[full->count] = target->key;
	full->requests[full->count] = reported->requests;
	full->reported_ms[full->count++] = reported->received_ms;
}

static void
add_target(hub_load_t *load, const hub_target_t *target, int64_t now_ms)
{
	service_load_t *service =
	    get_service(load, fleet_name_hash(target->as.service));
	target_load_t *reported;
	double usable;

	HASH_FIND(
	    hh, load->targets, &target->key, sizeof(target->key), reported);
	if (service == NULL)
		return;
	usable = get_usable_slots(load, service, target, now_ms);
	service->slots_in_use += usable;
	if (reported == NULL)
		return;
	service->requests += reported->requests;
	service->slots += usable;
	list_if_full(load, service, target, reported);
}

static double
get_utilization(const service_load_t *service)
{
	return (service->slots > 0 ? service->requests / service->slots : 0);
}

/* Updates the mean time of a request without waiting. In a full target a
 * request takes this time once for each request that shares its slot. */
static void
update_work(service_load_t *service)
{
	double utilization = get_utilization(service);
	double work_ms;

	if (service->successes == 0)
		return;
	work_ms = (double)service->latency_sum_ms / service->successes;
	if (utilization > 1)
		work_ms /= utilization;
	if (service->work_ms <= 0)
		service->work_ms = work_ms;
	else
		service->work_ms += WORK_WEIGHT * (work_ms - service->work_ms);
	service->successes = 0;
	service->latency_sum_ms = 0;
}

void
hub_load_update(hub_load_t *load, const hub_state_t *state,
    const hub_outlier_t *outlier, int64_t now_ms)
{
	const hub_target_t *target;
	service_load_t *service;
	service_load_t *next;

	remove_expired(load, now_ms);
	HASH_ITER(hh, load->services, service, next) {
		service->requests = 0;
		service->slots = 0;
		service->slots_in_use = 0;
	}
	load->full.count = 0;
	for (target = state->targets; target != NULL;
	     target = target->hh.next) {
		if (target->as.state == FLEET_TARGET_READY &&
		    !hub_evacuations_has(
			&state->evacuations, target->as.zone) &&
		    hub_outlier_get_verdict(outlier, target->key) ==
			FLEET_VERDICT_HEALTHY)
			add_target(load, target, now_ms);
	}
	load->count = 0;
	HASH_ITER(hh, load->services, service, next) {
		update_work(service);
		if (load->count == HUB_LOAD_SERVICES_MAX)
			continue;
		load->list[load->count++] = (hub_utilization_t){
			.service = service->id,
			.load = get_utilization(service),
			.work_ms = service->work_ms,
			.slots = service->slots > 0 ? service->slots_in_use : 0,
		};
	}
}

const hub_full_targets_t *
hub_load_get_full(const hub_load_t *load)
{
	return (&load->full);
}

const hub_utilization_t *
hub_load_list(const hub_load_t *load, size_t *count)
{
	*count = load->count;
	return (load->list);
}
