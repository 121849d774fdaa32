#include "load/load_run.h"

#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/rng.h"
#include "load/load_call.h"
#include "load/load_idle.h"

/* Wakeups closer than this are merged; it bounds the send lag. */
#define MERGE_NS      (INT64_C(50) * 1000)
#define POLL_MS	      5
#define IDLE_LIMIT_MS 30000
#define RECENT_IDS    64
#define US_PER_SEC    INT64_C(1000000)

/* Ids, with the path that belongs to them, which may be sent again. */
typedef struct recent {
	char id[LOAD_ID_MAX];
	const char *path;
} recent_t;

typedef struct source {
	const load_workspace_t *settings;
	int64_t next_ns;
	rng_t rng;
	uint64_t sequence;
	recent_t recent[RECENT_IDS];
	int recent_count;
} source_t;

typedef struct run {
	uv_loop_t loop;
	const load_settings_t *settings;
	load_client_t client;
	load_stats_t *stats;
	load_totals_t *totals;
	load_idle_t *idle;
	source_t *sources;
	uv_poll_t wake;
	uv_timer_t poll;
	uv_signal_t on_int;
	uv_signal_t on_term;
	int wake_fd;
	int started;
	int64_t opened_ns;
	int64_t start_ns;
	int64_t count_from_ns;
	int64_t end_ns;
	uint64_t run_id;
	int next_entry;
	FILE *record;
} run_t;

static run_t *current_run;

static double
get_rate(const source_t *source, int64_t since_ns)
{
	const load_workspace_t *w = source->settings;
	int64_t at_ms = since_ns / NS_PER_MS;

	if (w->burst_period_ms > 0 &&
	    at_ms % w->burst_period_ms < w->burst_on_ms)
		return (w->rate_per_s * w->burst_factor);
	return (w->rate_per_s);
}

static void
advance(run_t *run, source_t *source)
{
	double rate = get_rate(source, source->next_ns - run->start_ns);
	double gap_ns = (double)NS_PER_SEC / rate;

	if (source->settings->arrivals == LOAD_ARRIVALS_POISSON)
		gap_ns *= -log(1.0 - rng_unit(&source->rng));
	source->next_ns += (int64_t)gap_ns;
}

static const char *
choose_path(source_t *source)
{
	const load_workspace_t *w = source->settings;
	double draw = rng_unit(&source->rng) * w->weight_sum;
	int i;

	for (i = 0; i < w->path_count - 1; i++) {
		if (draw < w->paths[i].weight)
			break;
		draw -= w->paths[i].weight;
	}
	return (w->paths[i].path);
}

static void
choose_request(run_t *run, source_t *source, load_plan_t *plan)
{
	const load_workspace_t *w = source->settings;
	recent_t *slot;

	plan->path = choose_path(source);
	plan->id[0] = '\0';
	if (w->ids == LOAD_IDS_NONE)
		return;
	if (w->ids == LOAD_IDS_REPEATED && source->recent_count > 0 &&
	    rng_unit(&source->rng) < w->repeat_share) {
		slot = &source->recent[rng_below(
		    &source->rng, (uint64_t)source->recent_count)];
		plan->path = slot->path;
		memcpy(plan->id, slot->id, sizeof(plan->id));
		return;
	}
	snprintf(plan->id, sizeof(plan->id), "%llx-%x-%llu",
	    (unsigned long long)run->run_id, (unsigned)plan->workspace,
	    (unsigned long long)++source->sequence);
	slot = &source->recent[source->sequence % RECENT_IDS];
	memcpy(slot->id, plan->id, sizeof(slot->id));
	slot->path = plan->path;
	if (source->recent_count < RECENT_IDS)
		source->recent_count = (int)(source->sequence % RECENT_IDS) + 1;
}

