/**
 * @file
 * Judgement of a target by the outcomes of its requests, compared with its
 * peers. Used by the leader on the evidence of all VMs and by a view on its
 * own evidence.
 */
#ifndef TM_SERVICE_OUTLIER_H
#define TM_SERVICE_OUTLIER_H

#include "service/service_defs.h"

/** Time constants of the two decaying windows in ms. */
#define SERVICE_FAST_MS 500
#define SERVICE_SLOW_MS 4000

/** The same outcomes in two decaying windows. */
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

/** The peers in both windows, so that a change of load hits all alike. */
typedef struct service_peers {
	service_peer_stats_t fast;
	service_peer_stats_t slow;
} service_peers_t;

/** @return outrun attempts that were late */
double service_sample_get_late(const service_sample_t *sample);

/** Adds a sample to both windows. */
void service_window_add(service_window_t *window, const service_sample_t *add);

/** Adds another window to a window. */
void service_window_merge(
    service_window_t *window, const service_window_t *add);

/** Takes a window that was added before out of a sum. */
void service_window_subtract(
    service_window_t *window, const service_window_t *remove);

/** Multiplies each window by its factor. */
void service_window_scale(service_window_t *window, double fast, double slow);

/** Factors for elapsed_ms. */
void service_window_get_decay(int64_t elapsed_ms, double *fast, double *slow);

/** @return mean latency in ms, with outrun attempts; 0 without samples */
double service_sample_get_mean_ms(const service_sample_t *sample);

/**
 * Statistics over targets other than one.
 *
 * @param windows  one per target
 * @param use      1 for targets that count as peers
 * @param skip     index of the judged target
 */
void service_peers_compute(service_peers_t *peers,
    const service_window_t *windows, const uint8_t *use, uint32_t count,
    uint32_t skip);

/**
 * Whether there is enough for a verdict; spares the peers' statistics, whose
 * cost grows with the square of the targets.
 *
 * @return 0 if service_outlier_get_score() gives 0 for any peers
 */
int service_outlier_has_samples(const service_window_t *window);

/**
 * @param past_ms  the target's own earlier mean; used with fewer than 2 peers
 * @param lenient  1 during the cold start: the latency threshold doubles
 * @return         0 if there is no reason to eject; otherwise a value >= 1
 *                 that grows with the severity
 */
double service_outlier_get_score(const service_window_t *window,
    const service_peers_t *peers, service_eagerness_t eagerness, double past_ms,
    int lenient);

/**
 * The same with the evidence behind it.
 *
 * @param out  the most severe finding; all 0 without one
 */
void service_outlier_evaluate(const service_window_t *window,
    const service_peers_t *peers, service_eagerness_t eagerness, double past_ms,
    int lenient, service_verdict_t *out);

/**
 * Judges the shares of bad and late attempts of a sample, which forgets older
 * attempts at once. In a decaying window, those before a fault hide it for long
 * when few requests arrive.
 *
 * @param peers    with the shares of the peers over a longer time
 * @param lenient  1 during the cold start: late attempts do not count
 * @param worst    kept if it is more severe
 */
void service_outlier_evaluate_shares(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_eagerness_t eagerness,
    int lenient, service_verdict_t *worst);

/** The same limits for a part of the sample as service_outlier_is_suspect(). */
int service_outlier_are_shares_suspect(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_eagerness_t eagerness);

/**
 * Whether a part of the evidence supports a verdict that the whole gave: half
 * the distance to the limits of service_outlier_get_score() is enough.
 */
int service_outlier_is_suspect(const service_window_t *window,
    const service_peers_t *peers, service_eagerness_t eagerness,
    double past_ms);

/**
 * Age from which an outrun attempt counts as late.
 *
 * @param typical_ms  of the peers; 0: not known
 * @return            in ms; 0 if it is not known
 */
double service_outlier_get_late_ms(
    service_eagerness_t eagerness, double typical_ms);

/** @return ratio of latencies that counts as slow */
double service_outlier_get_ratio(service_eagerness_t eagerness);

/** @return fewest targets in use for a profile floor */
uint32_t service_floor_count(uint32_t floor_percent, uint32_t targets);

#endif
