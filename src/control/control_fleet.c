#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "control/control_internal.h"
#include "gossip/feed_msgs.h"
#include "gossip/shard_list.h"

#define CONTROL_REPORT_MS     250
#define CONTROL_PLAN_MS	      100
#define CONTROL_LEAVE_SCAN_MS 10000
#define CONTROL_JOIN_RETRY_MS 1000
#define CONTROL_REPORT_MAX    1024

static control_beat_t *
control_find_beat(const control_t *control, node_id_t id)
{
	control_beat_t *beat = NULL;

	HASH_FIND(hh, control->beats, &id, sizeof(id), beat);
	return (beat);
}

static control_beat_t *
control_get_beat(control_t *control, node_id_t id)
{
	control_beat_t *beat = control_find_beat(control, id);

	if (beat != NULL)
		return (beat);
	beat = calloc(1, sizeof(*beat));
	if (beat == NULL)
		return (NULL);
	beat->id = id;
	beat->join_ms = control->now_ms - CONTROL_JOIN_RETRY_MS;
	HASH_ADD(hh, control->beats, id, sizeof(id), beat);
	return (beat);
}

void
control_free_beats(control_t *control)
{
	control_beat_t *beat;
	control_beat_t *next;

	HASH_ITER(hh, control->beats, beat, next) {
		HASH_DEL(control->beats, beat);
		free(beat->ready_shards);
		free(beat);
	}
}

/* Whether the directory lacks what a heartbeat says. */
static int
control_needs_join(const control_t *control, const config_node_t *node)
{
	const config_node_t *known =
	    config_state_find_node(control->state, node->id);

	if (known == NULL)
		return (1);
	if (node->incarnation < known->incarnation)
		return (0);
	return (node->incarnation > known->incarnation ||
	    node->peer_port != known->peer_port ||
	    node->draining != known->draining ||
	    strcmp(node->peer_ip, known->peer_ip) != 0 ||
	    node->ops_port != known->ops_port ||
	    strcmp(node->ops_ip, known->ops_ip) != 0 ||
	    strcmp(node->data_centre, known->data_centre) != 0);
}

static void
control_join(control_t *control, control_beat_t *beat)
{
	Feed__Entry entry = FEED__ENTRY__INIT;
	Feed__Node node;
	uint64_t index;

	if (!control_needs_join(control, &beat->node) ||
	    control->now_ms - beat->join_ms < CONTROL_JOIN_RETRY_MS)
		return;
	beat->join_ms = control->now_ms;
	config_node_encode(&beat->node, &node);
	entry.join = &node;
	if (control_propose_entry(control, &entry, &index) == TM_OK)
		LOG_EVENT(240, LOG_LEVEL_INFO, "join proposed",
		    LOG_TEXT("node", beat->node.name),
		    LOG_NUM("incarnation", beat->node.incarnation),
		    LOG_NUM("draining", beat->node.draining));
}

/* Keeps the list of a heartbeat; without memory the older one stays. */
static void
control_keep_list(control_beat_t *beat, const ProtobufCBinaryData *list)
{
	uint8_t *kept;

	if (list->len == 0) {
		beat->ready_len = 0;
		return;
	}
	kept = realloc(beat->ready_shards, list->len);
	if (kept == NULL)
		return;
	memcpy(kept, list->data, list->len);
	beat->ready_shards = kept;
	beat->ready_len = list->len;
}

/* Takes a heartbeat that some control VM received at heard_ms. */
static void
control_take_beat(
    control_t *control, const Feed__Subscribe *msg, int64_t heard_ms)
{
	control_beat_t *beat;
	config_node_t node;

	if (msg->node == NULL || config_node_decode(msg->node, &node) != TM_OK)
		return;
	beat = control_get_beat(control, node.id);
	if (beat == NULL || node.incarnation < beat->node.incarnation ||
	    (node.incarnation == beat->node.incarnation &&
		heard_ms < beat->heard_ms))
		return;
	if (node.incarnation > beat->node.incarnation)
		beat->join_ms = control->now_ms - CONTROL_JOIN_RETRY_MS;
	beat->node = node;
	beat->heard_ms = heard_ms;
	beat->reports_ready = msg->reports_ready;
	control_keep_list(beat, &msg->shards);
	beat->is_reported = 0;
	placement_note_heartbeat(control->placement, node.id, node.incarnation,
	    msg->reports_ready, msg->shards.data, msg->shards.len, heard_ms);
	if (raft_is_leader(control->raft))
		control_join(control, beat);
}

