#include "http/http_unparsed.h"

#include <dlfcn.h>
#include <stdio.h>

#include "base/error.h"

#define STATUS_LINE "HTTP/1.1 400 Bad Request\r\n"
#define REST                                          \
	"Content-Type: text/plain; charset=utf-8\r\n" \
	"Connection: close\r\n"                       \
	"Content-Length: 11\r\n"                      \
	"\r\n"                                        \
	"Bad Request"

typedef void (*socket_write_t)(
    h2o_socket_t *sock, h2o_iovec_t *bufs, size_t count, h2o_socket_cb cb);

int
http_unparsed_set_header(
    http_config_t *config, const char *name, const char *value)
{
	int len = snprintf(config->unparsed, sizeof(config->unparsed),
	    STATUS_LINE "%s: %s\r\n" REST, name, value);

	if (len < 0 || (size_t)len >= sizeof(config->unparsed)) {
		config->unparsed_bytes = 0;
		return (TM_ETOOBIG);
	}
	config->unparsed_bytes = (size_t)len;
	return (TM_OK);
}

static int
is_unparsed_response(const h2o_iovec_t *buf)
{
	return (h2o_memis(buf->base, buf->len, H2O_STRLIT(STATUS_LINE REST)));
}

/* @return configuration of the listener, known from the connection */
static http_config_t *
get_config(const h2o_socket_t *sock)
{
	const h2o_conn_t *conn = sock->data;

	return ((http_config_t *)conn->ctx->globalconf);
}

static socket_write_t
find_next_write(void)
{
	static socket_write_t next;

	if (next == NULL)
		next = (socket_write_t)dlsym(RTLD_NEXT, "h2o_socket_write");
	return (next);
}

/*
 * Takes the place of the function of libh2o, which calls it through its
 * dynamic symbol, and passes each write on. functional/request_unparsed fails
 * if a later version of libh2o calls it in another way or words the response
 * differently.
 */
void
h2o_socket_write(
    h2o_socket_t *sock, h2o_iovec_t *bufs, size_t bufcnt, h2o_socket_cb cb)
{
	http_config_t *config;
	h2o_iovec_t marked;

	if (bufcnt == 1 && is_unparsed_response(&bufs[0])) {
		config = get_config(sock);
		marked =
		    h2o_iovec_init(config->unparsed, config->unparsed_bytes);
		if (marked.len > 0)
			bufs = &marked;
	}
	find_next_write()(sock, bufs, bufcnt, cb);
}
