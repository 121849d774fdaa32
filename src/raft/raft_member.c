#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "raft/raft_internal.h"

/** Hello messages older than this are ignored when a new log is started. */
#define RAFT_HELLO_VALID_MS 1000
/** Term of the first configuration, which precedes all elections. */
#define RAFT_BOOTSTRAP_TERM 1

int
raft_quorum_size(const raft_t *raft)
{
	int voters = 0;
	int i;

	for (i = 0; i < raft->config.count; i++) {
		if (raft->config.voters[i].disk_id != RAFT_DISK_NONE)
			voters++;
	}
	return (voters / 2 + 1);
}

static raft_member_t *
raft_find_member(raft_config_t *config, node_id_t node)
{
	int i;

	for (i = 0; i < config->count; i++) {
		if (config->voters[i].node == node)
			return (&config->voters[i]);
	}
	return (NULL);
}

int
raft_is_voting(const raft_t *raft, node_id_t node, uint64_t disk_id)
{
	const raft_member_t *member =
	    raft_find_member((raft_config_t *)&raft->config, node);

	if (member == NULL || member->disk_id == RAFT_DISK_NONE)
		return (0);
	if (raft->options.test_switches & RAFT_TEST_IGNORE_DISK_ID)
		return (1);
	return (member->disk_id == disk_id);
}

int
raft_is_voter(const raft_t *raft)
{
	return (raft->error == TM_OK &&
	    raft_is_voting(raft, raft->options.self, raft->options.disk_id));
}

raft_peer_t *
raft_find_peer(raft_t *raft, node_id_t node)
{
	int i;

	for (i = 0; i < raft->peer_count; i++) {
		if (raft->peers[i].node == node)
			return (&raft->peers[i]);
	}
	return (NULL);
}

static void
raft_rebuild_peers(raft_t *raft, const raft_member_t *voters, int count)
{
	raft_peer_t peers[RAFT_MEMBERS_MAX];
	const raft_peer_t *old;
	int peer_count = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (voters[i].node == raft->options.self)
			continue;
		old = raft_find_peer(raft, voters[i].node);
		if (old != NULL)
			peers[peer_count++] = *old;
		else
			peers[peer_count++] = (raft_peer_t){
				.node = voters[i].node,
				.next = raft_log_get_last(&raft->log) + 1,
				.probing = 1,
			};
	}
	memcpy(raft->peers, peers, sizeof(peers[0]) * (size_t)peer_count);
	raft->peer_count = peer_count;
}

static void
raft_report_learner(raft_t *raft)
{
	char id[17];

	if (raft_is_voter(raft)) {
		raft->learner_reported = 0;
		return;
	}
	if (raft->learner_reported || raft->config.count == 0)
		return;
	raft->learner_reported = 1;
	LOG_EVENT(205, LOG_LEVEL_WARN,
	    "this disk holds no vote; the node is a learner",
	    LOG_TEXT("disk_id", raft_format_id(raft->options.disk_id, id)));
}

void
raft_reload_config(raft_t *raft)
{
	const raft_entry_t *entry;
	raft_config_t config = raft->base_config;
	uint64_t index = raft_log_get_last(&raft->log);

	for (; (entry = raft_log_get(&raft->log, index)) != NULL; index--) {
		if (entry->kind != RAFT_KIND_CONFIG)
			continue;
		if (raft_decode_config(entry->data, entry->len, &config) != 0)
			continue;
		config.index = index;
		break;
	}
	raft->config = config;
	raft_rebuild_peers(raft, config.voters, config.count);
	raft_report_learner(raft);
}

int
raft_decode_members(
    size_t count, Tm__Raft__Seat *const *seats, raft_config_t *config)
{
	size_t i;

	if (count == 0 || count > RAFT_MEMBERS_MAX)
		return (TM_EFORMAT);
	memset(config, 0, sizeof(*config));
	for (i = 0; i < count; i++) {
		if (seats[i]->node == NODE_ID_NONE ||
		    raft_find_member(config, seats[i]->node) != NULL)
			return (TM_EFORMAT);
		config->voters[config->count++] = (raft_member_t){
			.node = seats[i]->node,
			.disk_id = seats[i]->disk_id,
		};
	}
	return (TM_OK);
}

