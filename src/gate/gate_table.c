#include "gate/gate_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_config.h"
#include "fleet/fleet_limit.h"
#include "fleet/fleet_table.h"
#include "gate/gate_admission.h"
#include "gate/gate_choice.h"
#include "gate/gate_probe.h"

/* Of a new latency in the mean of its service. */
#define LATENCY_WEIGHT 0.05
/* A smaller table is described by one digest: all of it takes 16 kB. */
#define BUCKETS_ROWS_MIN 300

struct gate_table {
	char zone[NAME_MAX_BYTES + 1];
	rng_t rng;
	gate_policy_t policy;
	gate_target_t *targets;
	gate_service_t *services;
	gate_evacuation_t evacuation;
	uint64_t term;
	uint64_t sequence;
	fleet_table_digests_t digests;
	int needs_whole; /* differences over terms did not apply */
};

gate_table_t *
gate_table_create(const char *zone, uint64_t seed)
{
	gate_table_t *table = calloc(1, sizeof(*table));

	if (table == NULL)
		return (NULL);
	snprintf(table->zone, sizeof(table->zone), "%s", zone);
	rng_init(&table->rng, seed);
	return (table);
}

void
gate_table_destroy(gate_table_t *table)
{
	gate_target_t *target;
	gate_target_t *next;
	gate_service_t *service;
	gate_service_t *next_service;

	if (table == NULL)
		return;
	HASH_ITER(hh, table->targets, target, next) {
		HASH_DELETE(hh, table->targets, target);
		free(target);
	}
	HASH_ITER(hh, table->services, service, next_service) {
		HASH_DELETE(hh, table->services, service);
		free(service->targets);
		gate_subset_release(&service->subset);
		free(service);
	}
	free(table);
}

void
gate_table_set_policy(gate_table_t *table, const gate_policy_t *policy)
{
	gate_service_t *service;

	/* The preferences depend on the gate's name. */
	for (service = table->services;
	     policy->gate != table->policy.gate && service != NULL;
	     service = service->hh.next)
		service->subset.is_ordered = 0;
	table->policy = *policy;
}

const gate_policy_t *
gate_table_get_policy(const gate_table_t *table)
{
	return (&table->policy);
}

uint64_t
gate_table_get_term(const gate_table_t *table)
{
	return (table->term);
}

uint64_t
gate_table_get_sequence(const gate_table_t *table)
{
	return (table->sequence);
}

uint32_t
gate_table_count(const gate_table_t *table)
{
	return (HASH_COUNT(table->targets));
}

gate_service_t *
gate_table_find_service(const gate_table_t *table, const char *name)
{
	return (gate_table_find_service_id(table, fleet_name_hash(name)));
}

gate_service_t *
gate_table_find_service_id(const gate_table_t *table, uint64_t id)
{
	gate_service_t *service;

	HASH_FIND(hh, table->services, &id, sizeof(id), service);
	return (service);
}

gate_service_t *
gate_table_get_services(const gate_table_t *table)
{
	return (table->services);
}

gate_target_t *
gate_table_find_target(const gate_table_t *table, uint64_t key)
{
	gate_target_t *target;

	HASH_FIND(hh, table->targets, &key, sizeof(key), target);
	return (target);
}

static gate_service_t *
get_service(gate_table_t *table, const char *name)
{
	gate_service_t *service = gate_table_find_service(table, name);

	if (service != NULL)
		return (service);
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return (NULL);
	service->id = fleet_name_hash(name);
	snprintf(service->name, sizeof(service->name), "%s", name);
	HASH_ADD(hh, table->services, id, sizeof(service->id), service);
	return (service);
}

