/**
 * @file
 * How full a service is, as the leader said last, and what follows for admission
 * and for the time that a response may take. Decides only.
 */
#ifndef TM_GATE_GATE_ADMISSION_H
#define TM_GATE_GATE_ADMISSION_H

#include "gate/gate_table.h"

/** @return requests per slot of a service; 0 if the leader said none lately */
double gate_admission_get_utilization(
    const gate_service_t *service, int64_t now_ms);

/** @return time that a response takes on average as far as is known, with the
 *          queues of a full service, in ms; 0: unknown */
double gate_admission_get_expected_ms(
    const gate_service_t *service, int64_t now_ms);

/**
 * @param soft_deadline_ms  time after which a response is worth less
 * @param priority          0 is the most urgent
 * @return                  share of such requests that is to be sent; 1 or more:
 *                          all
 */
double gate_admission_get_share(const gate_service_t *service,
    int64_t soft_deadline_ms, int32_t priority, int64_t now_ms);

#endif
