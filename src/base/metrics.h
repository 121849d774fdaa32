/**
 * @file
 * Counters, gauges and latency histograms with one label set each, written
 * in the text exposition format. A metric is registered once and then updated
 * through its pointer.
 */
#ifndef TM_BASE_METRICS_H
#define TM_BASE_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "base/hist_ranges.h"

/** Kind of a metric. */
typedef enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM
} metric_kind_t;

/** Value of a metric; empty when all bytes are 0. */
typedef struct metric {
	int64_t value; /**< of a counter or gauge */
	hist_ranges_t *hist; /**< made by the first duration */
} metric_t;

typedef struct metrics metrics_t;

/**
 * Metrics of one name that their owner keeps, one for each value of a label:
 * a registered metric takes 150 bytes more for its name and its hash links.
 */
typedef struct metric_column {
	const char *name;
	const char *label; /**< label name, e.g. workspace */
	const char *more; /**< further labels with a leading comma, or "" */
	metric_kind_t kind;
} metric_column_t;

typedef struct metrics_list metrics_list_t;

/** Adds the metrics of columns to a list; see metrics_list_add(). */
typedef void (*metrics_source_cb)(void *ctx, metrics_list_t *list);

/** Creates an empty registry. @return NULL if memory is exhausted */
metrics_t *metrics_create(void);

/** Frees a registry and its metrics. */
void metrics_destroy(metrics_t *metrics);

/**
 * Finds or registers a metric.
 *
 * @param name   metric name with its unit suffix
 * @param labels label list without braces, e.g. workspace="a"; may be ""
 * @param kind   kind; must be the same for all metrics of this name
 * @return       the metric, or NULL if memory is exhausted
 */
metric_t *metrics_get(metrics_t *metrics, const char *name, const char *labels,
    metric_kind_t kind);

/** Sets the owner of columns, which metrics_format() asks for them. */
void metrics_set_source(
    metrics_t *metrics, metrics_source_cb source, void *ctx);

/**
 * Adds a metric of a column.
 *
 * @param label_value  value of the column's label; valid until the text is
 *                     written, as is the histogram of the metric
 */
void metrics_list_add(metrics_list_t *list, const metric_column_t *column,
    const char *label_value, const metric_t *metric);

/** Adds the value or the durations of another metric of the same kind. */
void metric_merge(metric_t *into, const metric_t *from);

/** Frees the memory of a metric that its owner keeps, and empties it. */
void metric_clear(metric_t *metric);

/** Adds to a counter; does nothing if metric is NULL. */
void metric_add(metric_t *metric, uint64_t delta);

/** Sets a gauge; does nothing if metric is NULL. */
void metric_set(metric_t *metric, int64_t value);

/** Records a duration in microseconds; does nothing if metric is NULL. */
void metric_record_us(metric_t *metric, int64_t value_us);

/** @return the value of a counter or gauge; 0 if metric is NULL */
int64_t metric_get_value(const metric_t *metric);

/**
 * Writes all metrics in the text exposition format.
 *
 * @param out_len  length of the text in bytes
 * @return         text that the caller frees; NULL if memory is exhausted
 */
char *metrics_format(const metrics_t *metrics, size_t *out_len);

#endif
