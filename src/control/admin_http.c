#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "control/admin_internal.h"
#include "http/http_server.h"

#define BEARER	      "Bearer "
#define BEARER_BYTES  7
#define LOCATION_SIZE 2048

static int
admin_get_status(int err)
{
	switch (err) {
	case TM_EINVAL:
	case TM_EFORMAT:
		return (400);
	case TM_EAUTH:
		return (401);
	case TM_ENOENT:
		return (404);
	case TM_EEXIST:
	case TM_EREFERENCE:
	case TM_EINUSE:
		return (409);
	case TM_EVERSION:
		return (412);
	case TM_ETOOBIG:
		return (413);
	case TM_ENOTLEADER:
	case TM_EFULL:
	case TM_EUNAVAIL:
		return (503);
	case TM_ETIMEDOUT:
		return (504);
	default:
		return (500);
	}
}

void
admin_send(h2o_req_t *req, int status, json_t *body)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	size_t len = text != NULL ? strlen(text) : 0;
	char *copy = h2o_mem_alloc_pool(&req->pool, len + 2);

	snprintf(copy, len + 2, "%s\n", text != NULL ? text : "");
	free(text);
	json_decref(body);
	req->res.status = status;
	req->res.reason = http_status_get_reason(status);
	req->res.content_length = len + 1;
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    NULL, H2O_STRLIT("application/json"));
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CACHE_CONTROL,
	    NULL, H2O_STRLIT("no-store"));
	http_request_send_body(req, copy, len + 1);
}

void
admin_send_error(h2o_req_t *req, int err, const char *reason, json_t *more)
{
	json_t *body =
	    json_pack("{s:s, s:s, s:s}", "error", error_get_text(err), "reason",
		reason, "remedy", error_get_remedy(err));

	if (body != NULL && more != NULL)
		json_object_update(body, more);
	json_decref(more);
	admin_send(req, admin_get_status(err), body);
}

void
admin_send_problems(h2o_req_t *req, const json_check_t *check)
{
	admin_send_error(req, TM_EINVAL, "the request has problems",
	    json_pack("{s:o}", "problems", json_check_to_json(check)));
}

void
admin_redirect(h2o_req_t *req, const control_vm_t *leader, const char *scheme)
{
	char location[LOCATION_SIZE];
	int len;

	if (leader == NULL) {
		admin_send_error(req, TM_EUNAVAIL,
		    "no leader that a majority acknowledges", NULL);
		return;
	}
	len = snprintf(location, sizeof(location), "%s://%s:%u%.*s", scheme,
	    leader->admin_ip, leader->admin_port, (int)req->path.len,
	    req->path.base);
	if (len >= (int)sizeof(location)) {
		admin_send_error(req, TM_ETOOBIG, "path too long", NULL);
		return;
	}
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_LOCATION, NULL,
	    h2o_strdup(&req->pool, location, (size_t)len).base, (size_t)len);
	admin_send(req, 307,
	    json_pack("{s:s, s:s}", "leader", leader->name, "remedy",
		"follow the redirect to the leader"));
}

int
admin_get_header(h2o_req_t *req, const char *name, char *out, size_t out_size)
{
	ssize_t at =
	    h2o_find_header_by_str(&req->headers, name, strlen(name), SIZE_MAX);
	h2o_iovec_t value;

	if (at < 0)
		return (TM_ENOENT);
	value = req->headers.entries[at].value;
	if (value.len >= out_size)
		return (TM_ETOOBIG);
	memcpy(out, value.base, value.len);
	out[value.len] = '\0';
	return (TM_OK);
}

int
admin_get_query(
    const h2o_req_t *req, const char *name, char *out, size_t out_size)
{
	size_t name_len = strlen(name);
	const char *at;
	const char *end = req->path.base + req->path.len;
	const char *stop;

	if (req->query_at == SIZE_MAX)
		return (TM_ENOENT);
	for (at = req->path.base + req->query_at + 1; at < end; at = stop + 1) {
		stop = memchr(at, '&', (size_t)(end - at));
		if (stop == NULL)
			stop = end;
		if ((size_t)(stop - at) <= name_len || at[name_len] != '=' ||
		    memcmp(at, name, name_len) != 0)
			continue;
		at += name_len + 1;
		if ((size_t)(stop - at) >= out_size)
			return (TM_ETOOBIG);
		memcpy(out, at, (size_t)(stop - at));
		out[stop - at] = '\0';
		return (TM_OK);
	}
	return (TM_ENOENT);
}

int
admin_parse_number(const char *text, uint64_t *out)
{
	char *end;

	if (text[0] < '0' || text[0] > '9' || strlen(text) > 18)
		return (TM_EINVAL);
	*out = strtoull(text, &end, 10);
	return (*end == '\0' ? TM_OK : TM_EINVAL);
}

/* Compares with the token of each operator, in constant time and without
 * stopping at a match. */
const control_operator_t *
admin_authenticate(const control_settings_t *settings, h2o_req_t *req)
{
	ssize_t at =
	    h2o_find_header(&req->headers, H2O_TOKEN_AUTHORIZATION, SIZE_MAX);
	const control_operator_t *found = NULL;
	uint8_t digest[SHA256_DIGEST_LENGTH];
	h2o_iovec_t value;
	int i;

	if (at < 0)
		return (NULL);
	value = req->headers.entries[at].value;
	if (value.len <= BEARER_BYTES ||
	    memcmp(value.base, BEARER, BEARER_BYTES) != 0)
		return (NULL);
	SHA256((const unsigned char *)value.base + BEARER_BYTES,
	    value.len - BEARER_BYTES, digest);
	for (i = 0; i < settings->operator_count; i++) {
		if (CRYPTO_memcmp(digest, settings->operators[i].token_sha256,
			sizeof(digest)) == 0)
			found = &settings->operators[i];
	}
	return (found);
}
