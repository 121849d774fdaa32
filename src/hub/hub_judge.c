#include "hub/hub_judge.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/error.h"

/* Evidence adds up to badness; a target whose badness reaches 1 is ejected. */
#define BADNESS_LIMIT 1.0
/* Badness that is not confirmed fades with this time constant. */
#define BADNESS_FADE_MS 3000.0
/* Each good response leaves this share of the badness. */
#define GOOD_KEEPS 0.6
/* The same gate adds little within this time: it may have lost its path. */
#define SAME_GATE_MS	 2000
#define SAME_GATE_WEIGHT 0.1
/* After its last failure an ejected target gets no request for this time. */
#define REST_MS 1000
/* Then it is tried by requests that may be repeated, and by any request once
 * the ejection has lasted so long: most faults that come and go have passed. */
#define SAFE_ONLY_MS 8000
/* Time after a failed trial before a request that may not be repeated. */
#define UNSAFE_REST_MS 4000
/* Ejections further apart than this are not counted together. */
#define EJECT_MEMORY_MS 10000
/* Share of a service's targets that may be without any request, and the time
 * after which a target counts as such. */
#define UNUSED_SHARE 0.27
#define UNUSED_MS    1200
/* Stalls and shed requests of so many targets of a service at the same time
 * come from its load and not from the targets. */
#define COMMON_SHARE   0.4
#define COMMON_TIME_MS 2000
#define COMMON_WEIGHT  0.2
/* A trial without a result is over after this time. */
#define TRIAL_MAX_MS 4000
/* Good trials in a row that end an ejection, as a rule. */
#define TRIALS_NEEDED 3
/* Share of a service's targets that stay in use unless they are broken. */
#define KEPT_SHARE 0.35
/* A target that neither announces itself nor answers for so long is lost, as
 * far as the leader can tell. */
#define SILENT_MS 4500
/* A lost target is tried this often: gates may reach it all the same. */
#define LOST_REST_MS 3000

typedef struct judged_service judged_service_t;

typedef struct judged {
	uint64_t key;
	judged_service_t *service;
	uint64_t born_ms;
	fleet_verdict_t verdict;
	double badness;
	int64_t faded_ms; /* when the badness was computed */
	int64_t strained_ms; /* last stall or shed request */
	node_id_t last_gate; /* of the last evidence */
	int64_t last_gate_ms;
	int64_t ejected_ms; /* when it left use */
	int64_t failed_ms; /* last failure since */
	uint32_t ejections; /* in close succession */
	uint32_t good_trials;
	node_id_t trial_gate; /* NODE_ID_NONE: no trial runs */
	int64_t trial_ms;
	int is_lost; /* silent for long */
	int64_t announced_ms;
	int64_t good_ms; /* last good response */
	struct judged *prev; /* of the service */
	struct judged *next;
	UT_hash_handle hh;
} judged_t;

/* A service that has, or had, targets. */
struct judged_service {
	uint64_t id;
	judged_t *targets;
	UT_hash_handle hh;
};

struct hub_judge {
	judged_t *targets;
	judged_service_t *services;
	hub_judge_cb changed;
	void *ctx;
};

static const struct {
	const char *name;
	double weight;
} evidence_info[] = {
	[FLEET_EVIDENCE_GOOD] = { "good", 0 },
	[FLEET_EVIDENCE_UNREACHABLE] = { "unreachable", 0.5 },
	[FLEET_EVIDENCE_BROKEN] = { "connection broken", 1.0 },
	[FLEET_EVIDENCE_WRONG] = { "wrong response", 0.7 },
	[FLEET_EVIDENCE_ERROR] = { "error response", 0.45 },
	[FLEET_EVIDENCE_SHED] = { "request shed", 0.34 },
	[FLEET_EVIDENCE_STALL] = { "stall", 0.55 },
	[FLEET_EVIDENCE_OTHER] = { "another target answers", 1.0 },
	[FLEET_EVIDENCE_UNUSED] = { "trial not sent", 0 },
};

hub_judge_t *
hub_judge_create(hub_judge_cb changed, void *ctx)
{
	hub_judge_t *judge = calloc(1, sizeof(*judge));

	if (judge != NULL) {
		judge->changed = changed;
		judge->ctx = ctx;
	}
	return (judge);
}

static void
remove_target(hub_judge_t *judge, judged_t *target)
{
	HASH_DELETE(hh, judge->targets, target);
	DL_DELETE(target->service->targets, target);
	free(target);
}

