#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "hub/hub_internal.h"

#define TICK_MS 50
/* Shortest election timeout: some heartbeats may be lost or late. */
#define ELECTION_MS 400
/* Entries after which the log is compacted, and entries kept then. */
#define COMPACT_ENTRIES 400
#define COMPACT_KEEP	64
/* Longest wait of a stop for another leader. */
#define STOP_MAX_MS 2000

const hub_state_t *
hub_get_state(const hub_t *hub)
{
	return (hub->state);
}

const hub_settings_t *
hub_get_settings(const hub_t *hub)
{
	return (&hub->settings);
}

metrics_t *
hub_get_metrics(hub_t *hub)
{
	return (hub->metrics);
}

int
hub_is_leading(const hub_t *hub)
{
	return (hub_role_may_serve(hub->raft, clock_now_ms()));
}

const char *
hub_get_leader(const hub_t *hub)
{
	node_id_t leader = raft_get_leader(hub->raft);

	if (leader != NODE_ID_NONE)
		return (hub_members_find_name(hub->members, leader));
	/* A voter without a leader takes part in an election. */
	return (raft_is_voter(hub->raft)
		? NULL
		: hub_members_find_leader(hub->members, clock_now_ms()));
}

static void
finish_proposal(hub_t *hub, proposal_t *proposal, int err)
{
	DL_DELETE(hub->proposals, proposal);
	proposal->done(proposal->ctx, err);
	free(proposal);
}

int
hub_propose(hub_t *hub, uint8_t *bytes, size_t len, hub_done_cb done, void *ctx)
{
	proposal_t *proposal = calloc(1, sizeof(*proposal));
	int err = TM_ENOMEM;

	if (proposal != NULL && bytes != NULL)
		err = raft_propose(hub->raft, bytes, len, &proposal->index);
	free(bytes);
	if (err != TM_OK) {
		free(proposal);
		return (err);
	}
	proposal->term = raft_get_term(hub->raft);
	proposal->deadline_ms = clock_now_ms() + HUB_PROPOSAL_MAX_MS;
	proposal->done = done;
	proposal->ctx = ctx;
	DL_APPEND(hub->proposals, proposal);
	return (TM_OK);
}

static void
finish_proposals(hub_t *hub, uint64_t applied, int64_t now_ms)
{
	proposal_t *proposal;
	proposal_t *next;

	DL_FOREACH_SAFE(hub->proposals, proposal, next) {
		if (raft_get_term(hub->raft) != proposal->term)
			finish_proposal(hub, proposal, TM_ENOTLEADER);
		else if (proposal->index <= applied)
			finish_proposal(hub, proposal, TM_OK);
		else if (now_ms >= proposal->deadline_ms)
			finish_proposal(hub, proposal, TM_ETIMEDOUT);
	}
}

static const char *
verdict_get_name(fleet_verdict_t verdict)
{
	static const char *const names[] = { "good", "ejected", "safe trial",
		"trial" };

	return (names[verdict]);
}

/* Steps between probe states are routine, and too many for the log. */
static log_level_t
verdict_get_log_level(fleet_verdict_t verdict)
{
	return (
	    verdict == FLEET_VERDICT_HEALTHY || verdict == FLEET_VERDICT_EJECTED
		? LOG_LEVEL_INFO
		: LOG_LEVEL_DEBUG);
}

static void
on_verdict(void *ctx, uint64_t key, fleet_verdict_t verdict, const char *reason)
{
	hub_t *hub = ctx;
	const hub_target_t *target = hub_state_find_target(hub->state, key);
	hub_outlier_info_t info = { .verdict = verdict };

	hub_outlier_get_info(hub->outlier, key, &info);
	hub_feed_mark_verdict_changed(hub->feed, key, verdict);
	metric_add(hub->metric_verdicts, 1);
	LOG_EVENT(910, verdict_get_log_level(verdict), "verdict on a target",
	    LOG_TEXT("target", target != NULL ? target->as.id : ""),
	    LOG_TEXT("service", target != NULL ? target->as.service : ""),
	    LOG_TEXT("verdict", verdict_get_name(verdict)),
	    LOG_TEXT("reason", reason), LOG_NUM("ejections", info.ejections));
}

