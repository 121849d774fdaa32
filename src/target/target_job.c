#include "target/target_job.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utlist.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "net/stream_end.h"
#include "target/target_http.h"

/* How often connections are looked at for a caller that went away. */
#define WATCH_INTERVAL_MS 5
/* Exit status of a crash on request. */
#define CRASH_EXIT_STATUS 134
#define CRASH_MARK	  "X-TEST-CRASH"
#define HEAD_MAX	  1536

/* Link from the memory pool of a request to its job. */
typedef struct target_guard {
	target_job_t *job; /* NULL once the job is released */
} target_guard_t;

struct target_job {
	h2o_generator_t generator; /* must be first */
	target_pool_t *pool;
	h2o_req_t *req; /* NULL once h2o has released the request */
	target_guard_t *guard; /* in the request's memory pool */
	uv_timer_t timer;
	int is_running;
	int has_deadline;
	int64_t deadline_ms;
	target_act_t act;
	int crashes;
	int64_t arrived_ms;
	int64_t started_ms;
	int64_t next_watch_ms; /* when to look whether the caller is there */
	json_t *line;
	h2o_iovec_t body;
	size_t sent;
	target_job_t *prev, *next; /* all jobs */
	target_job_t *queue_next;
};

static void start_job(target_job_t *job);
static void on_service_done(uv_timer_t *timer);

static void
on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* Detaches the job from its request and the pool and frees it. */
static void
release_job(target_job_t *job)
{
	if (job->guard != NULL)
		job->guard->job = NULL;
	DL_DELETE(job->pool->jobs, job);
	uv_close((uv_handle_t *)&job->timer, on_timer_closed);
}

static void
start_queued(target_pool_t *pool)
{
	target_job_t *job;

	while (pool->running < pool->settings->slots &&
	    (job = pool->queue_head) != NULL) {
		pool->queue_head = job->queue_next;
		if (pool->queue_head == NULL)
			pool->queue_tail = NULL;
		pool->queued--;
		start_job(job);
	}
}

static void
end_run(target_job_t *job, const char *outcome, int status)
{
	target_pool_t *pool = job->pool;

	target_record_end(
	    &pool->record, job->line, clock_now_ms(), outcome, status);
	job->line = NULL;
	pool->running--;
	release_job(job);
	start_queued(pool);
}

static void
unlink_queued(target_job_t *job)
{
	target_pool_t *pool = job->pool;
	target_job_t **at = &pool->queue_head;
	target_job_t *last = NULL;

	while (*at != NULL && *at != job) {
		last = *at;
		at = &(*at)->queue_next;
	}
	if (*at == NULL)
		return;
	*at = job->queue_next;
	if (pool->queue_tail == job)
		pool->queue_tail = last;
	pool->queued--;
}

static void
cancel_job(target_job_t *job)
{
	job->pool->cancelled++;
	if (job->is_running) {
		end_run(job, "cancelled", 0);
		return;
	}
	unlink_queued(job);
	release_job(job);
}

/* Called by h2o when it releases the request. */
static void
on_request_released(void *guard)
{
	target_job_t *job = ((target_guard_t *)guard)->job;

	if (job == NULL)
		return;
	job->guard = NULL;
	job->req = NULL;
	cancel_job(job);
}

/* Closes the connection without sending anything further. */
static void
break_connection(h2o_req_t *req, int has_started)
{
	shutdown(target_http_get_fd(req), SHUT_RDWR);
	req->http1_is_persistent = 0;
	if (has_started)
		h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
	else
		target_http_reply(req, 500, "");
}

static target_job_t *
find_gone(target_pool_t *pool, int64_t now_ms)
{
	target_job_t *job;

	for (job = pool->jobs; job != NULL; job = job->next) {
		if (job->act == TARGET_ACT_LATE || job->next_watch_ms > now_ms)
			continue;
		job->next_watch_ms = now_ms + WATCH_INTERVAL_MS;
		if (stream_end_is_pending(target_http_get_fd(job->req)))
			return (job);
	}
	return (NULL);
}

/* h2o does not read a connection while its request runs, so a caller that
 * went away is only found by looking. */
static void
on_watch(uv_timer_t *timer)
{
	target_pool_t *pool = timer->data;
	int64_t now_ms = clock_now_ms();
	target_job_t *job;
	h2o_req_t *req;
	int has_started;

	while ((job = find_gone(pool, now_ms)) != NULL) {
		req = job->req;
		has_started = job->sent > 0;
		cancel_job(job);
		break_connection(req, has_started);
	}
}

