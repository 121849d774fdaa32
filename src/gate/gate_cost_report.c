#include "gate/gate_cost_report.h"

#include <math.h>
#include <stdio.h>

#include "base/log.h"

/* Services that are reported in one call: the log takes at most 100 lines of one
 * event in a second, and a call follows at most every 20 ms. */
#define SERVICES_MAX 2
/* A speed with less evidence than this many responses is not reported. */
#define RESPONSES_MIN 2.0
#define LABELS_BYTES  160
#define PERCENT	      100.0

/* Inserts a target into the list if it is slower than one of the list. */
static uint32_t
insert(gate_cost_slow_t *slowest, uint32_t count, const gate_cost_slow_t *slow)
{
	uint32_t i;

	if (count == GATE_COST_SLOWEST_MAX) {
		if (slow->slowness <= slowest[count - 1].slowness)
			return (count);
		count--;
	}
	for (i = count; i > 0 && slowest[i - 1].slowness < slow->slowness; i--)
		slowest[i] = slowest[i - 1];
	slowest[i] = *slow;
	return (count + 1);
}

uint32_t
gate_cost_report_list_slowest(
    const gate_service_t *service, int64_t now_ms, gate_cost_slow_t *slowest)
{
	gate_cost_slow_t slow;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		slow.target = service->targets[i];
		if (gate_speed_get_weight(&slow.target->speed, now_ms) <
		    RESPONSES_MIN)
			continue;
		slow.slowness = gate_cost_get_slowness(
		    &service->costs, &slow.target->speed, now_ms);
		count = insert(slowest, count, &slow);
	}
	return (count);
}

gate_cost_totals_t
gate_cost_report_take(gate_service_t *service, int64_t now_ms)
{
	const gate_cost_totals_t *now = &service->costs.totals;
	const gate_cost_totals_t *last = &service->costs_reported;
	gate_cost_totals_t difference = {
		.responses = now->responses - last->responses,
		.expected_ms = now->expected_ms - last->expected_ms,
		.seen_ms = now->seen_ms - last->seen_ms,
		.missed = now->missed - last->missed,
	};

	service->costs_reported = service->costs.totals;
	service->costs_reported_ms = now_ms;
	return (difference);
}

void
gate_cost_report_sum(const gate_table_t *table, gate_cost_totals_t *totals)
{
	const gate_service_t *service;

	*totals = (gate_cost_totals_t){ .responses = 0 };
	for (service = gate_table_get_services(table); service != NULL;
	     service = service->hh.next) {
		totals->responses += service->costs.totals.responses;
		totals->expected_ms += service->costs.totals.expected_ms;
		totals->seen_ms += service->costs.totals.seen_ms;
		totals->missed += service->costs.totals.missed;
	}
}

static void
log_slowest(const gate_service_t *service, int64_t now_ms)
{
	gate_cost_slow_t slowest[GATE_COST_SLOWEST_MAX];
	uint32_t count =
	    gate_cost_report_list_slowest(service, now_ms, slowest);
	uint32_t i;

	for (i = 0; i < count; i++)
		LOG_EVENT(979, LOG_LEVEL_INFO, "slowest targets of a service",
		    LOG_TEXT("service", service->name),
		    LOG_TEXT("target", slowest[i].target->id),
		    LOG_NUM("rank", i + 1),
		    LOG_NUM("slowness_percent",
			lround(slowest[i].slowness * PERCENT)));
}

static void
log_service(gate_service_t *service, int64_t now_ms)
{
	gate_cost_totals_t totals = gate_cost_report_take(service, now_ms);

	LOG_EVENT(978, LOG_LEVEL_INFO, "cost of the requests of a service",
	    LOG_TEXT("service", service->name),
	    LOG_NUM("responses", totals.responses),
	    LOG_NUM("expected_ms", totals.expected_ms),
	    LOG_NUM("seen_ms", totals.seen_ms),
	    LOG_NUM("missed", totals.missed));
	log_slowest(service, now_ms);
}

void
gate_cost_report_tick(gate_table_t *table, int64_t now_ms)
{
	gate_service_t *service;
	uint32_t logged = 0;

	for (service = gate_table_get_services(table);
	     service != NULL && logged < SERVICES_MAX;
	     service = service->hh.next) {
		if (service->costs_reported_ms == 0)
			service->costs_reported_ms = now_ms;
		if (service->costs.totals.responses ==
			service->costs_reported.responses ||
		    now_ms - service->costs_reported_ms <
			GATE_COST_REPORT_INTERVAL_MS)
			continue;
		log_service(service, now_ms);
		logged++;
	}
}

static void
set(metrics_t *metrics, const char *name, const char *labels,
    metric_kind_t type, uint64_t value)
{
	metric_set(metrics_get(metrics, name, labels, type), (int64_t)value);
}

static void
update_service(
    const gate_service_t *service, metrics_t *metrics, int64_t now_ms)
{
	const gate_cost_totals_t *costs = &service->costs.totals;
	gate_cost_slow_t slowest[GATE_COST_SLOWEST_MAX];
	char labels[LABELS_BYTES];

	snprintf(labels, sizeof(labels), "service=\"%s\"", service->name);
	set(metrics, "tm_gate_cost_responses_total", labels, METRIC_COUNTER,
	    costs->responses);
	set(metrics, "tm_gate_cost_expected_ms_total", labels, METRIC_COUNTER,
	    costs->expected_ms);
	set(metrics, "tm_gate_cost_seen_ms_total", labels, METRIC_COUNTER,
	    costs->seen_ms);
	set(metrics, "tm_gate_cost_missed_total", labels, METRIC_COUNTER,
	    costs->missed);
	if (gate_cost_report_list_slowest(service, now_ms, slowest) == 0)
		slowest[0].slowness = 1;
	set(metrics, "tm_gate_slowest_target_percent", labels, METRIC_GAUGE,
	    (uint64_t)lround(slowest[0].slowness * PERCENT));
}

void
gate_cost_report_update_metrics(
    const gate_table_t *table, metrics_t *metrics, int64_t now_ms)
{
	const gate_service_t *service;

	for (service = gate_table_get_services(table); service != NULL;
	     service = service->hh.next) {
		if (service->costs.totals.responses > 0)
			update_service(service, metrics, now_ms);
	}
}
