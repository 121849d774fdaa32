#include "hub/hub_quota.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* A window is counted in this many intervals, plus one that its start cuts off.
 * Further ones lie in the future, for requests that are granted in advance. */
#define INTERVAL_COUNT	   20
#define FUTURE_INTERVALS   4
#define INTERVAL_RING_SIZE (INTERVAL_COUNT + 1 + FUTURE_INTERVALS)
/* Share of the limit that restarted gates are assumed to have used, evenly over
 * the window, before they started: a workspace that is not near its limit uses
 * about that much. */
#define TYPICAL_USED_SHARE 0.5
/* Each gate that has not reported its usage is assumed to have used this many
 * even shares of the limit: a few may have used far more than the others. */
#define UNBALANCED_FACTOR 1.5
/* A workspace is near its limit while gates could consume what is left of its
 * window before they are notified, until more than the second share is left. */
#define NEAR_LIMIT_BELOW FLEET_ALLOWANCE_SHARE
#define NEAR_LIMIT_UNTIL 0.45

typedef struct workspace_window {
	uint64_t id;
	double limit; /* requests in one window; 0: unlimited */
	double intervals[INTERVAL_RING_SIZE];
	int64_t first_led; /* first interval that this leader counted */
	int64_t newest; /* number of the current interval */
	int is_near_limit;
	UT_hash_handle hh;
} workspace_window_t;

typedef struct retry_bucket {
	uint64_t id;
	double level; /* retries that may be granted */
	UT_hash_handle hh;
} retry_bucket_t;

struct hub_quota {
	hub_quota_options_t options;
	workspace_window_t *workspaces;
	retry_bucket_t *retries;
	/* Gates by what they have reported, as fractions of all. */
	double restarted_share;
	double unreported_share;
	double overdue_share;
	int is_changed;
	uint64_t sequence; /* of the list of workspaces near their limit */
};

hub_quota_t *
hub_quota_create(const hub_quota_options_t *options)
{
	hub_quota_t *quota = calloc(1, sizeof(*quota));

	if (quota != NULL)
		quota->options = *options;
	return (quota);
}

void
hub_quota_destroy(hub_quota_t *quota)
{
	workspace_window_t *window;
	workspace_window_t *next;
	retry_bucket_t *retry;
	retry_bucket_t *next_retry;

	if (quota == NULL)
		return;
	HASH_ITER(hh, quota->workspaces, window, next) {
		HASH_DELETE(hh, quota->workspaces, window);
		free(window);
	}
	HASH_ITER(hh, quota->retries, retry, next_retry) {
		HASH_DELETE(hh, quota->retries, retry);
		free(retry);
	}
	free(quota);
}

static int64_t
get_interval_ms(const hub_quota_t *quota)
{
	return (quota->options.rates.window_ms / INTERVAL_COUNT);
}

static double *
get_interval(workspace_window_t *window, int64_t number)
{
	return (&window->intervals[number % INTERVAL_RING_SIZE]);
}

static double
get_interval_used(
    const hub_quota_t *quota, workspace_window_t *window, int64_t number)
{
	double used = *get_interval(window, number);

	/* Restarted gates cannot report what they used before. */
	if (number < window->first_led)
		used += quota->restarted_share * TYPICAL_USED_SHARE *
		    window->limit / INTERVAL_COUNT;
	return (used);
}

/* @return requests in the window that ends with an interval, with the reserve
 * for gates whose usage is not known */
static double
get_used(const hub_quota_t *quota, workspace_window_t *window, int64_t last)
{
	double reserved = quota->unreported_share + quota->overdue_share;
	double used = reserved * window->limit;
	int64_t number;

	for (number = last - INTERVAL_COUNT; number <= last; number++)
		used += get_interval_used(quota, window, number);
	return (used);
}

/* Advances the ring of intervals to a time. */
static void
window_advance(hub_quota_t *quota, workspace_window_t *window, int64_t now_ms)
{
	int64_t now = now_ms / get_interval_ms(quota);

	if (now - window->newest > INTERVAL_RING_SIZE)
		window->newest = now - INTERVAL_RING_SIZE;
	while (window->newest < now) {
		window->newest++;
		/* Reuses the slot of the last future interval. */
		*get_interval(window, window->newest + FUTURE_INTERVALS) = 0;
	}
}

static void
window_update(hub_quota_t *quota, workspace_window_t *window, int64_t now_ms)
{
	int is_near_limit = window->is_near_limit;
	double left;

	window_advance(quota, window, now_ms);
	if (window->limit <= 0) {
		is_near_limit = 0;
	} else {
		left =
		    1 - get_used(quota, window, window->newest) / window->limit;
		if (left < NEAR_LIMIT_BELOW)
			is_near_limit = 1;
		else if (left > NEAR_LIMIT_UNTIL)
			is_near_limit = 0;
	}
	if (is_near_limit != window->is_near_limit)
		quota->is_changed = 1;
	window->is_near_limit = is_near_limit;
}

