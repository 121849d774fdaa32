/**
 * @file
 * What a gate knows of requests that crash targets: those that the leading hub
 * blocks, those that it suspects, and the requests that targets answered here
 * lately, which are harmless. The gate owns the state. Does no I/O and reads no
 * clock.
 */
#ifndef TM_GATE_GATE_CRASH_H
#define TM_GATE_GATE_CRASH_H

#include <stdint.h>

#include "proto/fleet.pb-c.h"

/** An answered request counts as harmless for this time. */
#define GATE_CRASH_HARMLESS_MS 60000

typedef struct gate_crash gate_crash_t;

/** @return NULL if memory is exhausted */
gate_crash_t *gate_crash_create(void);

/** Frees everything; NULL is allowed. */
void gate_crash_destroy(gate_crash_t *crash);

/** Replaces the lists; those of an earlier term or sequence are ignored. */
void gate_crash_apply(
    gate_crash_t *crash, const Tm__Fleet__Blocks *msg, int64_t now_ms);

/** @return term and sequence of the lists; 0: none */
uint64_t gate_crash_get_term(const gate_crash_t *crash);
uint64_t gate_crash_get_sequence(const gate_crash_t *crash);

/** @return 1 if a request is blocked or suspected; otherwise no fingerprint
 * needs to be looked up */
int gate_crash_has_any(const gate_crash_t *crash);

/** @return time until the block of a request ends, in ms; 0: not blocked */
int64_t gate_crash_get_block_ms(
    const gate_crash_t *crash, uint64_t fingerprint, int64_t now_ms);

/** Records that a target answered a request. @return 1 if the leading hub
 * suspects the request and must be told */
int gate_crash_record_answer(
    gate_crash_t *crash, uint64_t fingerprint, int64_t now_ms);

/** @return 1 if a target answered such a request here lately */
int gate_crash_is_harmless(
    const gate_crash_t *crash, uint64_t fingerprint, int64_t now_ms);

#endif
