#include "ctl/ctl_fleet.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/error.h"
#include "base/node_defs.h"
#include "ctl/ctl_print.h"
#include "settings/json_check.h"

#define ADDRESS_MAX    32
#define PATH_MAX_BYTES 1024

/* VMs to ask, with their names as far as control knows them. */
typedef struct fleet_vms {
	int count;
	struct sockaddr_in address[CTL_VMS_MAX];
	char name[CTL_VMS_MAX][ADDRESS_MAX + NAME_MAX_BYTES];
	ctl_result_t results[CTL_VMS_MAX];
	json_t *answer[CTL_VMS_MAX]; /* NULL: no answer */
} fleet_vms_t;

/* Keeps the VMs in the order of their names. */
static void
vms_add(fleet_vms_t *vms, const char *name, const char *address)
{
	const char *shown = name != NULL ? name : address;
	struct sockaddr_in addr;
	int at = vms->count;

	if (vms->count == CTL_VMS_MAX ||
	    json_parse_address(address, 0, &addr) != TM_OK)
		return;
	for (; at > 0 && strcmp(vms->name[at - 1], shown) > 0; at--) {
		vms->address[at] = vms->address[at - 1];
		memcpy(vms->name[at], vms->name[at - 1], sizeof(vms->name[0]));
	}
	vms->address[at] = addr;
	snprintf(vms->name[at], sizeof(vms->name[0]), "%s", shown);
	vms->count++;
}

static void
vms_ask(ctl_api_t *api, fleet_vms_t *vms, const char *path, int with_token)
{
	int i;

	ctl_api_ask_all(
	    api, vms->address, vms->count, path, with_token, vms->results);
	for (i = 0; i < vms->count; i++) {
		if (vms->results[i].exit == CTL_EXIT_OK)
			vms->answer[i] = json_loadb(vms->results[i].body,
			    vms->results[i].body_len, 0, NULL);
		free(vms->results[i].body);
	}
}

static void
vms_free(fleet_vms_t *vms)
{
	int i;

	for (i = 0; i < vms->count; i++)
		json_decref(vms->answer[i]);
	free(vms);
}

static json_int_t
get_int(const json_t *object, const char *field)
{
	return (json_integer_value(json_object_get(object, field)));
}

/* --entry replaces what the directory says. */
static void
add_entries(const ctl_api_t *api, const json_t *status, fleet_vms_t *vms)
{
	char address[ADDRESS_MAX];
	char ip[INET_ADDRSTRLEN];
	json_t *node;
	size_t i;
	int k;

	for (k = 0; k < api->entry_count; k++) {
		inet_ntop(AF_INET, &api->entries[k].sin_addr, ip, sizeof(ip));
		snprintf(address, sizeof(address), "%s:%u", ip,
		    ntohs(api->entries[k].sin_port));
		vms_add(vms, NULL, address);
	}
	if (api->entry_count > 0)
		return;
	json_array_foreach(json_object_get(status, "nodes"), i, node)
	{
		snprintf(address, sizeof(address), "%s:%d",
		    ctl_get_text(node, "ops_ip"),
		    (int)get_int(node, "ops_port"));
		vms_add(vms, ctl_get_text(node, "name"), address);
	}
}

/* Asks control, which may be down as long as --entry is given. */
static ctl_exit_t
ask_control(ctl_api_t *api, const ctl_options_t *o, json_t **status)
{
	ctl_call_t call = {
		.method = "GET", .path = "/v1/status", .if_version = -1
	};
	ctl_result_t result;

	*status = NULL;
	if (api->server_count == 0)
		return (CTL_EXIT_OK);
	ctl_api_send(api, &call, &result);
	if (result.exit == CTL_EXIT_OK)
		*status = json_loadb(result.body, result.body_len, 0, NULL);
	else
		ctl_print_failure(o, &call, &result);
	free(result.body);
	return (api->entry_count > 0 ? CTL_EXIT_OK : result.exit);
}

/* Rows of all control VMs; *newest is the status with the highest term, and
 * that of the leader if it answers. */
static json_t *
describe_control(const fleet_vms_t *vms, const json_t **newest)
{
	json_t *rows = json_array();
	const json_t *answer;
	int is_newer;
	int i;

	for (i = 0; i < vms->count; i++) {
		answer = vms->answer[i];
		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:I, s:I, s:b, s:i}", "name",
			vms->name[i], "state",
			answer != NULL ? ctl_get_text(answer, "role")
				       : "no answer",
			"term", get_int(answer, "term"), "version",
			get_int(answer, "version"), "voter",
			json_is_true(json_object_get(answer, "voter")),
			"subscribers", (int)get_int(answer, "subscribers")));
		if (answer == NULL)
			continue;
		is_newer = *newest == NULL ||
		    get_int(answer, "term") > get_int(*newest, "term") ||
		    (get_int(answer, "term") == get_int(*newest, "term") &&
			json_is_true(json_object_get(answer, "ready")));
		if (is_newer)
			*newest = answer;
	}
	return (rows);
}

