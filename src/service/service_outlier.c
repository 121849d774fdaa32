#include "service/service_outlier.h"

#include <math.h>
#include <stdlib.h>

/* Fewest successes for a mean that is compared. */
#define OUTLIER_SUCCESSES_MIN 5.0
/* Fewest failures that count as evidence. */
#define OUTLIER_FAILURES_MIN 5.0
/* Fewest failures in a subset that support a finding on the whole. */
#define OUTLIER_SUSPECT_FAILURES_MIN 3.0
/* Fewest attempts for the comparison of rejected and shed shares. */
#define OUTLIER_REJECTED_ATTEMPTS_MIN 10.0
#define OUTLIER_REJECTED_SHARE	      0.5
#define OUTLIER_REJECTED_PEERS_SHARE  0.1
/* MAD of a normal distribution times this is its standard deviation. */
#define OUTLIER_MAD_SCALE 1.4826
/* Smaller differences are within the resolution of the millisecond clock. */
#define OUTLIER_DIFFERENCE_MIN_MS 3.0

typedef struct outlier_limits {
	double ratio;
	double failure_share;
	double late_share;
} outlier_limits_t;

/*
 * With exponential service times, a hedged attempt starts after 4 typical
 * latencies and takes one. At a target that is slow by the ratio r it
 * supersedes exp(-4 / r) r / (1 + r) of the requests, which is late_share.
 */
static const outlier_limits_t outlier_limits[] = {
	[SERVICE_EAGER] = { .ratio = 2.5,
	    .failure_share = 0.05,
	    .late_share = 0.14 },
	[SERVICE_NORMAL] = { .ratio = 3.0,
	    .failure_share = 0.08,
	    .late_share = 0.20 },
	[SERVICE_CAUTIOUS] = { .ratio = 4.0,
	    .failure_share = 0.12,
	    .late_share = 0.29 },
};

static void
sample_add(service_sample_t *to, const service_sample_t *from, double factor)
{
	to->count += factor * from->count;
	to->failures += factor * from->failures;
	to->rejected += factor * from->rejected;
	to->latency_ms += factor * from->latency_ms;
	to->successes += factor * from->successes;
}

static void
sample_scale(service_sample_t *sample, double factor)
{
	sample->count *= factor;
	sample->failures *= factor;
	sample->rejected *= factor;
	sample->latency_ms *= factor;
	sample->successes *= factor;
}

void
service_window_add(service_window_t *window, const service_sample_t *add)
{
	sample_add(&window->fast, add, 1.0);
	sample_add(&window->slow, add, 1.0);
}

void
service_window_merge(service_window_t *window, const service_window_t *add)
{
	sample_add(&window->fast, &add->fast, 1.0);
	sample_add(&window->slow, &add->slow, 1.0);
}

void
service_window_subtract(
    service_window_t *window, const service_window_t *remove)
{
	sample_add(&window->fast, &remove->fast, -1.0);
	sample_add(&window->slow, &remove->slow, -1.0);
}

void
service_window_scale(service_window_t *window, double fast, double slow)
{
	sample_scale(&window->fast, fast);
	sample_scale(&window->slow, slow);
}

void
service_window_get_decay(int64_t elapsed_ms, double *fast, double *slow)
{
	*fast = exp(-(double)elapsed_ms / SERVICE_FAST_MS);
	*slow = exp(-(double)elapsed_ms / SERVICE_SLOW_MS);
}

/* Too low by 1 for each attempt that stalled (a failure) and then succeeded. */
double
service_sample_get_late(const service_sample_t *sample)
{
	double late = sample->count - sample->failures - sample->rejected -
	    sample->successes;

	return (fmax(late, 0.0));
}

/* Attempts with a known latency, or a known age when they were superseded. */
static double
sample_get_timed(const service_sample_t *sample)
{
	return (fmax(sample->successes,
	    sample->count - sample->failures - sample->rejected));
}

/*
 * A superseded attempt would have taken longer than its age. Its age counts in
 * the sum but not in the number, which is the usual estimate of a mean from
 * censored times. Without such attempts, the mean of a slow target would cover
 * only its quick ones.
 */
double
service_sample_get_mean_ms(const service_sample_t *sample)
{
	if (sample_get_timed(sample) < 0.5)
		return (0.0);
	return (sample->latency_ms / fmax(sample->successes, 1.0));
}

static int
outlier_compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return ((x > y) - (x < y));
}

static double
outlier_get_median(double *values, uint32_t count)
{
	if (count == 0)
		return (0.0);
	qsort(values, count, sizeof(values[0]), outlier_compare);
	if (count % 2 == 1)
		return (values[count / 2]);
	return ((values[count / 2 - 1] + values[count / 2]) / 2);
}