/* hub_outlier_filter_cb */
static int
may_assign_target(void *ctx, uint64_t key, int64_t now_ms)
{
	hub_t *hub = ctx;
	const hub_target_t *target = hub_state_find_target(hub->state, key);
	hub_signal_key_t incarnation = { .target = key };

	if (target == NULL)
		return (0);
	incarnation.incarnation_ms = target->as.born_ms;
	return (!hub_signals_is_leaving(hub->signals, &incarnation) &&
	    hub_signals_get_wait_ms(hub->signals, &incarnation, now_ms) == 0);
}

static void
configure_outlier(hub_t *hub)
{
	const fleet_service_t *service;

	hub_outlier_set_scarce(
	    hub->outlier, (hub->features & FLEET_FEATURE_SCARCE_CAPACITY) != 0);
	for (service = hub->config->services; service != NULL;
	     service = service->hh.next)
		hub_outlier_set_repeatable(
		    hub->outlier, service->id, service->has_repeatable);
}

/* Parses the newest document, if it is new, and applies it at this hub. Entries of
 * the log come many at a time after a start, and only the last document counts. */
static void
apply_document(hub_t *hub)
{
	char problem[FLEET_CONFIG_PROBLEM_BYTES] = "";
	fleet_config_t *config = NULL;
	fleet_config_t *old;
	char *plain;
	int err = TM_ENOMEM;

	if (!hub->has_new_document || !hub->state->has_document)
		return;
	hub->has_new_document = 0;
	plain = hub_document_decompress(&hub->state->document);
	if (plain != NULL)
		err = hub->settings.dialect->read_config(
		    plain, hub->state->document.plain_len, &config, problem);
	free(plain);
	if (err != TM_OK) {
		LOG_EVENT(911, LOG_LEVEL_ERROR,
		    "a stored document cannot be read",
		    LOG_NUM("version", hub->state->document.version),
		    LOG_TEXT("reason", &problem[0]),
		    LOG_TEXT("error", error_get_text(err)));
		return;
	}
	old = hub->config;
	hub->config = config;
	hub->features =
	    fleet_config_get_features(config, hub->settings.features);
	hub_quota_configure(hub->quota, config, clock_now_ms());
	hub_cold_apply_config(hub, old, clock_now_ms());
	fleet_config_destroy(old);
	configure_outlier(hub);
	LOG_EVENT(912, LOG_LEVEL_INFO, "document in force",
	    LOG_NUM("version", config->version),
	    LOG_NUM("routes", config->route_count));
}

void
hub_add_to_outlier(hub_t *hub, const hub_target_t *target)
{
	hub_outlier_add_target(hub->outlier, target->key,
	    fleet_name_hash(target->as.service), target->as.born_ms);
	if (target->as.state == FLEET_TARGET_DRAINING)
		hub_outlier_set_draining(hub->outlier, target->key);
	hub_outlier_set_evacuated(hub->outlier, target->key,
	    hub_evacuations_has(&hub->state->evacuations, target->as.zone),
	    clock_now_ms());
}

/* Other hubs forget what the leader has confirmed of a target that changes; of a
 * new one they know nothing. */
static void
record_change(hub_t *hub, const hub_target_t *target)
{
	hub_outlier_info_t info;

	if (hub_outlier_get_info(hub->outlier, target->key, &info) == TM_OK)
		hub_changes_add(&hub->changes, target->key);
}

static void
on_target_change(hub_t *hub, const hub_target_t *target)
{
	record_change(hub, target);
	if (target->as.state == FLEET_TARGET_DEREGISTERED) {
		hub_outlier_remove_target(hub->outlier, target->key);
		hub_signals_remove(hub->signals, target->key);
	} else {
		hub_add_to_outlier(hub, target);
		hub_record_incarnation(hub, target, clock_now_ms());
	}
	hub_cold_apply(hub, target);
	hub_feed_mark_target_changed(hub->feed, target->key);
}