static int
service_add(gate_service_t *service, gate_target_t *target)
{
	gate_target_t **grown;
	uint32_t capacity;

	if (service->count == service->capacity) {
		capacity = service->capacity == 0 ? 8 : service->capacity * 2;
		grown = realloc(
		    service->targets, capacity * sizeof(gate_target_t *));
		if (grown == NULL)
			return (0);
		service->targets = grown;
		service->capacity = capacity;
	}
	service->targets[service->count++] = target;
	service->subset.is_ordered = 0;
	target->service = service;
	return (1);
}

static void
service_remove(gate_service_t *service, const gate_target_t *target)
{
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		if (service->targets[i] != target)
			continue;
		service->targets[i] = service->targets[--service->count];
		service->subset.is_ordered = 0;
		return;
	}
}

/* @param digest  of the row; 0: it is removed */
static void
set_digest(gate_table_t *table, gate_target_t *target, uint64_t digest)
{
	table->digests.sums[fleet_table_get_bucket(target->key)] +=
	    digest - target->digest;
	target->digest = digest;
}

/* The memory is freed once the last request that refers to it has ended. */
static void
remove_target(gate_table_t *table, gate_target_t *target)
{
	/* A target that was found is in a table; the analyzer misses this. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(hh, table->targets, target);
	service_remove(target->service, target);
	set_digest(table, target, 0);
	target->is_removed = 1;
	if (target->refs == 0)
		free(target);
}

static gate_target_t *
add_target(gate_table_t *table, const Tm__Fleet__Target *msg, uint64_t key)
{
	gate_service_t *service = get_service(table, msg->service);
	gate_target_t *target = calloc(1, sizeof(*target));

	if (service == NULL || target == NULL ||
	    !service_add(service, target)) {
		free(target);
		return (NULL);
	}
	target->key = key;
	snprintf(target->id, sizeof(target->id), "%s", msg->id);
	target->incarnation_ms = msg->born_ms;
	HASH_ADD(hh, table->targets, key, sizeof(target->key), target);
	return (target);
}

static void
set_verdict(gate_target_t *target, uint32_t verdict)
{
	if (target->verdict != (fleet_verdict_t)verdict &&
	    verdict == FLEET_VERDICT_HEALTHY)
		target->avoid_until_ms = 0;
	target->verdict = (fleet_verdict_t)verdict;
}

static void
apply_limits(gate_target_t *target, uint32_t limit, uint32_t warmup_limit,
    uint32_t cold_left_ms, int64_t now_ms)
{
	int was_cold = gate_limit_is_cold(&target->limit, now_ms);

	gate_limit_apply(&target->limit, limit, now_ms);
	gate_limit_apply_warmup(
	    &target->limit, warmup_limit, cold_left_ms, now_ms);
	if (was_cold || gate_limit_is_cold(&target->limit, now_ms))
		target->cold_until_ms = target->limit.warmup_until_ms;
}

static void
apply_target(gate_table_t *table, const Tm__Fleet__Target *msg, int64_t now_ms)
{
	uint64_t key = fleet_name_hash(msg->id);
	gate_target_t *target = gate_table_find_target(table, key);

	/* State of an earlier incarnation does not apply to a new one. */
	if (target != NULL &&
	    (target->incarnation_ms != msg->born_ms ||
		strcmp(target->service->name, msg->service) != 0)) {
		remove_target(table, target);
		target = NULL;
	}
	if (target == NULL) {
		target = add_target(table, msg, key);
		if (target == NULL)
			return;
		target->cold_until_ms = now_ms + msg->cold_left_ms;
	}
	target->addr.sin_family = AF_INET;
	target->addr.sin_addr.s_addr = msg->ip;
	target->addr.sin_port = htons((uint16_t)msg->port);
	target->data_centre = fleet_name_hash(msg->zone);
	target->is_evacuated =
	    gate_evacuation_has(&table->evacuation, target->data_centre);
	target->is_same_zone = strcmp(msg->zone, table->zone) == 0;
	target->slots = msg->slots > 0 ? msg->slots : 1;
	target->state = (fleet_target_state_t)msg->state;
	set_verdict(target, msg->verdict);
	apply_limits(
	    target, msg->limit, msg->warmup_limit, msg->cold_left_ms, now_ms);
	set_digest(table, target, fleet_table_digest_row(msg));
	target->is_listed = 1;
}