/* Starts to count at a time, without any usage. */
static void
window_reset(hub_quota_t *quota, workspace_window_t *window, int64_t now_ms)
{
	memset(window->intervals, 0, sizeof(window->intervals));
	window->newest = now_ms / get_interval_ms(quota);
	window->first_led = window->newest;
}

/* Little is granted at first: the previous leader may have granted a full burst
 * within the window. */
static double
get_initial_retry_level(const hub_quota_t *quota)
{
	return (HUB_QUOTA_RETRY_INITIAL_SHARE * quota->options.retry_burst);
}

void
hub_quota_reset(hub_quota_t *quota, int64_t now_ms)
{
	workspace_window_t *window;
	workspace_window_t *next;
	retry_bucket_t *retry;
	retry_bucket_t *next_retry;

	quota->restarted_share = 0;
	quota->unreported_share = 1;
	quota->overdue_share = 0;
	HASH_ITER(hh, quota->workspaces, window, next) {
		window_reset(quota, window, now_ms);
		window_update(quota, window, now_ms);
	}
	HASH_ITER(hh, quota->retries, retry, next_retry)
		retry->level = get_initial_retry_level(quota);
	quota->is_changed = 1;
}

void
hub_quota_set_gate_counts(
    hub_quota_t *quota, const hub_gate_counts_t *counts, int64_t now_ms)
{
	double known = counts->known;
	workspace_window_t *window;
	workspace_window_t *next;

	/* Until a gate has renewed its lease, no usage is known at all. */
	if (counts->known == 0)
		return;
	quota->restarted_share = counts->restarted / known;
	quota->unreported_share =
	    UNBALANCED_FACTOR * counts->unreported / known;
	quota->overdue_share = counts->overdue / known;
	HASH_ITER(hh, quota->workspaces, window, next)
		window_update(quota, window, now_ms);
}

static workspace_window_t *
find_window(const hub_quota_t *quota, uint64_t id)
{
	workspace_window_t *window;

	HASH_FIND(hh, quota->workspaces, &id, sizeof(id), window);
	return (window);
}

static void
configure_workspace(
    hub_quota_t *quota, const fleet_workspace_t *workspace, int64_t now_ms)
{
	workspace_window_t *window = find_window(quota, workspace->id);
	int is_new = window == NULL;

	if (is_new) {
		window = calloc(1, sizeof(*window));
		if (window == NULL)
			return;
		window->id = workspace->id;
		window->is_near_limit = 1;
		quota->is_changed = 1;
		HASH_ADD(hh, quota->workspaces, id, sizeof(window->id), window);
	}
	window->limit =
	    fleet_workspace_get_limit(workspace, &quota->options.rates);
	if (is_new)
		window_reset(quota, window, now_ms);
	window_update(quota, window, now_ms);
}

void
hub_quota_configure(
    hub_quota_t *quota, const fleet_config_t *config, int64_t now_ms)
{
	const fleet_workspace_t *workspace;
	workspace_window_t *window;
	workspace_window_t *next;

	HASH_ITER(hh, quota->workspaces, window, next) {
		if (fleet_config_find_workspace(config, window->id) != NULL)
			continue;
		HASH_DELETE(hh, quota->workspaces, window);
		free(window);
		quota->is_changed = 1;
	}
	for (workspace = config->workspaces; workspace != NULL;
	     workspace = workspace->hh.next)
		configure_workspace(quota, workspace, now_ms);
}

static retry_bucket_t *
get_retry(hub_quota_t *quota, uint64_t service)
{
	retry_bucket_t *retry;

	HASH_FIND(hh, quota->retries, &service, sizeof(service), retry);
	if (retry != NULL)
		return (retry);
	retry = calloc(1, sizeof(*retry));
	if (retry == NULL)
		return (NULL);
	retry->id = service;
	retry->level = get_initial_retry_level(quota);
	HASH_ADD(hh, quota->retries, id, sizeof(retry->id), retry);
	return (retry);
}

static void
count_request(hub_quota_t *quota, uint64_t service)
{
	retry_bucket_t *retry = get_retry(quota, service);
	double max;

	if (retry == NULL)
		return;
	retry->level +=
	    HUB_QUOTA_RETRY_RATIO_SHARE * quota->options.retry_ratio;
	max = HUB_QUOTA_RETRY_BURST_SHARE * quota->options.retry_burst;
	if (retry->level > max)
		retry->level = max;
}

/* Counts requests in the interval of a time, unless it has left the window. */
static void
add_to_interval(const hub_quota_t *quota, workspace_window_t *window,
    int64_t at_ms, uint32_t count)
{
	int64_t number = at_ms / get_interval_ms(quota);

	if (number > window->newest + FUTURE_INTERVALS)
		number = window->newest + FUTURE_INTERVALS;
	if (number < 0 || number < window->newest - INTERVAL_COUNT)
		return;
	*get_interval(window, number) += count;
}

