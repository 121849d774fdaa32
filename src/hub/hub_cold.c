#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "fleet/fleet_limit.h"
#include "fleet/fleet_warmup.h"
#include "hub/hub_internal.h"

/* @return permits per second of a cold target; negative: it has no bound */
static double
get_rate_per_s(const hub_t *hub, const fleet_service_t *service)
{
	return (service != NULL
		? hub_warmup_get_rate_per_s(service->warmup_per_s,
		      hub->settings.warmup_overshoot,
		      hub->settings.warmup_slack)
		: -1);
}

static const fleet_service_t *
find_service(const hub_t *hub, uint64_t id)
{
	const fleet_service_t *service =
	    hub->config != NULL ? hub->config->services : NULL;

	while (service != NULL && service->id != id)
		service = service->hh.next;
	return (service);
}

uint32_t
hub_cold_get_value(void *ctx, const char *service)
{
	const hub_t *hub = ctx;
	double per_s = hub->config != NULL
	    ? get_rate_per_s(
		  hub, fleet_config_find_service(hub->config, service))
	    : -1;

	return (per_s > 0 ? fleet_limit_encode(per_s) : FLEET_LIMIT_UNKNOWN);
}

void
hub_cold_apply_config(hub_t *hub, const fleet_config_t *old, int64_t now_ms)
{
	const hub_target_t *target;
	const fleet_service_t *before;
	const fleet_service_t *after;

	hub_warmup_report_cold(hub->warmup, now_ms);
	if (hub->settings.warmup_overshoot <= 0)
		return;
	for (target = hub->state->targets; target != NULL;
	     target = target->hh.next) {
		before = old != NULL
		    ? fleet_config_find_service(old, target->as.service)
		    : NULL;
		after =
		    fleet_config_find_service(hub->config, target->as.service);
		if (get_rate_per_s(hub, before) != get_rate_per_s(hub, after))
			hub_feed_mark_target_changed(hub->feed, target->key);
	}
}

static const char *
source_get_name(hub_warmup_source_t source)
{
	static const char *const names[] = { "announcement", "response", "log",
		"suspicion" };

	return (names[source]);
}

/* The log has what targets announce. What responses say is recorded here, so that
 * a new leader knows it. */
static void
propose_cold(hub_t *hub, const hub_target_t *target, uint32_t left_ms)
{
	dialect_announcement_t as = target->as;
	uint8_t *bytes;
	size_t len;

	as.cold_left_ms = left_ms;
	bytes = hub_entry_encode_target(&as, &len);
	hub_propose(hub, bytes, len, hub_ignore_outcome, NULL);
}

static void
log_cold(
    const hub_target_t *target, const hub_warmup_change_t *change, int64_t left)
{
	if (change->was_cold || change->source == HUB_WARMUP_SUSPECTED)
		return;
	LOG_EVENT(935, LOG_LEVEL_INFO, "target turned cold",
	    LOG_TEXT("target", target != NULL ? target->as.id : ""),
	    LOG_TEXT("service", target != NULL ? target->as.service : ""),
	    LOG_TEXT("source", source_get_name(change->source)),
	    LOG_NUM("cold_left_ms", left));
}

void
hub_cold_on_change(void *ctx, const hub_warmup_change_t *change, int64_t now_ms)
{
	hub_t *hub = ctx;
	const hub_target_t *target =
	    hub_state_find_target(hub->state, change->key.target);
	double per_s = get_rate_per_s(hub, find_service(hub, change->service));
	const hub_warmup_limit_t limit = {
		.value = fleet_limit_encode(per_s),
		.burst = HUB_WARMUP_BURST,
		.until_ms = change->until_ms,
		.debt_ms = change->source == HUB_WARMUP_REPLICATED
		    ? HUB_WARMUP_RESERVE_MAX_MS
		    : 0,
	};

	if (per_s < 0)
		return;
	hub_signals_set_warmup(hub->signals, &change->key, &limit, now_ms);
	hub_feed_mark_target_changed(hub->feed, change->key.target);
	if (change->until_ms == 0)
		return;
	log_cold(target, change, change->until_ms - now_ms);
	if (change->source == HUB_WARMUP_RESPONSE && target != NULL &&
	    !change->was_cold)
		propose_cold(
		    hub, target, (uint32_t)(change->until_ms - now_ms));
}

static hub_warmup_report_t
make_report(const dialect_announcement_t *as, int64_t said_ms)
{
	return ((hub_warmup_report_t){
	    .key = { fleet_name_hash(as->id), as->born_ms },
	    .service = fleet_name_hash(as->service),
	    .data_centre = fleet_name_hash(as->zone),
	    .sequence = as->sequence,
	    .left_ms = as->cold_left_ms,
	    .said_ms = said_ms,
	});
}

void
hub_cold_begin(hub_t *hub, int64_t now_ms)
{
	const hub_target_t *target;
	hub_warmup_report_t report;

	hub_warmup_reset(hub->warmup);
	for (target = hub->state->targets; target != NULL;
	     target = target->hh.next) {
		if (target->as.state == FLEET_TARGET_DEREGISTERED)
			continue;
		report = make_report(&target->as, 0);
		hub_warmup_restore(hub->warmup, &report, now_ms);
	}
}

