#include "ctl/ctl_api.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "ctl/http_call.h"
#include "settings/json_check.h"

#define REDIRECTS_MAX 5
#define HEADERS_MAX   768
/* Pause after all servers failed; the fleet elects a leader in about 1 s. */
#define ROUND_PAUSE_MS 200
/* A VM that does not answer a question within this time is passed over. */
#define ASK_TIMEOUT_MS 1500

/* State of one attempt. */
typedef struct attempt {
	ctl_result_t *result;
	int done;
	int err;
	char location[256];
} attempt_t;

void
ctl_api_init(ctl_api_t *api)
{
	memset(api, 0, sizeof(*api));
	uv_loop_init(&api->loop);
	api->timeout_ms = 10000;
	api->attempt_ms = 3000;
}

static int
add_addresses(const char *list, struct sockaddr_in *out, int *count)
{
	char item[64];
	const char *at = list;
	size_t len;

	while (*at != '\0') {
		len = strcspn(at, ",");
		if (len >= sizeof(item))
			return (TM_EFORMAT);
		memcpy(item, at, len);
		item[len] = '\0';
		if (*count == CTL_SERVERS_MAX)
			return (TM_EFULL);
		if (json_parse_address(item, 0, &out[*count]) != TM_OK)
			return (TM_EFORMAT);
		(*count)++;
		at += len;
		if (*at == ',')
			at++;
	}
	return (TM_OK);
}

int
ctl_api_add_servers(ctl_api_t *api, const char *list)
{
	return (add_addresses(list, api->servers, &api->server_count));
}

int
ctl_api_add_entries(ctl_api_t *api, const char *list)
{
	return (add_addresses(list, api->entries, &api->entry_count));
}

int
ctl_api_read_token(ctl_api_t *api, const char *file)
{
	FILE *in = fopen(file, "re");
	size_t i, len;

	if (in == NULL)
		return (TM_EIO);
	if (fgets(api->token, sizeof(api->token), in) == NULL)
		api->token[0] = '\0';
	fclose(in);
	len = strcspn(api->token, "\r\n");
	api->token[len] = '\0';
	for (i = 0; i < len; i++)
		if (api->token[i] <= ' ' || api->token[i] > '~')
			return (TM_EFORMAT);
	return (len > 0 && len < sizeof(api->token) - 1 ? TM_OK : TM_EFORMAT);
}

static void
keep_body(ctl_result_t *result, const http_reply_t *reply)
{
	free(result->body);
	result->body = malloc(reply->body_len + 1);
	result->body_len = 0;
	if (result->body == NULL)
		return;
	memcpy(result->body, reply->body, reply->body_len);
	result->body[reply->body_len] = '\0';
	result->body_len = reply->body_len;
}

static void
on_reply(void *ctx, const http_reply_t *reply)
{
	attempt_t *attempt = ctx;

	attempt->done = 1;
	attempt->err = reply->err;
	if (reply->err != TM_OK) {
		snprintf(attempt->result->detail,
		    sizeof(attempt->result->detail), "%s", reply->detail);
		return;
	}
	attempt->result->status = reply->status;
	snprintf(attempt->location, sizeof(attempt->location), "%s",
	    reply->location);
	keep_body(attempt->result, reply);
}

static void
format_headers(const ctl_api_t *api, const ctl_call_t *call, char *out)
{
	size_t used;

	used =
	    (size_t)snprintf(out, HEADERS_MAX, "Accept: application/json\r\n%s",
		call->body != NULL ? "Content-Type: application/json\r\n" : "");
	if (api->token[0] != '\0')
		used += (size_t)snprintf(out + used, HEADERS_MAX - used,
		    "Authorization: Bearer %s\r\n", api->token);
	if (call->change_id != NULL)
		used += (size_t)snprintf(out + used, HEADERS_MAX - used,
		    "X-Change-Id: %s\r\n", call->change_id);
	if (call->if_version >= 0)
		snprintf(out + used, HEADERS_MAX - used, "If-Version: %lld\r\n",
		    (long long)call->if_version);
}

static void
run_attempt(ctl_api_t *api, const ctl_call_t *call,
    const struct sockaddr_in *server, int64_t limit_ms, attempt_t *attempt)
{
	char headers[HEADERS_MAX];
	http_request_t request = { .to = *server,
		.method = call->method,
		.path = call->path,
		.headers = headers,
		.body = call->body,
		.body_len = call->body_len,
		.timeout_ms = (int)limit_ms,
		.tls = api->tls };

	format_headers(api, call, headers);
	attempt->done = 0;
	attempt->err = TM_OK;
	attempt->location[0] = '\0';
	if (http_call_start(&api->loop, &request, on_reply, attempt) != TM_OK) {
		attempt->err = TM_ENOMEM;
		return;
	}
	while (!attempt->done)
		uv_run(&api->loop, UV_RUN_ONCE);
}