static void
apply_evacuation(gate_table_t *table, const Tm__Fleet__Table *msg)
{
	gate_target_t *target;

	if (!gate_evacuation_set(
		&table->evacuation, msg->evacuated, msg->n_evacuated))
		return;
	for (target = table->targets; target != NULL; target = target->hh.next)
		target->is_evacuated = gate_evacuation_has(
		    &table->evacuation, target->data_centre);
}

const gate_evacuation_t *
gate_table_get_evacuation(const gate_table_t *table)
{
	return (&table->evacuation);
}

/* Starts a full table: remove_unlisted() drops what it does not list. */
static void
mark_all_unlisted(gate_table_t *table)
{
	gate_target_t *target;

	for (target = table->targets; target != NULL; target = target->hh.next)
		target->is_listed = 0;
}

static void
remove_unlisted(gate_table_t *table)
{
	gate_target_t *target;
	gate_target_t *next;

	HASH_ITER(hh, table->targets, target, next) {
		if (!target->is_listed)
			remove_target(table, target);
	}
}

static int
find_number(const uint32_t *list, size_t count, uint32_t number)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (list[i] == number)
			return (1);
	}
	return (0);
}

static int
is_replaced(const Tm__Fleet__Table *msg, uint64_t key)
{
	return (find_number(
	    msg->replaced, msg->n_replaced, fleet_table_get_bucket(key)));
}

/* @return 1 if this table and the differences make the table of the leader */
static int
check_differences(const gate_table_t *table, const Tm__Fleet__Table *msg)
{
	fleet_table_digests_t digests = table->digests;
	const gate_target_t *target;
	uint64_t key;
	size_t i;

	if (msg->base_digest != fleet_table_digest(&digests))
		return (0);
	for (i = 0; i < msg->n_replaced; i++) {
		if (msg->replaced[i] >= FLEET_TABLE_BUCKETS)
			return (0);
		digests.sums[msg->replaced[i]] = 0;
	}
	for (i = 0; i < msg->n_targets; i++) {
		key = fleet_name_hash(msg->targets[i]->id);
		target = gate_table_find_target(table, key);
		if (target != NULL && !is_replaced(msg, key))
			digests.sums[fleet_table_get_bucket(key)] -=
			    target->digest;
		digests.sums[fleet_table_get_bucket(key)] +=
		    fleet_table_digest_row(msg->targets[i]);
	}
	return (fleet_table_digest(&digests) == msg->digest);
}

/* Sets the verdicts that a table lists without rows. */
static void
apply_verdicts(gate_table_t *table, const Tm__Fleet__Table *msg)
{
	gate_target_t *target;
	size_t i;

	for (i = 0; i < msg->n_judged && i < msg->n_verdicts; i++) {
		target = gate_table_find_target(table, msg->judged[i]);
		if (target == NULL)
			continue;
		set_verdict(target, msg->verdicts[i]);
		target->is_judged = 1;
	}
}

/* Applies what the leader says of a target that has the same row as before: a full
 * table would say the same. */
static void
apply_same_row(gate_target_t *target, int64_t now_ms)
{
	if (!target->is_judged)
		set_verdict(target, FLEET_VERDICT_HEALTHY);
	apply_limits(
	    target, FLEET_LIMIT_UNKNOWN, target->limit.cold_value, 0, now_ms);
	target->is_listed = 1;
}

