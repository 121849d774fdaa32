#include "control/recovery.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/error.h"
#include "base/test_hooks.h"
#include "control/control_internal.h"
#include "gossip/feed_msgs.h"
#include "gossip/gossip.h"

#define RECOVERY_PULL_MS 500
/* Entry VMs report their version once a second to one control VM. An older
 * report may come from before the last accepted change. */
#define RECOVERY_REPORT_MS 3000
/* Time for all entry VMs to find this control VM: each tries every one for 2 s,
 * and connections are retried after at most 5 s. */
#define RECOVERY_ENTRY_WAIT_MS 60000

struct recovery {
	control_t *control;
	/* Both NULL while no recovery is allowed. */
	config_state_t *copy;
	gossip_t *collector;
	int64_t next_pull_ms;
};

recovery_t *
recovery_create(control_t *control)
{
	recovery_t *recovery = calloc(1, sizeof(*recovery));

	if (recovery != NULL)
		recovery->control = control;
	return (recovery);
}

static void
recovery_stop(recovery_t *recovery)
{
	gossip_destroy(recovery->collector);
	config_state_destroy(recovery->copy);
	recovery->collector = NULL;
	recovery->copy = NULL;
}

void
recovery_destroy(recovery_t *recovery)
{
	if (recovery == NULL)
		return;
	recovery_stop(recovery);
	free(recovery);
}

/* @return 0, also if the source is empty */
static int
recovery_copy_state(const config_state_t *from, config_state_t *to)
{
	size_t len;
	uint8_t *bytes = config_snapshot_encode(from, &len);
	int err = bytes != NULL ? TM_OK : TM_ENOMEM;

	if (err == TM_OK && config_state_get_index(from) > 0)
		err = config_snapshot_install(to, bytes, len);
	free(bytes);
	return (err);
}

/*
 * The collector is the module that entry VMs use to read the configuration of
 * each other, on a copy of the state. It never runs its timers, so it sends
 * nothing but what it is asked for here.
 */
static int
recovery_start(recovery_t *recovery)
{
	control_t *control = recovery->control;
	gossip_options_t options = {
		.send = peer_net_send_cb,
		.send_ctx = control->net,
	};
	int err = TM_ENOMEM;

	recovery->copy = config_state_create();
	options.state = recovery->copy;
	snprintf(options.self.name, sizeof(options.self.name), "%s",
	    control->settings.node);
	if (recovery->copy != NULL)
		err = recovery_copy_state(control->state, recovery->copy);
	if (err == TM_OK)
		err = gossip_create(
		    &recovery->collector, &options, control->now_ms);
	if (err != TM_OK)
		recovery_stop(recovery);
	return (err);
}

/* The entry VM with the newest configuration among those heard lately. */
static const control_beat_t *
recovery_find_newest(const control_t *control, uint32_t *heard)
{
	const control_beat_t *newest = NULL;
	const control_beat_t *beat;

	*heard = 0;
	for (beat = control->beats; beat != NULL; beat = beat->hh.next) {
		if (beat->direct_ms == 0 ||
		    control->now_ms - beat->direct_ms >= RECOVERY_REPORT_MS)
			continue;
		(*heard)++;
		if (newest == NULL || beat->index > newest->index)
			newest = beat;
	}
	return (newest);
}

static void
recovery_pull(recovery_t *recovery)
{
	control_t *control = recovery->control;
	Feed__Pull msg = FEED__PULL__INIT;
	const control_beat_t *newest;
	uint32_t heard;

	if (test_hooks_is_off("recovery_collect"))
		return;
	recovery->next_pull_ms = control->now_ms + RECOVERY_PULL_MS;
	newest = recovery_find_newest(control, &heard);
	msg.index = config_state_get_index(recovery->copy);
	if (newest == NULL || newest->index <= msg.index)
		return;
	(void)peer_net_send(control->net, newest->id, MSG_FEED_PULL, &msg.base);
}

void
recovery_tick(recovery_t *recovery)
{
	control_t *control = recovery->control;
	raft_recovery_t plan;

	if (raft_plan_recovery(control->raft, &plan, control->now_ms) !=
	    TM_OK) {
		recovery_stop(recovery);
		return;
	}
	if (recovery->collector == NULL && recovery_start(recovery) != TM_OK)
		return;
	if (control->now_ms >= recovery->next_pull_ms)
		recovery_pull(recovery);
}

void
recovery_handle(recovery_t *recovery, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len)
{
	if (recovery->collector != NULL)
		gossip_handle(recovery->collector, from, type, payload, len,
		    recovery->control->now_ms);
}

/* Applies the entries of this disk up to the version of the copy. */
static void
recovery_replay(const control_t *control, config_state_t *state, uint64_t to)
{
	uint64_t index = config_state_get_index(state) + 1;
	const raft_entry_t *entry;

	for (; index <= to; index++) {
		entry = raft_get_entry(control->raft, index);
		if (entry != NULL && entry->kind == RAFT_KIND_DATA)
			(void)config_state_apply(
			    state, index, entry->data, entry->len, NULL);
	}
}

