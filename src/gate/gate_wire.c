#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/error.h"
#include "entry/keyguard.h"
#include "gate/gate_request.h"

/* So that a value fits 32 bits. */
#define LOAD_DIGITS_MAX 9
/* Longer times of idle connections are cut to this one. */
#define KEEP_MAX_S 3600

static int
append_text(buffer_t *out, const char *text)
{
	return (buffer_append(out, text, strlen(text)));
}

static int
append_header(buffer_t *out, const char *name, size_t name_len,
    const char *value, size_t value_len)
{
	int err = buffer_append(out, name, name_len);

	if (err == TM_OK)
		err = append_text(out, ": ");
	if (err == TM_OK)
		err = buffer_append(out, value, value_len);
	return (err == TM_OK ? append_text(out, "\r\n") : err);
}

static int
append_own(buffer_t *out, const char *name, const char *value)
{
	return (append_header(out, name, strlen(name), value, strlen(value)));
}

/* @return 1 for a header that Connection restricts to the caller's hop */
static int
is_nominated(const h2o_headers_t *headers, keyguard_text_t name)
{
	const h2o_header_t *header;
	size_t i;

	for (i = 0; i < headers->size; i++) {
		header = &headers->entries[i];
		if (h2o_memis(header->name->base, header->name->len,
			H2O_STRLIT("connection")) &&
		    keyguard_is_nominated((keyguard_text_t){ header->value.base,
					      header->value.len },
			name))
			return (1);
	}
	return (0);
}

static int
is_own_name(const dialect_headers_t *names, const h2o_iovec_t *name)
{
	const char *const own[] = { "host", names->deadline, names->key,
		names->workspace, names->expect_target };
	size_t i;

	for (i = 0; i < sizeof(own) / sizeof(own[0]); i++) {
		if (h2o_memis(name->base, name->len, own[i], strlen(own[i])))
			return (1);
	}
	return (0);
}

static int
append_caller_headers(const gate_request_t *request, buffer_t *out)
{
	const dialect_headers_t *names =
	    &gate_get_dialect(request->gate)->headers;
	const h2o_headers_t *headers = &request->req->headers;
	const h2o_header_t *header;
	keyguard_text_t name;
	int err = TM_OK;
	size_t i;

	for (i = 0; i < headers->size && err == TM_OK; i++) {
		header = &headers->entries[i];
		name =
		    (keyguard_text_t){ header->name->base, header->name->len };
		if (keyguard_is_hop_by_hop(name) ||
		    is_own_name(names, header->name) ||
		    is_nominated(headers, name))
			continue;
		err = append_header(out, header->name->base, header->name->len,
		    header->value.base, header->value.len);
	}
	return (err);
}

static int
append_own_headers(const gate_request_t *request, const gate_target_t *target,
    int64_t remaining_ms, buffer_t *out)
{
	const dialect_headers_t *names =
	    &gate_get_dialect(request->gate)->headers;
	const h2o_req_t *req = request->req;
	char text[32];
	int has_body = req->entity.len > 0 ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")) ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT"));
	int err;

	snprintf(text, sizeof(text), "%lld", (long long)remaining_ms);
	err = append_own(out, names->deadline, text);
	if (err == TM_OK)
		err = append_own(out, names->expect_target, target->id);
	if (err == TM_OK && request->workspace[0] != '\0')
		err = append_own(out, names->workspace, request->workspace);
	if (err != TM_OK || !has_body)
		return (err);
	snprintf(text, sizeof(text), "%zu", req->entity.len);
	return (append_own(out, "content-length", text));
}

static int
append_request_line(const h2o_req_t *req, buffer_t *out)
{
	int err = buffer_append(out, req->method.base, req->method.len);

	if (err == TM_OK)
		err = append_text(out, " ");
	if (err == TM_OK)
		err = buffer_append(
		    out, req->input.path.base, req->input.path.len);
	if (err == TM_OK)
		err = append_text(out, " HTTP/1.1\r\n");
	return (err == TM_OK
		? append_header(out, "host", 4, req->input.authority.base,
		      req->input.authority.len)
		: err);
}

