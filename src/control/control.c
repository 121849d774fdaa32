#include "control/control.h"

#include <arpa/inet.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/test_hooks.h"
#include "control/control_internal.h"
#include "gossip/feed_msgs.h"

#define CONTROL_TICK_MS	    20
#define CONTROL_STOP_MAX_MS 5000

static void
control_finish_ticket(
    control_t *control, control_ticket_t *ticket, const config_result_t *result)
{
	control_count_change(
	    control, ticket->deadline_ms - CONTROL_CHANGE_TIMEOUT_MS, result);
	if (ticket->done != NULL)
		ticket->done(ticket->ctx, result);
	free(ticket);
}

/* Answers the change of an index. If another term's entry took its place, the
 * change may still come with a later one, so its outcome is unknown. */
static void
control_complete(
    control_t *control, uint64_t index, const config_result_t *result)
{
	const config_result_t unknown = { .err = TM_ETIMEDOUT };
	control_ticket_t **link = &control->tickets;
	control_ticket_t *ticket;
	uint64_t term;

	if (control->tickets == NULL)
		return;
	term = raft_get_entry_term(control->raft, index);
	while ((ticket = *link) != NULL) {
		if (ticket->index > index) {
			link = &ticket->next;
			continue;
		}
		*link = ticket->next;
		control_finish_ticket(control, ticket,
		    ticket->index == index && ticket->term == term ? result
								   : &unknown);
	}
}

static void
control_expire_tickets(control_t *control)
{
	const config_result_t unknown = { .err = TM_ETIMEDOUT };
	control_ticket_t **link = &control->tickets;
	control_ticket_t *ticket;

	while ((ticket = *link) != NULL) {
		if (control->now_ms < ticket->deadline_ms) {
			link = &ticket->next;
			continue;
		}
		*link = ticket->next;
		control_finish_ticket(control, ticket, &unknown);
	}
}

static void
control_apply(void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
	control_t *control = ctx;
	uint64_t prev = config_state_get_index(control->state);
	config_result_t result;

	if (config_state_apply(control->state, index, data, len, &result) !=
	    TM_OK)
		return;
	feed_add_entry(control->feed, index, prev, data, len, control->now_ms);
	control->applied_since_compact++;
	control_complete(control, index, &result);
}

static int
control_take_snapshot(void *ctx, uint8_t **data, size_t *len)
{
	control_t *control = ctx;

	*data = config_snapshot_encode(control->state, len);
	return (*data != NULL ? TM_OK : TM_ENOMEM);
}

static int
control_install_snapshot(
    void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
	control_t *control = ctx;
	int err = config_snapshot_install(control->state, data, len);

	(void)index;
	/* The log index of a snapshot can be newer than its configuration. */
	if (err == TM_ESTALE)
		return (TM_OK);
	if (err == TM_OK)
		feed_reset(control->feed);
	return (err);
}

int
control_propose_entry(
    control_t *control, const Feed__Entry *entry, uint64_t *index)
{
	uint8_t *bytes;
	size_t len;
	int err;

	bytes = config_entry_encode(entry, &len);
	if (bytes == NULL)
		return (TM_ENOMEM);
	err = raft_propose(control->raft, bytes, len, index);
	free(bytes);
	return (err);
}

int
control_propose(control_t *control, const Feed__Change *change,
    control_done_cb done, void *ctx, control_ticket_t **out)
{
	Feed__Entry entry = FEED__ENTRY__INIT;
	control_ticket_t *ticket;
	int err;

	if (control->stopping)
		return (TM_EUNAVAIL);
	ticket = calloc(1, sizeof(*ticket));
	if (ticket == NULL)
		return (TM_ENOMEM);
	entry.change = (Feed__Change *)change;
	err = control_propose_entry(control, &entry, &ticket->index);
	if (err != TM_OK) {
		free(ticket);
		return (err);
	}
	ticket->term = raft_get_term(control->raft);
	ticket->deadline_ms = clock_now_ms() + CONTROL_CHANGE_TIMEOUT_MS;
	ticket->done = done;
	ticket->ctx = ctx;
	ticket->next = control->tickets;
	control->tickets = ticket;
	*out = ticket;
	return (TM_OK);
}

