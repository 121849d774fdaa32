/**
 * @file
 * Commands that save the configuration to a file and restore it.
 */
#ifndef TM_CTL_CTL_SNAPSHOT_H
#define TM_CTL_CTL_SNAPSHOT_H

#include "config/config_state.h"
#include "ctl/ctl_command.h"

/** Reads a snapshot and writes it to a new file, after checking it. */
ctl_exit_t ctl_snapshot_run_save(ctl_api_t *api, const ctl_options_t *options);

/**
 * Puts the objects of a file into a group without changes. The parts are
 * changes CHANGE-ID.1, CHANGE-ID.2 and so on, so that a restore that was
 * interrupted goes on under the same change id.
 */
ctl_exit_t ctl_snapshot_run_restore(
    ctl_api_t *api, const ctl_options_t *options);

/**
 * Explains why bytes are not a snapshot that can be used.
 *
 * @param state  empty; receives the content
 * @param why    text for a message; "" if there is nothing wrong
 * @return       0; TM_EFORMAT; TM_ECORRUPT; TM_ENOMEM
 */
int ctl_snapshot_parse(config_state_t *state, const uint8_t *bytes, size_t len,
    char *why, size_t why_size);

/**
 * Writes the next objects as the JSON of POST /v1/apply, in an order in which
 * references resolve.
 *
 * @param kind   position; starts at 0
 * @param after  name of the last object of that kind; starts at ""
 * @param max    size limit in bytes; one object may exceed it
 * @return       text that the caller frees; NULL after the last object
 */
char *ctl_snapshot_next_part(config_state_t *state, int *kind,
    char after[NAME_MAX_BYTES + 1], size_t max);

#endif
