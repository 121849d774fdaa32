/**
 * @file
 * Settings that the programs of the fleet have in common.
 */
#ifndef TM_SETTINGS_PROGRAM_SETTINGS_H
#define TM_SETTINGS_PROGRAM_SETTINGS_H

#include <stdio.h>

#include "base/log.h"
#include "net/peer.h"
#include "settings/json_check.h"

#define PROGRAM_SECRET_MIN_BYTES 16
#define PROGRAM_SECRET_MAX_BYTES 255
/** Sizes in the settings are in MB. */
#define PROGRAM_BYTES_PER_MB ((size_t)1024 * 1024)

/** Text of a secret with its end. */
typedef char program_secret_t[PROGRAM_SECRET_MAX_BYTES + 1];

/**
 * Reads a list of 1 to PEER_SECRETS_MAX secrets. Errors go to the check of the
 * node.
 *
 * @param secrets  PEER_SECRETS_MAX places
 * @return         number of secrets
 */
int program_read_secrets(
    json_node_t *root, const char *field, program_secret_t *secrets);

/**
 * Lists secrets for peer_options_t or peer_net_set_secrets().
 *
 * @param list  filled up with NULL; points into secrets
 */
void program_list_secrets(const program_secret_t *secrets, int count,
    const char *list[PEER_SECRETS_MAX]);

/** Reads the fields of a settings file; errors go to the check of root. */
typedef void (*program_read_cb)(json_node_t *root, void *settings);

/**
 * Loads a settings file and prints all of its errors.
 *
 * @return 0, TM_EINVAL after an error, TM_ENOMEM
 */
int program_load_settings(
    const char *file, FILE *errors, program_read_cb read, void *settings);

/** Reads "log_level". @return info if it is not set */
log_level_t program_read_log_level(json_node_t *root);

#endif
