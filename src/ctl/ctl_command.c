#include "ctl/ctl_command.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <jansson.h>

#include "base/error.h"
#include "ctl/ctl_fleet.h"
#include "ctl/ctl_print.h"
#include "ctl/ctl_route.h"
#include "ctl/ctl_snapshot.h"
#include "settings/json_check.h"

#define PATH_MAX_BYTES 1024
#define FILE_MAX_BYTES (64u * 1024 * 1024)

typedef ctl_exit_t (*command_cb)(ctl_api_t *api, const ctl_options_t *o);

typedef struct command {
	const char *words[2];
	int arguments_min;
	int arguments_max;
	const char *usage;
	command_cb run;
} command_t;

static const char *const kinds[] = { "profiles", "services", "routes",
	"workspaces", "keys", NULL };

int
ctl_change_id_draw(char out[CTL_CHANGE_ID_MAX + 1])
{
	uint8_t bytes[16];
	int i;

	if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes))
		return (TM_EIO);
	for (i = 0; i < (int)sizeof(bytes); i++)
		snprintf(out + 2 * i, 3, "%02x", bytes[i]);
	return (TM_OK);
}

void
ctl_escape(const char *text, char *out, size_t size)
{
	size_t used = 0;

	for (; *text != '\0' && used + 4 < size; text++) {
		if (isalnum((unsigned char)*text) ||
		    strchr("-._~", *text) != NULL)
			out[used++] = *text;
		else
			used += (size_t)snprintf(out + used, size - used,
			    "%%%02X", (unsigned char)*text);
	}
	out[used] = '\0';
}

/* Accepts the singular as well: "workspace" for "workspaces". */
static const char *
find_kind(const char *word)
{
	size_t len = strlen(word);
	int i;

	for (i = 0; kinds[i] != NULL; i++)
		if (strcmp(kinds[i], word) == 0 ||
		    (strlen(kinds[i]) == len + 1 &&
			strncmp(kinds[i], word, len) == 0))
			return (kinds[i]);
	return (NULL);
}

static void
print_body(const ctl_options_t *o, const ctl_result_t *result)
{
	json_t *value;

	if (result->body == NULL || result->body_len == 0)
		return;
	if (o->as_json) {
		printf("%s%s", result->body,
		    result->body[result->body_len - 1] == '\n' ? "" : "\n");
		return;
	}
	value =
	    json_loadb(result->body, result->body_len, JSON_DECODE_ANY, NULL);
	if (value != NULL)
		ctl_print_value(stdout, value);
	else
		printf("%s\n", result->body);
	json_decref(value);
}

static void
print_refusal(const ctl_options_t *o, const ctl_result_t *result)
{
	json_t *value = result->body != NULL
	    ? json_loadb(result->body, result->body_len, 0, NULL)
	    : NULL;

	if (o->as_json)
		print_body(o, result);
	ctl_print_error(stderr, result->status, value);
	json_decref(value);
}

static void
print_unreachable(const ctl_call_t *call, const ctl_result_t *result)
{
	if (result->status != 0)
		fprintf(stderr, "tmctl: the last answer was status %d%s%s\n",
		    result->status, result->body_len > 0 ? ": " : "",
		    result->body_len > 0 ? result->body : "");
	fprintf(stderr,
	    "tmctl: no server gave a final answer in time%s%s; remedy: check "
	    "--server and that a majority of the control VMs runs\n",
	    result->detail[0] != '\0' ? ": " : "", result->detail);
	if (call->change_id != NULL)
		fprintf(stderr,
		    "tmctl: it is unknown whether the change was accepted; "
		    "send it again with --change-id %s\n",
		    call->change_id);
}

void
ctl_print_failure(
    const ctl_options_t *o, const ctl_call_t *call, const ctl_result_t *result)
{
	if (result->exit == CTL_EXIT_UNREACHABLE)
		print_unreachable(call, result);
	else if (result->exit != CTL_EXIT_OK)
		print_refusal(o, result);
}

static ctl_exit_t
send_and_print(ctl_api_t *api, const ctl_options_t *o, ctl_call_t *call)
{
	ctl_result_t result;

	ctl_api_send(api, call, &result);
	if (result.exit == CTL_EXIT_OK)
		print_body(o, &result);
	else
		ctl_print_failure(o, call, &result);
	free(result.body);
	return (result.exit);
}