void
control_forget(control_ticket_t *ticket)
{
	ticket->done = NULL;
}

static void
control_receive(void *ctx, node_id_t from, uint64_t incarnation, uint16_t type,
    const uint8_t *payload, size_t len)
{
	control_t *control = ctx;

	(void)incarnation;
	control->now_ms = clock_now_ms();
	if (type >= MSG_RAFT_BASE && type < MSG_FEED_BASE) {
		if (control_settings_find_vm(&control->settings, from) != NULL)
			raft_handle(control->raft, from, type, payload, len,
			    control->now_ms);
	} else if (type >= MSG_FEED_BASE && type < MSG_FEED_LIMIT) {
		control_handle_feed(control, from, type, payload, len);
	}
}

static void
control_note_leader(control_t *control)
{
	int is_leader = raft_is_leader(control->raft);

	if (is_leader == control->was_leader)
		return;
	control->was_leader = is_leader;
	if (is_leader) {
		placement_start(control->placement, control->now_ms);
		control->next_tick_ms = control->now_ms;
	}
}

static void
control_compact(control_t *control)
{
	int err;

	if (control->applied_since_compact < CONTROL_COMPACT_ENTRIES)
		return;
	control->applied_since_compact = 0;
	err = raft_compact(control->raft, CONTROL_COMPACT_KEEP);
	if (err != TM_OK)
		LOG_EVENT(235, LOG_LEVEL_ERROR, "compaction failed",
		    LOG_TEXT("error", error_get_text(err)),
		    LOG_TEXT("remedy", error_get_remedy(err)));
}

/* Callers of changes learn at once that the outcome is unknown. */
static void
control_check_storage(control_t *control)
{
	const config_result_t unknown = { .err = TM_ETIMEDOUT };
	int err = raft_get_error(control->raft);
	control_failed_cb failed = control->failed;
	control_ticket_t *ticket;

	/* A newer epoch is not mended by another start. */
	if (err == TM_OK || err == TM_EEPOCH || failed == NULL)
		return;
	control->failed = NULL;
	while ((ticket = control->tickets) != NULL) {
		control->tickets = ticket->next;
		control_finish_ticket(control, ticket, &unknown);
	}
	failed(control->failed_ctx);
}

static void
control_on_timer(uv_timer_t *timer)
{
	control_t *control = timer->data;

	control->now_ms = clock_now_ms();
	raft_tick(control->raft, control->now_ms);
	control_note_leader(control);
	control_run_fleet(control);
	recovery_tick(control->recovery);
	control_expire_tickets(control);
	control_compact(control);
	control_check_storage(control);
	if (control->stopping && raft_is_leader(control->raft))
		(void)raft_transfer_leadership(control->raft, control->now_ms);
}

/* Runs once per loop iteration, after all input was handled: the proposals of
 * one iteration share an fsync. */
static void
control_on_check(uv_check_t *check)
{
	control_t *control = check->data;

	control->now_ms = clock_now_ms();
	(void)raft_flush(control->raft, control->now_ms);
	feed_tick(control->feed, control->now_ms);
}

static void
control_on_change(void *ctx, config_kind_t kind, const char *name)
{
	control_t *control = ctx;
	const config_node_t *const *nodes;
	size_t count;
	size_t i;

	(void)name;
	if (kind != CONFIG_KIND_NODE && kind != CONFIG_KIND_ALL)
		return;
	nodes = config_state_get_nodes(control->state, &count);
	for (i = 0; control->net != NULL && i < count; i++)
		(void)peer_net_set_address(control->net, nodes[i]->id,
		    nodes[i]->peer_ip, nodes[i]->peer_port);
}

