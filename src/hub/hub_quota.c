#include "hub/hub_quota.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* A window is counted in parts, and one more is cut off by its start; further
 * ones lie in the future, for requests that are granted in advance. */
#define PART_COUNT 20
#define PART_AHEAD 4
#define PART_RING  (PART_COUNT + 1 + PART_AHEAD)
/* Part of a window that gates are taken to have used, evenly, before they
 * started: a workspace that is not scarce uses about that much. */
#define USUAL_USE 0.5
/* Gates that have not told are taken to have used so many even shares of the
 * limit: a few of them may have used far more than the others. */
#define UNEVEN 1.5
/* A workspace is scarce while gates could spend what is left of its window
 * before they are told, and plentiful again above this share. */
#define SCARCE_BELOW FLEET_ALLOWANCE_SHARE
#define SCARCE_UNTIL 0.45

typedef struct workspace_window {
	uint64_t id;
	double limit; /* requests in one window; 0: unlimited */
	double parts[PART_RING];
	int64_t led_from; /* number of the first part that it counted */
	int64_t newest; /* number of the part that the time is in */
	int is_scarce;
	UT_hash_handle hh;
} workspace_window_t;

typedef struct retry_bucket {
	uint64_t id;
	double level;
	UT_hash_handle hh;
} retry_bucket_t;

