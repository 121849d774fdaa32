/**
 * @file
 * Idle connections that are opened and kept open during a run.
 */
#ifndef TM_LOAD_LOAD_IDLE_H
#define TM_LOAD_LOAD_IDLE_H

#include <uv.h>

#include "load/load_settings.h"

typedef struct load_idle load_idle_t;

/**
 * Opens connections to the entries in turn, a batch at a time.
 *
 * @return NULL if memory is exhausted
 */
load_idle_t *load_idle_start(uv_loop_t *loop, const load_settings_t *settings);

/** @return 1 once each connection was opened or has failed */
int load_idle_is_ready(const load_idle_t *idle);

/** @return number of connections that are open */
int load_idle_get_open(const load_idle_t *idle);

/** @return number of connections that the server closed */
int load_idle_get_closed(const load_idle_t *idle);

/** @return number of connections that could not be opened */
int load_idle_get_failed(const load_idle_t *idle);

#endif
