#include "ctl/ctl_route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/error.h"
#include "ctl/ctl_print.h"

#define QUERY_MAX_BYTES 8192
#define VALUE_MAX_BYTES 3200
#define CELL_MAX_BYTES	64
#define PERCENT		100.0

static int
fail(const char *what, const char *found, const char *remedy)
{
	fprintf(stderr, "tmctl: %s: found \"%s\"; remedy: %s\n", what, found,
	    remedy);
	return (TM_EINVAL);
}

int
ctl_route_check(const ctl_options_t *o)
{
	const ctl_route_options_t *route = &o->route;

	if (route->host == NULL || route->host[0] == '\0')
		return (fail("--host", "", "give the host of the request"));
	if (route->path == NULL || route->path[0] != '/')
		return (fail("--path", route->path != NULL ? route->path : "",
		    "give the path of the request, which begins with /"));
	if (strlen(route->host) > 255 || strlen(route->path) > 1024)
		return (fail("--host or --path", "a long text",
		    "use at most 255 and 1024 characters"));
	if (route->bytes < 0)
		return (fail("--bytes", "a negative number",
		    "give the size of the request's body"));
	return (TM_OK);
}

static int64_t
get_int(const json_t *object, const char *field)
{
	return (json_integer_value(json_object_get(object, field)));
}

static double
get_real(const json_t *object, const char *field)
{
	return (json_number_value(json_object_get(object, field)));
}

static int
is_set(const json_t *object, const char *field)
{
	return (json_is_true(json_object_get(object, field)));
}

static void
print_gate(const json_t *gate)
{
	printf("gate %s in %s: configuration %lld%s, table of term %lld and "
	       "sequence %lld, %s, ",
	    ctl_get_text(gate, "node"), ctl_get_text(gate, "data_centre"),
	    (long long)get_int(gate, "config_version"),
	    is_set(gate, "config_confirmed") ? "" : " (not confirmed lately)",
	    (long long)get_int(gate, "table_term"),
	    (long long)get_int(gate, "table_sequence"),
	    is_set(gate, "has_leader") ? "a leader answers"
				       : "no leader answers");
	if (get_int(gate, "lease_age_ms") >= 0)
		printf("last lease %lld ms ago\n",
		    (long long)get_int(gate, "lease_age_ms"));
	else
		printf("no lease so far\n");
}

static void
print_route(const json_t *route)
{
	printf("route %s: %s%s, priority %lld, %s, at most %lld targets, "
	       "timeout %lld ms, soft deadline %lld ms",
	    ctl_get_text(route, "name"), ctl_get_text(route, "host"),
	    ctl_get_text(route, "prefix"),
	    (long long)get_int(route, "priority"),
	    is_set(route, "may_repeat") ? "may be repeated"
					: "may not be repeated",
	    (long long)get_int(route, "attempts_max"),
	    (long long)get_int(route, "timeout_ms"),
	    (long long)get_int(route, "soft_deadline_ms"));
	if (json_object_get(route, "cost_ms") != NULL)
		printf(", expected cost %.0f ms", get_real(route, "cost_ms"));
	printf("%s\n", is_set(route, "upload") ? ", upload" : "");
}

static void
print_workspace(const json_t *workspace)
{
	if (ctl_get_text(workspace, "name")[0] == '\0') {
		printf("workspace: none; key %s\n",
		    ctl_get_text(workspace, "key"));
		return;
	}
	printf("workspace %s: key %s%s, priority %lld",
	    ctl_get_text(workspace, "name"), ctl_get_text(workspace, "key"),
	    is_set(workspace, "key_lease")
		? ""
		: ", but not confirmed lately; the request would be held",
	    (long long)get_int(workspace, "priority"));
	if (json_object_get(workspace, "rate_per_s") != NULL)
		printf(", rate %.6g/s, %s", get_real(workspace, "rate_per_s"),
		    is_set(workspace, "near_rate_limit")
			? "near its limit: each request needs a permit"
			: "not near its limit");
	printf("\n");
}

static void
set_cell(json_t *row, const char *name, const char *text)
{
	json_object_set_new(row, name, json_string(text));
}

static void
add_load(json_t *row, const json_t *candidate)
{
	char text[CELL_MAX_BYTES] = "unknown";

	if (json_object_get(candidate, "load_age_ms") != NULL)
		snprintf(text, sizeof(text), "%lld/%lld, %lld ms ago",
		    (long long)get_int(candidate, "load"),
		    (long long)get_int(candidate, "slots"),
		    (long long)get_int(candidate, "load_age_ms"));
	set_cell(row, "load", text);
	snprintf(text, sizeof(text), "unknown");
	if (json_object_get(candidate, "expected_ms") != NULL)
		snprintf(text, sizeof(text), "%.0f ms",
		    get_real(candidate, "expected_ms"));
	set_cell(row, "expected", text);
	snprintf(text, sizeof(text), "%.2f", get_real(candidate, "slowness"));
	set_cell(row, "slowness", text);
}

static void
add_limit(json_t *row, const json_t *candidate)
{
	char text[CELL_MAX_BYTES] = "none";

	if (json_object_get(candidate, "limit_per_s") != NULL)
		snprintf(text, sizeof(text), "%.6g/s",
		    get_real(candidate, "limit_per_s"));
	set_cell(row, "limit", text);
	snprintf(text, sizeof(text), "warm");
	if (json_object_get(candidate, "warmup_per_s") != NULL)
		snprintf(text, sizeof(text), "%lld ms, %.6g/s",
		    (long long)get_int(candidate, "cold_left_ms"),
		    get_real(candidate, "warmup_per_s"));
	else if (get_int(candidate, "cold_left_ms") > 0)
		snprintf(text, sizeof(text), "%lld ms",
		    (long long)get_int(candidate, "cold_left_ms"));
	set_cell(row, "warm_up", text);
}

