/**
 * @file
 * Calls to the admin API: tries the servers in turn with the same change id,
 * follows redirects to the leader, and stops at a limit for the whole call.
 */
#ifndef TM_CTL_CTL_API_H
#define TM_CTL_CTL_API_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <openssl/ssl.h>
#include <uv.h>

#define CTL_SERVERS_MAX	  16
#define CTL_CHANGE_ID_MAX 64
/** Most VMs that are asked at the same time. */
#define CTL_VMS_MAX   1024
#define CTL_TOKEN_MAX 256

/** Exit codes of tmctl; see man/tmctl.1. */
typedef enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_REFUSED = 1,
	CTL_EXIT_USAGE = 2,
	CTL_EXIT_UNREACHABLE = 3,
	CTL_EXIT_CONFLICT = 4
} ctl_exit_t;

/** Where and as whom to call. */
typedef struct ctl_api {
	uv_loop_t loop;
	struct sockaddr_in servers[CTL_SERVERS_MAX];
	int server_count;
	struct sockaddr_in entries[CTL_SERVERS_MAX]; /**< --entry */
	int entry_count;
	int next_server;
	char token[CTL_TOKEN_MAX];
	SSL_CTX *tls; /**< NULL: plain HTTP */
	int64_t timeout_ms; /**< for a whole call with its retries */
	int64_t attempt_ms; /**< for one attempt */
} ctl_api_t;

/** One call. */
typedef struct ctl_call {
	const char *method;
	const char *path; /**< with its query */
	const char *body; /**< may be NULL */
	size_t body_len;
	const char *change_id; /**< NULL: not a change */
	int64_t if_version; /**< -1: not sent */
} ctl_call_t;

/** Result of a call; the caller frees body. */
typedef struct ctl_result {
	ctl_exit_t exit;
	int status; /**< 0 if no server answered */
	char *body; /**< ends with NUL; NULL if there was no answer */
	size_t body_len;
	char detail[160]; /**< why no server answered */
} ctl_result_t;

/** Prepares an empty list of servers. */
void ctl_api_init(ctl_api_t *api);

/**
 * Adds "ip:port" items, separated by commas.
 *
 * @return 0, TM_EFORMAT or TM_EFULL
 */
int ctl_api_add_servers(ctl_api_t *api, const char *list);

/**
 * Reads the operator's token: the first line of a file.
 *
 * @return 0, TM_EIO or TM_EFORMAT
 */
int ctl_api_read_token(ctl_api_t *api, const char *file);

/**
 * Adds "ip:port" items of ops listeners of entry VMs.
 *
 * @return 0, TM_EFORMAT or TM_EFULL
 */
int ctl_api_add_entries(ctl_api_t *api, const char *list);

/**
 * Asks several VMs the same question at the same time; each is asked once.
 *
 * @param with_token  whether the operator token is sent
 * @param results     one for each VM; the caller frees body
 */
void ctl_api_ask_all(ctl_api_t *api, const struct sockaddr_in *vms, int count,
    const char *path, int with_token, ctl_result_t *results);

/** Sends a call and waits for its result. */
void ctl_api_send(ctl_api_t *api, const ctl_call_t *call, ctl_result_t *result);

#endif
