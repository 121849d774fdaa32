#include <string.h>

#include "base/error.h"
#include "control/admin_internal.h"
#include "control/control_internal.h"
#include "control/recovery.h"

static json_t *
admin_write_plan(const control_t *control, const recovery_plan_t *plan)
{
	return (json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:b, "
			  "s:I, s:I, s:i, s:i, s:i, s:i}",
	    "node", control->settings.node, "last_index",
	    (json_int_t)plan->raft.last_index, "last_term",
	    (json_int_t)plan->raft.last_term, "commit",
	    (json_int_t)plan->raft.commit, "version", (json_int_t)plan->version,
	    "newest_of_entry_vms", (json_int_t)plan->newest, "continues_from",
	    (json_int_t)plan->base, "may_be_lost",
	    (json_int_t)plan->may_be_lost, "new_epoch",
	    (json_int_t)plan->raft.epoch, "keeps_log", plan->keeps_log,
	    "highest_known", (json_int_t)plan->accepted, "leader_silence_ms",
	    (json_int_t)plan->raft.leader_silence_ms, "voters",
	    plan->raft.voters, "voters_heard", plan->raft.voters_heard,
	    "entry_vms", (int)plan->entry_vms, "entry_vms_heard",
	    (int)plan->entry_vms_heard));
}

static const char *
admin_get_recovery_reason(int err)
{
	switch (err) {
	case TM_EINUSE:
		return ("a leader or a majority of the control VMs was heard "
			"within 10 s; a recovery would lose what they accept");
	case TM_ESTALE:
		return ("another control VM that answers has a more advanced "
			"log; recover from that one");
	case TM_EINVAL:
		return ("the disk of this control VM holds no vote");
	case TM_EEPOCH:
		return ("the control VMs were recovered without this disk; "
			"empty its data folder and start it again");
	case TM_EVERSION:
		return ("the confirmation does not match; what can be "
			"recovered has changed, look at a new dry run");
	case TM_EUNAVAIL:
		return ("not all entry VMs were heard yet, or the newest "
			"configuration is still being read; try again, after "
			"60 s silent entry VMs are left out");
	default:
		return ("the data folder or memory failed, see the log");
	}
}

/* Refusals have the state in which they were made. */
static void
admin_refuse_recovery(
    admin_request_t *request, int err, const recovery_plan_t *plan)
{
	json_t *body = admin_write_plan(request->api->control, plan);

	json_object_set_new(body, "error", json_string("recovery refused"));
	json_object_set_new(
	    body, "reason", json_string(admin_get_recovery_reason(err)));
	json_object_set_new(body, "remedy",
	    json_string("see \"Most control disks lost\" in the handbook"));
	admin_send(request->req, 409, body);
}

static int
admin_read_confirm(admin_request_t *request, char *out, size_t size)
{
	json_check_t *check = json_check_create();
	json_node_t root;
	int errors;

	if (check == NULL)
		return (TM_ENOMEM);
	if (json_check_load_text(check, "recovery", request->req->entity.base,
		request->req->entity.len, &root) == TM_OK) {
		snprintf(out, size, "%s",
		    json_need_text(&root, "confirm", 1, size - 1));
		json_node_finish(&root);
	}
	errors = json_check_get_error_count(check);
	if (errors > 0)
		admin_send_problems(request->req, check);
	json_check_destroy(check);
	return (errors == 0 ? TM_OK : TM_EINVAL);
}

static void
admin_run_recovery(admin_request_t *request)
{
	control_t *control = request->api->control;
	char confirm[RECOVERY_CONFIRM_BYTES] = "";
	recovery_plan_t plan;
	json_t *body;
	int err;

	if (admin_read_confirm(request, confirm, sizeof(confirm)) != TM_OK)
		return;
	recovery_plan(control->recovery, &plan);
	err = recovery_run(control->recovery, confirm);
	if (err != TM_OK) {
		admin_refuse_recovery(request, err, &plan);
		return;
	}
	LOG_EVENT(244, LOG_LEVEL_WARN, "the configuration is recovered",
	    LOG_TEXT("operator", request->operator_->name),
	    LOG_NUM("continues_from", plan.base),
	    LOG_NUM("may_be_lost", plan.may_be_lost));
	body = admin_write_plan(control, &plan);
	json_object_set_new(body, "recovered", json_true());
	admin_send(request->req, 200, body);
}

void
admin_handle_recovery(admin_request_t *request)
{
	control_t *control = request->api->control;
	recovery_plan_t plan;
	json_t *body;

	if (!request->dry_run) {
		admin_run_recovery(request);
		return;
	}
	recovery_plan(control->recovery, &plan);
	if (plan.err != TM_OK) {
		admin_refuse_recovery(request, plan.err, &plan);
		return;
	}
	body = admin_write_plan(control, &plan);
	json_object_set_new(body, "dry_run", json_true());
	json_object_set_new(body, "confirm", json_string(plan.confirm));
	admin_send(request->req, 200, body);
}
