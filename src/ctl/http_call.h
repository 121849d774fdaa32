/**
 * @file
 * One HTTP/1.1 request on a connection of its own, with a limit on the whole
 * call. For administration and announcements, not for load.
 */
#ifndef TM_CTL_HTTP_CALL_H
#define TM_CTL_HTTP_CALL_H

#include <netinet/in.h>
#include <stddef.h>

#include <openssl/ssl.h>
#include <uv.h>

/** Longest reply body in bytes. */
#define HTTP_CALL_BODY_MAX (64u * 1024 * 1024)

/** Result of a call; valid during the callback. */
typedef struct http_reply {
	int err; /**< 0, TM_EUNAVAIL, TM_ETIMEDOUT, TM_ETOOBIG or TM_EFORMAT */
	const char *detail; /**< what failed; "" if err is 0 */
	int status;
	const char *body; /**< ends with NUL after body_len bytes */
	size_t body_len;
	const char *location; /**< value of Location, or "" */
} http_reply_t;

/** Request; the texts are copied. */
typedef struct http_request {
	struct sockaddr_in to;
	const char *method;
	const char *path;
	const char *headers; /**< lines that end with CRLF; may be "" */
	const char *body;
	size_t body_len;
	int timeout_ms;
	SSL_CTX *tls; /**< NULL: plain HTTP; outlives the call */
} http_request_t;

/**
 * Makes a context that trusts the certificates of a PEM file. The server's
 * certificate must name the IP address that is called.
 *
 * @return 0, TM_EFORMAT, TM_ENOMEM
 */
int http_call_load_ca(const char *file, SSL_CTX **out);

typedef void (*http_call_cb)(void *ctx, const http_reply_t *reply);

/**
 * Sends a request. The callback runs once, never during this function. All
 * calls of a process use the same loop.
 *
 * @return 0 or TM_ENOMEM; after an error the callback does not run
 */
int http_call_start(
    uv_loop_t *loop, const http_request_t *request, http_call_cb cb, void *ctx);

#endif