static int
control_open_net(control_t *control, uv_loop_t *loop)
{
	const control_settings_t *settings = &control->settings;
	char ip[CONTROL_IP_TEXT_BYTES];
	peer_options_t options = { .loop = loop,
		.node_name = settings->node,
		.incarnation = (uint64_t)clock_wall_ms(),
		.listen_ip = ip,
		.listen_port = ntohs(settings->peer_listen.sin_port),
		.receive = control_receive,
		.ctx = control };
	const control_vm_t *vm;
	int err;
	int i;

	inet_ntop(AF_INET, &settings->peer_listen.sin_addr, ip, sizeof(ip));
	program_list_secrets(
	    settings->secrets, settings->secret_count, options.secrets);
	err = peer_net_create(&control->net, &options);
	for (i = 0; err == TM_OK && i < settings->vm_count; i++) {
		vm = &settings->vms[i];
		if (vm->id != control->self)
			err = peer_net_set_address(
			    control->net, vm->id, vm->peer_ip, vm->peer_port);
	}
	return (err);
}

int
control_set_drop(control_t *control, node_id_t to, int drop)
{
	return (peer_net_set_drop(control->net, to, drop));
}

/* Mechanisms that a proof has switched off. */
static uint32_t
control_get_test_switches(void)
{
	uint32_t switches = 0;

	if (test_hooks_is_off("raft_disk_id"))
		switches |= RAFT_TEST_IGNORE_DISK_ID;
	if (test_hooks_is_off("raft_check_quorum"))
		switches |= RAFT_TEST_NO_CHECK_QUORUM;
	if (test_hooks_is_off("raft_pre_vote"))
		switches |= RAFT_TEST_NO_PRE_VOTE;
	return (switches);
}

static int
control_open_raft(control_t *control)
{
	raft_options_t options = { .self = control->self,
		.send = peer_net_send_cb,
		.send_ctx = control->net,
		.apply = control_apply,
		.take_snapshot = control_take_snapshot,
		.install_snapshot = control_install_snapshot,
		.ctx = control,
		.test_switches = control_get_test_switches() };
	int err;
	int i;

	options.disk_id = store_get_disk_id(control->store);
	options.restore = *store_get_restore(control->store);
	options.storage = store_get_storage(control->store);
	options.voter_count = control->settings.vm_count;
	for (i = 0; i < options.voter_count; i++)
		options.voters[i].node = control->settings.vms[i].id;
	if (RAND_bytes((unsigned char *)&options.seed, sizeof(options.seed)) !=
	    1)
		return (TM_EIO);
	err = raft_create(&control->raft, &options, control->now_ms);
	store_release_restore(control->store);
	return (err);
}

static void
control_log_data_folder(const control_t *control, int err)
{
	LOG_EVENT(234, LOG_LEVEL_ERROR, "cannot use the data folder",
	    LOG_TEXT("data_dir", control->settings.data_dir),
	    LOG_TEXT("error", error_get_text(err)),
	    LOG_TEXT("remedy", error_get_remedy(err)));
}

static int
control_start(control_t *control, uv_loop_t *loop)
{
	store_options_t store = { .path = control->settings.data_dir };
	int err = store_open_wait(&control->store, &store);

	if (err != TM_OK) {
		control_log_data_folder(control, err);
		return (err);
	}
	/* The disk may have been waited for. */
	control->now_ms = clock_now_ms();
	err = control_open_net(control, loop);
	if (err != TM_OK) {
		LOG_EVENT(232, LOG_LEVEL_ERROR, "cannot listen for peers",
		    LOG_TEXT("error", error_get_text(err)));
		return (err);
	}
	control->feed =
	    feed_create(control->state, peer_net_send_cb, control->net);
	if (control->feed == NULL)
		return (TM_ENOMEM);
	config_state_set_watch(control->state, control_on_change, control);
	err = control_open_raft(control);
	if (err != TM_OK) {
		control_log_data_folder(control, err);
		return (err);
	}
	uv_timer_init(loop, &control->timer);
	control->timer.data = control;
	uv_timer_start(&control->timer, control_on_timer, CONTROL_TICK_MS,
	    CONTROL_TICK_MS);
	uv_check_init(loop, &control->check);
	control->check.data = control;
	uv_check_start(&control->check, control_on_check);
	return (TM_OK);
}

