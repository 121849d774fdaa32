#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "hub/hub_internal.h"

#define BYTES_PER_MB (1024ull * 1024)

int
hub_upload_permit_create(hub_t *hub)
{
	static const char name[] = "tm_hub_upload_permits_total";

	hub->upload = hub_upload_create(
	    (uint64_t)hub->settings.target_memory_mb * BYTES_PER_MB);
	if (hub->upload == NULL)
		return (TM_ENOMEM);
	hub->metric_upload_bytes =
	    metrics_get(hub->metrics, "tm_hub_upload_bytes", "", METRIC_GAUGE);
	hub->metric_upload_granted = metrics_get(
	    hub->metrics, name, "outcome=\"granted\"", METRIC_COUNTER);
	hub->metric_upload_refused = metrics_get(
	    hub->metrics, name, "outcome=\"refused\"", METRIC_COUNTER);
	return (TM_OK);
}

int
hub_upload_permit_is_active(const hub_t *hub)
{
	return (hub->config != NULL && hub->config->has_uploads);
}

/* @return 1 if a target has room for a large request, and needs no permit for a
 * limit or has one */
static int
takes(hub_t *hub, const hub_target_t *target, const Tm__Fleet__Spend *spend,
    int64_t now_ms)
{
	const hub_signal_key_t key = { target->key, target->as.born_ms };

	return (hub_allows_target(hub, target, spend) &&
	    hub_upload_has_room(hub->upload, target->key, target->as.born_ms,
		spend->service, spend->bytes) &&
	    hub_signals_get_wait_ms(hub->signals, &key, now_ms) == 0);
}

static int
is_healthy(const hub_t *hub, const hub_target_t *target)
{
	return (hub_outlier_get_verdict(hub->outlier, target->key) ==
	    FLEET_VERDICT_HEALTHY);
}

/* @return the target that the gate prefers, if it takes the request */
static const hub_target_t *
get_preferred(hub_t *hub, const Tm__Fleet__Spend *spend, int64_t now_ms)
{
	const hub_target_t *target =
	    hub_state_find_target(hub->state, spend->target);

	return (target != NULL && target->as.born_ms == spend->born_ms &&
		    takes(hub, target, spend, now_ms)
		? target
		: NULL);
}

/* @return the target that the gate prefers if it is healthy and takes the request,
 * else the healthy one that holds the fewest bytes. A repeatable request may go to
 * the preferred one if no healthy target takes it. NULL: none takes it */
static const hub_target_t *
choose(hub_t *hub, const Tm__Fleet__Spend *spend, int64_t now_ms)
{
	const hub_target_t *preferred = get_preferred(hub, spend, now_ms);
	const hub_target_t *best = spend->may_repeat ? preferred : NULL;
	const hub_target_t *target;
	uint64_t least = UINT64_MAX;
	uint64_t bytes;

	if (preferred != NULL && is_healthy(hub, preferred))
		return (preferred);
	for (target = hub->state->targets; target != NULL;
	     target = target->hh.next) {
		if (!is_healthy(hub, target) ||
		    !takes(hub, target, spend, now_ms))
			continue;
		bytes = hub_upload_get_bytes(
		    hub->upload, target->key, target->as.born_ms);
		if (bytes >= least)
			continue;
		best = target;
		least = bytes;
	}
	return (best);
}

static void
log_refusal(
    hub_t *hub, node_id_t from, const Tm__Fleet__Spend *spend, uint32_t wait_ms)
{
	LOG_EVENT(945, LOG_LEVEL_INFO, "no target has room for an upload",
	    LOG_NUM("service", spend->service), LOG_NUM("bytes", spend->bytes),
	    LOG_NUM("bound_bytes",
		hub_upload_get_bound(hub->upload, spend->service)),
	    LOG_NUM("in_flight_bytes", hub_upload_count_bytes(hub->upload)),
	    LOG_NUM("wait_ms", wait_ms), LOG_NUM("gate", from));
}