void
hub_judge_reset(hub_judge_t *judge)
{
	judged_t *target;
	judged_t *next;

	HASH_ITER(hh, judge->targets, target, next)
		remove_target(judge, target);
}

void
hub_judge_destroy(hub_judge_t *judge)
{
	judged_service_t *service;
	judged_service_t *next;

	if (judge == NULL)
		return;
	hub_judge_reset(judge);
	HASH_ITER(hh, judge->services, service, next) {
		HASH_DELETE(hh, judge->services, service);
		free(service);
	}
	free(judge);
}

static judged_t *
find(const hub_judge_t *judge, uint64_t key)
{
	judged_t *target;

	HASH_FIND(hh, judge->targets, &key, sizeof(key), target);
	return (target);
}

static judged_service_t *
get_service(hub_judge_t *judge, uint64_t id)
{
	judged_service_t *service;

	HASH_FIND(hh, judge->services, &id, sizeof(id), service);
	if (service != NULL)
		return (service);
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return (NULL);
	service->id = id;
	HASH_ADD(hh, judge->services, id, sizeof(service->id), service);
	return (service);
}

void
hub_judge_add(
    hub_judge_t *judge, uint64_t key, uint64_t service, uint64_t born_ms)
{
	judged_t *target = find(judge, key);

	if (target != NULL && target->born_ms == born_ms)
		return;
	if (target != NULL)
		remove_target(judge, target);
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return;
	target->service = get_service(judge, service);
	if (target->service == NULL) {
		free(target);
		return;
	}
	target->key = key;
	target->born_ms = born_ms;
	HASH_ADD(hh, judge->targets, key, sizeof(target->key), target);
	DL_APPEND(target->service->targets, target);
}

void
hub_judge_remove(hub_judge_t *judge, uint64_t key)
{
	judged_t *target = find(judge, key);

	if (target != NULL)
		remove_target(judge, target);
}

static void
set_verdict(hub_judge_t *judge, judged_t *target, fleet_verdict_t verdict,
    const char *reason)
{
	if (target->verdict == verdict)
		return;
	target->verdict = verdict;
	target->trial_gate = NODE_ID_NONE;
	target->good_trials = 0;
	judge->changed(judge->ctx, target->key, verdict, reason);
}

static void
fade(judged_t *target, int64_t now_ms)
{
	if (now_ms > target->faded_ms)
		target->badness *=
		    exp((double)(target->faded_ms - now_ms) / BADNESS_FADE_MS);
	target->faded_ms = now_ms;
}

/* Targets of a service that are not lost. */
static uint32_t
count_targets(const judged_service_t *service)
{
	const judged_t *target;
	uint32_t total = 0;

	for (target = service->targets; target != NULL; target = target->next)
		total += !target->is_lost;
	return (total);
}

/* Targets of a service that stay in use unless they are broken. */
static uint32_t
get_kept(const judged_service_t *service)
{
	return ((uint32_t)ceil(KEPT_SHARE * count_targets(service)));
}

static uint32_t
count_good(const judged_service_t *service)
{
	const judged_t *target;
	uint32_t good = 0;

	for (target = service->targets; target != NULL; target = target->next)
		good +=
		    !target->is_lost && target->verdict == FLEET_VERDICT_GOOD;
	return (good);
}

/* Ejections for weak reasons must leave a share of the service in use. */
static int
may_eject(const judged_t *target, fleet_evidence_t kind)
{
	return (target->is_lost || kind == FLEET_EVIDENCE_BROKEN ||
	    target->verdict != FLEET_VERDICT_GOOD ||
	    count_good(target->service) > get_kept(target->service));
}

static void
eject(
    hub_judge_t *judge, judged_t *target, fleet_evidence_t kind, int64_t now_ms)
{
	const char *reason = evidence_info[kind].name;

	if (!may_eject(target, kind))
		return;
	if (target->verdict == FLEET_VERDICT_GOOD) {
		if (now_ms - target->failed_ms >= EJECT_MEMORY_MS)
			target->ejections = 0;
		target->ejections++;
		target->ejected_ms = now_ms;
	}
	target->failed_ms = now_ms;
	target->badness = 0;
	set_verdict(judge, target, FLEET_VERDICT_EJECTED, reason);
}

void
hub_judge_note_announced(hub_judge_t *judge, uint64_t key, int64_t now_ms)
{
	judged_t *target = find(judge, key);

	if (target != NULL)
		target->announced_ms = now_ms;
}

