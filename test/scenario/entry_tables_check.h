/**
 * @file
 * An entry VM with services, to which versions of tables are delivered.
 */
#ifndef TM_TEST_ENTRY_TABLES_CHECK_H
#define TM_TEST_ENTRY_TABLES_CHECK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Makes a VM with services "s0", "s1", ... @return 0, or an error number */
int entry_tables_start(uint32_t services);

/** Gives service s0 a table of term 1. */
void entry_tables_load(uint64_t sequence);

/**
 * Delivers the version of s0 (term 1) at a peer, together with a service that
 * is not configured here.
 *
 * @return messages that the VM sent in answer
 */
uint64_t entry_tables_deliver(uint64_t sequence);

/** Delivers bytes that are no message. @return messages sent in answer */
uint64_t entry_tables_deliver_garbage(void);

/** Runs the timer once. @return messages sent */
uint64_t entry_tables_run_tick(int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
