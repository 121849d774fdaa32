/* Workspaces in use at this VM: metrics and tokens, dropped when idle. */
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "entry/entry_defs.h"

/*
 * Tokens expire after 1 s, so the token client of a workspace that is idle for
 * longer holds nothing but its measured demand.
 */
#define TOKENS_IDLE_MS	60000
#define METRICS_IDLE_MS 3600000
/*
 * With Zipf-distributed use nearly all 47,000 workspaces of the target size
 * have a request at each VM within an hour; at this number the longest idle
 * ones are dropped earlier.
 */
#define WORKSPACES_MAX 8192
/* No workspace can have this name. */
#define EVICTED_NAME "(idle)"

entry_workspace_t *
entry_find_workspace(entry_t *entry, const char *name)
{
	entry_workspace_t *workspace;

	HASH_FIND_STR(entry->workspaces, name, workspace);
	return (workspace);
}

static entry_workspace_t *
workspace_create(const char *name)
{
	size_t len = strlen(name);
	entry_workspace_t *workspace = calloc(1, sizeof(*workspace) + len + 1);

	if (workspace == NULL)
		return (NULL);
	memcpy(workspace->name, name, len + 1);
	workspace->id = service_id_from_name(name);
	return (workspace);
}

void
entry_workspace_sync_rate(entry_t *entry, entry_workspace_t *workspace)
{
	int64_t now_ms = clock_now_ms();
	const config_workspace_t *config;

	config = config_state_find_workspace(entry->state, workspace->name);
	if (config == NULL)
		rate_client_remove_workspace(
		    entry->rates, workspace->name, now_ms);
	else if (workspace->has_tokens)
		rate_client_set_workspace(entry->rates, workspace->name,
		    config->rate_per_s, config->burst, now_ms);
}

/* Moves a workspace to the end of the workspaces with tokens. */
static void
workspace_touch(entry_t *entry, entry_workspace_t *workspace)
{
	if (workspace->has_tokens) {
		DL_DELETE(entry->active, workspace);
	} else {
		DL_DELETE(entry->passive, workspace);
		workspace->has_tokens = 1;
		entry_workspace_sync_rate(entry, workspace);
	}
	DL_APPEND(entry->active, workspace);
	workspace->used_ms = entry->slow_tick_ms;
}

/*
 * Metrics and tokens of a workspace are made at its first request: for all
 * 47,000 workspaces of the target size they take 250 MB.
 */
entry_workspace_t *
entry_get_workspace(entry_t *entry, const char *name)
{
	entry_workspace_t *workspace = entry_find_workspace(entry, name);

	if (workspace == NULL) {
		if (config_state_find_workspace(entry->state, name) == NULL)
			return (NULL);
		workspace = workspace_create(name);
		if (workspace == NULL)
			return (NULL);
		HASH_ADD_STR(entry->workspaces, name, workspace);
		DL_APPEND(entry->passive, workspace);
	}
	workspace_touch(entry, workspace);
	return (workspace);
}

void
entry_workspace_hold(entry_t *entry, entry_workspace_t *workspace)
{
	workspace->in_flight++;
	workspace_touch(entry, workspace);
}

void
entry_workspace_release(entry_t *entry, entry_workspace_t *workspace)
{
	workspace->in_flight--;
	workspace_touch(entry, workspace);
}

/* Keeps the sum over all workspaces monotonic. */
static void
workspace_add_evicted(entry_t *entry, const entry_workspace_t *workspace)
{
	if (entry->evicted == NULL)
		entry->evicted = workspace_create(EVICTED_NAME);
	if (entry->evicted == NULL)
		return;
	metric_merge(&entry->evicted->requests, &workspace->requests);
	metric_merge(&entry->evicted->refused_rate, &workspace->refused_rate);
	metric_merge(&entry->evicted->refused_other, &workspace->refused_other);
	metric_merge(&entry->evicted->latency, &workspace->latency);
}

static void
workspace_evict(entry_t *entry, entry_workspace_t *workspace)
{
	workspace_add_evicted(entry, workspace);
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(entry->workspaces, workspace);
	DL_DELETE(entry->passive, workspace);
	metric_clear(&workspace->latency);
	free(workspace);
}

/* The divided rates of the baseline have their level in the token client. */
static int
workspace_keeps_tokens(const entry_t *entry)
{
	return (entry->settings->mode == ENTRY_MODE_BASELINE);
}

static void
workspace_drop_tokens(entry_t *entry, int64_t now_ms)
{
	entry_workspace_t *workspace;

	while ((workspace = entry->active) != NULL &&
	    now_ms - workspace->used_ms >= TOKENS_IDLE_MS &&
	    !workspace_keeps_tokens(entry)) {
		DL_DELETE(entry->active, workspace);
		if (workspace->in_flight > 0) {
			workspace->used_ms = now_ms;
			DL_APPEND(entry->active, workspace);
			continue;
		}
		rate_client_remove_workspace(
		    entry->rates, workspace->name, now_ms);
		workspace->has_tokens = 0;
		DL_APPEND(entry->passive, workspace);
	}
}

void
entry_workspace_evict_idle(entry_t *entry, int64_t now_ms)
{
	workspace_drop_tokens(entry, now_ms);
	while (entry->passive != NULL &&
	    (now_ms - entry->passive->used_ms >= METRICS_IDLE_MS ||
		HASH_COUNT(entry->workspaces) > WORKSPACES_MAX))
		workspace_evict(entry, entry->passive);
}

static void
workspace_list(metrics_list_t *list, const entry_workspace_t *workspace)
{
	static const metric_column_t requests = { "tm_entry_requests_total",
		"workspace", "", METRIC_COUNTER };
	static const metric_column_t refused_rate = { "tm_entry_refused_total",
		"workspace", ",reason=\"rate\"", METRIC_COUNTER };
	static const metric_column_t refused_other = { "tm_entry_refused_total",
		"workspace", ",reason=\"other\"", METRIC_COUNTER };
	static const metric_column_t latency = { "tm_entry_latency_us",
		"workspace", "", METRIC_HISTOGRAM };

	metrics_list_add(
	    list, &requests, workspace->name, &workspace->requests);
	metrics_list_add(
	    list, &refused_rate, workspace->name, &workspace->refused_rate);
	metrics_list_add(
	    list, &refused_other, workspace->name, &workspace->refused_other);
	metrics_list_add(list, &latency, workspace->name, &workspace->latency);
}

static void
workspace_list_tokens(
    entry_t *entry, metrics_list_t *list, const entry_workspace_t *workspace)
{
	static const metric_column_t tokens = { "tm_rate_tokens", "workspace",
		"", METRIC_GAUGE };
	static const metric_column_t waiting = { "tm_rate_waiting", "workspace",
		"", METRIC_GAUGE };
	rate_client_info_t info = { 0 };
	metric_t value = { 0 };

	(void)rate_client_get_info(
	    entry->rates, workspace->name, clock_now_ms(), &info);
	value.value = info.tokens;
	metrics_list_add(list, &tokens, workspace->name, &value);
	value.value = info.waiting;
	metrics_list_add(list, &waiting, workspace->name, &value);
}

void
entry_workspace_list_metrics(void *ctx, metrics_list_t *list)
{
	entry_t *entry = ctx;
	const entry_workspace_t *workspace;

	for (workspace = entry->workspaces; workspace != NULL;
	     workspace = workspace->hh.next) {
		workspace_list(list, workspace);
		workspace_list_tokens(entry, list, workspace);
	}
	if (entry->evicted != NULL)
		workspace_list(list, entry->evicted);
}
