/**
 * @file
 * Runs a load: open-loop schedule per workspace, outcomes, record.
 */
#ifndef TM_LOAD_LOAD_RUN_H
#define TM_LOAD_LOAD_RUN_H

#include <uv.h>

#include "load/load_settings.h"
#include "load/load_stats.h"

/**
 * Runs the load to its end.
 *
 * @param stats   one entry per workspace, zeroed
 * @param totals  zeroed
 * @return        0, TM_ENOMEM or TM_EIO
 */
int load_run(const load_settings_t *settings, load_stats_t *stats,
    load_totals_t *totals);

/** Ends a run early; may be called from a signal handler of the loop. */
void load_run_stop(void);

#endif