static json_t *
describe_entries(const fleet_vms_t *vms)
{
	json_t *rows = json_array();
	const json_t *answer;
	const json_t *groups;
	int i;

	for (i = 0; i < vms->count; i++) {
		answer = vms->answer[i];
		groups = json_object_get(answer, "groups");
		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I}",
			"name",
			answer != NULL ? ctl_get_text(answer, "node")
				       : vms->name[i],
			"data_centre", ctl_get_text(answer, "data_centre"),
			"state",
			answer != NULL ? ctl_get_text(answer, "state")
				       : "no answer",
			"config_index", get_int(answer, "config_index"),
			"tick_age_ms", get_int(answer, "tick_age_ms"),
			"in_flight", get_int(answer, "in_flight"), "holder_of",
			get_int(groups, "holder_of"), "ready_for",
			get_int(groups, "ready_for"), "leader_of",
			get_int(groups, "leader_of")));
	}
	return (rows);
}

/* Shards with fewer ready holders than the group has seats. */
static json_t *
describe_short_groups(const json_t *status)
{
	json_t *rows = json_array();
	json_t *group;
	const json_t *holders;
	size_t i;

	json_array_foreach(json_object_get(status, "groups"), i, group)
	{
		holders = json_object_get(group, "holders");
		if (get_int(group, "ready") >=
		    (json_int_t)json_array_size(holders))
			continue;
		json_array_append_new(rows,
		    json_pack("{s:I, s:I, s:I, s:O, s:O}", "shard",
			get_int(group, "shard"), "epoch",
			get_int(group, "epoch"), "ready",
			get_int(group, "ready"), "quarantine",
			json_object_get(group, "quarantine"), "holders",
			json_object_get(group, "holders")));
	}
	return (rows);
}

static json_t *
find_row(json_t *rows, const char *field, const char *value)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		if (strcmp(ctl_get_text(row, field), value) == 0)
			return (row);
	}
	return (NULL);
}

static int
is_newer_table(const json_t *a, const json_t *b)
{
	if (get_int(a, "table_term") != get_int(b, "table_term"))
		return (get_int(a, "table_term") > get_int(b, "table_term"));
	return (get_int(a, "table_sequence") > get_int(b, "table_sequence"));
}

static void
add_service(json_t *rows, const json_t *service)
{
	const json_t *counts = json_object_get(service, "counts");
	json_t *row =
	    find_row(rows, "service", ctl_get_text(service, "service"));
	json_int_t avoided = get_int(counts, "avoided");
	json_int_t waiting = get_int(service, "waiting");

	if (row == NULL) {
		row = json_pack("{s:s, s:I, s:I}", "service",
		    ctl_get_text(service, "service"), "avoided", (json_int_t)0,
		    "waiting", (json_int_t)0);
		json_array_append_new(rows, row);
	}
	json_object_set_new(
	    row, "waiting", json_integer(get_int(row, "waiting") + waiting));
	if (avoided > get_int(row, "avoided"))
		json_object_set_new(row, "avoided", json_integer(avoided));
	if (json_object_get(row, "usable") != NULL &&
	    !is_newer_table(service, row))
		return;
	json_object_update_new(row,
	    json_pack("{s:O, s:I, s:I, s:I, s:I, s:I, s:I}", "led_by",
		json_object_get(service, "leader"), "usable",
		get_int(counts, "usable") + avoided, "ejected",
		get_int(counts, "ejected"), "leaving",
		get_int(counts, "leaving"), "lapsed", get_int(counts, "lapsed"),
		"table_term", get_int(service, "table_term"), "table_sequence",
		get_int(service, "table_sequence")));
}

/* One row per service: the newest table, the most avoided targets of any VM
 * and the requests that wait at all VMs. */
static json_t *
describe_services(const fleet_vms_t *vms)
{
	json_t *rows = json_array();
	json_t *service;
	size_t k;
	int i;

	for (i = 0; i < vms->count; i++) {
		json_array_foreach(
		    json_object_get(vms->answer[i], "services"), k, service)
		{
			add_service(rows, service);
		}
	}
	return (rows);
}

static void
print(const ctl_options_t *o, const json_t *value)
{
	char *text;

	if (!o->as_json) {
		ctl_print_value(stdout, value);
		return;
	}
	text = json_dumps(value, JSON_COMPACT);
	printf("%s\n", text != NULL ? text : "");
	free(text);
}

