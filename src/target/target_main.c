/* tm-target: stand-in target for tests and measurement; see docs/target.md. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include <h2o.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "settings/program_args.h"
#include "settings/program_signals.h"
#include "target/target_announce.h"
#include "target/target_http.h"
#include "target/target_job.h"
#include "target/target_settings.h"

#define EXIT_USAGE	  2
#define ADMIN_CAP	  64
#define DRAIN_INTERVAL_MS 10
/* Running requests get this long after the notice, then the target stops. */
#define DRAIN_LIMIT_MS 60000
#define PATH_IS(req, text) \
	h2o_memis((req)->path.base, (req)->path.len, text, sizeof(text) - 1)
#define METHOD_IS(req, text) \
	h2o_memis((req)->method.base, (req)->method.len, text, sizeof(text) - 1)

typedef struct target {
	uv_loop_t loop;
	target_settings_t settings;
	target_pool_t pool;
	target_announce_t *announce;
	target_http_t *callers;
	target_http_t *admin;
	program_signals_t signals;
	uv_timer_t drain;
	int leaving;
	int64_t leave_ms;
	int64_t incarnation;
} target_t;

static void
reply_health(target_t *target, h2o_req_t *req)
{
	target_lie_t lie = target->pool.fault.health;
	int ok = lie == TARGET_LIE_GOOD ||
	    (lie == TARGET_LIE_TRUE && !target->leaving);

	target_http_reply(req, ok ? 200 : 503,
	    ok ? "{\"state\":\"ok\"}\n" : "{\"state\":\"bad\"}\n");
}

static void
reply_load(target_t *target, h2o_req_t *req)
{
	const char *load = target_pool_get_load(&target->pool);
	int running = 0, queued = 0, slots = 0;
	char body[128];

	target_http_add_header(req, "x-tm-load", load);
	if (sscanf(load, "running=%d;queued=%d;slots=%d", &running, &queued,
		&slots) != 3)
		running = -1;
	snprintf(body, sizeof(body),
	    "{\"running\":%d,\"queued\":%d,\"slots\":%d}\n", running, queued,
	    slots);
	target_http_reply(req, 200, body);
}

static void
on_caller_request(void *ctx, h2o_req_t *req)
{
	target_t *target = ctx;

	if (PATH_IS(req, "/health"))
		reply_health(target, req);
	else if (PATH_IS(req, "/load"))
		reply_load(target, req);
	else
		target_pool_submit(&target->pool, req);
}

static void
reply_json(h2o_req_t *req, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	target_http_reply(req, status, text != NULL ? text : "{}");
	free(text);
	json_decref(value);
}

static void
put_faults(target_t *target, h2o_req_t *req)
{
	json_check_t *check = json_check_create();
	target_fault_t *fault = &target->pool.fault;

	if (check == NULL) {
		target_http_reply(req, 500, "{\"error\":\"memory\"}\n");
		return;
	}
	if (target_fault_parse(check, req->entity.base, req->entity.len,
		clock_now_ms(), fault) == 0) {
		LOG_EVENT(807, LOG_LEVEL_INFO, "faults changed");
		target->pool.load_at_ms = INT64_MIN;
		reply_json(req, 200, target_fault_to_json(fault));
	} else {
		reply_json(req, 400,
		    json_pack("{s:s, s:o}", "error", "malformed faults",
			"errors", json_check_to_json(check)));
	}
	json_check_destroy(check);
}

static json_t *
get_status(target_t *target)
{
	target_pool_t *pool = &target->pool;

	return (json_pack(
	    "{s:s, s:I, s:s, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:I}", "id",
	    target->settings.id, "incarnation", (json_int_t)target->incarnation,
	    "state", target->leaving ? "leaving" : "serving", "running",
	    pool->running, "queued", pool->queued, "connections",
	    target_http_get_connections(target->callers), "ran",
	    (json_int_t)pool->ran, "shed", (json_int_t)pool->shed, "cancelled",
	    (json_int_t)pool->cancelled, "announced",
	    (json_int_t)target_announce_get_accepted(target->announce),
	    "announce_failed",
	    (json_int_t)target_announce_get_failed(target->announce)));
}

static void
on_admin_request(void *ctx, h2o_req_t *req)
{
	target_t *target = ctx;

	if (PATH_IS(req, "/faults") && METHOD_IS(req, "PUT"))
		put_faults(target, req);
	else if (PATH_IS(req, "/faults") && METHOD_IS(req, "GET"))
		reply_json(req, 200, target_fault_to_json(&target->pool.fault));
	else if (PATH_IS(req, "/status") && METHOD_IS(req, "GET"))
		reply_json(req, 200, get_status(target));
	else
		target_http_reply(req, 404,
		    "{\"error\":\"unknown path\",\"remedy\":\"use GET or PUT "
		    "/faults, or GET /status\"}\n");
}