int
raft_decode_config(const uint8_t *data, size_t len, raft_config_t *config)
{
	Tm__Raft__Config *message = tm__raft__config__unpack(NULL, len, data);
	int err;

	if (message == NULL)
		return (TM_EFORMAT);
	err = raft_decode_members(message->n_seats, message->seats, config);
	tm__raft__config__free_unpacked(message, NULL);
	return (err);
}

void
raft_encode_members(const raft_member_t *voters, int count,
    Tm__Raft__Seat *seats, Tm__Raft__Seat **pointers)
{
	int i;

	for (i = 0; i < count; i++) {
		tm__raft__seat__init(&seats[i]);
		seats[i].node = voters[i].node;
		seats[i].disk_id = voters[i].disk_id;
		pointers[i] = &seats[i];
	}
}

int
raft_append_config(raft_t *raft, const raft_config_t *config)
{
	Tm__Raft__Config message = TM__RAFT__CONFIG__INIT;
	Tm__Raft__Seat seats[RAFT_MEMBERS_MAX];
	Tm__Raft__Seat *pointers[RAFT_MEMBERS_MAX];
	uint8_t bytes[RAFT_MEMBERS_MAX * 32];
	size_t len;
	int err;

	raft_encode_members(config->voters, config->count, seats, pointers);
	message.n_seats = (size_t)config->count;
	message.seats = pointers;
	len = tm__raft__config__pack(&message, bytes);
	err = raft_append_local(raft, RAFT_KIND_CONFIG, bytes, len);
	if (err == TM_OK)
		raft_reload_config(raft);
	return (err);
}

/*
 * A change of members is allowed once the previous change and an entry of the
 * leader's own term are committed. Otherwise two leaders could use
 * configurations whose majorities do not overlap.
 */
static int
raft_can_change_members(const raft_t *raft)
{
	return (raft->config.index <= raft->commit &&
	    raft_log_get_term(&raft->log, raft->commit) == raft->term);
}

static int
raft_change_members(raft_t *raft, const raft_config_t *config)
{
	if (raft->role != RAFT_LEADER)
		return (TM_ENOTLEADER);
	if (raft->error != TM_OK)
		return (TM_EIO);
	if (!raft_can_change_members(raft) || raft->transfer_until_ms != 0)
		return (TM_EUNAVAIL);
	return (raft_append_config(raft, config));
}

int
raft_add_node(raft_t *raft, node_id_t node)
{
	raft_config_t config = raft->config;

	if (node == NODE_ID_NONE)
		return (TM_EINVAL);
	if (raft_find_member(&config, node) != NULL)
		return (TM_EEXIST);
	if (config.count == RAFT_MEMBERS_MAX)
		return (TM_EFULL);
	config.voters[config.count++] = (raft_member_t){ .node = node };
	return (raft_change_members(raft, &config));
}

int
raft_remove_node(raft_t *raft, node_id_t node)
{
	raft_config_t config = raft->config;
	raft_member_t *member = raft_find_member(&config, node);

	if (raft->role != RAFT_LEADER)
		return (TM_ENOTLEADER);
	if (member == NULL)
		return (TM_ENOENT);
	if (node == raft->options.self)
		return (TM_EINVAL);
	*member = config.voters[--config.count];
	return (raft_change_members(raft, &config));
}

/*
 * A member has caught up if, within one election timeout, it received all
 * entries that were committed when that round began. It need not have the
 * newest entry, which it never would under load.
 */
static int
raft_has_caught_up(const raft_t *raft, raft_peer_t *peer)
{
	int in_time;

	if (peer->catch_up_target != 0 && peer->match < peer->catch_up_target)
		return (0);
	in_time = peer->catch_up_target != 0 &&
	    raft->now_ms - peer->catch_up_start_ms <= raft->options.election_ms;
	peer->catch_up_target = raft->commit;
	peer->catch_up_start_ms = raft->now_ms;
	return (in_time);
}