static ctl_exit_t
send_change(ctl_api_t *api, const ctl_options_t *o, const char *method,
    const char *path, const char *body)
{
	char full[PATH_MAX_BYTES + 16];
	ctl_call_t call = { .method = method,
		.path = full,
		.body = body,
		.body_len = body != NULL ? strlen(body) : 0,
		.change_id = o->change_id,
		.if_version = o->if_version };

	snprintf(
	    full, sizeof(full), "%s%s", path, o->dry_run ? "?dry_run=1" : "");
	fprintf(stderr, "change-id: %s\n", o->change_id);
	return (send_and_print(api, o, &call));
}

static ctl_exit_t
send_query(ctl_api_t *api, const ctl_options_t *o, const char *path)
{
	ctl_call_t call = { .method = "GET", .path = path, .if_version = -1 };

	return (send_and_print(api, o, &call));
}

static ctl_exit_t
send_change_of(ctl_api_t *api, const ctl_options_t *o, const char *method,
    const char *kind, const char *name, const char *suffix, const char *body)
{
	char path[PATH_MAX_BYTES];
	char escaped[PATH_MAX_BYTES / 2];

	ctl_escape(name, escaped, sizeof(escaped));
	snprintf(path, sizeof(path), "/v1/%s/%s%s", kind, escaped, suffix);
	return (send_change(api, o, method, path, body));
}

static ctl_exit_t
run_get(ctl_api_t *api, const ctl_options_t *o)
{
	char path[PATH_MAX_BYTES];
	char name[PATH_MAX_BYTES / 2];

	ctl_escape(o->words[2], name, sizeof(name));
	snprintf(path, sizeof(path), "/v1/%s/%s", find_kind(o->words[1]), name);
	return (send_query(api, o, path));
}

static void
append_paging(const ctl_options_t *o, char *path, size_t size)
{
	char after[PATH_MAX_BYTES / 2];
	size_t used = strlen(path);

	if (o->after != NULL) {
		ctl_escape(o->after, after, sizeof(after));
		used += (size_t)snprintf(
		    path + used, size - used, "?after=%s", after);
	}
	if (o->limit >= 0)
		snprintf(path + used, size - used, "%climit=%lld",
		    o->after != NULL ? '&' : '?', (long long)o->limit);
}

static ctl_exit_t
run_list(ctl_api_t *api, const ctl_options_t *o)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/%s", find_kind(o->words[1]));
	append_paging(o, path, sizeof(path));
	return (send_query(api, o, path));
}

static ctl_exit_t
run_history(ctl_api_t *api, const ctl_options_t *o)
{
	char path[PATH_MAX_BYTES] = "/v1/history";

	append_paging(o, path, sizeof(path));
	return (send_query(api, o, path));
}

static ctl_exit_t
run_delete(ctl_api_t *api, const ctl_options_t *o)
{
	return (send_change_of(
	    api, o, "DELETE", find_kind(o->words[1]), o->words[2], "", NULL));
}

static ctl_exit_t
run_withdraw(ctl_api_t *api, const ctl_options_t *o)
{
	return (send_change_of(
	    api, o, "POST", "keys", o->words[2], "/withdraw", "{}"));
}

static ctl_exit_t
run_issue(ctl_api_t *api, const ctl_options_t *o)
{
	json_t *body = json_pack("{s:s}", "workspace", o->words[2]);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	ctl_exit_t status = CTL_EXIT_USAGE;

	if (text != NULL)
		status = send_change(api, o, "POST", "/v1/keys", text);
	free(text);
	json_decref(body);
	return (status);
}

static int
parse_number(const char *text, double min, double *out)
{
	char *end;

	errno = 0;
	*out = strtod(text, &end);
	if (end == text || *end != '\0' || errno != 0 || !(*out >= min) ||
	    !(*out <= 1e9))
		return (TM_EINVAL);
	return (TM_OK);
}

static json_t *
make_number(double value)
{
	if (value == (double)(int64_t)value)
		return (json_integer((int64_t)value));
	return (json_real(value));
}

/* Asks for the workspace, so that a name with a typing error creates none. */
static ctl_exit_t
find_workspace(ctl_api_t *api, const ctl_options_t *o)
{
	char path[PATH_MAX_BYTES];
	char name[PATH_MAX_BYTES / 2];
	ctl_call_t call = { .method = "GET", .path = path, .if_version = -1 };
	ctl_result_t result;

	ctl_escape(o->words[2], name, sizeof(name));
	snprintf(path, sizeof(path), "/v1/workspaces/%s", name);
	ctl_api_send(api, &call, &result);
	ctl_print_failure(o, &call, &result);
	free(result.body);
	return (result.exit);
}