static json_t *
make_status(const fleet_vms_t *controls, const fleet_vms_t *entries,
    const json_t *status, const ctl_options_t *o)
{
	const json_t *newest = status;
	json_t *rows = describe_control(controls, &newest);
	json_t *services = describe_services(entries);
	json_t *out = o->as_json && newest != NULL ? json_deep_copy(newest)
						   : json_object();
	json_t *row;
	size_t i;

	json_array_foreach(services, i, row)
	{
		json_object_del(row, "table_term");
		json_object_del(row, "table_sequence");
	}
	if (newest != NULL) {
		json_object_set(
		    out, "leader", json_object_get(newest, "leader"));
		json_object_set(
		    out, "version", json_object_get(newest, "version"));
	}
	json_object_set_new(out, "control_vms", rows);
	json_object_set_new(out, "entry_vms", describe_entries(entries));
	json_object_set_new(
	    out, "groups_not_ready", describe_short_groups(newest));
	json_object_set_new(out, "services", services);
	return (out);
}

ctl_exit_t
ctl_fleet_run_status(ctl_api_t *api, const ctl_options_t *o)
{
	fleet_vms_t *controls = calloc(1, sizeof(*controls));
	fleet_vms_t *entries = calloc(1, sizeof(*entries));
	json_t *status = NULL;
	json_t *out;
	json_t *vm;
	size_t i;
	ctl_exit_t exit = CTL_EXIT_USAGE;

	if (controls != NULL && entries != NULL)
		exit = ask_control(api, o, &status);
	if (exit == CTL_EXIT_OK) {
		json_array_foreach(
		    json_object_get(status, "control_vms"), i, vm)
		{
			vms_add(controls, ctl_get_text(vm, "name"),
			    ctl_get_text(vm, "admin"));
		}
		add_entries(api, status, entries);
		vms_ask(api, controls, "/v1/status", 1);
		vms_ask(api, entries, "/status", 0);
		out = make_status(controls, entries, status, o);
		print(o, out);
		json_decref(out);
	}
	json_decref(status);
	if (controls != NULL)
		vms_free(controls);
	if (entries != NULL)
		vms_free(entries);
	return (exit);
}

/* Rows of all VMs with the VM's name in front. */
static json_t *
merge_found(const fleet_vms_t *vms, json_t *silent)
{
	json_t *rows = json_array();
	json_t *found;
	json_t *row;
	size_t k;
	int i;

	for (i = 0; i < vms->count; i++) {
		if (vms->answer[i] == NULL) {
			json_array_append_new(
			    silent, json_string(vms->name[i]));
			continue;
		}
		json_array_foreach(
		    json_object_get(vms->answer[i], "found"), k, found)
		{
			row = json_pack("{s:s}", "entry_vm",
			    ctl_get_text(vms->answer[i], "node"));
			json_object_update(row, found);
			json_array_append_new(rows, row);
		}
	}
	return (rows);
}

static void
explain_request(json_t *row, char *out, size_t size)
{
	const char *target = ctl_get_text(row, "target");
	size_t used;

	used = (size_t)snprintf(out, size, "%s: status %d (%s), run: %s, ",
	    ctl_get_text(row, "entry_vm"), (int)get_int(row, "status"),
	    ctl_get_text(row, "outcome"), ctl_get_text(row, "run"));
	if (target[0] != '\0')
		used += (size_t)snprintf(out + used, size - used,
		    "%d attempts, last at %s, ", (int)get_int(row, "attempts"),
		    target);
	used += (size_t)snprintf(out + used, size - used, "%.1f ms, %.1f s ago",
	    (double)get_int(row, "latency_us") / 1000,
	    (double)get_int(row, "age_ms") / 1000);
	if (ctl_get_text(row, "reason")[0] != '\0')
		snprintf(out + used, size - used, "; %s; remedy: %s",
		    ctl_get_text(row, "reason"), ctl_get_text(row, "remedy"));
}

static size_t
explain_verdict(const json_t *verdict, char *out, size_t size)
{
	return ((size_t)snprintf(out, size, "%s, %.1f %s (limit %.1f)",
	    ctl_get_text(verdict, "evidence"),
	    json_number_value(json_object_get(verdict, "value")),
	    ctl_get_text(verdict, "unit"),
	    json_number_value(json_object_get(verdict, "limit"))));
}

static void
explain_target(json_t *row, char *out, size_t size)
{
	const json_t *verdict = json_object_get(row, "verdict");
	const json_t *local = json_object_get(row, "local_verdict");
	size_t used;

	used = (size_t)snprintf(out, size, "%s: %s of %s is %s for %.1f s, %s",
	    ctl_get_text(row, "entry_vm"), ctl_get_text(row, "target"),
	    ctl_get_text(row, "service"), ctl_get_text(row, "state"),
	    (double)get_int(row, "state_age_ms") / 1000,
	    json_is_true(json_object_get(row, "usable")) ? "used here"
							 : "not used here");
	if (verdict != NULL) {
		used +=
		    (size_t)snprintf(out + used, size - used, "; evidence: ");
		used += explain_verdict(verdict, out + used, size - used);
		used += (size_t)snprintf(out + used, size - used,
		    "; ejections: %d", (int)get_int(row, "ejections"));
	}
	if (local != NULL) {
		used += (size_t)snprintf(out + used, size - used,
		    "; avoided by this VM for %.1f s: ",
		    (double)get_int(row, "avoided_age_ms") / 1000);
		used += explain_verdict(local, out + used, size - used);
	}
	if (json_is_true(json_object_get(row, "avoided_by_data_centre")))
		snprintf(out + used, size - used,
		    "; avoided by the whole data centre");
}