void
ctl_api_ask_all(ctl_api_t *api, const struct sockaddr_in *vms, int count,
    const char *path, int with_token, ctl_result_t *results)
{
	ctl_call_t call = { .method = "GET", .path = path, .if_version = -1 };
	attempt_t *attempts = calloc((size_t)count + 1, sizeof(*attempts));
	char headers[HEADERS_MAX] = "Accept: application/json\r\n";
	http_request_t request = { .method = "GET",
		.path = path,
		.headers = headers,
		.tls = with_token ? api->tls : NULL,
		.timeout_ms =
		    (int)(api->timeout_ms < ASK_TIMEOUT_MS ? api->timeout_ms
							   : ASK_TIMEOUT_MS) };
	int i;

	memset(results, 0, (size_t)count * sizeof(*results));
	if (attempts == NULL)
		return;
	if (with_token)
		format_headers(api, &call, headers);
	for (i = 0; i < count; i++) {
		attempts[i].result = &results[i];
		request.to = vms[i];
		if (http_call_start(
			&api->loop, &request, on_reply, &attempts[i]) != TM_OK)
			attempts[i].done = 1;
	}
	for (i = 0; i < count; i++) {
		while (!attempts[i].done)
			uv_run(&api->loop, UV_RUN_ONCE);
		if (attempts[i].err == TM_OK && results[i].status == 200)
			results[i].exit = CTL_EXIT_OK;
		else
			results[i].exit = CTL_EXIT_UNREACHABLE;
	}
	free(attempts);
}

/* Takes the address out of "http://ip:port/path", or "https" with TLS. */
static int
parse_location(
    const ctl_api_t *api, const char *location, struct sockaddr_in *server)
{
	const char *scheme = api->tls != NULL ? "https://" : "http://";
	char address[64];
	size_t len;

	if (strncmp(location, scheme, strlen(scheme)) != 0)
		return (TM_EFORMAT);
	location += strlen(scheme);
	len = strcspn(location, "/");
	if (len >= sizeof(address))
		return (TM_EFORMAT);
	memcpy(address, location, len);
	address[len] = '\0';
	return (json_parse_address(address, 0, server));
}

/* 1 if another server may answer better. */
static int
is_retryable(const attempt_t *attempt)
{
	int status = attempt->result->status;

	return (attempt->err != TM_OK || status == 307 || status == 502 ||
	    status == 503 || status == 504);
}

static ctl_exit_t
get_exit(int status)
{
	if (status / 100 == 2)
		return (CTL_EXIT_OK);
	if (status == 412)
		return (CTL_EXIT_CONFLICT);
	return (CTL_EXIT_REFUSED);
}

static int64_t
get_limit(const ctl_api_t *api, int64_t end_ms)
{
	int64_t left_ms = end_ms - clock_now_ms();

	return (left_ms < api->attempt_ms ? left_ms : api->attempt_ms);
}

/* Asks one server and follows its redirects. */
static void
ask_server(ctl_api_t *api, const ctl_call_t *call, struct sockaddr_in server,
    int64_t end_ms, attempt_t *attempt)
{
	int hops;

	for (hops = 0; hops <= REDIRECTS_MAX; hops++) {
		if (get_limit(api, end_ms) <= 0)
			return;
		run_attempt(
		    api, call, &server, get_limit(api, end_ms), attempt);
		if (attempt->err != TM_OK || attempt->result->status != 307)
			return;
		if (parse_location(api, attempt->location, &server) != TM_OK)
			return;
	}
}

static void
pause_ms(ctl_api_t *api, int64_t ms)
{
	struct timespec wait = { .tv_nsec = ms * NS_PER_MS };

	nanosleep(&wait, NULL);
}

void
ctl_api_send(ctl_api_t *api, const ctl_call_t *call, ctl_result_t *result)
{
	int64_t end_ms = clock_now_ms() + api->timeout_ms;
	attempt_t attempt = { .result = result };
	int tried = 0;

	memset(result, 0, sizeof(*result));
	result->exit = CTL_EXIT_UNREACHABLE;
	while (clock_now_ms() < end_ms) {
		ask_server(api, call, api->servers[api->next_server], end_ms,
		    &attempt);
		if (!is_retryable(&attempt)) {
			result->exit = get_exit(result->status);
			return;
		}
		api->next_server = (api->next_server + 1) % api->server_count;
		if (++tried % api->server_count == 0)
			pause_ms(api, ROUND_PAUSE_MS);
	}
}
