/**
 * @file
 * Signals of a program on a libuv loop: SIGTERM and SIGINT ask for a planned
 * stop, SIGHUP for reading the settings again. SIGPIPE is ignored.
 */
#ifndef TM_SETTINGS_PROGRAM_SIGNALS_H
#define TM_SETTINGS_PROGRAM_SIGNALS_H

#include <uv.h>

/** Called for a signal; may be called several times. */
typedef void (*program_signal_cb)(void *ctx);

/** Handles of the signals; embedded by the caller. */
typedef struct program_signals {
	uv_signal_t stops[2];
	uv_signal_t hangup;
	program_signal_cb stop;
	program_signal_cb reload;
	void *ctx;
} program_signals_t;

/** Defers SIGHUP until program_watch_signals(): a process that is still starting
 * would end. To be called first in main(). */
void program_defer_hangup(void);

/**
 * Watches the signals until the process ends.
 *
 * @param stop    called for SIGTERM and SIGINT
 * @param reload  called for SIGHUP; NULL: SIGHUP ends the process
 */
void program_watch_signals(program_signals_t *signals, uv_loop_t *loop,
    program_signal_cb stop, program_signal_cb reload, void *ctx);

#endif