static void
control_handle_subscribe(
    control_t *control, node_id_t from, const uint8_t *payload, size_t len)
{
	Feed__Subscribe *msg = feed__subscribe__unpack(NULL, len, payload);
	control_beat_t *beat;

	if (msg == NULL)
		return;
	if (msg->node != NULL && node_id_from_name(msg->node->name) == from) {
		control_take_beat(control, msg, control->now_ms);
		beat = control_find_beat(control, from);
		if (beat != NULL) {
			beat->index = msg->index;
			beat->direct_ms = control->now_ms;
		}
		feed_subscribe(
		    control->feed, from, msg->index, control->now_ms);
	}
	feed__subscribe__free_unpacked(msg, NULL);
}

static void
control_handle_pull(
    control_t *control, node_id_t from, const uint8_t *payload, size_t len)
{
	Feed__Pull *msg = feed__pull__unpack(NULL, len, payload);

	if (msg == NULL)
		return;
	feed_pull(control->feed, from, msg, control->now_ms);
	feed__pull__free_unpacked(msg, NULL);
}

static void
control_handle_heartbeats(
    control_t *control, const uint8_t *payload, size_t len)
{
	Feed__Heartbeats *msg = feed__heartbeats__unpack(NULL, len, payload);
	size_t i;

	if (msg == NULL)
		return;
	for (i = 0; i < msg->n_nodes && i < msg->n_ages_ms; i++)
		control_take_beat(control, msg->nodes[i],
		    control->now_ms - (int64_t)msg->ages_ms[i]);
	feed__heartbeats__free_unpacked(msg, NULL);
}

static void
control_handle_leader_tick(
    control_t *control, node_id_t from, const uint8_t *payload, size_t len)
{
	Feed__LeaderTick *msg = feed__leader_tick__unpack(NULL, len, payload);

	if (msg == NULL)
		return;
	/* A tick of an older term comes from a leader that was replaced. */
	if (msg->tick != NULL && from == raft_get_leader(control->raft) &&
	    msg->tick->term == raft_get_term(control->raft))
		feed_set_tick(control->feed, msg->tick, control->now_ms);
	feed__leader_tick__free_unpacked(msg, NULL);
}

void
control_handle_feed(control_t *control, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len)
{
	int is_control =
	    control_settings_find_vm(&control->settings, from) != NULL;

	switch (type) {
	case MSG_FEED_SUBSCRIBE:
		if (!is_control)
			control_handle_subscribe(control, from, payload, len);
		break;
	case MSG_FEED_PULL:
		control_handle_pull(control, from, payload, len);
		break;
	case MSG_FEED_ENTRIES:
	case MSG_FEED_CHUNK:
		if (!is_control)
			recovery_handle(
			    control->recovery, from, type, payload, len);
		break;
	case MSG_FEED_HEARTBEATS:
		if (is_control)
			control_handle_heartbeats(control, payload, len);
		break;
	case MSG_FEED_LEADER_TICK:
		if (is_control)
			control_handle_leader_tick(control, from, payload, len);
		break;
	default:
		break;
	}
}

static void
control_issue_tick(control_t *control)
{
	Feed__LeaderTick msg = FEED__LEADER_TICK__INIT;
	Feed__Tick tick = FEED__TICK__INIT;
	int i;

	if (control->now_ms < control->next_tick_ms ||
	    !control_is_ready_leader(control))
		return;
	control->next_tick_ms = control->now_ms + FEED_TICK_MS;
	tick.term = raft_get_term(control->raft);
	tick.number = ++control->tick_number;
	tick.index = config_state_get_index(control->state);
	msg.tick = &tick;
	for (i = 0; i < control->settings.vm_count; i++) {
		if (control->settings.vms[i].id != control->self)
			(void)peer_net_send(control->net,
			    control->settings.vms[i].id, MSG_FEED_LEADER_TICK,
			    &msg.base);
	}
	feed_set_tick(control->feed, &tick, control->now_ms);
}

/* One message of a follower to the leader with the heartbeats received since
 * the last one. */
static void
control_report(control_t *control)
{
	static Feed__Subscribe beats[CONTROL_REPORT_MAX];
	static Feed__Subscribe *beat_refs[CONTROL_REPORT_MAX];
	static Feed__Node nodes[CONTROL_REPORT_MAX];
	static uint32_t ages[CONTROL_REPORT_MAX];
	node_id_t leader = raft_get_leader(control->raft);
	Feed__Heartbeats msg = FEED__HEARTBEATS__INIT;
	control_beat_t *beat;
	size_t n = 0;

	if (control->now_ms < control->next_report_ms ||
	    leader == NODE_ID_NONE || leader == control->self)
		return;
	control->next_report_ms = control->now_ms + CONTROL_REPORT_MS;
	for (beat = control->beats; beat != NULL && n < CONTROL_REPORT_MAX;
	     beat = beat->hh.next) {
		if (beat->is_reported)
			continue;
		beat->is_reported = 1;
		feed__subscribe__init(&beats[n]);
		config_node_encode(&beat->node, &nodes[n]);
		beats[n].node = &nodes[n];
		beats[n].reports_ready = beat->reports_ready;
		beats[n].shards.data = beat->ready_shards;
		beats[n].shards.len = beat->ready_len;
		beat_refs[n] = &beats[n];
		ages[n++] = (uint32_t)(control->now_ms - beat->heard_ms);
	}
	if (n == 0)
		return;
	msg.nodes = beat_refs;
	msg.n_nodes = n;
	msg.ages_ms = ages;
	msg.n_ages_ms = n;
	(void)peer_net_send(
	    control->net, leader, MSG_FEED_HEARTBEATS, &msg.base);
}

