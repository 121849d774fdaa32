#include "target/target_announce.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/error.h"
#include "base/log.h"
#include "ctl/http_call.h"

#define ADDRESS_TEXT_MAX 32
#define HEADER_MAX	 384
/* A renewal must not take longer than the time to the next one. */
#define CALL_TIMEOUT_MS 500

struct target_announce {
	uv_loop_t *loop;
	uv_timer_t timer;
	const target_settings_t *settings;
	int64_t incarnation;
	int entry;
	int in_call;
	int attempts; /* in the current round */
	int leaving;
	int again; /* the state changed during a call */
	int was_ok;
	uint64_t accepted;
	uint64_t failed;
};

static void announce_now(target_announce_t *a);

static void
format_address(const struct sockaddr_in *addr, char out[ADDRESS_TEXT_MAX])
{
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &addr->sin_addr, host, sizeof(host));
	snprintf(out, ADDRESS_TEXT_MAX, "%s:%u", host, ntohs(addr->sin_port));
}

static char *
format_body(const target_announce_t *a)
{
	const target_settings_t *s = a->settings;
	char address[ADDRESS_TEXT_MAX];
	json_t *body;
	char *text;

	format_address(&s->announce, address);
	body = json_pack("{s:s, s:I, s:s, s:s, s:i, s:i, s:s, s:s}", "id",
	    s->id, "incarnation", (json_int_t)a->incarnation, "service",
	    s->service, "address", address, "slots", s->slots, "connection_cap",
	    s->connection_cap, "data_centre", s->data_centre, "state",
	    a->leaving ? "leaving" : "serving");
	text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	json_decref(body);
	return (text);
}

static void
log_change(target_announce_t *a, int ok, const http_reply_t *reply)
{
	char buffer[ADDRESS_TEXT_MAX];
	const char *address = buffer;

	if (a->was_ok == ok)
		return;
	a->was_ok = ok;
	format_address(&a->settings->entries[a->entry], buffer);
	if (ok)
		LOG_EVENT(804, LOG_LEVEL_INFO, "announcement accepted",
		    LOG_TEXT("entry", address));
	else
		LOG_EVENT(805, LOG_LEVEL_WARN, "announcement failed",
		    LOG_TEXT("entry", address),
		    LOG_NUM("status", reply->status),
		    LOG_TEXT("reason", reply->detail));
}

static void
on_reply(void *ctx, const http_reply_t *reply)
{
	target_announce_t *a = ctx;
	int ok = reply->err == TM_OK && reply->status / 100 == 2;

	a->in_call = 0;
	log_change(a, ok, reply);
	if (ok) {
		a->accepted++;
		a->attempts = 0;
		if (a->again)
			announce_now(a);
		return;
	}
	a->failed++;
	a->entry = (a->entry + 1) % a->settings->entry_count;
	if (++a->attempts < a->settings->entry_count || a->again)
		announce_now(a);
	else
		a->attempts = 0;
}

static void
announce_now(target_announce_t *a)
{
	http_request_t request = { .method = "POST",
		.path = "/v1/targets",
		.timeout_ms = CALL_TIMEOUT_MS };
	char headers[HEADER_MAX];
	char *body;

	a->again = 0;
	body = format_body(a);
	if (body == NULL)
		return;
	snprintf(headers, sizeof(headers),
	    "Content-Type: application/json\r\nAuthorization: Bearer %s\r\n",
	    a->settings->target_secret);
	request.to = a->settings->entries[a->entry];
	request.headers = headers;
	request.body = body;
	request.body_len = strlen(body);
	a->in_call = http_call_start(a->loop, &request, on_reply, a) == TM_OK;
	free(body);
}

static void
on_renew(uv_timer_t *timer)
{
	target_announce_t *a = timer->data;

	if (!a->in_call)
		announce_now(a);
}

target_announce_t *
target_announce_start(
    uv_loop_t *loop, const target_settings_t *settings, int64_t incarnation)
{
	target_announce_t *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return (NULL);
	a->loop = loop;
	a->settings = settings;
	a->incarnation = incarnation;
	a->was_ok = -1;
	uv_timer_init(loop, &a->timer);
	a->timer.data = a;
	if (settings->entry_count > 0)
		uv_timer_start(
		    &a->timer, on_renew, 0, (uint64_t)settings->renew_ms);
	return (a);
}

void
target_announce_leave(target_announce_t *a)
{
	a->leaving = 1;
	if (a->settings->entry_count == 0)
		return;
	if (a->in_call)
		a->again = 1;
	else
		announce_now(a);
}

uint64_t
target_announce_get_accepted(const target_announce_t *a)
{
	return (a->accepted);
}

uint64_t
target_announce_get_failed(const target_announce_t *a)
{
	return (a->failed);
}