/* A target that the log doesn't have yet follows with its entry. */
void
hub_cold_record(hub_t *hub, const dialect_announcement_t *as, int64_t said_ms)
{
	const hub_warmup_report_t report = make_report(as, said_ms);
	const hub_target_t *known =
	    hub_state_find_target(hub->state, report.key.target);

	if (known != NULL && known->as.born_ms == as->born_ms &&
	    hub_role_has_state(&hub->role, hub->raft))
		hub_warmup_record(hub->warmup, &report, clock_now_ms());
}

void
hub_cold_flush(hub_t *hub, uint64_t sequence)
{
	if (!hub->role.is_serving ||
	    hub_feed_get_sequence(hub->feed) == sequence)
		return;
	hub_feed_flush(hub->feed, clock_now_ms());
	peer_net_flush(hub->net);
}

/* That targets are warm again may wait: after the suspicion of a whole data centre,
 * each of its targets would have all gates told. */
void
hub_record_warmup(hub_t *hub, const dialect_announcement_t *as, int64_t said_ms)
{
	uint64_t sequence = hub_feed_get_sequence(hub->feed);

	hub_cold_record(hub, as, said_ms);
	if (as->cold_left_ms > 0)
		hub_cold_flush(hub, sequence);
}

int
hub_is_warmup_new(const hub_t *hub, const hub_target_t *known,
    const dialect_announcement_t *as)
{
	uint32_t known_ms = known->as.cold_left_ms;

	if (hub->config == NULL ||
	    get_rate_per_s(
		hub, fleet_config_find_service(hub->config, as->service)) < 0)
		return (0);
	return ((known_ms > 0) != (as->cold_left_ms > 0) ||
	    as->cold_left_ms > known_ms + FLEET_WARMUP_MARGIN_MS);
}

/* An entry may be older than a suspicion, and does not end it. */
void
hub_cold_apply(hub_t *hub, const hub_target_t *target)
{
	const hub_warmup_report_t report = make_report(&target->as, 0);

	if (target->as.state == FLEET_TARGET_DEREGISTERED)
		hub_warmup_remove(hub->warmup, target->key);
	else if (hub_role_has_state(&hub->role, hub->raft))
		hub_warmup_record(hub->warmup, &report, clock_now_ms());
}

void
hub_cold_record_response(
    hub_t *hub, const hub_signal_key_t *key, uint32_t left_ms, int64_t now_ms)
{
	hub_warmup_record_response(hub->warmup, key, left_ms, now_ms);
}

void
hub_suspect_data_centre(hub_t *hub, const char *name, int64_t now_ms)
{
	uint32_t targets;

	if (hub->settings.warmup_overshoot <= 0)
		return;
	targets =
	    hub_warmup_suspect(hub->warmup, fleet_name_hash(name), now_ms);
	/* A snapshot is restored before the log is there. */
	if (hub->raft == NULL || !hub_role_has_state(&hub->role, hub->raft))
		return;
	LOG_EVENT(936, LOG_LEVEL_INFO,
	    "targets of a data centre count as cold until they announce themselves",
	    LOG_TEXT("data_centre", name), LOG_NUM("targets", targets));
}

void
hub_cold_count_permit(
    hub_t *hub, const hub_signal_key_t *key, int is_granted, int64_t now_ms)
{
	uint32_t left_ms;

	if (hub_signals_get_warmup(hub->signals, key, now_ms, &left_ms) ==
	    FLEET_LIMIT_UNKNOWN)
		return;
	metric_add(
	    is_granted ? hub->metric_cold_granted : hub->metric_cold_refused,
	    1);
}

int
hub_cold_may_reserve(const hub_t *hub, const hub_signal_key_t *key,
    int64_t wait_ms, int64_t now_ms)
{
	uint32_t left_ms;

	return (wait_ms <= HUB_WARMUP_RESERVE_MAX_MS ||
	    hub_signals_get_warmup(hub->signals, key, now_ms, &left_ms) ==
		FLEET_LIMIT_UNKNOWN);
}

void
hub_cold_tick(hub_t *hub, int64_t now_ms)
{
	if (hub->settings.warmup_overshoot > 0)
		metric_set(
		    hub->metric_cold, hub_warmup_tick(hub->warmup, now_ms));
}

int
hub_cold_create(hub_t *hub)
{
	hub->warmup = hub_warmup_create(hub_cold_on_change, hub);
	hub->metric_cold =
	    metrics_get(hub->metrics, "tm_hub_cold_targets", "", METRIC_GAUGE);
	hub->metric_cold_granted = metrics_get(hub->metrics,
	    "tm_hub_cold_permits_total", "outcome=\"granted\"", METRIC_COUNTER);
	hub->metric_cold_refused = metrics_get(hub->metrics,
	    "tm_hub_cold_permits_total", "outcome=\"refused\"", METRIC_COUNTER);
	return (hub->warmup != NULL ? TM_OK : TM_ENOMEM);
}
