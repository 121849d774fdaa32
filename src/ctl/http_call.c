#include "ctl/http_call.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <h2o.h>
#include <h2o/http1client.h>

#include "base/error.h"

#define LOCATION_MAX 256
/* Each call has its own, shorter limit. */
#define IO_TIMEOUT_MS (600u * 1000)

/*
 * h2o closes the timer of a timeout in the background, so the timeout must
 * outlive the calls. It is bound to the one loop of the process.
 */
static h2o_timeout_t io_timeout;
static uv_loop_t *io_loop;

typedef struct http_call {
	h2o_http1client_ctx_t client_ctx;
	h2o_http1client_t *client;
	uint64_t timeout_ms;
	uv_timer_t timer;
	http_call_cb cb;
	void *ctx;
	char *request;
	h2o_iovec_t request_vec;
	char host[INET_ADDRSTRLEN];
	uint16_t port;
	char *body;
	size_t body_len;
	int status;
	int head_only;
	char location[LOCATION_MAX];
} http_call_t;

static void
on_timer_closed(uv_handle_t *handle)
{
	http_call_t *call = handle->data;

	free(call->request);
	free(call->body);
	free(call);
}

static void
finish(http_call_t *call, int err, const char *detail)
{
	http_reply_t reply = { .err = err,
		.detail = detail,
		.status = call->status,
		.body = call->body != NULL ? call->body : "",
		.body_len = call->body_len,
		.location = call->location };

	call->client = NULL;
	uv_timer_stop(&call->timer);
	call->cb(call->ctx, &reply);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
on_timeout(uv_timer_t *timer)
{
	http_call_t *call = timer->data;

	if (call->client != NULL)
		h2o_http1client_cancel(call->client);
	finish(call, TM_ETIMEDOUT, "no complete reply in time");
}

static int
append_body(http_call_t *call, h2o_buffer_t **input)
{
	size_t len = (*input)->size;
	char *grown;

	if (len == 0)
		return (TM_OK);
	if (call->body_len + len > HTTP_CALL_BODY_MAX)
		return (TM_ETOOBIG);
	grown = realloc(call->body, call->body_len + len + 1);
	if (grown == NULL)
		return (TM_ENOMEM);
	memcpy(grown + call->body_len, (*input)->bytes, len);
	call->body = grown;
	call->body_len += len;
	call->body[call->body_len] = '\0';
	h2o_buffer_consume(input, len);
	return (TM_OK);
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
	http_call_t *call = client->data;
	int err = append_body(call, &client->sock->input);

	if (err != TM_OK) {
		finish(call, err, error_get_text(err));
		return (-1);
	}
	if (errstr == h2o_http1client_error_is_eos)
		finish(call, TM_OK, "");
	else if (errstr != NULL)
		finish(call, TM_EFORMAT, errstr);
	return (0);
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version,
    int status, h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers,
    int rlen)
{
	http_call_t *call = client->data;
	size_t i;

	if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
		finish(call, TM_EUNAVAIL, errstr);
		return (NULL);
	}
	call->status = status;
	for (i = 0; i < num_headers; i++) {
		if (headers[i].name->len != 8 ||
		    strncasecmp(headers[i].name->base, "location", 8) != 0)
			continue;
		snprintf(call->location, sizeof(call->location), "%.*s",
		    (int)headers[i].value.len, headers[i].value.base);
	}
	if (errstr == h2o_http1client_error_is_eos) {
		finish(call, TM_OK, "");
		return (NULL);
	}
	return (on_body);
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **reqbufs,
    size_t *reqbufcnt, int *method_is_head)
{
	http_call_t *call = client->data;

	if (errstr != NULL) {
		finish(call, TM_EUNAVAIL, errstr);
		return (NULL);
	}
	*reqbufs = &call->request_vec;
	*reqbufcnt = 1;
	*method_is_head = call->head_only;
	return (on_head);
}

/*
 * h2o compares names only, not IP addresses, and accepts another name only if
 * the context does not verify. OpenSSL verifies each connection instead, with
 * the IP address, and ends the handshake if that fails.
 */
static void
on_tls_state(const SSL *ssl, int where, int ret)
{
	if ((where & SSL_CB_HANDSHAKE_START) != 0)
		SSL_set_verify((SSL *)(uintptr_t)ssl, SSL_VERIFY_PEER, NULL);
}

int
http_call_load_ca(const char *file, SSL_CTX **out)
{
	SSL_CTX *ctx = SSL_CTX_new(TLS_client_method());

	if (ctx == NULL)
		return (TM_ENOMEM);
	if (SSL_CTX_load_verify_locations(ctx, file, NULL) != 1) {
		SSL_CTX_free(ctx);
		return (TM_EFORMAT);
	}
	SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
	SSL_CTX_set_info_callback(ctx, on_tls_state);
	*out = ctx;
	return (TM_OK);
}

static int
format_request(http_call_t *call, const http_request_t *request)
{
	size_t size = strlen(request->method) + strlen(request->path) +
	    strlen(request->headers) + request->body_len + 160;
	int n;

	call->request = malloc(size);
	if (call->request == NULL)
		return (TM_ENOMEM);
	n = snprintf(call->request, size,
	    "%s %s HTTP/1.1\r\nHost: %s:%u\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    request->method, request->path, call->host,
	    ntohs(request->to.sin_port), request->body_len, request->headers);
	if (request->body_len > 0)
		memcpy(call->request + n, request->body, request->body_len);
	call->request_vec =
	    h2o_iovec_init(call->request, (size_t)n + request->body_len);
	return (TM_OK);
}

/* Starts from the loop, so that no callback runs inside http_call_start(). */
static void
on_begin(uv_timer_t *timer)
{
	http_call_t *call = timer->data;

	uv_timer_start(timer, on_timeout, call->timeout_ms, 0);
	h2o_http1client_connect(&call->client, call, &call->client_ctx,
	    h2o_iovec_init(call->host, strlen(call->host)), call->port,
	    call->client_ctx.ssl_ctx != NULL, on_connect);
}

int
http_call_start(
    uv_loop_t *loop, const http_request_t *request, http_call_cb cb, void *ctx)
{
	http_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return (TM_ENOMEM);
	inet_ntop(
	    AF_INET, &request->to.sin_addr, call->host, sizeof(call->host));
	if (format_request(call, request) != TM_OK) {
		free(call);
		return (TM_ENOMEM);
	}
	call->cb = cb;
	call->ctx = ctx;
	call->head_only = strcmp(request->method, "HEAD") == 0;
	call->timeout_ms = (uint64_t)request->timeout_ms;
	if (io_loop == NULL) {
		io_loop = loop;
		h2o_timeout_init(loop, &io_timeout, IO_TIMEOUT_MS);
	}
	call->client_ctx.loop = loop;
	call->client_ctx.io_timeout = &io_timeout;
	call->client_ctx.ssl_ctx = request->tls;
	if (request->tls != NULL)
		X509_VERIFY_PARAM_set1_ip_asc(
		    SSL_CTX_get0_param(request->tls), call->host);
	call->port = ntohs(request->to.sin_port);
	uv_timer_init(loop, &call->timer);
	call->timer.data = call;
	uv_timer_start(&call->timer, on_begin, 0, 0);
	return (TM_OK);
}