int
gate_wire_encode(const gate_request_t *request, const gate_target_t *target,
    int64_t remaining_ms, buffer_t *out)
{
	const h2o_req_t *req = request->req;
	int err = append_request_line(req, out);

	if (err == TM_OK)
		err = append_caller_headers(request, out);
	if (err == TM_OK)
		err = append_own_headers(request, target, remaining_ms, out);
	if (err == TM_OK)
		err = append_text(out, "\r\n");
	if (err == TM_OK)
		err = buffer_append(out, req->entity.base, req->entity.len);
	return (err);
}

static int
name_equals(const upstream_header_t *header, const char *name)
{
	return (header->name_len == strlen(name) &&
	    strncasecmp(header->name, name, header->name_len) == 0);
}

const upstream_header_t *
gate_wire_find_header(
    const upstream_response_t *response, const char *lower_name)
{
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		if (name_equals(&response->headers[i], lower_name))
			return (&response->headers[i]);
	}
	return (NULL);
}

/* @return 1 for a header that Connection restricts to the target's hop */
static int
is_target_hop(const upstream_response_t *response, keyguard_text_t name)
{
	const upstream_header_t *header;
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		header = &response->headers[i];
		if (name_equals(header, "connection") &&
		    keyguard_is_nominated(
			(keyguard_text_t){ header->value, header->value_len },
			name))
			return (1);
	}
	return (0);
}

static int
may_return(const upstream_response_t *response, const upstream_header_t *header)
{
	keyguard_text_t name = { header->name, header->name_len };

	return (!keyguard_is_hop_by_hop(name) &&
	    !is_target_hop(response, name) && !name_equals(header, "server") &&
	    !name_equals(header, "date"));
}

static void
add_header(h2o_req_t *req, const upstream_header_t *header)
{
	h2o_iovec_t name =
	    h2o_strdup(&req->pool, header->name, header->name_len);

	h2o_strtolower(name.base, name.len);
	http_request_add_header(
	    req, name.base, name.len, header->value, header->value_len);
}

/*
 * Nothing tells whether a response without a length is whole, so that it must
 * not get one here. h2o adds no framing of its own for callers of HTTP/1.0.
 */
static void
pass_unframed(h2o_req_t *req)
{
	req->res.content_length = SIZE_MAX;
	req->version = 0x100;
	req->http1_is_persistent = 0;
}

void
gate_wire_reply(const gate_request_t *request, h2o_req_t *req,
    const upstream_response_t *response)
{
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		if (may_return(response, &response->headers[i]))
			add_header(req, &response->headers[i]);
	}
	req->res.status = response->status;
	req->res.reason = http_status_get_reason(response->status);
	req->res.content_length =
	    request->is_head ? response->content_length : response->body_len;
	if (response->is_unframed)
		pass_unframed(req);
	http_request_send_body(
	    req, (const char *)response->body, response->body_len);
}

/* Reads digits up to a separator. @return 1 if there was a number */
static int
read_number(const char **at, const char *end, uint32_t *out)
{
	const char *start = *at;
	uint32_t value = 0;

	while (*at < end && **at >= '0' && **at <= '9' &&
	    *at - start < LOAD_DIGITS_MAX)
		value = value * 10 + (uint32_t)(*(*at)++ - '0');
	*out = value;
	return (*at > start);
}

int
gate_wire_read_load(const dialect_t *dialect,
    const upstream_response_t *response, uint32_t *load)
{
	const upstream_header_t *header =
	    gate_wire_find_header(response, dialect->headers.load);
	const char *at;
	const char *end;
	uint32_t running;
	uint32_t waiting;

	if (header == NULL)
		return (0);
	at = header->value;
	end = at + header->value_len;
	if (!read_number(&at, end, &running) || at == end || *at++ != ',' ||
	    !read_number(&at, end, &waiting))
		return (0);
	*load = running + waiting;
	return (1);
}

int64_t
gate_wire_read_keep_ms(const upstream_response_t *response)
{
	const upstream_header_t *header =
	    gate_wire_find_header(response, "keep-alive");
	const char *at;
	const char *end;
	uint32_t keep_s;

	if (header == NULL)
		return (0);
	at = memmem(header->value, header->value_len, "timeout=", 8);
	if (at == NULL)
		return (0);
	at += 8;
	end = header->value + header->value_len;
	if (!read_number(&at, end, &keep_s))
		return (0);
	return ((keep_s < KEEP_MAX_S ? keep_s : KEEP_MAX_S) * MS_PER_SEC);
}