void
target_pool_init(
    target_pool_t *pool, uv_loop_t *loop, const target_settings_t *settings)
{
	pool->loop = loop;
	pool->settings = settings;
	pool->started_ms = clock_now_ms();
	pool->load_at_ms = INT64_MIN;
	rng_init(&pool->rng, settings->seed);
	target_fault_reset(&pool->fault);
	uv_timer_init(loop, &pool->watch);
	pool->watch.data = pool;
	uv_timer_start(
	    &pool->watch, on_watch, WATCH_INTERVAL_MS, WATCH_INTERVAL_MS);
}

const char *
target_pool_get_load(target_pool_t *pool)
{
	int64_t now_ms = clock_now_ms();
	int slots = pool->settings->slots;
	int running = pool->running;
	int queued = pool->queued;

	if (pool->fault.load_lag_ms > 0 && pool->load_at_ms != INT64_MIN &&
	    now_ms - pool->load_at_ms < pool->fault.load_lag_ms)
		return (pool->load_text);
	pool->load_at_ms = now_ms;
	if (pool->fault.load == TARGET_LIE_GOOD) {
		running = 0;
		queued = 0;
	} else if (pool->fault.load == TARGET_LIE_BAD) {
		running = slots;
		queued = pool->settings->queue;
	}
	snprintf(pool->load_text, sizeof(pool->load_text),
	    "running=%d;queued=%d;slots=%d", running, queued, slots);
	return (pool->load_text);
}

static void
add_common_headers(target_pool_t *pool, h2o_req_t *req)
{
	target_http_add_header(req, "x-tm-load", target_pool_get_load(pool));
	target_http_add_header(req, "x-tm-target", pool->settings->id);
}

static void
shed_request(target_pool_t *pool, h2o_req_t *req, const char *why)
{
	char body[160];

	pool->shed++;
	add_common_headers(pool, req);
	target_http_add_header(req, "x-tm-shed", "1");
	snprintf(body, sizeof(body),
	    "{\"error\":\"shed\",\"run\":\"no\",\"reason\":\"%s\"}\n", why);
	target_http_reply(req, 503, body);
}

static double
draw_normal(rng_t *rng)
{
	double u = 1.0 - rng_unit(rng);

	return (sqrt(-2.0 * log(u)) * cos(2.0 * M_PI * rng_unit(rng)));
}

static double
draw_service_ms(target_pool_t *pool)
{
	const target_settings_t *s = pool->settings;
	double ms = s->time_mean_ms;

	switch (s->time_kind) {
	case TARGET_TIME_FIXED:
		break;
	case TARGET_TIME_UNIFORM:
		ms *= 2.0 * rng_unit(&pool->rng);
		break;
	case TARGET_TIME_EXPONENTIAL:
		ms *= -log(1.0 - rng_unit(&pool->rng));
		break;
	case TARGET_TIME_LOGNORMAL:
		/* The shift keeps the mean independent of sigma. */
		ms *= exp(s->time_sigma * draw_normal(&pool->rng) -
		    s->time_sigma * s->time_sigma / 2.0);
		break;
	}
	return (ms < s->time_max_ms ? ms : s->time_max_ms);
}

static double
get_slowdown(target_pool_t *pool, int64_t now_ms)
{
	const target_settings_t *s = pool->settings;
	int64_t age_ms = now_ms - pool->started_ms;
	double factor = 1;

	if (target_fault_is_on(&pool->fault, now_ms))
		factor = pool->fault.slow_factor;
	if (age_ms < s->cold_start_ms)
		factor *= 1 +
		    (s->cold_start_factor - 1) *
			(1 - (double)age_ms / s->cold_start_ms);
	return (factor);
}

/* Rounds to whole timer ticks so that the mean stays the same. */
static uint64_t
round_ms(rng_t *rng, double ms)
{
	return ((uint64_t)(ms + rng_unit(rng)));
}

static uint64_t
get_service_ms(target_job_t *job, int64_t now_ms)
{
	h2o_iovec_t asked =
	    target_http_get_header(job->req, "x-test-service-ms");
	target_pool_t *pool = job->pool;
	double ms = draw_service_ms(pool);

	if (asked.len > 0 && asked.len < 8)
		ms = strtod(
		    h2o_strdup(&job->req->pool, asked.base, asked.len).base,
		    NULL);
	return (round_ms(&pool->rng, ms * get_slowdown(pool, now_ms)));
}

static int
is_crash_marked(h2o_req_t *req)
{
	h2o_iovec_t mark = target_http_get_header(req, "x-test-crash");

	if (mark.len == 1 && mark.base[0] == '1')
		return (1);
	return (req->entity.len > 0 &&
	    memmem(req->entity.base, req->entity.len, CRASH_MARK,
		sizeof(CRASH_MARK) - 1) != NULL);
}

