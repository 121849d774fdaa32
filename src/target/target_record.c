#include "target/target_record.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "target/target_http.h"

int
target_record_open(target_record_t *record, const char *path)
{
	if (path == NULL)
		return (TM_OK);
	record->out = fopen(path, "ae");
	return (record->out != NULL ? TM_OK : TM_EIO);
}

static void
write_line(target_record_t *record, const json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);

	if (text != NULL)
		fprintf(record->out, "%s\n", text);
	fflush(record->out);
	free(text);
}

/* Bytes that are no UTF-8 are replaced, so that no request is left out. */
static json_t *
make_text(h2o_iovec_t bytes)
{
	json_t *text = json_stringn(bytes.len > 0 ? bytes.base : "", bytes.len);
	char *copy;
	size_t i;

	if (text != NULL)
		return (text);
	copy = malloc(bytes.len + 1);
	if (copy == NULL)
		return (json_string(""));
	for (i = 0; i < bytes.len; i++)
		copy[i] = bytes.base[i] & (char)0x80 ? '?' : bytes.base[i];
	text = json_stringn(copy, bytes.len);
	free(copy);
	return (text);
}

static int
has_marker(const target_record_t *record, h2o_iovec_t bytes)
{
	size_t len = strlen(record->marker);

	return (bytes.len > 0 &&
	    memmem(bytes.base, bytes.len, record->marker, len) != NULL);
}

static int
find_marker(const target_record_t *record, h2o_req_t *req)
{
	size_t i;

	if (record->marker == NULL)
		return (0);
	if (has_marker(record, req->input.path))
		return (1);
	for (i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		if (has_marker(record, *h->name) ||
		    has_marker(record, h->value))
			return (1);
	}
	return (0);
}

static json_t *
list_headers(h2o_req_t *req)
{
	json_t *names = json_array();
	size_t i;

	for (i = 0; i < req->headers.size; i++)
		json_array_append_new(
		    names, make_text(*req->headers.entries[i].name));
	return (names);
}

void
target_record_arrival(target_record_t *record, h2o_req_t *req, int64_t now_ms)
{
	json_t *line;

	if (record->out == NULL || !record->with_arrivals)
		return;
	line = json_pack("{s:s, s:I, s:s, s:I, s:o}", "target", record->id,
	    "incarnation", (json_int_t)record->incarnation, "phase", "arrival",
	    "arrival_ms", (json_int_t)now_ms, "request_id",
	    make_text(target_http_get_header(req, "x-request-id")));
	if (line == NULL)
		return;
	write_line(record, line);
	json_decref(line);
}

json_t *
target_record_start(
    target_record_t *record, h2o_req_t *req, int64_t arrived_ms, int64_t now_ms)
{
	json_t *line;

	if (record->out == NULL)
		return (NULL);
	line = json_pack(
	    "{s:s, s:I, s:I, s:I, s:I, s:o, s:o, s:o, s:o, s:o, s:b}", "target",
	    record->id, "incarnation", (json_int_t)record->incarnation, "run",
	    (json_int_t)++record->next_run, "arrival_ms",
	    (json_int_t)arrived_ms, "start_ms", (json_int_t)now_ms, "workspace",
	    make_text(target_http_get_header(req, "x-tm-workspace")),
	    "request_id",
	    make_text(target_http_get_header(req, "x-request-id")), "method",
	    make_text(req->input.method), "path", make_text(req->input.path),
	    "headers", list_headers(req), "marker", find_marker(record, req));
	if (line != NULL && record->with_starts) {
		json_object_set_new(line, "phase", json_string("start"));
		write_line(record, line);
	}
	return (line);
}

void
target_record_end(target_record_t *record, json_t *line, int64_t now_ms,
    const char *outcome, int status)
{
	if (line == NULL)
		return;
	json_object_set_new(line, "phase", json_string("end"));
	json_object_set_new(line, "end_ms", json_integer(now_ms));
	json_object_set_new(line, "outcome", json_string(outcome));
	json_object_set_new(line, "status", json_integer(status));
	write_line(record, line);
	json_decref(line);
}