static void
write_record(run_t *run, const load_call_t *call, const load_outcome_t *o)
{
	const load_plan_t *plan = &call->plan;

	if (run->record == NULL)
		return;
	fprintf(run->record,
	    "{\"workspace\":\"%s\",\"request_id\":\"%s\",\"entry\":%d,"
	    "\"intended_ms\":%.3f,\"sent_ms\":%.3f,\"end_ms\":%.3f,"
	    "\"latency_us\":%lld,\"status\":%d,\"run\":\"%s\","
	    "\"mismatched\":%s,\"error\":\"%s\"}\n",
	    plan->settings->name, plan->id, plan->entry,
	    (double)plan->intended_ns / NS_PER_MS,
	    (double)call->sent_ns / NS_PER_MS,
	    (double)call->ended_ns / NS_PER_MS, (long long)o->latency_us,
	    o->status, load_run_get_name(o->run),
	    o->is_mismatched ? "true" : "false",
	    o->error != NULL ? o->error : "");
}

static void
on_call_end(void *ctx, load_call_t *call, load_outcome_t *outcome)
{
	run_t *run = ctx;

	write_record(run, call, outcome);
	if (call->sent_ns == 0)
		run->totals->connections_failed++;
	if (call->plan.is_counted)
		load_stats_add(&run->stats[call->plan.workspace], outcome,
		    call->plan.settings->deadline_ms);
}

static void
send_one(run_t *run, int index, int64_t now_ns)
{
	source_t *source = &run->sources[index];
	load_plan_t plan = { .workspace = index,
		.settings = source->settings,
		.intended_ns = source->next_ns,
		.is_counted = source->next_ns >= run->count_from_ns };
	load_outcome_t unsent = { .run = LOAD_RUN_NO,
		.error = "not sent: too many requests in flight" };

	choose_request(run, source, &plan);
	plan.entry = run->next_entry;
	run->next_entry = (run->next_entry + 1) % run->settings->entry_count;
	if (plan.is_counted) {
		run->stats[index].offered++;
		hist_record(
		    &run->totals->lag, (now_ns - plan.intended_ns) / 1000);
	}
	if (load_call_start(&run->client, &plan) != TM_OK && plan.is_counted)
		load_stats_add(&run->stats[index], &unsent, 0);
}

