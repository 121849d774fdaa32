#include "hub/hub_admission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define MS_PER_S 1000.0
/* Gates report every 500 ms; all have reported once after this time. */
#define REPORTS_COMPLETE_MS 700
/* Time constant of the rate at which callers ask. */
#define DEMAND_DECAY_MS 800.0
/* Queues are filled, or drained, to the goal within this time. It is longer than
 * the time from a report to the effect of a decision. */
#define GOAL_TIME_S 1.5
/* Goal: a response takes this share of its soft deadline on average, queueing
 * included; some targets have twice as much to do as the mean. */
#define GOAL_DEADLINE_SHARE 0.5
/* Below this goal, in requests per slot, slots are idle at times, as gates spread
 * requests by chance. */
#define GOAL_MIN 1.6
/* Least share of a class, of the share that all classes get together. */
#define CLASS_SHARE_MIN 0.35
/* A service takes at least this share of what its slots serve, however long its
 * queues are, so that no class gets nothing. */
#define DRAIN_SHARE_MIN 0.2
/* Smaller rates are what is left of earlier requests. */
#define DEMAND_MIN_PER_S 0.01
/* Above this share nothing is refused. */
#define SHARE_ALL 0.98
/* Bounds of the time after which callers are told to return. */
#define WAIT_MIN_MS 200
#define WAIT_MAX_MS 3000

typedef struct admission_service {
	uint64_t id;
	double soft_deadline_sum_ms; /* since the last update */
	double soft_deadline_ms; /* mean of the requests; 0: none so far */
	double asked[FLEET_PRIORITY_CLASSES]; /* since the last update */
	double per_s[FLEET_PRIORITY_CLASSES];
	hub_admission_decision_t decision;
	int is_full;
	UT_hash_handle hh;
} admission_service_t;

struct hub_admission {
	admission_service_t *services;
	int64_t since_ms; /* this hub leads */
	int64_t updated_ms;
	hub_admission_decision_t list[HUB_ADMISSION_LIST_MAX];
	size_t count;
};

hub_admission_t *
hub_admission_create(void)
{
	return (calloc(1, sizeof(hub_admission_t)));
}

void
hub_admission_destroy(hub_admission_t *admission)
{
	admission_service_t *service;
	admission_service_t *next;

	if (admission == NULL)
		return;
	HASH_ITER(hh, admission->services, service, next) {
		HASH_DELETE(hh, admission->services, service);
		free(service);
	}
	free(admission);
}

static admission_service_t *
get_service(hub_admission_t *admission, uint64_t id)
{
	admission_service_t *service;

	HASH_FIND(hh, admission->services, &id, sizeof(id), service);
	if (service != NULL)
		return (service);
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return (NULL);
	service->id = id;
	HASH_ADD(hh, admission->services, id, sizeof(service->id), service);
	return (service);
}

void
hub_admission_reset(hub_admission_t *admission, int64_t now_ms)
{
	admission_service_t *service;

	admission->since_ms = now_ms;
	admission->updated_ms = now_ms;
	admission->count = 0;
	for (service = admission->services; service != NULL;
	     service = service->hh.next) {
		service->is_full = 0;
		service->soft_deadline_sum_ms = 0;
		memset(service->asked, 0, sizeof(service->asked));
		memset(service->per_s, 0, sizeof(service->per_s));
	}
}

void
hub_admission_record_demand(
    hub_admission_t *admission, const Tm__Fleet__Demand *demand)
{
	admission_service_t *service = get_service(admission, demand->service);
	size_t i;

	if (service == NULL)
		return;
	for (i = 0; i < demand->n_requests; i++)
		service->asked[i < FLEET_PRIORITY_CLASSES
			? i
			: FLEET_PRIORITY_CLASSES - 1] += demand->requests[i];
	service->soft_deadline_sum_ms += (double)demand->soft_deadline_sum_ms;
}