struct hub_quota {
	hub_quota_options_t options;
	workspace_window_t *workspaces;
	retry_bucket_t *retries;
	/* Gates by what they told, as parts of all. */
	double restarted_share;
	double untold_share;
	double absent_share;
	int is_changed;
	uint64_t sequence; /* of the list of scarce workspaces */
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
get_part_ms(const hub_quota_t *quota)
{
	return (quota->options.rates.window_ms / PART_COUNT);
}

static double *
get_part(workspace_window_t *window, int64_t number)
{
	return (&window->parts[number % PART_RING]);
}

static double
get_part_used(
    const hub_quota_t *quota, workspace_window_t *window, int64_t number)
{
	double used = *get_part(window, number);

	/* Gates that restarted could not tell what they used before. */
	if (number < window->led_from)
		used += quota->restarted_share * USUAL_USE * window->limit /
		    PART_COUNT;
	return (used);
}

/* Requests in the window that ends with a part. */
static double
get_used(const hub_quota_t *quota, workspace_window_t *window, int64_t last)
{
	double aside = quota->untold_share + quota->absent_share;
	double used = aside * window->limit;
	int64_t number;

	for (number = last - PART_COUNT; number <= last; number++)
		used += get_part_used(quota, window, number);
	return (used);
}

/* Moves on to a time. */
static void
window_advance(hub_quota_t *quota, workspace_window_t *window, int64_t now_ms)
{
	int64_t now = now_ms / get_part_ms(quota);

	if (now - window->newest > PART_RING)
		window->newest = now - PART_RING;
	while (window->newest < now) {
		window->newest++;
		/* The last of the parts that lie in the future. */
		*get_part(window, window->newest + PART_AHEAD) = 0;
	}
}

static void
window_update(hub_quota_t *quota, workspace_window_t *window, int64_t now_ms)
{
	int is_scarce = window->is_scarce;
	double left;

	window_advance(quota, window, now_ms);
	if (window->limit <= 0) {
		is_scarce = 0;
	} else {
		left =
		    1 - get_used(quota, window, window->newest) / window->limit;
		if (left < SCARCE_BELOW)
			is_scarce = 1;
		else if (left > SCARCE_UNTIL)
			is_scarce = 0;
	}
	if (is_scarce != window->is_scarce)
		quota->is_changed = 1;
	window->is_scarce = is_scarce;
}

/* Begins to count now. */
static void
window_begin(hub_quota_t *quota, workspace_window_t *window, int64_t now_ms)
{
	memset(window->parts, 0, sizeof(window->parts));
	window->newest = now_ms / get_part_ms(quota);
	window->led_from = window->newest;
}

/* The leader before may have given out a full burst within the window. */
static double
get_retry_start(const hub_quota_t *quota)
{
	return (HUB_QUOTA_RETRY_START_SHARE * quota->options.retry_burst);
}

void
hub_quota_reset(hub_quota_t *quota, int64_t now_ms)
{
	workspace_window_t *window;
	workspace_window_t *next;
	retry_bucket_t *retry;
	retry_bucket_t *next_retry;

	quota->restarted_share = 0;
	quota->untold_share = 1;
	quota->absent_share = 0;
	HASH_ITER(hh, quota->workspaces, window, next) {
		window_begin(quota, window, now_ms);
		window_update(quota, window, now_ms);
	}
	HASH_ITER(hh, quota->retries, retry, next_retry)
		retry->level = get_retry_start(quota);
	quota->is_changed = 1;
}

void
hub_quota_set_gates(
    hub_quota_t *quota, const hub_gate_census_t *census, int64_t now_ms)
{
	double known = census->known;
	workspace_window_t *window;
	workspace_window_t *next;

	/* Until a gate has joined, all that was spent is unknown. */
	if (census->known == 0)
		return;
	quota->restarted_share = census->restarted / known;
	quota->untold_share = UNEVEN * census->untold / known;
	quota->absent_share = census->absent / known;
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
		window->is_scarce = 1;
		quota->is_changed = 1;
		HASH_ADD(hh, quota->workspaces, id, sizeof(window->id), window);
	}
	window->limit =
	    fleet_workspace_get_limit(workspace, &quota->options.rates);
	if (is_new)
		window_begin(quota, window, now_ms);
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
	retry->level = get_retry_start(quota);
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

/* Counts requests in the part that a time lies in, unless that is over. */
static void
add_to_part(const hub_quota_t *quota, workspace_window_t *window, int64_t at_ms,
    uint32_t count)
{
	int64_t number = at_ms / get_part_ms(quota);

	if (number > window->newest + PART_AHEAD)
		number = window->newest + PART_AHEAD;
	if (number < 0 || number < window->newest - PART_COUNT)
		return;
	*get_part(window, number) += count;
}

void
hub_quota_spend(hub_quota_t *quota, const hub_spend_t *spend, int64_t now_ms)
{
	workspace_window_t *window = find_window(quota, spend->workspace);

	count_request(quota, spend->service);
	if (window == NULL)
		return;
	window_advance(quota, window, now_ms);
	add_to_part(quota, window, now_ms - spend->age_ms, 1);
	window_update(quota, window, now_ms);
}

/*
 * The latest time that a gate's part may stand for: its parts begin at other
 * times, so what it holds may lie a whole part later than it looks.
 */
static int64_t
get_latest_ms(const hub_usage_t *usage, size_t part, int64_t now_ms)
{
	int64_t ahead = (int64_t)usage->ahead - (int64_t)part;

	return (ahead == 0 ? now_ms : now_ms + (ahead + 1) * usage->part_ms);
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
		add_to_part(quota, window, get_latest_ms(usage, i, now_ms),
		    usage->parts[i]);
	window_update(quota, window, now_ms);
}

/*
 * Finds the first part, from now on, that has room in each window it belongs
 * to: later parts may hold requests that were granted in advance.
 *
 * @return number of the part, or -1 if it lies too far ahead
 */
static int64_t
find_room(const hub_quota_t *quota, workspace_window_t *window)
{
	int64_t number = window->newest + PART_AHEAD;

	while (number >= window->newest &&
	    get_used(quota, window, number) + 1 <= window->limit)
		number--;
	number++;
	return (number <= window->newest + PART_AHEAD ? number : -1);
}

/* Time until a request can be granted again. */
static uint32_t
get_wait_ms(const hub_quota_t *quota, workspace_window_t *window)
{
	double used = get_used(quota, window, window->newest);
	int64_t number;

	for (number = window->newest - PART_COUNT; number < window->newest;
	     number++) {
		used -= get_part_used(quota, window, number);
		if (used + 1 <= window->limit)
			break;
	}
	return ((uint32_t)((number - (window->newest - PART_COUNT) + 1) *
	    get_part_ms(quota)));
}

hub_permit_t
hub_quota_ask(
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
	number = find_room(quota, window);
	if (number < 0) {
		permit.is_granted = 0;
		permit.is_undecided = get_used(quota, window, window->newest) -
			quota->untold_share * window->limit + 1 <=
		    window->limit;
		permit.wait_ms = get_wait_ms(quota, window);
		return (permit);
	}
	if (number > window->newest)
		permit.wait_ms =
		    (uint32_t)(number * get_part_ms(quota) - now_ms);
	*get_part(window, number) += 1;
	window_update(quota, window, now_ms);
	count_request(quota, service);
	return (permit);
}

hub_permit_t
hub_quota_ask_retry(hub_quota_t *quota, uint64_t service)
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
hub_quota_list_scarce(const hub_quota_t *quota, uint64_t *ids, size_t max)
{
	const workspace_window_t *window;
	size_t count = 0;

	for (window = quota->workspaces; window != NULL && count < max;
	     window = window->hh.next) {
		if (window->is_scarce)
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