static void
on_drain(uv_timer_t *timer)
{
	target_t *target = timer->data;
	int64_t left_ms = clock_now_ms() - target->leave_ms -
	    target->settings.leave_notice_ms;

	if (left_ms < 0)
		return;
	target->pool.refusing = 1;
	target_http_stop(target->callers);
	if (target->pool.jobs == NULL || left_ms > DRAIN_LIMIT_MS) {
		LOG_EVENT(809, LOG_LEVEL_INFO, "stopped",
		    LOG_NUM("ran", (int64_t)target->pool.ran),
		    LOG_NUM("cut_off", target->pool.running));
		uv_stop(&target->loop);
	}
}

static void
on_stop(void *ctx)
{
	target_t *target = ctx;

	if (target->leaving)
		return;
	target->leaving = 1;
	target->leave_ms = clock_now_ms();
	LOG_EVENT(808, LOG_LEVEL_INFO, "leaving",
	    LOG_NUM("notice_ms", target->settings.leave_notice_ms));
	target_announce_leave(target->announce);
	uv_timer_start(
	    &target->drain, on_drain, DRAIN_INTERVAL_MS, DRAIN_INTERVAL_MS);
}

static int
start(target_t *target)
{
	const target_settings_t *s = &target->settings;
	target_record_t *record = &target->pool.record;

	record->id = s->id;
	record->incarnation = target->incarnation;
	record->marker = s->marker;
	record->with_starts = s->record_starts;
	record->with_arrivals = s->record_arrivals;
	if (target_record_open(record, s->record) != TM_OK) {
		LOG_EVENT(802, LOG_LEVEL_ERROR, "cannot open the record",
		    LOG_TEXT("path", s->record));
		return (TM_EIO);
	}
	uv_loop_init(&target->loop);
	target_pool_init(&target->pool, &target->loop, s);
	if (target_http_listen(&target->loop, &s->listen, s->connection_cap,
		on_caller_request, target, &target->callers) != TM_OK ||
	    target_http_listen(&target->loop, &s->admin_listen, ADMIN_CAP,
		on_admin_request, target, &target->admin) != TM_OK)
		return (TM_EIO);
	target->announce =
	    target_announce_start(&target->loop, s, target->incarnation);
	if (target->announce == NULL)
		return (TM_ENOMEM);
	uv_timer_init(&target->loop, &target->drain);
	target->drain.data = target;
	program_watch_signals(
	    &target->signals, &target->loop, on_stop, NULL, target);
	LOG_EVENT(800, LOG_LEVEL_INFO, "target started",
	    LOG_NUM("port", ntohs(s->listen.sin_port)),
	    LOG_NUM("incarnation", target->incarnation));
	return (TM_OK);
}

static const char example[] =
    "{\n"
    "  \"id\": \"target-1\",\n"
    "  \"service\": \"service-1\",\n"
    "  \"data_centre\": \"dc-1\",\n"
    "  \"listen\": \"127.0.0.1:8100\",\n"
    "  \"admin_listen\": \"127.0.0.1:8101\",\n"
    "  \"entries\": [\"127.0.0.1:7300\"],\n"
    "  \"target_secret\": \"replace-with-32-random-bytes\",\n"
    "  \"slots\": 6,\n"
    "  \"queue\": 4,\n"
    "  \"connection_cap\": 400,\n"
    "  \"service_time\": {\"kind\": \"lognormal\", \"mean_ms\": 5},\n"
    "  \"cold_start\": {\"duration_ms\": 10000, \"factor\": 3},\n"
    "  \"record\": \"target-1.record\"\n"
    "}\n";

static int
run(target_t *target, const char *file, int only_check)
{
	json_check_t *check = json_check_create();
	log_level_t level = LOG_LEVEL_INFO;
	int status = EXIT_USAGE;

	if (check == NULL)
		return (EXIT_FAILURE);
	if (target_settings_load(check, file, &target->settings) > 0) {
		json_check_print(check, stderr);
	} else if (only_check) {
		status = 0;
	} else {
		log_parse_level(target->settings.log_level, &level);
		log_configure(stderr, level, target->settings.id);
		target->incarnation = clock_wall_ms();
		status = start(target) == TM_OK ? 0 : EXIT_FAILURE;
		if (status == 0)
			uv_run(&target->loop, UV_RUN_DEFAULT);
	}
	json_check_destroy(check);
	return (status);
}

int
main(int argc, char **argv)
{
	static target_t target;
	program_args_t args;

	if (!program_args_parse(argc, argv, "tm-target", example, 0, &args))
		return (args.status);
	return (run(&target, args.settings, args.check));
}
