#include <stdio.h>

#include "base/error.h"
#include "control/control_internal.h"

#define US_PER_MS 1000

static metric_t *
create_changes(control_t *control, const char *labels)
{
	return (metrics_get(control->metrics, "tm_control_changes_total",
	    labels, METRIC_COUNTER));
}

int
control_create_metrics(control_t *control)
{
	control->metrics = metrics_create();
	if (control->metrics == NULL)
		return (TM_ENOMEM);
	control->changes_accepted =
	    create_changes(control, "result=\"accepted\"");
	control->changes_refused =
	    create_changes(control, "result=\"refused\"");
	control->changes_unknown =
	    create_changes(control, "result=\"unknown\"");
	control->change_latency = metrics_get(control->metrics,
	    "tm_control_change_latency_us", "", METRIC_HISTOGRAM);
	control->group_moves = metrics_get(control->metrics,
	    "tm_control_group_moves_total", "", METRIC_COUNTER);
	return (TM_OK);
}

void
control_count_change(
    control_t *control, int64_t asked_ms, const config_result_t *result)
{
	metric_record_us(
	    control->change_latency, (control->now_ms - asked_ms) * US_PER_MS);
	if (result->err == TM_OK)
		metric_add(control->changes_accepted, 1);
	else if (result->err == TM_ETIMEDOUT)
		metric_add(control->changes_unknown, 1);
	else
		metric_add(control->changes_refused, 1);
}

static void
set_value(
    control_t *control, const char *name, metric_kind_t kind, int64_t value)
{
	metric_set(metrics_get(control->metrics, name, "", kind), value);
}

static void
update_log(control_t *control)
{
	raft_stats_t stats;

	raft_get_stats(control->raft, &stats);
	set_value(control, "tm_control_leader", METRIC_GAUGE,
	    raft_is_leader(control->raft));
	set_value(control, "tm_control_ready", METRIC_GAUGE,
	    control_is_ready_leader(control));
	set_value(control, "tm_control_voter", METRIC_GAUGE,
	    raft_is_voter(control->raft));
	set_value(control, "tm_raft_term", METRIC_GAUGE,
	    (int64_t)raft_get_term(control->raft));
	set_value(control, "tm_raft_commit", METRIC_GAUGE,
	    (int64_t)raft_get_commit(control->raft));
	set_value(control, "tm_raft_last", METRIC_GAUGE,
	    (int64_t)raft_get_last(control->raft));
	set_value(control, "tm_raft_elections_total", METRIC_COUNTER,
	    (int64_t)stats.elections);
	set_value(control, "tm_raft_step_downs_total", METRIC_COUNTER,
	    (int64_t)stats.step_downs);
	set_value(control, "tm_raft_malformed_total", METRIC_COUNTER,
	    (int64_t)stats.malformed);
	set_value(control, "tm_raft_snapshots_sent_total", METRIC_COUNTER,
	    (int64_t)stats.snapshots_sent);
	set_value(control, "tm_raft_snapshots_installed_total", METRIC_COUNTER,
	    (int64_t)stats.snapshots_installed);
	set_value(control, "tm_store_segments", METRIC_GAUGE,
	    store_get_segment_count(control->store));
}

static void
update_peers(control_t *control)
{
	const peer_stats_t *stats = peer_net_get_stats(control->net);

	set_value(control, "tm_peer_sent_bytes", METRIC_GAUGE,
	    (int64_t)stats->sent_bytes);
	set_value(control, "tm_peer_sent_messages", METRIC_GAUGE,
	    (int64_t)stats->sent_count);
	set_value(control, "tm_peer_received_bytes", METRIC_GAUGE,
	    (int64_t)stats->received_bytes);
	set_value(control, "tm_peer_received_messages", METRIC_GAUGE,
	    (int64_t)stats->received_count);
	set_value(control, "tm_peer_dropped_messages", METRIC_GAUGE,
	    (int64_t)stats->dropped_count);
	set_value(control, "tm_peer_auth_failures_total", METRIC_COUNTER,
	    (int64_t)stats->auth_failures);
}

/* VMs of the directory, and those without a heartbeat for 10 s. */
static void
update_fleet(control_t *control)
{
	const config_node_t *const *nodes;
	int64_t silent = 0;
	size_t count;
	size_t i;

	nodes = config_state_get_nodes(control->state, &count);
	for (i = 0; i < count; i++)
		silent +=
		    placement_get_silence_ms(control->placement, nodes[i]->id,
			control->now_ms) >= PLACEMENT_DEAD_MS;
	set_value(control, "tm_control_config_index", METRIC_GAUGE,
	    (int64_t)config_state_get_index(control->state));
	set_value(control, "tm_control_subscribers", METRIC_GAUGE,
	    (int64_t)feed_get_subscriber_count(control->feed));
	set_value(
	    control, "tm_control_entry_vms", METRIC_GAUGE, (int64_t)count);
	set_value(control, "tm_control_entry_vms_silent", METRIC_GAUGE,
	    control_is_ready_leader(control) ? silent : 0);
}

static int
control_count_seats(const control_t *control, uint32_t shard)
{
	const config_group_t *group =
	    config_state_get_group(control->state, shard);
	int seats = 0;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++)
		seats += group->holders[i].node != NODE_ID_NONE;
	return (seats);
}

/* Shards without the given number of ready holders, as the leader knows. */
static void
update_groups(control_t *control)
{
	int64_t below_all = 0;
	int64_t below_majority = 0;
	uint32_t shard;
	int ready;
	int seats;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		ready = control_count_ready(control, shard);
		seats = control_count_seats(control, shard);
		below_all += ready < seats;
		below_majority += seats > 0 && ready <= seats / 2;
	}
	if (!control_is_ready_leader(control))
		below_all = below_majority = 0;
	set_value(
	    control, "tm_control_groups_not_full", METRIC_GAUGE, below_all);
	set_value(control, "tm_control_groups_no_majority", METRIC_GAUGE,
	    below_majority);
}

char *
control_format_metrics(control_t *control, size_t *len)
{
	update_log(control);
	update_peers(control);
	update_fleet(control);
	update_groups(control);
	return (metrics_format(control->metrics, len));
}