/*
 * Replaces the disk of a member in two changes: the first removes the vote of
 * the old disk, the second gives a vote to the new one. With a single change, a
 * majority with the old disk and one with the new disk need not share a member,
 * and a vote that the old disk sent before it was lost could still be
 * delivered. Returns 1 if a change was appended.
 */
static int
raft_replace_member_disk(raft_t *raft, raft_member_t *member, raft_peer_t *peer)
{
	raft_config_t config = raft->config;
	char id[17];

	if (peer->disk_id == RAFT_DISK_NONE ||
	    member->disk_id == peer->disk_id || !raft_has_caught_up(raft, peer))
		return (0);
	if (member->disk_id != RAFT_DISK_NONE) {
		LOG_EVENT(206, LOG_LEVEL_INFO,
		    "the vote of a replaced disk is removed",
		    LOG_TEXT("member", raft_format_id(member->node, id)));
		raft_find_member(&config, member->node)->disk_id =
		    RAFT_DISK_NONE;
	} else {
		LOG_EVENT(207, LOG_LEVEL_INFO,
		    "a member has caught up and is now a voter",
		    LOG_TEXT("member", raft_format_id(member->node, id)));
		raft_find_member(&config, member->node)->disk_id =
		    peer->disk_id;
	}
	return (raft_append_config(raft, &config) == TM_OK);
}

void
raft_update_members(raft_t *raft)
{
	raft_peer_t *peer;
	int i;

	if (!raft_can_change_members(raft) || raft->transfer_until_ms != 0)
		return;
	if (raft->options.test_switches & RAFT_TEST_IGNORE_DISK_ID)
		return;
	for (i = 0; i < raft->config.count; i++) {
		peer = raft_find_peer(raft, raft->config.voters[i].node);
		if (peer != NULL &&
		    raft_replace_member_disk(
			raft, &raft->config.voters[i], peer))
			return;
	}
}

static int
raft_is_uninitialized(const raft_t *raft)
{
	/* A crash during the bootstrap leaves the term without the entry. */
	return (raft->term <= RAFT_BOOTSTRAP_TERM &&
	    raft->vote == NODE_ID_NONE && raft->config.count == 0 &&
	    raft_log_get_last(&raft->log) == 0);
}

static int
raft_init_log(raft_t *raft, const raft_config_t *config)
{
	int err = raft_save_vote(raft, RAFT_BOOTSTRAP_TERM, NODE_ID_NONE);

	if (err == TM_OK)
		err = raft_append_config(raft, config);
	if (err == TM_OK)
		err = raft_persist(raft);
	if (err == TM_OK)
		LOG_EVENT(212, LOG_LEVEL_INFO, "the log is bootstrapped",
		    LOG_NUM("members", config->count));
	return (err);
}

int
raft_bootstrap_from_options(raft_t *raft)
{
	raft_config_t config = { .count = raft->options.voter_count };
	raft_member_t *own;
	int i;

	if (!raft_is_uninitialized(raft))
		return (TM_OK);
	memcpy(config.voters, raft->options.voters, sizeof(config.voters));
	raft_rebuild_peers(raft, config.voters, config.count);
	for (i = 0; i < config.count; i++) {
		if (config.voters[i].disk_id == RAFT_DISK_NONE)
			return (TM_OK);
	}
	own = raft_find_member(&config, raft->options.self);
	if (own == NULL)
		return (TM_OK);
	if (own->disk_id != raft->options.disk_id &&
	    !(raft->options.test_switches & RAFT_TEST_IGNORE_DISK_ID))
		return (TM_OK);
	return (raft_init_log(raft, &config));
}

/* Only the member with the lowest node id bootstraps the log. */
static int
raft_is_bootstrap_node(const raft_t *raft)
{
	int listed = 0;
	int i;

	for (i = 0; i < raft->options.voter_count; i++) {
		if (raft->options.voters[i].node < raft->options.self)
			return (0);
		if (raft->options.voters[i].node == raft->options.self)
			listed = 1;
	}
	return (listed);
}

