#include "gate/gate_metrics.h"

#include <stdio.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "gate/gate_policy.h"
#include "gate/gate_request.h"

#define LABELS_BYTES 160
/* With more workspaces none gets a histogram of its own; workspace names come
 * from the operators' configuration. */
#define WORKSPACES_MAX 2000

int
gate_metrics_create(gate_t *gate)
{
	gate->metrics = metrics_create();
	if (gate->metrics == NULL)
		return (TM_ENOMEM);
	gate->metric_requests = metrics_get(
	    gate->metrics, "tm_gate_requests_total", "", METRIC_COUNTER);
	gate->metric_attempts = metrics_get(
	    gate->metrics, "tm_gate_attempts_total", "", METRIC_COUNTER);
	gate->metric_new_connections = metrics_get(
	    gate->metrics, "tm_gate_connections_total", "", METRIC_COUNTER);
	gate->metric_late_requests = metrics_get(
	    gate->metrics, "tm_gate_late_requests_total", "", METRIC_COUNTER);
	gate->metric_in_flight = metrics_get(
	    gate->metrics, "tm_gate_requests_in_flight", "", METRIC_GAUGE);
	gate->metric_latency = metrics_get(
	    gate->metrics, "tm_gate_request_duration_us", "", METRIC_HISTOGRAM);
	gate->metric_log_dropped = metrics_get(
	    gate->metrics, "tm_gate_log_dropped_lines", "", METRIC_GAUGE);
	return (gate->metric_log_dropped != NULL ? TM_OK : TM_ENOMEM);
}

static void
record_workspace(gate_t *gate, const char *workspace, int64_t duration_ms)
{
	char labels[LABELS_BYTES];

	if (workspace[0] == '\0' || gate->config == NULL ||
	    HASH_COUNT(gate->config->workspaces) > WORKSPACES_MAX)
		return;
	snprintf(labels, sizeof(labels), "workspace=\"%s\"", workspace);
	metric_record_us(
	    metrics_get(gate->metrics, "tm_gate_workspace_duration_us", labels,
		METRIC_HISTOGRAM),
	    duration_ms * MS_PER_SEC);
}

void
gate_metrics_count_answer(gate_t *gate, const char *workspace, int status,
    const char *reason, int64_t duration_ms)
{
	char labels[LABELS_BYTES];

	snprintf(labels, sizeof(labels), "status=\"%d\",reason=\"%s\"", status,
	    reason);
	metric_add(metrics_get(gate->metrics, "tm_gate_answers_total", labels,
		       METRIC_COUNTER),
	    1);
	metric_record_us(gate->metric_latency, duration_ms * MS_PER_SEC);
	record_workspace(gate, workspace, duration_ms);
}

void
gate_metrics_count_evidence(gate_t *gate, const char *kind)
{
	char labels[LABELS_BYTES];

	snprintf(labels, sizeof(labels), "kind=\"%s\"", kind);
	metric_add(metrics_get(gate->metrics, "tm_gate_evidence_total", labels,
		       METRIC_COUNTER),
	    1);
}

void
gate_metrics_count_connection(const gate_request_t *request,
    gate_target_t *target, const gate_attempt_origin_t *attempt,
    int is_expected)
{
	gate_t *gate = request->gate;
	gate_attempt_kind_t kind = gate_connections_classify(target, attempt);
	upstream_origin_t origin = gate_connections_record(
	    target, kind, upstream_call_get_origin(request->call), is_expected);

	if (origin != UPSTREAM_ORIGIN_REUSED)
		metric_add(gate->metric_new_connections, 1);
	gate_connections_update_metrics(gate->metrics, kind, origin);
}

void
gate_metrics_update(gate_t *gate)
{
	metric_set(gate->metric_in_flight, gate->in_flight);
	gate_policy_update_metrics(gate);
	metric_set(gate->metric_log_dropped, (int64_t)log_get_dropped());
}
