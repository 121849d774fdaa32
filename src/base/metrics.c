#include "base/metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define METRIC_NAME_MAX	  64
#define METRIC_LABELS_MAX 192

struct metric {
	char id[METRIC_NAME_MAX + METRIC_LABELS_MAX];
	char name[METRIC_NAME_MAX];
	char labels[METRIC_LABELS_MAX];
	metric_kind_t kind;
	int64_t value;
	hist_t *hist;
	UT_hash_handle hh;
};

struct metrics {
	metric_t *by_id;
};

static const double metric_quantiles[] = { 0.5, 0.9, 0.99, 0.999 };

metrics_t *
metrics_create(void)
{
	return (calloc(1, sizeof(metrics_t)));
}

void
metrics_destroy(metrics_t *metrics)
{
	metric_t *metric;
	metric_t *next;

	HASH_ITER(hh, metrics->by_id, metric, next) {
		HASH_DEL(metrics->by_id, metric);
		free(metric->hist);
		free(metric);
	}
	free(metrics);
}

static metric_t *
metric_create(const char *name, const char *labels, metric_kind_t kind)
{
	metric_t *metric = calloc(1, sizeof(*metric));

	if (metric == NULL)
		return (NULL);
	snprintf(metric->name, sizeof(metric->name), "%s", name);
	snprintf(metric->labels, sizeof(metric->labels), "%s", labels);
	metric->kind = kind;
	if (kind == METRIC_HISTOGRAM) {
		metric->hist = calloc(1, sizeof(hist_t));
		if (metric->hist == NULL) {
			free(metric);
			return (NULL);
		}
	}
	return (metric);
}

metric_t *
metrics_get(metrics_t *metrics, const char *name, const char *labels,
    metric_kind_t kind)
{
	metric_t *metric;
	char id[METRIC_NAME_MAX + METRIC_LABELS_MAX];

	snprintf(id, sizeof(id), "%s{%s", name, labels);
	HASH_FIND_STR(metrics->by_id, id, metric);
	if (metric != NULL)
		return (metric);
	metric = metric_create(name, labels, kind);
	if (metric == NULL)
		return (NULL);
	snprintf(metric->id, sizeof(metric->id), "%s", id);
	HASH_ADD_STR(metrics->by_id, id, metric);
	return (metric);
}

void
metric_add(metric_t *metric, uint64_t delta)
{
	if (metric != NULL)
		metric->value += (int64_t)delta;
}

void
metric_set(metric_t *metric, int64_t value)
{
	if (metric != NULL)
		metric->value = value;
}

void
metric_record_us(metric_t *metric, int64_t value_us)
{
	if (metric != NULL && metric->hist != NULL)
		hist_record(metric->hist, value_us);
}

int64_t
metric_get_value(const metric_t *metric)
{
	return (metric != NULL ? metric->value : 0);
}

static void
metric_write_histogram(const metric_t *metric, FILE *out)
{
	const char *separator = metric->labels[0] != '\0' ? "," : "";
	size_t i;

	for (i = 0; i < sizeof(metric_quantiles) / sizeof(double); i++) {
		fprintf(out, "%s{%s%squantile=\"%g\"} %llu\n", metric->name,
		    metric->labels, separator, metric_quantiles[i],
		    (unsigned long long)hist_get_quantile_us(
			metric->hist, metric_quantiles[i]));
	}
	fprintf(out, "%s_count{%s} %llu\n", metric->name, metric->labels,
	    (unsigned long long)metric->hist->count);
	fprintf(out, "%s_sum{%s} %llu\n", metric->name, metric->labels,
	    (unsigned long long)metric->hist->sum_us);
}

static void
metric_write(const metric_t *metric, FILE *out)
{
	if (metric->kind == METRIC_HISTOGRAM) {
		metric_write_histogram(metric, out);
		return;
	}
	if (metric->labels[0] == '\0')
		fprintf(
		    out, "%s %lld\n", metric->name, (long long)metric->value);
	else
		fprintf(out, "%s{%s} %lld\n", metric->name, metric->labels,
		    (long long)metric->value);
}

char *
metrics_format(const metrics_t *metrics, size_t *out_len)
{
	static const char *const types[] = { "counter", "gauge", "summary" };
	const metric_t *metric;
	const char *last_name = "";
	char *text = NULL;
	FILE *out = open_memstream(&text, out_len);

	if (out == NULL)
		return (NULL);
	for (metric = metrics->by_id; metric != NULL;
	     metric = metric->hh.next) {
		if (strcmp(metric->name, last_name) != 0)
			fprintf(out, "# TYPE %s %s\n", metric->name,
			    types[metric->kind]);
		last_name = metric->name;
		metric_write(metric, out);
	}
	fclose(out);
	return (text);
}