/* raft_apply_cb */
static void
on_apply(void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
	hub_t *hub = ctx;
	hub_changed_targets_t changed;

	(void)index;
	metric_add(hub->metric_commits, 1);
	switch (hub_state_apply(hub->state, data, len, &changed)) {
	case HUB_CHANGE_DOCUMENT:
		hub->has_new_document = 1;
		hub_feed_mark_document_changed(hub->feed);
		break;
	case HUB_CHANGE_TARGET:
		on_target_change(hub, changed.target);
		if (changed.replaced != NULL)
			on_target_change(hub, changed.replaced);
		break;
	case HUB_CHANGE_HUBS:
		hub_members_merge(hub->members, hub->state, clock_now_ms());
		break;
	case HUB_CHANGE_EVACUATIONS:
		hub_apply_evacuation(hub, clock_now_ms());
		break;
	default:
		break;
	}
}

/* raft_take_snapshot_cb */
static int
on_take_snapshot(void *ctx, uint8_t **data, size_t *len)
{
	hub_t *hub = ctx;

	*data = hub_state_encode(hub->state, len);
	return (*data != NULL ? TM_OK : TM_ENOMEM);
}

/* raft_install_snapshot_cb */
static int
on_install_snapshot(void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
	hub_t *hub = ctx;
	hub_evacuations_t evacuations = hub->state->evacuations;
	int err = hub_state_restore(hub->state, data, len);

	(void)index;
	if (err != TM_OK)
		return (err);
	hub_restore_evacuations(hub, &evacuations, clock_now_ms());
	hub_members_merge(hub->members, hub->state, clock_now_ms());
	hub->has_new_document = 1;
	return (TM_OK);
}

/* hub_added_cb */
static void
on_hub_added(void *ctx, const char *name)
{
	hub_t *hub = ctx;

	peer_net_set_address(
	    hub->net, node_id_from_name(name), name, hub->settings.peer_port);
}

/* hub_dropped_cb */
static void
on_hub_dropped(void *ctx, node_id_t id)
{
	hub_t *hub = ctx;

	peer_net_remove(hub->net, id);
}

static void
compact(hub_t *hub)
{
	uint64_t applied = raft_get_applied(hub->raft);
	int err;

	if (applied < hub->compacted + COMPACT_ENTRIES)
		return;
	hub->compacted = applied;
	err = raft_compact(hub->raft, COMPACT_KEEP);
	if (err != TM_OK)
		LOG_EVENT(916, LOG_LEVEL_ERROR, "compaction failed",
		    LOG_TEXT("error", error_get_text(err)));
}

/* Callers of proposals move on to another hub at once. */
static void
check_storage(hub_t *hub)
{
	int err = raft_get_error(hub->raft);
	hub_failed_cb failed = hub->failed;
	proposal_t *proposal;
	proposal_t *next;

	/* A newer epoch is not mended by another start. */
	if (err == TM_OK || err == TM_EEPOCH || failed == NULL)
		return;
	hub->failed = NULL;
	DL_FOREACH_SAFE(hub->proposals, proposal, next)
		finish_proposal(hub, proposal, err);
	failed(hub->failed_ctx);
}

static void
on_timer(uv_timer_t *timer)
{
	hub_t *hub = timer->data;
	int64_t now_ms = clock_now_ms();

	raft_tick(hub->raft, now_ms);
	apply_document(hub);
	hub_update_role(hub, now_ms);
	hub_members_tick(hub->members, now_ms);
	if (hub->role.is_serving)
		hub_tick_leader(hub, now_ms);
	finish_proposals(hub, raft_get_applied(hub->raft), now_ms);
	hub_announcements_tick(hub, now_ms);
	compact(hub);
	check_storage(hub);
}

/* Flushes the proposals of one loop iteration together. */
static void
on_check(uv_check_t *check)
{
	hub_t *hub = check->data;
	int64_t now_ms = clock_now_ms();

	raft_flush(hub->raft, now_ms);
	apply_document(hub);
	hub_update_role(hub, now_ms);
	if (hub->role.is_serving)
		hub_feed_flush(hub->feed, now_ms);
	finish_proposals(hub, raft_get_applied(hub->raft), now_ms);
	hub_announcements_flush(hub, now_ms);
	check_storage(hub);
}

static int
open_net(hub_t *hub)
{
	const hub_settings_t *settings = &hub->settings;
	peer_options_t options = {
		.loop = hub->loop,
		.node_name = settings->ip,
		.incarnation = (uint64_t)clock_wall_ms(),
		.listen_ip = settings->ip,
		.listen_port = settings->peer_port,
		.receive = hub_messages_receive,
		.ctx = hub,
	};

	program_list_secrets(
	    settings->secrets, settings->secret_count, options.secrets);
	return (peer_net_create(&hub->net, &options));
}

