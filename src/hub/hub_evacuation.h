/**
 * @file
 * Evacuations of data centres: nothing is sent to the targets of an evacuated
 * one. Decides about orders and keeps the list that is part of the replicated
 * state; hub_state_t owns it. Does no I/O and reads no clock.
 *
 * Every accepted order goes through the log, also one that changes nothing, so
 * that its acknowledgement never overtakes an order before it.
 */
#ifndef TM_HUB_HUB_EVACUATION_H
#define TM_HUB_HUB_EVACUATION_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "proto/fleet.pb-c.h"

struct hub_settings;
struct hub_state;

/** A data centre that is evacuated, or was lately. */
typedef struct hub_evacuation {
	char data_centre[NAME_MAX_BYTES + 1];
	/** An ended one stays known: a caller that missed the acknowledgement
	 * sends its order again. The oldest makes room for new ones. */
	int is_ended;
	uint64_t since_ms; /**< wall clock of the order at the hub */
	char requested_by[FLEET_IP_BYTES]; /**< address of the caller */
} hub_evacuation_t;

/** All evacuations, in the order in which they began. */
typedef struct hub_evacuations {
	uint32_t count;
	hub_evacuation_t items[FLEET_EVACUATIONS_MAX];
} hub_evacuations_t;

/** Most data centres that hub_evacuations_list_ended() lists. */
#define HUB_ENDED_MAX (2 * FLEET_EVACUATIONS_MAX)

/** What becomes of an order. */
typedef enum hub_evacuation_answer {
	HUB_EVACUATION_ACCEPTED, /**< to be proposed */
	HUB_EVACUATION_UNKNOWN, /**< no such data centre */
	HUB_EVACUATION_FULL /**< FLEET_EVACUATIONS_MAX are evacuated */
} hub_evacuation_answer_t;

/** Decides about an order to start or end an evacuation. A data centre is known
 * if the settings name it, a target has it that has not expired, or an order
 * was accepted for it. */
hub_evacuation_answer_t hub_evacuation_check(const struct hub_state *state,
    const struct hub_settings *settings, const hub_evacuation_t *order);

/** Applies a committed order. @return 1 if it changed what is evacuated */
int hub_evacuations_apply(
    hub_evacuations_t *list, const Tm__Fleet__Evacuation *order);

/** @return 1 if a data centre is evacuated */
int hub_evacuations_has(const hub_evacuations_t *list, const char *data_centre);

/** @return number of evacuated data centres */
uint32_t hub_evacuations_count(const hub_evacuations_t *list);

/**
 * Lists the evacuated data centres.
 *
 * @param names  receives pointers into the list
 * @return       number of names
 */
size_t hub_evacuations_list(
    const hub_evacuations_t *list, char *names[FLEET_EVACUATIONS_MAX]);

/**
 * Lists the data centres whose evacuation has ended in a list that replaces
 * another one, as the end itself may not have been seen here.
 *
 * @param names  receives pointers into both lists
 * @return       number of names
 */
size_t hub_evacuations_list_ended(const hub_evacuations_t *before,
    const hub_evacuations_t *after, const char *names[HUB_ENDED_MAX]);

/** Initializes a message with an order; it refers to the order's texts. */
void hub_evacuation_to_message(
    Tm__Fleet__Evacuation *msg, const hub_evacuation_t *order);

/** Encodes an order as an entry of the log. @return bytes from malloc(), or
 * NULL if memory is exhausted */
uint8_t *hub_evacuation_encode(const hub_evacuation_t *order, size_t *len);

/** Formats the evacuations as a JSON array. @return text from malloc(), or
 * NULL if memory is exhausted */
char *hub_evacuations_format(const hub_evacuations_t *list);

#endif
