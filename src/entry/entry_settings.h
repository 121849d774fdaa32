/**
 * @file
 * Settings of tm-entry. Nothing in them but the bound of its memory tunes how a
 * single VM treats requests; that is stated in the profiles.
 */
#ifndef TM_ENTRY_ENTRY_SETTINGS_H
#define TM_ENTRY_ENTRY_SETTINGS_H

#include <netinet/in.h>
#include <stdio.h>

#include "base/log.h"
#include "base/node_defs.h"
#include "http/http_tls.h"
#include "net/peer.h"
#include "settings/program_settings.h"

#define ENTRY_CONTROLS_MAX	7
#define ENTRY_NOTICE_DEFAULT_MS 2000

/** A control VM. */
typedef struct entry_control {
	node_id_t id;
	char name[NAME_MAX_BYTES + 1];
	struct sockaddr_in peer;
} entry_control_t;

/** How decisions are made. */
typedef enum entry_mode {
	ENTRY_MODE_FLEET,
	ENTRY_MODE_BASELINE /**< for comparison in measurements only */
} entry_mode_t;

typedef struct entry_settings {
	char node[NAME_MAX_BYTES + 1];
	char data_centre[NAME_MAX_BYTES + 1];
	struct sockaddr_in listen;
	struct sockaddr_in ops_listen;
	struct sockaddr_in peer_listen;
	entry_control_t controls[ENTRY_CONTROLS_MAX];
	int control_count;
	program_secret_t secrets[PEER_SECRETS_MAX];
	int secret_count;
	http_tls_files_t tls; /**< of listen */
	program_secret_t target_secrets[PEER_SECRETS_MAX];
	int target_secret_count;
	size_t request_limit_bytes; /**< of all large requests together */
	log_level_t log_level;
	entry_mode_t mode;
	/** Time between a failing readiness check and closed listeners. */
	int64_t drain_notice_ms;
} entry_settings_t;

/** Example for --print-default. */
extern const char entry_default_settings[];

/**
 * Reads and checks a file.
 *
 * @param errors  receives all errors, one per line
 * @return        0, TM_EINVAL or TM_ENOMEM
 */
int entry_settings_load(
    entry_settings_t *settings, const char *file, FILE *errors);

#endif
