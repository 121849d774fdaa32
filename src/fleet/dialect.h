/**
 * @file
 * HTTP interface of one kind of deployment towards callers, targets and
 * operators: names of headers and calls, and the formats of bodies. A dialect
 * translates these into the types of fleet_config.h and this file; it keeps no
 * state, does no I/O and makes no decisions.
 */
#ifndef TM_FLEET_DIALECT_H
#define TM_FLEET_DIALECT_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_config.h"
#include "fleet/fleet_defs.h"

/** Names of HTTP headers, in lower case. */
typedef struct dialect_headers {
	const char *request_id; /**< of one sending by a caller */
	const char *deadline; /**< time that the caller still waits, in ms */
	const char *key; /**< holds the key of a workspace and nothing else */
	const char
	    *workspace; /**< name of the caller's workspace, to targets */
	const char *expect_target; /**< a target with another id rejects */
	const char *target; /**< id of the target that answers */
	const char *load; /**< "running,waiting,slots" of a target */
	const char *leaving; /**< "1": the target that answers leaves */
	const char *limit; /**< requests per second that a target takes from
			    * all gates together; a decimal number */
	const char *not_run; /**< present: the target did not execute it */
	const char *signature; /**< present on responses that a target made */
	/** Time for which a target stays cold, in ms; NULL: it has none. */
	const char *warmup_left;
} dialect_headers_t;

/** Kind of a call to a hub. */
typedef enum dialect_call {
	DIALECT_CALL_UNKNOWN,
	DIALECT_CALL_ANNOUNCE, /**< a target renews its registration */
	DIALECT_CALL_LEAVE, /**< a target ends its registration */
	DIALECT_CALL_PUT_CONFIG,
	DIALECT_CALL_GET_CONFIG,
	DIALECT_CALL_EVACUATE, /**< sends nothing to a data centre's targets */
	DIALECT_CALL_END_EVACUATION
} dialect_call_t;

/** An announcement of a target. */
typedef struct dialect_announcement {
	char id[FLEET_TARGET_ID_MAX_BYTES + 1];
	uint64_t born_ms; /**< wall clock of its start; 0: not known */
	uint64_t sequence; /**< grows with each call of one incarnation */
	uint32_t ip; /**< network byte order */
	uint16_t port;
	char service[NAME_MAX_BYTES + 1];
	char zone[NAME_MAX_BYTES + 1];
	uint32_t slots; /**< requests that it executes at the same time */
	fleet_target_state_t state;
	uint32_t cold_left_ms; /**< time for which it stays slow */
} dialect_announcement_t;

/** One deployment's names and formats. */
typedef struct dialect {
	dialect_headers_t headers;
	const char *ready_path; /**< polled by the load balancer */

	/**
	 * Recognises a call to a hub.
	 *
	 * @param subject  receives the target's id or the data centre that the
	 *                 path holds, or ""
	 */
	dialect_call_t (*find_call)(const char *method, size_t method_len,
	    const char *path, size_t path_len,
	    char subject[FLEET_TARGET_ID_MAX_BYTES + 1]);

	/**
	 * Translates a word of the platform's settings that says what the
	 * deployment requires.
	 *
	 * @return set of fleet_feature_t; 0 for other words
	 */
	uint32_t (*find_features)(const char *word);

	/**
	 * Reads a configuration. An invalid one is rejected as a whole.
	 *
	 * @param problem  receives what is wrong
	 * @return         0, TM_EFORMAT, TM_EINVAL, TM_EREFERENCE, TM_ENOMEM
	 */
	int (*read_config)(const char *bytes, size_t len, fleet_config_t **out,
	    char problem[FLEET_CONFIG_PROBLEM_BYTES]);

	/**
	 * Reads the body of an announcement; id is set by the caller.
	 *
	 * @return 0, or TM_EFORMAT if it names no usable target
	 */
	int (*read_announcement)(
	    const char *bytes, size_t len, dialect_announcement_t *out);

	/**
	 * Reads the body of a target's last call, which may be empty.
	 *
	 * @param out  receives the start, 0 if there is none, and the service, empty
	 *             if there is none
	 * @return     0, or TM_EFORMAT if the body cannot be read
	 */
	int (*read_leave)(
	    const char *bytes, size_t len, dialect_announcement_t *out);

	/**
	 * Writes the response to an announcement.
	 *
	 * @param address  where the next ones should go; NULL: anywhere
	 * @return         length of the text
	 */
	size_t (*write_announced)(char *out, size_t size, const char *address);
} dialect_t;

/** @return a dialect by its name in the settings, or NULL */
const dialect_t *dialect_find(const char *name);

/** Words for the setting "dialect", ending with NULL. */
extern const char *const dialect_names[];

#endif
