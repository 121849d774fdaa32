#include "entry/forward.h"

#include <string.h>
#include <strings.h>

#include "base/error.h"
#include "http/http_server.h"

int
forward_append_text(buffer_t *out, const char *text)
{
	return (buffer_append(out, text, strlen(text)));
}

int
forward_append_header(
    buffer_t *out, keyguard_text_t name, keyguard_text_t value)
{
	int err = buffer_append(out, name.base, name.len);

	if (err == TM_OK)
		err = forward_append_text(out, ": ");
	if (err == TM_OK)
		err = buffer_append(out, value.base, value.len);
	return (err == TM_OK ? forward_append_text(out, "\r\n") : err);
}

int
forward_append_request_line(buffer_t *out, const h2o_req_t *req)
{
	const h2o_iovec_t *host = &req->input.authority;
	int err = buffer_append(out, req->method.base, req->method.len);

	if (err == TM_OK)
		err = forward_append_text(out, " ");
	if (err == TM_OK)
		err = buffer_append(
		    out, req->input.path.base, req->input.path.len);
	if (err == TM_OK)
		err = forward_append_text(out, " HTTP/1.1\r\n");
	return (err == TM_OK
		? forward_append_header(out, (keyguard_text_t){ "host", 4 },
		      (keyguard_text_t){ host->base, host->len })
		: err);
}

keyguard_header_t
forward_get_header(const h2o_headers_t *headers, size_t at)
{
	const h2o_header_t *header = &headers->entries[at];

	return ((keyguard_header_t){
	    .name = { header->name->base, header->name->len },
	    .value = { header->value.base, header->value.len },
	});
}

int
forward_is_caller_hop(const h2o_headers_t *headers, keyguard_text_t name)
{
	keyguard_header_t header;
	size_t i;

	for (i = 0; i < headers->size; i++) {
		header = forward_get_header(headers, i);
		if (h2o_memis(header.name.base, header.name.len,
			H2O_STRLIT("connection")) &&
		    keyguard_is_nominated(header.value, name))
			return (1);
	}
	return (0);
}

int
forward_has_body(const h2o_req_t *req)
{
	return (req->entity.len > 0 ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")) ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT")));
}

int
forward_name_equals(const upstream_header_t *header, const char *name)
{
	return (header->name_len == strlen(name) &&
	    strncasecmp(header->name, name, header->name_len) == 0);
}

const upstream_header_t *
forward_find_header(const upstream_response_t *response, const char *name)
{
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		if (forward_name_equals(&response->headers[i], name))
			return (&response->headers[i]);
	}
	return (NULL);
}

/* @return 1 for a header that Connection restricts to the target's hop */
static int
is_target_hop(const upstream_response_t *response, keyguard_text_t name)
{
	const upstream_header_t *header;
	keyguard_text_t value;
	size_t i;

	for (i = 0; i < response->header_count; i++) {
		header = &response->headers[i];
		value = (keyguard_text_t){ header->value, header->value_len };
		if (forward_name_equals(header, "connection") &&
		    keyguard_is_nominated(value, name))
			return (1);
	}
	return (0);
}

int
forward_may_return(
    const upstream_response_t *response, const upstream_header_t *header)
{
	keyguard_text_t name = { header->name, header->name_len };

	return (!keyguard_is_hop_by_hop(name) &&
	    !is_target_hop(response, name) &&
	    !forward_name_equals(header, "server") &&
	    !forward_name_equals(header, "date"));
}

void
forward_add_header(h2o_req_t *req, const upstream_header_t *header)
{
	h2o_iovec_t name =
	    h2o_strdup(&req->pool, header->name, header->name_len);

	h2o_strtolower(name.base, name.len);
	http_request_add_header(
	    req, name.base, name.len, header->value, header->value_len);
}

void
forward_send_body(h2o_req_t *req, const upstream_response_t *response,
    response_budget_t *budget)
{
	if (response->owned_body == NULL ||
	    response->body_len <= UPSTREAM_KEPT_BODY_BYTES)
		http_request_send_body(
		    req, (const char *)response->body, response->body_len);
	else
		http_request_send_buffer(
		    req, upstream_response_take_body(response), budget);
}
