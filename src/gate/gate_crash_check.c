#include "gate/gate_crash_check.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "net/connect_check.h"

/* A process that ends may close its connections before its listener. */
#define CHECK_DELAY_MS 20
/* A live host refuses or accepts a connection well within this time. */
#define CHECK_TIMEOUT_MS 500
/* Further breaks are not checked meanwhile. */
#define CHECKS_MAX 64

typedef struct crash_check {
	gate_t *gate;
	uint64_t fingerprint;
	char request_id[GATE_REQUEST_ID_MAX_BYTES + 1];
	char target[FLEET_TARGET_ID_MAX_BYTES + 1];
	uint64_t target_key;
	uint64_t incarnation_ms;
	int64_t sent_ms; /* of the request */
	int64_t broken_ms; /* end of the connection */
} crash_check_t;

static const char *
get_result_name(connect_check_result_t result)
{
	static const char *const names[] = { "accepts connections", "ended",
		"unknown" };

	return (names[result]);
}

static void
report_crash(const crash_check_t *check, int is_unsure)
{
	Tm__Fleet__Crash msg = TM__FLEET__CRASH__INIT;
	int64_t now_ms = clock_now_ms();

	msg.fingerprint = check->fingerprint;
	msg.target = check->target_key;
	msg.born_ms = check->incarnation_ms;
	msg.sent_age_ms = (uint32_t)(now_ms - check->sent_ms);
	msg.broken_age_ms = (uint32_t)(now_ms - check->broken_ms);
	msg.is_unsure = is_unsure;
	gate_link_report_crash(check->gate->link, &msg);
}

/* connect_check_cb */
static void
on_checked(void *ctx, connect_check_result_t result)
{
	crash_check_t *check = ctx;

	check->gate->crash_checks--;
	LOG_EVENT(964, LOG_LEVEL_INFO, "target checked after a broken attempt",
	    LOG_TEXT("request_id", &check->request_id[0]),
	    LOG_NUM("fingerprint", check->fingerprint),
	    LOG_TEXT("target", &check->target[0]),
	    LOG_TEXT("result", get_result_name(result)),
	    LOG_NUM("ran_ms", check->broken_ms - check->sent_ms));
	report_crash(check, result != CONNECT_CHECK_REFUSED);
	free(check);
}

void
gate_crash_check_record_answer(gate_request_t *request)
{
	Tm__Fleet__Crash msg = TM__FLEET__CRASH__INIT;

	msg.fingerprint = gate_wire_get_fingerprint(request);
	msg.is_harmless = 1;
	if (gate_crash_record_answer(
		request->gate->crash, msg.fingerprint, clock_now_ms()))
		gate_link_report_crash(request->gate->link, &msg);
}

int64_t
gate_crash_check_get_block_ms(gate_request_t *request)
{
	const gate_crash_t *crash = request->gate->crash;

	if (!gate_crash_has_any(crash) || request->req == NULL)
		return (0);
	return (gate_crash_get_block_ms(
	    crash, gate_wire_get_fingerprint(request), clock_now_ms()));
}

void
gate_crash_check_start(gate_request_t *request, const gate_target_t *target)
{
	gate_t *gate = request->gate;
	crash_check_t *check;
	connect_check_options_t options = {
		.loop = gate->loop,
		.to = target->addr,
		.delay_ms = CHECK_DELAY_MS,
		.timeout_ms = CHECK_TIMEOUT_MS,
		.done = on_checked,
	};

	if (gate->crash_checks >= CHECKS_MAX ||
	    gate_crash_is_harmless(gate->crash,
		gate_wire_get_fingerprint(request), clock_now_ms()))
		return;
	check = calloc(1, sizeof(*check));
	if (check == NULL)
		return;
	check->gate = gate;
	check->fingerprint = gate_wire_get_fingerprint(request);
	snprintf(
	    check->request_id, sizeof(check->request_id), "%s", request->id);
	snprintf(check->target, sizeof(check->target), "%s", target->id);
	check->target_key = target->key;
	check->incarnation_ms = target->incarnation_ms;
	check->sent_ms = request->sent_ms;
	check->broken_ms = clock_now_ms();
	options.ctx = check;
	if (connect_check_start(&options) != TM_OK) {
		free(check);
		return;
	}
	gate->crash_checks++;
}
