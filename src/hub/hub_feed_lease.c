#include "hub/hub_feed_lease.h"

/* Lists the services with at least one request per slot; gates need no others.
 */
static size_t
fill_loaded_services(const hub_feed_lease_t *lease, Tm__Fleet__Pressure *msgs,
    Tm__Fleet__Pressure **pointers)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < lease->utilization_count && count < HUB_FEED_LOADED_MAX;
	     i++) {
		if (lease->utilizations[i].load < 1)
			continue;
		tm__fleet__pressure__init(&msgs[count]);
		msgs[count].service = lease->utilizations[i].service;
		msgs[count].load_percent =
		    (uint32_t)(100 * lease->utilizations[i].load);
		msgs[count].work_ms = (uint32_t)lease->utilizations[i].work_ms;
		pointers[count] = &msgs[count];
		count++;
	}
	return (count);
}

static void
fill_full_targets(const hub_full_targets_t *full, Tm__Fleet__Lease *msg,
    uint32_t *ages_ms, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < full->count; i++)
		ages_ms[i] = (uint32_t)(now_ms - full->reported_ms[i]);
	msg->full_targets = (uint64_t *)full->keys;
	msg->n_full_targets = full->count;
	msg->full_loads = (uint32_t *)full->requests;
	msg->n_full_loads = full->count;
	msg->full_ages_ms = ages_ms;
	msg->n_full_ages_ms = full->count;
}

static void
fill_admissions(const hub_feed_lease_t *lease, hub_feed_lease_parts_t *out,
    Tm__Fleet__Lease *msg)
{
	const double thousandths = 1000;
	const hub_admission_decision_t *decision;
	size_t i;
	size_t j;

	for (i = 0; i < lease->admission_count; i++) {
		decision = &lease->admissions[i];
		tm__fleet__admission__init(&out->admissions[i]);
		out->admissions[i].service = decision->service;
		for (j = 0; j < FLEET_PRIORITY_CLASSES; j++)
			out->shares[i][j] =
			    (uint32_t)(thousandths * decision->shares[j]);
		out->admissions[i].shares = out->shares[i];
		out->admissions[i].n_shares = FLEET_PRIORITY_CLASSES;
		out->admissions[i].wait_ms = (uint32_t)decision->wait_ms;
		out->admissions[i].milli_per_s =
		    (uint32_t)(thousandths * decision->per_s);
		out->admission_pointers[i] = &out->admissions[i];
	}
	msg->decides_admission = lease->decides_admission;
	msg->admissions = out->admission_pointers;
	msg->n_admissions = lease->admission_count;
}

static void
fill_upload_bounds(const hub_feed_lease_t *lease, hub_feed_lease_parts_t *out,
    Tm__Fleet__Lease *msg)
{
	size_t i;

	for (i = 0; i < lease->upload_bound_count; i++) {
		tm__fleet__upload_bound__init(&out->bounds[i]);
		out->bounds[i].service = lease->upload_bounds[i].service;
		out->bounds[i].bytes = lease->upload_bounds[i].bytes;
		out->bound_pointers[i] = &out->bounds[i];
	}
	msg->upload_bounds = out->bound_pointers;
	msg->n_upload_bounds = lease->upload_bound_count;
}

void
hub_feed_lease_fill(const hub_feed_lease_t *lease,
    hub_feed_lease_parts_t *parts, Tm__Fleet__Lease *msg, int64_t now_ms)
{
	msg->pressures = parts->utilization_pointers;
	msg->n_pressures = fill_loaded_services(
	    lease, parts->utilizations, parts->utilization_pointers);
	msg->idle_services = (uint64_t *)lease->idle_services;
	msg->n_idle_services = lease->idle_service_count;
	if (lease->full != NULL)
		fill_full_targets(lease->full, msg, parts->ages_ms, now_ms);
	fill_admissions(lease, parts, msg);
	fill_upload_bounds(lease, parts, msg);
}