int
control_create(
    control_t **out, const control_settings_t *settings, uv_loop_t *loop)
{
	control_t *control = calloc(1, sizeof(*control));
	int err = TM_ENOMEM;

	if (control == NULL)
		return (TM_ENOMEM);
	control->settings = *settings;
	control->self = node_id_from_name(settings->node);
	control->now_ms = clock_now_ms();
	control->state = config_state_create();
	control->placement = placement_create();
	control->recovery = recovery_create(control);
	if (control->state != NULL && control->placement != NULL &&
	    control->recovery != NULL &&
	    control_create_metrics(control) == TM_OK) {
		if (test_hooks_is_off("group_moves"))
			placement_set_test_switches(
			    control->placement, PLACEMENT_TEST_NO_MOVES);
		err = control_start(control, loop);
	}
	if (err == TM_OK) {
		*out = control;
		return (TM_OK);
	}
	control_destroy(control);
	return (err);
}

void
control_destroy(control_t *control)
{
	const config_result_t unknown = { .err = TM_ETIMEDOUT };
	control_ticket_t *ticket;

	while ((ticket = control->tickets) != NULL) {
		control->tickets = ticket->next;
		control_finish_ticket(control, ticket, &unknown);
	}
	recovery_destroy(control->recovery);
	raft_destroy(control->raft);
	store_close(control->store);
	feed_destroy(control->feed);
	placement_destroy(control->placement);
	control_free_beats(control);
	config_state_destroy(control->state);
	if (control->metrics != NULL)
		metrics_destroy(control->metrics);
	free(control);
}

config_state_t *
control_get_state(control_t *control)
{
	return (control->state);
}

void
control_reload(control_t *control, const control_settings_t *fresh)
{
	control_settings_t *settings = &control->settings;
	const char *secrets[PEER_SECRETS_MAX];

	program_list_secrets(fresh->secrets, fresh->secret_count, secrets);
	if (peer_net_set_secrets(control->net, secrets) == TM_OK) {
		memcpy(settings->secrets, fresh->secrets,
		    sizeof(settings->secrets));
		settings->secret_count = fresh->secret_count;
	}
	memcpy(
	    settings->operators, fresh->operators, sizeof(settings->operators));
	settings->operator_count = fresh->operator_count;
	settings->tls = fresh->tls;
}

const control_settings_t *
control_get_settings(const control_t *control)
{
	return (&control->settings);
}

const control_vm_t *
control_get_leader(const control_t *control)
{
	return (control_settings_find_vm(
	    &control->settings, raft_get_leader(control->raft)));
}

/* Entries of earlier terms are known to be accepted only once an entry of the
 * own term is committed. */
int
control_is_ready_leader(const control_t *control)
{
	uint64_t commit = raft_get_commit(control->raft);

	return (raft_has_quorum_contact(control->raft, clock_now_ms()) &&
	    raft_get_applied(control->raft) == commit &&
	    raft_get_entry_term(control->raft, commit) ==
		raft_get_term(control->raft));
}

void
control_set_failure_callback(
    control_t *control, control_failed_cb failed, void *ctx)
{
	control->failed = failed;
	control->failed_ctx = ctx;
}

void
control_begin_stop(control_t *control)
{
	if (control->stopping)
		return;
	control->stopping = 1;
	control->stop_deadline_ms = clock_now_ms() + CONTROL_STOP_MAX_MS;
	LOG_EVENT(231, LOG_LEVEL_INFO, "stop requested",
	    LOG_NUM("is_leader", raft_is_leader(control->raft)));
}

int
control_is_stopped(const control_t *control)
{
	int is_alone = control->settings.vm_count == 1;

	if (!control->stopping)
		return (0);
	if (clock_now_ms() >= control->stop_deadline_ms)
		return (1);
	return (control->tickets == NULL &&
	    (is_alone || !raft_is_leader(control->raft)));
}
