#include "claim/claim_client.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/sha.h>
#include <uthash.h>

#include "base/error.h"
#include "base/log.h"
#include "base/rng.h"
#include "claim/claim_defs.h"
#include "proto/claim.pb-c.h"

/* Holders that did not answer are asked again after this time. */
#define CLAIM_AGAIN_MS 200
/* Without a majority of answers for this long the shard is unavailable. */
#define CLAIM_SILENT_MS 1500
/* Delay before another attempt: random below the first, at most the second. */
#define CLAIM_RETRY_MS	   20
#define CLAIM_RETRY_MAX_MS 250
/* An outcome is sent again until all holders have it, for this long. */
#define CLAIM_FINISH_MS 10000
/* Late grants of a released attempt are released for this long. */
#define CLAIM_LATE_MS	   10000
#define CLAIM_RELEASED_MAX 8192

typedef enum claim_state {
	CLAIM_STATE_ASKING,
	CLAIM_STATE_WAITING, /* until the next attempt */
	CLAIM_STATE_GRANTED,
	CLAIM_STATE_FINISHING
} claim_state_t;

typedef struct claim_call_state {
	uint64_t sequence; /* key: of the attempt, part of the owner token */
	claim_call_t name;
	claim_state_t state;
	void *request;
	uint32_t shard;
	uint64_t epoch; /* epoch that the verdicts belong to */
	uint64_t hash;
	uint8_t digest[CLAIM_DIGEST_BYTES];
	Tm__ClaimVerdict verdicts[GROUP_HOLDERS_MAX];
	int64_t first_asked_ms;
	int64_t asked_ms;
	int64_t started_ms;
	int64_t heard_ms; /* last time that a majority had answered */
	int64_t deadline_ms;
	int64_t retry_at_ms;
	uint32_t attempts;
	int seen_other; /* another owner's record was seen */
	uint8_t *answer;
	size_t answer_len;
	int has_answer;
	UT_hash_handle hh; /* by sequence */
	UT_hash_handle hh_name;
} claim_call_state_t;

/* An attempt that was released; a late grant of it is released again. */
typedef struct claim_released {
	uint64_t sequence;
	uint32_t shard;
	uint8_t digest[CLAIM_DIGEST_BYTES];
	int64_t until_ms;
	UT_hash_handle hh;
} claim_released_t;

struct claim_client {
	claim_client_options_t options;
	rng_t rng;
	uint64_t next_sequence;
	uint64_t next_name;
	claim_call_state_t *by_sequence;
	claim_call_state_t *by_name;
	claim_released_t *released;
};

int
claim_client_create(claim_client_t **out, const claim_client_options_t *options)
{
	claim_client_t *client;

	if (options->self == NODE_ID_NONE || options->group == NULL ||
	    options->send == NULL || options->result == NULL)
		return (TM_EINVAL);
	client = calloc(1, sizeof(*client));
	if (client == NULL)
		return (TM_ENOMEM);
	client->options = *options;
	rng_init(&client->rng, options->seed);
	*out = client;
	return (TM_OK);
}

static void
claim_call_free(claim_client_t *client, claim_call_state_t *call)
{
	HASH_DEL(client->by_sequence, call);
	HASH_DELETE(hh_name, client->by_name, call);
	free(call->answer);
	free(call);
}

void
claim_client_destroy(claim_client_t *client)
{
	claim_call_state_t *call;
	claim_call_state_t *next;
	claim_released_t *released;
	claim_released_t *next_released;

	if (client == NULL)
		return;
	HASH_ITER(hh, client->by_sequence, call, next)
		claim_call_free(client, call);
	HASH_ITER(hh, client->released, released, next_released) {
		HASH_DEL(client->released, released);
		free(released);
	}
	free(client);
}

static void
claim_get_digest(const char *workspace, const char *id, uint8_t *digest)
{
	uint8_t text[NAME_MAX_BYTES + 1 + CLAIM_ID_MAX_BYTES];
	uint8_t full[SHA256_DIGEST_LENGTH];
	size_t workspace_len = strlen(workspace);
	size_t id_len = strlen(id);

	memcpy(text, workspace, workspace_len);
	text[workspace_len] = '\0';
	memcpy(text + workspace_len + 1, id, id_len);
	SHA256(text, workspace_len + 1 + id_len, full);
	memcpy(digest, full, CLAIM_DIGEST_BYTES);
}

