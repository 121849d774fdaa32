#include "load/response.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/types.h>

#include "base/error.h"

#define HEADERS_MAX 100

/*
 * libh2o exports picohttpparser but does not install its header. These are
 * its published declarations.
 */
struct phr_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};
int phr_parse_response(const char *buf, size_t len, int *minor_version,
    int *status, const char **msg, size_t *msg_len, struct phr_header *headers,
    size_t *num_headers, size_t last_len);
ssize_t phr_decode_chunked(
    response_chunks_t *decoder, char *buf, size_t *bufsz);

void
response_reset(response_t *r, int is_to_head, response_header_cb cb, void *ctx)
{
	char *head = r->head;

	memset(r, 0, offsetof(response_t, body));
	r->body_len = 0;
	r->body_total = 0;
	r->head = head;
	r->is_to_head = is_to_head;
	r->cb = cb;
	r->ctx = ctx;
}

void
response_release(response_t *r)
{
	free(r->head);
	r->head = NULL;
}

static int
is_name(const struct phr_header *h, const char *name)
{
	size_t len = strlen(name);

	return (h->name_len == len && strncasecmp(h->name, name, len) == 0);
}

static int
read_length(response_t *r, const struct phr_header *h)
{
	size_t i;

	r->left = 0;
	if (h->value_len == 0 || h->value_len > 15)
		return (TM_EFORMAT);
	for (i = 0; i < h->value_len; i++) {
		if (h->value[i] < '0' || h->value[i] > '9')
			return (TM_EFORMAT);
		r->left = r->left * 10 + (uint64_t)(h->value[i] - '0');
	}
	r->until_close = 0;
	return (TM_OK);
}

static int
read_headers(response_t *r, const struct phr_header *headers, size_t count)
{
	size_t i;

	r->until_close = 1;
	for (i = 0; i < count; i++) {
		const struct phr_header *h = &headers[i];

		if (h->name == NULL)
			continue;
		if (is_name(h, "content-length") && read_length(r, h) != TM_OK)
			return (TM_EFORMAT);
		if (is_name(h, "transfer-encoding"))
			r->is_chunked = 1;
		if (is_name(h, "connection") && h->value_len == 5 &&
		    strncasecmp(h->value, "close", 5) == 0)
			r->keeps_alive = 0;
		r->cb(r->ctx, h->name, h->name_len, h->value, h->value_len);
	}
	if (r->is_chunked) {
		r->until_close = 0;
		r->chunks.consume_trailer = 1;
	}
	if (r->is_to_head || r->status == 204 || r->status == 304) {
		r->is_chunked = 0;
		r->until_close = 0;
		r->left = 0;
	}
	return (TM_OK);
}

/* Returns the length of the head, 0 if it is incomplete, or an error. */
static ssize_t
parse_head(response_t *r, const char *bytes, size_t len)
{
	struct phr_header headers[HEADERS_MAX];
	size_t count = HEADERS_MAX;
	const char *msg;
	size_t msg_len;
	int minor;
	int n;

	n = phr_parse_response(
	    bytes, len, &minor, &r->status, &msg, &msg_len, headers, &count, 0);
	if (n == -2)
		return (0);
	if (n < 0)
		return (TM_EFORMAT);
	if (r->status < 200)
		return (n);
	r->keeps_alive = minor >= 1;
	if (read_headers(r, headers, count) != TM_OK)
		return (TM_EFORMAT);
	r->has_head = 1;
	return (n);
}

static void
keep_body(response_t *r, const char *bytes, size_t len)
{
	size_t room = sizeof(r->body) - r->body_len;
	size_t n = len < room ? len : room;

	memcpy(r->body + r->body_len, bytes, n);
	r->body_len += n;
	r->body_total += len;
}

static int
take_body(response_t *r, char *bytes, size_t len, size_t *rest)
{
	size_t size = len;
	ssize_t n;

	*rest = 0;
	if (r->is_chunked) {
		n = phr_decode_chunked(&r->chunks, bytes, &size);
		if (n == -1)
			return (TM_EFORMAT);
		keep_body(r, bytes, size);
		if (n < 0)
			return (0);
		*rest = (size_t)n;
		return (1);
	}
	if (r->until_close) {
		keep_body(r, bytes, len);
		return (0);
	}
	if (size > r->left)
		size = (size_t)r->left;
	keep_body(r, bytes, size);
	r->left -= size;
	*rest = len - size;
	return (r->left == 0);
}

static int
save_head(response_t *r, const char *bytes, size_t len)
{
	if (r->head_len + len > RESPONSE_HEAD_MAX)
		return (TM_ETOOBIG);
	if (r->head == NULL && (r->head = malloc(RESPONSE_HEAD_MAX)) == NULL)
		return (TM_ENOMEM);
	memcpy(r->head + r->head_len, bytes, len);
	r->head_len += len;
	return (TM_OK);
}

/* The head came in one piece. */
static int
take_at_once(response_t *r, char *bytes, size_t len, size_t *rest)
{
	ssize_t n = parse_head(r, bytes, len);

	if (n < 0)
		return ((int)n);
	if (n == 0)
		return (save_head(r, bytes, len));
	/* An informational response (1xx) precedes the final one. */
	if (!r->has_head)
		return (response_take(r, bytes + n, len - (size_t)n, rest));
	return (take_body(r, bytes + n, len - (size_t)n, rest));
}

int
response_take(response_t *r, char *bytes, size_t len, size_t *rest)
{
	size_t before = r->head_len;
	size_t size;
	ssize_t n;
	int err;

	*rest = 0;
	if (r->has_head)
		return (take_body(r, bytes, len, rest));
	if (before == 0)
		return (len > 0 ? take_at_once(r, bytes, len, rest) : 0);
	size =
	    len < RESPONSE_HEAD_MAX - before ? len : RESPONSE_HEAD_MAX - before;
	err = save_head(r, bytes, size);
	if (err != TM_OK)
		return (err);
	n = parse_head(r, r->head, r->head_len);
	if (n < 0)
		return ((int)n);
	if (n == 0)
		return (r->head_len == RESPONSE_HEAD_MAX ? TM_ETOOBIG : 0);
	/* The end of the head lies within the new bytes. */
	r->head_len = 0;
	bytes += (size_t)n - before;
	len -= (size_t)n - before;
	if (!r->has_head)
		return (response_take(r, bytes, len, rest));
	return (take_body(r, bytes, len, rest));
}

int
response_is_complete_at_close(const response_t *r)
{
	return (r->has_head && r->until_close);
}
