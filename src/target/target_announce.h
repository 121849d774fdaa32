/**
 * @file
 * Announcements of a target to the registration endpoint of entry VMs.
 */
#ifndef TM_TARGET_TARGET_ANNOUNCE_H
#define TM_TARGET_TARGET_ANNOUNCE_H

#include <stdint.h>

#include <uv.h>

#include "target/target_settings.h"

typedef struct target_announce target_announce_t;

/**
 * Announces at once and then at each renewal; tries the next entry VM when
 * one fails.
 *
 * @param settings  must stay valid
 * @return          NULL if memory is exhausted
 */
target_announce_t *target_announce_start(
    uv_loop_t *loop, const target_settings_t *settings, int64_t incarnation);

/** Announces "leaving" at once and from then on. */
void target_announce_leave(target_announce_t *announce);

/** @return number of announcements that were accepted */
uint64_t target_announce_get_accepted(const target_announce_t *announce);

/** @return number of announcements that failed */
uint64_t target_announce_get_failed(const target_announce_t *announce);

#endif
