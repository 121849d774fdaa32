#include <math.h>
#include <string.h>

#include "base/log.h"
#include "service/service_view_internal.h"

#define LOCAL_EVALUATE_MS	100
#define LOCAL_BACKOFF_MS	1000
#define LOCAL_BACKOFF_MAX_MS	60000
#define LOCAL_COUNT_RESET_MS	600000
#define LOCAL_PROBES_TO_RETURN	3
#define LOCAL_PROBE_INTERVAL_MS 200
/* Without a repeatable request for this time any request may probe. */
#define LOCAL_REPEATABLE_ONLY_MS 3000
#define LOCAL_COLD_SHARE_MIN	 100
/* A request older than this many typical latencies counts as a stall. */
#define LOCAL_STALL_FACTOR 8
#define LOCAL_STALL_MIN_MS 100
#define LOCAL_STALL_MAX_MS 2000

int64_t
view_get_stall_ms(const service_view_t *view)
{
	double limit_ms = view->typical_ms * LOCAL_STALL_FACTOR;

	if (view->typical_ms <= 0.0)
		return (LOCAL_STALL_MAX_MS);
	if (limit_ms < LOCAL_STALL_MIN_MS)
		return (LOCAL_STALL_MIN_MS);
	if (limit_ms > LOCAL_STALL_MAX_MS)
		return (LOCAL_STALL_MAX_MS);
	return ((int64_t)limit_ms);
}

/* Counts requests that are too old as failures before they end. */
static void
local_count_stalls(
    service_view_t *view, service_endpoint_t *endpoint, int64_t now_ms)
{
	const service_sample_t sample = { .count = 1, .failures = 1 };
	int64_t limit_ms = view_get_stall_ms(view);
	service_attempt_t *attempt = endpoint->state->oldest;

	if (view->opt.test_off & SERVICE_VIEW_OFF_STALL)
		return;
	for (; attempt != NULL; attempt = attempt->next) {
		if (now_ms - attempt->started_ms < limit_ms)
			break;
		if (attempt->stalled)
			continue;
		attempt->stalled = 1;
		if (attempt->trial)
			continue;
		endpoint->state->pending.count++;
		endpoint->state->pending.failures++;
		service_window_add(&endpoint->state->window, &sample);
		view->unevaluated = 1;
		view->urgent = 1;
	}
}

static uint32_t
local_get_share(const service_endpoint_state_t *state, int64_t now_ms)
{
	int64_t age_ms = now_ms - state->cold_started_ms;

	if (age_ms >= VIEW_COLD_MS)
		return (SERVICE_SHARE_FULL);
	if (age_ms < 0)
		age_ms = 0;
	return ((uint32_t)(LOCAL_COLD_SHARE_MIN +
	    (SERVICE_SHARE_FULL - LOCAL_COLD_SHARE_MIN) * age_ms /
		VIEW_COLD_MS));
}

static int
local_is_avoided(const service_endpoint_state_t *state)
{
	return (state->state == SERVICE_TARGET_ACTIVE &&
	    (state->avoided || state->avoid_dc));
}

/* Avoids the targets with the highest scores, as many as the floor allows. */
static void
local_apply_floor(service_view_t *view, uint32_t active)
{
	uint32_t floor =
	    service_floor_count(view->profile.floor_percent, view->count);
	service_endpoint_t *worst;
	uint32_t i;

	if (view->opt.test_off & SERVICE_VIEW_OFF_FLOOR)
		floor = 0;
	for (;;) {
		worst = NULL;
		for (i = 0; i < view->count; i++) {
			if (!view->endpoints[i]->usable ||
			    !local_is_avoided(view->endpoints[i]->state))
				continue;
			if (worst == NULL ||
			    view->endpoints[i]->state->failure_score >
				worst->state->failure_score)
				worst = view->endpoints[i];
		}
		if (worst == NULL || active <= floor)
			return;
		worst->usable = 0;
		active--;
	}
}

void
view_local_update(service_view_t *view, int64_t now_ms)
{
	service_endpoint_t *endpoint;
	int64_t cold_until_ms;
	uint32_t active = 0;
	uint32_t i;

	view->cold_until_ms = 0;
	for (i = 0; i < view->count; i++) {
		endpoint = view->endpoints[i];
		cold_until_ms = endpoint->state->cold_started_ms + VIEW_COLD_MS;
		if (cold_until_ms > view->cold_until_ms)
			view->cold_until_ms = cold_until_ms;
		endpoint->usable =
		    endpoint->state->state == SERVICE_TARGET_ACTIVE;
		endpoint->share = local_get_share(endpoint->state, now_ms);
		active += endpoint->usable != 0;
	}
	local_apply_floor(view, active);
}

static int64_t
local_get_backoff_ms(const service_endpoint_state_t *state)
{
	uint32_t doublings = state->avoidances > 0 ? state->avoidances - 1 : 0;
	int64_t wait_ms = LOCAL_BACKOFF_MS << (doublings < 6 ? doublings : 6);

	return (
	    wait_ms < LOCAL_BACKOFF_MAX_MS ? wait_ms : LOCAL_BACKOFF_MAX_MS);
}