static Tm__ClaimOwner
claim_get_owner(const claim_client_t *client, uint64_t sequence)
{
	Tm__ClaimOwner owner = TM__CLAIM_OWNER__INIT;

	owner.node = client->options.self;
	owner.incarnation = client->options.incarnation;
	owner.sequence = sequence;
	return (owner);
}

static void
claim_send_ask(claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t count =
	    group_get_holders(client->options.group, call->shard, holders);
	Tm__ClaimAsk msg = TM__CLAIM_ASK__INIT;
	Tm__ClaimOwner owner = claim_get_owner(client, call->sequence);
	uint32_t i;

	msg.shard = call->shard;
	msg.epoch = call->epoch;
	msg.digest.data = call->digest;
	msg.digest.len = CLAIM_DIGEST_BYTES;
	msg.hash = call->hash;
	msg.owner = &owner;
	call->asked_ms = now_ms;
	for (i = 0; i < count; i++) {
		if (call->verdicts[i] != 0)
			continue;
		client->options.send(client->options.ctx, holders[i].node,
		    MSG_CLAIM_ASK, &msg.base);
	}
}

static void
claim_start_attempt(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	call->state = CLAIM_STATE_ASKING;
	call->epoch = group_get_epoch(client->options.group, call->shard);
	call->first_asked_ms = now_ms;
	memset(call->verdicts, 0, sizeof(call->verdicts));
	call->attempts++;
	claim_send_ask(client, call, now_ms);
}

int
claim_client_start(claim_client_t *client, const char *workspace,
    const char *id, uint64_t hash, int64_t deadline_ms, void *request,
    int64_t now_ms, claim_call_t *out)
{
	claim_call_state_t *call;
	size_t id_len = strlen(id);

	if (id_len == 0 || id_len > CLAIM_ID_MAX_BYTES ||
	    !node_name_is_valid(workspace))
		return (TM_EINVAL);
	if (HASH_COUNT(client->by_sequence) >= CLAIM_CALLS_MAX)
		return (TM_EFULL);
	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return (TM_ENOMEM);
	claim_get_digest(workspace, id, call->digest);
	/* Claims of a workspace are spread over all shards by request id. */
	call->shard = (uint32_t)call->digest[0] << 24 |
	    (uint32_t)call->digest[1] << 16 | (uint32_t)call->digest[2] << 8 |
	    call->digest[3];
	call->shard %= group_get_shard_count(client->options.group);
	call->sequence = ++client->next_sequence;
	call->name = ++client->next_name;
	call->request = request;
	call->hash = hash;
	call->deadline_ms = deadline_ms;
	call->started_ms = now_ms;
	call->heard_ms = now_ms;
	HASH_ADD(
	    hh, client->by_sequence, sequence, sizeof(call->sequence), call);
	HASH_ADD(hh_name, client->by_name, name, sizeof(call->name), call);
	*out = call->name;
	claim_start_attempt(client, call, now_ms);
	return (TM_OK);
}

static claim_call_state_t *
claim_find_name(const claim_client_t *client, claim_call_t name)
{
	claim_call_state_t *call = NULL;

	HASH_FIND(hh_name, client->by_name, &name, sizeof(name), call);
	return (call);
}

static claim_call_state_t *
claim_find_sequence(const claim_client_t *client, uint64_t sequence)
{
	claim_call_state_t *call = NULL;

	HASH_FIND(hh, client->by_sequence, &sequence, sizeof(sequence), call);
	return (call);
}

static void
claim_send_release(claim_client_t *client, uint32_t shard, uint8_t *digest,
    uint64_t sequence, node_id_t only)
{
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t count =
	    group_get_holders(client->options.group, shard, holders);
	Tm__ClaimRelease msg = TM__CLAIM_RELEASE__INIT;
	Tm__ClaimOwner owner = claim_get_owner(client, sequence);
	uint32_t i;

	msg.shard = shard;
	msg.digest.data = digest;
	msg.digest.len = CLAIM_DIGEST_BYTES;
	msg.owner = &owner;
	for (i = 0; i < count; i++) {
		if (only == NODE_ID_NONE || only == holders[i].node)
			client->options.send(client->options.ctx,
			    holders[i].node, MSG_CLAIM_RELEASE, &msg.base);
	}
}

