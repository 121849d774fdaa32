/**
 * @file
 * Evacuated data centres as the leading hub lists them: nothing is sent to their
 * targets. The table of targets owns the list. Does no I/O and reads no clock.
 */
#ifndef TM_GATE_GATE_EVACUATION_H
#define TM_GATE_GATE_EVACUATION_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"

struct gate_service;

/** Zero for an empty list. */
typedef struct gate_evacuation {
	uint64_t data_centres[FLEET_EVACUATIONS_MAX]; /**< fleet_name_hash() */
	uint32_t count;
} gate_evacuation_t;

/** Replaces the list. @return 1 if it has changed */
int gate_evacuation_set(
    gate_evacuation_t *list, char *const *names, size_t count);

/** @return 1 if a data centre is evacuated */
int gate_evacuation_has(const gate_evacuation_t *list, uint64_t data_centre);

/** @return 1 if evacuations alone leave a service without a target: there are
 * targets that take requests, and all of them are evacuated */
int gate_service_is_evacuated(const struct gate_service *service);

#endif
