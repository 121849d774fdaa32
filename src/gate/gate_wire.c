#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/error.h"
#include "entry/forward.h"
#include "fleet/fleet_limit.h"
#include "fleet/fleet_warmup.h"
#include "gate/gate_request.h"
#include "route/request_fingerprint.h"

/* Keeps a value within 32 bits. */
#define LOAD_DIGITS_MAX 9
/* A longer text is no decimal number. */
#define DECIMAL_BYTES_MAX 24
/* Longer pauses are cut to this one, which outlasts the processes; it keeps the
 * times that are computed with it in range. */
#define PAUSE_MAX_S (30.0 * 24 * 3600)
/* Longer keep-alive timeouts are cut to this one. */
#define KEEP_MAX_S 3600

static int
append_own(buffer_t *out, const char *name, const char *value)
{
	return (
	    forward_append_header(out, (keyguard_text_t){ name, strlen(name) },
		(keyguard_text_t){ value, strlen(value) }));
}

static int
is_own_name(const dialect_headers_t *names, keyguard_text_t name)
{
	const char *const own[] = { "host", names->deadline, names->key,
		names->workspace, names->expect_target };
	size_t i;

	for (i = 0; i < sizeof(own) / sizeof(own[0]); i++) {
		if (h2o_memis(name.base, name.len, own[i], strlen(own[i])))
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
	keyguard_header_t header;
	int err = TM_OK;
	size_t i;

	for (i = 0; i < headers->size && err == TM_OK; i++) {
		header = forward_get_header(headers, i);
		if (keyguard_is_hop_by_hop(header.name) ||
		    is_own_name(names, header.name) ||
		    forward_is_caller_hop(headers, header.name))
			continue;
		err = forward_append_header(out, header.name, header.value);
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
	int err;

	snprintf(text, sizeof(text), "%lld", (long long)remaining_ms);
	err = append_own(out, names->deadline, text);
	if (err == TM_OK)
		err = append_own(out, names->expect_target, target->id);
	if (err == TM_OK && request->workspace[0] != '\0')
		err = append_own(out, names->workspace, request->workspace);
	if (err != TM_OK || !forward_has_body(req))
		return (err);
	snprintf(text, sizeof(text), "%zu", req->entity.len);
	return (append_own(out, "content-length", text));
}

static char *
copy_text(h2o_req_t *req, h2o_iovec_t text)
{
	return (h2o_strdup(&req->pool, text.base, text.len).base);
}

uint64_t
gate_wire_get_fingerprint(gate_request_t *request)
{
	h2o_req_t *req = request->req;
	request_fingerprint_parts_t parts = {
		.workspace = request->workspace,
	};

	if (request->fingerprint != 0)
		return (request->fingerprint);
	parts.scope = copy_text(req, req->input.authority);
	parts.method = copy_text(req, req->method);
	parts.path = copy_text(req, req->input.path);
	request->fingerprint = request_fingerprint_get(&parts,
	    request_fingerprint_hash_body(req->entity.base, req->entity.len));
	if (request->fingerprint == 0)
		request->fingerprint = 1;
	return (request->fingerprint);
}

int
gate_wire_encode(const gate_request_t *request, const gate_target_t *target,
    int64_t remaining_ms, buffer_t *out)
{
	const h2o_req_t *req = request->req;
	int err = forward_append_request_line(out, req);

	if (err == TM_OK)
		err = append_caller_headers(request, out);
	if (err == TM_OK)
		err = append_own_headers(request, target, remaining_ms, out);
	return (err == TM_OK ? forward_append_text(out, "\r\n") : err);
}

void
gate_wire_reply(const gate_request_t *request, h2o_req_t *req,
    const upstream_response_t *response)
{
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		if (forward_may_return(response, &response->headers[i]))
			forward_add_header(req, &response->headers[i]);
	}
	req->res.status = response->status;
	req->res.reason = http_status_get_reason(response->status);
	/* Also where the target's response ended with its connection: an early
	 * end of this connection must show. */
	req->res.content_length =
	    request->is_head ? response->content_length : response->body_len;
	forward_send_body(
	    req, response, upstream_get_budget(request->gate->upstream));
}

/* Reads digits up to a separator. @return 1 if there was at least one */
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

static int
read_load(const upstream_header_t *header, uint32_t *load)
{
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

/* Finds a header that must not come more than once. */
static const upstream_header_t *
find_single(const upstream_response_t *response, const char *name)
{
	const upstream_header_t *found = NULL;
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		if (!forward_name_equals(&response->headers[i], name))
			continue;
		if (found != NULL)
			return (NULL);
		found = &response->headers[i];
	}
	return (found);
}

/* @return a decimal number; negative if there is none */
static double
read_decimal(const upstream_header_t *header)
{
	char copy[DECIMAL_BYTES_MAX + 1];
	char *end;
	double value;

	if (header == NULL || header->value_len == 0 ||
	    header->value_len > DECIMAL_BYTES_MAX)
		return (-1);
	memcpy(copy, header->value, header->value_len);
	copy[header->value_len] = '\0';
	if (strspn(copy, "0123456789.") < header->value_len)
		return (-1);
	value = strtod(copy, &end);
	return (*end == '\0' ? value : -1);
}

static int64_t
read_pause_ms(const upstream_response_t *response)
{
	double pause_s = -1;

	if (response->status == 503)
		pause_s = read_decimal(find_single(response, "retry-after"));
	if (pause_s < 0)
		return (0);
	if (pause_s > PAUSE_MAX_S)
		pause_s = PAUSE_MAX_S;
	return ((int64_t)(pause_s * (double)MS_PER_SEC));
}

/* @return whole milliseconds for which a target stays cold; 0: it names none */
static uint32_t
read_cold_left_ms(const upstream_header_t *header)
{
	double left_ms = read_decimal(header);

	if (left_ms < 0 || left_ms > FLEET_WARMUP_MAX_MS ||
	    memchr(header->value, '.', header->value_len) != NULL)
		return (0);
	return ((uint32_t)left_ms);
}

static int64_t
read_keep_ms(const upstream_header_t *header)
{
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

void
gate_wire_read_signals(const dialect_t *dialect,
    const upstream_response_t *response, gate_signals_t *out)
{
	const dialect_headers_t *names = &dialect->headers;
	const upstream_header_t *leaving =
	    forward_find_header(response, names->leaving);

	out->has_load =
	    read_load(forward_find_header(response, names->load), &out->load);
	out->limit = fleet_limit_encode(
	    read_decimal(find_single(response, names->limit)));
	out->cold_left_ms = 0;
	if (names->warmup_left != NULL)
		out->cold_left_ms = read_cold_left_ms(
		    find_single(response, names->warmup_left));
	out->is_leaving = leaving != NULL && leaving->value_len == 1 &&
	    leaving->value[0] == '1';
	out->pause_ms = read_pause_ms(response);
	out->keep_ms =
	    read_keep_ms(forward_find_header(response, "keep-alive"));
}