/* Gives an attempt up that has not been dispatched. */
static void
claim_release_attempt(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	claim_released_t *released;

	claim_send_release(
	    client, call->shard, call->digest, call->sequence, NODE_ID_NONE);
	if (HASH_COUNT(client->released) >= CLAIM_RELEASED_MAX)
		return;
	released = calloc(1, sizeof(*released));
	if (released == NULL)
		return;
	released->sequence = call->sequence;
	released->shard = call->shard;
	memcpy(released->digest, call->digest, CLAIM_DIGEST_BYTES);
	released->until_ms = now_ms + CLAIM_LATE_MS;
	HASH_ADD(hh, client->released, sequence, sizeof(released->sequence),
	    released);
}

/* Reports a result other than granted and ends the call. */
static void
claim_end(claim_client_t *client, claim_call_state_t *call,
    claim_result_t result, const uint8_t *answer, size_t len, int64_t now_ms)
{
	claim_call_t name = call->name;
	void *request = call->request;

	claim_release_attempt(client, call, now_ms);
	claim_call_free(client, call);
	client->options.result(
	    client->options.ctx, name, request, result, answer, len);
}

static void
claim_retry_later(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	int64_t limit_ms = CLAIM_RETRY_MS;
	uint32_t i;

	for (i = 1; i < call->attempts && limit_ms < CLAIM_RETRY_MAX_MS; i++)
		limit_ms *= 2;
	if (limit_ms > CLAIM_RETRY_MAX_MS)
		limit_ms = CLAIM_RETRY_MAX_MS;
	claim_release_attempt(client, call, now_ms);
	HASH_DEL(client->by_sequence, call);
	call->sequence = ++client->next_sequence;
	HASH_ADD(
	    hh, client->by_sequence, sequence, sizeof(call->sequence), call);
	call->state = CLAIM_STATE_WAITING;
	/* Equal delays would split the votes in the same way again. */
	call->retry_at_ms = now_ms +
	    (client->options.test_fixed_retry
		    ? CLAIM_RETRY_MS
		    : 1 + (int64_t)rng_below(&client->rng, (uint64_t)limit_ms));
}

static uint32_t
claim_count(const claim_call_state_t *call, Tm__ClaimVerdict verdict)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < GROUP_HOLDERS_MAX; i++)
		count += call->verdicts[i] == verdict;
	return (count);
}

static uint32_t
claim_get_majority(const claim_client_t *client, const claim_call_state_t *call)
{
	if (client->options.test_skip_quorum)
		return (1);
	return (group_get_majority(client->options.group, call->shard));
}

/* Acts when no majority of grants is possible any more. */
static void
claim_judge_denied(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	if (claim_count(call, TM__CLAIM_VERDICT__CLAIM_VERDICT_REUSED) > 0)
		claim_end(client, call, CLAIM_REUSED, NULL, 0, now_ms);
	else
		claim_retry_later(client, call, now_ms);
}

static void
claim_judge(claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t count =
	    group_get_holders(client->options.group, call->shard, holders);
	uint32_t majority = claim_get_majority(client, call);
	uint32_t granted =
	    claim_count(call, TM__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED);
	uint32_t silent = claim_count(call, 0) - (GROUP_HOLDERS_MAX - count);
	uint32_t absent =
	    claim_count(call, TM__CLAIM_VERDICT__CLAIM_VERDICT_NOT_READY) +
	    claim_count(call, TM__CLAIM_VERDICT__CLAIM_VERDICT_FULL);

	if (claim_count(call, TM__CLAIM_VERDICT__CLAIM_VERDICT_FINISHED) > 0) {
		claim_end(client, call, CLAIM_UNKNOWN, NULL, 0, now_ms);
		return;
	}
	if (count - silent - absent >= majority)
		call->heard_ms = now_ms;
	if (claim_count(call, TM__CLAIM_VERDICT__CLAIM_VERDICT_RUNNING) > 0)
		call->seen_other = 1;
	if (granted >= majority) {
		call->state = CLAIM_STATE_GRANTED;
		client->options.result(client->options.ctx, call->name,
		    call->request, CLAIM_GRANTED, NULL, 0);
	} else if (granted + silent < majority) {
		claim_judge_denied(client, call, now_ms);
	}
}

static void
claim_release_late(
    claim_client_t *client, node_id_t from, const Tm__ClaimReply *msg)
{
	claim_released_t *released = NULL;
	uint64_t sequence = msg->sequence;

	if (msg->verdict != TM__CLAIM_VERDICT__CLAIM_VERDICT_GRANTED)
		return;
	HASH_FIND(hh, client->released, &sequence, sizeof(sequence), released);
	if (released != NULL)
		claim_send_release(client, released->shard, released->digest,
		    released->sequence, from);
}

