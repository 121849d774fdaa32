/**
 * @file
 * Objects of the replicated configuration. Pointers to them stay valid until
 * the next entry or snapshot is applied.
 */
#ifndef TM_CONFIG_CONFIG_DEFS_H
#define TM_CONFIG_CONFIG_DEFS_H

#include <stdint.h>

#include "base/node_defs.h"

#define CONFIG_SHARDS		   64
#define CONFIG_HOLDERS		   5
#define CONFIG_CHANGES_KEPT	   10000
#define CONFIG_AUDIT_KEPT	   10000
#define CONFIG_HOST_MAX_BYTES	   253
#define CONFIG_PATH_MAX_BYTES	   255
#define CONFIG_IP_MAX_BYTES	   45
#define CONFIG_CHANGE_ID_MAX_BYTES 64
#define CONFIG_SHA256_BYTES	   32
/** Names in the list of one route; the number of workspaces has no limit. */
#define CONFIG_ROUTE_WORKSPACES_MAX 4096
#define CONFIG_RATE_MAX_PER_S	    1000000
#define CONFIG_BURST_MAX	    10000000
#define CONFIG_DEADLINE_MAX_MS	    600000

/** What an entry changed; the first five are the operators' objects. */
typedef enum config_kind {
	CONFIG_KIND_NONE,
	CONFIG_KIND_PROFILE,
	CONFIG_KIND_SERVICE,
	CONFIG_KIND_ROUTE,
	CONFIG_KIND_WORKSPACE,
	CONFIG_KIND_KEY,
	CONFIG_KIND_NODE,
	CONFIG_KIND_GROUP,
	CONFIG_KIND_ALL /**< a snapshot replaced the whole state */
} config_kind_t;

#define CONFIG_OBJECT_KINDS 6 /**< one above the last operators' kind */

typedef enum config_ejection {
	CONFIG_EJECTION_EAGER,
	CONFIG_EJECTION_NORMAL,
	CONFIG_EJECTION_CAUTIOUS
} config_ejection_t;

typedef enum config_op { CONFIG_OP_PUT, CONFIG_OP_DELETE } config_op_t;

typedef enum config_role {
	CONFIG_ROLE_ENTRY,
	CONFIG_ROLE_CONTROL
} config_role_t;

/**
 * Common head of the operators' objects. Texts lie behind the object in the
 * same allocation: with fixed fields the target size of 47,000 workspaces and
 * as many keys would not fit into 32 MB.
 */
typedef struct config_object {
	config_kind_t kind;
	uint64_t version; /**< log index of the last change */
	const char *name; /**< of a key: its id */
} config_object_t;

typedef struct config_profile {
	config_object_t object;
	config_ejection_t ejection;
	uint32_t floor_percent;
	int repeat_allowed;
	uint32_t deadline_ms;
} config_profile_t;

typedef struct config_service {
	config_object_t object;
	const char *profile;
} config_service_t;

typedef struct config_route {
	config_object_t object;
	const char *host; /**< lower case; "": any host */
	const char *path_prefix;
	const char *service;
	int all_workspaces; /**< open to all; workspaces is empty */
	uint32_t workspace_count;
	char (*workspaces)[NAME_MAX_BYTES + 1]; /**< sorted */
} config_route_t;

typedef struct config_workspace {
	config_object_t object;
	uint32_t rate_per_s;
	uint32_t burst;
} config_workspace_t;

typedef struct config_key {
	config_object_t object;
	const char *workspace;
	uint8_t secret_sha256[CONFIG_SHA256_BYTES];
	int withdrawn;
} config_key_t;

/** A VM in the node directory. */
typedef struct config_node {
	node_id_t id;
	uint64_t incarnation;
	uint64_t version; /**< log index of the last change */
	config_role_t role;
	uint16_t peer_port;
	uint16_t ops_port; /**< 0: unknown */
	int draining; /**< gets no new shard group membership */
	char name[NAME_MAX_BYTES + 1];
	char data_centre[NAME_MAX_BYTES + 1];
	char peer_ip[CONFIG_IP_MAX_BYTES + 1];
	char ops_ip[CONFIG_IP_MAX_BYTES + 1]; /**< "": unknown */
} config_node_t;

typedef struct config_holder {
	node_id_t node; /**< NODE_ID_NONE: not assigned */
	uint64_t incarnation;
} config_holder_t;

/** Assignment of one shard. */
typedef struct config_group {
	uint64_t epoch; /**< 0: never assigned */
	int quarantine; /**< this epoch starts a new, empty group */
	config_holder_t holders[CONFIG_HOLDERS];
} config_group_t;

/** One line of the audit history. */
typedef struct config_audit {
	uint64_t version;
	int64_t wall_ms;
	config_kind_t kind;
	config_op_t op;
	char name[NAME_MAX_BYTES + 1];
	char actor[NAME_MAX_BYTES + 1];
} config_audit_t;

/** Result of an entry. */
typedef struct config_result {
	int err; /**< 0 or the reason for which nothing was changed */
	uint64_t version; /**< new version, or the current one if err is set */
	uint32_t item; /**< index of the item that was refused */
	int is_repeat; /**< the change id was applied by an earlier entry */
} config_result_t;

#endif