static void
apply_differences(
    gate_table_t *table, const Tm__Fleet__Table *msg, int64_t now_ms)
{
	gate_target_t *target;
	gate_target_t *next;
	size_t i;

	for (target = table->targets; target != NULL; target = target->hh.next)
		target->is_listed = target->is_judged = 0;
	for (i = 0; i < msg->n_targets; i++)
		apply_target(table, msg->targets[i], now_ms);
	apply_verdicts(table, msg);
	HASH_ITER(hh, table->targets, target, next) {
		if (target->is_listed)
			continue;
		if (is_replaced(msg, target->key))
			remove_target(table, target);
		else
			apply_same_row(target, now_ms);
	}
	for (i = 0; i < msg->n_limited && i < msg->n_limits; i++) {
		target = gate_table_find_target(table, msg->limited[i]);
		if (target != NULL)
			gate_limit_apply(
			    &target->limit, msg->limits[i], now_ms);
	}
}

static void
apply_rows(gate_table_t *table, const Tm__Fleet__Table *msg, int64_t now_ms)
{
	gate_target_t *target;
	size_t i;

	if (msg->since == 0)
		mark_all_unlisted(table);
	for (i = 0; i < msg->n_removed; i++) {
		target = gate_table_find_target(table, msg->removed[i]);
		if (target != NULL)
			remove_target(table, target);
	}
	for (i = 0; i < msg->n_targets; i++)
		apply_target(table, msg->targets[i], now_ms);
	apply_verdicts(table, msg);
	if (msg->since == 0)
		remove_unlisted(table);
}

/* @return 1 if the table is not older and its base is the state of this gate */
static int
may_apply(gate_table_t *table, const Tm__Fleet__Table *msg)
{
	if (msg->term < table->term)
		return (0);
	if (msg->base_digest != 0) {
		/* A duplicate, or one that another table has overtaken. */
		if (msg->term == table->term)
			return (0);
		table->needs_whole = !check_differences(table, msg);
		return (!table->needs_whole);
	}
	if (msg->since == 0)
		return (msg->term > table->term ||
		    msg->sequence >= table->sequence);
	return (msg->term == table->term && msg->since <= table->sequence &&
	    msg->sequence > table->sequence);
}

int
gate_table_apply(
    gate_table_t *table, const Tm__Fleet__Table *msg, int64_t now_ms)
{
	if (!may_apply(table, msg))
		return (0);
	apply_evacuation(table, msg);
	if (msg->base_digest != 0)
		apply_differences(table, msg, now_ms);
	else
		apply_rows(table, msg, now_ms);
	table->term = msg->term;
	table->sequence = msg->sequence;
	table->needs_whole = 0;
	return (1);
}

void
gate_table_fill_join(gate_table_t *table, int has_leader, Tm__Fleet__Join *join)
{
	join->table_term = table->term;
	join->table_sequence = table->sequence;
	join->reads_zipped = 1;
	if (table->term == 0 || table->needs_whole)
		return;
	join->table_digest = fleet_table_digest(&table->digests);
	if (has_leader || HASH_COUNT(table->targets) < BUCKETS_ROWS_MIN)
		return;
	join->table_buckets = table->digests.sums;
	join->n_table_buckets = FLEET_TABLE_BUCKETS;
}

void
gate_service_delay_asking(gate_service_t *service, int64_t now_ms)
{
	service->next_ask_ms = now_ms + GATE_ASK_RETRY_MS;
}

void
gate_table_set_idle(
    gate_table_t *table, const uint64_t *services, size_t count, int64_t now_ms)
{
	gate_service_t *service;
	size_t i;

	for (i = 0; i < count; i++) {
		service = gate_table_find_service_id(table, services[i]);
		if (service != NULL)
			service->idle_ms = now_ms;
	}
}

int
gate_table_keep_probe(gate_table_t *table, uint64_t target, int64_t now_ms)
{
	const gate_target_t *found = gate_table_find_target(table, target);

	return (
	    found != NULL && gate_probe_keep(found->service, target, now_ms));
}

uint64_t
gate_table_drop_probe(gate_table_t *table, int64_t now_ms)
{
	gate_service_t *service;
	uint64_t target;

	for (service = table->services; service != NULL;
	     service = service->hh.next) {
		target = gate_probe_drop(service, now_ms);
		if (target != 0)
			return (target);
	}
	return (0);
}

