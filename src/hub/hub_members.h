/**
 * @file
 * Discovery of the hubs, and membership of the replicated log. Each hub starts
 * with a few seeds and periodically sends hello messages to all hubs it knows.
 * The leader records a hub's address before it adds the hub to the log, and
 * removes log members that stay unresponsive, so that the log survives the next
 * failure. The caller owns the state. Does no I/O but through the send
 * callback, and reads no clock.
 */
#ifndef TM_HUB_HUB_MEMBERS_H
#define TM_HUB_HUB_MEMBERS_H

#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "hub/hub_state.h"
#include "raft/raft.h"

/** Most hubs that a lease names: it goes to each gate twice a second. */
#define HUB_NAMED_MAX 16
/** Most members of the log: two of them may fail at the same time. */
#define HUB_LOG_MEMBERS_MAX 5
/** Unresponsive hubs are removed without a replacement only while the log has
 * more members than this. */
#define HUB_LOG_MEMBERS_MIN 3
/** Interval of hello messages. */
#define HUB_HELLO_MS 500
/** A hub that was heard from within this time is alive. */
#define HUB_ALIVE_MS 1700
/** Time without a hello message from the leader after which it no longer counts as
 * one: two were missed. */
#define HUB_LEADER_EXPIRY_MS (2 * HUB_HELLO_MS + 100)
/** Time without a message after which another hub replaces a log member. */
#define HUB_REPLACE_TIMEOUT_MS 3000
/** Time without a message after which a log member is removed without a
 * replacement. */
#define HUB_REMOVE_TIMEOUT_MS 8000
/** Time without a message after which the address of a hub that is no log
 * member is removed. */
#define HUB_EXPIRY_MS 30000

typedef struct hub_members hub_members_t;

/** Called for each hub that becomes known, so that the message layer learns its
 * address. */
typedef void (*hub_added_cb)(void *ctx, const char *name);
/** Called for each hub that is forgotten, so that its address is dropped. */
typedef void (*hub_dropped_cb)(void *ctx, node_id_t hub);

typedef struct hub_members_options {
	const char *self; /**< name, which is the address of the hub */
	const char *const *seeds; /**< names; copied */
	int seed_count;
	/** Of this hub, if members of the log are to be spread over the data
	 * centres, so that the loss of one leaves a majority; "": they are not. */
	const char *data_centre;
	node_send_cb send;
	void *send_ctx;
	hub_added_cb added;
	hub_dropped_cb dropped;
	void *ctx;
} hub_members_options_t;

/** What the leader should do next. */
typedef enum hub_membership_step {
	HUB_STEP_NONE,
	HUB_STEP_RECORD, /**< propose the address of a hub */
	HUB_STEP_EXPIRE, /**< propose to remove the address of a hub */
	HUB_STEP_ADD, /**< add a member to the log */
	HUB_STEP_REMOVE /**< remove a member from the log */
} hub_membership_step_t;

/** Input of hub_members_plan(). */
typedef struct hub_members_view {
	const hub_state_t *state;
	const raft_member_t *log_members;
	int log_member_count;
	int64_t leading_ms; /**< time for which this hub has led */
} hub_members_view_t;

/** @return NULL if memory is exhausted */
hub_members_t *hub_members_create(const hub_members_options_t *options);

/** Frees everything; NULL is allowed. */
void hub_members_destroy(hub_members_t *members);

/** Adds the hubs that the replicated state names. */
void hub_members_merge(
    hub_members_t *members, const hub_state_t *state, int64_t now_ms);

/** Adds a seed of changed settings. */
void hub_members_add_seed(hub_members_t *members, const char *name);

/** Sends hello messages if they are due. */
void hub_members_tick(hub_members_t *members, int64_t now_ms);

/** Handles MSG_FLEET_HELLO. */
void hub_members_handle(hub_members_t *members, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms);

/** Announces to the other hubs that this one stops. */
void hub_members_set_stopping(hub_members_t *members);

/** Announces to the other hubs that this one begins, or ceases, to serve as the
 * leader. Only hubs with a seat in the log learn it from the log.
 * @param term  0: it does not serve */
void hub_members_set_leading(hub_members_t *members, uint64_t term);

/** @return name of the hub that has announced to lead, or NULL */
const char *hub_members_find_leader(
    const hub_members_t *members, int64_t now_ms);

/**
 * Decides on the next change of membership; one at a time.
 *
 * @param name  receives the name of the hub to change
 */
hub_membership_step_t hub_members_plan(hub_members_t *members,
    const hub_members_view_t *view, int64_t now_ms, const char **name);

/** @return name of a hub, or NULL if it is not known */
const char *hub_members_find_name(const hub_members_t *members, node_id_t id);

/**
 * Lists the known hubs, this one and those heard from lately first.
 *
 * @param names  receives at most FLEET_HUBS_MAX names
 * @return       number of names
 */
int hub_members_list(const hub_members_t *members, const char **names);

/**
 * Lists some of the known hubs: this one, and others in turn, so that a gate that is
 * named some of them each time learns all.
 *
 * @param names  receives at most HUB_NAMED_MAX names
 * @return       number of names
 */
int hub_members_list_some(hub_members_t *members, const char **names);

/**
 * Lists the hubs that are alive and do not stop, this one included.
 *
 * @param names  receives at most FLEET_HUBS_MAX names
 * @return       number of names
 */
int hub_members_list_alive(
    const hub_members_t *members, const char **names, int64_t now_ms);

/** @return 1 if the hub was heard from within HUB_ALIVE_MS, or is this one */
int hub_members_is_alive(
    const hub_members_t *members, node_id_t id, int64_t now_ms);

#endif
