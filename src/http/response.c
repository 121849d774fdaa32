#include "http/response.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/types.h>

#include "base/error.h"
#include "http/http_chunks.h"

#define HEADERS_MAX 100
/* Bounds the recursion over informational responses in one read. */
#define INFORMATIONAL_MAX 16
/* Frame of a chunk for each byte of data; one of a single byte has five. */
#define CHUNK_FRAME_BYTES_MAX 8

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

void
response_reset(response_t *r, int is_to_head, size_t body_keep_bytes,
    response_header_cb cb, void *ctx)
{
	response_t fresh = {
		.is_to_head = is_to_head,
		.body_keep_bytes = body_keep_bytes,
		.cb = cb,
		.ctx = ctx,
		.head = r->head,
		.body = r->body,
	};

	fresh.body.len = 0;
	*r = fresh;
}

void
response_release(response_t *r)
{
	free(r->head);
	r->head = NULL;
	buffer_release(&r->body);
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
	uint64_t length = 0;
	size_t i;

	if (h->value_len == 0 || h->value_len > 15)
		return (TM_EFORMAT);
	for (i = 0; i < h->value_len; i++) {
		if (h->value[i] < '0' || h->value[i] > '9')
			return (TM_EFORMAT);
		length = length * 10 + (uint64_t)(h->value[i] - '0');
	}
	/* Two different lengths leave the end of the response open. */
	if (!r->until_close && length != r->left)
		return (TM_EFORMAT);
	r->left = length;
	r->length = length;
	r->until_close = 0;
	return (TM_OK);
}

/* @return 1 if a comma-separated list has the element "close" */
static int
has_close(const char *list, size_t len)
{
	const char *end = list + len;
	const char *at = list;
	const char *stop;

	while (at < end) {
		if (*at == ' ' || *at == '\t' || *at == ',') {
			at++;
			continue;
		}
		for (stop = at; stop < end && *stop != ',' && *stop != ' ' &&
		     *stop != '\t';)
			stop++;
		if (stop - at == 5 && strncasecmp(at, "close", 5) == 0)
			return (1);
		at = stop;
	}
	return (0);
}

static int
read_header(response_t *r, const struct phr_header *h)
{
	if (is_name(h, "content-length"))
		return (read_length(r, h));
	if (is_name(h, "transfer-encoding")) {
		if (r->is_chunked || h->value_len != 7 ||
		    strncasecmp(h->value, "chunked", 7) != 0)
			return (TM_EFORMAT);
		r->is_chunked = 1;
	}
	if (is_name(h, "connection") && has_close(h->value, h->value_len))
		r->keeps_alive = 0;
	return (TM_OK);
}

static int
read_headers(response_t *r, const struct phr_header *headers, size_t count)
{
	size_t i;

	r->until_close = 1;
	for (i = 0; i < count; i++) {
		const struct phr_header *h = &headers[i];

		if (h->name == NULL || read_header(r, h) != TM_OK)
			return (TM_EFORMAT);
		r->cb(r->ctx, h->name, h->name_len, h->value, h->value_len);
	}
	if (r->is_chunked && !r->until_close)
		return (TM_EFORMAT);
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
	if (n > RESPONSE_HEAD_MAX)
		return (TM_ETOOBIG);
	/* No request asks for another protocol, so 101 has no meaning. */
	if (r->status < 100 || r->status > 599 || r->status == 101)
		return (TM_EFORMAT);
	if (r->status < 200)
		return (
		    ++r->informational > INFORMATIONAL_MAX ? TM_EFORMAT : n);
	r->keeps_alive = minor >= 1;
	if (read_headers(r, headers, count) != TM_OK)
		return (TM_EFORMAT);
	/* HTTP/1.0 has no chunks, so the end of this body is not certain. */
	if (r->is_chunked && minor == 0)
		return (TM_EFORMAT);
	r->has_head = 1;
	return (n);
}

static int
keep_body(response_t *r, const char *bytes, size_t len)
{
	size_t room = r->body_keep_bytes - r->body.len;
	size_t n = len < room ? len : room;

	r->body_total += len;
	return (buffer_append(&r->body, bytes, n));
}

static int
take_chunks(response_t *r, char *bytes, size_t len, size_t *rest)
{
	size_t size = len;
	ssize_t n = phr_decode_chunked(&r->chunks, bytes, &size);

	if (n == -1)
		return (TM_EFORMAT);
	if (keep_body(r, bytes, size) != TM_OK)
		return (TM_ENOMEM);
	if (n >= 0) {
		*rest = (size_t)n;
		return (1);
	}
	/* An extension or a trailer may have no end. */
	r->frame_bytes += len - size;
	return (r->frame_bytes >
		    RESPONSE_HEAD_MAX + CHUNK_FRAME_BYTES_MAX * r->body_total
		? TM_ETOOBIG
		: 0);
}

static int
take_body(response_t *r, char *bytes, size_t len, size_t *rest)
{
	size_t size = len;

	*rest = 0;
	if (r->is_chunked)
		return (take_chunks(r, bytes, len, rest));
	if (r->until_close)
		return (keep_body(r, bytes, len));
	if (size > r->left)
		size = (size_t)r->left;
	if (keep_body(r, bytes, size) != TM_OK)
		return (TM_ENOMEM);
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