static void
control_propose_groups(
    control_t *control, const placement_change_t *changes, size_t count)
{
	static Feed__Group groups[CONFIG_SHARDS];
	static Feed__Group *group_refs[CONFIG_SHARDS];
	static Feed__Holder holders[CONFIG_SHARDS][CONFIG_HOLDERS];
	static Feed__Holder *refs[CONFIG_SHARDS][CONFIG_HOLDERS];
	Feed__Entry entry = FEED__ENTRY__INIT;
	uint64_t index;
	size_t i;
	int k;

	for (i = 0; i < count; i++) {
		feed__group__init(&groups[i]);
		groups[i].shard = changes[i].shard;
		groups[i].epoch = changes[i].group.epoch;
		groups[i].quarantine = changes[i].group.quarantine;
		for (k = 0; k < CONFIG_HOLDERS; k++) {
			feed__holder__init(&holders[i][k]);
			holders[i][k].node = changes[i].group.holders[k].node;
			holders[i][k].incarnation =
			    changes[i].group.holders[k].incarnation;
			refs[i][k] = &holders[i][k];
		}
		groups[i].holders = refs[i];
		groups[i].n_holders = CONFIG_HOLDERS;
		group_refs[i] = &groups[i];
		if (groups[i].quarantine)
			LOG_EVENT(243, LOG_LEVEL_WARN,
			    "new shard group with quarantine",
			    LOG_NUM("shard", changes[i].shard),
			    LOG_NUM("epoch", changes[i].group.epoch));
	}
	if (changes[0].is_move)
		LOG_EVENT(245, LOG_LEVEL_INFO, "shard group membership moved",
		    LOG_NUM("shard", changes[0].shard),
		    LOG_NUM("epoch", changes[0].group.epoch));
	entry.groups = group_refs;
	entry.n_groups = count;
	if (control_propose_entry(control, &entry, &index) == TM_OK)
		LOG_EVENT(242, LOG_LEVEL_INFO, "shard groups assigned",
		    LOG_NUM("groups", count), LOG_NUM("index", index));
}

static void
control_plan(control_t *control)
{
	static placement_change_t changes[CONFIG_SHARDS];
	size_t count;

	if (control->now_ms < control->next_plan_ms)
		return;
	control->next_plan_ms = control->now_ms + CONTROL_PLAN_MS;
	count = placement_plan(
	    control->placement, control->state, control->now_ms, changes);
	if (count > 0)
		control_propose_groups(control, changes, count);
	if (count > 0 && changes[0].is_move)
		metric_add(control->group_moves, 1);
}

static void
control_leave(control_t *control, const config_node_t *known)
{
	Feed__Entry entry = FEED__ENTRY__INIT;
	Feed__Node node;
	uint64_t index;

	config_node_encode(known, &node);
	entry.leave = &node;
	if (control_propose_entry(control, &entry, &index) == TM_OK)
		LOG_EVENT(241, LOG_LEVEL_INFO, "leave proposed",
		    LOG_TEXT("node", known->name));
}

/* Removes VMs that were silent for long, but none while this leader hears
 * less than half of the directory: then its own links are the likelier cause. */
static void
control_scan_leaves(control_t *control)
{
	const config_node_t *const *nodes;
	int64_t silence;
	size_t heard = 0;
	size_t count;
	size_t i;

	if (control->now_ms < control->next_leave_ms)
		return;
	control->next_leave_ms = control->now_ms + CONTROL_LEAVE_SCAN_MS;
	nodes = config_state_get_nodes(control->state, &count);
	for (i = 0; i < count; i++)
		heard += placement_get_silence_ms(control->placement,
			     nodes[i]->id, control->now_ms) < PLACEMENT_DEAD_MS;
	for (i = 0; 2 * heard >= count && i < count; i++) {
		silence = placement_get_silence_ms(
		    control->placement, nodes[i]->id, control->now_ms);
		if (silence >= CONTROL_LEAVE_MS ||
		    (nodes[i]->draining && silence >= CONTROL_LEAVE_DRAINED_MS))
			control_leave(control, nodes[i]);
	}
}

