#include "hub/hub_upload.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "base/error.h"

/* The usual bytes at a target are a mean over this time, so that a burst does not
 * count as usual soon. */
#define USUAL_MS  30000.0
#define SAMPLE_MS 100
/* A bound rises by this factor per step while targets fill most of it. */
#define RISE	     1.03
#define RISE_STEP_MS 5000
#define FULL_SHARE   0.8
/* Near what a target held when it crashed, it rises more slowly. */
#define NEAR_CRASH   0.9
#define NEAR_STEP_MS 60000
/* Weight of the newest request in the mean duration of uploads. */
#define DURATION_WEIGHT	  0.1
#define DURATION_FIRST_MS 500.0
#define RETRY_MIN_MS	  100
#define RETRY_MAX_MS	  10000
#define REFUSALS_MS	  1000

typedef struct upload_permit {
	uint64_t key[2]; /* gate and id */
	hub_upload_permit_t as;
	int64_t since_ms;
	int is_broken;
	UT_hash_handle hh;
} upload_permit_t;

typedef struct upload_target {
	uint64_t key;
	uint64_t incarnation_ms;
	uint64_t service;
	uint64_t bytes;
	uint32_t permits;
	UT_hash_handle hh;
} upload_target_t;

typedef struct upload_service {
	uint64_t id;
	double bound; /* 0: unknown */
	double crashed_at; /* least that a target held when it crashed */
	double usual; /* mean bytes at a target */
	int has_usual;
	double duration_ms;
	int64_t changed_ms; /* of bound */
	int is_filled; /* a target responded while it held nearly the bound */
	uint32_t permits;
	uint32_t refusals; /* since refusals_ms */
	int64_t refusals_ms;
	UT_hash_handle hh;
} upload_service_t;

typedef struct upload_gate {
	node_id_t id;
	uint64_t incarnation;
	int64_t heard_ms;
	UT_hash_handle hh;
} upload_gate_t;

struct hub_upload {
	double memory_bound; /* 0: learned */
	int64_t since_ms;
	int64_t sample_due_ms;
	upload_permit_t *permits;
	upload_target_t *targets;
	upload_service_t *services;
	upload_gate_t *gates;
};

hub_upload_t *
hub_upload_create(uint64_t memory_bytes)
{
	hub_upload_t *upload = calloc(1, sizeof(*upload));

	if (upload != NULL)
		upload->memory_bound =
		    HUB_UPLOAD_MEMORY_SHARE * (double)memory_bytes;
	return (upload);
}

static upload_target_t *
find_target(const hub_upload_t *upload, uint64_t key)
{
	upload_target_t *target;

	HASH_FIND(hh, upload->targets, &key, sizeof(key), target);
	return (target);
}

static upload_service_t *
find_service(const hub_upload_t *upload, uint64_t id)
{
	upload_service_t *service;

	HASH_FIND(hh, upload->services, &id, sizeof(id), service);
	return (service);
}

static upload_service_t *
get_service(hub_upload_t *upload, uint64_t id)
{
	upload_service_t *service = find_service(upload, id);

	if (service != NULL)
		return (service);
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return (NULL);
	service->id = id;
	service->bound = upload->memory_bound;
	service->duration_ms = DURATION_FIRST_MS;
	HASH_ADD(hh, upload->services, id, sizeof(service->id), service);
	return (service);
}

static void
remove_target(hub_upload_t *upload, upload_target_t *target)
{
	HASH_DELETE(hh, upload->targets, target);
	free(target);
}

static upload_target_t *
get_target(hub_upload_t *upload, const hub_upload_permit_t *permit)
{
	upload_target_t *target = find_target(upload, permit->target);

	if (target != NULL)
		return (target);
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return (NULL);
	target->key = permit->target;
	target->incarnation_ms = permit->incarnation_ms;
	target->service = permit->service;
	HASH_ADD(hh, upload->targets, key, sizeof(target->key), target);
	return (target);
}

static void
remove_permit(hub_upload_t *upload, upload_permit_t *permit)
{
	upload_target_t *target = find_target(upload, permit->as.target);
	upload_service_t *service = find_service(upload, permit->as.service);

	if (target != NULL) {
		target->bytes -= permit->as.bytes;
		target->permits--;
		if (target->permits == 0)
			remove_target(upload, target);
	}
	if (service != NULL)
		service->permits--;
	HASH_DELETE(hh, upload->permits, permit);
	free(permit);
}