/* Equal states have equal bytes, see config_state.h. */
static int
recovery_is_equal(const config_state_t *a, const config_state_t *b)
{
	size_t a_len = 0;
	size_t b_len = 0;
	uint8_t *a_bytes = config_snapshot_encode(a, &a_len);
	uint8_t *b_bytes = config_snapshot_encode(b, &b_len);
	int equal = a_bytes != NULL && b_bytes != NULL && a_len == b_len &&
	    memcmp(a_bytes, b_bytes, a_len) == 0;

	free(a_bytes);
	free(b_bytes);
	return (equal);
}

/*
 * Entries of this disk after its commit index may belong to a leader that was
 * replaced. They are kept if no entry VM has a newer configuration, or if they
 * lead to exactly the newest one.
 */
static int
recovery_keeps_log(const recovery_t *recovery)
{
	const control_t *control = recovery->control;
	uint64_t newest = config_state_get_index(recovery->copy);
	config_state_t *state;
	int equal = 0;

	if (newest <= config_state_get_index(control->state))
		return (1);
	if (newest > raft_get_last(control->raft))
		return (0);
	state = config_state_create();
	if (state != NULL &&
	    recovery_copy_state(control->state, state) == TM_OK) {
		recovery_replay(control, state, newest);
		equal = recovery_is_equal(state, recovery->copy);
	}
	config_state_destroy(state);
	return (equal);
}

static void
recovery_confirm(const control_t *control, recovery_plan_t *plan)
{
	const uint64_t parts[] = { store_get_disk_id(control->store),
		plan->raft.last_index, plan->raft.last_term, plan->raft.commit,
		plan->raft.epoch, plan->newest, plan->base, plan->may_be_lost,
		(uint64_t)plan->keeps_log, plan->entry_vms_heard };

	snprintf(plan->confirm, sizeof(plan->confirm), "%016llx",
	    (unsigned long long)XXH64(parts, sizeof(parts), 0));
}

static uint64_t
recovery_max(uint64_t a, uint64_t b)
{
	return (a > b ? a : b);
}

void
recovery_plan(recovery_t *recovery, recovery_plan_t *plan)
{
	control_t *control = recovery->control;
	const control_beat_t *newest;

	memset(plan, 0, sizeof(*plan));
	recovery_tick(recovery);
	plan->err =
	    raft_plan_recovery(control->raft, &plan->raft, control->now_ms);
	plan->version = config_state_get_index(control->state);
	plan->entry_vms =
	    (uint32_t)config_state_count(control->state, CONFIG_KIND_NODE);
	newest = recovery_find_newest(control, &plan->entry_vms_heard);
	plan->newest = newest != NULL ? newest->index : 0;
	if (plan->err != TM_OK || recovery->copy == NULL)
		return;
	plan->collected = config_state_get_index(recovery->copy);
	if (test_hooks_is_off("recovery_collect"))
		plan->newest = plan->collected;
	plan->keeps_log = recovery_keeps_log(recovery);
	plan->base = plan->keeps_log
	    ? recovery_max(plan->raft.last_index, plan->collected)
	    : plan->collected;
	plan->accepted =
	    recovery_max(feed_get_tick_index(control->feed), plan->raft.commit);
	plan->accepted = recovery_max(plan->accepted, plan->newest);
	if (recovery_max(plan->accepted, plan->raft.last_index) > plan->base)
		plan->may_be_lost =
		    recovery_max(plan->accepted, plan->raft.last_index) -
		    plan->base;
	recovery_confirm(control, plan);
	if (plan->newest > plan->collected ||
	    (plan->entry_vms_heard < plan->entry_vms &&
		plan->raft.leader_silence_ms < RECOVERY_ENTRY_WAIT_MS))
		plan->err = TM_EUNAVAIL;
}

static void
recovery_begin_epoch(void *ctx, uint64_t epoch, uint64_t index)
{
	control_t *control = ctx;

	config_state_begin_epoch(control->state, epoch, index);
	feed_reset(control->feed);
}

int
recovery_run(recovery_t *recovery, const char *confirm)
{
	control_t *control = recovery->control;
	recovery_plan_t plan;
	int err;

	recovery_plan(recovery, &plan);
	if (plan.err != TM_OK)
		return (plan.err);
	if (strcmp(confirm, plan.confirm) != 0)
		return (TM_EVERSION);
	err = plan.keeps_log
	    ? TM_OK
	    : recovery_copy_state(recovery->copy, control->state);
	if (err == TM_OK)
		err = raft_recover(control->raft, plan.keeps_log,
		    recovery_begin_epoch, control->now_ms);
	recovery_stop(recovery);
	return (err);
}
