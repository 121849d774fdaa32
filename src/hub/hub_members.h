/**
 * @file
 * How the hubs find each other, and which of them hold a seat of the
 * replicated log. A hub is told a few seeds; each hub greets all hubs that it
 * knows of. The leader records a hub's address before it gives it a seat, and
 * takes the seat of a hub that stays silent, so that the next loss is borne. A
 * decision module.
 */
#ifndef TM_HUB_HUB_MEMBERS_H
#define TM_HUB_HUB_MEMBERS_H

#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "hub/hub_state.h"
#include "raft/raft.h"

/** Seats of the log: two hubs may be lost at the same time. */
#define HUB_LOG_MEMBERS_MAX 5
/** Fewest seats that silent hubs leave. */
#define HUB_LOG_MEMBERS_MIN 3
/** Interval of greetings. */
#define HUB_HELLO_MS 500
/** A hub that was heard within this time is well. */
#define HUB_ALIVE_MS 1700
/** Silence after which a hub loses its seat to another one. */
#define HUB_REPLACE_TIMEOUT_MS 3000
/** Silence after which a hub loses its seat although none takes it. */
#define HUB_REMOVE_TIMEOUT_MS 8000
/** Silence after which a hub without a seat is forgotten. */
#define HUB_EXPIRY_MS 30000

typedef struct hub_members hub_members_t;

/** A hub became known, or changed nothing; tells the message layer. */
typedef void (*hub_added_cb)(void *ctx, const char *name);

typedef struct hub_members_options {
	const char *self; /**< name, which is the address of the hub */
	const char *const *seeds; /**< names; copied */
	int seed_count;
	node_send_cb send;
	void *send_ctx;
	hub_added_cb added;
	void *ctx;
} hub_members_options_t;

/** What the leader should do next. */
typedef enum hub_membership_step {
	HUB_STEP_NONE,
	HUB_STEP_RECORD, /**< propose the address of a hub */
	HUB_STEP_EXPIRE, /**< propose that a hub is gone */
	HUB_STEP_ADD, /**< add a seat */
	HUB_STEP_REMOVE /**< remove a seat */
} hub_membership_step_t;

/** What the leader knows when it asks. */
typedef struct hub_members_view {
	const hub_state_t *state;
	const raft_voter_t *log_members;
	int log_member_count;
	int64_t leading_ms; /**< time for which this hub has led */
} hub_members_view_t;

/** @return NULL if memory is exhausted */
hub_members_t *hub_members_create(const hub_members_options_t *options);

/** Frees everything; NULL is allowed. */
void hub_members_destroy(hub_members_t *members);

/** Takes over the hubs that the replicated state names. */
void hub_members_merge(hub_members_t *members, const hub_state_t *state);

/** Takes over seeds of changed settings. */
void hub_members_add_seed(hub_members_t *members, const char *name);

/** Sends greetings that are due. */
void hub_members_tick(hub_members_t *members, int64_t now_ms);

/** Handles MSG_FLEET_HELLO. */
void hub_members_handle(hub_members_t *members, node_id_t from,
    const uint8_t *payload, size_t len, int64_t now_ms);

/** Tells others that this hub stops. */
void hub_members_set_stopping(hub_members_t *members);

/**
 * Decides on the next step of a leader; one at a time.
 *
 * @param name  receives the hub that it is about
 */
hub_membership_step_t hub_members_plan(hub_members_t *members,
    const hub_members_view_t *view, int64_t now_ms, const char **name);

/** @return name of a hub, or NULL if it is not known */
const char *hub_members_find_name(const hub_members_t *members, node_id_t id);

/**
 * Lists the known hubs, this one included.
 *
 * @param names  room for FLEET_HUBS_MAX
 * @return       their number
 */
int hub_members_list(const hub_members_t *members, const char **names);

/** @return 1 if the hub was heard lately, or is this one */
int hub_members_is_alive(
    const hub_members_t *members, node_id_t id, int64_t now_ms);

#endif