static void
remove_permits_of_target(hub_upload_t *upload, uint64_t target)
{
	upload_permit_t *permit;
	upload_permit_t *next;

	HASH_ITER(hh, upload->permits, permit, next) {
		if (permit->as.target == target)
			remove_permit(upload, permit);
	}
}

static void
remove_permits_of_gate(hub_upload_t *upload, node_id_t gate)
{
	upload_permit_t *permit;
	upload_permit_t *next;

	HASH_ITER(hh, upload->permits, permit, next) {
		if (permit->as.gate == gate)
			remove_permit(upload, permit);
	}
}

void
hub_upload_reset(hub_upload_t *upload, int64_t now_ms)
{
	upload_permit_t *permit;
	upload_permit_t *next_permit;
	upload_service_t *service;
	upload_service_t *next_service;
	upload_gate_t *gate;
	upload_gate_t *next_gate;

	HASH_ITER(hh, upload->permits, permit, next_permit)
		remove_permit(upload, permit);
	HASH_ITER(hh, upload->services, service, next_service) {
		HASH_DELETE(hh, upload->services, service);
		free(service);
	}
	HASH_ITER(hh, upload->gates, gate, next_gate) {
		HASH_DELETE(hh, upload->gates, gate);
		free(gate);
	}
	upload->since_ms = now_ms;
}

void
hub_upload_destroy(hub_upload_t *upload)
{
	if (upload == NULL)
		return;
	hub_upload_reset(upload, 0);
	free(upload);
}

int
hub_upload_is_settled(const hub_upload_t *upload, int64_t now_ms)
{
	return (now_ms - upload->since_ms >= HUB_UPLOAD_SETTLE_MS);
}

/* @return a gate, in no incarnation yet if it is new; NULL without memory */
static upload_gate_t *
get_gate(hub_upload_t *upload, node_id_t id, int64_t now_ms)
{
	upload_gate_t *gate;

	HASH_FIND(hh, upload->gates, &id, sizeof(id), gate);
	if (gate != NULL)
		return (gate);
	gate = calloc(1, sizeof(*gate));
	if (gate == NULL)
		return (NULL);
	gate->id = id;
	gate->heard_ms = now_ms;
	HASH_ADD(hh, upload->gates, id, sizeof(gate->id), gate);
	return (gate);
}

void
hub_upload_hear(hub_upload_t *upload, node_id_t gate, uint64_t gate_incarnation,
    int64_t now_ms)
{
	upload_gate_t *heard = get_gate(upload, gate, now_ms);

	if (heard == NULL)
		return;
	if (heard->incarnation != 0 && heard->incarnation != gate_incarnation)
		remove_permits_of_gate(upload, gate);
	heard->incarnation = gate_incarnation;
	heard->heard_ms = now_ms;
}

uint64_t
hub_upload_get_bytes(
    const hub_upload_t *upload, uint64_t target, uint64_t incarnation_ms)
{
	const upload_target_t *found = find_target(upload, target);

	return (found != NULL && found->incarnation_ms == incarnation_ms
		? found->bytes
		: 0);
}

uint64_t
hub_upload_get_bound(const hub_upload_t *upload, uint64_t service)
{
	const upload_service_t *found = find_service(upload, service);

	return (
	    (uint64_t)(found != NULL ? found->bound : upload->memory_bound));
}

int
hub_upload_has_room(const hub_upload_t *upload, uint64_t target,
    uint64_t incarnation_ms, uint64_t service, uint64_t bytes)
{
	uint64_t bound = hub_upload_get_bound(upload, service);
	uint64_t held = hub_upload_get_bytes(upload, target, incarnation_ms);

	return (bound == 0 || held == 0 || held + bytes <= bound);
}

static upload_permit_t *
find_permit(const hub_upload_t *upload, node_id_t gate, uint32_t id)
{
	const uint64_t key[] = { gate, id };
	upload_permit_t *permit;

	/* The analyzer does not follow the bytes of the array. */
	/* NOLINTNEXTLINE(clang-analyzer-core.UndefinedBinaryOperatorResult) */
	HASH_FIND(hh, upload->permits, key, sizeof(key), permit);
	return (permit);
}