static void
peers_compute_window(service_peer_stats_t *stats,
    const service_window_t *windows, const uint8_t *use, uint32_t count,
    uint32_t skip, int fast)
{
	double means[SERVICE_TARGETS_MAX];
	double failures[SERVICE_TARGETS_MAX];
	double rejected[SERVICE_TARGETS_MAX];
	double late[SERVICE_TARGETS_MAX];
	const service_sample_t *sample;
	uint32_t shares = 0;
	uint32_t i;

	*stats = (service_peer_stats_t){ 0 };
	for (i = 0; i < count && i < SERVICE_TARGETS_MAX; i++) {
		if (i == skip || !use[i])
			continue;
		sample = fast ? &windows[i].fast : &windows[i].slow;
		if (sample->successes >= OUTLIER_SUCCESSES_MIN)
			means[stats->count++] =
			    service_sample_get_mean_ms(sample);
		if (sample->count < OUTLIER_SUCCESSES_MIN)
			continue;
		failures[shares] = sample->failures / sample->count;
		rejected[shares] = sample->rejected / sample->count;
		late[shares++] =
		    service_sample_get_late(sample) / sample->count;
	}
	stats->failure_share = outlier_get_median(failures, shares);
	stats->rejected_share = outlier_get_median(rejected, shares);
	stats->late_share = outlier_get_median(late, shares);
	stats->median_ms = outlier_get_median(means, stats->count);
	for (i = 0; i < stats->count; i++)
		means[i] = fabs(means[i] - stats->median_ms);
	stats->mad_ms = outlier_get_median(means, stats->count);
}

void
service_peers_compute(service_peers_t *peers, const service_window_t *windows,
    const uint8_t *use, uint32_t count, uint32_t skip)
{
	peers_compute_window(&peers->fast, windows, use, count, skip, 1);
	peers_compute_window(&peers->slow, windows, use, count, skip, 0);
}

static void
outlier_keep_worst(service_finding_t *worst, service_evidence_t evidence,
    double failure_score, double value, double limit)
{
	if (failure_score <= worst->failure_score)
		return;
	*worst = (service_finding_t){
		.failure_score = failure_score,
		.evidence = evidence,
		.value = value,
		.limit = limit,
	};
}

/*
 * The limit on the count rules out chance: a target with the peers' failure
 * share exceeds it less than once in 10^7 windows.
 */
static void
outlier_check_share(double found, double count, double peers_share,
    double limit, service_evidence_t evidence, service_finding_t *worst)
{
	double expected = count * peers_share;
	double share;

	if (found < OUTLIER_FAILURES_MIN)
		return;
	if (found < expected + 4 * sqrt(expected + 1))
		return;
	share = found / fmax(count, 1.0);
	if (share < limit || share < 3 * peers_share)
		return;
	outlier_keep_worst(worst, evidence, share / limit, share, limit);
}

static void
outlier_check_failures(const service_sample_t *sample,
    const service_peer_stats_t *peers, const outlier_limits_t *limits,
    service_finding_t *worst)
{
	outlier_check_share(sample->failures, sample->count,
	    peers->failure_share, limits->failure_share,
	    SERVICE_EVIDENCE_FAILURES, worst);
}

/*
 * The mean of a target that stalls some of its requests grows slowly, because
 * it includes requests from before the fault; the late share shows the fault
 * sooner. A cold target is slow anyway, so that only its mean is evaluated.
 */
static void
outlier_check_late(const service_sample_t *sample,
    const service_peer_stats_t *peers, const outlier_limits_t *limits,
    int lenient, service_finding_t *worst)
{
	if (lenient || peers->count < 2)
		return;
	outlier_check_share(service_sample_get_late(sample), sample->count,
	    peers->late_share, limits->late_share, SERVICE_EVIDENCE_LATE,
	    worst);
}

static void
outlier_check_rejected(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_finding_t *worst)
{
	double share;

	if (sample->count < OUTLIER_REJECTED_ATTEMPTS_MIN || peers->count < 2)
		return;
	share = sample->rejected / sample->count;
	if (share < OUTLIER_REJECTED_SHARE ||
	    peers->rejected_share > OUTLIER_REJECTED_PEERS_SHARE)
		return;
	outlier_keep_worst(worst, SERVICE_EVIDENCE_REJECTED,
	    share / OUTLIER_REJECTED_SHARE, share, OUTLIER_REJECTED_SHARE);
}

/* The limit is higher for few samples, whose mean varies by chance. */
static void
outlier_check_latency(const service_sample_t *sample,
    const service_peer_stats_t *peers, const outlier_limits_t *limits,
    double past_ms, int lenient, service_finding_t *worst)
{
	double base_ms = peers->count >= 2 ? peers->median_ms : past_ms;
	double mean_ms = service_sample_get_mean_ms(sample);
	double spread_ms = 3 * OUTLIER_MAD_SCALE * peers->mad_ms;
	double ratio;
	double limit;

	if (sample_get_timed(sample) < OUTLIER_SUCCESSES_MIN || base_ms <= 0.0)
		return;
	base_ms = fmax(base_ms, 1.0);
	ratio = mean_ms / base_ms;
	limit = limits->ratio * (1 + 2 / sqrt(fmax(sample->successes, 1.0)));
	if (lenient)
		limit *= 2;
	if (ratio < limit || mean_ms - base_ms < OUTLIER_DIFFERENCE_MIN_MS)
		return;
	if (peers->count >= 2 && mean_ms - base_ms < spread_ms)
		return;
	outlier_keep_worst(
	    worst, SERVICE_EVIDENCE_SLOW, ratio / limits->ratio, ratio, limit);
}