static void
start_job(target_job_t *job)
{
	target_pool_t *pool = job->pool;
	int64_t now_ms = clock_now_ms();
	uint64_t service_ms;
	h2o_req_t *req;

	if (job->has_deadline && now_ms >= job->deadline_ms) {
		req = job->req;
		release_job(job);
		shed_request(pool, req, "the deadline passed in the queue");
		return;
	}
	pool->running++;
	pool->ran++;
	job->is_running = 1;
	job->started_ms = now_ms;
	job->act = target_fault_draw(&pool->fault, &pool->rng, now_ms);
	job->crashes = pool->fault.crash_on_mark && is_crash_marked(job->req);
	job->line = target_record_start(
	    &pool->record, job->req, job->arrived_ms, now_ms);
	service_ms = get_service_ms(job, now_ms);
	if (job->act == TARGET_ACT_STALL_HEAD)
		service_ms += (uint64_t)pool->fault.stall_ms;
	if (job->act == TARGET_ACT_LATE) {
		service_ms += (uint64_t)pool->fault.late_ms;
		if (job->has_deadline)
			service_ms += (uint64_t)(job->deadline_ms - now_ms);
	} else if (job->has_deadline &&
	    now_ms + (int64_t)service_ms > job->deadline_ms &&
	    job->act != TARGET_ACT_STALL_HEAD) {
		service_ms = (uint64_t)(job->deadline_ms - now_ms);
	}
	/* The loop's time is that of its last wakeup. */
	uv_update_time(pool->loop);
	uv_timer_start(&job->timer, on_service_done, service_ms, 0);
}

static void
crash(target_job_t *job)
{
	LOG_EVENT(806, LOG_LEVEL_WARN, "crash on a marked request",
	    LOG_TEXT("target", job->pool->settings->id));
	target_record_end(
	    &job->pool->record, job->line, clock_now_ms(), "crashed", 0);
	_exit(CRASH_EXIT_STATUS);
}

static void
make_body(target_job_t *job, int is_wrong)
{
	const target_settings_t *s = job->pool->settings;
	h2o_req_t *req = job->req;
	h2o_iovec_t id = target_http_get_header(req, "x-request-id");
	h2o_iovec_t workspace = target_http_get_header(req, "x-tm-workspace");
	size_t size = (size_t)s->body_bytes + HEAD_MAX;
	char *text = h2o_mem_alloc_pool(&req->pool, size);
	uint64_t sum = XXH64(req->entity.base, req->entity.len, 0);
	size_t used;
	int n;

	n = snprintf(text, HEAD_MAX - 8,
	    "{\"target\":\"%s\",\"request_id\":\"%s%.*s\",\"workspace\":"
	    "\"%.*s\",\"path\":\"%.*s\",\"body_bytes\":%zu,"
	    "\"body_xxh64\":\"%016llx\",\"pad\":\"",
	    s->id, is_wrong ? "other-" : "", (int)(id.len < 256 ? id.len : 256),
	    id.base, (int)(workspace.len < 64 ? workspace.len : 64),
	    workspace.base, (int)(req->path.len < 512 ? req->path.len : 512),
	    req->path.base, req->entity.len,
	    (unsigned long long)(is_wrong ? ~sum : sum));
	used = (size_t)n;
	memset(text + used, 'x', (size_t)s->body_bytes);
	used += (size_t)s->body_bytes;
	text[used++] = '"';
	text[used++] = '}';
	text[used++] = '\n';
	job->body = h2o_iovec_init(text, used);
}

static void
add_answer_headers(target_job_t *job, int is_wrong)
{
	h2o_req_t *req = job->req;
	h2o_iovec_t id = target_http_get_header(req, "x-request-id");
	char echo[300];

	add_common_headers(job->pool, req);
	target_http_add_header(req, "content-type", "application/json");
	if (id.len == 0)
		return;
	snprintf(echo, sizeof(echo), "%s%.*s", is_wrong ? "other-" : "",
	    (int)(id.len < 256 ? id.len : 256), id.base);
	target_http_add_header(req, "x-request-id", echo);
}

static void
send_rest(target_job_t *job)
{
	h2o_req_t *req = job->req;
	h2o_iovec_t rest = h2o_iovec_init(
	    job->body.base + job->sent, job->body.len - job->sent);

	end_run(job, target_act_get_name(job->act), 200);
	h2o_send(req, &rest, 1, H2O_SEND_STATE_FINAL);
}

static void
on_stall_over(uv_timer_t *timer)
{
	send_rest(timer->data);
}

/* The first half of the body was written. */
static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	target_job_t *job = (target_job_t *)generator;

	if (job->act == TARGET_ACT_STALL_BODY) {
		uv_timer_start(&job->timer, on_stall_over,
		    (uint64_t)job->pool->fault.stall_ms, 0);
		return;
	}
	end_run(job, target_act_get_name(job->act), 200);
	break_connection(req, 1);
}