/* Verdicts count only together with others of the same epoch. */
static void
claim_start_epoch(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	uint64_t epoch = group_get_epoch(client->options.group, call->shard);

	if (call->state != CLAIM_STATE_ASKING || call->epoch == epoch)
		return;
	call->epoch = epoch;
	if (!client->options.test_mixed_epochs)
		memset(call->verdicts, 0, sizeof(call->verdicts));
	claim_send_ask(client, call, now_ms);
}

static void
claim_client_reply(claim_client_t *client, node_id_t from,
    const Tm__ClaimReply *msg, int64_t now_ms)
{
	claim_call_state_t *call = claim_find_sequence(client, msg->sequence);
	int place;

	if (call == NULL || call->shard != msg->shard) {
		claim_release_late(client, from, msg);
		return;
	}
	if (call->state != CLAIM_STATE_ASKING)
		return;
	group_note_epoch(client->options.group, msg->shard, msg->epoch);
	claim_start_epoch(client, call, now_ms);
	place = group_get_place(
	    client->options.group, msg->shard, from, msg->incarnation);
	if (place < 0 || msg->epoch != call->epoch)
		return;
	if (msg->verdict == TM__CLAIM_VERDICT__CLAIM_VERDICT_ANSWERED) {
		claim_end(client, call, CLAIM_ANSWERED, msg->answer.data,
		    msg->answer.len, now_ms);
		return;
	}
	call->verdicts[place] = msg->verdict;
	claim_judge(client, call, now_ms);
}

int
claim_client_may_dispatch(
    const claim_client_t *client, claim_call_t name, int64_t now_ms)
{
	const claim_call_state_t *call = claim_find_name(client, name);

	if (call == NULL || call->state != CLAIM_STATE_GRANTED)
		return (0);
	return (client->options.test_skip_validity ||
	    now_ms - call->first_asked_ms < CLAIM_VALID_MS);
}

static void
claim_send_finish(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t count =
	    group_get_holders(client->options.group, call->shard, holders);
	Tm__ClaimFinish msg = TM__CLAIM_FINISH__INIT;
	Tm__ClaimOwner owner = claim_get_owner(client, call->sequence);
	uint32_t i;

	msg.shard = call->shard;
	msg.epoch = call->epoch;
	msg.digest.data = call->digest;
	msg.digest.len = CLAIM_DIGEST_BYTES;
	msg.hash = call->hash;
	msg.owner = &owner;
	msg.has_answer = call->has_answer;
	msg.answer.data = call->answer;
	msg.answer.len = call->answer_len;
	call->asked_ms = now_ms;
	for (i = 0; i < count; i++) {
		if (call->verdicts[i] == 0)
			client->options.send(client->options.ctx,
			    holders[i].node, MSG_CLAIM_FINISH, &msg.base);
	}
}

static void
claim_keep_answer(claim_call_state_t *call, const uint8_t *answer, size_t len)
{
	if (answer == NULL || len > CLAIM_ANSWER_MAX_BYTES)
		return;
	call->answer = malloc(len > 0 ? len : 1);
	if (call->answer == NULL)
		return;
	memcpy(call->answer, answer, len);
	call->answer_len = len;
	call->has_answer = 1;
}

int
claim_client_finish(claim_client_t *client, claim_call_t name,
    const uint8_t *answer, size_t len, int64_t now_ms)
{
	claim_call_state_t *call = claim_find_name(client, name);

	if (call == NULL || call->state != CLAIM_STATE_GRANTED)
		return (TM_ENOENT);
	claim_keep_answer(call, answer, len);
	call->state = CLAIM_STATE_FINISHING;
	call->deadline_ms = now_ms + CLAIM_FINISH_MS;
	call->epoch = group_get_epoch(client->options.group, call->shard);
	memset(call->verdicts, 0, sizeof(call->verdicts));
	claim_send_finish(client, call, now_ms);
	return (TM_OK);
}

int
claim_client_release(claim_client_t *client, claim_call_t name, int64_t now_ms)
{
	claim_call_state_t *call = claim_find_name(client, name);

	if (call == NULL || call->state == CLAIM_STATE_FINISHING)
		return (TM_ENOENT);
	claim_release_attempt(client, call, now_ms);
	claim_call_free(client, call);
	return (TM_OK);
}