static void
raft_try_bootstrap(raft_t *raft)
{
	raft_config_t config = { .count = raft->options.voter_count };
	const raft_peer_t *peer;
	int i;

	for (i = 0; i < config.count; i++) {
		config.voters[i].node = raft->options.voters[i].node;
		config.voters[i].disk_id = raft->options.disk_id;
		if (config.voters[i].node == raft->options.self)
			continue;
		peer = raft_find_peer(raft, config.voters[i].node);
		if (peer == NULL || !peer->hello_uninitialized ||
		    raft->now_ms - peer->hello_ms > RAFT_HELLO_VALID_MS)
			return;
		config.voters[i].disk_id = peer->disk_id;
	}
	raft_init_log(raft, &config);
}

void
raft_tick_bootstrap(raft_t *raft)
{
	Tm__Raft__Hello hello = TM__RAFT__HELLO__INIT;
	int i;

	if (raft->config.count != 0 || raft->now_ms < raft->hello_due_ms)
		return;
	raft->hello_due_ms = raft->now_ms + RAFT_HELLO_INTERVAL_MS;
	hello.disk_id = raft->options.disk_id;
	hello.is_fresh = raft_is_uninitialized(raft);
	for (i = 0; i < raft->peer_count; i++)
		raft_send(
		    raft, raft->peers[i].node, MSG_RAFT_HELLO, &hello.base);
	if (raft_is_uninitialized(raft) && raft_is_bootstrap_node(raft))
		raft_try_bootstrap(raft);
}

/* Sends the first configuration to a member if it lists that member's disk. */
static void
raft_send_form(raft_t *raft, node_id_t to, uint64_t disk_id)
{
	Tm__Raft__Form form = TM__RAFT__FORM__INIT;
	Tm__Raft__Seat seats[RAFT_MEMBERS_MAX];
	Tm__Raft__Seat *pointers[RAFT_MEMBERS_MAX];
	const raft_entry_t *first = raft_log_get(&raft->log, 1);
	const raft_member_t *member;
	raft_config_t config;

	if (first == NULL || first->kind != RAFT_KIND_CONFIG ||
	    raft_decode_config(first->data, first->len, &config) != TM_OK)
		return;
	member = raft_find_member(&config, to);
	if (member == NULL || member->disk_id != disk_id)
		return;
	raft_encode_members(config.voters, config.count, seats, pointers);
	form.disk_id = raft->options.disk_id;
	form.n_seats = (size_t)config.count;
	form.seats = pointers;
	raft_send(raft, to, MSG_RAFT_FORM, &form.base);
}

int
raft_handle_hello(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__Hello *hello = tm__raft__hello__unpack(NULL, len, payload);
	raft_peer_t *peer = raft_find_peer(raft, from);
	int fresh;
	uint64_t disk_id;

	if (hello == NULL)
		return (TM_EFORMAT);
	disk_id = hello->disk_id;
	fresh = hello->is_fresh;
	tm__raft__hello__free_unpacked(hello, NULL);
	if (disk_id == RAFT_DISK_NONE)
		return (TM_EFORMAT);
	if (raft->config.count != 0) {
		if (fresh && raft_is_bootstrap_node(raft))
			raft_send_form(raft, from, disk_id);
		return (TM_OK);
	}
	if (peer != NULL) {
		peer->disk_id = disk_id;
		peer->hello_uninitialized = fresh;
		peer->hello_ms = raft->now_ms;
	}
	return (TM_OK);
}

int
raft_handle_form(
    raft_t *raft, node_id_t from, const uint8_t *payload, size_t len)
{
	Tm__Raft__Form *form = tm__raft__form__unpack(NULL, len, payload);
	const raft_member_t *own;
	raft_config_t config;
	int err;

	if (form == NULL)
		return (TM_EFORMAT);
	err = raft_decode_members(form->n_seats, form->seats, &config);
	tm__raft__form__free_unpacked(form, NULL);
	if (err != TM_OK)
		return (err);
	own = raft_find_member(&config, raft->options.self);
	if (!raft_is_uninitialized(raft) || own == NULL ||
	    own->disk_id != raft->options.disk_id)
		return (TM_OK);
	if (raft_find_member(&config, from) == NULL)
		return (TM_EFORMAT);
	raft_init_log(raft, &config);
	return (TM_OK);
}
