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

#include "base/hist.h"

/** Kind of a metric. */
typedef enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM
} metric_kind_t;

typedef struct metric metric_t;
typedef struct metrics metrics_t;

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