static void
arm(run_t *run, int64_t at_ns)
{
	struct itimerspec spec = { 0 };

	spec.it_value.tv_sec = at_ns / NS_PER_SEC;
	spec.it_value.tv_nsec = at_ns % NS_PER_SEC;
	timerfd_settime(run->wake_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static int64_t
send_due(run_t *run)
{
	int64_t first_ns = INT64_MAX;
	int i;

	for (i = 0; i < run->settings->workspace_count; i++) {
		source_t *source = &run->sources[i];
		int64_t now_ns = clock_now_ns();

		while (source->next_ns <= now_ns &&
		    source->next_ns < run->end_ns) {
			send_one(run, i, now_ns);
			advance(run, source);
		}
		if (source->next_ns < first_ns)
			first_ns = source->next_ns;
	}
	return (first_ns);
}

static void
on_wake(uv_poll_t *handle, int status, int events)
{
	run_t *run = handle->data;
	uint64_t expirations;
	int64_t first_ns, soonest_ns;

	if (read(run->wake_fd, &expirations, sizeof(expirations)) < 0 &&
	    errno != EAGAIN)
		return;
	first_ns = send_due(run);
	soonest_ns = clock_now_ns() + MERGE_NS;
	if (first_ns < run->end_ns)
		arm(run, first_ns > soonest_ns ? first_ns : soonest_ns);
}

static void
begin(run_t *run)
{
	int64_t now_ns = clock_now_ns();
	int i;

	run->started = 1;
	run->start_ns = now_ns;
	run->count_from_ns = now_ns + run->settings->warmup_ms * NS_PER_MS;
	run->end_ns =
	    run->count_from_ns + run->settings->duration_ms * NS_PER_MS;
	for (i = 0; i < run->settings->workspace_count; i++) {
		run->sources[i].next_ns = now_ns;
		advance(run, &run->sources[i]);
	}
	arm(run, now_ns + 1);
}

static int
is_over(run_t *run, int64_t now_ns)
{
	if (now_ns < run->end_ns)
		return (0);
	return (run->client.in_flight == 0 ||
	    now_ns >= run->end_ns + run->settings->drain_ms * NS_PER_MS);
}

static void
on_poll(uv_timer_t *timer)
{
	run_t *run = timer->data;
	int64_t now_ns = clock_now_ns();

	if (!run->started) {
		if (load_idle_is_ready(run->idle) ||
		    now_ns > run->opened_ns + IDLE_LIMIT_MS * NS_PER_MS)
			begin(run);
		return;
	}
	load_client_tick(&run->client, now_ns);
	if (!is_over(run, now_ns))
		return;
	load_client_cancel_all(&run->client);
	uv_stop(&run->loop);
}

void
load_run_stop(void)
{
	run_t *run = current_run;

	if (run == NULL)
		return;
	if (!run->started)
		begin(run);
	run->end_ns = clock_now_ns();
}

static void
on_signal(uv_signal_t *handle, int signum)
{
	load_run_stop();
}

static int
open_all(run_t *run)
{
	const load_settings_t *s = run->settings;
	int i;

	run->sources =
	    calloc((size_t)s->workspace_count + 1, sizeof(*run->sources));
	if (run->sources == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < s->workspace_count; i++) {
		run->sources[i].settings = &s->workspaces[i];
		rng_init(&run->sources[i].rng, s->seed + (uint64_t)i);
	}
	if (s->record != NULL && (run->record = fopen(s->record, "we")) == NULL)
		return (TM_EIO);
	run->wake_fd =
	    timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (run->wake_fd < 0)
		return (TM_EIO);
	run->idle = load_idle_start(&run->loop, s);
	return (run->idle != NULL ? TM_OK : TM_ENOMEM);
}

static void
start_handles(run_t *run)
{
	uv_poll_init(&run->loop, &run->wake, run->wake_fd);
	uv_timer_init(&run->loop, &run->poll);
	uv_signal_init(&run->loop, &run->on_int);
	uv_signal_init(&run->loop, &run->on_term);
	run->wake.data = run;
	run->poll.data = run;
	uv_poll_start(&run->wake, UV_READABLE, on_wake);
	uv_timer_start(&run->poll, on_poll, 0, POLL_MS);
	uv_signal_start(&run->on_int, on_signal, SIGINT);
	uv_signal_start(&run->on_term, on_signal, SIGTERM);
}

static void
fill_totals(run_t *run)
{
	run->totals->elapsed_ms = run->settings->duration_ms;
	run->totals->lag_max_us = (int64_t)run->totals->lag.max_us;
	run->totals->idle_open = load_idle_get_open(run->idle);
	run->totals->idle_closed =
	    load_idle_get_closed(run->idle) + load_idle_get_failed(run->idle);
	if (run->end_ns - run->count_from_ns <
	    run->settings->duration_ms * NS_PER_MS)
		run->totals->elapsed_ms =
		    (run->end_ns - run->count_from_ns) / NS_PER_MS;
}

int
load_run(
    const load_settings_t *settings, load_stats_t *stats, load_totals_t *totals)
{
	static run_t run;
	int err;

	run.settings = settings;
	run.stats = stats;
	run.totals = totals;
	run.run_id = (uint64_t)clock_wall_ms() ^ (uint64_t)getpid() << 44;
	uv_loop_init(&run.loop);
	err = open_all(&run);
	if (err != TM_OK)
		return (err);
	load_client_init(&run.client, &run.loop, settings, on_call_end, &run);
	run.opened_ns = clock_now_ns();
	current_run = &run;
	start_handles(&run);
	uv_run(&run.loop, UV_RUN_DEFAULT);
	fill_totals(&run);
	if (run.record != NULL && fclose(run.record) != 0)
		return (TM_EIO);
	free(run.sources);
	return (TM_OK);
}