gate_choice_t
gate_table_pick(gate_table_t *table, gate_service_t *service,
    const gate_pick_options_t *options)
{
	return (
	    gate_choice_make(service, &table->policy, &table->rng, options));
}

void
gate_table_set_utilization(gate_table_t *table, uint64_t id, double utilization,
    double work_ms, int64_t now_ms)
{
	gate_service_t *service = gate_table_find_service_id(table, id);

	if (service == NULL)
		return;
	service->utilization = utilization;
	service->work_ms = work_ms;
	service->utilization_ms = now_ms;
}

int
gate_table_admits(gate_table_t *table, const gate_service_t *service,
    int64_t soft_deadline_ms, int32_t priority, int64_t now_ms)
{
	double share = gate_admission_get_share(
	    service, soft_deadline_ms, priority, now_ms);

	return (share >= 1 || rng_unit(&table->rng) < share);
}

void
gate_target_acquire(gate_target_t *target)
{
	target->in_flight++;
	target->sent++;
	target->refs++;
}

void
gate_target_release(gate_target_t *target)
{
	target->in_flight--;
	if (--target->refs == 0 && target->is_removed)
		free(target);
}

void
gate_target_record_success(gate_target_t *target, int64_t latency_ms)
{
	target->successes++;
	target->latency_sum_ms += (uint32_t)latency_ms;
	latency_record(&target->service->latency, latency_ms, LATENCY_WEIGHT);
}

void
gate_target_set_load(gate_target_t *target, uint32_t load, int64_t now_ms)
{
	target->load = load;
	target->load_ms = now_ms;
	target->has_unreported_load = 1;
	gate_subset_record_load(
	    &target->service->subset, (double)load / target->slots, now_ms);
}

void
gate_table_set_load(
    gate_table_t *table, uint64_t target, uint32_t load, int64_t reported_ms)
{
	gate_target_t *found = gate_table_find_target(table, target);

	if (found == NULL || found->load_ms >= reported_ms)
		return;
	found->load = load;
	found->load_ms = reported_ms;
}

int
gate_target_set_leaving(gate_target_t *target)
{
	int is_new = !target->is_leaving;

	target->is_leaving = 1;
	return (is_new);
}

void
gate_target_pause(gate_target_t *target, int64_t pause_ms, int64_t now_ms)
{
	if (now_ms + pause_ms > target->paused_until_ms)
		target->paused_until_ms = now_ms + pause_ms;
}

void
gate_target_avoid(gate_target_t *target, int64_t until_ms)
{
	if (until_ms > target->avoid_until_ms)
		target->avoid_until_ms = until_ms;
}

Tm__Fleet__Outcome *
gate_table_collect_outcomes(gate_table_t *table, size_t *count)
{
	Tm__Fleet__Outcome *outcomes = NULL;
	gate_target_t *target;
	gate_target_t *next;

	*count = 0;
	HASH_ITER(hh, table->targets, target, next) {
		if (target->sent == 0 && target->successes == 0 &&
		    !target->has_unreported_load)
			continue;
		if (outcomes == NULL)
			outcomes = calloc(
			    HASH_COUNT(table->targets), sizeof(*outcomes));
		if (outcomes == NULL)
			return (NULL);
		tm__fleet__outcome__init(&outcomes[*count]);
		outcomes[*count].target = target->key;
		outcomes[*count].sent = target->sent;
		outcomes[*count].good = target->successes;
		outcomes[(*count)++].latency_sum_ms = target->latency_sum_ms;
		if (target->has_unreported_load)
			outcomes[*count - 1].load = target->load + 1;
		target->has_unreported_load = 0;
		target->sent = 0;
		target->successes = 0;
		target->latency_sum_ms = 0;
	}
	return (outcomes);
}
