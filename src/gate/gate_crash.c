#include "gate/gate_crash.h"

#include <stdlib.h>

#include <uthash.h>

/* Answered requests that are remembered: one in each slot, a later one replaces
 * it. */
#define ANSWERED_SLOTS 512

/* A request on one of the leading hub's lists. */
typedef struct listed_request {
	uint64_t fingerprint;
	int64_t blocked_until_ms; /* 0: suspected only */
	UT_hash_handle hh;
} listed_request_t;

typedef struct answered_request {
	uint64_t fingerprint; /* 0: none */
	int64_t answered_ms;
} answered_request_t;

struct gate_crash {
	uint64_t term;
	uint64_t sequence;
	listed_request_t *listed;
	answered_request_t answered[ANSWERED_SLOTS];
};

gate_crash_t *
gate_crash_create(void)
{
	return (calloc(1, sizeof(gate_crash_t)));
}

static void
clear_lists(gate_crash_t *crash)
{
	listed_request_t *listed;
	listed_request_t *next;

	HASH_ITER(hh, crash->listed, listed, next) {
		HASH_DELETE(hh, crash->listed, listed);
		free(listed);
	}
}

void
gate_crash_destroy(gate_crash_t *crash)
{
	if (crash == NULL)
		return;
	clear_lists(crash);
	free(crash);
}

static listed_request_t *
find(const gate_crash_t *crash, uint64_t fingerprint)
{
	listed_request_t *listed;

	HASH_FIND(hh, crash->listed, &fingerprint, sizeof(fingerprint), listed);
	return (listed);
}

static void
add(gate_crash_t *crash, uint64_t fingerprint, int64_t blocked_until_ms)
{
	listed_request_t *listed;

	if (find(crash, fingerprint) != NULL)
		return;
	listed = calloc(1, sizeof(*listed));
	if (listed == NULL)
		return;
	listed->fingerprint = fingerprint;
	listed->blocked_until_ms = blocked_until_ms;
	HASH_ADD(hh, crash->listed, fingerprint, sizeof(listed->fingerprint),
	    listed);
}

void
gate_crash_apply(
    gate_crash_t *crash, const Tm__Fleet__Blocks *msg, int64_t now_ms)
{
	size_t i;

	if (msg->term < crash->term ||
	    (msg->term == crash->term && msg->sequence < crash->sequence))
		return;
	crash->term = msg->term;
	crash->sequence = msg->sequence;
	clear_lists(crash);
	for (i = 0; i < msg->n_blocks; i++)
		add(crash, msg->blocks[i]->fingerprint,
		    now_ms + msg->blocks[i]->left_ms);
	for (i = 0; i < msg->n_suspects; i++)
		add(crash, msg->suspects[i], 0);
}

uint64_t
gate_crash_get_term(const gate_crash_t *crash)
{
	return (crash->term);
}

uint64_t
gate_crash_get_sequence(const gate_crash_t *crash)
{
	return (crash->sequence);
}

int
gate_crash_has_any(const gate_crash_t *crash)
{
	return (crash->listed != NULL);
}

int64_t
gate_crash_get_block_ms(
    const gate_crash_t *crash, uint64_t fingerprint, int64_t now_ms)
{
	const listed_request_t *listed = find(crash, fingerprint);

	return (listed != NULL && listed->blocked_until_ms > now_ms
		? listed->blocked_until_ms - now_ms
		: 0);
}

int
gate_crash_record_answer(
    gate_crash_t *crash, uint64_t fingerprint, int64_t now_ms)
{
	crash->answered[fingerprint % ANSWERED_SLOTS] = (answered_request_t){
		.fingerprint = fingerprint,
		.answered_ms = now_ms,
	};
	return (find(crash, fingerprint) != NULL);
}

int
gate_crash_is_harmless(
    const gate_crash_t *crash, uint64_t fingerprint, int64_t now_ms)
{
	const answered_request_t *answered =
	    &crash->answered[fingerprint % ANSWERED_SLOTS];

	return (answered->fingerprint == fingerprint &&
	    now_ms - answered->answered_ms < GATE_CRASH_HARMLESS_MS);
}
