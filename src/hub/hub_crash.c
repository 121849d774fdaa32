#include "hub/hub_crash.h"

#include <stdlib.h>

#include <uthash.h>

typedef struct crash_request {
	uint64_t fingerprint;
	uint32_t crashes; /* that count */
	/* The last ones of these. */
	hub_crash_report_t counted[HUB_CRASHES_TO_BLOCK];
	int64_t broken_ms; /* of the last one */
	uint32_t blocks; /* so far */
	int64_t blocked_until_ms; /* 0: not blocked */
	UT_hash_handle hh;
} crash_request_t;

struct hub_crash {
	crash_request_t *requests;
	uint64_t sequence;
};

hub_crash_t *
hub_crash_create(void)
{
	hub_crash_t *crash = calloc(1, sizeof(*crash));

	if (crash != NULL)
		crash->sequence = 1;
	return (crash);
}

static crash_request_t *
find(const hub_crash_t *crash, uint64_t fingerprint)
{
	crash_request_t *request;

	HASH_FIND(
	    hh, crash->requests, &fingerprint, sizeof(fingerprint), request);
	return (request);
}

static void
forget(hub_crash_t *crash, crash_request_t *request)
{
	HASH_DELETE(hh, crash->requests, request);
	free(request);
}

void
hub_crash_reset(hub_crash_t *crash)
{
	crash_request_t *request;
	crash_request_t *next;

	HASH_ITER(hh, crash->requests, request, next)
		forget(crash, request);
	crash->sequence = 1;
}

void
hub_crash_destroy(hub_crash_t *crash)
{
	if (crash == NULL)
		return;
	hub_crash_reset(crash);
	free(crash);
}

/* Forgets the request whose last crash is the longest ago; blocked ones only if
 * there are no others. */
static void
make_room(hub_crash_t *crash)
{
	crash_request_t *oldest = NULL;
	crash_request_t *request;

	if (HASH_COUNT(crash->requests) < HUB_CRASH_REQUESTS_MAX)
		return;
	for (request = crash->requests; request != NULL;
	     request = request->hh.next) {
		if (oldest == NULL ||
		    (request->blocked_until_ms == 0 &&
			oldest->blocked_until_ms != 0) ||
		    ((request->blocked_until_ms == 0) ==
			    (oldest->blocked_until_ms == 0) &&
			request->broken_ms < oldest->broken_ms))
			oldest = request;
	}
	forget(crash, oldest);
}

static crash_request_t *
get(hub_crash_t *crash, uint64_t fingerprint)
{
	crash_request_t *request = find(crash, fingerprint);

	if (request != NULL)
		return (request);
	make_room(crash);
	request = calloc(1, sizeof(*request));
	if (request == NULL)
		return (NULL);
	request->fingerprint = fingerprint;
	HASH_ADD(hh, crash->requests, fingerprint, sizeof(request->fingerprint),
	    request);
	return (request);
}

static void
block(hub_crash_t *crash, crash_request_t *request, int64_t now_ms)
{
	int64_t length_ms = HUB_BLOCK_MS;
	uint32_t i;

	for (i = 0; i < request->blocks && length_ms < HUB_BLOCK_MAX_MS; i++)
		length_ms *= 2;
	if (length_ms > HUB_BLOCK_MAX_MS)
		length_ms = HUB_BLOCK_MAX_MS;
	request->blocks++;
	request->blocked_until_ms = now_ms + length_ms;
	crash->sequence++;
}

void
hub_crash_restore(hub_crash_t *crash, uint64_t fingerprint, int64_t now_ms)
{
	crash_request_t *request = get(crash, fingerprint);

	if (request == NULL || request->blocked_until_ms != 0)
		return;
	request->crashes = HUB_CRASHES_TO_BLOCK;
	request->broken_ms = now_ms;
	block(crash, request, now_ms);
}

/* Otherwise both may have a common cause, or two gates report the same one. */
static int
is_separate(const hub_crash_report_t *a, const hub_crash_report_t *b)
{
	return ((a->sent_ms >= b->broken_ms || b->sent_ms >= a->broken_ms) &&
	    (a->target != b->target || a->incarnation_ms != b->incarnation_ms));
}

/*
 * Reports may arrive in another order than that of the crashes.
 *
 * @return 1 if the crash is separate from those that counted
 */
static int
counts(const crash_request_t *request, const hub_crash_report_t *report)
{
	uint32_t i;

	for (i = 0; i < request->crashes && i < HUB_CRASHES_TO_BLOCK; i++) {
		if (!is_separate(&request->counted[i], report))
			return (0);
	}
	return (1);
}

uint32_t
hub_crash_record(
    hub_crash_t *crash, const hub_crash_report_t *report, int64_t now_ms)
{
	crash_request_t *request = get(crash, report->fingerprint);
	uint32_t slot;

	if (request == NULL)
		return (0);
	if (!counts(request, report))
		return (request->crashes);
	slot = request->crashes % HUB_CRASHES_TO_BLOCK;
	request->counted[slot] = *report;
	if (report->broken_ms > request->broken_ms)
		request->broken_ms = report->broken_ms;
	request->crashes++;
	if (request->crashes == HUB_CRASHES_TO_BLOCK - 1)
		crash->sequence++;
	if (request->crashes >= HUB_CRASHES_TO_BLOCK &&
	    request->blocked_until_ms == 0)
		block(crash, request, now_ms);
	return (request->crashes);
}

void
hub_crash_clear(hub_crash_t *crash, uint64_t fingerprint)
{
	crash_request_t *request = find(crash, fingerprint);

	if (request == NULL)
		return;
	forget(crash, request);
	crash->sequence++;
}

void
hub_crash_tick(hub_crash_t *crash, int64_t now_ms)
{
	crash_request_t *request;
	crash_request_t *next;

	HASH_ITER(hh, crash->requests, request, next) {
		if (request->blocked_until_ms != 0 &&
		    now_ms >= request->blocked_until_ms) {
			request->blocked_until_ms = 0;
			request->crashes = HUB_CRASHES_TO_BLOCK - 1;
			crash->sequence++;
		}
		if (request->blocked_until_ms == 0 &&
		    now_ms - request->broken_ms >= HUB_CRASH_EXPIRY_MS)
			hub_crash_clear(crash, request->fingerprint);
	}
}

size_t
hub_crash_list_blocks(
    const hub_crash_t *crash, hub_block_t *blocks, size_t max, int64_t now_ms)
{
	const crash_request_t *request;
	size_t count = 0;

	for (request = crash->requests; request != NULL && count < max;
	     request = request->hh.next) {
		if (request->blocked_until_ms == 0)
			continue;
		blocks[count++] = (hub_block_t){
			.fingerprint = request->fingerprint,
			.left_ms = request->blocked_until_ms > now_ms
			    ? request->blocked_until_ms - now_ms
			    : 0,
		};
	}
	return (count);
}

size_t
hub_crash_list_suspects(
    const hub_crash_t *crash, uint64_t *fingerprints, size_t max)
{
	const crash_request_t *request;
	size_t count = 0;

	for (request = crash->requests; request != NULL && count < max;
	     request = request->hh.next) {
		if (request->blocked_until_ms == 0 &&
		    request->crashes >= HUB_CRASHES_TO_BLOCK - 1)
			fingerprints[count++] = request->fingerprint;
	}
	return (count);
}

uint64_t
hub_crash_get_sequence(const hub_crash_t *crash)
{
	return (crash->sequence);
}
