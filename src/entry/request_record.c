/* What became of requests: trace, counters and latencies. */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "entry/request.h"
#include "entry/trace.h"

#define NS_PER_US 1000
/* In the trace only; nobody is left to receive it. */
#define STATUS_GONE 499

/* Adds what became of a request to the trace and to the latencies. */
static void
request_record(entry_request_t *request, trace_record_t *record)
{
	int64_t now_ns = clock_now_ns();
	int64_t latency_us = (now_ns - request->started_ns) / NS_PER_US;

	record->attempts = request->tried_count;
	record->ended_ms = now_ns / NS_PER_MS;
	record->latency_us = latency_us;
	snprintf(
	    record->request_id, sizeof(record->request_id), "%s", request->id);
	snprintf(record->workspace, sizeof(record->workspace), "%s",
	    request->workspace->name);
	snprintf(record->service, sizeof(record->service), "%s",
	    request->service->name);
	snprintf(
	    record->target, sizeof(record->target), "%s", request->last_target);
	trace_add(request->entry->trace, record);
	metric_record_us(&request->workspace->latency, latency_us);
	metric_record_us(request->service->latency, latency_us);
}

void
request_record_answer(entry_request_t *request, int status, const char *reason)
{
	trace_record_t record = {
		.reason = reason,
		.detail = "",
		.remedy = "",
		.status = status,
		.is_answered = 1,
	};

	request_record(request, &record);
}

void
request_record_gone(entry_request_t *request)
{
	trace_record_t record = {
		.reason = "gone",
		.detail = "the caller closed the connection before the answer",
		.remedy = "",
		.status = STATUS_GONE,
		.is_run_unknown = request->may_have_run,
	};

	request_record(request, &record);
}

static void
trace_fill_refusal(
    trace_record_t *record, refusal_t refusal, int64_t retry_after_ms)
{
	const refusal_info_t *info = refusal_get_info(refusal);

	record->reason = info->error;
	record->detail = info->reason;
	record->remedy = info->remedy;
	record->status = info->status;
	record->is_run_unknown = info->is_run_unknown;
	record->retry_after_ms = retry_after_ms;
}

static void
count_refusal(entry_t *entry, entry_workspace_t *workspace, refusal_t refusal)
{
	metric_add(entry->refusals[refusal], 1);
	if (workspace == NULL)
		return;
	metric_add(refusal == REFUSAL_RATE ? &workspace->refused_rate
					   : &workspace->refused_other,
	    1);
}

void
request_record_refusal(
    entry_request_t *request, refusal_t refusal, int64_t retry_after_ms)
{
	trace_record_t record = { 0 };

	count_refusal(request->entry, request->workspace, refusal);
	metric_add(request->service->refused, 1);
	trace_fill_refusal(&record, refusal, retry_after_ms);
	request_record(request, &record);
}

void
request_refuse_early(entry_t *entry, h2o_req_t *req, refusal_t refusal,
    const char *id, int64_t started_ns)
{
	int64_t now_ns = clock_now_ns();
	trace_record_t record = {
		.ended_ms = now_ns / NS_PER_MS,
		.latency_us = (now_ns - started_ns) / NS_PER_US,
	};

	count_refusal(entry, NULL, refusal);
	trace_fill_refusal(&record, refusal, 0);
	snprintf(record.request_id, sizeof(record.request_id), "%s", id);
	if (id[0] != '\0')
		trace_add(entry->trace, &record);
	refusal_send(req, refusal, id, 0);
}
