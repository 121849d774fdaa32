/**
 * @file
 * Requests of the admin API, shared by its files.
 */
#ifndef TM_CONTROL_ADMIN_INTERNAL_H
#define TM_CONTROL_ADMIN_INTERNAL_H

#include <uv.h>

#include <h2o.h>

#include "control/admin_api.h"
#include "http/http_server.h"
#include "settings/json_check.h"

#define ADMIN_TEXT_MAX	   128
#define ADMIN_KEY_ID_BYTES 8
#define ADMIN_SECRET_BYTES 32

/* A key that was issued lately. */
typedef struct admin_issued {
	char change_id[CONFIG_CHANGE_ID_MAX_BYTES + 1]; /* "": unused */
	char actor[NAME_MAX_BYTES + 1];
	char id[NAME_MAX_BYTES + 1];
	char secret[2 * ADMIN_SECRET_BYTES + 1];
	int64_t issued_ms;
} admin_issued_t;

struct admin_api {
	control_t *control;
	http_server_t *server;
	admin_issued_t issued[ADMIN_ISSUED_MAX];
	size_t issued_next;
};

/* A request while its handler runs. */
typedef struct admin_request {
	admin_api_t *api;
	h2o_req_t *req;
	const control_operator_t *operator_;
	config_kind_t kind;
	char name[NAME_MAX_BYTES + 1];
	char change_id[CONFIG_CHANGE_ID_MAX_BYTES + 1];
	int has_change_id; /* the caller sent it */
	int has_if_version;
	uint64_t if_version;
	int dry_run;
} admin_request_t;

typedef void (*admin_handler_cb)(admin_request_t *request);

/* admin_http.c */
/* Sends a JSON body and releases it. */
void admin_send(h2o_req_t *req, int status, json_t *body);
/* Sends an error with its remedy; extra fields may be NULL and are taken. */
void admin_send_error(
    h2o_req_t *req, int err, const char *reason, json_t *more);
void admin_send_problems(h2o_req_t *req, const json_check_t *check);
void admin_redirect(
    h2o_req_t *req, const control_vm_t *leader, const char *scheme);
int admin_get_header(
    h2o_req_t *req, const char *name, char *out, size_t out_size);
int admin_get_query(
    const h2o_req_t *req, const char *name, char *out, size_t out_size);
int admin_parse_number(const char *text, uint64_t *out);
const control_operator_t *admin_authenticate(
    const control_settings_t *settings, h2o_req_t *req);

/* admin_change.c */
void admin_handle_put(admin_request_t *request);
void admin_handle_delete(admin_request_t *request);
void admin_handle_issue(admin_request_t *request);
void admin_handle_withdraw(admin_request_t *request);
void admin_handle_apply(admin_request_t *request);

/* admin_snapshot.c */
void admin_handle_snapshot(admin_request_t *request);

/* admin_recovery.c */
void admin_handle_recovery(admin_request_t *request);

/* admin_read.c */
void admin_handle_list(admin_request_t *request);
void admin_handle_get(admin_request_t *request);
void admin_handle_history(admin_request_t *request);
void admin_handle_status(admin_request_t *request);
void admin_handle_metrics(admin_request_t *request);
#ifdef TM_TEST_HOOKS
/* Drops messages to a VM: POST /v1/test/drop?to=NAME&on=1 */
void admin_handle_drop(admin_request_t *request);
#endif

#endif