static void
explain_workspace(json_t *row, char *out, size_t size)
{
	const json_t *bucket = json_object_get(row, "bucket");
	const char *leader = ctl_get_text(row, "leader");
	size_t used;

	used = (size_t)snprintf(out, size,
	    "%s: rate %d/s, burst %d, shard %d led by %s; requests %lld, "
	    "refused over the rate %lld, refused otherwise %lld; tokens here "
	    "%d, waiting %d, demand %.1f/s",
	    ctl_get_text(row, "entry_vm"), (int)get_int(row, "rate_per_s"),
	    (int)get_int(row, "burst"), (int)get_int(row, "shard"),
	    leader[0] != '\0' ? leader : "none",
	    (long long)get_int(row, "requests"),
	    (long long)get_int(row, "refused_rate"),
	    (long long)get_int(row, "refused_other"),
	    (int)get_int(row, "tokens"), (int)get_int(row, "waiting"),
	    json_number_value(json_object_get(row, "demand_per_s")));
	if (get_int(row, "empty_ms") > 0)
		used += (size_t)snprintf(out + used, size - used,
		    "; over the rate for %lld ms more",
		    (long long)get_int(row, "empty_ms"));
	if (bucket != NULL)
		snprintf(out + used, size - used,
		    "; bucket: level %.1f, outstanding %.1f",
		    json_number_value(json_object_get(bucket, "level")),
		    json_number_value(json_object_get(bucket, "outstanding")));
}

static void
print_row(const char *kind, json_t *row)
{
	char line[1024];

	if (strcmp(kind, "request") == 0)
		explain_request(row, line, sizeof(line));
	else if (strcmp(kind, "target") == 0)
		explain_target(row, line, sizeof(line));
	else
		explain_workspace(row, line, sizeof(line));
	printf("%s\n", line);
}

static void
print_explanation(const ctl_options_t *o, const json_t *out)
{
	json_t *found = json_object_get(out, "found");
	json_t *silent = json_object_get(out, "no_answer");
	json_t *row;
	size_t i;

	if (o->as_json) {
		print(o, out);
		return;
	}
	if (json_array_size(found) == 0)
		printf("%s %s: not known to the %d entry VMs that answered\n",
		    ctl_get_text(out, "kind"), ctl_get_text(out, "name"),
		    (int)get_int(out, "answered"));
	json_array_foreach(found, i, row)
	{
		print_row(ctl_get_text(out, "kind"), row);
	}
	json_array_foreach(silent, i, row)
	{
		printf("%s: no answer\n", json_string_value(row));
	}
}

static ctl_exit_t
explain(ctl_api_t *api, const ctl_options_t *o, fleet_vms_t *vms)
{
	char path[PATH_MAX_BYTES];
	char name[PATH_MAX_BYTES / 2];
	json_t *silent = json_array();
	json_t *found;
	json_t *out;
	int is_found;

	ctl_escape(o->words[2], name, sizeof(name));
	snprintf(path, sizeof(path), "/v1/explain?kind=%s&name=%s", o->words[1],
	    name);
	vms_ask(api, vms, path, 0);
	found = merge_found(vms, silent);
	is_found = json_array_size(found) > 0;
	out = json_pack("{s:s, s:s, s:i, s:o, s:o}", "kind", o->words[1],
	    "name", o->words[2], "answered",
	    vms->count - (int)json_array_size(silent), "no_answer", silent,
	    "found", found);
	print_explanation(o, out);
	json_decref(out);
	return (is_found ? CTL_EXIT_OK : CTL_EXIT_REFUSED);
}

ctl_exit_t
ctl_fleet_run_explain(ctl_api_t *api, const ctl_options_t *o)
{
	fleet_vms_t *vms = calloc(1, sizeof(*vms));
	json_t *status = NULL;
	ctl_exit_t exit = CTL_EXIT_OK;

	if (vms == NULL)
		return (CTL_EXIT_USAGE);
	if (api->entry_count == 0)
		exit = ask_control(api, o, &status);
	if (exit == CTL_EXIT_OK) {
		add_entries(api, status, vms);
		exit = explain(api, o, vms);
	}
	json_decref(status);
	vms_free(vms);
	return (exit);
}