void
hub_quota_consume(
    hub_quota_t *quota, const hub_consumption_t *request, int64_t now_ms)
{
	workspace_window_t *window = find_window(quota, request->workspace);

	count_request(quota, request->service);
	if (window == NULL)
		return;
	window_advance(quota, window, now_ms);
	add_to_interval(quota, window, now_ms - request->age_ms, 1);
	window_update(quota, window, now_ms);
}

/*
 * @return the latest time that an interval of a gate may cover: the gate's
 *         intervals start at other times, so its requests may lie up to a whole
 *         interval later than its index suggests
 */
static int64_t
get_latest_end_ms(const hub_usage_t *usage, size_t index, int64_t now_ms)
{
	int64_t future = (int64_t)usage->ahead - (int64_t)index;

	return (future == 0 ? now_ms : now_ms + (future + 1) * usage->part_ms);
}

void
hub_quota_add_usage(
    hub_quota_t *quota, const hub_usage_t *usage, int64_t now_ms)
{
	workspace_window_t *window = find_window(quota, usage->workspace);
	size_t i;

	if (window == NULL)
		return;
	window_advance(quota, window, now_ms);
	for (i = 0; i < usage->count; i++)
		add_to_interval(quota, window,
		    get_latest_end_ms(usage, i, now_ms), usage->parts[i]);
	window_update(quota, window, now_ms);
}

/*
 * Finds the first interval, from now on, in which one more request exceeds the
 * limit of no window that it belongs to: later intervals may hold requests that
 * were granted in advance.
 *
 * @return number of the interval, or -1 if it lies too far in the future
 */
static int64_t
find_free_interval(const hub_quota_t *quota, workspace_window_t *window)
{
	int64_t number = window->newest + FUTURE_INTERVALS;

	while (number >= window->newest &&
	    get_used(quota, window, number) + 1 <= window->limit)
		number--;
	number++;
	return (number <= window->newest + FUTURE_INTERVALS ? number : -1);
}

/* @return time until a request can be granted again */
static uint32_t
get_wait_ms(const hub_quota_t *quota, workspace_window_t *window)
{
	double used = get_used(quota, window, window->newest);
	int64_t number;

	for (number = window->newest - INTERVAL_COUNT; number < window->newest;
	     number++) {
		used -= get_interval_used(quota, window, number);
		if (used + 1 <= window->limit)
			break;
	}
	return ((uint32_t)((number - (window->newest - INTERVAL_COUNT) + 1) *
	    get_interval_ms(quota)));
}

hub_permit_t
hub_quota_acquire(
    hub_quota_t *quota, uint64_t workspace, uint64_t service, int64_t now_ms)
{
	workspace_window_t *window = find_window(quota, workspace);
	hub_permit_t permit = { .is_granted = 1 };
	int64_t number;

	if (window == NULL || window->limit <= 0) {
		count_request(quota, service);
		return (permit);
	}
	window_advance(quota, window, now_ms);
	number = find_free_interval(quota, window);
	if (number < 0) {
		permit.is_granted = 0;
		permit.is_undecided = get_used(quota, window, window->newest) -
			quota->unreported_share * window->limit + 1 <=
		    window->limit;
		permit.wait_ms = get_wait_ms(quota, window);
		return (permit);
	}
	if (number > window->newest)
		permit.wait_ms =
		    (uint32_t)(number * get_interval_ms(quota) - now_ms);
	*get_interval(window, number) += 1;
	window_update(quota, window, now_ms);
	count_request(quota, service);
	return (permit);
}

hub_permit_t
hub_quota_acquire_retry(hub_quota_t *quota, uint64_t service)
{
	retry_bucket_t *retry = get_retry(quota, service);
	hub_permit_t permit = { .is_granted = 0 };

	if (retry == NULL || retry->level < 1)
		return (permit);
	retry->level -= 1;
	permit.is_granted = 1;
	return (permit);
}

size_t
hub_quota_list_near_limit(const hub_quota_t *quota, uint64_t *ids, size_t max)
{
	const workspace_window_t *window;
	size_t count = 0;

	for (window = quota->workspaces; window != NULL && count < max;
	     window = window->hh.next) {
		if (window->is_near_limit)
			ids[count++] = window->id;
	}
	return (count);
}

int
hub_quota_tick(hub_quota_t *quota, int64_t now_ms)
{
	workspace_window_t *window;
	workspace_window_t *next;
	int is_changed;

	HASH_ITER(hh, quota->workspaces, window, next)
		window_update(quota, window, now_ms);
	is_changed = quota->is_changed;
	quota->is_changed = 0;
	quota->sequence += (uint64_t)is_changed;
	return (is_changed);
}

uint64_t
hub_quota_get_sequence(const hub_quota_t *quota)
{
	return (quota->sequence);
}