void
hub_judge_note_good(
    hub_judge_t *judge, uint64_t key, uint32_t count, int64_t now_ms)
{
	judged_t *target = find(judge, key);

	if (target == NULL || count == 0)
		return;
	fade(target, now_ms);
	target->badness *= pow(GOOD_KEEPS, count);
	target->good_ms = now_ms;
}

/* One is enough while too few targets of the service are good. */
static uint32_t
get_trials_needed(const judged_service_t *service)
{
	return (count_good(service) < get_kept(service) ? 1 : TRIALS_NEEDED);
}

static void
note_trial(hub_judge_t *judge, judged_t *target, const hub_evidence_t *evidence,
    int64_t now_ms)
{
	if (target->trial_gate != evidence->gate)
		return;
	target->trial_gate = NODE_ID_NONE;
	switch (evidence->kind) {
	case FLEET_EVIDENCE_UNUSED:
		return;
	case FLEET_EVIDENCE_GOOD:
		target->good_ms = now_ms;
		if (++target->good_trials >= get_trials_needed(target->service))
			set_verdict(judge, target, FLEET_VERDICT_GOOD,
			    "trials were good");
		return;
	default:
		eject(judge, target, evidence->kind, now_ms);
	}
}

/* @return 1 if many targets of the service show the same */
static int
is_common(judged_t *target, int64_t now_ms)
{
	const judged_t *other;
	uint32_t strained = 0;

	target->strained_ms = now_ms;
	for (other = target->service->targets; other != NULL;
	     other = other->next)
		strained += !other->is_lost && other->strained_ms != 0 &&
		    now_ms - other->strained_ms <= COMMON_TIME_MS;
	return (
	    (double)strained > COMMON_SHARE * count_targets(target->service));
}

void
hub_judge_note(
    hub_judge_t *judge, const hub_evidence_t *evidence, int64_t now_ms)
{
	judged_t *target = find(judge, evidence->target);
	double weight;

	if (target == NULL || evidence->kind > FLEET_EVIDENCE_UNUSED)
		return;
	if (evidence->is_trial) {
		note_trial(judge, target, evidence, now_ms);
		return;
	}
	if (target->verdict != FLEET_VERDICT_GOOD)
		return;
	weight = evidence_info[evidence->kind].weight;
	if (evidence->kind == FLEET_EVIDENCE_UNREACHABLE &&
	    evidence->gate == target->last_gate &&
	    now_ms - target->last_gate_ms < SAME_GATE_MS)
		weight *= SAME_GATE_WEIGHT;
	if ((evidence->kind == FLEET_EVIDENCE_STALL ||
		evidence->kind == FLEET_EVIDENCE_SHED) &&
	    is_common(target, now_ms))
		weight *= COMMON_WEIGHT;
	target->last_gate = evidence->gate;
	target->last_gate_ms = now_ms;
	fade(target, now_ms);
	target->badness += weight;
	if (target->badness >= BADNESS_LIMIT)
		eject(judge, target, evidence->kind, now_ms);
}

static int
is_on_trial(const judged_t *target)
{
	return (target->verdict == FLEET_VERDICT_TRIAL ||
	    target->verdict == FLEET_VERDICT_TRIAL_SAFE);
}

void
hub_judge_restore(hub_judge_t *judge, uint64_t key, int64_t now_ms)
{
	judged_t *target = find(judge, key);

	if (target == NULL)
		return;
	target->ejected_ms = now_ms;
	target->failed_ms = now_ms;
	set_verdict(judge, target, FLEET_VERDICT_EJECTED,
	    "the leader before had ejected it");
}

size_t
hub_judge_list_ejected(const hub_judge_t *judge, uint64_t *targets, size_t max)
{
	const judged_t *target;
	size_t count = 0;

	for (target = judge->targets; target != NULL && count < max;
	     target = target->hh.next) {
		if (target->verdict != FLEET_VERDICT_GOOD)
			targets[count++] = target->key;
	}
	return (count);
}

int
hub_judge_ask_trial(
    hub_judge_t *judge, uint64_t key, node_id_t gate, int64_t now_ms)
{
	judged_t *target = find(judge, key);

	if (target == NULL || !is_on_trial(target) ||
	    target->trial_gate != NODE_ID_NONE)
		return (0);
	target->trial_gate = gate;
	target->trial_ms = now_ms;
	return (1);
}

static int64_t
get_heard_ms(const judged_t *target)
{
	return (target->announced_ms > target->good_ms ? target->announced_ms
						       : target->good_ms);
}

