#include "base/metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define METRIC_NAME_MAX	  64
#define METRIC_LABELS_MAX 192
#define LIST_SIZE_MIN	  64

typedef struct metric_slot {
	metric_t metric; /* first, so that its address is that of the slot */
	metric_kind_t kind;
	UT_hash_handle hh;
	uint8_t name_len;
	char id[]; /* name, "{", labels */
} metric_slot_t;

struct metrics {
	metric_slot_t *by_id;
	metrics_source_cb source;
	void *ctx;
};

/* A metric that is about to be written. */
typedef struct metric_sample {
	const char *name;
	size_t name_len;
	const char *labels; /* of a column: the value of its label */
	const metric_column_t *column; /* NULL: a registered metric */
	metric_kind_t kind;
	metric_t metric;
} metric_sample_t;

struct metrics_list {
	metric_sample_t *samples;
	size_t count;
	size_t size;
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
	metric_slot_t *slot;
	metric_slot_t *next;

	HASH_ITER(hh, metrics->by_id, slot, next) {
		HASH_DEL(metrics->by_id, slot);
		metric_clear(&slot->metric);
		free(slot);
	}
	free(metrics);
}

static metric_slot_t *
metric_slot_create(const char *id, size_t name_len, metric_kind_t kind)
{
	metric_slot_t *slot = calloc(1, sizeof(*slot) + strlen(id) + 1);

	if (slot == NULL)
		return (NULL);
	memcpy(slot->id, id, strlen(id) + 1);
	slot->name_len = (uint8_t)name_len;
	slot->kind = kind;
	return (slot);
}

metric_t *
metrics_get(metrics_t *metrics, const char *name, const char *labels,
    metric_kind_t kind)
{
	metric_slot_t *slot;
	char id[METRIC_NAME_MAX + METRIC_LABELS_MAX];

	if (strlen(name) >= METRIC_NAME_MAX)
		return (NULL);
	snprintf(id, sizeof(id), "%s{%s", name, labels);
	HASH_FIND_STR(metrics->by_id, id, slot);
	if (slot != NULL)
		return (&slot->metric);
	slot = metric_slot_create(id, strlen(name), kind);
	if (slot == NULL)
		return (NULL);
	HASH_ADD_STR(metrics->by_id, id, slot);
	return (&slot->metric);
}

void
metrics_set_source(metrics_t *metrics, metrics_source_cb source, void *ctx)
{
	metrics->source = source;
	metrics->ctx = ctx;
}

void
metric_merge(metric_t *into, const metric_t *from)
{
	into->value += from->value;
	if (from->hist == NULL)
		return;
	if (into->hist == NULL)
		into->hist = calloc(1, sizeof(*into->hist));
	if (into->hist != NULL)
		(void)hist_ranges_merge(into->hist, from->hist);
}

void
metric_clear(metric_t *metric)
{
	if (metric->hist != NULL)
		hist_ranges_clear(metric->hist);
	free(metric->hist);
	*metric = (metric_t){ 0 };
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
	if (metric == NULL)
		return;
	if (metric->hist == NULL)
		metric->hist = calloc(1, sizeof(*metric->hist));
	if (metric->hist != NULL)
		(void)hist_ranges_record(metric->hist, value_us);
}

int64_t
metric_get_value(const metric_t *metric)
{
	return (metric != NULL ? metric->value : 0);
}

/* Upper edges of the exposed buckets: powers of two up to 67 s. */
#define METRIC_EDGE_MIN_US UINT64_C(64)
#define METRIC_EDGE_MAX_US (UINT64_C(1) << 26)

/* Writes "name_suffix{labels", or without "{" where nothing follows it. */
static void
sample_write_name(
    const metric_sample_t *sample, const char *suffix, int brace, FILE *out)
{
	const metric_column_t *column = sample->column;

	fprintf(out, "%.*s%s", (int)sample->name_len, sample->name, suffix);
	if (column != NULL)
		fprintf(out, "{%s=\"%s\"%s", column->label, sample->labels,
		    column->more);
	else if (brace || sample->labels[0] != '\0')
		fprintf(out, "{%s", sample->labels);
}

static const char *
sample_get_separator(const metric_sample_t *sample)
{
	return (sample->column != NULL || sample->labels[0] != '\0' ? "," : "");
}

static void
sample_write_count(const metric_sample_t *sample, const char *suffix,
    uint64_t value, FILE *out)
{
	sample_write_name(sample, suffix, 1, out);
	fprintf(out, "} %llu\n", (unsigned long long)value);
}

static void
sample_read_hist(const metric_sample_t *sample, hist_t *hist)
{
	hist_reset(hist);
	if (sample->metric.hist != NULL)
		hist_ranges_add_to(sample->metric.hist, hist);
}

static void
sample_write_summary(const metric_sample_t *sample, FILE *out)
{
	const char *separator = sample_get_separator(sample);
	hist_t hist;
	size_t i;

	sample_read_hist(sample, &hist);
	for (i = 0; i < sizeof(metric_quantiles) / sizeof(double); i++) {
		sample_write_name(sample, "", 1, out);
		fprintf(out, "%squantile=\"%g\"} %llu\n", separator,
		    metric_quantiles[i],
		    (unsigned long long)hist_get_quantile_us(
			&hist, metric_quantiles[i]));
	}
	sample_write_count(sample, "_count", hist.count, out);
	sample_write_count(sample, "_sum", hist.sum_us, out);
}