void
service_outlier_evaluate(const service_window_t *window,
    const service_peers_t *peers, service_sensitivity_t sensitivity,
    double past_ms, int lenient, service_finding_t *out)
{
	const outlier_limits_t *limits = &outlier_limits[sensitivity];
	const service_sample_t *samples[] = { &window->fast, &window->slow };
	const service_peer_stats_t *stats[] = { &peers->fast, &peers->slow };
	int i;

	*out = (service_finding_t){ 0 };
	for (i = 0; i < 2; i++) {
		outlier_check_failures(samples[i], stats[i], limits, out);
		outlier_check_rejected(samples[i], stats[i], out);
		outlier_check_late(samples[i], stats[i], limits, lenient, out);
		outlier_check_latency(
		    samples[i], stats[i], limits, past_ms, lenient, out);
	}
}

void
service_outlier_evaluate_shares(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_sensitivity_t sensitivity,
    int lenient, service_finding_t *worst)
{
	const outlier_limits_t *limits = &outlier_limits[sensitivity];

	outlier_check_failures(sample, peers, limits, worst);
	outlier_check_late(sample, peers, limits, lenient, worst);
}

int
service_outlier_has_samples(const service_window_t *window)
{
	const service_sample_t *samples[] = { &window->fast, &window->slow };
	int i;

	for (i = 0; i < 2; i++) {
		if (sample_get_timed(samples[i]) >= OUTLIER_SUCCESSES_MIN ||
		    samples[i]->failures >= OUTLIER_FAILURES_MIN ||
		    samples[i]->count >= OUTLIER_REJECTED_ATTEMPTS_MIN)
			return (1);
	}
	return (0);
}

double
service_outlier_get_score(const service_window_t *window,
    const service_peers_t *peers, service_sensitivity_t sensitivity,
    double past_ms, int lenient)
{
	service_finding_t verdict;

	service_outlier_evaluate(
	    window, peers, sensitivity, past_ms, lenient, &verdict);
	return (verdict.failure_score);
}

static int
outlier_is_share_suspect(
    double found, double count, double peers_share, double limit)
{
	double share = found / fmax(count, 1.0);

	return (found >= OUTLIER_SUSPECT_FAILURES_MIN && share >= limit / 2 &&
	    share >= 3 * peers_share);
}

int
service_outlier_are_shares_suspect(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_sensitivity_t sensitivity)
{
	const outlier_limits_t *limits = &outlier_limits[sensitivity];

	return (outlier_is_share_suspect(sample->failures, sample->count,
		    peers->failure_share, limits->failure_share) ||
	    outlier_is_share_suspect(service_sample_get_late(sample),
		sample->count, peers->late_share, limits->late_share));
}

static int
outlier_is_sample_suspect(const service_sample_t *sample,
    const service_peer_stats_t *peers, service_sensitivity_t sensitivity,
    double past_ms)
{
	double base_ms = peers->count >= 2 ? peers->median_ms : past_ms;
	double count = fmax(sample->count, 1.0);
	double ratio = outlier_limits[sensitivity].ratio;

	if (service_outlier_are_shares_suspect(sample, peers, sensitivity))
		return (1);
	if (sample->rejected / count >= OUTLIER_REJECTED_SHARE / 2)
		return (1);
	return (sample_get_timed(sample) >= OUTLIER_SUCCESSES_MIN &&
	    base_ms > 0.0 &&
	    service_sample_get_mean_ms(sample) >= (1 + ratio) / 2 * base_ms);
}

int
service_outlier_is_suspect(const service_window_t *window,
    const service_peers_t *peers, service_sensitivity_t sensitivity,
    double past_ms)
{
	return (outlier_is_sample_suspect(
		    &window->fast, &peers->fast, sensitivity, past_ms) ||
	    outlier_is_sample_suspect(
		&window->slow, &peers->slow, sensitivity, past_ms));
}

double
service_outlier_get_late_ms(
    service_sensitivity_t sensitivity, double typical_ms)
{
	if (typical_ms <= 0.0)
		return (0.0);
	return (fmax(fmax(typical_ms, 1.0) * outlier_limits[sensitivity].ratio,
	    typical_ms + OUTLIER_DIFFERENCE_MIN_MS));
}

double
service_outlier_get_ratio(service_sensitivity_t sensitivity)
{
	return (outlier_limits[sensitivity].ratio);
}

uint32_t
service_floor_count(uint32_t floor_percent, uint32_t targets)
{
	return ((uint32_t)(((uint64_t)floor_percent * targets + 99) / 100));
}
