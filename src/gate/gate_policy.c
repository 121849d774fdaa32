#include "gate/gate_policy.h"

#include <math.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/log.h"
#include "gate/gate_cost_report.h"

/* A subset follows the load; not each step of it is logged. */
#define REPORT_INTERVAL_MS 5000
#define LABELS_BYTES	   160
#define MILLI		   1000.0

static void
report_subsets(const gate_t *gate)
{
	gate_service_t *service;
	gate_subset_t *subset;

	for (service = gate_table_get_services(gate->table); service != NULL;
	     service = service->hh.next) {
		subset = &service->subset;
		if (subset->size == subset->reported_size)
			continue;
		subset->reported_size = subset->size;
		LOG_EVENT(973, LOG_LEVEL_INFO, "size of a subset of targets",
		    LOG_TEXT("service", service->name),
		    LOG_NUM("size", subset->size),
		    LOG_NUM("targets", service->count),
		    LOG_NUM(
			"rate_milli_per_s", lround(subset->rate_per_s * MILLI)),
		    LOG_NUM("gates", gate_link_get_gate_count(gate->link)));
	}
}

/* Compares what requests were expected to take with what they took. */
static void
report_costs(gate_t *gate)
{
	gate_cost_totals_t totals;

	gate_cost_report_sum(gate->table, &totals);
	if (totals.responses == gate->costs_reported)
		return;
	gate->costs_reported = totals.responses;
	LOG_EVENT(974, LOG_LEVEL_DEBUG, "expected and seen times of requests",
	    LOG_NUM("responses", totals.responses),
	    LOG_NUM("expected_ms", totals.expected_ms),
	    LOG_NUM("seen_ms", totals.seen_ms));
}

void
gate_policy_tick(gate_t *gate, int64_t now_ms)
{
	gate_policy_t policy = {
		.features = gate->features,
		.choice = gate->settings.choice,
		.gate_count = gate_link_get_gate_count(gate->link),
	};
	char name[NAME_MAX_BYTES + FLEET_IP_BYTES + 1];

	/* Neither has to be unique by itself. */
	snprintf(name, sizeof(name), "%s %s", gate->settings.node,
	    gate->settings.ip);
	policy.gate = fleet_name_hash(name);
	gate_table_set_policy(gate->table, &policy);
	gate_cost_report_tick(gate->table, now_ms);
	gate_connections_tick(gate->table, now_ms);
	if (now_ms - gate->subsets_reported_ms < REPORT_INTERVAL_MS)
		return;
	gate->subsets_reported_ms = now_ms;
	report_subsets(gate);
	report_costs(gate);
}

void
gate_policy_update_metrics(gate_t *gate)
{
	char labels[LABELS_BYTES];
	gate_cost_totals_t totals;
	gate_service_t *service;

	gate_cost_report_sum(gate->table, &totals);
	metric_set(metrics_get(gate->metrics, "tm_gate_expected_time_ms", "",
		       METRIC_GAUGE),
	    (int64_t)totals.expected_ms);
	metric_set(metrics_get(
		       gate->metrics, "tm_gate_seen_time_ms", "", METRIC_GAUGE),
	    (int64_t)totals.seen_ms);
	gate_cost_report_update_metrics(
	    gate->table, gate->metrics, clock_now_ms());
	for (service = gate_table_get_services(gate->table); service != NULL;
	     service = service->hh.next) {
		if (service->subset.size == 0)
			continue;
		snprintf(
		    labels, sizeof(labels), "service=\"%s\"", service->name);
		metric_set(metrics_get(gate->metrics, "tm_gate_subset_targets",
			       labels, METRIC_GAUGE),
		    service->subset.size);
	}
}