/*
 * At a first start the disk id is derived from the hub's name, so that the
 * other hubs know it and the seeds form one log without an exchange of
 * messages.
 */
static uint64_t
get_first_disk_id(const char *name)
{
	uint64_t id = XXH64(name, strlen(name), 1);

	return (id != RAFT_DISK_NONE ? id : 1);
}

static int
open_store(hub_t *hub)
{
	store_options_t options = { .path = hub->settings.data_dir };

	if (hub->settings.is_first_start)
		options.initial_disk_id = get_first_disk_id(hub->settings.ip);
	return (store_open_wait(&hub->store, &options));
}

static int
open_raft(hub_t *hub)
{
	const hub_settings_t *settings = &hub->settings;
	raft_options_t options = {
		.self = hub->self,
		.send = peer_net_send_cb,
		.send_ctx = hub->net,
		.apply = on_apply,
		.take_snapshot = on_take_snapshot,
		.install_snapshot = on_install_snapshot,
		.ctx = hub,
		.election_ms = ELECTION_MS,
	};
	int err;
	int i;

	options.disk_id = store_get_disk_id(hub->store);
	options.restore = *store_get_restore(hub->store);
	options.storage = store_get_storage(hub->store);
	for (i = 0; settings->is_first_start && i < settings->seed_count &&
	     i < RAFT_MEMBERS_MAX;
	     i++) {
		options.voters[i].node = node_id_from_name(settings->seeds[i]);
		options.voters[i].disk_id =
		    get_first_disk_id(settings->seeds[i]);
		options.voter_count++;
	}
	if (RAND_bytes((unsigned char *)&options.seed, sizeof(options.seed)) !=
	    1)
		return (TM_EIO);
	err = raft_create(&hub->raft, &options, clock_now_ms());
	store_release_restore(hub->store);
	return (err);
}

static uint64_t
on_get_connection(void *ctx, node_id_t gate)
{
	return (peer_net_get_connection(ctx, gate));
}

static int
create_modules(hub_t *hub)
{
	const hub_settings_t *settings = &hub->settings;
	const char *seeds[FLEET_HUBS_MAX];
	hub_quota_options_t quota = {
		.retry_ratio = settings->retry_ratio,
		.retry_burst = settings->retry_burst,
		.rates = settings->rates,
	};
	hub_members_options_t members = {
		.self = settings->ip,
		.seeds = seeds,
		.seed_count = settings->seed_count,
		.data_centre =
		    settings->lost_data_centres_max > 0 ? settings->zone : "",
		.send = peer_net_send_cb,
		.send_ctx = hub->net,
		.added = on_hub_added,
		.dropped = on_hub_dropped,
		.ctx = hub,
	};
	hub_feed_options_t feed = {
		.send = peer_net_send_cb,
		.send_ctx = hub->net,
		.get_connection = on_get_connection,
		.connection_ctx = hub->net,
		.window_ms = settings->rates.window_ms,
	};
	int i;

	for (i = 0; i < settings->seed_count; i++)
		seeds[i] = settings->seeds[i];
	hub->state = hub_state_create();
	hub->members = hub_members_create(&members);
	hub->outlier =
	    hub_outlier_create(settings->used_share_min, on_verdict, hub);
	hub->quota = hub_quota_create(&quota);
	hub->load = hub_load_create();
	hub->admission = hub_admission_create();
	hub->crash = hub_crash_create();
	hub->signals = hub_signals_create();
	feed.state = hub->state;
	feed.outlier = hub->outlier;
	feed.signals = hub->signals;
	feed.get_cold_value = hub_cold_get_value;
	feed.cold_ctx = hub;
	hub->feed = hub_feed_create(&feed);
	hub->metrics = metrics_create();
	if (hub->metrics != NULL)
		hub->report = hub_report_create(hub->outlier, hub->metrics);
	if (hub->state == NULL || hub->members == NULL ||
	    hub->outlier == NULL || hub->quota == NULL || hub->load == NULL ||
	    hub->admission == NULL || hub->crash == NULL ||
	    hub->signals == NULL || hub->feed == NULL || hub->report == NULL ||
	    hub_cold_create(hub) != TM_OK ||
	    hub_upload_permit_create(hub) != TM_OK)
		return (TM_ENOMEM);
	hub_outlier_set_filter(hub->outlier, may_assign_target);
	hub_load_set_signals(hub->load, hub->signals);
	hub->metric_leading =
	    metrics_get(hub->metrics, "tm_hub_is_leading", "", METRIC_GAUGE);
	hub->metric_commits = metrics_get(
	    hub->metrics, "tm_hub_entries_total", "", METRIC_COUNTER);
	hub->metric_verdicts = metrics_get(
	    hub->metrics, "tm_hub_verdicts_total", "", METRIC_COUNTER);
	hub->metric_gates =
	    metrics_get(hub->metrics, "tm_hub_gates", "", METRIC_GAUGE);
	hub->metric_crashes = metrics_get(
	    hub->metrics, "tm_hub_target_crashes_total", "", METRIC_COUNTER);
	hub->metric_full_services =
	    metrics_get(hub->metrics, "tm_hub_full_services", "", METRIC_GAUGE);
	hub->metric_blocked = metrics_get(
	    hub->metrics, "tm_hub_blocked_requests", "", METRIC_GAUGE);
	hub->metric_evacuated = metrics_get(
	    hub->metrics, "tm_hub_evacuated_data_centres", "", METRIC_GAUGE);
	return (hub_announcements_create(hub));
}