static void
send_half(target_job_t *job)
{
	h2o_iovec_t half = h2o_iovec_init(job->body.base, job->body.len / 2);

	job->sent = half.len;
	job->generator.proceed = on_proceed;
	h2o_start_response(job->req, &job->generator);
	h2o_send(job->req, &half, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static void
send_whole(target_job_t *job)
{
	h2o_req_t *req = job->req;
	h2o_iovec_t extra = { NULL, 0 };
	h2o_iovec_t bufs[2];

	if (job->act == TARGET_ACT_EXTRA) {
		extra.len = (size_t)job->pool->fault.extra_bytes;
		extra.base = h2o_mem_alloc_pool(&req->pool, extra.len);
		memset(extra.base, 'y', extra.len);
	}
	bufs[0] = job->body;
	bufs[1] = extra;
	job->generator.proceed = on_proceed;
	h2o_start_response(req, &job->generator);
	end_run(job, target_act_get_name(job->act), req->res.status);
	h2o_send(req, bufs, extra.len > 0 ? 2 : 1, H2O_SEND_STATE_FINAL);
}

static void
answer(target_job_t *job)
{
	h2o_req_t *req = job->req;
	int is_wrong = job->act == TARGET_ACT_WRONG;

	if (job->act == TARGET_ACT_CLOSE) {
		end_run(job, target_act_get_name(job->act), 0);
		break_connection(req, 0);
		return;
	}
	make_body(job, is_wrong);
	add_answer_headers(job, is_wrong);
	req->res.status =
	    job->act == TARGET_ACT_ERROR ? job->pool->fault.error_status : 200;
	req->res.reason = target_http_get_reason(req->res.status);
	req->res.content_length = job->body.len;
	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD"))) {
		job->body.len = 0;
		send_whole(job);
		return;
	}
	if (job->act == TARGET_ACT_TRUNCATE ||
	    job->act == TARGET_ACT_STALL_BODY)
		send_half(job);
	else
		send_whole(job);
}

static void
on_service_done(uv_timer_t *timer)
{
	target_job_t *job = timer->data;
	target_pool_t *pool = job->pool;
	h2o_req_t *req = job->req;

	if (job->crashes)
		crash(job);
	if (job->has_deadline && job->act != TARGET_ACT_LATE &&
	    job->act != TARGET_ACT_STALL_HEAD &&
	    clock_now_ms() >= job->deadline_ms) {
		end_run(job, "deadline", 504);
		add_common_headers(pool, req);
		target_http_reply(
		    req, 504, "{\"error\":\"deadline\",\"run\":\"unknown\"}\n");
		return;
	}
	answer(job);
}

static void
read_deadline(target_job_t *job, int64_t now_ms)
{
	h2o_iovec_t value =
	    target_http_get_header(job->req, "x-tm-deadline-ms");
	size_t i;
	int64_t left_ms = 0;

	if (value.len == 0 || value.len > 9)
		return;
	for (i = 0; i < value.len; i++) {
		if (value.base[i] < '0' || value.base[i] > '9')
			return;
		left_ms = left_ms * 10 + (value.base[i] - '0');
	}
	job->has_deadline = 1;
	job->deadline_ms = now_ms + left_ms;
}

static target_job_t *
create_job(target_pool_t *pool, h2o_req_t *req, int64_t now_ms)
{
	target_job_t *job = calloc(1, sizeof(*job));

	if (job == NULL)
		return (NULL);
	job->pool = pool;
	job->req = req;
	job->arrived_ms = now_ms;
	job->guard = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*job->guard), on_request_released);
	job->guard->job = job;
	uv_timer_init(pool->loop, &job->timer);
	job->timer.data = job;
	read_deadline(job, now_ms);
	/* Short requests are not looked at; each look is a system call. */
	job->next_watch_ms = now_ms + WATCH_INTERVAL_MS;
	DL_APPEND(pool->jobs, job);
	return (job);
}

void
target_pool_submit(target_pool_t *pool, h2o_req_t *req)
{
	target_job_t *job;
	int64_t now_ms = clock_now_ms();

	target_record_arrival(&pool->record, req, now_ms);
	if (pool->refusing) {
		req->http1_is_persistent = 0;
		shed_request(pool, req, "the target is leaving");
		return;
	}
	if (pool->running >= pool->settings->slots &&
	    pool->queued >= pool->settings->queue) {
		shed_request(pool, req, "all slots and the queue are full");
		return;
	}
	job = create_job(pool, req, now_ms);
	if (job == NULL) {
		shed_request(pool, req, error_get_text(TM_ENOMEM));
		return;
	}
	if (pool->running < pool->settings->slots) {
		start_job(job);
		return;
	}
	if (pool->queue_tail != NULL)
		pool->queue_tail->queue_next = job;
	else
		pool->queue_head = job;
	pool->queue_tail = job;
	pool->queued++;
}