/* Quantiles of several VMs cannot be combined; counts per bucket can. */
static void
sample_write_buckets(const metric_sample_t *sample, FILE *out)
{
	const char *separator = sample_get_separator(sample);
	uint64_t edge_us;
	uint64_t count = 0;
	uint32_t i = 0;
	hist_t hist;

	sample_read_hist(sample, &hist);
	for (edge_us = METRIC_EDGE_MIN_US; edge_us <= METRIC_EDGE_MAX_US;
	     edge_us *= 2) {
		while (
		    i < HIST_BUCKETS && hist_get_bucket_edge_us(i) <= edge_us)
			count += hist.bucket[i++];
		sample_write_name(sample, "_hist_bucket", 1, out);
		fprintf(out, "%sle=\"%llu\"} %llu\n", separator,
		    (unsigned long long)edge_us, (unsigned long long)count);
	}
	sample_write_name(sample, "_hist_bucket", 1, out);
	fprintf(out, "%sle=\"+Inf\"} %llu\n", separator,
	    (unsigned long long)hist.count);
	sample_write_count(sample, "_hist_count", hist.count, out);
	sample_write_count(sample, "_hist_sum", hist.sum_us, out);
}

static void
sample_write_value(const metric_sample_t *sample, FILE *out)
{
	int has_labels = sample->column != NULL || sample->labels[0] != '\0';

	sample_write_name(sample, "", 0, out);
	fprintf(out, "%s %lld\n", has_labels ? "}" : "",
	    (long long)sample->metric.value);
}

/* Writes the metrics of one name, which have the same kind. */
static void
metric_write_family(const metric_sample_t *family, size_t count, FILE *out)
{
	static const char *const types[] = { "counter", "gauge", "summary" };
	int name_len = (int)family->name_len;
	size_t i;

	fprintf(out, "# TYPE %.*s %s\n", name_len, family->name,
	    types[family->kind]);
	for (i = 0; i < count; i++) {
		if (family->kind == METRIC_HISTOGRAM)
			sample_write_summary(&family[i], out);
		else
			sample_write_value(&family[i], out);
	}
	if (family->kind != METRIC_HISTOGRAM)
		return;
	fprintf(out, "# TYPE %.*s_hist histogram\n", name_len, family->name);
	for (i = 0; i < count; i++)
		sample_write_buckets(&family[i], out);
}

static int
sample_compare_names(const metric_sample_t *a, const metric_sample_t *b)
{
	size_t shorter = a->name_len < b->name_len ? a->name_len : b->name_len;
	int order = memcmp(a->name, b->name, shorter);

	if (order != 0 || a->name_len == b->name_len)
		return (order);
	return (a->name_len < b->name_len ? -1 : 1);
}

/* Orders by name, then by labels. */
static int
sample_compare(const void *a, const void *b)
{
	const metric_sample_t *x = a;
	const metric_sample_t *y = b;
	int order = sample_compare_names(x, y);

	if (order == 0)
		order = strcmp(x->labels, y->labels);
	if (order == 0 && x->column != NULL && y->column != NULL)
		order = strcmp(x->column->more, y->column->more);
	return (order);
}

/* The format wants all metrics of a name together. */
static void
metrics_write(metrics_list_t *list, FILE *out)
{
	metric_sample_t *sorted = list->samples;
	size_t first = 0;
	size_t i;

	if (list->count == 0)
		return;
	qsort(sorted, list->count, sizeof(*sorted), sample_compare);
	for (i = 1; i <= list->count; i++) {
		if (i < list->count &&
		    sample_compare_names(&sorted[i], &sorted[first]) == 0)
			continue;
		metric_write_family(sorted + first, i - first, out);
		first = i;
	}
}

/* A list that cannot grow stays without the sample. */
static void
list_add(metrics_list_t *list, const metric_sample_t *sample)
{
	size_t size = list->size > 0 ? list->size * 2 : LIST_SIZE_MIN;
	metric_sample_t *grown;

	if (list->count == list->size) {
		grown = realloc(list->samples, size * sizeof(*grown));
		if (grown == NULL)
			return;
		list->samples = grown;
		list->size = size;
	}
	list->samples[list->count++] = *sample;
}

void
metrics_list_add(metrics_list_t *list, const metric_column_t *column,
    const char *label_value, const metric_t *metric)
{
	const metric_sample_t sample = {
		.name = column->name,
		.name_len = strlen(column->name),
		.labels = label_value,
		.column = column,
		.kind = column->kind,
		.metric = *metric,
	};

	list_add(list, &sample);
}

static void
metrics_fill(const metrics_t *metrics, metrics_list_t *list)
{
	const metric_slot_t *slot;

	for (slot = metrics->by_id; slot != NULL; slot = slot->hh.next) {
		const metric_sample_t sample = {
			.name = slot->id,
			.name_len = slot->name_len,
			.labels = slot->id + slot->name_len + 1,
			.kind = slot->kind,
			.metric = slot->metric,
		};

		list_add(list, &sample);
	}
	if (metrics->source != NULL)
		metrics->source(metrics->ctx, list);
}

char *
metrics_format(const metrics_t *metrics, size_t *out_len)
{
	metrics_list_t list = { 0 };
	char *text = NULL;
	FILE *out = open_memstream(&text, out_len);

	if (out == NULL)
		return (NULL);
	metrics_fill(metrics, &list);
	metrics_write(&list, out);
	free(list.samples);
	fclose(out);
	return (text);
}
