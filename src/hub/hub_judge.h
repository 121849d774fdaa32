/**
 * @file
 * Verdicts of the leading hub on the targets. All gates report what speaks
 * against a target at once; the leader weighs it, ejects, and offers trials.
 * Health answers of targets are no evidence. A decision module.
 */
#ifndef TM_HUB_HUB_JUDGE_H
#define TM_HUB_HUB_JUDGE_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"

typedef struct hub_judge hub_judge_t;

/** Reports a changed verdict. */
typedef void (*hub_judge_cb)(
    void *ctx, uint64_t target, fleet_verdict_t verdict, const char *reason);

/** What a gate reports. */
typedef struct hub_evidence {
	uint64_t target; /**< key */
	node_id_t gate;
	fleet_evidence_t kind;
	int is_trial;
} hub_evidence_t;

/** How a verdict came about, for logs and tests. */
typedef struct hub_judge_info {
	fleet_verdict_t verdict;
	double badness;
	uint32_t ejections;
	int64_t failed_ms; /**< last failure of an ejected target */
	int64_t heard_ms; /**< last announcement or good answer; 0: none */
} hub_judge_info_t;

/** @return NULL if memory is exhausted */
hub_judge_t *hub_judge_create(hub_judge_cb changed, void *ctx);

/** Frees everything; NULL is allowed. */
void hub_judge_destroy(hub_judge_t *judge);

/** Forgets all evidence: this hub begins to lead. */
void hub_judge_reset(hub_judge_t *judge);

/**
 * Adds a target without any evidence. A new incarnation starts afresh; a known
 * one changes nothing.
 *
 * @param service  id of its service
 * @param born_ms  tells the incarnations apart
 */
void hub_judge_add(
    hub_judge_t *judge, uint64_t key, uint64_t service, uint64_t born_ms);

/** Ejects a target that the leader before had ejected. */
void hub_judge_restore(hub_judge_t *judge, uint64_t key, int64_t now_ms);

/**
 * Lists the targets that are not in use.
 *
 * @param targets  room for max keys
 * @return         their number
 */
size_t hub_judge_list_ejected(
    const hub_judge_t *judge, uint64_t *targets, size_t max);

/** Removes a target that leaves. */
void hub_judge_remove(hub_judge_t *judge, uint64_t key);

/** The target announced itself. */
void hub_judge_note_announced(hub_judge_t *judge, uint64_t key, int64_t now_ms);

/** Counts good responses. */
void hub_judge_note_good(
    hub_judge_t *judge, uint64_t key, uint32_t count, int64_t now_ms);

/** Weighs a report. */
void hub_judge_note(
    hub_judge_t *judge, const hub_evidence_t *evidence, int64_t now_ms);

/**
 * Asks for the right to send the trial request of a target.
 *
 * @return 1 if it is granted
 */
int hub_judge_ask_trial(
    hub_judge_t *judge, uint64_t key, node_id_t gate, int64_t now_ms);

/** Ends ejections that are over, and trials without a result. */
void hub_judge_tick(hub_judge_t *judge, int64_t now_ms);

/** @return verdict on a target; FLEET_VERDICT_GOOD for an unknown one */
fleet_verdict_t hub_judge_get(const hub_judge_t *judge, uint64_t key);

/** Describes a target. @return 0 or TM_ENOENT */
int hub_judge_get_info(
    const hub_judge_t *judge, uint64_t key, hub_judge_info_t *info);

#endif
