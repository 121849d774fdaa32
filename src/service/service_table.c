#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "service/service_leader_internal.h"
#include "service/service_share.h"

/* Time for the first renewal of a restored lease. */
#define TABLE_RESTORED_LEASE_MS 5000
/* Demand that was reported longer ago no longer counts. */
#define SHARES_DEMAND_EXPIRY_MS 1000
/* Weight of a new level, every 100 ms: smoothed over half a second. */
#define SHARES_LEVEL_WEIGHT 0.2
/*
 * Slots granted per slot of the targets. Part of a running request's time is
 * spent on the network or in the target's queue, so that shares of exactly the
 * slots would leave targets idle.
 */
#define SHARES_OVERCOMMIT 4.0

/* Message with its repeated fields in one allocation. */
typedef struct table_message {
	ServiceTable msg;
	ServiceTableTarget targets[SERVICE_TARGETS_MAX];
	ServiceTableTarget *target_ptrs[SERVICE_TARGETS_MAX];
	uint32_t avoid[SERVICE_TARGETS_MAX][SERVICE_AVOID_MAX];
	ServiceBlocked blocked[SERVICE_BLOCKED_MAX];
	ServiceBlocked *blocked_ptrs[SERVICE_BLOCKED_MAX];
} table_message_t;

static void
table_fill_target(ServiceTableTarget *out, uint32_t *avoid,
    leader_target_t *target, int64_t now_ms)
{
	int64_t age_ms = now_ms - target->cold_started_ms;
	uint32_t i;

	service_table_target__init(out);
	out->target = target->info.target;
	out->incarnation = target->info.incarnation;
	out->ip = target->info.ip;
	out->port = target->info.port;
	out->slots = target->info.slots;
	out->connection_cap = target->info.connection_cap;
	out->state = (uint32_t)target->state;
	out->cold_age_ms =
	    (uint32_t)(age_ms < LEADER_COLD_MS ? age_ms : LEADER_COLD_MS);
	out->ejections = target->ejections;
	out->badness = target->verdict.failure_score;
	out->evidence = (uint32_t)target->verdict.evidence;
	out->evidence_value = target->verdict.value;
	out->evidence_limit = target->verdict.limit;
	out->state_age_ms = (uint64_t)(now_ms - target->state_since_ms);
	for (i = 0; i < target->avoid_count; i++)
		avoid[i] = target->avoid[i].data_centre;
	out->avoid_data_centres = avoid;
	out->n_avoid_data_centres = target->avoid_count;
}

static void
table_fill(service_leader_t *leader, table_message_t *out, int64_t now_ms)
{
	ServiceTable *msg = &out->msg;
	int64_t remaining_ms;
	uint32_t i;

	service_table__init(msg);
	msg->service = leader->id;
	msg->term = leader->term;
	msg->sequence = leader->sequence;
	msg->targets = out->target_ptrs;
	for (i = 0; i < leader->target_count; i++) {
		if (!leader->targets[i].used)
			continue;
		out->target_ptrs[msg->n_targets++] = &out->targets[i];
		table_fill_target(&out->targets[i], out->avoid[i],
		    &leader->targets[i], now_ms);
	}
	msg->blocked = out->blocked_ptrs;
	for (i = 0; i < leader->blocked_count; i++) {
		remaining_ms = leader->blocked[i].until_ms - now_ms;
		if (remaining_ms <= 0)
			continue;
		service_blocked__init(&out->blocked[i]);
		out->blocked[i].fingerprint = leader->blocked[i].fingerprint;
		out->blocked[i].remaining_ms = (uint32_t)remaining_ms;
		out->blocked_ptrs[msg->n_blocked++] = &out->blocked[i];
	}
}

static void
table_save(service_leader_t *leader, const ServiceTable *msg)
{
	size_t len = service_table__get_packed_size(msg);
	uint8_t *bytes = realloc(leader->encoded, len + 1);

	if (bytes == NULL)
		return;
	leader->encoded = bytes;
	leader->encoded_len = service_table__pack(msg, bytes);
	leader->opt.save_table(
	    leader->opt.ctx, leader->encoded, leader->encoded_len);
}

void
leader_table_publish(service_leader_t *leader, int64_t now_ms)
{
	table_message_t *out = malloc(sizeof(*out));
	leader_vm_t *vm;

	if (out == NULL)
		return;
	leader->sequence++;
	table_fill(leader, out, now_ms);
	table_save(leader, &out->msg);
	for (vm = leader->vms; vm != NULL; vm = vm->hh.next) {
		if (leader->opt.test_off & SERVICE_OFF_PUSH)
			break;
		leader->opt.send(
		    leader->opt.ctx, vm->id, MSG_SERVICE_TABLE, &out->msg.base);
	}
	free(out);
	leader->dirty = 0;
}

