#include "gate/gate_cost.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Places of classes and of workspaces within classes, and the places in which
 * an entry may be. The entry that was used least recently gives way. */
#define CLASSES	   1024
#define WORKSPACES 2048
#define PLACES	   4
/* An entry without responses for this time is unknown. */
#define ENTRY_MAX_AGE_MS 60000
/* Smallest weight of a response in the mean of a class: the cost of a route may
 * change within a day. */
#define CLASS_WEIGHT_MIN 0.02
/* Of a response of the workspace that had the last one in the class: one
 * workspace alone must not set the mean for others. */
#define SAME_WORKSPACE_WEIGHT 0.25
/* Smallest weight of a response in the mean of a workspace. */
#define WORKSPACE_WEIGHT_MIN 0.05
/* Responses after which a workspace counts half by its own mean, half by that
 * of its class. */
#define WORKSPACE_SHRINKAGE 10.0
#define RESPONSES_MAX	    50.0
/* A response moves a mean as if it had cost at most this multiple of it. */
#define OUTLIER_RATIO 8.0
/* The same for the speed of a target. */
#define SPEED_RATIO 4.0
/* Responses after which the speed counts half. */
#define SPEED_SHRINKAGE 2.0
/* Largest weight of the past, and the time constant of its decay. */
#define SPEED_WEIGHT_MAX 20.0
#define SPEED_DECAY_MS	 30000.0

/* Weight of a request in the mean cost of a service, and the largest ratio
 * between a request and this mean that counts. */
#define MEAN_WEIGHT  0.02
#define WEIGHT_RATIO 5.0
/* A request counts as one of mean cost if its cost differs by less than this
 * factor: the means of a single class vary that much by themselves. */
#define WEIGHT_TOLERANCE 1.25

/* An estimate that is off by more than this factor counts as missed. */
#define MISSED_RATIO 2.0

/* A mean over responses. */
typedef struct entry {
	uint64_t key; /* 0: free */
	double mean; /* ms of a class, multiple of it of a workspace */
	double responses;
	int64_t used_ms;
	uint64_t last_workspace;
} entry_t;

struct gate_cost {
	entry_t classes[CLASSES];
	entry_t workspaces[WORKSPACES];
};

gate_cost_t *
gate_cost_create(void)
{
	return (calloc(1, sizeof(gate_cost_t)));
}

void
gate_cost_destroy(gate_cost_t *cost)
{
	free(cost);
}

uint64_t
gate_cost_get_class(
    const char *route, const char *method, size_t method_len, size_t body_len)
{
	uint64_t size_class = 0;

	for (; body_len > 0; body_len /= 4)
		size_class++;
	return (
	    XXH64(route, strlen(route), XXH64(method, method_len, size_class)));
}

static double
limit(double value, double low, double high)
{
	return (fmin(fmax(value, low), high));
}

static uint64_t
get_workspace_key(const gate_cost_key_t *key)
{
	return (key->class_id ^ (key->workspace * 0x9e3779b97f4a7c15ULL));
}

/* @return the entry of a key that is not too old, or NULL */
static const entry_t *
find(const entry_t *entries, size_t count, uint64_t key, int64_t now_ms)
{
	const entry_t *entry;
	size_t i;

	for (i = 0; i < PLACES; i++) {
		entry = &entries[(key + i) % count];
		if (entry->key == key && entry->responses > 0 &&
		    now_ms - entry->used_ms <= ENTRY_MAX_AGE_MS)
			return (entry);
	}
	return (NULL);
}

/* @return the entry of a key; an old or a new one is empty */
static entry_t *
get(entry_t *entries, size_t count, uint64_t key, int64_t now_ms)
{
	entry_t *oldest = &entries[key % count];
	entry_t *entry;
	size_t i;

	for (i = 0; i < PLACES; i++) {
		entry = &entries[(key + i) % count];
		if (entry->key == key) {
			oldest = entry;
			break;
		}
		if (entry->used_ms < oldest->used_ms)
			oldest = entry;
	}
	if (oldest->key != key || now_ms - oldest->used_ms > ENTRY_MAX_AGE_MS)
		*oldest = (entry_t){ .key = key };
	oldest->used_ms = now_ms;
	return (oldest);
}