/*
 * The version that was read is not sent as If-Version: a command that is sent
 * again with its change id would read a newer one, and the server would take
 * it for another change.
 */
static ctl_exit_t
run_rate_set(ctl_api_t *api, const ctl_options_t *o)
{
	double rate = 0, burst = 0;
	json_t *body;
	char *text;
	ctl_exit_t status = find_workspace(api, o);

	if (status != CTL_EXIT_OK)
		return (status);
	parse_number(o->words[3], 0, &rate);
	parse_number(o->words[4], 1, &burst);
	body = json_pack("{s:s, s:o, s:o}", "name", o->words[2], "rate_per_s",
	    make_number(rate), "burst", make_number(burst));
	text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	status = CTL_EXIT_USAGE;
	if (text != NULL)
		status = send_change_of(
		    api, o, "PUT", "workspaces", o->words[2], "", text);
	free(text);
	json_decref(body);
	return (status);
}

/* Checks the form of the file; the server checks the objects. */
static int
check_file(const char *file, char **text)
{
	json_check_t *check = json_check_create();
	json_node_t root;
	int i, errors;

	*text = NULL;
	if (check == NULL)
		return (TM_ENOMEM);
	json_check_load_file(check, file, &root);
	for (i = 0; kinds[i] != NULL; i++)
		json_opt_list(&root, kinds[i], 0, 1000000, "objects");
	json_node_finish(&root);
	errors = json_check_print(check, stderr);
	if (errors == 0)
		*text = json_dumps(root.value, JSON_COMPACT);
	json_check_destroy(check);
	return (errors == 0 && *text != NULL ? TM_OK : TM_EFORMAT);
}

static ctl_exit_t
run_apply(ctl_api_t *api, const ctl_options_t *o)
{
	char *text;
	ctl_exit_t status;

	if (check_file(o->words[1], &text) != TM_OK)
		return (CTL_EXIT_USAGE);
	status = send_change(api, o, "POST", "/v1/apply", text);
	free(text);
	return (status);
}

/* Only one control VM may be named: the one whose disk is to be used. */
static ctl_exit_t
run_recover(ctl_api_t *api, const ctl_options_t *o)
{
	ctl_call_t call = { .method = "POST",
		.path = "/v1/recovery?dry_run=1",
		.body = "{}",
		.body_len = 2,
		.if_version = -1 };
	char body[PATH_MAX_BYTES];
	char confirm[PATH_MAX_BYTES / 2];

	if (api->server_count != 1) {
		fprintf(stderr,
		    "tmctl: recover: found %d servers; remedy: name the "
		    "surviving control VM alone with --server\n",
		    api->server_count);
		return (CTL_EXIT_USAGE);
	}
	if (o->word_count > 1 && !o->dry_run) {
		ctl_escape(o->words[1], confirm, sizeof(confirm));
		snprintf(body, sizeof(body), "{\"confirm\":\"%s\"}", confirm);
		call.path = "/v1/recovery";
		call.body = body;
		call.body_len = strlen(body);
	}
	return (send_and_print(api, o, &call));
}

static ctl_exit_t
send_order(ctl_api_t *api, const ctl_options_t *o, const char *method)
{
	char path[PATH_MAX_BYTES];
	char name[PATH_MAX_BYTES / 2];
	ctl_call_t call = { .method = method,
		.path = path,
		.body = "{}",
		.body_len = 2,
		.if_version = -1 };

	ctl_escape(o->words[2], name, sizeof(name));
	snprintf(path, sizeof(path), "/v1/evacuations/%s", name);
	return (send_and_print(api, o, &call));
}

static ctl_exit_t
run_evacuation_start(ctl_api_t *api, const ctl_options_t *o)
{
	return (send_order(api, o, "PUT"));
}

static ctl_exit_t
run_evacuation_end(ctl_api_t *api, const ctl_options_t *o)
{
	return (send_order(api, o, "DELETE"));
}

static ctl_exit_t
run_evacuation_list(ctl_api_t *api, const ctl_options_t *o)
{
	return (send_query(api, o, "/v1/evacuations"));
}

