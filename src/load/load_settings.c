#include "load/load_settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

static const char *const arrival_words[] = { "poisson", "even", NULL };
static const char *const id_words[] = { "fresh", "repeated", "none", NULL };
static const char *const method_words[] = { "GET", "HEAD", "POST", "PUT",
	"PATCH", "DELETE", "OPTIONS", NULL };

static const char *
check_path(json_node_t *node, const char *field, const char *path)
{
	if (path[0] != '\0' && (path[0] != '/' || strchr(path, ' ') != NULL))
		json_node_add_error(node, field, path,
		    "a path that starts with / and has no spaces",
		    "correct the path");
	return (path);
}

static void
read_paths(json_node_t *node, load_workspace_t *w)
{
	json_node_t item;
	int i;

	w->path_count =
	    json_opt_list(node, "paths", 1, LOAD_PATHS_MAX, "paths");
	for (i = 0; i < w->path_count; i++) {
		json_list_get_object(node, "paths", i, &item);
		w->paths[i].path = check_path(
		    &item, "path", json_need_text(&item, "path", 1, 1024));
		w->paths[i].weight =
		    json_opt_real(&item, "weight", 0.000001, 1e9, "", 1);
		json_node_finish(&item);
	}
	if (w->path_count == 0) {
		w->path_count = 1;
		w->paths[0] = (load_path_t){ .path = "/", .weight = 1 };
	}
	for (i = 0; i < w->path_count; i++)
		w->weight_sum += w->paths[i].weight;
}

static void
read_burst(json_node_t *node, load_workspace_t *w)
{
	json_node_t burst;

	if (!json_opt_object(node, "burst", &burst))
		return;
	w->burst_period_ms =
	    (int)json_need_int(&burst, "period_ms", 1, 3600000, "ms");
	w->burst_on_ms =
	    (int)json_need_int(&burst, "on_ms", 1, w->burst_period_ms, "ms");
	w->burst_factor = json_need_real(&burst, "factor", 1, 1000, "");
	json_node_finish(&burst);
}

static void
read_headers(json_node_t *node, load_workspace_t *w)
{
	const char *text;
	int i;

	w->header_count =
	    json_opt_list(node, "headers", 0, LOAD_HEADERS_MAX, "header lines");
	for (i = 0; i < w->header_count; i++) {
		text = json_list_get_text(node, "headers", i, 3, 512);
		w->headers[i] = text;
		if (text[0] != '\0' && strstr(text, ": ") == NULL)
			json_node_add_error(node, "headers", text,
			    "lines like \"Name: value\"", "add the colon");
	}
}

static void
read_workspace(json_node_t *node, load_workspace_t *w)
{
	w->name = json_need_name(node, "name");
	w->key = json_opt_text(node, "key", 1, 512, NULL);
	w->host = json_opt_text(node, "host", 1, 255, "load.test");
	w->method =
	    method_words[json_opt_enum(node, "method", method_words, 0)];
	w->rate_per_s = json_need_real(node, "rate_per_s", 0.01, 1e6, "/s");
	w->arrivals = (load_arrivals_t)json_opt_enum(
	    node, "arrivals", arrival_words, LOAD_ARRIVALS_POISSON);
	read_burst(node, w);
	read_paths(node, w);
	w->body_bytes = (int)json_opt_int(
	    node, "body_bytes", 0, 4 * 1024 * 1024, "bytes", 0);
	w->ids = (load_ids_t)json_opt_enum(
	    node, "request_ids", id_words, LOAD_IDS_FRESH);
	w->repeat_share = json_opt_real(node, "repeat_share", 0, 1, "", 0.1);
	w->deadline_ms =
	    (int)json_opt_int(node, "deadline_ms", 1, 3600000, "ms", 1000);
	read_headers(node, w);
	json_node_finish(node);
}

static void
read_workspaces(json_node_t *root, load_settings_t *s)
{
	json_node_t node;
	int i;

	s->workspace_count = json_need_list(
	    root, "workspaces", 0, LOAD_WORKSPACES_MAX, "workspaces");
	s->workspaces =
	    calloc((size_t)s->workspace_count + 1, sizeof(*s->workspaces));
	if (s->workspaces == NULL) {
		s->workspace_count = 0;
		json_node_add_error(root, "workspaces", "memory exhausted",
		    "a list that fits into memory", "list fewer workspaces");
	}
	for (i = 0; i < s->workspace_count; i++) {
		json_list_get_object(root, "workspaces", i, &node);
		read_workspace(&node, &s->workspaces[i]);
	}
}

int
load_settings_read(json_check_t *check, const char *file, load_settings_t *s)
{
	json_node_t root;
	int i;

	memset(s, 0, sizeof(*s));
	json_check_load_file(check, file, &root);
	s->entry_count = json_need_list(
	    &root, "entries", 1, LOAD_ENTRIES_MAX, "entry addresses");
	for (i = 0; i < s->entry_count; i++)
		json_list_get_address(&root, "entries", i, &s->entries[i]);
	s->duration_ms = json_need_int(&root, "duration_ms", 1, 86400000, "ms");
	s->warmup_ms = json_opt_int(&root, "warmup_ms", 0, 3600000, "ms", 0);
	s->drain_ms = json_opt_int(&root, "drain_ms", 0, 600000, "ms", 5000);
	s->timeout_ms =
	    (int)json_opt_int(&root, "timeout_ms", 1, 3600000, "ms", 10000);
	s->max_connections = (int)json_opt_int(
	    &root, "max_connections", 1, 50000, "connections", 5000);
	s->idle_connections = (int)json_opt_int(
	    &root, "idle_connections", 0, 50000, "connections", 0);
	s->verify = json_opt_bool(&root, "verify", 1);
	s->expect_ok_share =
	    json_opt_real(&root, "expect_ok_share", 0, 1, "", 0);
	s->record = json_opt_text(&root, "record", 1, 4096, NULL);
	s->report = json_opt_text(&root, "report", 1, 4096, NULL);
	s->seed = (uint64_t)json_opt_int(
	    &root, "seed", 0, INT64_MAX, "", clock_wall_ms());
	read_workspaces(&root, s);
	json_node_finish(&root);
	return (json_check_get_error_count(check));
}

void
load_settings_release(load_settings_t *s)
{
	free(s->workspaces);
	s->workspaces = NULL;
}