/* @return cost of the requests of a workspace as a multiple of the class */
static double
get_factor(const gate_cost_t *cost, const gate_cost_key_t *key, int64_t now_ms)
{
	const entry_t *entry;

	if (key->workspace == 0)
		return (1);
	entry =
	    find(cost->workspaces, WORKSPACES, get_workspace_key(key), now_ms);
	if (entry == NULL)
		return (1);
	return ((entry->mean * entry->responses + WORKSPACE_SHRINKAGE) /
	    (entry->responses + WORKSPACE_SHRINKAGE));
}

double
gate_cost_expect(
    const gate_cost_t *cost, const gate_cost_key_t *key, int64_t now_ms)
{
	const entry_t *entry =
	    find(cost->classes, CLASSES, key->class_id, now_ms);

	return (
	    entry != NULL ? entry->mean * get_factor(cost, key, now_ms) : 0);
}

double
gate_cost_get_weight(const gate_cost_t *cost, const gate_cost_key_t *key,
    gate_cost_service_t *service, int64_t now_ms)
{
	double expected_ms = gate_cost_expect(cost, key, now_ms);
	double weight;

	if (expected_ms <= 0)
		return (1);
	if (service->mean_ms <= 0)
		service->mean_ms = expected_ms;
	service->mean_ms += MEAN_WEIGHT * (expected_ms - service->mean_ms);
	weight = limit(
	    expected_ms / service->mean_ms, 1 / WEIGHT_RATIO, WEIGHT_RATIO);
	if (weight < WEIGHT_TOLERANCE && weight > 1 / WEIGHT_TOLERANCE)
		return (1);
	return (gate_cost_fit_apply(&service->costs, weight));
}

/* Moves the mean of an entry towards a response. */
static void
move(entry_t *entry, double seen, double weight_min, double share)
{
	double weight = fmax(weight_min, 1 / (entry->responses + 1)) * share;

	entry->mean += weight * (seen - entry->mean);
	if (entry->responses < RESPONSES_MAX)
		entry->responses += 1;
}

static void
record_workspace(
    gate_cost_t *cost, const gate_cost_key_t *key, double ratio, int64_t now_ms)
{
	entry_t *entry;

	if (key->workspace == 0)
		return;
	entry =
	    get(cost->workspaces, WORKSPACES, get_workspace_key(key), now_ms);
	if (entry->responses <= 0)
		entry->mean = 1;
	move(entry, ratio, WORKSPACE_WEIGHT_MIN, 1);
}

/* @return what a response counts, of one after that of another workspace */
static double
get_share(const gate_cost_t *cost, const gate_cost_key_t *key, int64_t now_ms)
{
	const entry_t *entry =
	    find(cost->classes, CLASSES, key->class_id, now_ms);

	return (entry != NULL && key->workspace != 0 &&
		    key->workspace == entry->last_workspace
		? SAME_WORKSPACE_WEIGHT
		: 1);
}

/* @param cost_ms  of a request, as seen */
static void
record_cost(gate_cost_t *cost, const gate_cost_key_t *key, double cost_ms,
    int64_t now_ms)
{
	entry_t *entry = get(cost->classes, CLASSES, key->class_id, now_ms);
	double factor = get_factor(cost, key, now_ms);
	double share = get_share(cost, key, now_ms);

	if (entry->responses <= 0)
		entry->mean = cost_ms;
	record_workspace(cost, key,
	    limit(cost_ms / entry->mean, 1 / OUTLIER_RATIO, OUTLIER_RATIO),
	    now_ms);
	move(entry,
	    limit(cost_ms / factor, entry->mean / OUTLIER_RATIO,
		entry->mean * OUTLIER_RATIO),
	    CLASS_WEIGHT_MIN, share);
	entry->last_workspace = key->workspace;
}