static int
is_silent(const judged_t *target, int64_t now_ms)
{
	int64_t heard_ms = get_heard_ms(target);

	return (heard_ms != 0 && now_ms - heard_ms > SILENT_MS);
}

static void
offer_trial(hub_judge_t *judge, judged_t *target, int64_t now_ms)
{
	int64_t rested_ms = now_ms - target->failed_ms;

	if (target->trial_gate != NODE_ID_NONE)
		return;
	if (target->is_lost) {
		if (rested_ms >= LOST_REST_MS)
			set_verdict(judge, target, FLEET_VERDICT_TRIAL,
			    "a gate may still reach it");
		return;
	}
	if (now_ms - target->ejected_ms >= SAFE_ONLY_MS &&
	    rested_ms >= UNSAFE_REST_MS)
		set_verdict(judge, target, FLEET_VERDICT_TRIAL,
		    "any request may try it");
	else if (target->verdict == FLEET_VERDICT_EJECTED &&
	    rested_ms >= REST_MS)
		set_verdict(judge, target, FLEET_VERDICT_TRIAL_SAFE,
		    "repeatable requests may try it");
}

/* @return 1 if a target gets no requests at all */
static int
is_unused(const judged_t *target, int64_t now_ms)
{
	return (!target->is_lost && target->verdict != FLEET_VERDICT_GOOD &&
	    target->verdict != FLEET_VERDICT_TRIAL &&
	    now_ms - target->failed_ms > UNUSED_MS);
}

/* Targets of a service that get no requests at all. */
static uint32_t
count_unused(const judged_service_t *service, int64_t now_ms)
{
	const judged_t *target;
	uint32_t unused = 0;

	for (target = service->targets; target != NULL; target = target->next)
		unused += is_unused(target, now_ms);
	return (unused);
}

/* The unused target whose last failure is the longest ago. */
static judged_t *
find_rested(const judged_service_t *service, int64_t now_ms)
{
	judged_t *rested = NULL;
	judged_t *target;

	for (target = service->targets; target != NULL; target = target->next) {
		if (is_unused(target, now_ms) &&
		    target->trial_gate == NODE_ID_NONE &&
		    (rested == NULL || target->failed_ms < rested->failed_ms))
			rested = target;
	}
	return (rested);
}

/* Not more than a share of a service's targets stays without any request. */
static void
keep_in_use(hub_judge_t *judge, const judged_service_t *service, int64_t now_ms)
{
	judged_t *target;
	uint32_t unused = count_unused(service, now_ms);
	uint32_t allowed = (uint32_t)(UNUSED_SHARE * count_targets(service));

	for (; unused > allowed; unused--) {
		target = find_rested(service, now_ms);
		if (target == NULL)
			return;
		set_verdict(judge, target, FLEET_VERDICT_TRIAL,
		    "much of the service is unused");
	}
}

void
hub_judge_tick(hub_judge_t *judge, int64_t now_ms)
{
	judged_service_t *service;
	judged_service_t *next_service;
	judged_t *target;
	judged_t *next;

	HASH_ITER(hh, judge->services, service, next_service)
		keep_in_use(judge, service, now_ms);
	HASH_ITER(hh, judge->targets, target, next) {
		if (target->trial_gate != NODE_ID_NONE &&
		    now_ms - target->trial_ms > TRIAL_MAX_MS)
			target->trial_gate = NODE_ID_NONE;
		target->is_lost = is_silent(target, now_ms);
		if (target->verdict != FLEET_VERDICT_GOOD)
			offer_trial(judge, target, now_ms);
		else if (target->is_lost)
			eject(
			    judge, target, FLEET_EVIDENCE_UNREACHABLE, now_ms);
	}
}

fleet_verdict_t
hub_judge_get(const hub_judge_t *judge, uint64_t key)
{
	const judged_t *target = find(judge, key);

	return (target != NULL ? target->verdict : FLEET_VERDICT_GOOD);
}

int
hub_judge_get_info(
    const hub_judge_t *judge, uint64_t key, hub_judge_info_t *info)
{
	const judged_t *target = find(judge, key);

	if (target == NULL)
		return (TM_ENOENT);
	*info = (hub_judge_info_t){
		.verdict = target->verdict,
		.badness = target->badness,
		.ejections = target->ejections,
		.failed_ms = target->failed_ms,
		.heard_ms = get_heard_ms(target),
	};
	return (TM_OK);
}
