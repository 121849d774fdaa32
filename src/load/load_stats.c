#include "load/load_stats.h"

#include <string.h>

static const char *const run_names[] = { "yes", "no", "unknown" };

const char *
load_run_get_name(load_run_t run)
{
	return (run_names[run]);
}

static void
add_error(load_stats_t *stats, const char *text)
{
	int i;

	for (i = 0; i < LOAD_ERRORS_MAX; i++) {
		if (stats->errors[i].text == NULL)
			stats->errors[i].text = text;
		if (i == LOAD_ERRORS_MAX - 1 ||
		    strcmp(stats->errors[i].text, text) == 0) {
			stats->errors[i].count++;
			return;
		}
	}
}

void
load_stats_add(
    load_stats_t *stats, const load_outcome_t *outcome, int deadline_ms)
{
	int ok = outcome->error == NULL && outcome->status / 100 == 2;

	stats->done++;
	stats->by_run[outcome->run]++;
	stats->mismatched += (uint64_t)outcome->is_mismatched;
	if (outcome->error != NULL) {
		add_error(stats, outcome->error);
		return;
	}
	if (outcome->status > 0 && outcome->status < LOAD_STATUS_MAX)
		stats->by_status[outcome->status]++;
	hist_record(&stats->latency, outcome->latency_us);
	if (!ok)
		return;
	stats->ok++;
	hist_record(&stats->latency_ok, outcome->latency_us);
	if (outcome->latency_us <= (int64_t)deadline_ms * 1000)
		stats->in_time++;
}

static json_t *
quantiles_to_json(const hist_t *hist)
{
	return (json_pack("{s:I, s:I, s:I, s:I, s:I}", "count",
	    (json_int_t)hist->count, "p50",
	    (json_int_t)hist_get_quantile_us(hist, 0.5), "p99",
	    (json_int_t)hist_get_quantile_us(hist, 0.99), "p999",
	    (json_int_t)hist_get_quantile_us(hist, 0.999), "max",
	    (json_int_t)hist->max_us));
}

/* Non-empty buckets as [upper edge in us, count]. */
static json_t *
hist_to_json(const hist_t *hist)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < HIST_BUCKETS; i++)
		if (hist->bucket[i] > 0)
			json_array_append_new(list,
			    json_pack("[I, I]",
				(json_int_t)hist_get_bucket_edge_us(i),
				(json_int_t)hist->bucket[i]));
	return (list);
}

static json_t *
counts_to_json(const load_stats_t *stats)
{
	json_t *by_status = json_object();
	char name[16];
	int i;

	for (i = 0; i < LOAD_STATUS_MAX; i++) {
		if (stats->by_status[i] == 0)
			continue;
		snprintf(name, sizeof(name), "%d", i);
		json_object_set_new(by_status, name,
		    json_integer((json_int_t)stats->by_status[i]));
	}
	return (by_status);
}

static json_t *
errors_to_json(const load_stats_t *stats)
{
	json_t *errors = json_object();
	int i;

	for (i = 0; i < LOAD_ERRORS_MAX; i++)
		if (stats->errors[i].text != NULL)
			json_object_set_new(errors, stats->errors[i].text,
			    json_integer((json_int_t)stats->errors[i].count));
	return (errors);
}

static json_t *
workspace_to_json(const load_workspace_t *w, const load_stats_t *stats)
{
	return (json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:o, s:{s:I, s:I, "
			  "s:I}, s:o, s:o, s:o, s:o}",
	    "name", w->name, "offered", (json_int_t)stats->offered, "done",
	    (json_int_t)stats->done, "ok", (json_int_t)stats->ok, "in_time",
	    (json_int_t)stats->in_time, "mismatched",
	    (json_int_t)stats->mismatched, "by_status", counts_to_json(stats),
	    "by_run", "yes", (json_int_t)stats->by_run[LOAD_RUN_YES], "no",
	    (json_int_t)stats->by_run[LOAD_RUN_NO], "unknown",
	    (json_int_t)stats->by_run[LOAD_RUN_UNKNOWN], "errors",
	    errors_to_json(stats), "latency_us",
	    quantiles_to_json(&stats->latency), "latency_ok_us",
	    quantiles_to_json(&stats->latency_ok), "histogram_us",
	    hist_to_json(&stats->latency)));
}

json_t *
load_stats_to_json(const load_settings_t *s, const load_stats_t *stats,
    const load_totals_t *totals)
{
	json_t *list = json_array();
	uint64_t done = 0;
	int i;

	for (i = 0; i < s->workspace_count; i++) {
		done += stats[i].done;
		json_array_append_new(
		    list, workspace_to_json(&s->workspaces[i], &stats[i]));
	}
	return (json_pack("{s:I, s:I, s:f, s:o, s:{s:i, s:i, s:i}, s:I, s:o}",
	    "elapsed_ms", (json_int_t)totals->elapsed_ms, "done",
	    (json_int_t)done, "requests_per_s",
	    totals->elapsed_ms > 0 ? (double)done * 1000 / totals->elapsed_ms
				   : 0.0,
	    "send_lag_us", quantiles_to_json(&totals->lag), "idle_connections",
	    "asked", s->idle_connections, "open", totals->idle_open, "closed",
	    totals->idle_closed, "connections_failed",
	    (json_int_t)totals->connections_failed, "workspaces", list));
}

static void
print_workspace(FILE *out, const char *name, const load_stats_t *st)
{
	int i;

	fprintf(out, "%-20s %9llu %9llu %9llu %8llu %8llu %8llu %8llu %8llu\n",
	    name, (unsigned long long)st->offered, (unsigned long long)st->ok,
	    (unsigned long long)st->in_time,
	    (unsigned long long)st->by_run[LOAD_RUN_NO],
	    (unsigned long long)st->by_run[LOAD_RUN_UNKNOWN],
	    (unsigned long long)hist_get_quantile_us(&st->latency_ok, 0.5),
	    (unsigned long long)hist_get_quantile_us(&st->latency_ok, 0.99),
	    (unsigned long long)hist_get_quantile_us(&st->latency_ok, 0.999));
	for (i = 0; i < LOAD_STATUS_MAX; i++)
		if (st->by_status[i] > 0 && i / 100 != 2)
			fprintf(out, "  status %d: %llu\n", i,
			    (unsigned long long)st->by_status[i]);
	for (i = 0; i < LOAD_ERRORS_MAX; i++)
		if (st->errors[i].text != NULL)
			fprintf(out, "  %s: %llu\n", st->errors[i].text,
			    (unsigned long long)st->errors[i].count);
	if (st->mismatched > 0)
		fprintf(out, "  responses to another request: %llu\n",
		    (unsigned long long)st->mismatched);
}

void
load_stats_print(FILE *out, const load_settings_t *s, const load_stats_t *stats,
    const load_totals_t *totals)
{
	int i;

	fprintf(out, "%-20s %9s %9s %9s %8s %8s %8s %8s %8s\n", "workspace",
	    "offered", "ok", "in time", "run no", "unknown", "p50 us", "p99 us",
	    "p999 us");
	for (i = 0; i < s->workspace_count; i++)
		print_workspace(out, s->workspaces[i].name, &stats[i]);
	fprintf(out, "send lag p99 %llu us, max %llu us\n",
	    (unsigned long long)hist_get_quantile_us(&totals->lag, 0.99),
	    (unsigned long long)totals->lag.max_us);
	if (s->idle_connections > 0)
		fprintf(out, "idle connections: %d asked, %d open, %d closed\n",
		    s->idle_connections, totals->idle_open,
		    totals->idle_closed);
}
