/* tm-load: open-loop load generator; see docs/load.md. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/error.h"
#include "base/log.h"
#include "load/load_run.h"
#include "load/load_settings.h"
#include "load/load_stats.h"
#include "settings/program_args.h"

#define EXIT_FAILED 1
#define EXIT_USAGE  2
#define EXIT_LOCAL  3

static int
write_json(const load_settings_t *s, const load_stats_t *stats,
    const load_totals_t *totals, int to_stdout)
{
	json_t *report = load_stats_to_json(s, stats, totals);
	int rc = 0;

	if (report == NULL)
		return (TM_ENOMEM);
	if (s->report != NULL &&
	    json_dump_file(report, s->report, JSON_INDENT(1)) != 0) {
		fprintf(stderr,
		    "tm-load: cannot write the report %s; check the folder "
		    "and its permissions\n",
		    s->report);
		rc = TM_EIO;
	}
	if (to_stdout) {
		json_dumpf(report, stdout, JSON_INDENT(1));
		printf("\n");
	}
	json_decref(report);
	return (rc);
}

/* 1 if a response belonged to another request or too few were answered. */
static int
is_failed(const load_settings_t *s, const load_stats_t *stats)
{
	uint64_t offered = 0, ok = 0, mismatched = 0;
	int i;

	for (i = 0; i < s->workspace_count; i++) {
		offered += stats[i].offered;
		ok += stats[i].ok;
		mismatched += stats[i].mismatched;
	}
	return (mismatched > 0 ||
	    (double)ok < s->expect_ok_share * (double)offered);
}

static int
run_and_report(const load_settings_t *s, int as_json)
{
	static load_totals_t totals;
	load_stats_t *stats =
	    calloc((size_t)s->workspace_count + 1, sizeof(*stats));
	int err, status;

	if (stats == NULL)
		return (EXIT_LOCAL);
	err = load_run(s, stats, &totals);
	if (err == TM_OK)
		err = write_json(s, stats, &totals, as_json);
	else
		fprintf(stderr, "tm-load: %s; %s\n", error_get_text(err),
		    error_get_remedy(err));
	if (err == TM_OK && !as_json)
		load_stats_print(stdout, s, stats, &totals);
	status = is_failed(s, stats) ? EXIT_FAILED : 0;
	free(stats);
	return (err == TM_OK ? status : EXIT_LOCAL);
}

static const char example[] =
    "{\n"
    "  \"entries\": [\"127.0.0.1:7300\"],\n"
    "  \"duration_ms\": 10000,\n"
    "  \"warmup_ms\": 1000,\n"
    "  \"workspaces\": [\n"
    "    {\"name\": \"w1\", \"key\": \"tmk_ID_SECRET\",\n"
    "      \"rate_per_s\": 100,\n"
    "      \"burst\": {\"period_ms\": 5000, \"on_ms\": 500, \"factor\": 3},\n"
    "      \"paths\": [{\"path\": \"/s1/a\", \"weight\": 3},\n"
    "        {\"path\": \"/s1/b\"}],\n"
    "      \"request_ids\": \"fresh\", \"deadline_ms\": 1000}\n"
    "  ]\n"
    "}\n";

int
main(int argc, char **argv)
{
	load_settings_t settings = { 0 };
	program_args_t args;
	json_check_t *check;
	int status = EXIT_USAGE;

	if (!program_args_parse(argc, argv, "tm-load", example, 1, &args))
		return (args.status);
	check = json_check_create();
	if (check == NULL)
		return (EXIT_LOCAL);
	signal(SIGPIPE, SIG_IGN);
	if (load_settings_read(check, args.settings, &settings) > 0)
		json_check_print(check, stderr);
	else
		status = args.check ? 0 : run_and_report(&settings, args.json);
	load_settings_release(&settings);
	json_check_destroy(check);
	return (status);
}
