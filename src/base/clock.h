/**
 * @file
 * Time sources. Decision modules take the time as an argument; only the
 * programs read a clock.
 */
#ifndef TM_BASE_CLOCK_H
#define TM_BASE_CLOCK_H

#include <stdint.h>

#define NS_PER_MS  INT64_C(1000000)
#define NS_PER_SEC INT64_C(1000000000)
#define MS_PER_SEC INT64_C(1000)

/**
 * Reads CLOCK_BOOTTIME, which also advances while the VM is suspended, so
 * that leases expire for a VM that was frozen.
 *
 * @return nanoseconds since boot
 */
int64_t clock_now_ns(void);

/** Reads CLOCK_BOOTTIME. @return milliseconds since boot */
int64_t clock_now_ms(void);

/**
 * Reads the wall clock, for log lines, audit records and incarnations only.
 *
 * @return milliseconds since the epoch
 */
int64_t clock_wall_ms(void);

#endif