static json_t *
make_row(const json_t *candidate)
{
	char text[CELL_MAX_BYTES];
	json_t *row = json_object();

	set_cell(row, "target", ctl_get_text(candidate, "target"));
	set_cell(row, "data_centre", ctl_get_text(candidate, "data_centre"));
	snprintf(text, sizeof(text), "%s%s", ctl_get_text(candidate, "verdict"),
	    is_set(candidate, "avoided") ? ", avoided" : "");
	set_cell(row, "verdict", text);
	snprintf(text, sizeof(text), "%.0f %%",
	    PERCENT * get_real(candidate, "chance"));
	set_cell(row, "chance", text);
	add_load(row, candidate);
	add_limit(row, candidate);
	return (row);
}

static void
print_candidates(const json_t *service)
{
	const json_t *candidates = json_object_get(service, "candidates");
	json_t *rows = json_array();
	json_t *candidate;
	size_t i;

	json_array_foreach(candidates, i, candidate)
	{
		json_array_append_new(rows, make_row(candidate));
	}
	if (json_array_size(rows) > 0)
		ctl_print_value(stdout, rows);
	json_decref(rows);
}

static void
print_counts(const json_t *service)
{
	static const char *const fields[] = { "usable", "avoided", "ejected",
		"evacuated", "waiting", "leaving" };
	const json_t *counts = json_object_get(service, "targets");
	size_t i;

	printf("targets: %lld", (long long)get_int(counts, "total"));
	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		printf(", %s %lld", fields[i],
		    (long long)get_int(counts, fields[i]));
	printf("; %s: %lld\n",
	    is_set(service, "prefers_part") ? "preferred by this gate"
					    : "candidates",
	    (long long)get_int(service, "candidates_total"));
}

static void
print_service(const json_t *service)
{
	const json_t *admission = json_object_get(service, "admission");
	const char *target = ctl_get_text(service, "target");

	printf("\nservice %s: %.6g %% of the requests (weight %.6g), %s\n",
	    ctl_get_text(service, "service"),
	    PERCENT * get_real(service, "share"), get_real(service, "weight"),
	    is_set(service, "evacuated") ? "evacuated" : "not evacuated");
	printf("admission: %.6g %% of these requests, %.6g %% of class %lld: "
	       "%s\n",
	    PERCENT * get_real(admission, "admitted"),
	    PERCENT * get_real(admission, "class_share"),
	    (long long)get_int(admission, "class"),
	    ctl_get_text(admission, "reason"));
	print_counts(service);
	printf("outcome: %s", ctl_get_text(service, "outcome"));
	if (target[0] != '\0')
		printf("; most likely %s", target);
	if (get_int(service, "pause_ms") > 0)
		printf(" for %lld ms", (long long)get_int(service, "pause_ms"));
	printf("\n");
	print_candidates(service);
}

static ctl_exit_t
print_answer(const ctl_options_t *o, const ctl_result_t *result)
{
	json_t *answer = json_loadb(result->body, result->body_len, 0, NULL);
	json_t *service;
	size_t i;

	if (json_object_get(answer, "gate") == NULL) {
		fprintf(stderr,
		    "tmctl: the answer is not an explanation; remedy: name the "
		    "metrics listener of a tm-gate of this version with "
		    "--server\n");
		json_decref(answer);
		return (CTL_EXIT_REFUSED);
	}
	if (o->as_json) {
		printf("%s\n", result->body);
		json_decref(answer);
		return (CTL_EXIT_OK);
	}
	print_gate(json_object_get(answer, "gate"));
	print_route(json_object_get(answer, "route"));
	print_workspace(json_object_get(answer, "workspace"));
	json_array_foreach(json_object_get(answer, "services"), i, service)
	{
		print_service(service);
	}
	json_decref(answer);
	return (CTL_EXIT_OK);
}

ctl_exit_t
ctl_route_run_explain(ctl_api_t *api, const ctl_options_t *o)
{
	char query[QUERY_MAX_BYTES];
	char host[VALUE_MAX_BYTES / 4];
	char path[VALUE_MAX_BYTES];
	char method[CELL_MAX_BYTES];
	ctl_call_t call = { .method = "GET", .path = query, .if_version = -1 };
	ctl_result_t result;
	ctl_exit_t exit;

	if (api->server_count != 1) {
		fail("server", api->server_count == 0 ? "none" : "several",
		    "name the metrics listener of one tm-gate with --server");
		return (CTL_EXIT_USAGE);
	}
	if (o->route.key_file != NULL &&
	    ctl_api_read_token(api, o->route.key_file) != TM_OK) {
		fail("--key-file", o->route.key_file,
		    "give a readable file with the key of 1 to 254 printable "
		    "characters on its first line");
		return (CTL_EXIT_USAGE);
	}
	ctl_escape(o->route.host, host, sizeof(host));
	ctl_escape(o->route.path, path, sizeof(path));
	ctl_escape(o->route.method, method, sizeof(method));
	snprintf(query, sizeof(query),
	    "/v1/explain?host=%s&path=%s&method=%s&bytes=%lld", host, path,
	    method, (long long)o->route.bytes);
	ctl_api_send(api, &call, &result);
	exit = result.exit;
	if (exit == CTL_EXIT_OK)
		exit = print_answer(o, &result);
	else
		ctl_print_failure(o, &call, &result);
	free(result.body);
	return (exit);
}