int
hub_upload_add(
    hub_upload_t *upload, const hub_upload_permit_t *permit, int64_t now_ms)
{
	upload_target_t *target = find_target(upload, permit->target);
	upload_service_t *service = get_service(upload, permit->service);
	upload_permit_t *added;

	if (find_permit(upload, permit->gate, permit->id) != NULL)
		return (TM_OK);
	/* A gate may report a request of the incarnation before late. */
	if (target != NULL && permit->incarnation_ms < target->incarnation_ms)
		return (TM_OK);
	if (target != NULL && permit->incarnation_ms > target->incarnation_ms)
		remove_permits_of_target(upload, permit->target);
	get_gate(upload, permit->gate, now_ms);
	target = get_target(upload, permit);
	added = calloc(1, sizeof(*added));
	if (service == NULL || target == NULL || added == NULL) {
		if (target != NULL && target->permits == 0)
			remove_target(upload, target);
		free(added);
		return (TM_ENOMEM);
	}
	added->key[0] = permit->gate;
	added->key[1] = permit->id;
	added->as = *permit;
	added->since_ms = now_ms;
	HASH_ADD(hh, upload->permits, key, sizeof(added->key), added);
	target->bytes += permit->bytes;
	target->permits++;
	service->permits++;
	return (TM_OK);
}

/* A target that responds while it holds nearly the bound shows that the bound may
 * rise. */
static void
record_answer(
    hub_upload_t *upload, const upload_permit_t *permit, int64_t now_ms)
{
	upload_service_t *service = find_service(upload, permit->as.service);
	const upload_target_t *target = find_target(upload, permit->as.target);

	if (service == NULL || target == NULL)
		return;
	service->duration_ms += DURATION_WEIGHT *
	    ((double)(now_ms - permit->since_ms) - service->duration_ms);
	if (service->bound > 0 &&
	    (double)target->bytes >= FULL_SHARE * service->bound)
		service->is_filled = 1;
}

void
hub_upload_finish(hub_upload_t *upload, node_id_t gate, uint32_t id,
    hub_upload_end_t how, int64_t now_ms)
{
	upload_permit_t *permit = find_permit(upload, gate, id);

	if (permit == NULL)
		return;
	if (how == HUB_UPLOAD_BROKEN) {
		permit->is_broken = 1;
		permit->as.until_ms = now_ms + HUB_UPLOAD_BROKEN_MS;
		return;
	}
	if (how == HUB_UPLOAD_ANSWERED)
		record_answer(upload, permit, now_ms);
	remove_permit(upload, permit);
}

static int
is_evidence(const upload_service_t *service, const upload_target_t *target)
{
	/* A request alone may crash a target by what it says. */
	return (target->permits >= 2 && service->has_usual &&
	    (double)target->bytes >= HUB_UPLOAD_UNUSUAL * service->usual);
}

int
hub_upload_record_crash(hub_upload_t *upload, uint64_t target,
    uint64_t incarnation_ms, int64_t now_ms, hub_upload_crash_t *out)
{
	upload_target_t *found = find_target(upload, target);
	upload_service_t *service;
	double held;
	double bound;

	if (found == NULL || found->incarnation_ms != incarnation_ms)
		return (0);
	service = find_service(upload, found->service);
	if (service == NULL)
		return (0);
	held = (double)found->bytes;
	bound = HUB_UPLOAD_CRASH_SHARE * held;
	*out = (hub_upload_crash_t){
		.service = service->id,
		.held_bytes = found->bytes,
		.usual_bytes = (uint64_t)service->usual,
		.is_evidence =
		    upload->memory_bound == 0 && is_evidence(service, found),
	};
	if (out->is_evidence) {
		if (service->crashed_at == 0 || held < service->crashed_at)
			service->crashed_at = held;
		if (service->bound == 0 || bound < service->bound)
			service->bound = bound;
		service->changed_ms = now_ms;
		service->is_filled = 0;
	}
	out->bound_bytes = (uint64_t)service->bound;
	remove_permits_of_target(upload, target);
	return (1);
}

