#include "gate/gate_limit_permit.h"

#include "base/clock.h"
#include "fleet/fleet_config.h"
#include "gate/gate_attempt.h"
#include "gate/gate_choice.h"

/* Longest time for which a request waits for a permit of a target with a limit,
 * as a fraction of its soft deadline. */
#define WAIT_SHARE 0.25
/* After so many targets without a permit, a request looks for one without a
 * limit, or waits. */
#define REFUSALS_MAX 4

int
gate_limit_permit_is_exhausted(const gate_request_t *request)
{
	return (request->limit_refusals >= REFUSALS_MAX);
}

/* @return 1 if a target is in the incarnation that a permit is for. A target that
 * has restarted since is cold again, and the permit was not counted for it. */
static int
is_permitted(const gate_request_t *request, const gate_target_t *target)
{
	return (target != NULL &&
	    target->incarnation_ms == request->permit_incarnation_ms);
}

/* gate_permit_cb */
static void
on_permit(void *ctx, const gate_permit_reply_t *reply)
{
	gate_request_t *request = ctx;
	gate_t *gate = request->gate;
	gate_pick_options_t pick_options =
	    gate_attempt_get_pick_options(request);
	gate_target_t *target =
	    gate_table_find_target(gate->table, request->permit_target);
	int is_granted = reply->result == GATE_PERMIT_GRANTED;

	request->permit_id = 0;
	if (!is_permitted(request, target))
		target = NULL;
	if (reply->result == GATE_PERMIT_UNKNOWN) {
		request->is_leader_silent = 1;
	} else if (target != NULL && is_granted &&
	    gate_target_is_usable(target, &pick_options)) {
		gate_attempt_send(request, target, 0);
		return;
	} else {
		request->limit_refusals++;
	}
	if (target != NULL && reply->result == GATE_PERMIT_REFUSED)
		gate_limit_wait(
		    &target->limit, reply->wait_ms, pick_options.now_ms);
	gate_attempt_dispatch(request);
}

void
gate_limit_permit_use_share(gate_request_t *request, gate_target_t *target)
{
	gate_t *gate = request->gate;

	if (gate_limit_take_share(&target->limit,
		gate_link_get_gate_count(gate->link), rng_unit(&gate->rng),
		clock_now_ms())) {
		gate_attempt_send(request, target, 0);
		return;
	}
	request->limit_refusals++;
	gate_attempt_dispatch(request);
}

static void
send_request(
    gate_request_t *request, const Tm__Fleet__Spend *msg, gate_permit_cb done)
{
	request->state = GATE_STATE_LIMIT_PERMIT;
	request->permit_id = gate_link_request_permit(
	    request->gate->link, msg, done, request, clock_now_ms());
	if (request->permit_id == 0)
		gate_request_refuse(request, GATE_REFUSAL_OVERLOADED, 0);
}

void
gate_limit_permit_request(gate_request_t *request, const gate_target_t *target)
{
	Tm__Fleet__Spend msg = TM__FLEET__SPEND__INIT;

	msg.kind = FLEET_SPEND_LIMITED;
	msg.service = fleet_name_hash(request->service);
	msg.target = target->key;
	msg.born_ms = target->incarnation_ms;
	msg.limit = target->limit.value;
	request->permit_target = target->key;
	request->permit_incarnation_ms = target->incarnation_ms;
	send_request(request, &msg, on_permit);
}

void
gate_limit_permit_wait(gate_request_t *request)
{
	request->is_leader_silent = 0;
	request->limit_refusals = 0;
	gate_request_delay(request, GATE_REFUSAL_LIMITED);
}

/* gate_permit_cb. A request that would have to wait longer is refused, as its
 * caller can use the time better. */
static void
on_reserved(void *ctx, const gate_permit_reply_t *reply)
{
	gate_request_t *request = ctx;
	const gate_target_t *target;

	request->permit_id = 0;
	if (reply->result == GATE_PERMIT_GRANTED) {
		/* The leader names no incarnation: it is the one that the gate
		 * knows now. */
		target =
		    gate_table_find_target(request->gate->table, reply->target);
		request->reserved_target = reply->target;
		request->permit_incarnation_ms =
		    target != NULL ? target->incarnation_ms : 0;
		gate_request_schedule(
		    request, GATE_REFUSAL_LIMITED, reply->wait_ms);
	} else if (reply->result == GATE_PERMIT_REFUSED) {
		gate_request_refuse(
		    request, GATE_REFUSAL_LIMITED, reply->wait_ms);
	} else {
		gate_limit_permit_wait(request);
	}
}

void
gate_limit_permit_reserve(gate_request_t *request)
{
	Tm__Fleet__Spend msg = TM__FLEET__SPEND__INIT;
	int64_t left_ms = request->deadline_ms - clock_now_ms();
	int64_t wait_ms = (int64_t)(WAIT_SHARE *
	    (double)(left_ms < request->soft_deadline_ms
		    ? left_ms
		    : request->soft_deadline_ms));

	msg.kind = FLEET_SPEND_LIMITED;
	msg.service = fleet_name_hash(request->service);
	msg.excluded = request->tried;
	msg.n_excluded = request->tried_count;
	msg.wait_max_ms = wait_ms > 0 ? (uint32_t)wait_ms : 0;
	send_request(request, &msg, on_reserved);
}

int
gate_limit_permit_use_reserved(gate_request_t *request)
{
	gate_pick_options_t pick_options;
	gate_target_t *target;

	if (request->reserved_target == 0)
		return (0);
	pick_options = gate_attempt_get_pick_options(request);
	target = gate_table_find_target(
	    request->gate->table, request->reserved_target);
	request->reserved_target = 0;
	if (!is_permitted(request, target) ||
	    !gate_target_is_usable(target, &pick_options))
		return (0);
	gate_attempt_send(request, target, 0);
	return (1);
}
