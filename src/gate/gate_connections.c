#include "gate/gate_connections.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "gate/gate_table.h"

#define LABELS_BYTES 160
/* Time between the reports of two services, each of which takes up to
 * GATE_ATTEMPT_KINDS lines: the log takes at most 100 lines of one event in a
 * second. With more services than fit into the interval it becomes longer. */
#define SPACING_MS 60

static const char *const kind_names[GATE_ATTEMPT_KINDS] = {
	[GATE_ATTEMPT_MEMBER] = "member",
	[GATE_ATTEMPT_OUTSIDE] = "outside",
	[GATE_ATTEMPT_RETRY] = "retry",
	[GATE_ATTEMPT_ASSIGNED] = "assigned",
	[GATE_ATTEMPT_PROBE] = "probe",
};

static const char *const origin_names[UPSTREAM_ORIGINS] = {
	[UPSTREAM_ORIGIN_REUSED] = "reused",
	[UPSTREAM_ORIGIN_FIRST] = "first",
	[UPSTREAM_ORIGIN_BUSY] = "busy",
	[UPSTREAM_ORIGIN_IDLE] = "idle",
	[UPSTREAM_ORIGIN_IDLE_LEARNED] = "idle_learned",
	[UPSTREAM_ORIGIN_CLOSED_IDLE] = "closed_idle",
	[UPSTREAM_ORIGIN_CLOSED_LAST] = "closed_last",
	[UPSTREAM_ORIGIN_FAILED] = "failed",
	[UPSTREAM_ORIGIN_CANCELLED] = "cancelled",
	[UPSTREAM_ORIGIN_DROPPED] = "dropped",
	[UPSTREAM_ORIGIN_ID] = "id",
};

gate_attempt_kind_t
gate_connections_classify(
    const gate_target_t *target, const gate_attempt_origin_t *attempt)
{
	if (attempt->is_probe)
		return (GATE_ATTEMPT_PROBE);
	if (attempt->is_assigned)
		return (GATE_ATTEMPT_ASSIGNED);
	if (attempt->is_retry)
		return (GATE_ATTEMPT_RETRY);
	return (gate_subset_has(&target->service->subset, target)
		? GATE_ATTEMPT_MEMBER
		: GATE_ATTEMPT_OUTSIDE);
}

upstream_origin_t
gate_connections_record(gate_target_t *target, gate_attempt_kind_t kind,
    upstream_origin_t origin, int is_expected)
{
	gate_connections_t *connections = &target->service->connections;

	if (origin != UPSTREAM_ORIGIN_REUSED) {
		if (!target->is_connected)
			origin = UPSTREAM_ORIGIN_FIRST;
		else if (origin == UPSTREAM_ORIGIN_FIRST)
			origin = UPSTREAM_ORIGIN_IDLE;
		connections->unexpected[kind] += is_expected != 0;
	}
	target->is_connected = 1;
	connections->counts[kind][origin]++;
	return (origin);
}

void
gate_connections_update_metrics(
    metrics_t *metrics, gate_attempt_kind_t kind, upstream_origin_t origin)
{
	char labels[LABELS_BYTES];

	if (origin == UPSTREAM_ORIGIN_REUSED)
		return;
	snprintf(labels, sizeof(labels), "attempt=\"%s\",reason=\"%s\"",
	    kind_names[kind], origin_names[origin]);
	metric_add(metrics_get(metrics, "tm_gate_new_connections_total", labels,
		       METRIC_COUNTER),
	    1);
}

static void
log_kind(
    const gate_service_t *service, gate_attempt_kind_t kind, int64_t now_ms)
{
	const gate_connections_t *connections = &service->connections;
	const uint32_t *counts = connections->counts[kind];
	uint32_t opened = 0;
	int i;

	for (i = UPSTREAM_ORIGIN_REUSED + 1; i < UPSTREAM_ORIGINS; i++)
		opened += counts[i];
	if (opened + counts[UPSTREAM_ORIGIN_REUSED] == 0)
		return;
	LOG_EVENT(981, LOG_LEVEL_INFO, "connections of a service",
	    LOG_TEXT("service", service->name),
	    LOG_TEXT("attempt", kind_names[kind]),
	    LOG_NUM("period_ms", now_ms - connections->since_ms),
	    LOG_NUM("attempts", opened + counts[UPSTREAM_ORIGIN_REUSED]),
	    LOG_NUM("opened", opened),
	    LOG_NUM("first", counts[UPSTREAM_ORIGIN_FIRST]),
	    LOG_NUM("busy", counts[UPSTREAM_ORIGIN_BUSY]),
	    LOG_NUM("idle", counts[UPSTREAM_ORIGIN_IDLE]),
	    LOG_NUM("idle_learned", counts[UPSTREAM_ORIGIN_IDLE_LEARNED]),
	    LOG_NUM("closed_idle", counts[UPSTREAM_ORIGIN_CLOSED_IDLE]),
	    LOG_NUM("closed_last", counts[UPSTREAM_ORIGIN_CLOSED_LAST]),
	    LOG_NUM("failed", counts[UPSTREAM_ORIGIN_FAILED]),
	    LOG_NUM("cancelled", counts[UPSTREAM_ORIGIN_CANCELLED]),
	    LOG_NUM("dropped", counts[UPSTREAM_ORIGIN_DROPPED]),
	    LOG_NUM("id", counts[UPSTREAM_ORIGIN_ID]),
	    LOG_NUM("unexpected", connections->unexpected[kind]));
}

static void
log_service(gate_service_t *service, int64_t now_ms)
{
	int kind;

	for (kind = 0; kind < GATE_ATTEMPT_KINDS; kind++)
		log_kind(service, (gate_attempt_kind_t)kind, now_ms);
	service->connections = (gate_connections_t){ .since_ms = now_ms };
}

/* @return the service whose report is due longest, or NULL */
static gate_service_t *
find_due(gate_table_t *table, int64_t now_ms)
{
	gate_service_t *service;
	gate_service_t *due = NULL;
	gate_connections_t *connections;
	int has_recent = 0;

	for (service = gate_table_get_services(table); service != NULL;
	     service = service->hh.next) {
		connections = &service->connections;
		if (connections->since_ms == 0)
			connections->since_ms = now_ms;
		if (now_ms - connections->since_ms < SPACING_MS)
			has_recent = 1;
		if (now_ms - connections->since_ms >=
			GATE_CONNECTIONS_INTERVAL_MS &&
		    (due == NULL ||
			connections->since_ms < due->connections.since_ms))
			due = service;
	}
	return (has_recent ? NULL : due);
}

void
gate_connections_tick(gate_table_t *table, int64_t now_ms)
{
	gate_service_t *due = find_due(table, now_ms);

	if (due != NULL)
		log_service(due, now_ms);
}
