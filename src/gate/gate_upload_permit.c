#include "gate/gate_upload_permit.h"

#include "base/clock.h"
#include "fleet/fleet_config.h"
#include "gate/gate_attempt.h"
#include "gate/gate_choice.h"
#include "gate/gate_limit_permit.h"

static int
is_active(const gate_t *gate)
{
	return (gate->config != NULL && gate->config->has_uploads);
}

int
gate_upload_permit_is_needed(const gate_request_t *request)
{
	return (request->req != NULL &&
	    gate_upload_counts(
		is_active(request->gate), request->req->entity.len));
}

static gate_upload_item_t
describe(const gate_request_t *request, const gate_target_t *target)
{
	return ((gate_upload_item_t){
	    .target = target != NULL ? target->key : 0,
	    .incarnation_ms = target != NULL ? target->incarnation_ms : 0,
	    .service = fleet_name_hash(request->service),
	    .bytes = (uint32_t)request->req->entity.len,
	    .deadline_ms = request->deadline_ms,
	});
}

void
gate_upload_permit_finish(gate_request_t *request, gate_upload_end_t how)
{
	if (request->upload_id == 0)
		return;
	gate_upload_finish(request->gate->upload, request->upload_id, how);
	request->upload_id = 0;
}

void
gate_upload_permit_begin(gate_request_t *request, const gate_target_t *target)
{
	gate_upload_t *upload = request->gate->upload;
	gate_upload_item_t item;

	if (!gate_upload_permit_is_needed(request))
		return;
	if (request->upload_id != 0) {
		gate_upload_set_target(upload, request->upload_id, target->key,
		    target->incarnation_ms);
		return;
	}
	item = describe(request, target);
	request->upload_id = gate_upload_begin(upload, &item);
}

/* A target may have left, or have started again, since the leader chose it. */
static void
use_permit(gate_request_t *request, uint64_t key)
{
	gate_pick_options_t pick_options =
	    gate_attempt_get_pick_options(request);
	gate_target_t *target =
	    gate_table_find_target(request->gate->table, key);

	if (target != NULL && gate_target_is_usable(target, &pick_options)) {
		gate_attempt_send(request, target, 0);
		return;
	}
	gate_upload_permit_finish(request, GATE_UPLOAD_UNANSWERED);
	request->limit_refusals++;
	if (gate_limit_permit_is_exhausted(request))
		gate_request_refuse(request, GATE_REFUSAL_UPLOADS_FULL, 0);
	else
		gate_attempt_dispatch(request);
}

/* gate_permit_cb */
static void
on_permit(void *ctx, const gate_permit_reply_t *reply)
{
	gate_request_t *request = ctx;

	request->permit_id = 0;
	if (reply->result == GATE_PERMIT_GRANTED) {
		use_permit(request, reply->target);
		return;
	}
	/* The leader may have counted it, and its answer was lost. */
	gate_upload_permit_finish(request, GATE_UPLOAD_UNANSWERED);
	if (reply->result == GATE_PERMIT_UNKNOWN) {
		request->is_leader_silent = 1;
		gate_attempt_dispatch(request);
	} else {
		gate_request_refuse(
		    request, GATE_REFUSAL_UPLOADS_FULL, reply->wait_ms);
	}
}

static void
ask_leader(gate_request_t *request, const gate_target_t *target)
{
	Tm__Fleet__Spend msg = TM__FLEET__SPEND__INIT;
	gate_upload_item_t item = describe(request, target);
	int64_t now_ms = clock_now_ms();

	request->upload_id = gate_upload_begin(request->gate->upload, &item);
	msg.kind = FLEET_SPEND_UPLOAD;
	msg.service = item.service;
	msg.target = item.target;
	msg.born_ms = item.incarnation_ms;
	msg.may_repeat = request->repeat_allowed;
	if (target != NULL)
		msg.limit = target->limit.value;
	msg.excluded = request->tried;
	msg.n_excluded = request->tried_count;
	msg.bytes = item.bytes;
	msg.left_ms = item.deadline_ms > now_ms
	    ? (uint32_t)(item.deadline_ms - now_ms)
	    : 0;
	msg.upload = request->upload_id;
	request->state = GATE_STATE_UPLOAD_PERMIT;
	if (request->upload_id != 0)
		request->permit_id = gate_link_request_permit(
		    request->gate->link, &msg, on_permit, request, now_ms);
	if (request->permit_id == 0)
		gate_request_refuse(request, GATE_REFUSAL_OVERLOADED, 0);
}

/* Without a leader, which comes back within a second as a rule, a request waits
 * for room in the gate's share. */
static void
use_share(gate_request_t *request, gate_target_t *target)
{
	const gate_upload_fleet_t fleet = {
		.gates = gate_link_get_gate_count(request->gate->link),
		.targets = target != NULL ? target->service->count : 0,
	};
	gate_upload_item_t item = describe(request, target);

	if (target != NULL &&
	    gate_upload_has_share(request->gate->upload, &item, &fleet)) {
		if (gate_limit_needs_permit(&target->limit, clock_now_ms()))
			gate_limit_permit_use_share(request, target);
		else
			gate_attempt_send(request, target, 0);
		return;
	}
	request->is_leader_silent = 0;
	request->limit_refusals = 0;
	gate_request_delay(request,
	    target != NULL ? GATE_REFUSAL_UPLOADS_FULL : GATE_REFUSAL_LIMITED);
}

void
gate_upload_permit_acquire(
    gate_request_t *request, gate_target_t *target, int has_leader)
{
	if (has_leader)
		ask_leader(request, target);
	else
		use_share(request, target);
}

void
gate_upload_permit_report(gate_t *gate, int is_full)
{
	Tm__Fleet__Uploads msg;

	if (!is_active(gate) ||
	    (!is_full && !gate_upload_has_ends(gate->upload)))
		return;
	if (gate_upload_fill(gate->upload, is_full, clock_now_ms(), &msg) &&
	    gate_link_report_uploads(gate->link, &msg))
		gate_upload_clear_report(gate->upload);
}