void
leader_table_send(service_leader_t *leader, node_id_t to, int64_t now_ms)
{
	table_message_t *out = malloc(sizeof(*out));

	if (out == NULL)
		return;
	table_fill(leader, out, now_ms);
	leader->opt.send(
	    leader->opt.ctx, to, MSG_SERVICE_TABLE, &out->msg.base);
	free(out);
}

static void
table_restore_target(
    service_leader_t *leader, const ServiceTableTarget *saved, int64_t now_ms)
{
	leader_target_t *target = &leader->targets[leader->target_count++];
	service_announcement_t info = {
		.incarnation = saved->incarnation,
		.port = (uint16_t)saved->port,
		.slots = saved->slots,
		.connection_cap = saved->connection_cap,
	};

	strncpy(info.target, saved->target, sizeof(info.target) - 1);
	strncpy(info.ip, saved->ip, sizeof(info.ip) - 1);
	leader_target_init(target, &info, now_ms);
	target->state = (service_target_state_t)saved->state;
	target->cold_started_ms = now_ms - saved->cold_age_ms;
	target->ejections = saved->ejections;
	target->verdict = (service_finding_t){
		.failure_score = saved->badness,
		.evidence = service_evidence_from_number(saved->evidence),
		.value = saved->evidence_value,
		.limit = saved->evidence_limit,
	};
	target->state_since_ms = now_ms - (int64_t)saved->state_age_ms;
	target->left_ms = now_ms;
	if (saved->ejections > 0)
		target->ejected_ms = now_ms;
	target->next_probe_ms = now_ms + 1000;
	target->lease_until_ms = now_ms + TABLE_RESTORED_LEASE_MS;
}

void
leader_table_restore(service_leader_t *leader, int64_t now_ms)
{
	ServiceTable *saved;
	const uint8_t *bytes;
	size_t len = 0;
	size_t i;

	if (leader->opt.test_off & SERVICE_OFF_RESTORE)
		return;
	bytes = leader->opt.restore_table(leader->opt.ctx, &len);
	if (bytes == NULL)
		return;
	saved = service_table__unpack(NULL, len, bytes);
	if (saved == NULL || saved->service != leader->id) {
		LOG_EVENT(604, LOG_LEVEL_ERROR, "stored table unreadable",
		    LOG_TEXT("service", leader->name));
		service_table__free_unpacked(saved, NULL);
		return;
	}
	for (i = 0; i < saved->n_targets && i < SERVICE_TARGETS_MAX; i++)
		table_restore_target(leader, saved->targets[i], now_ms);
	for (i = 0; i < saved->n_blocked && i < SERVICE_BLOCKED_MAX; i++) {
		leader->blocked[leader->blocked_count++] = (leader_blocked_t){
			.fingerprint = saved->blocked[i]->fingerprint,
			.until_ms = now_ms + saved->blocked[i]->remaining_ms,
		};
	}
	service_table__free_unpacked(saved, NULL);
}

static int
demand_compare(const void *a, const void *b)
{
	uint64_t x = ((const leader_demand_t *)a)->workspace;
	uint64_t y = ((const leader_demand_t *)b)->workspace;

	return ((x > y) - (x < y));
}

/* Keeps the rounding carry of workspaces that were in the last report. */
static void
demand_copy_carry(rng_t *rng, leader_demand_t *to, uint32_t to_count,
    const leader_demand_t *from, uint32_t from_count)
{
	uint32_t i;
	uint32_t k = 0;

	for (i = 0; i < to_count; i++) {
		while (k < from_count && from[k].workspace < to[i].workspace)
			k++;
		/* Random initial values keep the VMs from rounding down
		 * at the same time. */
		to[i].carry = rng_unit(rng);
		if (k < from_count && from[k].workspace == to[i].workspace)
			to[i].carry = from[k].carry;
	}
}

void
leader_set_demand(
    rng_t *rng, leader_vm_t *vm, ServiceDemand **demand, size_t count)
{
	leader_demand_t *copy = calloc(count + 1, sizeof(*copy));
	size_t i;

	if (copy == NULL)
		return;
	for (i = 0; i < count; i++) {
		copy[i].workspace = demand[i]->workspace;
		copy[i].demand =
		    (double)demand[i]->running + (double)demand[i]->queued;
	}
	qsort(copy, count, sizeof(*copy), demand_compare);
	demand_copy_carry(
	    rng, copy, (uint32_t)count, vm->demand, vm->demand_count);
	free(vm->demand);
	vm->demand = copy;
	vm->demand_count = (uint32_t)count;
}

static double
shares_get_slots(const service_leader_t *leader)
{
	const leader_target_t *target;
	double slots = 0;
	uint32_t i;

	for (i = 0; i < leader->target_count; i++) {
		target = &leader->targets[i];
		if (target->used && target->state == SERVICE_TARGET_ACTIVE)
			slots += target->info.slots;
	}
	return (slots * SHARES_OVERCOMMIT);
}