static void
claim_client_finish_ack(claim_client_t *client, node_id_t from,
    const Tm__ClaimFinishAck *msg, int64_t now_ms)
{
	claim_call_state_t *call = claim_find_sequence(client, msg->sequence);
	group_holder_t holders[GROUP_HOLDERS_MAX];
	uint32_t count;
	int place;

	if (call == NULL || call->state != CLAIM_STATE_FINISHING)
		return;
	place = group_get_place(
	    client->options.group, msg->shard, from, msg->incarnation);
	if (place < 0)
		return;
	call->verdicts[place] = TM__CLAIM_VERDICT__CLAIM_VERDICT_FINISHED;
	count = group_get_holders(client->options.group, call->shard, holders);
	if (claim_count(call, TM__CLAIM_VERDICT__CLAIM_VERDICT_FINISHED) >=
	    count)
		claim_call_free(client, call);
}

static void
claim_tick_asking(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	if (now_ms >= call->deadline_ms ||
	    now_ms - call->heard_ms >= CLAIM_SILENT_MS) {
		claim_end(client, call,
		    call->seen_other ? CLAIM_UNKNOWN : CLAIM_UNAVAILABLE, NULL,
		    0, now_ms);
		return;
	}
	if (call->state == CLAIM_STATE_WAITING) {
		if (now_ms >= call->retry_at_ms)
			claim_start_attempt(client, call, now_ms);
		return;
	}
	claim_start_epoch(client, call, now_ms);
	if (now_ms - call->asked_ms >= CLAIM_AGAIN_MS)
		claim_send_ask(client, call, now_ms);
}

static void
claim_tick_finishing(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	uint64_t epoch = group_get_epoch(client->options.group, call->shard);

	if (now_ms >= call->deadline_ms) {
		if (claim_count(
			call, TM__CLAIM_VERDICT__CLAIM_VERDICT_FINISHED) <
		    claim_get_majority(client, call))
			LOG_EVENT(411, LOG_LEVEL_WARN,
			    "claim outcome not stored at a majority",
			    LOG_NUM("shard", call->shard));
		claim_call_free(client, call);
		return;
	}
	if (call->epoch != epoch) {
		call->epoch = epoch;
		memset(call->verdicts, 0, sizeof(call->verdicts));
		call->asked_ms = 0;
	}
	if (now_ms - call->asked_ms >= CLAIM_AGAIN_MS)
		claim_send_finish(client, call, now_ms);
}

static void
claim_tick_call(
    claim_client_t *client, claim_call_state_t *call, int64_t now_ms)
{
	if (call->state == CLAIM_STATE_FINISHING)
		claim_tick_finishing(client, call, now_ms);
	else if (call->state != CLAIM_STATE_GRANTED)
		claim_tick_asking(client, call, now_ms);
}

void
claim_client_tick(claim_client_t *client, int64_t now_ms)
{
	static claim_call_t names[CLAIM_CALLS_MAX];
	claim_call_state_t *call;
	claim_call_state_t *next;
	claim_released_t *released;
	claim_released_t *next_released;
	uint32_t count = 0;
	uint32_t i;

	/* Result callbacks may end other calls, so names are looked up. */
	HASH_ITER(hh, client->by_sequence, call, next)
		names[count++] = call->name;
	for (i = 0; i < count; i++) {
		call = claim_find_name(client, names[i]);
		if (call != NULL)
			claim_tick_call(client, call, now_ms);
	}
	HASH_ITER(hh, client->released, released, next_released) {
		if (now_ms < released->until_ms)
			break;
		HASH_DEL(client->released, released);
		free(released);
	}
}

int
claim_client_handle(claim_client_t *client, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms)
{
	Tm__ClaimReply *reply;
	Tm__ClaimFinishAck *ack;

	if (type == MSG_CLAIM_REPLY) {
		reply = tm__claim_reply__unpack(NULL, len, payload);
		if (reply == NULL)
			return (TM_EFORMAT);
		claim_client_reply(client, from, reply, now_ms);
		tm__claim_reply__free_unpacked(reply, NULL);
		return (TM_OK);
	}
	if (type != MSG_CLAIM_FINISH_ACK)
		return (TM_EFORMAT);
	ack = tm__claim_finish_ack__unpack(NULL, len, payload);
	if (ack == NULL)
		return (TM_EFORMAT);
	claim_client_finish_ack(client, from, ack, now_ms);
	tm__claim_finish_ack__free_unpacked(ack, NULL);
	return (TM_OK);
}