static void
end_overdue(hub_upload_t *upload, int64_t now_ms)
{
	upload_permit_t *permit;
	upload_permit_t *next;

	HASH_ITER(hh, upload->permits, permit, next) {
		if (now_ms >= permit->as.until_ms)
			remove_permit(upload, permit);
	}
}

static void
drop_silent_gates(hub_upload_t *upload, int64_t now_ms)
{
	upload_gate_t *gate;
	upload_gate_t *next;

	HASH_ITER(hh, upload->gates, gate, next) {
		if (now_ms - gate->heard_ms < HUB_UPLOAD_GATE_MAX_MS)
			continue;
		remove_permits_of_gate(upload, gate->id);
		HASH_DELETE(hh, upload->gates, gate);
		free(gate);
	}
}

/* Learns what targets hold usually, of those that hold anything. */
static void
sample_usual(upload_service_t *service, const upload_target_t *targets)
{
	const upload_target_t *target;
	double sum = 0;
	uint32_t count = 0;

	for (target = targets; target != NULL; target = target->hh.next) {
		if (target->service != service->id)
			continue;
		sum += (double)target->bytes;
		count++;
	}
	if (count == 0)
		return;
	if (!service->has_usual)
		service->usual = sum / count;
	service->has_usual = 1;
	service->usual += (sum / count - service->usual) * SAMPLE_MS / USUAL_MS;
}

static void
raise_bound(upload_service_t *service, int64_t now_ms)
{
	int is_near = service->crashed_at > 0 &&
	    service->bound >= NEAR_CRASH * service->crashed_at;

	if (service->bound == 0 || !service->is_filled ||
	    now_ms - service->changed_ms <
		(is_near ? NEAR_STEP_MS : RISE_STEP_MS))
		return;
	service->bound *= RISE;
	service->changed_ms = now_ms;
	service->is_filled = 0;
}

void
hub_upload_tick(hub_upload_t *upload, int64_t now_ms)
{
	upload_service_t *service;

	if (now_ms < upload->sample_due_ms)
		return;
	upload->sample_due_ms = now_ms + SAMPLE_MS;
	end_overdue(upload, now_ms);
	drop_silent_gates(upload, now_ms);
	for (service = upload->services; service != NULL;
	     service = service->hh.next) {
		sample_usual(service, upload->targets);
		if (upload->memory_bound == 0)
			raise_bound(service, now_ms);
	}
}

void
hub_upload_restore_bound(
    hub_upload_t *upload, const hub_upload_bound_t *bound, int64_t now_ms)
{
	upload_service_t *service;

	if (upload->memory_bound > 0 || bound->bytes == 0)
		return;
	service = get_service(upload, bound->service);
	if (service != NULL && service->bound == 0) {
		service->bound = (double)bound->bytes;
		service->changed_ms = now_ms;
	}
}

int64_t
hub_upload_refuse(hub_upload_t *upload, uint64_t service, int64_t now_ms)
{
	upload_service_t *found = find_service(upload, service);
	double wait_ms = DURATION_FIRST_MS;

	if (found != NULL) {
		if (now_ms - found->refusals_ms >= REFUSALS_MS) {
			found->refusals_ms = now_ms;
			found->refusals = 0;
		}
		found->refusals++;
		/* As many requests as there are permits find room within the
		 * duration of one, those refused before come first. */
		wait_ms = found->duration_ms *
		    (1 + (double)found->refusals / (found->permits + 1)) / 2;
	}
	return ((int64_t)fmin(fmax(wait_ms, RETRY_MIN_MS), RETRY_MAX_MS));
}

size_t
hub_upload_list_bounds(
    const hub_upload_t *upload, hub_upload_bound_t out[HUB_UPLOAD_BOUNDS_MAX])
{
	const upload_service_t *service;
	size_t count = 0;

	for (service = upload->services;
	     service != NULL && count < HUB_UPLOAD_BOUNDS_MAX;
	     service = service->hh.next) {
		if (service->bound > 0)
			out[count++] = (hub_upload_bound_t){
				.service = service->id,
				.bytes = (uint64_t)service->bound,
			};
	}
	return (count);
}

uint64_t
hub_upload_count_bytes(const hub_upload_t *upload)
{
	const upload_target_t *target;
	uint64_t bytes = 0;

	for (target = upload->targets; target != NULL; target = target->hh.next)
		bytes += target->bytes;
	return (bytes);
}