double
gate_speed_get_weight(const gate_speed_t *speed, int64_t now_ms)
{
	return (speed->weight *
	    exp(-(double)(now_ms - speed->updated_ms) / SPEED_DECAY_MS));
}

/* @return slowness as seen at this target alone */
static double
get_slowness(const gate_speed_t *speed, int64_t now_ms)
{
	double weight;

	if (speed->weight <= 0)
		return (1);
	weight = gate_speed_get_weight(speed, now_ms);
	return (pow(speed->slowness, weight / (weight + SPEED_SHRINKAGE)));
}

double
gate_cost_get_slowness(const gate_cost_service_t *service,
    const gate_speed_t *speed, int64_t now_ms)
{
	double slowness = get_slowness(speed, now_ms);

	/* Geometric means of ratios to arithmetic means are less than 1 alike. */
	return (limit(gate_cost_fit_apply_mean(&service->speeds,
			  slowness / gate_cost_fit_get_mean(&service->speeds),
			  gate_speed_get_weight(speed, now_ms)),
	    1 / SPEED_RATIO, SPEED_RATIO));
}

static void
record_speed(gate_speed_t *speed, double ratio, int64_t now_ms)
{
	double weight = gate_speed_get_weight(speed, now_ms);

	/* The geometric mean: a tail of costly requests moves it less. */
	speed->slowness = weight > 0
	    ? pow(speed->slowness, weight / (weight + 1)) *
		pow(ratio, 1 / (weight + 1))
	    : ratio;
	speed->weight = fmin(weight + 1, SPEED_WEIGHT_MAX);
	speed->updated_ms = now_ms;
}

static void
compare(gate_cost_totals_t *totals, double expected_ms, double seen_ms)
{
	totals->responses++;
	totals->expected_ms += (uint64_t)lround(expected_ms);
	totals->seen_ms += (uint64_t)lround(seen_ms);
	if (seen_ms > MISSED_RATIO * expected_ms ||
	    expected_ms > MISSED_RATIO * seen_ms)
		totals->missed++;
}

/* Compares a response with what was known of its class and target before. */
static void
record_fits(gate_cost_service_t *service, const gate_speed_t *speed,
    double expected_ms, double ratio, double weight, int64_t now_ms)
{
	double slowness = gate_cost_get_slowness(service, speed, now_ms);
	gate_cost_sample_t cost = {
		.forecast = expected_ms,
		.seen = expected_ms * ratio / slowness,
		.weight = weight,
		.now_ms = now_ms,
	};
	gate_cost_sample_t target = {
		.forecast = get_slowness(speed, now_ms),
		.seen = ratio,
		.weight = weight,
		.now_ms = now_ms,
	};

	gate_cost_fit_record(&service->costs, &cost);
	if (gate_speed_get_weight(speed, now_ms) >= 1)
		gate_cost_fit_record(&service->speeds, &target);
}

void
gate_cost_record(gate_cost_t *cost, const gate_cost_key_t *key,
    gate_speed_t *speed, gate_cost_service_t *service,
    const gate_cost_outcome_t *outcome)
{
	double expected_ms = gate_cost_expect(cost, key, outcome->now_ms);
	double slowness =
	    gate_cost_get_slowness(service, speed, outcome->now_ms);
	/* In a full target a request takes its time once for each request
	 * that shares its slot. */
	double seen_ms = fmax(outcome->latency_ms, 1) / fmax(outcome->load, 1);
	double ratio;

	if (expected_ms > 0) {
		compare(&service->totals, expected_ms * slowness, seen_ms);
		ratio =
		    limit(seen_ms / expected_ms, 1 / SPEED_RATIO, SPEED_RATIO);
		record_fits(service, speed, expected_ms, ratio,
		    get_share(cost, key, outcome->now_ms), outcome->now_ms);
		record_speed(speed, ratio, outcome->now_ms);
	}
	record_cost(cost, key, seen_ms / slowness, outcome->now_ms);
}