void
leader_shares_clear(service_leader_t *leader)
{
	leader_total_t *total;
	leader_total_t *tmp;

	HASH_ITER(hh, leader->demand, total, tmp) {
		HASH_DEL(leader->demand, total);
		free(total);
	}
	leader->fair_level = -1;
}

static void
shares_add(service_leader_t *leader, const leader_demand_t *entry)
{
	leader_total_t *total;

	HASH_FIND(
	    hh, leader->demand, &entry->workspace, sizeof(uint64_t), total);
	if (total == NULL) {
		total = calloc(1, sizeof(*total));
		if (total == NULL)
			return;
		total->workspace = entry->workspace;
		HASH_ADD(
		    hh, leader->demand, workspace, sizeof(uint64_t), total);
	}
	total->demand += entry->demand;
}

/*
 * Reports lag by up to 200 ms. Without smoothing, the share of large workspaces
 * and the queues of the others oscillate in opposite phase.
 */
static void
shares_set_fair_level(service_leader_t *leader, double former, double level)
{
	leader->fair_level = level;
	if (former >= 0 && level >= 0)
		leader->fair_level =
		    former + SHARES_LEVEL_WEIGHT * (level - former);
}

void
leader_shares_compute(service_leader_t *leader, int64_t now_ms)
{
	double former = leader->fair_level;
	const leader_vm_t *vm;
	leader_total_t *total;
	double *demands;
	uint32_t count = 0;
	uint32_t i;

	leader_shares_clear(leader);
	for (vm = leader->vms; vm != NULL; vm = vm->hh.next) {
		if (now_ms - vm->reported_ms > SHARES_DEMAND_EXPIRY_MS)
			continue;
		for (i = 0; i < vm->demand_count; i++)
			shares_add(leader, &vm->demand[i]);
	}
	demands = calloc(HASH_COUNT(leader->demand) + 1, sizeof(*demands));
	if (demands == NULL)
		return;
	for (total = leader->demand; total != NULL; total = total->hh.next)
		demands[count++] = total->demand;
	shares_set_fair_level(leader, former,
	    service_share_get_fair_level(
		demands, count, shares_get_slots(leader)));
	free(demands);
}

/* @return share of one VM in slots; negative if the workspace is satisfied */
static double
shares_get_share(const service_leader_t *leader, const leader_demand_t *entry)
{
	leader_total_t *total;

	if (leader->fair_level < 0)
		return (-1);
	HASH_FIND(
	    hh, leader->demand, &entry->workspace, sizeof(uint64_t), total);
	if (total == NULL || total->demand <= leader->fair_level)
		return (-1);
	return (leader->fair_level * entry->demand / total->demand);
}

/* Grants whole slots and carries the remainder to the next report. */
static void
shares_fill(const service_leader_t *leader, leader_vm_t *vm, ServiceShares *msg,
    ServiceShare *shares)
{
	ServiceShare *share;
	double value;
	uint32_t i;

	for (i = 0; i < vm->demand_count; i++) {
		value = shares_get_share(leader, &vm->demand[i]);
		if (value < 0)
			continue;
		vm->demand[i].carry += value;
		share = &shares[msg->n_shares];
		service_share__init(share);
		share->workspace = vm->demand[i].workspace;
		share->slots = (uint32_t)vm->demand[i].carry;
		vm->demand[i].carry -= share->slots;
		msg->shares[msg->n_shares++] = share;
	}
}

void
leader_shares_request_report(service_leader_t *leader, node_id_t to)
{
	ServiceShares msg = SERVICE_SHARES__INIT;

	msg.service = leader->id;
	msg.term = leader->term;
	msg.typical_us = (uint32_t)(leader->typical_ms * 1000);
	msg.vm_count = HASH_COUNT(leader->vms);
	leader->opt.send(leader->opt.ctx, to, MSG_SERVICE_SHARES, &msg.base);
}

void
leader_shares_send(service_leader_t *leader, leader_vm_t *vm)
{
	ServiceShares msg = SERVICE_SHARES__INIT;
	ServiceShare *shares = calloc(vm->demand_count + 1, sizeof(*shares));

	msg.service = leader->id;
	msg.term = leader->term;
	msg.typical_us = (uint32_t)(leader->typical_ms * 1000);
	msg.vm_count = HASH_COUNT(leader->vms);
	if (vm->term == leader->term)
		msg.seen_next = vm->sequence + 1;
	msg.shares = calloc(vm->demand_count + 1, sizeof(ServiceShare *));
	if (shares != NULL && msg.shares != NULL)
		shares_fill(leader, vm, &msg, shares);
	leader->opt.send(
	    leader->opt.ctx, vm->id, MSG_SERVICE_SHARES, &msg.base);
	free(shares);
	free(msg.shares);
}
