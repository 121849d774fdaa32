#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/error.h"
#include "base/test_hooks.h"
#include "entry/forward.h"
#include "entry/request.h"
#include "proto/entry.pb-c.h"

/* So that a value fits 32 bits. */
#define LOAD_DIGITS_MAX 9

static int
append_caller_headers(const entry_request_t *request, buffer_t *out)
{
	const h2o_headers_t *headers = &request->req->headers;
	keyguard_header_t header;
	int err = TM_OK;
	size_t i;

	for (i = 0; i < headers->size && err == TM_OK; i++) {
		header = forward_get_header(headers, i);
		if ((keyguard_may_forward(&header, &request->key) &&
			!forward_is_caller_hop(headers, header.name)) ||
		    test_hooks_is_off("key_removal"))
			err = forward_append_header(
			    out, header.name, header.value);
	}
	return (err);
}

static int
append_own_headers(
    const entry_request_t *request, int64_t remaining_ms, buffer_t *out)
{
	const h2o_req_t *req = request->req;
	const char *name = request->workspace->name;
	char text[256];
	int len;

	len = snprintf(text, sizeof(text),
	    "x-tm-workspace: %s\r\nx-request-id: %s\r\n"
	    "x-tm-deadline-ms: %lld\r\n",
	    name, request->id, (long long)remaining_ms);
	if (buffer_append(out, text, (size_t)len) != TM_OK)
		return (TM_ENOMEM);
	if (!forward_has_body(req))
		return (TM_OK);
	len = snprintf(
	    text, sizeof(text), "content-length: %zu\r\n", req->entity.len);
	return (buffer_append(out, text, (size_t)len));
}

int
request_encode(
    const entry_request_t *request, int64_t remaining_ms, buffer_t *out)
{
	const h2o_req_t *req = request->req;
	int err = forward_append_request_line(out, req);

	if (err == TM_OK)
		err = append_caller_headers(request, out);
	if (err == TM_OK)
		err = append_own_headers(request, remaining_ms, out);
	if (err == TM_OK)
		err = forward_append_text(out, "\r\n");
	if (err == TM_OK)
		err = buffer_append(out, req->entity.base, req->entity.len);
	return (err);
}

/* Headers of the hop to the target, and those that this VM sets itself. */
static int
may_return_header(
    const upstream_response_t *response, const upstream_header_t *header)
{
	return (forward_may_return(response, header) &&
	    !forward_name_equals(header, "x-request-id") &&
	    !(header->name_len > 5 &&
		strncasecmp(header->name, "x-tm-", 5) == 0));
}

void
request_reply(const entry_request_t *request, h2o_req_t *req,
    const upstream_response_t *response)
{
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		if (may_return_header(response, &response->headers[i]))
			forward_add_header(req, &response->headers[i]);
	}
	http_request_add_header(
	    req, "x-request-id", 12, request->id, strlen(request->id));
	req->res.status = response->status;
	req->res.reason = http_status_get_reason(response->status);
	req->res.content_length =
	    request->is_head ? response->content_length : response->body_len;
	forward_send_body(
	    req, response, upstream_get_budget(request->entry->upstream));
}

static void
answer_to_response(const Tm__Answer *answer, upstream_header_t *headers,
    upstream_response_t *out)
{
	size_t i;

	for (i = 0; i < answer->n_headers; i++) {
		headers[i] = (upstream_header_t){
			.name = answer->headers[i]->name,
			.name_len = strlen(answer->headers[i]->name),
			.value = (const char *)answer->headers[i]->value.data,
			.value_len = answer->headers[i]->value.len,
		};
	}
	*out = (upstream_response_t){
		.status = (int)answer->status,
		.headers = headers,
		.header_count = answer->n_headers,
		.body = answer->body.data,
		.body_len = answer->body.len,
	};
}

static Tm__Answer *
answer_decode(const uint8_t *bytes, size_t len)
{
	Tm__Answer *answer = tm__answer__unpack(NULL, len, bytes);

	if (answer == NULL)
		return (NULL);
	if (answer->status >= 200 && answer->status < 600 &&
	    answer->n_headers <= UPSTREAM_HEADERS_MAX)
		return (answer);
	tm__answer__free_unpacked(answer, NULL);
	return (NULL);
}

