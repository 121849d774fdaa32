/**
 * @file
 * Settings of tm-control.
 */
#ifndef TM_CONTROL_CONTROL_SETTINGS_H
#define TM_CONTROL_CONTROL_SETTINGS_H

#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>

#include "base/log.h"
#include "base/node_defs.h"
#include "http/http_tls.h"
#include "net/peer.h"
#include "raft/raft.h"
#include "settings/program_settings.h"

#define CONTROL_OPERATORS_MAX  64
#define CONTROL_PATH_MAX_BYTES 255
#define CONTROL_DIGEST_BYTES   32
#define CONTROL_IP_TEXT_BYTES  16

/** One of the control VMs. */
typedef struct control_vm {
	char name[NAME_MAX_BYTES + 1];
	node_id_t id;
	char peer_ip[CONTROL_IP_TEXT_BYTES];
	uint16_t peer_port;
	char admin_ip[CONTROL_IP_TEXT_BYTES];
	uint16_t admin_port;
} control_vm_t;

/** A person or program that may use the admin API. */
typedef struct control_operator {
	char name[NAME_MAX_BYTES + 1];
	uint8_t token_sha256[CONTROL_DIGEST_BYTES];
} control_operator_t;

typedef struct control_settings {
	char node[NAME_MAX_BYTES + 1];
	char data_centre[NAME_MAX_BYTES + 1];
	char data_dir[CONTROL_PATH_MAX_BYTES + 1];
	struct sockaddr_in admin_listen;
	struct sockaddr_in peer_listen;
	int vm_count;
	control_vm_t vms[RAFT_MEMBERS_MAX];
	http_tls_files_t tls; /**< of admin_listen */
	int secret_count;
	program_secret_t secrets[PEER_SECRETS_MAX];
	int operator_count;
	control_operator_t operators[CONTROL_OPERATORS_MAX];
	log_level_t log_level;
} control_settings_t;

/**
 * Reads and checks a settings file; all problems are written at once.
 *
 * @param errors  receives one line for each problem
 * @return        0, TM_EINVAL if there was a problem, TM_ENOMEM
 */
int control_settings_load(
    control_settings_t *settings, const char *file, FILE *errors);

/** Example for --print-default. */
extern const char control_default_settings[];

/** @return the VM of an id, or NULL */
const control_vm_t *control_settings_find_vm(
    const control_settings_t *settings, node_id_t id);

#endif
