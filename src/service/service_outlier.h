/**
 * @file
 * Outlier detection: compares the outcomes of requests to one target with
 * those of its peers. The leader runs it on the reports of all VMs, a view on
 * the requests of its own VM. Callers own all state; does no I/O and reads no
 * clock.
 */
#ifndef TM_SERVICE_OUTLIER_H
#define TM_SERVICE_OUTLIER_H

#include "service/service_defs.h"

/** Time constants of the two decaying windows in ms. */
#define SERVICE_FAST_MS 500
#define SERVICE_SLOW_MS 4000

/** The same outcomes in two exponentially decaying windows. */
typedef struct service_window {
	service_sample_t fast;
	service_sample_t slow;
} service_window_t;

/** Robust statistics of the other targets in one window. */
typedef struct service_peer_stats {
	uint32_t count; /**< targets with a mean latency */
	double median_ms;
	double mad_ms;
	double failure_share;
	double rejected_share;
	double late_share;
} service_peer_stats_t;

/**
 * Statistics of the peers per window. A window is compared with the same window
 * of the peers, so that a change of load affects all targets alike.
 */
typedef struct service_peers {
	service_peer_stats_t fast;
	service_peer_stats_t slow;
} service_peers_t;

/** @return superseded attempts that were late */
double service_sample_get_late(const service_sample_t *sample);

/** Adds a sample to both windows. */
void service_window_add(service_window_t *window, const service_sample_t *add);

/** Adds another window to a window. */
void service_window_merge(
    service_window_t *window, const service_window_t *add);

/** Subtracts a window from a sum that contains it. */
void service_window_subtract(
    service_window_t *window, const service_window_t *remove);

/** Multiplies the fast and the slow sample by their factors. */
void service_window_scale(service_window_t *window, double fast, double slow);

/** Computes the factors by which both samples decay in elapsed_ms. */
void service_window_get_decay(int64_t elapsed_ms, double *fast, double *slow);

/** @return mean latency in ms, with superseded attempts; 0 without samples */
double service_sample_get_mean_ms(const service_sample_t *sample);

/**
 * Computes the statistics of all peers of one target.
 *
 * @param windows  one per target
 * @param use      1 for targets that count as peers
 * @param skip     index of the evaluated target, which is no peer of itself
 */
void service_peers_compute(service_peers_t *peers,
    const service_window_t *windows, const uint8_t *use, uint32_t count,
    uint32_t skip);

/**
 * Whether the window has enough samples for an evaluation. Checking it first
 * saves the peers' statistics, whose total cost is quadratic in the targets.
 *
 * @return 0 if service_outlier_get_score() is 0 whatever the peers are
 */
int service_outlier_has_samples(const service_window_t *window);

/**
 * Evaluates a target and returns the failure score only.
 *
 * @param past_ms  the target's own earlier mean; used with fewer than 2 peers
 * @param lenient  1 during the cold start: the latency threshold doubles
 * @return         0 if there is no reason to eject; otherwise a value >= 1
 *                 that grows with the severity
 */
double service_outlier_get_score(const service_window_t *window,
    const service_peers_t *peers, service_sensitivity_t sensitivity,
    double past_ms, int lenient);

/**
 * Evaluates a target like service_outlier_get_score() and returns the evidence.
 *
 * @param out  the most severe finding; all 0 without one
 */
void service_outlier_evaluate(const service_window_t *window,
    const service_peers_t *peers, service_sensitivity_t sensitivity,
    double past_ms, int lenient, service_finding_t *out);

/**
 * Evaluates only the shares of failed and late attempts of a sample with a hard
 * time limit. In a decaying window with few requests, attempts from before a
 * fault hide it for long.
 *
 * @param peers    with the shares of the peers over a longer time
 * @param lenient  1 during the cold start: late attempts do not count
 * @param worst    replaced by a finding with a higher score
 */
void service_outlier_evaluate_shares(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_sensitivity_t sensitivity,
    int lenient, service_finding_t *worst);

/** Like service_outlier_is_suspect(), for the shares of failed and late
 * attempts only. */
int service_outlier_are_shares_suspect(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_sensitivity_t sensitivity);

/**
 * Whether a subset of the evidence supports the finding on all of it: its
 * values need to exceed those of the peers by only half as much as
 * service_outlier_get_score() requires.
 */
int service_outlier_is_suspect(const service_window_t *window,
    const service_peers_t *peers, service_sensitivity_t sensitivity,
    double past_ms);

/**
 * Age from which a superseded attempt counts as late.
 *
 * @param typical_ms  typical latency of the peers; 0: not known
 * @return            in ms; 0 if it is not known
 */
double service_outlier_get_late_ms(
    service_sensitivity_t sensitivity, double typical_ms);

/** @return ratio to the peers' latency from which a target is slow */
double service_outlier_get_ratio(service_sensitivity_t sensitivity);

/** @return fewest targets that stay in use: floor_percent, rounded up */
uint32_t service_floor_count(uint32_t floor_percent, uint32_t targets);

#endif