int
request_is_valid_answer(const uint8_t *answer, size_t len)
{
	Tm__Answer *msg = answer_decode(answer, len);

	if (msg == NULL)
		return (0);
	tm__answer__free_unpacked(msg, NULL);
	return (1);
}

void
request_reply_stored(const entry_request_t *request, h2o_req_t *req,
    const uint8_t *answer, size_t len)
{
	upstream_header_t headers[UPSTREAM_HEADERS_MAX];
	upstream_response_t response;
	Tm__Answer *msg = answer_decode(answer, len);

	if (msg == NULL) {
		refusal_send(req, REFUSAL_OUTCOME_UNKNOWN, request->id, 0);
		return;
	}
	answer_to_response(msg, headers, &response);
	request_reply(request, req, &response);
	tm__answer__free_unpacked(msg, NULL);
}

static size_t
answer_add_headers(const upstream_response_t *response,
    Tm__AnswerHeader *headers, Tm__AnswerHeader **list, char *names)
{
	const upstream_header_t *from;
	size_t count = 0;
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		from = &response->headers[i];
		if (!may_return_header(response, from))
			continue;
		tm__answer_header__init(&headers[count]);
		headers[count].name = names;
		memcpy(names, from->name, from->name_len);
		names[from->name_len] = '\0';
		names += from->name_len + 1;
		headers[count].value.data = (uint8_t *)(uintptr_t)from->value;
		headers[count].value.len = from->value_len;
		list[count] = &headers[count];
		count++;
	}
	return (count);
}

uint8_t *
request_encode_answer(const upstream_response_t *response, size_t *len)
{
	Tm__Answer answer = TM__ANSWER__INIT;
	Tm__AnswerHeader headers[UPSTREAM_HEADERS_MAX];
	Tm__AnswerHeader *list[UPSTREAM_HEADERS_MAX];
	char names[CLAIM_ANSWER_MAX_BYTES + UPSTREAM_HEADERS_MAX];
	size_t name_bytes = 0;
	uint8_t *out;
	size_t i;

	for (i = 0; i < response->header_count; i++)
		name_bytes += response->headers[i].name_len;
	if (name_bytes > CLAIM_ANSWER_MAX_BYTES)
		return (NULL);
	answer.status = (uint32_t)response->status;
	answer.headers = list;
	answer.n_headers = answer_add_headers(response, headers, list, names);
	answer.body.data = (uint8_t *)(uintptr_t)response->body;
	answer.body.len = response->body_len;
	*len = tm__answer__get_packed_size(&answer);
	if (*len > CLAIM_ANSWER_MAX_BYTES)
		return (NULL);
	out = malloc(*len);
	if (out != NULL)
		tm__answer__pack(&answer, out);
	return (out);
}

int
response_has_header(
    const upstream_response_t *response, const char *name, const char *value)
{
	const upstream_header_t *header = forward_find_header(response, name);

	return (header != NULL && header->value_len == strlen(value) &&
	    memcmp(header->value, value, header->value_len) == 0);
}

/* Reads "NAME=DIGITS" at *at. @return 1 and moves *at behind it */
static int
load_read_field(
    const char **at, const char *end, const char *name, uint32_t *out)
{
	size_t name_len = strlen(name);
	const char *first;
	uint32_t value = 0;

	if ((size_t)(end - *at) <= name_len || memcmp(*at, name, name_len) != 0)
		return (0);
	*at += name_len;
	for (first = *at; *at < end && **at >= '0' && **at <= '9'; (*at)++) {
		if (*at - first == LOAD_DIGITS_MAX)
			return (0);
		value = value * 10 + (uint32_t)(**at - '0');
	}
	*out = value;
	return (*at > first);
}

int
response_read_load(const upstream_response_t *response, uint32_t *running,
    uint32_t *queued, uint32_t *slots)
{
	const upstream_header_t *header =
	    forward_find_header(response, "x-tm-load");
	const char *at;
	const char *end;

	if (header == NULL)
		return (0);
	at = header->value;
	end = at + header->value_len;
	return (load_read_field(&at, end, "running=", running) &&
	    load_read_field(&at, end, ";queued=", queued) &&
	    load_read_field(&at, end, ";slots=", slots) && at == end);
}