static void
update_demand(admission_service_t *service, double elapsed_ms)
{
	double keep = exp(-elapsed_ms / DEMAND_DECAY_MS);
	double asked = 0;
	size_t i;

	for (i = 0; i < FLEET_PRIORITY_CLASSES; i++)
		asked += service->asked[i];
	if (asked > 0 && service->soft_deadline_ms <= 0)
		service->soft_deadline_ms =
		    service->soft_deadline_sum_ms / asked;
	else if (asked > 0)
		service->soft_deadline_ms += (1 - keep) *
		    (service->soft_deadline_sum_ms / asked -
			service->soft_deadline_ms);
	service->soft_deadline_sum_ms = 0;
	for (i = 0; i < FLEET_PRIORITY_CLASSES; i++) {
		service->per_s[i] = service->per_s[i] * keep +
		    (1 - keep) * service->asked[i] * MS_PER_S / elapsed_ms;
		service->asked[i] = 0;
	}
}

static double
sum_demand(const admission_service_t *service)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < FLEET_PRIORITY_CLASSES; i++)
		sum += service->per_s[i];
	return (sum);
}

/* @return requests per slot that the service should have in hand */
static double
get_goal(const admission_service_t *service, const hub_admission_load_t *load)
{
	double goal = HUGE_VAL;

	if (service->soft_deadline_ms > 0)
		goal = GOAL_DEADLINE_SHARE * service->soft_deadline_ms /
		    load->work_ms;
	return (fmax(goal, GOAL_MIN));
}

/* Shares out what the service takes: to each class its least share, then the
 * rest by urgency. */
static void
share_out(const admission_service_t *service, double per_s, double total,
    double shares[FLEET_PRIORITY_CLASSES])
{
	double least = CLASS_SHARE_MIN * fmin(1, per_s / total);
	double left = per_s - least * total;
	double extra;
	size_t i;

	for (i = 0; i < FLEET_PRIORITY_CLASSES; i++) {
		extra = service->per_s[i] >= DEMAND_MIN_PER_S
		    ? left / service->per_s[i]
		    : left > DEMAND_MIN_PER_S;
		shares[i] = least + fmin(fmax(extra, 0), 1 - least);
		left -= (shares[i] - least) * service->per_s[i];
	}
}

static void
decide(admission_service_t *service, const hub_admission_load_t *load)
{
	double total = sum_demand(service);
	double surplus;
	double served;
	hub_admission_decision_t *decision = &service->decision;
	double utilization;

	service->is_full = 0;
	if (load->slots <= 0 || load->work_ms <= 0 || total <= 0)
		return;
	utilization = load->requests / load->slots;
	served = load->slots * MS_PER_S / load->work_ms;
	decision->service = service->id;
	decision->asked_per_s = total;
	decision->utilization = utilization;
	decision->goal = get_goal(service, load);
	surplus = (decision->goal - utilization) * load->slots / GOAL_TIME_S;
	decision->per_s = fmax(served + surplus, DRAIN_SHARE_MIN * served);
	if (decision->per_s >= SHARE_ALL * total)
		return;
	service->is_full = 1;
	share_out(service, decision->per_s, total, decision->shares);
	decision->wait_ms = (int64_t)fmin(
	    fmax(load->work_ms * utilization, WAIT_MIN_MS), WAIT_MAX_MS);
}

static void
fill_list(hub_admission_t *admission)
{
	const admission_service_t *service;

	admission->count = 0;
	for (service = admission->services;
	     service != NULL && admission->count < HUB_ADMISSION_LIST_MAX;
	     service = service->hh.next) {
		if (service->is_full)
			admission->list[admission->count++] = service->decision;
	}
}

void
hub_admission_update(hub_admission_t *admission,
    const hub_admission_load_t *loads, size_t count, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - admission->updated_ms);
	admission_service_t *service;
	size_t i;

	if (elapsed_ms <= 0)
		return;
	admission->updated_ms = now_ms;
	for (service = admission->services; service != NULL;
	     service = service->hh.next) {
		update_demand(service, elapsed_ms);
		service->is_full = 0;
	}
	admission->count = 0;
	if (now_ms - admission->since_ms < REPORTS_COMPLETE_MS)
		return;
	for (i = 0; i < count; i++) {
		service = get_service(admission, loads[i].service);
		if (service != NULL)
			decide(service, &loads[i]);
	}
	fill_list(admission);
}

const hub_admission_decision_t *
hub_admission_list(const hub_admission_t *admission, size_t *count)
{
	*count = admission->count;
	return (admission->list);
}
