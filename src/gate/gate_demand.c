#include "gate/gate_demand.h"

#include <string.h>

static int
has_requests(const gate_share_t *share)
{
	size_t i;

	for (i = 0; i < FLEET_PRIORITY_CLASSES; i++) {
		if (share->requests[i] > 0)
			return (1);
	}
	return (0);
}

void
gate_demand_fill(
    gate_demands_t *demands, const gate_table_t *table, Tm__Fleet__Join *join)
{
	gate_service_t *service;
	Tm__Fleet__Demand *msg;

	join->demands = demands->pointers;
	for (service = gate_table_get_services(table);
	     service != NULL && join->n_demands < GATE_DEMANDS_MAX;
	     service = service->hh.next) {
		if (!has_requests(&service->share))
			continue;
		msg = &demands->msgs[join->n_demands];
		tm__fleet__demand__init(msg);
		msg->service = service->id;
		msg->requests = service->share.requests;
		msg->n_requests = FLEET_PRIORITY_CLASSES;
		msg->soft_deadline_sum_ms = service->share.soft_deadline_sum_ms;
		demands->pointers[join->n_demands++] = msg;
	}
}

void
gate_demand_reset(const gate_table_t *table)
{
	gate_service_t *service;

	for (service = gate_table_get_services(table); service != NULL;
	     service = service->hh.next) {
		memset(service->share.requests, 0,
		    sizeof(service->share.requests));
		service->share.soft_deadline_sum_ms = 0;
	}
}

void
gate_demand_apply(const gate_table_t *table,
    Tm__Fleet__Admission *const *admissions, size_t count, uint32_t gates,
    int64_t now_ms)
{
	gate_service_t *service;
	size_t i;

	for (i = 0; i < count; i++) {
		service =
		    gate_table_find_service_id(table, admissions[i]->service);
		if (service != NULL)
			gate_share_apply(
			    &service->share, admissions[i], gates, now_ms);
	}
}
