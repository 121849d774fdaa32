#include "base/metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define METRIC_NAME_MAX	  64
#define METRIC_LABELS_MAX 192

/* A VM has four metrics for each workspace it serves, so they are small. */
struct metric {
	metric_kind_t kind;
	int64_t value;
	hist_t *hist; /* made by the first value */
	UT_hash_handle hh;
	uint8_t name_len;
	char id[]; /* name, "{", labels */
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
metric_create(const char *id, size_t name_len, metric_kind_t kind)
{
	metric_t *metric = calloc(1, sizeof(*metric) + strlen(id) + 1);

	if (metric == NULL)
		return (NULL);
	memcpy(metric->id, id, strlen(id) + 1);
	metric->name_len = (uint8_t)name_len;
	metric->kind = kind;
	return (metric);
}

metric_t *
metrics_get(metrics_t *metrics, const char *name, const char *labels,
    metric_kind_t kind)
{
	metric_t *metric;
	char id[METRIC_NAME_MAX + METRIC_LABELS_MAX];

	if (strlen(name) >= METRIC_NAME_MAX)
		return (NULL);
	snprintf(id, sizeof(id), "%s{%s", name, labels);
	HASH_FIND_STR(metrics->by_id, id, metric);
	if (metric != NULL)
		return (metric);
	metric = metric_create(id, strlen(name), kind);
	if (metric == NULL)
		return (NULL);
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
	if (metric == NULL || metric->kind != METRIC_HISTOGRAM)
		return;
	if (metric->hist == NULL)
		metric->hist = calloc(1, sizeof(hist_t));
	if (metric->hist != NULL)
		hist_record(metric->hist, value_us);
}

int64_t
metric_get_value(const metric_t *metric)
{
	return (metric != NULL ? metric->value : 0);
}

static const char *
metric_get_labels(const metric_t *metric)
{
	return (metric->id + metric->name_len + 1);
}

static void
metric_write_histogram(const metric_t *metric, FILE *out)
{
	static const hist_t empty;
	const hist_t *hist = metric->hist != NULL ? metric->hist : &empty;
	const char *labels = metric_get_labels(metric);
	const char *separator = labels[0] != '\0' ? "," : "";
	int name_len = metric->name_len;
	size_t i;

	for (i = 0; i < sizeof(metric_quantiles) / sizeof(double); i++) {
		fprintf(out, "%.*s{%s%squantile=\"%g\"} %llu\n", name_len,
		    metric->id, labels, separator, metric_quantiles[i],
		    (unsigned long long)hist_get_quantile_us(
			hist, metric_quantiles[i]));
	}
	fprintf(out, "%.*s_count{%s} %llu\n", name_len, metric->id, labels,
	    (unsigned long long)hist->count);
	fprintf(out, "%.*s_sum{%s} %llu\n", name_len, metric->id, labels,
	    (unsigned long long)hist->sum_us);
}

static void
metric_write(const metric_t *metric, FILE *out)
{
	const char *labels = metric_get_labels(metric);
	int name_len = metric->name_len;

	if (metric->kind == METRIC_HISTOGRAM)
		metric_write_histogram(metric, out);
	else if (labels[0] == '\0')
		fprintf(out, "%.*s %lld\n", name_len, metric->id,
		    (long long)metric->value);
	else
		fprintf(out, "%.*s{%s} %lld\n", name_len, metric->id, labels,
		    (long long)metric->value);
}

static int
metric_has_name_of(const metric_t *metric, const metric_t *other)
{
	return (other != NULL && metric->name_len == other->name_len &&
	    memcmp(metric->id, other->id, metric->name_len) == 0);
}

char *
metrics_format(const metrics_t *metrics, size_t *out_len)
{
	static const char *const types[] = { "counter", "gauge", "summary" };
	const metric_t *metric;
	const metric_t *last = NULL;
	char *text = NULL;
	FILE *out = open_memstream(&text, out_len);

	if (out == NULL)
		return (NULL);
	for (metric = metrics->by_id; metric != NULL;
	     metric = metric->hh.next) {
		if (!metric_has_name_of(metric, last))
			fprintf(out, "# TYPE %.*s %s\n", metric->name_len,
			    metric->id, types[metric->kind]);
		last = metric;
		metric_write(metric, out);
	}
	fclose(out);
	return (text);
}
