#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "fleet/fleet_table.h"
#include "fleet/zip.h"
#include "gate/gate_defs.h"
#include "gate/gate_explain_http.h"
#include "gate/gate_metrics.h"
#include "gate/gate_policy.h"
#include "gate/gate_request.h"
#include "gate/gate_upload_permit.h"

/* Key lease as a fraction of revoke_within_s. */
#define KEY_LEASE_SHARE 0.8
#define IDLE_TIMEOUT_MS 15000
/* The process exits once no request has run for this time, so that callers have
 * read their responses and the closed connections. */
#define EXIT_IDLE_MS 150

int
gate_is_ready(const gate_t *gate)
{
	int64_t now_ms = clock_now_ms();

	return (!gate_stop_is_requested(&gate->stop) && gate->config != NULL &&
	    gate_table_get_term(gate->table) != 0 &&
	    gate_link_has_key_lease(gate->link, now_ms));
}

static void
send_to_hub(void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
{
	gate_t *gate = ctx;

	peer_net_send(gate->net, to, type, msg);
}

static void
on_hub_found(void *ctx, const char *name)
{
	gate_t *gate = ctx;

	peer_net_set_address(
	    gate->net, node_id_from_name(name), name, gate->settings.peer_port);
}

static void
on_hub_dropped(void *ctx, node_id_t hub)
{
	gate_t *gate = ctx;

	peer_net_remove(gate->net, hub);
}

/* A dead connection may show no error; opens a new one. */
static void
on_reset_hub(void *ctx, node_id_t hub)
{
	gate_t *gate = ctx;

	peer_net_reset(gate->net, hub);
}

static int64_t
on_get_received_ms(void *ctx, node_id_t hub)
{
	const gate_t *gate = ctx;

	return (peer_net_get_received_ms(gate->net, hub));
}

static void
on_late_probe(void *ctx, uint64_t target)
{
	gate_t *gate = ctx;

	if (!gate_table_keep_probe(gate->table, target, clock_now_ms()))
		gate_link_return_probe(gate->link, target);
}

/* @return 1 if the leader of the table's term answers */
static int
knows_leader_of_table(const gate_t *gate)
{
	return (gate_link_has_leader(gate->link, clock_now_ms()) &&
	    gate_link_get_term(gate->link) == gate_table_get_term(gate->table));
}

static void
on_fill_renewal(void *ctx, Tm__Fleet__Join *join, int needs_usage)
{
	gate_t *gate = ctx;
	size_t count = 0;
	size_t i;

	join->config_version = gate->config != NULL ? gate->config->version : 0;
	gate_table_fill_join(gate->table, knows_leader_of_table(gate), join);
	join->is_stopping = gate_stop_is_requested(&gate->stop);
	join->blocks_term = gate_crash_get_term(gate->crash);
	join->blocks_sequence = gate_crash_get_sequence(gate->crash);
	join->up_ms = (uint64_t)(clock_now_ms() - gate->started_ms);
	if (needs_usage) {
		join->usage_part_ms = GATE_USAGE_INTERVAL_MS;
		join->usage_ahead = GATE_USAGE_FUTURE_INTERVALS;
		join->n_usage =
		    gate_usage_list(gate->usage, &join->usage, clock_now_ms());
	}
	if ((gate->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0)
		gate_demand_fill(&gate->demands, gate->table, join);
	if (gate->outcomes == NULL) {
		free(gate->outcome_pointers);
		gate->outcomes =
		    gate_table_collect_outcomes(gate->table, &count);
		gate->outcome_pointers =
		    calloc(count + 1, sizeof(Tm__Fleet__Outcome *));
		if (gate->outcome_pointers == NULL)
			count = 0;
		for (i = 0; i < count; i++)
			gate->outcome_pointers[i] = &gate->outcomes[i];
		join->outcomes = gate->outcome_pointers;
		join->n_outcomes = count;
	}
}

static void
on_set_utilization(void *ctx, const Tm__Fleet__Pressure *pressure)
{
	gate_t *gate = ctx;

	gate_table_set_utilization(gate->table, pressure->service,
	    pressure->load_percent / 100.0, pressure->work_ms, clock_now_ms());
}

static void
on_set_full(void *ctx, uint64_t target, uint32_t load, int64_t reported_ms)
{
	gate_t *gate = ctx;

	gate_table_set_load(gate->table, target, load, reported_ms);
}

static void
on_set_admissions(
    void *ctx, Tm__Fleet__Admission *const *admissions, size_t count)
{
	gate_t *gate = ctx;

	gate->lease_ms = clock_now_ms();
	gate_demand_apply(gate->table, admissions, count,
	    gate_link_get_gate_count(gate->link), gate->lease_ms);
}

static void
on_set_upload_bounds(
    void *ctx, Tm__Fleet__UploadBound *const *bounds, size_t count)
{
	gate_t *gate = ctx;

	gate_upload_set_bounds(gate->upload, bounds, count);
}

static void
on_set_idle(void *ctx, const uint64_t *services, size_t count)
{
	gate_t *gate = ctx;

	gate_table_set_idle(gate->table, services, count, clock_now_ms());
}

static void
on_renewal_sent(void *ctx)
{
	gate_t *gate = ctx;

	gate_upload_permit_report(gate, 1);
	gate_demand_reset(gate->table);
	free(gate->outcome_pointers);
	free(gate->outcomes);
	gate->outcome_pointers = NULL;
	gate->outcomes = NULL;
}

static void
apply_config(gate_t *gate, fleet_config_t *config)
{
	fleet_config_destroy(gate->config);
	gate->config = config;
	gate->features =
	    fleet_config_get_features(config, gate->settings.features);
	if (config->limits.idle_timeout_ms > 0)
		http_server_set_idle_timeout(
		    gate->callers, (uint32_t)config->limits.idle_timeout_ms);
	gate_link_set_version(gate->link, config->version);
	LOG_EVENT(950, LOG_LEVEL_INFO, "configuration in force",
	    LOG_NUM("version", config->version),
	    LOG_NUM("routes", config->route_count),
	    LOG_NUM("idle_timeout_ms", config->limits.idle_timeout_ms));
}

/* An older version never replaces a newer one. */
static void
handle_document(gate_t *gate, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Document *msg =
	    tm__fleet__document__unpack(NULL, len, payload);
	char problem[FLEET_CONFIG_PROBLEM_BYTES] = "";
	fleet_config_t *config = NULL;
	char *plain = NULL;
	int err = TM_EFORMAT;

	if (msg == NULL)
		return;
	if (gate->config != NULL && msg->version <= gate->config->version) {
		tm__fleet__document__free_unpacked(msg, NULL);
		return;
	}
	plain = zip_unpack(msg->zipped.data, msg->zipped.len, msg->plain_bytes);
	if (plain != NULL)
		err = gate_get_dialect(gate)->read_config(
		    plain, msg->plain_bytes, &config, problem);
	free(plain);
	if (err == TM_OK)
		apply_config(gate, config);
	else
		LOG_EVENT(951, LOG_LEVEL_ERROR,
		    "cannot read the configuration, the old one stays in force",
		    LOG_NUM("version", msg->version),
		    LOG_TEXT("reason", &problem[0]),
		    LOG_TEXT("error", error_get_text(err)));
	tm__fleet__document__free_unpacked(msg, NULL);
}

static void
log_evacuation(const gate_evacuation_t *before, const Tm__Fleet__Table *msg)
{
	gate_evacuation_t known = *before;

	if (!gate_evacuation_set(&known, msg->evacuated, msg->n_evacuated))
		return;
	LOG_EVENT(971, LOG_LEVEL_INFO, "evacuated data centres",
	    LOG_NUM("count", msg->n_evacuated),
	    LOG_TEXT("last",
		msg->n_evacuated > 0 ? msg->evacuated[msg->n_evacuated - 1]
				     : ""),
	    LOG_NUM("term", msg->term), LOG_NUM("sequence", msg->sequence));
}

static void
log_applied_table(const gate_t *gate, const gate_evacuation_t *before,
    const Tm__Fleet__Table *msg, size_t len)
{
	log_evacuation(before, msg);
	if (msg->base_digest == 0)
		return;
	LOG_EVENT(980, LOG_LEVEL_INFO,
	    "differences from a new leader's table in force",
	    LOG_NUM("term", msg->term), LOG_NUM("sequence", msg->sequence),
	    LOG_NUM("targets", gate_table_count(gate->table)),
	    LOG_NUM("rows", msg->n_targets),
	    LOG_NUM("buckets", msg->n_replaced), LOG_NUM("bytes", len));
}

static void
handle_table(gate_t *gate, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Table *msg = fleet_table_unpack(payload, len);
	gate_evacuation_t before = *gate_table_get_evacuation(gate->table);

	if (msg == NULL)
		return;
	if (!gate_table_apply(gate->table, msg, clock_now_ms()))
		LOG_EVENT(967, LOG_LEVEL_INFO, "table of targets ignored",
		    LOG_NUM("term", msg->term), LOG_NUM("since", msg->since),
		    LOG_NUM("sequence", msg->sequence),
		    LOG_NUM("own_term", gate_table_get_term(gate->table)),
		    LOG_NUM(
			"own_sequence", gate_table_get_sequence(gate->table)));
	else
		log_applied_table(gate, &before, msg, len);
	tm__fleet__table__free_unpacked(msg, NULL);
}

static void
handle_blocks(gate_t *gate, const uint8_t *payload, size_t len)
{
	Tm__Fleet__Blocks *msg = tm__fleet__blocks__unpack(NULL, len, payload);

	if (msg == NULL)
		return;
	gate_crash_apply(gate->crash, msg, clock_now_ms());
	LOG_EVENT(965, LOG_LEVEL_INFO, "blocked requests in force",
	    LOG_NUM("blocked", msg->n_blocks),
	    LOG_NUM("suspected", msg->n_suspects), LOG_NUM("term", msg->term),
	    LOG_NUM("sequence", msg->sequence));
	tm__fleet__blocks__free_unpacked(msg, NULL);
}

/* peer_receive_cb */
static void
on_receive(void *ctx, node_id_t from, uint64_t incarnation, uint16_t type,
    const uint8_t *payload, size_t len)
{
	gate_t *gate = ctx;

	(void)incarnation;
	switch (type) {
	case MSG_FLEET_DOCUMENT:
		handle_document(gate, payload, len);
		break;
	case MSG_FLEET_TABLE:
		handle_table(gate, payload, len);
		break;
	case MSG_FLEET_BLOCKS:
		handle_blocks(gate, payload, len);
		break;
	default:
		gate_link_handle(
		    gate->link, from, type, payload, len, clock_now_ms());
		break;
	}
}

static void
tick_stop(gate_t *gate, int64_t now_ms)
{
	if (http_server_get_active(gate->callers) > 0)
		gate->last_busy_ms = now_ms;
	while (gate_stop_advance(&gate->stop, now_ms)) {
		if (gate->stop.phase == GATE_CLOSED) {
			http_server_stop(gate->callers);
			LOG_EVENT(952, LOG_LEVEL_INFO, "listener closed",
			    LOG_NUM("in_flight", gate->in_flight),
			    LOG_NUM("unwritten",
				http_server_get_active(gate->callers)));
		} else {
			gate_request_end_all(gate);
		}
	}
}

static void on_timer(uv_timer_t *timer);

/* The leader has seen tokens consumed before the request that it answered. */
static void
reset_allowance(gate_t *gate)
{
	int64_t current_ms = gate_link_get_answered_ms(gate->link);

	if (current_ms == gate->allowance_ms)
		return;
	gate->allowance_ms = current_ms;
	gate_allowance_reset(gate->allowance);
}

/* Sets the timer interval: shorter while requests are running. The next tick is
 * never put off, as each request may change the interval twice. */
static void
set_tick(gate_t *gate)
{
	uint64_t wanted_ms =
	    gate->in_flight > 0 ? GATE_TICK_MS : GATE_IDLE_TICK_MS;
	uint64_t due_in_ms;

	if (wanted_ms == gate->tick_ms)
		return;
	gate->tick_ms = wanted_ms;
	uv_timer_set_repeat(&gate->timer, wanted_ms);
	due_in_ms = uv_timer_get_due_in(&gate->timer);
	if (due_in_ms <= wanted_ms)
		return;
	uv_timer_start(&gate->timer, on_timer, wanted_ms, wanted_ms);
	gate->due_ms -= (int64_t)(due_in_ms - wanted_ms);
}

/* A probe that no request has used in time goes back to the leader. */
static void
return_kept_probes(gate_t *gate, int64_t now_ms)
{
	uint64_t target;

	while ((target = gate_table_drop_probe(gate->table, now_ms)) != 0)
		gate_link_return_probe(gate->link, target);
}

static void
tick(gate_t *gate, int64_t now_ms)
{
	gate_link_tick(gate->link, now_ms);
	gate_policy_tick(gate, now_ms);
	return_kept_probes(gate, now_ms);
	reset_allowance(gate);
	gate_front_tick(gate, now_ms);
	gate_request_tick_all(gate, now_ms);
	upstream_tick(gate->upstream, now_ms);
	if (gate_stop_is_requested(&gate->stop))
		tick_stop(gate, now_ms);
}

/* uv_idle_cb; while it is active, the poll does not block */
static void
on_idle(uv_idle_t *idle)
{
	(void)idle;
}

/* libuv runs timers before it polls. If the process was late, responses that
 * arrived in time may be unread; a late tick runs after the poll. */
static void
on_timer(uv_timer_t *timer)
{
	gate_t *gate = timer->data;
	int64_t now_ms = clock_now_ms();

	if (now_ms - gate->due_ms > (int64_t)gate->tick_ms)
		uv_idle_start(&gate->late_tick, on_idle);
	else
		tick(gate, now_ms);
	gate->due_ms = now_ms + (int64_t)gate->tick_ms;
}

static void
on_check(uv_check_t *check)
{
	gate_t *gate = check->data;

	if (uv_is_active((uv_handle_t *)&gate->late_tick)) {
		uv_idle_stop(&gate->late_tick);
		tick(gate, clock_now_ms());
	}
	gate_link_flush(gate->link, clock_now_ms());
	gate_upload_permit_report(gate, 0);
	set_tick(gate);
}

/* http_server_cb */
static void
handle_ready(void *ctx, h2o_req_t *req)
{
	gate_t *gate = ctx;
	const char *path = gate_get_dialect(gate)->ready_path;

	if (!h2o_memis(req->path.base, req->path.len, path, strlen(path)))
		http_request_reply(
		    req, 404, "text/plain", "no such page\n", 13);
	else if (gate_is_ready(gate))
		http_request_reply(req, 200, "text/plain", "ready\n", 6);
	else
		http_request_reply(req, 503, "text/plain", "not ready\n", 10);
}

/* http_server_cb */
static void
handle_metrics(void *ctx, h2o_req_t *req)
{
	gate_t *gate = ctx;
	size_t len = 0;
	char *text;

	if (gate_explain_http_matches(req)) {
		gate_explain_http_handle(gate, req);
		return;
	}
	gate_metrics_update(gate);
	text = metrics_format(gate->metrics, &len);
	http_request_reply(req, text != NULL ? 200 : 503,
	    "text/plain; version=0.0.4", text != NULL ? text : "", len);
	free(text);
}

static int
open_net(gate_t *gate)
{
	const gate_settings_t *settings = &gate->settings;
	char name[NAME_MAX_BYTES + 1];
	peer_options_t options = {
		.loop = gate->loop,
		.node_name = name,
		.incarnation = 1,
		.listen_ip = settings->ip,
		.listen_port = settings->peer_port,
		.receive = on_receive,
		.ctx = gate,
	};

	/* A random name per start makes each start another node, without
	 * stored state or a clock. */
	snprintf(name, sizeof(name), "gate-%016llx",
	    (unsigned long long)rng_next(&gate->rng));
	program_list_secrets(
	    settings->secrets, settings->secret_count, options.secrets);
	return (peer_net_create(&gate->net, &options));
}

/* The request was not read, so nothing of it is known. */
static void
on_intake_refused(void *ctx)
{
	gate_t *gate = ctx;

	gate_metrics_count_answer(gate, "", 503, HTTP_INTAKE_ERROR, 0);
	LOG_EVENT(968, LOG_LEVEL_WARN,
	    "large request refused before it was read",
	    LOG_NUM("connections", http_server_get_connections(gate->callers)),
	    LOG_NUM("in_flight", gate->in_flight));
}

/* A caller used a connection that this gate had closed. */
static void
on_late(void *ctx, const http_late_request_t *late)
{
	const gate_t *gate = ctx;

	metric_add(gate->metric_late_requests, 1);
	LOG_EVENT(982, LOG_LEVEL_WARN, "request on a closed connection dropped",
	    LOG_NUM("bytes", late->bytes),
	    LOG_NUM("unread_bytes", late->unread_bytes),
	    LOG_NUM("closed_ms", late->closed_ms),
	    LOG_NUM("idle_ms", late->idle_ms),
	    LOG_NUM("is_stopping", gate_stop_is_requested(&gate->stop)));
}

static int
open_listeners(gate_t *gate)
{
	http_server_options_t options = {
		.loop = gate->loop,
		.addr = gate->settings.listen,
		.server_name = "tarragonmoor",
		.connections_max = GATE_CONNECTIONS_MAX,
		.body_max_bytes = GATE_BODY_MAX_BYTES,
		.intake_max_bytes = gate->settings.request_limit_bytes,
		.intake_refused = on_intake_refused,
		.late = on_late,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.announces_idle = 1,
		.handle = gate_front_handle,
		.ctx = gate,
	};
	int err = http_server_create(&gate->callers, &options);

	options.addr = gate->settings.ready_listen;
	options.connections_max = 64;
	options.body_max_bytes = 1024;
	options.intake_max_bytes = 0;
	options.late = NULL;
	options.announces_idle = 0;
	options.handle = handle_ready;
	if (err == TM_OK)
		err = http_server_create(&gate->ready, &options);
	if (err != TM_OK || gate->settings.metrics_port == 0)
		return (err);
	options.addr.sin_port = htons(gate->settings.metrics_port);
	options.handle = handle_metrics;
	return (http_server_create(&gate->metrics_server, &options));
}

static int
create_modules(gate_t *gate)
{
	const gate_settings_t *settings = &gate->settings;
	const char *seeds[FLEET_HUBS_MAX];
	gate_link_options_t link = {
		.seeds = seeds,
		.seed_count = settings->seed_count,
		.spread = rng_next(&gate->rng),
		.key_lease_ms = (int64_t)(KEY_LEASE_SHARE *
		    (double)settings->revoke_within_ms),
		.send = send_to_hub,
		.send_ctx = gate,
		.hub_found = on_hub_found,
		.hub_dropped = on_hub_dropped,
		.reset_hub = on_reset_hub,
		.get_received_ms = on_get_received_ms,
		.late_probe = on_late_probe,
		.fill_renewal = on_fill_renewal,
		.set_utilization = on_set_utilization,
		.set_admissions = on_set_admissions,
		.set_full = on_set_full,
		.set_upload_bounds = on_set_upload_bounds,
		.set_idle = on_set_idle,
		.renewal_sent = on_renewal_sent,
		.ctx = gate,
	};
	int i;

	for (i = 0; i < settings->seed_count; i++)
		seeds[i] = settings->seeds[i];
	gate->table = gate_table_create(settings->zone, rng_next(&gate->rng));
	gate->allowance =
	    gate_allowance_create(&settings->rates, rng_next(&gate->rng));
	gate->usage = gate_usage_create();
	gate->crash = gate_crash_create();
	gate->cost = gate_cost_create();
	gate->upload = gate_upload_create();
	gate->link = gate_link_create(&link);
	gate->upstream = upstream_create(gate->loop);
	if (gate->upstream != NULL)
		upstream_set_response_limit(
		    gate->upstream, settings->response_limit_bytes);
	if (gate->table == NULL || gate->allowance == NULL ||
	    gate->usage == NULL || gate->crash == NULL || gate->cost == NULL ||
	    gate->upload == NULL || gate->link == NULL ||
	    gate->upstream == NULL)
		return (TM_ENOMEM);
	return (gate_metrics_create(gate));
}

static void
start_handles(gate_t *gate)
{
	uv_timer_init(gate->loop, &gate->timer);
	gate->timer.data = gate;
	gate->tick_ms = GATE_IDLE_TICK_MS;
	gate->due_ms = clock_now_ms() + GATE_IDLE_TICK_MS;
	uv_timer_start(
	    &gate->timer, on_timer, GATE_IDLE_TICK_MS, GATE_IDLE_TICK_MS);
	uv_check_init(gate->loop, &gate->check);
	gate->check.data = gate;
	uv_check_start(&gate->check, on_check);
	uv_idle_init(gate->loop, &gate->late_tick);
}

int
gate_create(gate_t **out, const gate_settings_t *settings, uv_loop_t *loop)
{
	gate_t *gate = calloc(1, sizeof(*gate));
	uint64_t seed;
	int err = TM_EIO;

	if (gate == NULL)
		return (TM_ENOMEM);
	gate->settings = *settings;
	gate->stop.within_ms = settings->stop_within_ms;
	gate->loop = loop;
	gate->started_ms = clock_now_ms();
	if (RAND_bytes((unsigned char *)&seed, sizeof(seed)) == 1) {
		rng_init(&gate->rng, seed);
		err = open_net(gate);
	}
	if (err == TM_OK)
		err = create_modules(gate);
	if (err == TM_OK)
		err = open_listeners(gate);
	if (err != TM_OK) {
		LOG_EVENT(954, LOG_LEVEL_ERROR, "cannot start",
		    LOG_TEXT("error", error_get_text(err)),
		    LOG_TEXT("remedy",
			"check listen, ready_listen, peer_port and "
			"metrics_port, and that no other process uses them"));
		return (err);
	}
	start_handles(gate);
	*out = gate;
	return (TM_OK);
}

int
gate_reload(gate_t *gate, const gate_settings_t *new_settings)
{
	const char *secrets[PEER_SECRETS_MAX];
	int i;

	for (i = 0; i < new_settings->seed_count; i++)
		gate_link_add_seed(
		    gate->link, new_settings->seeds[i], clock_now_ms());
	program_list_secrets(
	    new_settings->secrets, new_settings->secret_count, secrets);
	return (peer_net_set_secrets(gate->net, secrets));
}

void
gate_begin_stop(gate_t *gate)
{
	if (!gate_stop_request(&gate->stop, clock_now_ms()))
		return;
	LOG_EVENT(955, LOG_LEVEL_INFO, "stop requested",
	    LOG_NUM("in_flight", gate->in_flight));
	gate_front_refuse_waiting(gate);
}

int
gate_is_stopped(const gate_t *gate)
{
	int64_t now_ms = clock_now_ms();

	/* After a pause, the tick that ends the requests may still be due. */
	if (gate_stop_is_overdue(&gate->stop, now_ms) &&
	    gate->stop.phase == GATE_ENDING)
		return (1);
	return (gate->stop.phase >= GATE_CLOSED &&
	    http_server_is_delivered(gate->callers) &&
	    now_ms - gate->last_busy_ms >= EXIT_IDLE_MS);
}
