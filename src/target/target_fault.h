/**
 * @file
 * Faults of the stand-in target that are set at run time.
 */
#ifndef TM_TARGET_TARGET_FAULT_H
#define TM_TARGET_TARGET_FAULT_H

#include <stdint.h>

#include <jansson.h>

#include "base/rng.h"
#include "settings/json_check.h"

/** What the target does to one request. */
typedef enum target_act {
	TARGET_ACT_NONE,
	TARGET_ACT_ERROR, /**< an error status */
	TARGET_ACT_WRONG, /**< the answer to another request */
	TARGET_ACT_TRUNCATE, /**< half of the body, then closed */
	TARGET_ACT_CLOSE, /**< closed without an answer */
	TARGET_ACT_STALL_HEAD, /**< waits before the status line */
	TARGET_ACT_STALL_BODY, /**< waits in the middle of the body */
	TARGET_ACT_LATE, /**< answers after the deadline and a delay */
	TARGET_ACT_EXTRA /**< more bytes than Content-Length says */
} target_act_t;

#define TARGET_ACTS 9

/** What /health or the load report says. */
typedef enum target_lie {
	TARGET_LIE_TRUE,
	TARGET_LIE_GOOD, /**< healthy, or idle */
	TARGET_LIE_BAD /**< unhealthy, or busy */
} target_lie_t;

typedef struct target_fault {
	double slow_factor;
	double share[TARGET_ACTS];
	int error_status;
	int stall_ms;
	int late_ms;
	int extra_bytes;
	int flap_period_ms; /**< 0: always; else on for half of each period */
	target_lie_t health;
	target_lie_t load;
	int load_lag_ms;
	int crash_on_mark;
	int64_t since_ms;
} target_fault_t;

/** Sets "no fault". */
void target_fault_reset(target_fault_t *fault);

/**
 * Reads faults from a request body; an absent field means "no such fault".
 *
 * @param now_ms  start of flapping
 * @param fault   unchanged after an error
 * @return        number of errors, all collected in the checker
 */
int target_fault_parse(json_check_t *check, const char *text, size_t len,
    int64_t now_ms, target_fault_t *fault);

/** @return the faults as a new JSON object, or NULL */
json_t *target_fault_to_json(const target_fault_t *fault);

/** @return 1 if the faults are on at this time, else 0 */
int target_fault_is_on(const target_fault_t *fault, int64_t now_ms);

/** Draws what to do to a request. */
target_act_t target_fault_draw(
    const target_fault_t *fault, rng_t *rng, int64_t now_ms);

/** @return name for the record, e.g. "truncated" */
const char *target_act_get_name(target_act_t act);

#endif
