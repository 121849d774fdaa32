/**
 * @file
 * Admin API of a control VM over HTTP; docs/admin-api.md is its reference.
 */
#ifndef TM_CONTROL_ADMIN_API_H
#define TM_CONTROL_ADMIN_API_H

#include <stddef.h>

#include <uv.h>

#include "control/control.h"

/** Longest request body in bytes. */
#define ADMIN_BODY_MAX_BYTES (384 * 1024)
/** Objects in one page of a list: the default and the limit. */
#define ADMIN_PAGE_DEFAULT 100
#define ADMIN_PAGE_MAX	   1000
/** Issued keys that are shown again when the same change is sent again. */
#define ADMIN_ISSUED_MAX     256
#define ADMIN_ISSUED_KEEP_MS INT64_C(600000)

typedef struct admin_api admin_api_t;

/**
 * Starts to listen.
 *
 * @return 0; TM_EIO if the address cannot be bound; TM_EFORMAT; TM_ENOMEM
 */
int admin_api_create(admin_api_t **out, control_t *control, uv_loop_t *loop);

/** Reads the TLS files again; see http_server_reload_tls(). */
int admin_api_reload_tls(
    admin_api_t *api, const http_tls_files_t *files, http_tls_error_t *error);

/** Stops listening; open connections stay. */
void admin_api_close(admin_api_t *api);

/** @return 1 if all responses have arrived, see http_server_is_delivered() */
int admin_api_is_delivered(const admin_api_t *api);

/** @return number of routes of the API */
size_t admin_api_get_route_count(void);

/** @return a route as in the reference, e.g. "GET /v1/{kind}" */
const char *admin_api_get_route(size_t index);

#endif
