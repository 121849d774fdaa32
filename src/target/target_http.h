/**
 * @file
 * HTTP listener of the stand-in target on h2o: accepts connections up to a
 * cap and hands each request to one handler.
 */
#ifndef TM_TARGET_TARGET_HTTP_H
#define TM_TARGET_TARGET_HTTP_H

#include <netinet/in.h>
#include <stddef.h>

#include <uv.h>

#include <h2o.h>

/** Largest request body in bytes. */
#define TARGET_BODY_MAX (4u * 1024 * 1024)

typedef struct target_http target_http_t;
typedef void (*target_http_cb)(void *ctx, h2o_req_t *req);

/**
 * Listens on an address.
 *
 * @param cap   connections above this number are closed at once
 * @param http_out  receives the listener, which lives until the process ends
 * @return      0, TM_ENOMEM, or TM_EIO with errno-style detail in the log
 */
int target_http_listen(uv_loop_t *loop, const struct sockaddr_in *addr, int cap,
    target_http_cb cb, void *ctx, target_http_t **http_out);

/** Stops accepting connections. */
void target_http_stop(target_http_t *http);

/** @return number of open connections */
int target_http_get_connections(const target_http_t *http);

/** Finds a request header. @return its value, or a NULL vector */
h2o_iovec_t target_http_get_header(h2o_req_t *req, const char *lower_name);

/** Adds a response header; name and value are copied. */
void target_http_add_header(
    h2o_req_t *req, const char *lower_name, const char *value);

/** @return reason phrase of a status */
const char *target_http_get_reason(int status);

/** Sends a complete response; the body is copied. */
void target_http_reply(h2o_req_t *req, int status, const char *body);

/** @return file descriptor of a request's connection */
int target_http_get_fd(h2o_req_t *req);

#endif
