#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/test_hooks.h"
#include "entry/entry_defs.h"
#include "entry/request.h"
#include "entry/trace.h"

#define OPS_CONNECTIONS_MAX 1024
#define OPS_BODY_MAX_BYTES  (64 * 1024)
#define IDLE_TIMEOUT_MS	    60000
/* Longest wait for a successor of the shards that this VM leads and holds. */
#define HAND_OVER_MAX_MS 8000
/* Time for the last responses to leave the process. */
#define FLUSH_MS 200

static int
entry_create_metrics(entry_t *entry)
{
	char labels[96];
	int i;

	entry->metrics = metrics_create();
	entry->trace = trace_create();
	if (entry->metrics == NULL || entry->trace == NULL)
		return (TM_ENOMEM);
	metrics_set_source(entry->metrics, entry_workspace_list_metrics, entry);
	for (i = 0; i < REFUSAL_COUNT; i++) {
		snprintf(labels, sizeof(labels), "reason=\"%s\"",
		    refusal_get_info((refusal_t)i)->error);
		entry->refusals[i] = metrics_get(entry->metrics,
		    "tm_entry_refusals_total", labels, METRIC_COUNTER);
	}
	entry->intake_refusals =
	    metrics_get(entry->metrics, "tm_entry_refusals_total",
		"reason=\"" HTTP_INTAKE_ERROR "\"", METRIC_COUNTER);
	entry->added_latency = metrics_get(
	    entry->metrics, "tm_entry_added_latency_us", "", METRIC_HISTOGRAM);
	entry->claim_latency = metrics_get(
	    entry->metrics, "tm_entry_claim_latency_us", "", METRIC_HISTOGRAM);
	return (TM_OK);
}

/* The request was not read, so nothing of it is known. */
static void
on_intake_refused(void *ctx)
{
	entry_t *entry = ctx;

	metric_add(entry->intake_refusals, 1);
	LOG_EVENT(711, LOG_LEVEL_WARN,
	    "large request refused before it was read",
	    LOG_NUM(
		"connections", http_server_get_connections(entry->callers)));
}

static int
entry_listen(entry_t *entry)
{
	http_server_options_t callers = {
		.loop = entry->loop,
		.addr = entry->settings->listen,
		.server_name = "tarragonmoor",
		.connections_max = ENTRY_CONNECTIONS_MAX,
		.body_max_bytes = ENTRY_BODY_MAX_BYTES,
		.intake_max_bytes = entry->settings->request_limit_bytes,
		.intake_whole_seconds = 1,
		.intake_refused = on_intake_refused,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.error_header = "x-tm-run",
		.error_value = "no",
		.tls = &entry->settings->tls,
		.handle = frontend_handle,
		.ctx = entry,
	};
	http_server_options_t ops = {
		.loop = entry->loop,
		.addr = entry->settings->ops_listen,
		.server_name = "tarragonmoor",
		.connections_max = OPS_CONNECTIONS_MAX,
		.body_max_bytes = OPS_BODY_MAX_BYTES,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.handle = ops_api_handle,
		.ctx = entry,
	};
	int err = http_server_create(&entry->callers, &callers);

	return (err != TM_OK ? err : http_server_create(&entry->ops, &ops));
}

/* @return 1 while this VM holds the lease of a shard */
static int
entry_is_leading(entry_t *entry, int64_t now_ms)
{
	uint32_t shard;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		if (group_is_leader(entry->group, shard, now_ms))
			return (1);
	}
	return (0);
}

/* @return 1 while control has not replaced this VM in all shard groups */
static int
entry_is_holding(entry_t *entry)
{
	uint32_t shard;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		if (group_is_holder(entry->group, shard))
			return (1);
	}
	return (0);
}

static void
entry_set_phase(entry_t *entry, entry_phase_t phase, int64_t now_ms)
{
	entry->phase = phase;
	entry->phase_since_ms = now_ms;
}

static void
entry_start_draining(entry_t *entry, int64_t now_ms)
{
	http_server_stop(entry->callers);
	entry_set_phase(entry, ENTRY_DRAINING, now_ms);
	LOG_EVENT(705, LOG_LEVEL_INFO, "listeners closed",
	    LOG_NUM("in_flight", entry->in_flight));
}

/*
 * Requests end by their deadlines. The shards are given up meanwhile; where
 * control cannot replace this VM, the wait for that is bounded.
 */
static void
entry_tick_draining(entry_t *entry, int64_t now_ms)
{
	int64_t waited_ms = now_ms - entry->phase_since_ms;

	if (entry->in_flight > 0 || waited_ms < FLUSH_MS ||
	    !http_server_is_delivered(entry->callers))
		return;
	if (waited_ms < HAND_OVER_MAX_MS &&
	    (entry_is_leading(entry, now_ms) || entry_is_holding(entry)))
		return;
	entry_set_phase(entry, ENTRY_STOPPED, now_ms);
}

