/* tmctl: operators' command line over the admin API; see docs/tmctl.md. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "base/error.h"
#include "ctl/ctl_api.h"
#include "ctl/ctl_command.h"
#include "ctl/http_call.h"

#define SERVERS_VARIABLE "TMCTL_SERVERS"
#define TOKEN_VARIABLE	 "TMCTL_TOKEN_FILE"

typedef struct arguments {
	struct arg_lit *help;
	struct arg_str *server;
	struct arg_str *entry;
	struct arg_file *token_file;
	struct arg_file *ca_file;
	struct arg_lit *json;
	struct arg_lit *dry_run;
	struct arg_int *if_version;
	struct arg_str *change_id;
	struct arg_int *timeout_ms;
	struct arg_str *after;
	struct arg_int *limit;
	struct arg_str *host;
	struct arg_str *path;
	struct arg_str *method;
	struct arg_int *bytes;
	struct arg_file *key_file;
	struct arg_str *words;
	struct arg_end *end;
} arguments_t;

static int
fail(const char *what, const char *found, const char *remedy)
{
	fprintf(stderr, "tmctl: %s: found \"%s\"; remedy: %s\n", what, found,
	    remedy);
	return (CTL_EXIT_USAGE);
}

static int
read_servers(const arguments_t *a, ctl_api_t *api)
{
	const char *list = getenv(SERVERS_VARIABLE);
	int i, err = TM_OK;

	for (i = 0; i < a->server->count && err == TM_OK; i++) {
		list = a->server->sval[i];
		err = ctl_api_add_servers(api, list);
	}
	if (a->server->count == 0 && list != NULL)
		err = ctl_api_add_servers(api, list);
	if (err != TM_OK)
		return (fail("server", list,
		    "give up to 16 addresses like 10.0.0.1:7000,10.0.0.2:7000"));
	if (api->server_count == 0 && api->entry_count == 0)
		return (fail(
		    "server", "", "give --server or set " SERVERS_VARIABLE));
	return (0);
}

static int
read_entries(const arguments_t *a, ctl_api_t *api)
{
	int i;

	for (i = 0; i < a->entry->count; i++) {
		if (ctl_api_add_entries(api, a->entry->sval[i]) != TM_OK)
			return (fail("entry", a->entry->sval[i],
			    "give up to 16 ops listeners like 10.0.1.1:8081"));
	}
	return (0);
}

static int
read_token(const arguments_t *a, ctl_api_t *api)
{
	const char *file = getenv(TOKEN_VARIABLE);

	if (a->token_file->count > 0)
		file = a->token_file->filename[0];
	if (a->ca_file->count > 0 &&
	    http_call_load_ca(a->ca_file->filename[0], &api->tls) != TM_OK)
		return (fail("--ca-file", a->ca_file->filename[0],
		    "give a readable PEM file with certificates"));
	if (file == NULL && api->entry_count > 0)
		return (0);
	if (file == NULL)
		return (fail("token file", "",
		    "give --token-file or set " TOKEN_VARIABLE));
	if (ctl_api_read_token(api, file) != TM_OK)
		return (fail("token file", file,
		    "give a readable file with the token of 1 to 254 printable "
		    "characters on its first line"));
	return (0);
}

static int
is_change_id(const char *text)
{
	size_t len = strlen(text);

	return (len > 0 && len <= CTL_CHANGE_ID_MAX &&
	    strspn(text,
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789._-") == len);
}

static void
read_route(const arguments_t *a, ctl_route_options_t *route)
{
	route->host = a->host->count > 0 ? a->host->sval[0] : NULL;
	route->path = a->path->count > 0 ? a->path->sval[0] : NULL;
	route->method = a->method->count > 0 ? a->method->sval[0] : "GET";
	route->bytes = a->bytes->count > 0 ? a->bytes->ival[0] : 0;
	route->key_file =
	    a->key_file->count > 0 ? a->key_file->filename[0] : NULL;
}

static int
read_options(const arguments_t *a, ctl_options_t *o)
{
	memset(o, 0, sizeof(*o));
	o->words = (const char *const *)a->words->sval;
	o->word_count = a->words->count;
	o->as_json = a->json->count > 0;
	o->dry_run = a->dry_run->count > 0;
	o->if_version = a->if_version->count > 0 ? a->if_version->ival[0] : -1;
	o->after = a->after->count > 0 ? a->after->sval[0] : NULL;
	o->limit = a->limit->count > 0 ? a->limit->ival[0] : -1;
	read_route(a, &o->route);
	if (a->if_version->count > 0 && o->if_version < 0)
		return (fail("--if-version", "a negative number",
		    "give the version that get prints, or 0 for a new object"));
	o->has_change_id = a->change_id->count > 0;
	if (!o->has_change_id)
		return (ctl_change_id_draw(o->change_id) == TM_OK
			? 0
			: CTL_EXIT_USAGE);
	if (!is_change_id(a->change_id->sval[0]))
		return (fail("--change-id", a->change_id->sval[0],
		    "use 1 to 64 characters A-Z a-z 0-9 . _ -"));
	snprintf(
	    o->change_id, sizeof(o->change_id), "%s", a->change_id->sval[0]);
	return (0);
}

static int
run(const arguments_t *a)
{
	static ctl_api_t api;
	ctl_options_t options;
	int status;

	status = read_options(a, &options);
	if (status != 0)
		return (status);
	if (ctl_command_check(&options) != TM_OK)
		return (CTL_EXIT_USAGE);
	ctl_api_init(&api);
	status = read_entries(a, &api);
	if (status == 0)
		status = read_servers(a, &api);
	if (status == 0 && !ctl_command_needs_no_token(&options))
		status = read_token(a, &api);
	if (status != 0)
		return (status);
	if (a->timeout_ms->count > 0) {
		api.timeout_ms = a->timeout_ms->ival[0];
		if (api.timeout_ms < 1 || api.timeout_ms > 600000)
			return (fail("--timeout-ms", "a number out of range",
			    "use 1 to 600000"));
	}
	signal(SIGPIPE, SIG_IGN);
	return (ctl_command_run(&api, &options));
}

static void
print_help(void **table)
{
	printf("usage: tmctl");
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-26s %s\n");
	printf("commands: apply FILE | get KIND NAME | list KIND |\n"
	       "  delete KIND NAME | key issue WORKSPACE | key withdraw ID |\n"
	       "  rate set WORKSPACE RATE BURST | history | status |\n"
	       "  recover [CONFIRMATION] |\n"
	       "  snapshot save FILE | snapshot restore FILE |\n"
	       "  explain request|workspace|target NAME |\n"
	       "  explain route --host HOST --path PATH |\n"
	       "  evacuation start|end DATA_CENTRE | evacuation list\n"
	       "exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable,\n"
	       "  4 version conflict\n");
}

int
main(int argc, char **argv)
{
	arguments_t a = {
		.help = arg_lit0("h", "help", "print this text"),
		.server = arg_strn("s", "server", "IP:PORT[,...]", 0, 16,
		    "control VMs, hubs for evacuation, or a gate for explain "
		    "route; default: $" SERVERS_VARIABLE),
		.entry = arg_strn("e", "entry", "IP:PORT[,...]", 0, 16,
		    "status, explain: ops listeners instead of the directory"),
		.token_file = arg_file0("t", "token-file", "FILE",
		    "operator token; default: $" TOKEN_VARIABLE),
		.ca_file = arg_file0(NULL, "ca-file", "FILE",
		    "use HTTPS and trust these certificates"),
		.json = arg_lit0("j", "json", "print the answer as JSON"),
		.dry_run = arg_lit0("n", "dry-run", "check, change nothing"),
		.if_version = arg_int0(NULL, "if-version", "N",
		    "change only this version; 0: must not exist"),
		.change_id = arg_str0(NULL, "change-id", "ID",
		    "send a change again under its id"),
		.timeout_ms = arg_int0(NULL, "timeout-ms", "MS",
		    "limit with all retries; default 10000"),
		.after =
		    arg_str0(NULL, "after", "NAME", "list what follows this"),
		.limit = arg_int0(NULL, "limit", "N", "list at most N"),
		.host = arg_str0(
		    NULL, "host", "HOST", "explain route: host of the request"),
		.path = arg_str0(
		    NULL, "path", "PATH", "explain route: path of the request"),
		.method = arg_str0(NULL, "method", "METHOD",
		    "explain route: method; default GET"),
		.bytes = arg_int0(NULL, "bytes", "N",
		    "explain route: size of the body; default 0"),
		.key_file = arg_file0(NULL, "key-file", "FILE",
		    "explain route: key of a workspace"),
		.words = arg_strn(NULL, NULL, "COMMAND", 1, 5, "see below"),
		.end = arg_end(8),
	};
	void *table[] = { a.help, a.server, a.entry, a.token_file, a.ca_file,
		a.json, a.dry_run, a.if_version, a.change_id, a.timeout_ms,
		a.after, a.limit, a.host, a.path, a.method, a.bytes, a.key_file,
		a.words, a.end };
	int status = CTL_EXIT_USAGE;

	if (arg_nullcheck(table) != 0) {
		fprintf(stderr, "tmctl: memory exhausted\n");
		return (status);
	}
	if (arg_parse(argc, argv, table) == 0) {
		status = a.help->count > 0 ? 0 : run(&a);
		if (a.help->count > 0)
			print_help(table);
	} else if (a.help->count > 0) {
		print_help(table);
		status = CTL_EXIT_OK;
	} else {
		arg_print_errors(stderr, a.end, "tmctl");
		fprintf(stderr, "tmctl: see tmctl --help\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (status);
}
