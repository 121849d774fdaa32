#include "entry/trace.h"

#include <stdlib.h>
#include <string.h>

#define TRACE_FOUND_MAX 16

struct entry_trace {
	uint64_t count;
	trace_record_t records[TRACE_RECORDS];
};

entry_trace_t *
trace_create(void)
{
	return (calloc(1, sizeof(entry_trace_t)));
}

void
trace_add(entry_trace_t *trace, const trace_record_t *record)
{
	trace->records[trace->count % TRACE_RECORDS] = *record;
	trace->count++;
}

static const char *
trace_get_run(const trace_record_t *record)
{
	if (record->is_answered)
		return ("yes");
	return (record->is_run_unknown ? "unknown" : "no");
}

static json_t *
trace_describe(const trace_record_t *record, int64_t now_ms)
{
	json_t *value = json_pack(
	    "{s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:i, s:I, s:I}", "request_id",
	    record->request_id, "workspace", record->workspace, "service",
	    record->service, "target", record->target, "status", record->status,
	    "outcome", record->reason, "run", trace_get_run(record), "attempts",
	    (int)record->attempts, "age_ms",
	    (json_int_t)(now_ms - record->ended_ms), "latency_us",
	    (json_int_t)record->latency_us);

	if (record->retry_after_ms > 0)
		json_object_set_new(value, "retry_after_ms",
		    json_integer(record->retry_after_ms));
	json_object_set_new(value, "reason", json_string(record->detail));
	json_object_set_new(value, "remedy", json_string(record->remedy));
	return (value);
}

json_t *
trace_find(const entry_trace_t *trace, const char *request_id, int64_t now_ms)
{
	json_t *list = json_array();
	const trace_record_t *record;
	uint64_t at = trace->count;
	uint64_t oldest = at > TRACE_RECORDS ? at - TRACE_RECORDS : 0;

	while (at > oldest && json_array_size(list) < TRACE_FOUND_MAX) {
		record = &trace->records[--at % TRACE_RECORDS];
		if (strcmp(record->request_id, request_id) == 0)
			json_array_append_new(
			    list, trace_describe(record, now_ms));
	}
	return (list);
}