static void
entry_tick_stop(entry_t *entry, int64_t now_ms)
{
	if (entry->phase == ENTRY_RUNNING || entry->phase == ENTRY_STOPPED)
		return;
	group_hand_over(entry->group, now_ms);
	if (entry->phase == ENTRY_DRAINING)
		entry_tick_draining(entry, now_ms);
	else if (now_ms - entry->phase_since_ms >=
	    entry->settings->drain_notice_ms)
		entry_start_draining(entry, now_ms);
}

static void
entry_on_tick(uv_timer_t *timer)
{
	entry_t *entry = timer->data;
	int64_t now_ms = clock_now_ms();

	entry_fleet_tick(entry, now_ms);
	request_tick_all(entry, now_ms);
	entry_tick_stop(entry, now_ms);
}

int
entry_create(entry_t **out, entry_settings_t *settings, uv_loop_t *loop)
{
	entry_t *entry = calloc(1, sizeof(*entry));
	int err;

	if (entry == NULL)
		return (TM_ENOMEM);
	entry->loop = loop;
	entry->settings = settings;
	entry->self = node_id_from_name(settings->node);
	entry->incarnation = (uint64_t)clock_wall_ms();
	entry->started_ms = clock_now_ms();
	entry->profile_changes = 1;
	rng_init(&entry->rng,
	    entry->self ^ entry->incarnation ^ (uint64_t)clock_now_ns());
	entry->upstream = upstream_create(loop);
	err = entry->upstream != NULL ? entry_create_metrics(entry) : TM_ENOMEM;
	if (err == TM_OK)
		err = entry_fleet_create(entry);
	if (err == TM_OK)
		err = entry_listen(entry);
	if (err != TM_OK) {
		LOG_EVENT(701, LOG_LEVEL_ERROR, "cannot start",
		    LOG_TEXT("error", error_get_text(err)),
		    LOG_TEXT("remedy",
			"check listen, ops_listen and peer_listen and that "
			"no other process uses the ports"));
		return (err);
	}
	uv_timer_init(loop, &entry->tick);
	entry->tick.data = entry;
	uv_timer_start(
	    &entry->tick, entry_on_tick, ENTRY_TICK_MS, ENTRY_TICK_MS);
	*out = entry;
	return (TM_OK);
}

static void
entry_reload_tls(entry_t *entry, const entry_settings_t *fresh)
{
	http_tls_error_t error = { .field = "tls",
		.reason = "switching TLS on or off needs a restart" };
	int err = http_server_reload_tls(entry->callers, &fresh->tls, &error);

	if (err == TM_OK) {
		entry->settings->tls = fresh->tls;
		return;
	}
	LOG_EVENT(708, LOG_LEVEL_ERROR, "the old certificate stays in use",
	    LOG_TEXT("field", error.field), LOG_TEXT("reason", error.reason));
}

void
entry_reload(entry_t *entry, const entry_settings_t *fresh)
{
	entry_settings_t *settings = entry->settings;
	const char *secrets[PEER_SECRETS_MAX];

	program_list_secrets(fresh->secrets, fresh->secret_count, secrets);
	if (peer_net_set_secrets(entry->net, secrets) == TM_OK) {
		memcpy(settings->secrets, fresh->secrets,
		    sizeof(settings->secrets));
		settings->secret_count = fresh->secret_count;
	}
	memcpy(settings->target_secrets, fresh->target_secrets,
	    sizeof(settings->target_secrets));
	settings->target_secret_count = fresh->target_secret_count;
	entry_reload_tls(entry, fresh);
	LOG_EVENT(707, LOG_LEVEL_INFO, "settings read again",
	    LOG_NUM("fleet_secrets", fresh->secret_count));
}

void
entry_begin_stop(entry_t *entry)
{
	int64_t now_ms = clock_now_ms();

	if (entry->phase == ENTRY_NOTICE) {
		entry_start_draining(entry, now_ms);
		return;
	}
	if (entry->phase != ENTRY_RUNNING)
		return;
	LOG_EVENT(704, LOG_LEVEL_INFO, "stopping",
	    LOG_NUM("in_flight", entry->in_flight),
	    LOG_NUM("notice_ms", entry->settings->drain_notice_ms));
	entry_set_phase(entry,
	    test_hooks_is_off("drain") ? ENTRY_STOPPED : ENTRY_NOTICE, now_ms);
	http_server_drain(entry->callers);
	gossip_set_draining(entry->gossip, now_ms);
	rate_leader_stop(entry->rate_leader, now_ms);
}

int
entry_is_stopped(const entry_t *entry)
{
	return (entry->phase == ENTRY_STOPPED);
}