static void
start_handles(hub_t *hub)
{
	uv_timer_init(hub->loop, &hub->timer);
	hub->timer.data = hub;
	uv_timer_start(&hub->timer, on_timer, TICK_MS, TICK_MS);
	uv_check_init(hub->loop, &hub->check);
	hub->check.data = hub;
	uv_check_start(&hub->check, on_check);
}

int
hub_create(hub_t **out, const hub_settings_t *settings, uv_loop_t *loop)
{
	hub_t *hub = calloc(1, sizeof(*hub));
	int err;

	if (hub == NULL)
		return (TM_ENOMEM);
	hub->settings = *settings;
	hub->loop = loop;
	hub->self = node_id_from_name(settings->ip);
	/* Others reach this hub only once its disk takes writes. */
	err = open_store(hub);
	if (err == TM_OK)
		err = open_net(hub);
	if (err == TM_OK)
		err = create_modules(hub);
	if (err == TM_OK)
		err = open_raft(hub);
	if (err != TM_OK) {
		LOG_EVENT(917, LOG_LEVEL_ERROR, "cannot start",
		    LOG_TEXT("data_dir", settings->data_dir),
		    LOG_NUM("peer_port", settings->peer_port),
		    LOG_TEXT("error", error_get_text(err)),
		    LOG_TEXT("remedy", error_get_remedy(err)));
		return (err);
	}
	start_handles(hub);
	*out = hub;
	return (TM_OK);
}

int
hub_reload(hub_t *hub, const hub_settings_t *new_settings)
{
	const char *secrets[PEER_SECRETS_MAX];
	int i;

	for (i = 0; i < new_settings->seed_count; i++)
		hub_members_add_seed(hub->members, new_settings->seeds[i]);
	program_list_secrets(
	    new_settings->secrets, new_settings->secret_count, secrets);
	return (peer_net_set_secrets(hub->net, secrets));
}

void
hub_set_failure_callback(hub_t *hub, hub_failed_cb failed, void *ctx)
{
	hub->failed = failed;
	hub->failed_ctx = ctx;
}

void
hub_begin_stop(hub_t *hub)
{
	if (hub->is_stopping)
		return;
	hub->is_stopping = 1;
	hub->stop_deadline_ms = clock_now_ms() + STOP_MAX_MS;
	hub_members_set_stopping(hub->members);
	LOG_EVENT(918, LOG_LEVEL_INFO, "stop requested",
	    LOG_NUM("is_leader", raft_is_leader(hub->raft)));
	if (raft_is_leader(hub->raft))
		raft_transfer_leadership(hub->raft, clock_now_ms());
}

int
hub_is_stopped(const hub_t *hub)
{
	if (!hub->is_stopping)
		return (0);
	if (clock_now_ms() >= hub->stop_deadline_ms)
		return (1);
	return (hub->proposals == NULL && !raft_is_leader(hub->raft));
}