static const command_t commands[] = {
	{ { "apply", NULL }, 1, 1, "apply FILE", run_apply },
	{ { "get", NULL }, 2, 2, "get KIND NAME", run_get },
	{ { "list", NULL }, 1, 1, "list KIND", run_list },
	{ { "delete", NULL }, 2, 2, "delete KIND NAME", run_delete },
	{ { "key", "issue" }, 1, 1, "key issue WORKSPACE", run_issue },
	{ { "key", "withdraw" }, 1, 1, "key withdraw ID", run_withdraw },
	{ { "rate", "set" }, 3, 3, "rate set WORKSPACE RATE BURST",
	    run_rate_set },
	{ { "recover", NULL }, 0, 1, "recover [CONFIRMATION]", run_recover },
	{ { "snapshot", "save" }, 1, 1, "snapshot save FILE",
	    ctl_snapshot_run_save },
	{ { "snapshot", "restore" }, 1, 1, "snapshot restore FILE",
	    ctl_snapshot_run_restore },
	{ { "history", NULL }, 0, 0, "history", run_history },
	{ { "status", NULL }, 0, 0, "status", ctl_fleet_run_status },
	{ { "explain", "route" }, 0, 0, "explain route --host HOST --path PATH",
	    ctl_route_run_explain },
	{ { "explain", NULL }, 2, 2, "explain request|workspace|target NAME",
	    ctl_fleet_run_explain },
	{ { "evacuation", "start" }, 1, 1, "evacuation start DATA_CENTRE",
	    run_evacuation_start },
	{ { "evacuation", "end" }, 1, 1, "evacuation end DATA_CENTRE",
	    run_evacuation_end },
	{ { "evacuation", "list" }, 0, 0, "evacuation list",
	    run_evacuation_list },
};

#define COMMANDS ((int)(sizeof(commands) / sizeof(commands[0])))

static const command_t *
find_command(const ctl_options_t *o)
{
	const command_t *c;
	int i, words;

	for (i = 0; i < COMMANDS; i++) {
		c = &commands[i];
		words = c->words[1] != NULL ? 2 : 1;
		if (o->word_count < words ||
		    strcmp(o->words[0], c->words[0]) != 0 ||
		    (words == 2 && strcmp(o->words[1], c->words[1]) != 0))
			continue;
		if (o->word_count - words < c->arguments_min ||
		    o->word_count - words > c->arguments_max)
			break;
		return (c);
	}
	return (NULL);
}

static int
asks_hubs(const ctl_options_t *o)
{
	return (strcmp(o->words[0], "evacuation") == 0);
}

int
ctl_command_needs_no_token(const ctl_options_t *o)
{
	return (asks_hubs(o) || find_command(o)->run == ctl_route_run_explain);
}

static int
reject(const char *what, const char *found, const char *allowed)
{
	fprintf(stderr, "tmctl: %s: found \"%s\"; allowed: %s\n", what, found,
	    allowed);
	return (TM_EINVAL);
}

int
ctl_command_check(const ctl_options_t *o)
{
	const command_t *c = find_command(o);
	double number;
	int i;

	if (c == NULL) {
		fprintf(stderr,
		    "tmctl: unknown command or wrong number of "
		    "arguments; commands:\n");
		for (i = 0; i < COMMANDS; i++)
			fprintf(stderr, "  %s\n", commands[i].usage);
		return (TM_EINVAL);
	}
	if (asks_hubs(o) && (o->dry_run || o->if_version >= 0))
		return (reject("option", "--dry-run or --if-version",
		    "neither with evacuation"));
	if (c->run == ctl_route_run_explain)
		return (ctl_route_check(o));
	if (c->run == run_apply && o->if_version >= 0)
		return (reject("--if-version", "a number",
		    "none with apply; it is for single objects"));
	if ((c->run == run_get || c->run == run_list || c->run == run_delete) &&
	    find_kind(o->words[1]) == NULL)
		return (reject("kind", o->words[1],
		    "profiles, services, routes, workspaces or keys"));
	if (c->run == ctl_fleet_run_explain &&
	    strcmp(o->words[1], "request") != 0 &&
	    strcmp(o->words[1], "workspace") != 0 &&
	    strcmp(o->words[1], "target") != 0)
		return (reject("what to explain", o->words[1],
		    "request, workspace or target"));
	if (c->run == run_rate_set &&
	    parse_number(o->words[3], 0, &number) != TM_OK)
		return (reject(
		    "rate", o->words[3], "requests per second from 0 to 1e9"));
	if (c->run == run_rate_set &&
	    parse_number(o->words[4], 1, &number) != TM_OK)
		return (reject("burst", o->words[4], "requests from 1 to 1e9"));
	return (TM_OK);
}

ctl_exit_t
ctl_command_run(ctl_api_t *api, const ctl_options_t *o)
{
	return (find_command(o)->run(api, o));
}
