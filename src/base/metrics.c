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

/* Upper edges of the exposed buckets: powers of two up to 67 s. */
#define METRIC_EDGE_MIN_US UINT64_C(64)
#define METRIC_EDGE_MAX_US (UINT64_C(1) << 26)

static const char *
metric_get_labels(const metric_t *metric)
{
	return (metric->id + metric->name_len + 1);
}

/* A histogram without values has no memory of its own. */
static const hist_t *
metric_get_hist(const metric_t *metric)
{
	static const hist_t empty;

	return (metric->hist != NULL ? metric->hist : &empty);
}

static void
metric_write_summary(const metric_t *metric, FILE *out)
{
	const hist_t *hist = metric_get_hist(metric);
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

/* Quantiles of several VMs cannot be combined; counts per bucket can. */
static void
metric_write_buckets(const metric_t *metric, FILE *out)
{
	const hist_t *hist = metric_get_hist(metric);
	const char *labels = metric_get_labels(metric);
	const char *separator = labels[0] != '\0' ? "," : "";
	int name_len = metric->name_len;
	uint64_t edge_us;
	uint64_t count = 0;
	uint32_t i = 0;

	for (edge_us = METRIC_EDGE_MIN_US; edge_us <= METRIC_EDGE_MAX_US;
	     edge_us *= 2) {
		while (
		    i < HIST_BUCKETS && hist_get_bucket_edge_us(i) <= edge_us)
			count += hist->bucket[i++];
		fprintf(out, "%.*s_hist_bucket{%s%sle=\"%llu\"} %llu\n",
		    name_len, metric->id, labels, separator,
		    (unsigned long long)edge_us, (unsigned long long)count);
	}
	fprintf(out, "%.*s_hist_bucket{%s%sle=\"+Inf\"} %llu\n", name_len,
	    metric->id, labels, separator, (unsigned long long)hist->count);
	fprintf(out, "%.*s_hist_count{%s} %llu\n", name_len, metric->id, labels,
	    (unsigned long long)hist->count);
	fprintf(out, "%.*s_hist_sum{%s} %llu\n", name_len, metric->id, labels,
	    (unsigned long long)hist->sum_us);
}

static void
metric_write_value(const metric_t *metric, FILE *out)
{
	const char *labels = metric_get_labels(metric);
	int name_len = metric->name_len;

	if (labels[0] == '\0')
		fprintf(out, "%.*s %lld\n", name_len, metric->id,
		    (long long)metric->value);
	else
		fprintf(out, "%.*s{%s} %lld\n", name_len, metric->id, labels,
		    (long long)metric->value);
}

/* Writes the metrics of one name, which have the same kind. */
static void
metric_write_family(metric_t *const *family, size_t count, FILE *out)
{
	static const char *const types[] = { "counter", "gauge", "summary" };
	const metric_t *first = family[0];
	size_t i;

	fprintf(out, "# TYPE %.*s %s\n", first->name_len, first->id,
	    types[first->kind]);
	for (i = 0; i < count; i++) {
		if (first->kind == METRIC_HISTOGRAM)
			metric_write_summary(family[i], out);
		else
			metric_write_value(family[i], out);
	}
	if (first->kind != METRIC_HISTOGRAM)
		return;
	fprintf(
	    out, "# TYPE %.*s_hist histogram\n", first->name_len, first->id);
	for (i = 0; i < count; i++)
		metric_write_buckets(family[i], out);
}

static int
metric_has_name_of(const metric_t *metric, const metric_t *other)
{
	return (metric->name_len == other->name_len &&
	    memcmp(metric->id, other->id, metric->name_len) == 0);
}

/* Orders by name, then by labels. */
static int
metric_compare(const void *a, const void *b)
{
	const metric_t *x = *(metric_t *const *)a;
	const metric_t *y = *(metric_t *const *)b;
	size_t shorter = x->name_len < y->name_len ? x->name_len : y->name_len;
	int order = memcmp(x->id, y->id, shorter);

	if (order != 0)
		return (order);
	if (x->name_len != y->name_len)
		return (x->name_len < y->name_len ? -1 : 1);
	return (strcmp(metric_get_labels(x), metric_get_labels(y)));
}

/* The format wants all metrics of a name together. */
static void
metrics_write(metric_t **sorted, size_t count, FILE *out)
{
	size_t first = 0;
	size_t i;

	qsort(sorted, count, sizeof(metric_t *), metric_compare);
	for (i = 1; i <= count; i++) {
		if (i < count && metric_has_name_of(sorted[i], sorted[first]))
			continue;
		metric_write_family(sorted + first, i - first, out);
		first = i;
	}
}

char *
metrics_format(const metrics_t *metrics, size_t *out_len)
{
	metric_t **sorted =
	    calloc(HASH_COUNT(metrics->by_id) + 1, sizeof(metric_t *));
	metric_t *metric;
	size_t count = 0;
	char *text = NULL;
	FILE *out = open_memstream(&text, out_len);

	if (sorted != NULL && out != NULL) {
		for (metric = metrics->by_id; metric != NULL;
		     metric = metric->hh.next)
			sorted[count++] = metric;
		if (count > 0)
			metrics_write(sorted, count, out);
	}
	free(sorted);
	if (out == NULL)
		return (NULL);
	fclose(out);
	return (text);
}