hub_permit_t
hub_upload_permit_acquire(hub_t *hub, node_id_t from,
    const Tm__Fleet__Spend *spend, hub_assignment_t *assignment, int64_t now_ms)
{
	hub_upload_permit_t upload = {
		.gate = from,
		.id = spend->upload,
		.service = spend->service,
		.bytes = spend->bytes,
		.until_ms = now_ms + spend->left_ms,
	};
	hub_permit_t permit = { .is_granted = 0 };
	const hub_target_t *target;

	/* Without an answer the gate keeps to its share of the bound. */
	if (!hub_upload_is_settled(hub->upload, now_ms)) {
		permit.is_undecided = 1;
		return (permit);
	}
	target = choose(hub, spend, now_ms);
	if (target != NULL) {
		upload.target = target->key;
		upload.incarnation_ms = target->as.born_ms;
	}
	permit.is_granted = target != NULL &&
	    hub_upload_add(hub->upload, &upload, now_ms) == TM_OK;
	metric_add(permit.is_granted ? hub->metric_upload_granted
				     : hub->metric_upload_refused,
	    1);
	if (permit.is_granted) {
		assignment->target = target->key;
		hub_signals_consume(hub->signals,
		    &(hub_signal_key_t){ target->key, target->as.born_ms },
		    now_ms);
		return (permit);
	}
	permit.wait_ms =
	    (uint32_t)hub_upload_refuse(hub->upload, spend->service, now_ms);
	log_refusal(hub, from, spend, permit.wait_ms);
	return (permit);
}

static void
finish(hub_t *hub, node_id_t from, const uint32_t *ids, size_t count,
    hub_upload_end_t how)
{
	int64_t now_ms = clock_now_ms();
	size_t i;

	for (i = 0; i < count; i++)
		hub_upload_finish(hub->upload, from, ids[i], how, now_ms);
}

static void
add_running(
    hub_t *hub, node_id_t from, const Tm__Fleet__Upload *msg, int64_t now_ms)
{
	const hub_target_t *target =
	    hub_state_find_target(hub->state, msg->target);
	hub_upload_permit_t permit = {
		.gate = from,
		.id = msg->id,
		.target = msg->target,
		.incarnation_ms = msg->born_ms,
		.service = msg->service,
		.bytes = msg->bytes,
		.until_ms = now_ms + msg->left_ms,
	};

	/* What an incarnation before held is gone with it. */
	if (target != NULL && target->as.born_ms == msg->born_ms)
		hub_upload_add(hub->upload, &permit, now_ms);
}

void
hub_upload_permit_hear(hub_t *hub, node_id_t from, uint64_t incarnation)
{
	if (hub_upload_permit_is_active(hub))
		hub_upload_hear(hub->upload, from, incarnation, clock_now_ms());
}

void
hub_upload_permit_receive(hub_t *hub, node_id_t from, uint64_t incarnation,
    const uint8_t *payload, size_t len)
{
	Tm__Fleet__Uploads *msg =
	    tm__fleet__uploads__unpack(NULL, len, payload);
	hub_upload_bound_t bound;
	int64_t now_ms = clock_now_ms();
	size_t i;

	if (msg == NULL)
		return;
	hub_upload_hear(hub->upload, from, incarnation, now_ms);
	for (i = 0; i < msg->n_bounds; i++) {
		bound = (hub_upload_bound_t){ msg->bounds[i]->service,
			msg->bounds[i]->bytes };
		hub_upload_restore_bound(hub->upload, &bound, now_ms);
	}
	for (i = 0; i < msg->n_running; i++)
		add_running(hub, from, msg->running[i], now_ms);
	finish(hub, from, msg->answered, msg->n_answered, HUB_UPLOAD_ANSWERED);
	finish(hub, from, msg->unanswered, msg->n_unanswered,
	    HUB_UPLOAD_UNANSWERED);
	finish(hub, from, msg->broken, msg->n_broken, HUB_UPLOAD_BROKEN);
	tm__fleet__uploads__free_unpacked(msg, NULL);
}

void
hub_upload_permit_record_crash(
    hub_t *hub, uint64_t target, uint64_t incarnation_ms, int64_t now_ms)
{
	const hub_target_t *known = hub_state_find_target(hub->state, target);
	hub_upload_crash_t crash;

	if (!hub_upload_record_crash(
		hub->upload, target, incarnation_ms, now_ms, &crash))
		return;
	LOG_EVENT(944, crash.is_evidence ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
	    "target crashed while it held uploads",
	    LOG_TEXT("target", known != NULL ? known->as.id : ""),
	    LOG_TEXT("service", known != NULL ? known->as.service : ""),
	    LOG_NUM("held_bytes", crash.held_bytes),
	    LOG_NUM("usual_bytes", crash.usual_bytes),
	    LOG_NUM("bound_bytes", crash.bound_bytes),
	    LOG_NUM("is_evidence", crash.is_evidence));
}

void
hub_upload_permit_tick(hub_t *hub, int64_t now_ms)
{
	hub_upload_tick(hub->upload, now_ms);
	metric_set(hub->metric_upload_bytes,
	    (int64_t)hub_upload_count_bytes(hub->upload));
}