void
control_run_fleet(control_t *control)
{
	placement_note_directory(
	    control->placement, control->state, control->now_ms);
	control_issue_tick(control);
	control_report(control);
	if (!control_is_ready_leader(control) || control->stopping)
		return;
	control_plan(control);
	control_scan_leaves(control);
}

static json_t *
control_write_nodes(const control_t *control)
{
	const config_node_t *const *nodes;
	json_t *list = json_array();
	size_t count;
	size_t i;

	nodes = config_state_get_nodes(control->state, &count);
	for (i = 0; i < count; i++)
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:I, s:s, s:i, s:s, s:i, s:b, s:I}",
			"name", nodes[i]->name, "data_centre",
			nodes[i]->data_centre, "incarnation",
			(json_int_t)nodes[i]->incarnation, "peer_ip",
			nodes[i]->peer_ip, "peer_port",
			(int)nodes[i]->peer_port, "ops_ip", nodes[i]->ops_ip,
			"ops_port", (int)nodes[i]->ops_port, "draining",
			nodes[i]->draining, "silence_ms",
			(json_int_t)placement_get_silence_ms(control->placement,
			    nodes[i]->id, control->now_ms)));
	return (list);
}

/* @return 1 if the newest heartbeat of a holder says that it is ready */
static int
control_is_holder_ready(
    const control_t *control, const config_holder_t *holder, uint32_t shard)
{
	const control_beat_t *beat = control_find_beat(control, holder->node);

	return (beat != NULL && beat->node.incarnation == holder->incarnation &&
	    beat->reports_ready &&
	    control->now_ms - beat->heard_ms < PLACEMENT_DEAD_MS &&
	    shard_list_has(beat->ready_shards, beat->ready_len, shard));
}

int
control_count_ready(const control_t *control, uint32_t shard)
{
	const config_group_t *group =
	    config_state_get_group(control->state, shard);
	int ready = 0;
	int i;

	for (i = 0; i < CONFIG_HOLDERS; i++)
		ready +=
		    control_is_holder_ready(control, &group->holders[i], shard);
	return (ready);
}

static json_t *
control_write_vms(const control_t *control)
{
	const control_vm_t *vm;
	json_t *list = json_array();
	char admin[CONTROL_IP_TEXT_BYTES + 8];
	int i;

	for (i = 0; i < control->settings.vm_count; i++) {
		vm = &control->settings.vms[i];
		snprintf(admin, sizeof(admin), "%s:%u", vm->admin_ip,
		    vm->admin_port);
		json_array_append_new(list,
		    json_pack("{s:s, s:s}", "name", vm->name, "admin", admin));
	}
	return (list);
}

static json_t *
control_write_groups(const control_t *control)
{
	json_t *list = json_array();
	const config_group_t *group;
	const config_node_t *node;
	json_t *holders;
	uint32_t shard;
	int i;

	for (shard = 0; shard < CONFIG_SHARDS; shard++) {
		group = config_state_get_group(control->state, shard);
		holders = json_array();
		for (i = 0; i < CONFIG_HOLDERS; i++) {
			node = config_state_find_node(
			    control->state, group->holders[i].node);
			if (node != NULL)
				json_array_append_new(
				    holders, json_string(node->name));
		}
		json_array_append_new(list,
		    json_pack("{s:i, s:I, s:b, s:i, s:o}", "shard", (int)shard,
			"epoch", (json_int_t)group->epoch, "quarantine",
			group->quarantine, "ready",
			control_count_ready(control, shard), "holders",
			holders));
	}
	return (list);
}

json_t *
control_get_status(const control_t *control)
{
	const control_vm_t *leader = control_get_leader(control);

	return (json_pack(
	    "{s:s, s:s, s:s?, s:b, s:I, s:I, s:I, s:b, s:i, s:o, s:o, s:o}",
	    "node", control->settings.node, "role",
	    raft_is_leader(control->raft) ? "leader" : "follower", "leader",
	    leader != NULL ? leader->name : NULL, "ready",
	    control_is_ready_leader(control), "term",
	    (json_int_t)raft_get_term(control->raft), "commit",
	    (json_int_t)raft_get_commit(control->raft), "version",
	    (json_int_t)config_state_get_index(control->state), "voter",
	    raft_is_voter(control->raft), "subscribers",
	    (int)feed_get_subscriber_count(control->feed), "control_vms",
	    control_write_vms(control), "nodes", control_write_nodes(control),
	    "groups", control_write_groups(control)));
}