static void
local_avoid(service_view_t *view, service_endpoint_t *endpoint,
    const service_finding_t *verdict, int64_t now_ms)
{
	service_endpoint_state_t *state = endpoint->state;

	if (now_ms - state->avoided_ms > LOCAL_COUNT_RESET_MS)
		state->avoidances = 0;
	state->avoided = 1;
	state->avoided_ms = now_ms;
	state->avoidances++;
	state->failure_score = verdict->failure_score;
	state->local_finding = *verdict;
	state->local_probe_successes = 0;
	state->local_allows_unrepeatable = 0;
	state->local_next_probe_ms = now_ms + local_get_backoff_ms(state);
	LOG_EVENT(610, LOG_LEVEL_WARN, "target avoided by this VM",
	    LOG_TEXT("service", view->name),
	    LOG_TEXT("target", endpoint->target),
	    LOG_TEXT("evidence", service_evidence_get_name(verdict->evidence)),
	    LOG_NUM("value_percent", verdict->value * 100),
	    LOG_NUM("limit_percent", verdict->limit * 100),
	    LOG_NUM("severity_percent", verdict->failure_score * 100));
}

static void
local_evaluate(service_view_t *view, int64_t now_ms)
{
	service_window_t windows[SERVICE_TARGETS_MAX];
	uint8_t use[SERVICE_TARGETS_MAX];
	service_endpoint_state_t *state;
	service_peers_t peers;
	service_finding_t verdict;
	uint32_t warm = 0;
	uint32_t i;
	int cold;

	for (i = 0; i < view->count; i++) {
		state = view->endpoints[i]->state;
		windows[i] = state->window;
		use[i] = view->endpoints[i]->usable &&
		    now_ms - state->cold_started_ms >= VIEW_COLD_MS;
		warm += use[i];
	}
	for (i = 0; warm < 2 && i < view->count; i++)
		use[i] = view->endpoints[i]->usable != 0;
	for (i = 0; i < view->count; i++) {
		state = view->endpoints[i]->state;
		if (state->state != SERVICE_TARGET_ACTIVE || state->avoided ||
		    !service_outlier_has_samples(&windows[i]))
			continue;
		cold = now_ms - state->cold_started_ms < VIEW_COLD_MS;
		service_peers_compute(&peers, windows, use, view->count, i);
		service_outlier_evaluate(&windows[i], &peers,
		    view->profile.sensitivity, 0.0, cold, &verdict);
		if (verdict.failure_score > 0.0)
			local_avoid(view, view->endpoints[i], &verdict, now_ms);
	}
}

/*
 * Also called before an attempt. After a long time without ticks, the next
 * decay would otherwise take the weight from outcomes added just before it.
 */
void
view_local_decay(service_view_t *view, int64_t now_ms)
{
	double fast;
	double slow;
	uint32_t i;

	if (now_ms - view->decayed_ms < LOCAL_EVALUATE_MS)
		return;
	service_window_get_decay(now_ms - view->decayed_ms, &fast, &slow);
	view->decayed_ms = now_ms;
	for (i = 0; i < view->count; i++)
		service_window_scale(
		    &view->endpoints[i]->state->window, fast, slow);
}

/*
 * Without new outcomes all windows decay by the same factor, which makes no
 * target worse than its peers, so that no evaluation is due. During a cold
 * start the shares still have to be updated.
 */
int64_t
view_local_get_due_ms(const service_view_t *view, int64_t now_ms)
{
	if (view->unevaluated || now_ms < view->cold_until_ms)
		return (view->evaluated_ms + LOCAL_EVALUATE_MS);
	return (VIEW_NEVER_MS);
}

void
view_local_run(service_view_t *view, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < view->count; i++)
		local_count_stalls(view, view->endpoints[i], now_ms);
	if (now_ms - view->evaluated_ms < LOCAL_EVALUATE_MS)
		return;
	view_local_decay(view, now_ms);
	view->evaluated_ms = now_ms;
	view->unevaluated = 0;
	if (!(view->opt.test_off & SERVICE_VIEW_OFF_LOCAL))
		local_evaluate(view, now_ms);
	view_local_update(view, now_ms);
}

static int
local_may_probe(const service_view_t *view,
    const service_endpoint_state_t *state, int may_repeat, int64_t now_ms)
{
	int64_t due_ms = state->local_next_probe_ms;

	if (may_repeat || state->local_allows_unrepeatable)
		return (now_ms >= due_ms);
	return (!(view->opt.test_off & SERVICE_VIEW_OFF_ANY_PROBE) &&
	    now_ms >= due_ms + LOCAL_REPEATABLE_ONLY_MS);
}

service_endpoint_t *
view_local_take_probe(service_view_t *view, int may_repeat, int64_t now_ms)
{
	service_endpoint_state_t *state;
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		state = view->endpoints[i]->state;
		if (!state->avoided || view->endpoints[i]->usable ||
		    state->state != SERVICE_TARGET_ACTIVE ||
		    state->local_probe_running ||
		    !local_may_probe(view, state, may_repeat, now_ms))
			continue;
		state->local_allows_unrepeatable |= !may_repeat;
		state->local_probe_running = 1;
		return (view->endpoints[i]);
	}
	return (NULL);
}

void
view_local_end_probe(service_view_t *view, service_endpoint_t *endpoint,
    int success, int64_t latency_ms, int64_t now_ms)
{
	service_endpoint_state_t *state = endpoint->state;

	state->local_probe_running = 0;
	if (!state->avoided)
		return;
	state->local_next_probe_ms = now_ms + LOCAL_PROBE_INTERVAL_MS;
	if (!success || latency_ms >= view_get_stall_ms(view)) {
		state->local_probe_successes = 0;
		state->local_next_probe_ms =
		    now_ms + local_get_backoff_ms(state);
		return;
	}
	if (++state->local_probe_successes < LOCAL_PROBES_TO_RETURN)
		return;
	state->avoided = 0;
	memset(&state->window, 0, sizeof(state->window));
	view_local_update(view, now_ms);
	LOG_EVENT(611, LOG_LEVEL_INFO, "target used again by this VM",
	    LOG_TEXT("service", view->name),
	    LOG_TEXT("target", endpoint->target));
}
