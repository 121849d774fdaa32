#include "hub/hub_report.h"

#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"

#define LABELS_BYTES 192

/* Counts of a service at the last report. */
typedef struct last_counts {
	uint64_t id;
	hub_outlier_counts_t counts;
	UT_hash_handle hh;
} last_counts_t;

struct hub_report {
	const hub_outlier_t *outlier;
	metrics_t *metrics;
	last_counts_t *last;
	int64_t due_ms;
};

hub_report_t *
hub_report_create(const hub_outlier_t *outlier, metrics_t *metrics)
{
	hub_report_t *report = calloc(1, sizeof(*report));

	if (report == NULL)
		return (NULL);
	report->outlier = outlier;
	report->metrics = metrics;
	return (report);
}

void
hub_report_destroy(hub_report_t *report)
{
	last_counts_t *last;
	last_counts_t *next;

	if (report == NULL)
		return;
	HASH_ITER(hh, report->last, last, next) {
		HASH_DELETE(hh, report->last, last);
		free(last);
	}
	free(report);
}

static last_counts_t *
get_last(hub_report_t *report, uint64_t id)
{
	last_counts_t *last;

	HASH_FIND(hh, report->last, &id, sizeof(id), last);
	if (last != NULL)
		return (last);
	last = calloc(1, sizeof(*last));
	if (last == NULL)
		return (NULL);
	last->id = id;
	HASH_ADD(hh, report->last, id, sizeof(last->id), last);
	return (last);
}

static void
set_targets(const hub_report_t *report, const char *service, const char *state,
    uint32_t count)
{
	char labels[LABELS_BYTES];

	snprintf(labels, sizeof(labels), "service=\"%s\",state=\"%s\"", service,
	    state);
	metric_set(metrics_get(
		       report->metrics, "tm_hub_targets", labels, METRIC_GAUGE),
	    count);
}

static void
update_metrics(const hub_report_t *report, const char *service,
    const hub_outlier_counts_t *counts)
{
	set_targets(report, service, "healthy", counts->healthy);
	set_targets(report, service, "ejected", counts->ejected);
	set_targets(
	    report, service, "probe_repeatable", counts->probe_repeatable);
	set_targets(report, service, "probe", counts->probe);
	set_targets(report, service, "unreachable", counts->unreachable);
	set_targets(report, service, "idle", counts->idle);
	set_targets(report, service, "evacuated", counts->evacuated);
}

static void
log_service(const char *service, const hub_outlier_counts_t *counts,
    const hub_outlier_counts_t *last)
{
	LOG_EVENT(919, LOG_LEVEL_INFO, "targets of a service out of use",
	    LOG_TEXT("service", service), LOG_NUM("healthy", counts->healthy),
	    LOG_NUM("idle", counts->idle), LOG_NUM("ejected", counts->ejected),
	    LOG_NUM("probe_repeatable", counts->probe_repeatable),
	    LOG_NUM("probe", counts->probe),
	    LOG_NUM("unreachable", counts->unreachable),
	    LOG_NUM("failed_percent", 100 * counts->failed_share),
	    LOG_NUM("utilization_percent", 100 * counts->utilization),
	    LOG_NUM("ejections", counts->ejections - last->ejections),
	    LOG_NUM("probes_granted",
		counts->probes_granted - last->probes_granted),
	    LOG_NUM("probes_refused",
		counts->probes_refused - last->probes_refused),
	    LOG_NUM("probes_succeeded",
		counts->probes_succeeded - last->probes_succeeded),
	    LOG_NUM(
		"probes_failed", counts->probes_failed - last->probes_failed));
}

static void
report_service(
    hub_report_t *report, const fleet_service_t *service, int64_t now_ms)
{
	hub_outlier_counts_t counts;
	last_counts_t *last;

	if (hub_outlier_count_service(
		report->outlier, service->id, now_ms, &counts) != TM_OK)
		return;
	last = get_last(report, service->id);
	if (last == NULL)
		return;
	update_metrics(report, service->name, &counts);
	if (counts.ejected + counts.probe_repeatable + counts.probe > 0)
		log_service(service->name, &counts, &last->counts);
	last->counts = counts;
}

void
hub_report_tick(
    hub_report_t *report, const fleet_config_t *config, int64_t now_ms)
{
	const fleet_service_t *service;

	if (config == NULL || now_ms < report->due_ms)
		return;
	report->due_ms = now_ms + MS_PER_SEC;
	for (service = config->services; service != NULL;
	     service = service->hh.next)
		report_service(report, service, now_ms);
}
